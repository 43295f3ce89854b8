//! Buffers of a connection: a partial frame that was received, and bytes that wait to be written.

use crate::codec::{BodyLimit, FrameError, HEADER, MAX_LIST_BODY, decode_within, encode};
use crate::frame::Frame;

/// Received bytes that are not yet a complete frame. Never more than one frame and one read.
#[derive(Debug, Default)]
pub struct Inbox {
    partial: Vec<u8>,
    limit: BodyLimit,
    received: u64,
}

impl Inbox {
    /// An inbox for a connection to the discovery service, which may send long lists.
    pub fn of_list_service() -> Self {
        Inbox { limit: BodyLimit::NodeList, ..Inbox::default() }
    }

    /// Bytes ever received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Whether a frame has begun and is not complete yet.
    pub fn is_within_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Passes every complete frame to `each`, in order, until that returns false; the rest waits for more bytes.
    ///
    /// # Errors
    /// The first bytes that are not a frame; nothing after them is read.
    pub fn feed(&mut self, bytes: &[u8], mut each: impl FnMut(Frame<'_>) -> bool) -> Result<(), FrameError> {
        self.received += bytes.len() as u64;
        // The usual read ends with a whole frame: then nothing is copied.
        let mut joined = std::mem::take(&mut self.partial);
        let source = if joined.is_empty() {
            bytes
        } else {
            joined.extend_from_slice(bytes);
            &joined
        };
        let mut at = 0;
        while let Some((frame, len)) = decode_within(&source[at..], self.limit)? {
            at += len;
            if !each(frame) {
                return Ok(());
            }
        }
        self.partial = if joined.is_empty() {
            bytes[at..].to_vec()
        } else {
            joined.drain(..at);
            joined
        };
        debug_assert!(self.partial.len() <= HEADER + MAX_LIST_BODY);
        Ok(())
    }
}

/// Bytes that wait to be written, and how many ever were.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: Vec<u8>,
    start: usize,
    written: u64,
}

impl Outbox {
    /// Appends a frame. Returns the offset in the stream at which it ends: see [`Outbox::written`].
    pub fn push(&mut self, frame: &Frame<'_>) -> u64 {
        self.write(|bytes| encode(frame, bytes))
    }

    /// The same for what is not a frame: `add` appends its bytes to what waits.
    pub fn write(&mut self, add: impl FnOnce(&mut Vec<u8>)) -> u64 {
        add(&mut self.bytes);
        self.written + self.len() as u64
    }

    /// What waits.
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes ever written. A frame that ends beyond this was not written completely: its peer can't have read it.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// `count` bytes of what waits were written.
    pub fn wrote(&mut self, count: usize) {
        let count = count.min(self.len());
        self.start += count;
        self.written += count as u64;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
        } else if self.start > (1 << 16) && self.start > self.bytes.len() / 2 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }
}
