//! The threads that call the platform's key-value service for an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use fulmarpond_core::entry::{EntryInput, StoreError, StoreItem, StoreOp, StoreReply};
use fulmarpond_core::link::CallId;
use fulmarpond_link::platform::{KeyValueClient, PlatformError};
use rand::RngExt;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::metrics::Metrics;

/// Capacity of the queue of calls to the platform's key-value service.
const QUEUE_CAPACITY: usize = 256;
/// Prefix of all keys of the system, since the service is shared.
const KEY_PREFIX: &str = "fulmarpond/";
/// How long a watch request waits for a change.
const WATCH_TIMEOUT_MS: u64 = 3_000;
/// Longest backoff after a failed watch.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Starts the threads for calls and for the watch. Returns the sender of the call queue.
pub(crate) fn start(
    addr: SocketAddr,
    timeout: Duration,
    core: &SyncSender<EntryInput>,
    metrics: &Arc<Metrics>,
    clock: Clock,
    stop: &Arc<AtomicBool>,
) -> crate::Result<SyncSender<(CallId, StoreOp)>> {
    let (calls, receiver) = sync_channel(QUEUE_CAPACITY);
    let client = KeyValueClient::new(addr, timeout);
    let to_core = core.clone();
    let thread_metrics = Arc::clone(metrics);
    thread::Builder::new()
        .name("store".to_owned())
        .spawn(move || run_calls(&client, &receiver, &to_core, &thread_metrics))?;
    let client = KeyValueClient::new(addr, timeout);
    let to_core = core.clone();
    let thread_metrics = Arc::clone(metrics);
    let stop = Arc::clone(stop);
    thread::Builder::new()
        .name("watch".to_owned())
        .spawn(move || watch(&client, &to_core, &thread_metrics, clock, &stop))?;
    Ok(calls)
}

fn run_calls(
    client: &KeyValueClient,
    calls: &Receiver<(CallId, StoreOp)>,
    core: &SyncSender<EntryInput>,
    metrics: &Metrics,
) {
    while let Ok((call, op)) = calls.recv() {
        metrics.count_messages("store", 2);
        let result = execute(client, op);
        if core.send(EntryInput::StoreResult { call, result }).is_err() {
            return;
        }
    }
}

fn execute(client: &KeyValueClient, op: StoreOp) -> Result<StoreReply, StoreError> {
    match op {
        StoreOp::Get(key) => {
            let item = client
                .get(&format!("{KEY_PREFIX}{key}"))
                .map_err(to_store_error)?;
            Ok(StoreReply::Value(item.map(|item| StoreItem {
                key,
                value: item.value,
                revision: item.revision,
            })))
        }
        StoreOp::Put(item) => client
            .put(
                &format!("{KEY_PREFIX}{}", item.key),
                &item.value,
                Some(item.revision),
            )
            .map(StoreReply::Written)
            .map_err(to_store_error),
    }
}

fn to_store_error(error: PlatformError) -> StoreError {
    match error {
        PlatformError::Conflict { .. } => StoreError::Conflict,
        PlatformError::TooLarge => StoreError::Rejected,
        PlatformError::Unavailable => StoreError::Unavailable,
        PlatformError::Unknown => StoreError::Unknown,
    }
}

/// Watches the keys of the system and delivers every response to the core thread, including empty
/// ones: a response without changes confirms that the known state is current.
fn watch(
    client: &KeyValueClient,
    core: &SyncSender<EntryInput>,
    metrics: &Metrics,
    clock: Clock,
    stop: &AtomicBool,
) {
    let mut after = 0;
    let mut is_unavailable = false;
    // The first request must not wait for a change: an empty service has none to report.
    let mut wait_ms = 0;
    while !stop.load(Ordering::Relaxed) {
        metrics.count_messages("store", 2);
        let requested_at = clock.now();
        match client.watch(KEY_PREFIX, after, wait_ms) {
            Ok(changes) => {
                if is_unavailable {
                    info!("the platform's key-value service is back");
                    is_unavailable = false;
                }
                after = changes.revision;
                wait_ms = WATCH_TIMEOUT_MS;
                let items = changes
                    .items
                    .into_iter()
                    .filter_map(|change| {
                        Some(StoreItem {
                            key: change.key.strip_prefix(KEY_PREFIX)?.to_owned(),
                            value: change.value?,
                            revision: change.revision,
                        })
                    })
                    .collect();
                if core
                    .send(EntryInput::WatchResult {
                        items,
                        requested_at,
                    })
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                if !is_unavailable {
                    warn!(%error, "the platform's key-value service is out; dispatch goes on");
                    is_unavailable = true;
                }
                let delay = rand::rng().random_range(MAX_RETRY_DELAY_MS / 4..=MAX_RETRY_DELAY_MS);
                thread::sleep(Duration::from_millis(delay));
            }
        }
    }
}
