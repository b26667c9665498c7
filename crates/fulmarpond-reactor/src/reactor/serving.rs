//! Connections of clients and their requests.

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
    /// Serves HTTP at an address, and returns the address with its port.
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

    /// Stops accepting at an HTTP listener.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        if let Some(Conn::HttpListener(..)) = self.conns.get(listener.0) {
            self.remove(listener.0);
        }
    }

    /// Answers a request; returns whether its connection was still open.
    pub fn respond(&mut self, id: RequestId, response: &Response) -> bool {
        let Some(key) = self.requests.remove(&id) else {
            return false;
        };
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return false;
        };
        conn.keep_alive &= !self.draining;
        response.write_to(conn.channel.output(), conn.keep_alive);
        conn.open = None;
        conn.closing |= !conn.keep_alive;
        conn.deadline = Instant::now() + self.limits.idle_timeout;
        self.dirty.push(key);
        true
    }

    pub(super) fn accept_http(&mut self, stream: mio::net::TcpStream, listener: ListenerId) {
        if self.clients >= self.limits.connections {
            return;
        }
        let conn = Conn::Server(ServerConn {
            channel: Channel::accepted(stream),
            listener,
            open: None,
            keep_alive: true,
            deadline: Instant::now() + self.limits.header_timeout,
            closing: false,
        });
        if self.insert(conn).is_ok() {
            self.clients += 1;
        }
    }

    pub(super) fn on_server(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if readable && conn.channel.read() == ReadState::Closed {
            let open = conn.open.take();
            if let Some(id) = open {
                self.requests.remove(&id);
                self.events.push(Event::Abandoned { id });
            }
            self.remove(key);
            return;
        }
        if writable {
            self.flush(key);
        }
        self.parse_server(key);
    }

    pub(super) fn parse_server(&mut self, key: usize) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if conn.open.is_some() || conn.closing || conn.channel.input.is_empty() {
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
                conn.open = Some(id);
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
                conn.closing = true;
                Response::empty(error.status()).write_to(conn.channel.output(), false);
                self.dirty.push(key);
            }
        }
    }
}
