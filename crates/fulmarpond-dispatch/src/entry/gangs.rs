//! Gang scheduling: steps whose tasks work only together.
//!
//! A gang is placed as a whole, only if all of its tasks find free capacity at the same time. Each
//! attempt has its own epoch, so that all members have the same run number. When a member ends
//! without being done, the others are stopped with a report, and the gang is placed again.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::fleet::{AgentView, Fleet};
use super::job::{Job, Task, TaskState};
use super::submission::Step;
use crate::{Class, EntryFrame, JobId, LinkNo, Outcome, TaskEnd};

impl Entry {
    /// Chooses agents for all tasks of a gang, and reserves their capacity. Returns an empty list
    /// unless all tasks find free capacity.
    ///
    /// A gang that runs slower across racks (`colocated`) is placed within a single rack if one has
    /// enough free capacity.
    pub(super) fn plan_gang(&mut self, job: &Job, step: u16, now: Time) -> Vec<(usize, LinkNo)> {
        let definition = &job.submission.steps[usize::from(step)];
        if definition.colocated {
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
        let expected_ms = self.expected_run_ms(job, step);
        let mut choices = Vec::new();
        let mut assigned = Vec::new();
        for position in job.positions(step) {
            let choice = self.choose(job, position, &assigned, label, now);
            let Some(choice) = choice else {
                self.release_reservations(&choices);
                return Vec::new();
            };
            if let Some(view) = self.fleet.views.get_mut(&choice.link) {
                let class = Class::of(job.route.priority);
                view.reserve(class, needs, view.lasting_run_ms(expected_ms));
            }
            assigned.push((choice.link, step));
            choices.push((position, choice.link));
        }
        choices
    }

    /// Releases the capacity reserved for the members that were planned last.
    fn release_reservations(&mut self, choices: &[(usize, LinkNo)]) {
        for (_, link) in choices {
            if let Some(view) = self.fleet.views.get_mut(link) {
                view.release_last_reservation();
            }
        }
    }

    /// Stops the remaining members of a gang after one has ended without being done.
    pub(super) fn break_gang(&mut self, id: &JobId, step: u16, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.broken_gangs.insert(step) {
            return;
        }
        info!(job = %id, step, "gang is broken, stopping its members");
        for (link, indexes) in job.sent_by_agent(step) {
            let frame = EntryFrame::Stop {
                job: id.clone(),
                tasks: indexes.into_iter().map(|index| (step, index)).collect(),
                report: true,
            };
            out.push(Action::Send { link, frame });
        }
    }

    /// Stops the remaining members of each gang that lost members when a link was closed.
    pub(super) fn break_lost_gangs(&mut self, id: &JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let steps = job.submission.steps.iter().enumerate();
        let broken: Vec<u16> = steps
            .filter(|(_, definition)| definition.gang)
            .map(|(step, _)| step as u16)
            .filter(|&step| job.has_lost_tasks(step))
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
        steps
            .get(usize::from(step))
            .is_some_and(|definition| definition.gang)
    }

    /// Returns the positions of the tasks of a step.
    pub(super) fn positions(&self, step: u16) -> Vec<usize> {
        let numbered = self.tasks.iter().enumerate();
        let step_tasks = numbered.filter(|(_, task)| task.step == step);
        step_tasks.map(|(position, _)| position).collect()
    }

    /// Starts a new attempt of a gang: all members get the next epoch.
    pub(super) fn begin_gang(&mut self, step: u16) {
        self.broken_gangs.remove(&step);
        let step_tasks = self.tasks.iter().filter(|task| task.step == step);
        let epoch = step_tasks.map(Task::next_epoch).max().unwrap_or_default();
        for task in self.tasks.iter_mut().filter(|task| task.step == step) {
            task.epoch = epoch;
            if let Some(state) = &mut self.state
                && let Some(progress) = state.steps.get_mut(usize::from(step))
            {
                progress.set_epoch(task.index, epoch);
            }
        }
    }

    /// Applies the end of a member to its whole gang: if one is done, all are done, and several
    /// failures in one attempt count as one.
    pub(super) fn propagate_member_end(&mut self, end: &TaskEnd) {
        let members = self
            .tasks
            .iter_mut()
            .filter(|task| task.step == end.task.step);
        for task in members {
            match end.outcome {
                Outcome::Done => task.state = TaskState::Done,
                Outcome::Failed => task.count_failed_attempt(end.run),
                _ => {}
            }
        }
    }

    /// Marks all members of a gang as done if one of them is.
    pub(super) fn propagate_gang_completion(&mut self) {
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

    /// Sets the checkpoint saved by one member of a gang for all members.
    pub(super) fn propagate_checkpoint(&mut self, step: u16, value: &str) {
        for task in self.tasks.iter_mut().filter(|task| task.step == step) {
            task.checkpoint = Some(value.to_owned());
        }
    }

    /// Sets the failure count of all members of a gang to the highest one stored for any of them, and
    /// their failed runs to those of all.
    pub(super) fn propagate_gang_failures(&mut self) {
        for step in 0..self.submission.steps.len() as u16 {
            if !self.is_gang(step) {
                continue;
            }
            let (mut failures, mut failed_runs, mut last_run) = (0, Vec::new(), 0);
            for task in self.tasks.iter().filter(|task| task.step == step) {
                failures = task.failures.max(failures);
                failed_runs.extend(&task.failed_runs);
                last_run = task.last_run.max(last_run);
            }
            for task in self.tasks.iter_mut().filter(|task| task.step == step) {
                task.failures = failures;
                task.failed_runs.clone_from(&failed_runs);
                task.last_run = last_run;
            }
        }
    }

    fn has_lost_tasks(&self, step: u16) -> bool {
        let mut step_tasks = self.tasks.iter().filter(|task| task.step == step);
        step_tasks.any(|task| matches!(task.state, TaskState::Lost(_)))
    }

    /// Returns the indexes of the sent tasks of a step, by agent.
    fn sent_by_agent(&self, step: u16) -> Vec<(LinkNo, Vec<u16>)> {
        let mut by_link: BTreeMap<LinkNo, Vec<u16>> = BTreeMap::new();
        for task in self.tasks.iter().filter(|task| task.step == step) {
            if let TaskState::Sent(link) = task.state {
                by_link.entry(link).or_default().push(task.index);
            }
        }
        by_link.into_iter().collect()
    }
}

/// Returns whether the endpoints of a service could hold all tasks of a gang if they were idle.
pub(super) fn gang_fits(fleet: &Fleet, service: &str, step: &Step) -> bool {
    tasks_of_gang_that_fit(fleet, step, |view| view.service == service) >= u32::from(step.count)
}

/// Returns whether the endpoints of a service outside evacuated zones could hold all tasks of a
/// gang if they were idle.
pub(super) fn gang_fits_outside(fleet: &Fleet, service: &str, step: &Step) -> bool {
    let usable = |view: &AgentView| view.service == service && !view.is_evacuated;
    tasks_of_gang_that_fit(fleet, step, usable) >= u32::from(step.count)
}

fn tasks_of_gang_that_fit(
    fleet: &Fleet,
    step: &Step,
    is_usable: impl Fn(&AgentView) -> bool,
) -> u32 {
    let service_views = fleet.views.values().filter(|view| is_usable(view));
    service_views
        .map(|view| {
            let max_per_endpoint = step.spread.map_or(u32::MAX, u32::from);
            step.needs.times_in(view.capacity).min(max_per_endpoint)
        })
        .fold(0, u32::saturating_add)
}
