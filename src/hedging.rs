//! Recovers from lost responses: sends a hedged attempt, or cancels the lost attempt so that a retry can
//! follow.
//!
//! Guards against waiting for a lost response until the client times out.

use crate::api::{Action, Effect, Millis, NodeId, RequestId, Settings};
use crate::dispatch::Dispatch;
use crate::estimates::FleetEstimates;
use crate::request::Request;

/// An attempt whose response is presumed lost.
struct LostAttempt {
    request: RequestId,
    node: NodeId,
}

/// Returns whether responses were lost recently and recovery is permitted by the settings.
pub(crate) fn is_enabled(settings: &Settings, fleet: &FleetEstimates, now: Millis) -> bool {
    (may_hedge(settings) || settings.may_cancel) && fleet.losses.are_frequent(now)
}

/// Returns whether a request may have more than one attempt in flight.
pub(crate) fn may_hedge(settings: &Settings) -> bool {
    settings.max_concurrent_attempts > 1
}

/// Probes nodes with an overdue attempt, and hedges or cancels attempts that are presumed lost.
pub(crate) fn recover_lost_attempts(dispatch: &mut Dispatch<'_>) {
    if !is_enabled(dispatch.settings, dispatch.fleet, dispatch.now) {
        return;
    }
    let may_probe = dispatch.settings.may_probe && may_hedge(dispatch.settings);
    let (mut to_probe, mut lost) = (Vec::new(), Vec::new());
    for (id, node) in dispatch.nodes.active() {
        if may_probe && node.is_loss_probe_due(dispatch.fleet, dispatch.now) {
            to_probe.push(id);
        }
        let presumed_lost = node.presumed_lost(dispatch.fleet, dispatch.now);
        lost.extend(presumed_lost.map(|attempt| LostAttempt { request: attempt.request, node: id }));
    }
    to_probe.into_iter().for_each(|node| probe(dispatch, node));
    lost.into_iter().for_each(|attempt| hedge_or_cancel(dispatch, &attempt));
}

fn probe(dispatch: &mut Dispatch<'_>, node: NodeId) {
    let now = dispatch.now;
    dispatch.nodes.update(node, |node| node.record_probe_sent(now));
    dispatch.actions.push(Action::Probe { node });
}

/// Sends a hedged attempt. Where hedging is disabled, cancels the lost attempt so that a retry can follow.
fn hedge_or_cancel(dispatch: &mut Dispatch<'_>, lost: &LostAttempt) {
    let Some(request) = dispatch.requests.get(lost.request) else { return };
    if !can_recover_in_time(dispatch, request, lost.node) {
        return;
    }
    if may_hedge(dispatch.settings) {
        if dispatch.may_send(lost.request, lost.node) {
            dispatch.send(lost.request, lost.node);
        }
    } else if may_be_sent_again(request, dispatch.settings) {
        let cancel = |attempt| Action::Cancel { request: lost.request, attempt };
        dispatch.actions.extend(request.in_flight().map(cancel));
    }
}

/// Returns whether the lost attempt is the only one in flight and another one can still meet the latency
/// objective.
fn can_recover_in_time(dispatch: &Dispatch<'_>, request: &Request, node: NodeId) -> bool {
    let service_time = dispatch.nodes[node].service_time_of(request.arrival.units, dispatch.fleet);
    request.in_flight().count() == 1
        && !request.is_over
        && !request.is_streaming
        && dispatch.now + service_time <= request.deadlines.due_at
}

/// Returns whether a cancelled attempt, which may have been executed, may be followed by another one.
fn may_be_sent_again(request: &Request, settings: &Settings) -> bool {
    let effect = settings.classes[request.arrival.class.0].effect;
    effect == Effect::Idempotent && request.attempts.len() < settings.max_attempts as usize
}
