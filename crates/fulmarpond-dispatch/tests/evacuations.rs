//! Evacuation of availability zones in virtual time.

mod support;

use support::{Demand, Fault, Options, Simulation};

const JOB: Demand = Demand {
    tasks: 4,
    ..Demand::SHORT_TASK
};

fn simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        evacuation_ms: Some(5_000),
        ..Options::default()
    });
    sim.run_ms(1_000);
    sim
}

/// Guards against starts in an evacuated zone, refusals while the other zone has room, and a zone
/// that gets no work after its evacuation.
#[test]
fn zone_starts_nothing_while_evacuated_and_returns() {
    let mut sim = simulation(1);
    let jobs: Vec<_> = (0..200).map(|n| sim.submit_at(n * 50, JOB)).collect();
    sim.fault_at(2_000, Fault::Evacuate(0, 5_000, false));
    sim.run_ms(2_100);
    let starts = sim.evacuations.starts;
    sim.run_ms(4_800);
    assert_eq!(sim.evacuations.starts, starts, "starts after 100 ms");
    let before = sim.agent_counters(0).started + sim.agent_counters(2).started;
    sim.run_ms(6_000);
    let after = sim.agent_counters(0).started + sim.agent_counters(2).started;
    assert!(after > before, "no start after the return");
    assert_eq!(sim.history.violations, Vec::<String>::new());
    let share = sim.on_time_share(&jobs);
    assert!(share > 0.97, "{share}");
}
