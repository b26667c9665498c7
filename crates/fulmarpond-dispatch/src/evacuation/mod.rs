//! Evacuation of availability zones: the operator asks that nothing more starts in a zone, and the
//! load of that zone has to fit into the others within seconds.
//!
//! The keys in the platform's store are authoritative. Each process holds the last list that it has
//! read or received, in memory only. Entries and agents both read the list and tell each other about
//! changes, so a single path to the store is enough to stop the starts in a zone.

mod evacuations;
mod list_reader;
mod watch;

pub use evacuations::{Evacuations, Update};
pub(crate) use list_reader::ListReader;
pub use watch::{EvacuationWatch, WatchAction};
