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

use super::Action;
use super::agent::Agent;
use super::run::Run;
use crate::{AgentFrame, EndpointCrash, EndpointState, LinkNo, LostRun, TaskKey};

/// How long a crash is reported to entries that link later, in milliseconds.
const CRASH_TTL_MS: u64 = 60_000;

/// The maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 16;

/// The last crashes of the endpoint, with the time at which each was noticed.
#[derive(Debug, Default)]
pub(super) struct Crashes(VecDeque<(Time, EndpointCrash)>);

impl Crashes {
    fn push(&mut self, crash: EndpointCrash, now: Time) {
        self.0
            .retain(|(at, _)| now.millis_since(*at) < CRASH_TTL_MS);
        if self.0.len() == MAX_CRASHES {
            self.0.pop_front();
        }
        self.0.push_back((now, crash));
    }

    /// Returns the reports of the crashes, oldest first.
    fn reports(&self, now: Time) -> impl Iterator<Item = EndpointCrash> {
        let recent = self
            .0
            .iter()
            .filter(move |(at, _)| now.millis_since(*at) < CRASH_TTL_MS);
        recent.map(move |(at, crash)| EndpointCrash {
            ago_ms: u32::try_from(now.millis_since(*at)).unwrap_or(u32::MAX),
            ..crash.clone()
        })
    }
}

impl Agent {
    /// Reports a crash of the current incarnation, unless it has announced its end or ran nothing.
    pub(super) fn report_crash(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let is_planned = endpoint.deregistered_at.is_some()
            || endpoint.registration.state == EndpointState::Draining;
        let at_endpoint = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase.uses_capacity());
        let runs: Vec<LostRun> = at_endpoint
            .map(|(task, run)| lost_run(task, run, now))
            .collect();
        if is_planned || runs.is_empty() {
            return;
        }
        let crash = EndpointCrash {
            endpoint: endpoint.registration.id.clone(),
            born: endpoint.registration.born,
            service: endpoint.registration.service.clone(),
            ago_ms: 0,
            runs,
        };
        self.counters.endpoint_crashes += 1;
        self.counters.crashed_runs += crash.runs.len() as u64;
        warn!(endpoint = %crash.endpoint, runs = crash.runs.len(), "endpoint crashed");
        for run in &crash.runs {
            info!(
                job = %run.task.job,
                task = %run.task,
                run = run.run,
                route = run.route,
                age_ms = run.age_ms,
                endpoint = %crash.endpoint,
                "run lost in a crash"
            );
        }
        for &link in self.links.established.keys() {
            let frame = AgentFrame::Crashed(crash.clone());
            out.push(Action::Send { link, frame });
        }
        self.crashes.push(crash, now);
    }

    /// Reports the recent crashes to an entry that has just linked.
    pub(super) fn repeat_crashes(&self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        for crash in self.crashes.reports(now) {
            let frame = AgentFrame::Crashed(crash);
            out.push(Action::Send { link, frame });
        }
    }
}

fn lost_run(task: &TaskKey, run: &Run, now: Time) -> LostRun {
    LostRun {
        task: task.clone(),
        run: run.number,
        route: run.route.clone(),
        age_ms: u32::try_from(now.millis_since(run.started_at)).unwrap_or(u32::MAX),
    }
}
