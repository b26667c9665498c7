//! Calls to the platform's key-value store.

use crate::JobId;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the configuration.
    ReadConfiguration,
    /// Waits for a change of the keys that the operator writes, after a revision.
    WatchOperator {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Lists all announced entries.
    ListEntries,
    /// Waits for a change of the announced entries after a revision.
    WatchEntries {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Requests a lease.
    Grant {
        /// Its time to live, in milliseconds.
        ttl: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Writes the address of this entry under a lease.
    Announce {
        /// The lease.
        lease: u64,
    },
    /// Revokes a lease.
    End {
        /// The lease.
        lease: u64,
    },
    /// Lists the states of jobs after the given one.
    ListJobs {
        /// The last job of the previous page.
        after: Option<JobId>,
    },
    /// Waits for changes of jobs after a revision.
    WatchJobs {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Reads the state of a job.
    ReadState {
        /// The job.
        job: JobId,
    },
    /// Reads the specification of a job.
    ReadJob {
        /// The job.
        job: JobId,
    },
    /// Writes or removes jobs in one transaction.
    CommitJobs {
        /// The changes.
        rows: Vec<CommitRow>,
    },
    /// Lists the waves of maintenance that the operator has requested.
    ListWaves,
    /// Lists the completed waves.
    ListWaveStates,
    /// Acquires the maintenance duty unless another entry holds it.
    TakeDuty {
        /// The lease that its key is attached to.
        lease: u64,
        /// The revision at which this entry last acquired it, if the key may still exist; 0
        /// otherwise.
        expected: u64,
        /// Whether to acquire it only if no entry has held it before.
        first: bool,
    },
    /// Lists the evacuated zones after the given name.
    ListEvacuations {
        /// The last name of the previous page.
        after: Option<String>,
    },
    /// Waits for a change of the evacuated zones after a revision.
    WatchEvacuations {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Reports the progress of a wave to the operator if this entry still holds the duty.
    WriteWaveState {
        /// The number of the wave.
        wave: u64,
        /// Whether the wave is completed.
        completed: bool,
        /// The revision at which this entry acquired the duty.
        duty: u64,
    },
}

/// A change of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitRow {
    /// The job.
    pub job: JobId,
    /// The revision that its state must have; 0 if the job must not exist.
    pub expected: u64,
    /// The encoded specification, if the job is new.
    pub spec: Option<Vec<u8>>,
    /// The encoded state, or `None` to remove the job.
    pub state: Option<Vec<u8>>,
}

impl StoreCall {
    /// Returns the name of the call in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::ReadConfiguration => "read_configuration",
            Self::WatchOperator { .. } => "watch_operator",
            Self::ListWaves => "list_waves",
            Self::ListWaveStates => "list_wave_states",
            Self::ListEvacuations { .. } => "list_evacuations",
            Self::WatchEvacuations { .. } => "watch_evacuations",
            Self::TakeDuty { .. } => "take_duty",
            Self::WriteWaveState { .. } => "write_wave_state",
            Self::ListEntries => "list_entries",
            Self::WatchEntries { .. } => "watch_entries",
            Self::Grant { .. } => "grant",
            Self::Renew { .. } => "renew",
            Self::Announce { .. } => "announce",
            Self::End { .. } => "end",
            Self::ListJobs { .. } => "list_jobs",
            Self::WatchJobs { .. } => "watch_jobs",
            Self::ReadState { .. } => "read_state",
            Self::ReadJob { .. } => "read_job",
            Self::CommitJobs { .. } => "commit_jobs",
        }
    }
}
