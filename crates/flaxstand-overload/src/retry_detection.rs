//! Classifies attempts as first attempts or retries. A client may mark an attempt as a retry (an attempt
//! number above 0). Marked or not, an attempt for the same volume, extent and class as one that was rejected
//! or abandoned here within `retry_memory` is a retry of it.
//!
//! A false mark gives no advantage: a retry is never treated better than a first attempt. A missing mark
//! gives none either as long as the attempt names the same extent. A client that makes up extents is not
//! detected; it is bounded only by the equal share of its volume.

use flaxstand_proto::Micros;
use std::collections::{BTreeMap, VecDeque};

/// An attempt as a client submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientAttempt {
    /// Volume that the attempt accesses.
    pub volume: u64,
    /// Index of the volume's plan.
    pub plan: u16,
    /// Index of the class.
    pub class: u16,
    /// Extent, if the attempt names one.
    pub extent: Option<u64>,
    /// Whether the client marks the attempt as a retry.
    pub marked: bool,
}

/// Classification of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt, as far as detected.
    First,
    /// Retry of an attempt that was rejected or abandoned.
    Retry,
}

/// Attempts with equal keys are retries of each other.
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

/// Entry of the expiry queue.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    at: Micros,
    key: RetryKey,
}

/// Agreement between detection and the marks of clients, counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryDetectionCounts {
    /// Attempts marked as retries.
    pub marked: u64,
    /// Marked attempts that were also detected as retries.
    pub marked_and_detected: u64,
    /// Unmarked attempts that were detected as retries.
    pub unmarked_but_detected: u64,
}

/// Remembers recently rejected or abandoned attempts. When it is full it drops the oldest one, whose retry
/// then counts as a first attempt.
#[derive(Debug)]
pub struct RetryDetector {
    /// How long a rejection is remembered.
    retry_memory: Micros,
    max_remembered: usize,
    /// Time of the last rejection of each key.
    last_rejected: BTreeMap<RetryKey, Micros>,
    /// Rejections by time. An entry superseded by a later rejection or a retry of its key is skipped.
    rejections: VecDeque<Rejection>,
    counts: RetryDetectionCounts,
}

impl RetryDetector {
    /// Creates a detector that remembers up to `max_remembered` (at least 1) rejections for `retry_memory`.
    pub fn new(retry_memory: Micros, max_remembered: usize) -> Self {
        RetryDetector {
            retry_memory,
            max_remembered: max_remembered.max(1),
            last_rejected: BTreeMap::new(),
            rejections: VecDeque::new(),
            counts: RetryDetectionCounts::default(),
        }
    }

    /// Classifies an arriving attempt. Each rejection matches one retry and is removed with it.
    pub fn classify(&mut self, attempt: &ClientAttempt, now: Micros) -> AttemptKind {
        self.forget_expired(now);
        let is_detected = RetryKey::of(attempt).is_some_and(|key| self.last_rejected.remove(&key).is_some());
        self.counts.marked += u64::from(attempt.marked);
        self.counts.marked_and_detected += u64::from(attempt.marked && is_detected);
        self.counts.unmarked_but_detected += u64::from(is_detected && !attempt.marked);
        if is_detected || attempt.marked { AttemptKind::Retry } else { AttemptKind::First }
    }

    /// Records an attempt that was rejected or abandoned.
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

    /// Returns the agreement with the marks of clients since the start.
    pub fn counts(&self) -> RetryDetectionCounts {
        self.counts
    }

    /// Returns the number of keys with a remembered rejection.
    pub fn remembered(&self) -> usize {
        self.last_rejected.len()
    }

    /// Returns the length of the expiry queue, including superseded rejections.
    pub fn expiry_queue_len(&self) -> usize {
        self.rejections.len()
    }
}
