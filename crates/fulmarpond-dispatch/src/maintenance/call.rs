//! Calls to the platform's host service, and their replies.

use crate::EndpointId;

/// A call to the host service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostCall {
    /// Lists the hosts.
    List {
        /// The token of the page; `None` for the first one.
        page: Option<String>,
    },
    /// Orders the maintenance of a host.
    Maintain {
        /// The host.
        host: String,
        /// The number of the wave.
        wave: u64,
        /// The name of the entry that holds the maintenance duty.
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

/// A reply of the host service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostReply {
    /// A page of hosts.
    Hosts {
        /// The hosts.
        hosts: Vec<ListedHost>,
        /// The token of the next page, if there is one.
        next: Option<String>,
    },
    /// The maintenance has started, or was carried out by an earlier order.
    Begun,
    /// The maintenance was not started.
    Refused(OrderRefusal),
    /// The rate limit of the service was exceeded.
    TooMany,
}

/// The reason why a maintenance order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// Another holder has used a higher fencing token.
    Fenced,
    /// The host is not up, or is about to be removed.
    Busy,
    /// The host is not part of the wave.
    NotInWave,
    /// There is no such host.
    Unknown,
}

/// Whether a host is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It is in service.
    Up,
    /// It is being moved or maintained, or is down.
    Away,
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The name of the host.
    pub name: String,
    /// Whether it is in service.
    pub state: HostState,
    /// The endpoint that runs on it, if any.
    pub endpoint: Option<EndpointId>,
}
