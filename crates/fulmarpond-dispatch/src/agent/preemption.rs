//! Stops of runs of lower classes in favour of urgent tasks.
//!
//! Addresses a burst of the highest priority at an endpoint whose room is lent to long runs of lower
//! classes: they return it only as they end, which is later than short urgent tasks can wait. Stops
//! discard work, so they are limited to a small part of it.

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::agent::Agent;
use super::run::{AfterStop, Phase, Run};
use crate::{Class, Resources, TaskKey};

/// The minimum interval between two searches for runs to stop, in milliseconds. A search looks at
/// all runs, and room that becomes free in between is used without one.
const SEARCH_INTERVAL_MS: u64 = 5;

/// The maximum share of the work of the last [`WINDOW_S`] that may be discarded, in percent.
const MAX_DISCARDED_PERCENT: u64 = 5;

/// The time over which work is counted, in seconds.
const WINDOW_S: usize = 10;

/// The work of one second, in core-milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    number: u64,
    completed: u64,
    discarded: u64,
}

/// Whether and when runs may be stopped.
#[derive(Debug)]
pub(super) struct Preemption {
    pub(super) is_enabled: bool,
    next_search: Time,
    /// The last seconds with work, each at its number modulo [`WINDOW_S`].
    seconds: [Second; WINDOW_S],
}

impl Default for Preemption {
    fn default() -> Self {
        Self {
            is_enabled: true,
            next_search: Time::default(),
            seconds: [Second::default(); WINDOW_S],
        }
    }
}

impl Preemption {
    /// Counts work of runs that are done, in core-milliseconds.
    pub(super) fn record_completed(&mut self, work: u64, now: Time) {
        let second = self.second(now);
        second.completed = second.completed.saturating_add(work);
    }

    /// Counts work that is discarded, if that is permitted; returns whether it is.
    fn discard(&mut self, work: u64, now: Time) -> bool {
        let earliest = (now.as_millis() / 1_000).saturating_sub(WINDOW_S as u64 - 1);
        let recent = self
            .seconds
            .iter()
            .filter(|second| second.number >= earliest);
        let (completed, discarded) =
            recent.fold((0_u64, work), |(completed, discarded), second| {
                (
                    completed.saturating_add(second.completed),
                    discarded.saturating_add(second.discarded),
                )
            });
        let all = completed.saturating_add(discarded);
        let is_permitted =
            discarded.saturating_mul(100) <= all.saturating_mul(MAX_DISCARDED_PERCENT);
        if is_permitted {
            self.second(now).discarded += work;
        }
        is_permitted
    }

    fn second(&mut self, now: Time) -> &mut Second {
        let number = now.as_millis() / 1_000;
        let second = &mut self.seconds[(number % WINDOW_S as u64) as usize];
        if second.number != number {
            *second = Second {
                number,
                ..Second::default()
            };
        }
        second
    }
}

/// A run that may be stopped.
#[derive(Debug)]
struct Candidate {
    task: TaskKey,
    class: Class,
    needs: Resources,
    /// The work that a stop discards, in core-milliseconds. It includes the longest stop, during
    /// which the room is idle.
    lost_work: u64,
    start_by: Time,
}

/// What the tasks at the endpoint leave for urgent ones.
#[derive(Debug, Default)]
struct Room {
    /// The free room and that of runs that are being stopped.
    available: Resources,
    /// The CPU that becomes free, in thousandths of a core per millisecond.
    freed_per_ms: f64,
}

impl Agent {
    /// Stops runs of lower classes for tasks of the highest one that would start too late otherwise.
    pub(super) fn preempt_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.preemption.is_enabled
            || now < self.preemption.next_search
            || !self.shares.has_waiting(Class::HIGHEST)
        {
            return;
        }
        self.preemption.next_search = now.after_millis(SEARCH_INTERVAL_MS);
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let capacity = endpoint.registration.capacity;
        let shared = capacity.minus(self.used_capacity.minus(self.shares.total_used()));
        if !endpoint.accepts_tasks(now) || !self.shares.has_turn(Class::HIGHEST, shared, now) {
            return;
        }
        let mut room = self.room(capacity);
        let mut needed = Resources::default();
        let waiting = self.shares.considered(Class::HIGHEST);
        let urgent: Vec<(Time, TaskKey)> = waiting
            .map(|(start_by, task)| (start_by, task.clone()))
            .collect();
        let mut candidates = None;
        for (start_by, task) in urgent {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let expected_ms = run.expected_ms;
            needed = needed.plus(run.needs);
            let missing = needed.minus(room.available);
            let wait_ms = f64::from(missing.cpu) / room.freed_per_ms.max(f64::MIN_POSITIVE);
            let slack_ms = start_by.remaining_millis(now);
            let starts_in_time = missing == Resources::default() || wait_ms <= slack_ms as f64;
            // A stop may take so long that it does not help the task.
            if starts_in_time || slack_ms < self.options.lease_times.stop_ms {
                continue;
            }
            let candidates = candidates.get_or_insert_with(|| self.preemption_candidates(now));
            let stops_end = now.after_millis(self.options.lease_times.stop_ms);
            let latest = stops_end.after_millis(u64::from(expected_ms));
            let Some(chosen) = self.choose_stops(candidates, missing, shared, latest) else {
                return;
            };
            let lost_work = chosen.iter().map(|candidate| candidate.lost_work).sum();
            if !self.preemption.discard(lost_work, now) {
                return;
            }
            self.shares.reserve_for(task.clone(), stops_end);
            for candidate in chosen {
                info!(
                    job = %candidate.task.job,
                    task = %candidate.task,
                    lost_core_ms = candidate.lost_work,
                    urgent = %task,
                    slack_ms,
                    expected_wait_ms = wait_ms as u64,
                    "stopping a run for an urgent task"
                );
                self.counters.preempted += 1;
                self.counters.discarded_core_ms += candidate.lost_work;
                if let Some(run) = self.runs.get_mut(&candidate.task) {
                    run.was_preempted = true;
                }
                self.end_run(&candidate.task, AfterStop::Restart, now, out);
                room.available = room.available.plus(candidate.needs);
            }
        }
    }

    fn room(&self, capacity: Resources) -> Room {
        let mut room = Room {
            available: capacity.minus(self.used_capacity),
            freed_per_ms: 0.0,
        };
        for run in self.runs.values() {
            match run.phase {
                Phase::Stopping { .. } => room.available = room.available.plus(run.needs),
                Phase::Starting | Phase::Running { .. } if !run.is_long_running => {
                    room.freed_per_ms +=
                        f64::from(run.needs.cpu) / f64::from(run.expected_ms.max(1));
                }
                _ => {}
            }
        }
        room
    }

    /// Returns the runs that may be stopped, those with the least work done last.
    fn preemption_candidates(&self, now: Time) -> Vec<Candidate> {
        let stop_ms = self.options.lease_times.stop_ms;
        let is_preemptible = |run: &Run| {
            run.class > Class::HIGHEST
                && !(run.is_gang || run.is_long_running || run.is_durable || run.was_preempted)
        };
        let preemptible = self.runs.iter().filter(|(_, run)| is_preemptible(run));
        let candidates = preemptible.filter_map(|(task, run)| {
            let Phase::Running { since } = run.phase else {
                return None;
            };
            let lost_ms = now.millis_since(since) + stop_ms;
            Some(Candidate {
                task: task.clone(),
                class: run.class,
                needs: run.needs,
                lost_work: lost_ms * u64::from(run.needs.cpu) / 1_000,
                start_by: run.start_by,
            })
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_by(|a, b| (b.lost_work, &b.task).cmp(&(a.lost_work, &a.task)));
        candidates
    }

    /// Takes the candidates with the least work done that together leave the missing room, or
    /// returns `None` if there are not enough. Only lent room is taken, so that each class keeps its
    /// share, and only from runs whose latest start is after `latest`, so that they can run again.
    fn choose_stops(
        &self,
        candidates: &mut Vec<Candidate>,
        missing: Resources,
        shared: Resources,
        latest: Time,
    ) -> Option<Vec<Candidate>> {
        let mut used = Class::ALL.map(|class| self.shares.used(class));
        let mut chosen = Vec::new();
        let mut left = missing;
        for position in (0..candidates.len()).rev() {
            if left == Resources::default() {
                break;
            }
            let candidate = &candidates[position];
            let class = candidate.class;
            let remaining = used[class.index()].minus(candidate.needs);
            let is_lent = !self.shares.weights.is_below_share(class, remaining, shared);
            if is_lent && candidate.start_by > latest {
                used[class.index()] = remaining;
                left = left.minus(candidate.needs);
                chosen.push(position);
            }
        }
        let is_enough = left == Resources::default();
        is_enough.then(|| {
            chosen
                .into_iter()
                .map(|position| candidates.remove(position))
                .collect()
        })
    }
}
