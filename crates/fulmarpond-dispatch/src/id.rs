//! Identifiers of jobs, tasks, links and endpoints.

use std::fmt;

use fulmarpond_derive::{key, value};

/// The id of a job as chosen by its caller, or derived from it for a series and its occurrences.
#[key]
pub struct JobId(pub String);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The separator between the id of a series and the number of an occurrence.
const SERIES: char = '~';

impl JobId {
    /// Returns the id under which the series itself is stored, given the id that the caller chose or that of
    /// an occurrence.
    #[must_use]
    pub fn series(&self) -> Self {
        let (id, _) = self.parts();
        Self(format!("{id}{SERIES}"))
    }

    /// Returns whether a series is stored under this id.
    pub fn is_series(&self) -> bool {
        self.0.ends_with(SERIES)
    }

    /// Returns the id of an occurrence of a series; occurrence 0 has the id that the caller chose.
    #[must_use]
    pub fn occurrence(&self, number: u16) -> Self {
        let (id, _) = self.parts();
        match number {
            0 => Self(id.to_owned()),
            _ => Self(format!("{id}{SERIES}{number}")),
        }
    }

    /// Returns the id that the caller chose, and the number of the occurrence.
    pub fn parts(&self) -> (&str, u16) {
        match self.0.split_once(SERIES) {
            Some((id, number)) => (id, number.parse().unwrap_or_default()),
            None => (&self.0, 0),
        }
    }

    /// Returns whether a caller may choose this id: it does not contain the series separator.
    pub fn is_plain(&self) -> bool {
        !self.0.contains(SERIES)
    }
}

/// The identity of a task.
#[key]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The number of the step within the job, from 0.
    pub step: u16,
    /// The number of the task within the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// The number of a connection between an entry and an agent, unique within this process.
#[value]
pub struct LinkNo(pub u64);

/// The id of an incarnation of an endpoint. A restarted endpoint has a new id.
#[key]
pub struct EndpointId(pub String);

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
