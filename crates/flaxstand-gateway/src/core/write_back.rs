//! Connects the write-back buffer to the core's requests.

use super::config::{Site, WriteBack};
use super::pending_request::{FinalResponse, Handler, Owner, PendingRequest};
use super::write_out_classes::{buffer_config, write_out_class};
use crate::machine::Micros;
use flaxstand::api::RequestId;
use flaxstand_write_back::config::BufferingMode;
use flaxstand_write_back::writeout::Urgency;
use flaxstand_write_back::{
    Action, BufferedRead, Expired, ExtentId, Recovered, Status, Write, WriteBackBuffer, WriteHandle,
    WriteOutId, WriteOutResult, WriteRequest,
};
use std::collections::BTreeMap;

/// A client's request that orders its writes.
#[derive(Clone, Copy, Debug)]
pub(super) enum OrderingRequest {
    /// Barrier on a volume.
    Barrier(u64),
    /// Flush of a volume, or of all volumes.
    Flush(Option<u64>),
}

/// The write-back buffer, and the requests of its write-outs.
#[derive(Debug)]
pub(super) struct WriteBackCoordinator {
    buffer: WriteBackBuffer,
    settings: WriteBack,
    /// Number of the site's classes; the module's classes for write-outs follow them.
    site_classes: usize,
    write_outs: BTreeMap<WriteOutId, RequestId>,
}

impl WriteBackCoordinator {
    /// Creates a buffer from recovered state. `calendar` is the host's wall-clock time at the start, in
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

    /// Handles the result of a `Command::StoreWriteBack`.
    pub(super) fn stored(&mut self, is_stored: bool, now: Micros) {
        self.buffer.batch_stored(is_stored, now);
    }

    /// Returns the buffer's metrics.
    pub(super) fn status(&self, now: Micros) -> Status {
        self.buffer.status(now)
    }

    /// Reads an extent from the buffer.
    pub(super) fn read(&mut self, id: RequestId, extent: ExtentId) -> BufferedRead {
        self.buffer.read(WriteHandle(id.0), extent)
    }

    /// Submits a write, to be buffered if allowed, or else to be passed through in order.
    pub(super) fn write(&mut self, id: RequestId, request: &PendingRequest, now: Micros) {
        let handle = WriteHandle(id.0);
        let extent_id = request.extent.map(|extent| ExtentId { volume: request.volume, extent });
        // Not buffered: new objects, which have no shard yet, and volumes or classes without write-back.
        match (extent_id, request.shard) {
            (Some(extent_id), Some(shard)) if self.may_buffer(request) => {
                let write = Write {
                    extent_id,
                    class: request.class,
                    plan: request.plan,
                    volume_initiators: request.volume_initiators.max(1),
                    shard,
                    units: request.units,
                    operation: request.operation,
                    at: request.offset,
                    payload: request.payload.clone(),
                };
                self.buffer.submit_write(WriteRequest { handle, write }, now);
            }
            _ => self.buffer.submit_pass_through(handle, request.volume, extent_id, now),
        }
    }

    fn may_buffer(&self, request: &PendingRequest) -> bool {
        let is_buffered_volume = self.settings.volumes.as_ref().is_none_or(|v| v.contains(&request.volume));
        is_buffered_volume && self.buffer.buffering(request.class) != BufferingMode::Never
    }

    /// Submits a client's barrier or flush.
    pub(super) fn submit_ordering(&mut self, id: RequestId, ordering: OrderingRequest, now: Micros) {
        match ordering {
            OrderingRequest::Barrier(volume) => self.buffer.submit_barrier(WriteHandle(id.0), volume, now),
            OrderingRequest::Flush(volume) => self.buffer.submit_flush(WriteHandle(id.0), volume),
        }
    }

    /// Advances the buffer. Returns when it must be called again, and its actions.
    pub(super) fn settle(&mut self, now: Micros) -> (Option<Micros>, Vec<Action>) {
        let wake = self.buffer.settle(now);
        (wake, self.buffer.take_actions())
    }

    /// Records the request of a write-out. Returns the module's class for it.
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

    /// Returns the request of a write-out.
    pub(super) fn request_of(&self, id: WriteOutId) -> Option<RequestId> {
        self.write_outs.get(&id).copied()
    }

    /// Withdraws a write-out of which nothing was sent.
    pub(super) fn withdraw(&mut self, id: WriteOutId, now: Micros) {
        self.write_outs.remove(&id);
        self.buffer.write_out_ended(id, WriteOutResult::Cancelled, now);
    }

    /// Handles the deadline of a request that the buffer holds.
    pub(super) fn expire(&mut self, id: RequestId, now: Micros) -> Expired {
        self.buffer.expire(WriteHandle(id.0), now)
    }

    /// Reports the end of a request to the buffer, once it is answered and has no attempt in flight.
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
        let may_have_run = request.may_have_run;
        let result = match request.final_response {
            FinalResponse::Served => WriteOutResult::Confirmed { may_still_run: may_have_run },
            FinalResponse::NotExecuted(_) | FinalResponse::Failed | FinalResponse::None if may_have_run => {
                WriteOutResult::Unknown
            }
            FinalResponse::NotExecuted(wait) => WriteOutResult::NotExecuted { retry_after: wait },
            FinalResponse::Failed | FinalResponse::None => {
                WriteOutResult::NotExecuted { retry_after: Micros(0) }
            }
        };
        self.buffer.write_out_ended(id, result, now);
    }

    fn record_client_request_end(&mut self, handle: WriteHandle, request: &PendingRequest, now: Micros) {
        match request.handler {
            Handler::Module { passed_through: true } => {
                self.buffer.pass_through_ended(handle, request.may_have_run, now)
            }
            Handler::Buffer => self.buffer.abandon(handle, now),
            Handler::Module { passed_through: false } if request.merge_extent.is_some() => {
                self.buffer.abandon(handle, now)
            }
            Handler::Module { passed_through: false } => {}
        }
    }

    /// Overlays a node's response to a read with buffered writes.
    pub(super) fn merge(&mut self, id: RequestId, data: &mut Vec<u8>, now: Micros) {
        self.buffer.merge_read(WriteHandle(id.0), data, now);
    }

    /// Stops buffering and starts to write out all buffered writes.
    pub(super) fn drain(&mut self) {
        self.buffer.drain();
    }

    /// Returns whether no buffered write is left to be written out.
    pub(super) fn is_drained(&self) -> bool {
        self.buffer.is_drained()
    }
}
