//! Calls of the simulated entries to the store, cancellations, and the check of the persisted jobs.

use fulmarpond_core::Time;
use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::directory::{self, Announced, Directory, Duty, StoreCall, StoreReply};
use fulmarpond_dispatch::entry::{Answer, JobStatus, RequestNo};
use fulmarpond_dispatch::ledger::Status;
use rand::RngExt;

use super::store::{Store, StoreTrouble};
use super::world::{Event, Fault, World};

/// One-way delay between an entry and the store, in microseconds.
const STORE_US: u64 = 1_500;

/// Delay of a late write, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;

/// Status code of a call that the store refuses.
const UNAVAILABLE: u16 = 503;

/// Identifies a call of an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Caller {
    pub entry: usize,
    pub life: u32,
    pub number: u64,
}

/// A call in flight to the store.
#[derive(Debug, Clone)]
pub struct Sent {
    pub by: Caller,
    pub duty: Duty,
    pub call: StoreCall,
    /// Whether the call was delayed and gets no reply.
    pub late: bool,
}

/// The outcome of a call: `None` without a reply, and the status code of a refused call as an
/// error.
pub type Outcome = Option<Result<StoreReply, u16>>;

impl World {
    fn announced(entry: usize) -> Announced {
        Announced {
            name: format!("entry-{entry}"),
            addr: Self::entry_addr(entry),
        }
    }

    pub(super) fn call_store(&mut self, entry: usize, duty: Duty, call: StoreCall, timeout: u64) {
        self.next += 1;
        let by = Caller {
            entry,
            life: self.entries[entry].life,
            number: self.next,
        };
        let sent = Sent {
            by,
            duty,
            call,
            late: false,
        };
        self.after_us(STORE_US, Event::ToStore(sent));
        self.after_ms(timeout, Event::FromStore(by, duty, None));
    }

    pub(super) fn arrive_at_store(&mut self, mut sent: Sent) {
        let entry = sent.by.entry;
        let trouble = self.store.trouble;
        let away = self.store_cuts.contains(&entry) && !sent.late;
        if away || matches!(trouble, StoreTrouble::Down { .. }) {
            return;
        }
        if trouble == StoreTrouble::Refusing {
            self.answer_from_store(&sent, Some(Err(UNAVAILABLE)));
            return;
        }
        let writes = Store::is_write(&sent.call);
        if let StoreTrouble::Late(percent) = trouble
            && writes
            && !sent.late
            && self.rng.random_range(0..100) < percent
        {
            sent.late = true;
            let delay = self.rng.random_range(LATE_MS);
            self.after_ms(delay, Event::ToStore(sent));
            return;
        }
        let now = self.now;
        let reply = self.store.call(&Self::announced(entry), &sent.call, now);
        let lost = match trouble {
            StoreTrouble::Lost(percent) => writes && self.rng.random_range(0..100) < percent,
            _ => false,
        };
        match reply {
            Some(_) if sent.late || lost => {}
            Some(reply) => self.answer_from_store(&sent, Some(Ok(reply))),
            None => self.wait_for_change(sent),
        }
        self.answer_watches();
    }

    fn wait_for_change(&mut self, sent: Sent) {
        let wait = match sent.call {
            StoreCall::WatchOperator { wait, .. }
            | StoreCall::WatchEntries { wait, .. }
            | StoreCall::WatchJobs { wait, .. } => wait,
            _ => 0,
        };
        self.after_ms(wait, Event::WatchEnds(sent.by));
        self.watches.push(sent);
    }

    pub(super) fn watch_ends(&mut self, by: Caller) {
        let Some(position) = self.watches.iter().position(|sent| sent.by == by) else {
            return;
        };
        let sent = self.watches.swap_remove(position);
        if matches!(self.store.trouble, StoreTrouble::Down { .. }) {
            return;
        }
        let reply = self.store.nothing_new(&sent.call);
        self.answer_from_store(&sent, Some(Ok(reply)));
    }

    /// Answers the pending watches for which there is a change.
    pub(super) fn answer_watches(&mut self) {
        if matches!(self.store.trouble, StoreTrouble::Down { .. }) {
            return;
        }
        let now = self.now;
        for sent in std::mem::take(&mut self.watches) {
            let from = Self::announced(sent.by.entry);
            match self.store.call(&from, &sent.call, now) {
                Some(reply) => self.answer_from_store(&sent, Some(Ok(reply))),
                None => self.watches.push(sent),
            }
        }
    }

    fn answer_from_store(&mut self, sent: &Sent, outcome: Outcome) {
        if self.store_cuts.contains(&sent.by.entry) {
            return;
        }
        let delay = match self.store.trouble {
            StoreTrouble::Slow(millis) => millis * 1_000,
            _ => STORE_US,
        };
        self.after_us(delay, Event::FromStore(sent.by, sent.duty, outcome));
    }

    pub(super) fn store_replies(&mut self, by: Caller, duty: Duty, outcome: Outcome) {
        let Caller { entry, life, .. } = by;
        if self.entries[entry].life != life || self.store_answered.contains(&by) {
            return;
        }
        let event = Event::FromStore(by, duty, outcome.clone());
        if self.put_off(self.entries[entry].paused, &event) {
            return;
        }
        self.store_answered.insert(by);
        if matches!(
            duty,
            Duty::Jobs | Duty::Commit(_) | Duty::Job | Duty::Lookup
        ) {
            self.with_entry(entry, |core, now, out| {
                core.store_answered(duty, outcome, now, out);
            });
            return;
        }
        if duty == Duty::Maintenance {
            self.maintenance_answered(entry, outcome.and_then(Result::ok));
            self.with_entry(entry, |_, _, _| {});
            return;
        }
        let now = self.now;
        let mut tasks = Vec::new();
        let mut end = None;
        if let Some(directory) = &mut self.directories[entry] {
            directory.answered(duty, outcome.and_then(Result::ok), now, &mut tasks);
            end = directory.lease_end();
        }
        self.directory_actions(entry, tasks);
        self.with_entry(entry, |core, _, _| core.set_lease(end));
    }

    pub(super) fn tick_directory(&mut self, entry: usize) {
        let now = self.now;
        let mut tasks = Vec::new();
        if let Some(directory) = &mut self.directories[entry] {
            directory.tick(now, &mut tasks);
        }
        self.directory_actions(entry, tasks);
    }

    fn directory_actions(&mut self, entry: usize, tasks: Vec<directory::Action>) {
        for task in tasks {
            match task {
                directory::Action::Call {
                    duty,
                    call,
                    timeout,
                } => self.call_store(entry, duty, call, timeout),
                directory::Action::Configured(configuration) => {
                    self.with_entry(entry, |core, _, out| core.configure(configuration, out));
                }
                directory::Action::OperatorWrote => {
                    if let Some(maintenance) = &mut self.maintenance[entry] {
                        maintenance.operator_wrote();
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
        self.options.kept.then(|| Directory::new(now))
    }

    pub(super) fn store_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Store(trouble, millis) => {
                self.store.trouble = trouble;
                self.after_ms(millis, Event::Heal(fault));
            }
            Fault::StoreCut(entry, millis, revoke) => {
                self.store_cuts.insert(entry);
                if revoke {
                    self.store.revoke(&format!("entry-{entry}"));
                    self.answer_watches();
                }
                self.after_ms(millis, Event::Heal(fault));
            }
            Fault::Compact => self.store.compact(),
            _ => {}
        }
    }

    pub(super) fn heal_store(&mut self, fault: Fault) {
        match fault {
            Fault::Store(trouble, millis) => {
                self.store.trouble = StoreTrouble::None;
                if trouble == (StoreTrouble::Down { lapse: false }) {
                    self.store.prolong(millis);
                }
                self.answer_watches();
            }
            Fault::StoreCut(entry, ..) => {
                self.store_cuts.remove(&entry);
            }
            _ => {}
        }
    }

    /// Returns the ids of the occurrences of a repeated job, or else the id of the job.
    fn occurrences(&self, id: &JobId) -> impl Iterator<Item = JobId> {
        let times = self.jobs[id].demand.times;
        let count = times.map_or(1, |(count, _, _)| count);
        (0..count).map(|number| id.occurrence(number))
    }

    /// Returns the status of a job as the first entry reports it.
    pub fn status(&self, job: &JobId) -> JobStatus {
        let core = self.entries[0].core.as_ref();
        core.map_or(JobStatus::Unsure, |core| core.status_of(job, self.now))
    }

    /// Cancels a job through the first entry.
    pub fn cancel(&mut self, job: &JobId) {
        self.cancel_at(job, 0);
    }

    /// Cancels a job through an entry.
    pub fn cancel_at(&mut self, job: &JobId, entry: usize) {
        self.next += 1;
        self.history.cancelled.insert(job.clone());
        let request = RequestNo(self.next);
        let life = self.entries[entry].life;
        self.cancels.insert((entry, life, request), job.clone());
        self.with_entry(entry, |core, now, out| core.cancel(request, job, now, out));
    }

    /// Schedules the cancellation of a job; it is skipped if the job is not accepted by then.
    pub fn cancel_later(&mut self, millis: u64, job: &JobId, entry: usize) {
        self.after_ms(millis, Event::Cancel(job.clone(), entry));
    }

    pub(super) fn cancel_accepted(&mut self, job: &JobId, entry: usize) {
        let up = self.entries[entry].core.is_some() && self.entries[entry].paused <= self.now;
        if up && self.history.accepted.contains(job) {
            self.cancel_at(job, entry);
        }
    }

    /// Records the answer to a cancellation.
    pub(super) fn cancel_answered(&mut self, job: JobId, answer: Answer) {
        // Callers take both answers as an acknowledgement.
        if matches!(answer, Answer::Cancelled | Answer::Unknown) {
            let at = self.elapsed_ms();
            self.history.cancels.entry(job).or_insert(at);
        }
    }

    /// Records a violation for each accepted job that is missing from the store, has not ended, or
    /// whose stored status does not match its tasks.
    pub fn check_kept(&mut self) {
        let mut broken = Vec::new();
        for (id, job) in &self.jobs {
            if !self.history.accepted.contains(id) {
                continue;
            }
            let tasks = job.demand.tasks;
            let done = |id: JobId| self.history.all_done(&id, tasks);
            let name = match job.demand.times {
                Some(_) => id.series(),
                None => id.clone(),
            };
            match self.store.state(&name).map(|state| state.status) {
                None => broken.push(format!("{id} was accepted, but is missing from the store")),
                Some(Status::Open) if self.history.cancels.contains_key(id) => {
                    broken.push(format!(
                        "{id} is still open although its cancellation was acknowledged"
                    ));
                }
                Some(Status::Open) if job.demand.long_running => {
                    let running = self.history.running(id, tasks);
                    if running < usize::from(tasks) {
                        broken.push(format!(
                            "only {running} of {tasks} tasks of {id} are running"
                        ));
                    }
                }
                Some(Status::Open) => broken.push(format!("{id} was accepted, but has not ended")),
                Some(Status::Completed | Status::Failed) if job.demand.long_running => {
                    broken.push(format!(
                        "{id} is long-running, but ended without a cancellation"
                    ));
                }
                Some(Status::Cancelled) if self.history.running(id, tasks) > 0 => {
                    broken.push(format!(
                        "{id} still has running tasks after its cancellation"
                    ));
                }
                Some(Status::Completed) if !self.occurrences(id).all(done) => {
                    broken.push(format!(
                        "{id} is stored as completed, but some of its tasks are not"
                    ));
                }
                Some(Status::Failed) if !self.history.may_fail(id, tasks) => {
                    broken.push(format!(
                        "{id} is stored as failed, but no task has used up its attempts"
                    ));
                }
                Some(_) => {}
            }
        }
        self.history.broken.append(&mut broken);
    }
}
