//! Schedules that once broke a guarantee.

mod support;

use std::net::SocketAddr;

use fulmarpond_core::agent::{Agent, AgentAction, AgentInput, AgentOptions};
use fulmarpond_core::contract::{Needs, Reason, Refusal};
use fulmarpond_core::home::HomeOptions;
use fulmarpond_core::link::{AnnounceReply, CallId, Response};
use fulmarpond_core::machine::{AgentId, Registration};
use fulmarpond_core::runner::RunnerOptions;
use fulmarpond_core::zone::{Roster, Zone};
use fulmarpond_core::{Role, Time};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use support::schedule::{AGENTS, End, Fate, Schedule, Step};
use support::world;

/// Guards against an heir whose own seal hides that its predecessor accepted the job: the next
/// attempt started the tasks again.
#[test]
fn an_inherited_acceptance_outlasts_an_own_seal() {
    let submit = Step::Submit { job: 2, entry: 0 };
    let steps = [
        (0, submit),
        (100, Step::Start(4)),
        (0, Step::Start(4)),
        (4_002, submit),
        (0, Step::Drain(1)),
        (1, Step::Drain(0)),
        (1_500, submit),
    ];
    let world = world::run(&Schedule::calm(3, &steps));
    assert_eq!(world.history.check(), Ok(()));
    // The later attempts meet only the memory of the first.
    assert_eq!(world.history.summary(), [1, 1, 0, 2]);
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

/// Creates an agent that no driver runs.
fn lone_agent(window_ms: u64) -> (Agent, SocketAddr, Zone) {
    let addr = SocketAddr::from(([10, 0, 0, 1], 1_000));
    let zone = Zone::new("Saga");
    let agent = Agent::new(AgentOptions {
        id: AgentId::new("saga-1", 1),
        addr,
        zone: zone.clone(),
        entries: vec![SocketAddr::from(([10, 0, 0, 1], 2_000))],
        announce_ms: 1_000,
        window_ms,
        home: HomeOptions {
            memory_ms: window_ms,
            margin_ms: 1_000,
            fresh_ms: 15_000,
        },
        runner: RunnerOptions {
            lease_ms: 60_000_000,
            margin_ms: 1_000,
        },
    });
    (agent, addr, zone)
}

fn announce_reply(roster: &Roster) -> AnnounceReply {
    AnnounceReply {
        entry: "entry-1".to_owned(),
        roster: roster.since(0),
        age_ms: 0,
        config: None,
        peers: Vec::new(),
        next_ms: 1_000,
    }
}

/// Returns the last call of a step: its number, its addressee and its method.
fn last_call(actions: &[AgentAction]) -> (CallId, Option<AgentId>, &'static str) {
    let call = actions.iter().rev().find_map(|action| match action {
        AgentAction::Call { call, envelope, .. } => {
            Some((*call, envelope.to.clone(), envelope.request.method()))
        }
        _ => None,
    });
    call.expect("the step makes a call")
}

/// Guards against a stopping agent that asks the same heir again and again, although it stops as
/// well, and leaves without handing its memory over.
#[test]
fn a_refused_handover_goes_to_the_next_heir() {
    let (mut agent, addr, zone) = lone_agent(10_000);
    let mut roster = Roster::default();
    roster.join(agent.id(), addr, &zone);
    for number in 2..4 {
        let other = AgentId::new(&format!("saga-{number}"), 1);
        roster.join(&other, SocketAddr::from(([10, 0, 0, number], 1_000)), &zone);
    }
    let mut rng = Pcg32::seed_from_u64(1);
    let mut step = |now, input| {
        let mut actions = Vec::new();
        agent.step(Time::from_millis(now), input, &mut rng, &mut actions);
        actions
    };
    let (call, _, method) = last_call(&step(1, AgentInput::Tick));
    assert_eq!(method, "announce");
    let result = Ok(Response::Announce(Box::new(announce_reply(&roster))));
    step(2, AgentInput::Response { call, result });
    let (call, first, method) = last_call(&step(3, AgentInput::Drain));
    assert_eq!(method, "handover");
    let result = Ok(Response::Refused(Refusal::new(Reason::Draining, 0)));
    let (_, second, method) = last_call(&step(4, AgentInput::Response { call, result }));
    assert_eq!(method, "handover");
    assert_ne!(first, second);
}

/// Guards against an agent that pauses for longer than the roster window, wakes, and takes a reply
/// from before the pause for a confirmation of its roster.
#[test]
fn a_reply_from_before_a_pause_confirms_no_roster() {
    let window_ms = 10_000;
    let (mut agent, addr, zone) = lone_agent(window_ms);
    let id = agent.id().clone();
    let mut roster = Roster::default();
    roster.join(&id, addr, &zone);
    let registration = Registration {
        addr,
        slots: 1,
        connections: 1,
        zone: "Saga".to_owned(),
        limits: Needs::default(),
    };
    let mut rng = Pcg32::seed_from_u64(1);
    let mut actions = Vec::new();
    let start = Time::from_millis(1);
    agent.step(
        start,
        AgentInput::Endpoint(registration),
        &mut rng,
        &mut actions,
    );
    for pause_ms in [1, window_ms + 1] {
        let sent = start.after_millis(2_000 * pause_ms);
        actions.clear();
        agent.step(sent, AgentInput::Tick, &mut rng, &mut actions);
        let call = actions.iter().find_map(|action| match action {
            AgentAction::Call { call, .. } => Some(*call),
            _ => None,
        });
        let reply = announce_reply(&roster);
        let input = AgentInput::Response {
            call: call.expect("an announcement is due"),
            result: Ok(Response::Announce(Box::new(reply))),
        };
        let now = sent.after_millis(pause_ms);
        agent.step(now, input, &mut rng, &mut actions);
        assert_eq!(agent.is_ready(now), pause_ms < window_ms, "{pause_ms} ms");
    }
}

/// Guards against a submission that was lost on its way, arrives after its home forgot the answer
/// "not run", and runs after all.
#[test]
fn a_job_that_was_told_not_run_does_not_run_later() {
    let submit = |entry| Step::Submit { job: 0, entry };
    for first in 0..3 {
        let steps = [
            (0, Step::Split(AGENTS, first, 20_000)),
            (0, submit(0)),
            (3_100, submit(0)),
        ];
        let mut schedule = Schedule::calm(3, &steps);
        schedule.jobs[0].deadline = 200;
        // The second candidate can't seal the first one before the deadline, and the second attempt
        // reaches it twice: once after the record of the first is gone.
        schedule.fates.insert(2, Fate::Late(600));
        schedule.fates.insert(6, Fate::Orphaned(1_400));
        assert_eq!(world::check(&schedule), Ok(()), "first candidate {first}");
    }
}

/// Guards against new work for an agent whose stop takes long because of a task in flight.
#[test]
fn a_stopping_agent_gets_no_new_work() {
    let submit = |job| Step::Submit { job, entry: 0 };
    let steps = [
        (0, submit(0)),
        (200, Step::Drain(0)),
        (6_000, submit(1)),
        (0, submit(2)),
    ];
    let mut schedule = Schedule::calm(2, &steps);
    schedule.slots = 3;
    schedule.jobs[0].deadline = 9_000;
    schedule.jobs[0].tasks = vec![(1, End::Never); 4];
    for job in &mut schedule.jobs[1..] {
        job.tasks = vec![(50, End::Done); 4];
        job.deadline = 3_000;
    }
    let world = world::run(&schedule);
    assert_eq!(world.history.check(), Ok(()));
    // The four tasks that hold both agents, and those of the two later jobs.
    assert_eq!(world.history.summary(), [12, 2, 0, 1]);
}

/// Guards against a member that accepts a first attempt without seals just after it joined, while
/// an agent that does not know it yet seals without it and starts the job as well.
#[test]
fn a_retry_soon_after_a_member_joined_starts_nothing_again() {
    let steps = [
        (
            0,
            Step::CutOff {
                entry: 0,
                ms: 6_000,
            },
        ),
        (0, Step::Split(0, 6, 6_000)),
        (0, Step::Split(1, 6, 6_000)),
        (0, Step::Start(2)),
        (1_500, Step::Submit { job: 0, entry: 1 }),
        (50, Step::Submit { job: 0, entry: 0 }),
    ];
    let schedule = Schedule::calm(2, &steps);
    assert_eq!(world::check(&schedule), Ok(()));
}
