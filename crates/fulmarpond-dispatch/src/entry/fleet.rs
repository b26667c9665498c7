//! The agents as an entry sees them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fulmarpond_core::Time;

use crate::{EndpointId, EndpointStatus, LinkNo, Needs};

/// An order that the agent's status does not reflect yet.
#[derive(Debug)]
struct Unseen {
    order: u64,
    needs: Needs,
    /// Core-milliseconds.
    work: u64,
}

/// An agent with its endpoint.
#[derive(Debug)]
pub(super) struct View {
    pub(super) name: String,
    pub(super) zone: String,
    /// The version of the configuration that it keeps.
    pub(super) version: u64,
    pub(super) endpoint: EndpointId,
    pub(super) service: String,
    pub(super) capacity: Needs,
    pub(super) labels: Vec<String>,
    pub(super) load: EndpointStatus,
    /// When its last status arrived.
    pub(super) heard: Time,
    sent: u64,
    unseen: VecDeque<Unseen>,
}

impl View {
    /// Takes a status.
    pub(super) fn status(&mut self, orders: u64, load: EndpointStatus, now: Time) {
        self.load = load;
        self.heard = now;
        self.unseen.retain(|unseen| unseen.order > orders);
    }

    /// Notes a task that is part of the next order.
    pub(super) fn planned(&mut self, needs: Needs, expected: u32) {
        self.unseen.push_back(Unseen {
            order: self.sent + 1,
            needs,
            work: u64::from(needs.cpu) * u64::from(expected) / 1_000,
        });
    }

    /// Notes that an order is sent.
    pub(super) fn ordered(&mut self) {
        self.sent += 1;
    }

    /// Returns the room that is left if all orders were started.
    pub(super) fn free(&self) -> Needs {
        let mut free = self.load.free;
        for unseen in &self.unseen {
            free = free.minus(unseen.needs);
        }
        free
    }

    /// Returns the room that tasks which end share.
    pub(super) fn shared(&self) -> Needs {
        self.capacity.minus(self.load.reserved)
    }

    /// Returns how long a task with `slack` milliseconds left would wait for room, in
    /// milliseconds.
    pub(super) fn wait(&self, needs: Needs, slack: u64) -> f64 {
        let free = self.free();
        if self.load.backlog.is_clear() && needs.fits(free) {
            return 0.0;
        }
        let cores = f64::from(self.shared().cpu.max(1)) / 1_000.0;
        let unseen: u64 = self.unseen.iter().map(|unseen| unseen.work).sum();
        let ahead = self.load.backlog.ahead(slack) + unseen;
        let next = f64::from(self.load.next_end.min(10_000));
        next + ahead as f64 / cores
    }

    /// Takes back what was planned since the last order.
    pub(super) fn forget_plan(&mut self) {
        let next = self.sent + 1;
        self.unseen.retain(|unseen| unseen.order < next);
    }

    /// Takes back the task that was planned last.
    pub(super) fn forget_last(&mut self) {
        self.unseen.pop_back();
    }

    /// Returns the share of the processor that is in use, from 0 to 1.
    pub(super) fn usage(&self) -> f64 {
        1.0 - f64::from(self.free().cpu) / f64::from(self.capacity.cpu.max(1))
    }

    /// Returns whether it can be given tasks of a service.
    pub(super) fn serves(&self, service: &str) -> bool {
        self.load.ready && self.service == service
    }
}

/// All linked agents.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) views: BTreeMap<LinkNo, View>,
}

impl Fleet {
    /// Returns the labels of a service's endpoints.
    pub(super) fn labels(&self, service: &str) -> BTreeSet<String> {
        let of_service = self.views.values().filter(|view| view.service == service);
        of_service.flat_map(|view| view.labels.clone()).collect()
    }

    pub(super) fn joined(
        &mut self,
        link: LinkNo,
        name: String,
        zone: String,
        version: u64,
        now: Time,
    ) {
        let view = View {
            name,
            zone,
            version,
            endpoint: EndpointId(String::new()),
            service: String::new(),
            capacity: Needs::default(),
            labels: Vec::new(),
            load: EndpointStatus::default(),
            heard: now,
            sent: 0,
            unseen: VecDeque::new(),
        };
        self.views.insert(link, view);
    }

    /// Returns the host name of an agent; empty if it is not linked.
    pub(super) fn name(&self, link: LinkNo) -> &str {
        let view = self.views.get(&link);
        view.map_or("", |view| view.name.as_str())
    }

    pub(super) fn has_service(&self, service: &str) -> bool {
        self.views.values().any(|view| view.serves(service))
    }

    /// Returns the median slowness of the endpoints of a service, in percent.
    pub(super) fn usual_slowness(&self, service: &str) -> u32 {
        let of_service = self.views.values().filter(|view| view.serves(service));
        let mut values: Vec<u32> = of_service.map(|view| view.load.slowness).collect();
        values.sort_unstable();
        values.get(values.len() / 2).copied().unwrap_or(100).max(1)
    }
}
