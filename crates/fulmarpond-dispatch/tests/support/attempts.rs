//! Attempts of callers whose connection breaks, on the caller's side only or on both.

use std::collections::HashMap;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::RequestNo;
use rand::RngExt;

use super::accept_queue::Departure;
use super::simulation::{Event, Simulation};

/// A request at an entry: the entry, its generation, and the number of the request.
pub(super) type RequestKey = (usize, u32, RequestNo);

/// A fault of the connections between callers and an entry. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// The connections of this percentage of the waiting callers of an entry break on the callers'
    /// side only.
    BreakCallers(usize, u32),
    /// This percentage of the waiting callers of an entry leave, which the entry sees.
    LeaveEarly(usize, u32),
    /// An entry lives, but reads no requests during this time.
    HoldRequests(usize, u64, Departure),
    /// The network holds back requests to an entry during this time.
    DelayRequests(usize, u64),
    /// The network holds back requests to an entry during this time, and then the ends of their connections.
    DelayConnections(usize, u64, Departure),
    /// Like `DelayRequests`, and the end of the connection of a caller that has left arrives so long after
    /// its request.
    DelayToEnd(usize, u64, u64),
    /// An entry handles no events during this time; requests wait in its accept queue.
    PauseEntry(usize, u64, Departure),
}

impl AttemptFault {
    /// Returns the duration of the fault, in milliseconds.
    pub(super) const fn duration_ms(self) -> u64 {
        match self {
            Self::BreakCallers(..) | Self::LeaveEarly(..) => 0,
            Self::DelayRequests(_, millis)
            | Self::DelayConnections(_, millis, _)
            | Self::DelayToEnd(_, millis, _)
            | Self::HoldRequests(_, millis, _)
            | Self::PauseEntry(_, millis, _) => millis,
        }
    }
}

/// The sides of a connection that notice that it breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sides {
    /// The caller; the entry sees an open connection.
    Caller,
    Both,
}

/// The entry that an attempt goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    To(usize),
    Except(usize),
}

/// Entries of the attempts that do not go to a random one.
#[derive(Debug, Default)]
pub struct Attempts {
    targets: HashMap<(JobId, u32), Target>,
    /// Number of connections that broke on the caller's side only.
    pub broken: u32,
}

impl Simulation {
    /// Sends the attempt of a job with this number to an entry.
    pub fn send_attempt_to(&mut self, job: &JobId, attempt: u32, entry: usize) {
        let key = (job.clone(), attempt);
        self.attempts.targets.insert(key, Target::To(entry));
    }

    /// Breaks the connection of a waiting caller at a time, in microseconds from now.
    pub fn break_connection_at(&mut self, micros: u64, job: &JobId, sides: Sides) {
        self.schedule_in_us(micros, Event::ConnectionBreaks(job.clone(), sides));
    }

    pub(super) fn begin_attempt_fault(&mut self, fault: AttemptFault) {
        match fault {
            AttemptFault::BreakCallers(entry, percent) => {
                self.break_callers(entry, percent, Sides::Caller);
            }
            AttemptFault::LeaveEarly(entry, percent) => {
                self.break_callers(entry, percent, Sides::Both);
            }
            AttemptFault::DelayRequests(entry, millis) => {
                self.delay_requests(entry, millis, Departure::Unseen);
            }
            AttemptFault::DelayToEnd(entry, millis, end_ms) => {
                self.delay_requests(entry, millis, Departure::SeenAfter(end_ms));
            }
            AttemptFault::DelayConnections(entry, millis, departure) => {
                self.delay_requests(entry, millis, departure);
            }
            AttemptFault::HoldRequests(entry, millis, departure) => {
                self.hold_requests(entry, millis, departure);
            }
            AttemptFault::PauseEntry(entry, millis, departure) => {
                self.excuse_entry(entry, millis);
                self.hold_requests(entry, millis, departure);
                let until = self.now.after_millis(millis);
                let process = &mut self.entries[entry];
                process.paused_until = process.paused_until.max(until);
            }
        }
    }

    fn break_callers(&mut self, entry: usize, percent: u32, sides: Sides) {
        let waiting = self.jobs.iter().filter(|(_, job)| {
            let pending = job.pending.as_ref();
            pending.is_some_and(|&(holder, ..)| holder == entry)
        });
        let mut waiting: Vec<JobId> = waiting.map(|(id, _)| id.clone()).collect();
        waiting.sort();
        for id in waiting {
            if self.rng.random_range(0..100) < percent {
                self.break_connection(&id, sides);
            }
        }
    }

    /// Breaks the connection of a waiting caller, which sends its job again through another entry.
    pub(super) fn break_connection(&mut self, id: &JobId, sides: Sides) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let next = (id.clone(), job.attempt + 1);
        let Some(request) = job.pending.take() else {
            return;
        };
        self.pending_requests.remove(&request);
        match sides {
            Sides::Caller => self.attempts.broken += 1,
            Sides::Both => self.departure_arrives(request),
        }
        let except = Target::Except(request.0);
        self.attempts.targets.entry(next.clone()).or_insert(except);
        let resend_ms = self.options.resend_ms;
        self.schedule_in_ms(resend_ms, Event::Submit(next.0, next.1));
    }

    /// Chooses the entry of an attempt among those that run.
    pub(super) fn choose_entry(&mut self, id: &JobId, attempt: u32, running: &[usize]) -> usize {
        let target = self.attempts.targets.get(&(id.clone(), attempt));
        let eligible: Vec<usize> = running
            .iter()
            .copied()
            .filter(|&entry| match target {
                None => true,
                Some(&Target::To(chosen)) => entry == chosen,
                Some(&Target::Except(left)) => entry != left,
            })
            .collect();
        let candidates = if eligible.is_empty() {
            running
        } else {
            &eligible
        };
        candidates[self.rng.random_range(0..candidates.len())]
    }
}
