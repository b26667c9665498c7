//! The lasting speeds of endpoints and of their kinds.
//!
//! It addresses services whose kinds of endpoints differ in speed for good, such as kinds with run
//! times of 0.7, 0.7 and 1.7 times the nominal one: a task must not be sent to a slow kind if it
//! misses its objective there, and must not wait for a fast one if it does not need it. Where all
//! endpoints differ by less than a tenth, all factors are exactly 1.
//!
//! Agents measure the speeds and keep them; an entry derives the rest from what they report, so that
//! its loss costs nothing. Speeds are logarithms of run time ratios here.

use std::collections::{BTreeMap, HashMap};

use fulmarpond_core::Time;
use tracing::info;

use super::fleet::{AgentView, Fleet};

/// The interval between two derivations, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 250;

/// The number of samples whose weight the speed of the kind has in that of an endpoint. With samples
/// that vary by half of their value, the speed of an endpoint then differs from that of its kind by
/// some 2 % by chance, whatever the number of its own samples.
const PRIOR_SAMPLES: f64 = 128.0;

/// The number of samples whose weight the speed of the service has in that of a kind.
const KIND_PRIOR_SAMPLES: f64 = 256.0;

/// The number of samples of a service from which speeds are used.
const MIN_SERVICE_SAMPLES: u32 = 256;

/// The ratio up to which speeds count as equal.
const EQUAL_RATIO: f64 = 1.1;

/// The change of the speed of a kind that is logged. It exceeds [`EQUAL_RATIO`], so that a kind
/// at this limit is not logged again and again.
const LOGGED_RATIO: f64 = 1.15;

/// How long after the first derivation the nominal speed follows the median at once, in
/// milliseconds: until all agents have reported their speeds.
const SETTLING_MS: u64 = 3_000;

/// The largest change of the nominal speed in one derivation. The median may jump from one kind to
/// another when an endpoint is lost; the factors of routes, which are relative to it, follow within
/// tenths of a second.
const MAX_REFERENCE_STEP: f64 = 0.02;

/// The usage of the fast endpoints from which they need relief, and from which they need it most.
const RELIEF_USAGE: (f64, f64) = (0.5, 0.8);

/// The speeds of the endpoints of a service.
#[derive(Debug)]
struct ServiceSpeeds {
    /// The speed of the nominal endpoint.
    reference: f64,
    /// Until when the reference follows the median at once.
    settled_at: Time,
    relief: f64,
    /// The run time factors of kinds that were logged last.
    logged: BTreeMap<String, f64>,
}

/// The speed of an endpoint as an entry uses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownSpeed {
    /// The host name of its agent.
    pub agent: String,
    /// The label that counts as its kind; empty if none does.
    pub kind: String,
    /// The ratio of run times to those on the nominal endpoint of the service, in thousandths.
    pub run_permille: u32,
    /// The number of samples that its agent has measured; with few of them, the ratio is that of
    /// the kind.
    pub samples: u32,
}

/// The speeds of all endpoints, relative to the nominal one of their service.
#[derive(Debug, Default)]
pub(super) struct EndpointSpeeds {
    services: HashMap<String, ServiceSpeeds>,
    is_outdated: bool,
    next_update: Time,
}

impl EndpointSpeeds {
    /// Records that reported speeds, labels or capacities have changed.
    pub(super) const fn mark_outdated(&mut self) {
        self.is_outdated = true;
    }

    /// Returns how much the fast endpoints of a service need relief, from 0 to 1.
    pub(super) fn relief(&self, service: &str) -> f64 {
        let speeds = self.services.get(service);
        speeds.map_or(0.0, |speeds| speeds.relief)
    }

    /// Returns the speeds of all endpoints of the linked agents.
    pub(super) fn known(&self, fleet: &Fleet) -> Vec<KnownSpeed> {
        let mut known = Vec::new();
        for service in self.services.keys() {
            let views = fleet.views.values();
            let views: Vec<&AgentView> = views.filter(|view| view.service == *service).collect();
            for (view, kind) in views.iter().zip(kinds(&views)) {
                known.push(KnownSpeed {
                    agent: view.name.clone(),
                    kind,
                    run_permille: (view.run_factor * 1_000.0).round() as u32,
                    samples: view.reported_speed.samples,
                });
            }
        }
        known.sort_by(|one, other| one.agent.cmp(&other.agent));
        known
    }

    /// Derives the speeds of all endpoints from the reported ones, if it is due.
    pub(super) fn update(&mut self, fleet: &mut Fleet, now: Time) {
        if now < self.next_update {
            return;
        }
        self.next_update = now.after_millis(UPDATE_INTERVAL_MS);
        if self.is_outdated {
            self.is_outdated = false;
            let mut by_service: BTreeMap<String, Vec<&mut AgentView>> = BTreeMap::new();
            for view in fleet.views.values_mut() {
                let known = by_service.get_mut(&view.service);
                match known {
                    Some(views) => views.push(view),
                    None => {
                        by_service.insert(view.service.clone(), vec![view]);
                    }
                }
            }
            self.services
                .retain(|service, _| by_service.contains_key(service));
            for (service, mut views) in by_service {
                self.update_service(service, &mut views, now);
            }
        }
        for (service, speeds) in &mut self.services {
            speeds.relief = relief(fleet, service);
        }
    }

    fn update_service(&mut self, service: String, views: &mut [&mut AgentView], now: Time) {
        let samples = views.iter().map(|view| view.reported_speed.samples);
        if samples.sum::<u32>() < MIN_SERVICE_SAMPLES {
            for view in views {
                view.run_factor = 1.0;
            }
            self.services.remove(&service);
            return;
        }
        let shared: Vec<&AgentView> = views.iter().map(|view| &**view).collect();
        let (logs, kinds) = derive_speeds(&shared);
        let target = median(logs.iter().map(|speed| speed.endpoint).collect());
        let speeds = self.services.entry(service).or_insert(ServiceSpeeds {
            reference: target,
            settled_at: now.after_millis(SETTLING_MS),
            relief: 0.0,
            logged: BTreeMap::new(),
        });
        let step = target - speeds.reference;
        if now >= speeds.settled_at && step.abs() > MAX_REFERENCE_STEP {
            speeds.reference += MAX_REFERENCE_STEP.copysign(step);
            self.is_outdated = true;
        } else {
            speeds.reference = target;
        }
        for (view, speed) in views.iter_mut().zip(&logs) {
            let log = if are_equal(speed.endpoint, speed.kind) {
                speed.kind
            } else {
                speed.endpoint
            };
            view.run_factor = relative_factor(log, speeds.reference);
        }
        speeds.log_kinds(&kinds);
    }
}

impl ServiceSpeeds {
    /// Logs the kinds whose speed has changed.
    fn log_kinds(&mut self, kinds: &BTreeMap<String, f64>) {
        for (kind, &log) in kinds {
            let factor = relative_factor(log, self.reference);
            let logged = self.logged.get(kind).copied().unwrap_or(1.0);
            if (factor / logged).ln().abs() > LOGGED_RATIO.ln() {
                info!(kind, run_factor = factor, "speed of a kind of endpoints");
                self.logged.insert(kind.clone(), factor);
            }
        }
    }
}

/// The speed of an endpoint and of its kind.
#[derive(Debug, Clone, Copy)]
struct DerivedSpeed {
    endpoint: f64,
    kind: f64,
}

/// Returns the speeds of endpoints, in their order, and of their kinds.
fn derive_speeds(views: &[&AgentView]) -> (Vec<DerivedSpeed>, BTreeMap<String, f64>) {
    let kinds = kinds(views);
    let mut of_kind: BTreeMap<&str, Vec<(f64, u32)>> = BTreeMap::new();
    let mut all = Vec::new();
    for (view, kind) in views.iter().zip(&kinds) {
        if let Some(log) = reported_log(view) {
            let sample = (log, view.reported_speed.samples);
            of_kind.entry(kind).or_default().push(sample);
            all.push(sample);
        }
    }
    let overall = weighted_median(&mut all);
    let kind_logs: BTreeMap<String, f64> = of_kind
        .into_iter()
        .map(|(kind, mut samples)| {
            let count: u32 = samples.iter().map(|(_, count)| count).sum();
            let log = shrink(
                weighted_median(&mut samples),
                count,
                overall,
                KIND_PRIOR_SAMPLES,
            );
            (kind.to_owned(), log)
        })
        .collect();
    let speeds = views.iter().zip(&kinds).map(|(view, kind)| {
        let kind = kind_logs.get(kind.as_str()).copied().unwrap_or(overall);
        let endpoint = reported_log(view).map_or(kind, |log| {
            shrink(log, view.reported_speed.samples, kind, PRIOR_SAMPLES)
        });
        DerivedSpeed { endpoint, kind }
    });
    (speeds.collect(), kind_logs)
}

/// Returns the kind of each endpoint: of its labels the one that most endpoints carry, and the
/// first of these in the order of the alphabet. A label that all endpoints carry tells nothing; an
/// endpoint without another one is of the kind with the empty name.
fn kinds(views: &[&AgentView]) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for label in views.iter().flat_map(|view| &view.labels) {
        *counts.entry(label).or_default() += 1;
    }
    let kind = |view: &&AgentView| {
        let labels = view.labels.iter();
        let telling = labels.filter(|label| counts[label.as_str()] < views.len());
        let most = telling.max_by(|one, other| {
            let order = counts[one.as_str()].cmp(&counts[other.as_str()]);
            order.then_with(|| other.cmp(one))
        });
        most.cloned().unwrap_or_default()
    };
    views.iter().map(kind).collect()
}

fn reported_log(view: &AgentView) -> Option<f64> {
    let speed = view.reported_speed;
    (speed.samples > 0 && speed.run_permille > 0)
        .then(|| (f64::from(speed.run_permille) / 1_000.0).ln())
}

/// Returns a measured value, moved toward the prior the more the fewer samples it has.
fn shrink(measured: f64, samples: u32, prior: f64, prior_samples: f64) -> f64 {
    let weight = f64::from(samples) / (f64::from(samples) + prior_samples);
    prior + (measured - prior) * weight
}

/// Returns the median of values with weights; 0 without values. A single endpoint in trouble does
/// not change the median of its kind.
fn weighted_median(values: &mut [(f64, u32)]) -> f64 {
    values.sort_by(|one, other| one.0.total_cmp(&other.0));
    let total: u64 = values.iter().map(|&(_, weight)| u64::from(weight)).sum();
    let mut sum = 0;
    for &(value, weight) in values.iter() {
        sum += u64::from(weight);
        if 2 * sum >= total {
            return value;
        }
    }
    0.0
}

/// Returns the lower median; 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or_default()
}

fn are_equal(one: f64, other: f64) -> bool {
    (one - other).abs() < EQUAL_RATIO.ln()
}

/// Returns the ratio of run times to nominal ones; exactly 1 for speeds that count as equal.
fn relative_factor(log: f64, reference: f64) -> f64 {
    if are_equal(log, reference) {
        1.0
    } else {
        (log - reference).exp()
    }
}

/// Returns how much the fast endpoints of a service need relief: not at all if they are half idle
/// or if no endpoint is slow.
fn relief(fleet: &Fleet, service: &str) -> f64 {
    let (mut free, mut capacity, mut any_slow) = (0.0, 0.0, false);
    for view in fleet.views.values().filter(|view| view.serves(service)) {
        if view.run_factor > 1.0 {
            any_slow = true;
        } else {
            free += f64::from(view.load.free.cpu);
            capacity += f64::from(view.capacity.cpu);
        }
    }
    if !any_slow || capacity == 0.0 {
        return 0.0;
    }
    let usage = 1.0 - free / capacity;
    let (low, high) = RELIEF_USAGE;
    ((usage - low) / (high - low)).clamp(0.0, 1.0)
}
