//! How a stand-in is set up.

use fulmarpond_dispatch::entry::AdvicePolicy;

/// The sizes and times of a stand-in.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub seed: u64,
    pub entries: usize,
    pub agents: usize,
    /// Cores of each endpoint, in thousandths.
    pub cpu: u32,
    /// When a caller sends a job again after a lost connection, in milliseconds.
    pub resend_ms: u64,
    /// How long a caller waits for its answer, in milliseconds.
    pub patience_ms: u64,
    /// The most a run time differs from its estimate, as a factor.
    pub spread: f64,
    /// Whether there is a store and all jobs are kept in it.
    pub kept: bool,
    /// Whether there is a service that maintains hosts.
    pub hosts: bool,
    /// The policy of all queues, if they have one.
    pub advice: Option<AdvicePolicy>,
    /// The share of the calls for advice that are refused, in percent.
    pub advice_busy: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 2,
            agents: 4,
            cpu: 8_000,
            resend_ms: 1_300,
            patience_ms: 4_000,
            spread: 1.3,
            kept: false,
            hosts: false,
            advice: None,
            advice_busy: 0,
        }
    }
}
