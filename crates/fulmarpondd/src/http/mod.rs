//! The HTTP listeners.

mod agent_api;
mod body;
mod entry_api;
mod render;

pub(crate) use agent_api::AgentApi;
pub(crate) use entry_api::EntryApi;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use rouille::{Request, Response, Server};

use crate::{Error, Result};

/// A listener that serves until it is stopped.
pub(crate) struct Listener {
    addr: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Starts a listener with at most `threads` requests in progress.
    pub(crate) fn start<F>(addr: SocketAddr, threads: usize, handler: F) -> Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let handler = Arc::new(handler);
        let server =
            Server::new(addr, move |request| handler(request)).map_err(|error| Error::Listen {
                addr,
                message: error.to_string(),
            })?;
        let server = server.pool_size(threads);
        let addr = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            addr,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the listener. Requests in progress get their response.
    pub(crate) fn stop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
