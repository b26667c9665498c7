//! The role of a daemon.

use super::{AgentSettings, EntrySettings};

/// The role of a daemon, with its role-specific settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Accepts jobs of callers and requests of operators.
    Entry(EntrySettings),
    /// Sends tasks to an endpoint; each endpoint has its own agent.
    Agent(AgentSettings),
}

impl Role {
    /// Returns the name of the role used in settings files.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Entry(_) => "entry",
            Self::Agent(_) => "agent",
        }
    }
}
