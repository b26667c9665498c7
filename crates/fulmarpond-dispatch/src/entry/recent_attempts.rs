//! The last attempts that met another one or were stopped with runs, for a short report.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use crate::JobId;

/// The maximum number of attempts that are kept.
const MAX_ATTEMPTS: usize = 8;

/// What shows that no run of an attempt is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Over {
    evidence: &'static str,
    /// The time since the attempt was stopped or held, in milliseconds.
    after_ms: u64,
}

/// An attempt that met another one or was stopped with runs.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RecentAttempt {
    job: JobId,
    /// Its age when that happened, in milliseconds.
    age_ms: u64,
    cause: &'static str,
    /// The number of runs that may have been left.
    runs: usize,
    /// The entries that had the other attempt, if they are known.
    entries: String,
    over: Option<Over>,
}

impl Display for RecentAttempt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            job, age_ms, cause, ..
        } = self;
        write!(f, "{job} {cause} age_ms={age_ms}")?;
        if self.runs > 0 {
            write!(f, " runs={}", self.runs)?;
        }
        if !self.entries.is_empty() {
            write!(f, " entry={}", self.entries)?;
        }
        match self.over {
            Some(Over { evidence, after_ms }) => write!(f, " over={evidence} after_ms={after_ms}"),
            None if self.runs > 0 => write!(f, " over=no"),
            None => Ok(()),
        }
    }
}

/// The last attempts that met another one or were stopped with runs.
#[derive(Debug, Default)]
pub struct RecentAttempts {
    last: VecDeque<RecentAttempt>,
    changes: u64,
}

impl RecentAttempts {
    /// Returns how often an attempt was recorded or a record has changed.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Records an attempt that was stopped with runs.
    pub(super) fn record_stop(
        &mut self,
        job: &JobId,
        cause: &'static str,
        age_ms: u64,
        runs: usize,
    ) {
        self.push(RecentAttempt {
            job: job.clone(),
            age_ms,
            cause,
            runs,
            entries: String::new(),
            over: None,
        });
    }

    /// Records an attempt that met one of other entries, or adds them to its record.
    pub(super) fn record_meeting(
        &mut self,
        job: &JobId,
        cause: &'static str,
        age_ms: u64,
        entries: String,
    ) {
        let mut last = self.last.iter_mut().rev();
        let known = last.find(|attempt| attempt.job == *job && attempt.cause == cause);
        if let Some(known) = known.filter(|attempt| attempt.over.is_none()) {
            known.entries = entries;
            self.changes += 1;
            return;
        }
        self.push(RecentAttempt {
            job: job.clone(),
            age_ms,
            cause,
            runs: 0,
            entries,
            over: None,
        });
    }

    /// Records what shows that no run of the last attempt of a job is left.
    pub(super) fn record_over(&mut self, job: &JobId, evidence: &'static str, after_ms: u64) {
        let mut last = self.last.iter_mut().rev();
        if let Some(attempt) = last.find(|attempt| attempt.job == *job && attempt.over.is_none()) {
            attempt.over = Some(Over { evidence, after_ms });
            self.changes += 1;
        }
    }

    fn push(&mut self, attempt: RecentAttempt) {
        if self.last.len() == MAX_ATTEMPTS {
            self.last.pop_front();
        }
        self.last.push_back(attempt);
        self.changes += 1;
    }
}

impl Display for RecentAttempts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (position, attempt) in self.last.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{attempt}")?;
        }
        Ok(())
    }
}
