//! Calls over links on behalf of a role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

use fulmarpond_core::Time;
use fulmarpond_core::link::{CallId, Envelope, LinkError, Request, Response};
use fulmarpond_link::{LinkClient, LinkStats, Responder};

use crate::clock::Clock;
use crate::metrics::{Metrics, set};
use crate::ring::Waiting;

/// Calls over links on behalf of a role, and the requests that wait for its replies.
pub(crate) struct Links<I> {
    pub(crate) client: LinkClient,
    pub(crate) responders: Waiting<Responder>,
    pub(crate) core: SyncSender<I>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) clock: Clock,
}

impl<I: Send + 'static> Links<I> {
    /// Sends a request. `input` makes the input that delivers the outcome to the role.
    pub(crate) fn call(
        &self,
        call: CallId,
        addr: SocketAddr,
        envelope: Envelope,
        deadline: Time,
        input: fn(CallId, Result<Response, LinkError>) -> I,
    ) {
        let class = match envelope.request {
            Request::Announce(_) | Request::Leave(_) => "control",
            _ => "link",
        };
        self.metrics.messages(class, 2);
        let core = self.core.clone();
        let timeout = self.clock.until(deadline);
        self.client.call(addr, envelope, timeout, move |result| {
            // The core thread never waits for this runtime, so waiting for room in its ring ends.
            let _ = core.send(input(call, result));
        });
    }

    /// Sends a response.
    pub(crate) fn reply(&self, call: CallId, response: Response) {
        if let Some(responder) = self.responders.take(call) {
            responder.send(response);
        }
    }

    /// Makes the traffic of the links visible in the metrics.
    pub(crate) fn publish(&self) {
        set(&self.metrics.link_sent, self.stats.sent_bytes());
        set(&self.metrics.link_received, self.stats.received_bytes());
        set(&self.metrics.links_opened, self.stats.opened());
        set(&self.metrics.links_denied, self.stats.unauthorized());
    }
}
