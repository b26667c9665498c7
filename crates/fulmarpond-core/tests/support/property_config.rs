//! The number of cases and the seed of the property tests.

use proptest::test_runner::{Config, RngSeed};

/// The default seed of all property tests. It is fixed so that runs are reproducible.
const DEFAULT_SEED: u64 = 0x0f_01_3a_20;

/// Returns the configuration of a property test that runs `cases` cases by default.
///
/// `FULMARPOND_CASES` multiplies the number of cases. `FULMARPOND_SEED` replaces the seed.
pub fn config(cases: u32) -> Config {
    let env_number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let factor = u32::try_from(env_number("FULMARPOND_CASES").unwrap_or(1)).unwrap_or(u32::MAX);
    Config {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(env_number("FULMARPOND_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}
