//! INI documents that know where each key stands, and the errors that point into them.

mod entry;
mod ini_document;
mod section;
mod settings_error;
mod settings_errors;

pub use entry::Entry;
pub use ini_document::Document;
pub(crate) use ini_document::spans;
pub use section::Section;
pub use settings_error::SettingsError;
pub use settings_errors::SettingsErrors;

/// Result of reading a document.
type Result<T, E = SettingsErrors> = std::result::Result<T, E>;
