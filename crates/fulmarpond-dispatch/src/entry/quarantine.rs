//! Quarantine of routes whose tasks crash endpoints.
//!
//! Each crash takes an endpoint away for seconds, and every job that crashes endpoints needs two
//! crashes until it is given up. So while a route has such jobs, its tasks run only on a part of the
//! endpoints. The others are protected: as many as the other routes of the service need. The
//! quarantine ends when no crash was attributed to the route for a while.
//!
//! All entries see the same crashes and rank hosts alike, so they protect nearly the same ones.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::entry::Entry;
use super::job::Job;
use super::workload::Workload;
use crate::{LinkNo, rendezvous};

/// How long a route is quarantined after the last crash that is attributed to it, in milliseconds:
/// longer than an endpoint takes to return, so that its tasks have run again meanwhile.
const QUARANTINE_MS: u64 = 6_000;

/// The share of a crash that must be attributed to a quarantined route to prolong its quarantine.
const PROLONGING_SHARE: f64 = 0.3;

/// The probability that a job of a quarantined route crashes endpoints, before any crash.
pub(super) const QUARANTINED_PROBABILITY: f64 = 0.05;

/// The utilization of protected endpoints up to which their number suffices.
const PROTECTED_UTILIZATION: f64 = 0.85;

/// One of this many endpoints, at least, is left to quarantined routes.
const MIN_QUARANTINE_DIVISOR: usize = 10;

/// The penalty for the tasks of other routes at an endpoint that is not protected, in milliseconds.
pub(super) const UNPROTECTED_COST_MS: f64 = 500.0;

/// The interval at which endpoints that the other routes need no more are left to quarantined routes, in
/// milliseconds.
const RELEASE_INTERVAL_MS: u64 = 2_000;

/// The interval between two choices of the protected hosts, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 500;

/// A quarantined route.
#[derive(Debug)]
struct QuarantinedRoute {
    service: String,
    until: Time,
}

/// The protected endpoints of a service that has quarantined routes.
#[derive(Debug, Default)]
struct Protection {
    hosts: BTreeSet<String>,
    /// The number of endpoints that the other routes need. It falls by one at a time.
    needed: usize,
    /// When it may fall next.
    next_release: Time,
}

impl Protection {
    /// Adjusts the number of protected endpoints to those that the other routes need now: at once if
    /// they need more, slowly if they need fewer, since a crash makes what they use smaller for a while.
    fn adjust(&mut self, needed: usize, now: Time) {
        if needed >= self.needed {
            self.needed = needed;
            self.next_release = now.after_millis(QUARANTINE_MS);
        } else if now >= self.next_release {
            self.needed -= 1;
            self.next_release = now.after_millis(RELEASE_INTERVAL_MS);
        }
    }
}

/// The quarantined routes and the endpoints that are protected from them.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    routes: BTreeMap<String, QuarantinedRoute>,
    protections: HashMap<String, Protection>,
    /// When the endpoints of hosts crashed last.
    crashed_hosts: HashMap<String, Time>,
    next_update: Time,
}

impl Quarantine {
    /// Returns whether a route is quarantined.
    pub(super) fn contains(&self, route: &str) -> bool {
        self.routes.contains_key(route)
    }

    /// Returns the number of quarantined routes.
    pub(super) fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether an endpoint of a service is protected.
    pub(super) fn is_protected(&self, service: &str, host: &str) -> bool {
        let protection = self.protections.get(service);
        protection.is_some_and(|protection| protection.hosts.contains(host))
    }

    /// Returns whether some endpoints of a service are protected.
    fn protects(&self, service: &str) -> bool {
        let protection = self.protections.get(service);
        protection.is_some_and(|protection| !protection.hosts.is_empty())
    }

    /// Records the crash of an endpoint.
    pub(super) fn record_crash(&mut self, host: &str, crashed_at: Time, now: Time) {
        self.crashed_hosts.insert(host.to_owned(), crashed_at);
        self.next_update = now;
    }

    /// Quarantines a route, if some of its jobs are known to crash endpoints, or prolongs its
    /// quarantine by a crash of which `share` is attributed to it.
    pub(super) fn record_share(
        &mut self,
        route: &str,
        service: &str,
        share: f64,
        is_known: bool,
        crashed_at: Time,
    ) {
        let until = crashed_at.after_millis(QUARANTINE_MS);
        if let Some(known) = self.routes.get_mut(route) {
            if share >= PROLONGING_SHARE {
                known.until = known.until.max(until);
            }
        } else if is_known {
            warn!(
                route,
                service, "tasks of a route crash endpoints, quarantining it"
            );
            let quarantined = QuarantinedRoute {
                service: service.to_owned(),
                until,
            };
            self.routes.insert(route.to_owned(), quarantined);
        }
    }

    /// Ends quarantines that are over; returns whether the protected hosts are to be chosen again.
    fn expire(&mut self, now: Time) -> bool {
        if now < self.next_update {
            return false;
        }
        self.next_update = now.after_millis(UPDATE_INTERVAL_MS);
        self.crashed_hosts
            .retain(|_, at| now.millis_since(*at) < QUARANTINE_MS);
        self.routes.retain(|route, quarantined| {
            let is_over = now >= quarantined.until;
            if is_over {
                info!(route, "quarantine is over");
            }
            !is_over
        });
        let routes = &self.routes;
        let has_route = |service: &str| routes.values().any(|known| known.service == service);
        self.protections.retain(|service, _| has_route(service));
        true
    }

    /// Chooses the protected endpoints of a service: those that did not crash lately, in an order
    /// that is the same for all entries.
    fn protect(&mut self, service: &str, up: &[(&str, u32)], workload: &Workload, now: Time) {
        let is_other = |route: &str| !self.routes.contains_key(route);
        let cpu = workload.cpu_of_others(service, is_other, now);
        let capacity: f64 = up.iter().map(|(_, cpu)| f64::from(*cpu)).sum();
        let mean_capacity = capacity / up.len().max(1) as f64;
        let is_down = |host: &&String| up.iter().all(|(other, _)| other != host);
        let total = up.len() + self.crashed_hosts.keys().filter(is_down).count();
        let most = total - total.div_ceil(MIN_QUARANTINE_DIVISOR);
        let needed = (cpu / (PROTECTED_UTILIZATION * mean_capacity.max(1.0))).ceil() as usize;
        let mut ranked: Vec<&str> = up.iter().map(|(host, _)| *host).collect();
        ranked.sort_by_key(|host| {
            let crashed_at = self.crashed_hosts.get(*host).copied();
            (crashed_at, rendezvous::weight(host, service))
        });
        let protection = self.protections.entry(service.to_owned()).or_default();
        protection.adjust(needed.min(most), now);
        let hosts: BTreeSet<String> = ranked
            .into_iter()
            .take(protection.needed)
            .map(str::to_owned)
            .collect();
        if hosts != protection.hosts {
            info!(
                service,
                cpu,
                up = up.len(),
                total,
                ?hosts,
                "protected endpoints changed"
            );
            protection.hosts = hosts;
        }
    }
}

impl Entry {
    /// Ends quarantines, and chooses the protected endpoints of the services that have any.
    pub(super) fn update_quarantine(&mut self, now: Time) {
        if self.quarantine.routes.is_empty() || !self.quarantine.expire(now) {
            return;
        }
        let quarantined = self.quarantine.routes.values();
        let services: BTreeSet<String> = quarantined.map(|known| known.service.clone()).collect();
        for service in services {
            let views = self.fleet.views.values();
            let of_service = views.filter(|view| view.service == service);
            let up: Vec<(&str, u32)> = of_service
                .map(|view| (view.name.as_str(), view.capacity.cpu))
                .collect();
            self.quarantine.protect(&service, &up, &self.workload, now);
        }
    }

    /// Returns whether a task of a job may run at an agent as far as quarantines are concerned.
    pub(super) fn is_outside_protection(&self, job: &Job, link: LinkNo) -> bool {
        if !self.quarantine.contains(&job.route.name) {
            return true;
        }
        let host = self.fleet.name(link);
        !self.quarantine.is_protected(&job.route.service, host)
    }

    /// Returns the penalty for running a task of a job at an endpoint that quarantined routes use,
    /// in milliseconds.
    pub(super) fn quarantine_cost_ms(&self, job: &Job, link: LinkNo) -> f64 {
        let service = &job.route.service;
        if self.quarantine.protects(service)
            && !self.quarantine.contains(&job.route.name)
            && !self.quarantine.is_protected(service, self.fleet.name(link))
        {
            UNPROTECTED_COST_MS
        } else {
            0.0
        }
    }

    /// Returns whether the route of a job is quarantined and none of the endpoints that are left to
    /// it takes tasks.
    pub(super) fn is_shut_out(&self, job: &Job) -> bool {
        let mut views = self.fleet.views.iter();
        self.quarantine.contains(&job.route.name)
            && !views.any(|(&link, view)| {
                view.serves(&job.route.service) && self.is_outside_protection(job, link)
            })
    }
}
