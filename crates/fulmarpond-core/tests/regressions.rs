//! Schedules that once broke a guarantee.

mod support;

use support::schedule::{Schedule, Step};
use support::world;

/// Guards against an heir whose own seal hides that its predecessor accepted the job: the next
/// attempt started the tasks again.
#[test]
fn an_inherited_acceptance_outlasts_an_own_seal() {
    let submit = Step::Submit { job: 2, entry: 0 };
    let steps = [
        (0, Step::Start(4)),
        (0, Step::Start(4)),
        (0, submit),
        (4_002, submit),
        (0, Step::Drain(1)),
        (1, Step::Drain(0)),
        (1_500, submit),
    ];
    let schedule = Schedule::calm(3, &steps);
    assert_eq!(world::check(&schedule), Ok(()));
}
