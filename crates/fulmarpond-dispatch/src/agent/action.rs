//! What an agent wants done.

use std::net::SocketAddr;

use fulmarpond_derive::value;

use super::EndpointCall;
use crate::{AgentFrame, EndpointId, LinkNo};

/// Names a call of an agent to its endpoint.
#[value]
pub struct CallNo(pub u64);

/// An action of an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to an entry, and report it with [`Agent::dialed`](super::Agent::dialed).
    Dial {
        /// The address.
        addr: SocketAddr,
    },
    /// Close a link.
    Close {
        /// The link.
        link: LinkNo,
    },
    /// Note the run time of a task that ended.
    Observe {
        /// The time, in milliseconds.
        elapsed: u64,
    },
    /// Send a frame.
    Send {
        /// The link.
        link: LinkNo,
        /// The frame.
        frame: AgentFrame,
    },
    /// Call the endpoint, and report the outcome with
    /// [`Agent::answered`](super::Agent::answered).
    Call {
        /// The number of the call.
        number: CallNo,
        /// The incarnation that the call is meant for.
        to: EndpointId,
        /// The address of the endpoint.
        addr: SocketAddr,
        /// The call.
        call: EndpointCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
}
