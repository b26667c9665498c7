//! The configuration in force: versions, patches and the typed policy.

mod patch;
mod policy_values;
mod version;

pub use patch::{Patch, PatchError};
pub use policy_values::{InvalidPolicy, PlacementKind, Policy, Weigh};
pub use version::Version;

use std::collections::BTreeMap;

/// All values of a configuration version, from `section.key` to text.
pub type Values = BTreeMap<String, String>;

/// Result of checking a patch or the values of a configuration.
pub type Result<T, E = InvalidPolicy> = std::result::Result<T, E>;
