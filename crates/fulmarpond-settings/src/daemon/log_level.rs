//! The importance of a log line.

use std::str::FromStr;

/// The importance of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogLevel {
    /// A fault that needs attention.
    Error,
    /// A fault that was handled.
    Warn,
    /// A change of state.
    Info,
    /// Details of decisions.
    Debug,
    /// Every message.
    Trace,
}

impl LogLevel {
    /// Returns the name as it stands in a settings file.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl FromStr for LogLevel {
    type Err = String;

    /// Reads the name.
    ///
    /// # Errors
    ///
    /// Returns the allowed names.
    fn from_str(text: &str) -> super::Result<Self, String> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(format!(
                "expected `error`, `warn`, `info`, `debug` or `trace`, got `{text}`"
            )),
        }
    }
}
