//! Shared test helpers.

#![allow(dead_code)] // No test program uses all helpers.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

/// Time limit of requests and of waits for a condition.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns an HTTP client that does not treat an error status as an error.
pub(crate) fn http() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into()
}

/// Sends a request and returns the status and the body, which is null if it is not JSON.
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

/// Polls `condition` until it holds; panics with `description` after [`TIMEOUT`].
pub(crate) fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        thread::sleep(Duration::from_millis(2));
    }
}
