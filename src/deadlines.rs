//! When a request's final answer is due, and which one it is.
//!
//! A request that is not served ends for one of these reasons:
//! - the endpoint list is too old to send anything on ([`ExpiryInputs::final_answer_is_due`]);
//! - its client would leave before an answer, or could no longer ask elsewhere (the same);
//! - its volume's limit or its node's warm-up would hold it for too long (the same);
//! - what is due before it takes so long that it would expire (`dispatch`);
//! - an attempt ended, and it can't have another one ([`is_due_after_attempt`]).
//!
//! [`final_answer`] then tells a rejection with Retry-After from a failure.

use crate::admission::VolumeQuotas;
use crate::api::{Action, Arrival, Class, Effect, Millis, Settings};
use crate::estimates::FleetEstimates;
use crate::evaluation_timer::EVALUATION_INTERVAL;
use crate::node::NodeTable;
use crate::request::{Deadlines, Request};
use crate::retries::{is_retryable, is_safe_for_client_to_retry};

/// A final answer leaves this long before it has to, ms, beyond one evaluation interval and one tick.
const FINAL_ANSWER_MARGIN: Millis = 4.0;
/// Share of its client's time for which a request is held without an attempt.
const HOLD_SHARE: f64 = 0.5;

/// The deadlines of a request that arrives now, at nodes that need `service_time` ms a unit.
pub(crate) fn deadlines_of(arrival: &Arrival, class: &Class, service_time: Millis, now: Millis) -> Deadlines {
    let stretch = class.objective_stretch * arrival.units * service_time;
    let due_at = now + (class.latency_objective + stretch).min(class.deadline);
    let expires_at = arrival.expires_at;
    Deadlines {
        // A client that leaves before the objective has passed must be answered before it leaves.
        due_at: due_at.min(expires_at),
        hold_until: now + HOLD_SHARE * (expires_at - now),
        expires_at,
    }
}

/// What the end of a held request depends on.
pub(crate) struct ExpiryInputs<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a FleetEstimates,
    pub(crate) nodes: &'a NodeTable,
    pub(crate) quotas: &'a VolumeQuotas,
    /// Whether anything may be sent on the endpoint list that is known.
    pub(crate) endpoints_trusted: bool,
    pub(crate) now: Millis,
}

impl ExpiryInputs<'_> {
    /// Whether a held request gets its final answer now. One never sent gets it while its client can still
    /// ask elsewhere; at once where the endpoint list is too old, and where waiting can't help.
    pub(crate) fn final_answer_is_due(&self, request: &Request) -> bool {
        let latest_at = self.latest_final_answer_at(request);
        request.is_held()
            && (!self.endpoints_trusted
                || self.now >= latest_at
                || request.has_no_attempt() && !self.can_be_sent_by(request, latest_at))
    }

    /// The last moment at which the final answer is sure to reach the client in time.
    fn latest_final_answer_at(&self, request: &Request) -> Millis {
        let margin = EVALUATION_INTERVAL + self.settings.tick + FINAL_ANSWER_MARGIN;
        let deadlines = &request.deadlines;
        let end = if request.has_no_attempt() { deadlines.hold_until } else { deadlines.expires_at };
        end - margin
    }

    /// Whether the volume's limit and the warm-up of the request's node will let it go by then.
    fn can_be_sent_by(&self, request: &Request, at: Millis) -> bool {
        let units = request.arrival.units;
        if !self.quotas.of(request.arrival.volume).limit_allows(units, self.settings, at) {
            return false;
        }
        let node = request.node.and_then(|id| self.nodes.get(id));
        node.is_none_or(|node| node.slow_start_allows(units, self.fleet, self.settings, at))
    }
}

/// Whether a request gets its final answer when one of its attempts ended without serving it: its client has
/// left, or it can't have another attempt. An answer that streams is the client's.
pub(crate) fn is_due_after_attempt(
    request: &Request,
    effect: Effect,
    max_attempts: u32,
    now: Millis,
) -> bool {
    let is_expired = now >= request.deadlines.expires_at;
    let is_spent = request.attempts.len() >= max_attempts as usize;
    let cannot_continue = request.is_held() && (is_spent || !is_retryable(request, effect));
    !request.is_streaming && (is_expired || cannot_continue)
}

/// Guards against telling a client that a retry is harmless when it is not. The final answer of a request
/// that is not served: rejected where its client may be told to retry, else failed.
pub(crate) fn final_answer(
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
