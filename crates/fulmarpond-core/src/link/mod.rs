//! The messages between the processes of the dispatcher, and the errors of a call.

mod call_id;
mod error;
mod message;

pub use call_id::CallId;
pub use error::LinkError;
pub use message::{
    Announce, AnnounceReply, Ask, Batch, BatchId, BatchReport, Cancel, Envelope, Events,
    EventsReply, Fetch, FetchReply, Grant, Handover, Leave, Outcome, Peer, Request, Reserve,
    Response, Seal, SealReply, StatusRequest, Submit, SubmitReply, TaskReport, Tombstone,
    TombstoneRecord, Usage, VersionedConfig, Withdraw, Withdrawn,
};
