//! Pending client requests: reads of buffered data, and requests that end by pass-through, cancellation or
//! deadline.

use super::WriteBackBuffer;
use crate::order::{ExtentRead, Item, Stage};
use crate::record::{ExtentId, Seq};
use crate::request::{BufferedRead, Expired, WriteHandle};
use flaxstand_proto::Micros;

/// Pending request of a client.
#[derive(Debug)]
pub(super) enum ClientRequest {
    Write(Seq),
    PassThrough(Seq),
    Barrier(Seq),
    Flush,
    /// Read of an extent whose response from the node must be merged with buffered data.
    Read(ExtentId),
}

impl WriteBackBuffer {
    /// Reads an extent.
    pub fn read(&mut self, handle: WriteHandle, extent_id: ExtentId) -> BufferedRead {
        match self.order.read(handle, extent_id) {
            ExtentRead::Miss => BufferedRead::Miss,
            ExtentRead::Complete { shard, data } => BufferedRead::Complete { shard, data },
            ExtentRead::Partial => {
                self.requests.insert(handle, ClientRequest::Read(extent_id));
                BufferedRead::Partial
            }
        }
    }

    /// Merges a node's response with the buffered data, for a read that returned [`BufferedRead::Partial`].
    /// Ends the read.
    pub fn merge_read(&mut self, handle: WriteHandle, data: &mut Vec<u8>, now: Micros) {
        if let Some(ClientRequest::Read(extent_id)) = self.requests.get(&handle) {
            self.order.overlay(*extent_id, data);
        }
        self.abandon(handle, now);
    }

    /// Ends a request that was passed through. `may_still_run`: whether an attempt may still be executed.
    pub fn pass_through_ended(&mut self, handle: WriteHandle, may_still_run: bool, now: Micros) {
        let Some(ClientRequest::PassThrough(seq)) = self.requests.remove(&handle) else { return };
        let not_before = if may_still_run { now.after(self.config.key_cooldown) } else { Micros(0) };
        let unblocked = self.order.finish(seq, not_before);
        self.advance_unblocked(unblocked, now);
    }

    /// Cancels a request of which no attempt was sent. For a request that was sent, call
    /// [`WriteBackBuffer::pass_through_ended`].
    pub fn abandon(&mut self, handle: WriteHandle, now: Micros) {
        match self.requests.get(&handle) {
            Some(ClientRequest::PassThrough(_)) => self.pass_through_ended(handle, false, now),
            Some(ClientRequest::Read(extent_id)) => {
                let extent_id = *extent_id;
                self.requests.remove(&handle);
                self.order.read_ended(handle, extent_id);
                self.advance_extent(extent_id, now);
            }
            Some(ClientRequest::Write(seq) | ClientRequest::Barrier(seq)) => {
                self.acknowledgements.remove(*seq);
                self.requests.remove(&handle);
            }
            Some(ClientRequest::Flush) => {
                self.requests.remove(&handle);
                self.flushes.remove(handle);
            }
            None => {}
        }
    }

    /// Ends a request whose deadline has passed. Returns the response to send.
    pub fn expire(&mut self, handle: WriteHandle, now: Micros) -> Expired {
        let answer = match self.requests.get(&handle) {
            None | Some(ClientRequest::Read(_)) => return Expired::NotPending,
            Some(ClientRequest::PassThrough(seq)) => match self.order.item(*seq) {
                Some(Item::PassThrough(request)) if request.is_released => return Expired::NotPending,
                _ => Expired::Reject,
            },
            Some(ClientRequest::Write(seq)) if self.is_logging(*seq) => Expired::Fail,
            // Durable in the log, or already confirmed by its node.
            Some(ClientRequest::Write(_)) => {
                self.counts.acknowledged += 1;
                Expired::Buffered
            }
            Some(ClientRequest::Barrier(_) | ClientRequest::Flush) => Expired::Fail,
        };
        self.abandon(handle, now);
        answer
    }

    fn is_logging(&self, seq: Seq) -> bool {
        self.order.buffered_write(seq).is_some_and(|write| write.stage == Stage::Logging)
    }
}
