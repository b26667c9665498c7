//! `config apply`: applies a patch file.

use std::path::PathBuf;

use clap::Args;
use fulmarpond_core::policy::{Patch, Version};
use serde_json::{Value, json};

use super::snapshot::Snapshot;
use crate::cli::Options;
use crate::client::{Client, Method, REPLY_MARGIN, Reply};
use crate::output;
use crate::patch_file;
use crate::{Failure, Result};

/// Arguments of `config apply`.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit code 0 also if the patch was applied before. After exit code 4 the patch \
                  may have been applied; apply it again to find out."
)]
pub(super) struct Apply {
    /// Patch file
    file: PathBuf,
}

impl Apply {
    pub(super) fn run(&self, client: &Client, options: &Options) -> Result<()> {
        let patch = patch_file::read(&self.file)?;
        let subject = format!("patch {}", patch.id);
        let body = serde_json::to_value(&patch)
            .map_err(|error| Failure::usage(format!("{subject} can't be encoded: {error}")))?;
        // The patch id distinguishes a repeated patch from a conflict, so the request can be sent
        // to the next entry after a lost reply.
        let reply = client
            .request_any(Method::Post, "/v1/config", Some(&body), REPLY_MARGIN)
            .map_err(|failure| failure.with_help("apply the patch again to find out"))?;
        if reply.status == 409 {
            let current = version_in_force(client, &reply)?;
            return match Snapshot::find_patch(client, &patch, current)? {
                Some(version) => print_applied(options, &patch, version, true),
                None => Err(conflict_failure(&patch, current)),
            };
        }
        let accepted = reply.success_json(&subject)?;
        let version = parse_version(&accepted).ok_or_else(|| {
            Failure::may_have_run(format!("{subject}: the reply has no version"))
                .with_help("apply the patch again to find out")
        })?;
        print_applied(options, &patch, version, false)
    }
}

/// Returns the failure for a patch whose base is not the version in force.
pub(super) fn conflict_failure(patch: &Patch, current: Version) -> Failure {
    let failure = Failure::refused(format!(
        "patch {} applies to version {}, but version {current} is in force",
        patch.id, patch.base
    ));
    if patch.base > current {
        return failure;
    }
    failure.with_help(format!(
        "see `fulmarpond config diff {} {current}`, then change `base`",
        patch.base
    ))
}

/// Returns the version in force, from the reply to a conflicting patch if it contains one.
fn version_in_force(client: &Client, reply: &Reply) -> Result<Version> {
    match parse_version(&reply.json()) {
        Some(version) => Ok(version),
        None => Ok(Snapshot::current(client)?.version),
    }
}

fn parse_version(body: &Value) -> Option<Version> {
    body["version"].as_u64().map(Version)
}

fn print_applied(
    options: &Options,
    patch: &Patch,
    version: Version,
    was_applied_before: bool,
) -> Result<()> {
    if options.json {
        return output::print_json(
            &json!({"patch": patch.id, "version": version, "applied_before": was_applied_before}),
        );
    }
    let when = if was_applied_before { " before" } else { "" };
    output::print(&format!(
        "patch {} was applied{when} as version {version}",
        patch.id
    ))
}
