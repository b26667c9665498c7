//! Metrics of a process.

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
type Level = Gauge<i64, AtomicI64>;

/// The metrics of a process. There is one counter per refusal reason and per retry cause.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    messages: Counters,
    wasted: Counter,
    not_run: Counters,
    may_have: Counters,
    task_refusals: Counters,
    retries: Counters,
    accepted: Counter,
    answered: Counter,
    started: Counter,
    ejected: Counter,
    seals: Counter,
    attached: Counter,
    /// Time from the receipt of a submission to its answer in seconds.
    pub(crate) job_seconds: Histogram,
    /// Time of a task at the endpoint in seconds.
    pub(crate) task_seconds: Histogram,
    /// The configuration version in force.
    config_version: Level,
    /// The roster version.
    roster_version: Level,
    /// The live members of the roster.
    roster_members: Level,
    /// The slots of the endpoint.
    pub(crate) slots: Level,
    /// The free slots of the endpoint.
    pub(crate) free: Level,
    /// The tasks that wait in the queue of the agent.
    pub(crate) queued: Level,
    /// The tasks that wait at the home.
    pub(crate) waiting: Level,
    /// The jobs or requests without an answer.
    pub(crate) open: Level,
    /// The remembered ids.
    pub(crate) remembered: Level,
    /// Bytes written to links since the start.
    pub(crate) link_sent: Level,
    /// Bytes read from links since the start.
    pub(crate) link_received: Level,
    /// Connections opened to other processes since the start.
    pub(crate) links_opened: Level,
    /// Connections refused for want of the secret since the start.
    pub(crate) links_denied: Level,
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
            may_have: Counters::default(),
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
            config_version: Level::default(),
            roster_version: Level::default(),
            roster_members: Level::default(),
            slots: Level::default(),
            free: Level::default(),
            queued: Level::default(),
            waiting: Level::default(),
            open: Level::default(),
            remembered: Level::default(),
            link_sent: Level::default(),
            link_received: Level::default(),
            links_opened: Level::default(),
            links_denied: Level::default(),
            registry: Registry::default(),
        };
        metrics.register_counters(&mut registry);
        metrics.register_levels(&mut registry);
        metrics.show_all_labels();
        Self {
            registry,
            ..metrics
        }
    }

    fn register_counters(&self, registry: &mut Registry) {
        registry.register("messages", "Messages by class", self.messages.clone());
        registry.register(
            "messages_wasted",
            "Messages that moved no task",
            self.wasted.clone(),
        );
        registry.register(
            "not_run",
            "Requests refused without a run",
            self.not_run.clone(),
        );
        registry.register(
            "may_have_run",
            "Requests that may have run",
            self.may_have.clone(),
        );
        registry.register(
            "task_refusals",
            "Tasks that the agent refused",
            self.task_refusals.clone(),
        );
        registry.register(
            "retries",
            "Things that were sent again",
            self.retries.clone(),
        );
        registry.register(
            "jobs_accepted",
            "Jobs accepted by the home",
            self.accepted.clone(),
        );
        registry.register(
            "jobs_answered",
            "Jobs answered completely",
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
            "Callers attached to a known job",
            self.attached.clone(),
        );
        registry.register(
            "job_seconds",
            "Time to the answer of a job",
            self.job_seconds.clone(),
        );
        registry.register(
            "task_seconds",
            "Time of a task at the endpoint",
            self.task_seconds.clone(),
        );
    }

    fn register_levels(&self, registry: &mut Registry) {
        let levels = [
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
            (
                "tasks_waiting",
                "Tasks that wait at the home",
                &self.waiting,
            ),
            ("open", "Jobs or requests without an answer", &self.open),
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
                "Connections refused for want of the secret",
                &self.links_denied,
            ),
            ("ids_remembered", "Remembered ids", &self.remembered),
        ];
        for (name, help, level) in levels {
            registry.register(name, help, level.clone());
        }
    }

    /// Creates every labelled counter, so that a scrape shows zeros rather than nothing.
    fn show_all_labels(&self) {
        for reason in Reason::ALL {
            let labels = [("reason", reason.as_str())];
            for family in [&self.not_run, &self.may_have, &self.task_refusals] {
                drop(family.get_or_create(&labels));
            }
        }
        for cause in RetryCause::ALL {
            drop(self.retries.get_or_create(&[("cause", cause.as_str())]));
        }
    }

    /// Counts `number` messages of a class.
    pub(crate) fn messages(&self, class: &'static str, number: u64) {
        self.messages
            .get_or_create(&[("class", class)])
            .inc_by(number);
    }

    /// Counts what a role asked to count.
    pub(crate) fn count(&self, count: Count) {
        let reason = |family: &Counters, reason: Reason| {
            family.get_or_create(&[("reason", reason.as_str())]).inc();
        };
        match count {
            Count::Accepted => drop(self.accepted.inc()),
            Count::Answered => drop(self.answered.inc()),
            Count::NotRun(why) => reason(&self.not_run, why),
            Count::MayHaveRun(why) => reason(&self.may_have, why),
            Count::TaskRefused(why) => reason(&self.task_refusals, why),
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

    /// Shows the configuration in force and the roster.
    pub(crate) fn versions(&self, config: Version, roster: &Roster) {
        set(&self.config_version, config.0);
        set(&self.roster_version, roster.version());
        set(&self.roster_members, roster.live().count() as u64);
    }

    /// Returns all metrics as OpenMetrics text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Sets a level from an unsigned number.
pub(crate) fn set(level: &Gauge<i64, AtomicI64>, number: u64) {
    level.set(i64::try_from(number).unwrap_or(i64::MAX));
}
