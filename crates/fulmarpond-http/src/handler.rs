//! The trait of request handlers.

use crate::{Fault, Request, Responder, Response};

/// A handler of requests. It is implemented for functions that take a request and a responder.
///
/// The methods run on the listener's runtime and must not block.
pub trait Handler<R = Response>: Send + Sync + 'static {
    /// Handles a request. The responder may be moved to another thread and used later.
    fn handle(&self, request: Request, responder: Responder<R>);

    /// Decides from the head of a request whether its body is read. The body of `head` is empty.
    ///
    /// This is not called for requests without a body.
    ///
    /// # Errors
    ///
    /// Returns the response that refuses the request.
    fn admit(&self, head: &Request) -> Result<(), Response> {
        let _ = head;
        Ok(())
    }

    /// Returns the response to a request that the listener refuses.
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
