//! A wave of maintenance and the progress of its hosts.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::call::{HostState, ListedHost};
use crate::EndpointId;

/// The longest time that a host is drained before its maintenance, in milliseconds: most tasks end
/// within that.
const DRAIN_MS: u64 = 4_000;

/// The shortest time that a host is drained, in milliseconds.
const SHORT_DRAIN_MS: u64 = 500;

/// How long a host is left alone that could not be maintained, in milliseconds.
const BUSY_MS: u64 = 1_000;

/// A host that runs the same endpoint so long after its order was answered was maintained before, in
/// milliseconds: the answer is the same, and nothing follows.
const UNCHANGED_MS: u64 = 1_000;

/// Hosts that the operator wants maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The names of the hosts.
    pub hosts: Vec<String>,
    /// The time within which all are to be maintained, in milliseconds.
    pub within: u64,
    /// How many of them may be away at a time.
    pub most: usize,
}

/// What an endpoint that takes no tasks still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Nothing.
    None,
    /// Tasks that end by themselves, or it is not known.
    Ending,
    /// Tasks that go on until they are stopped.
    LongRunning,
}

/// How far the maintenance of a host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    /// It has to be drained, but not before this time.
    Waiting(Time),
    /// It takes no new tasks since then.
    Draining(Time),
    /// Its maintenance is ordered and may have begun.
    Ordered,
    /// Its maintenance has begun; then it ran this endpoint.
    Away {
        since: Time,
        endpoint: Option<EndpointId>,
    },
    /// It is back, or gone for good.
    Done,
}

/// A wave with the progress of its hosts.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) wave: Wave,
    /// Whether this entry has told the operator that the wave runs.
    pub(super) announced: bool,
    pub(super) steps: BTreeMap<String, Step>,
}

impl Progress {
    pub(super) fn new(wave: Wave, now: Time) -> Self {
        let hosts = wave.hosts.iter().cloned();
        Self {
            announced: false,
            steps: hosts.map(|host| (host, Step::Waiting(now))).collect(),
            wave,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.values().all(|step| *step == Step::Done)
    }

    /// Forgets what is not known for certain: another entry had the duty meanwhile.
    pub(super) fn restart(&mut self, now: Time) {
        self.announced = false;
        for step in self.steps.values_mut() {
            if *step != Step::Done {
                *step = Step::Waiting(now);
            }
        }
    }

    /// Returns how long a host is drained at most, in milliseconds.
    pub(super) fn patience(&self) -> u64 {
        let rounds = self.steps.len().div_ceil(self.wave.most.max(1)).max(1) as u64;
        let share = self.wave.within / rounds / 2;
        share.clamp(SHORT_DRAIN_MS, DRAIN_MS)
    }

    /// Takes a full list of the hosts that was asked for at a time.
    pub(super) fn listed(&mut self, hosts: &BTreeMap<String, ListedHost>, asked: Time) {
        for (name, step) in &mut self.steps {
            let host = hosts.get(name);
            let back = match (&*step, host) {
                (_, None) => true,
                (Step::Away { since, endpoint }, Some(host)) => {
                    let up = host.state == HostState::Up && host.endpoint.is_some();
                    let new = host.endpoint != *endpoint && asked > *since;
                    up && (new || asked >= since.after_millis(UNCHANGED_MS))
                }
                _ => false,
            };
            if back {
                *step = Step::Done;
            }
        }
    }

    /// Starts to drain hosts, as many as may be away: they are the next ones.
    pub(super) fn drain_next(&mut self, hosts: &BTreeMap<String, ListedHost>, now: Time) {
        let draining = self.count(|step| matches!(step, Step::Draining(_)));
        let ready = |name: &String, step: &Step| {
            let up = hosts
                .get(name)
                .is_some_and(|host| host.state == HostState::Up);
            up && matches!(step, Step::Waiting(from) if *from <= now)
        };
        let steps = self.steps.iter_mut();
        let next = steps.filter(|(name, step)| ready(name, step));
        for (_, step) in next.take(self.wave.most.saturating_sub(draining)) {
            *step = Step::Draining(now);
        }
    }

    /// Orders the maintenance of hosts that are drained, as long as not too many are away. Tasks that
    /// don't end in time are lost, but not long-running ones: their host comes later.
    pub(super) fn order_drained(&mut self, now: Time, work: impl Fn(&str) -> Work) {
        let patience = self.patience();
        let waited = |step: &Step| match step {
            Step::Draining(since) => now.millis_since(*since) >= patience,
            _ => false,
        };
        for host in self.at(waited) {
            if work(&host) == Work::LongRunning {
                info!(
                    wave = self.wave.number,
                    host, "host still runs long-running tasks"
                );
                self.put_off(&host, now);
            }
        }
        let away = self.count(|step| matches!(step, Step::Ordered | Step::Away { .. }));
        let drained = |name: &str, step: &Step| {
            let idle = matches!(step, Step::Draining(_)) && work(name) == Work::None;
            idle || waited(step)
        };
        let steps = self.steps.iter_mut();
        let next = steps.filter(|(name, step)| drained(name, step));
        for (_, step) in next.take(self.wave.most.saturating_sub(away)) {
            *step = Step::Ordered;
        }
    }

    /// Returns the hosts that are at a step.
    pub(super) fn at(&self, step: impl Fn(&Step) -> bool) -> Vec<String> {
        let steps = self.steps.iter().filter(|(_, known)| step(known));
        steps.map(|(name, _)| name.clone()).collect()
    }

    /// Puts a host off that could not be maintained.
    pub(super) fn put_off(&mut self, host: &str, now: Time) {
        if let Some(step) = self.steps.get_mut(host) {
            *step = Step::Waiting(now.after_millis(BUSY_MS));
        }
    }

    pub(super) fn set(&mut self, host: &str, new: Step) {
        if let Some(step) = self.steps.get_mut(host) {
            *step = new;
        }
    }

    fn count(&self, step: impl Fn(&Step) -> bool) -> usize {
        self.steps.values().filter(|known| step(known)).count()
    }
}
