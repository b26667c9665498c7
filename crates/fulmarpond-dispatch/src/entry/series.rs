//! Series: jobs that repeat on a schedule.
//!
//! A series is stored under its own ID. Each occurrence is a durable job that the owner of the
//! series adds to the store when it is due. Since a job is added only if none with its ID exists,
//! an occurrence runs only once, even if the series changes its owner.

use std::collections::HashMap;
use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::durable_jobs::JobStatus;
use super::entry::Entry;
use super::submission::{Repeat, Submission};
use crate::JobId;
use crate::configuration::Route;
use crate::ledger::{JobState, Status, StepProgress};

/// The interval between two checks of all series, in milliseconds.
const CHECK_MS: u64 = 20;

/// A series that this entry owns.
#[derive(Debug)]
struct Series {
    route: Rc<Route>,
    /// The submission of each occurrence.
    submission: Submission,
    repeat: Repeat,
    state: JobState,
    /// The number of the first occurrence that has not ended.
    first_open: u16,
}

/// The series that an entry owns.
#[derive(Debug, Default)]
pub(super) struct OwnedSeries {
    by_id: HashMap<JobId, Series>,
    next_check: Time,
}

impl OwnedSeries {
    pub(super) fn remove(&mut self, id: &JobId) -> bool {
        self.by_id.remove(id).is_some()
    }
}

impl Repeat {
    /// Returns how many occurrences are due at a Unix time, in milliseconds.
    fn due_count(&self, unix_ms: u64) -> u16 {
        let Some(elapsed) = unix_ms.checked_sub(self.start_ms) else {
            return 0;
        };
        let intervals = elapsed.checked_div(self.interval_ms);
        let due = intervals.map_or(u64::from(self.count), |intervals| intervals + 1);
        u16::try_from(due).map_or(self.count, |due| due.min(self.count))
    }
}

impl Entry {
    /// Sets the Unix time, in milliseconds. Only the schedules of series
    /// depend on it.
    pub const fn set_unix_ms(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
    }

    /// Starts to run a series that this entry owns.
    pub(super) fn run_series(
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
            first_open: 0,
        };
        self.series.by_id.insert(id.clone(), series);
    }

    /// Starts the occurrences that are due, and records those that have ended.
    pub(super) fn check_series(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.series.next_check || self.unix_ms == 0 || !self.durable.can_place_tasks(now) {
            return;
        }
        self.series.next_check = now.after_millis(CHECK_MS);
        for id in self.series.by_id.keys().cloned().collect::<Vec<_>>() {
            if let Some(mut series) = self.series.by_id.remove(&id) {
                self.start_due_occurrences(&id, &mut series);
                if self.record_ended_occurrences(&id, &mut series) {
                    self.series.by_id.insert(id, series);
                } else if series.state.status == Status::Cancelled {
                    self.cancel_occurrences(&id, now, out);
                }
            }
        }
    }

    fn start_due_occurrences(&mut self, id: &JobId, series: &mut Series) {
        for number in series.first_open..series.repeat.due_count(self.unix_ms) {
            let occurrence = id.occurrence(number);
            let exists = self.ledger.state(&occurrence).is_some()
                || self.durable.is_pending(&occurrence)
                || series.state.steps[0].is_done(number);
            if exists {
                continue;
            }
            let due_ms = series.repeat.start_ms + u64::from(number) * series.repeat.interval_ms;
            info!(job = %occurrence, late_ms = self.unix_ms.saturating_sub(due_ms), "occurrence is due");
            let submission = series.submission.clone();
            self.store_job(occurrence, &series.route, submission, None);
            series.state.has_started = true;
        }
    }

    /// Records the occurrences that have ended in the state of the series; returns whether any are
    /// left. An occurrence is only cancelled with its series.
    fn record_ended_occurrences(&mut self, id: &JobId, series: &mut Series) -> bool {
        let mut changed = false;
        for number in series.first_open..series.repeat.due_count(self.unix_ms) {
            let state = self.ledger.state(&id.occurrence(number));
            let Some(status) = state.map(|state| state.status) else {
                continue;
            };
            let step = &mut series.state.steps[0];
            if status == Status::Open || step.is_done(number) {
                continue;
            }
            match status {
                Status::Cancelled => {
                    info!(job = %id, number, "an occurrence is cancelled, ending the series");
                    series.state.status = Status::Cancelled;
                    self.ledger.change(id, series.state.clone());
                    return false;
                }
                Status::Failed => step.set_failures(number, 1),
                Status::Open | Status::Completed => {}
            }
            step.set_done(number);
            changed = true;
        }
        let step = &series.state.steps[0];
        while series.first_open < series.repeat.count && step.is_done(series.first_open) {
            series.first_open += 1;
        }
        let has_ended = series.first_open == series.repeat.count;
        if has_ended {
            let has_failures = (0..series.repeat.count).any(|number| step.failures(number) > 0);
            series.state.status = if has_failures {
                Status::Failed
            } else {
                Status::Completed
            };
            info!(job = %id, status = ?series.state.status, "series ended");
        }
        if changed || has_ended {
            self.ledger.change(id, series.state.clone());
        }
        !has_ended
    }

    /// Returns the status of a series, if the ID belongs to one.
    pub(super) fn series_status(&self, id: &JobId) -> Option<JobStatus> {
        let state = self.ledger.state(&id.series())?;
        let has_started = |job: &JobId| {
            let state = self.ledger.state(job);
            state.is_some_and(|state| state.has_started || state.status != Status::Open)
        };
        Some(match state.status {
            Status::Open if state.steps.iter().any(StepProgress::any_done) => JobStatus::Running,
            Status::Open if has_started(&id.occurrence(0)) => JobStatus::Running,
            Status::Open => JobStatus::Pending,
            Status::Completed => JobStatus::Completed,
            Status::Failed => JobStatus::Failed,
            Status::Cancelled => JobStatus::Cancelled,
        })
    }

    /// Releases the series of this entry to the other entries when it is stopping.
    pub(super) fn release_series(&mut self) {
        for (id, series) in std::mem::take(&mut self.series.by_id) {
            info!(job = %id, "series released");
            let mut state = series.state;
            state.owner = self.ledger.owner().released();
            self.ledger.change(&id, state);
        }
    }
}
