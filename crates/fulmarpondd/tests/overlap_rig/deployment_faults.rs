//! The faults of a whole deployment: fronts, restarts of entries, endpoints, store and processor time.

use std::time::{Duration, Instant};

use fulmarpond_standins::{CallEffect, CallFault, CallKind};
use rand::RngExt;
use rustix::process::Signal;

use super::faults::{Faults, Repair};
use super::fleet::StoreFault;
use super::front::FrontFaults;

/// How long a front holds connections back, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 300..6_000;

/// How long a front holds requests back that are sent again meanwhile, in milliseconds.
const HELD_OVER_MS: std::ops::Range<u64> = 1_400..1_900;

/// How long an entry that was asked to end has until it is killed, in milliseconds.
const GRACE_MS: u64 = 6_000;

/// How long after one entry the next one is asked to end, in milliseconds.
const ROLL_STEP_MS: u64 = 1_500;

/// How soon a killed entry is started again, in milliseconds.
const PROMPT_RESTART_MS: u64 = 20;

/// The part of each 100 ms for which a process is stopped, in milliseconds.
const STOPPED_MS: std::ops::Range<u64> = 30..89;

/// Every how many calls an endpoint refuses one: shares of 0.4 to 0.1, rounded.
const REFUSED_EVERY: std::ops::RangeInclusive<u32> = 2..=10;

/// How long an endpoint serves after it has begun to drain, in milliseconds.
const DRAIN_MS: u64 = 3_000;

impl Faults<'_> {
    /// Cuts fronts off, or makes them hold new connections.
    pub(super) fn hold_fronts(&mut self) {
        for _ in 0..self.choose(&[1, 1, 2]) {
            let entry = self.random_entry();
            let faults = self.choose(&[
                FrontFaults {
                    is_cut: true,
                    ..FrontFaults::default()
                },
                FrontFaults {
                    holds_new: true,
                    is_cut: true,
                    ..FrontFaults::default()
                },
                FrontFaults {
                    holds_new: true,
                    ..FrontFaults::default()
                },
            ]);
            self.set_front(entry, faults, CUT_MS);
        }
    }

    /// Cuts a front off until callers that gave up have sent their jobs again.
    pub(super) fn hold_over(&mut self) {
        let entry = self.random_entry();
        let faults = FrontFaults {
            is_cut: true,
            ..FrontFaults::default()
        };
        self.set_front(entry, faults, HELD_OVER_MS);
    }

    /// Makes a front hide that callers leave.
    pub(super) fn hide_ends(&mut self) {
        let entry = self.random_entry();
        let faults = FrontFaults {
            hides_ends: true,
            ..FrontFaults::default()
        };
        self.set_front(entry, faults, 1_000..4_000);
    }

    fn set_front(&mut self, entry: usize, faults: FrontFaults, range: std::ops::Range<u64>) {
        let Some(front) = self.fleet.fronts.get(entry) else {
            return;
        };
        front.set_faults(faults);
        let lasts = self.random_ms(range);
        self.journal
            .note(format!("front of entry-{entry}: {faults:?} for {lasts:?}"));
        self.repair_after(lasts, Repair::ClearFront(entry));
    }

    /// Asks some entries to end one after the other, each started again under its name.
    pub(super) fn roll_entries(&mut self) {
        let entries = self.fleet.shape.entries;
        let first = self.rng.random_range(0..entries);
        let count = self.rng.random_range(2..=entries.min(4));
        for step in 0..count {
            let entry = (first + step) % entries;
            let after = Duration::from_millis(ROLL_STEP_MS * step as u64);
            self.repair_after(after, Repair::AskToEnd(entry));
        }
    }

    /// Asks an entry to end, and has it started again as soon as it has.
    pub(super) fn ask_to_end(&mut self, entry: usize) {
        let process = &self.fleet.processes[entry];
        self.journal.note(format!("{} asked to end", process.name));
        process.signal(Signal::TERM);
        let killed_at = Instant::now() + Duration::from_millis(GRACE_MS);
        let repair = Repair::StartEnded(entry, killed_at);
        self.repair_after(Duration::from_millis(PROMPT_RESTART_MS), repair);
    }

    /// Starts an entry again that has ended, or ends it once its grace is over.
    pub(super) fn start_ended(&mut self, entry: usize, killed_at: Instant) {
        let process = &self.fleet.processes[entry];
        if process.start_again() {
            self.journal.note(format!("{} started again", process.name));
            return;
        }
        if Instant::now() >= killed_at {
            process.kill();
        }
        let repair = Repair::StartEnded(entry, killed_at);
        self.repair_after(Duration::from_millis(PROMPT_RESTART_MS), repair);
    }

    /// Kills an entry and starts it again at once.
    pub(super) fn kill_entry(&mut self) {
        let entry = self.random_entry();
        let process = &self.fleet.processes[entry];
        self.journal.note(format!("{} killed", process.name));
        process.kill();
        let restart = Duration::from_millis(PROMPT_RESTART_MS);
        self.repair_after(restart, Repair::StartAgain(entry));
    }

    /// Asks an entry to end while the next process of its name starts at other addresses.
    pub(super) fn replace_entry(&mut self) {
        let entry = self.random_entry();
        self.journal.note(format!("entry-{entry} replaced"));
        self.fleet.replace_entry(entry);
    }

    /// Closes the links of an agent to some entries.
    pub(super) fn close_some_links(&mut self) {
        let agent = self.rng.random_range(0..self.fleet.shape.agents);
        for entry in 0..self.fleet.shape.entries {
            if self.rng.random_range(0..3) == 0 {
                self.journal
                    .note(format!("link of agent-{agent} to entry-{entry} closed"));
                self.fleet.close_link(agent, entry);
            }
        }
    }

    /// Kills an agent, alone or with its endpoint.
    pub(super) fn kill_agent(&mut self) {
        let agent = self.rng.random_range(0..self.fleet.shape.agents);
        let with_endpoint = self.rng.random();
        let process = self.fleet.shape.entries + agent;
        self.journal.note(format!(
            "agent-{agent} killed, with its endpoint: {with_endpoint}"
        ));
        self.fleet.processes[process].kill();
        let lasts = self.random_ms(20..2_000);
        if with_endpoint {
            self.fleet.emulator.crash(agent, lasts);
        }
        self.repair_after(lasts, Repair::StartAgain(process));
    }

    /// Crashes an endpoint, some times in turn.
    pub(super) fn crash_endpoint(&mut self, times: u32) {
        let executor = self.rng.random_range(0..self.fleet.shape.agents);
        self.crash_and_repeat(executor, times);
    }

    pub(super) fn crash_and_repeat(&mut self, executor: usize, times: u32) {
        let down_time = self.random_ms(50..900);
        self.journal.note(format!(
            "endpoint {executor} crashes, down for {down_time:?}"
        ));
        self.fleet.emulator.crash(executor, down_time);
        if times > 1 {
            let up_time = self.random_ms(200..1_200);
            let repair = Repair::CrashAgain(executor, times - 1);
            self.repair_after(down_time + up_time, repair);
        }
    }

    /// Makes an endpoint leave, which comes back later.
    pub(super) fn leave_endpoint(&mut self) {
        let executor = self.rng.random_range(0..self.fleet.shape.agents);
        self.journal.note(format!("endpoint {executor} leaves"));
        let drain_time = Duration::from_millis(DRAIN_MS) + self.random_ms(0..500);
        let down_time = self.random_ms(100..2_000);
        self.fleet.emulator.leave(executor, drain_time, down_time);
    }

    /// Makes some endpoints refuse a share of starts, stops and holds.
    pub(super) fn refuse_calls(&mut self) {
        for _ in 0..self.choose(&[1, 2, 4]) {
            let every = self.rng.random_range(REFUSED_EVERY);
            let kinds = [CallKind::Start, CallKind::Stop, CallKind::Hold];
            let faults = kinds.map(|kind| CallFault {
                kind,
                effect: CallEffect::Refused(503),
                every,
            });
            let executor = self.rng.random_range(0..self.fleet.shape.agents);
            let lasts = self.random_ms(1_000..6_000);
            self.disturb_calls_to(executor, faults.to_vec(), lasts);
        }
    }

    /// Makes an endpoint carry a part of starts and stops out late.
    pub(super) fn delay_orders(&mut self) {
        let executor = self.rng.random_range(0..self.fleet.shape.agents);
        let delay = self.random_ms(50..2_000);
        let every = self.choose(&[1, 2, 3, 5]);
        let faults = [CallKind::Start, CallKind::Stop].map(|kind| CallFault {
            kind,
            effect: CallEffect::Delayed(delay),
            every,
        });
        let lasts = self.random_ms(500..3_000);
        self.disturb_calls_to(executor, faults.to_vec(), lasts);
    }

    /// Makes the store silent or unreachable for the entries of a zone.
    pub(super) fn disturb_zone_store(&mut self) {
        let zone = self.rng.random_range(0..self.fleet.shape.zones);
        let fault = self.choose(&[StoreFault::Silent, StoreFault::Refused]);
        let lasts = self.random_ms(300..6_000);
        self.journal
            .note(format!("store of zone {zone} {fault:?} for {lasts:?}"));
        self.fleet.set_zone_store(zone, fault);
        self.repair_after(lasts, Repair::ZoneStoreUp(zone));
    }

    /// Revokes the key of an entry, or those of all.
    pub(super) fn revoke_keys(&mut self) {
        let part = if self.rng.random() {
            format!("/entry-{}", self.random_entry())
        } else {
            "/entry-".to_owned()
        };
        self.journal.note(format!("keys with {part} revoked"));
        self.fleet.emulator.revoke(&part);
    }

    /// Takes the route away and gives it back, some times in quick succession.
    pub(super) fn flip_routes(&mut self) {
        let mut after = Duration::ZERO;
        for _ in 0..self.choose(&[1, 2, 3]) {
            self.repair_after(after, Repair::Route(false));
            after += self.random_ms(30..500);
            self.repair_after(after, Repair::Route(true));
            after += self.random_ms(30..500);
        }
    }

    /// Gives some processes a part of the processor time only.
    pub(super) fn throttle(&mut self) {
        for _ in 0..self.choose(&[1, 2, 3]) {
            let process = self.rng.random_range(0..self.fleet.processes.len());
            let stopped_ms = self.rng.random_range(STOPPED_MS);
            let lasts = self.random_ms(1_000..5_000);
            let name = &self.fleet.processes[process].name;
            self.journal.note(format!(
                "{name} stopped for {stopped_ms} of each 100 ms, for {lasts:?}"
            ));
            self.quotas.add(process, stopped_ms, Instant::now() + lasts);
        }
    }

    fn random_entry(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.shape.entries)
    }
}
