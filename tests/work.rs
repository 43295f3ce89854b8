//! Work follows nodes in use, not nodes listed: counts of nodes looked at, which the module keeps itself. No times.

mod common;

use common::*;
use flaxstand::api::*;

/// Nodes that get requests; the others are listed only.
const IN_USE: u32 = 100;
/// Listed nodes: hardly more than are in use, and as many as a site may list.
const FEW: u32 = IN_USE + 1;
const MANY: u32 = 25_000;

/// Settings under which a node's part is the same however many are listed: there is no other host.
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
            assert_eq!(self.host.sends().len(), 1, "attempt {attempt} of request {id} is sent at once");
            self.host.now += 3.0;
            self.host.end(id, attempt, *outcome, 3.0);
        }
        self.host.take();
    }

    /// Nodes looked at during a part of the site's life.
    fn looked_at(&mut self, during: impl Fn(&mut Self)) -> u64 {
        let before = self.host.scheduler.nodes_visited();
        during(self);
        self.host.scheduler.nodes_visited() - before
    }

    fn look(&mut self) {
        self.host.now += 1.0;
        self.host.tell(Event::Evaluate);
    }

    fn change(&mut self, node: u32, readiness: Readiness, started_at: Option<Millis>) {
        self.host.list(ListScope::Changes, vec![entry(node, readiness, started_at)]);
    }
}

/// Nodes looked at during the same part of two sites' lives, with few and with many listed.
fn few_and_many(during: impl Fn(&mut Site)) -> (u64, u64) {
    (Site::new(FEW).looked_at(&during), Site::new(MANY).looked_at(&during))
}

#[test]
fn a_look_does_not_look_at_nodes_at_rest() {
    let (few, many) = few_and_many(Site::look);
    assert_eq!(few, many);
    assert!(many <= 4 * u64::from(IN_USE), "each node in use a few times at most: {many}");
}

#[test]
fn a_request_to_a_shard_does_not_look_at_nodes_at_rest() {
    let (few, many) = few_and_many(|site| site.request(Some(3), &[Outcome::Served]));
    assert_eq!(few, many);
    assert!(many <= 12 * u64::from(IN_USE), "{many}");
}

#[test]
fn a_changed_entry_does_not_look_at_other_nodes_at_rest() {
    let at_rest = IN_USE;
    for node in [3, at_rest] {
        let (few, many) = few_and_many(|site| {
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
fn a_lost_answer_is_sought_among_nodes_in_use() {
    let (few, many) = few_and_many(|site| {
        let (lost, later) = (900_000, 900_001);
        site.host.arrive(arrival(lost, Some(3), site.host.now + 1500.0));
        site.host.now += 1.0;
        site.host.arrive(arrival(later, Some(3), site.host.now + 1500.0));
        site.host.now += 3.0;
        site.host.end(later, 0, Outcome::Served, 3.0);
        site.host.pass(300.0);
        site.host.end(lost, 0, Outcome::TimedOut, 304.0);
        site.host.arrive(arrival(lost + 2, Some(4), site.host.now + 1500.0));
        site.host.pass(150.0);
        let probes = site.host.take().iter().filter(|a| matches!(a, Action::Probe { .. })).count();
        assert!(probes > 0, "what is out for long is probed for");
    });
    assert_eq!(few, many);
}

#[test]
fn a_long_life_in_use_does_not_look_at_nodes_at_rest() {
    let (few, many) = few_and_many(|site| {
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
fn what_was_in_use_comes_to_rest() {
    let mut site = Site::new(MANY);
    site.host.pass(30_000.0);
    assert_eq!(site.looked_at(Site::look), 0);
}

#[test]
fn new_objects_of_one_look_take_one_walk_over_ready_nodes() {
    let draw = |objects: u64| {
        move |site: &mut Site| {
            for id in 0..objects {
                site.host.tell(Event::RequestArrived(arrival(800_000 + id, None, site.host.now + 1500.0)));
            }
            site.look();
        }
    };
    let further = |count: (u64, u64)| count.1 - count.0;
    assert_eq!(further(few_and_many(draw(1))), u64::from(MANY - FEW), "each ready node once");
    let listed = u64::from(MANY);
    let (one, ten) = (Site::new(MANY).looked_at(draw(1)), Site::new(MANY).looked_at(draw(10)));
    assert!(one >= listed && ten < one + listed, "ten draws take the one walk too: {one}, {ten}");
}

#[test]
fn a_whole_list_is_walked_a_few_times() {
    let mut site = Site::new(MANY);
    let entries: Vec<NodeEntry> = (0..MANY).map(|node| entry(node, Readiness::Serving, None)).collect();
    let looked_at = site.looked_at(|site| site.host.list(ListScope::Full, entries.clone()));
    assert!(looked_at <= 8 * u64::from(MANY), "{looked_at}");
}
