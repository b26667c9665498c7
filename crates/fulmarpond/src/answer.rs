//! Answers of an entry to a job.

use serde::Deserialize;
use serde_json::Value;

use crate::client::Reply;
use crate::output;
use crate::table::Table;
use crate::{Failure, Result};

/// The answer to a job, as an entry sends it.
///
/// Reasons are kept as text, so that the tool can show those that it does not know.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Answer {
    /// The submission id.
    #[serde(default)]
    pub(crate) id: String,
    /// The outcome.
    #[serde(flatten)]
    pub(crate) verdict: Verdict,
}

/// The outcome of a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub(crate) enum Verdict {
    /// Every task was answered.
    Answered {
        /// One result per task.
        results: Vec<Value>,
    },
    /// The job did not run and will not run.
    NotRun(Refusal),
    /// Parts of the job may have run.
    MayHaveRun(Refusal),
}

/// Why a job has no results.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) reason: String,
    /// Milliseconds after which another attempt is worthwhile.
    #[serde(default)]
    pub(crate) retry_after_ms: u64,
    /// What exactly was wrong.
    #[serde(default)]
    pub(crate) detail: String,
}

impl Refusal {
    /// Returns the reason and the detail in one line.
    pub(crate) fn describe(&self) -> String {
        if self.detail.is_empty() {
            self.reason.clone()
        } else {
            format!("{} ({})", self.reason, self.detail)
        }
    }

    /// Returns whether the refusal may concern the question about a job instead of the job.
    ///
    /// A stopping or overloaded entry, and one that reaches no candidate, refuses any request with
    /// the same reasons as a job.
    pub(crate) fn may_concern_request(&self) -> bool {
        matches!(
            self.reason.as_str(),
            "draining" | "overloaded" | "unreachable"
        )
    }

    fn retry_help(&self) -> Option<String> {
        (self.retry_after_ms > 0).then(|| {
            format!(
                "another attempt is worthwhile in {} ms",
                self.retry_after_ms
            )
        })
    }
}

impl Answer {
    /// Reads the answer in a reply, whatever its status.
    pub(crate) fn from_reply(reply: &Reply) -> Option<Self> {
        serde_json::from_str(&reply.text).ok()
    }

    /// Prints the results as a table, or the answer as it came if `json` is set.
    ///
    /// # Errors
    ///
    /// Returns a failure if standard output can't be written.
    pub(crate) fn print(&self, reply: &Reply, json: bool) -> Result<()> {
        if json {
            return output::print_json(&reply.json());
        }
        match &self.verdict {
            Verdict::Answered { results } => {
                output::print(&format!("job {} answered", self.id))?;
                let mut table = Table::new(["TASK", "RESULT"]);
                for (number, result) in results.iter().enumerate() {
                    table.add_row([number.to_string(), result.to_string()]);
                }
                output::print(&table.to_string())
            }
            Verdict::NotRun(_) | Verdict::MayHaveRun(_) => Ok(()),
        }
    }

    /// Returns the failure that the verdict stands for.
    ///
    /// # Errors
    ///
    /// Returns a failure unless the job was answered.
    pub(crate) fn to_result(&self) -> Result<()> {
        let (failure, refusal) = match &self.verdict {
            Verdict::Answered { .. } => return Ok(()),
            Verdict::NotRun(refusal) => (
                Failure::refused(format!(
                    "job {} did not run: {}",
                    self.id,
                    refusal.describe()
                )),
                refusal,
            ),
            Verdict::MayHaveRun(refusal) => (
                Failure::may_have_run(format!(
                    "job {} failed and may have run: {}",
                    self.id,
                    refusal.describe()
                )),
                refusal,
            ),
        };
        Err(match refusal.retry_help() {
            Some(help) => failure.with_help(help),
            None => failure,
        })
    }
}
