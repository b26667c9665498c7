//! A key-value pair of a document.

use std::ops::Range;

/// A key with its value and its location in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name of the section.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value, without surrounding whitespace and quotes.
    pub value: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The byte range of the line in the text, without surrounding whitespace.
    pub span: Range<usize>,
}
