//! The configuration in force, and its exchange with agents.
//!
//! Entries read the configuration from the store. Each offers it to a few agents of its zone, which
//! fetch it from one entry and tell all entries which version they hold. An entry that has not read
//! that version from the store by itself fetches it from one of them. Only versions are sent unasked,
//! so a change costs the links little, however many routes there are and however often links break.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::Action;
use super::entry::Entry;
use super::fleet::AgentView;
use crate::configuration::{Configuration, ConfigurationLog, ConfigurationUpdate, PendingRequest};
use crate::rendezvous::weight;
use crate::{EntryFrame, LinkNo};

/// The number of agents that hold the configuration for an entry.
const HOLDERS: usize = 2;

/// How long an entry waits for the store before it requests a version that agents hold, in
/// milliseconds.
const REQUEST_DELAY_MS: u64 = 150;

/// The key by which agents are ranked as holders.
const HOLDER_KEY: &str = "configuration";

/// The configuration in force, and the state of its exchange with agents.
#[derive(Debug, Default)]
pub(super) struct ConfigurationExchange {
    log: ConfigurationLog,
    /// When the version in force was last known to be the newest.
    confirmed_at: Option<Time>,
    /// Since when agents hold a newer version than the one in force.
    outdated_since: Option<Time>,
    request: Option<PendingRequest>,
    /// The number of requests per link, so that each is tried in turn.
    tries: BTreeMap<LinkNo, u32>,
}

impl Entry {
    /// Returns the current configuration.
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configurations.log.current()
    }

    /// Returns the version of the current configuration, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configurations.log.version()
    }

    /// Returns the time since the current configuration was last known to be the newest, in
    /// milliseconds; `None` if there is none.
    pub fn configuration_age_ms(&self, now: Time) -> Option<u64> {
        let confirmed_at = self.configurations.confirmed_at?;
        Some(now.millis_since(confirmed_at))
    }

    /// Returns the newest version of the configuration that a linked agent holds; 0 for none.
    pub fn newest_held_version(&self) -> u64 {
        let held = self.fleet.views.values().map(|view| view.held_version);
        held.max().unwrap_or_default()
    }

    /// Records when the store last confirmed that there is no newer configuration.
    pub fn confirm_configuration(&mut self, at: Option<Time>) {
        let known = &mut self.configurations.confirmed_at;
        *known = (*known).max(at);
    }

    /// Applies a configuration that was read from the store, unless it is not newer than the
    /// current one, and offers it to agents.
    pub fn configure(&mut self, configuration: Configuration, now: Time, out: &mut Vec<Action>) {
        let (previous, version) = (self.version(), configuration.version);
        match self.configurations.log.replace(configuration) {
            Some(changed) => {
                self.confirm_configuration(Some(now));
                self.configuration_changed("store", previous, changed, now, out);
            }
            None if version < previous => debug!(version, "older configuration ignored"),
            None => {}
        }
    }

    fn configuration_changed(
        &mut self,
        source: &str,
        previous: u64,
        changed: usize,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let outdated_ms = self
            .configurations
            .outdated_since
            .map(|since| now.millis_since(since));
        info!(
            version = self.version(),
            previous,
            source,
            changed,
            routes = self.configuration().map(Configuration::route_count),
            age_ms = self.configuration_age_ms(now),
            outdated_ms,
            "configuration in force"
        );
        self.configurations.outdated_since = None;
        self.configurations.tries.clear();
        self.offer_configuration(out);
        self.request_newer_configuration(now, out);
    }

    /// Offers the current configuration to the agents that are to hold it.
    pub(super) fn offer_configuration(&mut self, out: &mut Vec<Action>) {
        let version = self.version();
        for link in self.holders() {
            let Some(view) = self.fleet.views.get_mut(&link) else {
                continue;
            };
            if view.offered_version.max(view.held_version) < version {
                view.offered_version = version;
                let frame = EntryFrame::ConfigurationVersion(version);
                out.push(Action::Send { link, frame });
            }
        }
    }

    /// Returns the links of the agents that are to hold the configuration: the same ones of its
    /// zone for each entry that is linked to them, or others if there are none.
    fn holders(&self) -> Vec<LinkNo> {
        let is_near = |view: &AgentView| view.zone == self.options.zone;
        let has_near = self.fleet.views.values().any(is_near);
        let mut ranked: Vec<(u64, LinkNo)> = self
            .fleet
            .views
            .iter()
            .filter(|(_, view)| !has_near || is_near(view))
            .map(|(&link, view)| (weight(&view.name, HOLDER_KEY), link))
            .collect();
        ranked.sort_unstable();
        let last = ranked.into_iter().rev().take(HOLDERS);
        last.map(|(_, link)| link).collect()
    }

    /// Handles the version of the configuration that an agent holds.
    pub(super) fn handle_held_version(
        &mut self,
        link: LinkNo,
        version: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(view) = self.fleet.views.get_mut(&link) {
            view.held_version = version;
        }
        self.request_newer_configuration(now, out);
    }

    /// Sends an agent what has changed since the version that it holds.
    pub(super) fn send_configuration(&self, link: LinkNo, held: u64, out: &mut Vec<Action>) {
        if let Some(update) = self.configurations.log.update_since(held) {
            let frame = EntryFrame::Configuration(update);
            out.push(Action::Send { link, frame });
        }
    }

    /// Applies a configuration that an agent has sent, which was the newest one `age_ms` milliseconds
    /// ago.
    pub(super) fn apply_configuration_update(
        &mut self,
        link: LinkNo,
        update: ConfigurationUpdate,
        age_ms: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if self
            .configurations
            .request
            .is_some_and(|request| request.link == link)
        {
            self.configurations.request = None;
        }
        let previous = self.version();
        match self.configurations.log.apply(update) {
            Ok(Some(changed)) => {
                let confirmed_at = now.as_micros().saturating_sub(age_ms.saturating_mul(1_000));
                self.confirm_configuration(Some(Time::from_micros(confirmed_at)));
                let source = self.fleet.name(link).to_owned();
                self.configuration_changed(&source, previous, changed, now, out);
            }
            Ok(None) => {}
            Err(error) => warn!(agent = self.fleet.name(link), %error, "changes are not applied"),
        }
    }

    /// Drops the request to an agent whose link is lost.
    pub(super) fn drop_configuration_request(&mut self, link: LinkNo) {
        self.configurations.tries.remove(&link);
        if self
            .configurations
            .request
            .is_some_and(|request| request.link == link)
        {
            self.configurations.request = None;
        }
    }

    /// Requests the configuration from an agent that holds a newer one, if the store has not
    /// returned it for a while, or at once if there is none yet.
    pub(super) fn request_newer_configuration(&mut self, now: Time, out: &mut Vec<Action>) {
        let (version, newest) = (self.version(), self.newest_held_version());
        if newest <= version {
            self.configurations.outdated_since = None;
            self.configurations.request = None;
            return;
        }
        let since = *self.configurations.outdated_since.get_or_insert(now);
        let is_waiting = self
            .configurations
            .request
            .is_some_and(|request| request.is_pending(now));
        let gives_store_time = version > 0 && now.millis_since(since) < REQUEST_DELAY_MS;
        if is_waiting || gives_store_time {
            return;
        }
        let tries = &mut self.configurations.tries;
        let holders = self.fleet.views.iter();
        let holders = holders.filter(|(_, view)| view.held_version == newest);
        let next = holders.min_by_key(|(link, _)| tries.get(link).copied().unwrap_or_default());
        let Some((&link, view)) = next else {
            return;
        };
        *tries.entry(link).or_default() += 1;
        info!(
            agent = view.name,
            version = newest,
            held = version,
            "configuration requested"
        );
        self.configurations.request = Some(PendingRequest::new(link, now));
        let frame = EntryFrame::RequestConfiguration(version);
        out.push(Action::Send { link, frame });
    }
}
