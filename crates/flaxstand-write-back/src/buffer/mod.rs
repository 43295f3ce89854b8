//! The buffer: calls in, [`Action`]s out. The core offers it every write (and every read that names an extent),
//! reports how write-outs and batches ended, and carries out its actions.
//!
//! `submission` decides what becomes of a new request, `client_requests` ends those that clients wait for,
//! `acknowledgements` delays answers, `flushes` completes flushes, `write_outs` sends buffered writes to their
//! nodes, `relocation` keeps the log short, `replay` goes on after a restart.

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
    /// Writes that may have been executed and wait to be sent again, by the first of each merged write.
    prior_attempts: BTreeMap<Seq, PriorAttempt>,
    requests: BTreeMap<WriteHandle, ClientRequest>,
    flushes: Flushes,
    acknowledgements: Acknowledgements,
    /// Confirmed writes whose completion is not durable in the log.
    unrecorded: BTreeMap<Seq, ExtentId>,
    /// Records that are being copied to the log's end.
    relocating: BTreeSet<Seq>,
    next_seq: u64,
    last_write_out: u64,
    is_draining: bool,
    actions: Vec<Action>,
    /// Counts since the start; [`WriteBackBuffer::status`] fills in the state of now.
    counts: Status,
}

impl WriteBackBuffer {
    /// A buffer that goes on with what was recovered from the log.
    pub fn new(config: Config, recovered: Recovered, now: Micros) -> Self {
        // Guards against an attempt of an earlier process that still runs, also where the log has nothing of it.
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
        buffer.replay(recovered.live, recovered.torn, now);
        buffer
    }

    fn next_seq(&mut self) -> Seq {
        let seq = Seq(self.next_seq);
        self.next_seq += 1;
        seq
    }

    /// Everything is to be written out, and nothing is buffered any more.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Nothing is left but what waits for an operator, and the log knows.
    pub fn is_drained(&self) -> bool {
        self.order.buffered() == self.order.parked()
            && self.unrecorded.is_empty()
            && self.in_flight.is_empty()
    }

    /// The batch of the last [`Action::Store`] was stored, or failed.
    pub fn batch_stored(&mut self, is_stored: bool, now: Micros) {
        if !is_stored {
            warn!("the log could not be written: a new segment is begun");
        }
        for record in self.log.batch_stored(is_stored, now) {
            match record.kind {
                RecordKind::Placed => self.became_durable(record.seq, now),
                RecordKind::Started => self.send_marked(record.seq, now),
                RecordKind::Done => self.completion_recorded(record.seq, now),
                RecordKind::Parked => {}
            }
        }
    }

    /// The record of a write or barrier is in the log.
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
            // A barrier, or one that has been passed by now.
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

    /// Lets the first item of an extent do what it may. An empty queue is dropped once its cooldown is over.
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
            // All before it is over: whether it is durable matters to nobody now.
            self.answer_barrier(seq);
        }
        for seq in unblocked.pass_throughs {
            self.release_pass_through(seq);
        }
        for extent_id in unblocked.extents {
            self.advance_extent(extent_id, now);
        }
    }

    /// Call after everything of this moment was reported. Returns when to call again at the latest.
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
        // Urgency rises with age alone.
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

    /// How long records of completed writes wait for others.
    fn record_delay(&self) -> Micros {
        if self.is_draining { Micros(0) } else { self.config.limits.record_delay }
    }

    /// Somebody waits for what is buffered: a flush, a request behind a barrier, or the end of the process.
    fn is_waited_for(&self) -> bool {
        let flush_waits = !self.config.limits.flush_when_durable && !self.flushes.is_empty();
        self.is_draining || self.order.waiting() > 0 || flush_waits
    }

    /// What the core has to do, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Figures for operators.
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
