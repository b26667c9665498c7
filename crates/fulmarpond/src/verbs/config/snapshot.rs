//! One version of the configuration as returned by an entry.

use fulmarpond_core::policy::{Patch, Values, Version};
use fulmarpond_settings::Change;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::client::{Client, Method, REPLY_MARGIN, Reply};
use crate::{Failure, Result};

/// Maximum number of versions after the base of a patch that are searched for the patch. An applied
/// patch is the version right after its base; the limit only avoids reading every version since a
/// very old base.
const MAX_SEARCHED_VERSIONS: u64 = 100;

/// One version of the configuration.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub(super) struct Snapshot {
    /// The version.
    pub(super) version: Version,
    /// The id of the patch that created it.
    #[serde(default)]
    pub(super) patch: Option<String>,
    /// The author of the patch.
    #[serde(default)]
    pub(super) author: Option<String>,
    /// All values.
    #[serde(default)]
    pub(super) values: Values,
}

impl Snapshot {
    /// Fetches the version in force.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied or if the reply is not a configuration.
    pub(super) fn current(client: &Client) -> Result<Self> {
        let subject = "configuration";
        Self::parse(subject, &get(client, "/v1/config")?)
    }

    /// Fetches a version that must exist.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied or if the version does not exist.
    pub(super) fn read(client: &Client, version: Version) -> Result<Self> {
        Self::find(client, version)?.ok_or_else(|| {
            Failure::refused(format!("configuration version {version} does not exist"))
        })
    }

    /// Fetches a version, or returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied or if the reply is not a configuration.
    pub(super) fn find(client: &Client, version: Version) -> Result<Option<Self>> {
        let reply = get(client, &format!("/v1/config/{version}"))?;
        if reply.status == 404 {
            return Ok(None);
        }
        Self::parse(&format!("configuration version {version}"), &reply).map(Some)
    }

    /// Searches the versions after the base of a patch, up to `current`, for the patch.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied or if a version can't be read, since that version may
    /// be the patch.
    pub(super) fn find_patch(
        client: &Client,
        patch: &Patch,
        current: Version,
    ) -> Result<Option<Version>> {
        let last = current
            .0
            .min(patch.base.0.saturating_add(MAX_SEARCHED_VERSIONS));
        for version in (patch.base.0.saturating_add(1)..=last).map(Version) {
            let found = Self::find(client, version)?.ok_or_else(|| {
                Failure::may_have_run(format!(
                    "patch {} may be version {version}, which can't be read",
                    patch.id
                ))
                .with_help("apply the patch again to find out")
            })?;
            if found.patch.as_ref() == Some(&patch.id) {
                return Ok(Some(version));
            }
        }
        Ok(None)
    }

    fn parse(subject: &str, reply: &Reply) -> Result<Self> {
        serde_json::from_value(reply.success_json(subject)?)
            .map_err(|error| Failure::may_have_run(format!("{subject}: {error}")))
    }
}

fn get(client: &Client, path: &str) -> Result<Reply> {
    client.request_any(Method::Get, path, None, REPLY_MARGIN)
}

/// Formats changes as text, one line each.
pub(super) fn change_lines(changes: &[Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

/// Formats changes as JSON.
pub(super) fn change_json(changes: &[Change]) -> Value {
    changes
        .iter()
        .map(|change| match change {
            Change::Added { key, value } => json!({"key": key, "old": null, "new": value}),
            Change::Removed { key, value } => json!({"key": key, "old": value, "new": null}),
            Change::Changed { key, old, new } => json!({"key": key, "old": old, "new": new}),
        })
        .collect()
}
