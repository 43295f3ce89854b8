//! Write-outs: sends buffered writes to their nodes, determines their urgency and handles their results.

use super::WriteBackBuffer;
use crate::config::{BufferingMode, Config};
use crate::order::{MergedWrite, NextStep, Order, Unblocked};
use crate::record::{ExtentId, Record, Seq};
use crate::request::{Action, WriteOutId, WriteOutResult};
use crate::writeout::{Candidate, ShardOutcome, Urgency};
use flaxstand_proto::Micros;
use tracing::warn;

/// Delay before a retry that the budget rejected is checked again.
const BUDGET_RECHECK_INTERVAL: Micros = Micros(100_000);

/// Process that sent an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorAttempt {
    /// This process: sending the write again is a retry.
    ThisProcess,
    /// Possibly an earlier process.
    EarlierProcess,
}

#[derive(Debug)]
pub(super) struct InFlightWriteOut {
    merged: MergedWrite,
    urgency: Urgency,
    /// Earlier attempt that may have been executed.
    prior: Option<PriorAttempt>,
    /// Not sent until the log has recorded its start.
    awaits_log: bool,
}

/// Inputs that determine the urgency of a write and whether it is due.
struct UrgencyRule<'a> {
    config: &'a Config,
    order: &'a Order,
    is_awaited: bool,
    now: Micros,
}

impl UrgencyRule<'_> {
    /// Returns the urgency of a write, from the larger of used space and age, as fractions of their limits.
    fn urgency(&self, seq: Seq) -> Urgency {
        let limits = &self.config.limits;
        let fill = self.order.bytes() as f64 / limits.max_bytes.max(1) as f64;
        let age = self.order.buffered_write(seq).map_or(Micros(0), |write| self.now.since(write.accepted));
        let used_fraction = fill.max(age.0 as f64 / limits.target_age.0.max(1) as f64);
        Urgency::of(used_fraction, self.is_awaited)
    }

    /// Returns whether a write is due. It is delayed by the merge delay, so that a later write can replace
    /// it, unless a request waits for buffered writes.
    fn is_due(&self, seq: Seq) -> bool {
        let is_old = |accepted| self.now.since(accepted) >= self.config.limits.merge_delay;
        self.is_awaited || self.order.buffered_write(seq).is_none_or(|write| is_old(write.accepted))
    }
}

impl WriteBackBuffer {
    fn urgency_rule(&self, now: Micros) -> UrgencyRule<'_> {
        let is_awaited = self.is_awaited();
        UrgencyRule { config: &self.config, order: &self.order, is_awaited, now }
    }

    pub(super) fn start_write_outs(&mut self, now: Micros) {
        // Evaluated once, so that all write-outs started now use the same value.
        let is_awaited = self.is_awaited();
        loop {
            let rule = UrgencyRule { config: &self.config, order: &self.order, is_awaited, now };
            let next = self.scheduler.pick(now, |seq| rule.urgency(seq), |seq| rule.is_due(seq));
            let Some(candidate) = next else { return };
            let is_next = self.order.next_step(candidate.extent_id, now) == NextStep::WriteOut(candidate.seq);
            if !is_next || !self.start(candidate, now) {
                self.scheduler.ended(candidate.shard, ShardOutcome::Cancelled, now);
            }
        }
    }

    /// Starts a write-out. Returns whether it could be started.
    fn start(&mut self, candidate: Candidate, now: Micros) -> bool {
        let Candidate { seq, extent_id, urgency, .. } = candidate;
        let Some(buffered) = self.order.buffered_write(seq) else { return false };
        let (class, started) = (buffered.write.class, buffered.started);
        // After the idempotency window nodes no longer recognise the key, and a retry could be executed
        // twice.
        if let Some(started) = started
            && self.config.key_window_left(class, started, now).is_none()
        {
            self.park(seq, now);
            return false;
        }
        let prior = self.prior_attempts.get(&seq).copied();
        let is_retry = prior == Some(PriorAttempt::ThisProcess);
        if !self.retry_limiter.admit(is_retry, now) {
            self.scheduler.cool_down(extent_id, now.after(BUDGET_RECHECK_INTERVAL));
            return false;
        }
        let is_keyed = matches!(self.buffering(class), BufferingMode::IdempotencyKey(_));
        let Some(merged) = self.order.take_merged(extent_id, is_keyed) else { return false };
        self.prior_attempts.remove(&seq);
        self.counts.write_out_retries += u64::from(is_retry);
        self.last_write_out += 1;
        let id = WriteOutId(self.last_write_out);
        let awaits_log = self.record_start(merged.last(), now);
        self.in_flight.insert(id, InFlightWriteOut { merged, urgency, prior, awaits_log });
        if !awaits_log {
            self.send(id, now);
        }
        true
    }

    /// Records the start of a write-out whose last write is `last`, unless it is already recorded. Returns
    /// whether the write-out must wait for the log.
    ///
    /// The record must be durable before the first attempt is sent: after a restart the next process must
    /// know which merged write may be in flight and when its idempotency window began. It first sends exactly
    /// the same write again, so that nodes drop the duplicate.
    fn record_start(&mut self, last: Seq, now: Micros) -> bool {
        let at = self.config.wall_clock(now);
        let Some(write) = self.order.buffered_write_mut(last).filter(|write| write.started.is_none()) else {
            return false;
        };
        write.started = Some(at);
        self.log.append(&Record::Started { seq: last, at }, now);
        true
    }

    /// Sends the write-out whose start record, for the write `last`, became durable.
    pub(super) fn send_after_start_recorded(&mut self, last: Seq, now: Micros) {
        let recorded = self.in_flight.iter().find(|(_, out)| out.awaits_log && out.merged.last() == last);
        if let Some(id) = recorded.map(|(id, _)| *id) {
            self.send(id, now);
        }
    }

    fn send(&mut self, id: WriteOutId, now: Micros) {
        let Some(out) = self.in_flight.get_mut(&id) else { return };
        out.awaits_log = false;
        let (first, urgency, write) = (out.merged.first, out.urgency, out.merged.write.clone());
        let not_after = self.key_expires_at(first, write.class, now);
        self.actions.push(Action::SendWriteOut { id, write, urgency, not_after });
    }

    /// Returns the end of the idempotency window of a started write; `None` if its class has no window.
    fn key_expires_at(&self, seq: Seq, class: u16, now: Micros) -> Option<Micros> {
        if !matches!(self.buffering(class), BufferingMode::IdempotencyKey(_)) {
            return None;
        }
        let started = self.order.buffered_write(seq)?.started?;
        Some(now.after(self.config.key_window_left(class, started, now).unwrap_or_default()))
    }

    /// Parks a write that may have been executed and whose idempotency window is over, for an operator to
    /// decide.
    fn park(&mut self, seq: Seq, now: Micros) {
        warn!(
            seq = seq.0,
            "buffered write may have been executed and can't be retried safely: its idempotency window is over \
             or unknown; parked for an operator's decision"
        );
        self.log.append(&Record::Parked { seq }, now);
        self.order.park(seq);
        self.prior_attempts.remove(&seq);
    }

    /// Reports the result of a write-out.
    pub fn write_out_ended(&mut self, id: WriteOutId, result: WriteOutResult, now: Micros) {
        let Some(out) = self.in_flight.remove(&id) else { return };
        let shard = out.merged.write.shard;
        match result {
            WriteOutResult::Confirmed { may_still_run } => {
                self.scheduler.ended(shard, ShardOutcome::Confirmed, now);
                self.confirm(&out, may_still_run, now);
            }
            WriteOutResult::NotExecuted { retry_after } => {
                self.scheduler.ended(shard, ShardOutcome::Failed { retry_after }, now);
                self.return_not_executed(out, now);
            }
            WriteOutResult::Cancelled => {
                self.scheduler.ended(shard, ShardOutcome::Cancelled, now);
                self.return_not_executed(out, now);
            }
            WriteOutResult::Unknown => {
                self.scheduler.ended(shard, ShardOutcome::Failed { retry_after: Micros(0) }, now);
                self.return_maybe_executed(out, now);
            }
        }
    }

    fn confirm(&mut self, out: &InFlightWriteOut, may_still_run: bool, now: Micros) {
        self.counts.write_outs += 1;
        let extent_id = out.merged.extent_id();
        let has_cooldown = may_still_run || out.prior.is_some();
        let not_before = if has_cooldown { now.after(self.config.key_cooldown) } else { Micros(0) };
        // No barrier lies within a merged write, so only its last write can unblock other items.
        let mut unblocked = Unblocked::default();
        for seq in &out.merged.seqs {
            self.record_completion(*seq, extent_id, now);
            unblocked = self.order.finish(*seq, not_before);
        }
        self.advance_unblocked(unblocked, now);
    }

    fn record_completion(&mut self, seq: Seq, extent_id: ExtentId, now: Micros) {
        self.log.append(&Record::Done { seq }, now);
        self.log.release(seq);
        self.relocating.remove(&seq);
        self.unrecorded.insert(seq, extent_id);
        self.counts.written_out += 1;
    }

    /// Requeues a write-out whose last attempt was not executed. An earlier attempt may have been.
    fn return_not_executed(&mut self, out: InFlightWriteOut, now: Micros) {
        let extent_id = out.merged.extent_id();
        if let Some(prior) = out.prior {
            self.prior_attempts.insert(out.merged.first, prior);
        }
        self.order.return_unconfirmed(out.merged, out.prior.is_some(), now);
        self.advance_extent(extent_id, now);
    }

    /// Requeues a write-out with an unknown result.
    fn return_maybe_executed(&mut self, out: InFlightWriteOut, now: Micros) {
        let extent_id = out.merged.extent_id();
        self.prior_attempts.insert(out.merged.first, PriorAttempt::ThisProcess);
        self.order.return_unconfirmed(out.merged, true, now.after(self.config.key_cooldown));
        self.advance_extent(extent_id, now);
    }

    /// Returns the earliest end of a merge delay.
    pub(super) fn next_merge_deadline(&self, now: Micros) -> Option<Micros> {
        let due_at = |seq| {
            let write = self.order.buffered_write(seq)?;
            Some(write.accepted.after(self.config.limits.merge_delay))
        };
        self.scheduler.first_of_each_shard().filter_map(due_at).filter(|at| *at > now).min()
    }

    /// Cancels write-outs that wait in the decision module at an urgency that is now too low. They are sent
    /// again immediately at the higher urgency.
    pub(super) fn cancel_for_higher_urgency(&mut self, now: Micros) {
        let rule = self.urgency_rule(now);
        let raised: Vec<(WriteOutId, Urgency)> = self
            .in_flight
            .iter()
            .filter(|(_, out)| !out.awaits_log)
            .map(|(id, out)| (*id, out.urgency, rule.urgency(out.merged.first)))
            .filter(|(_, urgency, urgency_now)| urgency_now > urgency)
            .map(|(id, _, urgency_now)| (id, urgency_now))
            .collect();
        for (id, urgency) in raised {
            if let Some(out) = self.in_flight.get_mut(&id) {
                out.urgency = urgency;
                self.actions.push(Action::CancelWriteOut(id));
            }
        }
    }
}
