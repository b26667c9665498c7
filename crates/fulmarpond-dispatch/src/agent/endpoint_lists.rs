//! The handling of the runs and ends that an endpoint lists.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::agent::{Agent, Purpose, START_STOP_TIMEOUT_MS};
use super::endpoint::Endpoint;
use super::run::{AfterStop, Phase, Run};
use super::{Action, EndEntry, EndReason, EndpointCall, RunEntry};
use crate::epoch::MAX_RUN;
use crate::{AgentFrame, Outcome, TaskEnd, TaskKey};

/// The log target of routine lines about tasks without problems.
const ROUTINE: &str = "routine";

/// How long an endpoint is reported as stalled after a run made no progress, in milliseconds. Then
/// it is tried again with few tasks.
const STALLED_PERIOD_MS: u64 = 1_500;

/// If the end of a run is known less exactly than this, its run time says nothing about the route,
/// in milliseconds.
const MAX_END_UNCERTAINTY_MS: u64 = 10;

impl Agent {
    /// Processes the listed ends that are new, which occurred between `earliest` and now.
    pub(super) fn handle_ends(
        &mut self,
        ended: &[EndEntry],
        earliest: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.record_cut_off(ended);
        for end in ended {
            let Some(endpoint) = &mut self.endpoint else {
                return;
            };
            if end.sequence <= endpoint.last_seen_end {
                continue;
            }
            endpoint.last_seen_end = end.sequence;
            let task = end.task.clone();
            // A number that no agent gives would leave none for the next run.
            if end.run <= MAX_RUN {
                self.last_run_numbers.insert(task.clone(), (end.run, now));
            }
            let known_run = self
                .runs
                .get(&task)
                .filter(|run| run.number == end.run && run.phase != Phase::Queued);
            // A run that an earlier process started may belong to a durable job.
            if known_run.is_none_or(|run| run.is_durable) {
                Self::hold_unacknowledged_end(endpoint, end, known_run, now);
            }
            if known_run.is_none() {
                continue;
            }
            if let Some(value) = &end.checkpoint {
                self.report_checkpoint(&task, value);
            }
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let since = match run.phase {
                Phase::Running { since } => since,
                _ => now,
            };
            let elapsed = now.millis_since(since);
            let min_elapsed = earliest.min(now).millis_since(since);
            let is_known = elapsed - min_elapsed <= MAX_END_UNCERTAINTY_MS;
            let (expected_ms, is_partial) =
                (run.expected_ms, run.is_resumed && !run.is_long_running);
            let outcome = match end.reason {
                EndReason::Done => Outcome::Done,
                EndReason::Failed => Outcome::Failed,
                EndReason::Cut => Outcome::Aborted,
            };
            info!(
                target: ROUTINE,
                job = %task.job,
                %task,
                run = end.run,
                ?outcome,
                phase = run.phase.as_str(),
                elapsed_ms = elapsed,
                min_elapsed_ms = min_elapsed,
                expected_ms,
                "run ended"
            );
            if is_known && !run.is_resumed && !run.is_long_running {
                out.push(Action::Observe { elapsed });
            }
            let work = elapsed * u64::from(run.needs.cpu) / 1_000;
            if outcome == Outcome::Done {
                self.preemption.record_completed(work, now);
            }
            match (run.phase, outcome) {
                (Phase::Stopping { after_stop, .. }, Outcome::Aborted) => {
                    self.log_stopped_end(&task, "end_listed");
                    self.finish_stopped_run(&task, after_stop);
                    continue;
                }
                (
                    Phase::Stopping {
                        after_stop: after_stop @ (AfterStop::Discard | AfterStop::Refuse),
                        ..
                    },
                    _,
                ) => {
                    self.log_stopped_end(&task, "end_listed");
                    self.finish_stopped_run(&task, after_stop);
                    continue;
                }
                // The run time of a resumed run and the end of a long-running task that was working
                // say nothing about the health of the endpoint.
                (Phase::Running { .. }, Outcome::Done)
                    if !run.is_resumed && !run.is_long_running =>
                {
                    // A healthy endpoint must not appear slow because calls to it got no reply.
                    self.health
                        .record_success(&task.job, min_elapsed, expected_ms);
                    if is_known
                        && !run.is_gang
                        && let Some(endpoint) = &mut self.endpoint
                    {
                        endpoint
                            .lasting_speed
                            .record(&task.job, elapsed, run.nominal_ms);
                    }
                }
                (_, Outcome::Failed) if !(run.is_long_running && run.progress.is_complete()) => {
                    self.health.record_failure();
                }
                _ => {}
            }
            let reported_elapsed = if is_partial || !is_known { 0 } else { elapsed };
            self.finish_run(&task, Some(outcome), reported_elapsed);
        }
    }

    /// Keeps the end of a run that completed or failed until an entry acknowledges it.
    pub(super) fn hold_unacknowledged_end(
        endpoint: &mut Endpoint,
        end: &EndEntry,
        run: Option<&Run>,
        now: Time,
    ) {
        let outcome = match end.reason {
            EndReason::Done => Outcome::Done,
            EndReason::Failed => Outcome::Failed,
            EndReason::Cut => return,
        };
        let elapsed = match run.map(|run| run.phase) {
            Some(Phase::Running { since }) => now.millis_since(since),
            _ => 0,
        };
        let task_end = TaskEnd {
            task: end.task.clone(),
            outcome,
            run: end.run,
            elapsed: u32::try_from(elapsed).unwrap_or(u32::MAX),
        };
        endpoint
            .unacknowledged_ends
            .insert(end.sequence, task_end, run.is_some(), now);
    }

    /// Reports the unacknowledged ends that are due to all entries.
    pub(super) fn resend_unacknowledged_ends(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let ends = endpoint.unacknowledged_ends.take_due(now);
        if ends.is_empty() {
            return;
        }
        for &link in self.links.established.keys() {
            let frame = AgentFrame::UnacknowledgedEnds(ends.clone());
            out.push(Action::Send { link, frame });
        }
    }

    /// Processes the listed runs, and stops those that this process did not start.
    pub(super) fn handle_running(
        &mut self,
        running: &[RunEntry],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut unknown_runs = 0;
        for entry in running {
            let task = entry.task.clone();
            let is_known = self
                .runs
                .get(&task)
                .is_some_and(|run| run.number == entry.run && run.phase.uses_capacity());
            if is_known {
                if let Some(value) = &entry.checkpoint {
                    self.report_checkpoint(&task, value);
                }
                self.start_confirmed(&task, entry.run, now);
                if let Some(run) = self.runs.get_mut(&task) {
                    run.is_listed = true;
                }
                self.check_progress(entry, now, out);
                continue;
            }
            unknown_runs += 1;
            info!(job = %task.job, %task, run = entry.run, "stopping an orphaned run of an earlier agent process");
            let call = EndpointCall::Stop {
                task,
                run: entry.run,
                fence: self.fence,
            };
            self.call_endpoint(Purpose::StopUnknown, call, START_STOP_TIMEOUT_MS, now, out);
        }
        self.check_speed(now, out);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if unknown_runs == 0 && !endpoint.has_no_unknown_runs {
            endpoint.has_no_unknown_runs = true;
            info!(endpoint = %endpoint.registration.id, "endpoint takes tasks");
            self.status_changed = true;
            self.broadcast_orphaned(out);
        } else if unknown_runs > 0 && !endpoint.has_no_unknown_runs {
            self.back_off_hold(now);
        }
    }

    /// Takes the endpoint for a slow one if its runs make far too little progress. Its queued tasks
    /// are returned, and the runs that can still meet their objective elsewhere are moved.
    fn check_speed(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let Some(slowness) = endpoint.speed.take_slowness(now) else {
            return;
        };
        self.health.raise_slowness(slowness);
        self.status_changed = true;
        let latest_restart = now.after_millis(self.options.lease_times.stop_ms);
        let is_movable = |run: &Run| {
            let remaining = 1.0 - f64::from(run.progress.percent()) / 100.0;
            let is_faster_elsewhere = remaining * slowness > 1.0;
            matches!(run.phase, Phase::Running { .. })
                && !run.is_gang
                && !run.is_long_running
                && !run.is_durable
                && is_faster_elsewhere
                && latest_restart <= run.start_by
        };
        let runs = self.runs.iter().filter(|(_, run)| is_movable(run));
        let moved: Vec<TaskKey> = runs.map(|(task, _)| task.clone()).collect();
        warn!(
            slowness,
            moved = moved.len(),
            runs = self.runs.len(),
            "endpoint is slow, moving tasks to others"
        );
        self.return_queued_tasks(now);
        for task in moved {
            self.end_run(&task, AfterStop::Report(Outcome::Aborted), now, out);
        }
    }

    /// Records the progress of a run, and stops the run if it is stalled, so that its task can run
    /// elsewhere.
    fn check_progress(&mut self, entry: &RunEntry, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&entry.task) else {
            return;
        };
        let Some(percent) = entry.progress else {
            return;
        };
        if !matches!(run.phase, Phase::Running { .. }) {
            return;
        }
        let (done_percent, elapsed_ms) = run.progress.record_report(percent, now);
        let is_measured = !run.is_gang && !run.is_long_running && !run.is_resumed;
        if is_measured && let Some(endpoint) = &mut self.endpoint {
            let work_ms = f64::from(run.expected_ms) * f64::from(done_percent) / 100.0;
            endpoint
                .speed
                .record(&entry.task.job, work_ms, elapsed_ms as f64);
        }
        // A gang makes no progress until all of its members run.
        let is_waiting_for_gang = run.is_gang && percent == 0;
        let was_complete = run.progress.is_complete();
        let is_stalled = if run.is_long_running {
            run.progress.update_long_running(percent, now)
        } else {
            !is_waiting_for_gang && run.progress.update(percent, run.expected_ms, now)
        };
        let expected_ms = run.expected_ms;
        if run.is_long_running && run.progress.is_complete() != was_complete {
            self.report_working(&entry.task);
        }
        if !is_stalled {
            return;
        }
        warn!(
            job = %entry.task.job,
            task = %entry.task,
            run = entry.run,
            percent,
            expected_ms,
            "run makes no progress, stopping it"
        );
        self.health.record_failure();
        self.stalled_until = now.after_millis(STALLED_PERIOD_MS);
        self.status_changed = true;
        self.end_run(&entry.task, AfterStop::Report(Outcome::Aborted), now, out);
    }
}
