//! Requests to and from other processes over links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

use fulmarpond_core::Time;
use fulmarpond_core::link::{CallId, Envelope, LinkError, Request, Response};
use fulmarpond_link::{LinkClient, LinkStats, Responder};

use crate::clock::Clock;
use crate::metrics::{Metrics, set_gauge};
use crate::ring::PendingCalls;

/// Sends the requests of a role over links, and holds the received requests that await its reply.
pub(crate) struct Links<I> {
    pub(crate) client: LinkClient,
    pub(crate) responders: PendingCalls<Responder>,
    pub(crate) core: SyncSender<I>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) clock: Clock,
}

impl<I: Send + 'static> Links<I> {
    /// Sends a request. `to_input` creates the input that delivers the outcome to the role.
    pub(crate) fn call(
        &self,
        call: CallId,
        addr: SocketAddr,
        envelope: Envelope,
        deadline: Time,
        to_input: fn(CallId, Result<Response, LinkError>) -> I,
    ) {
        let class = match envelope.request {
            Request::Announce(_) | Request::Leave(_) => "control",
            _ => "link",
        };
        self.metrics.count_messages(class, 2);
        let core = self.core.clone();
        let timeout = self.clock.until(deadline);
        self.client.call(addr, envelope, timeout, move |result| {
            // The core thread never waits for this runtime, so a blocking send cannot deadlock.
            let _ = core.send(to_input(call, result));
        });
    }

    /// Sends the response to a received request.
    pub(crate) fn reply(&self, call: CallId, response: Response) {
        if let Some(responder) = self.responders.remove(call) {
            responder.send(response);
        }
    }

    /// Updates the metrics of link traffic.
    pub(crate) fn publish(&self) {
        set_gauge(&self.metrics.link_sent, self.stats.sent_bytes());
        set_gauge(&self.metrics.link_received, self.stats.received_bytes());
        set_gauge(&self.metrics.links_opened, self.stats.opened());
        set_gauge(&self.metrics.links_denied, self.stats.unauthorized());
    }
}
