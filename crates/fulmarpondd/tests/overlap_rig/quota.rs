//! Processes that get the processor for a part of each period only.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::process::Process;

/// The period in which a process is stopped once, in milliseconds.
const PERIOD_MS: u128 = 100;

/// How often the phases are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The quota of a process.
#[derive(Debug)]
struct Quota {
    process: usize,
    /// How long it is stopped in each period, in milliseconds.
    stopped_ms: u128,
    started_at: Instant,
    ends_at: Instant,
    is_stopped: bool,
}

impl Quota {
    /// Returns whether the process should be stopped.
    fn stops_at(&self, now: Instant) -> bool {
        let phase_ms = now.duration_since(self.started_at).as_millis() % PERIOD_MS;
        now < self.ends_at && phase_ms < self.stopped_ms
    }
}

/// The quotas in force.
#[derive(Debug)]
pub(super) struct Quotas<'a> {
    processes: &'a [Process],
    quotas: Mutex<Vec<Quota>>,
    is_over: AtomicBool,
}

impl<'a> Quotas<'a> {
    pub(super) fn new(processes: &'a [Process]) -> Self {
        Self {
            processes,
            quotas: Mutex::default(),
            is_over: AtomicBool::new(false),
        }
    }

    /// Stops a process for `stopped_ms` of each period, unless it has a quota already.
    pub(super) fn add(&self, process: usize, stopped_ms: u64, ends_at: Instant) {
        let mut quotas = self.quotas.lock().expect("the quotas");
        if quotas.iter().all(|quota| quota.process != process) {
            quotas.push(Quota {
                process,
                stopped_ms: stopped_ms.into(),
                started_at: Instant::now(),
                ends_at,
                is_stopped: false,
            });
        }
    }

    /// Stops and continues processes until [`end`](Self::end).
    pub(super) fn run(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            self.apply(Instant::now());
            thread::sleep(POLL_INTERVAL);
        }
        let mut quotas = self.quotas.lock().expect("the quotas");
        for quota in quotas.drain(..) {
            self.processes[quota.process].set_stopped(false);
        }
    }

    /// Ends all quotas.
    pub(super) fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    fn apply(&self, now: Instant) {
        let mut quotas = self.quotas.lock().expect("the quotas");
        for quota in quotas.iter_mut() {
            let is_stopped = quota.stops_at(now);
            if is_stopped != quota.is_stopped {
                quota.is_stopped = is_stopped;
                self.processes[quota.process].set_stopped(is_stopped);
            }
        }
        quotas.retain(|quota| now < quota.ends_at);
    }
}
