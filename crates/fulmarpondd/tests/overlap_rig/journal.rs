//! What happened in a case, with the time of each line.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A line and when it happened.
#[derive(Debug, Clone)]
struct Line {
    at: Instant,
    text: String,
}

/// The journal of a case.
#[derive(Debug)]
pub(super) struct Journal {
    started_at: Instant,
    lines: Mutex<Vec<Line>>,
}

impl Journal {
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub(super) fn note(&self, text: String) {
        self.note_at(Instant::now(), text);
    }

    pub(super) fn note_at(&self, at: Instant, text: String) {
        let mut lines = self.lines.lock().expect("the journal");
        lines.push(Line { at, text });
    }

    /// Returns how many lines contain `part`.
    pub(super) fn count(&self, part: &str) -> usize {
        let lines = self.lines.lock().expect("the journal");
        lines.iter().filter(|line| line.text.contains(part)).count()
    }

    /// Returns the lines that contain `part`, in the order of their times.
    pub(super) fn lines_with(&self, part: &str) -> Vec<String> {
        let mut lines = self.lines.lock().expect("the journal").clone();
        lines.sort_by_key(|line| line.at);
        let lines = lines.into_iter().filter(|line| line.text.contains(part));
        let shown = lines.map(|line| {
            let ms = line
                .at
                .saturating_duration_since(self.started_at)
                .as_secs_f64()
                * 1_000.0;
            format!("{ms:9.1} {}", line.text)
        });
        shown.collect()
    }

    pub(super) fn write(&self, path: &Path) {
        fs::write(path, self.lines_with("").join("\n")).expect("the journal is written");
    }
}
