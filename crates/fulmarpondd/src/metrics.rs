//! Prometheus metrics of a process.

use std::sync::atomic::AtomicI64;

use fulmarpond_core::agent::Count;
use fulmarpond_core::contract::Reason;
use fulmarpond_core::policy::Version;
use fulmarpond_core::retry::RetryCause;
use fulmarpond_core::zone::Roster;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

type Labels = [(&'static str, &'static str); 1];
type Counters = Family<Labels, Counter>;
type IntGauge = Gauge<i64, AtomicI64>;

/// The metrics of a process, with one counter for each refusal reason and each retry cause.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    messages: Counters,
    wasted: Counter,
    not_run: Counters,
    may_have_run: Counters,
    task_refusals: Counters,
    retries: Counters,
    accepted: Counter,
    answered: Counter,
    started: Counter,
    ejected: Counter,
    seals: Counter,
    attached: Counter,
    /// Seconds from the arrival of a submission to its answer.
    pub(crate) job_seconds: Histogram,
    /// Seconds that a task takes at the endpoint.
    pub(crate) task_seconds: Histogram,
    /// The configuration version in force.
    config_version: IntGauge,
    /// The version of the known roster.
    roster_version: IntGauge,
    /// The number of live members in the roster.
    roster_members: IntGauge,
    /// The number of slots of the endpoint.
    pub(crate) slots: IntGauge,
    /// The number of free slots of the endpoint.
    pub(crate) free: IntGauge,
    /// The number of tasks in the queue of the agent.
    pub(crate) queued: IntGauge,
    /// The number of tasks that wait at the home.
    pub(crate) waiting: IntGauge,
    /// The number of jobs or requests in flight.
    pub(crate) open: IntGauge,
    /// The number of job ids that the home remembers.
    pub(crate) remembered: IntGauge,
    /// Bytes written to links since the process started.
    pub(crate) link_sent: IntGauge,
    /// Bytes read from links since the process started.
    pub(crate) link_received: IntGauge,
    /// Connections opened to other processes since the process started.
    pub(crate) links_opened: IntGauge,
    /// Connections refused since the process started because they lacked the shared secret.
    pub(crate) links_denied: IntGauge,
}

impl Metrics {
    /// Creates the metrics of the process `name` with the role `role`.
    pub(crate) fn new(role: &'static str, name: &str) -> Self {
        let labels = [("role", role.to_owned()), ("name", name.to_owned())];
        let labels = labels.map(|(key, value)| (key.into(), value.into()));
        let mut registry = Registry::with_prefix_and_labels("fulmarpond", labels.into_iter());
        let metrics = Self {
            messages: Counters::default(),
            wasted: Counter::default(),
            not_run: Counters::default(),
            may_have_run: Counters::default(),
            task_refusals: Counters::default(),
            retries: Counters::default(),
            accepted: Counter::default(),
            answered: Counter::default(),
            started: Counter::default(),
            ejected: Counter::default(),
            seals: Counter::default(),
            attached: Counter::default(),
            job_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            task_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            config_version: IntGauge::default(),
            roster_version: IntGauge::default(),
            roster_members: IntGauge::default(),
            slots: IntGauge::default(),
            free: IntGauge::default(),
            queued: IntGauge::default(),
            waiting: IntGauge::default(),
            open: IntGauge::default(),
            remembered: IntGauge::default(),
            link_sent: IntGauge::default(),
            link_received: IntGauge::default(),
            links_opened: IntGauge::default(),
            links_denied: IntGauge::default(),
            registry: Registry::default(),
        };
        metrics.register_counters(&mut registry);
        metrics.register_gauges(&mut registry);
        metrics.init_labels();
        Self {
            registry,
            ..metrics
        }
    }

    fn register_counters(&self, registry: &mut Registry) {
        registry.register("messages", "Messages by class", self.messages.clone());
        registry.register(
            "messages_wasted",
            "Messages that transferred no task",
            self.wasted.clone(),
        );
        registry.register(
            "not_run",
            "Requests refused that did not run",
            self.not_run.clone(),
        );
        registry.register(
            "may_have_run",
            "Requests that failed and may have run",
            self.may_have_run.clone(),
        );
        registry.register(
            "task_refusals",
            "Tasks refused by an agent",
            self.task_refusals.clone(),
        );
        registry.register(
            "retries",
            "Requests, tasks and writes that were sent again",
            self.retries.clone(),
        );
        registry.register(
            "jobs_accepted",
            "Jobs accepted by the home",
            self.accepted.clone(),
        );
        registry.register(
            "jobs_answered",
            "Jobs answered with all results",
            self.answered.clone(),
        );
        registry.register(
            "tasks_started",
            "Tasks started at the endpoint",
            self.started.clone(),
        );
        registry.register(
            "ejections",
            "Ejections of the endpoint",
            self.ejected.clone(),
        );
        registry.register("seals_granted", "Seals granted", self.seals.clone());
        registry.register(
            "attached",
            "Submissions attached to a known job",
            self.attached.clone(),
        );
        registry.register(
            "job_seconds",
            "Time from submission to answer of a job",
            self.job_seconds.clone(),
        );
        registry.register(
            "task_seconds",
            "Time of a task at the endpoint",
            self.task_seconds.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        let gauges = [
            (
                "config_version",
                "Configuration version in force",
                &self.config_version,
            ),
            ("roster_version", "Roster version", &self.roster_version),
            (
                "roster_members",
                "Live members of the roster",
                &self.roster_members,
            ),
            ("slots", "Slots of the endpoint", &self.slots),
            ("slots_free", "Free slots of the endpoint", &self.free),
            (
                "tasks_queued",
                "Tasks in the queue of the agent",
                &self.queued,
            ),
            ("tasks_waiting", "Tasks waiting at the home", &self.waiting),
            ("open", "Jobs or requests in flight", &self.open),
            ("link_sent_bytes", "Bytes written to links", &self.link_sent),
            (
                "link_received_bytes",
                "Bytes read from links",
                &self.link_received,
            ),
            (
                "links_opened",
                "Connections opened to other processes",
                &self.links_opened,
            ),
            (
                "links_denied",
                "Connections refused because they lacked the shared secret",
                &self.links_denied,
            ),
            (
                "ids_remembered",
                "Job ids remembered by the home",
                &self.remembered,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Creates the counter of every label, so that a scrape shows zeros instead of missing series.
    fn init_labels(&self) {
        for reason in Reason::ALL {
            let labels = [("reason", reason.as_str())];
            for family in [&self.not_run, &self.may_have_run, &self.task_refusals] {
                drop(family.get_or_create(&labels));
            }
        }
        for cause in RetryCause::ALL {
            drop(self.retries.get_or_create(&[("cause", cause.as_str())]));
        }
    }

    /// Counts `number` messages of `class`.
    pub(crate) fn count_messages(&self, class: &'static str, number: u64) {
        self.messages
            .get_or_create(&[("class", class)])
            .inc_by(number);
    }

    /// Counts an event reported by a role.
    pub(crate) fn count(&self, count: Count) {
        let count_reason = |family: &Counters, reason: Reason| {
            family.get_or_create(&[("reason", reason.as_str())]).inc();
        };
        match count {
            Count::Accepted => drop(self.accepted.inc()),
            Count::Answered => drop(self.answered.inc()),
            Count::NotRun(why) => count_reason(&self.not_run, why),
            Count::MayHaveRun(why) => count_reason(&self.may_have_run, why),
            Count::TaskRefused(why) => count_reason(&self.task_refusals, why),
            Count::Started => drop(self.started.inc()),
            Count::Retry(cause) => {
                self.retries
                    .get_or_create(&[("cause", cause.as_str())])
                    .inc();
            }
            Count::Wasted(number) => drop(self.wasted.inc_by(number)),
            Count::Ejected => drop(self.ejected.inc()),
            Count::SealGranted => drop(self.seals.inc()),
            Count::Attached => drop(self.attached.inc()),
        }
    }

    /// Sets the gauges of the configuration in force and of the roster.
    pub(crate) fn set_versions(&self, config: Version, roster: &Roster) {
        set_gauge(&self.config_version, config.0);
        set_gauge(&self.roster_version, roster.version());
        set_gauge(&self.roster_members, roster.live().count() as u64);
    }

    /// Returns all metrics as OpenMetrics text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Sets a gauge to an unsigned number, saturating at `i64::MAX`.
pub(crate) fn set_gauge(gauge: &Gauge<i64, AtomicI64>, number: u64) {
    gauge.set(i64::try_from(number).unwrap_or(i64::MAX));
}
