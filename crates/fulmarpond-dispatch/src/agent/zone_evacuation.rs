//! The agent's part in the evacuation of its zone: it starts nothing there and returns its queue.
//!
//! An agent that reads the list itself starts nothing before it has read the list once, for a
//! limited time, after its start and after each pause. Otherwise orders of an entry without access
//! to the store would start in the zone before the agent knows about the evacuation.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::Action;
use super::agent::Agent;
use crate::directory::StoreReply;
use crate::evacuation::{EvacuationWatch, Evacuations, Update, WatchAction};
use crate::{AgentFrame, LinkNo};

/// How long an agent waits for its own first read of the list, in milliseconds: three attempts
/// without a reply. After that the store counts as away, and the agent works with the lists of its
/// entries.
const MAX_CONFIRMATION_MS: u64 = 1_500;

/// Checks that are late by more than this show that the process was paused, in milliseconds. What
/// it knows of evacuations may then be as old as the pause.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// What an agent knows about the evacuation of its zone.
#[derive(Debug, Default)]
pub(super) struct ZoneState {
    evacuations: Evacuations,
    /// The agent's own reading of the list, if the deployment asks for it.
    watch: Option<EvacuationWatch>,
    /// Until when nothing starts unless the agent has read the list before.
    unconfirmed_until: Time,
    /// Until when the endpoint reports itself as cold.
    cold_until: Time,
}

impl ZoneState {
    /// Returns when the next call of the watch is due.
    pub(super) fn next_wake(&self) -> Time {
        let watch = self.watch.as_ref();
        watch.map_or(Time::MAX, EvacuationWatch::next_wake)
    }
}

impl Agent {
    /// Makes the agent read the evacuated zones from the store, within a bound in milliseconds. To
    /// be called before the first event.
    pub fn watch_evacuations(&mut self, bound_ms: u64, now: Time) {
        let name = self.options.name.clone();
        self.zone_state.watch = Some(EvacuationWatch::new(name, bound_ms, now));
        self.zone_state.unconfirmed_until = now.after_millis(MAX_CONFIRMATION_MS);
    }

    /// Returns whether the zone of the agent is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.zone_state.evacuations.contains(&self.options.zone)
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zones(&self) -> usize {
        self.zone_state.evacuations.zones().len()
    }

    /// Returns whether nothing may start now: the zone is evacuated, or the agent has not read the
    /// list since its start or since a pause.
    pub(super) fn is_start_blocked(&self, now: Time) -> bool {
        let was_paused = now.millis_since(self.next_check) > PAUSE_THRESHOLD_MS;
        let has_watch = self.zone_state.watch.is_some();
        self.is_evacuated() || now < self.zone_state.unconfirmed_until || (was_paused && has_watch)
    }

    /// Emits the calls of the watch that are due. Reads the list anew after a pause.
    pub(super) fn tick_evacuation_watch(&mut self, now: Time, out: &mut Vec<Action>) {
        let late_ms = now.millis_since(self.next_check);
        let Some(watch) = &mut self.zone_state.watch else {
            return;
        };
        if late_ms > PAUSE_THRESHOLD_MS {
            warn!(late_ms, "process was paused, reading the evacuations again");
            watch.restart(now);
            self.zone_state.unconfirmed_until = now.after_millis(MAX_CONFIRMATION_MS);
        }
        let mut actions = Vec::new();
        watch.tick(now, &mut actions);
        self.apply_watch_actions(actions, now, out);
    }

    /// Handles the outcome of a call to the store; `None` is a call that failed.
    pub fn handle_store_reply(
        &mut self,
        number: u64,
        reply: Option<StoreReply>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(watch) = &mut self.zone_state.watch {
            let mut actions = Vec::new();
            watch.handle_reply(number, reply, now, &mut actions);
            watch.tick(now, &mut actions);
            self.apply_watch_actions(actions, now, out);
        }
    }

    fn apply_watch_actions(&mut self, actions: Vec<WatchAction>, now: Time, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                WatchAction::Call {
                    number,
                    call,
                    timeout,
                } => out.push(Action::Store {
                    number,
                    call,
                    timeout,
                }),
                WatchAction::Listed(list) => {
                    self.update_evacuations(&list, None, now, out);
                    if now < self.zone_state.unconfirmed_until {
                        self.zone_state.unconfirmed_until = now;
                        self.start_queued_tasks(now, out);
                        self.send_status(now, out);
                        self.send_reports(out);
                    }
                }
            }
        }
    }

    /// Applies a list that was read, or received over a link, if it is newer than the current one.
    pub(super) fn update_evacuations(
        &mut self,
        list: &Evacuations,
        from: Option<LinkNo>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let was_evacuated = self.is_evacuated();
        match self.zone_state.evacuations.update(list) {
            Update::Unchanged => {}
            Update::Outdated => {
                if let Some(link) = from {
                    self.send_evacuations(link, out);
                }
            }
            Update::Changed => {
                let links: Vec<LinkNo> = self.links.established.keys().copied().collect();
                for link in links.into_iter().filter(|&link| Some(link) != from) {
                    self.send_evacuations(link, out);
                }
                self.apply_evacuation_change(was_evacuated, now, out);
            }
        }
    }

    fn apply_evacuation_change(&mut self, was_evacuated: bool, now: Time, out: &mut Vec<Action>) {
        let is_evacuated = self.is_evacuated();
        if is_evacuated == was_evacuated {
            return;
        }
        let revision = self.zone_state.evacuations.revision();
        if is_evacuated {
            let (queued, at_endpoint) = self.load();
            warn!(
                zone = self.options.zone,
                revision, queued, at_endpoint, "zone is evacuated, starting nothing"
            );
            self.counters.evacuations += 1;
        } else {
            info!(zone = self.options.zone, revision, "zone takes tasks again");
        }
        self.start_queued_tasks(now, out);
        self.send_status(now, out);
        self.send_reports(out);
    }

    /// Sends the list to an entry, if one is known.
    pub(super) fn send_evacuations(&self, link: LinkNo, out: &mut Vec<Action>) {
        if self.zone_state.evacuations.is_known() {
            let frame = AgentFrame::Evacuations(self.zone_state.evacuations.clone());
            out.push(Action::Send { link, frame });
        }
    }

    /// Records for how long the endpoint is still cold, and reports it to the entries.
    pub(super) fn record_cold(&mut self, remaining_ms: u64, now: Time, out: &mut Vec<Action>) {
        let was_cold = now < self.zone_state.cold_until;
        self.zone_state.cold_until = now.after_millis(remaining_ms);
        if remaining_ms > 0 || was_cold {
            for &link in self.links.established.keys() {
                let frame = self.cold_frame(now);
                out.push(Action::Send { link, frame });
            }
        }
    }

    /// Tells an entry that the endpoint is cold, if it is.
    pub(super) fn send_cold(&self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        if now < self.zone_state.cold_until {
            let frame = self.cold_frame(now);
            out.push(Action::Send { link, frame });
        }
    }

    fn cold_frame(&self, now: Time) -> AgentFrame {
        let remaining_ms = self.zone_state.cold_until.remaining_millis(now);
        AgentFrame::Cold(u32::try_from(remaining_ms).unwrap_or(u32::MAX))
    }
}
