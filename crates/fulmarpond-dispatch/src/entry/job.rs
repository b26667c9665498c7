//! State of a job and its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use fulmarpond_core::Time;

use super::submission::Submission;
use super::{RequestNo, StepKey};
use crate::configuration::Route;
use crate::epoch::{epoch_of, run_before_first};
use crate::ledger::JobState;
use crate::{JobId, LinkNo};

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Waits for earlier steps, or to be placed.
    Waiting,
    /// Sent to an agent.
    Sent(LinkNo),
    /// Its agent is lost; a run may continue until this time.
    Lost(Time),
    /// Waits until the new epoch of its runs is stored.
    Confirming,
    /// Its run has ended; it is restarted at this time.
    RestartDelayed(Time),
    /// Completed successfully.
    Done,
}

/// A task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) step: u16,
    pub(super) index: u16,
    pub(super) state: TaskState,
    pub(super) failures: u32,
    /// The number of runs that were started and then aborted.
    pub(super) aborts: u32,
    /// The last checkpoint that it has saved.
    pub(super) checkpoint: Option<String>,
    /// The current epoch of its runs.
    pub(super) epoch: u16,
    /// The runs whose failure was counted, so that none counts twice.
    pub(super) failed_runs: Vec<u32>,
    /// The highest number of its runs that is known.
    pub(super) last_run: u32,
    /// The highest number that a run before the present order has: the runs of that order have higher
    /// ones.
    pub(super) earlier_run: u32,
    /// The number of consecutive short runs, of a long-running task.
    pub(super) short_runs: u32,
    /// The agent that it was last sent to.
    pub(super) last_agent: Option<LinkNo>,
    /// Whether a long-running task has reported that it is working.
    pub(super) working: bool,
    /// Whether a long-running task is being stopped to be restarted on another endpoint.
    pub(super) moving: bool,
    /// The host of the lost agent of a long-running task.
    pub(super) lost_at: Option<String>,
}

impl Task {
    /// Counts the failure of a run, unless it is counted.
    pub(super) fn count_failure(&mut self, run: u32) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
            self.failures += 1;
        }
    }

    /// Counts the failure of an attempt of a gang, unless it is counted. Each attempt has an epoch; its
    /// members may have several run numbers, where agents know runs of the same epoch for another entry.
    pub(super) fn count_failed_attempt(&mut self, run: u32) {
        let mut counted = self.failed_runs.iter();
        let is_counted = counted.any(|&failed| epoch_of(failed) == epoch_of(run));
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
        self.failures += u32::from(!is_counted);
    }

    /// Records that the task is sent to an agent, which gives the run a higher number than all earlier
    /// ones have.
    pub(super) fn send_to(&mut self, link: LinkNo) {
        self.state = TaskState::Sent(link);
        self.last_agent = Some(link);
        self.earlier_run = self.last_run.max(run_before_first(self.epoch));
    }

    /// Returns where the task has been sent if a run at an agent isn't the one that was started there:
    /// its number is that of an earlier run, or the present run is at another agent.
    pub(super) const fn other_run_at(&self, link: LinkNo, run: u32) -> Option<LinkNo> {
        match self.state {
            TaskState::Sent(present) if present.0 != link.0 || run <= self.earlier_run => {
                Some(present)
            }
            _ => None,
        }
    }

    /// Returns the epoch that follows those of all runs so far.
    pub(super) fn next_epoch(&self) -> u16 {
        self.epoch.max(epoch_of(self.last_run)).saturating_add(1)
    }
}

/// A job in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    /// The requests that wait for the end of the job: several if its caller has sent it again, none
    /// for a durable job.
    pub(super) requests: Vec<RequestNo>,
    /// The state record of a durable job; `None` for any other job.
    pub(super) state: Option<JobState>,
    /// No task is placed before this time, since runs for a previous owner may continue.
    pub(super) hold_until: Time,
    pub(super) route: Rc<Route>,
    pub(super) submission: Submission,
    pub(super) tasks: Vec<Task>,
    pub(super) arrived: Time,
    /// The earliest time at which its caller can have sent this attempt.
    pub(super) sent_after: Time,
    /// The latest start of its tasks that meets the latency objective.
    pub(super) start_by: Time,
    /// The time after which its answer is considered useless.
    pub(super) useful_until: Time,
    /// The time at which the job is given up because its caller is about to leave.
    pub(super) deadline: Time,
    /// The queueing time that was expected at admission, in milliseconds.
    pub(super) planned_wait: u64,
    /// The latest reported start of a task.
    pub(super) last_start: Time,
    /// When its first task was sent to an agent, after the last loss of runs: when those end is unknown.
    pub(super) first_sent: Option<Time>,
    /// Whether the other entries have said that all earlier attempts were over before this one began.
    pub(super) is_successor: bool,
    /// Whether some task may have started.
    pub(super) has_started: bool,
    /// Whether its tasks were withdrawn because it missed its latency objective.
    pub(super) is_withdrawn: bool,
    /// Gang steps that have lost a member and whose other members are being stopped.
    pub(super) broken_gangs: BTreeSet<u16>,
    /// Agents at which its tasks ended without success.
    pub(super) avoided_agents: Vec<LinkNo>,
}

impl Job {
    /// Creates the tasks of a submission, in the order of its steps.
    pub(super) fn new_tasks(submission: &Submission) -> Vec<Task> {
        let counts = submission.steps.iter().map(|step| usize::from(step.count));
        let mut tasks = Vec::with_capacity(counts.sum());
        for (step, definition) in submission.steps.iter().enumerate() {
            for index in 0..definition.count {
                tasks.push(Task {
                    step: step as u16,
                    index,
                    state: TaskState::Waiting,
                    failures: 0,
                    aborts: 0,
                    checkpoint: None,
                    epoch: 0,
                    failed_runs: Vec::new(),
                    last_run: 0,
                    earlier_run: 0,
                    short_runs: 0,
                    last_agent: None,
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

    /// Returns whether no task has started, or can still start from an order already sent.
    pub(super) fn has_not_run(&self) -> bool {
        let is_waiting = |task: &Task| task.state == TaskState::Waiting;
        !self.has_started && self.tasks.iter().all(is_waiting)
    }

    /// Returns the positions of the tasks that can be placed now.
    pub(super) fn ready_tasks(&self) -> Vec<usize> {
        let steps = 0..self.submission.steps.len();
        let can_start: Vec<bool> = steps.map(|step| self.can_start(step)).collect();
        let numbered = self.tasks.iter().enumerate();
        let ready = numbered.filter(|(_, task)| {
            task.state == TaskState::Waiting && can_start[usize::from(task.step)]
        });
        ready.map(|(position, _)| position).collect()
    }

    /// Returns whether the waiting tasks of a step may start: once all preceding steps are done,
    /// and the tasks of a gang only when all of them are waiting.
    fn can_start(&self, step: usize) -> bool {
        let definition = &self.submission.steps[step];
        let all_in_state = |step: usize, state: TaskState| {
            let mut tasks = self.tasks.iter();
            tasks.all(|task| usize::from(task.step) != step || task.state == state)
        };
        let mut predecessors = definition.after.iter();
        let predecessors_done =
            predecessors.all(|&step| all_in_state(usize::from(step), TaskState::Done));
        predecessors_done && (!definition.gang || all_in_state(step, TaskState::Waiting))
    }

    /// Returns how many tasks of a step each agent runs or has completed.
    pub(super) fn tasks_per_agent(&self, step: u16) -> BTreeMap<LinkNo, u16> {
        let mut counts = BTreeMap::new();
        for task in self.tasks.iter().filter(|task| task.step == step) {
            let agent = match task.state {
                TaskState::Sent(_) | TaskState::Done => task.last_agent,
                TaskState::Waiting
                | TaskState::Lost(_)
                | TaskState::Confirming
                | TaskState::RestartDelayed(_) => None,
            };
            if let Some(link) = agent {
                *counts.entry(link).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Requeues the tasks whose lost runs have ended or whose restart delay is over, and returns
    /// their number. Tasks of a durable job begin a new epoch, except long-running ones, whose ends
    /// are not recorded.
    pub(super) fn requeue_lost_tasks(&mut self, now: Time) -> u32 {
        let mut released = 0;
        for task in &mut self.tasks {
            let (TaskState::Lost(until) | TaskState::RestartDelayed(until)) = task.state else {
                continue;
            };
            if until > now {
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
            task.epoch = task.next_epoch();
            if let Some(step) = state.steps.get_mut(usize::from(task.step)) {
                step.set_epoch(task.index, task.epoch);
            }
        }
        released
    }

    /// Returns whether tasks wait until the epoch of their runs is stored.
    pub(super) fn is_confirming(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| task.state == TaskState::Confirming)
    }

    /// Makes the tasks whose epoch is stored ready to be placed; returns whether there are any.
    pub(super) fn confirm(&mut self, stored: &JobState) -> bool {
        let mut any_confirmed = false;
        for task in &mut self.tasks {
            let step = stored.steps.get(usize::from(task.step));
            let epoch = step.map_or(0, |step| step.epoch(task.index));
            if task.state == TaskState::Confirming && epoch >= task.epoch {
                task.state = TaskState::Waiting;
                any_confirmed = true;
            }
        }
        any_confirmed
    }

    /// Returns the last runs of the given tasks of a step that belong to an epoch.
    pub(super) fn last_runs(&self, step: u16, epoch: u16, indexes: &[u16]) -> Vec<(u16, u32)> {
        let first = run_before_first(epoch);
        let tasks = self.tasks.iter();
        let started = tasks.filter(|task| task.step == step && task.last_run > first);
        let requested = started.filter(|task| indexes.contains(&task.index));
        requested.map(|task| (task.index, task.last_run)).collect()
    }

    /// Returns the checkpoints of the given tasks of a step.
    pub(super) fn checkpoints(&self, step: u16, indexes: &[u16]) -> Vec<(u16, String)> {
        let tasks = self.tasks.iter();
        let saved = tasks.filter(|task| task.step == step && task.checkpoint.is_some());
        let requested = saved.filter(|task| indexes.contains(&task.index));
        let requested = requested.filter_map(|task| Some((task.index, task.checkpoint.clone()?)));
        requested.collect()
    }

    /// Returns the key of a step.
    pub(super) fn step_key(&self, step: u16) -> StepKey {
        StepKey {
            job: self.id.clone(),
            step,
        }
    }

    /// Returns the links to agents that hold tasks of the job.
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
