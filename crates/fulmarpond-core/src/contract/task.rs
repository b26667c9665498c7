//! Tasks and what they need.

use fulmarpond_derive::message;
use serde_json::Value;

/// One task of a job.
#[message]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The kind of the task, by which run times are observed.
    pub kind: String,
    /// The input that the endpoint receives.
    #[serde(default)]
    pub payload: Value,
    /// The declared run time in milliseconds. It decides only the order in which the tasks are sent,
    /// since declarations are often far off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_ms: Option<u64>,
    /// What the endpoint must have.
    #[serde(default, skip_serializing_if = "Needs::is_default")]
    pub needs: Needs,
}

/// What a task needs from the endpoint that runs it.
#[message]
#[derive(Copy, Eq, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Needs {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Processor cores.
    pub processors: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Returns whether nothing in particular is needed.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether `limits` cover these needs.
    pub fn fit(&self, limits: &Self) -> bool {
        self.memory_mb <= limits.memory_mb
            && self.processors <= limits.processors
            && self.accelerators <= limits.accelerators
    }
}
