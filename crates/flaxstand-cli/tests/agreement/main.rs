//! What initiators agree on, between several processes of the program, with faults between them.

mod fleet;

use flaxstand_simulation::agreed::unix_time;
use flaxstand_simulation::relay::Flow;
use fleet::{Fleet, shared};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A fleet that acts on version 1 everywhere.
fn agreed(name: &str, keepers: usize, count: usize) -> Fleet {
    let fleet = Fleet::start(name, keepers, count);
    assert_eq!(fleet.propose(0, &shared(100, "repeatable")), 1);
    fleet.until_acting(&fleet.everyone(), "Version(1)");
    fleet
}

#[test]
fn a_change_passes_through_what_both_versions_allow() {
    let f = agreed("passes", 3, 5);
    assert_eq!(f.propose(1, &shared(40, "once")), 2);
    f.until_acting(&f.everyone(), "Version(2)");
    for p in &f.all {
        let mut acted: Vec<String> = p.acted().into_iter().map(|a| a.what).collect();
        acted.dedup();
        assert_eq!(acted, ["Fallback", "Version(1)", "Transition(1, 2)", "Version(2)"], "{}", p.name);
    }
    f.no_contradiction();
}

/// Waits until the others than `but` act on a version, and then all.
fn settles(f: &Fleet, version: u64) {
    f.until_acting(&f.everyone(), &format!("Version({version})"));
    f.no_contradiction();
}

#[test]
fn a_leader_that_is_cut_off_while_a_change_narrows_ends_on_the_floor() {
    let f = agreed("cut-off", 3, 5);
    let old = f.leader();
    f.links.set_all_links(old, Flow::Stall);
    let others: Vec<usize> = f.everyone().into_iter().filter(|i| *i != old).collect();
    f.until_acting(&[old], "Fallback");
    assert_eq!(f.propose(1, &shared(40, "once")), 2);
    f.until_acting(&others, "Version(2)");
    assert_eq!(f.all[old].acts().unwrap().what, "Fallback");
    assert_eq!(f.book(old).unwrap().in_force.number, 1, "it can't have heard of it");
    f.links.heal();
    settles(&f, 2);
}

#[test]
fn a_change_waits_for_a_member_that_may_act_on_the_old_rules_and_no_longer() {
    let f = agreed("waits", 3, 5);
    // No keeper: it acts on version 1 until its lease ends.
    f.links.set_all_links(4, Flow::Stall);
    let before = unix_time();
    assert_eq!(f.propose(1, &shared(500, "repeatable")), 2);
    let rest = [0, 1, 2, 3];
    f.until_acting(&rest, "Version(2)");
    let let_go =
        f.all[4].acted().into_iter().rev().find(|a| a.what == "Fallback").expect("its lease ended").at;
    let widened = rest.iter().map(|i| f.all[*i].acts().unwrap().at).fold(f64::INFINITY, f64::min);
    assert!(let_go > before && widened > let_go, "{before} {let_go} {widened}");
    f.links.heal();
    settles(&f, 2);
}

#[test]
fn cuts_in_one_direction_and_halves_that_part_again_and_again() {
    let f = agreed("one-way", 5, 7);
    let leader = f.leader();
    let deaf = (leader + 1) % 5;
    // It does not hear the leader, and is heard: nobody is unseated by it.
    f.links.set_one_way(leader, deaf, Flow::Stall);
    let term = f.report(leader).unwrap().term;
    assert_eq!(f.propose(1, &shared(80, "repeatable")), 2);
    f.until_acting(&[leader, (leader + 2) % 5, (leader + 3) % 5], "Version(2)");
    assert_eq!(f.report(leader).unwrap().term, term);
    f.links.heal();
    settles(&f, 2);
    for round in 0..3 {
        for i in 0..3 {
            (3..7).for_each(|j| f.links.set_both_ways(i, j, Flow::Stall));
        }
        f.propose(2 + round, &shared(70 - round, "repeatable"));
        f.links.heal();
        settles(&f, 3 + round);
    }
}

#[test]
fn a_process_that_stood_still_acts_on_the_floor_when_it_wakes() {
    let mut f = agreed("stood-still", 3, 5);
    for who in [f.leader(), 4] {
        let base = f.book(3).unwrap().in_force.number;
        let others: Vec<usize> = f.everyone().into_iter().filter(|i| *i != who).collect();
        let since = f.pause(who);
        let next = f.propose(base, &shared(90 - base, "repeatable"));
        f.until_acting(&others, &format!("Version({next})"));
        f.go_on(who, since);
        settles(&f, next);
        let acted = f.all[who].acted();
        let woke = acted.iter().find(|a| a.at > since).expect("it noted something when it woke");
        assert_eq!(woke.what, "Fallback", "the first thing that it noticed");
    }
    // All keepers at once, for longer than a lease.
    let since: Vec<f64> = (0..3).map(|i| f.pause(i)).collect();
    f.until_acting(&[3, 4], "Fallback");
    (0..3).for_each(|i| f.go_on(i, since[i]));
    settles(&f, 3);
}

#[test]
fn leaders_killed_one_after_the_other_and_all_at_once() {
    let mut f = agreed("killed", 5, 6);
    let mut base = 1;
    // Between each two steps of a change: before it is proposed, while it is under way, when it comes in force.
    for step in 0..3 {
        let leader = f.leader();
        if step == 0 {
            f.kill(leader);
        }
        let next = f.propose(base, &shared(90 - base, "repeatable"));
        if step == 1 {
            f.kill(leader);
        }
        if step == 2 {
            f.until("the version to be in force somewhere", |f| {
                f.everyone().into_iter().find(|i| f.book(*i).is_some_and(|b| b.in_force.number == next))
            });
            f.kill(leader);
        }
        let rest: Vec<usize> = f.everyone().into_iter().filter(|i| *i != leader).collect();
        f.until_acting(&rest, &format!("Version({next})"));
        f.run(leader);
        settles(&f, next);
        base = next;
    }
    (0..2).for_each(|_| {
        let leader = f.leader();
        f.kill(leader);
        f.leader_of(&(0..5).filter(|i| f.report(*i).is_some()).collect::<Vec<_>>());
        f.run(leader);
    });
    settles(&f, base);
    f.everyone().into_iter().for_each(|i| f.kill(i));
    f.everyone().into_iter().rev().for_each(|i| f.run(i));
    settles(&f, base);
    let next = f.propose(base, &shared(30, "once"));
    settles(&f, next);
}

#[test]
fn lost_old_and_torn_folders_of_keepers() {
    let mut f = agreed("folders", 3, 4);
    let leader = f.leader();
    let [wiped, old] = [(leader + 1) % 3, (leader + 2) % 3];
    let voters = |f: &Fleet| f.report(f.leader()).unwrap().voters;
    // Its disk is lost: it comes back as another, and is given a vote again.
    f.kill(wiped);
    std::fs::remove_dir_all(f.own_folder(wiped)).unwrap();
    f.run(wiped);
    f.until("the one without a disk to be taken in", |f| {
        (f.report(wiped)?.replica.as_deref() == Some("follower") && voters(f).len() == 3).then_some(())
    });
    // Its folder is put back to what it was before it promised more.
    f.kill(old);
    let copy = f.own_folder(old).with_extension("copy");
    fleet::copy(&f.own_folder(old), &copy);
    f.run(old);
    let next = f.propose(1, &shared(60, "once"));
    settles(&f, next);
    f.kill(old);
    std::fs::remove_dir_all(f.own_folder(old)).unwrap();
    fleet::copy(&copy, &f.own_folder(old));
    f.run(old);
    f.until("the old copy to be found out", |f| f.all[old].logged("its folder is an old copy").then_some(()));
    f.until("it to be taken in", |f| (f.report(old)?.replica.as_deref() == Some("follower")).then_some(()));
    settles(&f, next);
    // The last bytes of its log are torn off: never told, so it goes on as itself.
    f.kill(old);
    let mut segments: Vec<_> =
        std::fs::read_dir(f.own_folder(old)).unwrap().map(|e| e.unwrap().path()).collect();
    segments.retain(|p| p.extension().is_some_and(|e| e == "log"));
    segments.sort();
    let last = segments.last().expect("a segment");
    let mut bytes = std::fs::read(last).unwrap();
    bytes.extend_from_slice(b"fag1 and then the power went");
    std::fs::write(last, bytes).unwrap();
    f.run(old);
    let last = f.propose(next, &shared(50, "once"));
    settles(&f, last);
    assert!(!f.all[old].logged("is damaged"), "a torn end is no damage");
}

#[test]
fn two_proposals_at_once_and_one_withdrawn() {
    use flaxstand_consensus::participant::{OperatorReply, OperatorRequest};
    let f = agreed("two", 3, 4);
    let leader = f.leader();
    f.until("the passage before to be over", |f| f.report(leader)?.blockers.is_empty().then_some(()));
    let say = |limit| {
        f.say(
            leader,
            &OperatorRequest::Propose { base: 1, version: fleet::version(&shared(limit, "repeatable")) },
        )
    };
    let (one, two) = std::thread::scope(|s| {
        let one = s.spawn(|| say(80));
        let two = s.spawn(|| say(70));
        (one.join().unwrap().expect("an answer"), two.join().unwrap().expect("an answer"))
    });
    let taken: Vec<&OperatorReply> =
        [&one, &two].into_iter().filter(|r| matches!(r, OperatorReply::Committed(2))).collect();
    assert_eq!(taken.len(), 1, "{one:?} {two:?}");
    settles(&f, 2);
    // One that can't come in force, since a member holds it up, is withdrawn.
    f.links.set_all_links(3, Flow::Stall);
    assert_eq!(f.propose(2, &shared(400, "repeatable")), 3);
    let withdrawn = f
        .say(leader, &OperatorRequest::Withdraw { number: 3, by: "a test".into(), at: 0 })
        .expect("an answer");
    if withdrawn == OperatorReply::Committed(3) {
        f.until_acting(&[0, 1, 2], "Version(2)");
        f.links.heal();
        settles(&f, 2);
    } else {
        // It came in force first: then there is nothing to take back.
        assert!(
            matches!(&withdrawn, OperatorReply::Refused(why) if why.contains("not under way")),
            "{withdrawn:?}"
        );
        f.links.heal();
        settles(&f, 3);
    }
}

#[test]
fn a_rolling_restart_with_a_change_under_way() {
    let mut f = agreed("rolling", 3, 5);
    let next = f.propose(1, &shared(60, "once"));
    for i in f.everyone() {
        f.stop(i);
        f.run(i);
        // Of keepers a majority is to be there at all times.
        f.until("it to have a lease again", |f| f.all[i].acts().filter(|a| a.what.starts_with("Version")));
    }
    settles(&f, next);
}

#[test]
fn a_member_that_reaches_no_keeper_learns_from_a_neighbour() {
    let f = agreed("neighbour", 3, 5);
    (0..3).for_each(|keeper| f.links.set_both_ways(4, keeper, Flow::Stall));
    let next = f.propose(1, &shared(60, "once"));
    settles(&f, next);
}

#[test]
fn operators_see_who_holds_a_change_up_and_files_without_sense_change_nothing() {
    let mut f = agreed("operators", 3, 4);
    let bad = f.put("bad.kdl", &shared(60, "sometimes"));
    let out = f.command(0, &["propose", bad.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(
        text(&out.stderr).contains("bad.kdl:6: effect in class \"read\" is sometimes"),
        "{}",
        text(&out.stderr)
    );
    let narrow = f.put("narrow.kdl", &shared(0, "once").replace("limit-burst 0", "limit-burst 1"));
    let gone = f.put("gone.kdl", &shared(60, "once").replace("\"gold\" {", "\"silver\" {"));
    let out = f.command(0, &["propose", gone.to_str().unwrap(), "--dry-run"]);
    assert!(
        text(&out.stdout).contains("plan.gold can't be changed while initiators run"),
        "{}",
        text(&out.stdout)
    );
    let out = f.command(0, &["propose", narrow.to_str().unwrap(), "--dry-run"]);
    assert!(text(&out.stdout).contains("class.read.effect: \"repeatable\" -> \"once\"  narrows"));
    assert_eq!(f.book(0).unwrap().last_number, 1, "nothing was proposed so far");
    let wide = f.put("wide.kdl", &shared(200, "repeatable"));
    let since = f.pause(3);
    let out = f.command(0, &["propose", wide.to_str().unwrap()]);
    assert!(text(&out.stdout).contains("version 2 is agreed on"), "{}", text(&out.stdout));
    let held = f.until("the status to say who holds it up, or that it is over", |f| {
        let told = text(&f.command(0, &["status"]).stdout);
        let over = told.contains("version 2 is in force");
        (told.contains("held up by i3: it may act on the previous rules") || over).then_some(told)
    });
    assert!(held.contains("leads in term"), "{held}");
    assert_eq!(f.command(0, &["wait"]).status.code(), Some(0));
    f.go_on(3, since);
    settles(&f, 2);
    let history = text(&f.command(0, &["history"]).stdout);
    assert!(history.contains("version 2  in force: confirmed by"), "{history}");
    let json = text(&f.command(0, &["status", "--json"]).stdout);
    assert!(
        serde_json::from_str::<serde_json::Value>(&json)
            .is_ok_and(|v| v["initiators"][3]["versions"][0] == 2)
    );
    assert_eq!(f.command(0, &["revert", "1"]).status.code(), Some(0));
    settles(&f, 3);
    assert_eq!(f.book(1).unwrap().in_force.text, shared(100, "repeatable"));
}

/// Long, and so no part of the usual run: `cargo test --release -p flaxstand-cli --test agreement -- --ignored --nocapture`.
/// Prints how long changes took with all well, with a member cut off, with the leader killed and with links that are
/// slow and break, and the longest contradiction seen. `FLAXSTAND_CHANGES` says how many of each.
#[test]
#[ignore = "a measurement of several minutes"]
fn changes_under_drawn_faults() {
    let each = std::env::var("FLAXSTAND_CHANGES").ok().and_then(|n| n.parse().ok()).unwrap_or(50);
    let mut f = agreed("measured", 3, 5);
    let mut base = 1;
    let mut draw = 1u64;
    for fault in ["all well", "a member cut off", "the leader killed", "links late and broken"] {
        let mut took = Vec::new();
        for round in 0..each {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let drawn = (draw >> 33) as usize;
            let leader = f.leader();
            f.until("the passage before to be over", |f| {
                f.report(f.leader())?.blockers.is_empty().then_some(())
            });
            match fault {
                "a member cut off" => f
                    .links
                    .set_all_links(if drawn.is_multiple_of(2) { 4 } else { (leader + 1) % 3 }, Flow::Stall),
                "links late and broken" => {
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
            let next = f.propose(base, &shared(5 + drawn as u64 % 400, effect));
            if fault == "the leader killed" {
                f.kill(leader);
            }
            f.until("the version to be in force somewhere", |f| {
                let acts = |i: &usize| f.all[*i].acts().is_some_and(|a| a.what == format!("Version({next})"));
                f.everyone().iter().any(acts).then_some(())
            });
            took.push(started.elapsed().as_millis() as u64);
            if fault == "the leader killed" {
                f.run(leader);
            }
            f.links.heal();
            settles(&f, next);
            base = next;
        }
        took.sort_unstable();
        let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        println!(
            "{fault}: {each} changes in force after ms: {} {} {} {} (p10 p50 p90 most)",
            at(0.1),
            at(0.5),
            at(0.9),
            at(1.0)
        );
    }
    let (longest, who) = f.contradiction();
    println!("longest contradiction: {} ms {who}", longest * 1000.0);
}
