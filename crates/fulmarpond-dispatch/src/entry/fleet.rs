//! The linked agents and their load, as known to the entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fulmarpond_core::Time;

use super::queueing::{GuaranteedSupply, RunningRoom, Supply, Tasks, time_to_start};
use super::zone_return::ZoneReturn;
use crate::{Class, EndpointId, EndpointSpeed, EndpointStatus, Incarnation, LinkNo, Resources};

/// The maximum expected time until a task starts that is reckoned with, in milliseconds.
const MAX_NEXT_END_MS: u32 = 10_000;

/// The properties of a task on which its expected queueing time depends.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedTask {
    pub(super) class: Class,
    pub(super) needs: Resources,
    /// How long it may wait without missing its latency objective, in milliseconds.
    pub(super) slack_ms: u64,
    /// The expected run time, in milliseconds.
    pub(super) expected_ms: u32,
}

/// A task that was planned or sent and is not yet included in the agent's status.
#[derive(Debug)]
struct UnacknowledgedTask {
    /// The number of its order on this link.
    order: u64,
    class: Class,
    needs: Resources,
    /// The expected work, in core-milliseconds.
    work: u64,
}

/// The known state of an agent and its endpoint.
#[derive(Debug)]
pub(super) struct AgentView {
    pub(super) name: String,
    pub(super) zone: String,
    /// The version of the configuration that the agent holds.
    pub(super) version: u64,
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
    unacknowledged: VecDeque<UnacknowledgedTask>,
}

impl AgentView {
    /// Updates the load and drops the tasks of the first `orders` orders, which it includes.
    pub(super) fn update(&mut self, orders: u64, load: EndpointStatus, now: Time) {
        self.load = load;
        self.last_status_at = now;
        self.unacknowledged.retain(|task| task.order > orders);
    }

    /// Reserves capacity for a task that the next order will contain.
    pub(super) fn reserve(&mut self, class: Class, needs: Resources, expected_ms: u32) {
        self.unacknowledged.push_back(UnacknowledgedTask {
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
        let mut free = self.zone_return.limit(self.load.free);
        for task in &self.unacknowledged {
            free = free.minus(task.needs);
        }
        free
    }

    /// Returns the capacity that is not reserved by long-running tasks.
    pub(super) fn shared_capacity(&self) -> Resources {
        self.capacity.minus(self.load.reserved)
    }

    /// Returns the expected queueing time of a task, in milliseconds.
    pub(super) fn expected_wait(&self, task: QueuedTask) -> f64 {
        let backlog = &self.load.backlog;
        let goes_first = Class::ALL
            .into_iter()
            .all(|class| class > task.class || !backlog.has_work(class));
        let free = self.free();
        if goes_first && task.needs.fits(free) {
            return 0.0;
        }
        let return_wait = self.zone_return.wait_ms(task.needs, free, self.load.free);
        self.queueing_time(task).max(return_wait)
    }

    /// Returns the expected time that a task waits for other tasks, in milliseconds.
    fn queueing_time(&self, task: QueuedTask) -> f64 {
        let cores = f64::from(self.shared_capacity().cpu.max(1)) / 1_000.0;
        let next_end_ms = f64::from(self.load.next_end_ms.min(MAX_NEXT_END_MS));
        let ahead = Class::ALL.map(|class| self.work_ahead(class, task) as f64);
        let total: f64 = ahead.iter().sum();
        if self.has_only(task.class) {
            return next_end_ms + total / cores;
        }
        self.competing_wait(task, cores, ahead)
            .unwrap_or(next_end_ms + total / cores)
    }

    /// Returns the work of a class that starts before a task, in core-milliseconds.
    fn work_ahead(&self, class: Class, task: QueuedTask) -> u64 {
        if class > task.class {
            return 0;
        }
        let slack_ms = if class == task.class {
            task.slack_ms
        } else {
            u64::MAX
        };
        let unacknowledged = self.unacknowledged.iter();
        let of_class = unacknowledged.filter(|sent| sent.class == class);
        let sent: u64 = of_class.map(|sent| sent.work).sum();
        self.load.backlog.work_ahead(class, slack_ms) + sent
    }

    /// Returns whether no work of other classes waits or runs, as far as is known.
    fn has_only(&self, class: Class) -> bool {
        let backlog = &self.load.backlog;
        let mut others = Class::ALL.into_iter().filter(|other| *other != class);
        let is_present = |other| backlog.has_work(other) || backlog.running(other).0 > 0;
        !others.any(is_present) && self.unacknowledged.iter().all(|sent| sent.class == class)
    }

    /// Returns the expected queueing time of a task among several classes, in milliseconds, or
    /// `None` if it is not known what runs.
    fn competing_wait(
        &self,
        task: QueuedTask,
        cores: f64,
        ahead: [f64; Class::COUNT],
    ) -> Option<f64> {
        let backlog = &self.load.backlog;
        let running = Class::ALL.map(|class| {
            let (cpu, run_ms) = backlog.running(class);
            RunningRoom {
                cores: f64::from(cpu) / 1_000.0,
                run_ms: f64::from(run_ms),
            }
        });
        if running.iter().all(|running| running.cores == 0.0) {
            return None;
        }
        let weights = self.load.weights;
        let position = task.class.index();
        let lower = Class::ALL.into_iter().filter(|class| *class > task.class);
        let kept_by_lower: f64 = lower
            .filter(|class| backlog.has_work(*class))
            .map(|class| cores * weights.share(class))
            .sum();
        let used_by_higher: f64 = running[..position].iter().map(|higher| higher.cores).sum();
        let own = Tasks {
            room: f64::from(task.needs.cpu) / 1_000.0,
            run_ms: f64::from(task.expected_ms.max(1)),
        };
        let own_ahead = own.with(Tasks::of(ahead[position], own.run_ms));
        let all_ahead = (0..position).fold(own_ahead, |sum, class| {
            let run_ms = match running[class].run_ms {
                0.0 => own.run_ms,
                run_ms => run_ms,
            };
            sum.with(Tasks::of(ahead[class], run_ms))
        });
        let max_ms = f64::from(MAX_NEXT_END_MS);
        let supply = Supply {
            free: f64::from(self.load.free.cpu) / 1_000.0,
            running: &running[position..],
            limit: cores - kept_by_lower - used_by_higher,
        };
        let share = cores * weights.share(task.class);
        let guaranteed = GuaranteedSupply {
            share,
            used: running[position].cores.min(share),
            supply: Supply {
                running: &running,
                limit: cores,
                ..supply
            },
        };
        let by_order = time_to_start(all_ahead, max_ms, |time| supply.started(time, all_ahead));
        if guaranteed.started(by_order, own_ahead) < own_ahead.room {
            return Some(by_order);
        }
        let by_share = time_to_start(own_ahead, max_ms, |time| {
            guaranteed.started(time, own_ahead)
        });
        Some(by_order.min(by_share))
    }

    /// Releases the capacity reserved since the last order.
    pub(super) fn release_reservations(&mut self) {
        let next_order = self.orders_sent + 1;
        self.unacknowledged.retain(|task| task.order < next_order);
    }

    /// Releases the most recent reservation.
    pub(super) fn release_last_reservation(&mut self) {
        self.unacknowledged.pop_back();
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
            version,
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
            unacknowledged: VecDeque::new(),
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
