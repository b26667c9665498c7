//! Maintenance of hosts that the operator asks for, some of them at a time.
//!
//! One entry at a time has the duty: it holds a key in the store under the lease of its announcement,
//! and the revision of that key is the fencing token of its orders. It drains a host, orders its
//! maintenance, and goes on when the host is back.

mod call;
mod duty;
#[allow(clippy::module_inception)]
mod maintenance;
mod wave;

pub use call::{HostCall, HostReply, HostState, ListedHost, OrderRefusal};
pub use duty::Lease;
pub use maintenance::{Action, Maintenance, MaintenanceOptions};
pub use wave::{Wave, Work};
