//! The phases of a listener.

use tokio::sync::watch::Receiver;

/// The phases of a listener, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It accepts connections.
    Open,
    /// Requests in progress are finished, and idle connections are closed.
    Draining,
    /// All connections are closed.
    Closed,
}

impl Phase {
    /// Waits until a listener is in this phase or a later one.
    pub(crate) async fn reached(self, phases: &mut Receiver<Self>) {
        // An error means that the listener is gone, which ends every phase.
        drop(phases.wait_for(|phase| *phase >= self).await);
    }
}
