//! Tells first tries from repeats. A client may say that it repeats (a try number above 0); whether it says
//! so or not, a try for the same volume, extent and class as one that was refused or given up here within
//! its patience repeats that one.
//!
//! Saying so falsely gains nothing: a repeat is never treated better than a first try. Not saying so gains
//! nothing as long as the try names the same extent; a client that invents extents is not found out, and
//! its volume's even part is what holds it.

use flaxstand_proto::Micros;
use std::collections::{BTreeMap, VecDeque};

/// What is known of a try as it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientAttempt {
    /// The volume.
    pub volume: u64,
    /// Index of its plan.
    pub plan: u16,
    /// Index of the class.
    pub class: u16,
    /// The extent, if it names one.
    pub extent: Option<u64>,
    /// Its client says that it repeats an earlier one.
    pub marked: bool,
}

/// What a try is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// Nothing like it was turned away lately.
    First,
    /// It repeats one that was.
    Repeat,
}

type Key = (u64, u64, u16);

/// How telling went, where clients mark their repeats: what would have been found without the marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Tries that said that they repeat.
    pub marked: u64,
    /// Of those, found by volume, extent and class as well.
    pub marked_and_known: u64,
    /// Tries that did not say so and were taken for repeats.
    pub unmarked_but_known: u64,
}

/// Tries that were turned away lately. At its bound the oldest is forgotten: its repeat counts as a first.
#[derive(Debug)]
pub struct RetryDetector {
    /// How long a client is expected to come back.
    retry_memory: Micros,
    most: usize,
    /// When each was last turned away.
    away: BTreeMap<Key, Micros>,
    /// The same in order of time; entries that were overtaken are skipped.
    order: VecDeque<(Micros, Key)>,
    attempt_counts: AttemptCounts,
}

impl RetryDetector {
    /// Remembers so many, for so long.
    pub fn new(retry_memory: Micros, most: usize) -> Self {
        RetryDetector {
            retry_memory,
            most: most.max(1),
            away: BTreeMap::new(),
            order: VecDeque::new(),
            attempt_counts: AttemptCounts::default(),
        }
    }

    fn key(t: &ClientAttempt) -> Option<Key> {
        t.extent.map(|extent| (t.volume, extent, t.class))
    }

    fn forget_old(&mut self, now: Micros) {
        while let Some((at, key)) = self.order.front().copied() {
            let overtaken = self.away.get(&key).is_none_or(|last| *last != at);
            if !overtaken && now.since(at) <= self.retry_memory && self.away.len() <= self.most {
                return;
            }
            self.order.pop_front();
            if !overtaken {
                self.away.remove(&key);
            }
        }
    }

    /// A try comes.
    pub fn kind(&mut self, t: &ClientAttempt, now: Micros) -> AttemptKind {
        self.forget_old(now);
        let known = Self::key(t).is_some_and(|key| self.away.remove(&key).is_some());
        self.attempt_counts.marked += u64::from(t.marked);
        self.attempt_counts.marked_and_known += u64::from(t.marked && known);
        self.attempt_counts.unmarked_but_known += u64::from(known && !t.marked);
        if known || t.marked { AttemptKind::Repeat } else { AttemptKind::First }
    }

    /// A try was refused or given up.
    pub fn turned_away(&mut self, t: &ClientAttempt, now: Micros) {
        if let Some(key) = Self::key(t) {
            self.away.insert(key, now);
            self.order.push_back((now, key));
            self.forget_old(now);
        }
    }

    /// How telling went so far.
    pub fn attempt_counts(&self) -> AttemptCounts {
        self.attempt_counts
    }

    /// How many are remembered.
    pub fn remembered(&self) -> usize {
        self.away.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(extent: u64, marked: bool) -> ClientAttempt {
        ClientAttempt { volume: 1, plan: 0, class: 2, extent: Some(extent), marked }
    }
    const T: Micros = Micros(1_000_000);

    #[test]
    fn what_was_turned_away_and_comes_back_is_a_repeat_marked_or_not() {
        let mut r = RetryDetector::new(Micros(500), 10);
        assert_eq!(r.kind(&of(1, false), T), AttemptKind::First);
        r.turned_away(&of(1, false), T);
        assert_eq!(r.kind(&of(2, false), T), AttemptKind::First, "another extent");
        assert_eq!(
            r.kind(&ClientAttempt { class: 1, ..of(1, false) }, T),
            AttemptKind::First,
            "another class"
        );
        assert_eq!(r.kind(&of(1, false), T.after(Micros(500))), AttemptKind::Repeat);
        assert_eq!(r.kind(&of(1, false), T.after(Micros(500))), AttemptKind::First, "one repeat for each");
        r.turned_away(&of(1, false), T);
        assert_eq!(r.kind(&of(1, false), T.after(Micros(501))), AttemptKind::First, "its patience is over");
        assert_eq!(r.kind(&of(9, true), T), AttemptKind::Repeat, "it says so");
        assert_eq!(r.kind(&ClientAttempt { extent: None, ..of(0, false) }, T), AttemptKind::First);
    }

    #[test]
    fn at_the_bound_the_oldest_is_forgotten() {
        let mut r = RetryDetector::new(Micros(1_000_000), 3);
        (0..5).for_each(|n| r.turned_away(&of(n, false), T.after(Micros(n))));
        assert_eq!(r.remembered(), 3);
        assert_eq!(r.kind(&of(1, false), T.after(Micros(9))), AttemptKind::First);
        assert_eq!(r.kind(&of(4, false), T.after(Micros(9))), AttemptKind::Repeat);
    }

    #[test]
    fn one_turned_away_again_and_again_takes_one_place() {
        let mut r = RetryDetector::new(Micros(100), 3);
        for n in 0..1000 {
            r.turned_away(&of(7, false), T.after(Micros(n)));
        }
        assert_eq!(r.remembered(), 1);
        assert!(r.order.len() <= 1000);
        assert_eq!(r.kind(&of(7, false), T.after(Micros(1050))), AttemptKind::Repeat, "by its last");
        r.turned_away(&of(8, false), T.after(Micros(5000)));
        assert_eq!(r.order.len(), 1, "what is long past is gone");
    }
}
