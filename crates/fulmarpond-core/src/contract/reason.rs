//! Reasons of refusals and failures.

use std::fmt;

use fulmarpond_derive::message;

/// Why a request was refused or failed.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    Invalid,
    /// The request is larger than the limit.
    TooLarge,
    /// No live endpoint could ever hold one of the tasks.
    NeverFits,
    /// By observed run times the job can't be answered before its deadline.
    DeadlineUnreachable,
    /// The deadline passed before the job was answered.
    DeadlinePassed,
    /// The team has as many tasks in flight as its quota allows.
    OverQuota,
    /// Too many tasks wait already.
    QueueFull,
    /// No live endpoint is known.
    NoEndpoint,
    /// The process is stopping.
    Draining,
    /// The roster was not confirmed within the roster window.
    StaleRoster,
    /// The process has more requests than it can take.
    Overloaded,
    /// No candidate agent could be reached.
    Unreachable,
    /// The agent is not a candidate for the job.
    WrongHome,
    /// The message was meant for an earlier incarnation of the agent.
    WrongAgent,
    /// The caller cancelled the job.
    Cancelled,
    /// The budget of retries is used up.
    RetryBudget,
    /// An agent was lost with tasks that may have started.
    AgentLost,
    /// The home was lost with the record of the job.
    HomeLost,
    /// A task failed at its endpoint.
    TaskFailed,
    /// A candidate that may know the job can't be reached.
    SealUnreachable,
    /// The id is older than the memory of accepted ids.
    TooOld,
}

impl Reason {
    /// All reasons.
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

    /// Returns the name of the reason in answers, logs and metrics.
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
