//! The linked agents and their load, as known to the entry.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::Time;

use super::sent_work::{SentTask, SentWork};
use super::zone_return::ZoneReturn;
use crate::{Class, EndpointId, EndpointSpeed, EndpointStatus, Incarnation, LinkNo, Resources};

/// The known state of an agent and its endpoint.
#[derive(Debug)]
pub(super) struct AgentView {
    pub(super) name: String,
    pub(super) zone: String,
    /// The version of the configuration that the agent holds.
    pub(super) held_version: u64,
    /// The version of the configuration that was last offered to the agent.
    pub(super) offered_version: u64,
    pub(super) endpoint: Incarnation,
    pub(super) service: String,
    pub(super) capacity: Resources,
    pub(super) labels: Vec<String>,
    pub(super) load: EndpointStatus,
    /// The lasting speed that the agent has reported.
    pub(super) reported_speed: EndpointSpeed,
    /// The lasting ratio of run times at this endpoint to those on the nominal endpoint of its
    /// service.
    pub(super) run_factor: f64,
    /// When its last status arrived.
    pub(super) last_status_at: Time,
    /// Whether its zone is evacuated.
    pub(super) is_evacuated: bool,
    /// The return of its zone from an evacuation.
    pub(super) zone_return: ZoneReturn,
    /// Until when its endpoint is cold.
    pub(super) cold_until: Time,
    orders_sent: u64,
    pub(super) unacknowledged: SentWork,
}

impl AgentView {
    /// Updates the load and drops the tasks of the first `orders` orders, which it includes.
    pub(super) fn update(&mut self, orders: u64, load: EndpointStatus, now: Time) {
        self.load = load;
        self.last_status_at = now;
        self.unacknowledged.retain(|order| order > orders);
    }

    /// Reserves capacity for a task that the next order will contain.
    pub(super) fn reserve(&mut self, class: Class, needs: Resources, expected_ms: u32) {
        self.unacknowledged.push(SentTask {
            order: self.orders_sent + 1,
            class,
            needs,
            work: u64::from(needs.cpu) * u64::from(expected_ms) / 1_000,
        });
    }

    /// Returns the run time at this endpoint of a task that takes `nominal_ms` milliseconds on a
    /// nominal endpoint, without passing slowness, in milliseconds.
    pub(super) fn lasting_run_ms(&self, nominal_ms: u32) -> u32 {
        ((f64::from(nominal_ms) * self.run_factor) as u32).max(1)
    }

    /// Counts an order that is sent.
    pub(super) fn count_order(&mut self) {
        self.orders_sent += 1;
    }

    /// Returns the free capacity after all sent and planned tasks have started.
    pub(super) fn free(&self) -> Resources {
        let free = self.zone_return.limit(self.load.free);
        free.minus(self.unacknowledged.needs())
    }

    /// Returns the capacity that is not reserved by long-running tasks.
    pub(super) fn shared_capacity(&self) -> Resources {
        self.capacity.minus(self.load.reserved)
    }

    /// Releases the capacity reserved since the last order.
    pub(super) fn release_reservations(&mut self) {
        let next_order = self.orders_sent + 1;
        self.unacknowledged.retain(|order| order < next_order);
    }

    /// Releases the most recent reservation.
    pub(super) fn release_last_reservation(&mut self) {
        self.unacknowledged.pop();
    }

    /// Returns the CPU utilization, from 0 to 1.
    pub(super) fn usage(&self) -> f64 {
        1.0 - f64::from(self.free().cpu) / f64::from(self.capacity.cpu.max(1))
    }

    /// Returns whether the endpoint is ready and its zone is not evacuated.
    pub(super) const fn takes_tasks(&self) -> bool {
        self.load.ready && !self.is_evacuated
    }

    /// Returns whether the endpoint takes tasks and belongs to a service.
    pub(super) fn serves(&self, service: &str) -> bool {
        self.takes_tasks() && self.service == service
    }
}

/// All linked agents.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) views: BTreeMap<LinkNo, AgentView>,
}

impl Fleet {
    /// Returns all labels of the endpoints of a service.
    pub(super) fn labels(&self, service: &str) -> BTreeSet<String> {
        let of_service = self.views.values().filter(|view| view.service == service);
        of_service.flat_map(|view| view.labels.clone()).collect()
    }

    pub(super) fn add_agent(
        &mut self,
        link: LinkNo,
        name: String,
        zone: String,
        version: u64,
        now: Time,
    ) {
        let view = AgentView {
            name,
            zone,
            held_version: version,
            offered_version: version,
            endpoint: Incarnation {
                id: EndpointId(String::new()),
                born: 0,
            },
            service: String::new(),
            capacity: Resources::default(),
            labels: Vec::new(),
            load: EndpointStatus::default(),
            reported_speed: EndpointSpeed::default(),
            run_factor: 1.0,
            last_status_at: now,
            is_evacuated: false,
            zone_return: ZoneReturn::default(),
            cold_until: now,
            orders_sent: 0,
            unacknowledged: SentWork::default(),
        };
        self.views.insert(link, view);
    }

    /// Returns the host name of an agent, or an empty string if there is no such link.
    pub(super) fn name(&self, link: LinkNo) -> &str {
        let view = self.views.get(&link);
        view.map_or("", |view| view.name.as_str())
    }

    /// Returns whether a service has a ready endpoint.
    pub(super) fn has_service(&self, service: &str) -> bool {
        self.views.values().any(|view| view.serves(service))
    }

    /// Returns the median slowness of the endpoints of a service, in percent.
    pub(super) fn median_slowness(&self, service: &str) -> u32 {
        let of_service = self.views.values().filter(|view| view.serves(service));
        let mut values: Vec<u32> = of_service.map(|view| view.load.slowness).collect();
        values.sort_unstable();
        values.get(values.len() / 2).copied().unwrap_or(100).max(1)
    }
}
