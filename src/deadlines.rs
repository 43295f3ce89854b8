//! Determines when a request gets its final response, and which one.
//!
//! An unserved request ends for one of these reasons:
//! - [`ExpiryInputs::final_response_is_due`]: the endpoint list has expired; its client would time out before
//!   a response, or would have no time left to retry elsewhere; or the rate limit of its volume or the slow
//!   start of its node would hold it for too long;
//! - `dispatch`: requests that are due earlier take so long that it would expire;
//! - [`is_due_after_attempt`]: an attempt ended and no further attempt is allowed.
//!
//! [`final_response`] chooses between a rejection with Retry-After and a failure.

use crate::admission::VolumeQuotas;
use crate::api::{Action, Arrival, Class, Effect, Millis, Settings};
use crate::estimates::FleetEstimates;
use crate::evaluation_timer::EVALUATION_INTERVAL;
use crate::node::NodeTable;
use crate::request::{Deadlines, Request};
use crate::retries::{is_retryable, is_safe_for_client_to_retry};

/// A final response is sent this long before the deadline, ms, in addition to one evaluation interval and one
/// tick.
const FINAL_RESPONSE_MARGIN: Millis = 4.0;
/// Share of the client's remaining time for which a request is held before its first attempt.
const HOLD_SHARE: f64 = 0.5;

/// Computes the deadlines of a request that arrives now, with a service time of `service_time` ms per unit.
pub(crate) fn deadlines_of(arrival: &Arrival, class: &Class, service_time: Millis, now: Millis) -> Deadlines {
    let stretch = class.objective_stretch * arrival.units * service_time;
    let due_at = now + (class.latency_objective + stretch).min(class.deadline);
    let expires_at = arrival.expires_at;
    Deadlines {
        // If the client times out before the objective, the response is due before the client times out.
        due_at: due_at.min(expires_at),
        hold_until: now + HOLD_SHARE * (expires_at - now),
        expires_at,
    }
}

/// Inputs to the decision whether a held request expires.
pub(crate) struct ExpiryInputs<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a FleetEstimates,
    pub(crate) nodes: &'a NodeTable,
    pub(crate) quotas: &'a VolumeQuotas,
    /// Whether the endpoint list is recent enough to send requests.
    pub(crate) endpoints_trusted: bool,
    pub(crate) now: Millis,
}

impl ExpiryInputs<'_> {
    /// Returns whether a held request gets its final response now. A request without attempts gets it while
    /// its client still has time to retry elsewhere, and immediately if the endpoint list has expired or
    /// waiting cannot help.
    pub(crate) fn final_response_is_due(&self, request: &Request) -> bool {
        let latest_at = self.latest_final_response_at(request);
        request.is_held()
            && (!self.endpoints_trusted
                || self.now >= latest_at
                || request.has_no_attempt() && !self.can_be_sent_by(request, latest_at))
    }

    /// Returns the latest time at which a final response reliably reaches the client in time.
    fn latest_final_response_at(&self, request: &Request) -> Millis {
        let margin = EVALUATION_INTERVAL + self.settings.tick + FINAL_RESPONSE_MARGIN;
        let deadlines = &request.deadlines;
        let end = if request.has_no_attempt() { deadlines.hold_until } else { deadlines.expires_at };
        end - margin
    }

    /// Returns whether the rate limit of the volume and the slow start of the node will allow the request by
    /// `at`.
    fn can_be_sent_by(&self, request: &Request, at: Millis) -> bool {
        let units = request.arrival.units;
        if !self.quotas.get(request.arrival.volume).limit_allows(units, self.settings, at) {
            return false;
        }
        let node = request.node.and_then(|id| self.nodes.get(id));
        node.is_none_or(|node| node.slow_start_allows(units, self.fleet, self.settings, at))
    }
}

/// Returns whether a request gets its final response after one of its attempts ended without serving it: it
/// has expired, or no further attempt is allowed. A request whose response is streaming gets none.
pub(crate) fn is_due_after_attempt(
    request: &Request,
    effect: Effect,
    max_attempts: u32,
    now: Millis,
) -> bool {
    let is_expired = now >= request.deadlines.expires_at;
    let attempts_are_exhausted = request.attempts.len() >= max_attempts as usize;
    let cannot_continue = request.is_held() && (attempts_are_exhausted || !is_retryable(request, effect));
    !request.is_streaming && (is_expired || cannot_continue)
}

/// Returns the final response for an unserved request: a rejection if the client may safely retry, otherwise
/// a failure. Guards against advising a client to retry when a second execution would be harmful.
pub(crate) fn final_response(
    request: &Request,
    is_expired: bool,
    effect: Effect,
    max_retry_after: Millis,
) -> Action {
    let id = request.arrival.id;
    if !is_expired && is_safe_for_client_to_retry(request, effect) {
        Action::Reject { request: id, retry_after: max_retry_after }
    } else {
        Action::Fail { request: id }
    }
}
