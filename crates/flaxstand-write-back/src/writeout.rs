//! Which of the writes that may go out goes next, how urgently, and how often again.
//!
//! Each shard has a line of places, oldest write first, and so many out at once as its urgency allows. An
//! urgency is a worth for the decision module: while there is room, write-out takes only what nothing else
//! wants; as space or time runs out it is worth ever more. Whether and when an attempt leaves, and to which
//! node, is the module's decision as for any request.

use crate::record::{ExtentId, Seq};
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How urgent a write-out is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// There is room and time: what nothing else wants.
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

    /// By the part of space or time that is gone, and whether somebody waits for it.
    pub fn of(part: f64, waited_for: bool) -> Urgency {
        let level = match part {
            p if p < 0.25 => Urgency::Idle,
            p if p < 0.5 => Urgency::Rising,
            p if p < 0.75 => Urgency::High,
            _ => Urgency::Urgent,
        };
        level.max(if waited_for { Urgency::High } else { Urgency::Idle })
    }

    /// Write-outs of one shard that may be with the module or out at once.
    fn window(self) -> usize {
        match self {
            Urgency::Idle => 4,
            Urgency::Rising => 8,
            Urgency::High => 16,
            Urgency::Urgent => 32,
        }
    }
}

/// Bound on repeats of attempts that may have run: so many, and a share of the first tries, in a span.
#[derive(Clone, Copy, Debug)]
pub struct WriteOutRetryBudget {
    /// Allowed however few first tries there are.
    pub floor: f64,
    /// Allowed for each first try.
    pub ratio: f64,
    /// How far back both look.
    pub span: Micros,
}

/// Wait of a shard after a try that was not done: doubled each time, up to the longest.
const HOLD: (Micros, Micros) = (Micros(20_000), Micros(500_000));

#[derive(Debug, Default)]
struct Line {
    waiting: BTreeSet<(Seq, ExtentId)>,
    out: usize,
    hold: Micros,
    hold_until: Micros,
}

/// How a try ended, as far as the line is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Done.
    Well,
    /// Not done, and told to come back after this.
    Badly(Micros),
    /// Taken back by the buffer itself.
    Withdrawn,
}

/// The lines.
#[derive(Debug)]
pub struct WriteOut {
    lines: BTreeMap<u32, Line>,
    /// Places that rest, by when that ends.
    rests: BTreeSet<(Micros, ExtentId)>,
    budget: Option<WriteOutRetryBudget>,
    first_tries: VecDeque<Micros>,
    repeats: VecDeque<Micros>,
}

impl WriteOut {
    /// No lines yet.
    pub fn new(budget: Option<WriteOutRetryBudget>) -> Self {
        let (lines, rests, first_tries, repeats) = Default::default();
        WriteOut { lines, rests, budget, first_tries, repeats }
    }

    /// The place's first write may go.
    pub fn line_up(&mut self, shard: u32, seq: Seq, extent_id: ExtentId) {
        self.lines.entry(shard).or_default().waiting.insert((seq, extent_id));
    }

    /// The place is to be looked at again then.
    pub fn rest(&mut self, extent_id: ExtentId, until: Micros) {
        self.rests.insert((until, extent_id));
    }

    /// Places whose rest is over.
    pub fn rested(&mut self, now: Micros) -> Vec<ExtentId> {
        let mut over = Vec::new();
        while let Some((until, extent_id)) = self.rests.first().copied().filter(|(until, _)| *until <= now) {
            self.rests.remove(&(until, extent_id));
            over.push(extent_id);
        }
        over
    }

    /// The next to go, if one may: of the shards with room the one whose first is oldest. `level_of` tells
    /// how urgent a write is; one that is not due yet, by `due`, holds up its line.
    pub fn pick(
        &mut self,
        now: Micros,
        level_of: impl Fn(Seq) -> Urgency,
        due: impl Fn(Seq) -> bool,
    ) -> Option<(u32, Seq, ExtentId, Urgency)> {
        let mut best: Option<(Seq, ExtentId, u32, Urgency)> = None;
        for (shard, line) in &self.lines {
            let Some((seq, extent_id)) = line.waiting.first().copied() else { continue };
            if line.hold_until > now || best.is_some_and(|(b, ..)| b <= seq) || !due(seq) {
                continue;
            }
            let level = level_of(seq);
            if line.out < level.window() {
                best = Some((seq, extent_id, *shard, level));
            }
        }
        let (seq, extent_id, shard, level) = best?;
        let line = self.lines.get_mut(&shard)?;
        line.waiting.remove(&(seq, extent_id));
        line.out += 1;
        Some((shard, seq, extent_id, level))
    }

    /// A try that was picked is over.
    pub fn ended(&mut self, shard: u32, how: Ended, now: Micros) {
        let Some(line) = self.lines.get_mut(&shard) else { return };
        line.out = line.out.saturating_sub(1);
        match how {
            Ended::Well => line.hold = Micros(0),
            Ended::Badly(wait) => {
                line.hold = Micros(line.hold.0 * 2).clamp(HOLD.0, HOLD.1);
                line.hold_until = line.hold_until.max(now.after(line.hold.max(wait)));
            }
            Ended::Withdrawn => {}
        }
        if line.out == 0 && line.waiting.is_empty() && line.hold_until <= now {
            self.lines.remove(&shard);
        }
    }

    /// Counts a try. A repeat of one that may have run is allowed within the budget only.
    pub fn count_try(&mut self, repeat: bool, now: Micros) -> bool {
        let Some(b) = self.budget else { return true };
        for tries in [&mut self.first_tries, &mut self.repeats] {
            while tries.front().is_some_and(|at| now.since(*at) > b.span) {
                tries.pop_front();
            }
        }
        if !repeat {
            self.first_tries.push_back(now);
        } else if (self.repeats.len() + 1) as f64 <= b.floor + b.ratio * self.first_tries.len() as f64 {
            self.repeats.push_back(now);
        } else {
            return false;
        }
        true
    }

    /// The first of each line.
    pub fn firsts(&self) -> impl Iterator<Item = Seq> {
        self.lines.values().filter_map(|l| l.waiting.first().map(|(seq, _)| *seq))
    }

    /// Places in line.
    pub fn waiting(&self) -> usize {
        self.lines.values().map(|l| l.waiting.len()).sum()
    }

    /// Tries picked and not over.
    pub fn out(&self) -> usize {
        self.lines.values().map(|l| l.out).sum()
    }

    /// When time alone lets something go.
    pub fn wake(&self, now: Micros) -> Option<Micros> {
        let held = |l: &Line| (!l.waiting.is_empty() && l.hold_until > now).then_some(l.hold_until);
        let holds = self.lines.values().filter_map(held).min();
        let rests = self.rests.first().map(|(until, _)| *until);
        [holds, rests].into_iter().flatten().min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn extent_id(extent: u64) -> ExtentId {
        ExtentId { volume: 1, extent }
    }
    const NOW: Micros = Micros(1_000_000);

    fn pick(out: &mut WriteOut, level: Urgency) -> Option<Seq> {
        out.pick(NOW, |_| level, |_| true).map(|p| p.1)
    }

    #[test]
    fn the_oldest_goes_first_and_a_full_shard_holds_up_no_other() {
        let mut out = WriteOut::new(None);
        (1..=9).for_each(|n| out.line_up(0, Seq(n), extent_id(n)));
        out.line_up(7, Seq(10), extent_id(10));
        let picked: Vec<_> = std::iter::from_fn(|| pick(&mut out, Urgency::Idle)).collect();
        assert_eq!(picked, [1, 2, 3, 4, 10].map(Seq));
        assert_eq!(pick(&mut out, Urgency::Rising), Some(Seq(5)), "more may be out as it becomes urgent");
        out.ended(0, Ended::Well, NOW);
        assert_eq!(out.out(), 5);
    }

    #[test]
    fn a_shard_that_refuses_is_left_alone_for_ever_longer() {
        let mut out = WriteOut::new(None);
        let mut waits = Vec::new();
        let mut now = NOW;
        for n in 0..12 {
            out.line_up(0, Seq(n), extent_id(n));
            let picked = out.pick(now, |_| Urgency::Urgent, |_| true);
            assert!(picked.is_some());
            out.ended(0, Ended::Badly(Micros(0)), now);
            out.line_up(0, Seq(n), extent_id(n));
            assert_eq!(out.pick(now, |_| Urgency::Urgent, |_| true), None, "it is left alone");
            let until = out.wake(now).expect("it is tried again");
            waits.push(until.since(now));
            now = until;
        }
        assert_eq!(waits[..3], [20_000, 40_000, 80_000].map(Micros));
        assert_eq!(waits[11], HOLD.1);
    }

    #[test]
    fn repeats_keep_to_the_budget() {
        let budget = WriteOutRetryBudget { floor: 1.0, ratio: 0.5, span: Micros(1000) };
        let mut out = WriteOut::new(Some(budget));
        assert!(out.count_try(true, NOW));
        assert!(!out.count_try(true, NOW), "the floor is used up");
        assert!(out.count_try(false, NOW) && out.count_try(false, NOW));
        assert!(out.count_try(true, NOW), "two first tries allow one more");
        assert!(!out.count_try(true, NOW));
        assert!(out.count_try(true, NOW.after(Micros(1001))), "all that is long past");
    }

    #[test]
    fn urgency_rises_with_what_is_gone() {
        assert_eq!([0.0, 0.3, 0.6, 0.9].map(|p| Urgency::of(p, false)), Urgency::ALL);
        assert_eq!(Urgency::of(0.0, true), Urgency::High);
        assert_eq!(Urgency::of(0.9, true), Urgency::Urgent);
    }
}
