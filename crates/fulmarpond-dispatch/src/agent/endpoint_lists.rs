//! The lists of runs and ends that an endpoint returns.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::agent::{Agent, ORDER_TIMEOUT_MS, Purpose};
use super::endpoint::Endpoint;
use super::run::{Phase, Run, Then};
use super::{Action, EndEntry, EndHow, EndpointCall, RunEntry};
use crate::{AgentFrame, Outcome, TaskEnd};

/// The target of log lines about tasks that go well.
const ROUTINE: &str = "routine";

/// How long an endpoint counts as stalled after a run stood still, in milliseconds. Then it is tried
/// again with few tasks.
const STALLED_MS: u64 = 1_500;

impl Agent {
    pub(super) fn ended(&mut self, ended: &[EndEntry], now: Time, out: &mut Vec<Action>) {
        for end in ended {
            let Some(endpoint) = &mut self.endpoint else {
                return;
            };
            if end.number <= endpoint.seen {
                continue;
            }
            endpoint.seen = end.number;
            let task = end.task.clone();
            self.numbers.insert(task.clone(), (end.run, now));
            let own = self
                .runs
                .get(&task)
                .filter(|run| run.number == end.run && run.phase != Phase::Queued);
            // An end of an earlier process may be that of a job that is kept.
            if own.is_none_or(|run| run.kept) {
                Self::hold_end(endpoint, end, own, now);
            }
            if own.is_none() {
                continue;
            }
            if let Some(value) = &end.checkpoint {
                self.save(&task, value);
            }
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let since = match run.phase {
                Phase::Running { since } => since,
                _ => now,
            };
            let elapsed = now.millis_since(since);
            let (expected, partial) = (run.expected, run.resumed && !run.long_running);
            let outcome = match end.how {
                EndHow::Done => Outcome::Done,
                EndHow::Failed => Outcome::Failed,
                EndHow::Cut => Outcome::Aborted,
            };
            info!(
                target: ROUTINE,
                job = %task.job,
                %task,
                run = end.run,
                ?outcome,
                phase = run.phase.as_str(),
                elapsed_ms = elapsed,
                expected_ms = expected,
                "run ended"
            );
            if !run.resumed && !run.long_running {
                out.push(Action::Observe { elapsed });
            }
            match (run.phase, outcome) {
                (Phase::Stopping { then, .. }, Outcome::Aborted) => {
                    self.stopped(&task, then);
                    continue;
                }
                (
                    Phase::Stopping {
                        then: Then::Forget, ..
                    },
                    _,
                ) => {
                    self.finish(&task, None, 0);
                    continue;
                }
                // The rest of a resumed run tells nothing about the endpoint, and neither does the
                // end of a long-running task that was at work.
                (Phase::Running { .. }, Outcome::Done) if !run.resumed && !run.long_running => {
                    self.health.done(elapsed, expected);
                }
                (_, Outcome::Failed) if !(run.long_running && run.progress.is_complete()) => {
                    self.health.failed();
                }
                _ => {}
            }
            let whole = if partial { 0 } else { elapsed };
            self.finish(&task, Some(outcome), whole);
        }
    }

    /// Holds the end of a run that has ended by itself.
    pub(super) fn hold_end(endpoint: &mut Endpoint, end: &EndEntry, run: Option<&Run>, now: Time) {
        let outcome = match end.how {
            EndHow::Done => Outcome::Done,
            EndHow::Failed => Outcome::Failed,
            EndHow::Cut => return,
        };
        let elapsed = match run.map(|run| run.phase) {
            Some(Phase::Running { since }) => now.millis_since(since),
            _ => 0,
        };
        let held = TaskEnd {
            task: end.task.clone(),
            outcome,
            run: end.run,
            elapsed: u32::try_from(elapsed).unwrap_or(u32::MAX),
        };
        endpoint.held.hold(end.number, held, now);
    }

    /// Tells all entries the ends that none has taken note of.
    pub(super) fn repeat_held(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let ends = endpoint.held.due(now);
        if ends.is_empty() {
            return;
        }
        for &link in self.links.up.keys() {
            let frame = AgentFrame::Held(ends.clone());
            out.push(Action::Send { link, frame });
        }
    }

    /// Compares what runs with what was started here.
    pub(super) fn running(&mut self, running: &[RunEntry], now: Time, out: &mut Vec<Action>) {
        let mut orphans = 0;
        for entry in running {
            let task = entry.task.clone();
            let own = self
                .runs
                .get(&task)
                .is_some_and(|run| run.number == entry.run && run.phase.uses_room());
            if own {
                if let Some(value) = &entry.checkpoint {
                    self.save(&task, value);
                }
                self.see_progress(entry, now, out);
                continue;
            }
            orphans += 1;
            info!(job = %task.job, %task, run = entry.run, "stopping a run of an earlier process");
            let call = EndpointCall::Stop {
                task,
                run: entry.run,
                fence: self.fence,
            };
            self.call(Purpose::StopOrphan, call, ORDER_TIMEOUT_MS, now, out);
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if orphans == 0 && !endpoint.settled {
            endpoint.settled = true;
            info!(endpoint = %endpoint.about.id, "endpoint takes tasks");
            self.changed = true;
            self.tell_unowned(out);
        } else if orphans > 0 && !endpoint.settled {
            self.delay_hold(now);
        }
    }

    /// Stops a run that stands still, so that its task can run elsewhere.
    fn see_progress(&mut self, entry: &RunEntry, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&entry.task) else {
            return;
        };
        let Some(percent) = entry.progress else {
            return;
        };
        if !matches!(run.phase, Phase::Running { .. }) {
            return;
        }
        // A gang works from the moment when all of it is there.
        let waits = run.gang && percent == 0;
        let worked = run.progress.is_complete();
        let stands = if run.long_running {
            run.progress.see_long(percent, now)
        } else {
            !waits && run.progress.see(percent, run.expected, now)
        };
        let expected = run.expected;
        if run.long_running && run.progress.is_complete() != worked {
            self.tell_working(&entry.task);
        }
        if !stands {
            return;
        }
        warn!(
            job = %entry.task.job,
            task = %entry.task,
            run = entry.run,
            percent,
            expected_ms = expected,
            "run stands still, stopping it"
        );
        self.health.failed();
        self.stalled_until = now.after_millis(STALLED_MS);
        self.changed = true;
        self.end_run(&entry.task, Then::Report(Outcome::Aborted), now, out);
    }
}
