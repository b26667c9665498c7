//! Hosts that are drained before their maintenance.

use tracing::debug;

use super::Action;
use super::entry::Entry;
use super::fleet::View;
use crate::maintenance::Work;
use crate::{EndpointId, EntryFrame, LinkNo, Needs};

impl Entry {
    /// Tells the agent of an endpoint that its host is about to be maintained.
    pub fn drain(&self, endpoint: &EndpointId, out: &mut Vec<Action>) {
        match self.view_of(endpoint) {
            Some((link, _)) => out.push(Action::Send {
                link,
                frame: EntryFrame::Drain,
            }),
            None => debug!(%endpoint, "no link to the agent of a host that is drained"),
        }
    }

    /// Returns what an endpoint still runs that takes no tasks.
    pub fn work_at(&self, endpoint: &EndpointId) -> Work {
        let Some((_, view)) = self.view_of(endpoint) else {
            return Work::Ending;
        };
        if view.load.reserved != Needs::default() {
            return Work::LongRunning;
        }
        let idle = view.load.free == view.capacity && view.load.backlog.is_clear();
        if idle && !view.load.ready {
            Work::None
        } else {
            Work::Ending
        }
    }

    fn view_of(&self, endpoint: &EndpointId) -> Option<(LinkNo, &View)> {
        let mut views = self.fleet.views.iter();
        let found = views.find(|(_, view)| view.endpoint == *endpoint);
        found.map(|(&link, view)| (link, view))
    }
}
