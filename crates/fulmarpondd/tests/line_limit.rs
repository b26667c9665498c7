//! The limit of log lines, with floods of one class in place when lines of another one come.

use std::time::{Duration, Instant};

use fulmarpondd::leased::{LineClass, LineCounts, LineLimit};

const LIMIT: u32 = 1_000;

/// How often a batch is emptied for each class of a flood.
const FLUSHES: u32 = 5;

/// The size of a line, in bytes.
const LINE_BYTES: usize = 250;

/// A second of lines, in batches that are emptied several times.
struct Second {
    limit: LineLimit,
    now: Instant,
    batch_bytes: usize,
    written: LineCounts,
    dropped: LineCounts,
}

impl Second {
    fn new(limit: u32) -> Self {
        let now = Instant::now();
        Self {
            limit: LineLimit::new(limit, now),
            now,
            batch_bytes: 0,
            written: LineCounts::default(),
            dropped: LineCounts::default(),
        }
    }

    fn write(&mut self, class: LineClass, lines: u32) {
        for _ in 0..lines {
            if self.limit.admit(class, self.batch_bytes, self.now) {
                self.batch_bytes += LINE_BYTES;
                self.written.add(class);
            } else {
                self.dropped.add(class);
            }
        }
    }

    /// Empties the batch.
    fn flush(&mut self) {
        self.now += Duration::from_millis(10);
        self.batch_bytes = 0;
    }
}

struct FloodCase {
    name: &'static str,
    flood: &'static [LineClass],
    /// The class of a few lines that come after the flood.
    late: LineClass,
    late_lines: u32,
    written: u64,
}

/// Guards against lines on the fate of attempts that are lost beside floods, and against floods of
/// them that take the room of other lines.
#[test]
fn floods_do_not_crowd_out_lines_on_attempts() {
    use LineClass::{Attempt, Decision, Routine, Severe};
    let cases = [
        FloodCase {
            name: "attempts beside routine lines",
            flood: &[Routine],
            late: Attempt,
            late_lines: 250,
            written: 250,
        },
        FloodCase {
            name: "attempts beside refusals and warnings",
            flood: &[Routine, Decision, Severe],
            late: Attempt,
            late_lines: 250,
            written: 250,
        },
        FloodCase {
            name: "attempts beyond their share",
            flood: &[Severe],
            late: Attempt,
            late_lines: 400,
            written: 250,
        },
        FloodCase {
            name: "warnings beside attempts",
            flood: &[Attempt],
            late: Severe,
            late_lines: 750,
            written: 750,
        },
        FloodCase {
            name: "warnings beside refusals",
            flood: &[Routine, Decision],
            late: Severe,
            late_lines: 250,
            written: 125,
        },
        FloodCase {
            name: "refusals beside routine lines",
            flood: &[Routine],
            late: Decision,
            late_lines: 250,
            written: 125,
        },
    ];
    for case in cases {
        let mut second = Second::new(LIMIT);
        for &class in case.flood {
            for _ in 0..FLUSHES {
                second.write(class, LIMIT);
                second.flush();
            }
        }
        for _ in 0..FLUSHES {
            second.write(case.late, case.late_lines / FLUSHES);
            second.flush();
        }
        let written = second.written.get(case.late);
        assert_eq!(written, case.written, "{}", case.name);
        assert!(second.written.total() <= u64::from(LIMIT), "{}", case.name);
    }
}

/// Guards against a batch that other lines have filled within a few milliseconds, so that it takes no
/// line on an attempt until it is written.
#[test]
fn a_full_batch_takes_lines_on_attempts() {
    let mut second = Second::new(LIMIT);
    second.write(LineClass::Severe, LIMIT);
    assert!(second.dropped.get(LineClass::Severe) > 0);
    second.write(LineClass::Attempt, 100);
    assert_eq!(second.written.get(LineClass::Attempt), 100);
}

/// Guards against a limit that a mixture of classes exceeds, whatever it is set to, and against lines
/// that are neither written nor counted as dropped.
#[test]
fn all_classes_together_stay_within_the_limit() {
    for limit in [0, 1, 3, 7, 10, 999, 1_000] {
        let mut second = Second::new(limit);
        for _ in 0..9 {
            for class in LineClass::ALL {
                second.write(class, limit + 1);
            }
            second.flush();
        }
        let (written, dropped) = (second.written.total(), second.dropped.total());
        assert!(written <= u64::from(limit), "{written} of {limit}");
        assert_eq!(written + dropped, u64::from(9 * 4 * (limit + 1)));
    }
}

/// Guards against a limit that holds for the life of the process.
#[test]
fn next_second_takes_lines_again() {
    let mut second = Second::new(LIMIT);
    second.write(LineClass::Attempt, LIMIT);
    second.now += Duration::from_secs(1);
    second.batch_bytes = 0;
    second.write(LineClass::Attempt, 10);
    assert_eq!(second.written.get(LineClass::Attempt), 260);
}
