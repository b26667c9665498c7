//! Checked INI settings of the fulmarpond programs.
//!
//! Raw text becomes a [`Document`], which keeps the line of each key, and a document becomes typed
//! settings: [`DaemonSettings`] for the daemon, [`PatchFile`] for a change of the configuration.
//! [`TokenFile`] reads the tokens of callers and operators. All problems of a file are reported
//! together as [`SettingsErrors`], which shows each offending line.

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
pub use leased::{LeasedRole, LeasedSettings, LeasedTiming};
pub use patch::{Change, PatchFile, Unrepresentable, diff, render};
pub use token::{Token, TokenFile};

/// Result of reading a file.
pub type Result<T, E = SettingsErrors> = std::result::Result<T, E>;
