//! Guards the guarantees of the contract under schedules of faults.

mod support;

use proptest::prelude::*;
use support::property_config::config;
use support::schedule::{races, schedules};
use support::world;

proptest! {
    #![proptest_config(config(256))]

    /// Guards against double starts, false verdicts and lost replies while processes end, pause and
    /// are replaced.
    #[test]
    fn promises_hold(schedule in schedules()) {
        world::check(&schedule).map_err(TestCaseError::fail)?;
    }

    /// Guards against two agents that accept one job while attempts compete for its seals.
    #[test]
    fn races_start_a_job_once(schedule in races()) {
        world::check(&schedule).map_err(TestCaseError::fail)?;
    }
}

proptest! {
    #![proptest_config(config(64))]

    /// Guards against choices that depend on more than the inputs and the seed.
    #[test]
    fn runs_repeat(schedule in schedules()) {
        let history = || format!("{:?}", world::run(&schedule).history);
        prop_assert_eq!(history(), history());
    }
}
