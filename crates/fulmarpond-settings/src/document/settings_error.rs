//! One problem of a file.

use std::fmt;
use std::ops::Range;

/// One problem of a file, with its place.
///
/// A missing key is reported at the header of its section, or at the end of the file if the section
/// is missing too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The section, empty outside of all sections.
    pub section: String,
    /// The key, if the problem concerns one.
    pub key: Option<String>,
    /// The line, counted from 1.
    pub line: usize,
    /// The bytes of the offending text.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for SettingsError {}
