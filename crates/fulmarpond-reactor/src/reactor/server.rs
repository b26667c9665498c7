//! HTTP server: client connections and their requests.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::TcpListener;
use mio::{Interest, Token};

use super::{Conn, Reactor};
use crate::channel::{Channel, ReadState};
use crate::event::{Event, ListenerId, RequestId};
use crate::http::{self, Response};
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
        conn.is_closing |= !conn.keep_alive;
        conn.deadline = Instant::now() + self.limits.idle_timeout;
        self.unflushed.push(key);
        true
    }

    pub(super) fn accept_http(&mut self, stream: mio::net::TcpStream, listener: ListenerId) {
        if self.client_connections >= self.limits.connections {
            return;
        }
        let conn = Conn::Server(ServerConn {
            channel: Channel::accepted(stream),
            listener,
            pending_request: None,
            keep_alive: true,
            deadline: Instant::now() + self.limits.header_timeout,
            is_closing: false,
        });
        if self.insert(conn).is_ok() {
            self.client_connections += 1;
        }
    }

    pub(super) fn on_server_ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if readable && conn.channel.read() == ReadState::Closed {
            let pending_request = conn.pending_request.take();
            if let Some(id) = pending_request {
                self.requests.remove(&id);
                self.events.push(Event::Abandoned { id });
            }
            self.remove(key);
            return;
        }
        if writable {
            self.flush(key);
        }
        self.parse_next_request(key);
    }

    /// Parses the next request of a connection, unless the previous one has no response yet.
    pub(super) fn parse_next_request(&mut self, key: usize) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if conn.pending_request.is_some() || conn.is_closing || conn.channel.input.is_empty() {
            return;
        }
        let limits = &self.limits;
        let parsed =
            http::parse_request(&conn.channel.input, limits.header_bytes, limits.body_bytes);
        match parsed {
            Ok(Some((request, len))) => {
                conn.channel.input.drain(..len);
                conn.keep_alive = request.keep_alive;
                let id = RequestId(self.next_id);
                self.next_id += 1;
                conn.pending_request = Some(id);
                let listener = conn.listener;
                self.requests.insert(id, key);
                self.events.push(Event::Request {
                    listener,
                    id,
                    request,
                });
            }
            Ok(None) => {}
            Err(error) => {
                conn.is_closing = true;
                Response::empty(error.status()).write_to(conn.channel.output_mut(), false);
                self.unflushed.push(key);
            }
        }
    }
}
