//! Decisions of the leased dispatcher, without I/O, clocks or threads.
//!
//! An [`Entry`](entry::Entry) holds the jobs of its callers and places their tasks. An
//! [`Agent`](agent::Agent) stands beside one endpoint, starts tasks there and holds their lease. A
//! [`Directory`](directory::Directory) follows the configuration and the list of entries in the
//! platform's store. A driver feeds them with what happened and carries out the actions that they
//! return.
//!
//! No state outlives a process: a run that loses its agent or its entry ends with its lease, and
//! [`Bounds`] holds the times that make this safe.

pub mod agent;
pub mod directory;
pub mod entry;
mod epoch;
pub mod ledger;
pub mod maintenance;

mod bounds;
mod clock;
mod counters;
mod frame;
mod id;
mod needs;
mod pacing;
mod registration;
mod rendezvous;

pub use bounds::{Bounds, InvalidBounds};
pub use clock::RemoteClock;
pub use counters::{Counters, Refusal};
pub use frame::{
    AgentFrame, Backlog, Checkpoint, EndpointStatus, EntryFrame, FrameError, Order, Outcome,
    TaskEnd, TaskRun, Working, decode, encode,
};
pub use id::{EndpointId, JobId, LinkNo, TaskKey};
pub use needs::Needs;
pub use registration::{EndpointState, Registration};
