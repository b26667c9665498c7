//! The entry: the front end that admits submissions, routes each to the home of its job, looks up
//! answers, and writes the roster and the configuration to the key-value service.

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
