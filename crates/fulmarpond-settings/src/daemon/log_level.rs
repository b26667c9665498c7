//! The severity of a log line.

use std::str::FromStr;

/// The severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogLevel {
    /// A fault that requires an operator's attention.
    Error,
    /// A fault that the daemon handled.
    Warn,
    /// A change of state.
    Info,
    /// Details of decisions.
    Debug,
    /// Every message.
    Trace,
}

impl LogLevel {
    /// Returns the name used in settings files.
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

    /// Parses the name used in settings files.
    ///
    /// # Errors
    ///
    /// Returns a message that lists the valid names.
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
