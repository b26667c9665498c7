//! Counters for the metrics of entries and agents.

use fulmarpond_derive::value;

/// The reason why a request was refused or abandoned.
#[value]
pub enum Refusal {
    /// No configuration has been read yet.
    NoConfiguration,
    /// No route matches the host name and the path.
    NoRoute,
    /// The request is malformed.
    Invalid,
    /// The job uses a feature that is not supported.
    Unsupported,
    /// No endpoint of the service is known to accept tasks.
    NoEndpoint,
    /// A task exceeds the capacity of every endpoint.
    NeverFits,
    /// The job could not complete within its latency objective.
    Overloaded,
    /// The deadline of the caller has passed.
    DeadlinePassed,
    /// Runs of the job were lost with a process, and not enough time is left for a retry.
    RunsLost,
    /// The process is stopping.
    Stopping,
    /// The store is unavailable.
    NoStore,
    /// All endpoints that could run the job are in evacuated zones.
    Evacuated,
    /// Tasks of the route crash endpoints, and none of those that are left to it is up.
    Quarantined,
    /// The request waited unread so long that its caller may have sent it again.
    Outdated,
    /// The caller has sent the job again to another entry.
    Superseded,
    /// The jobs that the entry holds take as much memory as they may.
    NoMemory,
    /// Another entry may not know of the attempt, and could start the job as well.
    Unshared,
}

impl Refusal {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 17] = [
        Self::NoConfiguration,
        Self::NoRoute,
        Self::Invalid,
        Self::Unsupported,
        Self::NoEndpoint,
        Self::NeverFits,
        Self::Overloaded,
        Self::DeadlinePassed,
        Self::RunsLost,
        Self::Stopping,
        Self::NoStore,
        Self::Evacuated,
        Self::Quarantined,
        Self::Outdated,
        Self::Superseded,
        Self::NoMemory,
        Self::Unshared,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::Invalid => "invalid",
            Self::Unsupported => "unsupported",
            Self::NoEndpoint => "no_endpoint",
            Self::NeverFits => "never_fits",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline_passed",
            Self::RunsLost => "runs_lost",
            Self::Stopping => "stopping",
            Self::NoStore => "no_store",
            Self::Evacuated => "evacuated",
            Self::Quarantined => "quarantined",
            Self::Outdated => "outdated",
            Self::Superseded => "superseded",
            Self::NoMemory => "no_memory",
            Self::Unshared => "unshared",
        }
    }
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    refusals: [u64; Refusal::ALL.len()],
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Jobs whose caller disconnected.
    pub abandoned: u64,
    /// Tasks that were sent to an agent, or started at an endpoint.
    pub started: u64,
    /// Tasks that were retried after a run that did not complete them.
    pub retried: u64,
    /// Links that were lost.
    pub links_lost: u64,
    /// Runs that were stopped.
    pub stopped: u64,
    /// Runs that were stopped for an urgent task.
    pub preempted: u64,
    /// The work that these stops discarded at most, in core-milliseconds.
    pub discarded_core_ms: u64,
    /// Calls to the endpoint that got no reply.
    pub unanswered: u64,
    /// Evacuations that took effect: of any zone at an entry, of its own zone at an agent.
    pub evacuations: u64,
    /// Restarts of the endpoint under its id.
    pub endpoint_restarts: u64,
    /// Crashes of endpoints under runs, as noticed by an agent or reported to an entry.
    pub endpoint_crashes: u64,
    /// Runs that were lost in these crashes.
    pub crashed_runs: u64,
    /// Jobs that were given up because their tasks crash endpoints.
    pub crashing_jobs: u64,
    /// Requests that waited for the end of an earlier attempt of their job.
    pub held: u64,
    /// Attempts beside which another entry had started a later one of the same job.
    pub overlapping: u64,
    /// Attempts that had runs while a stopped one of another entry had some.
    pub overlapping_runs: u64,
}

impl Counters {
    /// Counts a refusal.
    pub fn refuse(&mut self, reason: Refusal) {
        self.refusals[reason as usize] += 1;
    }

    /// Returns the number of requests that were refused for a reason.
    pub fn refused(&self, reason: Refusal) -> u64 {
        self.refusals[reason as usize]
    }
}
