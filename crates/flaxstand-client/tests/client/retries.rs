//! Retries and abandonment of requests.

use crate::harness::*;
use flaxstand_client::*;
use flaxstand_proto::*;

/// Guards against retries that are sent too early, not marked as retries, or carry a deadline of their own.
#[test]
fn retry_respects_the_advised_wait_and_carries_the_attempt_number_and_remaining_time() {
    let mut harness = Harness::new(config());
    harness.submit(write_request(1, RetrySafety::NotIdempotent, 2000));
    let first = harness.last_received();
    assert_eq!((first.try_no, first.time_left), (0, 2_000_000));
    harness.run(100);
    harness.refuse(first.id, 300, Scope::Request);
    harness.run(299);
    assert_eq!(harness.received.len(), 1);
    harness.run(200);
    let second = harness.last_received();
    assert_eq!((second.try_no, second.operation), (1, 1));
    assert!(second.at >= milliseconds(1400));
    assert_eq!(
        u64::from(second.time_left),
        milliseconds(3000).since(second.at).0,
        "the retry has the request's deadline"
    );
}

/// Guards against other requests adding load while the initiator is shedding it.
#[test]
fn advised_wait_for_a_volume_or_for_all_holds_other_requests_too() {
    let mut harness = Harness::new(config());
    harness.submit(write_request(1, RetrySafety::Idempotent, 5000));
    harness.refuse(harness.last_received().id, 400, Scope::Volume);
    harness.submit(write_request(3, RetrySafety::Idempotent, 5000));
    harness.submit(write_request(2, RetrySafety::Idempotent, 5000));
    harness.run(399);
    assert_eq!(
        harness.received.iter().map(|attempt| attempt.operation).collect::<Vec<_>>(),
        [1, 2],
        "only the request for the other volume is sent"
    );
    harness.run(100);
    assert_eq!(harness.received.len(), 4);
    harness.refuse(harness.last_received().id, 700, Scope::All);
    harness.submit(write_request(4, RetrySafety::Idempotent, 5000));
    harness.run(699);
    assert_eq!(harness.received.len(), 4);
    harness.run(200);
    assert_eq!(harness.received.len(), 6);
}

/// Guards against a second execution of a request that is not idempotent.
#[test]
fn non_idempotent_request_is_never_retried_once_it_may_have_executed() {
    let mut harness = Harness::new(config());
    let failed = harness.submit(write_request(1, RetrySafety::NotIdempotent, 2000));
    harness.send(&Frame::Failed { id: harness.last_received().id });
    harness.advance();
    let AbandonedRequest { reason, attempts, may_have_executed, .. } = harness.abandoned(failed);
    assert_eq!((reason, attempts, may_have_executed), (AbandonReason::RetryUnsafe, 1, true));
    let lost = harness.submit(write_request(2, RetrySafety::NotIdempotent, 2000));
    harness.lose_connection();
    assert_eq!(harness.abandoned(lost).reason, AbandonReason::RetryUnsafe);
    let message = harness.abandoned(lost).to_string();
    assert!(message.contains("it may have been executed"), "{message}");
    // An idempotent request is retried.
    let safe = harness.submit(write_request(3, RetrySafety::Idempotent, 2000));
    harness.run(300);
    harness.send(&Frame::Failed { id: harness.last_received().id });
    harness.run(300);
    assert_eq!((harness.last_received().operation, harness.last_received().try_no), (3, 1));
    harness.send(&Frame::Buffered { id: harness.last_received().id });
    harness.advance();
    assert_eq!(harness.ended[&safe].result, Ok(Answer::Buffered));
}

/// Guards against abandoning a request that is safe to retry.
#[test]
fn partially_written_attempt_counts_as_not_executed_and_is_retried() {
    let mut harness = Harness::new(config());
    harness.submit(write_request(1, RetrySafety::Idempotent, 2000));
    harness.send(&Frame::Served { id: harness.last_received().id, shard: 0, payload: b"" });
    harness.advance();
    let id = harness.client.submit(write_request(2, RetrySafety::NotIdempotent, 2000), harness.now);
    harness.client.advance(harness.now);
    let pending = harness.client.pending_bytes().len();
    harness.read_from_client(pending - 1);
    harness.lose_connection();
    harness.run(500);
    assert_eq!(
        harness.received.iter().filter(|attempt| attempt.operation == 2).count(),
        1,
        "the request is sent on the next connection"
    );
    harness.send(&Frame::Served { id: harness.last_received().id, shard: 0, payload: b"" });
    harness.advance();
    assert!(harness.ended[&id].result.is_ok());
}

/// Guards against a retry after the nodes' deduplication window has ended.
#[test]
fn request_with_an_idempotency_key_is_retried_only_within_its_window() {
    let mut harness = Harness::new(config());
    let id =
        harness.submit(write_request(1, RetrySafety::IdempotencyKey { window: milliseconds(200) }, 5000));
    while !harness.ended.contains_key(&id) {
        harness.send(&Frame::Failed { id: harness.last_received().id });
        harness.run(20);
        assert!(harness.now < milliseconds(2000), "the request did not complete within 1 s");
    }
    assert!(harness.last_received().at <= milliseconds(1200), "{:?}", harness.last_received());
    assert_eq!(harness.abandoned(id).reason, AbandonReason::RetryUnsafe);
    // The remaining time sent with each retry does not exceed the window.
    assert!(
        harness.received[1..].iter().all(|attempt| u64::from(attempt.time_left) <= 200_000),
        "{:?}",
        harness.received
    );
}

/// Guards against a retry storm while every attempt is refused.
#[test]
fn retries_stay_within_the_budget_and_abandonment_is_reported_at_once() {
    let mut harness = Harness::new(config());
    let requests: Vec<RequestId> = (0..100)
        .map(|operation| harness.submit(write_request(operation, RetrySafety::Idempotent, 60_000)))
        .collect();
    for _ in 0..40 {
        for attempt in harness.received.clone() {
            harness.send(&Frame::Refused {
                id: attempt.id,
                wait: 0,
                refusal: Refusal::Storm,
                scope: Scope::Request,
            });
        }
        harness.run(50);
    }
    // 100 first attempts; the budget allows 3 retries plus 20% of the requests.
    assert_eq!(harness.received.len(), 123);
    assert!(requests.iter().all(|id| harness.abandoned(*id).reason == AbandonReason::RetryBudgetExhausted));
    assert!(requests.iter().all(|id| harness.abandoned(*id).last_refusal == Some(Refusal::Storm)));
    assert!(
        harness.ended.values().all(|ended| ended.at < milliseconds(4000)),
        "requests are abandoned well before their deadline of 60 s"
    );
}

/// Guards against requests that accumulate or never complete while the initiator is unreachable.
#[test]
fn requests_to_an_unreachable_initiator_are_abandoned_at_their_deadline_and_excess_requests_immediately() {
    let mut harness = Harness::new(Config { max_requests_in_progress: 2, ..config() });
    harness.accepts_connections = false;
    let waiting = harness.submit(write_request(1, RetrySafety::NotIdempotent, 300));
    harness.submit(write_request(2, RetrySafety::NotIdempotent, 300));
    let excess = harness.submit(write_request(3, RetrySafety::NotIdempotent, 300));
    assert_eq!(harness.abandoned(excess).reason, AbandonReason::TooManyRequests);
    harness.run(299);
    assert!(!harness.ended.contains_key(&waiting));
    harness.run(1);
    let AbandonedRequest { reason, attempts, may_have_executed, .. } = harness.abandoned(waiting);
    assert_eq!((reason, attempts, may_have_executed), (AbandonReason::DeadlineExceeded, 0, false));
    let connects = harness.connects.len();
    harness.run(20_000);
    assert_eq!(harness.connects.len(), connects, "the client does not connect without a request to send");
}
