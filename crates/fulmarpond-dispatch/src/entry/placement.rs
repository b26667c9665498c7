//! The choice of an agent for a task.

use super::fleet::{Fleet, View};
use super::submission::Step;
use crate::{LinkNo, Needs};

/// What leaving the own zone costs, in milliseconds of waiting.
const OTHER_ZONE_MS: f64 = 3.0;

/// What a fully used endpoint costs, compared with an idle one, in milliseconds of waiting.
const USAGE_MS: f64 = 8.0;

/// What an endpoint costs that stands still or fails most of its tasks, in milliseconds.
const UNSOUND_MS: f64 = 20_000.0;

/// From this share of failures on, an endpoint is a last resort, in percent.
const FAILING_PERCENT: u32 = 45;

/// What a smaller share of failures costs, in milliseconds for each percent.
const FAILURE_MS: f64 = 4.0;

/// Up to this multiple of the usual run time an endpoint does not count as slow.
const SLOW_FROM: f64 = 1.4;

/// What an endpoint costs that the job has met trouble at, in milliseconds.
const AVOIDED_MS: f64 = 2_000.0;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand<'a> {
    pub(super) service: &'a str,
    pub(super) zone: &'a str,
    pub(super) step: &'a Step,
    /// A label that all tasks of a gang share, if any.
    pub(super) within: Option<&'a str>,
    /// The expected run time, in milliseconds.
    pub(super) expected: u32,
    /// How long it may wait without missing its objective, in milliseconds.
    pub(super) slack: u64,
    /// How many times as long a task takes away from its data.
    pub(super) far: f64,
}

/// A choice with the wait that it implies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Choice {
    pub(super) link: LinkNo,
    /// How long the task is expected to wait for room, in milliseconds.
    pub(super) wait: f64,
    /// The expected time until its end, in milliseconds.
    pub(super) finish: f64,
}

/// Returns the agent where a task is expected to end first.
pub(super) fn choose(
    fleet: &Fleet,
    demand: Demand<'_>,
    avoided: &[LinkNo],
    full: impl Fn(LinkNo) -> bool,
    extra: impl Fn(LinkNo) -> f64,
) -> Option<Choice> {
    let usual = f64::from(fleet.usual_slowness(demand.service));
    let mut best: Option<(f64, Choice)> = None;
    for (&link, view) in &fleet.views {
        if !suits(view, demand) || full(link) {
            continue;
        }
        let wait = view.wait(demand.step.needs, demand.slack);
        let finish = wait + run_time(view, demand, usual);
        let mut cost = finish + unease(view, demand) + extra(link);
        if avoided.contains(&link) {
            cost += AVOIDED_MS;
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, Choice { link, wait, finish }));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns what it costs to run a task at an agent, in milliseconds; nothing if it can't run there.
pub(super) fn cost(fleet: &Fleet, view: &View, demand: Demand<'_>) -> Option<f64> {
    let usual = f64::from(fleet.usual_slowness(demand.service));
    let wait = view.wait(demand.step.needs, demand.slack);
    suits(view, demand).then(|| wait + run_time(view, demand, usual) + unease(view, demand))
}

/// Returns whether any endpoint of a service could hold a task when it is empty.
pub(super) fn ever_fits(fleet: &Fleet, service: &str, needs: Needs) -> bool {
    let mut of_service = fleet.views.values().filter(|view| view.service == service);
    of_service.any(|view| needs.fits(view.capacity))
}

/// Returns whether any endpoint of a service can hold a task beside the long-running ones there.
pub(super) fn fits_beside(fleet: &Fleet, service: &str, needs: Needs) -> bool {
    let mut of_service = fleet.views.values().filter(|view| view.service == service);
    of_service.any(|view| needs.fits(view.shared()))
}

fn suits(view: &View, demand: Demand<'_>) -> bool {
    let labelled = match &demand.step.label {
        Some(label) => view.labels.contains(label),
        None => true,
    };
    let within = demand
        .within
        .is_none_or(|label| view.labels.iter().any(|known| known == label));
    // All members of a gang start at once, and a long-running task would keep others from starting
    // while it waits.
    let at_once = demand.step.gang || demand.step.long_running;
    let now = !at_once || view.wait(demand.step.needs, demand.slack) == 0.0;
    view.serves(demand.service)
        && labelled
        && now
        && within
        && demand.step.needs.fits(view.shared())
}

fn run_time(view: &View, demand: Demand<'_>, usual: f64) -> f64 {
    let slowness = f64::from(view.load.slowness) / usual;
    let factor = if slowness > SLOW_FROM { slowness } else { 1.0 };
    let near = match &demand.step.affinity {
        Some(rack) => view.labels.contains(rack),
        None => true,
    };
    let far = if near { 1.0 } else { demand.far };
    f64::from(demand.expected) * factor * far
}

fn unease(view: &View, demand: Demand<'_>) -> f64 {
    let mut cost = USAGE_MS * view.usage();
    if view.zone != demand.zone {
        cost += OTHER_ZONE_MS;
    }
    if view.load.stalled || view.load.failures >= FAILING_PERCENT {
        cost += UNSOUND_MS;
    } else {
        cost += FAILURE_MS * f64::from(view.load.failures);
    }
    cost
}
