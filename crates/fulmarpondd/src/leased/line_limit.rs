//! The limit of log lines per second, and how it is shared by classes of lines.
//!
//! Lines on the fate of attempts have a share of their own, which no other line takes, and which they
//! do not exceed. The other classes share the rest: the more a line matters, the more of it may be in
//! use when it comes.

use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use fulmarpond_dispatch::ATTEMPT_TARGET;
use tracing::{Level, Metadata};

/// The time for which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The size from which a batch takes no more lines other than those on attempts, in bytes.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// The size by which lines on attempts may exceed it, in bytes.
const ATTEMPT_BYTES: usize = 64 * 1024;

/// The target of lines about successful requests, which are dropped first.
const ROUTINE_TARGET: &str = "routine";

/// The class of a line, which determines its share of the line limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineClass {
    /// A successful request. Such lines may use half of the limit.
    Routine,
    /// A refusal, a failure or a change. Such lines may use five eighths of the limit.
    Decision,
    /// A warning or an error. Such lines may use three quarters of the limit.
    Severe,
    /// The fate of an attempt that met another one or was stopped with runs. A quarter of the limit is
    /// reserved for such lines.
    Attempt,
}

impl LineClass {
    /// The number of classes.
    pub const COUNT: usize = 4;

    /// All classes, in the order of their counts.
    pub const ALL: [Self; Self::COUNT] =
        [Self::Routine, Self::Decision, Self::Severe, Self::Attempt];

    /// Returns the name of the class in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Routine => "routine",
            Self::Decision => "decision",
            Self::Severe => "severe",
            Self::Attempt => "attempt",
        }
    }

    const fn share_of(self, limit: u32) -> u32 {
        match self {
            Self::Routine => limit / 2,
            Self::Decision => limit - limit / 4 - limit / 8,
            Self::Severe => limit - limit / 4,
            Self::Attempt => limit / 4,
        }
    }
}

impl From<&Metadata<'_>> for LineClass {
    fn from(metadata: &Metadata<'_>) -> Self {
        match metadata.target() {
            ATTEMPT_TARGET => Self::Attempt,
            _ if *metadata.level() <= Level::WARN => Self::Severe,
            ROUTINE_TARGET => Self::Routine,
            _ => Self::Decision,
        }
    }
}

/// Numbers of lines, by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LineCounts([u64; LineClass::COUNT]);

impl LineCounts {
    /// Adds a line.
    pub const fn add(&mut self, class: LineClass) {
        self.0[class as usize] += 1;
    }

    /// Adds the lines of other counts.
    pub fn add_all(&mut self, other: Self) {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count += more;
        }
    }

    /// Returns the number of lines of a class.
    pub const fn get(&self, class: LineClass) -> u64 {
        self.0[class as usize]
    }

    /// Returns the number of lines of all classes.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl Display for LineCounts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (position, class) in LineClass::ALL.into_iter().enumerate() {
            let separator = if position == 0 { "" } else { " " };
            write!(f, "{separator}{}={}", class.as_str(), self.get(class))?;
        }
        Ok(())
    }
}

/// Decides which lines are written.
#[derive(Debug)]
pub struct LineLimit {
    lines_per_second: u32,
    window_end: Instant,
    /// The lines of the window other than those on attempts.
    lines: u32,
    attempt_lines: u32,
}

impl LineLimit {
    /// Creates a limit of a number of lines per second.
    pub fn new(lines_per_second: u32, now: Instant) -> Self {
        Self {
            lines_per_second,
            window_end: now + WINDOW,
            lines: 0,
            attempt_lines: 0,
        }
    }

    /// Sets the maximum number of lines per second.
    pub const fn set(&mut self, lines_per_second: u32) {
        self.lines_per_second = lines_per_second;
    }

    /// Counts a line, and returns whether it may be added to a batch of a size in bytes.
    pub fn admit(&mut self, class: LineClass, batch_bytes: usize, now: Instant) -> bool {
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.lines = 0;
            self.attempt_lines = 0;
        }
        let (lines, max_bytes) = match class {
            LineClass::Attempt => (&mut self.attempt_lines, MAX_BATCH_BYTES + ATTEMPT_BYTES),
            _ => (&mut self.lines, MAX_BATCH_BYTES),
        };
        let is_within_limit = *lines < class.share_of(self.lines_per_second);
        let is_admitted = is_within_limit && batch_bytes < max_bytes;
        *lines += u32::from(is_admitted);
        is_admitted
    }
}
