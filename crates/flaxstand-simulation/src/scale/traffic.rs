//! Message and byte counts of connections.

use flaxstand_proto::codec::HEADER_BYTES;
use serde::{Deserialize, Serialize};

/// Messages and bytes in both directions.
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
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Traffic) {
        self.messages_in += other.messages_in;
        self.bytes_in += other.bytes_in;
        self.messages_out += other.messages_out;
        self.bytes_out += other.bytes_out;
    }

    /// Counts a message of `bytes` bytes as sent.
    pub fn sent(&mut self, bytes: usize) {
        self.messages_out += 1;
        self.bytes_out += bytes as u64;
    }

    /// Counts a message of `bytes` bytes as received.
    pub fn received(&mut self, bytes: usize) {
        self.messages_in += 1;
        self.bytes_in += bytes as u64;
    }
}

/// Size of the length field at the start of a frame header. The field holds the length of the frame body.
const LENGTH_BYTES: usize = 4;

/// Counts the frames in a byte stream that arrives in chunks of any size.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameCounter {
    length: [u8; LENGTH_BYTES],
    /// Bytes of the length field received so far.
    length_received: usize,
    /// Bytes of the current frame that follow its length field and have not been received.
    remaining: usize,
}

impl FrameCounter {
    /// Consumes the next chunk of the stream. Returns the number of frames whose length field ends in it.
    pub fn count(&mut self, mut bytes: &[u8]) -> u64 {
        let mut frames = 0;
        while !bytes.is_empty() {
            if self.remaining > 0 {
                let skipped = self.remaining.min(bytes.len());
                self.remaining -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            self.length[self.length_received] = bytes[0];
            self.length_received += 1;
            bytes = &bytes[1..];
            if self.length_received == LENGTH_BYTES {
                self.length_received = 0;
                self.remaining = HEADER_BYTES - LENGTH_BYTES + u32::from_le_bytes(self.length) as usize;
                frames += 1;
            }
        }
        frames
    }
}
