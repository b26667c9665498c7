//! Shares of an endpoint's room, by the priority of tasks.
//!
//! Addresses load of several priorities that exceeds the room. If one queue ordered by latest start
//! serves it, nearly overdue work of low priority goes before fresh urgent work and makes it late,
//! and if urgent work always goes first, the rest starves. Each class of priorities therefore has a
//! guaranteed share of the room. It lends what it does not use, and gets it back as runs end.

use fulmarpond_core::Time;

use super::queue::{Queue, Turn};
use crate::{Class, Resources, TaskKey, Weights};

/// How long smaller tasks may pass over the first task of a class that does not fit, in
/// milliseconds: within the slack of all but the shortest tasks.
const MAX_PASSED_OVER_MS: u64 = 200;

/// What a waiting task needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    pub(super) room: Resources,
    /// The expected run time, in milliseconds.
    pub(super) run_ms: u32,
}

/// A task that did not fit when another one was started.
#[derive(Debug)]
struct PassedOver {
    start_by: Time,
    task: TaskKey,
    since: Time,
    /// The time in which the share of its class amounts to its work, in milliseconds.
    turn_ms: u64,
}

/// The waiting tasks of a class, and the room that it uses.
#[derive(Debug, Default)]
struct ClassState {
    waiting: Queue,
    used: Resources,
    passed_over: Option<PassedOver>,
}

impl ClassState {
    /// Returns the task that has been passed over for too long, if there is one and it has its turn.
    fn blocked(&self, turn: Turn, now: Time) -> Option<&PassedOver> {
        let first = self.passed_over.as_ref();
        first.filter(|first| {
            now.millis_since(first.since) >= MAX_PASSED_OVER_MS
                && self.waiting.has_turn(turn, first.start_by, &first.task)
        })
    }

    /// Returns the first waiting task in its turn that fits. No task behind a blocked one is considered.
    fn first_fitting(
        &self,
        turn: Turn,
        now: Time,
        fits: impl Fn(&TaskKey) -> bool,
    ) -> Option<TaskKey> {
        match self.blocked(turn, now) {
            Some(blocked) => self
                .waiting
                .first_fitting_until(blocked.start_by, turn, fits),
            None => self.waiting.first_fitting(turn, fits),
        }
    }

    /// Returns whether a task has been passed over for longer than the turn of its share takes.
    fn is_overdue(&self, turn: Turn, now: Time) -> bool {
        self.blocked(turn, now)
            .is_some_and(|first| now.millis_since(first.since) >= first.turn_ms)
    }
}

/// The waiting tasks and the used room of all classes.
#[derive(Debug, Default)]
pub(super) struct Shares {
    pub(super) weights: Weights,
    classes: [ClassState; Class::COUNT],
    /// The last task for which runs are being stopped, and until when their room is left for it.
    urgent: Option<(TaskKey, Time)>,
}

impl Shares {
    pub(super) fn push(&mut self, class: Class, start_by: Time, task: TaskKey, is_suspected: bool) {
        let waiting = &mut self.classes[class.index()].waiting;
        waiting.push(start_by, task, is_suspected);
    }

    pub(super) fn remove(&mut self, class: Class, start_by: Time, task: &TaskKey) {
        let state = &mut self.classes[class.index()];
        state.waiting.remove(start_by, task);
        if state
            .passed_over
            .as_ref()
            .is_some_and(|first| first.task == *task)
        {
            state.passed_over = None;
        }
        if self
            .urgent
            .as_ref()
            .is_some_and(|(urgent, _)| urgent == task)
        {
            self.urgent = None;
        }
    }

    /// Leaves room that becomes free to the highest class until a task of it starts.
    pub(super) fn reserve_for(&mut self, task: TaskKey, until: Time) {
        self.urgent = Some((task, until));
    }

    /// Counts room that a class uses at the endpoint.
    pub(super) fn occupy(&mut self, class: Class, needs: Resources) {
        let used = &mut self.classes[class.index()].used;
        *used = used.plus(needs);
    }

    pub(super) fn release(&mut self, class: Class, needs: Resources) {
        let used = &mut self.classes[class.index()].used;
        *used = used.minus(needs);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.classes.iter().all(|state| state.waiting.is_empty())
    }

    /// Returns whether a task waits that is not suspected of crashing the endpoint.
    pub(super) fn has_sound(&self) -> bool {
        self.classes.iter().any(|state| state.waiting.has_sound())
    }

    pub(super) fn has_waiting(&self, class: Class) -> bool {
        !self.classes[class.index()].waiting.is_empty()
    }

    /// Returns the first waiting tasks of a class with their latest start.
    pub(super) fn considered(&self, class: Class) -> impl Iterator<Item = (Time, &TaskKey)> {
        self.classes[class.index()].waiting.considered()
    }

    /// Returns whether tasks of a class are the next to get room that becomes free, except for
    /// higher classes.
    pub(super) fn has_turn(&self, class: Class, room: Resources, now: Time) -> bool {
        let is_below = self.is_below_share(class, room);
        let mut others = Class::ALL.into_iter().filter(|other| *other != class);
        !others.any(|other| {
            let state = &self.classes[other.index()];
            self.is_below_share(other, room)
                && !state.waiting.is_empty()
                && (!is_below || state.is_overdue(Turn::All, now))
        })
    }

    /// Returns the room that a class uses.
    pub(super) fn used(&self, class: Class) -> Resources {
        self.classes[class.index()].used
    }

    /// Returns the room that all classes use.
    pub(super) fn total_used(&self) -> Resources {
        let used = self.classes.iter().map(|state| state.used);
        used.fold(Resources::default(), Resources::plus)
    }

    /// Returns the task to start next of those in their `turn`, if one `fits`: of the classes that use less than their share
    /// of the room, in the order of priority, and then of the others.
    ///
    /// Once a task of a class below its share has been passed over for too long, the classes that
    /// have their share start nothing, so that the room that becomes free is left for it. A task
    /// that still does not fit by the turn of its share, because the classes below theirs leave too
    /// little room, is the next to start.
    pub(super) fn next(
        &mut self,
        turn: Turn,
        room: Resources,
        free: Resources,
        now: Time,
        need: impl Fn(&TaskKey) -> Option<Need>,
    ) -> Option<TaskKey> {
        let fits = |task: &TaskKey| need(task).is_some_and(|need| need.room.fits(free));
        if let Some(class) = self.only_class() {
            return self.classes[class.index()]
                .waiting
                .first_fitting(turn, fits);
        }
        let below = Class::ALL.map(|class| self.is_below_share(class, room));
        if self.urgent.as_ref().is_some_and(|(_, until)| now < *until) {
            return self.classes[Class::HIGHEST.index()].first_fitting(turn, now, fits);
        }
        let overdue = Class::ALL.into_iter().find(|class| {
            below[class.index()] && self.classes[class.index()].is_overdue(turn, now)
        });
        if let Some(class) = overdue {
            return self.classes[class.index()].first_fitting(turn, now, fits);
        }
        for has_turn in [true, false] {
            let classes = Class::ALL
                .into_iter()
                .filter(|class| below[class.index()] == has_turn);
            for class in classes.clone() {
                let found = self.classes[class.index()].first_fitting(turn, now, fits);
                if found.is_some() {
                    let had_their_turn = Class::ALL.into_iter().filter(|other| {
                        let is_same_turn = below[other.index()] == has_turn;
                        if is_same_turn {
                            *other <= class
                        } else {
                            !has_turn
                        }
                    });
                    for other in had_their_turn {
                        self.note_passed_over(other, room, free, now, &need);
                    }
                    return found;
                }
            }
            let is_blocked =
                |class: Class| self.classes[class.index()].blocked(turn, now).is_some();
            if has_turn && classes.clone().any(is_blocked) {
                return None;
            }
        }
        None
    }

    /// Notes that the first task of a class does not fit while another task starts.
    fn note_passed_over(
        &mut self,
        class: Class,
        room: Resources,
        free: Resources,
        now: Time,
        need: impl Fn(&TaskKey) -> Option<Need>,
    ) {
        let share = f64::from(room.cpu.max(1)) * self.weights.share(class);
        let state = &mut self.classes[class.index()];
        if state.passed_over.is_none()
            && let Some((start_by, task)) = state.waiting.first()
            && let Some(need) = need(task)
            && !need.room.fits(free)
        {
            let work = f64::from(need.room.cpu) * f64::from(need.run_ms);
            state.passed_over = Some(PassedOver {
                start_by,
                task: task.clone(),
                since: now,
                turn_ms: (work / share) as u64,
            });
        }
    }

    /// Returns whether a class uses less than its share of each resource.
    pub(super) fn is_below_share(&self, class: Class, room: Resources) -> bool {
        self.weights.is_below_share(class, self.used(class), room)
    }

    /// Returns the class of all tasks, if they are of one class.
    fn only_class(&self) -> Option<Class> {
        let is_present = |class: &Class| {
            let state = &self.classes[class.index()];
            !state.waiting.is_empty() || state.used != Resources::default()
        };
        let mut present = Class::ALL.into_iter().filter(is_present);
        let first = present.next();
        first.filter(|_| present.next().is_none())
    }
}
