//! `config log`: lists the newest versions.

use clap::Args;
use fulmarpond_core::policy::Version;
use fulmarpond_settings::Change;
use serde_json::{Value, json};

use super::snapshot::{Snapshot, change_json};
use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output;
use crate::table::Table;

/// Arguments of `config log`.
#[derive(Debug, Args)]
pub(super) struct Log {
    /// Maximum number of versions to list
    #[arg(short, long, value_name = "N", default_value_t = 10)]
    number: u64,
}

impl Log {
    pub(super) fn run(&self, client: &Client, options: &Options) -> Result<()> {
        let mut table = Table::new(["VERSION", "PATCH", "AUTHOR", "CHANGED KEYS"]);
        let mut raw: Vec<Value> = Vec::new();
        let mut newer = Some(Snapshot::current(client)?);
        for _ in 0..self.number {
            let Some(snapshot) = newer else {
                break;
            };
            let older = match snapshot.version.0.checked_sub(1) {
                Some(older) => Snapshot::find(client, Version(older))?,
                None => None,
            };
            // Version 0, the built-in configuration, has no predecessor. If the predecessor of
            // another version can't be read, the changes are unknown.
            let changes = match &older {
                Some(older) => Some(fulmarpond_settings::diff(&older.values, &snapshot.values)),
                None if snapshot.version.0 == 0 => Some(Vec::new()),
                None => None,
            };
            table.add_row([
                snapshot.version.to_string(),
                text_or_dash(snapshot.patch.as_deref()),
                text_or_dash(snapshot.author.as_deref()),
                changes
                    .as_deref()
                    .map_or_else(|| "?".to_owned(), changed_keys),
            ]);
            raw.push(json!({
                "version": snapshot.version,
                "patch": snapshot.patch,
                "author": snapshot.author,
                "changes": changes.as_deref().map(change_json),
            }));
            newer = older;
        }
        if options.json {
            output::print_json(&raw.into())
        } else {
            output::print(&table.to_string())
        }
    }
}

fn text_or_dash(value: Option<&str>) -> String {
    value
        .filter(|value| !value.is_empty())
        .unwrap_or("-")
        .to_owned()
}

/// Returns the changed keys, separated by spaces.
fn changed_keys(changes: &[Change]) -> String {
    let keys: Vec<&str> = changes.iter().map(Change::key).collect();
    text_or_dash(Some(&keys.join(" ")))
}
