//! Reads and checks the values of a document.

use crate::document::{Document, Entry, Section, SettingsError, SettingsErrors};

/// Reads the values of a document and collects the errors of all keys and sections.
pub(crate) struct Reader<'a> {
    document: &'a Document,
    errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(document: &'a Document) -> Self {
        Self {
            document,
            errors: Vec::new(),
        }
    }

    /// Returns whether the document has a section.
    pub(crate) fn has_section(&self, section: &str) -> bool {
        let mut sections = self.document.sections().iter();
        sections.any(|header| header.name == section)
    }

    /// Reads an optional key. Returns `None` if the key is absent, or if its value is invalid,
    /// which is reported.
    pub(crate) fn read_optional<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> crate::Result<T, String>,
    ) -> Option<T> {
        let entry = self.document.get(section, key)?;
        let result = if entry.value.is_empty() {
            Err("the value is empty".to_owned())
        } else {
            parse(&entry.value)
        };
        result
            .map_err(|message| self.report_at_entry(entry, message))
            .ok()
    }

    /// Reads a required key. Returns `None` if the key is absent or its value is invalid; either is
    /// reported.
    pub(crate) fn read_required<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> crate::Result<T, String>,
    ) -> Option<T> {
        if self.document.get(section, key).is_none() {
            self.report_missing_key(section, key);
            return None;
        }
        self.read_optional(section, key, parse)
    }

    /// Records an error at the line of a key.
    pub(crate) fn report_at_entry(&mut self, entry: &Entry, message: String) {
        self.errors.push(SettingsError {
            section: entry.section.clone(),
            key: Some(entry.key.clone()),
            line: entry.line,
            span: entry.span.clone(),
            message,
        });
    }

    /// Records an error at the line of a section header.
    pub(crate) fn report_at_header(&mut self, header: &Section, message: String) {
        self.errors.push(SettingsError {
            section: header.name.clone(),
            key: None,
            line: header.line,
            span: header.span.clone(),
            message,
        });
    }

    /// Records an error that concerns a section as a whole, at its first header or, if the section
    /// is absent, at the last line of the file that is not blank.
    pub(crate) fn report_at_section(&mut self, section: &str, message: String) {
        let (line, span) = self.document.section_location(section);
        self.errors.push(SettingsError {
            section: section.to_owned(),
            key: None,
            line,
            span,
            message,
        });
    }

    fn report_missing_key(&mut self, section: &str, key: &str) {
        let (line, span) = self.document.section_location(section);
        self.errors.push(SettingsError {
            section: section.to_owned(),
            key: Some(key.to_owned()),
            line,
            span,
            message: format!("the key is missing from section [{section}]"),
        });
    }

    /// Records an error at each repetition of a key within a section, also if the section has
    /// several headers.
    pub(crate) fn report_duplicate_keys(&mut self) {
        let entries = self.document.entries();
        for (index, entry) in entries.iter().enumerate() {
            let first = entries[..index]
                .iter()
                .find(|other| other.section == entry.section && other.key == entry.key);
            if let Some(first) = first {
                let message = format!("duplicate key, first set on line {}", first.line);
                self.report_at_entry(entry, message);
            }
        }
    }

    /// Returns whether an error of this key was recorded.
    pub(crate) fn has_error(&self, section: &str, key: &str) -> bool {
        self.errors
            .iter()
            .any(|error| error.section == section && error.key.as_deref() == Some(key))
    }

    /// Returns whether no error was recorded.
    pub(crate) fn has_no_errors(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns `value` if no error was recorded, else all errors.
    pub(crate) fn finish<T>(self, value: Option<T>) -> crate::Result<T> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(SettingsErrors::new(
                self.document.name(),
                self.document.text(),
                self.errors,
            )),
        }
    }
}

/// Returns a "did you mean" suggestion if an unknown name is close to a known one, else an empty
/// string.
pub(crate) fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    // Two edits cover a transposed pair and a missing or doubled letter without unrelated matches.
    // Names shorter than 5 bytes allow only one, because two would match unrelated names.
    let max_distance = if name.len() < 5 { 1 } else { 2 };
    known
        .into_iter()
        .map(|candidate| (strsim::osa_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map_or_else(String::new, |(_, candidate)| {
            format!(", did you mean `{candidate}`?")
        })
}

/// Parses a name of 1 to 64 characters of `A-Z a-z 0-9 . _ -`.
pub(crate) fn parse_name(text: &str) -> crate::Result<String, String> {
    if text.len() > 64 || !has_only_name_chars(text) {
        return Err(format!(
            "expected 1 to 64 characters of A-Z a-z 0-9 . _ -, got `{text}`"
        ));
    }
    Ok(text.to_owned())
}

/// Returns whether `text` is not empty and has only characters of `A-Z a-z 0-9 . _ -`.
pub(crate) fn has_only_name_chars(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    !text.is_empty() && text.bytes().all(allowed)
}
