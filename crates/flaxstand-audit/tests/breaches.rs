//! Every check can fail: a sound record passes, and each breach made on purpose is caught under its rule's name,
//! with its operation, node and moment.

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
    Record::Told { at: at * MS, initiator: 0, epoch: 1, node, incarnation: 1, state }
}

/// A request served at node 0 without incident.
fn sound(at: u64, op: u64, class: u16) -> Vec<Record> {
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
fn caught(records: Vec<Record>, rule: Rule, op: Option<u64>, word: &str) {
    let verdict = check(records);
    let found =
        verdict.breaches.iter().find(|b| b.rule == rule).unwrap_or_else(|| panic!("{word}: not caught"));
    assert!(found.how.contains(word), "{found}");
    assert_eq!(found.op, op, "{found}");
    assert!(verdict.breaches.iter().all(|b| b.rule == rule), "{:?}", verdict.breaches);
}

fn kept(records: Vec<Record>) {
    let verdict = check(records);
    assert!(verdict.kept(), "{:?}", verdict.breaches);
}

#[test]
fn a_sound_record_passes_and_says_what_was_checked() {
    let verdict = check([sound(0, 1, 0), sound(100, 2, 1), sound(200, 3, 1)].concat());
    assert!(verdict.kept(), "{:?}", verdict.breaches);
    assert_eq!(verdict.checked[&Rule::Answers.to_string()], 3);
    assert_eq!(verdict.checked[&Rule::Order.to_string()], 1);
    assert!(!verdict.checked.contains_key(&Rule::Cold.to_string()), "nothing was cold");
}

#[test]
fn a_second_missing_or_late_answer_is_found() {
    caught([sound(0, 1, 0), vec![answered(40, 1, REFUSED)]].concat(), Rule::Answers, Some(1), "twice");
    caught(vec![submitted(0, 1, 0, 0)], Rule::Answers, Some(1), "never answered");
    caught(vec![submitted(0, 1, 0, 0), answered(1001, 1, REFUSED)], Rule::Answers, Some(1), "gave up");
    kept(vec![submitted(0, 1, 0, 0), answered(999, 1, REFUSED)]);
}

#[test]
fn a_connection_closed_by_a_running_initiator_is_found() {
    let lost = |by_client| Record::Lost { at: 500 * MS, client: 1, by_client };
    caught(vec![submitted(0, 1, 0, 0), lost(false)], Rule::Answers, Some(1), "hung up");
    kept(vec![submitted(0, 1, 0, 0), lost(true)]);
    kept(vec![submitted(0, 1, 0, 0), Record::Killed { at: 499 * MS, initiator: 0 }, lost(false)]);
}

#[test]
fn an_attempt_after_the_final_answer_is_found() {
    let late = vec![arrived(60, 1, 0, 1, 0), ended(70, 1, 1, 0, End::Served)];
    caught([sound(0, 1, 0), late].concat(), Rule::Answers, Some(1), "after its final answer");
}

#[test]
fn a_non_idempotent_request_retried_or_rejected_after_it_may_have_run_is_found() {
    let first = vec![submitted(0, 1, 1, 0), arrived(1, 1, 1, 0, 0), ended(9, 1, 0, 0, End::Error)];
    let again = vec![arrived(30, 1, 1, 1, 0), ended(40, 1, 1, 0, End::Served), answered(41, 1, SERVED)];
    caught([first.clone(), again].concat(), Rule::Effects, Some(1), "sent again though");
    caught([first, vec![answered(30, 1, REFUSED)]].concat(), Rule::Effects, Some(1), "refused though");
    let full = vec![submitted(0, 1, 1, 0), arrived(1, 1, 1, 0, 0), ended(2, 1, 0, 0, End::Full)];
    kept([full, vec![answered(30, 1, REFUSED)]].concat());
}

#[test]
fn a_retry_outside_its_deduplication_scope_or_window_is_found() {
    let first = vec![submitted(0, 1, 2, 0), arrived(1, 1, 2, 0, 0), ended(9, 1, 0, 0, End::Error)];
    let again = |at, node| {
        let end = ended(at + 9, 1, 1, node, End::Served);
        [first.clone(), vec![arrived(at, 1, 2, 1, node), end, answered(at + 9, 1, SERVED)]].concat()
    };
    kept(again(50, 1));
    caught(again(50, 2), Rule::Effects, Some(1), "outside the Zone");
    let long = Record::Submitted {
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
    late[0] = long;
    caught(late, Rule::Effects, Some(1), "remembered for");
    let refused = [first.clone(), vec![answered(30, 1, REFUSED)]].concat();
    caught(refused, Rule::Effects, Some(1), "refused though");
}

#[test]
fn two_attempts_in_flight_at_once_are_found() {
    let both = vec![
        submitted(0, 1, 0, 0),
        arrived(1, 1, 0, 0, 0),
        arrived(30, 1, 0, 1, 1),
        ended(50, 1, 0, 0, End::Served),
        ended(50, 1, 1, 1, End::Served),
        answered(51, 1, SERVED),
    ];
    caught(both.clone(), Rule::Effects, Some(1), "while attempt 0 was out");
    // The first one's connection had ended: it is no longer out.
    kept([both, vec![Record::Hung { at: 20 * MS, node: 0, conn: 1 }]].concat());
}

#[test]
fn a_third_attempt_in_flight_where_two_are_allowed_is_found() {
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
    assert!(audited(2).kept(), "{:?}", audited(2).breaches);
    let third = audited(3);
    assert!(third.breaches.iter().all(|b| b.how.contains("attempt 2 sent while")), "{:?}", third.breaches);
    assert_eq!(third.breaches.len(), 1, "{:?}", third.breaches);
}

#[test]
fn a_send_after_the_grace_of_a_drain_is_found() {
    let drain = vec![notified(0, 0, ListState::Serving), notified(100, 0, ListState::Draining)];
    kept([drain.clone(), sound(300, 1, 0)].concat());
    caught([drain.clone(), sound(400, 1, 0)].concat(), Rule::Drains, Some(1), "drains or is gone");
    let back = vec![notified(390, 0, ListState::Serving)];
    kept([drain, back, sound(400, 1, 0)].concat());
    let gone = vec![notified(100, 0, ListState::Gone)];
    caught([gone, sound(400, 1, 0)].concat(), Rule::Drains, Some(1), "drains or is gone");
}

#[test]
fn an_overloaded_node_that_is_warming_up_is_found() {
    let cold = |count: u64, gap: u64, heard: bool| {
        let mut all = vec![up(9, 0, true)];
        if heard {
            all.push(notified(0, 9, ListState::Serving));
        }
        for op in 1..=count {
            let at = op * gap;
            all.extend([submitted(at, op, 0, 0), arrived(at, op, 0, 0, 9)]);
            all.extend([ended(at + 5, op, 0, 9, End::Served), answered(at + 5, op, SERVED)]);
        }
        all
    };
    // It bears a fifth of a second of work a second at first, 50 ms a request: four at 10%.
    kept(cold(4, 200, true));
    caught(cold(20, 50, true), Rule::Cold, None, "it bears");
    kept(cold(20, 50, false));
    caught(vec![Record::Fell { at: 5 * MS, node: 0 }], Rule::Cold, None, "fell over");
}

#[test]
fn reordered_requests_of_one_key_are_found() {
    let crossed = vec![
        submitted(0, 1, 1, 0),
        submitted(5, 2, 1, 0),
        arrived(10, 2, 1, 0, 0),
        ended(20, 2, 0, 0, End::Served),
        answered(21, 2, SERVED),
        arrived(30, 1, 1, 0, 0),
        ended(40, 1, 0, 0, End::Served),
        answered(41, 1, SERVED),
    ];
    caught(crossed, Rule::Order, Some(2), "before operation 1");
    kept([sound(0, 1, 1), sound(30, 2, 1)].concat());
    // The first one's answer was lost: after its time-out the key rests.
    let lost = vec![
        submitted(0, 1, 1, 0),
        arrived(1, 1, 1, 0, 0),
        ended(20, 1, 0, 0, End::Lost),
        Record::Cancelled { at: 300 * MS, node: 0, initiator: 0, epoch: 1, request: 1, attempt: 0 },
        answered(300, 1, Answer::Failed),
    ];
    caught([lost.clone(), sound(350, 2, 1)].concat(), Rule::Order, Some(2), "rested");
    kept([lost, sound(450, 2, 1)].concat());
}

#[test]
fn retries_beyond_the_budget_are_found() {
    let tried = |op: u64| {
        let at = op * 20;
        vec![
            submitted(at, op, 0, 0),
            arrived(at + 1, op, 0, 0, 0),
            ended(at + 2, op, 0, 0, End::Full),
            arrived(at + 3, op, 0, 1, 0),
            ended(at + 5, op, 1, 0, End::Served),
            answered(at + 6, op, SERVED),
        ]
    };
    kept([tried(1), tried(2)].concat());
    caught((1..=4).flat_map(tried).collect(), Rule::Budget, Some(3), "further attempts");
}

#[test]
fn a_plan_limit_that_is_passed_is_found() {
    let limited = |count: u64, gap: u64| -> Vec<Record> {
        let one = |op: u64| {
            sound(op * gap, op, 0).into_iter().map(|record| match record {
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
    kept(limited(5, 30));
    kept(limited(20, 400));
    caught(limited(8, 30), Rule::Limits, Some(6), "past its limit");
}

#[test]
fn a_read_of_data_that_no_one_wrote_or_that_was_replaced_is_found() {
    let write = |at: u64, op: u64| {
        let mut all = sound(at, op, 0);
        if let Record::Submitted { write, .. } = &mut all[0] {
            *write = true;
        }
        all
    };
    let read = |at: u64, op: u64, found: Option<u64>| {
        let mut all = sound(at, op, 0);
        all[3] = answered(at + 21, op, Answer::Served { shard: 0, found });
        all
    };
    let writes = [write(0, 1), write(100, 2)].concat();
    kept([writes.clone(), read(200, 3, Some(2))].concat());
    caught([writes.clone(), read(200, 3, Some(1))].concat(), Rule::Data, Some(3), "had replaced it");
    caught([writes.clone(), read(200, 3, None)].concat(), Rule::Data, Some(3), "read nothing");
    caught([writes.clone(), read(200, 3, Some(77))].concat(), Rule::Data, Some(3), "no one wrote");
    kept([writes, read(90, 3, Some(1))].concat());
}

#[test]
fn a_record_cut_short_loses_its_last_line_only() {
    let folder = std::env::temp_dir().join(format!("flaxstand-audit-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut bytes = Vec::new();
    sound(0, 1, 0).iter().for_each(|r| r.write(&mut bytes));
    std::fs::write(folder.join("cut.jsonl"), &bytes[..bytes.len() - 5]).unwrap();
    assert_eq!(flaxstand_audit::read_folder(&folder).unwrap(), sound(0, 1, 0)[..3]);
    let mut middle = bytes.clone();
    middle[3] = b'#';
    std::fs::write(folder.join("cut.jsonl"), &middle).unwrap();
    let error = flaxstand_audit::read_folder(&folder).unwrap_err().to_string();
    assert!(error.contains("cut.jsonl:1:"), "{error}");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A write of the buffered class, acknowledged as such.
fn buffered(at: u64, op: u64, extent: u64) -> Vec<Record> {
    let mut submitted = submitted(at, op, 4, 0);
    if let Record::Submitted { extent: place, write, .. } = &mut submitted {
        (*place, *write) = (extent, true);
    }
    vec![submitted, answered(at + 2, op, Answer::Buffered)]
}

fn stored(at: u64, op: u64, extent: u64) -> Record {
    Record::Stored { at: at * MS, node: 0, op, volume: 7, extent }
}

fn mark(at: u64, mark: Mark, stands_at: u64) -> Vec<Record> {
    let (client, id, volume) = (1, 1000 + at, 7);
    let stands = Record::MarkStands { at: stands_at * MS, client, id };
    vec![Record::Marked { at: at * MS, client, id, volume, mark }, stands]
}

#[test]
fn an_acknowledged_write_lost_or_reverted_is_found() {
    let two = || [buffered(0, 1, 70), buffered(10, 2, 70)].concat();
    kept([two(), vec![stored(20, 1, 70), stored(30, 2, 70)]].concat());
    // The second took the first's place before it went out.
    kept([two(), vec![stored(30, 2, 70)]].concat());
    caught(two(), Rule::Durability, Some(2), "does not hold it");
    caught([two(), vec![stored(20, 1, 70)]].concat(), Rule::Durability, Some(2), "does not hold it");
    let back = [two(), vec![stored(20, 2, 70), stored(30, 1, 70), stored(40, 2, 70)]].concat();
    caught(back, Rule::Durability, Some(1), "which is newer");
    let strange = [two(), vec![stored(20, 2, 70), stored(30, 9, 70)]].concat();
    caught(strange, Rule::Durability, Some(9), "no one wrote");
}

#[test]
fn a_write_past_a_barrier_and_a_flush_answered_too_early_are_found() {
    let all = |mark: Vec<Record>| [buffered(0, 1, 70), mark, buffered(20, 2, 71)].concat();
    let barrier = || all(mark(10, Mark::Barrier, 12));
    kept([barrier(), vec![stored(30, 1, 70), stored(40, 2, 71)]].concat());
    let passed = [barrier(), vec![stored(30, 2, 71), stored(40, 1, 70)]].concat();
    caught(passed, Rule::Durability, Some(2), "before a barrier");
    // Without a barrier any of the two may come first.
    kept([buffered(0, 1, 70), buffered(20, 2, 71), vec![stored(30, 2, 71), stored(40, 1, 70)]].concat());
    let flush = || all(mark(10, Mark::Flush, 35));
    kept([flush(), vec![stored(30, 1, 70), stored(40, 2, 71)]].concat());
    let early = [flush(), vec![stored(36, 1, 70), stored(40, 2, 71)]].concat();
    caught(early, Rule::Durability, Some(1), "flush was answered");
    let unmade = vec![Record::MarkStands { at: MS, client: 1, id: 5 }];
    let unmade = [unmade, buffered(0, 1, 70), vec![stored(5, 1, 70)]].concat();
    caught(unmade, Rule::Durability, None, "no one made");
}
