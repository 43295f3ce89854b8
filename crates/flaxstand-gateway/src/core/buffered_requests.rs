//! Requests that pass through the write-back buffer. If write-back is configured, every write is submitted to
//! the buffer first. Requests that the buffer passes through, and its write-outs, are ordinary requests to
//! the module.

use super::Core;
use super::arrival_order::HeldRequest;
use super::clients::ReservedRequest;
use super::peer_fault::PeerFault;
use super::pending_request::{FinalResponse, Handler, PendingRequest};
use super::timers::Timer;
use super::write_back::{OrderingRequest, WriteBackCoordinator};
use super::write_back_status::status_json;
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::{Event, RequestId};
use flaxstand_proto::{Frame, Refusal, Scope, Submit};
use flaxstand_write_back::merge::MAX_EXTENT_BYTES;
use flaxstand_write_back::writeout::Urgency;
use flaxstand_write_back::{
    Action, BufferedRead, Expired, ExtentId, Recovered, Status, Write, WriteHandle, WriteOutId,
};
use tracing::{debug, info};

impl Core {
    /// Enables write-back according to the site's settings, starting from the state recovered from its log.
    /// Without this call, or without such settings, writes are passed to the module unbuffered.
    pub fn attach(&mut self, recovered: Recovered, now: Micros) {
        let Some(settings) = self.config.site.write_back.clone() else { return };
        let (site, calendar) = (&self.config.site, self.config.calendar);
        self.write_back = Some(WriteBackCoordinator::new(settings, site, calendar, recovered, now));
        self.evaluation.request();
    }

    /// Returns the buffer's metrics, if write-back is enabled.
    pub fn buffer_status(&self, now: Micros) -> Option<Status> {
        self.write_back.as_ref().map(|write_back| write_back.status(now))
    }

    /// Validates the byte range of a write.
    pub(super) fn check_write_range(s: &Submit<'_>) -> Result<(), PeerFault> {
        let Some(at) = s.at else { return Ok(()) };
        let end = at as usize + s.payload.len();
        let fault = |text: String| Err(PeerFault::protocol(text));
        match (s.write, s.extent) {
            (true, Some(_)) if end <= MAX_EXTENT_BYTES => Ok(()),
            (true, Some(_)) => fault(format!("a write up to byte {end}, extents have {MAX_EXTENT_BYTES}")),
            _ => fault("a byte to begin at, which only a write of an extent has".into()),
        }
    }

    /// Offers an accepted request to the buffer. Returns whether the buffer took it; if so, the module is not
    /// notified of it yet.
    pub(super) fn offer_to_buffer(&mut self, id: RequestId, now: Micros) -> bool {
        let Some(write_back) = &mut self.write_back else { return false };
        let Some(request) = self.requests.get_mut(id) else { return false };
        if !request.is_write {
            return self.read_from_buffer(id, now);
        }
        request.handler = Handler::Buffer;
        write_back.write(id, request, now);
        true
    }

    /// Returns whether the buffer answered the read.
    fn read_from_buffer(&mut self, id: RequestId, now: Micros) -> bool {
        let Some(write_back) = &mut self.write_back else { return false };
        let Some(request) = self.requests.get(id) else { return false };
        let Some(extent) = request.extent else { return false };
        let extent = ExtentId { volume: request.volume, extent };
        match write_back.read(id, extent) {
            BufferedRead::Miss => false,
            BufferedRead::Partial => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.merge_extent = Some(extent);
                }
                false
            }
            BufferedRead::Complete { shard, data } => {
                self.counts.served += 1;
                self.counts.served_from_buffer += 1;
                self.send_final_response(id, FinalResponse::Served, now, |id| Frame::Served {
                    id,
                    shard,
                    payload: &data,
                });
                true
            }
        }
    }

    /// Handles a client's barrier or flush.
    pub(super) fn submit_ordering_request(
        &mut self,
        conn: ConnId,
        client_id: u64,
        ordering: OrderingRequest,
        time_left: u32,
        now: Micros,
    ) -> Result<(), PeerFault> {
        let Some(ReservedRequest { id, expires_at }) =
            self.reserve_request(conn, client_id, None, 0, time_left, now)?
        else {
            return Ok(());
        };
        self.requests.insert(id, PendingRequest::ordering_request(conn, client_id, expires_at));
        self.timers.set(expires_at, Timer::Deadline(id));
        if !self.hold_until_ordered(id, HeldRequest::Ordering(ordering)) {
            self.submit_to_buffer(id, ordering, now);
        }
        Ok(())
    }

    /// Submits a client's barrier or flush to the buffer.
    pub(super) fn submit_to_buffer(&mut self, id: RequestId, ordering: OrderingRequest, now: Micros) {
        match &mut self.write_back {
            Some(write_back) => write_back.submit_ordering(id, ordering, now),
            None => {
                let (wait, refusal, scope) = (0, Refusal::Unbuffered, Scope::All);
                self.counts.rejected_at_bound += 1;
                let final_response = FinalResponse::NotExecuted(Micros(0));
                self.send_final_response(id, final_response, now, |id| Frame::Refused {
                    id,
                    wait,
                    refusal,
                    scope,
                });
            }
        }
    }

    /// Advances the buffer and performs its actions. Returns when it must be called again.
    pub(super) fn settle_buffer(&mut self, now: Micros) -> Option<Micros> {
        loop {
            let (wake, actions) = self.write_back.as_mut()?.settle(now);
            if actions.is_empty() {
                return wake;
            }
            actions.into_iter().for_each(|action| self.perform_buffer_action(action, now));
        }
    }

    fn perform_buffer_action(&mut self, action: Action, now: Micros) {
        let request = |handle: WriteHandle| RequestId(handle.0);
        match action {
            Action::Store(batch) => self.connections.command(Command::StoreWriteBack(batch)),
            Action::Buffered(handle) => self.acknowledge_buffered(request(handle), now),
            Action::PassThrough(handle) => self.forward_to_module(request(handle)),
            Action::Rejected { handle, retry_after } => self.reject_write(request(handle), retry_after, now),
            Action::BarrierSet(handle) => {
                self.send_final_response(request(handle), FinalResponse::Served, now, |id| Frame::Barred {
                    id,
                });
            }
            Action::Flushed(handle) => {
                self.send_final_response(request(handle), FinalResponse::Served, now, |id| Frame::Flushed {
                    id,
                });
            }
            Action::SendWriteOut { id, write, urgency, not_after } => {
                self.start_write_out(id, write, urgency, not_after, now)
            }
            Action::CancelWriteOut(id) => self.withdraw_write_out(id, now),
        }
    }

    fn acknowledge_buffered(&mut self, id: RequestId, now: Micros) {
        debug!(request = id.0, "write buffered");
        self.counts.buffered += 1;
        self.send_final_response(id, FinalResponse::Served, now, |id| Frame::Buffered { id });
    }

    fn reject_write(&mut self, id: RequestId, wait: Micros, now: Micros) {
        let wait = wait.saturating_u32();
        let (refusal, scope) = (Refusal::Buffer, Scope::Request);
        self.counts.rejected_at_bound += 1;
        self.send_final_response(id, FinalResponse::NotExecuted(Micros(0)), now, |id| Frame::Refused {
            id,
            wait,
            refusal,
            scope,
        });
    }

    /// Passes a client's request that is not to be buffered to the module.
    fn forward_to_module(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.handler = Handler::Module { passed_through: true };
        }
        if let Some(request) = self.requests.get(id) {
            let arrival = request.arrival(id, self.module_class(request));
            self.events.push_back(Event::RequestArrived(arrival));
        }
    }

    /// Creates the request for a write-out.
    fn start_write_out(
        &mut self,
        id: WriteOutId,
        write: Write,
        urgency: Urgency,
        until: Option<Micros>,
        now: Micros,
    ) {
        let Some(write_back) = &mut self.write_back else { return };
        let request_id = self.requests.next_id();
        let class = write_back.start_write_out(id, request_id, write.class, urgency);
        let deadline = Micros::from_ms(self.module_classes[class].deadline);
        let expires_at = until.map_or(now.after(deadline), |until| now.after(deadline).min(until));
        let operation = write.operation;
        debug!(request = request_id.0, attempt = id.0, level = ?urgency, operation, "write-out started");
        let request = PendingRequest::write_out(id, write, expires_at);
        self.events.push_back(Event::RequestArrived(request.arrival(request_id, class)));
        self.requests.insert(request_id, request);
        self.timers.set(expires_at, Timer::Deadline(request_id));
    }

    /// Withdraws a write-out that the module queues at too low a priority, if no attempt has been started.
    fn withdraw_write_out(&mut self, id: WriteOutId, now: Micros) {
        let Some(write_back) = &mut self.write_back else { return };
        let Some(request) = write_back.request_of(id) else { return };
        if self.requests.get(request).is_some_and(|r| r.attempts_started == 0) {
            write_back.withdraw(id, now);
            if let Some(removed) = self.requests.remove(request) {
                self.timers.cancel(removed.expires_at, Timer::Deadline(request));
            }
            self.events.push_back(Event::ClientDisconnected(request));
        }
    }

    /// Handles the deadline of a request. Returns whether the buffer holds the request.
    pub(super) fn expire_in_buffer(&mut self, id: RequestId, now: Micros) -> bool {
        let is_in_buffer =
            self.requests.get(id).is_some_and(|r| r.handler == Handler::Buffer && r.owner.is_some());
        let Some(write_back) = self.write_back.as_mut().filter(|_| is_in_buffer) else { return false };
        match write_back.expire(id, now) {
            Expired::Buffered => self.acknowledge_buffered(id, now),
            // Passed through, but not yet reported to the module: it has not been executed.
            Expired::Reject | Expired::NotPending => {
                let wait = Micros::from_ms(self.config.site.settings.max_retry_after);
                self.reject_write(id, wait, now);
            }
            Expired::Fail => self.fail_request(id, now),
        }
        true
    }

    /// Returns a node's response to a read, overlaid with buffered writes.
    pub(super) fn merge_buffered(&mut self, id: RequestId, mut data: Vec<u8>, now: Micros) -> Vec<u8> {
        if let Some(write_back) = &mut self.write_back {
            write_back.merge(id, &mut data, now);
        }
        data
    }

    /// Sends the buffer's metrics to a client.
    pub(super) fn send_buffer_status(&mut self, conn: ConnId, id: u64, now: Micros) {
        let json = self.buffer_status(now).map_or_else(|| "{}".to_owned(), |status| status_json(&status));
        self.connections.send_frame(conn, &Frame::Status { id, json: json.as_bytes() });
        self.check_client_output(conn, now);
    }

    /// Stops buffering and starts to write out all buffered writes.
    pub(super) fn drain_buffer(&mut self, now: Micros) {
        if let Some(write_back) = &mut self.write_back {
            write_back.drain();
            let s = write_back.status(now);
            info!(
                writes = s.writes,
                bytes = s.bytes,
                "stopping: writing out buffered writes; any left at exit stay in the log"
            );
        }
    }

    /// Returns whether no buffered write is left to be written out.
    pub(super) fn buffer_drained(&self) -> bool {
        self.write_back.as_ref().is_none_or(WriteBackCoordinator::is_drained)
    }
}
