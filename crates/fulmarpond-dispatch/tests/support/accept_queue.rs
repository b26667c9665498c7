//! Requests that wait in the accept queue of an entry, and whose callers may leave meanwhile.

use std::collections::{HashMap, HashSet};

use fulmarpond_core::Time;
use fulmarpond_dispatch::JobId;

use super::attempts::RequestKey;
use super::simulation::{Event, Simulation};

/// When an entry sees that a caller left before its request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    Unseen,
    /// So many milliseconds after the request was read.
    SeenAfter(u64),
}

/// A time during which an entry reads no requests.
#[derive(Debug, Clone, Copy)]
struct Hold {
    since: Time,
    until: Time,
    departure: Departure,
    /// Whether the entry knows since when requests may have waited.
    is_noticed: bool,
}

/// The requests that entries have not read yet.
#[derive(Debug, Default)]
pub struct AcceptQueues {
    /// The last hold of each entry.
    holds: HashMap<usize, Hold>,
    /// Since when the entry of each waiting request has read none.
    waiting: HashMap<RequestKey, Time>,
    /// Requests that wait although their caller has left.
    abandoned: HashSet<RequestKey>,
    /// Number of requests that were read after their caller had left.
    pub read_late: u32,
}

impl Simulation {
    /// Makes requests to an entry wait during this time.
    pub(super) fn hold_requests(&mut self, entry: usize, millis: u64, departure: Departure) {
        let until = self.now.after_millis(millis);
        let hold = self.accept_queues.holds.entry(entry).or_insert(Hold {
            since: self.now,
            until,
            departure,
            is_noticed: true,
        });
        if hold.until < self.now {
            hold.since = self.now;
        }
        hold.until = hold.until.max(until);
        hold.departure = departure;
        hold.is_noticed = true;
    }

    /// Holds back requests to an entry in the network during this time, which it can't notice.
    pub(super) fn delay_requests(&mut self, entry: usize, millis: u64, departure: Departure) {
        self.hold_requests(entry, millis, departure);
        if let Some(hold) = self.accept_queues.holds.get_mut(&entry) {
            hold.is_noticed = false;
        }
    }

    /// Puts a request into the accept queue if its entry does not read requests now.
    pub(super) fn queue_request(&mut self, request: RequestKey, id: &JobId) -> bool {
        let hold = self.accept_queues.holds.get(&request.0);
        let Some(hold) = hold.copied().filter(|hold| hold.until > self.now) else {
            return false;
        };
        self.accept_queues.waiting.insert(request, hold.since);
        self.schedule_at(hold.until, Event::RequestRead(request, id.clone()));
        true
    }

    /// Lets an entry see that a caller left, unless its request has not been read yet.
    pub(super) fn caller_left(&mut self, request: RequestKey) {
        if self.accept_queues.waiting.contains_key(&request) {
            self.accept_queues.abandoned.insert(request);
            return;
        }
        let (entry, generation, number) = request;
        let process = &self.entries[entry];
        if process.generation == generation && process.paused_until <= self.now {
            self.with_entry(entry, |core, now, out| {
                core.handle_caller_disconnect(number, now, out);
            });
        }
    }

    /// Lets an entry see that a caller left, at the end of its pause if it is paused.
    pub(super) fn departure_arrives(&mut self, request: RequestKey) {
        if self.accept_queues.waiting.contains_key(&request) {
            self.accept_queues.abandoned.insert(request);
        } else {
            self.departure_seen(request);
        }
    }

    /// Hands a request from the accept queue to its entry.
    pub(super) fn request_read(&mut self, request: RequestKey, id: &JobId) {
        let (entry, generation, number) = request;
        if self.entries[entry].generation != generation {
            self.accept_queues.waiting.remove(&request);
            return;
        }
        let paused_until = self.entries[entry].paused_until;
        let event = Event::RequestRead(request, id.clone());
        if self.postpone_if_paused(paused_until, &event) {
            return;
        }
        let since = self.accept_queues.waiting.remove(&request);
        self.accept_queues.read_late += u32::from(!self.pending_requests.contains_key(&request));
        let hold = self.accept_queues.holds.get(&entry);
        let since = since.filter(|_| hold.is_none_or(|hold| hold.is_noticed));
        let earliest_sent = since.unwrap_or(self.now);
        self.read_request(entry, number, id, earliest_sent);
        let hold = self.accept_queues.holds.get(&entry);
        let departure = hold.map_or(Departure::Unseen, |hold| hold.departure);
        if self.accept_queues.abandoned.remove(&request)
            && let Departure::SeenAfter(millis) = departure
        {
            self.schedule_in_ms(millis, Event::DepartureSeen(request));
        }
    }

    pub(super) fn departure_seen(&mut self, request: RequestKey) {
        let (entry, generation, number) = request;
        let paused_until = self.entries[entry].paused_until;
        if self.entries[entry].generation == generation
            && !self.postpone_if_paused(paused_until, &Event::DepartureSeen(request))
        {
            self.with_entry(entry, |core, now, out| {
                core.handle_caller_disconnect(number, now, out);
            });
        }
    }
}
