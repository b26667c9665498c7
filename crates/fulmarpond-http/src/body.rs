//! Reading and discarding of request bodies within limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::Fault;

/// The maximum number of bytes of the body of a refused request that are discarded.
///
/// Many clients read the response only after they have sent the entire body. Closing the connection
/// earlier resets it, and the client never receives the response.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// The maximum time for discarding the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a body of at most `max_bytes` bytes, with at most `max_pause` between two frames.
pub(crate) async fn read(
    body: &mut Incoming,
    max_bytes: u64,
    max_pause: Duration,
) -> Result<Bytes, Fault> {
    let too_large = Fault::BodyTooLarge(max_bytes);
    if body.size_hint().lower() > max_bytes {
        return Err(too_large);
    }
    let mut content = BytesMut::new();
    loop {
        let frame = match timeout(max_pause, body.frame()).await {
            Ok(None) => return Ok(content.freeze()),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Fault::BodyBroken),
            Err(_) => return Err(Fault::BodyStalled),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (content.len() + data.len()) as u64 > max_bytes {
            return Err(too_large);
        }
        content.extend_from_slice(&data);
    }
}

/// Discards the rest of a body in the background, up to a maximum size and time, while the response
/// is sent.
pub(crate) fn discard(mut body: Incoming) {
    let discard_rest = async move {
        let mut size = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    tokio::spawn(timeout(DISCARD_TIMEOUT, discard_rest));
}
