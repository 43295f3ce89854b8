//! Agreement under drawn faults: no two initiators act on rules that contradict each other, and all recover.

mod harness;

use flaxstand_consensus::lease_manager::{LeaseManager, LeaseRequest};
use flaxstand_consensus::member::Member;
use flaxstand_consensus::participant::OperatorRequest;
use flaxstand_consensus::replicated_state::{Change, IndexedState, ReplicatedState, Version};
use flaxstand_consensus::rules::{NARROWING_TABLE, Narrowing, Rules, Value, narrowing_of};
use flaxstand_consensus::{InjectedFault, Micros};
use harness::{Cluster, ms};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Plays one drawn schedule. Returns how often initiators changed rules; or what was violated, or that they
/// did not recover, in words.
fn play_schedule(
    seed: u64,
    injected_fault: InjectedFault,
    hosts: std::ops::Range<u64>,
) -> Result<u64, String> {
    let voters = if seed % 4 == 3 { 5 } else { 3 };
    let count = (hosts.start + seed % (hosts.end - hosts.start)) as usize;
    let mut cluster = Cluster::new(voters, count.max(voters), seed, injected_fault);
    cluster.run(ms(600));
    cluster.propose();
    cluster.run(ms(1500));
    let n = cluster.count() as u64;
    for _ in 0..25 {
        let (a, b) = (cluster.below(n) as usize, cluster.below(n) as usize);
        match cluster.below(20) {
            0 => cluster.kill(a, true),
            1 | 2 => cluster.kill(a, false),
            3..=5 => (0..cluster.count()).for_each(|i| {
                if !cluster.is_up(i) {
                    cluster.start(i);
                }
            }),
            6 | 7 => cluster.isolate(a),
            8 if a != b => cluster.cut.extend([(a, b), (b, a)]),
            9 if a != b => drop(cluster.cut.insert((a, b))),
            10..=13 => cluster.cut.clear(),
            14 => cluster.pause(a, ms(1200)),
            15 => (0..voters).for_each(|i| cluster.pause(i, ms(900))),
            16 => cluster.loss_per_thousand = cluster.below(200),
            17 => cluster.max_delay_ms = 1 + cluster.below(150),
            18 => {
                let number = cluster.newest() + 1;
                cluster.request_of_all(&OperatorRequest::Withdraw { number, by: "a test".into(), at: 0 });
            }
            _ => {}
        }
        if cluster.below(3) == 0 {
            cluster.propose();
        }
        let time = ms(cluster.below(700));
        cluster.run(time);
    }
    let has_recovered = cluster.heal();
    let (longest, who) = &cluster.longest_contradiction;
    if *longest > Micros(0) {
        return Err(format!("seed {seed}: contradiction for {} us: {who}", longest.0));
    }
    match cluster.violations.first() {
        Some(violation) => Err(format!("seed {seed}: {violation}")),
        None if !has_recovered => Err(format!("seed {seed}: they did not recover:\n{}", cluster.describe())),
        None => Ok(cluster.rules_changes),
    }
}

/// Seeds that the workspace's tests play; others by the variables.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let variable = |name, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let from = variable("FLAXSTAND_FROM", 0);
    from..from + variable("FLAXSTAND_SCHEDULES", count)
}

#[test]
fn drawn_schedules_have_no_contradiction_and_end_on_one_version() {
    let mut rules_changes = 0;
    for seed in seeds(60) {
        rules_changes += play_schedule(seed, InjectedFault::None, 5..10).unwrap_or_else(|e| panic!("{e}"));
    }
    assert!(rules_changes > seeds(60).count() as u64 * 20, "hardly anything happened: {rules_changes}");
}

/// Guards against a leader that more messages reach at rest than the lease requests of three hundred
/// initiators and their responses. All act on one version.
#[test]
fn three_hundred_agree_and_no_replica_receives_more_messages_than_stated() {
    let mut cluster = Cluster::new(5, 300, 11, InjectedFault::None);
    cluster.run(ms(1000));
    cluster.propose();
    cluster.run(ms(4000));
    assert_eq!(cluster.on_newest(), 300, "{}", cluster.describe());
    cluster.max_messages_per_second = 0;
    cluster.run(ms(3000));
    // Each asks four times a lease and is answered as often, by the leader in the end; between replicas there
    // are the leader's heartbeats, five in an election timeout.
    let requests = 300 * 4 * 1000 / harness::LEASE_MS;
    let most = cluster.max_messages_per_second;
    assert!(most <= 2 * requests, "{most} messages in a second, {requests} requests");
    println!("{most} messages a second at most reach one of 300, leases of {} ms", harness::LEASE_MS);
}

/// Each is caught by some drawn schedule: a contradiction, a replicated state that goes back.
#[test]
fn injected_faults_are_caught() {
    let all = [
        InjectedFault::TransitionSkipped,
        InjectedFault::LeaseExpiryIgnored,
        InjectedFault::LeaseFromResponse,
        InjectedFault::EarlierLeadersIgnored,
        InjectedFault::LeasesNotAwaited,
        InjectedFault::OlderStateAccepted,
    ];
    for injected_fault in all {
        let caught = (0..400).find_map(|seed| {
            match std::panic::catch_unwind(|| play_schedule(seed, injected_fault, 5..8)) {
                Err(_) => Some(format!("seed {seed}: an assertion")),
                Ok(Err(what)) if !what.contains("did not recover") => Some(what),
                Ok(_) => None,
            }
        });
        println!("{injected_fault:?}: {}", caught.as_deref().unwrap_or("not caught"));
        assert!(caught.is_some(), "{injected_fault:?} was not caught");
    }
}

/// Whether a member with another digest of the rules gets a lease, and whether it counts as confirmed.
fn another_build(injected_fault: InjectedFault) -> (bool, bool) {
    let mut replicated_state =
        ReplicatedState { members: BTreeMap::from([("i1".to_owned(), ())]), ..ReplicatedState::default() };
    let version =
        |limit| Version { rules: harness::rules(limit, "once"), by: "a test".into(), ..Version::default() };
    assert_eq!(replicated_state.apply(Change::Propose { base: 0, version: version(50.0) }), Ok(1));
    assert_eq!(replicated_state.apply(Change::Propose { base: 1, version: version(20.0) }), Ok(2));
    let mut leases = LeaseManager::new(ms(600), 0.0, injected_fault, ms(0));
    let (name, digest) = ("i1".to_owned(), replicated_state.digest() ^ 1);
    let request = LeaseRequest {
        name,
        epoch: 1,
        seq: 1,
        state_index: 9,
        stage: replicated_state.stage,
        digest,
        unable_reason: None,
        releases_lease: false,
    };
    let response = leases.decide(&request, 9, &replicated_state, ms(5000), ms(1000)).response;
    let blockers = leases.blockers(&replicated_state, ms(1000));
    let is_blocked = blockers.iter().any(|h| h.who == "i1" && h.why.contains("another build"));
    (response.lease.is_some(), !is_blocked)
}

#[test]
fn a_member_with_another_digest_confirms_nothing_and_the_operator_is_told() {
    assert_eq!(another_build(InjectedFault::None), (false, false));
    assert_eq!(another_build(InjectedFault::DigestNotCompared), (true, true), "the injected fault shows");
}

#[test]
fn no_version_is_narrower_than_the_fallback_rules_and_they_change_only_when_everyone_confirms() {
    let mut replicated_state =
        ReplicatedState { members: BTreeMap::from([("i1".to_owned(), ())]), ..ReplicatedState::default() };
    let first = Version { rules: harness::rules(50.0, "repeatable"), ..Version::default() };
    replicated_state.apply(Change::Propose { base: 0, version: first.clone() }).expect("the first");
    let mut low = first.clone();
    low.rules.values.insert("plan.gold.limit-rate".into(), Value::Number(0.5));
    let refused = replicated_state
        .apply(Change::Propose { base: 1, version: low.clone() })
        .expect_err("narrower than the fallback")
        .to_string();
    assert!(refused.contains("plan.gold.limit-rate is 0.5, narrower than the floor's 1"), "{refused}");
    // With the fallback changed in the same step it may follow, once those without a lease have confirmed
    // too.
    low.rules.fallback.insert("plan.gold.limit-rate".into(), Value::Number(0.5));
    replicated_state.apply(Change::Propose { base: 1, version: low }).expect("with its fallback");
    assert!(replicated_state.needs_all_members());
    let leases = LeaseManager::new(ms(600), 0.0, InjectedFault::None, ms(0));
    let blockers = leases.blockers(&replicated_state, ms(60_000));
    assert!(
        blockers
            .iter()
            .any(|h| h.why.contains("this member has to confirm the version") && h.ends_ms.is_none()),
        "{blockers:?}"
    );
    // Cut off, it acts on the narrower of both fallback rules.
    let mut member = Member::new(
        "i1".into(),
        1,
        Some(IndexedState { index: 9, state: replicated_state }),
        ms(600),
        InjectedFault::None,
        ms(0),
    );
    let rules = member.rules(&first.rules, ms(10));
    assert_eq!(rules.values.get("plan.gold.limit-rate"), Some(&Value::Number(0.5)));
    assert_eq!(rules.values.get("class.read.effect"), Some(&Value::Text("once".into())));
    assert!(
        member.lease_request(ms(10)).is_some() && member.wake_at(ms(10)) > ms(10),
        "it does not wake for a lease long gone"
    );
}

fn some_rules() -> impl Strategy<Value = Rules> {
    let number = || prop_oneof![Just(None), (1u32..6).prop_map(|n| Some(Value::Number(f64::from(n))))];
    let flag = || prop_oneof![Just(None), any::<bool>().prop_map(|b| Some(Value::Flag(b)))];
    let word = |words: &'static [&str]| {
        proptest::sample::select(words).prop_map(|w| Some(Value::Text(w.to_owned())))
    };
    let values = NARROWING_TABLE.iter().map(|(key, narrowing_of)| {
        let key = key.replace('*', "name.with dots");
        let value = match narrowing_of {
            Narrowing::False | Narrowing::True => flag().boxed(),
            Narrowing::Earliest(words) => word(words).boxed(),
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

/// All values that can contradict others.
fn binding(rules: &Rules) -> BTreeMap<&String, &Value> {
    rules.values.iter().filter(|(key, _)| narrowing_of(key) != Some(Narrowing::Unordered)).collect()
}

proptest! {
    #[test]
    fn the_narrower_of_two_is_narrower_than_both_and_the_fallback_rules_than_all(a in some_rules(), b in some_rules()) {
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
        prop_assert!(a.unknown_keys().is_empty(), "every key of the table is known: {:?}", a.unknown_keys());
        prop_assert_eq!(a.digest() == b.digest(), a == b);
    }
}
