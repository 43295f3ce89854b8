//! Agreement on settings between several initiator processes, with faults on their links and on their disks.

mod fleet;

use flaxstand_simulation::agreed::unix_time;
use flaxstand_simulation::relay::Flow;
use fleet::{Fleet, shared_settings};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Starts a fleet and waits until all its initiators act on version 1.
fn fleet_on_version_1(name: &str, voters: usize, count: usize) -> Fleet {
    let fleet = Fleet::start(name, voters, count);
    assert_eq!(fleet.propose(0, &shared_settings(100, "repeatable")), 1);
    fleet.wait_until_acting(&fleet.all_indices(), "Version(1)");
    fleet
}

#[test]
fn a_change_passes_through_a_transition_that_both_versions_allow() {
    let f = fleet_on_version_1("passes", 3, 5);
    assert_eq!(f.propose(1, &shared_settings(40, "once")), 2);
    f.wait_until_acting(&f.all_indices(), "Version(2)");
    for p in &f.all {
        let mut acted: Vec<String> = p.transitions().into_iter().map(|a| a.what).collect();
        acted.dedup();
        assert_eq!(acted, ["Fallback", "Version(1)", "Transition(1, 2)", "Version(2)"], "{}", p.name);
    }
    f.assert_contradictions_within_bound();
}

/// Waits until all initiators act on a version, then checks the time of contradiction.
fn assert_settles(f: &Fleet, version: u64) {
    f.wait_until_acting(&f.all_indices(), &format!("Version({version})"));
    f.assert_contradictions_within_bound();
}

#[test]
fn a_partitioned_leader_falls_back_to_the_floor_during_a_narrowing_change() {
    let f = fleet_on_version_1("cut-off", 3, 5);
    let isolated = f.leader();
    f.links.set_all_links(isolated, Flow::Stall);
    let others: Vec<usize> = f.all_indices().into_iter().filter(|i| *i != isolated).collect();
    f.wait_until_acting(&[isolated], "Fallback");
    assert_eq!(f.propose(1, &shared_settings(40, "once")), 2);
    f.wait_until_acting(&others, "Version(2)");
    assert_eq!(f.all[isolated].active_rules().unwrap().what, "Fallback");
    assert_eq!(
        f.replicated_state(isolated).unwrap().in_force.number,
        1,
        "the partitioned leader can't have received version 2"
    );
    f.links.heal();
    assert_settles(&f, 2);
}

#[test]
fn a_change_waits_until_the_lease_of_a_partitioned_member_expires() {
    let f = fleet_on_version_1("waits", 3, 5);
    // Initiator 4 is not a voter and acts on version 1 until its lease expires.
    f.links.set_all_links(4, Flow::Stall);
    let before = unix_time();
    assert_eq!(f.propose(1, &shared_settings(500, "repeatable")), 2);
    let rest = [0, 1, 2, 3];
    f.wait_until_acting(&rest, "Version(2)");
    let expired = f.all[4]
        .transitions()
        .into_iter()
        .rev()
        .find(|a| a.what == "Fallback")
        .expect("the lease of initiator 4 expired")
        .at;
    let widened = rest.iter().map(|i| f.all[*i].active_rules().unwrap().at).fold(f64::INFINITY, f64::min);
    assert!(
        expired > before && widened > expired,
        "proposed at {before}, expired at {expired}, widened at {widened}"
    );
    f.links.heal();
    assert_settles(&f, 2);
}

#[test]
fn one_way_link_failures_and_repeated_partitions() {
    let f = fleet_on_version_1("one-way", 5, 7);
    let leader = f.leader();
    let cut_off = (leader + 1) % 5;
    // This voter receives nothing from the leader but can send to all: it must not depose the leader.
    f.links.set_one_way(leader, cut_off, Flow::Stall);
    let term = f.report(leader).unwrap().term;
    assert_eq!(f.propose(1, &shared_settings(80, "repeatable")), 2);
    f.wait_until_acting(&[leader, (leader + 2) % 5, (leader + 3) % 5], "Version(2)");
    assert_eq!(f.report(leader).unwrap().term, term);
    f.links.heal();
    assert_settles(&f, 2);
    for round in 0..3 {
        for i in 0..3 {
            (3..7).for_each(|j| f.links.set_both_ways(i, j, Flow::Stall));
        }
        f.propose(2 + round, &shared_settings(70 - round, "repeatable"));
        f.links.heal();
        assert_settles(&f, 3 + round);
    }
}

#[test]
fn a_paused_process_acts_on_the_floor_when_it_resumes() {
    let mut f = fleet_on_version_1("paused", 3, 5);
    for who in [f.leader(), 4] {
        let base = f.replicated_state(3).unwrap().in_force.number;
        let others: Vec<usize> = f.all_indices().into_iter().filter(|i| *i != who).collect();
        let since = f.pause(who);
        let next = f.propose(base, &shared_settings(90 - base, "repeatable"));
        f.wait_until_acting(&others, &format!("Version({next})"));
        f.resume(who, since);
        assert_settles(&f, next);
        let acted = f.all[who].transitions();
        let first_after_pause =
            acted.iter().find(|a| a.at > since).expect("a transition is logged after the pause");
        assert_eq!(first_after_pause.what, "Fallback", "the first transition after the pause");
    }
    // All voters pause at the same time for longer than a lease.
    let since: Vec<f64> = (0..3).map(|i| f.pause(i)).collect();
    f.wait_until_acting(&[3, 4], "Fallback");
    (0..3).for_each(|i| f.resume(i, since[i]));
    assert_settles(&f, 3);
}

#[test]
fn leaders_killed_in_succession_and_all_processes_killed_at_once() {
    let mut f = fleet_on_version_1("killed", 5, 6);
    let mut base = 1;
    // The leader is killed before the proposal, during the rollout, and once the version is in force.
    for step in 0..3 {
        let leader = f.leader();
        if step == 0 {
            f.kill(leader);
        }
        let next = f.propose(base, &shared_settings(90 - base, "repeatable"));
        if step == 1 {
            f.kill(leader);
        }
        if step == 2 {
            f.wait_for("the version to be in force somewhere", |f| {
                f.all_indices()
                    .into_iter()
                    .find(|i| f.replicated_state(*i).is_some_and(|state| state.in_force.number == next))
            });
            f.kill(leader);
        }
        let rest: Vec<usize> = f.all_indices().into_iter().filter(|i| *i != leader).collect();
        f.wait_until_acting(&rest, &format!("Version({next})"));
        f.start_process(leader);
        assert_settles(&f, next);
        base = next;
    }
    (0..2).for_each(|_| {
        let leader = f.leader();
        f.kill(leader);
        f.leader_among(&(0..5).filter(|i| f.report(*i).is_some()).collect::<Vec<_>>());
        f.start_process(leader);
    });
    assert_settles(&f, base);
    f.all_indices().into_iter().for_each(|i| f.kill(i));
    f.all_indices().into_iter().rev().for_each(|i| f.start_process(i));
    assert_settles(&f, base);
    let next = f.propose(base, &shared_settings(30, "once"));
    assert_settles(&f, next);
}

#[test]
fn voters_with_a_lost_outdated_or_torn_log_folder() {
    let mut f = fleet_on_version_1("folders", 3, 4);
    let leader = f.leader();
    let [wiped, outdated] = [(leader + 1) % 3, (leader + 2) % 3];
    let voters = |f: &Fleet| f.report(f.leader()).unwrap().voters;
    // A lost disk: the process returns as a new replica and becomes a voter again.
    f.kill(wiped);
    std::fs::remove_dir_all(f.state_folder(wiped)).unwrap();
    f.start_process(wiped);
    f.wait_for("the replica without a disk to be admitted as a voter", |f| {
        (f.report(wiped)?.replica.as_deref() == Some("follower") && voters(f).len() == 3).then_some(())
    });
    // An outdated copy replaces the folder: votes and promises made since the copy are missing from it.
    f.kill(outdated);
    let copy = f.state_folder(outdated).with_extension("copy");
    fleet::copy_folder(&f.state_folder(outdated), &copy);
    f.start_process(outdated);
    let next = f.propose(1, &shared_settings(60, "once"));
    assert_settles(&f, next);
    f.kill(outdated);
    std::fs::remove_dir_all(f.state_folder(outdated)).unwrap();
    fleet::copy_folder(&copy, &f.state_folder(outdated));
    f.start_process(outdated);
    f.wait_for("the outdated copy to be detected", |f| {
        f.all[outdated].logged("its folder is an old copy").then_some(())
    });
    f.wait_for("the replica to be admitted again", |f| {
        (f.report(outdated)?.replica.as_deref() == Some("follower")).then_some(())
    });
    assert_settles(&f, next);
    // An incomplete record at the end of the log was never acknowledged, so the replica keeps its identity.
    f.kill(outdated);
    let mut segments: Vec<_> =
        std::fs::read_dir(f.state_folder(outdated)).unwrap().map(|e| e.unwrap().path()).collect();
    segments.retain(|p| p.extension().is_some_and(|e| e == "log"));
    segments.sort();
    let last = segments.last().expect("a segment");
    let mut bytes = std::fs::read(last).unwrap();
    bytes.extend_from_slice(b"fag1 and then the power went");
    std::fs::write(last, bytes).unwrap();
    f.start_process(outdated);
    let last = f.propose(next, &shared_settings(50, "once"));
    assert_settles(&f, last);
    assert!(!f.all[outdated].logged("is damaged"), "an incomplete last record is not damage");
}

#[test]
fn concurrent_proposals_and_a_withdrawn_version() {
    use flaxstand_consensus::participant::{OperatorReply, OperatorRequest};
    let f = fleet_on_version_1("two", 3, 4);
    let leader = f.leader();
    f.wait_for("the previous rollout to complete", |f| f.report(leader)?.blockers.is_empty().then_some(()));
    let propose = |limit| {
        f.request(
            leader,
            &OperatorRequest::Propose {
                base: 1,
                version: fleet::version(&shared_settings(limit, "repeatable")),
            },
        )
    };
    let (one, two) = std::thread::scope(|s| {
        let one = s.spawn(|| propose(80));
        let two = s.spawn(|| propose(70));
        (one.join().unwrap().expect("an answer"), two.join().unwrap().expect("an answer"))
    });
    let committed: Vec<&OperatorReply> =
        [&one, &two].into_iter().filter(|r| matches!(r, OperatorReply::Committed(2))).collect();
    assert_eq!(committed.len(), 1, "{one:?} {two:?}");
    assert_settles(&f, 2);
    // Version 3 is blocked by a partitioned member and is withdrawn.
    f.links.set_all_links(3, Flow::Stall);
    assert_eq!(f.propose(2, &shared_settings(400, "repeatable")), 3);
    let withdrawn = f
        .request(leader, &OperatorRequest::Withdraw { number: 3, by: "a test".into(), at: 0 })
        .expect("an answer");
    if withdrawn == OperatorReply::Committed(3) {
        f.wait_until_acting(&[0, 1, 2], "Version(2)");
        f.links.heal();
        assert_settles(&f, 2);
    } else {
        // Version 3 came into force before the withdrawal.
        assert!(
            matches!(&withdrawn, OperatorReply::Refused(why) if why.contains("not being rolled out")),
            "{withdrawn:?}"
        );
        f.links.heal();
        assert_settles(&f, 3);
    }
}

#[test]
fn a_rolling_restart_during_a_rollout() {
    let mut f = fleet_on_version_1("rolling", 3, 5);
    let next = f.propose(1, &shared_settings(60, "once"));
    for i in f.all_indices() {
        f.stop(i);
        f.start_process(i);
        // A majority of the voters must run at all times.
        f.wait_for("the restarted initiator to have a lease", |f| {
            f.all[i].active_rules().filter(|a| a.what.starts_with("Version"))
        });
    }
    assert_settles(&f, next);
}

#[test]
fn a_member_without_links_to_voters_learns_versions_from_a_peer() {
    let f = fleet_on_version_1("neighbour", 3, 5);
    (0..3).for_each(|voter| f.links.set_both_ways(4, voter, Flow::Stall));
    let next = f.propose(1, &shared_settings(60, "once"));
    assert_settles(&f, next);
}

#[test]
fn operators_see_what_blocks_a_change_and_invalid_files_change_nothing() {
    let mut f = fleet_on_version_1("operators", 3, 4);
    let bad = f.write_file("bad.kdl", &shared_settings(60, "sometimes"));
    let out = f.command(0, &["propose", bad.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(
        text(&out.stderr).contains("bad.kdl:6: effect in class \"read\" is sometimes"),
        "{}",
        text(&out.stderr)
    );
    let narrow =
        f.write_file("narrow.kdl", &shared_settings(0, "once").replace("limit-burst 0", "limit-burst 1"));
    let removed =
        f.write_file("removed.kdl", &shared_settings(60, "once").replace("\"gold\" {", "\"silver\" {"));
    let out = f.command(0, &["propose", removed.to_str().unwrap(), "--dry-run"]);
    assert!(
        text(&out.stdout).contains("plan.gold can't be changed while initiators run"),
        "{}",
        text(&out.stdout)
    );
    let out = f.command(0, &["propose", narrow.to_str().unwrap(), "--dry-run"]);
    assert!(text(&out.stdout).contains("class.read.effect: \"repeatable\" -> \"once\"  narrows"));
    assert_eq!(f.replicated_state(0).unwrap().last_number, 1, "no version was proposed by these commands");
    let wide = f.write_file("wide.kdl", &shared_settings(200, "repeatable"));
    f.wait_for("the previous rollout to complete", |f| {
        f.report(f.leader())?.blockers.is_empty().then_some(())
    });
    let since = f.pause(3);
    let out = f.command(0, &["propose", wide.to_str().unwrap()]);
    assert!(text(&out.stdout).contains("version 2 is committed"), "{out:?}");
    let status = f.wait_for("the status to name the blocking member, or the rollout to complete", |f| {
        let status = text(&f.command(0, &["status"]).stdout);
        let is_complete = status.contains("version 2 is in force");
        (status.contains("blocked by i3: it may act on the previous rules") || is_complete).then_some(status)
    });
    assert!(status.contains("leads in term"), "{status}");
    assert_eq!(f.command(0, &["wait"]).status.code(), Some(0));
    f.resume(3, since);
    assert_settles(&f, 2);
    let history = text(&f.command(0, &["history"]).stdout);
    assert!(history.contains("version 2  in force: confirmed by"), "{history}");
    let json = text(&f.command(0, &["status", "--json"]).stdout);
    assert!(
        serde_json::from_str::<serde_json::Value>(&json)
            .is_ok_and(|v| v["initiators"][3]["versions"][0] == 2)
    );
    assert_eq!(f.command(0, &["revert", "1"]).status.code(), Some(0));
    assert_settles(&f, 3);
    assert_eq!(f.replicated_state(1).unwrap().in_force.text, shared_settings(100, "repeatable"));
}

/// Run with `cargo test --release -p flaxstand-cli --test agreement -- --ignored --nocapture`; it takes
/// several minutes. Prints the time that changes take without faults, with a partitioned member, with the
/// leader killed and with slow and broken links, and the longest contradiction. `FLAXSTAND_CHANGES` sets the
/// number of changes per fault.
#[test]
#[ignore = "a measurement of several minutes"]
fn rollout_times_under_random_faults() {
    let changes = std::env::var("FLAXSTAND_CHANGES").ok().and_then(|n| n.parse().ok()).unwrap_or(50);
    let mut f = fleet_on_version_1("measured", 3, 5);
    let mut base = 1;
    let mut random = 1u64;
    for fault in ["no fault", "a partitioned member", "leader killed", "slow and broken links"] {
        let mut times_ms = Vec::new();
        for round in 0..changes {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let drawn = (random >> 33) as usize;
            let leader = f.leader();
            f.wait_for("the previous rollout to complete", |f| {
                f.report(f.leader())?.blockers.is_empty().then_some(())
            });
            match fault {
                "a partitioned member" => f
                    .links
                    .set_all_links(if drawn.is_multiple_of(2) { 4 } else { (leader + 1) % 3 }, Flow::Stall),
                "slow and broken links" => {
                    let (a, b) = (drawn % 5, (drawn / 8) % 5);
                    if a != b {
                        f.links.set_both_ways(
                            a,
                            b,
                            Flow::Delay(std::time::Duration::from_millis(drawn as u64 % 200)),
                        );
                    }
                    f.links.reset(leader, (leader + 1 + drawn % 4) % 5);
                }
                _ => {}
            }
            let started = std::time::Instant::now();
            let effect = ["once", "repeatable"][round % 2];
            let next = f.propose(base, &shared_settings(5 + drawn as u64 % 400, effect));
            if fault == "leader killed" {
                f.kill(leader);
            }
            f.wait_for("the version to be in force somewhere", |f| {
                let acts = |i: &usize| {
                    f.all[*i].active_rules().is_some_and(|a| a.what == format!("Version({next})"))
                };
                f.all_indices().iter().any(acts).then_some(())
            });
            times_ms.push(started.elapsed().as_millis() as u64);
            if fault == "leader killed" {
                f.start_process(leader);
            }
            f.links.heal();
            assert_settles(&f, next);
            base = next;
        }
        times_ms.sort_unstable();
        let at = |quantile: f64| times_ms[((times_ms.len() - 1) as f64 * quantile) as usize];
        println!(
            "{fault}: {changes} changes, ms until in force: p10 {}, p50 {}, p90 {}, max {}",
            at(0.1),
            at(0.5),
            at(0.9),
            at(1.0)
        );
    }
    let (longest, who) = f.contradiction();
    println!("longest contradiction: {} ms {who}", longest * 1000.0);
}
