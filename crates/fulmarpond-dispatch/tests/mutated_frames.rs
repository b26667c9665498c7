//! Frames and records with mutated bytes, at their decoders and at the processes that get them.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{Agent, AgentOptions, CallNo, EndpointReply};
use fulmarpond_dispatch::configuration::{
    Configuration, ConfigurationChange, ConfigurationUpdate, Route, RouteKey,
};
use fulmarpond_dispatch::entry::{Entry, EntryOptions};
use fulmarpond_dispatch::ledger::{JobSpec, JobState};
use fulmarpond_dispatch::{
    AgentFrame, Backlog, Checkpoint, Class, EndpointCrash, EndpointId, EndpointState,
    EndpointStatus, EntryFrame, JobId, LeaseTimes, LinkNo, LostRun, Order, Outcome, Registration,
    Resources, TaskEnd, TaskKey, TaskRun, Working, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 20_261_204;
const NOW: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);

fn task() -> TaskKey {
    TaskKey {
        job: JobId("1".to_owned()),
        step: 0,
        index: 1,
    }
}

fn route(prefix: &str) -> Route {
    Route {
        name: "route".to_owned(),
        host: "host".to_owned(),
        prefix: prefix.to_owned(),
        ..entry_setup::route()
    }
}

fn whole() -> ConfigurationUpdate {
    ConfigurationUpdate::Whole(Configuration::new(1, vec![route("/a/")], None))
}

fn changes() -> ConfigurationUpdate {
    ConfigurationUpdate::Changes(vec![ConfigurationChange {
        base: 1,
        version: 2,
        changed: vec![Rc::new(route("/b/"))],
        removed: vec![RouteKey::from(&route("/a/"))],
        limits: None,
    }])
}

fn entry_frames() -> Vec<Vec<u8>> {
    let run = TaskRun {
        task: task(),
        run: 1,
    };
    let order = Order {
        job: task().job,
        step: 0,
        indexes: vec![0, 1],
        service: "service".to_owned(),
        route: "route".to_owned(),
        spec: "spec".to_owned(),
        needs: Resources::default(),
        expected_ms: 100,
        nominal_ms: 50,
        priority: 1,
        slack_ms: 100,
        remaining_ms: 1_000,
        watch_ms: 0,
        is_quarantined: false,
        max_run_ms: 1_000,
        is_durable: true,
        epoch: 1,
        last_runs: vec![(1, 3)],
        checkpoints: vec![(1, "c".to_owned())],
        gang: false,
        long_running: false,
        ticket: Some("t".to_owned()),
    };
    let frames = [
        EntryFrame::Hello {
            name: "entry".to_owned(),
            version: 1,
        },
        EntryFrame::Renew { sent: 9 },
        EntryFrame::Start(order),
        EntryFrame::Stop {
            job: task().job,
            tasks: vec![(0, 1)],
            report: true,
        },
        EntryFrame::Adopt(vec![task()]),
        EntryFrame::Acknowledge(vec![run.clone()]),
        EntryFrame::Superseded(vec![run]),
        EntryFrame::Entries(vec![([10, 0, 0, 1], 7_000).into()]),
        EntryFrame::ConfigurationVersion(2),
        EntryFrame::RequestConfiguration(1),
        EntryFrame::Configuration(whole()),
        EntryFrame::Configuration(changes()),
    ];
    frames.iter().map(encode).collect()
}

fn agent_frames() -> Vec<Vec<u8>> {
    let end = TaskEnd {
        task: task(),
        outcome: Outcome::Done,
        run: 1,
        elapsed: 5,
    };
    let mut backlog = Backlog::default();
    backlog.add(Class::of(1), 50, 1_000);
    let frames = [
        AgentFrame::Hello {
            name: "agent".to_owned(),
            zone: "Saga".to_owned(),
            version: 1,
        },
        AgentFrame::Endpoint {
            id: EndpointId("i-1".to_owned()),
            born: 1,
            service: "service".to_owned(),
            capacity: Resources::default(),
            labels: vec!["a".to_owned()],
        },
        AgentFrame::Status {
            sent: 1,
            orders: 1,
            load: EndpointStatus {
                backlog,
                ..EndpointStatus::default()
            },
        },
        AgentFrame::Started(vec![task()]),
        AgentFrame::ConfigurationVersion(2),
        AgentFrame::RequestConfiguration(1),
        AgentFrame::Configuration {
            update: whole(),
            age_ms: 5,
        },
        AgentFrame::Configuration {
            update: changes(),
            age_ms: 5,
        },
        AgentFrame::Saved(vec![Checkpoint {
            task: task(),
            value: "c".to_owned(),
        }]),
        AgentFrame::Working(vec![Working {
            task: task(),
            working: true,
        }]),
        AgentFrame::Ended(vec![end.clone()]),
        AgentFrame::UnacknowledgedEnds(vec![end]),
        AgentFrame::Orphaned(vec![task()]),
        AgentFrame::Crashed(EndpointCrash {
            silent_ms: 2,
            endpoint: EndpointId("i-1".to_owned()),
            born: 1,
            service: "service".to_owned(),
            ago_ms: 0,
            runs: vec![LostRun {
                task: task(),
                run: 1,
                route: "route".to_owned(),
                age_ms: 20,
                is_certain: true,
                is_likely: true,
                is_watched: true,
            }],
        }),
    ];
    frames.iter().map(encode).collect()
}

fn new_agent() -> Agent {
    let options = AgentOptions {
        name: "agent".to_owned(),
        zone: "Saga".to_owned(),
        seeds: Vec::new(),
        lease_times: LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times"),
        heartbeat_interval_ms: 1_500,
        fence: 1,
    };
    Agent::new(options, NOW)
}

fn new_entry() -> Entry {
    let options = EntryOptions {
        name: "entry".to_owned(),
        remote_factor: 1.5,
        ..entry_setup::options()
    };
    Entry::new(options, NOW)
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    /// Guards against a process that ends at a frame or a record with mutated bytes, or that uses
    /// memory by a length in it.
    #[test]
    fn processes_survive_mutated_frames(
        number in any::<usize>(),
        clock in prop_oneof![Just(i64::MAX), Just(i64::MIN), any::<i64>()],
        mutations in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..4),
    ) {
        let (mut agent, mut entry) = (new_agent(), new_entry());
        let mut out = Vec::new();
        let registration = Registration {
            id: EndpointId("i-1".to_owned()),
            born: 1,
            service: "service".to_owned(),
            addr: ([127, 0, 0, 1], 9_000).into(),
            capacity: Resources::default(),
            labels: Vec::new(),
            cold_remaining_ms: 0,
            state: EndpointState::Ready,
            sequence: 1,
        };
        let handled = agent.handle_heartbeat(registration, NOW, &mut out);
        prop_assert!(handled.is_ok());
        agent.link_up(LINK, NOW, &mut out);
        let held = EndpointReply::Held {
            born: 1,
            clock,
            running: Vec::new(),
            ended: Vec::new(),
        };
        agent.handle_reply(CallNo(1), Ok(held), NOW, &mut out);
        let mut entry_out = Vec::new();
        entry.link_up(LINK, &mut entry_out);
        for (frames, is_of_entry) in [(entry_frames(), true), (agent_frames(), false)] {
            let mutated = number % frames.len();
            for (position, mut bytes) in frames.into_iter().enumerate() {
                for &(at, byte) in mutations.iter().filter(|_| position == mutated) {
                    let at = at % bytes.len();
                    bytes[at] = byte;
                }
                let _ = decode::<JobState>(&bytes);
                let _ = decode::<JobSpec>(&bytes);
                if is_of_entry {
                    if let Ok(frame) = decode::<EntryFrame>(&bytes) {
                        agent.handle_frame(LINK, frame, NOW, &mut out);
                        agent.tick(NOW.after_millis(100), &mut out);
                    }
                } else if let Ok(frame) = decode::<AgentFrame>(&bytes) {
                    entry.handle_frame(LINK, frame, NOW, &mut entry_out);
                    entry.tick(NOW.after_millis(100), &mut entry_out);
                }
            }
        }
    }
}
