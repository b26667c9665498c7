//! Replies of the platform's key-value store.

use std::net::SocketAddr;

use crate::JobId;
use crate::configuration::Configuration;
use crate::maintenance::Wave;

/// The state of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobItem {
    /// The job.
    pub job: JobId,
    /// Its encoded state.
    pub state: Vec<u8>,
    /// The revision of the state.
    pub revision: u64,
}

/// An announced entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnnouncedEntry {
    /// The host name.
    pub name: String,
    /// The address for links from agents.
    pub addr: SocketAddr,
}

/// A version of the configuration as it was read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfiguration {
    /// The configuration, without the rows that cannot be decoded.
    pub configuration: Configuration,
    /// The number of rows that cannot be decoded.
    pub skipped_rows: usize,
    /// The size of the encoded value, in bytes.
    pub bytes: usize,
}

/// What the operator has written since the revision of a watch.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OperatorChanges {
    /// The newest configuration if it has changed: `Some(None)` if it cannot be decoded.
    pub configuration: Option<Option<StoredConfiguration>>,
    /// Whether evacuations have begun or ended.
    pub evacuations: bool,
    /// Whether waves of maintenance have changed.
    pub waves: bool,
}

/// A reply of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The configuration at a revision.
    Configuration {
        /// The configuration; `None` if it cannot be decoded.
        value: Option<StoredConfiguration>,
        /// The revision of the store.
        at: u64,
    },
    /// The operator has written keys.
    OperatorWrote {
        /// What has changed.
        changes: OperatorChanges,
        /// The revision to continue from.
        at: u64,
    },
    /// All announced entries at a revision.
    Entries {
        /// The entries.
        entries: Vec<AnnouncedEntry>,
        /// The revision of the store.
        at: u64,
    },
    /// The watched keys have changed, or the wait of the watch is over.
    Changed {
        /// Whether any key has changed.
        any: bool,
        /// The revision to continue from.
        at: u64,
    },
    /// The history that a watch needs was compacted.
    Compacted,
    /// A lease was granted or renewed.
    Leased {
        /// The lease.
        lease: u64,
    },
    /// The lease has expired or was revoked.
    NoLease,
    /// A write was done.
    Written,
    /// A page of jobs.
    JobPage {
        /// The jobs.
        items: Vec<JobItem>,
        /// Whether there are more pages.
        more: bool,
        /// The revision of the store.
        at: u64,
    },
    /// Changes of jobs.
    JobChanges {
        /// The jobs with their new states.
        items: Vec<JobItem>,
        /// The jobs that were removed.
        removed: Vec<JobId>,
        /// The revision to continue from.
        at: u64,
    },
    /// The state of a job; `None` if the job does not exist.
    State(Option<JobItem>),
    /// The specification of a job.
    Job {
        /// The encoded specification; `None` if the job does not exist.
        spec: Option<Vec<u8>>,
    },
    /// A page of the evacuated zones.
    EvacuationPage {
        /// The names in the keys, which are not checked.
        names: Vec<String>,
        /// The last name of the page, if there are more pages.
        next: Option<String>,
        /// The revision of the store.
        at: u64,
    },
    /// The waves of maintenance that the operator has requested.
    Waves(Vec<Wave>),
    /// The numbers of the completed waves.
    CompletedWaves(Vec<u64>),
    /// The maintenance duty was not acquired.
    DutyTaken {
        /// The lease of its holder and the revision at which it was acquired; `None` if nobody
        /// holds it.
        holder: Option<(u64, u64)>,
    },
    /// A conditional write was applied.
    Committed {
        /// The revision of the write.
        revision: u64,
    },
    /// A conditional write was not applied, since some item has another revision.
    Conflict {
        /// The current states of the jobs in the transaction.
        items: Vec<JobItem>,
    },
}
