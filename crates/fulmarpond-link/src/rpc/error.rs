//! Errors of setting up links.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// The result of starting a link runtime or server, or of parsing a secret.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of starting a link runtime or server, or of parsing a secret.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The threads of the runtime could not be started.
    #[error("cannot start the threads of the link runtime")]
    Runtime(#[source] io::Error),
    /// The server could not listen on its address.
    #[error("cannot listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The secret is empty or contains characters other than visible ASCII, which an HTTP header
    /// cannot carry.
    #[error("the secret must consist of one or more visible ASCII characters")]
    Secret,
}
