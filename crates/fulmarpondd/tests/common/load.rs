//! Callers that submit jobs while a test injects faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::history::History;
use super::{System, job, wait_until};

/// Default deadline of a job.
const DEADLINE_MS: u64 = 30_000;

/// Caller threads that submit jobs from a seeded generator, each one job at a time until its answer
/// is final.
pub(crate) struct Load {
    history: Arc<History>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `callers` callers, which begin with the entries in rotation.
    pub(crate) fn start(system: &System, callers: u64, seed: u64) -> Self {
        Self::with_deadline(system, callers, seed, DEADLINE_MS)
    }

    /// Starts callers that do not resubmit a job after a refusal.
    pub(crate) fn first_attempts(system: &System, callers: u64, seed: u64) -> Self {
        Self::start_with(system, callers, seed, DEADLINE_MS, 0)
    }

    /// Starts callers whose jobs have `deadline_ms` milliseconds.
    pub(crate) fn with_deadline(
        system: &System,
        callers: u64,
        seed: u64,
        deadline_ms: u64,
    ) -> Self {
        Self::start_with(system, callers, seed, deadline_ms, 5)
    }

    fn start_with(
        system: &System,
        callers: u64,
        seed: u64,
        deadline_ms: u64,
        retries: u32,
    ) -> Self {
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

    /// Returns the history of the callers' requests.
    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// Returns a shared handle to the history, for another thread.
    pub(crate) fn shared_history(&self) -> Arc<History> {
        Arc::clone(&self.history)
    }

    /// Waits until `more` additional jobs have a complete answer.
    pub(crate) fn wait_answered(&self, more: usize) {
        let target = self.history.answered() + more;
        wait_until("additional jobs are answered", || {
            self.history.answered() >= target
        });
    }

    /// Stops the callers after the final answer of their current job.
    pub(crate) fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.join().expect("the caller thread does not panic");
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
    /// How often a job is resubmitted after a refusal, for about half of the jobs.
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
            // About half of the jobs are resubmitted under the same id after a refusal.
            let retries = if self.rng.random_bool(0.5) {
                self.retries
            } else {
                0
            };
            let reply = self
                .history
                .submit_until_final(&self.entries, &job, retries);
            if !reply.is_answered() {
                thread::sleep(Duration::from_millis(self.rng.random_range(20..100)));
            }
        }
    }
}
