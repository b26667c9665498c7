//! The jobs whose tasks wait to be placed.
//!
//! Many of them may not be placeable for a long time, because endpoints of their kind are lost or a
//! gang finds no room, and they must not keep the jobs behind them from the room that there is. Jobs
//! that need the same form a group, of which only the first is tried, so an attempt is short however
//! many jobs wait. Beyond that, all jobs are tried in turn.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;
use std::rc::Rc;

use fulmarpond_core::Time;

use super::job::Job;
use super::submission::Step;
use crate::{JobId, LinkNo};

/// The position of a job in the order in which waiting jobs are placed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// The priority of its route; 0 is the highest.
    priority: u8,
    start_by: Time,
    pub(super) job: JobId,
}

/// What the waiting tasks of a job need.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Needs {
    route: String,
    service: String,
    is_durable: bool,
    /// The steps with tasks that can start.
    steps: Vec<Step>,
    avoided_agents: Vec<LinkNo>,
    /// The job, if it can be placed at other agents than its like: by its tickets, or by where its
    /// other tasks are.
    only_job: Option<JobId>,
}

impl Needs {
    fn of(job: &Job) -> Self {
        let mut numbers: Vec<u16> = job
            .ready_tasks()
            .into_iter()
            .map(|position| job.tasks[position].step)
            .collect();
        numbers.dedup();
        let steps: Vec<Step> = numbers
            .into_iter()
            .map(|number| comparable(&job.submission.steps[usize::from(number)]))
            .collect();
        let is_alone = job.route.advice.is_some() || steps.iter().any(|step| step.spread.is_some());
        let mut avoided_agents = job.avoided_agents.clone();
        avoided_agents.sort_unstable();
        avoided_agents.dedup();
        Self {
            route: job.route.name.clone(),
            service: job.route.service.clone(),
            is_durable: job.state.is_some(),
            steps,
            avoided_agents,
            only_job: is_alone.then(|| job.id.clone()),
        }
    }
}

/// Returns a step without what does not decide where its tasks can be placed: steps before it, and,
/// unless they form a gang, the number of its tasks.
fn comparable(step: &Step) -> Step {
    Step {
        count: if step.gang { step.count } else { 1 },
        after: Vec::new(),
        may_miss: None,
        ..step.clone()
    }
}

/// The jobs with tasks that wait to be placed, ordered by priority and latest start.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    ordered: BTreeSet<Position>,
    groups: HashMap<Rc<Needs>, BTreeSet<Position>>,
    /// The first job of each group.
    firsts: BTreeSet<Position>,
    group_of: HashMap<JobId, (Position, Rc<Needs>)>,
    /// The last job that was tried in turn.
    last_tried: Option<Position>,
}

impl WaitingJobs {
    pub(super) fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ordered.len()
    }

    /// Returns all jobs in their order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.ordered.iter().map(|position| &position.job)
    }

    /// Adds a job, or notes what it needs now.
    pub(super) fn insert(&mut self, job: &Job) {
        let needs = Needs::of(job);
        if let Some((_, known)) = self.group_of.get(&job.id) {
            if **known == needs {
                return;
            }
            self.remove(&job.id);
        }
        let position = Position {
            priority: job.route.priority,
            start_by: job.start_by,
            job: job.id.clone(),
        };
        let needs = match self.groups.get_key_value(&needs) {
            Some((known, _)) => Rc::clone(known),
            None => Rc::new(needs),
        };
        let group = self.groups.entry(Rc::clone(&needs)).or_default();
        if group.first().is_none_or(|first| position < *first) {
            if let Some(first) = group.first() {
                self.firsts.remove(first);
            }
            self.firsts.insert(position.clone());
        }
        group.insert(position.clone());
        self.ordered.insert(position.clone());
        self.group_of.insert(job.id.clone(), (position, needs));
    }

    pub(super) fn remove(&mut self, job: &JobId) {
        let Some((position, needs)) = self.group_of.remove(job) else {
            return;
        };
        self.ordered.remove(&position);
        let Some(group) = self.groups.get_mut(&needs) else {
            return;
        };
        group.remove(&position);
        if self.firsts.remove(&position)
            && let Some(first) = group.first()
        {
            self.firsts.insert(first.clone());
        }
        if group.is_empty() {
            self.groups.remove(&needs);
        }
    }

    /// Returns the first job of a group that is the next one after a position.
    pub(super) fn next_first(&self, after: Option<&Position>) -> Option<Position> {
        next(&self.firsts, after)
    }

    /// Returns the job whose turn it is, of all jobs, whatever their group.
    pub(super) fn take_turn(&mut self) -> Option<Position> {
        let turn = next(&self.ordered, self.last_tried.as_ref());
        let turn = turn.or_else(|| self.ordered.first().cloned());
        self.last_tried.clone_from(&turn);
        turn
    }
}

fn next(positions: &BTreeSet<Position>, after: Option<&Position>) -> Option<Position> {
    let from = after.map_or(Bound::Unbounded, Bound::Excluded);
    positions.range((from, Bound::Unbounded)).next().cloned()
}
