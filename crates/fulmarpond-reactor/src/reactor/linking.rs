//! Links and their frames.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Interest, Token};

use super::{Conn, Reactor};
use crate::channel::{Channel, ReadState};
use crate::event::{Event, LinkId};
use crate::link::LinkConn;

/// How long a connect of a link may take. A host without power answers nothing, and the system
/// would try for seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The most bytes that wait to be sent on a link before it counts as broken.
const LINK_BACKLOG: usize = 8 * 1024 * 1024;

impl Reactor {
    /// Accepts links at an address, and returns the address with its port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn listen_links(&mut self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let entry = self.conns.vacant_entry();
        let token = Token(entry.key());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        entry.insert(Conn::LinkListener(listener));
        Ok(addr)
    }

    /// Opens a link. [`Event::LinkUp`] or [`Event::LinkDown`] follows.
    pub fn dial(&mut self, addr: SocketAddr) -> LinkId {
        let id = LinkId(self.fresh_id());
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        self.next_sweep = self.next_sweep.min(deadline);
        let conn = Channel::connect(addr).map(|channel| {
            Conn::Link(LinkConn {
                channel,
                id,
                deadline,
            })
        });
        match conn.and_then(|conn| self.insert(conn)) {
            Ok(key) => {
                self.links.insert(id, key);
            }
            Err(_) => self.events.push(Event::LinkDown { link: id }),
        }
        id
    }

    /// Queues a frame on a link; a link that is closed drops it.
    pub fn send(&mut self, link: LinkId, bytes: &[u8]) {
        let Some(&key) = self.links.get(&link) else {
            return;
        };
        if let Some(Conn::Link(conn)) = self.conns.get_mut(key) {
            conn.push(bytes);
            let full = conn.channel.pending() > LINK_BACKLOG;
            self.dirty.push(key);
            if full {
                self.close_link(link);
                self.events.push(Event::LinkDown { link });
            }
        }
    }

    /// Closes a link without a further event.
    pub fn close_link(&mut self, link: LinkId) {
        if let Some(key) = self.links.remove(&link) {
            self.remove(key);
        }
    }

    pub(super) fn accept_link(&mut self, stream: mio::net::TcpStream, peer: SocketAddr) {
        let id = LinkId(self.fresh_id());
        let conn = Conn::Link(LinkConn {
            channel: Channel::accepted(stream),
            id,
            deadline: Instant::now(),
        });
        if let Ok(key) = self.insert(conn) {
            self.links.insert(id, key);
            self.events.push(Event::LinkUp {
                link: id,
                peer,
                accepted: true,
            });
        }
    }

    pub(super) fn on_link(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Link(conn)) = self.conns.get_mut(key) else {
            return;
        };
        let id = conn.id;
        if !conn.channel.is_connected() {
            match conn.channel.finish_connect() {
                Ok(true) => {
                    if let Ok(peer) = conn.channel.peer_addr() {
                        self.events.push(Event::LinkUp {
                            link: id,
                            peer,
                            accepted: false,
                        });
                    }
                }
                Ok(false) => return,
                Err(_) => return self.break_link(id),
            }
        }
        if writable {
            self.flush(key);
        }
        let Some(Conn::Link(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !readable {
            return;
        }
        let closed = conn.channel.read() == ReadState::Closed;
        let frames = conn.take_frames();
        conn.channel.shrink();
        let broken = closed || frames.is_none();
        for bytes in frames.unwrap_or_default() {
            self.events.push(Event::Frame { link: id, bytes });
        }
        if broken {
            self.break_link(id);
        }
    }

    pub(super) fn break_link(&mut self, link: LinkId) {
        self.close_link(link);
        self.events.push(Event::LinkDown { link });
    }
}
