//! The answer to a job.

use fulmarpond_derive::message;

use super::{JobId, Verdict};

/// The final answer to one job.
#[message]
pub struct Answer {
    /// The job.
    pub job: JobId,
    /// The final outcome of the job.
    pub verdict: Verdict,
}

impl Answer {
    /// Creates the answer to `job`.
    pub fn new(job: &JobId, verdict: Verdict) -> Self {
        Self {
            job: job.clone(),
            verdict,
        }
    }
}
