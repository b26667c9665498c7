//! Calls to the platform's service for hosts.

use crate::EndpointId;

/// A call to the service for hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostCall {
    /// Lists the hosts.
    List {
        /// Where the page begins; nothing for the first one.
        page: Option<String>,
    },
    /// Orders the maintenance of a host.
    Maintain {
        /// The host.
        host: String,
        /// The number of the wave.
        wave: u64,
        /// The name of the entry that has the duty.
        holder: String,
        /// Its fencing token.
        fence: u64,
    },
}

impl HostCall {
    /// Returns the name of the call in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::List { .. } => "list",
            Self::Maintain { .. } => "maintain",
        }
    }
}

/// The reply of the service for hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostReply {
    /// A page of hosts.
    Hosts {
        /// The hosts.
        hosts: Vec<ListedHost>,
        /// Where the next page begins, if there is one.
        next: Option<String>,
    },
    /// The maintenance has begun, or was done before.
    Begun,
    /// The maintenance was not begun.
    Refused(OrderRefusal),
    /// Too many calls were made.
    TooMany,
}

/// Why a maintenance was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// Another holder has used a higher fencing token.
    Fenced,
    /// The host is not up, or is about to leave.
    Busy,
    /// The host is not part of the wave, or there is no such host.
    Unknown,
}

/// Where a host stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It runs.
    Up,
    /// It is being moved, maintained, or is down.
    Away,
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The name of the host.
    pub name: String,
    /// Where it stands.
    pub state: HostState,
    /// The endpoint that runs on it, if any.
    pub endpoint: Option<EndpointId>,
}
