//! Structured logging with a bounded volume that never blocks the event loop.
//!
//! Lines are collected in memory and passed to a writer thread in batches. If standard output is
//! blocked and the queue of the writer thread is full, batches are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarpond_dispatch::ATTEMPT_TARGET;
use fulmarpond_settings::LogLevel;
use tracing::{Metadata, info};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use super::line_limit::{LineClass, LineCounts, LineLimit};

/// The maximum number of batches in the queue of the writer thread.
const MAX_QUEUED_BATCHES: usize = 16;

/// The largest write to a pipe that is atomic, in bytes.
///
/// Longer writes of processes that share a pipe may be interleaved, and some log collectors
/// truncate them.
const PIPE_BYTES: usize = 4_096;

/// The time for which lines are collected before they are passed to the writer thread.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// The stack size of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// The shortest time between two lines about dropped lines.
const DROP_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct LogBuffer {
    batch: Vec<u8>,
    /// The lines of the batch.
    batch_lines: LineCounts,
    limit: LineLimit,
    /// The lines that were dropped since the start of the process.
    dropped: LineCounts,
    /// The dropped lines that have been logged.
    noticed: LineCounts,
    /// When dropped lines may be logged again.
    next_notice: Instant,
}

/// A handle to the collected lines of a process and to the queue of the writer thread.
#[derive(Debug, Clone)]
pub(super) struct Log {
    buffer: Arc<Mutex<LogBuffer>>,
    sender: SyncSender<Vec<u8>>,
}

/// Starts the writer thread, installs the global subscriber and returns the log.
pub(super) fn init(level: LogLevel, lines_per_second: u32) -> io::Result<Log> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_BATCHES);
    let now = Instant::now();
    let buffer = LogBuffer {
        batch: Vec::new(),
        batch_lines: LineCounts::default(),
        limit: LineLimit::new(lines_per_second, now),
        dropped: LineCounts::default(),
        noticed: LineCounts::default(),
        next_notice: now,
    };
    let log = Log {
        buffer: Arc::new(Mutex::new(buffer)),
        sender,
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_batches(&receiver))?;
    // Fails if the process already has a subscriber, which then stays in place.
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
        for chunk in split_at_lines(&batch) {
            // If standard output is closed, there is nowhere to report the error.
            let _ = out.write_all(chunk);
            let _ = out.flush();
        }
    }
}

/// Splits a batch into chunks of whole lines of at most [`PIPE_BYTES`]. A longer line gets a chunk
/// of its own.
fn split_at_lines(batch: &[u8]) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in batch.split_inclusive(|&byte| byte == b'\n') {
        if end > start && end - start + line.len() > PIPE_BYTES {
            chunks.push(&batch[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        chunks.push(&batch[start..end]);
    }
    chunks
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, LogBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the collected lines to the writer thread without blocking.
    pub(super) fn flush(&self) {
        self.notice_dropped();
        let mut buffer = self.lock();
        if buffer.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut buffer.batch);
        let lines = std::mem::take(&mut buffer.batch_lines);
        if let Err(TrySendError::Full(_)) = self.sender.try_send(batch) {
            buffer.dropped.add_all(lines);
        }
    }

    /// Logs how many lines were dropped, if there are new ones.
    fn notice_dropped(&self) {
        let now = Instant::now();
        let mut buffer = self.lock();
        let dropped = buffer.dropped;
        if dropped == buffer.noticed || now < buffer.next_notice {
            return;
        }
        buffer.noticed = dropped;
        buffer.next_notice = now + DROP_NOTICE_INTERVAL;
        drop(buffer);
        info!(target: ATTEMPT_TARGET, dropped = %dropped, "log lines dropped since the start");
    }

    /// Returns the lines dropped since the start of the process.
    pub(super) fn dropped(&self) -> LineCounts {
        self.lock().dropped
    }

    /// Sets the maximum number of lines per second.
    pub(super) fn set_limit(&self, lines_per_second: u32) {
        self.lock().limit.set(lines_per_second);
    }

    /// Returns the time between two flushes.
    pub(super) const fn flush_interval() -> Duration {
        FLUSH_INTERVAL
    }

    /// Flushes the log and gives the writer thread a short time to write it, before the process
    /// exits.
    pub(super) fn finish(&self) {
        self.flush();
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl LogBuffer {
    /// Counts a line and returns whether it may be written.
    fn admit(&mut self, class: LineClass) -> bool {
        let is_admitted = self.limit.admit(class, self.batch.len(), Instant::now());
        let counts = if is_admitted {
            &mut self.batch_lines
        } else {
            &mut self.dropped
        };
        counts.add(class);
        is_admitted
    }
}

/// Appends one line to the batch, or discards it if it is over the limit.
#[derive(Debug)]
pub(super) struct LineWriter<'a>(Option<MutexGuard<'a, LogBuffer>>);

impl Write for LineWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(buffer) = &mut self.0 {
            buffer.batch.extend_from_slice(bytes);
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
        let mut buffer = self.lock();
        let is_admitted = buffer.admit(LineClass::Severe);
        LineWriter(is_admitted.then_some(buffer))
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> Self::Writer {
        let mut buffer = self.lock();
        let is_admitted = buffer.admit(LineClass::from(metadata));
        LineWriter(is_admitted.then_some(buffer))
    }
}
