//! What an entry knows of the attempts of jobs that are not durable, its own and those of others.
//!
//! A caller that lost its connection sends its job again, to any entry. The entry of the earlier
//! attempt may not have noticed: only the side of the caller may have broken. So entries tell each
//! other about their attempts, and the later one starts only when no run of the earlier one is left.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use fulmarpond_core::Time;

use super::job::{Job, TaskState};
use super::overlaps::RunTime;
use super::peers::Peer;
use crate::{JobId, LeaseTimes, LinkNo, ListedAttempt, TaskKey};

/// An attempt of this entry that has been stopped and may have runs left.
#[derive(Debug)]
struct Ending {
    /// When its caller may have sent it.
    sent_after: Time,
    /// When it was stopped.
    since: Time,
    /// Since when it had runs.
    run_time: Option<RunTime>,
    /// The runs whose end is not reported yet, by agent, step and index.
    runs: BTreeSet<(LinkNo, u16, u16)>,
    /// When the runs at lost agents are over.
    lost_until: Time,
    /// When it is over in any case: agents let the lease of a run expire whose stop fails, and no report of
    /// its end can come any more.
    over_by: Time,
}

impl Ending {
    /// Returns when it had runs, if the last one ends now.
    fn run_time_until(&self, now: Time) -> Option<RunTime> {
        self.run_time.map(|time| RunTime { over: now, ..time })
    }

    /// Returns what shows that no run is left, if that is so.
    fn evidence(&self, now: Time) -> Option<RunsOver> {
        if self.runs.is_empty() && now >= self.lost_until {
            let has_lost = self.lost_until > self.since;
            return Some(if has_lost {
                RunsOver::AgentLost
            } else {
                RunsOver::Reported
            });
        }
        (now >= self.over_by).then_some(RunsOver::Expired)
    }
}

/// What shows that no run of a stopped attempt is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunsOver {
    /// The agents have reported the ends of all runs.
    Reported,
    /// An agent was lost, and the lease of its runs has expired; the others have reported theirs.
    AgentLost,
    /// Not all ends were reported, and agents let the lease expire of a run whose stop fails.
    Expired,
}

impl RunsOver {
    /// Returns the name in log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Reported => "reported",
            Self::AgentLost => "agent_lost",
            Self::Expired => "expired",
        }
    }
}

/// A stopped attempt without runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndedAttempt {
    /// When it was stopped.
    pub(super) since: Time,
    /// What shows that no run is left.
    pub(super) evidence: RunsOver,
    /// When it had runs.
    pub(super) run_time: Option<RunTime>,
}

/// The attempts that a lost entry has listed last.
#[derive(Debug)]
struct LostList {
    incarnation: Option<u64>,
    jobs: HashSet<JobId>,
    /// When their runs are over, as far as the entry can be reached no more.
    over_by: Time,
    /// When they are over even if the entry is alive.
    latest: Time,
}

/// Attempts that have to be over before another one of the same job may start.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    ending: HashMap<JobId, Ending>,
    /// The links of the entries that have listed an attempt, by job.
    elsewhere: HashMap<JobId, BTreeSet<LinkNo>>,
    /// The jobs that each entry has listed.
    lists: BTreeMap<LinkNo, Vec<JobId>>,
    /// The lists of entries whose link is lost, by host name.
    lost: BTreeMap<String, LostList>,
    /// The entries that wait for the end of an attempt of this one.
    yield_requests: HashMap<JobId, Vec<LinkNo>>,
}

impl Attempts {
    /// Records a stopped job whose agents have been told to stop its runs; returns the number of runs
    /// that may be left.
    pub(super) fn begin_ending(&mut self, job: &Job, over_by: Time, now: Time) -> usize {
        let mut ending = Ending {
            sent_after: job.sent_after,
            since: now,
            run_time: RunTime::of_job(job, now),
            runs: BTreeSet::new(),
            lost_until: now,
            over_by,
        };
        let mut lost = 0;
        for task in &job.tasks {
            match task.state {
                TaskState::Sent(link) => {
                    ending.runs.insert((link, task.step, task.index));
                }
                TaskState::Lost(until) => {
                    ending.lost_until = ending.lost_until.max(until);
                    lost += usize::from(until > now);
                }
                TaskState::Waiting
                | TaskState::Confirming
                | TaskState::RestartDelayed(_)
                | TaskState::Done => {}
            }
        }
        let runs = ending.runs.len() + lost;
        if ending.evidence(now).is_none() {
            self.ending.insert(job.id.clone(), ending);
        }
        runs
    }

    /// Records the reported end of a run of a stopped job.
    pub(super) fn record_end(&mut self, link: LinkNo, task: &TaskKey) {
        if let Some(ending) = self.ending.get_mut(&task.job) {
            ending.runs.remove(&(link, task.step, task.index));
        }
    }

    /// Records the loss of an agent, whose runs are over at the given time.
    pub(super) fn lose_agent(&mut self, link: LinkNo, runs_end: Time) {
        for ending in self.ending.values_mut() {
            let before = ending.runs.len();
            ending.runs.retain(|(agent, ..)| *agent != link);
            if ending.runs.len() < before {
                ending.lost_until = ending.lost_until.max(runs_end);
            }
        }
    }

    /// Removes the stopped attempts that are over; returns them.
    pub(super) fn remove_ended(&mut self, now: Time) -> Vec<(JobId, EndedAttempt)> {
        self.lost.retain(|_, list| now < list.over_by);
        let over = self.ending.iter().filter_map(|(job, ending)| {
            let ended = EndedAttempt {
                since: ending.since,
                evidence: ending.evidence(now)?,
                run_time: ending.run_time_until(now),
            };
            Some((job.clone(), ended))
        });
        let over: Vec<(JobId, EndedAttempt)> = over.collect();
        for (job, _) in &over {
            self.ending.remove(job);
        }
        over
    }

    /// Returns whether a stopped attempt of this entry may have runs left.
    pub(super) fn is_ending(&self, job: &JobId) -> bool {
        self.ending.contains_key(job)
    }

    /// Returns whether an earlier attempt of a job may have runs left.
    pub(super) fn has_earlier(&self, job: &JobId, now: Time) -> bool {
        self.ending.contains_key(job)
            || self.elsewhere.contains_key(job)
            || self
                .lost
                .values()
                .any(|list| now < list.over_by && list.jobs.contains(job))
    }

    /// Returns the links to the entries that have an attempt of a job.
    pub(super) fn owners(&self, job: &JobId) -> Vec<LinkNo> {
        let links = self.elsewhere.get(job).into_iter().flatten();
        links.copied().collect()
    }

    /// Returns the number of attempts that another entry has listed.
    pub(super) fn listed(&self, link: LinkNo) -> usize {
        self.lists.get(&link).map_or(0, Vec::len)
    }

    /// Replaces the list of another entry.
    pub(super) fn set_list(&mut self, link: LinkNo, list: &[ListedAttempt]) {
        self.take_list(link);
        for attempt in list {
            let owners = self.elsewhere.entry(attempt.job.clone()).or_default();
            owners.insert(link);
        }
        let jobs = list.iter().map(|attempt| attempt.job.clone());
        self.lists.insert(link, jobs.collect());
    }

    /// Removes the list of another entry; returns its jobs.
    fn take_list(&mut self, link: LinkNo) -> Vec<JobId> {
        let mut jobs = self.lists.remove(&link).unwrap_or_default();
        jobs.retain(|job| self.remove_listed(link, job));
        jobs
    }

    /// Removes the list of an entry that is lost, and holds its attempts until their runs are over.
    pub(super) fn lose_entry(
        &mut self,
        link: LinkNo,
        peer: &Peer,
        lease_times: LeaseTimes,
        now: Time,
    ) {
        let jobs = self.take_list(link);
        let list = self.lost.entry(peer.name.clone()).or_insert(LostList {
            incarnation: peer.incarnation,
            jobs: HashSet::new(),
            over_by: now,
            latest: now,
        });
        list.incarnation = peer.incarnation;
        list.jobs.extend(jobs);
        list.over_by = now.after_millis(lease_times.known_ms());
        list.latest = now.after_millis(lease_times.unreachable_ms());
        for waiting in self.yield_requests.values_mut() {
            waiting.retain(|&other| other != link);
        }
    }

    /// Forgets what a lost entry has listed, as the same process has sent its list again.
    pub(super) fn regain_entry(&mut self, name: &str, incarnation: Option<u64>) {
        let is_same = |list: &LostList| incarnation.is_some() && list.incarnation == incarnation;
        if self.lost.get(name).is_some_and(is_same) {
            self.lost.remove(name);
        }
    }

    /// Holds the attempts of lost entries that are alive and can't be reached until `until`, but not
    /// for longer than they may go on.
    pub(super) fn extend_lost(&mut self, is_unreachable: impl Fn(&str) -> bool, until: Time) {
        for (name, list) in &mut self.lost {
            if is_unreachable(name) {
                list.over_by = list.over_by.max(until.min(list.latest));
            }
        }
    }

    /// Removes an attempt that another entry has ended; returns whether it was listed.
    pub(super) fn remove_listed(&mut self, link: LinkNo, job: &JobId) -> bool {
        let Some(owners) = self.elsewhere.get_mut(job) else {
            return false;
        };
        let was_listed = owners.remove(&link);
        if owners.is_empty() {
            self.elsewhere.remove(job);
        }
        was_listed
    }

    /// Adds an entry that waits for the end of an attempt of this one.
    pub(super) fn add_yield_request(&mut self, job: JobId, link: LinkNo) {
        let waiting = self.yield_requests.entry(job).or_default();
        if !waiting.contains(&link) {
            waiting.push(link);
        }
    }

    /// Removes and returns the entries that wait for the end of an attempt.
    pub(super) fn take_yield_requests(&mut self, job: &JobId) -> Vec<LinkNo> {
        self.yield_requests.remove(job).unwrap_or_default()
    }

    /// Returns since when a stopped attempt has runs, unless an agent of them is lost.
    pub(super) fn ending_run_time(&self, job: &JobId, now: Time) -> Option<RunTime> {
        let ending = self.ending.get(job)?;
        let has_lost = ending.lost_until > ending.since;
        ending.run_time_until(now).filter(|_| !has_lost)
    }

    /// Returns the stopped attempts, with the time after which their callers sent them.
    pub(super) fn ending(&self) -> impl Iterator<Item = (&JobId, Time)> {
        self.ending
            .iter()
            .map(|(job, ending)| (job, ending.sent_after))
    }
}
