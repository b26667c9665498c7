//! HTTP server: client connections and their requests.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::TcpListener;
use mio::{Interest, Token};
use tracing::warn;

use super::{Conn, Reactor};
use crate::channel::{Channel, ReadState};
use crate::event::{Event, ListenerId, RequestId};
use crate::http::{self, Incomplete, Parsed, RequestError, Response};
use crate::server::ServerConn;

impl Reactor {
    /// Serves HTTP on an address, and returns the bound address with the assigned port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn listen_http(&mut self, addr: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        let mut listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let entry = self.conns.vacant_entry();
        let id = ListenerId(entry.key());
        let token = Token(entry.key());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        entry.insert(Conn::HttpListener(listener, id));
        Ok((id, addr))
    }

    /// Closes an HTTP listener. Connections that it has accepted stay open.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        if let Some(Conn::HttpListener(..)) = self.conns.get(listener.0) {
            self.remove(listener.0);
        }
    }

    /// Responds to a request, and returns whether its connection was still open.
    pub fn respond(&mut self, id: RequestId, response: &Response) -> bool {
        let Some(key) = self.requests.remove(&id) else {
            return false;
        };
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return false;
        };
        conn.keep_alive &= !self.is_draining;
        response.write_to(conn.channel.output_mut(), conn.keep_alive);
        conn.pending_request = None;
        conn.responded = conn.channel.input.is_empty().then_some(self.stamp);
        conn.is_closing |= !conn.keep_alive;
        conn.since = Instant::now();
        conn.deadline = conn.since + self.limits.idle_timeout;
        self.unflushed.push(key);
        true
    }

    pub(super) fn accept_http(&mut self, stream: mio::net::TcpStream, listener: ListenerId) {
        if !self.has_room_for_client() {
            return;
        }
        let conn = Conn::Server(ServerConn {
            channel: Channel::accepted(stream),
            listener,
            pending_request: None,
            keep_alive: true,
            incomplete: None,
            input_since: self.quiet_stamp,
            responded: None,
            deadline: Instant::now() + self.limits.header_timeout,
            is_closing: false,
            held: 0,
            since: Instant::now(),
            has_requested: false,
        });
        if let Ok(key) = self.insert(conn) {
            self.client_connections += 1;
            // What has come by now may have waited with the connection; what comes later is as old as
            // any other input.
            self.on_ready(key, true, false);
        }
    }

    pub(super) fn on_server_ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        // A client that does not wait for its response may send the next request ahead, but not
        // more than that.
        let max_input = self.limits.header_bytes + self.limits.body_bytes;
        let state = if readable {
            // The last byte of a request tells that its caller was still there. A request that is sent
            // ahead waits from its first byte on.
            let is_parsed_at_once = conn.pending_request.is_none() && !conn.has_much_output();
            if is_parsed_at_once || conn.channel.input.is_empty() {
                conn.input_since = self.quiet_stamp;
            }
            conn.channel.read(max_input, &mut self.chunk)
        } else {
            ReadState::Open
        };
        match state {
            ReadState::Open => {}
            ReadState::Full if conn.pending_request.is_none() && !conn.has_much_output() => {
                let limits = &self.limits;
                let parsed = http::parse_request(
                    &conn.channel.input,
                    limits.header_bytes,
                    limits.body_bytes,
                );
                self.reject(key, parsed.err().unwrap_or(RequestError::BodyTooLarge));
                return;
            }
            ReadState::Full | ReadState::Closed => {
                if state == ReadState::Full {
                    warn!(
                        max_input,
                        "client sends too much ahead, closing its connection"
                    );
                }
                let pending_request = conn.pending_request.take();
                if let Some(id) = pending_request {
                    self.abandon(id);
                }
                self.remove(key);
                return;
            }
        }
        if writable {
            self.flush(key);
        }
        self.parse_next_request(key);
        self.record_held(key);
    }

    /// Reports that the client of a request has left, or drops the request if it is not handed over yet.
    pub(super) fn abandon(&mut self, id: RequestId) {
        self.requests.remove(&id);
        let is_request =
            |event: &Event| matches!(event, Event::Request { id: other, .. } if *other == id);
        match self.events.iter().rposition(is_request) {
            Some(position) => {
                self.events.remove(position);
            }
            None => self.events.push(Event::Abandoned { id }),
        }
    }

    /// Parses the next request of a connection, unless the previous one has no response yet.
    pub(super) fn parse_next_request(&mut self, key: usize) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if conn.pending_request.is_some() || conn.is_closing || conn.channel.input.is_empty() {
            return;
        }
        // A client that does not read its responses gets no further ones.
        if conn.has_much_output() {
            return;
        }
        let limits = &self.limits;
        let input = &conn.channel.input;
        let may_continue = |known: Incomplete| known.may_continue(input, limits.header_bytes);
        if !conn.incomplete.is_none_or(may_continue) {
            return;
        }
        let parsed =
            http::parse_request(&conn.channel.input, limits.header_bytes, limits.body_bytes);
        match parsed {
            Ok(Parsed::Complete {
                mut request,
                head_len,
                body_len,
            }) => {
                request.body = http::take_body(&mut conn.channel.input, head_len, body_len);
                conn.keep_alive = request.keep_alive;
                conn.incomplete = None;
                conn.has_requested = true;
                self.event_bytes += head_len + body_len;
                let id = RequestId(self.next_id);
                self.next_id += 1;
                conn.pending_request = Some(id);
                let listener = conn.listener;
                let since = conn.input_since;
                let heard = conn.responded.take();
                self.requests.insert(id, key);
                self.events.push(Event::Request {
                    listener,
                    id,
                    request,
                    since,
                    heard,
                });
            }
            Ok(Parsed::Incomplete(known)) if conn.incomplete.is_none() => {
                conn.incomplete = Some(known);
                conn.deadline = conn
                    .deadline
                    .min(Instant::now() + self.limits.header_timeout);
                self.next_sweep = self.next_sweep.min(conn.deadline);
            }
            Ok(Parsed::Incomplete(known)) => conn.incomplete = Some(known),
            Err(error) => self.reject(key, error),
        }
    }

    /// Responds to an invalid request and closes the connection.
    fn reject(&mut self, key: usize, error: RequestError) {
        if let Some(Conn::Server(conn)) = self.conns.get_mut(key) {
            conn.is_closing = true;
            Response::empty(error.status()).write_to(conn.channel.output_mut(), false);
            self.unflushed.push(key);
        }
    }
}
