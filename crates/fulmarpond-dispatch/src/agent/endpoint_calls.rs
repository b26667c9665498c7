//! Calls to the endpoint, and what their outcomes mean.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::agent::{Agent, ORDER_TIMEOUT_MS, Purpose};
use super::endpoint::Endpoint;
use super::health::Health;
use super::run::{Phase, Progress, Run, Then};
use super::{
    Action, CallFailure, CallNo, EndEntry, EndHow, EndpointCall, EndpointReply, RunEntry,
    StartRefusal,
};
use crate::{AgentFrame, EndpointState, Needs, Outcome, Registration, TaskEnd, TaskKey};

/// How long a hold may go without a reply beyond its wait, in milliseconds.
const HOLD_TIMEOUT_MS: u64 = 15;

/// The shortest and the longest wait of a hold for an end at the endpoint, in milliseconds.
const HOLD_WAIT_MS: (u64, u64) = (15, 80);

/// The wait of a hold as a multiple of the expected time until the next end, in percent. A hold
/// without a reply hides all ends until it times out, so its wait follows the rate of ends.
const HOLD_WAIT_PERCENT: u64 = 100;

/// An endpoint that answers no call for so long counts as unreachable, in milliseconds.
const SILENCE_MS: u64 = 500;

/// The pause after a hold that listed only ends that are held, in milliseconds.
const HELD_PAUSE_MS: u64 = 10;

/// The target of log lines about tasks that go well.
const ROUTINE: &str = "routine";

/// How long an endpoint counts as stalled after a run stood still, in milliseconds. Then it is tried
/// again with few tasks.
const STALLED_MS: u64 = 1_500;

impl Agent {
    /// Takes a heartbeat of an endpoint.
    pub fn beat(&mut self, about: Registration, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            self.adopt(about, now, out);
            return;
        };
        if endpoint.about.id != about.id {
            // A delayed heartbeat of an earlier incarnation looks the same as the first of a new
            // one; only the endpoint itself can tell.
            self.probe(about, out);
            return;
        }
        let known = (endpoint.about.capacity, endpoint.about.state);
        if !endpoint.beat(about, now, self.options.beat_ms) {
            return;
        }
        if known != (endpoint.about.capacity, endpoint.about.state) {
            let id = &endpoint.about.id;
            info!(endpoint = %id, state = ?endpoint.about.state, "endpoint changed");
            let draining = endpoint.about.state == EndpointState::Draining;
            self.describe_to_all(out);
            if draining {
                self.return_queue(now);
            }
        }
        if self
            .endpoint
            .as_ref()
            .is_some_and(|known| !known.reachable || !known.settled)
        {
            self.hold(now, out);
        }
        self.send_status(now, out);
        self.send_news(out);
    }

    /// Notes that an endpoint has ended.
    pub fn left(&mut self, id: &str, now: Time, out: &mut Vec<Action>) {
        if self
            .endpoint
            .as_ref()
            .is_some_and(|known| known.about.id.0 == id)
        {
            info!(endpoint = id, "endpoint left");
            self.lose_endpoint(now, out);
        }
    }

    pub(super) fn adopt(&mut self, about: Registration, now: Time, out: &mut Vec<Action>) {
        info!(endpoint = %about.id, service = about.service, cpu = about.capacity.cpu, "endpoint found");
        self.health = Health::new(now);
        self.endpoint = Some(Endpoint::new(about, now, self.options.beat_ms));
        self.describe_to_all(out);
        self.hold(now, out);
    }

    pub(super) fn probe(&mut self, about: Registration, out: &mut Vec<Action>) {
        let probing = |purpose: &Purpose| matches!(purpose, Purpose::Probe(_));
        if self.calls.values().any(probing) {
            return;
        }
        let number = self.fresh_call();
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: 0,
            lease: None,
            wait: 0,
        };
        out.push(Action::Call {
            number,
            to: about.id.clone(),
            addr: about.addr,
            call,
            timeout: HOLD_TIMEOUT_MS,
        });
        self.calls.insert(number, Purpose::Probe(about));
    }

    /// Forgets the endpoint: everything that ran there is over.
    pub(super) fn lose_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(lost) = self.endpoint.take() else {
            return;
        };
        warn!(endpoint = %lost.about.id, runs = self.runs.len(), "endpoint lost");
        self.calls
            .retain(|_, purpose| matches!(purpose, Purpose::Probe(_)));
        self.numbers.clear();
        self.end_everything(now);
        self.describe_to_all(out);
        self.send_status(now, out);
        self.send_news(out);
    }

    /// Reports the end of all tasks, when nothing can run at the endpoint any more.
    pub(super) fn end_everything(&mut self, now: Time) {
        self.return_queue(now);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            let report = match self.runs[&task].phase {
                Phase::Stopping {
                    then: Then::Forget, ..
                } => None,
                _ => Some(Outcome::Aborted),
            };
            self.finish(&task, report, 0);
        }
    }

    pub(super) const fn fresh_call(&mut self) -> CallNo {
        let number = CallNo(self.next_call);
        self.next_call += 1;
        number
    }

    pub(super) fn call(
        &mut self,
        purpose: Purpose,
        call: EndpointCall,
        timeout: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let number = self.fresh_call();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if matches!(purpose, Purpose::Hold) {
            endpoint.hold = Some(number);
        }
        endpoint.answer_by = endpoint.answer_by.min(now.after_millis(SILENCE_MS));
        out.push(Action::Call {
            number,
            to: endpoint.about.id.clone(),
            addr: endpoint.about.addr,
            call,
            timeout,
        });
        self.calls.insert(number, purpose);
    }

    /// Sends a hold, unless one is under way or none is needed.
    pub(super) fn hold(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let needed = self.used != Needs::default()
            || !self.runs.is_empty()
            || !endpoint.settled
            || !endpoint.held.is_empty()
            || endpoint.held_before
            || !endpoint.reachable;
        if endpoint.hold.is_some() || !needed || now < endpoint.next_hold {
            return;
        }
        let holds_ends = !endpoint.held.is_empty();
        let acked = endpoint.acked();
        // Runs of an earlier process must lapse, and so must those at an endpoint that does not
        // answer: their lease is not extended.
        // Without a link nobody may run anything here, and what has ended may be run elsewhere.
        let linked = !self.links.up.is_empty();
        let lapses = endpoint
            .lapse_by
            .is_some_and(|by| now >= by || self.runs.is_empty());
        let extends = endpoint.settled && endpoint.reachable && linked && !lapses;
        let lease = extends.then(|| self.extend(now));
        let wait = self.next_end() * HOLD_WAIT_PERCENT / 100;
        let wait = if extends {
            wait.clamp(HOLD_WAIT_MS.0, HOLD_WAIT_MS.1)
        } else {
            0
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked,
            lease,
            wait,
        };
        self.call(Purpose::Hold, call, wait + HOLD_TIMEOUT_MS, now, out);
        if let Some(endpoint) = &mut self.endpoint {
            // One more hold takes note of ends that were held until now.
            endpoint.held_before = holds_ends;
        }
    }

    /// Takes the outcome of a call.
    pub fn answered(
        &mut self,
        number: CallNo,
        outcome: Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&number) else {
            return;
        };
        if let Purpose::Probe(about) = purpose {
            self.probed(about, &outcome, now, out);
            return;
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.hold == Some(number) {
            endpoint.hold = None;
        }
        match outcome {
            Ok(EndpointReply::OtherIncarnation) => self.lose_endpoint(now, out),
            Err(CallFailure::Refused) => self.lose_endpoint(now, out),
            Ok(reply) => self.replied(purpose, reply, now, out),
            Err(failure) => self.unanswered(purpose, failure, now, out),
        }
        self.fill(now, out);
        self.hold(now, out);
        self.send_news(out);
    }

    pub(super) fn probed(
        &mut self,
        about: Registration,
        outcome: &Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let present = matches!(
            outcome,
            Ok(EndpointReply::Held { .. } | EndpointReply::Refused { .. })
        );
        if present {
            self.lose_endpoint(now, out);
            self.adopt(about, now, out);
        } else {
            debug!(endpoint = %about.id, ?outcome, "heartbeat of another incarnation ignored");
        }
    }

    pub(super) fn replied(
        &mut self,
        purpose: Purpose,
        reply: EndpointReply,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = &mut self.endpoint {
            let clock = match &reply {
                EndpointReply::Done { clock } | EndpointReply::Held { clock, .. } => Some(*clock),
                EndpointReply::Refused { clock, .. } => *clock,
                _ => None,
            };
            if let Some(clock) = clock {
                endpoint.clock.observe(clock, now);
            }
            endpoint.replied();
            if !endpoint.reachable {
                info!(endpoint = %endpoint.about.id, "endpoint answers again");
                endpoint.reachable = true;
                self.changed = true;
            }
        }
        match (purpose, reply) {
            (Purpose::Hold, EndpointReply::Held { running, ended, .. }) => {
                self.pause_hold(&ended, now);
                self.ended(&ended, now, out);
                self.running(&running, now, out);
            }
            (Purpose::Hold, EndpointReply::Refused { .. }) => self.raise_fence(now),
            (Purpose::Hold, _) => self.delay_hold(now),
            (Purpose::Start(task, run), EndpointReply::Done { .. }) => {
                self.started(&task, run, now);
            }
            (Purpose::Start(task, run), EndpointReply::Refused { reason, .. }) => {
                self.start_refused(&task, run, reason, now, out);
            }
            (Purpose::Start(task, run), EndpointReply::Unhealthy) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.called_unhealthy(now);
                }
                self.health.failed();
                self.not_started(&task, run, Outcome::Unavailable);
                self.return_queue(now);
            }
            (Purpose::Start(task, run), reply) => {
                warn!(%task, ?reply, "endpoint did not understand a start");
                self.not_started(&task, run, Outcome::Failed);
            }
            (Purpose::Stop(task, run), EndpointReply::Done { .. }) => {
                self.stop_confirmed(&task, run, now, out);
            }
            (Purpose::Look(task, run), EndpointReply::Held { running, ended, .. }) => {
                self.ended(&ended, now, out);
                self.looked(&task, run, &running, now);
            }
            (Purpose::Stop(..), EndpointReply::Refused { .. }) => self.raise_fence(now),
            (
                Purpose::Stop(..) | Purpose::Look(..) | Purpose::StopOrphan | Purpose::Probe(_),
                _,
            ) => {}
        }
    }

    /// Takes note that a call has no reply: what it was to do may still happen.
    pub(super) fn unanswered(
        &mut self,
        purpose: Purpose,
        failure: CallFailure,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.unanswered += 1;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.missed_reply();
        }
        match purpose {
            Purpose::Hold => self.delay_hold(now),
            Purpose::Start(task, run) => {
                let Some(known) = self.runs.get(&task) else {
                    return;
                };
                if known.number != run || known.phase != Phase::Starting {
                    return;
                }
                info!(job = %task.job, %task, run, %failure, "start unanswered, stopping the run");
                // A member of a gang has the run number of the others and is not started again.
                let then = if known.gang {
                    Then::Report(Outcome::Aborted)
                } else {
                    Then::Restart
                };
                self.end_run(&task, then, now, out);
            }
            Purpose::Stop(task, run) | Purpose::Look(task, run) => {
                if self.is_stopping(&task, run) {
                    self.delay_stop(&task, now);
                }
            }
            Purpose::StopOrphan | Purpose::Probe(_) => {}
        }
    }

    /// Puts the next hold off if this one only listed ends that are held.
    pub(super) fn pause_hold(&mut self, ended: &[EndEntry], now: Time) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let news = ended.iter().any(|end| end.number > endpoint.seen);
        if !news && !ended.is_empty() {
            endpoint.next_hold = now.after_millis(HELD_PAUSE_MS);
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    pub(super) fn delay_hold(&mut self, now: Time) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.next_hold = now.after_millis(endpoint.retry_ms());
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    /// Puts the next stop of a run off, or the next look whether it is over.
    fn delay_stop(&mut self, task: &TaskKey, now: Time) {
        let pause = self.endpoint.as_ref().map_or(0, Endpoint::retry_ms);
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if let Phase::Stopping { resend, over, .. } = &mut run.phase {
            let confirmed = *resend == Time::MAX;
            let next = if confirmed { over } else { resend };
            *next = now.after_millis(pause);
            self.next_check = self.next_check.min(*next);
        }
    }

    /// Raises the fencing token after a refusal.
    ///
    /// Only this host's process calls the endpoint, so a higher token was used by an earlier
    /// process of this agent, whose time of day was ahead.
    pub(super) fn raise_fence(&mut self, now: Time) {
        self.fence = self.fence.saturating_add(self.raise);
        self.raise = self.raise.saturating_mul(8);
        warn!(fence = self.fence, "fencing token raised");
        self.delay_hold(now);
    }

    pub(super) fn started(&mut self, task: &TaskKey, run: u32, now: Time) {
        if let Some(known) = self.runs.get_mut(task)
            && known.number == run
            && known.phase == Phase::Starting
        {
            known.phase = Phase::Running { since: now };
            known.progress = Progress::new(now);
            self.changed = true;
        }
    }

    pub(super) fn start_refused(
        &mut self,
        task: &TaskKey,
        run: u32,
        reason: StartRefusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        info!(job = %task.job, %task, run, ?reason, "start refused");
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        if known.phase != Phase::Starting {
            // It is being stopped; a refused start needs no stop.
            self.not_started(task, run, Outcome::Aborted);
            return;
        }
        if known.gang {
            if reason == StartRefusal::Fenced {
                self.raise_fence(now);
            }
            let outcome = if reason == StartRefusal::NoTicket {
                Outcome::NoTicket
            } else {
                Outcome::Aborted
            };
            self.not_started(task, run, outcome);
            return;
        }
        match reason {
            StartRefusal::OldRun | StartRefusal::LeasePassed => {
                known.number += 1;
                self.send_start(task, now, out);
            }
            StartRefusal::Fenced => {
                self.raise_fence(now);
                self.requeue(task);
            }
            StartRefusal::NoRoom => {
                // Room that an end has freed is not free for the endpoint until it lists the end.
                self.not_started(task, run, Outcome::NoRoom);
            }
            StartRefusal::NoTicket => self.not_started(task, run, Outcome::NoTicket),
            StartRefusal::Other => self.not_started(task, run, Outcome::Unavailable),
        }
    }

    pub(super) fn not_started(&mut self, task: &TaskKey, run: u32, outcome: Outcome) {
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        match known.phase {
            Phase::Stopping { then, .. } => self.stopped(task, then),
            _ => self.finish(task, Some(outcome), 0),
        }
    }

    pub(super) fn stop_confirmed(
        &mut self,
        task: &TaskKey,
        run: u32,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let stop_ms = self.options.bounds.stop_ms;
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        let Phase::Stopping { resend, over, .. } = &mut known.phase else {
            return;
        };
        if known.number != run || *resend == Time::MAX {
            return;
        }
        *resend = Time::MAX;
        // The end is listed by then.
        *over = now.after_millis(stop_ms);
        self.next_check = self.next_check.min(*over);
        // A run that never began is missing in the lists at once.
        self.look(task, run, now, out);
    }

    pub(super) fn is_stopping(&self, task: &TaskKey, run: u32) -> bool {
        self.runs.get(task).is_some_and(|known| {
            known.number == run && matches!(known.phase, Phase::Stopping { .. })
        })
    }

    /// Looks whether a run that was stopped is over.
    pub(super) fn look(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: endpoint.acked(),
            lease: None,
            wait: 0,
        };
        let purpose = Purpose::Look(task.clone(), run);
        self.call(purpose, call, HOLD_TIMEOUT_MS, now, out);
    }

    /// Takes note that a stopped run is over if it is not among those that run.
    pub(super) fn looked(&mut self, task: &TaskKey, run: u32, running: &[RunEntry], now: Time) {
        let goes_on = running
            .iter()
            .any(|entry| entry.run == run && entry.task == *task);
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if goes_on || known.number != run {
            return;
        }
        if let Phase::Stopping { then, .. } = known.phase {
            debug!(%task, run, "stopped run is over");
            self.numbers.insert(task.clone(), (run, now));
            self.stopped(task, then);
        }
    }

    pub(super) fn ended(&mut self, ended: &[EndEntry], now: Time, out: &mut Vec<Action>) {
        for end in ended {
            let Some(endpoint) = &mut self.endpoint else {
                return;
            };
            if end.number <= endpoint.seen {
                continue;
            }
            endpoint.seen = end.number;
            let task = end.task.clone();
            self.numbers.insert(task.clone(), (end.run, now));
            let own = self
                .runs
                .get(&task)
                .filter(|run| run.number == end.run && run.phase != Phase::Queued);
            // An end of an earlier process may be that of a job that is kept.
            if own.is_none_or(|run| run.kept) {
                Self::hold_end(endpoint, end, own, now);
            }
            if own.is_none() {
                continue;
            }
            if let Some(value) = &end.checkpoint {
                self.save(&task, value);
            }
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let since = match run.phase {
                Phase::Running { since } => since,
                _ => now,
            };
            let elapsed = now.millis_since(since);
            let (expected, resumed) = (run.expected, run.resumed);
            let outcome = match end.how {
                EndHow::Done => Outcome::Done,
                EndHow::Failed => Outcome::Failed,
                EndHow::Cut => Outcome::Aborted,
            };
            info!(
                target: ROUTINE,
                job = %task.job,
                %task,
                run = end.run,
                ?outcome,
                phase = run.phase.as_str(),
                elapsed_ms = elapsed,
                expected_ms = expected,
                "run ended"
            );
            if !run.resumed {
                out.push(Action::Observe { elapsed });
            }
            match (run.phase, outcome) {
                (Phase::Stopping { then, .. }, Outcome::Aborted) => {
                    self.stopped(&task, then);
                    continue;
                }
                (
                    Phase::Stopping {
                        then: Then::Forget, ..
                    },
                    _,
                ) => {
                    self.finish(&task, None, 0);
                    continue;
                }
                // The rest of a resumed run tells nothing about the endpoint.
                (Phase::Running { .. }, Outcome::Done) if !run.resumed => {
                    self.health.done(elapsed, expected);
                }
                (_, Outcome::Failed) => self.health.failed(),
                _ => {}
            }
            let whole = if resumed { 0 } else { elapsed };
            self.finish(&task, Some(outcome), whole);
        }
    }

    /// Holds the end of a run that has ended by itself.
    pub(super) fn hold_end(endpoint: &mut Endpoint, end: &EndEntry, run: Option<&Run>, now: Time) {
        let outcome = match end.how {
            EndHow::Done => Outcome::Done,
            EndHow::Failed => Outcome::Failed,
            EndHow::Cut => return,
        };
        let elapsed = match run.map(|run| run.phase) {
            Some(Phase::Running { since }) => now.millis_since(since),
            _ => 0,
        };
        let held = TaskEnd {
            task: end.task.clone(),
            outcome,
            run: end.run,
            elapsed: u32::try_from(elapsed).unwrap_or(u32::MAX),
        };
        endpoint.held.hold(end.number, held, now);
    }

    /// Tells all entries the ends that none has taken note of.
    pub(super) fn repeat_held(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let ends = endpoint.held.due(now);
        if ends.is_empty() {
            return;
        }
        for &link in self.links.up.keys() {
            let frame = AgentFrame::Held(ends.clone());
            out.push(Action::Send { link, frame });
        }
    }

    /// Compares what runs with what was started here.
    pub(super) fn running(&mut self, running: &[RunEntry], now: Time, out: &mut Vec<Action>) {
        let mut orphans = 0;
        for entry in running {
            let task = entry.task.clone();
            let own = self
                .runs
                .get(&task)
                .is_some_and(|run| run.number == entry.run && run.phase.uses_room());
            if own {
                if let Some(value) = &entry.checkpoint {
                    self.save(&task, value);
                }
                self.see_progress(entry, now, out);
                continue;
            }
            orphans += 1;
            info!(job = %task.job, %task, run = entry.run, "stopping a run of an earlier process");
            let call = EndpointCall::Stop {
                task,
                run: entry.run,
                fence: self.fence,
            };
            self.call(Purpose::StopOrphan, call, ORDER_TIMEOUT_MS, now, out);
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if orphans == 0 && !endpoint.settled {
            endpoint.settled = true;
            info!(endpoint = %endpoint.about.id, "endpoint takes tasks");
            self.changed = true;
        } else if orphans > 0 && !endpoint.settled {
            self.delay_hold(now);
        }
    }

    /// Stops a run that stands still, so that its task can run elsewhere.
    fn see_progress(&mut self, entry: &RunEntry, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&entry.task) else {
            return;
        };
        let Some(percent) = entry.progress else {
            return;
        };
        if !matches!(run.phase, Phase::Running { .. }) {
            return;
        }
        // A gang works from the moment when all of it is there.
        let waits = run.gang && percent == 0;
        if waits || !run.progress.see(percent, run.expected, now) {
            return;
        }
        let expected = run.expected;
        warn!(
            job = %entry.task.job,
            task = %entry.task,
            run = entry.run,
            percent,
            expected_ms = expected,
            "run stands still, stopping it"
        );
        self.health.failed();
        self.stalled_until = now.after_millis(STALLED_MS);
        self.changed = true;
        self.end_run(&entry.task, Then::Report(Outcome::Aborted), now, out);
    }
}
