//! Links between entries, and their faults.

use std::collections::HashSet;
use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::{AgentFrame, EntryFrame, LinkNo, decode};

use super::simulation::{Event, LINK_DELAY_US, Simulation};

/// Number of the first link between entries; links to agents have smaller ones.
const FIRST_PEER_LINK: u64 = 1 << 40;

/// Time until an attempt to open a link fails, in milliseconds.
const DIAL_TIMEOUT_MS: u64 = 150;

/// A fault of the links between two entries. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFault {
    /// Both entries see that the links are closed.
    Cut(usize, usize),
    /// The existing links go silent for good; new ones work.
    Silence(usize, usize),
    /// The links go silent, and new ones cannot be opened during this time.
    Block(usize, usize, u64),
}

impl PeerFault {
    /// Returns the duration of the fault, in milliseconds.
    pub(super) const fn duration_ms(self) -> u64 {
        match self {
            Self::Block(_, _, millis) => millis,
            Self::Cut(..) | Self::Silence(..) => 0,
        }
    }
}

/// The side of a link between entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// The entry that opened it.
    Dialer,
    Acceptor,
}

impl Side {
    const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }
}

/// An event at a side of a link between entries.
#[derive(Debug, Clone)]
pub(super) enum PeerEvent {
    Up,
    /// The generation of the entry that is to see the loss.
    Down(u32),
    /// A frame, and the generation of its receiver if it waits in the buffer of its socket.
    Frame(Vec<u8>, Option<u32>),
}

/// A link from an entry to another one.
#[derive(Debug)]
struct PeerLink {
    /// The entry that opened it, and the other one.
    ends: [usize; 2],
    is_open: bool,
    /// Whether frames are dropped without either side noticing.
    is_silent: bool,
    /// Arrival time of the last frame at each end.
    last_arrival: [Time; 2],
}

impl PeerLink {
    const fn entry(&self, side: Side) -> usize {
        self.ends[side as usize]
    }

    fn side_of(&self, entry: usize) -> Side {
        if self.ends[0] == entry {
            Side::Dialer
        } else {
            Side::Acceptor
        }
    }

    fn connects(&self, one: usize, other: usize) -> bool {
        self.ends == [one, other] || self.ends == [other, one]
    }
}

/// The links between entries.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Vec<PeerLink>,
    /// Pairs of entries that cannot connect, with the smaller number first.
    blocked: HashSet<(usize, usize)>,
}

impl PeerLinks {
    pub(super) const fn is_peer(link: LinkNo) -> bool {
        link.0 >= FIRST_PEER_LINK
    }

    fn get(&mut self, link: LinkNo) -> &mut PeerLink {
        &mut self.links[(link.0 - FIRST_PEER_LINK) as usize]
    }

    fn is_blocked(&self, one: usize, other: usize) -> bool {
        self.blocked.contains(&(one.min(other), one.max(other)))
    }

    /// Returns the open links that a condition holds for.
    fn open_links(&self, holds: impl Fn(&PeerLink) -> bool) -> Vec<LinkNo> {
        let links = self.links.iter().enumerate();
        let open = links.filter(|(_, link)| link.is_open && holds(link));
        open.map(|(number, _)| LinkNo(FIRST_PEER_LINK + number as u64))
            .collect()
    }
}

impl Simulation {
    pub(super) fn begin_peer_fault(&mut self, fault: PeerFault) {
        let (PeerFault::Cut(one, other)
        | PeerFault::Silence(one, other)
        | PeerFault::Block(one, other, _)) = fault;
        let between = self.peer_links.open_links(|link| link.connects(one, other));
        for link in between {
            if matches!(fault, PeerFault::Cut(..)) {
                self.close_peer_link(one, link);
                self.peer_down_at(one, link);
            } else {
                self.peer_links.get(link).is_silent = true;
            }
        }
        if let PeerFault::Block(_, _, millis) = fault {
            let pair = (one.min(other), one.max(other));
            self.peer_links.blocked.insert(pair);
            self.schedule_in_ms(millis, Event::PeersUnblocked(pair));
        }
    }

    pub(super) fn peers_unblocked(&mut self, pair: (usize, usize)) {
        self.peer_links.blocked.remove(&pair);
    }

    /// Ends the links of an entry that goes down: they are closed, or go silent.
    pub(super) fn end_peer_links(&mut self, entry: usize, closes_links: bool) {
        let of_entry = self
            .peer_links
            .open_links(|link| link.ends.contains(&entry));
        for link in of_entry {
            if closes_links {
                self.close_peer_link(entry, link);
            } else {
                self.peer_links.get(link).is_silent = true;
            }
        }
    }

    /// Opens a link from an entry to the one at an address.
    pub(super) fn dial_peer(&mut self, entry: usize, addr: SocketAddr) {
        let SocketAddr::V4(v4) = addr else {
            return;
        };
        let acceptor = usize::from(v4.ip().octets()[3]);
        let link = LinkNo(FIRST_PEER_LINK + self.peer_links.links.len() as u64);
        let is_reachable = acceptor != entry
            && self.entries[acceptor].core.is_some()
            && !self.peer_links.is_blocked(entry, acceptor);
        self.peer_links.links.push(PeerLink {
            ends: [entry, acceptor],
            is_open: is_reachable,
            is_silent: false,
            last_arrival: [self.now; 2],
        });
        if let Some(core) = &mut self.entries[entry].core {
            core.dialed(addr, link);
        }
        if is_reachable {
            let accepted = Event::Peer(link, Side::Acceptor, PeerEvent::Up);
            let dialed = Event::Peer(link, Side::Dialer, PeerEvent::Up);
            self.schedule_in_us(LINK_DELAY_US, accepted);
            self.schedule_in_us(2 * LINK_DELAY_US, dialed);
        } else {
            let generation = self.entries[entry].generation;
            let lost = Event::Peer(link, Side::Dialer, PeerEvent::Down(generation));
            self.schedule_in_ms(DIAL_TIMEOUT_MS, lost);
        }
    }

    /// Sends a frame from an entry to the other one of a link. Frames of one direction arrive in
    /// order.
    pub(super) fn send_to_peer(&mut self, entry: usize, link: LinkNo, bytes: Vec<u8>) {
        let earliest = self.now.after_micros(LINK_DELAY_US);
        let state = self.peer_links.get(link);
        if !state.is_open || state.is_silent {
            return;
        }
        let to = state.side_of(entry).other();
        let last_arrival = &mut state.last_arrival[to as usize];
        let arrival = earliest.max(last_arrival.after_micros(1));
        *last_arrival = arrival;
        self.schedule_at(
            arrival,
            Event::Peer(link, to, PeerEvent::Frame(bytes, None)),
        );
    }

    /// Closes a link and notifies the other entry, unless the link is silent.
    pub(super) fn close_peer_link(&mut self, entry: usize, link: LinkNo) {
        let state = self.peer_links.get(link);
        let was_noticed = state.is_open && !state.is_silent;
        state.is_open = false;
        if was_noticed {
            let other = state.entry(state.side_of(entry).other());
            self.peer_down_at(other, link);
        }
    }

    fn peer_down_at(&mut self, entry: usize, link: LinkNo) {
        let side = self.peer_links.get(link).side_of(entry);
        let generation = self.entries[entry].generation;
        let lost = Event::Peer(link, side, PeerEvent::Down(generation));
        self.schedule_in_us(LINK_DELAY_US, lost);
    }

    pub(super) fn handle_peer_event(&mut self, link: LinkNo, side: Side, event: PeerEvent) {
        let state = self.peer_links.get(link);
        let (entry, is_open, is_silent) = (state.entry(side), state.is_open, state.is_silent);
        let process = &self.entries[entry];
        let (generation, paused_until) = (process.generation, process.paused_until);
        let (is_due, later) = match event {
            PeerEvent::Up => (is_open, PeerEvent::Up),
            PeerEvent::Down(receiver) => (receiver == generation, event.clone()),
            PeerEvent::Frame(ref bytes, buffered_for) => {
                let is_received = match buffered_for {
                    Some(receiver) => receiver == generation,
                    None => is_open && !is_silent,
                };
                let buffered = PeerEvent::Frame(bytes.clone(), Some(generation));
                (is_received, buffered)
            }
        };
        if is_due && !self.postpone_if_paused(paused_until, &Event::Peer(link, side, later)) {
            self.deliver_peer_event(entry, link, side, event);
        }
    }

    fn deliver_peer_event(&mut self, entry: usize, link: LinkNo, side: Side, event: PeerEvent) {
        self.with_entry(entry, |core, now, out| match (event, side) {
            (PeerEvent::Up, Side::Acceptor) => core.link_up(link, out),
            (PeerEvent::Up, Side::Dialer) => core.peer_link_up(link, now, out),
            (PeerEvent::Down(_), _) => core.link_down(link, now, out),
            (PeerEvent::Frame(bytes, _), Side::Acceptor) => {
                let frame: AgentFrame = decode(&bytes).expect("a valid frame from an entry");
                core.handle_frame(link, frame, now, out);
            }
            (PeerEvent::Frame(bytes, _), Side::Dialer) => {
                let frame: EntryFrame = decode(&bytes).expect("a valid frame from an entry");
                core.handle_entry_frame(link, frame, now, out);
            }
        });
    }
}
