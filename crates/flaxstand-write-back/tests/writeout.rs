//! Scheduling, urgency and retry budget of write-outs.

use flaxstand_write_back::retry_budget::{RetryLimiter, WriteOutRetryBudget};
use flaxstand_write_back::writeout::{MAX_BACKOFF, ShardOutcome, Urgency, WriteOutScheduler};
use flaxstand_write_back::{ExtentId, Micros, Seq};

fn extent_id(extent: u64) -> ExtentId {
    ExtentId { volume: 1, extent }
}
const NOW: Micros = Micros(1_000_000);

fn pick(scheduler: &mut WriteOutScheduler, urgency: Urgency) -> Option<Seq> {
    scheduler.pick(NOW, |_| urgency, |_| true).map(|candidate| candidate.seq)
}

#[test]
fn the_oldest_is_picked_first_and_a_full_shard_blocks_no_other() {
    let mut scheduler = WriteOutScheduler::default();
    (1..=9).for_each(|n| scheduler.enqueue(0, Seq(n), extent_id(n)));
    scheduler.enqueue(7, Seq(10), extent_id(10));
    let picked: Vec<_> = std::iter::from_fn(|| pick(&mut scheduler, Urgency::Idle)).collect();
    assert_eq!(picked, [1, 2, 3, 4, 10].map(Seq));
    assert_eq!(pick(&mut scheduler, Urgency::Rising), Some(Seq(5)), "a higher urgency raises the limit");
    scheduler.ended(0, ShardOutcome::Confirmed, NOW);
    assert_eq!(scheduler.in_flight(), 5);
}

#[test]
fn a_failing_shard_backs_off_exponentially() {
    let mut scheduler = WriteOutScheduler::default();
    let mut backoffs = Vec::new();
    let mut now = NOW;
    for n in 0..12 {
        scheduler.enqueue(0, Seq(n), extent_id(n));
        let picked = scheduler.pick(now, |_| Urgency::Urgent, |_| true);
        assert!(picked.is_some());
        scheduler.ended(0, ShardOutcome::Failed { retry_after: Micros(0) }, now);
        scheduler.enqueue(0, Seq(n), extent_id(n));
        assert_eq!(scheduler.pick(now, |_| Urgency::Urgent, |_| true), None, "the shard backs off");
        let until = scheduler.next_wake(now).expect("the back-off ends");
        backoffs.push(until.since(now));
        now = until;
    }
    assert_eq!(backoffs[..3], [20_000, 40_000, 80_000].map(Micros));
    assert_eq!(backoffs[11], MAX_BACKOFF);
}

#[test]
fn retries_are_limited_by_the_budget() {
    let budget = WriteOutRetryBudget { floor: 1.0, ratio: 0.5, span: Micros(1000) };
    let mut limiter = RetryLimiter::new(Some(budget));
    assert!(limiter.admit(true, NOW));
    assert!(!limiter.admit(true, NOW), "the floor is used up");
    assert!(limiter.admit(false, NOW) && limiter.admit(false, NOW));
    assert!(limiter.admit(true, NOW), "two first attempts admit one more retry");
    assert!(!limiter.admit(true, NOW));
    assert!(limiter.admit(true, NOW.after(Micros(1001))), "the window has passed");
}

#[test]
fn urgency_rises_with_the_used_fraction() {
    assert_eq!([0.0, 0.3, 0.6, 0.9].map(|p| Urgency::of(p, false)), Urgency::ALL);
    assert_eq!(Urgency::of(0.0, true), Urgency::High);
    assert_eq!(Urgency::of(0.9, true), Urgency::Urgent);
}
