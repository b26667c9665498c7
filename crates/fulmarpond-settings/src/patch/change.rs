//! The difference between two sets of configuration values.

use std::fmt;

use fulmarpond_core::policy::Values;

/// A key that differs between two sets of configuration values.
///
/// Its [`Display`](fmt::Display) output starts with `+` for an added, `-` for a removed and `~` for
/// a changed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key is only in the new values.
    Added {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The key is only in the old values.
    Removed {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The key has a different value.
    Changed {
        /// The key.
        key: String,
        /// The old value.
        old: String,
        /// The new value.
        new: String,
    },
}

impl Change {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Added { key, .. } | Self::Removed { key, .. } | Self::Changed { key, .. } => key,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { key, value } => write!(f, "+ {key} = {value}"),
            Self::Removed { key, value } => write!(f, "- {key} = {value}"),
            Self::Changed { key, old, new } => write!(f, "~ {key} = {old} -> {new}"),
        }
    }
}

/// Returns the changes from `old` to `new`, ordered by key.
///
/// # Examples
///
/// ```
/// use fulmarpond_settings::diff;
///
/// let old = [("team.kitchen.quota".to_owned(), "100".to_owned())].into();
/// let new = [("team.kitchen.quota".to_owned(), "200".to_owned())].into();
/// assert_eq!(diff(&old, &new)[0].to_string(), "~ team.kitchen.quota = 100 -> 200");
/// ```
pub fn diff(old: &Values, new: &Values) -> Vec<Change> {
    let mut changes: Vec<Change> = old
        .iter()
        .filter_map(|(key, value)| match new.get(key) {
            None => Some(Change::Removed {
                key: key.clone(),
                value: value.clone(),
            }),
            Some(other) if other != value => Some(Change::Changed {
                key: key.clone(),
                old: value.clone(),
                new: other.clone(),
            }),
            Some(_) => None,
        })
        .collect();
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    changes.extend(added.map(|(key, value)| Change::Added {
        key: key.clone(),
        value: value.clone(),
    }));
    changes.sort_by(|a, b| a.key().cmp(b.key()));
    changes
}
