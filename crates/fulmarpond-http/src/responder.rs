//! Sending of responses.

use tokio::sync::oneshot::{self, Receiver, Sender};

use crate::Response;

/// Sends the response to one request. It may be used from any thread.
///
/// Dropping a responder without using it sends a response with status 500. `R` is converted to the
/// response on the listener's runtime, so that the sending thread does not spend time on it.
#[derive(Debug)]
pub struct Responder<R = Response>(Sender<Outcome<R>>);

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum Outcome<R> {
    /// A response is sent.
    Send(R),
    /// The connection is closed without a response.
    Close,
}

impl<R> Responder<R> {
    pub(crate) fn new() -> (Self, Receiver<Outcome<R>>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }

    /// Sends the response. This has no effect if the client has disconnected.
    pub fn send(self, response: R) {
        let _ = self.0.send(Outcome::Send(response));
    }

    /// Closes the connection without a response.
    pub fn close(self) {
        let _ = self.0.send(Outcome::Close);
    }

    /// Returns whether the connection of the client is closed.
    pub fn is_disconnected(&self) -> bool {
        self.0.is_closed()
    }
}
