//! Causes of retries.

use fulmarpond_derive::value;

/// Why something was sent again. One counter per cause.
#[value]
pub enum RetryCause {
    /// The agent had no free slot.
    Full,
    /// The task was withdrawn from a queue that did not move.
    Moved,
    /// The agent takes no new work.
    Leaving,
    /// No connection to the agent could be made.
    NotSent,
    /// The link was lost, so the agent was asked what became of the request.
    Asked,
    /// The first candidate refused the job.
    NextCandidate,
    /// The job or its seal is at another agent.
    Redirected,
    /// Another writer changed the roster or configuration first.
    Conflict,
    /// The platform's service did not confirm a write.
    StoreUnknown,
}

impl RetryCause {
    /// All causes.
    pub const ALL: [Self; 9] = [
        Self::Full,
        Self::Moved,
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
            Self::Full => "full",
            Self::Moved => "moved",
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
