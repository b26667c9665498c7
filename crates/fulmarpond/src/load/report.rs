//! Report of a run.

use std::fmt;

use serde::Serialize;

use super::{LedgerCheck, Messages, Quantiles, VerdictCount};
use crate::table::Table;

/// The report of a run, displayed as tables or serialized as JSON.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The label given by the caller.
    pub label: Option<String>,
    /// The seed of the schedule.
    pub seed: u64,
    /// Scheduled jobs per second outside of bursts.
    pub planned_rate: f64,
    /// Jobs per second that arrived during the scheduled duration.
    pub offered_rate: f64,
    /// Answered jobs per second until the last reply.
    pub achieved_rate: f64,
    /// Seconds until the last reply.
    pub elapsed_s: f64,
    /// All jobs.
    pub jobs: u64,
    /// The tasks of all jobs.
    pub tasks: u64,
    /// The tasks of answered jobs.
    pub answered_tasks: u64,
    /// Jobs per verdict and reason.
    pub verdicts: Vec<VerdictCount>,
    /// Response times of answered jobs divided by their ideal.
    pub response_over_ideal: Quantiles,
    /// Response times of answered jobs in milliseconds.
    pub response_ms: Quantiles,
    /// The pool of client threads.
    pub clients: Clients,
    /// Messages between the processes, if metrics pages were given.
    pub messages: Option<Messages>,
    /// The check of the ledgers, if any were given.
    pub ledger: Option<LedgerCheck>,
}

/// The pool of client threads during a run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Clients {
    /// The number of threads.
    pub threads: usize,
    /// Whether a thread was free at each arrival. If not, response times include queueing in the
    /// load generator.
    pub enough: bool,
    /// The jobs that arrived while all threads were busy.
    pub late_jobs: u64,
    /// The highest number of jobs open at once, including those without a free thread.
    pub peak_open: usize,
    /// The longest delay in milliseconds between a scheduled arrival and the sending of its
    /// request.
    pub max_lag_ms: f64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(label) = &self.label {
            writeln!(f, "{label}\n")?;
        }
        let mut run = Table::new([
            "SEED",
            "JOBS",
            "TASKS",
            "PLANNED/S",
            "OFFERED/S",
            "ACHIEVED/S",
            "SECONDS",
        ]);
        run.add_row([
            self.seed.to_string(),
            self.jobs.to_string(),
            self.tasks.to_string(),
            format!("{:.1}", self.planned_rate),
            format!("{:.1}", self.offered_rate),
            format!("{:.1}", self.achieved_rate),
            format!("{:.1}", self.elapsed_s),
        ]);
        writeln!(f, "{run}")?;
        let mut verdicts = Table::new(["VERDICT", "REASON", "JOBS"]);
        for count in &self.verdicts {
            let reason = if count.reason.is_empty() {
                "-"
            } else {
                &count.reason
            };
            verdicts.add_row([
                count.verdict.clone(),
                reason.to_owned(),
                count.jobs.to_string(),
            ]);
        }
        writeln!(f, "{verdicts}")?;
        let mut response = Table::new(["RESPONSE", "COUNT", "P50", "P90", "P99", "P99.9", "MAX"]);
        for (name, quantiles) in [
            ("over ideal", &self.response_over_ideal),
            ("ms", &self.response_ms),
        ] {
            let value = |value: f64| match quantiles.count {
                0 => "-".to_owned(),
                _ => format!("{value:.3}"),
            };
            response.add_row([
                name.to_owned(),
                quantiles.count.to_string(),
                value(quantiles.p50),
                value(quantiles.p90),
                value(quantiles.p99),
                value(quantiles.p999),
                value(quantiles.max),
            ]);
        }
        write!(f, "{response}")?;
        if let Some(messages) = &self.messages {
            writeln!(f, "\n{}", messages_table(messages))?;
            write_unread(f, "metrics", &messages.unread)?;
        }
        if let Some(ledger) = &self.ledger {
            let mut table = Table::new(["STARTS", "STARTED TWICE", "STARTED BUT NOT RUN"]);
            table.add_row([
                ledger.starts.to_string(),
                ledger.repeated.len().to_string(),
                ledger.denied.len().to_string(),
            ]);
            writeln!(f, "\n{table}")?;
            write_unread(f, "ledger", &ledger.unread)?;
        }
        if !self.clients.enough {
            writeln!(
                f,
                "\n{} jobs arrived while all {} clients were busy; response times contain up to \
                 {:.1} ms of waiting for a client",
                self.clients.late_jobs, self.clients.threads, self.clients.max_lag_ms
            )?;
        }
        Ok(())
    }
}

fn messages_table(messages: &Messages) -> Table {
    let optional = |value: Option<f64>, unit: &str| {
        value.map_or_else(|| "-".to_owned(), |value| format!("{value:.3}{unit}"))
    };
    let mut table = Table::new(["MESSAGES", "PER TASK", "WASTED", "WASTED SHARE"]);
    table.add_row([
        messages.total.to_string(),
        optional(messages.per_task, ""),
        messages.wasted.to_string(),
        optional(messages.wasted_percent, "%"),
    ]);
    table
}

fn write_unread(f: &mut fmt::Formatter<'_>, subject: &str, errors: &[String]) -> fmt::Result {
    for error in errors {
        writeln!(f, "{subject} not read: {error}")?;
    }
    Ok(())
}
