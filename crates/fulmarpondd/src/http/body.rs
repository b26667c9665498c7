//! Typed values from bodies and queries.

use fulmarpond_http::{Request, Response};
use serde::de::DeserializeOwned;

use super::render;

/// Reads a JSON body, or makes the response that says what is wrong.
pub(super) fn read<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    serde_json::from_slice(request.body())
        .map_err(|error| render::invalid(400, &format!("body: {error}")))
}

/// Returns a number from the query, or `default` if it is not given.
pub(super) fn number(request: &Request, name: &str, default: u64) -> Result<u64, Response> {
    match request.query(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| {
            render::invalid(
                400,
                &format!("parameter `{name}` must be a whole number, got `{text}`"),
            )
        }),
    }
}
