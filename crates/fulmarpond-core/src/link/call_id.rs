//! Numbers that correlate responses with calls.

use fulmarpond_derive::value;

/// The number of a call, unique within one process.
#[value]
pub struct CallId(pub u64);
