//! Maintenance of hosts in waves that the operator requests.
//!
//! One entry at a time holds the maintenance duty: a key in the store, attached to the lease of its
//! announcement. The revision of that key is the fencing token of the holder's orders. For each
//! host of a wave, the holder drains the host, orders its maintenance from the platform and waits
//! until the host is back, with a limited number of hosts out of service at a time.

mod call;
mod duty;
#[allow(clippy::module_inception)]
mod maintenance;
mod wave;

pub use call::{HostCall, HostReply, HostState, ListedHost, OrderRefusal};
pub use duty::Lease;
pub use maintenance::{Action, Maintenance, MaintenanceOptions};
pub use wave::{Wave, Work};
