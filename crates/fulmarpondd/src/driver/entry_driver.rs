//! Performs the actions of an entry.

use std::sync::mpsc::SyncSender;
use std::sync::{Arc, RwLock};

use fulmarpond_core::Time;
use fulmarpond_core::entry::{Entry, EntryAction, EntryInput, StoreError, StoreOp};
use fulmarpond_core::link::{CallId, LinkError, Response};
use tracing::info;

use super::{Driver, Flow, Links};
use crate::callers::Callers;
use crate::http::Reply;
use crate::metrics::set_gauge;

/// A snapshot of the state of an entry for other threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct EntryView {
    /// Whether the entry can route jobs.
    pub(crate) ready: bool,
    /// Whether the entry is stopping.
    pub(crate) draining: bool,
    /// Milliseconds since the roster was confirmed, if it ever was.
    pub(crate) confirmed_ms: Option<u64>,
}

/// Performs the actions of an entry.
pub(crate) struct EntryDriver {
    pub(crate) links: Links<EntryInput>,
    pub(crate) callers: Callers,
    pub(crate) store: SyncSender<(CallId, StoreOp)>,
    pub(crate) core: SyncSender<EntryInput>,
    pub(crate) view: Arc<RwLock<EntryView>>,
}

fn response_input(call: CallId, result: Result<Response, LinkError>) -> EntryInput {
    EntryInput::Response { call, result }
}

impl Driver for EntryDriver {
    type Role = Entry;

    fn tick_input() -> EntryInput {
        EntryInput::Tick
    }

    fn perform(&mut self, action: EntryAction) -> Flow {
        match action {
            EntryAction::Answer { call, reply } => {
                // A disconnected caller needs no response; the home keeps the result of its job.
                self.callers.answer(call, || Reply::Core(reply));
            }
            EntryAction::Reply { call, response } => self.links.reply(call, response),
            EntryAction::Call {
                call,
                addr,
                envelope,
                deadline,
            } => {
                self.links
                    .call(call, addr, envelope, deadline, response_input);
            }
            EntryAction::Store { call, op } => {
                if self.store.try_send((call, op)).is_err() {
                    let result = Err(StoreError::Unavailable);
                    // This thread empties the ring, so a blocking send to a full ring would
                    // deadlock.
                    let _ = self.core.try_send(EntryInput::StoreResult { call, result });
                }
            }
            EntryAction::Count(count) => self.links.metrics.count(count),
            EntryAction::Stopped => {
                info!("all requests are answered");
                return Flow::Stop;
            }
        }
        Flow::Continue
    }

    fn publish(&self, role: &Entry, now: Time) {
        self.links.publish();
        let metrics = &self.links.metrics;
        set_gauge(&metrics.open, role.pending_request_count() as u64);
        metrics.set_versions(role.config_version(), role.roster());
        if let Ok(mut view) = self.view.write() {
            view.ready = role.is_ready();
            view.draining = role.is_draining();
            view.confirmed_ms = role
                .roster_confirmed_at()
                .map(|confirmed| now.millis_since(confirmed));
        }
    }
}
