//! The HTTP interface of an agent: registration of its endpoint, metrics and health.

use std::sync::mpsc::SyncSender;
use std::sync::{Arc, RwLock};

use fulmarpond_core::agent::AgentInput;
use fulmarpond_core::machine::Registration;
use fulmarpond_http::{Fault, Handler, Request, Responder, Response};
use serde_json::json;
use tracing::{info, warn};

use super::{body, render};
use crate::driver::AgentStatus;
use crate::metrics::Metrics;

/// The HTTP interface of an agent.
pub(crate) struct AgentApi {
    pub(crate) core: SyncSender<AgentInput>,
    pub(crate) status: Arc<RwLock<AgentStatus>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) zone: String,
    /// The lease duration of a registration in milliseconds.
    pub(crate) lease_ms: u64,
}

impl Handler for AgentApi {
    fn handle(&self, request: Request, responder: Responder) {
        responder.send(self.respond(&request));
    }

    fn refuse(&self, fault: Fault) -> Response {
        render::fault(fault)
    }
}

impl AgentApi {
    fn respond(&self, request: &Request) -> Response {
        match (request.method(), request.path().as_str()) {
            ("POST", "/v1/endpoint") => self.register_endpoint(request),
            ("DELETE", "/v1/endpoint") => {
                self.send_to_core(AgentInput::EndpointLeaving, &json!({}))
            }
            ("GET", "/metrics") => metrics_response(&self.metrics),
            ("GET", "/healthz") => Response::text(200, "ok"),
            ("GET", "/readyz") => self.readiness(),
            _ => Response::empty(404),
        }
    }

    fn register_endpoint(&self, request: &Request) -> Response {
        let registration: Registration = match body::parse_json(request) {
            Ok(registration) => registration,
            Err(response) => return response,
        };
        if registration.zone != self.zone {
            let detail = format!(
                "field `zone` is `{}`, but this agent is in `{}`",
                registration.zone, self.zone
            );
            warn!(%detail, "refused an endpoint");
            return render::invalid(400, &detail);
        }
        if registration.capacity() == 0 {
            return render::invalid(400, "fields `slots` and `connections` must be above 0");
        }
        let lease = json!({"lease_ms": self.lease_ms});
        self.send_to_core(AgentInput::Endpoint(registration), &lease)
    }

    fn send_to_core(&self, input: AgentInput, body: &serde_json::Value) -> Response {
        if matches!(input, AgentInput::EndpointLeaving) {
            info!("the endpoint is leaving");
        }
        match self.core.try_send(input) {
            Ok(()) => render::json_response(200, body),
            Err(_) => render::invalid(503, "the agent is overloaded or stopping"),
        }
    }

    fn readiness(&self) -> Response {
        let status = self
            .status
            .read()
            .map(|status| status.clone())
            .unwrap_or_default();
        match (status.ready, status.draining) {
            (true, _) => Response::text(200, "ready"),
            (false, true) => Response::text(503, "draining"),
            (false, false) => Response::text(503, "no endpoint or no confirmed roster"),
        }
    }
}

/// Returns the response to a metrics scrape.
pub(super) fn metrics_response(metrics: &Metrics) -> Response {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Response::new(200, content_type, metrics.encode())
}
