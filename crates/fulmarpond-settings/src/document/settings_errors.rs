//! All errors in a file.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use super::SettingsError;

/// All errors in a file, ordered by line.
///
/// As a [`miette::Diagnostic`], it has the text of the file and one label per error, so that a
/// report shows each invalid line. The [`Display`](fmt::Display) output contains only the number of
/// errors, because a report prints it above the labels; use [`errors`](SettingsErrors::errors) for
/// logs.
#[derive(Debug, Clone)]
pub struct SettingsErrors {
    source: NamedSource<String>,
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(crate) fn new(name: &str, text: &str, mut errors: Vec<SettingsError>) -> Self {
        errors.sort_by_key(|error| error.line);
        Self {
            source: NamedSource::new(name, text.to_owned()),
            errors,
        }
    }

    /// Returns the errors, ordered by line.
    pub fn errors(&self) -> &[SettingsError] {
        &self.errors
    }

    /// Returns the name of the file.
    pub fn name(&self) -> &str {
        self.source.name()
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.errors.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        write!(f, "{}: {count} {noun}", self.name())
    }
}

impl std::error::Error for SettingsErrors {}

impl Diagnostic for SettingsErrors {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.errors.iter().map(|error| {
            let text = match &error.key {
                Some(key) => format!("{key}: {}", error.message),
                None => error.message.clone(),
            };
            LabeledSpan::new_with_span(Some(text), error.span.clone())
        })))
    }

    /// Lists the errors of a blank file, because a report has no line to attach labels to.
    fn help(&self) -> Option<Box<dyn fmt::Display + '_>> {
        if !self.source.inner().trim().is_empty() {
            return None;
        }
        let lines: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        Some(Box::new(lines.join("\n")))
    }
}
