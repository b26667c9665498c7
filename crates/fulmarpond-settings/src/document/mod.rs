//! INI documents that record the line of each key, and errors that refer to these lines.

mod entry;
mod ini_document;
mod section;
mod settings_error;
mod settings_errors;

pub use entry::Entry;
pub use ini_document::Document;
pub(crate) use ini_document::line_spans;
pub use section::Section;
pub use settings_error::SettingsError;
pub use settings_errors::SettingsErrors;

/// Result of parsing a document.
type Result<T, E = SettingsErrors> = std::result::Result<T, E>;
