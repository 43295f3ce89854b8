//! Receive and send buffers of a connection.

use crate::codec::{BodyLimit, FrameError, HEADER_BYTES, MAX_LIST_BODY_BYTES, decode_within, encode};
use crate::frame::Frame;

/// Size of the buffer that an idle connection keeps in each direction, bytes.
const MAX_RETAINED_BYTES: usize = 1024;

/// Receive buffer: holds the bytes of an incomplete frame, at most one frame plus one read.
#[derive(Debug, Default)]
pub struct Inbox {
    partial: Vec<u8>,
    limit: BodyLimit,
    received: u64,
}

impl Inbox {
    /// Creates an inbox for a connection to the discovery service, whose node lists may exceed the usual
    /// limit.
    pub fn for_discovery_service() -> Self {
        Inbox { limit: BodyLimit::NodeList, ..Inbox::default() }
    }

    /// Total number of bytes received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Whether the buffer holds an incomplete frame.
    pub fn is_within_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds received bytes and passes every complete frame to `on_frame`, in order. An incomplete frame stays
    /// buffered. If `on_frame` returns false, decoding stops and the remaining bytes are discarded.
    ///
    /// # Errors
    /// A frame is invalid; decoding stops there.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        mut on_frame: impl FnMut(Frame<'_>) -> bool,
    ) -> Result<(), FrameError> {
        self.received += bytes.len() as u64;
        // Most reads end at a frame boundary, so usually nothing needs to be copied.
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
            if !on_frame(frame) {
                return Ok(());
            }
        }
        self.partial = if joined.is_empty() {
            bytes[at..].to_vec()
        } else {
            joined.drain(..at);
            if joined.is_empty() {
                joined.shrink_to(MAX_RETAINED_BYTES);
            }
            joined
        };
        debug_assert!(self.partial.len() <= HEADER_BYTES + MAX_LIST_BODY_BYTES);
        Ok(())
    }
}

/// Send buffer with a count of the bytes written so far.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: Vec<u8>,
    start: usize,
    written: u64,
}

impl Outbox {
    /// Appends a frame. Returns its end offset in the stream, to be compared with [`Outbox::written`].
    pub fn push(&mut self, frame: &Frame<'_>) -> u64 {
        self.write(|bytes| encode(frame, bytes))
    }

    /// Like [`Outbox::push`] for data other than frames: `append` adds its bytes to the buffer.
    pub fn write(&mut self, append: impl FnOnce(&mut Vec<u8>)) -> u64 {
        append(&mut self.bytes);
        self.written + self.len() as u64
    }

    /// Bytes not yet written.
    pub fn pending(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Number of bytes not yet written.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Memory that the buffer takes, with bytes that were written and not removed yet.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether all bytes are written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total number of bytes written. The peer cannot have received a frame whose end offset is greater: it
    /// is not completely written.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Removes the first `count` pending bytes after they were written.
    pub fn advance(&mut self, count: usize) {
        let count = count.min(self.len());
        self.start += count;
        self.written += count as u64;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(MAX_RETAINED_BYTES);
            self.start = 0;
        } else if self.start > MAX_RETAINED_BYTES && self.start > self.bytes.len() / 2 {
            self.bytes.drain(..self.start);
            self.bytes.shrink_to_fit();
            self.start = 0;
        }
    }
}
