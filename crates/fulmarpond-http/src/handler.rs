//! What answers requests.

use crate::{Fault, Request, Responder, Response};

/// What answers requests. Functions of a request and a responder are handlers.
///
/// Its methods run on the listener's runtime and must not block.
pub trait Handler<R = Response>: Send + Sync + 'static {
    /// Handles a request. The responder may be passed on and used later.
    fn handle(&self, request: Request, responder: Responder<R>);

    /// Decides from the head of a request, here with an empty body, whether its body is read.
    ///
    /// It is not called for requests without a body.
    ///
    /// # Errors
    ///
    /// Returns the response that refuses the request.
    fn admit(&self, head: &Request) -> Result<(), Response> {
        let _ = head;
        Ok(())
    }

    /// Makes the response to a request that the listener refuses.
    fn refuse(&self, fault: Fault) -> Response {
        fault.response()
    }
}

impl<F, R> Handler<R> for F
where
    F: Fn(Request, Responder<R>) + Send + Sync + 'static,
{
    fn handle(&self, request: Request, responder: Responder<R>) {
        self(request, responder);
    }
}
