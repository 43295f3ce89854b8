//! Which idle client connection is closed for a new one at the connection limit, and the cost of finding it.

mod harness;

use flaxstand_gateway::machine::{ConnId, Machine};
use harness::*;
use proptest::prelude::*;

fn world_with_client_limit(clients: usize) -> Harness {
    let mut c = platform_config(2500);
    c.bounds.max_clients = clients;
    Harness::new(c, 1)
}

fn send_request(w: &mut Harness, client: ConnId) {
    w.send_bytes(client, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    w.turn();
}

/// Each search may requeue the clients that sent a request since the previous search, and no others.
#[test]
fn an_eviction_does_not_walk_all_clients() {
    const NEW_CLIENTS: u64 = 200;
    for clients in [50, 2_000] {
        let mut w = world_with_client_limit(clients);
        for _ in 0..clients {
            let client = w.http_client();
            w.run(1);
            send_request(&mut w, client);
        }
        w.run(200);
        let before = w.core.counts().connections_walked;
        for _ in 0..NEW_CLIENTS {
            let client = w.http_client();
            send_request(&mut w, client);
            w.run(110);
        }
        let walked = w.core.counts().connections_walked - before;
        assert!(
            walked <= clients as u64 + 3 * NEW_CLIENTS,
            "{walked} connections walked for {NEW_CLIENTS} new clients with {clients} connected"
        );
        assert_eq!(w.core.clients(), clients);
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    SendRequest(usize),
    SendInvalid(usize),
    SendPartial(usize),
    Disconnect(usize),
    Wait(u64),
    Connect,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Step::SendRequest),
        1 => (0..6_usize).prop_map(Step::SendInvalid),
        1 => (0..6_usize).prop_map(Step::SendPartial),
        1 => (0..6_usize).prop_map(Step::Disconnect),
        3 => (1..200_u64).prop_map(Step::Wait),
        4 => Just(Step::Connect),
    ]
}

/// The state of a client on which the eviction rule depends.
#[derive(Clone, Copy, Debug)]
struct Client {
    conn: ConnId,
    received_error: bool,
    idle_since: u64,
    has_requested: bool,
    has_partial_request: bool,
}

/// Returns whether the client exists and may send the beginning of a request.
fn is_ready(clients: &[Client], n: usize) -> bool {
    n < clients.len() && !clients[n].received_error && !clients[n].has_partial_request
}

/// Reference implementation of the eviction rule: clients that received an error go first, then the one idle
/// for longest. Clients become eligible 250 ms after connecting, or 100 ms after their last request.
fn client_to_evict(clients: &[Client], now: u64) -> Option<ConnId> {
    let min_idle_us = |c: &Client| match (c.received_error, c.has_requested) {
        (true, _) => 0,
        (false, false) => 250_000,
        (false, true) => 100_000,
    };
    let is_eligible =
        |c: &&Client| now - c.idle_since >= min_idle_us(c) && (!c.has_requested || !c.has_partial_request);
    clients
        .iter()
        .filter(is_eligible)
        .min_by_key(|c| (!c.received_error, c.idle_since, c.conn))
        .map(|c| c.conn)
}

/// Advances by one millisecond. Time-outs close some clients, and an incomplete request is answered with an
/// error; the model takes over both from the core.
fn advance_one_millisecond(w: &mut Harness, clients: &mut Vec<Client>) {
    w.run(1);
    clients.retain(|c| !w.closed.contains(&c.conn));
    for c in clients.iter_mut().filter(|c| c.has_partial_request && w.write_closed.contains(&c.conn)) {
        (c.received_error, c.has_partial_request, c.idle_since) = (true, false, w.now.0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn the_core_evicts_the_client_that_the_rule_selects(steps in proptest::collection::vec(step(), 1..120)) {
        let mut w = world_with_client_limit(4);
        let mut clients: Vec<Client> = Vec::new();
        for step in steps {
            let now = w.now.0;
            match step { Step::SendRequest(n) if is_ready(&clients, n) => {
                    send_request(&mut w, clients[n].conn);
                    (clients[n].idle_since, clients[n].has_requested) = (now, true);
                } Step::SendInvalid(n) if is_ready(&clients, n) => {
                    w.send_bytes(clients[n].conn, b"no request\r\n\r\n");
                    w.turn();
                    let has_requested = clients[n].has_requested;
                    clients[n] = Client {
                        received_error: true,
                        idle_since: now,
                        has_partial_request: false,
                        has_requested,
                        ..clients[n]
                    };
                } Step::SendPartial(n) if is_ready(&clients, n) => {
                    w.send_bytes(clients[n].conn, b"GET /re");
                    w.turn();
                    clients[n].has_partial_request = true;
                    if clients[n].has_requested {
                        clients[n].idle_since = now;
                    }
                }
                Step::Disconnect(n) if n < clients.len() => {
                    w.core.closed(clients[n].conn, "closed by peer", w.now);
                    clients.remove(n);
                }
                Step::Wait(millis) => (0..millis).for_each(|_| advance_one_millisecond(&mut w, &mut clients)),
                Step::Connect => {
                    let expected = if clients.len() < 4 { None } else { client_to_evict(&clients, now) };
                    let refused = clients.len() == 4 && expected.is_none();
                    let accepted = w.core.accepted(0, w.now);
                    w.turn();
                    prop_assert_eq!(accepted.is_err(), refused);
                    let closed: Vec<ConnId> =
                        clients.iter().map(|c| c.conn).filter(|c| w.closed.contains(c)).collect();
                    prop_assert_eq!(closed, Vec::from_iter(expected));
                    if let Ok(conn) = accepted {
                        clients.push(Client {
                            conn,
                            received_error: false,
                            idle_since: now,
                            has_requested: false,
                            has_partial_request: false,
                        });
                    }
                }
                _ => {}
            }
            clients.retain(|c| !w.closed.contains(&c.conn));
        }
    }
}
