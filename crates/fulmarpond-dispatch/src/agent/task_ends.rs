//! Ends of tasks: of queued ones, of runs that are stopped, and of those that are over.

use fulmarpond_core::Time;
use tracing::info;

use super::agent::{Agent, Purpose, START_STOP_TIMEOUT_MS};
use super::run::{AfterStop, Phase};
use super::{Action, EndpointCall};
use crate::{ATTEMPT_TARGET, Outcome, TaskKey};

impl Agent {
    /// Ends a task: removes it if it is queued, and otherwise stops its run.
    pub(super) fn end_run(
        &mut self,
        task: &TaskKey,
        after_stop: AfterStop,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let resend_at = self.resend_at(now);
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        match &mut run.phase {
            Phase::Queued => {
                self.shares.remove(run.class, run.start_by, task);
                let report = (after_stop != AfterStop::Discard).then_some(Outcome::Unavailable);
                self.finish_run(task, report, 0);
            }
            Phase::Stopping {
                after_stop: planned,
                ..
            } => {
                if *planned != AfterStop::Discard {
                    *planned = after_stop;
                }
            }
            Phase::Starting | Phase::Running { .. } => {
                self.counters.stopped += 1;
                run.phase = Phase::Stopping {
                    after_stop,
                    resend_at,
                    check_at: Time::MAX,
                    ends_by: Time::MAX,
                };
                let number = run.number;
                self.send_stop(task, number, now, out);
            }
        }
    }

    pub(super) fn send_stop(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let call = EndpointCall::Stop {
            task: task.clone(),
            run,
            fence: self.fence,
        };
        let purpose = Purpose::Stop(task.clone(), run);
        self.call_endpoint(purpose, call, START_STOP_TIMEOUT_MS, now, out);
    }

    /// Logs that the run of a task is stopped, since its entry is lost.
    pub(super) fn log_stopped(&self, task: &TaskKey, entry: &str) {
        if let Some(run) = self.runs.get(task)
            && matches!(run.phase, Phase::Stopping { .. })
        {
            info!(target: ATTEMPT_TARGET, job = %task.job, %task, run = run.number, entry, "run is stopped, its entry is lost");
        }
    }

    /// Logs and records how the end of a stopped run was seen.
    pub(super) fn log_stopped_end(&mut self, task: &TaskKey, evidence: &'static str) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        info!(target: ATTEMPT_TARGET, job = %task.job, %task, run = run.number, evidence, "stopped run is over");
        let is_unwanted = run.over_by != Time::MAX;
        if is_unwanted {
            self.recent_stops.record(task, run.number, evidence);
        }
    }

    /// Removes a task, and reports its end if there is an outcome.
    pub(super) fn finish_run(&mut self, task: &TaskKey, outcome: Option<Outcome>, elapsed: u64) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.unwanted_runs.remove(&(run.over_by, task.clone()));
        self.turns.remove(task);
        if run.phase.uses_capacity() {
            self.used_capacity = self.used_capacity.minus(run.needs);
            if !run.is_long_running {
                self.shares.release(run.class, run.needs);
            }
        }
        if let Some(outcome) = outcome {
            let elapsed = u32::try_from(elapsed).unwrap_or(u32::MAX);
            self.report_end(run.link, task.clone(), outcome, run.number, elapsed);
        }
        self.status_changed = true;
    }

    /// Drops, reports or queues again a task whose stopped run has ended.
    pub(super) fn finish_stopped_run(&mut self, task: &TaskKey, after_stop: AfterStop) {
        match after_stop {
            AfterStop::Discard => self.finish_run(task, None, 0),
            AfterStop::Refuse => {
                // The number keeps the next run from having the same one at another agent.
                let known = self.runs.get(task).map(|run| (run.link, run.number));
                self.finish_run(task, None, 0);
                if let Some((link, number)) = known {
                    self.report_end(link, task.clone(), Outcome::Unavailable, number, 0);
                }
            }
            AfterStop::Report(outcome) => self.finish_run(task, Some(outcome), 0),
            AfterStop::Restart if self.is_shutting_down || self.is_evacuated() => {
                self.finish_run(task, Some(Outcome::Aborted), 0);
            }
            AfterStop::Restart => {
                self.counters.retried += 1;
                self.requeue(task);
            }
        }
    }

    pub(super) fn requeue(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            run.phase = Phase::Queued;
            self.used_capacity = self.used_capacity.minus(run.needs);
            if !run.is_long_running {
                self.shares.release(run.class, run.needs);
            }
            self.shares
                .push(run.class, run.start_by, task.clone(), run.is_suspected());
        }
    }

    /// Returns all queued tasks to their entries.
    pub(super) fn return_queued_tasks(&mut self, now: Time) {
        let queued: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Queued)
            .map(|(task, _)| task.clone())
            .collect();
        for task in queued {
            self.end_run(
                &task,
                AfterStop::Report(Outcome::Unavailable),
                now,
                &mut Vec::new(),
            );
        }
    }
}
