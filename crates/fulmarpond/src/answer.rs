//! Answer of an entry to a job.

use serde::Deserialize;
use serde_json::Value;

use crate::client::Reply;
use crate::output;
use crate::table::Table;
use crate::{Failure, Result};

/// The answer to a job as returned by an entry.
///
/// The reason is kept as text, so that the tool can show reasons that it does not know.
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
    /// Every task has a result.
    Answered {
        /// One result per task.
        results: Vec<Value>,
    },
    /// The job has not run and will not run.
    NotRun(Refusal),
    /// The job may have run, in whole or in part.
    MayHaveRun(Refusal),
}

/// Why a job has no results.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Refusal {
    /// Machine-readable reason.
    pub(crate) reason: String,
    /// Milliseconds after which a retry is worthwhile; 0 if the entry gives no hint.
    #[serde(default)]
    pub(crate) retry_after_ms: u64,
    /// Further information for people.
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

    /// Returns whether the refusal may apply to the query or cancellation request instead of the
    /// job.
    ///
    /// An entry that drains, is overloaded or reaches no candidate agent refuses every request with
    /// the same reasons that it gives for a job.
    pub(crate) fn may_concern_request(&self) -> bool {
        matches!(
            self.reason.as_str(),
            "draining" | "overloaded" | "unreachable"
        )
    }

    fn retry_help(&self) -> Option<String> {
        (self.retry_after_ms > 0).then(|| format!("retry after {} ms", self.retry_after_ms))
    }
}

impl Answer {
    /// Parses the answer in a reply with any status.
    pub(crate) fn from_reply(reply: &Reply) -> Option<Self> {
        serde_json::from_str(&reply.text).ok()
    }

    /// Prints the results as a table, or the answer as received if `json` is set.
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

    /// Converts the verdict into the result of the command.
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
