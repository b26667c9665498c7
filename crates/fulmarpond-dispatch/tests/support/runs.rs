//! Calls to the simulated endpoints, their runs and heartbeats.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    CallFailure, CallNo, EndHow, EndpointCall, EndpointReply, StartRefusal,
};
use fulmarpond_dispatch::{Needs, Registration, TaskKey};
use rand::RngExt;

use super::callers::TASK_MEMORY;
use super::endpoint::{Effect, RESTORE_MS, Trouble, Waiting, Work};
use super::world::{BEAT_MS, DRAIN_MS, Event, LOCAL_US, STOP_MS, World};

/// Delay of a late order, in milliseconds.
const LATE_MS: u64 = 2_000;

impl World {
    pub(super) fn arrive(
        &mut self,
        agent: usize,
        life: u32,
        number: CallNo,
        call: EndpointCall,
        tries: u64,
        same: bool,
    ) {
        let endpoint = &self.endpoints[agent];
        if matches!(endpoint.trouble, Trouble::Gone | Trouble::Silent) && tries == 0 {
            return;
        }
        if !same {
            let reply = Ok(EndpointReply::OtherIncarnation);
            self.after_us(LOCAL_US, Event::Answer(agent, life, number, reply));
            return;
        }
        let percent = match endpoint.trouble {
            Trouble::LateOrders(percent) if tries == 0 => percent,
            _ => 0,
        };
        if self.rng.random_range(0..100) < percent {
            let late = Event::Arrive(agent, life, number, call, 1, same);
            self.after_ms(LATE_MS, late);
            return;
        }
        self.endpoints[agent].calls += 1;
        let endpoint = &self.endpoints[agent];
        if let Trouble::Reset(percent) = endpoint.trouble
            && self.rng.random_range(0..100) < percent
        {
            let reset = Err(CallFailure::NoReply);
            self.after_us(LOCAL_US, Event::Answer(agent, life, number, reset));
            if self.rng.random_range(0..2) == 0 {
                return;
            }
        }
        let endpoint = &self.endpoints[agent];
        let lost = match endpoint.trouble {
            Trouble::LostReplies(percent) => self.rng.random_range(0..100) < percent,
            _ => false,
        };
        if self.lacks_ticket(agent, &call) {
            let clock = Some(self.endpoints[agent].clock(self.now));
            let refused = EndpointReply::Refused {
                clock,
                reason: StartRefusal::NoTicket,
            };
            self.history.rejected += 1;
            self.after_us(LOCAL_US, Event::Answer(agent, life, number, Ok(refused)));
            return;
        }
        let work = self.work(agent, &call);
        let now = self.now;
        let (reply, effect) = self.endpoints[agent].carry_out(&call, work, now);
        for (task, run) in std::mem::take(&mut self.endpoints[agent].noted) {
            // A job that is not persisted may be run again from the start.
            if self.options.kept {
                self.history.noted(&task, agent, run);
            }
        }
        let incarnation = self.endpoints[agent].incarnation;
        match effect {
            Effect::None => {}
            Effect::Started(task) => self.started(agent, &task, work.ends),
            Effect::Stopped(task) => {
                self.check_available(agent, &task);
                let run = self.endpoints[agent].runs[&task].number;
                let wait = self.rng.random_range(1..=STOP_MS);
                self.after_ms(wait, Event::StopEnds(agent, incarnation, task, run));
            }
        }
        self.plan_lapse(agent);
        if lost || tries > 0 {
            return;
        }
        if let EndpointCall::Hold { wait, .. } = call
            && wait > 0
            && matches!(reply, EndpointReply::Held { .. })
            && !self.endpoints[agent].has_ends()
        {
            self.next += 1;
            let hold = self.next;
            self.holds.insert(hold, (agent, life, number));
            let until = self.now.after_millis(wait);
            self.endpoints[agent]
                .waiting
                .push(Waiting { call: hold, until });
            self.at(until, Event::HoldEnds(agent, incarnation, hold));
            return;
        }
        self.after_us(LOCAL_US, Event::Answer(agent, life, number, Ok(reply)));
    }

    pub(super) fn work(&mut self, agent: usize, call: &EndpointCall) -> Work {
        let EndpointCall::Start {
            task, checkpoint, ..
        } = call
        else {
            return Work {
                needs: Needs::default(),
                ends: self.now,
                saved: None,
                long_running: false,
            };
        };
        let demand = self.demand(&task.job);
        let spread = self.options.spread;
        let factor = self.rng.random_range(1.0 / spread..=spread);
        let slow = match self.endpoints[agent].trouble {
            Trouble::Slow(times) => f64::from(times),
            Trouble::Fail => 0.0,
            _ => 1.0,
        };
        // Tasks that save checkpoints have a fixed amount of work.
        let factor = if demand.saves { 1.0 } else { factor };
        let saved = demand
            .saves
            .then(|| self.history.resumed(task, checkpoint.as_deref()));
        let whole = f64::from(demand.run_ms) * factor;
        let left = match saved {
            Some(done) if done > 0 => (whole - done as f64).max(0.0) + RESTORE_MS as f64,
            _ => whole,
        };
        let run_us = left * 1_000.0 * slow;
        // The end of a gang is set when its last member starts.
        let fails = self.endpoints[agent].trouble == Trouble::Fail;
        let hangs = self.endpoints[agent].trouble == Trouble::Hang;
        let ends = if demand.gang || demand.long_running && !fails || hangs {
            Time::MAX
        } else {
            self.now.after_micros(run_us as u64 + 1_000)
        };
        let needs = Needs {
            cpu: demand.cpu,
            memory: TASK_MEMORY,
            accelerators: 0,
        };
        Work {
            needs,
            ends,
            saved,
            long_running: demand.long_running,
        }
    }

    /// Checks that stopping a working long-running task leaves enough other tasks of its job at
    /// work.
    pub(super) fn check_available(&mut self, agent: usize, task: &TaskKey) {
        let demand = self.demand(&task.job);
        let works = self.endpoints[agent].runs[task].is_working(self.now);
        if !works || self.history.cancelled.contains(&task.job) {
            return;
        }
        let others = (0..demand.tasks).map(|index| TaskKey {
            index,
            ..task.clone()
        });
        let away = others.filter(|other| other != task && self.is_stopped(other));
        let away = away.count();
        let draining = self.endpoints[agent].draining;
        if !draining
            && demand
                .may_miss
                .is_some_and(|most| away >= usize::from(most))
        {
            let at = self.elapsed_ms();
            self.history.broken.push(format!(
                "{task} was stopped at {at} ms while {away} other tasks of its job were stopped"
            ));
        }
        let number = self.endpoints[agent].runs[task].number;
        self.history.stopped.insert(task.clone(), (agent, number));
    }

    /// Returns whether a task was stopped and no later run of it is working yet.
    fn is_stopped(&self, task: &TaskKey) -> bool {
        let Some(&stopped) = self.history.stopped.get(task) else {
            return false;
        };
        let endpoints = self.endpoints.iter().enumerate();
        let mut runs = endpoints.filter_map(|(agent, at)| Some((agent, at.runs.get(task)?)));
        !runs.any(|(agent, run)| (agent, run.number) != stopped && run.is_working(self.now))
    }

    pub(super) fn started(&mut self, agent: usize, task: &TaskKey, ends: Time) {
        let at = self.elapsed_ms();
        tracing::debug!(%task, "endpoint starts a run");
        self.check_due(task);
        self.history.started(task, agent, at);
        if let Some(&drained) = self.drained.get(&agent) {
            let restarted = self.restarted[&agent];
            if self.now > drained.after_millis(DRAIN_MS) && self.now > restarted.after_millis(3_000)
            {
                self.history.broken.push(format!(
                    "{task} started at {at} ms at endpoint {agent}, which is draining"
                ));
            }
        }
        if ends < Time::MAX {
            self.at(ends, Event::Check(agent));
        }
        if self.demand(&task.job).gang {
            self.member_started(agent, task);
        }
    }

    pub(super) fn plan_lapse(&mut self, agent: usize) {
        // Frequent checks detect the expiry of a lease within a few milliseconds.
        if !self.endpoints[agent].runs.is_empty() {
            self.after_ms(5, Event::Check(agent));
        }
        // A long run has no end in the near future that would trigger a check.
        if let Some(lapse) = self.endpoints[agent].long_lapse(self.now) {
            self.at(lapse, Event::Lapse(agent));
        }
    }

    /// Ends all runs of an endpoint if its lease has expired.
    pub(super) fn lapse(&mut self, agent: usize) {
        for task in self.endpoints[agent].lapsed(self.now) {
            self.end_run(agent, &task, EndHow::Cut);
        }
    }

    pub(super) fn check_endpoint(&mut self, agent: usize) {
        let now = self.now;
        self.lapse(agent);
        let ended: Vec<TaskKey> = self.endpoints[agent]
            .runs
            .iter()
            .filter(|(_, run)| run.ends <= now)
            .map(|(task, _)| task.clone())
            .collect();
        let fails = self.endpoints[agent].trouble == Trouble::Fail;
        for task in ended {
            // A long-running task ends by itself only by failing, even if the fault that caused it
            // is over.
            let run = self.endpoints[agent].runs.get(&task);
            let failed = fails || run.is_some_and(|run| run.long_running);
            let how = if failed { EndHow::Failed } else { EndHow::Done };
            self.end_run(agent, &task, how);
        }
        let pending = self.queue.len() < 50_000;
        if pending && !self.endpoints[agent].runs.is_empty() && self.rng.random_range(0..4) == 0 {
            self.after_ms(5, Event::Check(agent));
        }
    }

    pub(super) fn end_run(&mut self, agent: usize, task: &TaskKey, how: EndHow) {
        let now = self.now;
        let gang = self.gang_of(agent, task);
        if !self.endpoints[agent].end(task, how, now) {
            return;
        }
        let at = self.elapsed_ms();
        tracing::debug!(%task, ?how, "endpoint ends a run");
        self.history.ended(task, agent, how, at);
        let waiting = std::mem::take(&mut self.endpoints[agent].waiting);
        for hold in waiting {
            self.answer_hold(agent, hold.call);
        }
        if let Some(gang) = gang {
            self.end_gang(&gang, how);
        }
    }

    pub(super) fn hold_ends(&mut self, agent: usize, incarnation: u32, call: u64) {
        if self.endpoints[agent].incarnation == incarnation {
            self.endpoints[agent]
                .waiting
                .retain(|hold| hold.call != call);
            self.answer_hold(agent, call);
        }
    }

    pub(super) fn answer_hold(&mut self, agent: usize, call: u64) {
        if let Some((owner, life, number)) = self.holds.remove(&call) {
            let reply = Ok(self.endpoints[agent].lists(self.now));
            self.after_us(LOCAL_US, Event::Answer(owner, life, number, reply));
        }
    }

    pub(super) fn call_answered(
        &mut self,
        agent: usize,
        life: u32,
        number: CallNo,
        outcome: Result<EndpointReply, CallFailure>,
    ) {
        if self.agents[agent].life != life {
            return;
        }
        let event = Event::Answer(agent, life, number, outcome.clone());
        if self.put_off(self.agents[agent].paused, &event) {
            return;
        }
        // Only the first outcome of a call is delivered: its reply or its time-out.
        if self.answered.insert((agent, life, number)) {
            self.with_agent(agent, |core, now, out| {
                core.answered(number, outcome, now, out);
            });
        }
    }

    pub(super) fn beat(&mut self, agent: usize, incarnation: u32) {
        if self.endpoints[agent].incarnation != incarnation {
            return;
        }
        self.after_ms(BEAT_MS, Event::Beat(agent, incarnation));
        if matches!(
            self.endpoints[agent].trouble,
            Trouble::Gone | Trouble::Silent
        ) {
            return;
        }
        let node = &self.agents[agent];
        if node.core.is_none() || node.paused > self.now {
            return;
        }
        if self.endpoints[agent].draining {
            let now = self.now;
            self.drained.entry(agent).or_insert(now);
        }
        let about: Registration = self.endpoints[agent].registration();
        self.with_agent(agent, |core, now, out| core.beat(about, now, out));
    }
}
