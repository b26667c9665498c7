//! Metrics of a process in leased mode.

use std::sync::atomic::{AtomicI64, Ordering};

use fulmarpond_dispatch::agent::ClassRoom;
use fulmarpond_dispatch::entry::KnownSpeed;
use fulmarpond_dispatch::{Class, Counters, Refusal};
use fulmarpond_reactor::ClosedCounts;
use fulmarpond_reactor::http::Response;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use super::line_limit::{LineClass, LineCounts};
use crate::BUILD;

type Label = [(&'static str, &'static str); 1];

/// The agent and the kind of an endpoint. Both are bounded by the machines of the deployment.
type EndpointLabels = [(&'static str, String); 2];

/// The counters, gauges and histograms of a process.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    refusals: Family<Label, Counter>,
    decisions: Family<Label, Counter>,
    levels: Family<Label, Gauge<i64, AtomicI64>>,
    class_millicores: Family<[(&'static str, &'static str); 2], Gauge<i64, AtomicI64>>,
    discarded_core_ms: Counter,
    endpoint_run_permille: Family<EndpointLabels, Gauge<i64, AtomicI64>>,
    endpoint_speed_samples: Family<EndpointLabels, Gauge<i64, AtomicI64>>,
    closed_connections: Family<Label, Counter>,
    dropped_log_lines: Family<Label, Counter>,
    calls: Family<[(&'static str, &'static str); 3], Counter>,
    /// Time from the arrival of a job to its answer, in seconds.
    pub(super) job_seconds: Histogram,
    /// Time from the arrival of a job to the start of its last task, in seconds.
    pub(super) wait_seconds: Histogram,
    /// Run time of tasks at the endpoint, in seconds.
    pub(super) run_seconds: Histogram,
    /// Time from sending a call to its reply, in seconds, without calls that wait at the endpoint.
    pub(super) call_seconds: Histogram,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let mut registry = Registry::with_prefix("fulmarpond");
        let metrics = Self {
            refusals: Family::default(),
            decisions: Family::default(),
            levels: Family::default(),
            class_millicores: Family::default(),
            discarded_core_ms: Counter::default(),
            endpoint_run_permille: Family::default(),
            endpoint_speed_samples: Family::default(),
            closed_connections: Family::default(),
            dropped_log_lines: Family::default(),
            calls: Family::default(),
            job_seconds: Histogram::new(exponential_buckets(0.01, 1.6, 16)),
            wait_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            run_seconds: Histogram::new(exponential_buckets(0.01, 1.6, 16)),
            call_seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 14)),
            registry: Registry::default(),
        };
        let build = vec![("version", env!("CARGO_PKG_VERSION")), ("build", BUILD)];
        registry.register("build", "What the process is built from", Info::new(build));
        registry.register(
            "refusals",
            "Requests that were refused or given up, by reason",
            metrics.refusals.clone(),
        );
        registry.register("decisions", "Decisions by kind", metrics.decisions.clone());
        registry.register("level", "Current values by name", metrics.levels.clone());
        registry.register(
            "class_millicores",
            "CPU at the endpoint in thousandths of a core, by class of priority and kind",
            metrics.class_millicores.clone(),
        );
        registry.register(
            "discarded_core_ms",
            "Work that was discarded by stops for urgent tasks, in core-milliseconds",
            metrics.discarded_core_ms.clone(),
        );
        registry.register(
            "endpoint_run_permille",
            "Lasting ratio of run times to those on the nominal endpoint, in thousandths",
            metrics.endpoint_run_permille.clone(),
        );
        registry.register(
            "endpoint_speed_samples",
            "Samples of the lasting speed of an endpoint",
            metrics.endpoint_speed_samples.clone(),
        );
        registry.register(
            "job_seconds",
            "Time from the arrival of a job to its answer",
            metrics.job_seconds.clone(),
        );
        registry.register(
            "calls",
            "Calls to other services, by target, kind and outcome",
            metrics.calls.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections of clients that were closed for the limits of the process, by reason",
            metrics.closed_connections.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Log lines over the limit of lines, by class",
            metrics.dropped_log_lines.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time from the arrival of a job to the start of its last task",
            metrics.wait_seconds.clone(),
        );
        registry.register(
            "run_seconds",
            "Run time of tasks at the endpoint",
            metrics.run_seconds.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from sending a call to its reply, without calls that wait at the endpoint",
            metrics.call_seconds.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// Counts a call to another service.
    pub(super) fn count_call(
        &self,
        target: &'static str,
        kind: &'static str,
        outcome: &'static str,
    ) {
        let labels = [("target", target), ("kind", kind), ("outcome", outcome)];
        self.calls.get_or_create_owned(&labels).inc();
    }

    /// Sets how many connections were closed for the limits of the process.
    pub(super) fn set_closed(&self, closed: ClosedCounts) {
        for (reason, count) in [
            ("memory", closed.memory),
            ("connections", closed.connections),
            ("links", closed.links),
        ] {
            let counter = self
                .closed_connections
                .get_or_create_owned(&[("reason", reason)]);
            counter.inner().store(count, Ordering::Relaxed);
        }
    }

    /// Sets how many log lines were dropped.
    pub(super) fn set_dropped_lines(&self, dropped: LineCounts) {
        for class in LineClass::ALL {
            let labels = [("class", class.as_str())];
            let counter = self.dropped_log_lines.get_or_create_owned(&labels);
            counter.inner().store(dropped.get(class), Ordering::Relaxed);
        }
    }

    /// Sets the room that each class uses, waits for and lends at the endpoint.
    pub(super) fn set_class_room(&self, rooms: [ClassRoom; Class::COUNT]) {
        for (class, room) in Class::ALL.into_iter().zip(rooms) {
            for (kind, value) in [
                ("used", room.used),
                ("waiting", room.waiting),
                ("lent", room.lent),
            ] {
                let labels = [("class", class.as_str()), ("kind", kind)];
                let gauge = self.class_millicores.get_or_create_owned(&labels);
                gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            }
        }
    }

    /// Replaces the speeds of the endpoints, so that lost ones are shown no longer.
    pub(super) fn set_endpoint_speeds(&self, speeds: Vec<KnownSpeed>) {
        self.endpoint_run_permille.clear();
        self.endpoint_speed_samples.clear();
        for speed in speeds {
            let labels = [("agent", speed.agent), ("kind", speed.kind)];
            self.endpoint_run_permille
                .get_or_create_owned(&labels)
                .set(speed.run_permille.into());
            self.endpoint_speed_samples
                .get_or_create_owned(&labels)
                .set(speed.samples.into());
        }
    }

    /// Renders all metrics in the text format of Prometheus.
    pub(super) fn render(&self, counters: &Counters, levels: &[(&'static str, u64)]) -> Response {
        for reason in Refusal::ALL {
            let counter = self
                .refusals
                .get_or_create_owned(&[("reason", reason.as_str())]);
            counter
                .inner()
                .store(counters.refused(reason), Ordering::Relaxed);
        }
        for (kind, value) in [
            ("accepted", counters.accepted),
            ("completed", counters.completed),
            ("failed", counters.failed),
            ("abandoned", counters.abandoned),
            ("started", counters.started),
            ("retried", counters.retried),
            ("stopped", counters.stopped),
            ("preempted", counters.preempted),
            ("unanswered", counters.unanswered),
            ("endpoint_restarts", counters.endpoint_restarts),
            ("endpoint_crashes", counters.endpoint_crashes),
            ("crashed_runs", counters.crashed_runs),
            ("crashing_jobs", counters.crashing_jobs),
            ("held", counters.held),
            ("overlapping", counters.overlapping),
            ("overlapping_runs", counters.overlapping_runs),
            ("links_lost", counters.links_lost),
            ("evacuations", counters.evacuations),
        ] {
            let counter = self.decisions.get_or_create_owned(&[("kind", kind)]);
            counter.inner().store(value, Ordering::Relaxed);
        }
        self.discarded_core_ms
            .inner()
            .store(counters.discarded_core_ms, Ordering::Relaxed);
        for &(name, value) in levels {
            let gauge = self.levels.get_or_create_owned(&[("name", name)]);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => Response::text(200, text.into_bytes()),
            Err(_) => Response::empty(503),
        }
    }
}
