//! Orphaned runs: long-running tasks that have lost their entry and wait for a new owner of their
//! jobs.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::Action;
use super::agent::Agent;
use super::run::{AfterStop, Phase, Run};
use crate::{AgentFrame, JobId, LeaseTimes, LinkNo, Outcome, TaskKey};

/// The interval at which orphaned tasks are reported to the entries, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;

impl Agent {
    /// Ends the tasks of an entry that was lost or has released them, and was last heard from at `heard`.
    /// Long-running tasks at the endpoint become orphaned instead.
    pub(super) fn end_or_mark_orphaned(
        &mut self,
        tasks: &[TaskKey],
        heard: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        // The loss may be noticed late, and the entry counts from the last status that it has got.
        let lost_at = now.min(heard.after_millis(self.options.lease_times.link_ms));
        let until = lost_at.after_millis(LeaseTimes::ADOPTION_MS);
        for task in tasks {
            if self.mark_orphaned(task, until) {
                self.next_orphan_report = now;
            } else {
                self.end_run(task, AfterStop::Discard, now, out);
            }
        }
    }

    /// Marks a long-running task at the endpoint as orphaned; returns whether it was one.
    ///
    /// One that is being stopped is orphaned too: entries start again what is not listed.
    fn mark_orphaned(&mut self, task: &TaskKey, until: Time) -> bool {
        let Some(run) = self.runs.get_mut(task) else {
            return false;
        };
        if !run.is_long_running || run.phase == Phase::Queued {
            return false;
        }
        if let Phase::Stopping { after_stop, .. } = &mut run.phase {
            *after_stop = AfterStop::Discard;
        }
        info!(%task, run = run.number, wait_ms = LeaseTimes::ADOPTION_MS, "run waits for an owner");
        run.orphaned_until = Some(until);
        true
    }

    /// Handles the release of a job by its owner, which leaves it to another entry.
    pub(super) fn release_job(
        &mut self,
        link: LinkNo,
        job: &JobId,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.links.established.get(&link) else {
            return;
        };
        let heard = self.last_heard(peer);
        let mut tasks = self.owned_tasks(link);
        tasks.retain(|task| task.job == *job);
        self.end_or_mark_orphaned(&tasks, heard, now, out);
        for task in &tasks {
            self.bound_unwanted_run(task, heard);
        }
        self.start_queued_tasks(now, out);
        self.send_reports(out);
    }

    /// Assigns orphaned tasks to the entry that has taken over their jobs.
    pub(super) fn adopt_runs(&mut self, link: LinkNo, tasks: &[TaskKey], out: &mut Vec<Action>) {
        for task in tasks {
            match self.runs.get_mut(task) {
                Some(run) if run.orphaned_until.is_some() => {
                    info!(%task, run = run.number, ?link, "run has an owner again");
                    run.assign_owner(link);
                    self.report_working(task);
                }
                // Another entry may still own it. If its link is lost, the task becomes orphaned
                // and is reported to this entry as well.
                Some(_) => {}
                None => self.report_end(link, task.clone(), Outcome::Aborted, 0, 0),
            }
        }
        self.send_reports(out);
    }

    /// Returns the report of orphaned tasks, or `None` until it is known that the endpoint
    /// runs nothing that this process did not start.
    pub(super) fn orphaned_frame(&self) -> Option<AgentFrame> {
        let endpoint = self.endpoint.as_ref()?;
        let orphaned = self
            .runs
            .iter()
            .filter(|(_, run)| run.orphaned_until.is_some());
        let tasks = orphaned.map(|(task, _)| task.clone()).collect();
        endpoint
            .has_no_unknown_runs
            .then_some(AgentFrame::Orphaned(tasks))
    }

    /// Reports the orphaned tasks to all entries.
    pub(super) fn broadcast_orphaned(&self, out: &mut Vec<Action>) {
        let Some(frame) = self.orphaned_frame() else {
            return;
        };
        for &link in self.links.established.keys() {
            let frame = frame.clone();
            out.push(Action::Send { link, frame });
        }
    }

    /// Stops tasks that no entry has adopted in time, and repeats the report of the others.
    pub(super) fn check_orphaned(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_expired = |run: &Run| run.orphaned_until.is_some_and(|until| now >= until);
        let expired = self.runs.iter().filter(|(_, run)| is_expired(run));
        let expired: Vec<TaskKey> = expired.map(|(task, _)| task.clone()).collect();
        for task in expired {
            if !matches!(self.runs[&task].phase, Phase::Stopping { .. }) {
                warn!(%task, "no entry has claimed a run, stopping it");
                self.end_run(&task, AfterStop::Discard, now, out);
            }
            self.bound_orphaned_run(&task);
        }
        let has_orphaned = self.runs.values().any(|run| run.orphaned_until.is_some());
        if has_orphaned && now >= self.next_orphan_report {
            self.next_orphan_report = now.after_millis(REPORT_INTERVAL_MS);
            self.broadcast_orphaned(out);
        }
    }
}

impl Run {
    fn assign_owner(&mut self, link: LinkNo) {
        self.link = link;
        self.orphaned_until = None;
        if let Phase::Stopping { after_stop, .. } = &mut self.phase {
            // The new owner needs a report of the end of the run.
            *after_stop = AfterStop::Report(Outcome::Aborted);
        }
    }
}
