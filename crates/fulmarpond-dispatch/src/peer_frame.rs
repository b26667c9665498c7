//! Frames exchanged between entries.

use fulmarpond_derive::message;

use crate::JobId;

/// A frame from one entry to another.
#[message]
#[derive(Eq)]
pub enum PeerFrame {
    /// The first frame of the entry that opened the link.
    Hello {
        /// Its host name.
        name: String,
    },
    /// All attempts of the sender that another entry has to know; replaces the previous list.
    Attempts {
        /// The attempts.
        attempts: Vec<ListedAttempt>,
        /// Whether the receiver is to send its own list at once.
        wants_reply: bool,
    },
    /// Requests the end of the receiver's attempt, since its caller has sent the job again.
    Yield(JobId),
    /// The sender has no attempt of the job, and none of its runs is left.
    Yielded(JobId),
}

/// An attempt of a job that is not durable.
#[message]
#[derive(Eq)]
pub struct ListedAttempt {
    /// The job.
    pub job: JobId,
    /// The time since its caller may have sent it, in milliseconds.
    pub age_ms: u32,
}
