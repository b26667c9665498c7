//! The load of each service, and the parts of its routes in it.

use std::collections::{BTreeMap, HashMap};

use fulmarpond_core::Time;

use super::estimates::Estimates;
use super::fleet::Fleet;
use super::submission::{Step, Submission};
use crate::configuration::Route;

/// The time constant of the offered work, in milliseconds.
const OFFERED_TIME_MS: f64 = 3_000.0;

/// The time constant of the mean used capacity, in milliseconds.
const USED_TIME_MS: f64 = 1_500.0;

/// The time constant with which the peak of that mean is forgotten, in milliseconds. A crash makes
/// the used capacity smaller than what is needed.
const PEAK_TIME_MS: f64 = 15_000.0;

/// A sum of which earlier parts count less and less.
#[derive(Debug)]
struct DecayingSum {
    value: f64,
    updated_at: Time,
}

impl DecayingSum {
    fn at(&self, now: Time) -> f64 {
        let elapsed_ms = now.millis_since(self.updated_at) as f64;
        self.value * (-elapsed_ms / OFFERED_TIME_MS).exp()
    }
}

/// The used CPU of a service, in thousandths of a core.
#[derive(Debug)]
struct UsedCpu {
    mean: f64,
    peak: f64,
    sampled_at: Time,
}

impl UsedCpu {
    fn sample(&mut self, cpu: f64, now: Time) {
        let elapsed_ms = now.millis_since(self.sampled_at) as f64;
        self.mean += (cpu - self.mean) * (1.0 - (-elapsed_ms / USED_TIME_MS).exp());
        self.peak = (self.peak * (-elapsed_ms / PEAK_TIME_MS).exp()).max(self.mean);
        self.sampled_at = now;
    }
}

/// The offered work of the routes at this entry, and the used capacity of the services.
#[derive(Debug, Default)]
pub(super) struct Workload {
    /// The offered work by service and route, in core-milliseconds.
    offered: HashMap<String, BTreeMap<String, DecayingSum>>,
    /// When the first job was offered.
    first_job: Option<Time>,
    /// The used CPU by service.
    used_cpu: HashMap<String, UsedCpu>,
}

impl Workload {
    /// Adds the work of a job, whether it is accepted or not.
    pub(super) fn record_job(
        &mut self,
        route: &Route,
        submission: &Submission,
        estimates: &Estimates,
        now: Time,
    ) {
        let work_of = |step: &Step| {
            let run_ms = estimates.expected_run_ms(&route.name, step.estimate);
            u64::from(step.count) * u64::from(step.needs.cpu) * u64::from(run_ms)
        };
        let steps = submission.steps.iter().filter(|step| !step.long_running);
        let work: u64 = steps.map(work_of).sum();
        self.first_job.get_or_insert(now);
        let routes = self.offered.entry(route.service.clone()).or_default();
        let sum = routes.entry(route.name.clone()).or_insert(DecayingSum {
            value: 0.0,
            updated_at: now,
        });
        *sum = DecayingSum {
            value: sum.at(now) + work as f64 / 1_000.0,
            updated_at: now,
        };
    }

    /// Samples the used capacity of all services.
    pub(super) fn sample(&mut self, fleet: &Fleet, now: Time) {
        let mut used: HashMap<&str, f64> = HashMap::new();
        for view in fleet.views.values().filter(|view| !view.service.is_empty()) {
            let cpu = view.capacity.minus(view.load.free).cpu;
            *used.entry(&view.service).or_default() += f64::from(cpu);
        }
        for (service, cpu) in used {
            if let Some(known) = self.used_cpu.get_mut(service) {
                known.sample(cpu, now);
            } else {
                let first = UsedCpu {
                    mean: cpu,
                    peak: cpu,
                    sampled_at: now,
                };
                self.used_cpu.insert(service.to_owned(), first);
            }
        }
    }

    /// Returns the CPU that the other routes of a service use, in thousandths of a core.
    ///
    /// Their part in the used CPU is that in the work that is offered to this entry. All of it is
    /// theirs until that has been seen for a while.
    pub(super) fn cpu_of_others(
        &self,
        service: &str,
        is_counted: impl Fn(&str) -> bool,
        now: Time,
    ) -> f64 {
        let Some(used) = self.used_cpu.get(service) else {
            return 0.0;
        };
        let (mut others, mut all) = (0.0, 0.0);
        for (route, sum) in self.offered.get(service).into_iter().flatten() {
            let work = sum.at(now);
            all += work;
            if is_counted(route) {
                others += work;
            }
        }
        let is_new = |first: Time| now.millis_since(first) < OFFERED_TIME_MS as u64;
        if self.first_job.is_none_or(is_new) {
            used.peak
        } else if all > 0.0 {
            used.peak * others / all
        } else {
            0.0
        }
    }
}
