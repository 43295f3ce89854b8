//! Replicas under faults: drawn schedules, the hard cases one by one, and injected faults that must be
//! caught.

mod harness;

use flaxstand_consensus::{
    Config, DurableState, Entry, EntryPayload, Incarnation, InjectedFault, Message, MessageBody, Replica,
    ReplicaId, ReplicaRole, Snapshot,
};
use flaxstand_storage::faulty::FaultyDisk;
use harness::{Cluster, ms};

/// Plays one drawn schedule. Returns how many changes were committed; or what was violated, or that the
/// replicas did not recover, in words.
fn play_schedule(seed: u64, injected_fault: InjectedFault) -> Result<u64, String> {
    let count = if seed % 3 == 2 { 5 } else { 3 };
    let mut cluster = Cluster::new(count, seed, injected_fault);
    cluster.run(ms(400));
    let mut copies: Vec<(usize, FaultyDisk)> = Vec::new();
    for _ in 0..40 {
        let (a, b) = (cluster.below(count as u64) as usize, cluster.below(count as u64) as usize);
        let all_intact = cluster.intact();
        match cluster.below(22) {
            0 => cluster.kill(a, true),
            1 => cluster.kill(a, false),
            2 | 3 if cluster.nodes[a].replica.is_none() => cluster.start(a),
            4 => (0..count).for_each(|i| cluster.kill(i, true)),
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
            14 => cluster.loss_per_thousand = cluster.below(300) as u32,
            15 => cluster.max_delay_ms = 1 + cluster.below(120),
            16 => cluster.inject_disk_fault(a, None, Some(0)),
            17 => cluster.inject_disk_fault(a, Some(200), None),
            18 => cluster.inject_disk_fault(a, None, None),
            // Only a minority may lose its promises at a time.
            19 if all_intact => cluster.wipe(a),
            20 if all_intact => {
                if let Some(at) = copies.iter().position(|(i, _)| *i == a) {
                    let (_, old) = copies.swap_remove(at);
                    cluster.restore_copy(a, old);
                }
            }
            21 => copies.push((a, cluster.nodes[a].disk.clone())),
            _ => {}
        }
        for _ in 0..cluster.below(4) {
            cluster.propose();
        }
        let time = ms(cluster.below(250));
        cluster.run(time);
        if let Some(violation) = cluster.violations.first() {
            return Err(format!("seed {seed}: {violation}"));
        }
    }
    // Old copies are of no use once all have recovered: their owners' incarnations are known.
    let has_recovered = cluster.heal();
    match cluster.violations.first() {
        Some(violation) => Err(format!("seed {seed}: {violation}")),
        None if !has_recovered => {
            let all: Vec<_> = cluster
                .nodes
                .iter()
                .flat_map(|n| &n.replica)
                .map(|replica| replica.status(cluster.now))
                .collect();
            Err(format!("seed {seed}: the replicas did not recover: {all:#?}, lost {:?}", cluster.lost))
        }
        None => Ok(cluster.committed.len() as u64),
    }
}

/// Seeds that the workspace's tests play; others by the variables.
fn schedules() -> std::ops::Range<u64> {
    let variable = |name, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let from = variable("FLAXSTAND_FROM", 0);
    from..from + variable("FLAXSTAND_SCHEDULES", 250)
}

#[test]
fn drawn_schedules_keep_one_log_and_recover() {
    let mut committed = 0;
    for seed in schedules() {
        let outcome = std::panic::catch_unwind(|| play_schedule(seed, InjectedFault::None));
        let outcome = outcome.unwrap_or_else(|_| Err(format!("seed {seed}: an assertion failed")));
        committed += outcome.unwrap_or_else(|e| panic!("{e}"));
    }
    let few = schedules().count() as u64 * 10;
    assert!(committed > few, "hardly anything was committed: {committed}");
}

#[test]
fn new_replicas_bootstrap_elect_a_leader_and_commit() {
    let mut cluster = Cluster::new(3, 1, InjectedFault::None);
    let leader = cluster.run_until_led();
    cluster.propose();
    cluster.run(ms(200));
    assert_eq!(cluster.committed.len(), 1);
    assert!(cluster.nodes.iter().all(|n| n.owner == cluster.nodes[leader].owner));
}

#[test]
fn a_leader_that_is_cut_off_steps_down_and_its_change_is_not_committed() {
    let mut cluster = Cluster::new(3, 2, InjectedFault::None);
    let old = cluster.run_until_led();
    cluster.run(ms(200));
    cluster.isolate(old);
    cluster.propose();
    let before = cluster.committed.len();
    cluster.run(ms(2000));
    assert!(!cluster.nodes[old].replica.as_ref().expect("it is up").is_leader(), "check-quorum");
    let new = cluster.leader().expect("the others elect one");
    assert_ne!(new, old);
    assert_eq!(cluster.committed.len(), before);
    cluster.propose();
    cluster.run(ms(500));
    assert_eq!(cluster.committed.len(), before + 1);
    assert!(cluster.heal(), "{:?}", cluster.violations);
}

#[test]
fn a_follower_that_the_leader_does_not_reach_does_not_unseat_it() {
    let mut cluster = Cluster::new(3, 3, InjectedFault::None);
    let leader = cluster.run_until_led();
    cluster.run(ms(200));
    let term = cluster.nodes[leader].replica.as_ref().expect("up").state().term;
    let deaf = (leader + 1) % 3;
    // The leader's messages do not reach it; its own reach everyone.
    cluster.cut.insert((leader, deaf));
    cluster.run(ms(3000));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.nodes[leader].replica.as_ref().expect("up").state().term, term, "pre-vote");
}

#[test]
fn a_wiped_replica_has_no_vote_until_it_joins_as_another_instance() {
    let mut cluster = Cluster::new(3, 4, InjectedFault::None);
    let leader = cluster.run_until_led();
    let wiped = (leader + 1) % 3;
    let was = cluster.nodes[wiped].replica.as_ref().expect("up").state().id.clone();
    cluster.wipe(wiped);
    cluster.start(wiped);
    let now = cluster.now;
    let replica = cluster.nodes[wiped].replica.as_ref().expect("up");
    assert_ne!(replica.state().id.instance, was.instance);
    assert_eq!(replica.status(now).role, ReplicaRole::New);
    assert!(cluster.heal(), "{:?}", cluster.violations);
    let electorate = cluster.nodes[leader].replica.as_ref().expect("up").state().log.voters().to_vec();
    assert!(!electorate.contains(&was), "{electorate:?}");
}

#[test]
fn a_bootstrap_replica_that_loses_its_disk_does_not_bootstrap_again() {
    let mut cluster = Cluster::new(3, 5, InjectedFault::None);
    cluster.run_until_led();
    cluster.propose();
    cluster.run(ms(300));
    let cluster_id = cluster.nodes[1].replica.as_ref().expect("up").state().cluster_id;
    cluster.wipe(0);
    cluster.start(0);
    assert!(cluster.heal(), "{:?}", cluster.violations);
    assert_eq!(cluster.nodes[0].replica.as_ref().expect("up").state().cluster_id, cluster_id);
}

#[test]
fn an_old_copy_of_a_folder_does_not_vote_as_its_old_instance() {
    let mut cluster = Cluster::new(3, 6, InjectedFault::None);
    let leader = cluster.run_until_led();
    let other = (leader + 1) % 3;
    let old = cluster.nodes[other].disk.clone();
    // One incarnation later.
    cluster.kill(other, false);
    cluster.start(other);
    cluster.propose();
    cluster.run(ms(500));
    let was = cluster.nodes[other].replica.as_ref().expect("up").state().id.clone();
    cluster.restore_copy(other, old);
    cluster.start(other);
    let now = cluster.now;
    assert_eq!(cluster.nodes[other].replica.as_ref().expect("up").status(now).role, ReplicaRole::Recovering);
    assert!(cluster.heal(), "{:?}", cluster.violations);
    assert_ne!(cluster.nodes[other].replica.as_ref().expect("up").state().id, was, "it came back as another");
}

/// A promise is known to whom it was made. Guards against this loss: an entry was committed by a leader and
/// two followers, of whom one was put back to before it and the leader died; asked were three that knew
/// nothing of it.
#[test]
fn an_old_copy_is_not_trusted_while_the_replica_that_knows_better_is_down() {
    for seed in 0..25 {
        let mut cluster = Cluster::new(5, 100 + seed, InjectedFault::None);
        let leader = cluster.run_until_led();
        cluster.propose();
        cluster.run(ms(300));
        let others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
        let (back, knows) = (others[0], others[1]);
        let old = cluster.nodes[back].disk.clone();
        for behind in &others[2..] {
            cluster.isolate(*behind);
        }
        cluster.propose();
        cluster.run(ms(120));
        assert_eq!(cluster.committed.len(), 2, "by three of five");
        cluster.restore_copy(back, old);
        cluster.kill(leader, false);
        cluster.cut.clear();
        cluster.start(back);
        cluster.run(ms(1500));
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
        // Three that take part go on, and bring it up to date.
        let led = cluster.leader().expect("three of five elect one");
        assert!(
            cluster.nodes[led].replica.as_ref().expect("up").commit_index()
                >= cluster.nodes[knows].replica.as_ref().expect("up").commit_index()
        );
        assert!(cluster.heal(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn a_follower_far_behind_gets_a_snapshot() {
    let mut cluster = Cluster::new(3, 7, InjectedFault::None);
    let leader = cluster.run_until_led();
    let behind = (leader + 1) % 3;
    cluster.kill(behind, true);
    for _ in 0..40 {
        cluster.propose();
        cluster.run(ms(50));
    }
    let log = &cluster.nodes[leader].replica.as_ref().expect("up").state().log;
    assert!(log.snapshot.index > 20, "compacted: {}", log.snapshot.index);
    cluster.start(behind);
    assert!(cluster.heal(), "{:?}", cluster.violations);
}

#[test]
fn a_leader_whose_disk_is_full_is_replaced() {
    let mut cluster = Cluster::new(3, 8, InjectedFault::None);
    let leader = cluster.run_until_led();
    cluster.run(ms(200));
    cluster.inject_disk_fault(leader, Some(0), None);
    cluster.propose();
    cluster.run(ms(2500));
    assert_ne!(cluster.leader(), Some(leader), "it can write nothing down");
    assert!(cluster.heal(), "{:?}", cluster.violations);
}

#[test]
fn a_damaged_durable_record_is_noticed_and_a_torn_last_one_is_ignored() {
    use flaxstand_consensus::{RecoveredState, recover};
    use flaxstand_storage::Storage as _;
    let mut cluster = Cluster::new(3, 9, InjectedFault::None);
    cluster.run_until_led();
    (0..5).for_each(|_| {
        cluster.propose();
        cluster.run(ms(200));
    });
    let disk = &mut cluster.nodes[0].disk;
    let segment = *disk.segments().expect("in memory").last().expect("one");
    let bytes = disk.read(segment).expect("in memory");
    // The last frame torn: as after a loss of power.
    disk.create(segment).and_then(|()| disk.append(segment, &bytes[..bytes.len() - 1])).expect("in memory");
    assert!(matches!(recover(disk), Ok(RecoveredState::Intact(_))));
    // One before it damaged: promises are gone.
    disk.create(segment).and_then(|()| disk.append(segment, &bytes)).expect("in memory");
    disk.sync(segment).expect("in memory");
    let second = bytes.windows(4).enumerate().filter(|(_, m)| *m == b"fag1").nth(1).expect("a frame").0;
    disk.flip(segment, second + 21);
    let found = recover(disk).expect("in memory");
    assert!(matches!(&found, RecoveredState::Damaged(why) if why.contains("damaged at byte")), "{found:?}");
}

/// A replica of five that comes to lead term 4 with an uncommitted entry of term 2, and is told that a
/// majority has that entry. Returns its commit index: then, and once the majority has the entry of its own
/// term.
fn leads_with_an_older_entry(injected_fault: InjectedFault) -> (u64, u64) {
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
    let (incarnation, me) = (replica.state().incarnation, replica.state().id.clone());
    let send = |replica: &mut Replica, from: u64, term: u64, body: MessageBody| {
        let message = Message {
            cluster_id: 7,
            from: member(from),
            incarnation: Incarnation { count: 1, nonce: from, promises_at_start: 0 },
            promises_written: 1,
            to: me.name.clone(),
            to_instance: Some(me.instance),
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
fn an_entry_of_an_earlier_term_is_committed_only_behind_one_of_the_leaders_own() {
    assert_eq!(leads_with_an_older_entry(InjectedFault::None), (1, 3));
    assert_eq!(
        leads_with_an_older_entry(InjectedFault::EarlierTermCommitted),
        (2, 3),
        "the injected fault shows"
    );
}

/// Whether a leader that was cut off still takes itself for one.
fn cut_off_and_leading(injected_fault: InjectedFault) -> bool {
    let mut cluster = Cluster::new(3, 2, injected_fault);
    let old = cluster.run_until_led();
    cluster.run(ms(200));
    cluster.isolate(old);
    cluster.run(ms(2000));
    cluster.nodes[old].replica.as_ref().expect("it is up").is_leader()
}

#[test]
fn a_leader_that_no_majority_answers_steps_down() {
    assert!(!cut_off_and_leading(InjectedFault::None));
    assert!(cut_off_and_leading(InjectedFault::QuorumCheckSkipped), "the injected fault shows");
}

/// Each is caught by some drawn schedule: a violation is seen, or an assertion of the replicas' own fails.
/// That they do not recover in time would not be enough.
#[test]
fn injected_faults_are_caught() {
    let all = [
        InjectedFault::SentBeforeDurable,
        InjectedFault::VoteNotPersisted,
        InjectedFault::StaleCopyVotes,
        InjectedFault::StaleLogElected,
        InjectedFault::LogGapAccepted,
    ];
    for injected_fault in all {
        let caught = (0..12_000).find_map(|seed| {
            match std::panic::catch_unwind(|| play_schedule(seed, injected_fault)) {
                Err(_) => Some(format!("seed {seed}: an assertion")),
                Ok(Err(what)) if !what.contains("did not recover") => Some(what),
                Ok(_) => None,
            }
        });
        println!("{injected_fault:?}: {}", caught.as_deref().unwrap_or("not caught"));
        assert!(caught.is_some(), "{injected_fault:?} was not caught");
    }
}
