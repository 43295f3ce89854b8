//! Which of the writes that may be written out goes next, and how urgently.
//!
//! Each shard has a queue of extents, oldest write first, and as many write-outs in flight as their urgency
//! allows. Each urgency is a class of its own in the decision module: while there is space, write-outs take only
//! what nothing else needs; as space or time runs out they weigh ever more. Whether and when an attempt is sent,
//! and to which node, the module decides as for any request.

use crate::record::{ExtentId, Seq};
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// First back-off of a shard after a write-out that failed. Doubles with each further one.
const MIN_BACKOFF: Micros = Micros(20_000);
/// Longest back-off of a shard.
pub const MAX_BACKOFF: Micros = Micros(500_000);

/// How urgent a write-out is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// There is space and time: what nothing else needs.
    #[default]
    Idle,
    /// A quarter of space or time is gone.
    Rising,
    /// Half is, or somebody waits for it.
    High,
    /// Three quarters are.
    Urgent,
}

impl Urgency {
    /// All, from the least.
    pub const ALL: [Urgency; 4] = [Urgency::Idle, Urgency::Rising, Urgency::High, Urgency::Urgent];

    /// By the part of space or time that is gone (0 to 1 and above), and whether somebody waits for it.
    pub fn of(part: f64, is_waited_for: bool) -> Urgency {
        let by_part = match part {
            part if part < 0.25 => Urgency::Idle,
            part if part < 0.5 => Urgency::Rising,
            part if part < 0.75 => Urgency::High,
            _ => Urgency::Urgent,
        };
        by_part.max(if is_waited_for { Urgency::High } else { Urgency::Idle })
    }

    /// Most write-outs of one shard in flight at once.
    fn max_in_flight(self) -> usize {
        match self {
            Urgency::Idle => 4,
            Urgency::Rising => 8,
            Urgency::High => 16,
            Urgency::Urgent => 32,
        }
    }
}

/// A write-out that goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Shard that holds the extent.
    pub shard: u32,
    /// The extent's first write.
    pub seq: Seq,
    /// The extent.
    pub extent_id: ExtentId,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// How a write-out ended, as far as its shard is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// The node confirmed it.
    Confirmed,
    /// It was not confirmed: the shard backs off.
    Failed {
        /// The shard gets no other before this has passed.
        retry_after: Micros,
    },
    /// The buffer itself cancelled it.
    Cancelled,
}

#[derive(Debug, Default)]
struct ShardQueue {
    /// Extents by their first write.
    queued: BTreeSet<(Seq, ExtentId)>,
    in_flight: usize,
    backoff: Micros,
    /// The back-off lasts until then.
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

/// Queues of all shards, and extents that have a cooldown.
#[derive(Debug, Default)]
pub struct WriteOutScheduler {
    shards: BTreeMap<u32, ShardQueue>,
    /// Extents by the end of their cooldown.
    cooldowns: BTreeSet<(Micros, ExtentId)>,
}

impl WriteOutScheduler {
    /// The first write of an extent may be written out.
    pub fn enqueue(&mut self, shard: u32, seq: Seq, extent_id: ExtentId) {
        self.shards.entry(shard).or_default().queued.insert((seq, extent_id));
    }

    /// Nothing of the extent may be sent before `until`.
    pub fn cool_down(&mut self, extent_id: ExtentId, until: Micros) {
        self.cooldowns.insert((until, extent_id));
    }

    /// Removes the extents whose cooldown is over.
    pub fn take_cooled_down(&mut self, now: Micros) -> Vec<ExtentId> {
        let mut over = Vec::new();
        while let Some((until, extent_id)) =
            self.cooldowns.first().copied().filter(|(until, _)| *until <= now)
        {
            self.cooldowns.remove(&(until, extent_id));
            over.push(extent_id);
        }
        over
    }

    /// Takes the next write-out, if one may go: of the shards that may send, the one whose first write is
    /// oldest. A first write that `is_due` denies holds up its shard.
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

    /// A write-out that was picked is over.
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

    /// The first write of each shard's queue.
    pub fn first_of_each_shard(&self) -> impl Iterator<Item = Seq> {
        self.shards.values().filter_map(|queue| queue.first().map(|(seq, _)| seq))
    }

    /// Number of write-outs that were picked and are not over.
    pub fn in_flight(&self) -> usize {
        self.shards.values().map(|queue| queue.in_flight).sum()
    }

    /// When a back-off or a cooldown ends next.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        let is_held_up = |queue: &&ShardQueue| !queue.queued.is_empty() && queue.backs_off_until > now;
        let backoff = self.shards.values().filter(is_held_up).map(|queue| queue.backs_off_until).min();
        let cooldown = self.cooldowns.first().map(|(until, _)| *until);
        [backoff, cooldown].into_iter().flatten().min()
    }
}
