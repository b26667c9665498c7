//! Failures to set up a link.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// The result of setting up a part of a link.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a part of a link cannot be set up.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The runtime cannot start its threads.
    #[error("the link runtime cannot start")]
    Runtime(#[source] io::Error),
    /// The server cannot listen on its address.
    #[error("cannot listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The secret is empty or has characters that an HTTP header cannot carry.
    #[error("a secret is one or more visible ASCII characters")]
    Secret,
}
