//! The reasons for refusals and failures.

use std::fmt;

use fulmarpond_derive::message;

/// Why a request was refused or failed.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or not supported by the process that received it.
    Invalid,
    /// The request or the results of the job exceed a size limit.
    TooLarge,
    /// No live endpoint offers the resources that one of the tasks needs, not even when idle.
    NeverFits,
    /// Observed run times show that the job cannot be answered before its deadline.
    DeadlineUnreachable,
    /// The deadline passed before the job was answered.
    DeadlinePassed,
    /// The team has as many tasks in flight as its quota allows.
    OverQuota,
    /// The limit of waiting tasks is reached.
    QueueFull,
    /// No live endpoint is known.
    NoEndpoint,
    /// The process or its endpoint is stopping and accepts no new work.
    Draining,
    /// The roster was not confirmed within the roster window, or is older than the sender's.
    StaleRoster,
    /// The process has reached its limit of pending requests.
    Overloaded,
    /// An agent or the platform's service could not be reached.
    Unreachable,
    /// The agent is not a candidate for the home of the job.
    WrongHome,
    /// The message is addressed to another incarnation of the agent, usually an earlier one.
    WrongAgent,
    /// The caller cancelled the job, or the home withdrew the tasks.
    Cancelled,
    /// The retry budget is exhausted.
    RetryBudget,
    /// Contact with an agent was lost, and its tasks may have started.
    AgentLost,
    /// The job may have been accepted, but its home or its record is no longer available.
    HomeLost,
    /// A task failed at its endpoint.
    TaskFailed,
    /// A candidate that may have accepted the job, or holds its seal, cannot be reached.
    SealUnreachable,
    /// The first attempt is older than the retention period of tombstones.
    TooOld,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 21] = [
        Self::Invalid,
        Self::TooLarge,
        Self::NeverFits,
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::OverQuota,
        Self::QueueFull,
        Self::NoEndpoint,
        Self::Draining,
        Self::StaleRoster,
        Self::Overloaded,
        Self::Unreachable,
        Self::WrongHome,
        Self::WrongAgent,
        Self::Cancelled,
        Self::RetryBudget,
        Self::AgentLost,
        Self::HomeLost,
        Self::TaskFailed,
        Self::SealUnreachable,
        Self::TooOld,
    ];

    /// Returns the name of the reason as used in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::NeverFits => "never_fits",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::OverQuota => "over_quota",
            Self::QueueFull => "queue_full",
            Self::NoEndpoint => "no_endpoint",
            Self::Draining => "draining",
            Self::StaleRoster => "stale_roster",
            Self::Overloaded => "overloaded",
            Self::Unreachable => "unreachable",
            Self::WrongHome => "wrong_home",
            Self::WrongAgent => "wrong_agent",
            Self::Cancelled => "cancelled",
            Self::RetryBudget => "retry_budget",
            Self::AgentLost => "agent_lost",
            Self::HomeLost => "home_lost",
            Self::TaskFailed => "task_failed",
            Self::SealUnreachable => "seal_unreachable",
            Self::TooOld => "too_old",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
