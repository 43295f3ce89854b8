//! The judge itself: a late send that was planted is caught, and a change counts as told for each of the reasons.

use super::audit::{Audit, Change, Reason, Told};
use super::day::seconds;
use super::list_service::{FIRST_REVISION, TargetId};
use flaxstand_gateway::machine::Micros;

const HOST: usize = 0;
const TARGET: TargetId = TargetId(7);
const CHANGED: Change = Change { at: Micros(20_000_000), revision: FIRST_REVISION + 1 };

/// A host that started at second 10 and whose watch is open since second 19.
fn audit() -> Audit {
    let mut audit = Audit::new(1, seconds(1.0), seconds(10.0));
    audit.host_starts(HOST, FIRST_REVISION, seconds(10.0));
    audit.called(HOST, seconds(19.0));
    audit
}

fn told(audit: &Audit) -> Option<(f64, Reason)> {
    audit.told(HOST, CHANGED).map(|Told { at, why }| (at.ms() / 1000.0, why))
}

#[test]
fn a_late_send_is_caught_and_others_are_not() {
    let mut audit = audit();
    audit.target_closes(TARGET, CHANGED.revision, CHANGED.at);
    audit.writing(HOST, CHANGED.revision, seconds(20.5));
    audit.sent(HOST, TargetId(8), seconds(30.0));
    audit.sent(HOST, TARGET, seconds(21.55));
    assert!(audit.breaks().is_empty());
    audit.sent(HOST, TARGET, seconds(21.551));
    let [broken] = audit.breaks() else { panic!("one break") };
    assert_eq!((broken.host, broken.target, broken.sent), (HOST, TARGET, seconds(21.551)));
    audit.target_opens(TARGET);
    audit.sent(HOST, TARGET, seconds(30.0));
    assert_eq!((audit.breaks().len(), audit.sends()), (1, 4));
}

#[test]
fn a_change_is_told_when_the_answer_that_holds_it_begins() {
    let mut audit = audit();
    audit.writing(HOST, FIRST_REVISION, seconds(20.2));
    audit.writing(HOST, CHANGED.revision + 3, seconds(20.7));
    audit.written(HOST, seconds(21.4));
    assert_eq!(told(&audit), Some((20.7, Reason::Written { whole_at: Some(seconds(21.4)) })));
}

#[test]
fn a_change_is_told_6_s_after_a_service_had_it_that_could_be_reached() {
    assert_eq!(told(&audit()), Some((26.0, Reason::Reachable)));
    // An outage that ends before the change does not matter; of one that overlaps, the return counts.
    let mut audit = audit();
    audit.outage_begins(seconds(17.0));
    audit.outage_ends(seconds(19.5));
    assert_eq!(told(&audit), Some((26.0, Reason::Reachable)));
    audit.outage_begins(seconds(25.0));
    assert_eq!(told(&audit), None, "nothing is told while the service is down");
    audit.outage_ends(seconds(31.0));
    assert_eq!(told(&audit), Some((37.0, Reason::Reachable)));
}

#[test]
fn a_change_that_a_silent_watch_missed_is_told_6_s_after_it_fell_silent() {
    let mut missed = audit();
    missed.call_fell_silent(HOST, seconds(21.5), seconds(19.0));
    assert_eq!(told(&missed), Some((25.0, Reason::SilentWatch)));
    // Or 2 s after its wait, where that is later.
    let mut waiting = audit();
    waiting.call_fell_silent(HOST, seconds(23.5), seconds(19.0));
    assert_eq!(told(&waiting), Some((25.5, Reason::SilentWatch)));
    // One that was given up before the change did not miss it.
    let mut given_up = audit();
    given_up.call_fell_silent(HOST, seconds(18.0), seconds(17.0));
    given_up.silent_call_closed(HOST, seconds(19.0));
    assert_eq!(told(&given_up), Some((26.0, Reason::Reachable)));
}

#[test]
fn a_change_is_told_4_s_after_a_reload() {
    for reload in [18.0, 21.0] {
        let mut audit = audit();
        audit.reloaded(HOST, seconds(reload));
        assert_eq!(told(&audit), Some((reload + 4.0, Reason::Reload)));
    }
    let mut audit = audit();
    audit.reloaded(HOST, seconds(18.0));
    audit.outage_begins(seconds(21.0));
    audit.outage_ends(seconds(21.5));
    assert_eq!(told(&audit), Some((27.5, Reason::Reachable)), "it could not be reached all the time");
}

#[test]
fn a_host_without_a_call_is_held_to_its_list_for_the_time_of_asking() {
    // The general bound is the earlier one; with a shorter time of asking it is not.
    let mut audit = Audit::new(1, seconds(1.0), seconds(3.0));
    audit.host_starts(HOST, FIRST_REVISION, seconds(10.0));
    audit.called(HOST, seconds(19.0));
    assert_eq!(told(&audit), Some((26.0, Reason::Reachable)), "a call is out");
    audit.call_ended(HOST, true);
    assert_eq!(told(&audit), Some((23.0, Reason::NoCall)));
    audit.called(HOST, seconds(22.0));
    audit.call_ended(HOST, true);
    assert_eq!(told(&audit), Some((25.0, Reason::NoCall)), "from its last call on");
    audit.called(HOST, seconds(22.0));
    audit.call_ended(HOST, false);
    assert_eq!(told(&audit), Some((26.0, Reason::Reachable)), "longer after a call that failed");
}

#[test]
fn a_new_process_is_held_to_the_list_that_it_started_with() {
    let mut audit = audit();
    audit.writing(HOST, CHANGED.revision, seconds(20.5));
    audit.host_starts(HOST, FIRST_REVISION, seconds(22.0));
    assert_eq!(told(&audit), Some((28.0, Reason::Reachable)));
    audit.host_starts(HOST, CHANGED.revision, seconds(22.0));
    assert_eq!(told(&audit), Some((22.0, Reason::Known)));
}
