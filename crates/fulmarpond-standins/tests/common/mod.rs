//! Helpers of the tests.

#![allow(dead_code)] // Each test program uses some of the helpers.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

/// Time after which a test that waits for something has failed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Returns an HTTP client that treats every status as a reply.
pub(crate) fn http() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

/// Sends a request and returns the status with the body, which is null if it is not JSON.
pub(crate) fn send(
    http: &Agent,
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, Value), ureq::Error> {
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(body.to_owned())?;
    let mut reply = http.run(request)?;
    let text = reply.body_mut().read_to_string()?;
    let value = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok((reply.status().as_u16(), value))
}

/// Waits until `condition` holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
