//! Replies to callers of an entry.

use fulmarpond_core::contract::Refusal;
use fulmarpond_core::entry::CallerReply;
use fulmarpond_http::Response;

use super::render;

/// A reply to a caller of an entry. It is rendered on a thread of the HTTP listener, so that large
/// answers do not delay the core thread.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A reply from the core.
    Core(CallerReply),
    /// The core gave no reply, so the outcome of the request is unknown.
    Unanswered(Refusal),
    /// A response that needs no reply from the core.
    Done(Response),
}

impl From<Reply> for Response {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Core(reply) => render::reply(reply),
            Reply::Unanswered(refusal) => render::unanswered(&refusal),
            Reply::Done(response) => response,
        }
    }
}
