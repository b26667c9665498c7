//! Turns of sound tasks beside those that are suspected of crashing the endpoint.
//!
//! A suspected task starts only beside few other runs, so nothing else starts while it waits for them
//! to end or to grow older, nor for a while after its start. Each such wait is short, but many of them
//! would follow each other. Sound tasks that wait therefore get a turn of their own now and then, in
//! which suspected ones are passed over. A suspected task that sound ones of other classes keep
//! overtaking gets a turn of its own likewise.

use fulmarpond_core::Time;

use super::queue::Turn;
use crate::TaskKey;

/// How long suspected tasks may keep sound ones waiting, in milliseconds. It is longer than the longest
/// wait of one of them, so that at least one starts in the meantime.
const MAX_SUSPECTED_TURN_MS: u64 = 2_200;

/// How long the turn of sound tasks lasts, in milliseconds. It is longer than the longest time for which
/// a run is watched, after which the first of them starts.
const SOUND_TURN_MS: u64 = 500;

/// How long a suspected task may be overtaken after it was first the next to start and had to wait, in
/// milliseconds.
const MAX_OVERTAKEN_MS: u64 = 1_000;

/// A suspected task that was the next to start and had to wait.
#[derive(Debug)]
struct Overtaken {
    task: TaskKey,
    since: Time,
}

/// Whose turn it is to start.
#[derive(Debug, Default)]
pub(super) struct Turns {
    /// Since when suspected tasks were the next to start, without a start of a sound one.
    suspected_since: Option<Time>,
    /// The end of the turn of sound tasks.
    sound_until: Time,
    overtaken: Option<Overtaken>,
}

impl Turns {
    /// Returns whose turn it is.
    pub(super) fn turn(&mut self, has_sound: bool, now: Time) -> Turn {
        if !has_sound {
            self.suspected_since = None;
            self.sound_until = Time::default();
            return Turn::All;
        }
        let is_over = |since: Time| now.millis_since(since) >= MAX_SUSPECTED_TURN_MS;
        if self.suspected_since.is_some_and(is_over) {
            self.suspected_since = None;
            self.sound_until = now.after_millis(SOUND_TURN_MS);
        }
        if now < self.sound_until {
            Turn::Sound
        } else {
            Turn::All
        }
    }

    /// Returns the suspected task that was overtaken for too long, if it is its turn.
    pub(super) fn overtaken(&self, now: Time) -> Option<&TaskKey> {
        let is_due = |overtaken: &&Overtaken| now.millis_since(overtaken.since) >= MAX_OVERTAKEN_MS;
        let overtaken = self.overtaken.as_ref().filter(is_due);
        overtaken
            .filter(|_| now >= self.sound_until)
            .map(|overtaken| &overtaken.task)
    }

    /// Records that a suspected task is the next to start.
    pub(super) fn record_suspected(&mut self, task: &TaskKey, now: Time) {
        self.suspected_since.get_or_insert(now);
        self.overtaken.get_or_insert_with(|| Overtaken {
            task: task.clone(),
            since: now,
        });
    }

    /// Records that a task has left the queue.
    pub(super) fn remove(&mut self, task: &TaskKey) {
        self.overtaken.take_if(|overtaken| overtaken.task == *task);
    }

    /// Records the start of a task that is not suspected.
    pub(super) const fn record_sound_start(&mut self) {
        self.suspected_since = None;
    }
}
