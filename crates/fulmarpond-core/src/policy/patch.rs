//! Patches against a configuration version.

use std::collections::BTreeMap;

use fulmarpond_derive::message;
use thiserror::Error;

use super::{InvalidPolicy, Policy, Values, Version};

/// A change of the configuration, made for one version.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The id by which its author finds it again after a lost reply.
    pub id: String,
    /// The version that it applies to.
    pub base: Version,
    /// Who wrote it.
    #[serde(default)]
    pub author: String,
    /// The values to set.
    #[serde(default)]
    pub set: BTreeMap<String, String>,
    /// The keys to remove.
    #[serde(default)]
    pub unset: Vec<String>,
}

/// Why a patch can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The patch was made for another version.
    #[error("the patch applies to version {base}, but version {current} is in force")]
    Conflict {
        /// The version that the patch applies to.
        base: Version,
        /// The version in force.
        current: Version,
    },
    /// A key to remove does not exist.
    #[error("key `{0}` to remove does not exist")]
    UnknownKey(String),
    /// The patch has no id.
    #[error("field `id` is empty")]
    NoId,
    /// The resulting values are not valid.
    #[error(transparent)]
    Invalid(#[from] InvalidPolicy),
}

impl Patch {
    /// Applies the patch to the values of `current`.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch was made for another version or if the result is not valid.
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
