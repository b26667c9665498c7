//! Submissions and their validation.

use fulmarpond_derive::message;
use thiserror::Error;

use super::{JobId, Task};

/// A validated job, as an entry forwards it to the home.
#[message]
pub struct Submission {
    /// The job.
    pub job: JobId,
    /// What the caller states about earlier attempts.
    pub attempt: Attempt,
    /// Milliseconds until the deadline, counted from the time at which this message is sent.
    pub remaining_ms: u64,
    /// The tasks.
    pub tasks: Vec<Task>,
}

/// What a caller states about earlier attempts with the same id.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Attempt {
    /// No earlier attempt was sent.
    First,
    /// Earlier attempts may have been sent, and their outcome may be unknown.
    Unresolved {
        /// Milliseconds since the first attempt, if the caller states it.
        age_ms: Option<u64>,
    },
}

impl Attempt {
    /// Returns the attempt as one that may follow an unresolved earlier attempt.
    #[must_use]
    pub fn into_unresolved(self) -> Self {
        match self {
            Self::First => Self::Unresolved { age_ms: None },
            Self::Unresolved { .. } => self,
        }
    }
}

/// A submission as received from a caller, before validation.
#[message]
#[serde(deny_unknown_fields)]
pub struct RawSubmission {
    /// The submission id.
    pub id: String,
    /// The team. Required if the caller's token does not determine it.
    #[serde(default)]
    pub team: Option<String>,
    /// The number of this attempt, counted from 1. If it is missing, earlier attempts are assumed.
    #[serde(default)]
    pub attempt: Option<u32>,
    /// Milliseconds since the first attempt, if the caller knows.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
    /// Whether the caller waits for the answer. Defaults to `true`.
    #[serde(default = "wait_by_default")]
    pub wait: bool,
    /// The tasks.
    pub tasks: Vec<Task>,
}

fn wait_by_default() -> bool {
    true
}

/// The limits against which a submission is validated.
#[message]
#[derive(Copy)]
pub struct SubmissionLimits {
    /// The highest number of tasks in a job.
    pub max_tasks: usize,
    /// The highest accepted value of `deadline_ms`, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for SubmissionLimits {
    fn default() -> Self {
        Self {
            max_tasks: 670,
            deadline_ms: 300_000,
        }
    }
}

/// The maximum length of a submission id, team or task kind, in bytes.
pub(super) const MAX_NAME_LEN: usize = 64;

/// Why a submission is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidSubmission {
    /// A name is empty, too long or contains a character that is not allowed.
    #[error(
        "field `{field}` must have 1 to {MAX_NAME_LEN} characters of A-Z a-z 0-9 . _ -, got `{value}`"
    )]
    Name {
        /// The name of the field.
        field: String,
        /// The value, truncated to 64 characters.
        value: String,
    },
    /// Neither the token nor the submission names a team.
    #[error("field `team` is missing")]
    NoTeam,
    /// The submission names a team other than that of the caller's token.
    #[error("field `team` is `{value}`, but the token belongs to another team")]
    OtherTeam {
        /// The team in the submission, truncated to 64 characters.
        value: String,
    },
    /// The job has no tasks.
    #[error("field `tasks` is empty")]
    NoTasks,
    /// The job has more tasks than the limit.
    #[error("field `tasks` has {count} tasks, the limit is {limit}")]
    TooManyTasks {
        /// The number of tasks.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// The deadline is 0 or exceeds the limit.
    #[error("field `deadline_ms` must be 1 to {limit}, got {value}")]
    Deadline {
        /// The value in milliseconds.
        value: u64,
        /// The limit in milliseconds.
        limit: u64,
    },
    /// The number of the attempt is 0.
    #[error("field `attempt` counts from 1, got 0")]
    Attempt,
}

impl Submission {
    /// Validates a raw submission.
    ///
    /// `team` is the team that the caller's token determines, if any.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn check(
        raw: RawSubmission,
        team: Option<&str>,
        limits: &SubmissionLimits,
    ) -> super::Result<Self> {
        check_name("id", &raw.id)?;
        let team = match (team, raw.team.as_deref()) {
            (Some(token_team), Some(stated)) if token_team != stated => {
                return Err(InvalidSubmission::OtherTeam {
                    value: shorten(stated),
                });
            }
            (Some(name), _) | (None, Some(name)) => name,
            (None, None) => return Err(InvalidSubmission::NoTeam),
        };
        check_name("team", team)?;
        let attempt = match raw.attempt {
            Some(0) => return Err(InvalidSubmission::Attempt),
            Some(1) => Attempt::First,
            Some(_) | None => Attempt::Unresolved { age_ms: raw.age_ms },
        };
        if raw.deadline_ms == 0 || raw.deadline_ms > limits.deadline_ms {
            return Err(InvalidSubmission::Deadline {
                value: raw.deadline_ms,
                limit: limits.deadline_ms,
            });
        }
        if raw.tasks.is_empty() {
            return Err(InvalidSubmission::NoTasks);
        }
        if raw.tasks.len() > limits.max_tasks {
            return Err(InvalidSubmission::TooManyTasks {
                count: raw.tasks.len(),
                limit: limits.max_tasks,
            });
        }
        for (index, task) in raw.tasks.iter().enumerate() {
            check_name(&format!("tasks[{index}].kind"), &task.kind)?;
        }
        Ok(Self {
            job: JobId::new(team, &raw.id),
            attempt,
            remaining_ms: raw.deadline_ms,
            tasks: raw.tasks,
        })
    }
}

impl TryFrom<RawSubmission> for Submission {
    type Error = InvalidSubmission;

    fn try_from(raw: RawSubmission) -> super::Result<Self> {
        Self::check(raw, None, &SubmissionLimits::default())
    }
}

fn check_name(field: &str, value: &str) -> super::Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if value.is_empty() || value.len() > MAX_NAME_LEN || !value.bytes().all(allowed) {
        return Err(InvalidSubmission::Name {
            field: field.to_owned(),
            value: shorten(value),
        });
    }
    Ok(())
}

fn shorten(value: &str) -> String {
    value.chars().take(MAX_NAME_LEN).collect()
}
