//! Guards the guarantees of the contract under schedules of faults.

mod support;

use proptest::prelude::*;
use support::cases::config;
use support::schedule::schedules;
use support::world;

proptest! {
    #![proptest_config(config(256))]

    /// Guards against double starts, false verdicts and lost replies while processes end, pause and
    /// are replaced.
    #[test]
    fn promises_hold(schedule in schedules()) {
        world::check(&schedule).map_err(TestCaseError::fail)?;
    }
}
