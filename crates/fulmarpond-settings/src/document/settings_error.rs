//! One error in a file.

use std::fmt;
use std::ops::Range;

/// One error in a file, with its location.
///
/// A missing key is reported at the first header of its section, or at the last line that is not
/// blank if the section is missing too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The section; empty before the first section header.
    pub section: String,
    /// The key, if the error concerns one.
    pub key: Option<String>,
    /// The line number, starting at 1.
    pub line: usize,
    /// The byte range of the invalid text.
    pub span: Range<usize>,
    /// The description of the error.
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
