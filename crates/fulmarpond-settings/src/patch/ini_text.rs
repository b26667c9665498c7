//! Configuration values as INI text.

use std::collections::BTreeMap;
use std::fmt::Write;

use fulmarpond_core::policy::Values;
use thiserror::Error;

use crate::reader::has_name_chars;

/// What a value may not contain, because a reader takes it for a quote.
const QUOTES: &str = "\"'";

/// A key or value that INI text can't hold.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key `{key}` can't be written as INI: {reason}")]
pub struct Unrepresentable {
    /// The key.
    pub key: String,
    /// What INI can't hold.
    pub reason: &'static str,
}

/// Formats configuration values as INI text, in the form of a patch file without `[patch]`.
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
/// Returns the first key that has no section or other characters than `A-Z a-z 0-9 . _ -`, or whose
/// value is empty or has other characters than visible ASCII without quotes.
pub fn render(values: &Values) -> crate::Result<String, Unrepresentable> {
    let mut sections: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    for (full, value) in values {
        let fail = |reason| Unrepresentable {
            key: full.clone(),
            reason,
        };
        let (section, key) = full
            .rsplit_once('.')
            .ok_or_else(|| fail("it has no section"))?;
        if section.is_empty() || key.is_empty() || !has_name_chars(full) {
            return Err(fail("it has other characters than A-Z a-z 0-9 . _ -"));
        }
        // No valid policy value is refused here: all of them are numbers or words.
        if value.is_empty() || value.contains(|c: char| !c.is_ascii_graphic() || QUOTES.contains(c))
        {
            return Err(fail(
                "its value is empty or has other characters than visible ASCII without quotes",
            ));
        }
        sections.entry(section).or_default().push((key, value));
    }
    let mut text = String::new();
    for (section, keys) in sections {
        let gap = if text.is_empty() { "" } else { "\n" };
        let _ = writeln!(text, "{gap}[{section}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    Ok(text)
}
