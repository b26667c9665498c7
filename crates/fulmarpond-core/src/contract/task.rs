//! Tasks and the resources that they need.

use fulmarpond_derive::message;
use serde_json::Value;

/// One task of a job.
#[message]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The kind of the task. Run times are tracked per team and kind.
    pub kind: String,
    /// The input for the endpoint, any JSON value.
    #[serde(default)]
    pub payload: Value,
    /// The declared run time in milliseconds. It affects only the order in which tasks are sent,
    /// since declarations are often inaccurate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_ms: Option<u64>,
    /// The resources that the endpoint must offer.
    #[serde(default, skip_serializing_if = "Resources::is_default")]
    pub needs: Resources,
}

/// The resources that a task needs from its endpoint, or that an endpoint offers to one task.
#[message]
#[derive(Copy, Eq, Default)]
// Callers see the expected type in the error text of an invalid submission.
#[serde(expecting = "struct Needs", deny_unknown_fields, default)]
pub struct Resources {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// The number of processor cores.
    pub processors: u32,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether no resource is required.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether an endpoint with the given `limits` can run a task that needs these
    /// resources.
    pub fn fits_within(&self, limits: &Self) -> bool {
        self.memory_mb <= limits.memory_mb
            && self.processors <= limits.processors
            && self.accelerators <= limits.accelerators
    }
}
