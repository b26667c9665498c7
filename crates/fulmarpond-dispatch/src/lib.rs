//! The state machines of the leased dispatcher, without I/O, clocks or threads.
//!
//! An [`Entry`](entry::Entry) accepts jobs from callers and places their tasks. An
//! [`Agent`](agent::Agent) runs next to one endpoint, starts tasks there and renews their leases. A
//! [`Directory`](directory::Directory) watches the configuration and the list of entries in the
//! platform's key-value store. A [`Ledger`](ledger::Ledger) persists the state of durable jobs
//! there, and [`Maintenance`](maintenance::Maintenance) takes hosts out of service in waves. A
//! driver passes events to these state machines and carries out the actions that they return.
//!
//! Apart from durable jobs, no state outlives a process: a run whose agent or entry is lost ends
//! when its lease expires. [`LeaseTimes`] holds the durations that keep it from overlapping with a
//! second run of the same task.

pub mod agent;
pub mod configuration;
pub mod directory;
pub mod entry;
mod epoch;
pub mod evacuation;
pub mod ledger;
pub mod maintenance;

mod class;
mod clock;
mod counters;
mod frame;
mod id;
mod lease_times;
mod pacing;
mod peer_frame;
mod registration;
mod rendezvous;
mod resources;

pub use class::{Class, Weights};
pub use clock::RemoteClock;
pub use counters::{Counters, Refusal};
pub use frame::{
    AgentFrame, Backlog, Checkpoint, EndpointCrash, EndpointSpeed, EndpointStatus, EntryFrame,
    FrameError, InvalidBacklog, LinkedEntry, LostRun, Order, Outcome, TaskEnd, TaskRun, Working,
    decode, encode,
};
pub use id::{EndpointId, JobId, LinkNo, TaskKey};
pub use lease_times::{InvalidLeaseTimes, LeaseTimes};
pub use peer_frame::{ListedAttempt, ListedEnd, PeerFrame};
pub use registration::{EndpointState, Incarnation, Registration, RegistrationError};
pub use resources::Resources;

/// The log target of lines that tell the fate of attempts and of their runs. A quarter of the limit of
/// log lines is reserved for them.
pub const ATTEMPT_TARGET: &str = "attempt";
