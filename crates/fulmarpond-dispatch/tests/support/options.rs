//! Configuration of the simulation.

use fulmarpond_dispatch::configuration::AdvicePolicy;

/// A kind of endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Label of its endpoints; empty for none.
    pub label: &'static str,
    /// Ratio of run times to those on a nominal endpoint.
    pub run_factor: f64,
    /// Ratio of the capacity to `Options::cpu`.
    pub size: f64,
}

/// What entries learn about the lasting speeds of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownSpeeds {
    /// Nothing: the reported speeds have no samples.
    None,
    /// What agents measure.
    Measured,
    /// The true speeds, from the first frames on.
    Exact,
}

/// What bytes cost an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntrySize {
    /// Bandwidth of its link in each direction, in bytes per millisecond.
    pub link_bytes: u64,
    /// Time that it takes to encode or decode a kilobyte of a configuration, in microseconds.
    pub codec_us: u64,
}

impl EntrySize {
    /// An entry on a small machine: 25 Mbit/s and an eighth of a core.
    pub const SMALL: Self = Self {
        link_bytes: 3_125,
        codec_us: 80,
    };
}

/// Sizes and durations of the simulated platform.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub seed: u64,
    pub entries: usize,
    /// Whether each entry has a second process, which may replace it under its name.
    pub has_replacements: bool,
    pub agents: usize,
    /// Number of zones; entries and agents take turns over them.
    pub zones: usize,
    /// Processor capacity of each endpoint, in thousandths of a core.
    pub cpu: u32,
    /// Delay before a caller resends a job after a lost connection, in milliseconds.
    pub resend_ms: u64,
    /// Time that a caller waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Largest factor by which a run time differs from its estimate, in either direction.
    pub max_run_time_factor: f64,
    /// Whether the simulation has a key-value store, in which all jobs are persisted.
    pub is_durable: bool,
    /// Bound for evacuations of zones, if the agents read the list of evacuations from the store, in
    /// milliseconds. The simulation then has a store, even without durable jobs.
    pub evacuation_ms: Option<u64>,
    /// Whether the simulation has a host service, which carries out maintenance.
    pub hosts: bool,
    /// What bytes cost an entry; without it, they cost nothing.
    pub entry_size: Option<EntrySize>,
    /// Whether entries read the configuration from the store, and the operator changes it there. The
    /// simulation then has a store, even without durable jobs.
    pub changes_configuration: bool,
    /// Whether endpoints say when they were started, and may restart under their id.
    pub has_born: bool,
    /// Whether endpoints list a run no longer from the moment at which they are told to stop it.
    pub unlists_stopped: bool,
    /// Number of connections that each agent keeps open to its endpoint between calls. Calls on them
    /// are reset after the endpoint has gone down, until the agent reads that they are closed.
    pub kept_connections: u32,
    /// Advice policy of all routes, if any.
    pub advice: Option<AdvicePolicy>,
    /// Percentage of the advice calls that fail because the service is busy.
    pub advice_busy: u32,
    /// Kinds of endpoints, which take turns; without any, all endpoints are alike.
    pub kinds: &'static [Kind],
    pub known_speeds: KnownSpeeds,
    /// Standard deviation of the logarithm of the ratio of estimates to run times, by job.
    pub job_error: f64,
    /// Standard deviation of the logarithm of the ratio of run times of the tasks of a job.
    pub task_error: f64,
    /// Percentage of the tasks that take seven times as long.
    pub tail_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 2,
            has_replacements: false,
            agents: 4,
            zones: 2,
            cpu: 8_000,
            resend_ms: 1_300,
            timeout_ms: 4_000,
            max_run_time_factor: 1.3,
            is_durable: false,
            evacuation_ms: None,
            hosts: false,
            entry_size: None,
            changes_configuration: false,
            has_born: true,
            unlists_stopped: false,
            kept_connections: 0,
            advice: None,
            advice_busy: 0,
            kinds: &[],
            known_speeds: KnownSpeeds::Measured,
            job_error: 0.0,
            task_error: 0.0,
            tail_percent: 0,
        }
    }
}
