//! Draining of hosts before maintenance.

use tracing::debug;

use super::Action;
use super::entry::Entry;
use super::fleet::AgentView;
use crate::maintenance::Work;
use crate::{EndpointId, EntryFrame, LinkNo, Resources};

impl Entry {
    /// Orders the agent of an endpoint to start no more tasks, since its host is due for maintenance.
    pub fn drain(&self, endpoint: &EndpointId, out: &mut Vec<Action>) {
        match self.view_of_endpoint(endpoint) {
            Some((link, _)) => out.push(Action::Send {
                link,
                frame: EntryFrame::Drain,
            }),
            None => debug!(%endpoint, "cannot drain host: no link to its agent"),
        }
    }

    /// Returns the kind of work that a draining endpoint still has.
    ///
    /// An endpoint that still takes tasks, or whose agent has no link, counts as having work.
    pub fn work_at(&self, endpoint: &EndpointId) -> Work {
        let Some((_, view)) = self.view_of_endpoint(endpoint) else {
            return Work::Ending;
        };
        if view.load.reserved != Resources::default() {
            return Work::LongRunning;
        }
        let idle = view.load.free == view.capacity && view.load.backlog.is_empty();
        if idle && !view.load.ready {
            Work::None
        } else {
            Work::Ending
        }
    }

    fn view_of_endpoint(&self, endpoint: &EndpointId) -> Option<(LinkNo, &AgentView)> {
        let mut views = self.fleet.views.iter();
        let found = views.find(|(_, view)| view.endpoint.id == *endpoint);
        found.map(|(&link, view)| (link, view))
    }
}
