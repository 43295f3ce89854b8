//! Connects, reconnects, and use of the connection.

use crate::harness::*;
use flaxstand_client::*;
use flaxstand_proto::*;

/// Guards against opening a connection per request, and against lost parts of a streamed answer.
#[test]
fn requests_share_one_connection_and_streamed_parts_are_concatenated() {
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

/// Guards against a reconnect storm when an initiator restarts.
#[test]
fn reconnects_of_many_clients_are_spread_and_back_off() {
    const BINS: usize = 20;
    const BIN_WIDTH: Micros = Micros(250_000);
    // 243 clients lose the connection at the same time; the initiator is down for 2 s.
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
        let connects_while_down = harness.connects.len();
        harness.run(20_000);
        let reconnected_after = harness.connects[connects_while_down].since(milliseconds(3000));
        reconnects_per_bin[((reconnected_after.0 / BIN_WIDTH.0) as usize).min(BINS - 1)] += 1;
    }
    assert!(max_connects <= 20, "a client connected {max_connects} times within 2 s, at most 20 allowed");
    // No interval of 250 ms has more than a third of the reconnects.
    assert!(reconnects_per_bin.iter().all(|reconnects| *reconnects <= 81), "{reconnects_per_bin:?}");
    assert!(
        reconnects_per_bin[..8].iter().sum::<u32>() > 200,
        "at most 200 clients reconnected within 2 s: {reconnects_per_bin:?}"
    );
}

/// Guards against clients that reconnect before the time that the initiator advised.
#[test]
fn advised_reconnect_wait_is_respected() {
    let mut harness = Harness::new(config());
    harness.submit(write_request(1, RetrySafety::Idempotent, 60_000));
    harness.send(&Frame::Bye { close_reason: CloseReason::Turn, wait: 800_000, text: "reconnect storm" });
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

/// Guards against endless retries of a request that the initiator cannot process.
#[test]
fn request_rejected_as_a_protocol_error_is_not_retried() {
    let mut harness = Harness::new(config());
    let id = harness.submit(write_request(1, RetrySafety::Idempotent, 60_000));
    harness.send(&Frame::Bye {
        close_reason: CloseReason::Protocol,
        wait: 0,
        text: "unknown class 7: 3 classes configured",
    });
    harness.lose_connection();
    assert_eq!(harness.abandoned(id).reason, AbandonReason::Protocol);
    let id = harness.submit(write_request(2, RetrySafety::Idempotent, 60_000));
    harness.run(1000);
    harness.send(&Frame::Bye {
        close_reason: CloseReason::Version,
        wait: 0,
        text: "unsupported protocol version",
    });
    harness.lose_connection();
    assert_eq!(harness.abandoned(id).reason, AbandonReason::Protocol);
    let connects = harness.connects.len();
    harness.run(10_000);
    assert_eq!(harness.connects.len(), connects);
}
