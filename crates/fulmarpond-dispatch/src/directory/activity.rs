//! The activities that call the store.

/// One of the lanes that write jobs concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane(pub u8);

/// An activity that calls the store, with at most one call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Activity {
    /// Watches the configuration.
    Configuration,
    /// Reads the evacuated zones when the watch of the configuration reports a change.
    Evacuations,
    /// Watches the entries.
    Entries,
    /// Maintains the announcement of this entry.
    Announcement,
    /// Watches the durable jobs.
    Jobs,
    /// Writes jobs; each lane has its own call in flight.
    Commit(Lane),
    /// Reads the specifications of jobs that are taken over.
    Job,
    /// Looks up the states of jobs that are not in the local cache.
    Lookup,
    /// Confirms that the local cache has all durable jobs.
    Confirmation,
    /// Maintains hosts.
    Maintenance,
}
