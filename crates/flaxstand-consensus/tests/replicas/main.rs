//! Keepers under faults: drawn schedules, the hard cases one by one, and planted faults that must be caught.

mod rig;

use flaxstand_consensus::{
    Config, Entry, EntryPayload, Incarnation, InjectedFault, Message, MessageBody, Replica, ReplicaId,
    ReplicaRole, Snapshot, State,
};
use rig::{World, ms};

/// One drawn schedule. What was broken, or that the keepers did not come back, in words.
fn drawn(seed: u64, injected_fault: InjectedFault) -> Result<u64, String> {
    let count = if seed % 3 == 2 { 5 } else { 3 };
    let mut w = World::new(count, seed, injected_fault);
    w.run(ms(400));
    let mut copies: Vec<(usize, flaxstand_storage::faulty::FaultyDisk)> = Vec::new();
    for _ in 0..40 {
        let (a, b) = (w.below(count as u64) as usize, w.below(count as u64) as usize);
        let all_intact = w.intact();
        match w.below(22) {
            0 => w.kill(a, true),
            1 => w.kill(a, false),
            2 | 3 if w.nodes[a].replica.is_none() => w.start(a),
            4 => (0..count).for_each(|i| w.kill(i, true)),
            5 => (0..count).rev().for_each(|i| {
                if w.nodes[i].replica.is_none() {
                    w.start(i);
                }
            }),
            6 => w.isolate(a),
            7 if a != b => w.cut_both(a, b),
            8 if a != b => drop(w.cut.insert((a, b))),
            9..=11 => w.cut.clear(),
            12 => w.pause(a, ms(400)),
            13 => (0..count).for_each(|i| w.pause(i, ms(300))),
            14 => w.lossy = w.below(300) as u32,
            15 => w.slowest = 1 + w.below(120),
            16 => w.disk_fails(a, None, Some(0)),
            17 => w.disk_fails(a, Some(200), None),
            18 => w.disk_fails(a, None, None),
            // No more than a minority may lose its promises at a time.
            19 if all_intact => w.wipe(a),
            20 if all_intact => {
                if let Some(at) = copies.iter().position(|(i, _)| *i == a) {
                    let (_, old) = copies.swap_remove(at);
                    w.put_back(a, old);
                }
            }
            21 => copies.push((a, w.nodes[a].disk.clone())),
            _ => {}
        }
        for _ in 0..w.below(4) {
            w.propose();
        }
        let time = ms(w.below(250));
        w.run(time);
        if let Some(broken) = w.broken.first() {
            return Err(format!("seed {seed}: {broken}"));
        }
    }
    // Copies of before are of no use once all is well again: their owners' lives are known.
    let well = w.heal();
    match w.broken.first() {
        Some(broken) => Err(format!("seed {seed}: {broken}")),
        None if !well => {
            let all: Vec<_> = w.nodes.iter().flat_map(|n| &n.replica).map(|k| k.status(w.now)).collect();
            Err(format!("seed {seed}: the keepers did not come back: {all:#?}, lost {:?}", w.lost))
        }
        None => Ok(w.agreed.len() as u64),
    }
}

/// Seeds that the whole workspace's tests play; others by the variables.
fn schedules() -> std::ops::Range<u64> {
    let told = |name, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let from = told("FLAXSTAND_FROM", 0);
    from..from + told("FLAXSTAND_SCHEDULES", 250)
}

#[test]
fn drawn_schedules_keep_one_log_and_come_back() {
    let mut agreed = 0;
    for seed in schedules() {
        let played = std::panic::catch_unwind(|| drawn(seed, InjectedFault::None));
        let played = played.unwrap_or_else(|_| Err(format!("seed {seed}: an assertion failed")));
        agreed += played.unwrap_or_else(|e| panic!("{e}"));
    }
    let few = schedules().count() as u64 * 10;
    assert!(agreed > few, "hardly anything was agreed on: {agreed}");
}

#[test]
fn all_start_elect_and_agree() {
    let mut w = World::new(3, 1, InjectedFault::None);
    let leader = w.led();
    w.propose();
    w.run(ms(200));
    assert_eq!(w.agreed.len(), 1);
    assert!(w.nodes.iter().all(|n| n.owner == w.nodes[leader].owner));
}

#[test]
fn a_leader_that_is_cut_off_steps_down_and_its_change_is_not_agreed_on() {
    let mut w = World::new(3, 2, InjectedFault::None);
    let old = w.led();
    w.run(ms(200));
    w.isolate(old);
    w.propose();
    let before = w.agreed.len();
    w.run(ms(2000));
    assert!(!w.nodes[old].replica.as_ref().expect("it is up").leads(), "check-quorum");
    let new = w.leader().expect("the others elect one");
    assert_ne!(new, old);
    assert_eq!(w.agreed.len(), before);
    w.propose();
    w.run(ms(500));
    assert_eq!(w.agreed.len(), before + 1);
    assert!(w.heal(), "{:?}", w.broken);
}

#[test]
fn one_that_hears_the_leader_and_is_not_heard_does_not_unseat_it() {
    let mut w = World::new(3, 3, InjectedFault::None);
    let leader = w.led();
    w.run(ms(200));
    let term = w.nodes[leader].replica.as_ref().expect("up").state().term;
    let deaf = (leader + 1) % 3;
    // The leader's messages do not reach it; its own reach everyone.
    w.cut.insert((leader, deaf));
    w.run(ms(3000));
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.nodes[leader].replica.as_ref().expect("up").state().term, term, "pre-vote");
}

#[test]
fn a_wiped_keeper_has_no_vote_until_it_is_taken_in_as_another() {
    let mut w = World::new(3, 4, InjectedFault::None);
    let leader = w.led();
    let wiped = (leader + 1) % 3;
    let was = w.nodes[wiped].replica.as_ref().expect("up").state().me.clone();
    w.wipe(wiped);
    w.start(wiped);
    let now = w.now;
    let k = w.nodes[wiped].replica.as_ref().expect("up");
    assert_ne!(k.state().me.instance, was.instance);
    assert_eq!(k.status(now).role, ReplicaRole::New);
    assert!(w.heal(), "{:?}", w.broken);
    let electorate = w.nodes[leader].replica.as_ref().expect("up").state().log.electorate().1.to_vec();
    assert!(!electorate.contains(&was), "{electorate:?}");
}

#[test]
fn a_founder_that_loses_its_disk_does_not_found_again() {
    let mut w = World::new(3, 5, InjectedFault::None);
    w.led();
    w.propose();
    w.run(ms(300));
    let cluster = w.nodes[1].replica.as_ref().expect("up").state().cluster;
    w.wipe(0);
    w.start(0);
    assert!(w.heal(), "{:?}", w.broken);
    assert_eq!(w.nodes[0].replica.as_ref().expect("up").state().cluster, cluster);
}

#[test]
fn a_folder_put_back_from_an_old_copy_does_not_vote_as_it_was() {
    let mut w = World::new(3, 6, InjectedFault::None);
    let leader = w.led();
    let other = (leader + 1) % 3;
    let old = w.nodes[other].disk.clone();
    // A life later.
    w.kill(other, false);
    w.start(other);
    w.propose();
    w.run(ms(500));
    let was = w.nodes[other].replica.as_ref().expect("up").state().me.clone();
    w.put_back(other, old);
    w.start(other);
    let now = w.now;
    assert_eq!(w.nodes[other].replica.as_ref().expect("up").status(now).role, ReplicaRole::Recovering);
    assert!(w.heal(), "{:?}", w.broken);
    assert_ne!(w.nodes[other].replica.as_ref().expect("up").state().me, was, "it came back as another");
}

/// A promise is known to whom it was made. Seen as: an entry agreed on by a leader and two followers, of whom one was
/// put back to before it and the leader fell silent; asked were three that knew nothing of it.
#[test]
fn an_old_copy_is_not_trusted_while_the_one_that_knows_better_is_silent() {
    for seed in 0..25 {
        let mut w = World::new(5, 100 + seed, InjectedFault::None);
        let leader = w.led();
        w.propose();
        w.run(ms(300));
        let others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
        let (back, knows) = (others[0], others[1]);
        let old = w.nodes[back].disk.clone();
        for behind in &others[2..] {
            w.isolate(*behind);
        }
        w.propose();
        w.run(ms(120));
        assert_eq!(w.agreed.len(), 2, "by three of five");
        w.put_back(back, old);
        w.kill(leader, false);
        w.cut.clear();
        w.start(back);
        w.run(ms(1500));
        assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
        // Three that are sure of themselves go on, and bring it up to date.
        let led = w.leader().expect("three of five elect one");
        assert!(
            w.nodes[led].replica.as_ref().expect("up").committed()
                >= w.nodes[knows].replica.as_ref().expect("up").committed()
        );
        assert!(w.heal(), "seed {seed}: {:?}", w.broken);
    }
}

#[test]
fn one_far_behind_gets_a_snapshot() {
    let mut w = World::new(3, 7, InjectedFault::None);
    let leader = w.led();
    let behind = (leader + 1) % 3;
    w.kill(behind, true);
    for _ in 0..40 {
        w.propose();
        w.run(ms(50));
    }
    let log = &w.nodes[leader].replica.as_ref().expect("up").state().log;
    assert!(log.snapshot.index > 20, "compacted: {}", log.snapshot.index);
    w.start(behind);
    assert!(w.heal(), "{:?}", w.broken);
}

#[test]
fn a_leader_whose_disk_is_full_is_replaced() {
    let mut w = World::new(3, 8, InjectedFault::None);
    let leader = w.led();
    w.run(ms(200));
    w.disk_fails(leader, Some(0), None);
    w.propose();
    w.run(ms(2500));
    assert_ne!(w.leader(), Some(leader), "it can write nothing down");
    assert!(w.heal(), "{:?}", w.broken);
}

#[test]
fn a_damaged_record_that_was_told_is_noticed_and_a_torn_one_is_not_held_against_it() {
    use flaxstand_consensus::{Recovered, recover};
    use flaxstand_storage::Storage as _;
    let mut w = World::new(3, 9, InjectedFault::None);
    w.led();
    (0..5).for_each(|_| {
        w.propose();
        w.run(ms(200));
    });
    let disk = &mut w.nodes[0].disk;
    let segment = *disk.segments().expect("in memory").last().expect("one");
    let bytes = disk.read(segment).expect("in memory");
    // The last frame torn: as after a loss of power.
    disk.create(segment).and_then(|()| disk.append(segment, &bytes[..bytes.len() - 1])).expect("in memory");
    assert!(matches!(recover(disk), Ok(Recovered::State(_))));
    // One before it damaged: promises are gone.
    disk.create(segment).and_then(|()| disk.append(segment, &bytes)).expect("in memory");
    disk.sync(segment).expect("in memory");
    let second = bytes.windows(4).enumerate().filter(|(_, m)| *m == b"fag1").nth(1).expect("a frame").0;
    disk.flip(segment, second + 21);
    let found = recover(disk).expect("in memory");
    assert!(matches!(&found, Recovered::Damaged(why) if why.contains("damaged at byte")), "{found:?}");
}

/// A keeper of five that comes to lead term 4 with an entry of term 2 that is not agreed on, and gets to hear that a
/// majority holds that entry. Returns how far it takes the log for agreed on: before, and once they hold its own.
fn leads_with_an_older_entry(injected_fault: InjectedFault) -> (u64, u64) {
    let member = |i: u64| ReplicaId { name: format!("k{i}"), instance: 10 + i };
    let names: Vec<String> = (0..5).map(|i| member(i).name).collect();
    let mut state = State::fresh(member(0), Incarnation::default());
    (state.cluster, state.term) = (7, 3);
    let electorate = (0..5).map(member).collect();
    state.log.snapshot = Snapshot { index: 1, term: 1, electorate, state: vec![0; 8] };
    state.log.entries.push(Entry { term: 2, what: EntryPayload::Change(vec![1]) });
    let config = Config {
        name: "k0".into(),
        names,
        election: ms(150),
        heartbeat: ms(30),
        seed: 1,
        initial_state: vec![0; 8],
        injected_fault,
    };
    let mut k = Replica::start(config, Some(state), Vec::new(), ms(1));
    let (incarnation, me) = (k.state().incarnation, k.state().me.clone());
    let says = |k: &mut Replica, from: u64, term: u64, body: MessageBody| {
        let message = Message {
            cluster: 7,
            from: member(from),
            incarnation: Incarnation { count: 1, nonce: from, promises_at_start: 0 },
            written: 1,
            to: me.name.clone(),
            instance: Some(me.instance),
            term,
            body,
        };
        k.receive(message, ms(400));
        while k.batch(ms(400)).is_some() {
            k.stored(true, ms(400));
        }
    };
    (1..5).for_each(|i| says(&mut k, i, 3, MessageBody::LifeSeen(incarnation)));
    k.tick(ms(400));
    (1..3).for_each(|i| says(&mut k, i, 3, MessageBody::PreVoted(4, true)));
    (1..3).for_each(|i| says(&mut k, i, 4, MessageBody::Voted(true)));
    assert!(k.leads() && k.state().log.last() == 3);
    (1..3).for_each(|i| says(&mut k, i, 4, MessageBody::Held(2, 0)));
    let before = k.committed();
    (1..3).for_each(|i| says(&mut k, i, 4, MessageBody::Held(3, 0)));
    (before, k.committed())
}

#[test]
fn an_entry_of_an_earlier_term_is_agreed_on_only_behind_one_of_the_leaders_own() {
    assert_eq!(leads_with_an_older_entry(InjectedFault::None), (1, 3));
    assert_eq!(
        leads_with_an_older_entry(InjectedFault::EarlierTermCommitted),
        (2, 3),
        "the planted fault shows"
    );
}

/// Whether a leader that was cut off still takes itself for one.
fn cut_off_and_leading(injected_fault: InjectedFault) -> bool {
    let mut w = World::new(3, 2, injected_fault);
    let old = w.led();
    w.run(ms(200));
    w.isolate(old);
    w.run(ms(2000));
    w.nodes[old].replica.as_ref().expect("it is up").leads()
}

#[test]
fn a_leader_that_hears_no_majority_steps_down() {
    assert!(!cut_off_and_leading(InjectedFault::None));
    assert!(cut_off_and_leading(InjectedFault::LeaderStaysAlone), "the planted fault shows");
}

/// Each is caught by some drawn schedule: something is told that must not be, or an assertion of the keepers' own
/// fails. That they do not come back in time would not be enough.
#[test]
fn planted_faults_are_caught() {
    let all = [
        InjectedFault::ToldBeforeDurable,
        InjectedFault::VoteNotWritten,
        InjectedFault::OldCopyVotes,
        InjectedFault::OlderLogElected,
        InjectedFault::GapTaken,
    ];
    for injected_fault in all {
        let caught =
            (0..12_000).find_map(|seed| match std::panic::catch_unwind(|| drawn(seed, injected_fault)) {
                Err(_) => Some(format!("seed {seed}: an assertion")),
                Ok(Err(what)) if !what.contains("come back") => Some(what),
                Ok(_) => None,
            });
        println!("{injected_fault:?}: {}", caught.as_deref().unwrap_or("not caught"));
        assert!(caught.is_some(), "{injected_fault:?} was not caught");
    }
}
