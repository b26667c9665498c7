//! The bytes on the links of the simulated entries and of the store, and the time that they take.

use std::collections::{HashMap, VecDeque};

use fulmarpond_core::Time;
use fulmarpond_dispatch::LinkNo;

use super::simulation::{Event, Simulation};
use super::store_calls::CallKey;

/// Bytes of one connection that are on their way at a time. Connections share a link by turns.
const WINDOW_BYTES: u64 = 64 * 1_024;

/// Time from the arrival of a window to the next one, in microseconds.
const ACKNOWLEDGE_US: u64 = 500;

/// Size of a payload from which encoding and decoding it takes time, in bytes.
const MIN_COSTLY_BYTES: u64 = 2_000;

/// Bandwidth of the store's link, in bytes per millisecond.
const STORE_LINK_BYTES: u64 = 125_000;

/// The connection that a payload takes.
#[derive(Debug, Clone, Copy)]
pub enum Connection {
    /// The link between an agent and an entry.
    Link(usize),
    Store(CallKey),
}

/// A payload that takes several windows.
#[derive(Debug)]
struct Transfer {
    connection: Connection,
    entry: usize,
    direction: usize,
    bytes_left: u64,
    /// What happens when it has arrived.
    event: Event,
}

/// The use of the links of the entries.
#[derive(Debug, Default)]
pub struct Transfers {
    /// Time at which the link of each entry is free, to the entry (0) and from it (1).
    free_at: HashMap<(usize, usize), Time>,
    store_free_at: Time,
    under_way: HashMap<u64, Transfer>,
    /// Frames that wait behind a large one, by link and direction.
    blocked: HashMap<(usize, usize), VecDeque<Vec<u8>>>,
    /// Time at which the first byte of a reply of the store arrives.
    first_bytes: HashMap<CallKey, Time>,
    /// Bytes to entries and from entries.
    pub bytes: [u64; 2],
}

impl Simulation {
    /// Sends a payload to an entry (direction 0) or from it (direction 1) at a time at the earliest;
    /// returns when it arrives, unless it takes several windows.
    pub(super) fn transfer(
        &mut self,
        connection: Connection,
        (entry, direction): (usize, usize),
        bytes: u64,
        earliest: Time,
        event: Event,
    ) -> Option<Time> {
        self.transfers.bytes[direction] += bytes;
        if let Connection::Store(call) = connection {
            let free = self.transfers.free_at.get(&(entry, direction));
            let first_byte = free.copied().unwrap_or_default().max(earliest);
            self.transfers.first_bytes.insert(call, first_byte);
        }
        if self.options.entry_size.is_none() || bytes <= WINDOW_BYTES {
            let arrival = self.pass_link(entry, direction, bytes, earliest);
            self.schedule_at(arrival, event);
            return Some(arrival);
        }
        self.last_id += 1;
        let number = self.last_id;
        let transfer = Transfer {
            connection,
            entry,
            direction,
            bytes_left: bytes,
            event,
        };
        self.transfers.under_way.insert(number, transfer);
        self.schedule_at(earliest, Event::TransferContinues(number));
        None
    }

    pub(super) fn continue_transfer(&mut self, number: u64) {
        let Some(mut transfer) = self.transfers.under_way.remove(&number) else {
            return;
        };
        let is_open = match transfer.connection {
            Connection::Link(link) => self.links[link].is_open,
            Connection::Store(call) => {
                self.entries[call.entry].generation == call.generation
                    && !self.answered_store_calls.contains(&call)
            }
        };
        if !is_open {
            return;
        }
        let window = transfer.bytes_left.min(WINDOW_BYTES);
        let (entry, direction) = (transfer.entry, transfer.direction);
        let arrival = self.pass_link(entry, direction, window, self.now);
        transfer.bytes_left -= window;
        if transfer.bytes_left > 0 {
            self.transfers.under_way.insert(number, transfer);
            let next = arrival.after_micros(ACKNOWLEDGE_US);
            self.schedule_at(next, Event::TransferContinues(number));
            return;
        }
        self.schedule_at(arrival, transfer.event);
        if let Connection::Link(link) = transfer.connection {
            self.links[link].last_arrival[direction] = arrival;
            self.schedule_at(arrival, Event::FramesUnblocked(link, direction));
        }
    }

    /// Makes further frames wait behind a large one.
    pub(super) fn block_frames(&mut self, link: usize, direction: usize) {
        self.transfers.blocked.entry((link, direction)).or_default();
    }

    /// Queues a frame if a large one is under way; returns the frame if there is none.
    pub(super) fn queue_if_blocked(
        &mut self,
        link: usize,
        direction: usize,
        bytes: Vec<u8>,
    ) -> Option<Vec<u8>> {
        match self.transfers.blocked.get_mut(&(link, direction)) {
            Some(queue) => {
                queue.push_back(bytes);
                None
            }
            None => Some(bytes),
        }
    }

    pub(super) fn frames_unblocked(&mut self, link: usize, direction: usize) {
        let queue = self.transfers.blocked.remove(&(link, direction));
        for bytes in queue.unwrap_or_default() {
            self.send_frame(LinkNo(link as u64), direction, bytes);
        }
    }

    fn pass_link(&mut self, entry: usize, direction: usize, bytes: u64, earliest: Time) -> Time {
        let Some(size) = self.options.entry_size else {
            return earliest;
        };
        let free_at = self
            .transfers
            .free_at
            .entry((entry, direction))
            .or_default();
        let start = (*free_at).max(earliest);
        *free_at = start.after_micros(bytes * 1_000 / size.link_bytes);
        *free_at
    }

    pub(super) fn pass_store_link(&mut self, bytes: u64, earliest: Time) -> Time {
        let free = self.transfers.store_free_at.max(earliest);
        self.transfers.store_free_at = free.after_micros(bytes * 1_000 / STORE_LINK_BYTES);
        self.transfers.store_free_at
    }

    /// Returns whether the reply to a call is arriving, which postpones its timeout.
    pub(super) fn is_arriving(&self, by: CallKey) -> bool {
        let first_byte = self.transfers.first_bytes.get(&by);
        first_byte.is_some_and(|&at| at <= self.now)
    }

    /// Occupies an entry for as long as it encodes or decodes a large payload.
    pub(super) fn spend_codec_time(&mut self, entry: usize, bytes: u64) {
        let Some(size) = self.options.entry_size else {
            return;
        };
        if bytes < MIN_COSTLY_BYTES {
            return;
        }
        let free = self.entries[entry].paused_until.max(self.now);
        self.entries[entry].paused_until = free.after_micros(bytes * size.codec_us / 1_000);
    }
}
