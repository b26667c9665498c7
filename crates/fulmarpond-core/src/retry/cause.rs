//! Causes of retries.

use fulmarpond_derive::value;

/// Why a request was sent again. Each cause has its own counter.
#[value]
pub enum RetryCause {
    /// The agent had no free slot.
    NoFreeSlot,
    /// The task was withdrawn from a stalled queue.
    WithdrawnFromQueue,
    /// The agent accepts no new work, for example because it is draining.
    Leaving,
    /// The agent could not be reached, so the request was not sent.
    NotSent,
    /// The link was lost, so the agent was asked for the outcome of the request.
    Asked,
    /// A better candidate was skipped, so the job was sent to the next one.
    NextCandidate,
    /// Another agent holds the job or its seal.
    Redirected,
    /// Another writer changed the roster or configuration first.
    Conflict,
    /// The key-value service did not confirm a write, which may have taken effect.
    StoreUnknown,
}

impl RetryCause {
    /// All causes.
    pub const ALL: [Self; 9] = [
        Self::NoFreeSlot,
        Self::WithdrawnFromQueue,
        Self::Leaving,
        Self::NotSent,
        Self::Asked,
        Self::NextCandidate,
        Self::Redirected,
        Self::Conflict,
        Self::StoreUnknown,
    ];

    /// Returns the name of the cause in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoFreeSlot => "full",
            Self::WithdrawnFromQueue => "moved",
            Self::Leaving => "leaving",
            Self::NotSent => "not_sent",
            Self::Asked => "asked",
            Self::NextCandidate => "next_candidate",
            Self::Redirected => "redirected",
            Self::Conflict => "conflict",
            Self::StoreUnknown => "store_unknown",
        }
    }
}
