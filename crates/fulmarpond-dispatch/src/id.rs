//! Names of jobs, tasks, links and endpoints.

use std::fmt;

use fulmarpond_derive::{key, value};

/// The id of a job, as its caller chose it.
#[key]
pub struct JobId(pub String);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One task of a job.
#[key]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The number of the step within the job, from 0.
    pub step: u16,
    /// The number of the task within the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// A connection between an entry and an agent, as the own process counts them.
#[value]
pub struct LinkNo(pub u64);

/// One incarnation of an endpoint. A restarted endpoint has another id.
#[key]
pub struct EndpointId(pub String);

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
