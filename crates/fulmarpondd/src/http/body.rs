//! Bounded reading of request bodies.

use std::io::Read;

use rouille::{Request, Response};
use serde::de::DeserializeOwned;

use super::render;

/// Reads a JSON body of at most `limit` bytes, or makes the response that says what is wrong.
pub(super) fn read<T: DeserializeOwned>(request: &Request, limit: u64) -> Result<T, Response> {
    let Some(mut data) = request.data() else {
        return Err(render::invalid(400, "the request has no body"));
    };
    let mut bytes = Vec::new();
    let read = data.by_ref().take(limit + 1).read_to_end(&mut bytes);
    if read.is_err() {
        return Err(render::invalid(400, "the body can't be read"));
    }
    if bytes.len() as u64 > limit {
        return Err(render::too_large(limit));
    }
    serde_json::from_slice(&bytes).map_err(|error| render::invalid(400, &format!("body: {error}")))
}

/// Returns a number from the query, or `default` if it is not given.
pub(super) fn number(request: &Request, name: &str, default: u64) -> Result<u64, Response> {
    match request.get_param(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| {
            render::invalid(
                400,
                &format!("parameter `{name}` must be a whole number, got `{text}`"),
            )
        }),
    }
}
