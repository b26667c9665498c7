//! Calls of an entry to the store, the advice service and the service for hosts, and their replies.

use std::time::{Duration, Instant};

use fulmarpond_core::Time;
use fulmarpond_dispatch::EndpointId;
use fulmarpond_dispatch::directory::{Activity, StoreCall};
use fulmarpond_dispatch::entry::StepKey;
use fulmarpond_platform::{advice, store};
use fulmarpond_reactor::{CallError, CallId, Reply};
use tracing::debug;

use super::entry_process::EntryProcess;

/// The lane of calls to the store and its maximum number of connections: one for each call that may
/// be in flight.
const STORE_LANE: (u8, usize) = (0, 12);

/// The lane of calls for the configuration and its maximum number of connections. After a failure a
/// call takes a new connection, since idle ones may have failed silently together.
const CONFIGURATION_LANE: (u8, usize) = (1, 2);

impl EntryProcess {
    pub(super) fn handle_reply(
        &mut self,
        call: CallId,
        outcome: Result<Reply, CallError>,
        now: Time,
    ) {
        if self.advice_call == Some(call) {
            self.advice_call = None;
            self.handle_advice(outcome, now);
            return;
        }
        if let Some(maintenance) = &mut self.maintenance
            && let Some(host_call) = maintenance.take_call(call)
        {
            let metrics = &self.runtime.metrics;
            maintenance.handle_reply(&host_call, outcome, metrics, now);
            return;
        }
        if let Some((activity, call)) = self.calls.remove(&call) {
            self.handle_store_reply(activity, &call, outcome, now);
        }
    }

    fn handle_store_reply(
        &mut self,
        activity: Activity,
        call: &StoreCall,
        outcome: Result<Reply, CallError>,
        now: Time,
    ) {
        let reply = match store::decode_reply(call, outcome) {
            Ok(reply) => {
                self.runtime
                    .metrics
                    .count_call("store", call.as_str(), "answered");
                Some(Ok(reply))
            }
            Err(error) => {
                self.runtime
                    .metrics
                    .count_call("store", call.as_str(), "failed");
                debug!(call = call.as_str(), %error, "call to the store failed");
                error.no_effect_status().map(Err)
            }
        };
        if matches!(
            activity,
            Activity::Jobs
                | Activity::Commit(_)
                | Activity::Job
                | Activity::Lookup
                | Activity::Confirmation
        ) {
            self.entry
                .handle_store_reply(activity, reply, now, &mut self.actions);
            return;
        }
        let reply = reply.and_then(Result::ok);
        if activity == Activity::Maintenance {
            if let Some(maintenance) = &mut self.maintenance {
                maintenance.state.handle_store_reply(reply, now);
            }
            return;
        }
        self.directory
            .handle_reply(activity, reply, now, &mut self.directory_actions);
        self.directory.tick(now, &mut self.directory_actions);
        self.entry.set_lease(self.directory.lease_end());
        self.entry
            .confirm_configuration(self.directory.configuration_confirmed_at());
    }

    pub(super) fn request_advice(
        &mut self,
        step: &StepKey,
        endpoints: &[EndpointId],
        timeout: u64,
    ) {
        // Jobs that need advice are only accepted if the address of the advice service is set.
        let Some(addr) = self.advice else {
            return;
        };
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let request = advice::encode_call(step, endpoints, deadline);
        self.advice_call = Some(self.reactor.call(addr, 0, 1, &request));
    }

    fn handle_advice(&mut self, outcome: Result<Reply, CallError>, now: Time) {
        let outcome = advice::decode_reply(outcome);
        let result = if outcome.is_ok() {
            "answered"
        } else {
            "failed"
        };
        self.runtime.metrics.count_call("advice", "advise", result);
        self.entry.handle_advice(outcome, now, &mut self.actions);
    }

    pub(super) fn call_store(&mut self, activity: Activity, call: StoreCall, timeout: u64) {
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let request = store::encode_call(&call, &self.identity, deadline);
        let (lane, limit) = match activity {
            Activity::Configuration => CONFIGURATION_LANE,
            _ => STORE_LANE,
        };
        let id = self.reactor.call(self.store, lane, limit, &request);
        self.calls.insert(id, (activity, call));
    }
}
