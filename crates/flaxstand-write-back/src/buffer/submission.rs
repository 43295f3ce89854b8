//! Admission of new requests: each is buffered, passed through or rejected.

use super::WriteBackBuffer;
use super::client_requests::ClientRequest;
use crate::config::BufferingMode;
use crate::order::{BufferedWrite, PassThrough, Stage};
use crate::pressure::{Admission, AdmissionInputs, Space, admit};
use crate::record::{ExtentId, Record, Seq, Write};
use crate::request::{Action, WriteHandle, WriteRequest};
use flaxstand_proto::Micros;

impl WriteBackBuffer {
    /// Returns the buffering mode of a class.
    pub fn buffering(&self, class: u16) -> BufferingMode {
        self.config.mode(class)
    }

    /// Submits a write that names its shard and extent. It is buffered, passed through or rejected.
    pub fn submit_write(&mut self, request: WriteRequest, now: Micros) {
        let WriteRequest { handle, write } = request;
        if self.buffering(write.class) == BufferingMode::Never || self.is_draining {
            return self.submit_pass_through(handle, write.extent_id.volume, Some(write.extent_id), now);
        }
        match self.admission(&write) {
            Admission::Buffer { ack_delay } => self.accept(handle, write, now.after(ack_delay), now),
            Admission::PassThrough => {
                self.counts.not_buffered += 1;
                self.submit_pass_through(handle, write.extent_id.volume, Some(write.extent_id), now);
            }
            Admission::Reject => {
                self.counts.not_buffered += 1;
                self.reject(handle);
            }
        }
    }

    fn admission(&self, write: &Write) -> Admission {
        let limits = &self.config.limits;
        let space = Space {
            used: self.order.bytes(),
            limit: limits.max_bytes,
            volume_used: self.order.volume_bytes(write.extent_id.volume),
            volume_limit: limits.max_volume_bytes,
        };
        admit(AdmissionInputs {
            space,
            cost: write.cost(),
            is_blocked: !self.order.is_settled(write.extent_id),
            is_log_writable: !self.log.is_failing() && self.log.has_capacity(),
            max_ack_delay: limits.max_ack_delay,
        })
    }

    fn reject(&mut self, handle: WriteHandle) {
        self.actions.push(Action::Rejected { handle, retry_after: self.config.retry_after });
    }

    fn accept(&mut self, handle: WriteHandle, write: Write, ack_not_before: Micros, now: Micros) {
        let seq = self.next_seq();
        let accepted_wall = self.config.wall_clock(now);
        self.log.append_write(seq, accepted_wall, &write, now);
        let (started, stage) = (None, Stage::Logging);
        self.order.add_write(seq, BufferedWrite { write, accepted: now, accepted_wall, started, stage });
        self.acknowledgements.add(seq, handle, ack_not_before);
        self.requests.insert(handle, ClientRequest::Write(seq));
    }

    /// Submits a request that is not buffered but is subject to the barriers of its volume. `extent_id`: the
    /// extent that it writes, if any.
    pub fn submit_pass_through(
        &mut self,
        handle: WriteHandle,
        volume: u64,
        extent_id: Option<ExtentId>,
        now: Micros,
    ) {
        if !self.may_wait() {
            return self.reject(handle);
        }
        let seq = self.next_seq();
        self.requests.insert(handle, ClientRequest::PassThrough(seq));
        let request = PassThrough { handle, volume, extent_id, is_released: false };
        if self.order.add_pass_through(seq, request, now) {
            self.release_pass_through(seq);
        } else if let Some(extent_id) = extent_id {
            self.advance_extent(extent_id, now);
        }
    }

    /// Returns whether another request may wait. Bounds the number queued behind barriers and extents.
    fn may_wait(&self) -> bool {
        self.order.waiting() < self.config.limits.max_waiting
    }

    /// Submits a barrier on a volume.
    pub fn submit_barrier(&mut self, handle: WriteHandle, volume: u64, now: Micros) {
        if !self.may_wait() {
            return self.reject(handle);
        }
        let seq = self.next_seq();
        if self.order.add_barrier(seq, volume) {
            self.log.append(&Record::Barrier { seq, volume }, now);
            self.acknowledgements.add(seq, handle, now);
            self.requests.insert(handle, ClientRequest::Barrier(seq));
        } else {
            self.actions.push(Action::BarrierSet(handle));
        }
    }

    /// Submits a flush of a volume, or of all volumes if `None`.
    pub fn submit_flush(&mut self, handle: WriteHandle, volume: Option<u64>) {
        let up_to = Seq(self.next_seq - 1);
        self.requests.insert(handle, ClientRequest::Flush);
        self.flushes.add(handle, volume, up_to);
    }
}
