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

/// The calls that may wait for the platform's service.
const RING_SIZE: usize = 256;
/// What all keys of the system begin with, since the service is shared.
const PREFIX: &str = "fulmarpond/";
/// How long one watch waits for a change, in milliseconds.
const WATCH_MS: u64 = 3_000;
/// The longest delay after a failed watch, in milliseconds.
const WATCH_RETRY_MS: u64 = 1_000;

/// Starts the threads. Returns the ring of calls.
pub(crate) fn start(
    addr: SocketAddr,
    timeout: Duration,
    core: &SyncSender<EntryInput>,
    metrics: &Arc<Metrics>,
    clock: Clock,
    stop: &Arc<AtomicBool>,
) -> crate::Result<SyncSender<(CallId, StoreOp)>> {
    let (calls, receiver) = sync_channel(RING_SIZE);
    let client = KeyValueClient::new(addr, timeout);
    let to_core = core.clone();
    let counted = Arc::clone(metrics);
    thread::Builder::new()
        .name("store".to_owned())
        .spawn(move || serve(&client, &receiver, &to_core, &counted))?;
    let client = KeyValueClient::new(addr, timeout);
    let to_core = core.clone();
    let counted = Arc::clone(metrics);
    let stop = Arc::clone(stop);
    thread::Builder::new()
        .name("watch".to_owned())
        .spawn(move || watch(&client, &to_core, &counted, clock, &stop))?;
    Ok(calls)
}

fn serve(
    client: &KeyValueClient,
    calls: &Receiver<(CallId, StoreOp)>,
    core: &SyncSender<EntryInput>,
    metrics: &Metrics,
) {
    while let Ok((call, op)) = calls.recv() {
        metrics.messages("store", 2);
        let result = perform(client, op);
        if core.send(EntryInput::Stored { call, result }).is_err() {
            return;
        }
    }
}

fn perform(client: &KeyValueClient, op: StoreOp) -> Result<StoreReply, StoreError> {
    match op {
        StoreOp::Get(key) => {
            let item = client.get(&format!("{PREFIX}{key}")).map_err(store_error)?;
            Ok(StoreReply::Value(item.map(|item| StoreItem {
                key,
                value: item.value,
                revision: item.revision,
            })))
        }
        StoreOp::Put(item) => client
            .put(
                &format!("{PREFIX}{}", item.key),
                &item.value,
                Some(item.revision),
            )
            .map(StoreReply::Written)
            .map_err(store_error),
    }
}

fn store_error(error: PlatformError) -> StoreError {
    match error {
        PlatformError::Conflict { .. } => StoreError::Conflict,
        PlatformError::TooLarge => StoreError::Rejected,
        PlatformError::Unavailable => StoreError::Unavailable,
        PlatformError::Unknown => StoreError::Unknown,
    }
}

/// Watches the keys of the system and delivers every return to the core thread, since a return
/// without changes confirms that what is known is still in force.
fn watch(
    client: &KeyValueClient,
    core: &SyncSender<EntryInput>,
    metrics: &Metrics,
    clock: Clock,
    stop: &AtomicBool,
) {
    let mut after = 0;
    let mut out = false;
    // The first look must not wait: an empty service has no change to report.
    let mut wait_ms = 0;
    while !stop.load(Ordering::Relaxed) {
        metrics.messages("store", 2);
        let began = clock.now();
        match client.watch(PREFIX, after, wait_ms) {
            Ok(changes) => {
                if out {
                    info!("the platform's key-value service is back");
                    out = false;
                }
                after = changes.revision;
                wait_ms = WATCH_MS;
                let items = changes
                    .items
                    .into_iter()
                    .filter_map(|change| {
                        Some(StoreItem {
                            key: change.key.strip_prefix(PREFIX)?.to_owned(),
                            value: change.value?,
                            revision: change.revision,
                        })
                    })
                    .collect();
                if core.send(EntryInput::Watched { items, began }).is_err() {
                    return;
                }
            }
            Err(error) => {
                if !out {
                    warn!(%error, "the platform's key-value service is out; dispatch goes on");
                    out = true;
                }
                let delay = rand::rng().random_range(WATCH_RETRY_MS / 4..=WATCH_RETRY_MS);
                thread::sleep(Duration::from_millis(delay));
            }
        }
    }
}
