//! The HTTP server of a stand-in.

use std::io::{self, Read};
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rouille::{Request, Response, Server};
use serde::de::DeserializeOwned;

use crate::Relay;
use crate::relay::Cutter;

/// Interval at which the server looks whether it shall end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a handler does with a request.
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

/// An HTTP server behind a relay.
///
/// `rouille` keeps open connections when it is dropped and does not let a handler close one. The
/// relay owns the connections, so that a stopped stand-in closes them as an ended process would.
#[derive(Debug)]
pub(crate) struct Service {
    relay: Relay,
    closing: Arc<AtomicBool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Service {
    /// Starts a server on `listen` that keeps at most `connections` open.
    pub(crate) fn start<A, F>(listen: A, connections: usize, handler: F) -> io::Result<Self>
    where
        A: ToSocketAddrs,
        F: Fn(&Request) -> Outcome + Send + Sync + 'static,
    {
        let cutter = Arc::new(OnceLock::<Cutter>::new());
        let owner = Arc::clone(&cutter);
        let server = Server::new("127.0.0.1:0", move |request| match handler(request) {
            Outcome::Reply(response) => response,
            Outcome::Close => {
                if let Some(cutter) = owner.get() {
                    cutter.cut(*request.remote_addr());
                }
                Response::text("the reply is lost").with_status_code(500)
            }
        })
        .map_err(io::Error::other)?;
        let relay = Relay::bind_limited(listen, server.server_addr(), connections)?;
        cutter.get_or_init(|| relay.cutter());
        let closing = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&closing);
        let thread = thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                server.poll_timeout(POLL_INTERVAL);
            }
        });
        Ok(Self {
            relay,
            closing,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.relay.addr()
    }

    /// Stops accepting requests, waits at most `limit` for those in flight and closes all
    /// connections.
    pub(crate) fn stop(&self, limit: Duration) {
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = thread.take() {
            self.relay.drain(limit);
            self.relay.stop();
            self.closing.store(true, Ordering::SeqCst);
            let _ = thread.join();
        }
    }
}

/// Reads the body of `request` as JSON, whatever content type it names.
pub(crate) fn json_body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    let mut bytes = Vec::new();
    if let Some(mut data) = request.data() {
        (data.read_to_end(&mut bytes)).map_err(|error| status(400, &error.to_string()))?;
    }
    serde_json::from_slice(&bytes).map_err(|error| status(400, &error.to_string()))
}

/// Returns a reply that consists of a status and a text.
pub(crate) fn status(code: u16, text: &str) -> Response {
    Response::text(text).with_status_code(code)
}
