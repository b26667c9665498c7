//! The lifecycle phases of a listener.

use tokio::sync::watch::Receiver;

/// The lifecycle phases of a listener, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The listener accepts connections.
    Open,
    /// The listener accepts no connections, completes requests in progress and closes idle
    /// connections.
    Draining,
    /// All connections are closed.
    Closed,
}

impl Phase {
    /// Waits until the listener has reached this phase or a later one.
    pub(crate) async fn reached(self, receiver: &mut Receiver<Self>) {
        // An error means that the listener was dropped, which counts as reaching every phase.
        drop(receiver.wait_for(|phase| *phase >= self).await);
    }
}
