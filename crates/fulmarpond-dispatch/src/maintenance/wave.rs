//! A wave of maintenance and the progress of its hosts.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::call::{HostState, ListedHost};
use crate::EndpointId;

/// The maximum time that a host is drained before its maintenance, in milliseconds: most tasks end
/// within it.
const MAX_DRAIN_MS: u64 = 4_000;

/// The minimum of the time limit for draining a host, in milliseconds.
const MIN_DRAIN_MS: u64 = 500;

/// The delay before a postponed host is drained again, in milliseconds.
const POSTPONE_MS: u64 = 1_000;

/// The time after the reply to an order from which a host that still runs the same endpoint counts
/// as done, in milliseconds. An order for a host that was maintained before gets the same reply but
/// has no effect.
const UNCHANGED_MS: u64 = 1_000;

/// A set of hosts whose maintenance the operator has requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// The number of the wave.
    pub number: u64,
    /// The names of the hosts.
    pub hosts: Vec<String>,
    /// The time within which all of them are to be maintained, in milliseconds.
    pub within_ms: u64,
    /// The maximum number of them that may be out of service at a time.
    pub max_out_of_service: usize,
}

/// What a draining endpoint still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Nothing.
    None,
    /// Tasks that end by themselves, or unknown ones.
    Ending,
    /// Tasks that run until they are stopped.
    LongRunning,
}

/// The step that the maintenance of a host has reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    /// It waits to be drained, from this time at the earliest.
    Waiting(Time),
    /// It has been draining since this time.
    Draining(Time),
    /// Its maintenance is to be ordered, or is ordered and may have started.
    Ordered,
    /// Its maintenance has started; the endpoint is the one that it ran at that time.
    Away {
        since: Time,
        endpoint: Option<EndpointId>,
    },
    /// It is back in service, or does not exist any more.
    Done,
}

/// A wave with the progress of its hosts.
#[derive(Debug)]
pub(super) struct WaveProgress {
    pub(super) wave: Wave,
    /// Whether this entry has reported to the operator that the wave is in progress.
    pub(super) is_announced: bool,
    pub(super) steps: BTreeMap<String, Step>,
}

impl WaveProgress {
    pub(super) fn new(wave: Wave, now: Time) -> Self {
        let hosts = wave.hosts.iter().cloned();
        Self {
            is_announced: false,
            steps: hosts.map(|host| (host, Step::Waiting(now))).collect(),
            wave,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.values().all(|step| *step == Step::Done)
    }

    /// Resets all hosts that are not done, since another entry may have held the duty meanwhile.
    pub(super) fn reset_progress(&mut self, now: Time) {
        self.is_announced = false;
        for step in self.steps.values_mut() {
            if *step != Step::Done {
                *step = Step::Waiting(now);
            }
        }
    }

    /// Returns the time limit for draining a host, in milliseconds: half of the time that each
    /// round of hosts has within the wave, between fixed limits.
    pub(super) fn drain_limit_ms(&self) -> u64 {
        let rounds = self
            .steps
            .len()
            .div_ceil(self.wave.max_out_of_service.max(1))
            .max(1) as u64;
        let limit_ms = self.wave.within_ms / rounds / 2;
        limit_ms.clamp(MIN_DRAIN_MS, MAX_DRAIN_MS)
    }

    /// Marks the hosts as done that are back, or missing, in a full list requested at a given time.
    pub(super) fn apply_list(&mut self, hosts: &BTreeMap<String, ListedHost>, requested_at: Time) {
        for (name, step) in &mut self.steps {
            let host = hosts.get(name);
            let is_done = match (&*step, host) {
                (_, None) => true,
                (Step::Away { since, endpoint }, Some(host)) => {
                    let is_up = host.state == HostState::Up && host.endpoint.is_some();
                    let is_new = host.endpoint != *endpoint && requested_at > *since;
                    is_up && (is_new || requested_at >= since.after_millis(UNCHANGED_MS))
                }
                _ => false,
            };
            if is_done {
                *step = Step::Done;
            }
        }
    }

    /// Starts draining hosts, up to as many as may be out of service at a time.
    pub(super) fn drain_next(&mut self, hosts: &BTreeMap<String, ListedHost>, now: Time) {
        let draining = self.count(|step| matches!(step, Step::Draining(_)));
        let is_ready = |name: &String, step: &Step| {
            let is_up = hosts
                .get(name)
                .is_some_and(|host| host.state == HostState::Up);
            is_up && matches!(step, Step::Waiting(from) if *from <= now)
        };
        let steps = self.steps.iter_mut();
        let next = steps.filter(|(name, step)| is_ready(name, step));
        for (_, step) in next.take(self.wave.max_out_of_service.saturating_sub(draining)) {
            *step = Step::Draining(now);
        }
    }

    /// Marks drained hosts to be ordered, up to as many as may be out of service at a time. A host
    /// whose time limit is over counts as drained, and the tasks that it still runs are lost,
    /// except that a host with long-running tasks is postponed.
    pub(super) fn order_drained(
        &mut self,
        hosts: &BTreeMap<String, ListedHost>,
        now: Time,
        work: impl Fn(&str) -> Work,
    ) {
        let limit_ms = self.drain_limit_ms();
        let is_overdue = |step: &Step| match step {
            Step::Draining(since) => now.millis_since(*since) >= limit_ms,
            _ => false,
        };
        for host in self.hosts_at(is_overdue) {
            if work(&host) == Work::LongRunning {
                info!(
                    wave = self.wave.number,
                    host, "host still runs long-running tasks"
                );
                self.postpone(&host, now);
            }
        }
        let away = self.out_of_service(hosts);
        let is_drained = |name: &str, step: &Step| {
            let is_idle = matches!(step, Step::Draining(_)) && work(name) == Work::None;
            is_idle || is_overdue(step)
        };
        let steps = self.steps.iter_mut();
        let next = steps.filter(|(name, step)| is_drained(name, step));
        for (_, step) in next.take(self.wave.max_out_of_service.saturating_sub(away)) {
            *step = Step::Ordered;
        }
    }

    /// Returns the number of hosts that are out of service or ordered to be.
    ///
    /// A host that the list shows as away counts as well: it may have been ordered before this entry
    /// acquired the duty.
    fn out_of_service(&self, hosts: &BTreeMap<String, ListedHost>) -> usize {
        let is_listed_away = |name: &str| {
            let host = hosts.get(name);
            host.is_some_and(|host| host.state != HostState::Up)
        };
        let is_out = |(name, step): &(&String, &Step)| match step {
            Step::Ordered | Step::Away { .. } => true,
            Step::Done => false,
            Step::Waiting(_) | Step::Draining(_) => is_listed_away(name),
        };
        self.steps.iter().filter(is_out).count()
    }

    /// Returns the hosts whose step matches a predicate.
    pub(super) fn hosts_at(&self, matches: impl Fn(&Step) -> bool) -> Vec<String> {
        let steps = self.steps.iter().filter(|(_, step)| matches(step));
        steps.map(|(name, _)| name.clone()).collect()
    }

    /// Postpones the maintenance of a host.
    pub(super) fn postpone(&mut self, host: &str, now: Time) {
        if let Some(step) = self.steps.get_mut(host) {
            *step = Step::Waiting(now.after_millis(POSTPONE_MS));
        }
    }

    pub(super) fn set_step(&mut self, host: &str, new: Step) {
        if let Some(step) = self.steps.get_mut(host) {
            *step = new;
        }
    }

    fn count(&self, matches: impl Fn(&Step) -> bool) -> usize {
        self.steps.values().filter(|step| matches(step)).count()
    }
}
