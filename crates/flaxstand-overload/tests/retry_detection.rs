//! Retries are detected by volume, extent and class, within the retry memory and up to its capacity.

use flaxstand_overload::{AttemptKind, ClientAttempt, Micros, RetryDetector};

fn attempt(extent: u64, marked: bool) -> ClientAttempt {
    ClientAttempt { volume: 1, plan: 0, class: 2, extent: Some(extent), marked }
}
const T: Micros = Micros(1_000_000);

#[test]
fn an_attempt_like_a_rejected_one_is_a_retry_marked_or_not() {
    let mut detector = RetryDetector::new(Micros(500), 10);
    assert_eq!(detector.classify(&attempt(1, false), T), AttemptKind::First);
    detector.record_rejected(&attempt(1, false), T);
    assert_eq!(detector.classify(&attempt(2, false), T), AttemptKind::First, "another extent");
    assert_eq!(
        detector.classify(&ClientAttempt { class: 1, ..attempt(1, false) }, T),
        AttemptKind::First,
        "another class"
    );
    assert_eq!(detector.classify(&attempt(1, false), T.after(Micros(500))), AttemptKind::Retry);
    assert_eq!(
        detector.classify(&attempt(1, false), T.after(Micros(500))),
        AttemptKind::First,
        "each rejection matches one retry"
    );
    detector.record_rejected(&attempt(1, false), T);
    assert_eq!(
        detector.classify(&attempt(1, false), T.after(Micros(501))),
        AttemptKind::First,
        "the retry memory has expired"
    );
    assert_eq!(detector.classify(&attempt(9, true), T), AttemptKind::Retry, "marked by the client");
    assert_eq!(
        detector.classify(&ClientAttempt { extent: None, ..attempt(0, false) }, T),
        AttemptKind::First
    );
}

#[test]
fn at_capacity_the_oldest_rejection_is_dropped() {
    let mut detector = RetryDetector::new(Micros(1_000_000), 3);
    (0..5).for_each(|n| detector.record_rejected(&attempt(n, false), T.after(Micros(n))));
    assert_eq!(detector.remembered(), 3);
    assert_eq!(detector.classify(&attempt(1, false), T.after(Micros(9))), AttemptKind::First);
    assert_eq!(detector.classify(&attempt(4, false), T.after(Micros(9))), AttemptKind::Retry);
}

#[test]
fn repeated_rejections_of_one_key_take_one_entry() {
    let mut detector = RetryDetector::new(Micros(100), 3);
    for n in 0..1000 {
        detector.record_rejected(&attempt(7, false), T.after(Micros(n)));
    }
    assert_eq!(detector.remembered(), 1);
    assert!(detector.expiry_queue_len() <= 1000);
    assert_eq!(
        detector.classify(&attempt(7, false), T.after(Micros(1050))),
        AttemptKind::Retry,
        "the last rejection counts"
    );
    detector.record_rejected(&attempt(8, false), T.after(Micros(5000)));
    assert_eq!(detector.expiry_queue_len(), 1, "expired rejections are removed");
}
