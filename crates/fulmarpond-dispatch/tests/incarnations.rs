//! Endpoints that restart under their id.

mod support;

use support::{Demand, EndpointFault, Fault, Options, Simulation};

const JOB: Demand = Demand {
    tasks: 4,
    run_ms: 200,
    ..Demand::SHORT_TASK
};

/// How long it takes until a restarted endpoint is in use, in milliseconds: it sends a heartbeat
/// within 10 ms and is asked twice, and a job arrives every 20 ms.
const MAX_RETURN_MS: u64 = 60;

struct Restart {
    name: &'static str,
    down_ms: u64,
    /// How much later a heartbeat of the earlier life arrives, in milliseconds.
    late_ms: u64,
    /// A fault of the earlier life.
    earlier: EndpointFault,
}

/// Guards against an endpoint that is lost for good, runs that are waited for although they ended
/// with the earlier life, runs that are taken for those of the earlier life, and heartbeats of the
/// earlier life that replace those of the new one.
#[test]
fn restarted_endpoint_is_in_use_again_at_once() {
    let plain = Restart {
        name: "at once",
        down_ms: 0,
        late_ms: 5,
        earlier: EndpointFault::None,
    };
    let cases = [
        Restart {
            name: "heartbeat of the earlier life long after the first of the new one",
            late_ms: 700,
            ..plain
        },
        Restart {
            name: "after a while",
            down_ms: 300,
            ..plain
        },
        Restart {
            name: "heartbeat of the earlier life first",
            down_ms: 300,
            late_ms: 1,
            ..plain
        },
        Restart {
            name: "with runs that hang",
            earlier: EndpointFault::Hang,
            ..plain
        },
        Restart {
            name: "while replies are lost",
            earlier: EndpointFault::LostReplies(30),
            ..plain
        },
        plain,
    ];
    for case in cases {
        for seed in 1..6 {
            let mut sim = Simulation::new(Options {
                seed,
                ..Options::default()
            });
            sim.run_ms(500);
            for at in (0..6_000).step_by(20) {
                sim.submit_at(at, JOB);
            }
            sim.fault_at(760, Fault::Endpoint(1, case.earlier, 400));
            sim.run_ms(810);
            assert!(!sim.endpoints[1].runs.is_empty(), "{}", case.name);
            sim.fault_at(0, Fault::RestartEndpoint(1, case.down_ms, case.late_ms));
            sim.run_ms(case.down_ms);
            let back_at = sim.elapsed_ms();
            while sim.endpoints[1].runs.is_empty() && sim.elapsed_ms() < back_at + 3_000 {
                sim.run_ms(1);
            }
            let return_ms = sim.elapsed_ms() - back_at;
            assert!(
                return_ms <= MAX_RETURN_MS,
                "{}, seed {seed}: {return_ms} ms",
                case.name
            );
            sim.run_ms(12_000);
            assert_eq!(
                sim.history.violations,
                Vec::<String>::new(),
                "{}, seed {seed}",
                case.name
            );
            assert_eq!(sim.agent_counters(1).endpoint_restarts, 1, "{}", case.name);
        }
    }
}
