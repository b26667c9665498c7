//! The obligation to answer a request.

use fulmarpond_core::link::Response;
use tokio::sync::oneshot;

/// Answers one request, from any thread.
///
/// If it is dropped, the caller is told that the fate of the request is unknown.
#[derive(Debug)]
#[must_use = "a dropped responder tells the caller that the fate of the request is unknown"]
pub struct Responder(oneshot::Sender<Response>);

impl Responder {
    /// Creates a responder and the receiver of its response.
    pub(super) fn new() -> (Self, oneshot::Receiver<Response>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }

    /// Sends the response. It is discarded if the connection has closed.
    pub fn send(self, response: Response) {
        // The receiver is gone if the connection closed; the caller already has its error.
        let _ = self.0.send(response);
    }
}
