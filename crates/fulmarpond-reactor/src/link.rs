//! Framed connections between own processes.

use std::time::Instant;

use crate::channel::Channel;
use crate::event::LinkId;

/// The length of the prefix that states the length of a frame.
const PREFIX: usize = 4;

/// The longest frame that is accepted, in bytes.
const MAX_FRAME: usize = 4 * 1024 * 1024;

/// A framed connection.
#[derive(Debug)]
pub(crate) struct LinkConn {
    pub(crate) channel: Channel,
    pub(crate) id: LinkId,
    /// When a connect that has not ended counts as failed.
    pub(crate) deadline: Instant,
}

impl LinkConn {
    /// Appends a frame to the output.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let len = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        self.channel.push(&len.to_be_bytes());
        self.channel.push(bytes);
    }

    /// Takes the whole frames from the input; `None` means that a frame is too long.
    pub(crate) fn take_frames(&mut self) -> Option<Vec<Vec<u8>>> {
        let mut frames = Vec::new();
        let mut start = 0;
        let input = &self.channel.input;
        while let Some(prefix) = input.get(start..start + PREFIX) {
            let len = u32::from_be_bytes([prefix[0], prefix[1], prefix[2], prefix[3]]) as usize;
            if len > MAX_FRAME {
                return None;
            }
            let Some(frame) = input.get(start + PREFIX..start + PREFIX + len) else {
                break;
            };
            frames.push(frame.to_vec());
            start += PREFIX + len;
        }
        self.channel.input.drain(..start);
        Some(frames)
    }
}
