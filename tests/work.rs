//! Work per event grows with the number of nodes in use, not with the number of listed nodes. Work is
//! measured in node visits, which the scheduler counts.

mod common;

use common::*;
use flaxstand::api::*;

/// Number of nodes that get requests; the others are only listed.
const IN_USE: u32 = 100;
/// Numbers of listed nodes: hardly more than are in use, and as many as a large site lists.
const FEW: u32 = IN_USE + 1;
const MANY: u32 = 25_000;

/// Settings with a single initiator, so that its share of a node does not depend on the number of listed
/// nodes.
fn single_initiator_settings() -> Settings {
    Settings { initiators: 1, max_concurrent_attempts: 2, may_probe: true, ..settings() }
}

/// A host with [`IN_USE`] nodes in use and the others idle.
struct Fleet {
    host: Host,
    next_id: u64,
}

impl Fleet {
    fn new(listed: u32) -> Self {
        let mut fleet = Fleet { host: Host::new(single_initiator_settings(), listed), next_id: 0 };
        fleet.host.now += 10_000.0;
        for _ in 0..2 {
            (0..IN_USE).for_each(|shard| fleet.request(Some(i64::from(shard)), &[Outcome::Served]));
        }
        fleet
    }

    /// Runs a request from its arrival to its end. Its attempts end with these outcomes, in order.
    fn request(&mut self, shard: Option<i64>, outcomes: &[Outcome]) {
        let id = self.next_id;
        self.next_id += 1;
        self.host.arrive(arrival(id, shard, self.host.now + 1500.0));
        for (attempt, outcome) in (0..).zip(outcomes) {
            assert_eq!(
                self.host.take_sends().len(),
                1,
                "attempt {attempt} of request {id} is sent immediately"
            );
            self.host.now += 3.0;
            self.host.end_attempt(id, attempt, *outcome, 3.0);
        }
        self.host.take_actions();
    }

    /// Returns the number of node visits while `scenario` runs.
    fn count_visits(&mut self, scenario: impl Fn(&mut Self)) -> u64 {
        let before = self.host.scheduler.nodes_visited();
        scenario(self);
        self.host.scheduler.nodes_visited() - before
    }

    fn evaluate(&mut self) {
        self.host.now += 1.0;
        self.host.handle(Event::Evaluate);
    }

    fn change(&mut self, node: u32, readiness: Readiness, started_at: Option<Millis>) {
        self.host.apply_list(ListScope::Changes, vec![entry(node, readiness, started_at)]);
    }
}

/// Returns the number of node visits while `scenario` runs, with few and with many listed nodes.
fn visits_with_few_and_many(scenario: impl Fn(&mut Fleet)) -> (u64, u64) {
    (Fleet::new(FEW).count_visits(&scenario), Fleet::new(MANY).count_visits(&scenario))
}

#[test]
fn an_evaluation_does_not_visit_idle_nodes() {
    let (few, many) = visits_with_few_and_many(Fleet::evaluate);
    assert_eq!(few, many);
    assert!(
        many <= 4 * u64::from(IN_USE),
        "each node in use is visited a few times at most, got {many} visits"
    );
}

#[test]
fn a_request_to_a_shard_does_not_visit_idle_nodes() {
    let (few, many) = visits_with_few_and_many(|fleet| fleet.request(Some(3), &[Outcome::Served]));
    assert_eq!(few, many);
    assert!(many <= 12 * u64::from(IN_USE), "{many} visits");
}

#[test]
fn a_changed_entry_does_not_visit_other_idle_nodes() {
    let idle_node = IN_USE;
    for node in [3, idle_node] {
        let (few, many) = visits_with_few_and_many(|fleet| {
            fleet.change(node, Readiness::Draining, None);
            fleet.change(node, Readiness::Serving, Some(fleet.host.now));
            fleet.change(node, Readiness::Removed, None);
            fleet.change(node, Readiness::Serving, None);
        });
        assert_eq!(few, many, "node {node}");
        assert!(many <= 24 * u64::from(IN_USE), "{many} visits");
    }
}

#[test]
fn loss_detection_visits_only_nodes_in_use() {
    let (few, many) = visits_with_few_and_many(|fleet| {
        let (lost, later) = (900_000, 900_001);
        fleet.host.arrive(arrival(lost, Some(3), fleet.host.now + 1500.0));
        fleet.host.now += 1.0;
        fleet.host.arrive(arrival(later, Some(3), fleet.host.now + 1500.0));
        fleet.host.now += 3.0;
        fleet.host.end_attempt(later, 0, Outcome::Served, 3.0);
        fleet.host.advance(300.0);
        fleet.host.end_attempt(lost, 0, Outcome::TimedOut, 304.0);
        fleet.host.arrive(arrival(lost + 2, Some(4), fleet.host.now + 1500.0));
        fleet.host.advance(150.0);
        let probes = fleet.host.take_actions().iter().filter(|a| matches!(a, Action::Probe { .. })).count();
        assert!(probes > 0, "an overdue attempt triggers a probe");
    });
    assert_eq!(few, many);
}

#[test]
fn a_long_run_does_not_visit_idle_nodes() {
    let (few, many) = visits_with_few_and_many(|fleet| {
        for step in 0..2000 {
            let shard = i64::from(step * 7 % IN_USE);
            let outcomes = [Outcome::Error, Outcome::Served];
            fleet.request(Some(shard), if step % 97 == 5 { &outcomes } else { &outcomes[1..] });
            if step % 50 == 0 {
                fleet.change(step / 50, Readiness::Draining, None);
                fleet.change(step / 50, Readiness::Serving, None);
            }
        }
    });
    assert_eq!(few, many);
}

#[test]
fn nodes_become_idle_after_use() {
    let mut fleet = Fleet::new(MANY);
    fleet.host.advance(30_000.0);
    assert_eq!(fleet.count_visits(Fleet::evaluate), 0);
}

#[test]
fn new_objects_of_one_evaluation_take_one_iteration_over_serving_nodes() {
    let draw = |objects: u64| {
        move |fleet: &mut Fleet| {
            for id in 0..objects {
                fleet.host.handle(Event::RequestArrived(arrival(
                    800_000 + id,
                    None,
                    fleet.host.now + 1500.0,
                )));
            }
            fleet.evaluate();
        }
    };
    let additional_visits = |count: (u64, u64)| count.1 - count.0;
    assert_eq!(
        additional_visits(visits_with_few_and_many(draw(1))),
        u64::from(MANY - FEW),
        "each serving node is visited once"
    );
    let listed = u64::from(MANY);
    let (one, ten) = (Fleet::new(MANY).count_visits(draw(1)), Fleet::new(MANY).count_visits(draw(10)));
    assert!(
        one >= listed && ten < one + listed,
        "ten draws share one iteration: {one} visits for one, {ten} for ten"
    );
}

#[test]
fn a_full_list_takes_few_iterations() {
    let mut fleet = Fleet::new(MANY);
    let entries: Vec<NodeEntry> = (0..MANY).map(|node| entry(node, Readiness::Serving, None)).collect();
    let visits = fleet.count_visits(|fleet| fleet.host.apply_list(ListScope::Full, entries.clone()));
    assert!(visits <= 8 * u64::from(MANY), "{visits} visits");
}
