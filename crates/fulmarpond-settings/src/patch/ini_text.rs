//! Configuration values as INI text.

use std::collections::BTreeMap;
use std::fmt::Write;

use fulmarpond_core::policy::Values;
use thiserror::Error;

use crate::reader::has_only_name_chars;

/// Quote characters, which a value must not contain because the INI parser interprets them.
const QUOTES: &str = "\"'";

/// A key or value that can't be represented as INI text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key `{key}` can't be written as INI: {reason}")]
pub struct Unrepresentable {
    /// The key.
    pub key: String,
    /// Why it can't be represented.
    pub reason: &'static str,
}

/// Formats configuration values as INI text, like a patch file without its `[patch]` section.
///
/// The part of a key before its last dot becomes the section.
///
/// # Examples
///
/// ```
/// use fulmarpond_settings::render;
///
/// let values = [("team.kitchen.quota".to_owned(), "200".to_owned())].into();
/// assert_eq!(render(&values).unwrap(), "[team.kitchen]\nquota = 200\n");
/// ```
///
/// # Errors
///
/// Returns the first key that has no section or contains characters other than `A-Z a-z 0-9 . _ -`,
/// or whose value is empty or contains characters other than visible ASCII without quotes.
pub fn render(values: &Values) -> crate::Result<String, Unrepresentable> {
    let mut sections: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    for (full_key, value) in values {
        let fail = |reason| Unrepresentable {
            key: full_key.clone(),
            reason,
        };
        let (section, key) = full_key
            .rsplit_once('.')
            .ok_or_else(|| fail("it has no section"))?;
        if section.is_empty() || key.is_empty() || !has_only_name_chars(full_key) {
            return Err(fail("it contains characters other than A-Z a-z 0-9 . _ -"));
        }
        // Every valid policy value is a number or a word, so none is rejected here.
        if value.is_empty() || value.contains(|c: char| !c.is_ascii_graphic() || QUOTES.contains(c))
        {
            return Err(fail(
                "its value is empty or contains characters other than visible ASCII without quotes",
            ));
        }
        sections.entry(section).or_default().push((key, value));
    }
    let mut text = String::new();
    for (section, keys) in sections {
        let separator = if text.is_empty() { "" } else { "\n" };
        let _ = writeln!(text, "{separator}[{section}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    Ok(text)
}
