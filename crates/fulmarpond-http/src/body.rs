//! Bounded reading of bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::Fault;

/// How much of the body of a refused request is discarded, in bytes.
///
/// Many clients read the response only after they have sent the whole body. Closing the
/// connection before that resets it, and they never see the response.
const DISCARD_MAX: usize = 16 << 20;
/// How long the body of a refused request is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Reads a body of at most `limit` bytes with pauses of at most `pause`.
pub(crate) async fn read(body: &mut Incoming, limit: u64, pause: Duration) -> Result<Bytes, Fault> {
    let too_large = Fault::BodyTooLarge(limit);
    if body.size_hint().lower() > limit {
        return Err(too_large);
    }
    let mut whole = BytesMut::new();
    loop {
        let frame = match timeout(pause, body.frame()).await {
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Fault::BodyBroken),
            Err(_) => return Err(Fault::BodyStalled),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit {
            return Err(too_large);
        }
        whole.extend_from_slice(&data);
    }
}

/// Discards the rest of a body within bounds, while the response is sent.
pub(crate) fn discard(mut body: Incoming) {
    let rest = async move {
        let mut size = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > DISCARD_MAX {
                return;
            }
        }
    };
    tokio::spawn(timeout(DISCARD_TIME, rest));
}
