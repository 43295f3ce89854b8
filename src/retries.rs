//! Whether another attempt of a request is harmless, until when, and whether the retry budget allows it.

use crate::api::{
    AttemptNo, DeduplicationScope, Effect, Key, Millis, NodeEntry, RequestId, RetryBudget, VolumeId,
};
use crate::request::Request;
use std::collections::{BTreeMap, VecDeque};

/// A client whose request was not served is expected to ask again within this after its deadline, ms.
const CLIENT_RETRY_TIMEOUT: Millis = 2000.0;

/// Until when another attempt's first byte may leave: its client waits, and nodes deduplicate. One tick is
/// kept from the end of the deduplication window.
pub(crate) fn may_be_sent_until(request: &Request, effect: Effect, tick: Millis) -> Millis {
    let expires_at = request.deadlines.expires_at;
    let Effect::IdempotencyKey { window, .. } = effect else { return expires_at };
    let first = request.first_possibly_executed();
    let window_end = first.map_or(Millis::INFINITY, |first| first.sent_at + window - tick);
    window_end.min(expires_at)
}

/// Guards against a second execution: whether another attempt at this node is harmless.
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

/// Whether the request may have another attempt at some node, as far as its effect goes.
pub(crate) fn is_retryable(request: &Request, effect: Effect) -> bool {
    effect != Effect::AtMostOnce || request.first_possibly_executed().is_none()
}

/// Whether the client may be told that a retry of its own is harmless. Its retry may go to any node.
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

/// Requests and retries within the span of the retry budget.
#[derive(Default)]
pub(crate) struct RetryWindow {
    arrivals: VecDeque<Millis>,
    retries: VecDeque<SentRetry>,
}

impl RetryWindow {
    pub(crate) fn record_arrival(&mut self, now: Millis) {
        self.arrivals.push_back(now);
    }

    pub(crate) fn record_retry(&mut self, request: RequestId, number: AttemptNo, now: Millis) {
        self.retries.push_back(SentRetry { at: now, request, number });
    }

    /// An attempt never left, so it takes nothing of the budget.
    pub(crate) fn refund(&mut self, request: RequestId, number: AttemptNo) {
        self.retries.retain(|retry| retry.request != request || retry.number != number);
    }

    /// Whether the budget allows one more retry. Counted to the safe side of the window's edge by one tick.
    pub(crate) fn allows_retry(&self, budget: Option<RetryBudget>, tick: Millis, now: Millis) -> bool {
        let Some(budget) = budget else { return true };
        let within = self.arrivals.iter().filter(|at| now - **at < budget.span - tick);
        let arrivals = within.count() as f64;
        let within = self.retries.iter().filter(|retry| now - retry.at <= budget.span + tick);
        let retries = within.count() as f64;
        retries + 1.0 <= budget.floor + budget.ratio * arrivals
    }

    /// Forgets what no longer counts.
    pub(crate) fn prune(&mut self, budget: Option<RetryBudget>, tick: Millis, now: Millis) {
        let span = budget.map_or(0.0, |budget| budget.span) + tick;
        while self.arrivals.pop_front_if(|at| now - *at > span).is_some() {}
        while self.retries.pop_front_if(|retry| now - retry.at > span).is_some() {}
    }
}

/// Items whose request was not served here, by when its client left: who asks for one next is a client's
/// retry.
#[derive(Default)]
pub(crate) struct UnservedItems(BTreeMap<(VolumeId, Key), Millis>);

impl UnservedItems {
    pub(crate) fn record(&mut self, volume: VolumeId, key: Key, expires_at: Millis) {
        self.0.insert((volume, key), expires_at);
    }

    /// Whether a request for this item is a client's retry; only the first one is.
    pub(crate) fn take_retry(&mut self, volume: VolumeId, key: Key, now: Millis) -> bool {
        self.0.remove(&(volume, key)).is_some_and(|expired_at| now < expired_at + CLIENT_RETRY_TIMEOUT)
    }

    pub(crate) fn prune(&mut self, now: Millis) {
        self.0.retain(|_, expired_at| now < *expired_at + CLIENT_RETRY_TIMEOUT);
    }
}
