//! The HTTP server of a stand-in.

use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

use fulmarpond_http::{Listener, Options, Request, Responder, Response};
use serde::de::DeserializeOwned;

use crate::workers::Workers;

/// How a handler ends a request.
pub(crate) enum Outcome {
    /// Sends a reply.
    Reply(Response),
    /// Closes the connection without a reply.
    Close,
}

impl From<Response> for Outcome {
    fn from(response: Response) -> Self {
        Self::Reply(response)
    }
}

/// An HTTP server that runs its handler on [`Workers`], so that the handler may block.
#[derive(Debug)]
pub(crate) struct Service {
    listener: Listener,
}

impl Service {
    /// Starts a server on `listen`.
    pub(crate) fn start<A, F>(listen: A, options: Options, handler: F) -> io::Result<Self>
    where
        A: ToSocketAddrs,
        F: Fn(&Request) -> Outcome + Send + Sync + 'static,
    {
        let workers = Workers::new(handler);
        let on_request = move |request: Request, responder: Responder| {
            workers.handle(request, responder);
        };
        Ok(Self {
            listener: Listener::start(listen, options, on_request)?,
        })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Stops accepting requests, waits at most `limit` for those in flight and closes all
    /// connections.
    pub(crate) fn stop(&self, limit: Duration) {
        self.listener.stop(limit);
    }
}

/// Parses the body of `request` as JSON, regardless of its content type.
pub(crate) fn json_body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    serde_json::from_slice(request.body()).map_err(|error| Response::text(400, error.to_string()))
}
