//! `endpoints`: lists the endpoints of all agents, or their lasting speeds in leased mode.

use std::collections::BTreeMap;

use clap::Args;
use serde_json::json;

use crate::cli::Options;
use crate::client::{Client, Method, REPLY_MARGIN};
use crate::output::{self, cell, rows};
use crate::table::Table;
use crate::{Failure, Result};

/// Arguments of `endpoints`.
#[derive(Debug, Args)]
pub(crate) struct Endpoints {
    /// List the lasting speeds of endpoints in leased mode, from the metrics of the entry at
    /// `--entry`, which is then its metrics address
    #[arg(long)]
    speeds: bool,
}

impl Endpoints {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        if self.speeds {
            return list_speeds(options);
        }
        let endpoints = Client::new(options, 1)?.get_json("endpoints", "/v1/endpoints")?;
        if options.json {
            return output::print_json(&endpoints);
        }
        let mut table = Table::new(["AGENT", "ADDR", "ZONE", "SLOTS", "FREE", "QUEUED", "STATE"]);
        for row in rows(&endpoints) {
            table.add_row(
                ["agent", "addr", "zone", "slots", "free", "queued", "state"]
                    .map(|field| cell(&row[field])),
            );
        }
        output::print(&table.to_string())
    }
}

/// Prints the kind, the factor of the run time and the samples of each endpoint.
fn list_speeds(options: &Options) -> Result<()> {
    let client = Client::new(options, 1)?;
    let reply = client.request_any(Method::Get, "/metrics", None, REPLY_MARGIN)?;
    if reply.status != 200 {
        return Err(Failure::refused(format!("metrics: {}", reply.describe())));
    }
    let metrics = reply.text;
    let factors = samples(&metrics, "fulmarpond_endpoint_run_permille");
    let counts = samples(&metrics, "fulmarpond_endpoint_speed_samples");
    if options.json {
        let rows = factors.iter().map(|(labels, permille)| {
            json!({
                "agent": label(labels, "agent"),
                "kind": label(labels, "kind"),
                "run_factor": permille / 1_000.0,
                "samples": counts.get(labels).copied().unwrap_or_default() as u64,
            })
        });
        return output::print_json(&rows.collect());
    }
    let mut table = Table::new(["AGENT", "KIND", "RUN TIME", "SAMPLES"]);
    for (labels, permille) in &factors {
        table.add_row([
            label(labels, "agent").to_owned(),
            label(labels, "kind").to_owned(),
            format!("{:.2}", permille / 1_000.0),
            counts.get(labels).copied().unwrap_or_default().to_string(),
        ]);
    }
    output::print(&table.to_string())
}

/// Returns the values of a metric in the text format of Prometheus, by their labels.
fn samples<'a>(metrics: &'a str, name: &str) -> BTreeMap<&'a str, f64> {
    let values = metrics.lines().filter_map(|line| {
        let (labels, value) = line
            .strip_prefix(name)?
            .strip_prefix('{')?
            .rsplit_once("} ")?;
        Some((labels, value.parse().ok()?))
    });
    values.collect()
}

/// Returns the value of a label; empty if there is none.
fn label<'a>(labels: &'a str, name: &str) -> &'a str {
    let start = format!("{name}=\"");
    let value = labels.split_once(&start).map_or("", |(_, rest)| rest);
    value.split('"').next().unwrap_or_default()
}
