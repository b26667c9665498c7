//! `config check`: validates a patch file without applying it.

use std::path::PathBuf;

use clap::Args;
use fulmarpond_core::policy::PatchError;
use serde_json::json;

use super::apply::conflict_failure;
use super::snapshot::{Snapshot, change_json, change_lines};
use crate::cli::Options;
use crate::client::Client;
use crate::output;
use crate::patch_file;
use crate::{Failure, Result};

/// Arguments of `config check`.
#[derive(Debug, Args)]
#[command(after_help = "Exit code 3 if the patch would be refused.")]
pub(super) struct Check {
    /// Patch file
    file: PathBuf,
}

impl Check {
    pub(super) fn run(&self, client: &Client, options: &Options) -> Result<()> {
        let patch = patch_file::read(&self.file)?;
        let current = Snapshot::current(client)?;
        let values = match patch.apply(current.version, &current.values) {
            Ok(values) => values,
            Err(PatchError::Conflict { .. }) => {
                return match Snapshot::find_patch(client, &patch, current.version)? {
                    Some(version) if options.json => {
                        output::print_json(&json!({"patch": patch.id, "applied_before": version}))
                    }
                    Some(version) => output::print(&format!(
                        "patch {} was applied before as version {version}",
                        patch.id
                    )),
                    None => Err(conflict_failure(&patch, current.version)),
                };
            }
            Err(error) => {
                return Err(Failure::refused(format!("patch {}: {error}", patch.id)));
            }
        };
        let changes = fulmarpond_settings::diff(&current.values, &values);
        if options.json {
            return output::print_json(
                &json!({"patch": patch.id, "applied_before": null, "changes": change_json(&changes)}),
            );
        }
        output::print(&format!(
            "patch {} applies to version {}\n{}",
            patch.id,
            current.version,
            change_lines(&changes)
        ))
    }
}
