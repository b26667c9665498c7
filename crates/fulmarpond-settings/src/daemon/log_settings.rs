//! Log output of a daemon.

use super::{LogFormat, LogLevel};

/// Log output of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The minimum severity of the lines that are written, `info` by default.
    pub level: LogLevel,
    /// The format of a line, text by default.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            format: LogFormat::Text,
        }
    }
}

impl LogSettings {
    /// Sets the minimum severity of the lines that are written.
    #[must_use]
    pub const fn level(mut self, level: LogLevel) -> Self {
        self.level = level;
        self
    }

    /// Sets the format of a line.
    #[must_use]
    pub const fn format(mut self, format: LogFormat) -> Self {
        self.format = format;
        self
    }
}
