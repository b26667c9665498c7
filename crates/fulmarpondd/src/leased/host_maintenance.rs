//! Calls to the service for hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fulmarpond_core::Time;
use fulmarpond_dispatch::maintenance::{HostCall, Maintenance, MaintenanceOptions};
use fulmarpond_platform::hosts;
use fulmarpond_reactor::{CallError, CallId, Reactor, Reply};
use tracing::debug;

use super::metrics::Metrics;

/// The maintenance of hosts, with the call that is under way.
#[derive(Debug)]
pub(super) struct HostMaintenance {
    addr: SocketAddr,
    pub(super) state: Maintenance,
    asked: Option<(CallId, HostCall)>,
}

impl HostMaintenance {
    pub(super) const fn new(addr: SocketAddr, options: MaintenanceOptions, now: Time) -> Self {
        Self {
            addr,
            state: Maintenance::new(options, now),
            asked: None,
        }
    }

    /// Makes a call.
    pub(super) fn call(&mut self, reactor: &mut Reactor, call: HostCall, timeout: u64) {
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let request = hosts::encode_call(&call, deadline);
        let id = reactor.call(self.addr, 0, 1, &request);
        self.asked = Some((id, call));
    }

    /// Returns the call that an outcome belongs to, if it is one of these.
    pub(super) fn take_call(&mut self, id: CallId) -> Option<HostCall> {
        let (_, call) = self.asked.take_if(|(asked, _)| *asked == id)?;
        Some(call)
    }

    /// Takes the outcome of a call.
    pub(super) fn answered(
        &mut self,
        call: &HostCall,
        outcome: Result<Reply, CallError>,
        metrics: &Metrics,
        now: Time,
    ) {
        let reply = hosts::decode_reply(call, outcome);
        let result = if reply.is_ok() { "answered" } else { "failed" };
        metrics.call("hosts", call.as_str(), result);
        if let Err(error) = &reply {
            debug!(call = call.as_str(), %error, "call to the service for hosts failed");
        }
        self.state.hosts_answered(reply.ok(), now);
    }
}
