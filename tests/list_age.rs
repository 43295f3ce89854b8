//! For how long the module acts on the list of nodes that it holds, and what it does when that is over.

mod common;

use common::*;
use flaxstand::api::*;

const TERMS: NotificationTerms =
    NotificationTerms { notified_within: 6000.0, notified_after_move: 4000.0, drain_grace: 1000.0 };
/// The longest wait of a call in these tests.
const WAIT: Millis = 2000.0;
/// Time from one call to the next in an outage.
const BETWEEN_CALLS: Millis = 1500.0;
/// A host has to stop so long before the last moment at the least: a turn may be held up.
const HELD_UP: Millis = 150.0;

fn host() -> Host {
    Host::new(Settings { notification_terms: Some(TERMS), ..settings() }, 2)
}

fn call(host: &mut Host, call: DiscoveryCall) {
    host.tell(Event::DiscoveryCall(call));
    host.tell(Event::Evaluate);
}

/// A call that waits is answered when its wait ends: nothing has changed.
fn quiet_call(host: &mut Host) {
    call(host, DiscoveryCall::Started { long_poll: WAIT });
    host.pass(WAIT);
    host.list(ListScope::Changes, Vec::new());
}

/// Ten calls in a row, each of them silent for the time between two calls.
fn outage(host: &mut Host) {
    for _ in 0..10 {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        host.pass(BETWEEN_CALLS);
        call(host, DiscoveryCall::Unanswered);
    }
}

/// What becomes of the n-th call that a host makes, where it makes one each [`BETWEEN_CALLS`].
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

/// For how long the host goes on sending from now on, if it hears nothing else, in steps of 10 ms.
fn sends_for(host: &mut Host, mut meanwhile: impl FnMut(&mut Host, Millis)) -> Millis {
    let start = host.now;
    for id in 1000.. {
        host.take();
        host.arrive(arrival(id, Some(0), host.now + 800.0));
        let did = host.take();
        if refused(&did, id) {
            return host.now - start;
        }
        let sent = |action: &Action| matches!(action, Action::Send { request, .. } if request.0 == id);
        assert!(did.iter().any(sent), "{did:?}");
        host.end(id, 0, Outcome::Served, 1.0);
        host.pass(10.0);
        meanwhile(host, host.now - start);
        if host.now - start > 60_000.0 {
            return Millis::INFINITY;
        }
    }
    unreachable!()
}

/// The last moment, counted from when the service last told the list, at which a send to a node that has drained
/// since is within the grace.
const LAST: Millis = TERMS.notified_within + TERMS.drain_grace;

#[test]
fn a_list_is_acted_on_until_a_change_that_was_not_heard_binds() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    let sends = sends_for(&mut host, |_, _| {});
    assert!((LAST - 500.0..=LAST - HELD_UP).contains(&sends), "{sends}");
}

#[test]
fn where_no_terms_are_stated_no_list_is_too_old() {
    let mut host = Host::new(settings(), 2);
    quiet_call(&mut host);
    assert_eq!(sends_for(&mut host, |_, _| {}), Millis::INFINITY);
}

#[test]
fn calls_that_are_turned_away_show_a_service_that_can_be_reached() {
    let mut host = host();
    quiet_call(&mut host);
    let sends = sends_for(&mut host, |host, _| {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        call(host, DiscoveryCall::Rejected { elapsed: 5.0 });
    });
    assert!(sends <= LAST - HELD_UP, "{sends}");
}

#[test]
fn an_outage_of_the_list_service_stops_no_sends() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    let sends = sends_for(&mut host, calls_end(|_| DiscoveryCall::Unanswered));
    assert_eq!(sends, Millis::INFINITY);
}

/// Before a service that is down, calls may wait and be turned away late, and some of them by chance at once.
#[test]
fn calls_that_are_turned_away_late_are_an_outage_too() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    let late = |call| DiscoveryCall::Rejected { elapsed: if call % 8 == 7 { 20.0 } else { 600.0 } };
    let sends = sends_for(&mut host, calls_end(late));
    assert_eq!(sends, Millis::INFINITY);
}

#[test]
fn after_an_outage_changes_bind_as_ever() {
    let mut host = host();
    quiet_call(&mut host);
    outage(&mut host);
    // It may have come back right after the last call was made.
    let sends = sends_for(&mut host, |host, _| {
        call(host, DiscoveryCall::Started { long_poll: 0.0 });
        call(host, DiscoveryCall::Rejected { elapsed: 5.0 });
    });
    assert!(sends <= LAST - 1500.0 - HELD_UP, "{sends}");
}

#[test]
fn a_call_that_is_lost_before_a_crowded_service_is_no_outage_again() {
    let mut host = host();
    quiet_call(&mut host);
    outage(&mut host);
    // The service is back, and crowded: one call in two is turned away at once, the others are lost.
    let crowded = |call| match call % 2 {
        1 => DiscoveryCall::Rejected { elapsed: 5.0 },
        _ => DiscoveryCall::Unanswered,
    };
    let sends = sends_for(&mut host, calls_end(crowded));
    assert!(sends <= LAST - 1500.0 - HELD_UP, "{sends}");
}

#[test]
fn a_silent_watch_and_a_lost_call_are_no_outage() {
    let mut host = host();
    quiet_call(&mut host);
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
    assert!(sends <= LAST - HELD_UP, "{sends}");
}

#[test]
fn what_an_answer_tells_binds_from_its_first_byte_on() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    host.pass(100.0);
    call(&mut host, DiscoveryCall::ResponseBegan);
    let sends = sends_for(&mut host, |_, _| {});
    assert!((500.0..=TERMS.drain_grace - HELD_UP).contains(&sends), "{sends}");
    // The rest of it comes: service goes on at once.
    host.list(ListScope::Changes, vec![entry(1, Readiness::Draining, None)]);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    assert_eq!(host.sends(), [(1, 0)]);
}

#[test]
fn an_answer_that_was_given_up_binds_until_the_list_is_heard() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    call(&mut host, DiscoveryCall::ResponseBegan);
    call(&mut host, DiscoveryCall::Abandoned);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    call(&mut host, DiscoveryCall::Rejected { elapsed: 5.0 });
    let sends = sends_for(&mut host, |_, _| {});
    assert!(sends <= TERMS.drain_grace - HELD_UP, "{sends}");
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.list(ListScope::Changes, Vec::new());
    assert!(sends_for(&mut host, |_, _| {}) > TERMS.drain_grace);
}

/// An outage may begin within an answer.
#[test]
fn an_answer_that_broke_off_binds_no_more() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    call(&mut host, DiscoveryCall::ResponseBegan);
    call(&mut host, DiscoveryCall::Unanswered);
    assert!(sends_for(&mut host, |_, _| {}) > 2.0 * TERMS.drain_grace);
}

#[test]
fn an_answer_that_was_long_on_its_way_tells_what_was_so_when_it_was_asked_for() {
    let mut host = host();
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.pass(1500.0);
    host.list(ListScope::Changes, Vec::new());
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    let sends = sends_for(&mut host, |_, _| {});
    assert!(sends <= LAST - 1500.0 - HELD_UP, "{sends}");
}

#[test]
fn a_service_that_moves_is_heard_there_before_what_it_has_binds() {
    let mut host = host();
    quiet_call(&mut host);
    call(&mut host, DiscoveryCall::ServiceMoved);
    let last = TERMS.notified_after_move + TERMS.drain_grace;
    // An answer from before that moment does not hold beyond it.
    let sends = sends_for(&mut host, |host, passed| {
        if passed < 3000.0 {
            call(host, DiscoveryCall::Started { long_poll: 0.0 });
            host.list(ListScope::Changes, Vec::new());
        }
    });
    assert!((last - 500.0..=last - HELD_UP).contains(&sends), "{sends}");
}

#[test]
fn a_service_that_moves_twice_has_to_be_heard_after_the_first_move_too() {
    let mut host = host();
    quiet_call(&mut host);
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
            host.list(ListScope::Changes, Vec::new());
        }
    });
    assert!(moved && sends <= last - HELD_UP, "{sends}");
    // It is heard after both: nothing more is asked for.
    host.pass(3000.0);
    call(&mut host, DiscoveryCall::Started { long_poll: 0.0 });
    host.list(ListScope::Changes, Vec::new());
    let sends = sends_for(&mut host, |_, _| {});
    assert!((LAST - 500.0..=LAST - HELD_UP).contains(&sends), "{sends}");
}

#[test]
fn what_is_held_when_the_list_becomes_too_old_is_refused_with_when_to_come_back() {
    let mut host = host();
    quiet_call(&mut host);
    host.list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    call(&mut host, DiscoveryCall::Started { long_poll: WAIT });
    host.pass(LAST - 900.0);
    host.take();
    // Its shard has no node that takes work: it is held.
    host.arrive(arrival(1, Some(0), host.now + 20_000.0));
    assert_eq!(host.take(), []);
    host.pass(900.0);
    let advice = settings().max_retry_after;
    assert_eq!(host.take(), [Action::Reject { request: RequestId(1), retry_after: advice }]);
}
