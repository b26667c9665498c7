//! A section header of a document.

use std::ops::Range;

/// A section header and its place in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The bytes of the line in the text, without surrounding blanks.
    pub span: Range<usize>,
}
