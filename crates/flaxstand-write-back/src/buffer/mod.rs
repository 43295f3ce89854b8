//! The buffer: calls in, [`Action`]s out. The core submits every write (and every read that names an extent),
//! reports the results of write-outs and batches, and executes the returned actions.
//!
//! `submission` admits new requests, `client_requests` ends pending ones, `acknowledgements` delays
//! acknowledgements, `flushes` completes flushes, `write_outs` sends buffered writes to their nodes,
//! `relocation` compacts the log, `replay` restores the state after a restart.

mod acknowledgements;
mod client_requests;
mod flushes;
mod relocation;
mod replay;
mod submission;
mod write_outs;

use crate::config::Config;
use crate::log::{Log, RecordKind};
use crate::order::{NextStep, Order, Stage, Unblocked};
use crate::record::{ExtentId, Record, Seq};
use crate::recover::Recovered;
use crate::request::{Action, WriteHandle, WriteOutId};
use crate::retry_budget::RetryLimiter;
use crate::status::Status;
use crate::writeout::WriteOutScheduler;
use acknowledgements::Acknowledgements;
use client_requests::ClientRequest;
use flaxstand_proto::Micros;
use flushes::Flushes;
use std::collections::{BTreeMap, BTreeSet};
use tracing::warn;
use write_outs::{InFlightWriteOut, PriorAttempt};

/// The write-back buffer of one initiator.
#[derive(Debug)]
pub struct WriteBackBuffer {
    config: Config,
    log: Log,
    order: Order,
    scheduler: WriteOutScheduler,
    retry_limiter: RetryLimiter,
    in_flight: BTreeMap<WriteOutId, InFlightWriteOut>,
    /// Writes that may have been executed and wait for a retry, by the first of each merged write.
    prior_attempts: BTreeMap<Seq, PriorAttempt>,
    requests: BTreeMap<WriteHandle, ClientRequest>,
    flushes: Flushes,
    acknowledgements: Acknowledgements,
    /// Confirmed writes whose completion is not yet durable in the log.
    unrecorded: BTreeMap<Seq, ExtentId>,
    /// Items whose records are being copied to the end of the log.
    relocating: BTreeSet<Seq>,
    next_seq: u64,
    last_write_out: u64,
    is_draining: bool,
    actions: Vec<Action>,
    /// Counts since the start; [`WriteBackBuffer::status`] adds the current state.
    counts: Status,
}

impl WriteBackBuffer {
    /// Creates a buffer from the state recovered from the log.
    pub fn new(config: Config, recovered: Recovered, now: Micros) -> Self {
        // Attempts of an earlier process may still run, even if the log has no record of them.
        let starts_at = now.after(config.key_cooldown);
        let mut buffer = WriteBackBuffer {
            log: recovered.log,
            order: Order::new(starts_at),
            scheduler: WriteOutScheduler::default(),
            retry_limiter: RetryLimiter::new(config.retry_budget),
            in_flight: BTreeMap::new(),
            prior_attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            flushes: Flushes::default(),
            acknowledgements: Acknowledgements::default(),
            unrecorded: BTreeMap::new(),
            relocating: BTreeSet::new(),
            next_seq: recovered.last.0 + 1,
            last_write_out: 0,
            is_draining: false,
            actions: Vec::new(),
            counts: Status::default(),
            config,
        };
        buffer.replay(recovered.live, recovered.torn_bytes, now);
        buffer
    }

    fn next_seq(&mut self) -> Seq {
        let seq = Seq(self.next_seq);
        self.next_seq += 1;
        seq
    }

    /// Starts draining: buffered writes are written out, and new writes are passed through.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether only parked writes are left and all completions are durable in the log.
    pub fn is_drained(&self) -> bool {
        self.order.buffered() == self.order.parked()
            && self.unrecorded.is_empty()
            && self.in_flight.is_empty()
    }

    /// Reports the result of the last [`Action::Store`].
    pub fn batch_stored(&mut self, is_stored: bool, now: Micros) {
        if !is_stored {
            warn!("batch of the write-back log failed; its records are retried in a new segment");
        }
        for record in self.log.batch_stored(is_stored, now) {
            match record.kind {
                RecordKind::Accepted => self.became_durable(record.seq, now),
                RecordKind::Started => self.send_after_start_recorded(record.seq, now),
                RecordKind::Done => self.completion_recorded(record.seq, now),
                RecordKind::Parked => {}
            }
        }
    }

    /// Handles the record of a write or barrier that became durable.
    fn became_durable(&mut self, seq: Seq, now: Micros) {
        if self.relocating.remove(&seq) {
            return;
        }
        if let Some(write) = self.order.buffered_write_mut(seq) {
            write.stage = Stage::Ready;
            let extent_id = write.write.extent_id;
            self.acknowledgements.became_durable(seq);
            self.advance_extent(extent_id, now);
        } else {
            // The item is a barrier, possibly one that has been passed meanwhile.
            self.answer_barrier(seq);
        }
    }

    fn answer_barrier(&mut self, seq: Seq) {
        if let Some(handle) = self.acknowledgements.remove(seq) {
            self.requests.remove(&handle);
            self.actions.push(Action::BarrierSet(handle));
        }
    }

    fn completion_recorded(&mut self, seq: Seq, now: Micros) {
        if let Some(extent_id) = self.unrecorded.remove(&seq) {
            self.order.completion_recorded(seq, extent_id);
            self.advance_extent(extent_id, now);
        }
    }

    /// Takes the next step for the first item of an extent. Removes an empty queue after its cooldown.
    fn advance_extent(&mut self, extent_id: ExtentId, now: Micros) {
        match self.order.next_step(extent_id, now) {
            NextStep::Blocked => {
                if self.order.waits_for_log(extent_id) {
                    self.log.expedite();
                }
                if let Some(until) = self.order.drop_if_empty(extent_id, now) {
                    self.scheduler.cool_down(extent_id, until);
                }
            }
            NextStep::WaitUntil(until) => self.scheduler.cool_down(extent_id, until),
            NextStep::WriteOut(seq) => {
                if let Some(buffered) = self.order.buffered_write(seq) {
                    self.scheduler.enqueue(buffered.write.shard, seq, extent_id);
                }
            }
            NextStep::PassThrough(seq) => self.release_pass_through(seq),
        }
    }

    fn release_pass_through(&mut self, seq: Seq) {
        self.actions.extend(self.order.release_pass_through(seq).map(Action::PassThrough));
    }

    fn advance_unblocked(&mut self, unblocked: Unblocked, now: Micros) {
        for seq in unblocked.barriers {
            self.log.append(&Record::Done { seq }, now);
            self.log.release(seq);
            // Everything before the barrier is complete, so its own durability no longer matters.
            self.answer_barrier(seq);
        }
        for seq in unblocked.pass_throughs {
            self.release_pass_through(seq);
        }
        for extent_id in unblocked.extents {
            self.advance_extent(extent_id, now);
        }
    }

    /// Processes pending work. Must be called after all events of the same time were reported. Returns the
    /// latest time of the next call.
    pub fn settle(&mut self, now: Micros) -> Option<Micros> {
        for extent_id in self.scheduler.take_cooled_down(now) {
            self.advance_extent(extent_id, now);
        }
        self.send_due_acknowledgements(now);
        self.complete_flushes();
        self.start_write_outs(now);
        self.cancel_for_higher_urgency(now);
        self.relocate(now);
        if let Some(batch) = self.log.next_batch(self.record_delay(), now) {
            self.actions.push(Action::Store(batch));
        }
        self.next_wake(now)
    }

    fn next_wake(&self, now: Micros) -> Option<Micros> {
        // The urgency of a write-out rises with age even without events.
        let urgency_step = Micros(self.config.limits.target_age.0 / 8 + 1);
        let urgency = (!self.in_flight.is_empty()).then(|| now.after(urgency_step));
        let wakes = [
            self.next_merge_deadline(now),
            self.acknowledgements.next_due(),
            self.log.next_wake(self.record_delay()),
            urgency,
            self.scheduler.next_wake(now),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns the maximum time for which completion records wait for other records.
    fn record_delay(&self) -> Micros {
        if self.is_draining { Micros(0) } else { self.config.limits.record_delay }
    }

    /// Returns whether a flush, a request behind a barrier, or the shutdown waits for buffered writes.
    fn is_awaited(&self) -> bool {
        let flush_waits = !self.config.limits.flush_when_durable && !self.flushes.is_empty();
        self.is_draining || self.order.waiting() > 0 || flush_waits
    }

    /// Takes the pending actions, in order of execution.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the current state and counts for operators.
    pub fn status(&self, now: Micros) -> Status {
        Status {
            writes: self.order.buffered(),
            bytes: self.order.bytes(),
            max_bytes: self.config.limits.max_bytes,
            log_bytes: self.log.bytes(),
            oldest: self.order.oldest().map_or(Micros(0), |accepted| now.since(accepted)),
            parked: self.order.parked(),
            waiting: self.order.waiting(),
            log_failing: self.log.is_failing(),
            write_outs_in_flight: self.in_flight.len(),
            log: self.log.counts(),
            ..self.counts
        }
    }
}
