//! Requests of one key run in the order in which their last bytes arrived, whichever connections brought them
//! and in whichever order the driver reported these. In virtual time; the driver's part is in
//! `driver_races.rs`.

mod harness;

use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::{ArrivalTime, ConnId, Machine};
use flaxstand_proto::{Code, Frame};
use harness::{Harness, ONCE, READ, SentFrame, bytes_of, config, ms, platform_config, request, request_text};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn with_ordered_once(mut config: Config) -> Config {
    config.site.settings.classes[usize::from(ONCE)].in_order = true;
    config
}

fn platform_world() -> Harness {
    Harness::new(with_ordered_once(platform_config(5000)), 1)
}

/// Bytes are reported that arrived at this time.
fn report(w: &mut Harness, conn: ConnId, bytes: &[u8], arrived_at: u64) {
    w.core.received_with_time(conn, bytes, ArrivalTime(arrived_at), w.now);
}

fn report_request(w: &mut Harness, conn: ConnId, id: &str, arrived_at: u64) {
    report(w, conn, request_text(id, "once").as_bytes(), arrived_at);
}

/// Node 0, which answers each attempt as soon as it is sent.
#[derive(Default)]
struct Node {
    answered: BTreeSet<(ConnId, String)>,
    /// Ids of the requests, in the order in which they ran.
    order: Vec<String>,
}

impl Node {
    fn answer_all(&mut self, w: &mut Harness) {
        for link in w.conns_to(0) {
            let text = w.sent_text_on(link).to_owned();
            for part in text.split("X-Request-ID: ").skip(1) {
                let id = part.split('\r').next().unwrap().to_owned();
                if self.answered.insert((link, id.clone())) {
                    self.order.push(id);
                    w.answer(link, "200 OK", "stored");
                }
            }
        }
    }

    /// Runs turns until all requests are answered. Returns their ids in the order in which they ran.
    fn run_to_end(mut self, w: &mut Harness) -> Vec<String> {
        for _ in 0..200 {
            w.run(2);
            self.answer_all(w);
        }
        assert_eq!(w.core.pending_requests(), 0);
        self.order
    }
}

#[test]
fn of_two_requests_reported_in_one_turn_the_one_that_arrived_first_runs_first() {
    let mut w = platform_world();
    let (kept, new) = (w.http_client(), w.http_client());
    report_request(&mut w, kept, "second", 20);
    report_request(&mut w, new, "first", 10);
    assert_eq!(Node::default().run_to_end(&mut w), ["first", "second"]);
    assert_eq!((w.statuses(kept), w.statuses(new)), (vec![200], vec![200]));
}

/// Guards against an older write that lies over a newer one: the driver met the newer one during a turn in
/// which it was held up, and the older one in the next turn.
#[test]
fn a_request_that_arrived_first_runs_first_although_it_is_reported_in_the_next_turn() {
    let mut w = platform_world();
    let kept = w.http_client();
    report_request(&mut w, kept, "second", 20);
    w.turn();
    assert_eq!(w.next_wake(), Some(w.now), "the next turn follows at once");
    let new = w.core.accepted(0, w.now).unwrap();
    report_request(&mut w, new, "first", 10);
    assert_eq!(Node::default().run_to_end(&mut w), ["first", "second"]);
}

#[test]
fn the_last_byte_of_a_request_counts_and_not_its_first() {
    let mut w = platform_world();
    let (slow, quick) = (w.http_client(), w.http_client());
    let text = request_text("slow", "once");
    let (head, end) = text.as_bytes().split_at(60);
    report(&mut w, slow, head, 10);
    w.turn();
    // Both become readable in one turn.
    report(&mut w, slow, end, 30);
    report_request(&mut w, quick, "quick", 20);
    assert_eq!(Node::default().run_to_end(&mut w), ["quick", "slow"]);
}

#[test]
fn a_held_request_whose_client_disconnects_is_never_sent() {
    let mut w = platform_world();
    let (gone, stays) = (w.http_client(), w.http_client());
    report_request(&mut w, gone, "gone", 10);
    report_request(&mut w, stays, "stays", 20);
    w.core.closed(gone, "closed by peer", w.now);
    assert_eq!(Node::default().run_to_end(&mut w), ["stays"]);
}

/// A clock that is set back delays no request beyond the next turn.
#[test]
fn a_request_is_held_for_one_turn_also_if_the_clock_is_set_back() {
    let mut w = platform_world();
    let clients = [w.http_client(), w.http_client(), w.http_client()];
    for (at, client) in [3_000_000_000, 1_000, 2_000].into_iter().zip(clients) {
        report_request(&mut w, client, &format!("at-{at}"), at);
        w.turn();
        w.turn();
        assert!(w.next_wake().is_none_or(|wake| wake > w.now), "none is held any more");
    }
    assert_eq!(Node::default().run_to_end(&mut w), ["at-3000000000", "at-1000", "at-2000"]);
}

/// Requests of other classes cost no further turn.
#[test]
fn requests_of_classes_without_order_are_sent_in_the_turn_of_their_arrival() {
    let mut w = platform_world();
    let client = w.http_client();
    report(&mut w, client, request_text("r1", "read").as_bytes(), 10);
    w.turn();
    w.turn();
    assert_eq!((w.attempts_sent("r1"), w.conns_to(0).len()), (1, 1));
    assert!(!Harness::new(platform_config(5000), 1).core.wants_arrival_times());
    assert!(w.core.wants_arrival_times());
}

#[test]
fn requests_on_frames_run_in_order_of_arrival_too() {
    let mut w = Harness::new(with_ordered_once(config()), 1);
    let (kept, new) = (w.client(), w.client());
    for (conn, id, at) in [(kept, 2, 20), (new, 1, 10)] {
        let submit = bytes_of(&Frame::Submit(request(id, ONCE, (Some(0), 7))));
        report(&mut w, conn, &submit, at);
    }
    w.run(10);
    let node = w.node_conn(0);
    let first = w.attempts(0);
    assert_eq!(first.len(), 1, "one at a time");
    w.done(node, first[0], Code::Served, b"stored");
    w.run(10);
    assert!(matches!(w.answers(new)[..], [SentFrame::Served(..)]));
    assert!(w.answers(kept).is_empty());
    let second = *w.attempts(0).last().unwrap();
    w.done(node, second, Code::Served, b"stored");
    w.run(10);
    assert_eq!(w.answers(kept).len(), 1);
    // A request of another class is not held.
    report(&mut w, kept, &bytes_of(&Frame::Submit(request(3, READ, (Some(0), 7)))), 30);
    w.turn();
    assert_eq!(w.attempts(0).len(), 3);
}

/// Each turn reports, in any order, all that arrived before it began and some of what arrived during it.
#[test]
fn requests_run_in_order_of_arrival_in_random_schedules() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut w = platform_world();
        let clients: Vec<ConnId> = (0..12).map(|_| w.http_client()).collect();
        let mut arrivals: Vec<u64> = clients.iter().map(|_| rng.next_u64() % 1000).collect();
        arrivals.sort_unstable();
        arrivals.dedup();
        let mut unreported: Vec<(u64, ConnId)> = arrivals.iter().copied().zip(clients).collect();
        let mut node = Node::default();
        let mut turn_begins = 0;
        while !unreported.is_empty() {
            let turn_ends = turn_begins + 1 + rng.next_u64() % 300;
            let is_reported = |(at, _): &(u64, ConnId), rng: &mut Pcg64Mcg| {
                *at <= turn_begins || *at <= turn_ends && rng.next_u64().is_multiple_of(2)
            };
            let (mut reported, later): (Vec<_>, Vec<_>) =
                unreported.into_iter().partition(|arrival| is_reported(arrival, &mut rng));
            unreported = later;
            while !reported.is_empty() {
                let (at, conn) = reported.swap_remove(rng.next_u64() as usize % reported.len());
                report_request(&mut w, conn, &format!("at-{at}"), at);
            }
            w.now = w.now.after(ms(1));
            w.turn();
            node.answer_all(&mut w);
            turn_begins = turn_ends;
        }
        let order = node.run_to_end(&mut w);
        let expected: Vec<String> = arrivals.iter().map(|at| format!("at-{at}")).collect();
        assert_eq!(order, expected, "seed {seed}");
    }
}
