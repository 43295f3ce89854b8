//! For how long the scheduler acts on the endpoint list that it has, and what it does when that is over.

mod common;

use common::*;
use flaxstand::api::*;

const TERMS: NotificationTerms =
    NotificationTerms { notified_within: 6000.0, notified_after_move: 4000.0, drain_grace: 1000.0 };
/// How long a long poll waits in these tests.
const WAIT: Millis = 2000.0;
/// Time from one call to the next in an outage.
const BETWEEN_CALLS: Millis = 1500.0;
/// An initiator has to stop at least this long before the last moment: its process may stall.
const MAX_STALL: Millis = 150.0;

fn host() -> Host {
    Host::new(Settings { notification_terms: Some(TERMS), ..settings() }, 2)
}

fn call(host: &mut Host, call: DiscoveryCall) {
    host.handle(Event::DiscoveryCall(call));
    host.handle(Event::Evaluate);
}

/// A long poll is answered when its wait ends: nothing has changed.
fn unchanged_call(host: &mut Host) {
    call(host, DiscoveryCall::Started { long_poll: WAIT });
    host.advance(WAIT);
    host.apply_list(ListScope::Changes, Vec::new());
}

/// Ten unanswered calls in a row.
fn outage(host: &mut Host) {
    for _ in 0..10 {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        host.advance(BETWEEN_CALLS);
        call(host, DiscoveryCall::Unanswered);
    }
}

/// What becomes of the n-th call, where one is made each [`BETWEEN_CALLS`].
fn calls_end(how: impl Fn(u32) -> DiscoveryCall) -> impl FnMut(&mut Host, Millis) {
    let (mut made, mut calls) = (0.0, 0);
    move |host, passed| {
        if passed - made >= BETWEEN_CALLS {
            made = passed;
            calls += 1;
            call(host, how(calls));
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
        }
    }
}

/// For how long the host goes on sending from now on, if it receives nothing else, in steps of 10 ms.
fn sends_for(host: &mut Host, mut meanwhile: impl FnMut(&mut Host, Millis)) -> Millis {
    let start = host.now;
    for id in 1000.. {
        host.take_actions();
        host.arrive(arrival(id, Some(0), host.now + 800.0));
        let did = host.take_actions();
        if is_rejected(&did, id) {
            return host.now - start;
        }
        let sent = |action: &Action| matches!(action, Action::Send { request, .. } if request.0 == id);
        assert!(did.iter().any(sent), "{did:?}");
        host.end_attempt(id, 0, Outcome::Served, 1.0);
        host.advance(10.0);
        meanwhile(host, host.now - start);
        if host.now - start > 60_000.0 {
            return Millis::INFINITY;
        }
    }
    unreachable!()
}

/// The last moment, counted from when the list was last received, at which a send to a node that has drained
/// since is within the grace.
const LAST: Millis = TERMS.notified_within + TERMS.drain_grace;

#[test]
fn a_list_is_acted_on_until_a_change_that_was_not_received_binds() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    let sends = sends_for(&mut host, |_, _| {});
    assert!((LAST - 500.0..=LAST - MAX_STALL).contains(&sends), "{sends}");
}

#[test]
fn where_no_terms_are_stated_no_list_is_too_old() {
    let mut host = Host::new(settings(), 2);
    unchanged_call(&mut host);
    assert_eq!(sends_for(&mut host, |_, _| {}), Millis::INFINITY);
}

#[test]
fn immediate_rejections_show_a_service_that_can_be_reached() {
    let mut host = host();
    unchanged_call(&mut host);
    let sends = sends_for(&mut host, |host, _| {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        call(host, DiscoveryCall::Rejected { elapsed: 5.0 });
    });
    assert!(sends <= LAST - MAX_STALL, "{sends}");
}

#[test]
fn an_outage_of_the_discovery_service_stops_no_sends() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    let sends = sends_for(&mut host, calls_end(|_| DiscoveryCall::Unanswered));
    assert_eq!(sends, Millis::INFINITY);
}

/// In front of a service that is down, calls may wait and be rejected late, and some by chance at once.
#[test]
fn late_rejections_count_as_an_outage() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    let late = |call| DiscoveryCall::Rejected { elapsed: if call % 8 == 7 { 20.0 } else { 600.0 } };
    let sends = sends_for(&mut host, calls_end(late));
    assert_eq!(sends, Millis::INFINITY);
}

#[test]
fn after_an_outage_changes_bind_as_before() {
    let mut host = host();
    unchanged_call(&mut host);
    outage(&mut host);
    // It may have come back right after the last call was made.
    let sends = sends_for(&mut host, |host, _| {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        call(host, DiscoveryCall::Rejected { elapsed: 5.0 });
    });
    assert!(sends <= LAST - 1500.0 - MAX_STALL, "{sends}");
}

#[test]
fn one_lost_call_at_an_overloaded_service_is_no_second_outage() {
    let mut host = host();
    unchanged_call(&mut host);
    outage(&mut host);
    // The service is back and overloaded: one call in two is rejected at once, the others are lost.
    let crowded = |call| match call % 2 {
        1 => DiscoveryCall::Rejected { elapsed: 5.0 },
        _ => DiscoveryCall::Unanswered,
    };
    let sends = sends_for(&mut host, calls_end(crowded));
    assert!(sends <= LAST - 1500.0 - MAX_STALL, "{sends}");
}

#[test]
fn an_unanswered_watch_and_a_lost_call_are_no_outage() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    let mut lost = 0;
    let sends = sends_for(&mut host, |host, passed| {
        let due = [3000.0, 4200.0];
        if due.get(lost).is_some_and(|due| passed >= *due) {
            lost += 1;
            call(host, DiscoveryCall::Unanswered);
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
        }
    });
    assert_eq!(lost, 2);
    assert!(sends <= LAST - MAX_STALL, "{sends}");
}

#[test]
fn a_response_binds_from_its_first_byte_on() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    host.advance(100.0);
    call(&mut host, DiscoveryCall::ResponseBegan);
    let sends = sends_for(&mut host, |_, _| {});
    assert!((500.0..=TERMS.drain_grace - MAX_STALL).contains(&sends), "{sends}");
    // The rest of it comes: service goes on at once.
    host.apply_list(ListScope::Changes, vec![entry(1, Readiness::Draining, None)]);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    assert_eq!(host.take_sends(), [(1, 0)]);
}

#[test]
fn an_abandoned_response_binds_until_the_list_is_received() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    call(&mut host, DiscoveryCall::ResponseBegan);
    call(&mut host, DiscoveryCall::Abandoned);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    call(&mut host, DiscoveryCall::Rejected { elapsed: 5.0 });
    let sends = sends_for(&mut host, |_, _| {});
    assert!(sends <= TERMS.drain_grace - MAX_STALL, "{sends}");
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.apply_list(ListScope::Changes, Vec::new());
    assert!(sends_for(&mut host, |_, _| {}) > TERMS.drain_grace);
}

/// An outage may begin within an answer.
#[test]
fn a_response_that_broke_off_does_not_bind() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    call(&mut host, DiscoveryCall::ResponseBegan);
    call(&mut host, DiscoveryCall::Unanswered);
    assert!(sends_for(&mut host, |_, _| {}) > 2.0 * TERMS.drain_grace);
}

#[test]
fn a_slow_response_counts_from_when_it_was_requested() {
    let mut host = host();
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.advance(1500.0);
    host.apply_list(ListScope::Changes, Vec::new());
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    let sends = sends_for(&mut host, |_, _| {});
    assert!(sends <= LAST - 1500.0 - MAX_STALL, "{sends}");
}

#[test]
fn a_service_that_moved_must_be_reached_there_before_its_list_binds() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::ServiceMoved);
    let last = TERMS.notified_after_move + TERMS.drain_grace;
    // An answer from before that moment does not hold beyond it.
    let sends = sends_for(&mut host, |host, passed| {
        if passed < 3000.0 {
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
            host.apply_list(ListScope::Changes, Vec::new());
        }
    });
    assert!((last - 500.0..=last - MAX_STALL).contains(&sends), "{sends}");
}

#[test]
fn a_service_that_moved_twice_must_be_reached_after_the_first_move_too() {
    let mut host = host();
    unchanged_call(&mut host);
    call(&mut host, DiscoveryCall::ServiceMoved);
    let last = TERMS.notified_after_move + TERMS.drain_grace;
    let mut moved = false;
    let sends = sends_for(&mut host, |host, passed| {
        if passed >= 2000.0 && !moved {
            moved = true;
            call(host, DiscoveryCall::ServiceMoved);
        }
        if passed < 3000.0 {
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
            host.apply_list(ListScope::Changes, Vec::new());
        }
    });
    assert!(moved && sends <= last - MAX_STALL, "{sends}");
    // The list is received after both: nothing more is needed.
    host.advance(3000.0);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.apply_list(ListScope::Changes, Vec::new());
    let sends = sends_for(&mut host, |_, _| {});
    assert!((LAST - 500.0..=LAST - MAX_STALL).contains(&sends), "{sends}");
}

#[test]
fn held_requests_are_rejected_with_retry_after_when_the_list_becomes_too_old() {
    let mut host = host();
    unchanged_call(&mut host);
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    host.advance(LAST - 900.0);
    host.take_actions();
    // Its shard has no serving node: it is held.
    host.arrive(arrival(1, Some(0), host.now + 20_000.0));
    assert_eq!(host.take_actions(), []);
    host.advance(900.0);
    let advice = settings().max_retry_after;
    assert_eq!(host.take_actions(), [Action::Reject { request: RequestId(1), retry_after: advice }]);
}
