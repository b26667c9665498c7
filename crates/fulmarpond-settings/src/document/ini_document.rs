//! An INI document.

use std::ops::Range;

use ini::{Ini, ParseOption};

use super::{Entry, Section, SettingsError, SettingsErrors};

/// An INI document that records the location of each section header and key.
///
/// A line is blank, a comment that starts with `#` or `;`, a header `[section]`, or `key = value`.
/// Values may be quoted. A comment must be on its own line.
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
    /// Parses a document; `name` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// Returns an error for each line that is not valid INI and for each key before the first
    /// section.
    pub fn parse(name: &str, text: &str) -> super::Result<Self> {
        let mut document = Self {
            name: name.to_owned(),
            text: text.to_owned(),
            sections: Vec::new(),
            entries: Vec::new(),
        };
        let mut errors = Vec::new();
        let mut section = String::new();
        for (line, span) in line_spans(text) {
            // rust-ini doesn't report the line of a key, so each line is parsed separately.
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
                        message: "the key is before the first section".to_owned(),
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

    /// Returns the file name that is shown in errors.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the text of the file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the section headers in file order; a section may have several headers.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Returns the key-value pairs in file order; a key may occur more than once.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the first occurrence of `key` in `section`.
    pub fn get(&self, section: &str, key: &str) -> Option<&Entry> {
        self.entries
            .iter()
            .find(|entry| entry.section == section && entry.key == key)
    }

    /// Returns the line number and byte range at which errors of `section` as a whole are reported,
    /// such as a missing key: its first header, or the last line that is not blank if it has none.
    pub(crate) fn section_location(&self, section: &str) -> (usize, Range<usize>) {
        if let Some(header) = self.sections.iter().find(|header| header.name == section) {
            return (header.line, header.span.clone());
        }
        let end = self.text.trim_end().len();
        let line = self.text[..end].lines().count().max(1);
        let start = self.text[..end].rfind('\n').map_or(0, |at| at + 1);
        (line, start..end)
    }
}

/// Returns the number of each line and its byte range without surrounding whitespace and byte order
/// mark.
pub(crate) fn line_spans(text: &str) -> impl Iterator<Item = (usize, Range<usize>)> {
    let mut start = 0;
    text.split_inclusive('\n')
        .enumerate()
        .map(move |(index, raw)| {
            let line_start = start;
            start += raw.len();
            let is_blank = |c: char| c.is_whitespace() || c == '\u{feff}';
            let content_start = line_start + (raw.len() - raw.trim_start_matches(is_blank).len());
            let length = raw.trim_matches(is_blank).len();
            (index + 1, content_start..content_start + length)
        })
}

fn parse_line(line: &str) -> super::Result<Line, String> {
    let option = ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(line, option).map_err(|_| syntax_error_message(line))?;
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
            if has_trailing_comment(line, &value) {
                return Err(
                    "a comment must be on its own line; quote the value if `#` or `;` is part of it"
                        .to_owned(),
                );
            }
            Ok(Line::Pair(key, value))
        }
        _ => Err(syntax_error_message(line)),
    }
}

/// Returns whether an unquoted value contains a `#` or `;` after a space, which the author probably
/// meant as a comment.
fn has_trailing_comment(line: &str, value: &str) -> bool {
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

/// Returns the message for a line that is not valid INI.
fn syntax_error_message(line: &str) -> String {
    let message = if line.contains('\r') {
        "the line contains a carriage return"
    } else if line.starts_with('[') {
        "expected a section header `[name]` alone on its line"
    } else if line.starts_with(['=', ':']) {
        "the key before `=` is missing"
    } else if line.contains(['=', ':']) {
        "the quoted value has no closing quote"
    } else {
        "expected `key = value`"
    };
    message.to_owned()
}
