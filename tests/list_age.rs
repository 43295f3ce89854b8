//! Expiry of the endpoint list: how long the scheduler uses a list, and what it does after that.

mod common;

use common::*;
use flaxstand::api::*;

const TERMS: NotificationTerms =
    NotificationTerms { notified_within: 6000.0, notified_after_move: 4000.0, drain_grace: 1000.0 };
/// Wait time of a long poll in these tests.
const LONG_POLL: Millis = 2000.0;
/// Interval between calls during an outage.
const BETWEEN_CALLS: Millis = 1500.0;
/// An initiator must stop sending at least this long before the last permitted time, because its process may
/// stall.
const MAX_STALL: Millis = 150.0;

fn host() -> Host {
    Host::new(Settings { notification_terms: Some(TERMS), ..settings() }, 2)
}

fn call(host: &mut Host, call: DiscoveryCall) {
    host.handle(Event::DiscoveryCall(call));
    host.handle(Event::Evaluate);
}

/// Runs a long poll that ends without a change.
fn unchanged_call(host: &mut Host) {
    call(host, DiscoveryCall::Started { long_poll: LONG_POLL });
    host.advance(LONG_POLL);
    host.apply_list(ListScope::Changes, Vec::new());
}

/// Runs ten consecutive unanswered calls.
fn outage(host: &mut Host) {
    for _ in 0..10 {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        host.advance(BETWEEN_CALLS);
        call(host, DiscoveryCall::Unanswered);
    }
}

/// Ends the n-th call as given by `result`, with one call every [`BETWEEN_CALLS`].
fn end_calls(result: impl Fn(u32) -> DiscoveryCall) -> impl FnMut(&mut Host, Millis) {
    let (mut last_call_at, mut call_count) = (0.0, 0);
    move |host, elapsed| {
        if elapsed - last_call_at >= BETWEEN_CALLS {
            last_call_at = elapsed;
            call_count += 1;
            call(host, result(call_count));
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
        }
    }
}

/// Returns how long the host continues to send, in steps of 10 ms, if it receives no further list.
fn sending_period(host: &mut Host, mut meanwhile: impl FnMut(&mut Host, Millis)) -> Millis {
    let start = host.now;
    for id in 1000.. {
        host.take_actions();
        host.arrive(arrival(id, Some(0), host.now + 800.0));
        let actions = host.take_actions();
        if is_rejected(&actions, id) {
            return host.now - start;
        }
        let sent = |action: &Action| matches!(action, Action::Send { request, .. } if request.0 == id);
        assert!(actions.iter().any(sent), "request {id} was neither sent nor rejected: {actions:?}");
        host.end_attempt(id, 0, Outcome::Served, 1.0);
        host.advance(10.0);
        meanwhile(host, host.now - start);
        if host.now - start > 60_000.0 {
            return Millis::INFINITY;
        }
    }
    unreachable!()
}

/// Time after the last received list until which a send to a node that has drained since is within the grace
/// period.
const LAST_PERMITTED_SEND: Millis = TERMS.notified_within + TERMS.drain_grace;

#[test]
fn a_list_is_used_until_an_unreceived_change_may_have_taken_effect() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    let duration = sending_period(&mut host, |_, _| {});
    assert!(
        (LAST_PERMITTED_SEND - 500.0..=LAST_PERMITTED_SEND - MAX_STALL).contains(&duration),
        "requests were sent for {duration} ms"
    );
}

#[test]
fn without_notification_terms_a_list_never_expires() {
    let mut host = Host::new(settings(), 2);
    unchanged_call(&mut host);
    assert_eq!(sending_period(&mut host, |_, _| {}), Millis::INFINITY);
}

#[test]
fn immediate_rejections_show_that_the_service_is_reachable() {
    let mut host = host();
    unchanged_call(&mut host);
    let duration = sending_period(&mut host, |host, _| {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        call(host, DiscoveryCall::Rejected { elapsed: 5.0 });
    });
    assert!(duration <= LAST_PERMITTED_SEND - MAX_STALL, "requests were sent for {duration} ms");
}

#[test]
fn an_outage_of_the_discovery_service_does_not_stop_sends() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    let duration = sending_period(&mut host, end_calls(|_| DiscoveryCall::Unanswered));
    assert_eq!(duration, Millis::INFINITY);
}

/// A proxy in front of a service that is down may let calls wait and reject them late, and some by chance
/// immediately.
#[test]
fn late_rejections_count_as_an_outage() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    let late = |call| DiscoveryCall::Rejected { elapsed: if call % 8 == 7 { 20.0 } else { 600.0 } };
    let duration = sending_period(&mut host, end_calls(late));
    assert_eq!(duration, Millis::INFINITY);
}

#[test]
fn after_an_outage_changes_take_effect_as_before() {
    let mut host = host();
    unchanged_call(&mut host);
    outage(&mut host);
    // The service may have recovered right after the last call was sent.
    let duration = sending_period(&mut host, |host, _| {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        call(host, DiscoveryCall::Rejected { elapsed: 5.0 });
    });
    assert!(duration <= LAST_PERMITTED_SEND - 1500.0 - MAX_STALL, "requests were sent for {duration} ms");
}

#[test]
fn one_lost_call_at_an_overloaded_service_is_not_a_second_outage() {
    let mut host = host();
    unchanged_call(&mut host);
    outage(&mut host);
    // The service has recovered and is overloaded: it rejects every other call immediately and drops the
    // others.
    let overloaded = |call| match call % 2 {
        1 => DiscoveryCall::Rejected { elapsed: 5.0 },
        _ => DiscoveryCall::Unanswered,
    };
    let duration = sending_period(&mut host, end_calls(overloaded));
    assert!(duration <= LAST_PERMITTED_SEND - 1500.0 - MAX_STALL, "requests were sent for {duration} ms");
}

#[test]
fn an_unanswered_watch_and_a_lost_call_are_not_an_outage() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    let mut lost_calls = 0;
    let duration = sending_period(&mut host, |host, elapsed| {
        let due_times = [3000.0, 4200.0];
        if due_times.get(lost_calls).is_some_and(|due_at| elapsed >= *due_at) {
            lost_calls += 1;
            call(host, DiscoveryCall::Unanswered);
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
        }
    });
    assert_eq!(lost_calls, 2);
    assert!(duration <= LAST_PERMITTED_SEND - MAX_STALL, "requests were sent for {duration} ms");
}

#[test]
fn a_response_takes_effect_from_its_first_byte() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    host.advance(100.0);
    call(&mut host, DiscoveryCall::ResponseBegan);
    let duration = sending_period(&mut host, |_, _| {});
    assert!(
        (500.0..=TERMS.drain_grace - MAX_STALL).contains(&duration),
        "requests were sent for {duration} ms"
    );
    // Once the rest of the response arrives, requests are sent again immediately.
    host.apply_list(ListScope::Changes, vec![entry(1, Readiness::Draining, None)]);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    assert_eq!(host.take_sends(), [(1, 0)]);
}

#[test]
fn an_abandoned_response_stays_in_effect_until_the_list_is_received() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    call(&mut host, DiscoveryCall::ResponseBegan);
    call(&mut host, DiscoveryCall::Abandoned);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    call(&mut host, DiscoveryCall::Rejected { elapsed: 5.0 });
    let duration = sending_period(&mut host, |_, _| {});
    assert!(duration <= TERMS.drain_grace - MAX_STALL, "requests were sent for {duration} ms");
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.apply_list(ListScope::Changes, Vec::new());
    assert!(sending_period(&mut host, |_, _| {}) > TERMS.drain_grace);
}

/// An outage may begin while a response is being received.
#[test]
fn an_interrupted_response_does_not_take_effect() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    call(&mut host, DiscoveryCall::ResponseBegan);
    call(&mut host, DiscoveryCall::Unanswered);
    assert!(sending_period(&mut host, |_, _| {}) > 2.0 * TERMS.drain_grace);
}

#[test]
fn the_age_of_a_slow_response_counts_from_its_request() {
    let mut host = host();
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.advance(1500.0);
    host.apply_list(ListScope::Changes, Vec::new());
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    let duration = sending_period(&mut host, |_, _| {});
    assert!(duration <= LAST_PERMITTED_SEND - 1500.0 - MAX_STALL, "requests were sent for {duration} ms");
}

#[test]
fn a_moved_service_must_be_reached_at_its_new_address_before_its_list_takes_effect() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::ServiceMoved);
    let last_permitted_send = TERMS.notified_after_move + TERMS.drain_grace;
    // A response from before the move does not extend the period.
    let duration = sending_period(&mut host, |host, elapsed| {
        if elapsed < 3000.0 {
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
            host.apply_list(ListScope::Changes, Vec::new());
        }
    });
    assert!(
        (last_permitted_send - 500.0..=last_permitted_send - MAX_STALL).contains(&duration),
        "requests were sent for {duration} ms"
    );
}

#[test]
fn a_service_that_moved_twice_must_be_reached_after_the_first_move_too() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::ServiceMoved);
    let last_permitted_send = TERMS.notified_after_move + TERMS.drain_grace;
    let mut moved = false;
    let duration = sending_period(&mut host, |host, elapsed| {
        if elapsed >= 2000.0 && !moved {
            moved = true;
            call(host, DiscoveryCall::ServiceMoved);
        }
        if elapsed < 3000.0 {
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
            host.apply_list(ListScope::Changes, Vec::new());
        }
    });
    assert!(moved && duration <= last_permitted_send - MAX_STALL, "requests were sent for {duration} ms");
    // A list received after both moves is sufficient.
    host.advance(3000.0);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.apply_list(ListScope::Changes, Vec::new());
    let duration = sending_period(&mut host, |_, _| {});
    assert!(
        (LAST_PERMITTED_SEND - 500.0..=LAST_PERMITTED_SEND - MAX_STALL).contains(&duration),
        "requests were sent for {duration} ms"
    );
}

#[test]
fn held_requests_are_rejected_with_retry_after_when_the_list_expires() {
    let mut host = host();
    unchanged_call(&mut host);
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    call(&mut host, DiscoveryCall::Started { long_poll: LONG_POLL });
    host.advance(LAST_PERMITTED_SEND - 900.0);
    host.take_actions();
    // The request is held, because no serving node holds its shard.
    host.arrive(arrival(1, Some(0), host.now + 20_000.0));
    assert_eq!(host.take_actions(), []);
    host.advance(900.0);
    let retry_after = settings().max_retry_after;
    assert_eq!(host.take_actions(), [Action::Reject { request: RequestId(1), retry_after }]);
}
