//! Schedules that once broke a guarantee.

mod support;

use support::schedule::{AGENTS, Fate, Schedule, Step};
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

/// Guards against a candidate that ends its attempt as "not run" after it gave its seal to another
/// one: a later attempt that reached it was told "not run" although the tasks had started.
#[test]
fn a_granted_seal_is_not_forgotten_at_the_deadline() {
    let submit = |entry| Step::Submit { job: 0, entry };
    for first in 0..3 {
        // The second candidate can't seal the first one before the deadline.
        let steps = [
            (0, Step::Split(AGENTS, first, 5_000)),
            (0, submit(0)),
            (10, submit(1)),
            (400, submit(0)),
        ];
        let mut schedule = Schedule::calm(3, &steps);
        schedule.jobs[0].deadline = 200;
        schedule.fates.insert(2, Fate::Late(600));
        assert_eq!(world::check(&schedule), Ok(()), "first candidate {first}");
    }
}
