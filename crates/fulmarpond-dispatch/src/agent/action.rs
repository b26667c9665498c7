//! Actions that an agent requests from its driver.

use std::net::SocketAddr;

use fulmarpond_derive::value;

use super::EndpointCall;
use crate::directory::StoreCall;
use crate::{AgentFrame, EndpointId, LinkNo};

/// Identifies a call of an agent to its endpoint.
#[value]
pub struct CallNo(pub u64);

/// An action that the driver carries out for an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to an entry, and report its number with
    /// [`Agent::dialed`](super::Agent::dialed).
    Dial {
        /// The address of the entry.
        addr: SocketAddr,
    },
    /// Close a link.
    Close {
        /// The link.
        link: LinkNo,
    },
    /// Record the run time of a task that ended in the metrics.
    Observe {
        /// The run time, in milliseconds.
        elapsed: u64,
    },
    /// Send a frame.
    Send {
        /// The link.
        link: LinkNo,
        /// The frame.
        frame: AgentFrame,
    },
    /// Call the endpoint, and report the reply or the failure with
    /// [`Agent::handle_reply`](super::Agent::handle_reply).
    Call {
        /// The number of the call.
        number: CallNo,
        /// The endpoint incarnation that the call is addressed to.
        to: EndpointId,
        /// The address of the endpoint.
        addr: SocketAddr,
        /// The call.
        call: EndpointCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
    /// Call the store, and report the outcome with
    /// [`Agent::handle_store_reply`](super::Agent::handle_store_reply).
    Store {
        /// The number of the call.
        number: u64,
        /// The call.
        call: StoreCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
}
