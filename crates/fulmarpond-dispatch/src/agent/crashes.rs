//! Crashes of the endpoint, and the runs that were lost with them.
//!
//! A crash is told from a planned end by the state of the endpoint, which announces the latter, and
//! from a cut by a refused connection or another incarnation: an endpoint that does not answer may
//! still run. An agent that was not there when its endpoint crashed reports nothing.
//!
//! Reports go to all entries, and again to each entry that links later, so that they outlive the
//! entry that owned the runs.

use std::collections::VecDeque;

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::agent::{Agent, Purpose};
use super::endpoint::Endpoint;
use super::run::{Phase, Reach, Run};
use super::{Action, CallNo};
use crate::{AgentFrame, EndpointCrash, EndpointState, LinkNo, LostRun, TaskKey};

/// How long a crash is reported to entries that link later, in milliseconds.
const CRASH_TTL_MS: u64 = 60_000;

/// If an endpoint has not replied for longer than this before its crash is noticed, the runs that were
/// started before may have ended and are not reported, in milliseconds.
const MAX_SILENCE_MS: u64 = 500;

/// A run was surely lost in a crash if ends were unseen no longer than this before, in milliseconds: the
/// time of a list on its way.
const MAX_UNSEEN_MS: u64 = 2;

/// A run was probably lost in a crash if ends were unseen no longer than this before, in milliseconds:
/// holds pause for a while.
const MAX_LIKELY_UNSEEN_MS: u64 = 20;

/// A refusal says that the endpoint was gone when the call was sent if it arrives within this time, in
/// milliseconds. A later one may be that of a later attempt to connect.
const MAX_REFUSAL_MS: u64 = 20;

/// The connection of a hold was lost in the crash if no call is answered afterwards and the endpoint is
/// found gone within this time, in milliseconds: calls are repeated after a backoff.
const MAX_BREAK_MS: u64 = 100;

/// A start probably finds the endpoint alive if the last call that it has answered was sent no longer
/// ago than this, or than replies usually take, in milliseconds.
const MIN_LIFE_MS: u64 = 2;

/// The maximum of that time, in milliseconds.
const MAX_LIFE_MS: u64 = 10;

/// How often an endpoint whose replies come late is asked for a sign of life before a start.
const MAX_VERIFICATIONS: u32 = 3;

/// The age up to which a watched run is the only one that is watched, in milliseconds: it may crash the
/// endpoint later than expected. An older one has no effect on others, since it may last.
const MAX_SOLE_WATCH_MS: u32 = 1_000;

/// A task of a quarantined route does not wait for runs that are expected to take longer than this,
/// or have taken longer, in milliseconds.
const MAX_AWAITED_RUN_MS: u32 = 2_000;

/// The maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 16;

/// The last crashes of the endpoint, with their times.
#[derive(Debug, Default)]
pub(super) struct Crashes(VecDeque<(Time, EndpointCrash)>);

impl Crashes {
    fn push(&mut self, crash: EndpointCrash, crashed_at: Time, now: Time) {
        self.0
            .retain(|(at, _)| now.millis_since(*at) < CRASH_TTL_MS);
        if self.0.len() == MAX_CRASHES {
            self.0.pop_front();
        }
        self.0.push_back((crashed_at, crash));
    }

    /// Returns the reports of the crashes, oldest first.
    fn reports(&self, now: Time) -> impl Iterator<Item = EndpointCrash> {
        let recent = self
            .0
            .iter()
            .filter(move |(at, _)| now.millis_since(*at) < CRASH_TTL_MS);
        recent.map(move |(at, crash)| EndpointCrash {
            ago_ms: elapsed_ms(*at, now),
            ..crash.clone()
        })
    }
}

/// What is known of the moment of a crash.
#[derive(Debug, Clone, Copy)]
struct Moment {
    /// When the endpoint crashed, as its calls show it.
    at: Time,
    /// Until when each end at the endpoint is known.
    seen_until: Time,
    /// Until when ends may have been unseen: then the endpoint was gone, or a hold had reached it.
    unseen_until: Time,
    /// Since when nothing was heard of the endpoint, so that it may have crashed then.
    silent_since: Time,
    /// Whether ends may be missing in the lists.
    hides_ends: bool,
}

/// How it was noticed that the endpoint has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Notice {
    /// The call or the event that showed it.
    pub(super) by: &'static str,
    /// When that call was sent.
    pub(super) sent: Time,
}

impl Notice {
    /// Returns a notice that no call of known time has given.
    pub(super) const fn at(by: &'static str, now: Time) -> Self {
        Self { by, sent: now }
    }

    /// Returns what is known of the moment at which an endpoint has crashed.
    fn moment(&self, endpoint: &Endpoint, now: Time) -> Moment {
        let is_prompt = now.millis_since(self.sent) <= MAX_REFUSAL_MS;
        let refused_at = if is_prompt && self.sent >= endpoint.last_reply {
            self.sent
        } else {
            now
        };
        let at = endpoint.unanswered_since.unwrap_or(refused_at);
        let is_gone_since = refused_at.millis_since(at) <= MAX_BREAK_MS;
        let broken_hold = endpoint.broken_hold.filter(|_| is_gone_since);
        let silent_since = match broken_hold {
            Some(_) => at,
            None => endpoint.alive_at.max(endpoint.seen_until).min(at),
        };
        Moment {
            at,
            seen_until: endpoint.seen_until,
            unseen_until: broken_hold.unwrap_or(refused_at),
            silent_since,
            hides_ends: endpoint.hides_ends,
        }
    }
}

impl Agent {
    /// Reports a crash of the current incarnation, unless it has announced its end, its host was drained,
    /// or it ran nothing that is known to have been there lately.
    pub(super) fn report_crash(&mut self, notice: &Notice, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let last_reply = endpoint.last_reply;
        let is_planned = endpoint.deregistered_at.is_some()
            || endpoint.drained_until.is_some()
            || endpoint.registration.state == EndpointState::Draining;
        let moment = notice.moment(endpoint, now);
        let crashed_at = moment.at;
        // A start that was sent later has found no endpoint.
        let lost = self.runs.iter().filter(|(_, run)| {
            let silence_ms = now.millis_since(last_reply.max(run.started_at));
            run.phase.uses_capacity()
                && run.reach != Reach::NotReached
                && silence_ms <= MAX_SILENCE_MS
                && (run.phase != Phase::Starting || run.started_at <= crashed_at)
        });
        let runs: Vec<LostRun> = lost
            .map(|(task, run)| lost_run(task, run, &moment))
            .collect();
        if is_planned || runs.is_empty() {
            return;
        }
        let crash = EndpointCrash {
            endpoint: endpoint.registration.id.clone(),
            born: endpoint.registration.born,
            service: endpoint.registration.service.clone(),
            ago_ms: elapsed_ms(crashed_at, now),
            silent_ms: elapsed_ms(moment.silent_since, crashed_at),
            runs,
        };
        self.counters.endpoint_crashes += 1;
        self.counters.crashed_runs += crash.runs.len() as u64;
        warn!(
            endpoint = %crash.endpoint,
            runs = crash.runs.len(),
            noticed_by = notice.by,
            sent_ago_ms = elapsed_ms(notice.sent, now),
            crashed_ago_ms = crash.ago_ms,
            silent_ms = crash.silent_ms,
            unseen_ms = elapsed_ms(moment.seen_until, moment.unseen_until),
            "endpoint crashed"
        );
        for run in &crash.runs {
            info!(
                job = %run.task.job,
                task = %run.task,
                run = run.run,
                route = run.route,
                age_ms = run.age_ms,
                is_certain = run.is_certain,
                is_likely = run.is_likely,
                endpoint = %crash.endpoint,
                "run lost in a crash"
            );
        }
        for &link in self.links.established.keys() {
            let frame = AgentFrame::Crashed(crash.clone());
            out.push(Action::Send { link, frame });
        }
        self.crashes.push(crash, crashed_at, now);
    }

    /// Records that a start was not sent.
    pub(super) fn record_unsent(&mut self, task: &TaskKey, number: u32) {
        if let Some(run) = self.runs.get_mut(task)
            && run.number == number
        {
            run.reach = Reach::NotReached;
        }
    }

    /// Records that a call was refused soon after it was sent: no start that was sent in it or after it has reached the
    /// endpoint.
    pub(super) fn record_refused(&mut self, call: CallNo, sent: Time, now: Time) {
        if now.millis_since(sent) > MAX_REFUSAL_MS {
            return;
        }
        let later = self.runs.values_mut().filter(|run| {
            run.reach != Reach::Confirmed && run.start_call.is_some_and(|start| start >= call)
        });
        for run in later {
            run.reach = Reach::NotReached;
        }
    }

    /// Returns whether the endpoint was alive so short a time ago that a start probably finds it alive.
    /// What counts is when the answered call was sent: its reply may have been read late.
    pub(super) fn is_probably_alive(&self, now: Time) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| {
            let max_age_ms = endpoint.reply_times.usual_ms(MIN_LIFE_MS).min(MAX_LIFE_MS);
            endpoint.has_replied
                && endpoint.unanswered_since.is_none()
                && now.millis_since(endpoint.alive_at) <= max_age_ms
        })
    }

    /// Returns whether a queued task that may crash the endpoint waits for a reply: a sign of life, or
    /// that to the start of another task of its job, so that it is known which of them were there. The
    /// members of a gang and long-running tasks must not wait.
    pub(super) fn awaits_reply(&self, task: &TaskKey, now: Time) -> bool {
        let can_wait = |run: &Run| run.watch_ms > 0 && !run.is_gang && !run.is_long_running;
        if !self.runs.get(task).is_some_and(can_wait) {
            return false;
        }
        let is_starting = |run: &Run| can_wait(run) && run.phase == Phase::Starting;
        let is_verified = self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.verifications >= MAX_VERIFICATIONS);
        self.runs.values().any(is_starting) || !(is_verified || self.is_probably_alive(now))
    }

    /// Asks the endpoint for a sign of life, unless one is on its way.
    pub(super) fn verify_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut calls = self.pending_calls.values();
        let is_sign = |purpose: &Purpose| {
            matches!(
                purpose,
                Purpose::Verify | Purpose::Start(..) | Purpose::CheckStarted(_)
            )
        };
        if calls.any(|call| is_sign(&call.purpose)) {
            return;
        }
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.verifications += 1;
        }
        self.request_lists(Purpose::Verify, now, out);
    }

    /// Returns until when a queued task has to wait, if it has to, because it or another run may crash
    /// the endpoint.
    pub(super) fn start_blocked_until(&self, task: &TaskKey, now: Time) -> Option<Time> {
        let run = self.runs.get(task)?;
        let is_in_danger = |other: &Run| {
            other.phase.uses_capacity()
                && !other.is_quarantined
                && !other.is_long_running
                && other.expected_ms <= MAX_AWAITED_RUN_MS
                && now < watched_until(other, MAX_AWAITED_RUN_MS)
        };
        if run.is_quarantined && self.runs.values().any(is_in_danger) {
            return Some(now.after_millis(Self::CHECK_INTERVAL_MS));
        }
        self.other_watched_until(task, run.watch_ms, now)
    }

    /// Returns when a queued task may start as far as watched runs are concerned, if it has to wait.
    /// A watched run is the only young one at the endpoint, and for longer the only one that is watched,
    /// so that it is known which run causes a crash. The tasks of one job do not wait for each other here.
    fn other_watched_until(&self, task: &TaskKey, watch_ms: u32, now: Time) -> Option<Time> {
        let others = self
            .runs
            .iter()
            .filter(|(other, run)| run.phase.uses_capacity() && other.job != task.job);
        let ends = others.map(|(_, run)| {
            let longest_ms = run.watch_ms.max(watch_ms);
            if watch_ms > 0 && run.watch_ms > 0 {
                watched_until(run, longest_ms.max(MAX_SOLE_WATCH_MS))
            } else {
                watched_until(run, longest_ms)
            }
        });
        ends.max().filter(|until| *until > now)
    }

    /// Reports the recent crashes to an entry that has just linked.
    pub(super) fn repeat_crashes(&self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        for crash in self.crashes.reports(now) {
            let frame = AgentFrame::Crashed(crash);
            out.push(Action::Send { link, frame });
        }
    }
}

/// Returns when a run is older than `watch_ms` milliseconds.
const fn watched_until(run: &Run, watch_ms: u32) -> Time {
    run.started_at.after_millis(watch_ms as u64)
}

fn lost_run(task: &TaskKey, run: &Run, moment: &Moment) -> LostRun {
    let crashed_at = moment.at;
    // Nothing has ended before the start was sent.
    let seen_until = moment.seen_until.max(run.started_at);
    let unseen_ms = moment.unseen_until.millis_since(seen_until);
    // Its stop may have ended it.
    let is_stopped =
        matches!(run.phase, Phase::Stopping { resend_at, .. } if resend_at == Time::MAX);
    let (is_certain, is_likely) = match run.reach {
        _ if is_stopped => (false, false),
        Reach::Confirmed => (
            unseen_ms <= MAX_UNSEEN_MS && !moment.hides_ends,
            unseen_ms <= MAX_LIKELY_UNSEEN_MS,
        ),
        Reach::Likely => (false, unseen_ms <= MAX_LIKELY_UNSEEN_MS),
        Reach::Unknown | Reach::NotReached => (false, false),
    };
    LostRun {
        task: task.clone(),
        run: run.number,
        route: run.route.clone(),
        is_watched: crashed_at < watched_until(run, run.watch_ms),
        is_certain,
        is_likely,
        age_ms: elapsed_ms(run.started_at, crashed_at),
    }
}

/// Returns the time between two moments, in milliseconds.
fn elapsed_ms(from: Time, to: Time) -> u32 {
    u32::try_from(to.millis_since(from)).unwrap_or(u32::MAX)
}
