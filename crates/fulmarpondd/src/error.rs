//! Errors of starting a daemon.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Why a daemon could not be started.
#[derive(Debug, Error)]
pub enum Error {
    /// A file named in the settings can't be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file named in the settings has errors.
    #[error(transparent)]
    Settings(#[from] fulmarpond_settings::SettingsErrors),
    /// An address can't be listened on.
    #[error("cannot listen on {addr}: {message}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The link runtime can't be started, or the secret is not valid.
    #[error("cannot start the links: {0}")]
    Link(#[from] fulmarpond_link::Error),
    /// A thread can't be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
