//! The expected wait of a task at an agent, by the order in which the agent starts tasks.

use super::fleet::AgentView;
use super::queueing::{GuaranteedSupply, RunningRoom, Supply, Tasks, time_to_start};
use crate::{Class, Resources};

/// The maximum expected time until a task starts that is reckoned with, in milliseconds.
const MAX_NEXT_END_MS: u32 = 10_000;

/// The properties of a task on which its expected queueing time depends.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedTask {
    pub(super) class: Class,
    pub(super) needs: Resources,
    /// How long it may wait without missing its latency objective, in milliseconds.
    pub(super) slack_ms: u64,
    /// The expected run time, in milliseconds.
    pub(super) expected_ms: u32,
}

impl AgentView {
    /// Returns the expected queueing time of a task, in milliseconds.
    pub(super) fn expected_wait(&self, task: QueuedTask) -> f64 {
        let backlog = &self.load.backlog;
        let goes_first = Class::ALL
            .into_iter()
            .all(|class| class > task.class || !backlog.has_work(class));
        let free = self.free();
        if goes_first && task.needs.fits(free) {
            return 0.0;
        }
        let return_wait = self.zone_return.wait_ms(task.needs, free, self.load.free);
        self.queueing_time(task).max(return_wait)
    }

    /// Returns the expected time that a task waits for other tasks, in milliseconds.
    fn queueing_time(&self, task: QueuedTask) -> f64 {
        let cores = f64::from(self.shared_capacity().cpu.max(1)) / 1_000.0;
        let next_end_ms = f64::from(self.load.next_end_ms.min(MAX_NEXT_END_MS));
        let ahead = Class::ALL.map(|class| self.work_ahead(class, task) as f64);
        let total: f64 = ahead.iter().sum();
        if self.has_only(task.class) {
            return next_end_ms + total / cores;
        }
        self.competing_wait(task, cores, ahead)
            .unwrap_or(next_end_ms + total / cores)
    }

    /// Returns the work of a class that starts before a task, in core-milliseconds.
    fn work_ahead(&self, class: Class, task: QueuedTask) -> u64 {
        if class > task.class {
            return 0;
        }
        let slack_ms = if class == task.class {
            task.slack_ms
        } else {
            u64::MAX
        };
        self.load.backlog.work_ahead(class, slack_ms) + self.unacknowledged.work(class)
    }

    /// Returns whether no work of other classes waits or runs, as far as is known.
    fn has_only(&self, class: Class) -> bool {
        let backlog = &self.load.backlog;
        let mut others = Class::ALL.into_iter().filter(|other| *other != class);
        let is_present = |other| backlog.has_work(other) || backlog.running(other).0 > 0;
        !others.any(is_present) && self.unacknowledged.has_only(class)
    }

    /// Returns the expected queueing time of a task among several classes, in milliseconds, or
    /// `None` if it is not known what runs.
    fn competing_wait(
        &self,
        task: QueuedTask,
        cores: f64,
        ahead: [f64; Class::COUNT],
    ) -> Option<f64> {
        let running = self.running_rooms();
        if running.iter().all(|running| running.cores == 0.0) {
            return None;
        }
        let position = task.class.index();
        let used_by_higher: f64 = running[..position].iter().map(|higher| higher.cores).sum();
        let own = Tasks {
            room: f64::from(task.needs.cpu) / 1_000.0,
            run_ms: f64::from(task.expected_ms.max(1)),
        };
        let own_ahead = own.with(Tasks::of(ahead[position], own.run_ms));
        let all_ahead = with_higher_classes(own_ahead, own.run_ms, &ahead[..position], &running);
        let max_ms = f64::from(MAX_NEXT_END_MS);
        let supply = Supply {
            free: f64::from(self.load.free.cpu) / 1_000.0,
            running: &running[position..],
            limit: cores - self.kept_by_lower(task.class, cores) - used_by_higher,
        };
        let share = cores * self.load.weights.share(task.class);
        let guaranteed = GuaranteedSupply {
            share,
            used: running[position].cores.min(share),
            supply: Supply {
                running: &running,
                limit: cores,
                ..supply
            },
        };
        let by_order = time_to_start(all_ahead, max_ms, |time| supply.started(time, all_ahead));
        if guaranteed.started(by_order, own_ahead) < own_ahead.room {
            return Some(by_order);
        }
        let by_share = time_to_start(own_ahead, max_ms, |time| {
            guaranteed.started(time, own_ahead)
        });
        Some(by_order.min(by_share))
    }

    fn running_rooms(&self) -> [RunningRoom; Class::COUNT] {
        Class::ALL.map(|class| {
            let (cpu, run_ms) = self.load.backlog.running(class);
            RunningRoom {
                cores: f64::from(cpu) / 1_000.0,
                run_ms: f64::from(run_ms),
            }
        })
    }

    /// Returns the guaranteed room of the lower classes that have waiting work, in cores.
    fn kept_by_lower(&self, class: Class, cores: f64) -> f64 {
        let lower = Class::ALL.into_iter().filter(|other| *other > class);
        lower
            .filter(|class| self.load.backlog.has_work(*class))
            .map(|class| cores * self.load.weights.share(class))
            .sum()
    }
}

/// Adds the waiting work of higher classes, in core-milliseconds, to tasks. A class of which nothing
/// runs is taken to have the run time `default_run_ms`.
fn with_higher_classes(
    tasks: Tasks,
    default_run_ms: f64,
    ahead: &[f64],
    running: &[RunningRoom],
) -> Tasks {
    let higher = ahead.iter().zip(running);
    higher.fold(tasks, |sum, (&work, running)| {
        let run_ms = match running.run_ms {
            0.0 => default_run_ms,
            run_ms => run_ms,
        };
        sum.with(Tasks::of(work, run_ms))
    })
}
