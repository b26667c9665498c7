//! Reactions of an entry to crashes of endpoints.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::crash_log::INITIAL_PROBABILITY;
use super::entry::Entry;
use super::job::Job;
use super::quarantine::QUARANTINED_PROBABILITY;
use super::{Action, Answer, RequestNo};
use crate::{EndpointCrash, JobId, LinkNo};

impl Entry {
    /// Records a crash of an endpoint, and gives up the jobs whose tasks have crashed it.
    pub(super) fn handle_crash(
        &mut self,
        link: LinkNo,
        crash: &EndpointCrash,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let crashed_at = now.before_millis(u64::from(crash.ago_ms));
        let quarantine = &self.quarantine;
        let initial = |route: &str| {
            if quarantine.contains(route) {
                QUARANTINED_PROBABILITY
            } else {
                INITIAL_PROBABILITY
            }
        };
        let Some(attributions) = self.crash_log.record(crash, crashed_at, initial, now) else {
            return;
        };
        self.quarantine
            .record_crash(self.fleet.name(link), crashed_at, now);
        let mut shares: BTreeMap<&str, (f64, bool)> = BTreeMap::new();
        for part in &attributions {
            let (share, is_known) = shares.entry(&part.route).or_default();
            *share += part.probability;
            *is_known |= part.is_guilty;
        }
        for (route, (share, is_known)) in shares {
            self.quarantine
                .record_share(route, &crash.service, share, is_known, crashed_at);
        }
        self.update_quarantine(now);
        self.counters.endpoint_crashes += 1;
        let own_runs = crash.runs.iter();
        let own_runs = own_runs.filter(|run| self.jobs.contains_key(&run.task.job));
        self.counters.crashed_runs += own_runs.count() as u64;
        warn!(
            agent = self.fleet.name(link),
            endpoint = %crash.endpoint,
            runs = crash.runs.len(),
            ago_ms = crash.ago_ms,
            "endpoint crash reported"
        );
        for part in attributions {
            let is_own = self.jobs.contains_key(&part.job);
            if is_own || part.is_suspected() {
                info!(
                    job = %part.job,
                    route = part.route,
                    endpoint = %crash.endpoint,
                    probability = part.probability,
                    crashes = part.crashes,
                    is_own,
                    "crash attributed"
                );
            }
            if part.is_guilty {
                self.give_up_crashing(&part.job, now, out);
            }
        }
    }

    /// Gives up a job whose tasks crash endpoints, if this entry owns it.
    pub(super) fn give_up_crashing(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        if !self.jobs.contains_key(id) {
            return;
        }
        warn!(job = %id, "job crashes endpoints, giving it up");
        self.counters.crashing_jobs += 1;
        self.finish(id, Answer::Failed, now, out);
    }

    /// Answers a request for a job that was given up because its tasks crash endpoints, possibly by
    /// another entry.
    pub(super) fn answer_crashing(
        &mut self,
        request: RequestNo,
        id: &JobId,
        out: &mut Vec<Action>,
    ) {
        info!(job = %id, request = request.0, "job crashes endpoints, it is not run again");
        out.push(Action::Answer {
            request,
            answer: Answer::Failed,
            age: 0,
            wait: 0,
        });
    }

    /// Returns the number of routes that are quarantined because their tasks crash endpoints.
    pub fn quarantined_routes(&self) -> usize {
        self.quarantine.len()
    }

    /// Returns how long runs of a job are watched, in milliseconds; 0 if it is not suspected of
    /// crashing endpoints.
    pub(super) fn watch_ms(&self, job: &Job) -> u32 {
        if self.crash_log.is_suspected(&job.id) {
            self.crash_log.watch_ms()
        } else {
            0
        }
    }
}
