//! Moves of long-running tasks away from endpoints and agents that are about to leave.
//!
//! Such tasks don't end by themselves in time. A task is stopped only when another endpoint has room
//! for it, and while so many others of its step are at work that its callers can do without it.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::fleet::View;
use super::job::{Job, Task, TaskState};
use crate::{EntryFrame, JobId, LinkNo};

/// A task to be moved.
#[derive(Debug, Clone, Copy)]
struct Move {
    position: usize,
    from: LinkNo,
}

impl Entry {
    /// Stops long-running tasks at agents that are about to leave, so that they run elsewhere.
    pub(super) fn evacuate(&mut self, now: Time, out: &mut Vec<Action>) {
        let views = self.fleet.views.iter();
        let leaving = views.filter(|(_, view)| view.load.draining || view.load.stopping);
        // Whether the endpoint itself leaves.
        let leaving: BTreeMap<LinkNo, bool> = leaving
            .map(|(&link, view)| (link, view.load.draining))
            .collect();
        if leaving.is_empty() || !self.kept.runs() {
            return;
        }
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, job)| job.submission.is_long_running());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in jobs {
            if let Some(mut job) = self.jobs.remove(&id) {
                let moves = self.moves(&job, &leaving, now);
                self.carry_out_moves(&mut job, &moves, out);
                self.jobs.insert(id, job);
            }
        }
        let views = self.fleet.views.values_mut();
        views.for_each(View::forget_plan);
    }

    /// Returns the tasks of a job to be moved now. Room for them is reserved.
    fn moves(&mut self, job: &Job, leaving: &BTreeMap<LinkNo, bool>, now: Time) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut taken = Vec::new();
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
            // A task that leaves with its endpoint is away in any case.
            let budget = &mut budgets[usize::from(task.step)];
            if *budget == 0 && task.working && !draining {
                continue;
            }
            let Some(choice) = self.choose(job, position, &taken, None, now) else {
                continue;
            };
            let needs = job.submission.steps[usize::from(task.step)].needs;
            if let Some(view) = self.fleet.views.get_mut(&choice.link) {
                view.planned(needs, 0);
            }
            taken.push((choice.link, task.step));
            *budget = budget.saturating_sub(u16::from(task.working));
            moves.push(Move { position, from });
        }
        moves
    }

    fn carry_out_moves(&self, job: &mut Job, moves: &[Move], out: &mut Vec<Action>) {
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
    /// Returns for each step how many more of its tasks may be stopped now.
    fn move_budgets(&self) -> Vec<u16> {
        let steps = self.submission.steps.iter().enumerate();
        let budgets = steps.map(|(step, about)| {
            let Some(most) = about.may_miss else {
                return u16::MAX;
            };
            let away = |task: &&Task| usize::from(task.step) == step && !task.working;
            let away = self.tasks.iter().filter(away).count();
            most.saturating_sub(u16::try_from(away).unwrap_or(u16::MAX))
        });
        budgets.collect()
    }
}
