//! A key of a document.

use std::ops::Range;

/// A key with its value and its place in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name of the section.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value, without surrounding blanks and quotes.
    pub value: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The bytes of the line in the text, without surrounding blanks.
    pub span: Range<usize>,
}
