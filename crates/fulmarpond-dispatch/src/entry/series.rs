//! Jobs whose steps run several times, each at its time.
//!
//! The series is kept under a name of its own; each occurrence is a kept job that the series' owner
//! adds to the store when it is due. Since a job is added only if there is none of that name, an
//! occurrence runs once, whoever owns the series then.

use std::collections::HashMap;
use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::info;

use super::configuration::Route;
use super::entry::Entry;
use super::kept::JobStatus;
use super::submission::{Repeat, Submission};
use super::{Action, Answer};
use crate::JobId;
use crate::ledger::{JobState, Status, StepProgress};

/// The interval of looks at all series, in milliseconds.
const CHECK_MS: u64 = 20;

/// A series that this entry owns.
#[derive(Debug)]
struct Series {
    route: Rc<Route>,
    /// What each occurrence runs.
    submission: Submission,
    repeat: Repeat,
    state: JobState,
    /// The first occurrence that has not ended.
    first: u16,
}

/// The series that an entry owns.
#[derive(Debug, Default)]
pub(super) struct OwnSeries {
    known: HashMap<JobId, Series>,
    next: Time,
}

impl OwnSeries {
    pub(super) fn remove(&mut self, id: &JobId) -> bool {
        self.known.remove(id).is_some()
    }
}

impl Repeat {
    /// Returns how many occurrences are due at a time of day, in milliseconds since 1970.
    fn due(&self, wall: u64) -> u16 {
        let Some(since) = wall.checked_sub(self.start_ms) else {
            return 0;
        };
        let later = since.checked_div(self.interval_ms);
        let due = later.map_or(u64::from(self.count), |later| later + 1);
        u16::try_from(due).map_or(self.count, |due| due.min(self.count))
    }
}

impl Entry {
    /// Takes the time of day, in milliseconds since 1970. Only the times of series depend on it.
    pub const fn set_wall(&mut self, wall: u64) {
        self.wall = wall;
    }

    /// Runs a series from now on.
    pub(super) fn own_series(
        &mut self,
        id: &JobId,
        route: &Rc<Route>,
        mut submission: Submission,
        state: JobState,
    ) {
        let Some(repeat) = submission.repeat.take() else {
            return;
        };
        info!(job = %id, count = repeat.count, start_ms = repeat.start_ms, "running a series");
        let series = Series {
            route: Rc::clone(route),
            submission,
            repeat,
            state,
            first: 0,
        };
        self.series.known.insert(id.clone(), series);
    }

    /// Starts the occurrences that are due, and notes those that have ended.
    pub(super) fn check_series(&mut self, now: Time) {
        if now < self.series.next || self.wall == 0 || !self.kept.runs() {
            return;
        }
        self.series.next = now.after_millis(CHECK_MS);
        for id in self.series.known.keys().cloned().collect::<Vec<_>>() {
            if let Some(mut series) = self.series.known.remove(&id) {
                self.start_due(&id, &mut series);
                if self.note_ended(&id, &mut series) {
                    self.series.known.insert(id, series);
                }
            }
        }
    }

    fn start_due(&mut self, id: &JobId, series: &mut Series) {
        for number in series.first..series.repeat.due(self.wall) {
            let occurrence = id.occurrence(number);
            let known = self.ledger.state(&occurrence).is_some()
                || self.kept.is_pending(&occurrence)
                || series.state.steps[0].is_done(number);
            if known {
                continue;
            }
            let due = series.repeat.start_ms + u64::from(number) * series.repeat.interval_ms;
            info!(job = %occurrence, late_ms = self.wall.saturating_sub(due), "occurrence is due");
            let submission = series.submission.clone();
            self.keep(occurrence, &series.route, submission, None);
            series.state.begun = true;
        }
    }

    /// Notes which occurrences have ended; returns whether any are left.
    fn note_ended(&mut self, id: &JobId, series: &mut Series) -> bool {
        let mut changed = false;
        for number in series.first..series.repeat.due(self.wall) {
            let state = self.ledger.state(&id.occurrence(number));
            let Some(status) = state.map(|state| state.status) else {
                continue;
            };
            let step = &mut series.state.steps[0];
            if status == Status::Open || step.is_done(number) {
                continue;
            }
            if status != Status::Completed {
                step.set_failures(number, 1);
            }
            step.set_done(number);
            changed = true;
        }
        let step = &series.state.steps[0];
        while series.first < series.repeat.count && step.is_done(series.first) {
            series.first += 1;
        }
        let ended = series.first == series.repeat.count;
        if ended {
            let failed = (0..series.repeat.count).any(|number| step.failures(number) > 0);
            series.state.status = if failed {
                Status::Failed
            } else {
                Status::Completed
            };
            info!(job = %id, status = ?series.state.status, "series ended");
        }
        if changed || ended {
            self.ledger.change(id, series.state.clone());
        }
        !ended
    }

    /// Returns what a caller is told about a series.
    pub(super) fn series_status(&self, id: &JobId) -> Option<JobStatus> {
        let state = self.ledger.state(&id.series())?;
        let begun = |job: &JobId| {
            let state = self.ledger.state(job);
            state.is_some_and(|state| state.begun || state.status != Status::Open)
        };
        Some(match state.status {
            Status::Open if state.steps.iter().any(StepProgress::any_done) => JobStatus::Running,
            Status::Open if begun(&id.occurrence(0)) => JobStatus::Running,
            Status::Open => JobStatus::Pending,
            Status::Completed => JobStatus::Completed,
            Status::Failed => JobStatus::Failed,
            Status::Cancelled => JobStatus::Cancelled,
        })
    }

    /// Cancels the open occurrences of a series.
    pub(super) fn cancel_occurrences(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        for occurrence in self.ledger.occurrences(id) {
            if self.jobs.contains_key(&occurrence) {
                self.finish(&occurrence, Answer::Cancelled, now, out);
            } else {
                self.ledger.cancel(&occurrence);
            }
        }
    }

    /// Gives the series of this entry to the others, when it stops.
    pub(super) fn release_series(&mut self) {
        for (id, series) in std::mem::take(&mut self.series.known) {
            info!(job = %id, "series released");
            let mut state = series.state;
            state.owner = self.ledger.owner().released();
            self.ledger.change(&id, state);
        }
    }
}
