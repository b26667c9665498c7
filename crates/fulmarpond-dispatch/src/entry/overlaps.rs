//! Runs of two attempts of a job at one time, as entries see them.
//!
//! No agent sees them if the runs are at two agents. So an entry that has stopped an attempt with runs
//! tells the others between which times these ran, once their ends are reported, and each compares
//! that with its own attempts of the job.

use std::collections::VecDeque;

use fulmarpond_core::Time;
use tracing::warn;

use super::attempts::{EndedAttempt, RunsOver};
use super::entry::{CHECK_INTERVAL_MS, Entry};
use super::job::Job;
use crate::{ATTEMPT_TARGET, JobId, LinkNo, ListedEnd};

/// The maximum number of ends in a list.
const MAX_LISTED_ENDS: usize = 16;

/// The maximum number of own stopped attempts that are kept for comparison.
const MAX_KEPT_ENDS: usize = 64;

/// How old an end is at most when it is listed, in milliseconds.
const MAX_END_AGE_MS: u64 = 2_000;

/// The difference between two times that may come from frames on their way, in milliseconds.
const TRANSIT_MARGIN_MS: u64 = 20;

/// The time in which an attempt may have had runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunTime {
    /// When its caller may have sent it.
    pub(super) sent_after: Time,
    /// When its first task was sent to an agent.
    pub(super) started: Time,
    /// When the end of its last run was known; the present time while there is one.
    pub(super) over: Time,
    /// Whether the other entries had said before its start that all earlier attempts were over. The end of
    /// such an attempt may seem later here than it was, by the time that a list takes.
    pub(super) is_successor: bool,
}

impl RunTime {
    /// Returns the time of a job up to now, unless it had no runs since it last lost some.
    pub(super) fn of_job(job: &Job, now: Time) -> Option<Self> {
        Some(Self {
            sent_after: job.sent_after,
            started: job.first_sent?,
            over: now,
            is_successor: job.is_successor,
        })
    }

    /// Returns for how long two attempts had runs at one time, in milliseconds.
    fn overlap_ms(self, other: Self) -> u64 {
        let over = self.over.min(other.over);
        over.millis_since(self.started.max(other.started))
    }
}

/// The stopped attempts of this entry whose runs are over.
#[derive(Debug, Default)]
pub(super) struct Overlaps {
    /// Those that the other entries are to be told.
    untold: VecDeque<(JobId, RunTime)>,
    /// Those that are compared with the attempts of other entries.
    kept: VecDeque<(JobId, RunTime)>,
}

impl Overlaps {
    fn add(&mut self, job: JobId, run_time: RunTime) {
        push_bounded(&mut self.untold, MAX_LISTED_ENDS, (job.clone(), run_time));
        push_bounded(&mut self.kept, MAX_KEPT_ENDS, (job, run_time));
    }

    /// Removes the ends that were not told yet, and returns those that are young.
    pub(super) fn take_untold(&mut self, now: Time) -> Vec<ListedEnd> {
        let untold = self.untold.drain(..);
        let young = untold.filter(|(_, time)| now.millis_since(time.over) <= MAX_END_AGE_MS);
        let age_ms = |at| u32::try_from(now.millis_since(at)).unwrap_or(u32::MAX);
        let listed = young.map(|(job, time)| ListedEnd {
            job,
            age_ms: age_ms(time.sent_after),
            started_ms: age_ms(time.started),
            over_ms: age_ms(time.over),
        });
        listed.collect()
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, max: usize, item: T) {
    if queue.len() == max {
        queue.pop_front();
    }
    queue.push_back(item);
}

impl Entry {
    /// Records a stopped attempt that is over. If ends were not reported, it is unknown when its runs
    /// ended.
    pub(super) fn record_run_time(&mut self, job: &JobId, ended: &EndedAttempt) {
        if ended.evidence != RunsOver::Reported {
            return;
        }
        if let Some(run_time) = ended.run_time {
            let over = self.seen_at(run_time.over);
            self.overlaps.add(job.clone(), RunTime { over, ..run_time });
        }
    }

    /// Returns when what this entry handles now had happened at the latest, as far as it can know: during
    /// a pause of its process, reports wait unread.
    pub(super) fn seen_at(&self, now: Time) -> Time {
        now.min(self.next_check.after_millis(CHECK_INTERVAL_MS))
    }

    /// Compares the stopped attempts of another entry with those of this one.
    pub(super) fn compare_ends(&mut self, link: LinkNo, ends: &[ListedEnd], now: Time) {
        for end in ends {
            let ago = |millis: u32| now.before_millis(u64::from(millis));
            let other = RunTime {
                sent_after: ago(end.age_ms),
                started: ago(end.started_ms),
                over: ago(end.over_ms),
                is_successor: false,
            };
            let own = self.own_run_times(&end.job, now);
            let overlapping = own.max_by_key(|own| own.overlap_ms(other));
            if let Some(own) = overlapping.filter(|own| own.overlap_ms(other) > TRANSIT_MARGIN_MS) {
                self.report_overlap(link, &end.job, own, other, now);
            }
        }
    }

    /// Returns the times of the attempts of a job at this entry that may have run beside others.
    fn own_run_times(&self, job: &JobId, now: Time) -> impl Iterator<Item = RunTime> {
        let now = self.seen_at(now);
        let present = self.jobs.get(job).filter(|job| job.state.is_none());
        let present = present.and_then(|job| RunTime::of_job(job, now));
        let answered = self.final_answers.get(job);
        let answered = answered.and_then(|answered| answered.run_time);
        let kept = self.overlaps.kept.iter();
        let kept = kept.filter(move |(id, _)| id == job).map(|(_, time)| *time);
        let ending = self.attempts.ending_run_time(job, now);
        let times = present
            .into_iter()
            .chain(answered)
            .chain(ending)
            .chain(kept);
        times.filter(|time| !time.is_successor)
    }

    fn report_overlap(
        &mut self,
        link: LinkNo,
        job: &JobId,
        own: RunTime,
        other: RunTime,
        now: Time,
    ) {
        self.counters.overlapping_runs += 1;
        let age_ms = now.millis_since(own.sent_after);
        let entry = self.peers.name(link).to_owned();
        warn!(
            target: ATTEMPT_TARGET,
            %job,
            own_entry = self.options.name,
            age_ms,
            entry,
            other_age_ms = now.millis_since(other.sent_after),
            overlap_ms = own.overlap_ms(other),
            "runs of two attempts overlapped"
        );
        self.recent
            .record_meeting(job, "runs_overlapped", age_ms, entry);
    }
}
