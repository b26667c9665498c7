//! Requests to an entry: those of callers, readiness checks and reads of the metrics.

use fulmarpond_core::Time;
use fulmarpond_dispatch::Refusal;
use fulmarpond_dispatch::configuration::Configuration;
use fulmarpond_dispatch::entry::Arrival;
use fulmarpond_platform::caller::{self, CallerRequest};
use fulmarpond_reactor::http::{Request, Response};
use fulmarpond_reactor::{ListenerId, RequestId};
use tracing::info;

use super::entry_process::EntryProcess;

impl EntryProcess {
    pub(super) fn handle_request(
        &mut self,
        listener: ListenerId,
        arrival: Arrival,
        request: &Request,
        now: Time,
    ) {
        let id = RequestId(arrival.request.0);
        if listener == self.caller_listener {
            self.handle_caller_request(arrival, request, now);
        } else if listener == self.readiness_listener {
            let response = self.readiness_response(request);
            self.reactor.respond(id, &response);
        } else {
            let response = self.metrics_response(now);
            self.reactor.respond(id, &response);
        }
    }

    fn metrics_response(&self, now: Time) -> Response {
        let levels = [
            ("jobs", self.entry.jobs() as u64),
            ("agents", self.entry.agents() as u64),
            ("ready_agents", self.entry.ready_agents() as u64),
            ("quarantined_routes", self.entry.quarantined_routes() as u64),
            ("evacuated_zones", self.entry.evacuated_zones() as u64),
            ("evacuated_agents", self.entry.evacuated_agents() as u64),
            ("configuration_version", self.entry.version()),
            (
                "configuration_held_version",
                self.entry.newest_held_version(),
            ),
            ("configuration_routes", self.route_count() as u64),
            (
                "configuration_age_ms",
                self.entry.configuration_age_ms(now).unwrap_or_default(),
            ),
            ("store_age_ms", self.directory.age(now)),
            ("oldest_view_ms", self.entry.oldest_status_age_ms(now)),
            ("kept_jobs", self.entry.ledger_counts().0 as u64),
            ("waiting_changes", self.entry.ledger_counts().1 as u64),
            ("log_lines_dropped", self.runtime.dropped_lines().total()),
        ];
        let speeds = self.entry.endpoint_speeds();
        self.runtime.metrics.set_endpoint_speeds(speeds);
        self.runtime.metrics.set_closed(self.reactor.closed());
        self.runtime
            .metrics
            .set_dropped_lines(self.runtime.dropped_lines());
        self.runtime.metrics.render(&self.entry.counters, &levels)
    }

    fn route_count(&self) -> usize {
        let configuration = self.entry.configuration();
        configuration.map_or(0, Configuration::route_count)
    }

    fn readiness_response(&self, request: &Request) -> Response {
        if request.path != caller::READY_PATH {
            return Response::empty(404);
        }
        if self.entry.is_ready() && self.runtime.stop_requested_at.is_none() {
            Response::empty(200)
        } else {
            Response::empty(503)
        }
    }

    fn handle_caller_request(&mut self, arrival: Arrival, request: &Request, now: Time) {
        let number = arrival.request;
        let id = RequestId(number.0);
        let Some(configuration) = self.entry.configuration() else {
            self.entry
                .refuse(number, Refusal::NoConfiguration, &mut self.actions);
            return;
        };
        let host = request.header("host").unwrap_or_default();
        let Some((route, rest)) = configuration.route(host, &request.path) else {
            let job = caller::last_segment(&request.path);
            self.entry
                .refuse_unrouted(number, host, job, now, &mut self.actions);
            return;
        };
        match CallerRequest::parse(request.method, rest) {
            CallerRequest::Submit(job) => match caller::decode_submission(request) {
                Ok(submission) => {
                    self.entry
                        .submit(arrival, job, &route, submission, now, &mut self.actions);
                }
                Err(error) => {
                    info!(%job, %error, "submission refused");
                    self.entry
                        .refuse(number, error.refusal(), &mut self.actions);
                }
            },
            CallerRequest::ReadState(job) => {
                let status = self.entry.status_of(&job, now);
                self.reactor.respond(id, &caller::state_response(status));
            }
            CallerRequest::Cancel(job) => self.entry.cancel(number, &job, now, &mut self.actions),
            CallerRequest::CountWaiting => {
                let waiting = self.entry.waiting(&route);
                self.reactor.respond(id, &caller::waiting_response(waiting));
            }
            CallerRequest::Unknown => {
                self.reactor.respond(id, &Response::empty(405));
            }
        }
    }
}
