//! A job of a caller.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use fulmarpond_core::Time;

use super::configuration::Route;
use super::submission::Submission;
use super::{RequestNo, StepKey};
use crate::ledger::JobState;
use crate::{JobId, LinkNo};

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// It waits for the steps before it, or to be placed.
    Waiting,
    /// It was sent to an agent.
    Sent(LinkNo),
    /// Its agent is lost; a run may go on until then.
    Lost(Time),
    /// It waits until the store has the new epoch of its runs.
    Confirming,
    /// Its run has ended, and it is started again then.
    Resting(Time),
    /// It is done.
    Done,
}

/// A task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) step: u16,
    pub(super) index: u16,
    pub(super) state: TaskState,
    pub(super) failures: u32,
    /// How often a run was given up or cut short.
    pub(super) aborts: u32,
    /// The progress that it has saved.
    pub(super) checkpoint: Option<String>,
    /// The epoch of its runs.
    pub(super) epoch: u16,
    /// The number of the last run whose failure was counted.
    pub(super) failed_run: u32,
    /// How many runs in a row have ended soon after their start, of a task that should go on.
    pub(super) short_runs: u32,
    /// The agent that it was sent to last.
    pub(super) last: Option<LinkNo>,
    /// Whether it is at work, of a task that runs until it is stopped.
    pub(super) working: bool,
    /// Whether it is stopped so that it can run elsewhere.
    pub(super) moving: bool,
    /// The host of the agent that a long-running task was lost with.
    pub(super) lost_at: Option<String>,
}

/// A job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    /// The request that waits for the end of the job; none for a job that is kept.
    pub(super) request: Option<RequestNo>,
    /// The state in the store of a job that is kept.
    pub(super) state: Option<JobState>,
    /// Before this no task is placed: runs for an earlier owner may go on.
    pub(super) hold_until: Time,
    pub(super) route: Rc<Route>,
    pub(super) submission: Submission,
    pub(super) tasks: Vec<Task>,
    pub(super) arrived: Time,
    /// Until when its tasks have to start to meet the objective.
    pub(super) start_by: Time,
    /// After this its answer is of no use.
    pub(super) useful_until: Time,
    /// When the caller leaves.
    pub(super) deadline: Time,
    /// How long its tasks were expected to wait for room when it was admitted, in milliseconds.
    pub(super) wait: u64,
    /// When its last task began, as far as the agents have said.
    pub(super) last_start: Time,
    /// Whether some task may have started.
    pub(super) begun: bool,
    /// Whether its tasks were called back since it missed its objective.
    pub(super) withdrawn: bool,
    /// Steps whose gang has lost a member and is being stopped.
    pub(super) broken: BTreeSet<u16>,
    /// Agents where its tasks met trouble.
    pub(super) avoided: Vec<LinkNo>,
}

impl Job {
    pub(super) fn tasks_of(submission: &Submission) -> Vec<Task> {
        let mut tasks = Vec::new();
        for (step, about) in submission.steps.iter().enumerate() {
            for index in 0..about.count {
                tasks.push(Task {
                    step: step as u16,
                    index,
                    state: TaskState::Waiting,
                    failures: 0,
                    aborts: 0,
                    checkpoint: None,
                    epoch: 0,
                    failed_run: 0,
                    short_runs: 0,
                    last: None,
                    working: false,
                    moving: false,
                    lost_at: None,
                });
            }
        }
        tasks
    }

    pub(super) fn task(&mut self, step: u16, index: u16) -> Option<&mut Task> {
        let mut tasks = self.tasks.iter_mut();
        tasks.find(|task| task.step == step && task.index == index)
    }

    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Returns whether no task has started or can start any more.
    pub(super) fn has_not_run(&self) -> bool {
        let quiet = |task: &Task| task.state == TaskState::Waiting;
        !self.begun && self.tasks.iter().all(quiet)
    }

    /// Returns the positions of the tasks that can be placed now.
    pub(super) fn ready(&self) -> Vec<usize> {
        let steps = 0..self.submission.steps.len();
        let can_start: Vec<bool> = steps.map(|step| self.can_start(step)).collect();
        let numbered = self.tasks.iter().enumerate();
        let ready = numbered.filter(|(_, task)| {
            task.state == TaskState::Waiting && can_start[usize::from(task.step)]
        });
        ready.map(|(position, _)| position).collect()
    }

    /// Returns whether the waiting tasks of a step may start: after the steps before it, and those
    /// of a gang only together.
    fn can_start(&self, step: usize) -> bool {
        let about = &self.submission.steps[step];
        let state_of_all = |step: usize, state: TaskState| {
            let mut tasks = self.tasks.iter();
            tasks.all(|task| usize::from(task.step) != step || task.state == state)
        };
        let mut before = about.after.iter();
        let after = before.all(|&step| state_of_all(usize::from(step), TaskState::Done));
        after && (!about.gang || state_of_all(step, TaskState::Waiting))
    }

    /// Returns how many tasks of a step each agent runs or has done.
    pub(super) fn spread(&self, step: u16) -> BTreeMap<LinkNo, u16> {
        let mut counts = BTreeMap::new();
        for task in self.tasks.iter().filter(|task| task.step == step) {
            let there = match task.state {
                TaskState::Sent(_) | TaskState::Done => task.last,
                TaskState::Waiting
                | TaskState::Lost(_)
                | TaskState::Confirming
                | TaskState::Resting(_) => None,
            };
            if let Some(link) = there {
                *counts.entry(link).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Takes back the tasks whose lost runs are over and those that have rested, and returns their
    /// number. Those of a kept job begin a new epoch, unless their ends are of no account.
    pub(super) fn release_lost(&mut self, now: Time) -> u32 {
        let mut released = 0;
        for task in &mut self.tasks {
            let (TaskState::Lost(over) | TaskState::Resting(over)) = task.state else {
                continue;
            };
            if over > now {
                continue;
            }
            released += 1;
            task.state = TaskState::Waiting;
            if self.submission.steps[usize::from(task.step)].long_running {
                continue;
            }
            let Some(state) = &mut self.state else {
                continue;
            };
            task.state = TaskState::Confirming;
            task.epoch = task.epoch.saturating_add(1);
            if let Some(step) = state.steps.get_mut(usize::from(task.step)) {
                step.set_epoch(task.index, task.epoch);
            }
        }
        released
    }

    /// Returns whether tasks wait until the store has the epoch of their runs.
    pub(super) fn is_confirming(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| task.state == TaskState::Confirming)
    }

    /// Lets tasks be placed whose epoch is in the store; returns whether there are any.
    pub(super) fn confirm(&mut self, stored: &JobState) -> bool {
        let mut any = false;
        for task in &mut self.tasks {
            let step = stored.steps.get(usize::from(task.step));
            let epoch = step.map_or(0, |step| step.epoch(task.index));
            if task.state == TaskState::Confirming && epoch >= task.epoch {
                task.state = TaskState::Waiting;
                any = true;
            }
        }
        any
    }

    /// Returns where tasks of a step go on that have saved their progress.
    pub(super) fn checkpoints(&self, step: u16, indexes: &[u16]) -> Vec<(u16, String)> {
        let tasks = self.tasks.iter();
        let of_order = tasks.filter(|task| task.step == step && indexes.contains(&task.index));
        let saved = of_order.filter_map(|task| Some((task.index, task.checkpoint.clone()?)));
        saved.collect()
    }

    /// Returns the name of a step.
    pub(super) fn step_key(&self, step: u16) -> StepKey {
        StepKey {
            job: self.id.clone(),
            step,
        }
    }

    /// Returns the links that hold tasks of the job.
    pub(super) fn links(&self) -> Vec<LinkNo> {
        let mut links: Vec<LinkNo> = self
            .tasks
            .iter()
            .filter_map(|task| match task.state {
                TaskState::Sent(link) => Some(link),
                _ => None,
            })
            .collect();
        links.sort_unstable();
        links.dedup();
        links
    }
}
