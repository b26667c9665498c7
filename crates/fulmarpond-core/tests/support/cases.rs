//! How many cases a property test runs, and with which seed.

use proptest::test_runner::{Config, RngSeed};

/// The seed of all properties, so that every run gives the same verdict.
const SEED: u64 = 0x0f_01_3a_20;

/// Returns the configuration of a property that normally runs `cases` cases.
///
/// `FULMARPOND_CASES` multiplies the cases. `FULMARPOND_SEED` replaces the seed.
pub fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let factor = u32::try_from(number("FULMARPOND_CASES").unwrap_or(1)).unwrap_or(u32::MAX);
    Config {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(number("FULMARPOND_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}
