//! The expected queueing time at an endpoint whose room several classes compete for.
//!
//! Addresses bursts of short urgent work at endpoints that are full of longer runs. The room becomes
//! free at the pace of the runs in progress, not at that of the waiting work: short tasks behind runs
//! of 900 ms wait several times as long as the work ahead of them divided by the cores.

/// The first upper bound of an expected time, in milliseconds. It is doubled while it is too low.
const FIRST_GUESS_MS: f64 = 16.0;

/// The number of bisections below the upper bound, which resolve an expected time to 1 ms or 6 %.
const BISECTIONS: u32 = 4;

/// Tasks that start one after the other.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tasks {
    /// The room that they need in total, in cores.
    pub(super) room: f64,
    /// Their mean run time, in milliseconds.
    pub(super) run_ms: f64,
}

impl Tasks {
    /// Returns tasks with a total work in core-milliseconds.
    pub(super) const fn of(work: f64, run_ms: f64) -> Self {
        Self {
            room: work / run_ms,
            run_ms,
        }
    }

    /// Returns these tasks together with others.
    pub(super) fn with(self, other: Self) -> Self {
        let room = self.room + other.room;
        let work = self.room * self.run_ms + other.room * other.run_ms;
        let run_ms = if room > 0.0 { work / room } else { self.run_ms };
        Self { room, run_ms }
    }
}

/// The room that runs of one class use.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningRoom {
    pub(super) cores: f64,
    /// The mean expected run time of the runs, in milliseconds.
    pub(super) run_ms: f64,
}

/// The room that becomes free for waiting tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Supply<'a> {
    /// The room that is free now, in cores.
    pub(super) free: f64,
    /// The runs whose room becomes free.
    pub(super) running: &'a [RunningRoom],
    /// The maximum room for the waiting tasks, in cores.
    pub(super) limit: f64,
}

impl Supply<'_> {
    /// Returns the room that tasks have received after `time` milliseconds, in cores. Room that runs
    /// leave is used by a task, and after its run time again by another one.
    pub(super) fn started(&self, time: f64, tasks: Tasks) -> f64 {
        let (room, area) = self.room(time);
        if time <= tasks.run_ms {
            room
        } else {
            area / tasks.run_ms + room / 2.0
        }
    }

    /// Returns the room available after `time` milliseconds, and its integral over that time.
    ///
    /// The ages of runs are unknown, so each is as likely to end at any time within its run time.
    fn room(&self, time: f64) -> (f64, f64) {
        let (mut room, mut area) = (self.free, self.free * time);
        for running in self.running {
            let run_ms = running.run_ms.max(1.0);
            let ending = time.min(run_ms);
            room += running.cores * ending / run_ms;
            area += running.cores * (ending * ending / (2.0 * run_ms) + (time - ending));
        }
        if room <= self.limit {
            return (room, area);
        }
        // The room is taken to grow at a constant pace until it reaches the limit.
        let limit = self.limit.max(0.0);
        let reached = time * limit / room;
        (limit, area.min(limit * (time - reached / 2.0)))
    }
}

/// The room that a class gets by its guaranteed share alone.
#[derive(Debug, Clone, Copy)]
pub(super) struct GuaranteedSupply<'a> {
    /// The guaranteed room, in cores.
    pub(super) share: f64,
    /// The part of it that the class uses now, in cores.
    pub(super) used: f64,
    /// All room that becomes free, of which the class takes the rest of its share first.
    pub(super) supply: Supply<'a>,
}

impl GuaranteedSupply<'_> {
    /// Returns the room that tasks of the class have received after `time` milliseconds, in cores.
    pub(super) fn started(&self, time: f64, tasks: Tasks) -> f64 {
        let (becoming_free, _) = self.supply.room(time);
        let missing = (self.share - self.used).min(becoming_free);
        let reused = (time - tasks.run_ms).max(0.0) / tasks.run_ms;
        missing * (1.0 + reused) + self.used * time / tasks.run_ms
    }
}

/// Returns the time until tasks have received the room that they need, in milliseconds, at most
/// `max_ms`. `started` returns the room that they have received after a time.
pub(super) fn time_to_start(tasks: Tasks, max_ms: f64, started: impl Fn(f64) -> f64) -> f64 {
    let (mut low, mut high) = (0.0, FIRST_GUESS_MS);
    while started(high) < tasks.room {
        if high >= max_ms {
            return max_ms;
        }
        low = high;
        high *= 2.0;
    }
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        if started(middle) < tasks.room {
            low = middle;
        } else {
            high = middle;
        }
    }
    high.min(max_ms)
}
