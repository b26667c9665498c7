//! Counters of all links of a process.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of all links of one [`LinkRuntime`](super::LinkRuntime). Counters are never reset.
#[derive(Debug, Default)]
pub struct LinkStats {
    pub(super) calls: AtomicU64,
    pub(super) responses: AtomicU64,
    pub(super) lost: AtomicU64,
    pub(super) not_sent: AtomicU64,
    pub(super) rejected: AtomicU64,
    pub(super) opened: AtomicU64,
    pub(super) accepted: AtomicU64,
    pub(super) unauthorized: AtomicU64,
    pub(super) requests: AtomicU64,
    pub(super) undecodable: AtomicU64,
    pub(super) unanswered: AtomicU64,
    pub(super) sent_bytes: AtomicU64,
    pub(super) received_bytes: AtomicU64,
}

impl LinkStats {
    /// Returns the number of calls started by clients.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that ended with a response.
    pub fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that ended as [`Lost`](fulmarpond_core::link::LinkError::Lost).
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that ended as
    /// [`NotSent`](fulmarpond_core::link::LinkError::NotSent).
    pub fn not_sent(&self) -> u64 {
        self.not_sent.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that ended as
    /// [`Rejected`](fulmarpond_core::link::LinkError::Rejected).
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Returns the number of connections opened by clients.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted by servers, before authorization.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that servers refused because the secret was missing or
    /// wrong.
    pub fn unauthorized(&self) -> u64 {
        self.unauthorized.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that servers passed to their handler.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that servers could not decode.
    pub fn undecodable(&self) -> u64 {
        self.undecodable.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose responder was dropped without a response.
    pub fn unanswered(&self) -> u64 {
        self.unanswered.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes written to connections, handshakes and frames included.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read from connections, handshakes and frames included.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
