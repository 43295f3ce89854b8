//! Rules for retries: whether another attempt is harmless, until when it may be sent, and whether the retry
//! budget allows it.

use crate::api::{
    AttemptNo, DeduplicationScope, Effect, Key, Millis, NodeEntry, RequestId, RetryBudget, VolumeId,
};
use crate::request::Request;
use std::collections::{BTreeMap, VecDeque};

/// Time after its deadline within which a client with an unserved request is expected to retry, ms.
const CLIENT_RETRY_TIMEOUT: Millis = 2000.0;
/// Maximum number of items with an unserved request that are kept.
const MAX_UNSERVED_ITEMS: usize = 4096;
/// Maximum number of arrivals that count towards the retry budget.
const MAX_COUNTED_ARRIVALS: usize = 32_768;

/// Returns the time until which the first byte of another attempt may be written: the client is waiting and
/// nodes deduplicate. A margin of one tick is subtracted from the end of the deduplication window.
pub(crate) fn may_be_sent_until(request: &Request, effect: Effect, tick: Millis) -> Millis {
    let expires_at = request.deadlines.expires_at;
    let Effect::IdempotencyKey { window, .. } = effect else { return expires_at };
    let first = request.first_possibly_executed();
    let window_end = first.map_or(Millis::INFINITY, |first| first.sent_at + window - tick);
    window_end.min(expires_at)
}

/// Returns whether another attempt at this node is harmless. Guards against repeated execution.
pub(crate) fn effect_allows(
    request: &Request,
    entry: &NodeEntry,
    effect: Effect,
    tick: Millis,
    now: Millis,
) -> bool {
    let Some(first) = request.first_possibly_executed() else { return true };
    match effect {
        Effect::Idempotent => true,
        Effect::AtMostOnce => false,
        Effect::IdempotencyKey { group, .. } => {
            let is_deduplicated = match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == entry.zone,
                DeduplicationScope::Shard => first.shard == entry.shard,
            };
            is_deduplicated && now < may_be_sent_until(request, effect, tick)
        }
    }
}

/// Returns whether the effect of a request allows another attempt at all, at whichever node.
pub(crate) fn is_retryable(request: &Request, effect: Effect) -> bool {
    effect != Effect::AtMostOnce || request.first_possibly_executed().is_none()
}

/// Returns whether a retry by the client is harmless. Such a retry may go to any node.
pub(crate) fn is_safe_for_client_to_retry(request: &Request, effect: Effect) -> bool {
    let is_safe_anywhere =
        matches!(effect, Effect::Idempotent | Effect::IdempotencyKey { group: DeduplicationScope::All, .. });
    is_safe_anywhere || request.first_possibly_executed().is_none()
}

/// A retry that was sent.
struct SentRetry {
    at: Millis,
    request: RequestId,
    number: AttemptNo,
}

/// Arrivals and retries within the window of the retry budget.
#[derive(Default)]
pub(crate) struct RetryWindow {
    arrivals: VecDeque<Millis>,
    retries: VecDeque<SentRetry>,
}

impl RetryWindow {
    /// Records an arrival. At most [`MAX_COUNTED_ARRIVALS`] are counted, which allows fewer retries.
    pub(crate) fn record_arrival(&mut self, now: Millis) {
        if self.arrivals.len() >= MAX_COUNTED_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
    }

    pub(crate) fn record_retry(&mut self, request: RequestId, number: AttemptNo, now: Millis) {
        self.retries.push_back(SentRetry { at: now, request, number });
    }

    /// Removes a retry that was never sent, so that it does not count against the budget.
    pub(crate) fn refund(&mut self, request: RequestId, number: AttemptNo) {
        self.retries.retain(|retry| retry.request != request || retry.number != number);
    }

    /// Returns whether the budget allows another retry. Both window edges are shifted by one tick to the safe
    /// side.
    pub(crate) fn allows_retry(&self, budget: Option<RetryBudget>, tick: Millis, now: Millis) -> bool {
        let Some(budget) = budget else { return true };
        let outside = self.arrivals.partition_point(|at| now - *at >= budget.span - tick);
        let arrivals = (self.arrivals.len() - outside) as f64;
        let within = self.retries.iter().filter(|retry| now - retry.at <= budget.span + tick);
        let retries = within.count() as f64;
        retries + 1.0 <= budget.floor + budget.ratio * arrivals
    }

    /// Removes entries outside the window.
    pub(crate) fn prune(&mut self, budget: Option<RetryBudget>, tick: Millis, now: Millis) {
        let span = budget.map_or(0.0, |budget| budget.span) + tick;
        while self.arrivals.pop_front_if(|at| now - *at > span).is_some() {}
        while self.retries.pop_front_if(|retry| now - retry.at > span).is_some() {}
    }
}

/// Items with an unserved request, and the time at which its client times out. The next request for such an
/// item is considered a retry by the client.
#[derive(Default)]
pub(crate) struct UnservedItems(BTreeMap<(VolumeId, Key), Millis>);

impl UnservedItems {
    /// Records an unserved request. At most [`MAX_UNSERVED_ITEMS`] are kept; a retry for a further one counts
    /// as a first request.
    pub(crate) fn record(&mut self, volume: VolumeId, key: Key, expires_at: Millis) {
        if self.0.len() < MAX_UNSERVED_ITEMS || self.0.contains_key(&(volume, key)) {
            self.0.insert((volume, key), expires_at);
        }
    }

    /// Returns whether a request for this item is a retry by a client. Only the first such request is.
    pub(crate) fn take_retry(&mut self, volume: VolumeId, key: Key, now: Millis) -> bool {
        self.0.remove(&(volume, key)).is_some_and(|expired_at| now < expired_at + CLIENT_RETRY_TIMEOUT)
    }

    pub(crate) fn prune(&mut self, now: Millis) {
        self.0.retain(|_, expired_at| now < *expired_at + CLIENT_RETRY_TIMEOUT);
    }
}
