//! Announces an endpoint to the agent on its host.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::{EndpointLimits, EndpointOptions, Inner};

/// Interval between renewals, and between attempts after a failure.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of one announcement request.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The thread that announces an endpoint and renews the announcement.
#[derive(Debug)]
pub(super) struct Announcer {
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// The body of an announcement.
#[derive(Debug, Serialize)]
struct Announcement {
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    zone: String,
    limits: EndpointLimits,
}

impl Announcer {
    /// Starts a thread that announces the endpoint at `addr` until `inner` is stopping.
    pub(super) fn start(options: EndpointOptions, addr: SocketAddr, inner: Arc<Inner>) -> Self {
        let thread = thread::spawn(move || {
            let client = Client::new(options, addr);
            client.run(&inner);
        });
        Self {
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Waits until the thread has withdrawn the announcement and finished.
    pub(super) fn stop(&self) {
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = thread.take() {
            let _ = thread.join();
        }
    }
}

struct Client {
    http: ureq::Agent,
    url: String,
    announcement: Announcement,
}

impl Client {
    fn new(options: EndpointOptions, addr: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(ANNOUNCE_TIMEOUT))
            .proxy(None)
            .build();
        Self {
            http: config.into(),
            url: format!("http://{}/v1/endpoint", options.agent),
            announcement: Announcement {
                addr,
                slots: options.slots,
                connections: options.connections,
                zone: options.zone,
                limits: options.limits,
            },
        }
    }

    fn run(&self, inner: &Inner) {
        let mut has_left = false;
        loop {
            let (leave, is_stopping) = {
                let state = inner.lock();
                (state.leave, state.is_stopping)
            };
            if leave || is_stopping {
                has_left = has_left || self.leave();
            } else {
                has_left = false;
                // A failed announcement is retried at the next interval, like a renewal.
                let _ = self.announce();
            }
            if is_stopping {
                return;
            }
            let next_attempt = Instant::now() + ANNOUNCE_INTERVAL;
            let mut state = inner.lock();
            while state.leave == leave && !state.is_stopping {
                let remaining = next_attempt.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                state = match inner.changed.wait_timeout(state, remaining) {
                    Ok((state, _)) => state,
                    Err(error) => PoisonError::into_inner(error).0,
                };
            }
        }
    }

    fn announce(&self) -> Result<(), ureq::Error> {
        let mut reply = self.http.post(&self.url).send_json(&self.announcement)?;
        // The connection is reused only after the reply has been read in full.
        reply.body_mut().read_to_vec().map(|_| ())
    }

    /// Withdraws the announcement and returns whether the agent acknowledged it.
    fn leave(&self) -> bool {
        self.http.delete(&self.url).call().is_ok()
    }
}
