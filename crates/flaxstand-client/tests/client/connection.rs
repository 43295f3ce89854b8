//! Connecting, reconnecting, and what one connection carries.

use crate::harness::*;
use flaxstand_client::*;
use flaxstand_proto::*;

/// Guards against a connection per request, and loss of the parts of a streamed answer.
#[test]
fn one_connection_serves_all_requests_and_streamed_parts_are_joined() {
    let mut harness = Harness::new(config());
    let requests: Vec<RequestId> = (0..20)
        .map(|operation| harness.submit(write_request(operation, RetrySafety::NotIdempotent, 500)))
        .collect();
    assert_eq!((harness.connects.len(), harness.received.len()), (1, 20));
    for attempt in harness.received.clone() {
        harness.send(&Frame::Part { id: attempt.id, payload: b"ab" });
        harness.send(&Frame::Served { id: attempt.id, shard: 3, payload: b"cd" });
    }
    harness.advance();
    for id in requests {
        assert_eq!(harness.ended[&id].result, Ok(Answer::Served { shard: 3, payload: b"abcd".to_vec() }));
    }
    assert_eq!(harness.client.requests_in_progress(), 0);
}

/// Guards against a reconnect storm when an initiator comes back.
#[test]
fn reconnects_of_many_clients_are_spread_and_back_off() {
    const BINS: usize = 20;
    const BIN_WIDTH: Micros = Micros(250_000);
    // 243 clients lose their initiator at one moment; it is away for 2 s.
    let mut reconnects_per_bin = [0u32; BINS];
    let mut max_connects = 0;
    for seed in 0..243 {
        let mut harness = Harness::new(Config { seed, ..config() });
        harness.submit(write_request(1, RetrySafety::Idempotent, 600_000));
        harness.accepts_connections = false;
        harness.lose_connection();
        harness.run(2000);
        max_connects = max_connects.max(harness.connects.len());
        harness.accepts_connections = true;
        let connects_while_away = harness.connects.len();
        harness.run(20_000);
        let reconnected_after = harness.connects[connects_while_away].since(milliseconds(3000));
        reconnects_per_bin[((reconnected_after.0 / BIN_WIDTH.0) as usize).min(BINS - 1)] += 1;
    }
    assert!(max_connects <= 20, "one connected {max_connects} times within 2 s");
    // No quarter of a second has more than a third of them.
    assert!(reconnects_per_bin.iter().all(|reconnects| *reconnects <= 81), "{reconnects_per_bin:?}");
    assert!(reconnects_per_bin[..8].iter().sum::<u32>() > 200, "within 2 s: {reconnects_per_bin:?}");
}

/// Guards against clients that reconnect before the turn that the initiator gave them.
#[test]
fn advised_reconnect_wait_is_respected() {
    let mut harness = Harness::new(config());
    harness.submit(write_request(1, RetrySafety::Idempotent, 60_000));
    harness.send(&Frame::Bye { close_reason: CloseReason::Turn, wait: 800_000, text: "many come at once" });
    let at = harness.now;
    harness.lose_connection();
    harness.run(5000);
    assert!(
        harness.connects[1] >= at.after(milliseconds(800))
            && harness.connects[1] < at.after(milliseconds(900)),
        "{:?}",
        harness.connects
    );
}

/// Guards against an endless loop of resending what the initiator cannot process.
#[test]
fn request_rejected_by_the_protocol_is_not_sent_again() {
    let mut harness = Harness::new(config());
    let id = harness.submit(write_request(1, RetrySafety::Idempotent, 60_000));
    harness.send(&Frame::Bye { close_reason: CloseReason::Protocol, wait: 0, text: "class 7 of 3" });
    harness.lose_connection();
    assert_eq!(harness.abandoned(id).reason, AbandonReason::Protocol);
    let id = harness.submit(write_request(2, RetrySafety::Idempotent, 60_000));
    harness.run(1000);
    harness.send(&Frame::Bye { close_reason: CloseReason::Version, wait: 0, text: "versions" });
    harness.lose_connection();
    assert_eq!(harness.abandoned(id).reason, AbandonReason::Protocol);
    let connects = harness.connects.len();
    harness.run(10_000);
    assert_eq!(harness.connects.len(), connects);
}
