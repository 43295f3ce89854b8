//! The write-back buffer with what the core knows of its write-outs.

use super::config::{Site, WriteBack};
use super::pending_request::{FinalAnswer, Handler, Owner, PendingRequest};
use super::write_out_classes::{buffer_config, write_out_class};
use crate::machine::Micros;
use flaxstand::api::RequestId;
use flaxstand_proto::Submit;
use flaxstand_write_back::config::BufferingMode;
use flaxstand_write_back::writeout::Urgency;
use flaxstand_write_back::{
    Action, BufferedRead, Expired, ExtentId, Recovered, Status, Write, WriteBackBuffer, WriteHandle,
    WriteOutId, WriteOutResult, WriteRequest,
};
use std::collections::BTreeMap;

/// A client's mark in the order of its writes.
#[derive(Clone, Copy, Debug)]
pub(super) enum OrderingRequest {
    /// Of this volume.
    Barrier(u64),
    /// Of this volume, or of all.
    Flush(Option<u64>),
}

/// Buffers writes, and knows which request each write-out is.
#[derive(Debug)]
pub(super) struct WriteBackCoordinator {
    buffer: WriteBackBuffer,
    settings: WriteBack,
    /// Classes of the site; the module's own for write-outs follow them.
    site_classes: usize,
    write_outs: BTreeMap<WriteOutId, RequestId>,
}

impl WriteBackCoordinator {
    /// A buffer that goes on with what was recovered. `calendar`: the host's calendar at the start,
    /// microseconds.
    pub(super) fn new(
        settings: WriteBack,
        site: &Site,
        calendar: u64,
        recovered: Recovered,
        now: Micros,
    ) -> Self {
        let buffer = WriteBackBuffer::new(buffer_config(&settings, site, calendar), recovered, now);
        let site_classes = site.classes.len();
        WriteBackCoordinator { buffer, settings, site_classes, write_outs: BTreeMap::new() }
    }

    /// How a batch went that `Command::StoreWriteBack` asked for.
    pub(super) fn stored(&mut self, well: bool, now: Micros) {
        self.buffer.batch_stored(well, now);
    }

    /// The buffer's metrics.
    pub(super) fn status(&self, now: Micros) -> Status {
        self.buffer.status(now)
    }

    /// A read of an extent: what the buffer has to do with it.
    pub(super) fn read(&mut self, id: RequestId, extent: ExtentId) -> BufferedRead {
        self.buffer.read(WriteHandle(id.0), extent)
    }

    /// A write: to be buffered if it may be, or else to keep its place in the order of writes.
    pub(super) fn write(&mut self, id: RequestId, s: &Submit<'_>, now: Micros) {
        let handle = WriteHandle(id.0);
        let extent_id = s.extent.map(|extent| ExtentId { volume: s.volume, extent });
        // A new object has no node yet, and the volume may be one that is not buffered.
        match (extent_id, s.shard) {
            (Some(extent_id), Some(shard)) if self.may_buffer(s) => {
                let write = Write {
                    extent_id,
                    class: s.class,
                    plan: s.plan,
                    volume_initiators: s.volume_initiators.max(1),
                    shard,
                    units: s.units,
                    operation: s.operation,
                    at: s.at,
                    payload: s.payload.to_vec(),
                };
                self.buffer.submit_write(WriteRequest { handle, write }, now);
            }
            _ => self.buffer.submit_pass_through(handle, s.volume, extent_id, now),
        }
    }

    fn may_buffer(&self, s: &Submit<'_>) -> bool {
        let is_buffered_volume = self.settings.volumes.as_ref().is_none_or(|v| v.contains(&s.volume));
        is_buffered_volume && self.buffer.buffering(s.class) != BufferingMode::Never
    }

    /// A client's barrier or flush.
    pub(super) fn mark(&mut self, id: RequestId, mark: OrderingRequest, now: Micros) {
        match mark {
            OrderingRequest::Barrier(volume) => self.buffer.submit_barrier(WriteHandle(id.0), volume, now),
            OrderingRequest::Flush(volume) => self.buffer.submit_flush(WriteHandle(id.0), volume),
        }
    }

    /// Settles the buffer. Returns when to settle it next, and what is to be done.
    pub(super) fn settle(&mut self, now: Micros) -> (Option<Micros>, Vec<Action>) {
        let wake = self.buffer.settle(now);
        (wake, self.buffer.take_actions())
    }

    /// A write-out becomes this request. Returns the module's class for it.
    pub(super) fn start_write_out(
        &mut self,
        id: WriteOutId,
        request: RequestId,
        class: u16,
        urgency: Urgency,
    ) -> usize {
        self.write_outs.insert(id, request);
        write_out_class(self.site_classes, class, urgency)
    }

    /// The request that a write-out is.
    pub(super) fn request_of(&self, id: WriteOutId) -> Option<RequestId> {
        self.write_outs.get(&id).copied()
    }

    /// A write-out is taken back before any of it was sent.
    pub(super) fn withdraw(&mut self, id: WriteOutId, now: Micros) {
        self.write_outs.remove(&id);
        self.buffer.write_out_ended(id, WriteOutResult::Cancelled, now);
    }

    /// A request's deadline has come while the buffer has it.
    pub(super) fn expire(&mut self, id: RequestId, now: Micros) -> Expired {
        self.buffer.expire(WriteHandle(id.0), now)
    }

    /// A request is answered and has no attempt in flight.
    pub(super) fn record_end(&mut self, id: RequestId, request: &PendingRequest, now: Micros) {
        match request.original_owner {
            Owner::Buffer(write_out) => self.record_write_out_end(write_out, request, now),
            Owner::Client { .. } => self.record_client_request_end(WriteHandle(id.0), request, now),
        }
    }

    fn record_write_out_end(&mut self, id: WriteOutId, request: &PendingRequest, now: Micros) {
        if self.write_outs.remove(&id).is_none() {
            return;
        }
        let unsure = request.may_have_run;
        let result = match request.final_answer {
            FinalAnswer::Served => WriteOutResult::Confirmed { may_still_run: unsure },
            FinalAnswer::NotExecuted(_) | FinalAnswer::Failed | FinalAnswer::None if unsure => {
                WriteOutResult::Unknown
            }
            FinalAnswer::NotExecuted(wait) => WriteOutResult::NotExecuted { retry_after: wait },
            FinalAnswer::Failed | FinalAnswer::None => WriteOutResult::NotExecuted { retry_after: Micros(0) },
        };
        self.buffer.write_out_ended(id, result, now);
    }

    fn record_client_request_end(&mut self, handle: WriteHandle, request: &PendingRequest, now: Micros) {
        match request.handler {
            Handler::Module { passed_on: true } => {
                self.buffer.pass_through_ended(handle, request.may_have_run, now)
            }
            Handler::Buffer => self.buffer.abandon(handle, now),
            Handler::Module { passed_on: false } if request.merge_extent.is_some() => {
                self.buffer.abandon(handle, now)
            }
            Handler::Module { passed_on: false } => {}
        }
    }

    /// Lays what is buffered over a node's answer to a read.
    pub(super) fn merge(&mut self, id: RequestId, data: &mut Vec<u8>, now: Micros) {
        self.buffer.merge_read(WriteHandle(id.0), data, now);
    }

    /// Buffers nothing more, and writes out what is buffered.
    pub(super) fn drain(&mut self) {
        self.buffer.drain();
    }

    /// Whether the buffer has nothing more to bring anywhere.
    pub(super) fn is_drained(&self) -> bool {
        self.buffer.is_drained()
    }
}
