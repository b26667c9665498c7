//! Regression tests: schedules and inputs that once violated a guarantee.

mod support;

use std::net::SocketAddr;

use fulmarpond_core::agent::{Agent, AgentAction, AgentInput, AgentOptions};
use fulmarpond_core::contract::{Reason, Refusal, Resources};
use fulmarpond_core::home::HomeOptions;
use fulmarpond_core::link::{AnnounceReply, CallId, Response};
use fulmarpond_core::machine::{AgentId, Registration};
use fulmarpond_core::runner::RunnerOptions;
use fulmarpond_core::zone::{Roster, Zone};
use fulmarpond_core::{Role, Time};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use support::schedule::{AGENTS, MessageFault, Schedule, Step, TaskEnd};
use support::world;

/// Guards against a retry that starts the tasks of a job again after its home has left.
///
/// The heir of the home had sealed the job itself. When it took over the tombstones of the home,
/// its own seal hid that the home had accepted the job.
#[test]
fn inherited_acceptance_takes_precedence_over_own_seal() {
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
    let world = world::run(&Schedule::without_call_faults(3, &steps));
    assert_eq!(world.history.check(), Ok(()));
    // The later attempts find only the tombstone of the first one.
    assert_eq!(world.history.outcome_counts(), [1, 1, 0, 2]);
}

/// Guards against the verdict "not run" for a job whose tasks have started.
///
/// A candidate granted its seal to another candidate and then ended its own attempt as "not run" at
/// the deadline. A later attempt that reached it got "not run", although the other candidate had
/// started the tasks.
#[test]
fn granted_seal_is_kept_past_the_deadline() {
    let submit = |entry| Step::Submit { job: 0, entry };
    for first in 0..3 {
        // The second candidate can't seal the first one before the deadline.
        let steps = [
            (0, Step::Partition(AGENTS, first, 5_000)),
            (0, submit(0)),
            (10, submit(1)),
            (400, submit(0)),
        ];
        let mut schedule = Schedule::without_call_faults(3, &steps);
        schedule.jobs[0].deadline_ms = 200;
        schedule
            .message_faults
            .insert(2, MessageFault::Delayed(600));
        assert_eq!(world::check(&schedule), Ok(()), "first candidate {first}");
    }
}

/// Creates an agent whose inputs the test provides.
fn standalone_agent(roster_window_ms: u64) -> (Agent, SocketAddr, Zone) {
    let addr = SocketAddr::from(([10, 0, 0, 1], 1_000));
    let zone = Zone::new("Saga");
    let agent = Agent::new(AgentOptions {
        id: AgentId::new("saga-1", 1),
        addr,
        zone: zone.clone(),
        entries: vec![SocketAddr::from(([10, 0, 0, 1], 2_000))],
        announce_ms: 1_000,
        roster_window_ms,
        home: HomeOptions {
            tombstone_retention_ms: roster_window_ms,
            answer_retention_ms: 1_000,
            roster_fresh_ms: 15_000,
        },
        runner: RunnerOptions {
            lease_ms: 60_000_000,
            batch_retention_ms: 1_000,
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

/// Returns the id, the receiver and the method of the last call that a step made.
fn last_call(actions: &[AgentAction]) -> (CallId, Option<AgentId>, &'static str) {
    let call = actions.iter().rev().find_map(|action| match action {
        AgentAction::Call { call, envelope, .. } => {
            Some((*call, envelope.to.clone(), envelope.request.method()))
        }
        _ => None,
    });
    call.expect("the step makes a call")
}

/// Guards against an agent that stops without handing over its tombstones.
///
/// Its heir was stopping as well and refused the handover, but the agent asked the same heir again
/// and again.
#[test]
fn refused_handover_goes_to_the_next_heir() {
    let (mut agent, addr, zone) = standalone_agent(10_000);
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

/// Guards against an agent that serves with a stale roster after a pause.
///
/// The agent pauses for longer than the roster window while an announcement is in flight. The reply
/// was sent before the pause, so it must not confirm the roster when the agent resumes.
#[test]
fn reply_from_before_a_long_pause_does_not_confirm_the_roster() {
    let roster_window_ms = 10_000;
    let (mut agent, addr, zone) = standalone_agent(roster_window_ms);
    let id = agent.id().clone();
    let mut roster = Roster::default();
    roster.join(&id, addr, &zone);
    let registration = Registration {
        addr,
        slots: 1,
        connections: 1,
        zone: "Saga".to_owned(),
        limits: Resources::default(),
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
    for pause_ms in [1, roster_window_ms + 1] {
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
        assert_eq!(
            agent.is_ready(now),
            pause_ms < roster_window_ms,
            "{pause_ms} ms"
        );
    }
}

/// Guards against a job that runs although its caller got "not run".
///
/// The entry counts a submission as lost, but the network still holds it. It arrives after the home
/// has dropped its record of the verdict "not run", and the home accepts it as new.
#[test]
fn job_reported_as_not_run_does_not_run_later() {
    let submit = |entry| Step::Submit { job: 0, entry };
    for first in 0..3 {
        let steps = [
            (0, Step::Partition(AGENTS, first, 20_000)),
            (0, submit(0)),
            (3_100, submit(0)),
        ];
        let mut schedule = Schedule::without_call_faults(3, &steps);
        schedule.jobs[0].deadline_ms = 200;
        // The second candidate can't seal the first one before the deadline. The second attempt
        // reaches it twice, the second time after the record of the first attempt has expired.
        schedule
            .message_faults
            .insert(2, MessageFault::Delayed(600));
        schedule
            .message_faults
            .insert(6, MessageFault::DelayedAfterError(1_400));
        assert_eq!(world::check(&schedule), Ok(()), "first candidate {first}");
    }
}

/// Guards against new tasks for an agent that is stopping.
///
/// A task in flight delays the stop, and the agent must not get tasks of later jobs meanwhile.
#[test]
fn stopping_agent_gets_no_new_work() {
    let submit = |job| Step::Submit { job, entry: 0 };
    let steps = [
        (0, submit(0)),
        (200, Step::Drain(0)),
        (6_000, submit(1)),
        (0, submit(2)),
    ];
    let mut schedule = Schedule::without_call_faults(2, &steps);
    schedule.slots = 3;
    schedule.jobs[0].deadline_ms = 9_000;
    schedule.jobs[0].tasks = vec![(1, TaskEnd::Hangs); 4];
    for job in &mut schedule.jobs[1..] {
        job.tasks = vec![(50, TaskEnd::Done); 4];
        job.deadline_ms = 3_000;
    }
    let world = world::run(&schedule);
    assert_eq!(world.history.check(), Ok(()));
    // Four tasks keep both agents busy, and the two later jobs have four tasks each.
    assert_eq!(world.history.outcome_counts(), [12, 2, 0, 1]);
}

/// Guards against a job that two agents start just after a member joined the roster.
///
/// The new member accepts the first attempt without seals. An agent whose roster lacks the new
/// member seals the job without it, accepts the retry and starts the job as well.
#[test]
fn retry_soon_after_a_member_joined_does_not_start_the_job_again() {
    let steps = [
        (
            0,
            Step::StorePartition {
                entry: 0,
                ms: 6_000,
            },
        ),
        (0, Step::Partition(0, 6, 6_000)),
        (0, Step::Partition(1, 6, 6_000)),
        (0, Step::Start(2)),
        (1_500, Step::Submit { job: 0, entry: 1 }),
        (50, Step::Submit { job: 0, entry: 0 }),
    ];
    let schedule = Schedule::without_call_faults(2, &steps);
    assert_eq!(world::check(&schedule), Ok(()));
}
