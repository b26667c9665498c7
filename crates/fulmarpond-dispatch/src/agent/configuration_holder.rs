//! The configuration that an agent holds for entries that cannot read it from the store.

use fulmarpond_core::Time;
use tracing::{debug, warn};

use super::{Action, Agent};
use crate::configuration::{ConfigurationLog, ConfigurationUpdate, PendingRequest};
use crate::{AgentFrame, LinkNo};

/// The configuration that an agent holds, and its request for a newer one.
#[derive(Debug, Default)]
pub(super) struct ConfigurationHolder {
    log: ConfigurationLog,
    /// When an entry last gave or offered the version that is held.
    offered_at: Time,
    request: Option<PendingRequest>,
}

impl Agent {
    /// Returns the version of the configuration that the agent holds; 0 for none.
    pub(super) fn held_version(&self) -> u64 {
        self.configuration.log.version()
    }

    /// Handles the version that an entry offers.
    pub(super) fn handle_offered_version(
        &mut self,
        link: LinkNo,
        version: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.links.established.get_mut(&link) {
            entry.offered_version = version;
        }
        if version == self.held_version() {
            self.configuration.offered_at = now;
        }
        self.request_configuration(now, out);
    }

    /// Requests a newer configuration from an entry that offers one, unless a request is pending.
    pub(super) fn request_configuration(&mut self, now: Time, out: &mut Vec<Action>) {
        let held = self.held_version();
        let last = self.configuration.request;
        if last.is_some_and(|request| {
            request.is_pending(now) && self.links.established.contains_key(&request.link)
        }) {
            return;
        }
        self.configuration.request = None;
        let offers = self.links.established.iter();
        let newer = offers.filter(|(_, entry)| entry.offered_version > held);
        // An entry that has not replied is asked again only if there is no other one.
        let next = newer.min_by_key(|(link, entry)| {
            let was_asked = last.is_some_and(|request| request.link == **link);
            (was_asked, u64::MAX - entry.offered_version)
        });
        if let Some((&link, _)) = next {
            self.send_configuration_request(link, held, now, out);
        }
    }

    fn send_configuration_request(
        &mut self,
        link: LinkNo,
        held: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.configuration.request = Some(PendingRequest::new(link, now));
        let frame = AgentFrame::RequestConfiguration(held);
        out.push(Action::Send { link, frame });
    }

    /// Applies what an entry has sent, and tells all entries the new version.
    pub(super) fn apply_configuration_update(
        &mut self,
        link: LinkNo,
        update: ConfigurationUpdate,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.configuration.request = None;
        match self.configuration.log.apply(update) {
            Ok(Some(changed)) => {
                self.configuration.offered_at = now;
                let version = self.held_version();
                debug!(version, changed, "newer configuration held");
                for &link in self.links.established.keys() {
                    let frame = AgentFrame::ConfigurationVersion(version);
                    out.push(Action::Send { link, frame });
                }
                self.request_configuration(now, out);
            }
            Ok(None) => {}
            Err(error) => {
                warn!(%error, "changes of the configuration are not applied");
                self.send_configuration_request(link, 0, now, out);
            }
        }
    }

    /// Sends an entry what has changed since the version that is in force there.
    pub(super) fn send_configuration(
        &self,
        link: LinkNo,
        held: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(update) = self.configuration.log.update_since(held) {
            let age_ms = now.millis_since(self.configuration.offered_at);
            let frame = AgentFrame::Configuration { update, age_ms };
            out.push(Action::Send { link, frame });
        }
    }
}
