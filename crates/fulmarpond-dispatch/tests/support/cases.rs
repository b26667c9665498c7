//! How many random schedules are played.

use proptest::test_runner::{Config, RngSeed};

use super::world::Fault;

/// The seed of the schedules that CI plays.
const SEED: u64 = 20_261_203;

/// Returns the setup of a property; `FULMARPOND_CASES` multiplies its cases, and `FULMARPOND_SEED`
/// replaces the seed.
pub fn schedules(cases: u32) -> Config {
    Config {
        cases: cases * u32::try_from(number("FULMARPOND_CASES", 1)).unwrap_or(1),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(number("FULMARPOND_SEED", SEED)),
        ..Config::default()
    }
}

/// A schedule that has found a fault.
pub struct Regression {
    /// What was wrong.
    pub cause: &'static str,
    pub seed: u64,
    pub faults: &'static [(u64, Fault)],
}

/// Reads a number from the environment.
fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
