//! A section header of a document.

use std::ops::Range;

/// A section header and its location in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The byte range of the line in the text, without surrounding whitespace.
    pub span: Range<usize>,
}
