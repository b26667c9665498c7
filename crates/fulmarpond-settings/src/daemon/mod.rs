//! Settings of the daemon outside of leased mode.

mod agent_settings;
mod combinations;
mod daemon_settings;
mod entry_settings;
mod invalid_setting;
mod limit_settings;
mod log_format;
mod log_level;
mod log_settings;
mod role;
mod schema;
mod timing_settings;

pub use agent_settings::AgentSettings;
pub use daemon_settings::DaemonSettings;
pub use entry_settings::EntrySettings;
pub use invalid_setting::InvalidSetting;
pub use limit_settings::LimitSettings;
pub use log_format::LogFormat;
pub use log_level::LogLevel;
pub use log_settings::LogSettings;
pub use role::Role;
pub use timing_settings::TimingSettings;

/// Result of validating settings that were built in code.
type Result<T, E = InvalidSetting> = std::result::Result<T, E>;
