//! The configuration and the list of entries in the platform's key-value store.
//!
//! An entry announces its address under a lease, lists the other entries, and watches both the list
//! and the configuration. Watches have short timeouts, since a watch whose connection has silently
//! failed hides a new configuration until it times out.

mod activity;
mod call;
mod configuration_watch;
#[allow(clippy::module_inception)]
mod directory;
mod reply;

pub use activity::{Activity, Lane};
pub use call::{CommitRow, StoreCall};
pub use directory::{Action, Directory, LEASE_MS};
pub use reply::{AnnouncedEntry, JobItem, OperatorChanges, StoreReply, StoredConfiguration};
