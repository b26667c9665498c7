//! Framed connections between the processes of a deployment.

use std::time::Instant;

use crate::channel::Channel;
use crate::event::LinkId;

/// The size of the big-endian length prefix of a frame, in bytes.
const FRAME_PREFIX_BYTES: usize = 4;

/// The largest payload of a frame that is sent or accepted, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The size of the input at which frames are taken from it, in bytes: one frame of any size fits.
pub(crate) const MAX_INPUT_BYTES: usize = FRAME_PREFIX_BYTES + MAX_FRAME_BYTES;

/// A framed connection.
#[derive(Debug)]
pub(crate) struct LinkConn {
    pub(crate) channel: Channel,
    pub(crate) id: LinkId,
    /// When a connection attempt that is still in progress is treated as failed.
    pub(crate) connect_deadline: Instant,
    /// Whether the peer opened the link.
    pub(crate) is_accepted: bool,
    /// Whether a whole frame has arrived.
    pub(crate) has_frame: bool,
    /// The bytes that were last counted as held by clients.
    pub(crate) held: usize,
    /// Since when it holds bytes, or waits for the first one.
    pub(crate) since: Instant,
}

impl LinkConn {
    pub(crate) fn new(channel: Channel, id: LinkId, deadline: Instant, is_accepted: bool) -> Self {
        Self {
            channel,
            id,
            connect_deadline: deadline,
            is_accepted,
            has_frame: false,
            held: 0,
            since: Instant::now(),
        }
    }

    /// Returns whether the peer may be any client: it opened the link and has sent no whole frame.
    pub(crate) const fn is_untried(&self) -> bool {
        self.is_accepted && !self.has_frame
    }

    /// Queues a frame for sending.
    pub(crate) fn queue_frame(&mut self, bytes: &[u8]) {
        let len = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        self.channel.queue(&len.to_be_bytes());
        self.channel.queue(bytes);
    }

    /// Removes all complete frames from the input and returns them, or returns `None` if a frame
    /// exceeds [`MAX_FRAME_BYTES`].
    pub(crate) fn take_frames(&mut self) -> Option<Vec<Vec<u8>>> {
        let mut frames = Vec::new();
        let mut start = 0;
        let input = &self.channel.input;
        while let Some(prefix) = input.get(start..start + FRAME_PREFIX_BYTES) {
            let len = u32::from_be_bytes([prefix[0], prefix[1], prefix[2], prefix[3]]) as usize;
            if len > MAX_FRAME_BYTES {
                return None;
            }
            let Some(frame) =
                input.get(start + FRAME_PREFIX_BYTES..start + FRAME_PREFIX_BYTES + len)
            else {
                break;
            };
            frames.push(frame.to_vec());
            start += FRAME_PREFIX_BYTES + len;
        }
        self.channel.input.drain(..start);
        Some(frames)
    }
}
