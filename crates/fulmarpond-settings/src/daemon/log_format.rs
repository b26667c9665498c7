//! The format of a log line.

use std::str::FromStr;

/// The format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Returns the name as it stands in a settings file.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Json => "json",
        }
    }
}

impl FromStr for LogFormat {
    type Err = String;

    /// Reads the name.
    ///
    /// # Errors
    ///
    /// Returns the allowed names.
    fn from_str(text: &str) -> super::Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("expected `text` or `json`, got `{text}`")),
        }
    }
}
