//! One agent in the roster.

use std::net::SocketAddr;

use fulmarpond_derive::message;

use super::Zone;
use crate::machine::AgentId;

/// One incarnation of an agent in the roster.
#[message]
pub struct Member {
    /// The incarnation.
    pub agent: AgentId,
    /// The address of its link listener.
    pub addr: SocketAddr,
    /// The zone that it is in.
    pub zone: Zone,
    /// The roster version that added it.
    pub joined: u64,
    /// The roster version that changed it last.
    pub changed: u64,
    /// The roster version that made it a member again, if it came back after a removal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub back: Option<u64>,
    /// The roster version that removed it, if it was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<u64>,
    /// The agent that received its memory when it stopped, if it handed the memory over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heir: Option<AgentId>,
}

impl Member {
    /// Returns whether the member was in the roster from `version` on without a gap.
    ///
    /// The versions before it came back do not count, because the roster does not hold how long it
    /// was away.
    pub fn live_at(&self, version: u64) -> bool {
        self.back.unwrap_or(self.joined) <= version && self.may_live_at(version)
    }

    /// Returns whether the member may have been in the roster at `version`.
    pub fn may_live_at(&self, version: u64) -> bool {
        self.joined <= version && self.left.is_none_or(|left| version < left)
    }

    /// Returns whether the member is in the latest roster.
    pub fn is_live(&self) -> bool {
        self.left.is_none()
    }
}
