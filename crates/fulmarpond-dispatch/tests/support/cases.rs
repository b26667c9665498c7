//! Number and seed of the random schedules, and schedules kept as regression tests.

use proptest::test_runner::{Config, RngSeed};

use super::simulation::Fault;

/// Seed of the schedules that CI runs.
const DEFAULT_SEED: u64 = 20_261_203;

/// Returns the configuration of a property test. `FULMARPOND_CASES` multiplies the number of cases,
/// and `FULMARPOND_SEED` overrides the seed.
pub fn proptest_config(cases: u32) -> Config {
    Config {
        cases: cases * u32::try_from(env_number("FULMARPOND_CASES", 1)).unwrap_or(1),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(env_number("FULMARPOND_SEED", DEFAULT_SEED)),
        ..Config::default()
    }
}

/// A schedule that exposed a bug.
pub struct Regression {
    /// The bug that it exposed.
    pub cause: &'static str,
    pub seed: u64,
    pub faults: &'static [(u64, Fault)],
}

/// Reads a number from an environment variable; returns the default if it is unset or invalid.
fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
