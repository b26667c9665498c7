//! Host maintenance and its calls to the service for hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fulmarpond_core::Time;
use fulmarpond_dispatch::maintenance::{HostCall, Maintenance, MaintenanceOptions};
use fulmarpond_platform::hosts;
use fulmarpond_reactor::{CallError, CallId, Reactor, Reply};
use tracing::debug;

use super::metrics::Metrics;

/// The maintenance of hosts and its call in flight.
#[derive(Debug)]
pub(super) struct HostMaintenance {
    addr: SocketAddr,
    pub(super) state: Maintenance,
    in_flight: Option<(CallId, HostCall)>,
}

impl HostMaintenance {
    pub(super) const fn new(addr: SocketAddr, options: MaintenanceOptions, now: Time) -> Self {
        Self {
            addr,
            state: Maintenance::new(options, now),
            in_flight: None,
        }
    }

    /// Sends a call to the service for hosts.
    pub(super) fn send_call(&mut self, reactor: &mut Reactor, call: HostCall, timeout_ms: u64) {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let request = hosts::encode_call(&call, deadline);
        let id = reactor.call(self.addr, 0, 1, &request);
        self.in_flight = Some((id, call));
    }

    /// Removes and returns the call in flight if it has this id.
    pub(super) fn take_call(&mut self, id: CallId) -> Option<HostCall> {
        let (_, call) = self.in_flight.take_if(|(in_flight, _)| *in_flight == id)?;
        Some(call)
    }

    /// Handles the outcome of a call.
    pub(super) fn handle_reply(
        &mut self,
        call: &HostCall,
        outcome: Result<Reply, CallError>,
        metrics: &Metrics,
        now: Time,
    ) {
        let reply = hosts::decode_reply(call, outcome);
        let result = if reply.is_ok() { "answered" } else { "failed" };
        metrics.count_call("hosts", call.as_str(), result);
        if let Err(error) = &reply {
            debug!(call = call.as_str(), %error, "call to the service for hosts failed");
        }
        self.state.handle_host_reply(reply.ok(), now);
    }
}
