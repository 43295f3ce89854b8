//! Scheduling of write-outs.
//!
//! Each shard has a queue of extents, oldest write first, and a limit on write-outs in flight that depends on
//! their urgency. Each urgency is a separate class in the decision module: as long as there is space,
//! write-outs use only idle capacity; as space or time runs out their priority weight rises. The decision
//! module decides whether, when and to which node an attempt is sent, as for any request.

use crate::record::{ExtentId, Seq};
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Initial back-off of a shard after a failed write-out. Doubles with each further failure.
const MIN_BACKOFF: Micros = Micros(20_000);
/// Maximum back-off of a shard.
pub const MAX_BACKOFF: Micros = Micros(500_000);

/// Urgency of a write-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Less than a quarter of the space and time is used: only idle capacity is taken.
    #[default]
    Idle,
    /// A quarter of the space or time is used.
    Rising,
    /// Half of the space or time is used, or a request waits for buffered writes.
    High,
    /// Three quarters of the space or time are used.
    Urgent,
}

impl Urgency {
    /// All levels in ascending order.
    pub const ALL: [Urgency; 4] = [Urgency::Idle, Urgency::Rising, Urgency::High, Urgency::Urgent];

    /// Returns the urgency for the used fraction of space or time (may exceed 1). `is_awaited`: whether a
    /// request waits for buffered writes.
    pub fn of(used_fraction: f64, is_awaited: bool) -> Urgency {
        let by_usage = match used_fraction {
            used if used < 0.25 => Urgency::Idle,
            used if used < 0.5 => Urgency::Rising,
            used if used < 0.75 => Urgency::High,
            _ => Urgency::Urgent,
        };
        by_usage.max(if is_awaited { Urgency::High } else { Urgency::Idle })
    }

    /// Returns the maximum number of write-outs in flight per shard.
    fn max_in_flight(self) -> usize {
        match self {
            Urgency::Idle => 4,
            Urgency::Rising => 8,
            Urgency::High => 16,
            Urgency::Urgent => 32,
        }
    }
}

/// The next write-out to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Shard that holds the extent.
    pub shard: u32,
    /// First write of the extent.
    pub seq: Seq,
    /// Extent to write.
    pub extent_id: ExtentId,
    /// Urgency of the write-out.
    pub urgency: Urgency,
}

/// Outcome of a write-out for the scheduling of its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// The node confirmed the write.
    Confirmed,
    /// The write was not confirmed; the shard backs off.
    Failed {
        /// Minimum time before the next write-out to the shard.
        retry_after: Micros,
    },
    /// The buffer cancelled the write-out, or could not start it.
    Cancelled,
}

#[derive(Debug, Default)]
struct ShardQueue {
    /// Extents by their first write.
    queued: BTreeSet<(Seq, ExtentId)>,
    in_flight: usize,
    backoff: Micros,
    /// End of the back-off.
    backs_off_until: Micros,
}

impl ShardQueue {
    fn first(&self) -> Option<(Seq, ExtentId)> {
        self.queued.first().copied()
    }

    fn back_off(&mut self, retry_after: Micros, now: Micros) {
        self.backoff = Micros(self.backoff.0 * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backs_off_until = self.backs_off_until.max(now.after(self.backoff.max(retry_after)));
    }

    fn is_idle(&self, now: Micros) -> bool {
        self.in_flight == 0 && self.queued.is_empty() && self.backs_off_until <= now
    }
}

/// Queues of all shards, and extents in cooldown.
#[derive(Debug, Default)]
pub struct WriteOutScheduler {
    shards: BTreeMap<u32, ShardQueue>,
    /// Extents in cooldown, by the end of the cooldown.
    cooldowns: BTreeSet<(Micros, ExtentId)>,
}

impl WriteOutScheduler {
    /// Queues the first write of an extent for write-out.
    pub fn enqueue(&mut self, shard: u32, seq: Seq, extent_id: ExtentId) {
        self.shards.entry(shard).or_default().queued.insert((seq, extent_id));
    }

    /// Puts an extent into cooldown: nothing may be sent to it before `until`.
    pub fn cool_down(&mut self, extent_id: ExtentId, until: Micros) {
        self.cooldowns.insert((until, extent_id));
    }

    /// Removes and returns the extents whose cooldown is over.
    pub fn take_cooled_down(&mut self, now: Micros) -> Vec<ExtentId> {
        let mut cooled_down = Vec::new();
        while let Some((until, extent_id)) =
            self.cooldowns.first().copied().filter(|(until, _)| *until <= now)
        {
            self.cooldowns.remove(&(until, extent_id));
            cooled_down.push(extent_id);
        }
        cooled_down
    }

    /// Takes the next write-out, if any: the oldest first write among the shards that may send. A first write
    /// that is not due blocks its shard.
    pub fn pick(
        &mut self,
        now: Micros,
        urgency_of: impl Fn(Seq) -> Urgency,
        is_due: impl Fn(Seq) -> bool,
    ) -> Option<Candidate> {
        let mut oldest: Option<Candidate> = None;
        for (shard, queue) in &self.shards {
            let Some((seq, extent_id)) = queue.first() else { continue };
            let is_older = oldest.is_none_or(|candidate| seq < candidate.seq);
            if queue.backs_off_until > now || !is_older || !is_due(seq) {
                continue;
            }
            let urgency = urgency_of(seq);
            if queue.in_flight < urgency.max_in_flight() {
                oldest = Some(Candidate { shard: *shard, seq, extent_id, urgency });
            }
        }
        let candidate = oldest?;
        let queue = self.shards.get_mut(&candidate.shard)?;
        queue.queued.remove(&(candidate.seq, candidate.extent_id));
        queue.in_flight += 1;
        Some(candidate)
    }

    /// Ends a write-out that was picked.
    pub fn ended(&mut self, shard: u32, outcome: ShardOutcome, now: Micros) {
        let Some(queue) = self.shards.get_mut(&shard) else { return };
        queue.in_flight = queue.in_flight.saturating_sub(1);
        match outcome {
            ShardOutcome::Confirmed => queue.backoff = Micros(0),
            ShardOutcome::Failed { retry_after } => queue.back_off(retry_after, now),
            ShardOutcome::Cancelled => {}
        }
        if queue.is_idle(now) {
            self.shards.remove(&shard);
        }
    }

    /// Returns the first write in the queue of each shard.
    pub fn first_of_each_shard(&self) -> impl Iterator<Item = Seq> {
        self.shards.values().filter_map(|queue| queue.first().map(|(seq, _)| seq))
    }

    /// Returns the number of write-outs that were picked and have not ended.
    pub fn in_flight(&self) -> usize {
        self.shards.values().map(|queue| queue.in_flight).sum()
    }

    /// Returns the time at which the next back-off or cooldown ends.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        let is_backing_off = |queue: &&ShardQueue| !queue.queued.is_empty() && queue.backs_off_until > now;
        let backoff = self.shards.values().filter(is_backing_off).map(|queue| queue.backs_off_until).min();
        let cooldown = self.cooldowns.first().map(|(until, _)| *until);
        [backoff, cooldown].into_iter().flatten().min()
    }
}
