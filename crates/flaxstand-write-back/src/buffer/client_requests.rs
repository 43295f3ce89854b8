//! Requests that clients wait for: reads of buffered data, and how requests end other than by their answer.

use super::WriteBackBuffer;
use crate::order::{Found, Item, Stage};
use crate::record::{ExtentId, Seq};
use crate::request::{BufferedRead, Expired, WriteHandle};
use flaxstand_proto::Micros;

/// What a client waits for.
#[derive(Debug)]
pub(super) enum ClientRequest {
    Write(Seq),
    PassThrough(Seq),
    Barrier(Seq),
    Flush,
    /// A read of an extent that is to be merged with the node's answer.
    Read(ExtentId),
}

impl WriteBackBuffer {
    /// A read of an extent.
    pub fn read(&mut self, handle: WriteHandle, extent_id: ExtentId) -> BufferedRead {
        match self.order.read(handle, extent_id) {
            Found::Nothing => BufferedRead::Miss,
            Found::Complete { shard, data } => BufferedRead::Complete { shard, data },
            Found::Partial => {
                self.requests.insert(handle, ClientRequest::Read(extent_id));
                BufferedRead::Partial
            }
        }
    }

    /// Merges a node's answer with what is buffered, for a read that found parts here. The read is over.
    pub fn merge_read(&mut self, handle: WriteHandle, data: &mut Vec<u8>, now: Micros) {
        if let Some(ClientRequest::Read(extent_id)) = self.requests.get(&handle) {
            self.order.overlay(*extent_id, data);
        }
        self.abandon(handle, now);
    }

    /// A request that was passed through is over. `may_still_run`: an attempt of it may still run.
    pub fn pass_through_ended(&mut self, handle: WriteHandle, may_still_run: bool, now: Micros) {
        let Some(ClientRequest::PassThrough(seq)) = self.requests.remove(&handle) else { return };
        let not_before = if may_still_run { now.after(self.config.key_cooldown) } else { Micros(0) };
        let unblocked = self.order.finish(seq, not_before);
        self.advance_unblocked(unblocked, now);
    }

    /// Nobody waits for a request any more, and none of it was sent. Of one that was sent, call
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

    /// A request's deadline has passed: what to answer. It is gone from here then.
    pub fn expire(&mut self, handle: WriteHandle, now: Micros) -> Expired {
        let answer = match self.requests.get(&handle) {
            None | Some(ClientRequest::Read(_)) => return Expired::NotHere,
            Some(ClientRequest::PassThrough(seq)) => match self.order.item(*seq) {
                Some(Item::PassThrough(request)) if request.is_released => return Expired::NotHere,
                _ => Expired::Reject,
            },
            Some(ClientRequest::Write(seq)) if self.is_logging(*seq) => Expired::Fail,
            // Durable, or on its node already.
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
