//! Write-outs: which buffered writes are sent to their nodes, how urgently, and what follows from how they ended.

use super::WriteBackBuffer;
use crate::config::{BufferingMode, Config};
use crate::order::{MergedWrite, NextStep, Order, Unblocked};
use crate::record::{ExtentId, Record, Seq};
use crate::request::{Action, WriteOutId, WriteOutResult};
use crate::writeout::{Candidate, ShardOutcome, Urgency};
use flaxstand_proto::Micros;
use tracing::warn;

/// How long a retry waits that the budget does not admit.
const BUDGET_RECHECK_INTERVAL: Micros = Micros(100_000);

/// Which process sent an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorAttempt {
    /// This one: to send it again is a retry.
    ThisProcess,
    /// An earlier one, perhaps.
    EarlierProcess,
}

#[derive(Debug)]
pub(super) struct InFlightWriteOut {
    merged: MergedWrite,
    urgency: Urgency,
    /// An earlier attempt of it may have been executed.
    prior: Option<PriorAttempt>,
    /// It is sent once the log has recorded that it starts.
    awaits_log: bool,
}

/// How urgent a write is, and whether it is due.
struct UrgencyRule<'a> {
    config: &'a Config,
    order: &'a Order,
    is_waited_for: bool,
    now: Micros,
}

impl UrgencyRule<'_> {
    /// The larger of the part of space that is used and of the target age that has passed decides.
    fn urgency(&self, seq: Seq) -> Urgency {
        let limits = &self.config.limits;
        let fill = self.order.bytes() as f64 / limits.max_bytes.max(1) as f64;
        let age = self.order.buffered_write(seq).map_or(Micros(0), |write| self.now.since(write.accepted));
        let part = fill.max(age.0 as f64 / limits.target_age.0.max(1) as f64);
        Urgency::of(part, self.is_waited_for)
    }

    /// A write waits for one that overwrites it, unless somebody waits.
    fn is_due(&self, seq: Seq) -> bool {
        let is_old = |accepted| self.now.since(accepted) >= self.config.limits.merge_delay;
        self.is_waited_for || self.order.buffered_write(seq).is_none_or(|write| is_old(write.accepted))
    }
}

impl WriteBackBuffer {
    fn urgency_rule(&self, now: Micros) -> UrgencyRule<'_> {
        let is_waited_for = self.is_waited_for();
        UrgencyRule { config: &self.config, order: &self.order, is_waited_for, now }
    }

    pub(super) fn start_write_outs(&mut self, now: Micros) {
        // Once for all that is started now.
        let is_waited_for = self.is_waited_for();
        loop {
            let rule = UrgencyRule { config: &self.config, order: &self.order, is_waited_for, now };
            let next = self.scheduler.pick(now, |seq| rule.urgency(seq), |seq| rule.is_due(seq));
            let Some(candidate) = next else { return };
            let is_next = self.order.next_step(candidate.extent_id, now) == NextStep::WriteOut(candidate.seq);
            if !is_next || !self.start(candidate, now) {
                self.scheduler.ended(candidate.shard, ShardOutcome::Cancelled, now);
            }
        }
    }

    /// Starts a write-out. Returns false if it can't be sent now.
    fn start(&mut self, candidate: Candidate, now: Micros) -> bool {
        let Candidate { seq, extent_id, urgency, .. } = candidate;
        let Some(buffered) = self.order.buffered_write(seq) else { return false };
        let (class, started) = (buffered.write.class, buffered.started);
        // Guards against a repeat after the nodes have forgotten the idempotency key.
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

    /// Records that a write-out up to this write starts, unless that is recorded. Returns whether it must wait
    /// for the log.
    ///
    /// It must be durable before the first attempt is sent: a later process must know what may be in flight, as
    /// what, and from when its key counts. It sends that first, as it was: nodes drop one of the two.
    fn record_start(&mut self, last: Seq, now: Micros) -> bool {
        let at = self.config.wall_clock(now);
        let Some(write) = self.order.buffered_write_mut(last).filter(|write| write.started.is_none()) else {
            return false;
        };
        write.started = Some(at);
        self.log.append(&Record::Started { seq: last, at }, now);
        true
    }

    /// The log has recorded that the write-out up to this write starts.
    pub(super) fn send_marked(&mut self, last: Seq, now: Micros) {
        let marked = self.in_flight.iter().find(|(_, out)| out.awaits_log && out.merged.last() == last);
        if let Some(id) = marked.map(|(id, _)| *id) {
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

    /// Until when attempts may be sent under the key of a write that has started.
    fn key_expires_at(&self, seq: Seq, class: u16, now: Micros) -> Option<Micros> {
        if !matches!(self.buffering(class), BufferingMode::IdempotencyKey(_)) {
            return None;
        }
        let started = self.order.buffered_write(seq)?.started?;
        Some(now.after(self.config.key_window_left(class, started, now).unwrap_or_default()))
    }

    /// It may have been executed, and its key's window is over: an operator decides.
    fn park(&mut self, seq: Seq, now: Micros) {
        warn!(
            seq = seq.0,
            "a buffered write may have run and must not be repeated: it waits for an operator"
        );
        self.log.append(&Record::Parked { seq }, now);
        self.order.park(seq);
        self.prior_attempts.remove(&seq);
    }

    /// A write-out ended.
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
        // No barrier lies inside a merged write: nothing is unblocked before its last.
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

    /// This attempt was not executed; an earlier one that may have been still may.
    fn return_not_executed(&mut self, out: InFlightWriteOut, now: Micros) {
        let extent_id = out.merged.extent_id();
        if let Some(prior) = out.prior {
            self.prior_attempts.insert(out.merged.first, prior);
        }
        self.order.return_unconfirmed(out.merged, out.prior.is_some(), now);
        self.advance_extent(extent_id, now);
    }

    fn return_maybe_executed(&mut self, out: InFlightWriteOut, now: Micros) {
        let extent_id = out.merged.extent_id();
        self.prior_attempts.insert(out.merged.first, PriorAttempt::ThisProcess);
        self.order.return_unconfirmed(out.merged, true, now.after(self.config.key_cooldown));
        self.advance_extent(extent_id, now);
    }

    /// When the next write that waits for one that overwrites it is due.
    pub(super) fn next_merge_deadline(&self, now: Micros) -> Option<Micros> {
        let due_at = |seq| {
            let write = self.order.buffered_write(seq)?;
            Some(write.accepted.after(self.config.limits.merge_delay))
        };
        self.scheduler.first_of_each_shard().filter_map(due_at).filter(|at| *at > now).min()
    }

    /// Write-outs that wait in the decision module at too low an urgency are cancelled; they are sent again at
    /// once with the higher one.
    pub(super) fn cancel_for_higher_urgency(&mut self, now: Micros) {
        let rule = self.urgency_rule(now);
        let risen: Vec<(WriteOutId, Urgency)> = self
            .in_flight
            .iter()
            .filter(|(_, out)| !out.awaits_log)
            .map(|(id, out)| (*id, out.urgency, rule.urgency(out.merged.first)))
            .filter(|(_, urgency, urgency_now)| urgency_now > urgency)
            .map(|(id, _, urgency_now)| (id, urgency_now))
            .collect();
        for (id, urgency) in risen {
            if let Some(out) = self.in_flight.get_mut(&id) {
                out.urgency = urgency;
                self.actions.push(Action::CancelWriteOut(id));
            }
        }
    }
}
