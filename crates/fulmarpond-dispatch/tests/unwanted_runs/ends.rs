//! What is reported of a run that is being stopped when something else happens to its task.

use fulmarpond_dispatch::agent::Agent;
use fulmarpond_dispatch::evacuation::Evacuations;
use fulmarpond_dispatch::{EntryFrame, LinkNo, Outcome};

use crate::host::{
    Host, KEPT_JOB, KEPT_LINK, LOST_LINK, Loss, RENEW_INTERVAL_MS, RESEND_MS, StopReply,
    UNWANTED_JOB, key, order,
};

/// The link that the entry of [`LOST_LINK`] has after a reconnection.
const NEW_LINK: LinkNo = LinkNo(3);

/// Something that happens to a task or its agent.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The entry stops the run.
    Stop,
    /// The entry stops the run, and awaits the report.
    StopWithReport,
    /// The entry withdraws the job.
    Withdraw,
    /// The link of the entry is reset.
    Reset,
    /// The entry of the other link orders the task.
    OrderByOther,
    /// The agent takes no more tasks.
    Shutdown,
    /// The agent stops all runs, as its process ends.
    ShutdownOfRuns,
    /// The host is drained for its maintenance.
    Drain,
    /// The zone is evacuated.
    Evacuation,
    /// The endpoint drains.
    EndpointDrain,
    /// The endpoint deregisters.
    Deregistration,
}

impl Event {
    const ALL: [Self; 11] = [
        Self::Stop,
        Self::StopWithReport,
        Self::Withdraw,
        Self::Reset,
        Self::OrderByOther,
        Self::Shutdown,
        Self::ShutdownOfRuns,
        Self::Drain,
        Self::Evacuation,
        Self::EndpointDrain,
        Self::Deregistration,
    ];

    fn happen(self, host: &mut Host) {
        match self {
            Self::Stop => host.stop(LOST_LINK, UNWANTED_JOB),
            Self::StopWithReport => {
                host.lose(Loss::StopWithReport);
            }
            Self::Withdraw => host.act(|agent, now, out| {
                let frame = EntryFrame::Withdraw(key(UNWANTED_JOB).job);
                agent.handle_frame(LOST_LINK, frame, now, out);
            }),
            Self::Reset => {
                host.lose(Loss::Reset);
            }
            Self::OrderByOther => host.order(KEPT_LINK, UNWANTED_JOB),
            Self::Shutdown => host.act(Agent::stop),
            Self::ShutdownOfRuns => host.act(Agent::stop_runs),
            Self::Drain => host.act(|agent, now, out| {
                agent.handle_frame(KEPT_LINK, EntryFrame::Drain, now, out);
            }),
            Self::Evacuation => host.act(|agent, now, out| {
                let zones = Evacuations::new(1, ["Saga".to_owned()]);
                agent.handle_frame(KEPT_LINK, EntryFrame::Evacuations(zones), now, out);
            }),
            Self::EndpointDrain => host.drain(),
            Self::Deregistration => host.deregister(),
        }
    }
}

/// Guards against two runs of one task at a time: whatever happens to a run, twice in a row, its agent
/// tells no entry of its end, and refuses no order of its task, before it is over. Guards also against a
/// second report, which an entry would take for the end of a later run.
#[test]
fn run_is_reported_once_at_most_and_not_before_its_end() {
    let mut failures = Vec::new();
    for stops in [StopReply::Late, StopReply::Nothing, StopReply::Unhealthy] {
        for is_start_unanswered in [false, true] {
            for first in Event::ALL {
                for second in Event::ALL {
                    let events = [first, second];
                    if let Err(failure) = play(events, stops, is_start_unanswered) {
                        failures.push(failure);
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Plays two events after a start, and returns what was found if the run was reported too early or twice.
fn play(events: [Event; 2], stops: StopReply, is_start_unanswered: bool) -> Result<(), String> {
    let name = format!("{events:?}, {stops:?}, start unanswered {is_start_unanswered}");
    let mut host = Host::new();
    host.order(KEPT_LINK, KEPT_JOB);
    host.run_ms(500);
    host.stops = stops;
    host.hides_starts = is_start_unanswered;
    host.order(LOST_LINK, UNWANTED_JOB);
    host.answer_calls();
    host.hides_starts = false;
    assert!(host.is_running(UNWANTED_JOB), "{name}");
    for event in events {
        event.happen(&mut host);
        host.run_ms(20);
    }
    for _ in 0..300 {
        host.run_ms(1);
        if host.is_running(UNWANTED_JOB) && !host.reports.is_empty() {
            return Err(format!("{name}: {:?} while it runs", host.reports));
        }
    }
    host.end_run(UNWANTED_JOB);
    host.run_ms(100);
    let reports = host.reports.iter();
    let ends = reports.filter(|(_, job, _)| *job == key(UNWANTED_JOB).job);
    if ends.count() > 1 {
        return Err(format!("{name}: reports {:?}", host.reports));
    }
    Ok(())
}

/// Guards against two runs of one task at a time: an entry that comes back over a new link before a stop
/// is confirmed, and gives the same task, hears of its refusal only when the run has ended, which is as
/// early as after the loss of the first link.
#[test]
fn task_of_an_entry_that_comes_back_is_refused_when_its_run_has_ended() {
    for stops in [StopReply::Nothing, StopReply::Unhealthy, StopReply::Late] {
        for back_ms in [0, 50, 500] {
            let name = format!("{stops:?}, back after {back_ms} ms");
            let mut host = Host::new();
            host.order(KEPT_LINK, KEPT_JOB);
            host.order(LOST_LINK, UNWANTED_JOB);
            host.run_ms(500);
            host.stops = stops;
            let heard = host.lose(Loss::Reset);
            host.run_ms(back_ms);
            host.act(|agent, now, out| agent.link_up(NEW_LINK, now, out));
            host.renewed.push(NEW_LINK);
            host.order(NEW_LINK, UNWANTED_JOB);
            while host.is_running(UNWANTED_JOB) && host.elapsed < heard + 2 * RESEND_MS {
                assert!(host.reports.is_empty(), "{name}: refused while it runs");
                host.run_ms(1);
            }
            let age_ms = host.elapsed - heard;
            assert!(age_ms < RESEND_MS, "{name}: over after {age_ms} ms");
            host.run_ms(RENEW_INTERVAL_MS);
            let refused = (NEW_LINK, key(UNWANTED_JOB).job, Outcome::Unavailable);
            let reports = host.reports.iter();
            let mut ends = reports.filter(|(_, job, _)| *job == key(UNWANTED_JOB).job);
            assert_eq!((ends.next(), ends.next()), (Some(&refused), None), "{name}");
            // A task that the entry sends again then has a run of its own.
            host.stops = StopReply::Done;
            host.run_ms(600);
            host.send_order(NEW_LINK, order(UNWANTED_JOB));
            host.run_ms(20);
            assert!(host.is_running(UNWANTED_JOB), "{name}");
        }
    }
}
