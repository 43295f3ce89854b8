//! Counts of messages and bytes.

use flaxstand_proto::codec::HEADER_BYTES;
use serde::{Deserialize, Serialize};

/// Messages and bytes of connections, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages received.
    pub messages_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

impl Traffic {
    /// Adds another count to this one.
    pub fn add(&mut self, other: &Traffic) {
        self.messages_in += other.messages_in;
        self.bytes_in += other.bytes_in;
        self.messages_out += other.messages_out;
        self.bytes_out += other.bytes_out;
    }

    /// A message was sent.
    pub fn sent(&mut self, bytes: usize) {
        self.messages_out += 1;
        self.bytes_out += bytes as u64;
    }

    /// A message was received.
    pub fn received(&mut self, bytes: usize) {
        self.messages_in += 1;
        self.bytes_in += bytes as u64;
    }
}

/// Bytes of a frame's header that tell the length of its body.
const LENGTH: usize = 4;

/// Counts the frames that begin in a stream of bytes, whatever parts it comes in.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameCounter {
    length: [u8; LENGTH],
    known: usize,
    /// Bytes of the present frame that are still to come after its length.
    rest: usize,
}

impl FrameCounter {
    /// How many frames begin in these bytes, which follow those of the call before.
    pub fn count(&mut self, mut bytes: &[u8]) -> u64 {
        let mut frames = 0;
        while !bytes.is_empty() {
            if self.rest > 0 {
                let skipped = self.rest.min(bytes.len());
                self.rest -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            self.length[self.known] = bytes[0];
            self.known += 1;
            bytes = &bytes[1..];
            if self.known == LENGTH {
                self.known = 0;
                self.rest = HEADER_BYTES - LENGTH + u32::from_le_bytes(self.length) as usize;
                frames += 1;
            }
        }
        frames
    }
}
