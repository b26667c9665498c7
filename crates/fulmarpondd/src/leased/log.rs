//! Structured logs with a bounded volume that never block a decision.
//!
//! Lines are collected in memory and handed to a writer thread in batches. While the reader of
//! standard output stands still, batches are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarpond_settings::LogLevel;
use tracing::{Level, Metadata};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// How many batches may wait for the writer thread.
const BATCHES: usize = 16;

/// The largest batch, in bytes.
const BATCH_BYTES: usize = 64 * 1024;

/// The most bytes that a pipe takes in one piece: longer writes of processes that share one may
/// be mixed, and some collectors cut them.
const PIPE_BYTES: usize = 4_096;

/// How long lines are collected.
const INTERVAL: Duration = Duration::from_millis(100);

/// The stack of the writer thread, in bytes.
const STACK: usize = 64 * 1024;

/// The target of lines about requests that went well. They are the first to be left out.
const ROUTINE: &str = "routine";

/// How important a line is when the limit is near.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// A request that went well; half of the lines of a second.
    Routine,
    /// A refusal, a failure or a change; seven eighths of the lines of a second.
    Decision,
    /// A warning or an error.
    Severe,
}

impl Class {
    const fn limit(self, lines: u32) -> u32 {
        match self {
            Self::Routine => lines / 2,
            Self::Decision => lines - lines / 8,
            Self::Severe => lines,
        }
    }
}

impl From<&Metadata<'_>> for Class {
    fn from(metadata: &Metadata<'_>) -> Self {
        if *metadata.level() <= Level::WARN {
            Self::Severe
        } else if metadata.target() == ROUTINE {
            Self::Routine
        } else {
            Self::Decision
        }
    }
}

#[derive(Debug)]
struct Shared {
    batch: Vec<u8>,
    window: Instant,
    lines: u32,
    dropped: u64,
    limit: u32,
}

/// The collected lines of a process.
#[derive(Debug, Clone)]
pub(super) struct Log {
    shared: Arc<Mutex<Shared>>,
    sender: SyncSender<Vec<u8>>,
}

/// Starts logging, and returns the handle that hands lines over.
pub(super) fn init(level: LogLevel, limit: u32) -> io::Result<Log> {
    let (sender, receiver) = sync_channel(BATCHES);
    let shared = Shared {
        batch: Vec::new(),
        window: Instant::now(),
        lines: 0,
        dropped: 0,
        limit,
    };
    let log = Log {
        shared: Arc::new(Mutex::new(shared)),
        sender,
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK)
        .spawn(move || write_batches(&receiver))?;
    // A second call in the same process changes nothing.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(EnvFilter::new(level.as_str()))
        .with_writer(log.clone())
        .try_init();
    Ok(log)
}

fn write_batches(receiver: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for batch in receiver {
        for part in parts(&batch) {
            // Nobody is left to tell if standard output is closed.
            let _ = out.write_all(part);
            let _ = out.flush();
        }
    }
}

/// Splits a batch into whole lines of at most [`PIPE_BYTES`] together, but for longer lines.
fn parts(batch: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in batch.split_inclusive(|&byte| byte == b'\n') {
        if end > start && end - start + line.len() > PIPE_BYTES {
            parts.push(&batch[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        parts.push(&batch[start..end]);
    }
    parts
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands the collected lines to the writer thread, without waiting for it.
    pub(super) fn flush(&self) {
        let mut shared = self.lock();
        if shared.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut shared.batch);
        let lines = batch.iter().filter(|&&byte| byte == b'\n').count() as u64;
        if let Err(TrySendError::Full(_)) = self.sender.try_send(batch) {
            shared.dropped += lines;
        }
    }

    /// Returns how many lines were left out since the start.
    pub(super) fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    /// Returns how long the next hand-over may wait.
    pub(super) const fn interval() -> Duration {
        INTERVAL
    }

    /// Waits shortly for the writer thread at the end of the process.
    pub(super) fn finish(&self) {
        self.flush();
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl Shared {
    /// Takes a line into account; returns whether it is within the limit.
    fn admit(&mut self, class: Class) -> bool {
        let now = Instant::now();
        if now.duration_since(self.window) >= Duration::from_secs(1) {
            self.window = now;
            self.lines = 0;
        }
        let within = self.lines < class.limit(self.limit);
        let admitted = within && self.batch.len() < BATCH_BYTES;
        self.lines += u32::from(admitted);
        self.dropped += u64::from(!admitted);
        admitted
    }
}

/// Writes one line into the batch, or nowhere.
#[derive(Debug)]
pub(super) struct LineWriter<'a>(Option<MutexGuard<'a, Shared>>);

impl Write for LineWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(shared) = &mut self.0 {
            shared.batch.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut shared = self.lock();
        let admitted = shared.admit(Class::Severe);
        LineWriter(admitted.then_some(shared))
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> Self::Writer {
        let mut shared = self.lock();
        let admitted = shared.admit(Class::from(metadata));
        LineWriter(admitted.then_some(shared))
    }
}
