//! Outgoing HTTP calls over pooled connections.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Instant;

use super::{Conn, Reactor};
use tracing::warn;

use crate::call::{Call, CallError, CallId};
use crate::channel::{Channel, ReadState};
use crate::event::Event;
use crate::http::{self, ParsedReply};
use crate::pool::{ClientConn, PendingCall, Pool};

impl Reactor {
    /// Starts a call. Its outcome is reported as [`Event::Replied`].
    ///
    /// Each pair of address and `lane` has its own connection pool, so that calls in different
    /// lanes never wait for each other. `limit` is the maximum number of connections of the pool;
    /// the first call in a lane sets it.
    pub fn call(&mut self, addr: SocketAddr, lane: u8, limit: usize, call: &Call) -> CallId {
        let id = CallId(self.allocate_id());
        let pool = self.pool_for(addr, lane, limit);
        self.next_sweep = self.next_sweep.min(call.deadline);
        let pending = PendingCall {
            id,
            bytes: encode_call(addr, call),
            deadline: call.deadline,
            last_deadline: call.last_deadline,
        };
        if let Some(key) = self.pools[pool].idle.pop() {
            self.assign_call(key, pending);
        } else {
            self.pools[pool].waiting_calls.push_back(pending);
            self.open_for_waiting_calls(pool);
        }
        id
    }

    pub(super) fn on_client_ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !conn.channel.is_connected() {
            match conn.channel.finish_connect() {
                Ok(true) => self.send_call(key),
                Ok(false) => return,
                Err(error) => {
                    match connect_failure(&error) {
                        CallError::Refused => self.fail_refused_pool(key),
                        failure => self.fail_client(key, failure),
                    }
                    return;
                }
            }
        } else if writable {
            self.flush(key);
        }
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !readable {
            return;
        }
        let state = conn.channel.read(self.limits.reply_bytes, &mut self.chunk);
        if state == ReadState::Full {
            warn!(
                max_bytes = self.limits.reply_bytes,
                "reply too large, closing the connection"
            );
            self.fail_client(key, CallError::TooLarge);
            return;
        }
        let is_closed = state == ReadState::Closed;
        if conn.call.is_none() {
            if is_closed || !conn.channel.input.is_empty() {
                self.fail_client(key, CallError::Lost);
            }
            return;
        }
        match http::parse_reply(&conn.channel.input, is_closed) {
            ParsedReply::Complete {
                reply,
                len,
                keep_alive,
            } => {
                conn.channel.input.drain(..len);
                conn.channel.shrink_buffers();
                if let Some(call) = conn.call.take() {
                    self.events.push(Event::Replied {
                        call: call.id,
                        outcome: Ok(reply),
                    });
                }
                if is_closed || !keep_alive {
                    self.fail_client(key, CallError::Lost);
                } else {
                    self.release_client(key);
                }
            }
            ParsedReply::Partial if is_closed => self.fail_client(key, CallError::Lost),
            ParsedReply::Partial => {
                if let Some(call) = &mut conn.call {
                    let next = Instant::now() + self.limits.reply_pause;
                    call.deadline = call.deadline.max(next.min(call.last_deadline));
                }
            }
            ParsedReply::Malformed => self.fail_client(key, CallError::Malformed),
        }
    }

    pub(super) fn pool_for(&mut self, addr: SocketAddr, lane: u8, max_connections: usize) -> usize {
        if let Some(&pool) = self.pool_index.get(&(addr, lane)) {
            return pool;
        }
        self.pools.push(Pool {
            addr,
            max_connections,
            open_connections: 0,
            idle: Vec::new(),
            waiting_calls: VecDeque::new(),
        });
        let pool = self.pools.len() - 1;
        self.pool_index.insert((addr, lane), pool);
        pool
    }

    /// Opens connections for waiting calls up to the limit of the pool.
    pub(super) fn open_for_waiting_calls(&mut self, pool: usize) {
        while self.pools[pool].open_connections < self.pools[pool].max_connections {
            let Some(call) = self.pools[pool].waiting_calls.pop_front() else {
                return;
            };
            self.open_client(pool, call);
        }
    }

    pub(super) fn open_client(&mut self, pool: usize, call: PendingCall) {
        let id = call.id;
        let conn = Channel::connect(self.pools[pool].addr).map(|channel| {
            Conn::Client(ClientConn {
                channel,
                pool,
                call: Some(call),
                is_call_sent: false,
            })
        });
        match conn.and_then(|conn| self.insert(conn)) {
            Ok(_) => self.pools[pool].open_connections += 1,
            Err(error) => self.events.push(Event::Replied {
                call: id,
                outcome: Err(connect_failure(&error)),
            }),
        }
    }

    pub(super) fn assign_call(&mut self, key: usize, call: PendingCall) {
        if let Some(Conn::Client(conn)) = self.conns.get_mut(key) {
            conn.call = Some(call);
            conn.is_call_sent = false;
            self.send_call(key);
        }
    }

    pub(super) fn send_call(&mut self, key: usize) {
        if let Some(Conn::Client(conn)) = self.conns.get_mut(key)
            && let Some(call) = &mut conn.call
        {
            let bytes = std::mem::take(&mut call.bytes);
            conn.channel.queue(&bytes);
            conn.is_call_sent = true;
            self.unflushed.push(key);
        }
    }

    /// Assigns the next waiting call to a connection, or marks the connection as idle.
    pub(super) fn release_client(&mut self, key: usize) {
        let Some(Conn::Client(conn)) = self.conns.get(key) else {
            return;
        };
        let pool = conn.pool;
        match self.pools[pool].waiting_calls.pop_front() {
            Some(call) => self.assign_call(key, call),
            None => self.pools[pool].idle.push(key),
        }
    }

    /// Closes a client connection, and fails its call with `error`.
    ///
    /// A call that was not sent yet fails with [`CallError::NotConnected`], unless the connection
    /// was refused.
    pub(super) fn fail_client(&mut self, key: usize, error: CallError) {
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        let pool = conn.pool;
        let error = if conn.is_call_sent || error == CallError::Refused {
            error
        } else {
            CallError::NotConnected
        };
        if let Some(call) = conn.call.take() {
            self.events.push(Event::Replied {
                call: call.id,
                outcome: Err(error),
            });
        }
        self.pools[pool].open_connections -= 1;
        self.pools[pool].idle.retain(|&idle| idle != key);
        self.remove(key);
        self.open_for_waiting_calls(pool);
    }

    /// Fails the call of a refused connection attempt, and all calls that wait in the same pool.
    pub(super) fn fail_refused_pool(&mut self, key: usize) {
        let Some(Conn::Client(conn)) = self.conns.get(key) else {
            return;
        };
        let pool = conn.pool;
        for call in std::mem::take(&mut self.pools[pool].waiting_calls) {
            self.events.push(Event::Replied {
                call: call.id,
                outcome: Err(CallError::Refused),
            });
        }
        self.fail_client(key, CallError::Refused);
    }

    /// Fails the waiting calls whose deadline has passed, and schedules the next sweep.
    pub(super) fn expire_waiting_calls(&mut self, now: Instant) {
        for pool in &mut self.pools {
            let (expired, waiting): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(&mut pool.waiting_calls)
                    .into_iter()
                    .partition(|call| now >= call.deadline);
            pool.waiting_calls = waiting;
            for call in expired {
                self.events.push(Event::Replied {
                    call: call.id,
                    outcome: Err(CallError::NotConnected),
                });
            }
            for call in &pool.waiting_calls {
                self.next_sweep = self.next_sweep.min(call.deadline);
            }
        }
    }
}

/// Returns why a call is not sent when no connection can be opened. Only a refusal tells something of
/// the peer.
fn connect_failure(error: &io::Error) -> CallError {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        CallError::Refused
    } else {
        CallError::NotConnected
    }
}

fn encode_call(addr: SocketAddr, call: &Call) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + call.body.len());
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "{} {} HTTP/1.1\r\nhost: {addr}\r\n",
        call.method.as_str(),
        call.path
    );
    for (name, value) in &call.headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    if !call.body.is_empty() {
        let _ = write!(
            out,
            "content-type: application/json\r\ncontent-length: {}\r\n",
            call.body.len()
        );
    } else if call.method == http::Method::Post {
        out.extend_from_slice(b"content-length: 0\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&call.body);
    out
}
