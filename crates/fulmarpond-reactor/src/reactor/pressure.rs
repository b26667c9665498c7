//! Which connections of clients are closed when all together hold too much.
//!
//! The order is weighed in `docs/design/client-memory.md`.

use std::cmp::Reverse;
use std::time::Instant;

use tracing::warn;

use super::{Conn, Reactor};

/// When clients hold too many bytes, connections are closed until this share of the limit is left, so
/// that not each further byte closes one.
const RELIEVED_EIGHTHS: usize = 7;

/// The share of the connections that are closed together when there are too many.
const CLOSED_SHARE: usize = 32;

/// The share of the bytes of clients up to which requests are read before they are handled.
const EVENT_SHARE: usize = 4;

/// Connections that were closed for the limits of the process, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosedCounts {
    /// Clients together held too many bytes.
    pub memory: u64,
    /// There were too many connections of clients.
    pub connections: u64,
    /// There were too many links of other processes.
    pub links: u64,
}

impl Reactor {
    /// Returns how many connections were closed for the limits of the process.
    pub const fn closed(&self) -> ClosedCounts {
        self.closed
    }

    /// Returns whether the requests that wait to be handled hold as much as they may.
    pub(super) const fn has_enough_events(&self) -> bool {
        self.event_bytes > self.limits.client_bytes / EVENT_SHARE
    }

    /// Records how many bytes a connection holds, and closes others if all hold too many.
    pub(super) fn record_held(&mut self, key: usize) {
        let (channel, held, since) = match self.conns.get_mut(key) {
            Some(Conn::Server(conn)) => (&conn.channel, &mut conn.held, &mut conn.since),
            Some(Conn::Link(conn)) if conn.is_untried() => {
                (&conn.channel, &mut conn.held, &mut conn.since)
            }
            _ => return,
        };
        let bytes = channel.held_bytes();
        if bytes == *held {
            return;
        }
        if *held == 0 {
            *since = Instant::now();
        }
        self.held_bytes = self.held_bytes + bytes - *held;
        *held = bytes;
        let max_request = self.limits.header_bytes + self.limits.body_bytes;
        let limit = self.limits.client_bytes.max(max_request);
        if self.held_bytes > limit {
            self.close_largest(limit / 8 * RELIEVED_EIGHTHS);
        }
    }

    /// Closes the connections whose bytes have been held for the longest, weighed by their number,
    /// until all hold at most `limit` bytes.
    fn close_largest(&mut self, limit: usize) {
        let now = Instant::now();
        let mut holders: Vec<(u128, usize)> = Vec::new();
        for (key, conn) in &self.conns {
            let (held, since) = match conn {
                Conn::Server(conn) => (conn.held, conn.since),
                Conn::Link(conn) => (conn.held, conn.since),
                _ => continue,
            };
            if held > 0 {
                let age = now.duration_since(since).as_micros() + 1;
                holders.push((held as u128 * age, key));
            }
        }
        holders.sort_unstable_by_key(|&holder| Reverse(holder));
        for (_, key) in holders {
            if self.held_bytes <= limit {
                return;
            }
            self.closed.memory += 1;
            self.close_client(key);
        }
    }

    /// Makes room for a connection if there are as many as allowed, and returns whether there is any.
    pub(super) fn has_room_for_client(&mut self) -> bool {
        if self.client_connections < self.limits.connections {
            return true;
        }
        let mut waiting = Vec::new();
        for (key, conn) in &self.conns {
            if let Conn::Server(conn) = conn
                && conn.pending_request.is_none()
            {
                waiting.push((conn.has_requested, conn.since, key));
            }
        }
        self.closed.connections += 1;
        self.close_first(waiting, self.limits.connections)
    }

    /// Makes room for a link if there are as many as allowed, and returns whether there is any.
    pub(super) fn has_room_for_link(&mut self) -> bool {
        if self.accepted_links < self.limits.links {
            return true;
        }
        let mut untried = Vec::new();
        for (key, conn) in &self.conns {
            if let Conn::Link(conn) = conn
                && conn.is_untried()
            {
                untried.push((false, conn.since, key));
            }
        }
        self.closed.links += 1;
        self.close_first(untried, self.limits.links)
    }

    /// Closes the first of some connections, and returns whether there was any.
    fn close_first(&mut self, mut conns: Vec<(bool, Instant, usize)>, limit: usize) -> bool {
        conns.sort_unstable();
        conns.truncate(1 + limit / CLOSED_SHARE);
        for &(_, _, key) in &conns {
            self.close_client(key);
        }
        !conns.is_empty()
    }

    fn close_client(&mut self, key: usize) {
        match self.conns.get_mut(key) {
            Some(Conn::Server(conn)) => {
                if let Some(id) = conn.pending_request.take() {
                    self.abandon(id);
                }
                self.remove(key);
            }
            Some(Conn::Link(conn)) => {
                let id = conn.id;
                self.fail_link(id);
            }
            _ => {}
        }
    }

    /// Logs that connections were closed since the last call.
    pub(super) fn log_closed(&mut self) {
        if self.closed != self.logged_closed {
            self.logged_closed = self.closed;
            let closed = self.closed;
            warn!(
                memory = closed.memory,
                connections = closed.connections,
                links = closed.links,
                held_bytes = self.held_bytes,
                "connections closed for the limits of the process"
            );
        }
    }
}
