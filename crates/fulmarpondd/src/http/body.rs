//! Parsing of request bodies and query parameters.

use fulmarpond_http::{Request, Response};
use serde::de::DeserializeOwned;

use super::render;

/// Parses a JSON body.
///
/// # Errors
///
/// Returns the response that describes the error.
pub(super) fn parse_json<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    serde_json::from_slice(request.body())
        .map_err(|error| render::invalid(400, &format!("body: {error}")))
}

/// Returns a numeric query parameter, or `default` if it is absent.
pub(super) fn query_number(request: &Request, name: &str, default: u64) -> Result<u64, Response> {
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
