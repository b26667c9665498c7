//! Long-running tasks whose entry is gone, and that wait for the next owner of their jobs.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::Action;
use super::agent::Agent;
use super::run::{Phase, Run, Then};
use crate::{AgentFrame, Bounds, JobId, LinkNo, Outcome, TaskKey};

/// The interval at which tasks without an owner are told to the entries, in milliseconds.
const REPEAT_MS: u64 = 250;

impl Agent {
    /// Ends the tasks of an entry that is gone; those that go on until they are stopped wait for
    /// another owner.
    pub(super) fn end_or_disown(&mut self, tasks: &[TaskKey], now: Time, out: &mut Vec<Action>) {
        for task in tasks {
            if self.disown(task, now) {
                self.next_unowned = now;
            } else {
                self.end_run(task, Then::Forget, now, out);
            }
        }
    }

    fn disown(&mut self, task: &TaskKey, now: Time) -> bool {
        let Some(run) = self.runs.get_mut(task) else {
            return false;
        };
        let at_endpoint = matches!(run.phase, Phase::Starting | Phase::Running { .. });
        if !run.long_running || !at_endpoint {
            return false;
        }
        info!(%task, run = run.number, wait_ms = Bounds::ADOPTION_MS, "run waits for an owner");
        run.unowned = Some(now.after_millis(Bounds::ADOPTION_MS));
        true
    }

    /// Leaves the tasks of a job to another entry.
    pub(super) fn release(&mut self, link: LinkNo, job: &JobId, now: Time, out: &mut Vec<Action>) {
        let mut tasks = self.tasks_of(link);
        tasks.retain(|task| task.job == *job);
        self.end_or_disown(&tasks, now, out);
        self.fill(now, out);
        self.send_news(out);
    }

    /// Hands tasks without an owner to an entry that has become the owner of their jobs.
    pub(super) fn adopt_runs(&mut self, link: LinkNo, tasks: &[TaskKey], out: &mut Vec<Action>) {
        for task in tasks {
            match self.runs.get_mut(task) {
                Some(run) if run.unowned.is_some() => {
                    info!(%task, run = run.number, ?link, "run has an owner again");
                    run.adopted(link);
                    self.tell_working(task);
                }
                // Another entry may own it; its loss is told to this one as well.
                Some(_) => {}
                None => self.report(link, task.clone(), Outcome::Aborted, 0, 0),
            }
        }
        self.send_news(out);
    }

    /// Returns the tasks without an owner as told to entries, once it is known what runs here.
    pub(super) fn unowned(&self) -> Option<AgentFrame> {
        let endpoint = self.endpoint.as_ref()?;
        let unowned = self.runs.iter().filter(|(_, run)| run.unowned.is_some());
        let tasks = unowned.map(|(task, _)| task.clone()).collect();
        endpoint.settled.then_some(AgentFrame::Unowned(tasks))
    }

    /// Tells all entries which tasks have no owner.
    pub(super) fn tell_unowned(&self, out: &mut Vec<Action>) {
        let Some(frame) = self.unowned() else {
            return;
        };
        for &link in self.links.up.keys() {
            let frame = frame.clone();
            out.push(Action::Send { link, frame });
        }
    }

    /// Tells the tasks without an owner again, and ends those that have waited for too long.
    pub(super) fn check_unowned(&mut self, now: Time, out: &mut Vec<Action>) {
        let late = |run: &Run| run.unowned.is_some_and(|until| now >= until);
        let late = self.runs.iter().filter(|(_, run)| late(run));
        let late: Vec<TaskKey> = late.map(|(task, _)| task.clone()).collect();
        for task in late {
            if matches!(self.runs[&task].phase, Phase::Stopping { .. }) {
                continue;
            }
            warn!(%task, "no entry has claimed a run, stopping it");
            self.end_run(&task, Then::Forget, now, out);
        }
        let any = self.runs.values().any(|run| run.unowned.is_some());
        if any && now >= self.next_unowned {
            self.next_unowned = now.after_millis(REPEAT_MS);
            self.tell_unowned(out);
        }
    }
}

impl Run {
    fn adopted(&mut self, link: LinkNo) {
        self.link = link;
        self.unowned = None;
        if let Phase::Stopping { then, .. } = &mut self.phase {
            // The new owner has to know when the run is over.
            *then = Then::Report(Outcome::Aborted);
        }
    }
}
