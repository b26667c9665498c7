//! Numbers that match a response to its call.

use fulmarpond_derive::value;

/// The number of a call inside one process.
#[value]
pub struct CallId(pub u64);
