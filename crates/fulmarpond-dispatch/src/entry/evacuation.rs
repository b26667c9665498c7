//! Relocation of long-running tasks from endpoints and agents that are about to leave.
//!
//! Such tasks do not end by themselves in time. A task is stopped only if another endpoint has free
//! capacity for it, and only while enough other tasks of its step are working.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::fleet::AgentView;
use super::job::{Job, Task, TaskState};
use crate::{Class, EntryFrame, JobId, LinkNo};

/// A task to be stopped at its agent and placed elsewhere.
#[derive(Debug, Clone, Copy)]
struct Move {
    position: usize,
    from: LinkNo,
}

impl Entry {
    /// Stops long-running tasks at agents that are about to leave, so that they are placed
    /// elsewhere.
    pub(super) fn evacuate(&mut self, now: Time, out: &mut Vec<Action>) {
        let views = self.fleet.views.iter();
        let leaving = views.filter(|(_, view)| view.load.draining || view.load.stopping);
        // The value is whether the endpoint itself leaves, rather than only its agent.
        let leaving: BTreeMap<LinkNo, bool> = leaving
            .map(|(&link, view)| (link, view.load.draining))
            .collect();
        if leaving.is_empty() || !self.durable.can_place_tasks(now) {
            return;
        }
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, job)| job.submission.is_long_running());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in jobs {
            if let Some(mut job) = self.jobs.remove(&id) {
                let moves = self.plan_moves(&job, &leaving, now);
                self.stop_moving_tasks(&mut job, &moves, out);
                self.jobs.insert(id, job);
            }
        }
        let views = self.fleet.views.values_mut();
        views.for_each(AgentView::release_reservations);
    }

    /// Returns the tasks of a job to be moved now, and reserves capacity for them elsewhere.
    fn plan_moves(&mut self, job: &Job, leaving: &BTreeMap<LinkNo, bool>, now: Time) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut assigned = Vec::new();
        let mut budgets = job.move_budgets();
        for (position, task) in job.tasks.iter().enumerate() {
            let TaskState::Sent(from) = task.state else {
                continue;
            };
            let Some(&draining) = leaving.get(&from) else {
                continue;
            };
            if task.moving || !job.is_long_running(task.step) {
                continue;
            }
            // A task whose endpoint leaves is interrupted in any case, so it needs no budget.
            let budget = &mut budgets[usize::from(task.step)];
            if *budget == 0 && task.working && !draining {
                continue;
            }
            let Some(choice) = self.choose(job, position, &assigned, None, now) else {
                continue;
            };
            let needs = job.submission.steps[usize::from(task.step)].needs;
            if let Some(view) = self.fleet.views.get_mut(&choice.link) {
                view.reserve(Class::of(job.route.priority), needs, 0);
            }
            assigned.push((choice.link, task.step));
            *budget = budget.saturating_sub(u16::from(task.working));
            moves.push(Move { position, from });
        }
        moves
    }

    fn stop_moving_tasks(&self, job: &mut Job, moves: &[Move], out: &mut Vec<Action>) {
        for &Move { position, from } in moves {
            let id = job.id.clone();
            let task = &mut job.tasks[position];
            task.moving = true;
            task.working = false;
            info!(
                job = %id,
                step = task.step,
                index = task.index,
                agent = self.fleet.name(from),
                "moving a long-running task away from an agent that leaves"
            );
            let frame = EntryFrame::Stop {
                job: id,
                tasks: vec![(task.step, task.index)],
                report: true,
            };
            out.push(Action::Send { link: from, frame });
        }
    }
}

impl Job {
    /// Returns for each step how many more of its working tasks may be stopped now.
    fn move_budgets(&self) -> Vec<u16> {
        let steps = self.submission.steps.iter().enumerate();
        let budgets = steps.map(|(step, definition)| {
            let Some(max_missing) = definition.may_miss else {
                return u16::MAX;
            };
            let missing = |task: &&Task| usize::from(task.step) == step && !task.working;
            let missing = self.tasks.iter().filter(missing).count();
            max_missing.saturating_sub(u16::try_from(missing).unwrap_or(u16::MAX))
        });
        budgets.collect()
    }
}
