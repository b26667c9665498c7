//! The entry: admission, routing, and the writes to the platform's service.

mod action;
mod configuration;
#[allow(clippy::module_inception)]
mod entry;
mod lookup;
mod membership;
mod quota;
mod routing;

pub use action::{
    CallerReply, CallerRequest, EntryAction, EntryInput, StoreError, StoreItem, StoreOp,
    StoreReply, TeamUsage,
};
pub use entry::{Entry, EntryOptions};
