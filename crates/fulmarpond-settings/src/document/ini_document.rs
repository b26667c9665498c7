//! An INI document.

use std::ops::Range;

use ini::{Ini, ParseOption};

use super::{Entry, Section, SettingsError, SettingsErrors};

/// An INI document that keeps the place of each section and key.
///
/// A line is blank, a comment that starts with `#` or `;`, a header `[section]`, or `key = value`.
/// Values may be quoted; a comment has a line of its own.
///
/// # Examples
///
/// ```
/// use fulmarpond_settings::Document;
///
/// let document = Document::parse("agent.ini", "[daemon]\nzone = Saga\n").unwrap();
/// let zone = document.get("daemon", "zone").unwrap();
/// assert_eq!((zone.value.as_str(), zone.line), ("Saga", 2));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    name: String,
    text: String,
    sections: Vec<Section>,
    entries: Vec<Entry>,
}

enum Line {
    Blank,
    Header(String),
    Pair(String, String),
}

impl Document {
    /// Reads a document; `name` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// Returns all lines that are not valid INI, and keys that stand before the first section.
    pub fn parse(name: &str, text: &str) -> super::Result<Self> {
        let mut document = Self {
            name: name.to_owned(),
            text: text.to_owned(),
            sections: Vec::new(),
            entries: Vec::new(),
        };
        let mut errors = Vec::new();
        let mut section = String::new();
        for (line, span) in spans(text) {
            // rust-ini reports no line of a key, so each line is parsed by itself.
            match parse_line(&text[span.clone()]) {
                Ok(Line::Blank) => {}
                Ok(Line::Header(name)) => {
                    section.clone_from(&name);
                    document.sections.push(Section { name, line, span });
                }
                Ok(Line::Pair(key, _)) if document.sections.is_empty() => {
                    errors.push(SettingsError {
                        section: String::new(),
                        key: Some(key),
                        line,
                        span,
                        message: "the key stands before the first section".to_owned(),
                    });
                }
                Ok(Line::Pair(key, value)) => document.entries.push(Entry {
                    section: section.clone(),
                    key,
                    value,
                    line,
                    span,
                }),
                Err(message) => errors.push(SettingsError {
                    section: section.clone(),
                    key: None,
                    line,
                    span,
                    message,
                }),
            }
        }
        if errors.is_empty() {
            Ok(document)
        } else {
            Err(SettingsErrors::new(name, text, errors))
        }
    }

    /// Returns the name of the file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the whole text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the section headers in the order of the file; a name may occur more than once.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Returns the keys in the order of the file; a key may occur more than once.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the first occurrence of `key` in `section`.
    pub fn get(&self, section: &str, key: &str) -> Option<&Entry> {
        self.entries
            .iter()
            .find(|entry| entry.section == section && entry.key == key)
    }

    /// Returns the line and the bytes at which the absence of a key in `section` is reported.
    pub(crate) fn place(&self, section: &str) -> (usize, Range<usize>) {
        if let Some(header) = self.sections.iter().find(|header| header.name == section) {
            return (header.line, header.span.clone());
        }
        let end = self.text.trim_end().len();
        let line = self.text[..end].lines().count().max(1);
        let start = self.text[..end].rfind('\n').map_or(0, |at| at + 1);
        (line, start..end)
    }
}

/// Returns the number of each line and its bytes without surrounding blanks.
pub(crate) fn spans(text: &str) -> impl Iterator<Item = (usize, Range<usize>)> {
    let mut start = 0;
    text.split_inclusive('\n')
        .enumerate()
        .map(move |(index, raw)| {
            let begin = start;
            start += raw.len();
            let blank = |c: char| c.is_whitespace() || c == '\u{feff}';
            let from = begin + (raw.len() - raw.trim_start_matches(blank).len());
            let length = raw.trim_matches(blank).len();
            (index + 1, from..from + length)
        })
}

fn parse_line(line: &str) -> super::Result<Line, String> {
    let option = ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(line, option).map_err(|_| explain(line))?;
    let mut lines = Vec::new();
    for (section, properties) in &ini {
        lines.extend(section.map(|name| Line::Header(name.to_owned())));
        let pairs = properties.iter();
        lines.extend(pairs.map(|(key, value)| Line::Pair(key.to_owned(), value.to_owned())));
    }
    match (lines.pop(), lines.is_empty()) {
        (None, _) => Ok(Line::Blank),
        (Some(Line::Header(name)), true) if !name.is_empty() && line.ends_with(']') => {
            Ok(Line::Header(name))
        }
        (Some(Line::Pair(key, value)), true) => {
            if has_comment(line, &value) {
                return Err(
                    "a comment needs a line of its own; quote the value if `#` or `;` belongs to it"
                        .to_owned(),
                );
            }
            Ok(Line::Pair(key, value))
        }
        _ => Err(explain(line)),
    }
}

/// Returns whether an unquoted part of the value looks like a comment.
fn has_comment(line: &str, value: &str) -> bool {
    let raw = line
        .split_once(['=', ':'])
        .map_or("", |(_, raw)| raw.trim());
    let quoted = ['"', '\''].into_iter().any(|quote| {
        let inner = raw
            .strip_prefix(quote)
            .and_then(|rest| rest.strip_suffix(quote));
        inner == Some(value)
    });
    !quoted && (value.contains(" #") || value.contains(" ;"))
}

fn explain(line: &str) -> String {
    let message = if line.contains('\r') {
        "a carriage return stands inside the line"
    } else if line.starts_with('[') {
        "expected a section header `[name]` alone on its line"
    } else if line.starts_with(['=', ':']) {
        "the key before `=` is missing"
    } else if line.contains(['=', ':']) {
        "the quote of the value is not closed"
    } else {
        "expected `key = value`"
    };
    message.to_owned()
}
