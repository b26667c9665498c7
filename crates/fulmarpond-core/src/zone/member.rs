//! The entry of one agent in the roster.

use std::net::SocketAddr;

use fulmarpond_derive::message;

use super::Zone;
use crate::machine::AgentId;

/// One incarnation of an agent in the roster.
#[message]
pub struct Member {
    /// The incarnation of the agent.
    pub agent: AgentId,
    /// The address of its link listener.
    pub addr: SocketAddr,
    /// The zone that it is in.
    pub zone: Zone,
    /// The roster version that added it.
    pub joined: u64,
    /// The roster version that changed it last.
    pub changed: u64,
    /// The roster version that restored it after a removal, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub back: Option<u64>,
    /// The roster version that removed it, if it is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<u64>,
    /// The agent that took over its tombstones and answers when it stopped, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heir: Option<AgentId>,
}

impl Member {
    /// Returns whether the member was certainly live at `version`, and at every later version until
    /// its removal, if any.
    ///
    /// Versions before the member was restored do not count, because the roster does not record at
    /// which versions it was removed.
    pub fn was_live_at(&self, version: u64) -> bool {
        self.back.unwrap_or(self.joined) <= version && self.may_have_been_live_at(version)
    }

    /// Returns whether the member may have been live at `version`.
    pub fn may_have_been_live_at(&self, version: u64) -> bool {
        self.joined <= version && self.left.is_none_or(|left| version < left)
    }

    /// Returns whether the member is live in the latest version of the roster, that is, not
    /// removed.
    pub fn is_live(&self) -> bool {
        self.left.is_none()
    }
}
