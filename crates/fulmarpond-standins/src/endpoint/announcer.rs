//! Announcements of an endpoint to the agent on its host.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::{EndpointLimits, EndpointOptions, Inner};

/// Interval of renewals and of attempts after a failure.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of one announcement.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The thread that announces an endpoint.
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
    /// Announces the endpoint at `addr` until `inner` is stopping.
    pub(super) fn start(options: EndpointOptions, addr: SocketAddr, inner: Arc<Inner>) -> Self {
        let thread = thread::spawn(move || {
            let client = Client::new(options, addr);
            client.run(&inner);
        });
        Self {
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Waits until leaving was announced.
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
            .timeout_global(Some(TIMEOUT))
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
        let mut left = false;
        loop {
            let (leave, stopping) = {
                let state = inner.lock();
                (state.leave, state.stopping)
            };
            if leave || stopping {
                left = left || self.leave();
            } else {
                left = false;
                // A failed announcement is repeated after the interval, as a renewal is.
                let _ = self.announce();
            }
            if stopping {
                return;
            }
            let end = Instant::now() + INTERVAL;
            let mut state = inner.lock();
            while state.leave == leave && !state.stopping {
                let rest = end.saturating_duration_since(Instant::now());
                if rest.is_zero() {
                    break;
                }
                state = match inner.changed.wait_timeout(state, rest) {
                    Ok((state, _)) => state,
                    Err(error) => PoisonError::into_inner(error).0,
                };
            }
        }
    }

    fn announce(&self) -> Result<(), ureq::Error> {
        let mut reply = self.http.post(&self.url).send_json(&self.announcement)?;
        // A connection is reused only after its reply was read.
        reply.body_mut().read_to_vec().map(|_| ())
    }

    /// Announces leaving and returns whether the agent noted it.
    fn leave(&self) -> bool {
        self.http.delete(&self.url).call().is_ok()
    }
}
