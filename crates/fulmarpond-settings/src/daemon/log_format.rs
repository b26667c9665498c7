//! The format of a log line.

use std::str::FromStr;

/// The format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Returns the name used in settings files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Json => "json",
        }
    }
}

impl FromStr for LogFormat {
    type Err = String;

    /// Parses the name used in settings files.
    ///
    /// # Errors
    ///
    /// Returns a message that lists the valid names.
    fn from_str(text: &str) -> super::Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("expected `text` or `json`, got `{text}`")),
        }
    }
}
