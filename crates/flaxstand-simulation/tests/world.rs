//! Days on virtual time: determinism, edge cases, and the search for failing days.

use flaxstand_audit::Record;
use flaxstand_gateway::core::Policy;
use flaxstand_simulation::day::Day;
use flaxstand_simulation::swarm::{GeneratedDay, search};
use flaxstand_simulation::world::{Played, play};
use std::path::Path;

fn day(name: &str) -> Day {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    Day::load(&path).unwrap().0
}

fn bytes(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    records.iter().for_each(|r| r.write(&mut out));
    out
}

fn assert_rules_kept(played: &Played) {
    assert!(played.report.audit.passed(), "{}", played.report.text());
    assert!(played.counts.iter().all(|c| c.overdue == 0));
}

#[test]
fn the_same_day_gives_the_same_record_when_days_run_in_parallel() {
    let bad = day("bad-day.kdl");
    let (first, others) = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..3).map(|_| scope.spawn(|| play(&bad, 15.0, Policy::Module))).collect();
        let mut runs = runs.into_iter().map(|r| r.join().unwrap());
        (runs.next().unwrap(), runs.collect::<Vec<_>>())
    });
    assert_rules_kept(&first);
    assert!(first.ledger.records.len() > 10_000);
    let record = bytes(&first.ledger.records);
    assert!(others.iter().all(|o| bytes(&o.ledger.records) == record));
    let other_seed = play(&Day { seed: bad.seed + 1, ..bad }, 15.0, Policy::Module);
    assert_ne!(bytes(&other_seed.ledger.records), record);
}

#[test]
fn every_kind_of_fault_keeps_every_rule() {
    let days = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days")).unwrap();
    let mut names: Vec<String> =
        days.map(|e| e.unwrap().file_name().into_string().unwrap()).filter(|n| n.ends_with(".kdl")).collect();
    // Bases, and days that take too long in an unoptimised build.
    let left_out = ["ordinary.kdl", "buffered.kdl", "large.kdl", "storm.kdl"];
    names.retain(|n| !left_out.contains(&n.as_str()));
    names.sort();
    assert!(names.len() > 15);
    let found = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/found")).unwrap();
    names.extend(found.map(|e| format!("found/{}", e.unwrap().file_name().into_string().unwrap())));
    for name in names {
        let day = day(&name);
        assert_rules_kept(&play(&day, day.seconds.min(60.0), Policy::Module));
    }
}

#[test]
fn durability_of_the_buffer_is_audited_and_the_record_is_deterministic() {
    let trouble = day("barrier-trouble.kdl");
    let played = play(&trouble, 30.0, Policy::Module);
    assert_rules_kept(&played);
    let checked = played.report.audit.checked.get(&flaxstand_audit::Rule::Durability.to_string());
    assert!(checked.is_some_and(|n| *n > 1000), "{checked:?}");
    assert_eq!(bytes(&play(&trouble, 30.0, Policy::Module).ledger.records), bytes(&played.ledger.records));
}

#[test]
fn a_page_holds_every_plot_and_no_external_resource() {
    let bad = day("bad-day.kdl");
    let played = play(&bad, 5.0, Policy::Module);
    let page = flaxstand_simulation::html::page(&bad, &played.ledger, &played.report).unwrap();
    assert_eq!(page.matches("<svg").count(), 5);
    for class in &bad.site.site.classes {
        assert!(
            page.matches(&class.name[..]).count() >= 4,
            "class {} is missing from plots or figures",
            class.name
        );
    }
    assert!(page.contains("crash 2") || page.contains("pauses 1"), "the faults are not marked");
    assert!(!page.contains("<script") && !page.contains("src=") && !page.contains("href="));
    let mut empty = day("quiet.kdl");
    empty.traffic.rate = 0.0;
    let played = play(&empty, 1.0, Policy::Module);
    assert!(flaxstand_simulation::html::page(&empty, &played.ledger, &played.report).is_ok());
}

#[test]
fn hundreds_of_events_at_one_instant_have_a_fixed_order() {
    let mut large = day("large.kdl");
    // A constant delay: data sent at one instant arrives at one instant.
    (large.one_way, large.traffic.rate) = ((0.1, 0.1), 300.0);
    large.faults.iter_mut().for_each(|f| f.at /= 20.0);
    let first = play(&large, 1.5, Policy::Module);
    assert_rules_kept(&first);
    assert!(first.most_at_once >= 243, "{} events in one instant, expected 243 or more", first.most_at_once);
    let second = play(&large, 1.5, Policy::Module);
    assert_eq!(bytes(&first.ledger.records), bytes(&second.ledger.records));
}

/// Guards against rules broken by a crash at any point: nodes die during a reply, initiators between two
/// outputs of one turn.
#[test]
fn a_crash_at_any_point_keeps_every_rule() {
    for seed in 0..6 {
        for name in ["crash.kdl", "initiator-roll.kdl"] {
            let mut crashing = day(name);
            crashing.seed = seed;
            let seconds = crashing.seconds * 0.8;
            assert_rules_kept(&play(&crashing, seconds, Policy::Module));
        }
    }
}

/// Guards against a second start of a process that two overlapping faults restart.
#[test]
fn overlapping_faults_restart_a_process_once() {
    let mut crash = day("crash.kdl");
    let again = flaxstand_simulation::day::Fault { at: 4.5, length: 5.0, ..crash.faults[0].clone() };
    crash.faults.push(again);
    let played = play(&crash, 12.0, Policy::Module);
    assert_rules_kept(&played);
    let up = played.ledger.processes.keys().filter(|(node, _)| *node == 1).count();
    assert_eq!(up, 2, "its first start and one restart");
    let mut roll = day("initiator-roll.kdl");
    let again = flaxstand_simulation::day::Fault { at: 3.2, length: 0.1, ..roll.faults[0].clone() };
    roll.faults.push(again);
    assert_rules_kept(&play(&roll, 6.0, Policy::Module));
}

#[test]
fn an_experiment_resumes_from_its_file_and_has_a_page() {
    let file = std::env::temp_dir().join(format!("flaxstand-experiment-{}.jsonl", std::process::id()));
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/baselines.kdl");
    let mut experiment = flaxstand_simulation::experiment::Experiment::load(&path).unwrap();
    (experiment.seeds, experiment.seconds) = (vec![1, 2], Some(2.0));
    experiment.days.truncate(2);
    experiment.variants.truncate(2);
    let first = experiment.run(Some(&file), 2, |_, _| {}).unwrap();
    assert_eq!(first.runs.len(), 8);
    // Half of the file is lost and its last line is truncated: only the missing runs are played again.
    let kept = std::fs::read_to_string(&file).unwrap();
    let half: Vec<&str> = kept.lines().take(4).collect();
    std::fs::write(&file, half.join("\n") + "\n{\"day\":\n").unwrap();
    let played = std::sync::atomic::AtomicUsize::new(0);
    let count = |_, all| {
        assert_eq!(all, 8);
        played.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    };
    let again = experiment.run(Some(&file), 1, count).unwrap();
    assert_eq!((played.into_inner(), &again.runs), (4, &first.runs));
    let page = flaxstand_simulation::html::experiment_page(&again).unwrap();
    assert!(page.contains("<svg") && page.contains("bad day: pipe"));
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn an_idle_hour_has_few_events() {
    let mut quiet = day("quiet.kdl");
    quiet.traffic.rate = 0.0;
    let played = play(&quiet, 3600.0, Policy::Module);
    assert_rules_kept(&played);
    assert!(played.lasted.ms() >= 3_600_000.0);
    assert!(played.report.classes.iter().all(|c| c.wanted == 0));
    // Only the periodic checks of the list service remain.
    assert!(played.events < 100_000, "{} events", played.events);
}

#[test]
fn days_with_no_node_or_one_node_can_be_played() {
    let mut none = day("quiet.kdl");
    (none.fleet.nodes, none.faults) = (0, Vec::new());
    let played = play(&none, 3.0, Policy::Module);
    assert_rules_kept(&played);
    assert!(played.report.classes.iter().all(|c| c.refused == c.wanted), "{}", played.report.text());
    let mut one = day("quiet.kdl");
    (one.fleet.nodes, one.traffic.volumes, one.traffic.clients) = (1, 1, 1);
    one.site.site.settings.initiators = 1;
    one.traffic.rate = 20.0;
    let played = play(&one, 5.0, Policy::Module);
    assert_rules_kept(&played);
    assert!(played.report.service > 0.5, "{}", played.report.text());
}

#[test]
fn generated_days_keep_every_rule() {
    let searched = search(Policy::Module, 1, 12, 2, |_| {});
    assert!(searched.found.is_none(), "{:?}", searched.found);
    assert_eq!(searched.days, 12);
}

/// The round-robin policy keeps neither order nor limits: the search must find a failing day and shrink it.
#[test]
fn a_search_finds_a_failing_day_and_shrinks_it() {
    let found =
        search(Policy::RoundRobin, 1, 50, 1, |_| {}).found.expect("the round-robin policy breaks rules");
    assert!(found.shrunk.faults.len() <= found.generated.faults.len());
    assert!(found.shrunk.seconds < found.generated.seconds || found.shrunk.rate < found.generated.rate);
    let (_, again) = found.shrunk.play(Policy::RoundRobin);
    assert_eq!(again.as_deref(), Some(&found.failure[..]), "the shrunk day fails the same way");
    assert!(Day::read("small", &found.shrunk.text(), None).is_ok());
    assert_eq!(GeneratedDay::new(found.generated.seed), found.generated);
}
