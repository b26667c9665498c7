//! Frames exchanged between entries.

use fulmarpond_derive::message;
use serde::{Deserialize, Deserializer};

use crate::JobId;

/// A frame from one entry to another.
#[message]
#[derive(Eq)]
pub enum PeerFrame {
    /// The first frame of each side.
    Hello {
        /// Its host name.
        name: String,
        /// Differs from that of any earlier process on its host.
        incarnation: u64,
    },
    /// All attempts of the sender that another entry has to know; replaces the previous list.
    Attempts {
        /// The attempts.
        attempts: Vec<ListedAttempt>,
        /// Whether the receiver is to send its own list at once.
        wants_reply: bool,
        /// The number of the list, which rises with each one.
        number: u32,
        /// Attempts of the sender that were stopped with runs and are over since the last list. Lists of
        /// earlier versions end before this field, and their readers ignore what follows.
        #[serde(deserialize_with = "read_or_empty")]
        ended: Vec<ListedEnd>,
    },
    /// The sender holds the attempts of the receiver's list of this number, if it is not empty.
    Known(u32),
    /// Requests the end of the receiver's attempt, since its caller has sent the job again.
    Yield {
        /// The job.
        job: JobId,
        /// Whether the sender has started its attempt, rather than holding it.
        has_started: bool,
    },
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

/// An attempt that was stopped with runs, whose agents have reported the ends of them all.
#[message]
#[derive(Eq)]
pub struct ListedEnd {
    /// The job.
    pub job: JobId,
    /// The time since its caller may have sent it, in milliseconds.
    pub age_ms: u32,
    /// The time since its first task was sent to an agent, in milliseconds.
    pub started_ms: u32,
    /// The time since the last end was reported, in milliseconds.
    pub over_ms: u32,
}

/// Reads the last field of a frame, which earlier versions do not send.
fn read_or_empty<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Vec::deserialize(deserializer).unwrap_or_default())
}
