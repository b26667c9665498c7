//! Versioned configuration: versions, patches and the typed policy.

mod patch;
mod policy_values;
mod version;

pub use patch::{Patch, PatchError};
pub use policy_values::{InvalidPolicy, PlacementGoal, PlacementKind, Policy};
pub use version::Version;

use std::collections::BTreeMap;

/// The values of a configuration version as text, keyed by `section.key`.
pub type Values = BTreeMap<String, String>;

/// The result of validating a patch or the values of a configuration version.
pub type Result<T, E = InvalidPolicy> = std::result::Result<T, E>;
