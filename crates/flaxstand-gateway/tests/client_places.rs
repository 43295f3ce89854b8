//! Which client gives its place to a new one when connections are as many as may be, and what finding it costs.

mod harness;

use flaxstand_gateway::machine::{ConnId, Machine};
use harness::*;
use proptest::prelude::*;

fn world(clients: usize) -> Harness {
    let mut c = platform_config(2500);
    c.bounds.max_clients = clients;
    Harness::new(c, 1)
}

fn ask(w: &mut Harness, client: ConnId) {
    w.send_bytes(client, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    w.turn();
}

/// Each look may put back those that asked since the last one, and no others.
#[test]
fn a_place_is_found_without_going_through_all_clients_each_time() {
    const COMERS: u64 = 200;
    for clients in [50, 2_000] {
        let mut w = world(clients);
        for _ in 0..clients {
            let client = w.http_client();
            w.run(1);
            ask(&mut w, client);
        }
        w.run(200);
        let before = w.core.counts().connections_walked;
        for _ in 0..COMERS {
            let client = w.http_client();
            ask(&mut w, client);
            w.run(110);
        }
        let walked = w.core.counts().connections_walked - before;
        assert!(walked <= clients as u64 + 3 * COMERS, "{walked} for {COMERS} with {clients} clients");
        assert_eq!(w.core.clients(), clients);
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(usize),
    Err(usize),
    Half(usize),
    Leave(usize),
    Pass(u64),
    Come,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Step::Ask),
        1 => (0..6_usize).prop_map(Step::Err),
        1 => (0..6_usize).prop_map(Step::Half),
        1 => (0..6_usize).prop_map(Step::Leave),
        3 => (1..200_u64).prop_map(Step::Pass),
        4 => Just(Step::Come),
    ]
}

/// What the rule needs to know of a client.
#[derive(Clone, Copy, Debug)]
struct Client {
    conn: ConnId,
    close_reason: bool,
    since: u64,
    asked: bool,
    half: bool,
}

/// The rule in plain words: errors first, then who has waited longest; 250 ms for its first request, 100 ms for more.
fn gives_way(clients: &[Client], now: u64) -> Option<ConnId> {
    let least = |c: &Client| match (c.close_reason, c.asked) {
        (true, _) => 0,
        (false, false) => 250_000,
        (false, true) => 100_000,
    };
    let may = |c: &&Client| now - c.since >= least(c) && (!c.asked || !c.half);
    clients.iter().filter(may).min_by_key(|c| (!c.close_reason, c.since, c.conn)).map(|c| c.conn)
}

/// Time closes some, and a request that does not end is answered with an error: taken as it came about.
fn pass_a_millisecond(w: &mut Harness, clients: &mut Vec<Client>) {
    w.run(1);
    clients.retain(|c| !w.closed.contains(&c.conn));
    for c in clients.iter_mut().filter(|c| c.half && w.write_closed.contains(&c.conn)) {
        (c.close_reason, c.half, c.since) = (true, false, w.now.0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn the_one_that_the_rule_names_gives_way(steps in proptest::collection::vec(step(), 1..120)) {
        let mut w = world(4);
        let mut clients: Vec<Client> = Vec::new();
        for step in steps {
            let now = w.now.0;
            match step {
                Step::Ask(n) if n < clients.len() && !clients[n].close_reason && !clients[n].half => {
                    ask(&mut w, clients[n].conn);
                    (clients[n].since, clients[n].asked) = (now, true);
                }
                Step::Err(n) if n < clients.len() && !clients[n].close_reason && !clients[n].half => {
                    w.send_bytes(clients[n].conn, b"no request\r\n\r\n");
                    w.turn();
                    let asked = clients[n].asked;
                    clients[n] = Client { close_reason: true, since: now, half: false, asked, ..clients[n] };
                }
                Step::Half(n) if n < clients.len() && !clients[n].close_reason && !clients[n].half => {
                    w.send_bytes(clients[n].conn, b"GET /re");
                    w.turn();
                    clients[n].half = true;
                    if clients[n].asked {
                        clients[n].since = now;
                    }
                }
                Step::Leave(n) if n < clients.len() => {
                    w.core.closed(clients[n].conn, "gone", w.now);
                    clients.remove(n);
                }
                Step::Pass(millis) => (0..millis).for_each(|_| pass_a_millisecond(&mut w, &mut clients)),
                Step::Come => {
                    let expected = if clients.len() < 4 { None } else { gives_way(&clients, now) };
                    let refused = clients.len() == 4 && expected.is_none();
                    let came = w.core.accepted(0, w.now);
                    w.turn();
                    prop_assert_eq!(came.is_err(), refused);
                    let closed: Vec<ConnId> =
                        clients.iter().map(|c| c.conn).filter(|c| w.closed.contains(c)).collect();
                    prop_assert_eq!(closed, Vec::from_iter(expected));
                    if let Ok(conn) = came {
                        clients.push(Client { conn, close_reason: false, since: now, asked: false, half: false });
                    }
                }
                _ => {}
            }
            clients.retain(|c| !w.closed.contains(&c.conn));
        }
    }
}
