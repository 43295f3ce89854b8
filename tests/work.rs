//! Work grows with the nodes in use, not with the nodes listed: measured in visits of nodes, which the
//! scheduler counts.

mod common;

use common::*;
use flaxstand::api::*;

/// Nodes that get requests; the others are listed only.
const IN_USE: u32 = 100;
/// Listed nodes: hardly more than are in use, and as many as a site may list.
const FEW: u32 = IN_USE + 1;
const MANY: u32 = 25_000;

/// Settings under which a node's share is the same however many are listed: there is no other initiator.
fn alone() -> Settings {
    Settings { initiators: 1, max_concurrent_attempts: 2, may_probe: true, ..settings() }
}

/// A host with all of its nodes in use, and the others at rest.
struct Site {
    host: Host,
    next: u64,
}

impl Site {
    fn new(listed: u32) -> Self {
        let mut site = Site { host: Host::new(alone(), listed), next: 0 };
        site.host.now += 10_000.0;
        for _ in 0..2 {
            (0..IN_USE).for_each(|shard| site.request(Some(i64::from(shard)), &[Outcome::Served]));
        }
        site
    }

    /// A request from its arrival to its end; its attempts end with these outcomes, one after the other.
    fn request(&mut self, shard: Option<i64>, outcomes: &[Outcome]) {
        let id = self.next;
        self.next += 1;
        self.host.arrive(arrival(id, shard, self.host.now + 1500.0));
        for (attempt, outcome) in (0..).zip(outcomes) {
            assert_eq!(self.host.take_sends().len(), 1, "attempt {attempt} of request {id} is sent at once");
            self.host.now += 3.0;
            self.host.end_attempt(id, attempt, *outcome, 3.0);
        }
        self.host.take_actions();
    }

    /// Visits of nodes during a part of the site's life.
    fn visits_during(&mut self, during: impl Fn(&mut Self)) -> u64 {
        let before = self.host.scheduler.nodes_visited();
        during(self);
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

/// Visits of nodes during the same part of two sites' lives, with few and with many listed.
fn visits_with_few_and_many(during: impl Fn(&mut Site)) -> (u64, u64) {
    (Site::new(FEW).visits_during(&during), Site::new(MANY).visits_during(&during))
}

#[test]
fn an_evaluation_does_not_visit_nodes_at_rest() {
    let (few, many) = visits_with_few_and_many(Site::evaluate);
    assert_eq!(few, many);
    assert!(many <= 4 * u64::from(IN_USE), "each node in use a few times at most: {many}");
}

#[test]
fn a_request_to_a_shard_does_not_visit_nodes_at_rest() {
    let (few, many) = visits_with_few_and_many(|site| site.request(Some(3), &[Outcome::Served]));
    assert_eq!(few, many);
    assert!(many <= 12 * u64::from(IN_USE), "{many}");
}

#[test]
fn a_changed_entry_does_not_visit_other_nodes_at_rest() {
    let at_rest = IN_USE;
    for node in [3, at_rest] {
        let (few, many) = visits_with_few_and_many(|site| {
            site.change(node, Readiness::Draining, None);
            site.change(node, Readiness::Serving, Some(site.host.now));
            site.change(node, Readiness::Removed, None);
            site.change(node, Readiness::Serving, None);
        });
        assert_eq!(few, many, "node {node}");
        assert!(many <= 24 * u64::from(IN_USE), "{many}");
    }
}

#[test]
fn lost_answers_are_searched_among_nodes_in_use_only() {
    let (few, many) = visits_with_few_and_many(|site| {
        let (lost, later) = (900_000, 900_001);
        site.host.arrive(arrival(lost, Some(3), site.host.now + 1500.0));
        site.host.now += 1.0;
        site.host.arrive(arrival(later, Some(3), site.host.now + 1500.0));
        site.host.now += 3.0;
        site.host.end_attempt(later, 0, Outcome::Served, 3.0);
        site.host.advance(300.0);
        site.host.end_attempt(lost, 0, Outcome::TimedOut, 304.0);
        site.host.arrive(arrival(lost + 2, Some(4), site.host.now + 1500.0));
        site.host.advance(150.0);
        let probes = site.host.take_actions().iter().filter(|a| matches!(a, Action::Probe { .. })).count();
        assert!(probes > 0, "an attempt that is in flight for long is probed for");
    });
    assert_eq!(few, many);
}

#[test]
fn a_long_run_does_not_visit_nodes_at_rest() {
    let (few, many) = visits_with_few_and_many(|site| {
        for step in 0..2000 {
            let shard = i64::from(step * 7 % IN_USE);
            let outcomes = [Outcome::Error, Outcome::Served];
            site.request(Some(shard), if step % 97 == 5 { &outcomes } else { &outcomes[1..] });
            if step % 50 == 0 {
                site.change(step / 50, Readiness::Draining, None);
                site.change(step / 50, Readiness::Serving, None);
            }
        }
    });
    assert_eq!(few, many);
}

#[test]
fn nodes_that_were_in_use_come_to_rest() {
    let mut site = Site::new(MANY);
    site.host.advance(30_000.0);
    assert_eq!(site.visits_during(Site::evaluate), 0);
}

#[test]
fn new_objects_of_one_evaluation_take_one_walk_over_serving_nodes() {
    let draw = |objects: u64| {
        move |site: &mut Site| {
            for id in 0..objects {
                site.host.handle(Event::RequestArrived(arrival(800_000 + id, None, site.host.now + 1500.0)));
            }
            site.evaluate();
        }
    };
    let further = |count: (u64, u64)| count.1 - count.0;
    assert_eq!(further(visits_with_few_and_many(draw(1))), u64::from(MANY - FEW), "each serving node once");
    let listed = u64::from(MANY);
    let (one, ten) = (Site::new(MANY).visits_during(draw(1)), Site::new(MANY).visits_during(draw(10)));
    assert!(one >= listed && ten < one + listed, "ten draws take the one walk too: {one}, {ten}");
}

#[test]
fn a_full_list_takes_a_few_walks() {
    let mut site = Site::new(MANY);
    let entries: Vec<NodeEntry> = (0..MANY).map(|node| entry(node, Readiness::Serving, None)).collect();
    let visits = site.visits_during(|site| site.host.apply_list(ListScope::Full, entries.clone()));
    assert!(visits <= 8 * u64::from(MANY), "{visits}");
}
