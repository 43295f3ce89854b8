//! Tells first attempts from retries. A client may mark an attempt as a retry (a try number above 0). Marked
//! or not, an attempt for the same volume, extent and class as one that was rejected or abandoned here within
//! the retry memory is a retry of that one.
//!
//! A false mark gains nothing: a retry is never treated better than a first attempt. A missing mark gains
//! nothing as long as the attempt names the same extent. A client that invents extents is not detected;
//! only its volume's even part bounds it.

use flaxstand_proto::Micros;
use std::collections::{BTreeMap, VecDeque};

/// An attempt as a client submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientAttempt {
    /// Volume that it is for.
    pub volume: u64,
    /// Index of the volume's plan.
    pub plan: u16,
    /// Index of the class.
    pub class: u16,
    /// Extent, if the attempt names one.
    pub extent: Option<u64>,
    /// The client marks it as a retry.
    pub marked: bool,
}

/// What an attempt is classified as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// Not known to retry anything.
    First,
    /// Retries an attempt that was rejected or abandoned.
    Retry,
}

/// Attempts of one key retry each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetryKey {
    volume: u64,
    extent: u64,
    class: u16,
}

impl RetryKey {
    fn of(attempt: &ClientAttempt) -> Option<RetryKey> {
        let extent = attempt.extent?;
        Some(RetryKey { volume: attempt.volume, extent, class: attempt.class })
    }
}

/// A remembered rejection, in the order in which they expire.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    at: Micros,
    key: RetryKey,
}

/// How well detection agrees with the marks of clients. Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryDetectionCounts {
    /// Attempts that were marked.
    pub marked: u64,
    /// Of those, detected without the mark as well.
    pub marked_and_known: u64,
    /// Attempts without a mark that were detected.
    pub unmarked_but_known: u64,
}

/// Remembers attempts that were rejected or abandoned lately. At its bound the oldest is forgotten, and a
/// retry of it counts as a first attempt.
#[derive(Debug)]
pub struct RetryDetector {
    /// How long a rejection is remembered.
    retry_memory: Micros,
    max_remembered: usize,
    /// When each key was last rejected.
    last_rejected: BTreeMap<RetryKey, Micros>,
    /// Rejections by time. One that a later rejection or a retry of its key has superseded is skipped.
    rejections: VecDeque<Rejection>,
    counts: RetryDetectionCounts,
}

impl RetryDetector {
    /// A detector that remembers at most `max_remembered` (at least 1) rejections for `retry_memory`.
    pub fn new(retry_memory: Micros, max_remembered: usize) -> Self {
        RetryDetector {
            retry_memory,
            max_remembered: max_remembered.max(1),
            last_rejected: BTreeMap::new(),
            rejections: VecDeque::new(),
            counts: RetryDetectionCounts::default(),
        }
    }

    /// Classifies an attempt that arrives. A rejection that it retries is forgotten: one retry for each.
    pub fn classify(&mut self, attempt: &ClientAttempt, now: Micros) -> AttemptKind {
        self.forget_expired(now);
        let is_known = RetryKey::of(attempt).is_some_and(|key| self.last_rejected.remove(&key).is_some());
        self.counts.marked += u64::from(attempt.marked);
        self.counts.marked_and_known += u64::from(attempt.marked && is_known);
        self.counts.unmarked_but_known += u64::from(is_known && !attempt.marked);
        if is_known || attempt.marked { AttemptKind::Retry } else { AttemptKind::First }
    }

    /// Remembers an attempt that was rejected or abandoned.
    pub fn record_rejected(&mut self, attempt: &ClientAttempt, now: Micros) {
        let Some(key) = RetryKey::of(attempt) else { return };
        self.last_rejected.insert(key, now);
        self.rejections.push_back(Rejection { at: now, key });
        self.forget_expired(now);
    }

    fn forget_expired(&mut self, now: Micros) {
        while let Some(oldest) = self.rejections.front().copied() {
            let is_superseded = self.last_rejected.get(&oldest.key).is_none_or(|last| *last != oldest.at);
            let is_fresh = now.since(oldest.at) <= self.retry_memory;
            if !is_superseded && is_fresh && self.last_rejected.len() <= self.max_remembered {
                return;
            }
            self.rejections.pop_front();
            if !is_superseded {
                self.last_rejected.remove(&oldest.key);
            }
        }
    }

    /// Agreement with the marks of clients since the start.
    pub fn counts(&self) -> RetryDetectionCounts {
        self.counts
    }

    /// Number of keys whose rejection is remembered.
    pub fn remembered(&self) -> usize {
        self.last_rejected.len()
    }

    /// Length of the expiry queue, superseded rejections included.
    pub fn expiry_queue_len(&self) -> usize {
        self.rejections.len()
    }
}
