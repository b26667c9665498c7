//! Cancellations of durable jobs. That of a series is the record of the series: nothing of it runs any more,
//! whatever the records of its occurrences say (`docs/design/cancelled-series.md`).

use fulmarpond_core::Time;
use fulmarpond_derive::value;
use tracing::info;

use super::entry::Entry;
use super::{Action, Answer, RequestNo};
use crate::ledger::Status;
use crate::{JobId, Refusal};

/// The result of looking up a job in the store that is not known locally.
#[value]
pub(super) enum Lookup {
    Found,
    Missing,
    ReadFailed,
}

impl Entry {
    /// Cancels a job; the request is answered once the cancellation is stored. That of a series is the state
    /// of the series: its occurrences end with it, whoever owns them
    /// (`docs/design/cancelled-series.md`).
    pub fn cancel(&mut self, request: RequestNo, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let series = id.series();
        if self.durable.is_pending(&series) {
            self.cancel_durable(request, &series, now, out);
        } else if self.ledger.state(&series).is_some() {
            self.series.remove(&series);
            self.cancel_occurrences(&series, now, out);
            self.cancel_durable(request, &series, now, out);
        } else {
            self.cancel_durable(request, id, now, out);
        }
    }

    fn cancel_durable(&mut self, request: RequestNo, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let is_open = self
            .ledger
            .state(id)
            .map(|state| state.status == Status::Open);
        if self.durable.is_pending(id) {
            // The first write may still take effect, and the job would run after all.
            info!(job = %id, "cannot cancel a job whose first write is in flight, refusing the request");
            self.refuse(request, Refusal::NoStore, out);
            return;
        }
        match is_open {
            Some(true) => {
                info!(job = %id, "cancelling a job");
                self.durable
                    .pending_cancels
                    .entry(id.clone())
                    .or_default()
                    .push(request);
                if self.jobs.contains_key(id) {
                    self.finish(id, Answer::Cancelled, now, out);
                } else {
                    self.ledger.cancel(id);
                }
                self.tick_ledger(now, out);
            }
            Some(false) => Self::answer(request, Answer::Cancelled, out),
            None => {
                info!(job = %id, "job is not known here, looking it up");
                let requests = self.durable.pending_lookups.entry(id.clone()).or_default();
                requests.push(request);
                self.ledger.look_up(id);
                self.tick_ledger(now, out);
            }
        }
    }

    /// Processes the requests to cancel a job that was looked up.
    ///
    /// The id may be that of a series, whose first occurrence is stored under the same id. A series is stored
    /// before its occurrences, so it is looked up after the job: if it is missing, the job is none of them.
    pub(super) fn handle_lookup(
        &mut self,
        job: &JobId,
        result: Lookup,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = job.occurrence(0);
        let series = id.series();
        if result != Lookup::ReadFailed && *job == id {
            self.ledger.look_up(&series);
            return;
        }
        let is_stored = self.ledger.state(&id).is_some() || self.ledger.state(&series).is_some();
        for request in self.durable.pending_lookups.remove(&id).unwrap_or_default() {
            match result {
                Lookup::Found | Lookup::Missing if is_stored => self.cancel(request, &id, now, out),
                Lookup::Missing => Self::answer(request, Answer::Unknown, out),
                Lookup::Found | Lookup::ReadFailed => self.refuse(request, Refusal::NoStore, out),
            }
        }
    }

    /// Cancels the open occurrences of a series.
    pub(super) fn cancel_occurrences(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        for occurrence in self.ledger.occurrences(id) {
            self.cancel_occurrence(&occurrence, now, out);
        }
    }

    /// Ends what this entry runs of a series that was cancelled, by whichever entry.
    pub(super) fn end_cancelled_series(
        &mut self,
        series: &JobId,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.series.remove(series);
        for occurrence in self.ledger.occurrences(series) {
            // The write that makes this entry the owner of a job in progress may be under way.
            if self.jobs.contains_key(&occurrence) || self.ledger.is_own(&occurrence) {
                self.cancel_occurrence(&occurrence, now, out);
            }
        }
    }

    /// Cancels a job that this entry is about to run if it is an occurrence of a series that was cancelled;
    /// returns whether it is one.
    pub(super) fn cancel_with_series(&mut self, id: &JobId) -> bool {
        let is_cancelled = self.ledger.is_series_cancelled(id);
        if is_cancelled {
            info!(job = %id, "series is cancelled, its occurrence does not run");
            self.ledger.cancel(id);
        }
        is_cancelled
    }

    fn cancel_occurrence(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        if self.jobs.contains_key(id) {
            self.finish(id, Answer::Cancelled, now, out);
        } else {
            self.ledger.cancel(id);
        }
    }
}
