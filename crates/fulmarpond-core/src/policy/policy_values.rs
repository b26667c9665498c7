//! The typed values of a configuration version.

use std::collections::BTreeMap;
use std::str::FromStr;

use thiserror::Error;

use super::Values;

/// The typed values of a configuration version, with defaults for the keys that are not set.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::policy::{Policy, Values};
///
/// let mut values = Values::new();
/// values.insert("team.kitchen.quota".to_owned(), "200".to_owned());
/// let policy = Policy::try_from(&values).unwrap();
/// assert_eq!(policy.quota("kitchen"), 200);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// The placement policy.
    pub placement: PlacementKind,
    /// The goal that placement optimizes for.
    pub placement_goal: PlacementGoal,
    /// The maximum number of tasks waiting at one home.
    pub max_waiting_tasks: u64,
    /// The maximum number of tasks queued at an agent in addition to those in its slots.
    pub max_queued_tasks: u32,
    /// The retry budget as a percentage of first attempts.
    pub retry_percent: u32,
    /// The number of consecutive failures after which an agent is ejected.
    pub eject_after_failures: u32,
    /// The maximum percentage of the agents of a zone that are ejected at the same time.
    pub eject_percent: u32,
    /// The quota of teams without a quota of their own, in tasks in flight.
    pub default_quota: u64,
    /// The quotas by team, in tasks in flight.
    pub quotas: BTreeMap<String, u64>,
}

/// The policy that chooses agents for waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// Uniformly at random, without load information.
    Uniform,
    /// The less loaded of two random agents.
    TwoChoices,
    /// The agent with the most free slots by the load reported on replies.
    CarriedLoad,
}

/// The goal that placement optimizes for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementGoal {
    /// Response time: tasks wait at the home until a slot is granted.
    Response,
    /// Number of messages: tasks wait in the queues of the agents.
    Messages,
}

/// Why a configuration key or value is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidPolicy {
    /// The key is unknown.
    #[error("unknown key `{0}`")]
    UnknownKey(String),
    /// The value is not allowed for its key.
    #[error("key `{key}` must be {expected}, got `{value}`")]
    Value {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// A description of the allowed values.
        expected: &'static str,
    },
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            placement: PlacementKind::CarriedLoad,
            placement_goal: PlacementGoal::Response,
            max_waiting_tasks: 10_000,
            max_queued_tasks: 16,
            retry_percent: 20,
            eject_after_failures: 5,
            eject_percent: 50,
            default_quota: 100_000,
            quotas: BTreeMap::new(),
        }
    }
}

impl Policy {
    /// Returns whether tasks are bound late: they wait at the home until an agent grants a slot.
    ///
    /// Otherwise they may wait in the queues of the agents.
    pub fn binds_late(&self) -> bool {
        self.placement == PlacementKind::CarriedLoad
            && self.placement_goal == PlacementGoal::Response
    }

    /// Returns the quota of `team` in tasks in flight.
    pub fn quota(&self, team: &str) -> u64 {
        self.quotas.get(team).copied().unwrap_or(self.default_quota)
    }
}

impl TryFrom<&Values> for Policy {
    type Error = InvalidPolicy;

    fn try_from(values: &Values) -> super::Result<Self> {
        let mut policy = Self::default();
        for (key, value) in values {
            match key.as_str() {
                "placement.policy" => policy.placement = parse_placement(key, value)?,
                "placement.weigh" => policy.placement_goal = parse_placement_goal(key, value)?,
                "limits.waiting" => policy.max_waiting_tasks = parse_number(key, value)?,
                "limits.queue" => policy.max_queued_tasks = parse_number(key, value)?,
                "retry.percent" => policy.retry_percent = parse_percent(key, value)?,
                "health.failures" => policy.eject_after_failures = parse_number(key, value)?,
                "health.percent" => policy.eject_percent = parse_percent(key, value)?,
                "team.default.quota" => policy.default_quota = parse_number(key, value)?,
                _ => {
                    let team = key
                        .strip_prefix("team.")
                        .and_then(|rest| rest.strip_suffix(".quota"))
                        .filter(|team| !team.is_empty())
                        .ok_or_else(|| InvalidPolicy::UnknownKey(key.clone()))?;
                    policy
                        .quotas
                        .insert(team.to_owned(), parse_number(key, value)?);
                }
            }
        }
        Ok(policy)
    }
}

fn invalid_value(key: &str, value: &str, expected: &'static str) -> InvalidPolicy {
    InvalidPolicy::Value {
        key: key.to_owned(),
        value: value.to_owned(),
        expected,
    }
}

fn parse_number<T: FromStr>(key: &str, value: &str) -> super::Result<T> {
    value
        .parse()
        .map_err(|_| invalid_value(key, value, "a whole number that is not negative"))
}

fn parse_percent(key: &str, value: &str) -> super::Result<u32> {
    let expected = "a whole number from 0 to 100";
    match value.parse() {
        Ok(percent) if percent <= 100 => Ok(percent),
        _ => Err(invalid_value(key, value, expected)),
    }
}

fn parse_placement(key: &str, value: &str) -> super::Result<PlacementKind> {
    match value {
        "uniform" => Ok(PlacementKind::Uniform),
        "two_choices" => Ok(PlacementKind::TwoChoices),
        "carried_load" => Ok(PlacementKind::CarriedLoad),
        _ => Err(invalid_value(
            key,
            value,
            "`uniform`, `two_choices` or `carried_load`",
        )),
    }
}

fn parse_placement_goal(key: &str, value: &str) -> super::Result<PlacementGoal> {
    match value {
        "response" => Ok(PlacementGoal::Response),
        "messages" => Ok(PlacementGoal::Messages),
        _ => Err(invalid_value(key, value, "`response` or `messages`")),
    }
}
