//! Entries that are asked to stop, or are replaced under their name, as their processes do it.

use std::collections::HashMap;

use fulmarpond_core::Time;
use fulmarpond_dispatch::entry::Entry;

use super::simulation::{Event, Simulation};

/// How long a stopping entry accepts new connections, in milliseconds.
const READINESS_NOTICE_MS: u64 = 2_700;

/// How long before the end of the grace period the remaining jobs are given up, in milliseconds.
const GIVE_UP_MARGIN_MS: u64 = 700;

/// Time after which the load balancer sends no more connections to a stopping entry, in milliseconds.
const OUT_OF_BALANCE_MS: u64 = 2_000;

/// Interval at which it is checked whether a stopping entry can end, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// Time that the last output of a process takes, in milliseconds.
const FLUSH_MS: u64 = 2;

/// The graceful stop of an entry process.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryStop {
    entry: usize,
    generation: u32,
    begun: Time,
    /// When its remaining jobs are given up.
    give_up: Time,
    /// Time until the process starts again, if it does, in milliseconds.
    down_ms: Option<u64>,
}

/// The entries that are stopping, and those that find no routes.
#[derive(Debug, Default)]
pub(super) struct Stops {
    /// Since when each entry process is stopping.
    since: HashMap<(usize, u32), Time>,
    /// Until when each entry finds no routes.
    routes_hidden: HashMap<usize, Time>,
}

impl Stops {
    pub(super) fn hide_routes(&mut self, entry: usize, until: Time) {
        self.routes_hidden.insert(entry, until);
    }

    pub(super) fn hides_routes(&self, entry: usize, now: Time) -> bool {
        self.routes_hidden
            .get(&entry)
            .is_some_and(|until| now < *until)
    }
}

impl Simulation {
    /// Returns the name of an entry; the second process of an entry has the name of the first one.
    pub(super) fn entry_name(&self, entry: usize) -> String {
        format!("entry-{}", entry % self.options.entries)
    }

    /// Returns whether the load balancer sends no connections to an entry, since it is stopping.
    pub(super) fn is_out_of_balance(&self, entry: usize) -> bool {
        let generation = self.entries[entry].generation;
        let since = self.stops.since.get(&(entry, generation));
        since.is_some_and(|since| self.now.millis_since(*since) >= OUT_OF_BALANCE_MS)
    }

    /// Asks an entry to stop, which restarts after a time if there is one.
    pub(super) fn stop_entry(&mut self, entry: usize, grace_ms: u64, down_ms: Option<u64>) {
        let generation = self.entries[entry].generation;
        let is_stopping = self.stops.since.contains_key(&(entry, generation));
        if self.entries[entry].core.is_none() || is_stopping {
            return;
        }
        self.begin_stop(entry, self.now, grace_ms, down_ms);
    }

    fn begin_stop(&mut self, entry: usize, begun: Time, grace_ms: u64, down_ms: Option<u64>) {
        let generation = self.entries[entry].generation;
        self.stops.since.insert((entry, generation), begun);
        let give_up_ms = grace_ms.saturating_sub(GIVE_UP_MARGIN_MS);
        let stop = EntryStop {
            entry,
            generation,
            begun,
            give_up: begun.after_millis(give_up_ms),
            down_ms,
        };
        self.schedule_at(begun, Event::CheckStop(stop));
    }

    /// Starts the second process of an entry under its name, and asks the first one to stop later.
    pub(super) fn replace_entry(&mut self, entry: usize, overlap_ms: u64, grace_ms: u64) {
        let count = self.options.entries;
        let next = (entry + count) % (2 * count);
        if !self.options.has_replacements || self.entries[next].core.is_some() {
            return;
        }
        self.start_entry(next);
        if self.entries[entry].core.is_some() {
            let begun = self.now.after_millis(overlap_ms);
            self.begin_stop(entry, begun, grace_ms, None);
        }
    }

    /// Ends a stopping entry that has no work left or whose grace period is over.
    pub(super) fn check_stop(&mut self, stop: EntryStop) {
        let process = &self.entries[stop.entry];
        if process.generation != stop.generation {
            return;
        }
        if process.paused_until > self.now {
            self.schedule_in_ms(CHECK_INTERVAL_MS, Event::CheckStop(stop));
            return;
        }
        self.with_entry(stop.entry, |core, _, _| core.stop());
        let Some(core) = self.entries[stop.entry].core.as_ref() else {
            return;
        };
        let grace_ms = stop.give_up.millis_since(stop.begun) + GIVE_UP_MARGIN_MS;
        let notice_ms = READINESS_NOTICE_MS.min(grace_ms / 2);
        let is_noticed = self.now >= stop.begun.after_millis(notice_ms);
        let is_idle = core.waiting_requests() == 0 && !core.has_runs();
        if self.now >= stop.give_up {
            self.with_entry(stop.entry, Entry::give_up_all);
        } else if !is_noticed || !is_idle {
            self.schedule_in_ms(CHECK_INTERVAL_MS, Event::CheckStop(stop));
            return;
        }
        let now = self.now;
        if let Some(directory) = &mut self.directories[stop.entry] {
            directory.leave(now);
        }
        self.tick_directory(stop.entry);
        self.schedule_in_ms(FLUSH_MS, Event::EndStop(stop));
    }

    pub(super) fn end_stop(&mut self, stop: EntryStop) {
        if self.entries[stop.entry].generation != stop.generation {
            return;
        }
        self.end_entry(stop.entry, true);
        if let Some(down_ms) = stop.down_ms {
            self.schedule_in_ms(down_ms, Event::StartEntry(stop.entry));
        }
    }
}
