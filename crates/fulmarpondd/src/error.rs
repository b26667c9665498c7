//! Errors that prevent a daemon from starting.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// An error that prevented a daemon from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// A file named in the settings cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file named in the settings is invalid.
    #[error(transparent)]
    Settings(#[from] fulmarpond_settings::SettingsErrors),
    /// A listener cannot be bound to its address.
    #[error("cannot listen on {addr}: {message}")]
    Listen {
        /// The address to listen on.
        addr: SocketAddr,
        /// The text of the underlying error.
        message: String,
    },
    /// The link runtime cannot be started, or the shared secret is invalid.
    #[error("cannot start the link runtime: {0}")]
    Link(#[from] fulmarpond_link::Error),
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
