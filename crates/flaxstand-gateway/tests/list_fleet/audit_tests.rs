//! Tests of the audit: it reports a late request, and a host counts as notified for each of the reasons.

use super::audit::{Audit, Change, Notified, Reason};
use super::day::seconds;
use super::list_service::{FIRST_REVISION, TargetId};
use flaxstand_gateway::machine::Micros;

const HOST: usize = 0;
const TARGET: TargetId = TargetId(7);
const CHANGED: Change = Change { at: Micros(20_000_000), revision: FIRST_REVISION + 1 };

/// An audit of one host that started at second 10 and opened its watch at second 19.
fn audit() -> Audit {
    let mut audit = Audit::new(1, seconds(1.0), seconds(10.0));
    audit.host_started(HOST, FIRST_REVISION, seconds(10.0));
    audit.call_started(HOST, seconds(19.0));
    audit
}

fn notified(audit: &Audit) -> Option<(f64, Reason)> {
    audit.notified(HOST, CHANGED).map(|Notified { at, reason }| (at.ms() / 1000.0, reason))
}

#[test]
fn late_requests_are_reported_and_others_are_not() {
    let mut audit = audit();
    audit.target_withdrawn(TARGET, CHANGED.revision, CHANGED.at);
    audit.response_started(HOST, CHANGED.revision, seconds(20.5));
    audit.request_sent(HOST, TargetId(8), seconds(30.0));
    audit.request_sent(HOST, TARGET, seconds(21.55));
    assert!(audit.violations().is_empty());
    audit.request_sent(HOST, TARGET, seconds(21.551));
    let [late] = audit.violations() else {
        panic!("expected one violation, found {}", audit.violations().len())
    };
    assert_eq!((late.host, late.target, late.sent), (HOST, TARGET, seconds(21.551)));
    audit.target_in_service(TARGET);
    audit.request_sent(HOST, TARGET, seconds(30.0));
    assert_eq!((audit.violations().len(), audit.requests_sent()), (1, 4));
}

#[test]
fn a_host_is_notified_when_the_response_with_the_change_starts() {
    let mut audit = audit();
    audit.response_started(HOST, FIRST_REVISION, seconds(20.2));
    audit.response_started(HOST, CHANGED.revision + 3, seconds(20.7));
    audit.response_completed(HOST, seconds(21.4));
    assert_eq!(notified(&audit), Some((20.7, Reason::ResponseStarted { completed_at: Some(seconds(21.4)) })));
}

#[test]
fn an_aborted_response_does_not_notify_the_host() {
    let mut audit = audit();
    audit.response_started(HOST, CHANGED.revision, seconds(20.7));
    audit.response_aborted(HOST);
    assert_eq!(notified(&audit), Some((26.0, Reason::ServiceReachable)));
}

#[test]
fn a_host_is_notified_after_6_s_of_a_reachable_service() {
    assert_eq!(notified(&audit()), Some((26.0, Reason::ServiceReachable)));
    // An outage that ends before the change has no effect; after one that overlaps, the 6 s count from its
    // end.
    let mut audit = audit();
    audit.outage_begins(seconds(17.0));
    audit.outage_ends(seconds(19.5));
    assert_eq!(notified(&audit), Some((26.0, Reason::ServiceReachable)));
    audit.outage_begins(seconds(25.0));
    assert_eq!(notified(&audit), None, "no host is notified while the service is down");
    audit.outage_ends(seconds(31.0));
    assert_eq!(notified(&audit), Some((37.0, Reason::ServiceReachable)));
}

#[test]
fn a_host_is_notified_6_s_after_its_watch_went_silent() {
    let mut missed = audit();
    missed.call_went_silent(HOST, seconds(21.5), seconds(19.0));
    assert_eq!(notified(&missed), Some((25.0, Reason::SilentWatch)));
    // Or 2 s after the end of its long poll, if that is later.
    let mut waiting = audit();
    waiting.call_went_silent(HOST, seconds(23.5), seconds(19.0));
    assert_eq!(notified(&waiting), Some((25.5, Reason::SilentWatch)));
    // A watch that was closed before the change did not miss it.
    let mut closed = audit();
    closed.call_went_silent(HOST, seconds(18.0), seconds(17.0));
    closed.silent_call_closed(HOST, seconds(19.0));
    assert_eq!(notified(&closed), Some((26.0, Reason::ServiceReachable)));
}

#[test]
fn a_host_is_notified_4_s_after_a_reload() {
    for reload in [18.0, 21.0] {
        let mut audit = audit();
        audit.reloaded(HOST, seconds(reload));
        assert_eq!(notified(&audit), Some((reload + 4.0, Reason::Reload)));
    }
    let mut audit = audit();
    audit.reloaded(HOST, seconds(18.0));
    audit.outage_begins(seconds(21.0));
    audit.outage_ends(seconds(21.5));
    assert_eq!(
        notified(&audit),
        Some((27.5, Reason::ServiceReachable)),
        "the service was not reachable for 4 s after the reload"
    );
}

#[test]
fn a_host_without_a_call_is_notified_after_the_poll_interval() {
    // A poll interval of 3 s is shorter than the bound of 6 s that holds for any reachable service.
    let mut audit = Audit::new(1, seconds(1.0), seconds(3.0));
    audit.host_started(HOST, FIRST_REVISION, seconds(10.0));
    audit.call_started(HOST, seconds(19.0));
    assert_eq!(notified(&audit), Some((26.0, Reason::ServiceReachable)), "a call is in flight");
    audit.call_ended(HOST, true);
    assert_eq!(notified(&audit), Some((23.0, Reason::NoCall)));
    audit.call_started(HOST, seconds(22.0));
    audit.call_ended(HOST, true);
    assert_eq!(notified(&audit), Some((25.0, Reason::NoCall)), "the interval counts from the last call");
    audit.call_started(HOST, seconds(22.0));
    audit.call_ended(HOST, false);
    assert_eq!(
        notified(&audit),
        Some((26.0, Reason::ServiceReachable)),
        "the interval is longer after a failed call"
    );
}

#[test]
fn a_restarted_host_is_notified_of_the_list_it_started_with() {
    let mut audit = audit();
    audit.response_started(HOST, CHANGED.revision, seconds(20.5));
    audit.host_started(HOST, FIRST_REVISION, seconds(22.0));
    assert_eq!(notified(&audit), Some((28.0, Reason::ServiceReachable)));
    audit.host_started(HOST, CHANGED.revision, seconds(22.0));
    assert_eq!(notified(&audit), Some((22.0, Reason::KnownAtStart)));
}
