//! Patches to a configuration version.

use std::collections::BTreeMap;

use fulmarpond_derive::message;
use thiserror::Error;

use super::{InvalidPolicy, Policy, Values, Version};

/// A change of the configuration, based on one version.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The ID that makes the patch idempotent: after a lost reply, its author submits it again with
    /// the same ID.
    pub id: String,
    /// The version that the patch is based on.
    pub base: Version,
    /// The author of the patch.
    #[serde(default)]
    pub author: String,
    /// The values to set.
    #[serde(default)]
    pub set: BTreeMap<String, String>,
    /// The keys to remove.
    #[serde(default)]
    pub unset: Vec<String>,
}

/// Why a patch cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The patch is based on another version than the active one.
    #[error("the patch applies to version {base}, but version {current} is in force")]
    Conflict {
        /// The version that the patch is based on.
        base: Version,
        /// The active version.
        current: Version,
    },
    /// A key in `unset` does not exist.
    #[error("key `{0}` to remove does not exist")]
    UnknownKey(String),
    /// The patch has no ID.
    #[error("field `id` is empty")]
    NoId,
    /// The resulting values are invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidPolicy),
}

impl Patch {
    /// Applies the patch to the values of version `current` and returns the new values.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch has no ID, is based on another version or removes a key that
    /// does not exist, or if the resulting values are invalid.
    pub fn apply(&self, current: Version, values: &Values) -> super::Result<Values, PatchError> {
        if self.id.is_empty() {
            return Err(PatchError::NoId);
        }
        if self.base != current {
            return Err(PatchError::Conflict {
                base: self.base,
                current,
            });
        }
        let mut values = values.clone();
        for key in &self.unset {
            if values.remove(key).is_none() {
                return Err(PatchError::UnknownKey(key.clone()));
            }
        }
        values.extend(
            self.set
                .iter()
                .map(|(key, value)| (key.clone(), value.clone())),
        );
        Policy::try_from(&values)?;
        Ok(values)
    }
}
