//! The asynchronous runtime of all links of a process.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmarpond_core::link::Envelope;
use tokio::runtime::{Builder, Runtime};

use super::{
    ClientOptions, Error, LinkClient, LinkServer, LinkStats, Responder, Result, ServeOptions,
};

/// The asynchronous runtime on which all links of a process run.
///
/// Dropping it closes every connection and server and ends every call: calls in flight end as
/// [`Lost`](fulmarpond_core::link::LinkError::Lost), or as
/// [`NotSent`](fulmarpond_core::link::LinkError::NotSent) if they had no connection yet. It must
/// not be dropped on one of its own threads.
#[derive(Debug)]
pub struct LinkRuntime {
    runtime: Runtime,
    stats: Arc<LinkStats>,
}

impl LinkRuntime {
    /// Starts a runtime with the given number of threads, at least one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Runtime`] if the threads cannot be started.
    pub fn new(threads: usize) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads.max(1))
            .thread_name("link")
            .enable_all()
            .build()
            .map_err(Error::Runtime)?;
        Ok(Self {
            runtime,
            stats: Arc::default(),
        })
    }

    /// Starts a server that passes each request to `handler` together with its [`Responder`].
    ///
    /// The handler runs on a thread of the runtime and must not block. With port 0 the operating
    /// system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if the server cannot listen on `addr`.
    pub fn serve<H>(
        &self,
        addr: SocketAddr,
        options: ServeOptions,
        handler: H,
    ) -> Result<LinkServer>
    where
        H: Fn(Envelope, Responder) + Send + Sync + 'static,
    {
        let _guard = self.runtime.enter();
        LinkServer::start(addr, options, handler, Arc::clone(&self.stats))
    }

    /// Creates a client. Connections are opened when they are first used.
    pub fn client(&self, options: ClientOptions) -> LinkClient {
        LinkClient::new(
            self.runtime.handle().clone(),
            options,
            Arc::clone(&self.stats),
        )
    }

    /// Returns the counters of all links of the runtime.
    pub fn stats(&self) -> &Arc<LinkStats> {
        &self.stats
    }
}
