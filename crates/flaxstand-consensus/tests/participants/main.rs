//! Agreement under drawn faults: no two initiators act on rules that contradict each other, and all come back.

mod rig;

use flaxstand_consensus::lease_manager::{LeaseManager, LeaseRequest};
use flaxstand_consensus::member::Member;
use flaxstand_consensus::participant::OperatorRequest;
use flaxstand_consensus::replicated_state::{Change, ReplicatedState, Version};
use flaxstand_consensus::rules::{NARROWING_TABLE, Narrowing, Rules, Value, narrowing_of};
use flaxstand_consensus::{InjectedFault, Micros};
use proptest::prelude::*;
use rig::{World, ms};
use std::collections::BTreeMap;

/// One drawn day. What went wrong, in words; or how many passages there were.
fn drawn(seed: u64, injected_fault: InjectedFault, hosts: std::ops::Range<u64>) -> Result<u64, String> {
    let voters = if seed % 4 == 3 { 5 } else { 3 };
    let count = (hosts.start + seed % (hosts.end - hosts.start)) as usize;
    let mut w = World::new(voters, count.max(voters), seed, injected_fault);
    w.run(ms(600));
    w.propose();
    w.run(ms(1500));
    let n = w.count() as u64;
    for _ in 0..25 {
        let (a, b) = (w.below(n) as usize, w.below(n) as usize);
        match w.below(20) {
            0 => w.kill(a, true),
            1 | 2 => w.kill(a, false),
            3..=5 => (0..w.count()).for_each(|i| {
                if !w.is_up(i) {
                    w.start(i);
                }
            }),
            6 | 7 => w.isolate(a),
            8 if a != b => w.cut.extend([(a, b), (b, a)]),
            9 if a != b => drop(w.cut.insert((a, b))),
            10..=13 => w.cut.clear(),
            14 => w.pause(a, ms(1200)),
            15 => (0..voters).for_each(|i| w.pause(i, ms(900))),
            16 => w.lossy = w.below(200),
            17 => w.slowest = 1 + w.below(150),
            18 => {
                let number = w.newest() + 1;
                w.operator_request(&OperatorRequest::Withdraw(number, "a test".into(), 0));
            }
            _ => {}
        }
        if w.below(3) == 0 {
            w.propose();
        }
        let time = ms(w.below(700));
        w.run(time);
    }
    let well = w.heal();
    let (longest, who) = &w.longest_clash;
    if *longest > Micros(0) {
        return Err(format!("seed {seed}: contradiction for {} us: {who}", longest.0));
    }
    match w.broken.first() {
        Some(broken) => Err(format!("seed {seed}: {broken}")),
        None if !well => Err(format!("seed {seed}: they did not come back:\n{}", w.tell())),
        None => Ok(w.passages),
    }
}

/// Seeds that the whole workspace's tests play; others by the variables.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let told = |name, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let from = told("FLAXSTAND_FROM", 0);
    from..from + told("FLAXSTAND_SCHEDULES", count)
}

#[test]
fn drawn_days_see_no_contradiction_and_end_on_one_version() {
    let mut passages = 0;
    for seed in seeds(60) {
        passages += drawn(seed, InjectedFault::None, 5..10).unwrap_or_else(|e| panic!("{e}"));
    }
    assert!(passages > seeds(60).count() as u64 * 20, "hardly anything happened: {passages}");
}

/// Three hundred initiators: how many words a second reach one of them at rest, most. All act on one version.
#[test]
fn three_hundred_agree_and_no_keeper_is_asked_more_than_stated() {
    let mut w = World::new(5, 300, 11, InjectedFault::None);
    w.run(ms(1000));
    w.propose();
    w.run(ms(4000));
    assert_eq!(w.on_newest(), 300, "{}", w.tell());
    w.most_words = 0;
    w.run(ms(3000));
    // Each asks four times a lease and is answered as often, by the leader in the end; between keepers there is
    // the leader's word five times an election's time.
    let asks = 300 * 4 * 1000 / rig::LEASE_MS;
    assert!(w.most_words <= 2 * asks, "{} words in a second, {asks} asks", w.most_words);
    println!("{} words a second at most reach one of 300, leases of {} ms", w.most_words, rig::LEASE_MS);
}

/// Each is caught by some drawn day: a contradiction, a book that goes back.
#[test]
fn planted_faults_are_caught() {
    let all = [
        InjectedFault::OneStep,
        InjectedFault::LeaseNotChecked,
        InjectedFault::LeaseFromAnswer,
        InjectedFault::StrangersIgnored,
        InjectedFault::LeasesNotAwaited,
        InjectedFault::OlderBookTaken,
    ];
    for injected_fault in all {
        let caught =
            (0..400).find_map(|seed| match std::panic::catch_unwind(|| drawn(seed, injected_fault, 5..8)) {
                Err(_) => Some(format!("seed {seed}: an assertion")),
                Ok(Err(what)) if !what.contains("come back") => Some(what),
                Ok(_) => None,
            });
        println!("{injected_fault:?}: {}", caught.as_deref().unwrap_or("not caught"));
        assert!(caught.is_some(), "{injected_fault:?} was not caught");
    }
}

/// Whether a member that understands the rules otherwise keeps its lease and counts as confirmed.
fn another_build(injected_fault: InjectedFault) -> (bool, bool) {
    let mut replicated_state =
        ReplicatedState { members: BTreeMap::from([("i1".to_owned(), ())]), ..ReplicatedState::default() };
    let version =
        |limit| Version { rules: rig::rules(limit, "once"), by: "a test".into(), ..Version::default() };
    assert_eq!(replicated_state.apply(Change::Propose { base: 0, version: version(50.0) }), Ok(1));
    assert_eq!(replicated_state.apply(Change::Propose { base: 1, version: version(20.0) }), Ok(2));
    let mut leases = LeaseManager::new(ms(600), 0.0, injected_fault, ms(0));
    let (name, digest) = ("i1".to_owned(), replicated_state.digest() ^ 1);
    let ask = LeaseRequest {
        name,
        epoch: 1,
        seq: 1,
        index: 9,
        stage: replicated_state.stage,
        digest,
        cannot: None,
        leaves: false,
    };
    let answer = leases.decide(&ask, 9, &replicated_state, ms(5000), ms(1000)).response;
    let blockers = leases.blockers(&replicated_state, ms(1000));
    let held = blockers.iter().any(|h| h.who == "i1" && h.why.contains("another build"));
    (answer.lease.is_some(), !held)
}

#[test]
fn a_member_that_understands_otherwise_confirms_nothing_and_the_operator_is_told() {
    assert_eq!(another_build(InjectedFault::None), (false, false));
    assert_eq!(another_build(InjectedFault::DigestNotCompared), (true, true), "the planted fault shows");
}

#[test]
fn the_floor_stands_below_every_version_and_changes_with_everyones_word_alone() {
    let mut replicated_state =
        ReplicatedState { members: BTreeMap::from([("i1".to_owned(), ())]), ..ReplicatedState::default() };
    let first = Version { rules: rig::rules(50.0, "repeatable"), ..Version::default() };
    replicated_state.apply(Change::Propose { base: 0, version: first.clone() }).expect("the first");
    let mut low = first.clone();
    low.rules.values.insert("plan.gold.limit-rate".into(), Value::Number(0.5));
    let refused = replicated_state
        .apply(Change::Propose { base: 1, version: low.clone() })
        .expect_err("narrower than the floor");
    assert!(refused.contains("plan.gold.limit-rate is 0.5, narrower than the floor's 1"), "{refused}");
    // With the floor changed in the same step it may come, once those without a lease have said so too.
    low.rules.fallback.insert("plan.gold.limit-rate".into(), Value::Number(0.5));
    replicated_state.apply(Change::Propose { base: 1, version: low }).expect("with its floor");
    assert!(replicated_state.needs_everyone());
    let leases = LeaseManager::new(ms(600), 0.0, InjectedFault::None, ms(0));
    let blockers = leases.blockers(&replicated_state, ms(60_000));
    assert!(
        blockers.iter().any(|h| h.why.contains("its own word is needed") && h.ends_ms.is_none()),
        "{blockers:?}"
    );
    // Cut off, it acts on the narrower of both floors.
    let mut member =
        Member::new("i1".into(), 1, Some((9, replicated_state)), ms(600), InjectedFault::None, ms(0));
    let rules = member.rules(&first.rules, ms(10));
    assert_eq!(rules.values.get("plan.gold.limit-rate"), Some(&Value::Number(0.5)));
    assert_eq!(rules.values.get("class.read.effect"), Some(&Value::Text("once".into())));
    assert!(
        member.lease_request(ms(10)).is_some() && member.wake(ms(10)) > ms(10),
        "it does not wake for a lease long gone"
    );
}

fn some_rules() -> impl Strategy<Value = Rules> {
    let number = || prop_oneof![Just(None), (1u32..6).prop_map(|n| Some(Value::Number(f64::from(n))))];
    let flag = || prop_oneof![Just(None), any::<bool>().prop_map(|b| Some(Value::Flag(b)))];
    let word = |outgoing: &'static [&str]| {
        proptest::sample::select(outgoing).prop_map(|w| Some(Value::Text(w.to_owned())))
    };
    let values = NARROWING_TABLE.iter().map(|(key, narrowing_of)| {
        let key = key.replace('*', "name.with dots");
        let value = match narrowing_of {
            Narrowing::False | Narrowing::True => flag().boxed(),
            Narrowing::Earliest(outgoing) => word(outgoing).boxed(),
            Narrowing::Immutable => Just(Some(Value::Number(1.0))).boxed(),
            _ => number().boxed(),
        };
        (Just(key), value)
    });
    values.collect::<Vec<_>>().prop_map(|all| {
        let values = all.into_iter().filter_map(|(key, value)| Some((key, value?))).collect();
        Rules { values, fallback: BTreeMap::new() }
    })
}

/// What contradicts: all but what is free.
fn binding(rules: &Rules) -> BTreeMap<&String, &Value> {
    rules.values.iter().filter(|(key, _)| narrowing_of(key) != Some(Narrowing::Unordered)).collect()
}

proptest! {
    #[test]
    fn the_narrower_of_two_is_narrower_than_both_and_the_floor_than_all(a in some_rules(), b in some_rules()) {
        let middle = a.narrower(&b);
        let other = b.narrower(&a);
        prop_assert_eq!(binding(&middle), binding(&other));
        for rules in [&a, &b] {
            let again = middle.narrower(rules);
            prop_assert_eq!(binding(&again), binding(&middle));
        }
        let (fallback, same) = (a.fallback_rules(), a.narrower(&a));
        prop_assert_eq!(&same.values, &a.values);
        let below = fallback.narrower(&a);
        prop_assert_eq!(binding(&below), binding(&fallback));
        prop_assert!(a.unknown().is_empty(), "every key of the table is known: {:?}", a.unknown());
        prop_assert_eq!(a.digest() == b.digest(), a == b);
    }
}
