//! Crashes of endpoints, as agents report them.

use std::collections::VecDeque;

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::entry::Entry;
use crate::{EndpointCrash, Incarnation, LinkNo};

/// How long a crash is remembered, so that a repeated report is not counted again, in milliseconds.
const CRASH_TTL_MS: u64 = 90_000;

/// The crashes that were counted.
#[derive(Debug, Default)]
pub(super) struct CountedCrashes(VecDeque<(Time, Incarnation)>);

impl CountedCrashes {
    /// Returns whether the crash of an incarnation is reported for the first time.
    fn insert(&mut self, incarnation: Incarnation, now: Time) -> bool {
        self.0
            .retain(|(at, _)| now.millis_since(*at) < CRASH_TTL_MS);
        let is_new = self.0.iter().all(|(_, known)| *known != incarnation);
        if is_new {
            self.0.push_back((now, incarnation));
        }
        is_new
    }
}

impl Entry {
    /// Records a crash of an endpoint.
    pub(super) fn record_crash(&mut self, link: LinkNo, crash: &EndpointCrash, now: Time) {
        let incarnation = Incarnation {
            id: crash.endpoint.clone(),
            born: crash.born,
        };
        if !self.counted_crashes.insert(incarnation, now) {
            return;
        }
        self.counters.endpoint_crashes += 1;
        warn!(
            agent = self.fleet.name(link),
            endpoint = %crash.endpoint,
            runs = crash.runs.len(),
            ago_ms = crash.ago_ms,
            "endpoint crash reported"
        );
        for run in &crash.runs {
            if self.jobs.contains_key(&run.task.job) {
                self.counters.crashed_runs += 1;
                info!(
                    job = %run.task.job,
                    task = %run.task,
                    run = run.run,
                    age_ms = run.age_ms,
                    endpoint = %crash.endpoint,
                    "own run lost in a crash"
                );
            }
        }
    }
}
