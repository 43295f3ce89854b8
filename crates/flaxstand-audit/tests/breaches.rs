//! Records without a violation pass the audit, and each violation of a rule is reported under that rule, with
//! its operation and a description.

use flaxstand_audit::{
    Answer, AttemptLedger, AuditRules, ClassRules, DeduplicationScope, Effect, End, ListState, Mark,
    PlanLimit, Record, RetryBudgetRules, Rule, SlowStartRules, Verdict, audit,
};

const MS: u64 = 1000;

fn class(effect: Effect) -> ClassRules {
    ClassRules { effect, in_order: false, is_buffered: false }
}

fn rules() -> AuditRules {
    AuditRules {
        classes: vec![
            class(Effect::Idempotent),
            ClassRules { in_order: true, ..class(Effect::AtMostOnce) },
            class(Effect::IdempotencyKey(DeduplicationScope::Zone, 1000 * MS)),
            class(Effect::IdempotencyKey(DeduplicationScope::All, 1000 * MS)),
            ClassRules { is_buffered: true, ..class(Effect::Idempotent) },
        ],
        limits: vec![PlanLimit::default(), PlanLimit { rate: 10.0, burst: 20.0, slack: 2.0 }],
        max_concurrent_attempts: 1,
        drain_grace: 250 * MS,
        slow_start: SlowStartRules { overload_multiple: 2.0, window: 1000 * MS, min_units: 3.0 },
        key_cooldown: 100 * MS,
        retry_budget: Some(RetryBudgetRules { floor: 1.0, ratio: 0.5, window: 5000 * MS }),
        transit: 10 * MS,
    }
}

fn submitted(at: u64, op: u64, class: u16, plan: u16) -> Record {
    let (client, id, initiator, volume, extent) = (1, op, 0, 7, 70);
    let (units, write, try_no, until) = (2, false, 0, (at + 1000) * MS);
    let at = at * MS;
    Record::Submitted {
        at,
        client,
        id,
        op,
        initiator,
        class,
        plan,
        volume,
        extent,
        units,
        write,
        try_no,
        until,
    }
}

fn answered(at: u64, op: u64, answer: Answer) -> Record {
    Record::Answered { at: at * MS, client: 1, id: op, answer }
}

const SERVED: Answer = Answer::Served { shard: 0, found: None };
const REFUSED: Answer = Answer::Refused { wait: 0 };

fn up(node: u64, zone: u32, cold: bool) -> Record {
    let warm_after = if cold { 10_000 * MS } else { 0 };
    let (incarnation, power, initial_capacity) = (1, 1.0, 0.1);
    Record::NodeUp { at: 0, node, incarnation, shard: node as u32, zone, power, initial_capacity, warm_after }
}

fn arrived(at: u64, op: u64, class: u16, attempt: u32, node: u64) -> Record {
    let (incarnation, conn, initiator, epoch, request) = (1, 1, 0, 1, op);
    let (plan, volume, extent, units, work) = (0, 7, 70, 2, 50 * MS);
    let at = at * MS;
    Record::Arrived {
        at,
        node,
        incarnation,
        conn,
        initiator,
        epoch,
        request,
        attempt,
        op,
        class,
        plan,
        volume,
        extent,
        units,
        work,
    }
}

fn ended(at: u64, op: u64, attempt: u32, node: u64, end: End) -> Record {
    Record::Ended { at: at * MS, node, initiator: 0, epoch: 1, request: op, attempt, end }
}

fn notified(at: u64, node: u64, state: ListState) -> Record {
    Record::Notified { at: at * MS, initiator: 0, epoch: 1, node, incarnation: 1, state }
}

/// A request that node 0 serves without a violation.
fn served_request(at: u64, op: u64, class: u16) -> Vec<Record> {
    vec![
        submitted(at, op, class, 0),
        arrived(at + 1, op, class, 0, 0),
        ended(at + 20, op, 0, 0, End::Served),
        answered(at + 21, op, SERVED),
    ]
}

fn check(records: Vec<Record>) -> Verdict {
    let mut all = vec![up(0, 0, false), up(1, 0, false), up(2, 1, false)];
    all.extend(records);
    all.sort_by_key(Record::at);
    audit(&AttemptLedger::new(all), &rules())
}

#[track_caller]
fn assert_breach(records: Vec<Record>, rule: Rule, op: Option<u64>, text: &str) {
    let verdict = check(records);
    let found = verdict
        .breaches
        .iter()
        .find(|b| b.rule == rule)
        .unwrap_or_else(|| panic!("no breach of {rule:?} with {text:?}: {:?}", verdict.breaches));
    assert!(found.description.contains(text), "{found}");
    assert_eq!(found.op, op, "{found}");
    assert!(verdict.breaches.iter().all(|b| b.rule == rule), "{:?}", verdict.breaches);
}

fn assert_passes(records: Vec<Record>) {
    let verdict = check(records);
    assert!(verdict.passed(), "{:?}", verdict.breaches);
}

#[test]
fn requests_without_a_violation_pass_and_checked_cases_are_counted() {
    let verdict =
        check([served_request(0, 1, 0), served_request(100, 2, 1), served_request(200, 3, 1)].concat());
    assert!(verdict.passed(), "{:?}", verdict.breaches);
    assert_eq!(verdict.checked[&Rule::Answers.to_string()], 3);
    assert_eq!(verdict.checked[&Rule::Order.to_string()], 1);
    assert!(!verdict.checked.contains_key(&Rule::SlowStart.to_string()), "no node was warming up");
}

#[test]
fn a_second_missing_or_late_answer_is_reported() {
    assert_breach(
        [served_request(0, 1, 0), vec![answered(40, 1, REFUSED)]].concat(),
        Rule::Answers,
        Some(1),
        "second final answer",
    );
    assert_breach(vec![submitted(0, 1, 0, 0)], Rule::Answers, Some(1), "no final answer");
    assert_breach(
        vec![submitted(0, 1, 0, 0), answered(1001, 1, REFUSED)],
        Rule::Answers,
        Some(1),
        "after the client's deadline",
    );
    assert_passes(vec![submitted(0, 1, 0, 0), answered(999, 1, REFUSED)]);
}

#[test]
fn a_connection_closed_by_a_running_initiator_is_reported() {
    let lost = |by_client| Record::ClientDisconnected { at: 500 * MS, client: 1, by_client };
    assert_breach(vec![submitted(0, 1, 0, 0), lost(false)], Rule::Answers, Some(1), "closed the connection");
    assert_passes(vec![submitted(0, 1, 0, 0), lost(true)]);
    assert_passes(vec![submitted(0, 1, 0, 0), Record::Killed { at: 499 * MS, initiator: 0 }, lost(false)]);
}

#[test]
fn an_attempt_after_the_final_answer_is_reported() {
    let late = vec![arrived(60, 1, 0, 1, 0), ended(70, 1, 1, 0, End::Served)];
    assert_breach([served_request(0, 1, 0), late].concat(), Rule::Answers, Some(1), "after the final answer");
}

#[test]
fn a_non_idempotent_request_retried_or_rejected_after_it_may_have_executed_is_reported() {
    let first = vec![submitted(0, 1, 1, 0), arrived(1, 1, 1, 0, 0), ended(9, 1, 0, 0, End::Error)];
    let again = vec![arrived(30, 1, 1, 1, 0), ended(40, 1, 1, 0, End::Served), answered(41, 1, SERVED)];
    assert_breach([first.clone(), again].concat(), Rule::Effects, Some(1), "retried although");
    assert_breach(
        [first, vec![answered(30, 1, REFUSED)]].concat(),
        Rule::Effects,
        Some(1),
        "rejected although",
    );
    let rejected = vec![submitted(0, 1, 1, 0), arrived(1, 1, 1, 0, 0), ended(2, 1, 0, 0, End::Rejected)];
    assert_passes([rejected, vec![answered(30, 1, REFUSED)]].concat());
}

#[test]
fn a_retry_outside_its_deduplication_scope_or_window_is_reported() {
    let first = vec![submitted(0, 1, 2, 0), arrived(1, 1, 2, 0, 0), ended(9, 1, 0, 0, End::Error)];
    let again = |at, node| {
        let end = ended(at + 9, 1, 1, node, End::Served);
        [first.clone(), vec![arrived(at, 1, 2, 1, node), end, answered(at + 9, 1, SERVED)]].concat()
    };
    assert_passes(again(50, 1));
    assert_breach(again(50, 2), Rule::Effects, Some(1), "outside the deduplication scope Zone");
    let with_long_timeout = Record::Submitted {
        at: 0,
        client: 1,
        id: 1,
        op: 1,
        initiator: 0,
        class: 2,
        plan: 0,
        volume: 7,
        extent: 70,
        units: 2,
        write: false,
        try_no: 0,
        until: 5000 * MS,
    };
    let mut late = again(1100, 1);
    late[0] = with_long_timeout;
    assert_breach(late, Rule::Effects, Some(1), "deduplication window");
    let refused = [first.clone(), vec![answered(30, 1, REFUSED)]].concat();
    assert_breach(refused, Rule::Effects, Some(1), "rejected although");
}

#[test]
fn two_attempts_in_flight_at_once_are_reported() {
    let both = vec![
        submitted(0, 1, 0, 0),
        arrived(1, 1, 0, 0, 0),
        arrived(30, 1, 0, 1, 1),
        ended(50, 1, 0, 0, End::Served),
        ended(50, 1, 1, 1, End::Served),
        answered(51, 1, SERVED),
    ];
    assert_breach(both.clone(), Rule::Effects, Some(1), "while attempt 0 was in flight");
    // The connection of the first attempt had ended, so the attempt is no longer in flight.
    assert_passes([both, vec![Record::NodeConnectionClosed { at: 20 * MS, node: 0, conn: 1 }]].concat());
}

#[test]
fn a_third_attempt_in_flight_where_two_are_allowed_is_reported() {
    let audited = |attempts: u32| {
        let mut all = vec![up(0, 0, false), submitted(0, 1, 0, 0)];
        for no in 0..attempts {
            all.push(arrived(1 + 30 * u64::from(no), 1, 0, no, 0));
            all.push(ended(150, 1, no, 0, End::Served));
        }
        all.push(answered(151, 1, SERVED));
        all.sort_by_key(Record::at);
        audit(
            &AttemptLedger::new(all),
            &AuditRules { max_concurrent_attempts: 2, retry_budget: None, ..rules() },
        )
    };
    assert!(audited(2).passed(), "{:?}", audited(2).breaches);
    let third = audited(3);
    assert!(
        third.breaches.iter().all(|b| b.description.contains("attempt 2 sent while")),
        "{:?}",
        third.breaches
    );
    assert_eq!(third.breaches.len(), 1, "{:?}", third.breaches);
}

#[test]
fn an_attempt_sent_after_the_drain_grace_period_is_reported() {
    let drain = vec![notified(0, 0, ListState::Serving), notified(100, 0, ListState::Draining)];
    assert_passes([drain.clone(), served_request(300, 1, 0)].concat());
    assert_breach(
        [drain.clone(), served_request(400, 1, 0)].concat(),
        Rule::Drains,
        Some(1),
        "draining or removed",
    );
    let serving = vec![notified(390, 0, ListState::Serving)];
    assert_passes([drain, serving, served_request(400, 1, 0)].concat());
    let removed = vec![notified(100, 0, ListState::Removed)];
    assert_breach(
        [removed, served_request(400, 1, 0)].concat(),
        Rule::Drains,
        Some(1),
        "draining or removed",
    );
}

#[test]
fn an_overloaded_node_that_is_warming_up_is_reported() {
    let warming_up = |count: u64, gap: u64, is_notified: bool| {
        let mut all = vec![up(9, 0, true)];
        if is_notified {
            all.push(notified(0, 9, ListState::Serving));
        }
        for op in 1..=count {
            let at = op * gap;
            all.extend([submitted(at, op, 0, 0), arrived(at, op, 0, 0, 9)]);
            all.extend([ended(at + 5, op, 0, 9, End::Served), answered(at + 5, op, SERVED)]);
        }
        all
    };
    // At 10% capacity the node tolerates 200 ms of work per second at first: four requests of 50 ms.
    assert_passes(warming_up(4, 200, true));
    assert_breach(warming_up(20, 50, true), Rule::SlowStart, None, "allowed during warm-up");
    assert_passes(warming_up(20, 50, false));
    assert_breach(
        vec![Record::NodeOverloaded { at: 5 * MS, node: 0 }],
        Rule::SlowStart,
        None,
        "failed under overload",
    );
}

#[test]
fn reordered_requests_of_one_key_are_reported() {
    let reordered = vec![
        submitted(0, 1, 1, 0),
        submitted(5, 2, 1, 0),
        arrived(10, 2, 1, 0, 0),
        ended(20, 2, 0, 0, End::Served),
        answered(21, 2, SERVED),
        arrived(30, 1, 1, 0, 0),
        ended(40, 1, 0, 0, End::Served),
        answered(41, 1, SERVED),
    ];
    assert_breach(reordered, Rule::Order, Some(2), "before operation 1");
    assert_passes([served_request(0, 1, 1), served_request(30, 2, 1)].concat());
    // The answer of the first request was lost: the key's cooldown starts at its time-out.
    let lost = vec![
        submitted(0, 1, 1, 0),
        arrived(1, 1, 1, 0, 0),
        ended(20, 1, 0, 0, End::Lost),
        Record::Cancelled { at: 300 * MS, node: 0, initiator: 0, epoch: 1, request: 1, attempt: 0 },
        answered(300, 1, Answer::Failed),
    ];
    assert_breach([lost.clone(), served_request(350, 2, 1)].concat(), Rule::Order, Some(2), "cooldown");
    assert_passes([lost, served_request(450, 2, 1)].concat());
}

#[test]
fn retries_beyond_the_budget_are_reported() {
    let retried = |op: u64| {
        let at = op * 20;
        vec![
            submitted(at, op, 0, 0),
            arrived(at + 1, op, 0, 0, 0),
            ended(at + 2, op, 0, 0, End::Rejected),
            arrived(at + 3, op, 0, 1, 0),
            ended(at + 5, op, 1, 0, End::Served),
            answered(at + 6, op, SERVED),
        ]
    };
    assert_passes([retried(1), retried(2)].concat());
    assert_breach((1..=4).flat_map(retried).collect(), Rule::RetryBudget, Some(3), "retries within");
}

#[test]
fn an_exceeded_rate_limit_is_reported() {
    let limited = |count: u64, gap: u64| -> Vec<Record> {
        let one = |op: u64| {
            served_request(op * gap, op, 0).into_iter().map(|record| match record {
                Record::Arrived {
                    at,
                    node,
                    incarnation,
                    conn,
                    initiator,
                    epoch,
                    request,
                    attempt,
                    op,
                    class,
                    ..
                } => {
                    let (plan, volume, extent, units, work) = (1, 7, 70, 4, 50 * MS);
                    Record::Arrived {
                        at,
                        node,
                        incarnation,
                        conn,
                        initiator,
                        epoch,
                        request,
                        attempt,
                        op,
                        class,
                        plan,
                        volume,
                        extent,
                        units,
                        work,
                    }
                }
                other => other,
            })
        };
        (1..=count).flat_map(one).collect()
    };
    assert_passes(limited(5, 30));
    assert_passes(limited(20, 400));
    assert_breach(limited(8, 30), Rule::Limits, Some(6), "exceeds its rate limit");
}

#[test]
fn a_read_of_data_that_was_never_written_or_was_overwritten_is_reported() {
    let write = |at: u64, op: u64| {
        let mut all = served_request(at, op, 0);
        if let Record::Submitted { write, .. } = &mut all[0] {
            *write = true;
        }
        all
    };
    let read = |at: u64, op: u64, found: Option<u64>| {
        let mut all = served_request(at, op, 0);
        all[3] = answered(at + 21, op, Answer::Served { shard: 0, found });
        all
    };
    let writes = [write(0, 1), write(100, 2)].concat();
    assert_passes([writes.clone(), read(200, 3, Some(2))].concat());
    assert_breach([writes.clone(), read(200, 3, Some(1))].concat(), Rule::Data, Some(3), "overwritten by");
    assert_breach([writes.clone(), read(200, 3, None)].concat(), Rule::Data, Some(3), "returned no data");
    assert_breach([writes.clone(), read(200, 3, Some(77))].concat(), Rule::Data, Some(3), "did not write");
    assert_passes([writes, read(90, 3, Some(1))].concat());
}

#[test]
fn a_truncated_last_line_is_ignored_and_an_invalid_earlier_line_is_an_error() {
    let folder = std::env::temp_dir().join(format!("flaxstand-audit-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut bytes = Vec::new();
    served_request(0, 1, 0).iter().for_each(|r| r.write(&mut bytes));
    std::fs::write(folder.join("truncated.jsonl"), &bytes[..bytes.len() - 5]).unwrap();
    assert_eq!(flaxstand_audit::read_folder(&folder).unwrap(), served_request(0, 1, 0)[..3]);
    let mut invalid = bytes.clone();
    invalid[3] = b'#';
    std::fs::write(folder.join("truncated.jsonl"), &invalid).unwrap();
    let error = flaxstand_audit::read_folder(&folder).unwrap_err().to_string();
    assert!(error.contains("truncated.jsonl:1:"), "{error}");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A write of the buffered class, acknowledged while buffered.
fn buffered(at: u64, op: u64, extent: u64) -> Vec<Record> {
    let mut submitted = submitted(at, op, 4, 0);
    if let Record::Submitted { extent: submitted_extent, write, .. } = &mut submitted {
        (*submitted_extent, *write) = (extent, true);
    }
    vec![submitted, answered(at + 2, op, Answer::Buffered)]
}

fn stored(at: u64, op: u64, extent: u64) -> Record {
    Record::Stored { at: at * MS, node: 0, op, volume: 7, extent }
}

fn mark(at: u64, mark: Mark, completed_at: u64) -> Vec<Record> {
    let (client, id, volume) = (1, 1000 + at, 7);
    let completed = Record::MarkCompleted { at: completed_at * MS, client, id };
    vec![Record::Marked { at: at * MS, client, id, volume, mark }, completed]
}

#[test]
fn an_acknowledged_write_that_is_lost_or_reverted_is_reported() {
    let two = || [buffered(0, 1, 70), buffered(10, 2, 70)].concat();
    assert_passes([two(), vec![stored(20, 1, 70), stored(30, 2, 70)]].concat());
    // The second write replaced the first before the first was written out.
    assert_passes([two(), vec![stored(30, 2, 70)]].concat());
    assert_breach(two(), Rule::Durability, Some(2), "does not hold it");
    assert_breach([two(), vec![stored(20, 1, 70)]].concat(), Rule::Durability, Some(2), "does not hold it");
    let reverted = [two(), vec![stored(20, 2, 70), stored(30, 1, 70), stored(40, 2, 70)]].concat();
    assert_breach(reverted, Rule::Durability, Some(1), "newer operation");
    let never_submitted = [two(), vec![stored(20, 2, 70), stored(30, 9, 70)]].concat();
    assert_breach(never_submitted, Rule::Durability, Some(9), "no client submitted");
}

#[test]
fn a_write_stored_ahead_of_a_barrier_and_a_flush_completed_too_early_are_reported() {
    let all = |mark: Vec<Record>| [buffered(0, 1, 70), mark, buffered(20, 2, 71)].concat();
    let barrier = || all(mark(10, Mark::Barrier, 12));
    assert_passes([barrier(), vec![stored(30, 1, 70), stored(40, 2, 71)]].concat());
    let reordered = [barrier(), vec![stored(30, 2, 71), stored(40, 1, 70)]].concat();
    assert_breach(reordered, Rule::Durability, Some(2), "precedes a barrier");
    // Without a barrier the two may be stored in any order.
    assert_passes(
        [buffered(0, 1, 70), buffered(20, 2, 71), vec![stored(30, 2, 71), stored(40, 1, 70)]].concat(),
    );
    let flush = || all(mark(10, Mark::Flush, 35));
    assert_passes([flush(), vec![stored(30, 1, 70), stored(40, 2, 71)]].concat());
    let early = [flush(), vec![stored(36, 1, 70), stored(40, 2, 71)]].concat();
    assert_breach(early, Rule::Durability, Some(1), "flush completed before");
    let completed = vec![Record::MarkCompleted { at: MS, client: 1, id: 5 }];
    let never_submitted = [completed, buffered(0, 1, 70), vec![stored(5, 1, 70)]].concat();
    assert_breach(never_submitted, Rule::Durability, None, "no client submitted");
}
