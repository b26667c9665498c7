//! Validated INI settings of the fulmarpond programs.
//!
//! [`Document::parse`] parses the text of a file and records the line of each key. A document is
//! then converted to typed settings: [`DaemonSettings`] or, in leased mode, [`LeasedSettings`] for
//! the daemon, and [`PatchFile`] for a configuration change. [`TokenFile`] parses the tokens of
//! callers and operators. All errors in a file are reported together as [`SettingsErrors`], which
//! shows each invalid line.

mod daemon;
mod document;
mod leased;
mod patch;
mod reader;
mod token;
mod units;

pub use daemon::{
    AgentSettings, DaemonSettings, EntrySettings, InvalidSetting, LimitSettings, LogFormat,
    LogLevel, LogSettings, Role, TimingSettings,
};
pub use document::{Document, Entry, Section, SettingsError, SettingsErrors};
pub use leased::{
    EvacuationSettings, LeasedLimits, LeasedRole, LeasedSettings, LeasedSharing, LeasedTiming,
};
pub use patch::{Change, PatchFile, Unrepresentable, diff, render};
pub use token::{Token, TokenFile};

/// Result of parsing and validating a file.
pub type Result<T, E = SettingsErrors> = std::result::Result<T, E>;
