//! Initialization of structured logging.

use fulmarpond_settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error with the configured level and format.
///
/// Later calls in the same process have no effect.
pub fn init_logs(settings: &LogSettings) {
    let filter = EnvFilter::new(settings.level.as_str());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
