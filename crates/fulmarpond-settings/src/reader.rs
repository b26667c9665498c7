//! Reading of checked values from a document.

use crate::document::{Document, Entry, Section, SettingsError, SettingsErrors};

/// Reads values from a document and collects all problems.
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

    /// Reads an optional key. Returns `None` if the key is absent or faulty.
    pub(crate) fn optional<T>(
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
        result.map_err(|message| self.at(entry, message)).ok()
    }

    /// Reads a key that must be there. Returns `None` after reporting a problem.
    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> crate::Result<T, String>,
    ) -> Option<T> {
        if self.document.get(section, key).is_none() {
            self.missing(section, key);
            return None;
        }
        self.optional(section, key, parse)
    }

    /// Reports a problem of an entry.
    pub(crate) fn at(&mut self, entry: &Entry, message: String) {
        self.errors.push(SettingsError {
            section: entry.section.clone(),
            key: Some(entry.key.clone()),
            line: entry.line,
            span: entry.span.clone(),
            message,
        });
    }

    /// Reports a problem of a section header.
    pub(crate) fn at_header(&mut self, header: &Section, message: String) {
        self.errors.push(SettingsError {
            section: header.name.clone(),
            key: None,
            line: header.line,
            span: header.span.clone(),
            message,
        });
    }

    /// Reports a problem of a section as a whole.
    pub(crate) fn at_section(&mut self, section: &str, message: String) {
        let (line, span) = self.document.place(section);
        self.errors.push(SettingsError {
            section: section.to_owned(),
            key: None,
            line,
            span,
            message,
        });
    }

    fn missing(&mut self, section: &str, key: &str) {
        let (line, span) = self.document.place(section);
        self.errors.push(SettingsError {
            section: section.to_owned(),
            key: Some(key.to_owned()),
            line,
            span,
            message: format!("the key is missing from section [{section}]"),
        });
    }

    /// Reports every further occurrence of a key.
    pub(crate) fn duplicates(&mut self) {
        let entries = self.document.entries();
        for (index, entry) in entries.iter().enumerate() {
            let first = entries[..index]
                .iter()
                .find(|other| other.section == entry.section && other.key == entry.key);
            if let Some(first) = first {
                let message = format!("duplicate key, first set on line {}", first.line);
                self.at(entry, message);
            }
        }
    }

    /// Returns whether a problem of this key was reported.
    pub(crate) fn is_faulty(&self, section: &str, key: &str) -> bool {
        self.errors
            .iter()
            .any(|error| error.section == section && error.key.as_deref() == Some(key))
    }

    /// Returns whether no problem was reported.
    pub(crate) fn is_clean(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns `value` if no problem was reported, else all problems.
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

/// Returns the hint for an unknown name that is close to a known one, else an empty text.
pub(crate) fn hint<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    // Two edits cover a swapped pair and a missing or doubled letter without far-fetched matches;
    // short names get one.
    let allowed = if name.len() < 5 { 1 } else { 2 };
    known
        .into_iter()
        .map(|candidate| (strsim::osa_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map_or_else(String::new, |(_, candidate)| {
            format!(", did you mean `{candidate}`?")
        })
}

/// Checks a name of 1 to 64 characters of `A-Z a-z 0-9 . _ -`.
pub(crate) fn name(text: &str) -> crate::Result<String, String> {
    if text.len() > 64 || !has_name_chars(text) {
        return Err(format!(
            "expected 1 to 64 characters of A-Z a-z 0-9 . _ -, got `{text}`"
        ));
    }
    Ok(text.to_owned())
}

/// Returns whether `text` consists of characters of `A-Z a-z 0-9 . _ -` and is not empty.
pub(crate) fn has_name_chars(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    !text.is_empty() && text.bytes().all(allowed)
}
