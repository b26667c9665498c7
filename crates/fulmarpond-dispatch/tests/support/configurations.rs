//! Changes of the configuration by the operator, the cost of their bytes at entries, and the check
//! of the answers that callers get meanwhile.

use std::collections::HashMap;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::{StoreCall, StoreReply};
use rand::RngExt;

use super::history::MAX_ATTEMPTS;
use super::simulation::{Event, Simulation};
use super::store::{STORED_ROUTE_BYTES, StoreFault};

/// The bound for a configuration to be in force everywhere, in milliseconds after its
/// acknowledgement.
pub const APPLY_MS: u64 = 3_000;

/// How long an entry may still answer as an older version allows after it has shown a newer one, in
/// milliseconds: answers may overtake each other.
const ROLLBACK_SLACK_MS: u64 = 250;

/// How long a process, or the store, has to be without a fault before the bound holds again, in
/// milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Interval at which the operator writes again while the store does not answer, in milliseconds.
const OPERATOR_RETRY_MS: u64 = 200;

/// Number of later versions after which the route that a version added is removed again.
const ROUTE_LIFETIME: usize = 3;

/// A version of the configuration as the operator wrote it.
#[derive(Debug)]
struct Version {
    number: u64,
    acked_at: Option<Time>,
}

/// The versions that the operator has written, and what entries have shown of them.
#[derive(Debug, Default)]
pub struct Configurations {
    versions: Vec<Version>,
    /// Routes besides those of the versions.
    extra_routes: usize,
    /// The newest version that each entry process has shown, and when.
    shown: HashMap<(usize, u32), (usize, Time)>,
    /// Until when each entry is excused.
    entry_excused: HashMap<usize, Time>,
    /// Until when all entries are excused.
    excused_until: Time,
    /// Longest time from an acknowledgement to an answer by an older version, in milliseconds.
    pub max_delay_ms: u64,
    /// Number of answers that were checked.
    pub checked: u64,
}

fn version_prefix(index: usize) -> String {
    format!("/added-{index}/")
}

fn route(prefix: String) -> Route {
    Route {
        name: format!("route{prefix}"),
        host: "host".to_owned(),
        prefix,
        service: "service".to_owned(),
        priority: 1,
        attempts: MAX_ATTEMPTS,
        stretch: 1.6,
        target_ms: 60,
        advice: None,
    }
}

impl Simulation {
    /// Schedules a change of the configuration, which adds `routes` routes besides the one that
    /// tells the version.
    pub fn change_configuration_at(&mut self, millis: u64, routes: usize) {
        self.schedule_in_ms(millis, Event::ChangeConfiguration(routes));
    }

    pub(super) fn change_configuration(&mut self, routes: usize) {
        if matches!(
            self.store.fault,
            StoreFault::Down { .. } | StoreFault::Refusing
        ) {
            let event = Event::ChangeConfiguration(routes);
            self.schedule_in_ms(OPERATOR_RETRY_MS, event);
            return;
        }
        let ack_delay_ms = match self.store.fault {
            StoreFault::Slow(millis) => millis,
            _ => 1,
        };
        let step = self.rng.random_range(1..5);
        let number = self.operator_version() + step;
        self.configurations.extra_routes += routes;
        self.configurations.versions.push(Version {
            number,
            acked_at: None,
        });
        let index = self.configurations.versions.len() - 1;
        let value = self.operator_configuration(number, index);
        self.store.set_configuration(value);
        self.answer_ready_watches();
        self.schedule_in_ms(ack_delay_ms, Event::ConfigurationAcked(index));
    }

    fn operator_version(&self) -> u64 {
        let last = self.configurations.versions.last();
        last.map_or(self.configuration.version, |version| version.number)
    }

    fn operator_configuration(&self, number: u64, index: usize) -> Configuration {
        let first = (index + 1).saturating_sub(ROUTE_LIFETIME);
        let added = (first..=index).map(version_prefix);
        let extra = (0..self.configurations.extra_routes).map(|n| format!("/extra-{n}/"));
        let mut routes: Vec<Route> = self.base_routes();
        routes.extend(added.chain(extra).map(route));
        Configuration::new(number, routes, None)
    }

    pub(super) fn configuration_acked(&mut self, index: usize) {
        let now = self.now;
        self.configurations.versions[index].acked_at = Some(now);
    }

    /// Returns the size of a reply of the store as far as it carries the configuration, in bytes.
    pub(super) fn store_reply_bytes(&self, call: &StoreCall, reply: &StoreReply) -> u64 {
        let bytes = (self.store.route_count() * STORED_ROUTE_BYTES) as u64;
        match (call, reply) {
            (_, StoreReply::Configuration { .. }) => bytes,
            (StoreCall::WatchOperator { after, .. }, _) => {
                self.store.configuration_changes_after(*after) * bytes
            }
            _ => 0,
        }
    }

    /// Excuses an entry from the bound during a fault that concerns it, and for a while after.
    pub(super) fn excuse_entry(&mut self, entry: usize, duration_ms: u64) {
        let until = self.now.after_millis(duration_ms + CONTACT_MS);
        let known = self.configurations.entry_excused.entry(entry).or_default();
        *known = (*known).max(until);
    }

    /// Excuses all entries from the bound during a fault of the store, and for a while after.
    pub(super) fn excuse_all_entries(&mut self, duration_ms: u64) {
        let until = self.now.after_millis(duration_ms + CONTACT_MS);
        let known = &mut self.configurations.excused_until;
        *known = (*known).max(until);
    }

    /// Schedules requests for routes that were just added, just removed, or are to come, at all
    /// entries.
    pub fn probe_configurations(&mut self, duration_ms: u64) {
        for at in (0..duration_ms).step_by(25) {
            for entry in 0..self.entries.len() {
                self.schedule_in_ms(at, Event::SendProbe(entry));
            }
        }
    }

    pub(super) fn send_probe(&mut self, entry: usize) {
        let last = self.configurations.versions.len();
        if last == 0 {
            return;
        }
        let age = self.rng.random_range(0..2 * ROUTE_LIFETIME + 1);
        let index = last.saturating_sub(age);
        let generation = self.entries[entry].generation;
        let now = self.now;
        self.schedule_in_us(1, Event::Probe(entry, generation, index, now));
    }

    /// Answers a request for the route of a version as an entry does, and checks the answer.
    pub(super) fn probe(&mut self, entry: usize, generation: u32, index: usize, sent: Time) {
        let process = &self.entries[entry];
        if process.generation != generation {
            return;
        }
        let event = Event::Probe(entry, generation, index, sent);
        if self.postpone_if_paused(process.paused_until, &event) {
            return;
        }
        let path = format!("{}0", version_prefix(index));
        let core = self.entries[entry].core.as_ref();
        let Some(configuration) = core.and_then(|core| core.configuration()) else {
            return;
        };
        let is_found = configuration.route("host", &path).is_some();
        self.check_answer(entry, generation, index, is_found, sent);
    }

    fn check_answer(
        &mut self,
        entry: usize,
        generation: u32,
        index: usize,
        is_found: bool,
        sent: Time,
    ) {
        self.configurations.checked += 1;
        let last = self.configurations.versions.len() - 1;
        let removed_by = index + ROUTE_LIFETIME;
        let newest_allowing = match (is_found, removed_by <= last) {
            (true, _) => Some(last.min(removed_by - 1)),
            (false, true) => Some(last),
            // No version without the route exists yet, apart from those before it.
            (false, false) => index.checked_sub(1),
        };
        let acked = self
            .configurations
            .versions
            .iter()
            .enumerate()
            .filter(|(_, version)| version.acked_at.is_some_and(|at| at < sent))
            .filter(|(at, _)| newest_allowing.is_none_or(|newest| *at > newest));
        let overdue: Option<(usize, Time)> = acked
            .filter_map(|(at, version)| Some((at, version.acked_at?)))
            .next();
        let excused = self.configurations.excused_until.max(
            self.configurations
                .entry_excused
                .get(&entry)
                .copied()
                .unwrap_or_default(),
        );
        if let Some((at, acked)) = overdue
            && sent >= excused
        {
            let delay_ms = sent.millis_since(acked);
            let longest = &mut self.configurations.max_delay_ms;
            *longest = (*longest).max(delay_ms);
            if delay_ms > APPLY_MS {
                self.history.violations.push(format!(
                    "entry-{entry} answers as older than change {at}, {delay_ms} ms after its acknowledgement"
                ));
            }
        }
        self.check_regression(entry, generation, newest_allowing, sent);
        if is_found {
            let now = self.now;
            let shown = self
                .configurations
                .shown
                .entry((entry, generation))
                .or_insert((index, now));
            if index > shown.0 {
                *shown = (index, now);
            }
        }
    }

    fn check_regression(
        &mut self,
        entry: usize,
        generation: u32,
        newest_allowing: Option<usize>,
        sent: Time,
    ) {
        let Some(&(shown, at)) = self.configurations.shown.get(&(entry, generation)) else {
            return;
        };
        let regresses = newest_allowing.is_none_or(|newest| newest < shown);
        if regresses && sent > at.after_millis(ROLLBACK_SLACK_MS) {
            self.history.violations.push(format!(
                "entry-{entry} answers as older than change {shown}, which it has shown before"
            ));
        }
    }
}
