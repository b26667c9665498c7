//! The role of a daemon.

use super::{AgentSettings, EntrySettings};

/// The role of a daemon with the settings that only this role has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// A front end for callers and operators.
    Entry(EntrySettings),
    /// One beside each endpoint.
    Agent(AgentSettings),
}

impl Role {
    /// Returns the name of the role as it stands in a settings file.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Entry(_) => "entry",
            Self::Agent(_) => "agent",
        }
    }
}
