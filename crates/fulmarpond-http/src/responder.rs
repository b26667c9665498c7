//! The way back to a caller.

use tokio::sync::oneshot::{self, Receiver, Sender};

use crate::Response;

/// The way back to a caller. It may be used from any thread.
///
/// A responder that is dropped answers with status 500. `R` becomes the response on the
/// listener's runtime, so that a thread with other duties need not render it.
#[derive(Debug)]
pub struct Responder<R = Response>(Sender<Outcome<R>>);

/// What became of a request.
#[derive(Debug)]
pub(crate) enum Outcome<R> {
    /// It is answered.
    Send(R),
    /// Its connection is closed without an answer.
    Close,
}

impl<R> Responder<R> {
    pub(crate) fn new() -> (Self, Receiver<Outcome<R>>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }

    /// Answers the request. Nothing happens if the caller has gone.
    pub fn send(self, response: R) {
        let _ = self.0.send(Outcome::Send(response));
    }

    /// Closes the connection without an answer.
    pub fn close(self) {
        let _ = self.0.send(Outcome::Close);
    }

    /// Returns whether the connection of the caller was closed.
    pub fn is_gone(&self) -> bool {
        self.0.is_closed()
    }
}
