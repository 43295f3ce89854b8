//! Replicas under faults: random fault schedules, one test for each known hard case, and injected faults that
//! the checks must detect.

mod harness;

use flaxstand_consensus::{
    Config, DurableState, Entry, EntryPayload, Incarnation, InjectedFault, Message, MessageBody, Replica,
    ReplicaId, ReplicaRole, Snapshot,
};
use flaxstand_storage::faulty::FaultyDisk;
use harness::{Cluster, ms};

/// Runs one random fault schedule. Returns the number of committed changes, or a description of the violation
/// or of the failed recovery.
fn run_schedule(seed: u64, injected_fault: InjectedFault) -> Result<u64, String> {
    let count = if seed % 3 == 2 { 5 } else { 3 };
    let mut cluster = Cluster::new(count, seed, injected_fault);
    cluster.run(ms(400));
    let mut disk_copies: Vec<(usize, FaultyDisk)> = Vec::new();
    for _ in 0..40 {
        let (a, b) =
            (cluster.random_below(count as u64) as usize, cluster.random_below(count as u64) as usize);
        let all_intact = cluster.all_replicas_intact();
        match cluster.random_below(22) {
            0 => cluster.crash(a, true),
            1 => cluster.crash(a, false),
            2 | 3 if cluster.nodes[a].replica.is_none() => cluster.start(a),
            4 => (0..count).for_each(|i| cluster.crash(i, true)),
            5 => (0..count).rev().for_each(|i| {
                if cluster.nodes[i].replica.is_none() {
                    cluster.start(i);
                }
            }),
            6 => cluster.isolate(a),
            7 if a != b => cluster.cut_both(a, b),
            8 if a != b => drop(cluster.cut.insert((a, b))),
            9..=11 => cluster.cut.clear(),
            12 => cluster.pause(a, ms(400)),
            13 => (0..count).for_each(|i| cluster.pause(i, ms(300))),
            14 => cluster.loss_per_thousand = cluster.random_below(300) as u32,
            15 => cluster.max_delay_ms = 1 + cluster.random_below(120),
            16 => cluster.inject_disk_fault(a, None, Some(0)),
            17 => cluster.inject_disk_fault(a, Some(200), None),
            18 => cluster.inject_disk_fault(a, None, None),
            // At most one replica may be without its promises at a time: the protocol tolerates only a
            // minority.
            19 if all_intact => cluster.wipe(a),
            20 if all_intact => {
                if let Some(at) = disk_copies.iter().position(|(i, _)| *i == a) {
                    let (_, old_copy) = disk_copies.swap_remove(at);
                    cluster.restore_copy(a, old_copy);
                }
            }
            21 => disk_copies.push((a, cluster.nodes[a].disk.clone())),
            _ => {}
        }
        for _ in 0..cluster.random_below(4) {
            cluster.propose();
        }
        let time = ms(cluster.random_below(250));
        cluster.run(time);
        if let Some(violation) = cluster.violations.first() {
            return Err(format!("seed {seed}: {violation}"));
        }
    }
    // Disk copies are useless once all replicas have recovered: the others then know a later incarnation of
    // each copied replica.
    let has_recovered = cluster.heal();
    match cluster.violations.first() {
        Some(violation) => Err(format!("seed {seed}: {violation}")),
        None if !has_recovered => {
            let statuses: Vec<_> = cluster
                .nodes
                .iter()
                .flat_map(|n| &n.replica)
                .map(|replica| replica.status(cluster.now))
                .collect();
            Err(format!(
                "seed {seed}: the replicas did not recover: {statuses:#?}, without their promises: {:?}",
                cluster.lost_promises
            ))
        }
        None => Ok(cluster.committed.len() as u64),
    }
}

/// Seeds to run, by default `0..250`. `FLAXSTAND_FROM` sets the first and `FLAXSTAND_SCHEDULES` the number of
/// them.
fn seeds() -> std::ops::Range<u64> {
    let env_or = |name, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let from = env_or("FLAXSTAND_FROM", 0);
    from..from + env_or("FLAXSTAND_SCHEDULES", 250)
}

#[test]
fn random_schedules_keep_one_log_and_recover() {
    let mut committed = 0;
    for seed in seeds() {
        let outcome = std::panic::catch_unwind(|| run_schedule(seed, InjectedFault::None));
        let outcome = outcome.unwrap_or_else(|_| Err(format!("seed {seed}: an assertion failed")));
        committed += outcome.unwrap_or_else(|e| panic!("{e}"));
    }
    let min_committed = seeds().count() as u64 * 10;
    assert!(
        committed > min_committed,
        "{committed} committed changes are too few to test anything, expected more than {min_committed}"
    );
}

#[test]
fn new_replicas_bootstrap_elect_a_leader_and_commit() {
    let mut cluster = Cluster::new(3, 1, InjectedFault::None);
    let leader = cluster.run_until_leader();
    cluster.propose();
    cluster.run(ms(200));
    assert_eq!(cluster.committed.len(), 1);
    assert!(cluster.nodes.iter().all(|n| n.applied_state == cluster.nodes[leader].applied_state));
}

#[test]
fn an_isolated_leader_steps_down_and_its_change_is_not_committed() {
    let mut cluster = Cluster::new(3, 2, InjectedFault::None);
    let old_leader = cluster.run_until_leader();
    cluster.run(ms(200));
    cluster.isolate(old_leader);
    cluster.propose();
    let before = cluster.committed.len();
    cluster.run(ms(2000));
    assert!(
        !cluster.nodes[old_leader].replica.as_ref().expect("up").is_leader(),
        "check-quorum: an isolated leader steps down"
    );
    let new_leader = cluster.leader().expect("the others elect a leader");
    assert_ne!(new_leader, old_leader);
    assert_eq!(cluster.committed.len(), before);
    cluster.propose();
    cluster.run(ms(500));
    assert_eq!(cluster.committed.len(), before + 1);
    assert!(cluster.heal(), "{:?}", cluster.violations);
}

#[test]
fn a_follower_that_receives_nothing_from_the_leader_does_not_depose_it() {
    let mut cluster = Cluster::new(3, 3, InjectedFault::None);
    let leader = cluster.run_until_leader();
    cluster.run(ms(200));
    let term = cluster.nodes[leader].replica.as_ref().expect("up").state().term;
    let follower = (leader + 1) % 3;
    // Only the link from the leader to the follower is cut. The follower's messages reach every replica.
    cluster.cut.insert((leader, follower));
    cluster.run(ms(3000));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(
        cluster.nodes[leader].replica.as_ref().expect("up").state().term,
        term,
        "pre-vote: the follower must not start a new term"
    );
}

#[test]
fn a_wiped_replica_has_no_vote_until_it_joins_as_a_new_instance() {
    let mut cluster = Cluster::new(3, 4, InjectedFault::None);
    let leader = cluster.run_until_leader();
    let wiped = (leader + 1) % 3;
    let old_id = cluster.nodes[wiped].replica.as_ref().expect("up").state().id.clone();
    cluster.wipe(wiped);
    cluster.start(wiped);
    let now = cluster.now;
    let replica = cluster.nodes[wiped].replica.as_ref().expect("up");
    assert_ne!(replica.state().id.instance, old_id.instance);
    assert_eq!(replica.status(now).role, ReplicaRole::New);
    assert!(cluster.heal(), "{:?}", cluster.violations);
    let voters = cluster.nodes[leader].replica.as_ref().expect("up").state().log.voters().to_vec();
    assert!(!voters.contains(&old_id), "the wiped instance is still a voter: {voters:?}");
}

#[test]
fn a_bootstrap_replica_that_loses_its_disk_does_not_bootstrap_again() {
    let mut cluster = Cluster::new(3, 5, InjectedFault::None);
    cluster.run_until_leader();
    cluster.propose();
    cluster.run(ms(300));
    let cluster_id = cluster.nodes[1].replica.as_ref().expect("up").state().cluster_id;
    cluster.wipe(0);
    cluster.start(0);
    assert!(cluster.heal(), "{:?}", cluster.violations);
    assert_eq!(cluster.nodes[0].replica.as_ref().expect("up").state().cluster_id, cluster_id);
}

#[test]
fn a_replica_on_an_old_disk_copy_does_not_vote_as_its_old_instance() {
    let mut cluster = Cluster::new(3, 6, InjectedFault::None);
    let leader = cluster.run_until_leader();
    let follower = (leader + 1) % 3;
    let old_copy = cluster.nodes[follower].disk.clone();
    // The restart begins a later incarnation than the one in the copy.
    cluster.crash(follower, false);
    cluster.start(follower);
    cluster.propose();
    cluster.run(ms(500));
    let old_id = cluster.nodes[follower].replica.as_ref().expect("up").state().id.clone();
    cluster.restore_copy(follower, old_copy);
    cluster.start(follower);
    let now = cluster.now;
    assert_eq!(
        cluster.nodes[follower].replica.as_ref().expect("up").status(now).role,
        ReplicaRole::Recovering
    );
    assert!(cluster.heal(), "{:?}", cluster.violations);
    assert_ne!(
        cluster.nodes[follower].replica.as_ref().expect("up").state().id,
        old_id,
        "the replica must join as a new instance"
    );
}

/// Guards against the loss of a committed entry. A promise is known only to the replica that received it. A
/// leader and two followers of five commit an entry. One of these followers is then restored from a disk copy
/// without the entry, and the leader crashes. None of the three others that the restored follower can ask
/// knows of its promise.
#[test]
fn an_old_disk_copy_is_not_trusted_while_the_leader_that_received_its_promise_is_down() {
    for seed in 0..25 {
        let mut cluster = Cluster::new(5, 100 + seed, InjectedFault::None);
        let leader = cluster.run_until_leader();
        cluster.propose();
        cluster.run(ms(300));
        let others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
        let (restored, up_to_date) = (others[0], others[1]);
        let old_copy = cluster.nodes[restored].disk.clone();
        for lagging in &others[2..] {
            cluster.isolate(*lagging);
        }
        cluster.propose();
        cluster.run(ms(120));
        assert_eq!(cluster.committed.len(), 2, "three of five replicas commit the change");
        cluster.restore_copy(restored, old_copy);
        cluster.crash(leader, false);
        cluster.cut.clear();
        cluster.start(restored);
        cluster.run(ms(1500));
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
        // The three other replicas that are up form a quorum and bring the restored one up to date.
        let new_leader = cluster.leader().expect("three of five replicas elect a leader");
        assert!(
            cluster.nodes[new_leader].replica.as_ref().expect("up").commit_index()
                >= cluster.nodes[up_to_date].replica.as_ref().expect("up").commit_index()
        );
        assert!(cluster.heal(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn a_follower_behind_the_compacted_log_receives_a_snapshot() {
    let mut cluster = Cluster::new(3, 7, InjectedFault::None);
    let leader = cluster.run_until_leader();
    let follower = (leader + 1) % 3;
    cluster.crash(follower, true);
    for _ in 0..40 {
        cluster.propose();
        cluster.run(ms(50));
    }
    let log = &cluster.nodes[leader].replica.as_ref().expect("up").state().log;
    assert!(log.snapshot.index > 20, "the leader's log is compacted up to index {} only", log.snapshot.index);
    cluster.start(follower);
    assert!(cluster.heal(), "{:?}", cluster.violations);
}

#[test]
fn a_leader_whose_disk_is_full_is_replaced() {
    let mut cluster = Cluster::new(3, 8, InjectedFault::None);
    let leader = cluster.run_until_leader();
    cluster.run(ms(200));
    cluster.inject_disk_fault(leader, Some(0), None);
    cluster.propose();
    cluster.run(ms(2500));
    assert_ne!(cluster.leader(), Some(leader), "a leader with a full disk must lose its leadership");
    assert!(cluster.heal(), "{:?}", cluster.violations);
}

#[test]
fn a_damaged_durable_record_is_detected_and_a_torn_last_record_is_ignored() {
    use flaxstand_consensus::{RecoveredState, recover};
    use flaxstand_storage::Storage as _;
    let mut cluster = Cluster::new(3, 9, InjectedFault::None);
    cluster.run_until_leader();
    (0..5).for_each(|_| {
        cluster.propose();
        cluster.run(ms(200));
    });
    let disk = &mut cluster.nodes[0].disk;
    let segment = *disk.segments().expect("in memory").last().expect("a segment");
    let bytes = disk.read(segment).expect("in memory");
    // The last frame is torn, as after a power loss.
    disk.create(segment).and_then(|()| disk.append(segment, &bytes[..bytes.len() - 1])).expect("in memory");
    assert!(matches!(recover(disk), Ok(RecoveredState::Intact(_))));
    // An earlier frame is damaged: durable promises are lost.
    disk.create(segment).and_then(|()| disk.append(segment, &bytes)).expect("in memory");
    disk.sync(segment).expect("in memory");
    let second =
        bytes.windows(4).enumerate().filter(|(_, m)| *m == b"fag1").nth(1).expect("a second frame").0;
    disk.flip(segment, second + 21);
    let recovered = recover(disk).expect("in memory");
    assert!(
        matches!(&recovered, RecoveredState::Damaged(why) if why.contains("damaged at byte")),
        "expected a damaged frame, got {recovered:?}"
    );
}

/// Makes one of five replicas the leader of term 4 with an uncommitted entry of term 2. Returns its commit
/// index once a majority has acknowledged that entry, and once a majority has acknowledged the leader's own
/// entry.
fn commit_indices_of_leader_with_older_entry(injected_fault: InjectedFault) -> (u64, u64) {
    let member = |i: u64| ReplicaId { name: format!("k{i}"), instance: 10 + i };
    let names: Vec<String> = (0..5).map(|i| member(i).name).collect();
    let mut state = DurableState::new(member(0), Incarnation::default());
    (state.cluster_id, state.term) = (7, 3);
    let voters = (0..5).map(member).collect();
    state.log.snapshot = Snapshot { index: 1, term: 1, voters, state: vec![0; 8] };
    state.log.entries.push(Entry { term: 2, payload: EntryPayload::Change(vec![1]) });
    let config = Config {
        name: "k0".into(),
        names,
        election_timeout: ms(150),
        heartbeat_interval: ms(30),
        seed: 1,
        initial_state: vec![0; 8],
        injected_fault,
    };
    let mut replica = Replica::start(config, Some(state), Vec::new(), ms(1));
    let (incarnation, own_id) = (replica.state().incarnation, replica.state().id.clone());
    let send = |replica: &mut Replica, from: u64, term: u64, body: MessageBody| {
        let message = Message {
            cluster_id: 7,
            from: member(from),
            incarnation: Incarnation { count: 1, nonce: from, promises_at_start: 0 },
            promises_written: 1,
            to: own_id.name.clone(),
            to_instance: Some(own_id.instance),
            term,
            body,
        };
        replica.receive(message, ms(400));
        while replica.next_batch(ms(400)).is_some() {
            replica.batch_stored(true, ms(400));
        }
    };
    (1..5).for_each(|i| send(&mut replica, i, 3, MessageBody::IncarnationResponse(incarnation)));
    replica.tick(ms(400));
    (1..3).for_each(|i| send(&mut replica, i, 3, MessageBody::PreVoteResponse { term: 4, granted: true }));
    (1..3).for_each(|i| send(&mut replica, i, 4, MessageBody::VoteResponse { granted: true }));
    assert!(replica.is_leader() && replica.state().log.last_index() == 3);
    (1..3).for_each(|i| {
        send(&mut replica, i, 4, MessageBody::AppendAccepted { match_index: 2, request_sent_at: 0 })
    });
    let before = replica.commit_index();
    (1..3).for_each(|i| {
        send(&mut replica, i, 4, MessageBody::AppendAccepted { match_index: 3, request_sent_at: 0 })
    });
    (before, replica.commit_index())
}

#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_an_entry_of_the_leaders_term() {
    assert_eq!(commit_indices_of_leader_with_older_entry(InjectedFault::None), (1, 3));
    assert_eq!(
        commit_indices_of_leader_with_older_entry(InjectedFault::EarlierTermCommitted),
        (2, 3),
        "the injected fault has no effect"
    );
}

/// Isolates a leader for 2 s. Returns whether it still considers itself the leader.
fn isolated_leader_stays_leader(injected_fault: InjectedFault) -> bool {
    let mut cluster = Cluster::new(3, 2, injected_fault);
    let old_leader = cluster.run_until_leader();
    cluster.run(ms(200));
    cluster.isolate(old_leader);
    cluster.run(ms(2000));
    cluster.nodes[old_leader].replica.as_ref().expect("up").is_leader()
}

#[test]
fn a_leader_without_responses_from_a_majority_steps_down() {
    assert!(!isolated_leader_stays_leader(InjectedFault::None));
    assert!(
        isolated_leader_stays_leader(InjectedFault::QuorumCheckSkipped),
        "the injected fault has no effect"
    );
}

/// Some random schedule detects each fault, by a violation or by a failed assertion in a replica. A failed
/// recovery does not count.
#[test]
fn random_schedules_detect_injected_faults() {
    let all = [
        InjectedFault::SentBeforeDurable,
        InjectedFault::VoteNotPersisted,
        InjectedFault::StaleCopyVotes,
        InjectedFault::StaleLogElected,
        InjectedFault::LogGapAccepted,
    ];
    for injected_fault in all {
        let detected = (0..12_000).find_map(|seed| {
            match std::panic::catch_unwind(|| run_schedule(seed, injected_fault)) {
                Err(_) => Some(format!("seed {seed}: an assertion failed")),
                Ok(Err(failure)) if !failure.contains("did not recover") => Some(failure),
                Ok(_) => None,
            }
        });
        println!("{injected_fault:?}: {}", detected.as_deref().unwrap_or("not detected"));
        assert!(detected.is_some(), "no schedule detected {injected_fault:?}");
    }
}
