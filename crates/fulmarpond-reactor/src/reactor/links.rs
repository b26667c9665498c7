//! Framed links to other processes of the deployment.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Interest, Token};
use tracing::error;

use super::{Conn, Reactor};
use crate::channel::{Channel, ReadState};
use crate::event::{Event, LinkId};
use crate::link::{LinkConn, MAX_FRAME_BYTES, MAX_INPUT_BYTES};

/// Timeout for establishing a link. A host without power sends no reply, and the operating system
/// would retry the connection for seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The maximum output queued on a link, in bytes. A link whose peer reads too slowly to stay below
/// it is closed.
const MAX_PENDING_OUTPUT_BYTES: usize = 8 * 1024 * 1024;

impl Reactor {
    /// Accepts links on an address, and returns the bound address with the assigned port.
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

    /// Opens a link. The outcome is reported as [`Event::LinkUp`] or [`Event::LinkDown`].
    pub fn dial(&mut self, addr: SocketAddr) -> LinkId {
        let id = LinkId(self.allocate_id());
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        self.next_sweep = self.next_sweep.min(deadline);
        let conn = Channel::connect(addr)
            .map(|channel| Conn::Link(LinkConn::new(channel, id, deadline, false)));
        match conn.and_then(|conn| self.insert(conn)) {
            Ok(key) => {
                self.links.insert(id, key);
            }
            Err(_) => self.events.push(Event::LinkDown { link: id }),
        }
        id
    }

    /// Queues a frame on a link. A frame for a closed link is dropped.
    ///
    /// If the frame is too large or too much output is pending, the link is closed and
    /// [`Event::LinkDown`] is reported.
    pub fn send(&mut self, link: LinkId, bytes: &[u8]) {
        let Some(&key) = self.links.get(&link) else {
            return;
        };
        if bytes.len() > MAX_FRAME_BYTES {
            // The peer would close the link at this frame.
            error!(
                bytes = bytes.len(),
                max_bytes = MAX_FRAME_BYTES,
                "frame too large, closing the link"
            );
            self.fail_link(link);
            return;
        }
        if let Some(Conn::Link(conn)) = self.conns.get_mut(key) {
            conn.queue_frame(bytes);
            let is_full = conn.channel.pending_output_bytes() > MAX_PENDING_OUTPUT_BYTES;
            self.unflushed.push(key);
            if is_full {
                self.close_link(link);
                self.events.push(Event::LinkDown { link });
            }
        }
    }

    /// Closes a link without reporting [`Event::LinkDown`].
    pub fn close_link(&mut self, link: LinkId) {
        if let Some(key) = self.links.remove(&link) {
            self.remove(key);
        }
    }

    pub(super) fn accept_link(&mut self, stream: mio::net::TcpStream, peer: SocketAddr) {
        if !self.has_room_for_link() {
            return;
        }
        let id = LinkId(self.allocate_id());
        let channel = Channel::accepted(stream);
        let conn = Conn::Link(LinkConn::new(channel, id, Instant::now(), true));
        if let Ok(key) = self.insert(conn) {
            self.accepted_links += 1;
            self.links.insert(id, key);
            self.events.push(Event::LinkUp {
                link: id,
                peer,
                accepted: true,
            });
        }
    }

    pub(super) fn on_link_ready(&mut self, key: usize, readable: bool, writable: bool) {
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
                Err(_) => return self.fail_link(id),
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
        let mut state = ReadState::Full;
        let mut frames = Some(Vec::new());
        // A full input holds a complete frame or an invalid one, so each round takes something.
        while state == ReadState::Full
            && let Some(taken) = &mut frames
        {
            state = conn.channel.read(MAX_INPUT_BYTES, &mut self.chunk);
            match conn.take_frames() {
                Some(more) => taken.extend(more),
                None => frames = None,
            }
        }
        let is_closed = state == ReadState::Closed;
        conn.channel.shrink_buffers();
        if conn.is_untried() && frames.as_ref().is_some_and(|frames| !frames.is_empty()) {
            conn.has_frame = true;
            self.held_bytes -= std::mem::take(&mut conn.held);
        }
        let is_broken = is_closed || frames.is_none();
        for bytes in frames.unwrap_or_default() {
            self.events.push(Event::Frame { link: id, bytes });
        }
        if is_broken {
            self.fail_link(id);
        } else {
            self.record_held(key);
        }
    }

    /// Closes a link and reports [`Event::LinkDown`].
    pub(super) fn fail_link(&mut self, link: LinkId) {
        self.close_link(link);
        self.events.push(Event::LinkDown { link });
    }
}
