//! Randomized fault injection: no two initiators apply contradictory rules at any time, and all of them
//! recover once the faults end.

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

/// Runs one random fault schedule. Returns how many times initiators changed their rules, or a description of
/// the contradiction, the violation or the failed recovery.
fn run_schedule(
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
        let (a, b) = (cluster.random_below(n) as usize, cluster.random_below(n) as usize);
        match cluster.random_below(20) {
            0 => cluster.crash(a, true),
            1 | 2 => cluster.crash(a, false),
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
            16 => cluster.loss_per_thousand = cluster.random_below(200),
            17 => cluster.max_delay_ms = 1 + cluster.random_below(150),
            18 => {
                let number = cluster.newest_version() + 1;
                cluster.send_to_all_hosts(&OperatorRequest::Withdraw { number, by: "a test".into(), at: 0 });
            }
            _ => {}
        }
        if cluster.random_below(3) == 0 {
            cluster.propose();
        }
        let time = ms(cluster.random_below(700));
        cluster.run(time);
    }
    let has_recovered = cluster.heal();
    let (longest, hosts_and_rules) = &cluster.longest_contradiction;
    if *longest > Micros(0) {
        return Err(format!("seed {seed}: contradictory rules for {} us: {hosts_and_rules}", longest.0));
    }
    match cluster.violations.first() {
        Some(violation) => Err(format!("seed {seed}: {violation}")),
        None if !has_recovered => {
            Err(format!("seed {seed}: the initiators did not recover:\n{}", cluster.describe()))
        }
        None => Ok(cluster.rules_change_count),
    }
}

/// Seeds to run, by default `0..count`. `FLAXSTAND_FROM` sets the first and `FLAXSTAND_SCHEDULES` the number
/// of them.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let env_or = |name, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let from = env_or("FLAXSTAND_FROM", 0);
    from..from + env_or("FLAXSTAND_SCHEDULES", count)
}

#[test]
fn random_schedules_cause_no_contradiction_and_converge_on_one_version() {
    let mut rules_change_count = 0;
    for seed in seeds(60) {
        rules_change_count +=
            run_schedule(seed, InjectedFault::None, 5..10).unwrap_or_else(|e| panic!("{e}"));
    }
    assert!(
        rules_change_count > seeds(60).count() as u64 * 20,
        "{rules_change_count} rules changes in {} schedules are too few to test anything",
        seeds(60).count()
    );
}

/// Guards against growth of the idle traffic: the busiest of 300 initiators on one version receives at most
/// twice as many messages as the members send lease requests.
#[test]
fn three_hundred_initiators_converge_and_no_host_receives_more_messages_than_the_bound() {
    let mut cluster = Cluster::new(5, 300, 11, InjectedFault::None);
    cluster.run(ms(1000));
    cluster.propose();
    cluster.run(ms(4000));
    assert_eq!(cluster.hosts_on_newest_version(), 300, "{}", cluster.describe());
    cluster.max_messages_per_second = 0;
    cluster.run(ms(3000));
    // Each member sends four requests per lease and gets as many responses, all from the leader. Replicas
    // also exchange the leader's heartbeats, five per election timeout.
    let requests = 300 * 4 * 1000 / harness::LEASE_MS;
    let max_received = cluster.max_messages_per_second;
    assert!(
        max_received <= 2 * requests,
        "one host received {max_received} messages in a second, bound: twice the {requests} lease requests"
    );
    println!(
        "at most {max_received} messages per second received by one of 300 hosts, leases of {} ms",
        harness::LEASE_MS
    );
}

/// Some random schedule detects each fault, by a contradiction, a stage that decreases or a failed assertion.
#[test]
fn random_schedules_detect_injected_faults() {
    let all = [
        InjectedFault::TransitionSkipped,
        InjectedFault::LeaseExpiryIgnored,
        InjectedFault::LeaseFromResponse,
        InjectedFault::EarlierLeadersIgnored,
        InjectedFault::LeasesNotAwaited,
        InjectedFault::OlderStateAccepted,
    ];
    for injected_fault in all {
        let detected = (0..400).find_map(|seed| {
            match std::panic::catch_unwind(|| run_schedule(seed, injected_fault, 5..8)) {
                Err(_) => Some(format!("seed {seed}: an assertion failed")),
                Ok(Err(failure)) if !failure.contains("did not recover") => Some(failure),
                Ok(_) => None,
            }
        });
        println!("{injected_fault:?}: {}", detected.as_deref().unwrap_or("not detected"));
        assert!(detected.is_some(), "no schedule detected {injected_fault:?}");
    }
}

/// Sends the leader a lease request with a digest that differs from the leader's. Returns whether the member
/// gets a lease, and whether it counts as confirmed.
fn request_with_other_digest(injected_fault: InjectedFault) -> (bool, bool) {
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
    let is_blocked =
        blockers.iter().any(|blocker| blocker.who == "i1" && blocker.why.contains("another build"));
    (response.lease.is_some(), !is_blocked)
}

#[test]
fn a_member_with_another_digest_confirms_nothing_and_is_reported_as_a_blocker() {
    assert_eq!(request_with_other_digest(InjectedFault::None), (false, false));
    assert_eq!(
        request_with_other_digest(InjectedFault::DigestNotCompared),
        (true, true),
        "the injected fault has no effect"
    );
}

#[test]
fn no_version_is_narrower_than_the_fallback_rules_and_changing_them_requires_all_members() {
    let mut replicated_state =
        ReplicatedState { members: BTreeMap::from([("i1".to_owned(), ())]), ..ReplicatedState::default() };
    let first = Version { rules: harness::rules(50.0, "repeatable"), ..Version::default() };
    replicated_state
        .apply(Change::Propose { base: 0, version: first.clone() })
        .expect("the first version is accepted");
    let mut low = first.clone();
    low.rules.values.insert("plan.gold.limit-rate".into(), Value::Number(0.5));
    let error = replicated_state
        .apply(Change::Propose { base: 1, version: low.clone() })
        .expect_err("a version below the fallback rules is rejected")
        .to_string();
    assert!(error.contains("plan.gold.limit-rate is 0.5, narrower than the floor's 1"), "{error}");
    // A version that also lowers the fallback rules is accepted. It comes into force only once all members
    // have confirmed it, including those without a lease.
    low.rules.fallback.insert("plan.gold.limit-rate".into(), Value::Number(0.5));
    replicated_state
        .apply(Change::Propose { base: 1, version: low })
        .expect("a version that lowers its fallback rules too is accepted");
    assert!(replicated_state.needs_all_members());
    let leases = LeaseManager::new(ms(600), 0.0, InjectedFault::None, ms(0));
    let blockers = leases.blockers(&replicated_state, ms(60_000));
    assert!(
        blockers.iter().any(|blocker| blocker.why.contains("this member has to confirm the version")
            && blocker.ends_ms.is_none()),
        "{blockers:?}"
    );
    // A disconnected member applies the narrower of the two versions' fallback rules.
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
        "the member wakes for an expired lease"
    );
}

fn any_rules() -> impl Strategy<Value = Rules> {
    let number = || prop_oneof![Just(None), (1u32..6).prop_map(|n| Some(Value::Number(f64::from(n))))];
    let flag = || prop_oneof![Just(None), any::<bool>().prop_map(|b| Some(Value::Flag(b)))];
    let text = |words: &'static [&str]| {
        proptest::sample::select(words).prop_map(|w| Some(Value::Text(w.to_owned())))
    };
    let values = NARROWING_TABLE.iter().map(|(key, narrowing_of)| {
        let key = key.replace('*', "name.with dots");
        let value = match narrowing_of {
            Narrowing::False | Narrowing::True => flag().boxed(),
            Narrowing::Earliest(words) => text(words).boxed(),
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

/// The values that can contradict other values, that is all but unordered ones.
fn ordered_values(rules: &Rules) -> BTreeMap<&String, &Value> {
    rules.values.iter().filter(|(key, _)| narrowing_of(key) != Some(Narrowing::Unordered)).collect()
}

proptest! {
    #[test]
    fn narrower_rules_bound_both_operands_and_fallback_rules_bound_all(a in any_rules(), b in any_rules()) {
        let narrowed = a.narrower(&b);
        let commuted = b.narrower(&a);
        prop_assert_eq!(ordered_values(&narrowed), ordered_values(&commuted));
        for rules in [&a, &b] {
            let again = narrowed.narrower(rules);
            prop_assert_eq!(ordered_values(&again), ordered_values(&narrowed));
        }
        let (fallback, same) = (a.fallback_rules(), a.narrower(&a));
        prop_assert_eq!(&same.values, &a.values);
        let fallback_narrowed = fallback.narrower(&a);
        prop_assert_eq!(ordered_values(&fallback_narrowed), ordered_values(&fallback));
        let unknown_keys = a.unknown_keys();
        prop_assert!(unknown_keys.is_empty(), "keys of NARROWING_TABLE are unknown: {unknown_keys:?}");
        prop_assert_eq!(a.digest() == b.digest(), a == b);
    }
}
