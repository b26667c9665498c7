//! Metrics of a process in leased mode.

use std::sync::atomic::{AtomicI64, Ordering};

use fulmarpond_dispatch::{Counters, Refusal};
use fulmarpond_reactor::http::Response;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

type Labels = [(&'static str, &'static str); 1];

/// The counters and levels that are shown.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    refusals: Family<Labels, Counter>,
    counts: Family<Labels, Counter>,
    levels: Family<Labels, Gauge<i64, AtomicI64>>,
    /// Time from the arrival of a job to its answer, in seconds.
    pub(super) job_seconds: Histogram,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let mut registry = Registry::with_prefix("fulmarpond");
        let metrics = Self {
            refusals: Family::default(),
            counts: Family::default(),
            levels: Family::default(),
            job_seconds: Histogram::new(exponential_buckets(0.01, 1.6, 16)),
            registry: Registry::default(),
        };
        registry.register(
            "refusals",
            "Requests that were refused or given up, by reason",
            metrics.refusals.clone(),
        );
        registry.register("decisions", "Decisions by kind", metrics.counts.clone());
        registry.register("level", "Present values by name", metrics.levels.clone());
        registry.register(
            "job_seconds",
            "Time from the arrival of a job to its answer",
            metrics.job_seconds.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// Renders all metrics.
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
            ("unanswered", counters.unanswered),
            ("links_lost", counters.links_lost),
        ] {
            let counter = self.counts.get_or_create_owned(&[("kind", kind)]);
            counter.inner().store(value, Ordering::Relaxed);
        }
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
