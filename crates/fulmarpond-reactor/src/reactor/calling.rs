//! Calls over pooled connections.

use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Instant;

use super::{Conn, Reactor};
use crate::call::{Call, CallError, CallId};
use crate::channel::{Channel, ReadState};
use crate::event::Event;
use crate::http::{self, Parsed};
use crate::pool::{ClientConn, PendingCall, Pool};

impl Reactor {
    /// Sends a call; [`Event::Replied`] follows.
    ///
    /// `lane` separates calls to one address that must not wait for each other; `limit` is the
    /// most connections that a lane opens.
    pub fn call(&mut self, addr: SocketAddr, lane: u8, limit: usize, call: &Call) -> CallId {
        let id = CallId(self.fresh_id());
        let pool = self.pool(addr, lane, limit);
        self.next_sweep = self.next_sweep.min(call.deadline);
        let pending = PendingCall {
            id,
            bytes: encode_call(addr, call),
            deadline: call.deadline,
        };
        if let Some(key) = self.pools[pool].idle.pop() {
            self.start_call(key, pending);
        } else {
            self.pools[pool].waiting.push_back(pending);
            self.fill_pool(pool);
        }
        id
    }

    pub(super) fn on_client(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !conn.channel.is_connected() {
            match conn.channel.finish_connect() {
                Ok(true) => self.send_call(key),
                Ok(false) => return,
                Err(_) => {
                    self.refuse_pool(key);
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
        let closed = conn.channel.read() == ReadState::Closed;
        if conn.call.is_none() {
            if closed || !conn.channel.input.is_empty() {
                self.drop_client(key, CallError::Lost);
            }
            return;
        }
        match http::parse_reply(&conn.channel.input, closed) {
            Parsed::Complete {
                reply,
                len,
                keep_alive,
            } => {
                conn.channel.input.drain(..len);
                conn.channel.shrink();
                if let Some(call) = conn.call.take() {
                    self.events.push(Event::Replied {
                        call: call.id,
                        outcome: Ok(reply),
                    });
                }
                if closed || !keep_alive {
                    self.drop_client(key, CallError::Lost);
                } else {
                    self.reuse(key);
                }
            }
            Parsed::Partial if closed => self.drop_client(key, CallError::Lost),
            Parsed::Partial => {}
            Parsed::Malformed => self.drop_client(key, CallError::Malformed),
        }
    }

    pub(super) fn pool(&mut self, addr: SocketAddr, lane: u8, limit: usize) -> usize {
        if let Some(&pool) = self.pool_index.get(&(addr, lane)) {
            return pool;
        }
        self.pools.push(Pool {
            addr,
            limit,
            open: 0,
            idle: Vec::new(),
            waiting: VecDeque::new(),
        });
        let pool = self.pools.len() - 1;
        self.pool_index.insert((addr, lane), pool);
        pool
    }

    pub(super) fn fill_pool(&mut self, pool: usize) {
        while self.pools[pool].open < self.pools[pool].limit {
            let Some(call) = self.pools[pool].waiting.pop_front() else {
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
                sent: false,
            })
        });
        match conn.and_then(|conn| self.insert(conn)) {
            Ok(_) => self.pools[pool].open += 1,
            Err(_) => self.events.push(Event::Replied {
                call: id,
                outcome: Err(CallError::Refused),
            }),
        }
    }

    pub(super) fn start_call(&mut self, key: usize, call: PendingCall) {
        if let Some(Conn::Client(conn)) = self.conns.get_mut(key) {
            conn.call = Some(call);
            conn.sent = false;
            self.send_call(key);
        }
    }

    pub(super) fn send_call(&mut self, key: usize) {
        if let Some(Conn::Client(conn)) = self.conns.get_mut(key)
            && let Some(call) = &mut conn.call
        {
            let bytes = std::mem::take(&mut call.bytes);
            conn.channel.push(&bytes);
            conn.sent = true;
            self.dirty.push(key);
        }
    }

    pub(super) fn reuse(&mut self, key: usize) {
        let Some(Conn::Client(conn)) = self.conns.get(key) else {
            return;
        };
        let pool = conn.pool;
        match self.pools[pool].waiting.pop_front() {
            Some(call) => self.start_call(key, call),
            None => self.pools[pool].idle.push(key),
        }
    }

    /// Closes a client connection, and ends its call with `error`.
    pub(super) fn drop_client(&mut self, key: usize, error: CallError) {
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        let pool = conn.pool;
        let error = if conn.sent || error == CallError::Refused {
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
        self.pools[pool].open -= 1;
        self.pools[pool].idle.retain(|&idle| idle != key);
        self.remove(key);
        self.fill_pool(pool);
    }

    /// Ends the call of a refused connect, and all calls that wait for the same address.
    pub(super) fn refuse_pool(&mut self, key: usize) {
        let Some(Conn::Client(conn)) = self.conns.get(key) else {
            return;
        };
        let pool = conn.pool;
        for call in std::mem::take(&mut self.pools[pool].waiting) {
            self.events.push(Event::Replied {
                call: call.id,
                outcome: Err(CallError::Refused),
            });
        }
        self.drop_client(key, CallError::Refused);
    }

    pub(super) fn expire_waiting(&mut self, now: Instant) {
        for pool in &mut self.pools {
            let (late, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut pool.waiting)
                .into_iter()
                .partition(|call| now >= call.deadline);
            pool.waiting = waiting;
            for call in late {
                self.events.push(Event::Replied {
                    call: call.id,
                    outcome: Err(CallError::NotConnected),
                });
            }
            for call in &pool.waiting {
                self.next_sweep = self.next_sweep.min(call.deadline);
            }
        }
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
