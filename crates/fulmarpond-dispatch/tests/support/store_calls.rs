//! Calls of the simulated entries to the store, cancellations, and the check of the persisted jobs.

use fulmarpond_core::Time;
use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::directory::{
    self, Activity, AnnouncedEntry, Directory, StoreCall, StoreReply,
};
use fulmarpond_dispatch::entry::{Answer, JobStatus, RequestNo};
use fulmarpond_dispatch::ledger::Status;
use rand::RngExt;

use super::simulation::{Event, Fault, Simulation};
use super::store::{Store, StoreFault};
use super::transfers::Connection;

/// One-way delay between an entry and the store, in microseconds.
pub(super) const STORE_DELAY_US: u64 = 1_500;

/// Delay of a late write, in milliseconds.
const DELAYED_CALL_MS: std::ops::Range<u64> = 1_000..6_000;

/// Status code of a call that the store refuses.
const STATUS_UNAVAILABLE: u16 = 503;

/// Identifies a call of an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallKey {
    pub entry: usize,
    pub generation: u32,
    pub number: u64,
}

/// A call in flight to the store.
#[derive(Debug, Clone)]
pub struct InFlightCall {
    pub by: CallKey,
    pub activity: Activity,
    pub call: StoreCall,
    /// Whether the call was delayed and gets no reply.
    pub is_delayed: bool,
}

/// The outcome of a call: `None` without a reply, and the status code of a refused call as an
/// error.
pub type StoreOutcome = Option<Result<StoreReply, u16>>;

impl Simulation {
    pub(super) fn announcement(&self, entry: usize) -> AnnouncedEntry {
        AnnouncedEntry {
            name: self.entry_name(entry),
            addr: Self::entry_addr(entry),
        }
    }

    pub(super) fn call_store(
        &mut self,
        entry: usize,
        activity: Activity,
        call: StoreCall,
        timeout: u64,
    ) {
        self.last_id += 1;
        let by = CallKey {
            entry,
            generation: self.entries[entry].generation,
            number: self.last_id,
        };
        let sent = InFlightCall {
            by,
            activity,
            call,
            is_delayed: false,
        };
        self.schedule_in_us(STORE_DELAY_US, Event::StoreCallArrives(sent));
        self.schedule_in_ms(timeout, Event::StoreAnswered(by, activity, 0, None));
    }

    pub(super) fn store_call_arrives(&mut self, mut sent: InFlightCall) {
        let entry = sent.by.entry;
        let store_fault = self.store.fault;
        let is_unreachable = self.store_unreachable_from.contains(&entry) && !sent.is_delayed;
        if is_unreachable || matches!(store_fault, StoreFault::Down { .. }) {
            return;
        }
        if store_fault == StoreFault::Refusing {
            self.answer_from_store(&sent, Some(Err(STATUS_UNAVAILABLE)));
            return;
        }
        let is_write = Store::is_write(&sent.call);
        if let StoreFault::Late(percent) = store_fault
            && is_write
            && !sent.is_delayed
            && self.rng.random_range(0..100) < percent
        {
            sent.is_delayed = true;
            let delay = self.rng.random_range(DELAYED_CALL_MS);
            self.schedule_in_ms(delay, Event::StoreCallArrives(sent));
            return;
        }
        let now = self.now;
        let from = self.announcement(entry);
        let reply = self.store.call(&from, &sent.call, now);
        if matches!(reply, Some(StoreReply::Committed { .. })) {
            self.begin_writer_fault(entry, &sent.call);
        }
        let is_reply_lost = match store_fault {
            StoreFault::Lost(percent) => is_write && self.rng.random_range(0..100) < percent,
            _ => false,
        };
        match reply {
            Some(_) if sent.is_delayed || is_reply_lost => {}
            Some(reply) => self.answer_from_store(&sent, Some(Ok(reply))),
            None => self.add_watch(sent),
        }
        self.answer_ready_watches();
    }

    fn add_watch(&mut self, sent: InFlightCall) {
        let wait_ms = match sent.call {
            StoreCall::WatchOperator { wait, .. }
            | StoreCall::WatchEntries { wait, .. }
            | StoreCall::WatchJobs { wait, .. } => wait,
            _ => 0,
        };
        self.schedule_in_ms(wait_ms, Event::WatchTimesOut(sent.by));
        self.pending_watches.push(sent);
    }

    pub(super) fn watch_times_out(&mut self, by: CallKey) {
        let Some(position) = self.pending_watches.iter().position(|sent| sent.by == by) else {
            return;
        };
        let sent = self.pending_watches.swap_remove(position);
        if matches!(self.store.fault, StoreFault::Down { .. }) {
            return;
        }
        let reply = self.store.watch_timeout_reply(&sent.call);
        self.answer_from_store(&sent, Some(Ok(reply)));
    }

    /// Answers the pending watches for which there is a change.
    pub(super) fn answer_ready_watches(&mut self) {
        if matches!(self.store.fault, StoreFault::Down { .. }) {
            return;
        }
        let now = self.now;
        for sent in std::mem::take(&mut self.pending_watches) {
            let from = self.announcement(sent.by.entry);
            match self.store.call(&from, &sent.call, now) {
                Some(reply) => self.answer_from_store(&sent, Some(Ok(reply))),
                None => self.pending_watches.push(sent),
            }
        }
    }

    fn answer_from_store(&mut self, sent: &InFlightCall, outcome: StoreOutcome) {
        if self.store_unreachable_from.contains(&sent.by.entry) {
            return;
        }
        let delay = match self.store.fault {
            StoreFault::Slow(millis) => millis * 1_000,
            _ => STORE_DELAY_US,
        };
        let bytes = match &outcome {
            Some(Ok(reply)) => self.store_reply_bytes(&sent.call, reply),
            _ => 0,
        };
        let sent_at = self.pass_store_link(bytes, self.now);
        let earliest = sent_at.after_micros(delay);
        let event = Event::StoreAnswered(sent.by, sent.activity, bytes, outcome);
        let connection = Connection::Store(sent.by);
        self.transfer(connection, (sent.by.entry, 0), bytes, earliest, event);
    }

    pub(super) fn handle_store_reply(
        &mut self,
        by: CallKey,
        activity: Activity,
        bytes: u64,
        outcome: StoreOutcome,
    ) {
        let CallKey {
            entry, generation, ..
        } = by;
        if self.entries[entry].generation != generation || self.answered_store_calls.contains(&by) {
            return;
        }
        if outcome.is_none() && self.is_arriving(by) {
            return;
        }
        let event = Event::StoreAnswered(by, activity, bytes, outcome.clone());
        if self.postpone_if_paused(self.entries[entry].paused_until, &event) {
            return;
        }
        self.answered_store_calls.insert(by);
        self.spend_codec_time(entry, bytes);
        if matches!(
            activity,
            Activity::Jobs
                | Activity::Commit(_)
                | Activity::Job
                | Activity::Lookup
                | Activity::Confirmation
        ) {
            self.with_entry(entry, |core, now, out| {
                core.handle_store_reply(activity, outcome, now, out);
            });
            return;
        }
        if activity == Activity::Maintenance {
            self.maintenance_answered(entry, outcome.and_then(Result::ok));
            self.with_entry(entry, |_, _, _| {});
            return;
        }
        let now = self.now;
        let mut actions = Vec::new();
        let (mut lease_end, mut confirmed_at) = (None, None);
        if let Some(directory) = &mut self.directories[entry] {
            directory.handle_reply(activity, outcome.and_then(Result::ok), now, &mut actions);
            lease_end = directory.lease_end();
            confirmed_at = directory.configuration_confirmed_at();
        }
        self.directory_actions(entry, actions);
        self.with_entry(entry, |core, _, _| {
            core.set_lease(lease_end);
            core.confirm_configuration(confirmed_at);
        });
    }

    pub(super) fn tick_directory(&mut self, entry: usize) {
        let now = self.now;
        let mut actions = Vec::new();
        if let Some(directory) = &mut self.directories[entry] {
            directory.tick(now, &mut actions);
        }
        self.directory_actions(entry, actions);
    }

    fn directory_actions(&mut self, entry: usize, actions: Vec<directory::Action>) {
        for action in actions {
            match action {
                directory::Action::Call {
                    activity,
                    call,
                    timeout,
                } => self.call_store(entry, activity, call, timeout),
                directory::Action::Configured(configuration) => {
                    self.with_entry(entry, |core, now, out| {
                        core.configure(configuration, now, out);
                    });
                }
                directory::Action::Evacuated(list) => {
                    self.with_entry(entry, |core, now, out| {
                        core.set_evacuations(&list, now, out);
                    });
                }
                directory::Action::OperatorWrote => {
                    if let Some(maintenance) = &mut self.maintenance[entry] {
                        maintenance.schedule_reload();
                    }
                }
                directory::Action::Listed(entries) => {
                    self.with_entry(entry, |core, now, out| {
                        core.set_entries(&entries, now, out);
                    });
                }
            }
        }
    }

    pub(super) fn new_directory(&self, now: Time) -> Option<Directory> {
        let has_store = self.options.is_durable
            || self.options.evacuation_ms.is_some()
            || self.options.changes_configuration;
        has_store.then(|| Directory::new(now))
    }

    pub(super) fn set_store_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Store(store_fault, millis) => {
                self.excuse_all_entries(millis);
                self.store.fault = store_fault;
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::StoreUnreachable(entry, millis, revoke) => {
                self.store_unreachable_from.insert(entry);
                if revoke {
                    let name = self.entry_name(entry);
                    self.store.revoke_entry_lease(&name);
                    self.answer_ready_watches();
                }
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::CompactStore => self.store.compact(),
            _ => {}
        }
    }

    pub(super) fn end_store_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Store(store_fault, millis) => {
                self.store.fault = StoreFault::None;
                self.record_store_fault_end();
                if store_fault
                    == (StoreFault::Down {
                        leases_expire: false,
                    })
                {
                    self.store.extend_leases(millis);
                }
                self.answer_ready_watches();
                self.answer_agent_watches();
            }
            Fault::StoreUnreachable(entry, ..) => {
                self.store_unreachable_from.remove(&entry);
            }
            _ => {}
        }
    }

    /// Returns the ids of the occurrences of a repeated job, or else the id of the job.
    fn occurrences(&self, id: &JobId) -> impl Iterator<Item = JobId> {
        let repetition = self.jobs[id].demand.repetition;
        let count = repetition.map_or(1, |(count, _, _)| count);
        (0..count).map(|number| id.occurrence(number))
    }

    /// Returns the status of a job as the first entry reports it.
    pub fn status(&self, job: &JobId) -> JobStatus {
        let core = self.entries[0].core.as_ref();
        core.map_or(JobStatus::Indeterminate, |core| {
            core.status_of(job, self.now)
        })
    }

    /// Cancels a job through the first entry.
    pub fn cancel(&mut self, job: &JobId) {
        self.cancel_through_entry(job, 0);
    }

    /// Cancels a job through an entry.
    pub fn cancel_through_entry(&mut self, job: &JobId, entry: usize) {
        self.last_id += 1;
        self.history.cancelled.insert(job.clone());
        let request = RequestNo(self.last_id);
        let generation = self.entries[entry].generation;
        self.pending_cancels
            .insert((entry, generation, request), job.clone());
        self.with_entry(entry, |core, now, out| core.cancel(request, job, now, out));
    }

    /// Schedules the cancellation of a job; it is skipped if the job is not accepted by then.
    pub fn cancel_at_ms(&mut self, millis: u64, job: &JobId, entry: usize) {
        self.schedule_in_ms(millis, Event::CancelIfAccepted(job.clone(), entry));
    }

    pub(super) fn cancel_if_accepted(&mut self, job: &JobId, entry: usize) {
        let is_running =
            self.entries[entry].core.is_some() && self.entries[entry].paused_until <= self.now;
        if is_running && self.history.accepted.contains(job) {
            self.cancel_through_entry(job, entry);
        }
    }

    /// Records the answer to a cancellation.
    pub(super) fn record_cancel_answer(&mut self, job: JobId, answer: Answer) {
        // Callers take both answers as an acknowledgement.
        if matches!(answer, Answer::Cancelled | Answer::Unknown) {
            let at = self.elapsed_ms();
            self.history.cancel_acked_at.entry(job).or_insert(at);
        }
    }

    /// Records a violation for each accepted job that is missing from the store, has not ended, or
    /// whose stored status does not match its tasks.
    pub fn check_durable_jobs(&mut self) {
        let mut violations = Vec::new();
        for (id, job) in &self.jobs {
            if !self.history.accepted.contains(id) {
                continue;
            }
            let tasks = job.demand.tasks;
            let is_completed = |id: JobId| self.history.all_completed(&id, tasks);
            let stored_id = match job.demand.repetition {
                Some(_) => id.series(),
                None => id.clone(),
            };
            match self.store.state(&stored_id).map(|state| state.status) {
                None => {
                    violations.push(format!("{id} was accepted, but is missing from the store"));
                }
                Some(Status::Open) if self.history.cancel_acked_at.contains_key(id) => {
                    violations.push(format!(
                        "{id} is still open although its cancellation was acknowledged"
                    ));
                }
                Some(Status::Open) if job.demand.long_running => {
                    let running = self.history.running_count(id, tasks);
                    if running < usize::from(tasks) {
                        violations.push(format!(
                            "only {running} of {tasks} tasks of {id} are running"
                        ));
                    }
                }
                Some(Status::Open) => {
                    violations.push(format!("{id} was accepted, but has not ended"));
                }
                Some(Status::Completed | Status::Failed) if job.demand.long_running => {
                    violations.push(format!(
                        "{id} is long-running, but ended without a cancellation"
                    ));
                }
                Some(Status::Cancelled) => {
                    for occurrence in self.occurrences(id) {
                        let state = self.store.state(&occurrence);
                        if state.is_some_and(|state| state.status == Status::Open) {
                            violations.push(format!(
                                "{occurrence} is still open after the cancellation of its job"
                            ));
                        }
                        if self.history.running_count(&occurrence, tasks) > 0 {
                            violations.push(format!(
                                "{occurrence} still has running tasks after its cancellation"
                            ));
                        }
                    }
                }
                Some(Status::Completed) if !self.occurrences(id).all(is_completed) => {
                    violations.push(format!(
                        "{id} is stored as completed, but some of its tasks are not"
                    ));
                }
                Some(Status::Failed) if !self.history.may_have_failed(id, tasks) => {
                    violations.push(format!(
                        "{id} is stored as failed, but no task has used up its attempts"
                    ));
                }
                Some(_) => {}
            }
        }
        self.history.violations.append(&mut violations);
    }
}
