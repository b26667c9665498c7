//! Property tests of the guarantees to callers under random schedules of faults.

mod support;

use proptest::prelude::*;
use support::property_config::config;
use support::schedule::{competing_attempts, random_schedules};
use support::world;

proptest! {
    #![proptest_config(config(256))]

    /// Guards against tasks that start twice, wrong verdicts and missing replies.
    ///
    /// The faults are processes that crash, pause or are replaced, network partitions, messages
    /// that are lost, delayed or duplicated, and outages of the key-value service.
    #[test]
    fn guarantees_hold_under_random_faults(schedule in random_schedules()) {
        world::check(&schedule).map_err(TestCaseError::fail)?;
    }

    /// Guards against two agents that accept the same job.
    ///
    /// Several attempts of one job compete for its seals while partitions hide some agents from
    /// others.
    #[test]
    fn competing_attempts_start_a_job_once(schedule in competing_attempts()) {
        world::check(&schedule).map_err(TestCaseError::fail)?;
    }
}

proptest! {
    #![proptest_config(config(64))]

    /// Guards against nondeterminism: state machines whose decisions depend on anything but their
    /// inputs and the seed. A failing schedule could then not be replayed.
    #[test]
    fn same_schedule_gives_same_history(schedule in random_schedules()) {
        let history = || format!("{:?}", world::run(&schedule).history);
        prop_assert_eq!(history(), history());
    }
}
