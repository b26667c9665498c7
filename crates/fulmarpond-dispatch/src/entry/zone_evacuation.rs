//! The entry's part in the evacuation of availability zones: nothing is placed there, and the work
//! that the agents return is placed elsewhere in order of urgency.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::Action;
use super::agent_selection::fits_outside;
use super::entry::Entry;
use super::fleet::Fleet;
use super::gangs::gang_fits_outside;
use super::submission::Step;
use super::zone_return::ZoneReturn;
use crate::evacuation::{Evacuations, Update};
use crate::{EntryFrame, JobId, LinkNo, Outcome, Refusal, TaskEnd};

impl Entry {
    /// Applies a list that was read from the store.
    pub fn set_evacuations(&mut self, list: &Evacuations, now: Time, out: &mut Vec<Action>) {
        self.update_evacuations(list, None, now, out);
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zones(&self) -> usize {
        self.evacuations.zones().len()
    }

    /// Returns the number of linked agents in evacuated zones.
    pub fn evacuated_agents(&self) -> usize {
        let views = self.fleet.views.values();
        views.filter(|view| view.is_evacuated).count()
    }

    /// Applies a list that was read, or received from an agent, if it is newer than the current
    /// one.
    pub(super) fn update_evacuations(
        &mut self,
        list: &Evacuations,
        from: Option<LinkNo>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let previous = self.evacuations.clone();
        match self.evacuations.update(list) {
            Update::Unchanged => return,
            Update::Outdated => {
                if let Some(link) = from {
                    self.send_evacuations(link, out);
                }
                return;
            }
            Update::Changed => {}
        }
        let links: Vec<LinkNo> = self.fleet.views.keys().copied().collect();
        for link in links.into_iter().filter(|&link| Some(link) != from) {
            self.send_evacuations(link, out);
        }
        for view in self.fleet.views.values_mut() {
            let was_evacuated = view.is_evacuated;
            view.is_evacuated = self.evacuations.contains(&view.zone);
            if was_evacuated && !view.is_evacuated {
                view.zone_return = ZoneReturn::begin(now);
            }
        }
        self.log_evacuation_change(&previous);
        self.place_waiting_jobs(now, out);
    }

    fn log_evacuation_change(&mut self, previous: &Evacuations) {
        let revision = self.evacuations.revision();
        for zone in self.evacuations.zones() {
            if !previous.contains(zone) {
                self.counters.evacuations += 1;
                let agents = self.fleet.views.values();
                let agents = agents.filter(|view| view.zone == zone).count();
                warn!(zone, revision, agents, "zone is evacuated");
            }
        }
        for zone in previous.zones() {
            if !self.evacuations.contains(zone) {
                info!(zone, revision, "evacuation of zone has ended");
            }
        }
    }

    /// Sends the list to an agent, if one is known.
    pub(super) fn send_evacuations(&self, link: LinkNo, out: &mut Vec<Action>) {
        if self.evacuations.is_known() {
            let frame = EntryFrame::Evacuations(self.evacuations.clone());
            out.push(Action::Send { link, frame });
        }
    }

    /// Updates the room of the zones that have returned from an evacuation.
    pub(super) fn advance_zone_returns(&mut self, now: Time) {
        for view in self.fleet.views.values_mut() {
            view.zone_return.advance(now);
        }
    }

    /// Returns whether a task was returned by an agent because its zone is evacuated.
    pub(super) fn is_returned_by_evacuation(&self, link: LinkNo, end: &TaskEnd) -> bool {
        let view = self.fleet.views.get(&link);
        end.outcome == Outcome::Unavailable && view.is_some_and(|view| view.is_evacuated)
    }

    /// Queues a job whose task was returned, so that the returned jobs are placed in order of
    /// urgency, or refuses it at once if no endpoint outside evacuated zones could run it.
    pub(super) fn replace_returned_task(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let can_wait = job.state.is_some() || !job.has_not_run();
        if !can_wait && self.check_servable(job) == Err(Refusal::Evacuated) {
            self.give_up(id, Refusal::Evacuated, now, out);
            return;
        }
        self.unplaced.insert(job);
    }

    /// Returns whether the endpoints of a service outside evacuated zones could hold a task of a
    /// step, or all of its tasks if it is a gang, when they are empty.
    pub(super) fn step_fits_outside(&self, service: &str, step: &Step) -> bool {
        let fits = fits_outside(&self.fleet, service, step.needs);
        fits && (!step.gang || gang_fits_outside(&self.fleet, service, step))
    }
}

impl Fleet {
    /// Returns whether a service has endpoints in evacuated zones.
    pub(super) fn is_service_evacuated(&self, service: &str) -> bool {
        let mut views = self.views.values();
        views.any(|view| view.service == service && view.is_evacuated)
    }
}
