//! Steps whose tasks work only together.
//!
//! A gang is placed as a whole, where all of its tasks find free room at once, and each attempt has
//! an epoch of its own, so that all members have the same run number. When a member ends without
//! being done, the others are stopped and reported, and the gang is placed again.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::fleet::Fleet;
use super::job::{Job, Task, TaskState};
use super::submission::Step;
use crate::{EntryFrame, JobId, LinkNo, Outcome, TaskEnd};

impl Entry {
    /// Chooses agents for all tasks of a gang; returns none unless all of them find free room.
    ///
    /// The room of the choices is reserved. A gang that suffers from distance goes to a single rack
    /// if one has the room.
    pub(super) fn plan_gang(&mut self, job: &Job, step: u16, now: Time) -> Vec<(usize, LinkNo)> {
        let about = &job.submission.steps[usize::from(step)];
        if about.colocated {
            for label in self.fleet.labels(&job.route.service) {
                let choices = self.plan_members(job, step, Some(&label), now);
                if !choices.is_empty() {
                    return choices;
                }
            }
        }
        self.plan_members(job, step, None, now)
    }

    fn plan_members(
        &mut self,
        job: &Job,
        step: u16,
        label: Option<&str>,
        now: Time,
    ) -> Vec<(usize, LinkNo)> {
        let needs = job.submission.steps[usize::from(step)].needs;
        let expected = self.expected(job, step);
        let mut choices = Vec::new();
        let mut taken = Vec::new();
        for position in job.positions(step) {
            let choice = self.choose(job, position, &taken, label, now);
            let Some(choice) = choice else {
                self.forget_members(&choices);
                return Vec::new();
            };
            if let Some(view) = self.fleet.views.get_mut(&choice.link) {
                view.planned(needs, expected);
            }
            taken.push((choice.link, step));
            choices.push((position, choice.link));
        }
        choices
    }

    /// Gives the room of members back that were planned last.
    fn forget_members(&mut self, choices: &[(usize, LinkNo)]) {
        for (_, link) in choices {
            if let Some(view) = self.fleet.views.get_mut(link) {
                view.forget_last();
            }
        }
    }

    /// Stops the other members of a gang, one of which has ended without being done.
    pub(super) fn break_gang(&mut self, id: &JobId, step: u16, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.broken.insert(step) {
            return;
        }
        info!(job = %id, step, "gang is broken, stopping its members");
        for (link, indexes) in job.sent(step) {
            let frame = EntryFrame::Stop {
                job: id.clone(),
                tasks: indexes.into_iter().map(|index| (step, index)).collect(),
                report: true,
            };
            out.push(Action::Send { link, frame });
        }
    }

    /// Stops what is left of the gangs of a job that has lost members with a link.
    pub(super) fn break_lost_gangs(&mut self, id: &JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let steps = job.submission.steps.iter().enumerate();
        let broken: Vec<u16> = steps
            .filter(|(_, about)| about.gang)
            .map(|(step, _)| step as u16)
            .filter(|&step| job.has_lost(step))
            .collect();
        for step in broken {
            self.break_gang(id, step, out);
        }
    }
}

impl Job {
    /// Returns whether the tasks of a step work only together.
    pub(super) fn is_gang(&self, step: u16) -> bool {
        let steps = &self.submission.steps;
        steps.get(usize::from(step)).is_some_and(|about| about.gang)
    }

    /// Returns the positions of the tasks of a step.
    pub(super) fn positions(&self, step: u16) -> Vec<usize> {
        let numbered = self.tasks.iter().enumerate();
        let of_step = numbered.filter(|(_, task)| task.step == step);
        of_step.map(|(position, _)| position).collect()
    }

    /// Begins a new attempt of a gang.
    pub(super) fn begin_gang(&mut self, step: u16) {
        self.broken.remove(&step);
        let of_step = self.tasks.iter().filter(|task| task.step == step);
        let last = of_step.map(|task| task.epoch).max().unwrap_or_default();
        for task in self.tasks.iter_mut().filter(|task| task.step == step) {
            task.epoch = last.saturating_add(1);
        }
    }

    /// Applies the end of a member to all of its gang: one that is done stands for all, and one that
    /// failed counts once for an attempt.
    pub(super) fn share_end(&mut self, end: &TaskEnd) {
        let members = self
            .tasks
            .iter_mut()
            .filter(|task| task.step == end.task.step);
        for task in members {
            match end.outcome {
                Outcome::Done => task.state = TaskState::Done,
                Outcome::Failed if task.failed_run < end.run => {
                    task.failures += 1;
                    task.failed_run = end.run;
                }
                _ => {}
            }
        }
    }

    /// Counts all members of each gang as done of which one is.
    pub(super) fn share_done(&mut self) {
        for step in 0..self.submission.steps.len() as u16 {
            let done = |task: &Task| task.step == step && task.state == TaskState::Done;
            if !self.is_gang(step) || !self.tasks.iter().any(done) {
                continue;
            }
            for task in self.tasks.iter_mut().filter(|task| task.step == step) {
                task.state = TaskState::Done;
            }
        }
    }

    /// Gives all members of a gang the progress that one of them has saved.
    pub(super) fn share_checkpoint(&mut self, step: u16, value: &str) {
        for task in self.tasks.iter_mut().filter(|task| task.step == step) {
            task.checkpoint = Some(value.to_owned());
        }
    }

    /// Gives all members of each gang the failures that are stored for one of them.
    pub(super) fn share_failures(&mut self) {
        for step in 0..self.submission.steps.len() as u16 {
            if !self.is_gang(step) {
                continue;
            }
            let of_step = self.tasks.iter().filter(|task| task.step == step);
            let failures = of_step.map(|task| task.failures).max().unwrap_or_default();
            for task in self.tasks.iter_mut().filter(|task| task.step == step) {
                task.failures = failures;
            }
        }
    }

    fn has_lost(&self, step: u16) -> bool {
        let mut of_step = self.tasks.iter().filter(|task| task.step == step);
        of_step.any(|task| matches!(task.state, TaskState::Lost(_)))
    }

    /// Returns the tasks of a step that were sent, by agent.
    fn sent(&self, step: u16) -> Vec<(LinkNo, Vec<u16>)> {
        let mut by_link: BTreeMap<LinkNo, Vec<u16>> = BTreeMap::new();
        for task in self.tasks.iter().filter(|task| task.step == step) {
            if let TaskState::Sent(link) = task.state {
                by_link.entry(link).or_default().push(task.index);
            }
        }
        by_link.into_iter().collect()
    }
}

/// Returns whether the empty endpoints of a service have room for all tasks of a gang.
pub(super) fn gang_fits(fleet: &Fleet, service: &str, step: &Step) -> bool {
    let of_service = fleet.views.values().filter(|view| view.service == service);
    let room: u32 = of_service
        .map(|view| {
            let most = step.spread.map_or(u32::MAX, u32::from);
            step.needs.times_in(view.capacity).min(most)
        })
        .fold(0, u32::saturating_add);
    room >= u32::from(step.count)
}
