//! The typed configuration in force.

use std::collections::BTreeMap;
use std::str::FromStr;

use thiserror::Error;

use super::Values;

/// The typed configuration in force.
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
    /// How agents are chosen for waiting tasks.
    pub placement: PlacementKind,
    /// What placement weighs higher.
    pub weigh: Weigh,
    /// The highest number of tasks that wait at one home.
    pub waiting_max: u64,
    /// The tasks that may wait at an agent beyond its slots.
    pub queue_max: u32,
    /// Retries as a percentage of first attempts.
    pub retry_percent: u32,
    /// The consecutive failures after which an agent is ejected.
    pub eject_after: u32,
    /// The highest percentage of the agents of a zone that are ejected at once.
    pub eject_percent: u32,
    /// The quota of a team that has none of its own, in tasks in flight.
    pub default_quota: u64,
    /// The quotas of teams in tasks in flight.
    pub quotas: BTreeMap<String, u64>,
}

/// How agents are chosen for waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// Uniformly at random, without load information.
    Uniform,
    /// The less loaded one of two random agents.
    TwoChoices,
    /// The agent with the most free slots by load carried on replies.
    CarriedLoad,
}

/// What placement weighs higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weigh {
    /// Response time: tasks wait at the home until a slot is granted.
    Response,
    /// Messages: tasks wait in the queues of the agents.
    Messages,
}

/// Why a configuration value is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidPolicy {
    /// The key is not known.
    #[error("unknown key `{0}`")]
    UnknownKey(String),
    /// The value is not one of the allowed ones.
    #[error("key `{key}` must be {expected}, got `{value}`")]
    Value {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The allowed values.
        expected: &'static str,
    },
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            placement: PlacementKind::CarriedLoad,
            weigh: Weigh::Response,
            waiting_max: 10_000,
            queue_max: 16,
            retry_percent: 20,
            eject_after: 5,
            eject_percent: 50,
            default_quota: 100_000,
            quotas: BTreeMap::new(),
        }
    }
}

impl Policy {
    /// Returns whether tasks wait at the home until an agent grants a slot.
    ///
    /// Otherwise they may wait in the queues of the agents.
    pub fn binds_late(&self) -> bool {
        self.placement == PlacementKind::CarriedLoad && self.weigh == Weigh::Response
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
                "placement.policy" => policy.placement = placement(key, value)?,
                "placement.weigh" => policy.weigh = weigh(key, value)?,
                "limits.waiting" => policy.waiting_max = number(key, value)?,
                "limits.queue" => policy.queue_max = number(key, value)?,
                "retry.percent" => policy.retry_percent = percent(key, value)?,
                "health.failures" => policy.eject_after = number(key, value)?,
                "health.percent" => policy.eject_percent = percent(key, value)?,
                "team.default.quota" => policy.default_quota = number(key, value)?,
                _ => {
                    let team = key
                        .strip_prefix("team.")
                        .and_then(|rest| rest.strip_suffix(".quota"))
                        .filter(|team| !team.is_empty())
                        .ok_or_else(|| InvalidPolicy::UnknownKey(key.clone()))?;
                    policy.quotas.insert(team.to_owned(), number(key, value)?);
                }
            }
        }
        Ok(policy)
    }
}

fn invalid(key: &str, value: &str, expected: &'static str) -> InvalidPolicy {
    InvalidPolicy::Value {
        key: key.to_owned(),
        value: value.to_owned(),
        expected,
    }
}

fn number<T: FromStr>(key: &str, value: &str) -> super::Result<T> {
    value
        .parse()
        .map_err(|_| invalid(key, value, "a whole number that is not negative"))
}

fn percent(key: &str, value: &str) -> super::Result<u32> {
    let expected = "a whole number from 0 to 100";
    match value.parse() {
        Ok(percent) if percent <= 100 => Ok(percent),
        _ => Err(invalid(key, value, expected)),
    }
}

fn placement(key: &str, value: &str) -> super::Result<PlacementKind> {
    match value {
        "uniform" => Ok(PlacementKind::Uniform),
        "two_choices" => Ok(PlacementKind::TwoChoices),
        "carried_load" => Ok(PlacementKind::CarriedLoad),
        _ => Err(invalid(
            key,
            value,
            "`uniform`, `two_choices` or `carried_load`",
        )),
    }
}

fn weigh(key: &str, value: &str) -> super::Result<Weigh> {
    match value {
        "response" => Ok(Weigh::Response),
        "messages" => Ok(Weigh::Messages),
        _ => Err(invalid(key, value, "`response` or `messages`")),
    }
}
