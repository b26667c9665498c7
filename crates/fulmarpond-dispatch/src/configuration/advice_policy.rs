//! The policy of a route whose steps need placement advice.

use fulmarpond_derive::message;

/// The expected duration of advice calls and the validity of tickets.
#[message]
#[derive(Copy, Eq)]
pub struct AdvicePolicy {
    /// The fixed time of a call, in milliseconds.
    pub decide_ms: u32,
    /// The additional time for each endpoint in a call, in microseconds.
    pub each_us: u32,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u32,
}

impl AdvicePolicy {
    /// Returns the expected duration of a call, in milliseconds.
    pub(crate) fn call_ms(self, endpoints: usize) -> u64 {
        let per_endpoint = u64::from(self.each_us) * endpoints as u64;
        u64::from(self.decide_ms) + per_endpoint.div_ceil(1_000)
    }
}
