//! Selection of an agent for a task by expected completion time and penalties.

use fulmarpond_core::Time;

use super::expected_wait::QueuedTask;
use super::fleet::{AgentView, Fleet};
use super::submission::Step;
use crate::{Class, LinkNo, Resources};

/// The penalty for an endpoint in another zone, in milliseconds of waiting.
const OTHER_ZONE_COST_MS: f64 = 3.0;

/// The penalty for a fully used endpoint, compared with an idle one, in milliseconds of waiting.
const FULL_USAGE_COST_MS: f64 = 8.0;

/// The penalty for an endpoint that is stalled or fails many of its tasks, in milliseconds.
const UNHEALTHY_COST_MS: f64 = 20_000.0;

/// The share of failures from which an endpoint is used only as a last resort, in percent.
const UNHEALTHY_FAILURE_PERCENT: u32 = 45;

/// The share of failures that has no penalty, in percent: that of a single failure, since a task may
/// fail by its own fault.
const TOLERATED_FAILURE_PERCENT: u32 = 20;

/// The penalty for a share of failures between these two, in milliseconds per percent above the
/// tolerated one.
const FAILURE_PERCENT_COST_MS: f64 = 4.0;

/// An endpoint counts as slow if its slowness exceeds this multiple of the median.
const SLOW_FACTOR: f64 = 1.4;

/// The factor by which a run is expected to take longer at a cold endpoint, as long as its own runs
/// do not show that it is slower.
const COLD_FACTOR: f64 = 1.5;
/// The share of its expected run time that a task must have left when it is sent to a slow endpoint
/// to relieve the fast ones, since run times vary.
const RELIEF_MARGIN: f64 = 0.3;

/// The least share of its slack that a task keeps at a slow endpoint. It may miss its objective
/// there, but is not returned at once.
const MIN_SLACK_DIVISOR: u64 = 4;

/// The penalty for an agent at which a task of the job ended without success, in milliseconds.
const AVOIDED_COST_MS: f64 = 2_000.0;

/// The requirements of a task to be placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand<'a> {
    pub(super) service: &'a str,
    pub(super) zone: &'a str,
    pub(super) step: &'a Step,
    /// A label that the endpoint must carry so that a gang stays on one rack, if any.
    pub(super) common_label: Option<&'a str>,
    pub(super) class: Class,
    /// The expected run time on a nominal endpoint, in milliseconds.
    pub(super) expected_ms: u32,
    /// How long it may wait without missing its latency objective, in milliseconds.
    pub(super) slack_ms: u64,
    /// The factor by which a task takes longer away from its data.
    pub(super) remote_factor: f64,
    /// How much the fast endpoints need relief, from 0 to 1.
    pub(super) relief: f64,
    pub(super) now: Time,
}

/// The selected agent, with the expected queueing time there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Choice {
    pub(super) link: LinkNo,
    /// The expected queueing time, in milliseconds.
    pub(super) wait: f64,
    /// The time that the run takes beyond that on a nominal endpoint, for the lasting speed of the
    /// endpoint, in milliseconds.
    pub(super) excess_ms: f64,
}

/// Returns the eligible agent with the lowest cost: the expected time until the task ends, plus
/// penalties.
pub(super) fn choose(
    fleet: &Fleet,
    demand: Demand<'_>,
    avoided_agents: &[LinkNo],
    is_excluded: impl Fn(LinkNo) -> bool,
    extra_cost: impl Fn(LinkNo) -> f64,
) -> Option<Choice> {
    let median_slowness = f64::from(fleet.median_slowness(demand.service));
    let mut best: Option<(f64, Choice)> = None;
    for (&link, view) in &fleet.views {
        if !is_eligible(view, demand) || is_excluded(link) {
            continue;
        }
        let wait = expected_wait_ms(view, demand);
        let finish = expected_end_ms(view, demand, wait, median_slowness);
        let mut cost = finish + penalty_ms(view, demand) + extra_cost(link);
        if avoided_agents.contains(&link) {
            cost += AVOIDED_COST_MS;
        }
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            let excess_ms = excess_ms(view, demand);
            let choice = Choice {
                link,
                wait,
                excess_ms,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the cost of running a task at an agent, in milliseconds, or `None` if the agent is not
/// eligible.
pub(super) fn cost(fleet: &Fleet, view: &AgentView, demand: Demand<'_>) -> Option<f64> {
    let median_slowness = f64::from(fleet.median_slowness(demand.service));
    let wait = expected_wait_ms(view, demand);
    let finish = expected_end_ms(view, demand, wait, median_slowness);
    is_eligible(view, demand).then(|| finish + penalty_ms(view, demand))
}

/// Returns whether any endpoint of a service could hold a task when it is empty.
pub(super) fn fits_when_empty(fleet: &Fleet, service: &str, needs: Resources) -> bool {
    let mut of_service = fleet.views.values().filter(|view| view.service == service);
    of_service.any(|view| needs.fits(view.capacity))
}

/// Does the same as [`fits_when_empty`] for the endpoints outside evacuated zones.
pub(super) fn fits_outside(fleet: &Fleet, service: &str, needs: Resources) -> bool {
    let usable = |view: &&AgentView| view.service == service && !view.is_evacuated;
    fleet
        .views
        .values()
        .filter(usable)
        .any(|view| needs.fits(view.capacity))
}

/// Returns whether any endpoint of a service can hold a task in addition to its long-running tasks.
pub(super) fn fits_shared_capacity(fleet: &Fleet, service: &str, needs: Resources) -> bool {
    let usable = |view: &&AgentView| view.service == service && !view.is_evacuated;
    let mut of_service = fleet.views.values().filter(usable);
    of_service.any(|view| needs.fits(view.shared_capacity()))
}

/// Returns whether a task may run at an agent, by its service, labels and capacity.
fn is_eligible(view: &AgentView, demand: Demand<'_>) -> bool {
    let has_label = match &demand.step.label {
        Some(label) => view.labels.contains(label),
        None => true,
    };
    let has_common_label = demand
        .common_label
        .is_none_or(|label| view.labels.iter().any(|known| known == label));
    // All members of a gang start at the same time, and a waiting long-running task would block the
    // tasks behind it.
    let must_start_at_once = demand.step.gang || demand.step.long_running;
    let starts_in_time = !must_start_at_once || expected_wait_ms(view, demand) == 0.0;
    view.serves(demand.service)
        && has_label
        && starts_in_time
        && has_common_label
        && demand.step.needs.fits(view.shared_capacity())
}

fn expected_run_ms(view: &AgentView, demand: Demand<'_>, median_slowness: f64) -> f64 {
    let slowness = f64::from(view.load.slowness) / median_slowness;
    let factor = if slowness > SLOW_FACTOR {
        slowness
    } else {
        1.0
    };
    let is_local = is_near_data(view, demand.step);
    let location_factor = if is_local { 1.0 } else { demand.remote_factor };
    let cold_factor = if demand.now < view.cold_until {
        COLD_FACTOR
    } else {
        1.0
    };
    let passing_factor = factor.max(cold_factor);
    f64::from(demand.expected_ms) * view.run_factor * passing_factor * location_factor
}

/// Returns whether the endpoint is near the data of a step, or the step has none.
pub(super) fn is_near_data(view: &AgentView, step: &Step) -> bool {
    match &step.affinity {
        Some(rack) => view.labels.contains(rack),
        None => true,
    }
}

/// Returns the time that a run takes beyond that on a nominal endpoint, for the lasting speed of
/// the endpoint, in milliseconds.
fn excess_ms(view: &AgentView, demand: Demand<'_>) -> f64 {
    f64::from(demand.expected_ms) * (view.run_factor - 1.0).max(0.0)
}

/// Returns how long a task may wait at an endpoint where its run takes `excess_ms` milliseconds
/// longer than on a nominal one, in milliseconds.
pub(super) fn slack_at_endpoint_ms(slack_ms: u64, excess_ms: u64) -> u64 {
    if slack_ms == u64::MAX {
        return slack_ms;
    }
    slack_ms
        .saturating_sub(excess_ms)
        .max(slack_ms.div_ceil(MIN_SLACK_DIVISOR))
}

fn expected_wait_ms(view: &AgentView, demand: Demand<'_>) -> f64 {
    let excess_ms = excess_ms(view, demand) as u64;
    view.expected_wait(QueuedTask {
        class: demand.class,
        needs: demand.step.needs,
        slack_ms: slack_at_endpoint_ms(demand.slack_ms, excess_ms),
        expected_ms: view.lasting_run_ms(demand.expected_ms),
    })
}

/// Returns the expected time until the task ends, in milliseconds. While the fast endpoints need
/// relief, the time that a run takes longer at a slow one counts less, if the task surely meets its
/// objective there: the fast ones are left for work that needs them.
fn expected_end_ms(view: &AgentView, demand: Demand<'_>, wait: f64, median_slowness: f64) -> f64 {
    let run_ms = expected_run_ms(view, demand, median_slowness);
    let excess_ms = excess_ms(view, demand);
    let delay = wait + excess_ms + RELIEF_MARGIN * run_ms;
    let is_in_time = excess_ms > 0.0 && delay <= demand.slack_ms as f64;
    let relief = if is_in_time { demand.relief } else { 0.0 };
    wait + run_ms - relief * excess_ms
}

/// Returns the penalty for usage, distance and failures, in milliseconds.
fn penalty_ms(view: &AgentView, demand: Demand<'_>) -> f64 {
    let mut cost = FULL_USAGE_COST_MS * view.usage();
    if view.zone != demand.zone {
        cost += OTHER_ZONE_COST_MS;
    }
    if view.load.stalled || view.load.failures >= UNHEALTHY_FAILURE_PERCENT {
        cost += UNHEALTHY_COST_MS;
    } else {
        let excess = view.load.failures.saturating_sub(TOLERATED_FAILURE_PERCENT);
        cost += FAILURE_PERCENT_COST_MS * f64::from(excess);
    }
    cost
}
