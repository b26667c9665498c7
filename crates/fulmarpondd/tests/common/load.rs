//! Callers who submit jobs while a test injects faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::history::History;
use super::{System, job, wait_until};

/// The deadline of a job where a test sets no other.
const DEADLINE_MS: u64 = 30_000;

/// Caller threads with seeded jobs. Each waits for the final answer of one job at a time.
pub(crate) struct Load {
    history: Arc<History>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `callers` callers, who use the entries in turn.
    pub(crate) fn start(system: &System, callers: u64, seed: u64) -> Self {
        Self::with_deadline(system, callers, seed, DEADLINE_MS)
    }

    /// Starts callers who take a refusal as the end and never submit an id again.
    pub(crate) fn first_attempts(system: &System, callers: u64, seed: u64) -> Self {
        Self::begin(system, callers, seed, DEADLINE_MS, 0)
    }

    /// Starts callers whose jobs have `deadline_ms` milliseconds.
    pub(crate) fn with_deadline(
        system: &System,
        callers: u64,
        seed: u64,
        deadline_ms: u64,
    ) -> Self {
        Self::begin(system, callers, seed, deadline_ms, 5)
    }

    fn begin(system: &System, callers: u64, seed: u64, deadline_ms: u64, retries: u32) -> Self {
        let history = Arc::new(History::default());
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..callers)
            .map(|caller| {
                let mut entries = system.entry_addrs();
                let shift = caller as usize % entries.len();
                entries.rotate_left(shift);
                let caller = Caller {
                    entries,
                    number: caller,
                    rng: Pcg64::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(caller)),
                    deadline_ms,
                    retries,
                    history: Arc::clone(&history),
                    stop: Arc::clone(&stop),
                };
                thread::spawn(move || caller.run())
            })
            .collect();
        Self {
            history,
            stop,
            callers,
        }
    }

    /// Returns the history that the callers write.
    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// Returns the history for another thread.
    pub(crate) fn share(&self) -> Arc<History> {
        Arc::clone(&self.history)
    }

    /// Waits until `more` further jobs have a complete answer.
    pub(crate) fn wait_answered(&self, more: usize) {
        let wanted = self.history.answered() + more;
        wait_until("further jobs are answered", || {
            self.history.answered() >= wanted
        });
    }

    /// Lets the callers end once they have the final answer of their present job.
    pub(crate) fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.join().expect("the caller ends");
        }
    }

    /// Stops the callers and checks the history.
    pub(crate) fn finish(mut self, system: &System) {
        self.stop();
        self.history.check(system);
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

struct Caller {
    entries: Vec<SocketAddr>,
    number: u64,
    rng: Pcg64,
    deadline_ms: u64,
    /// How often some of the callers submit an id again after a refusal.
    retries: u32,
    history: Arc<History>,
    stop: Arc<AtomicBool>,
}

impl Caller {
    fn run(mut self) {
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let tasks = self.rng.random_range(1..=5);
            let runs: Vec<u64> = (0..tasks).map(|_| self.rng.random_range(5..80)).collect();
            let mut job = job(&format!("load-{}-{number}", self.number), 1, &runs);
            job["deadline_ms"] = self.deadline_ms.into();
            // Some callers take a refusal as the end, others try the same id again.
            let retries = if self.rng.random_bool(0.5) {
                self.retries
            } else {
                0
            };
            let told = self.history.persist(&self.entries, &job, retries);
            if !told.is_answered() {
                thread::sleep(Duration::from_millis(self.rng.random_range(20..100)));
            }
        }
    }
}
