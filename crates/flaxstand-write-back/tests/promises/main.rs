//! The promises hold, whatever the disk, the nodes and the clients do; and the checker can tell when not.

mod model;
mod rig;

use flaxstand_storage::faulty::Faults;
use flaxstand_write_back::{ExtentId, Micros};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rig::{Fate, KEYED, Plant, REPEATABLE, Rig, THROUGH};
use std::cell::Cell;

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    Write { extent_id: ExtentId, class: u16, at: Option<u32>, len: usize },
    Barrier(u64),
    Flush(Option<u64>),
    Read(ExtentId),
    Disk,
    Node(usize, Fate),
    Late(usize),
    Pass(u64),
    Expire,
    Crash { power: bool },
    DiesAt(u64),
    SyncFails(u64),
    Full(u64),
    Mend,
}

/// Steps need no state to be drawn: each is harmless where it does not apply.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().no_shrink().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let extent_id = || (0..2u64, 0..3u64).prop_map(|(volume, extent)| ExtentId { volume, extent });
        let class = prop_oneof![5 => Just(REPEATABLE), 2 => Just(KEYED), 1 => Just(THROUGH)];
        let at = prop_oneof![2 => Just(None), 3 => (0..6u32).prop_map(Some)];
        let fate = prop_oneof![
            8 => Just(Fate::Confirmed),
            1 => Just(Fate::Refused),
            1 => Just(Fate::AnswerLost),
            1 => Just(Fate::Lost),
            2 => Just(Fate::Late),
        ];
        prop_oneof![
            20 => (extent_id(), class, at, 1..6usize)
                .prop_map(|(extent_id, class, at, len)| Step::Write { extent_id, class, at, len }),
            2 => (0..2u64).prop_map(Step::Barrier),
            1 => proptest::option::of(0..2u64).prop_map(Step::Flush),
            4 => extent_id().prop_map(Step::Read),
            14 => Just(Step::Disk),
            14 => (0..8usize, fate).prop_map(|(which, fate)| Step::Node(which, fate)),
            2 => (0..4usize).prop_map(Step::Late),
            10 => prop_oneof![3 => 0..8u64, 1 => 8..120u64].prop_map(Step::Pass),
            1 => Just(Step::Expire),
            2 => any::<bool>().prop_map(|power| Step::Crash { power }),
            2 => (0..6u64).prop_map(Step::DiesAt),
            1 => (0..3u64).prop_map(Step::SyncFails),
            1 => (0..4000u64).prop_map(Step::Full),
            1 => Just(Step::Mend),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

thread_local! {
    /// Crashes so far, and the fault that is planted, of this thread's test.
    static CRASHES: Cell<u64> = const { Cell::new(0) };
    static PLANTED: Cell<Plant> = const { Cell::new(Plant::None) };
}

struct Played;

impl StateMachineTest for Played {
    type SystemUnderTest = Rig;
    type Reference = Steps;

    fn init_test(seed: &u64) -> Rig {
        Rig::new(*seed, PLANTED.get())
    }

    fn apply(mut rig: Rig, _: &u64, step: Step) -> Rig {
        match step {
            Step::Write { extent_id, class, at, len } => rig.write(extent_id, class, at, len),
            Step::Barrier(volume) => rig.barrier(volume),
            Step::Flush(volume) => rig.flush(volume),
            Step::Read(extent_id) => rig.read(extent_id),
            Step::Disk => rig.disk(),
            Step::Node(which, fate) => rig.node(which, fate),
            Step::Late(which) => rig.late(which),
            Step::Pass(ms) => rig.pass(Micros(ms * 1000)),
            Step::Expire => rig.expire(),
            Step::Crash { power } => rig.crash(power),
            Step::DiesAt(calls) => rig.disk.set(Faults { dies_at: Some(calls), ..Faults::default() }),
            Step::SyncFails(syncs) => {
                rig.disk.set(Faults { sync_fails_at: Some(syncs), ..Faults::default() })
            }
            Step::Full(bytes) => rig.disk.set(Faults { full_at: Some(bytes), ..Faults::default() }),
            Step::Mend => rig.disk.set(Faults::default()),
        }
        rig
    }

    fn teardown(mut rig: Rig, _: u64) {
        rig.finish();
        CRASHES.set(CRASHES.get() + rig.crashes);
    }
}

/// Plays so many drawn sequences. Returns how many crashes there were, or what broke.
fn play(cases: u32, steps: usize, plant: Plant) -> Result<u64, String> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let played = drawn(cases, steps, plant);
    std::panic::set_hook(hook);
    played
}

fn drawn(cases: u32, steps: usize, plant: Plant) -> Result<u64, String> {
    PLANTED.set(plant);
    CRASHES.set(0);
    let config = Config { cases, max_shrink_iters: 2000, failure_persistence: None, ..Config::default() };
    // The same sequences every time.
    let mut seed = [7; 32];
    if let Ok(text) = std::env::var("FLAXSTAND_SEED") {
        seed[..8].copy_from_slice(&text.parse::<u64>().expect("a number").to_le_bytes());
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Steps::sequential_strategy(1..steps);
    let played = runner.run(&strategy, |(state, steps, seen)| {
        Played::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    match played {
        Ok(()) => Ok(CRASHES.get()),
        Err(TestError::Fail(why, (_, steps, _))) => Err(format!("{why}\n{steps:?}")),
        Err(TestError::Abort(why)) => panic!("{why}"),
    }
}

/// A fixed set; `FLAXSTAND_CASES` and `FLAXSTAND_SEED` draw more or others.
#[test]
fn promises_hold() {
    let cases = std::env::var("FLAXSTAND_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    match play(cases, 150, Plant::None) {
        Ok(crashes) => {
            println!("{crashes} crashes in {cases} sequences");
            assert!(crashes > 2 * u64::from(cases), "the sequences crash too seldom: {crashes}");
        }
        Err(why) => panic!("{why}"),
    }
}

fn caught(plant: Plant, by: &[&str]) {
    let played = play(3000, 150, plant);
    let why = played.expect_err("a planted fault must be caught");
    assert!(by.iter().any(|by| why.contains(by)), "{plant:?} was caught by something else: {why}");
    println!("{plant:?}: {}", why.lines().next().unwrap_or(""));
}

#[test]
fn planted_faults_are_caught() {
    caught(Plant::SyncLeftOut, &["holds", "though later ones are durable"]);
    caught(Plant::FailureIgnored, &["holds", "though later ones are durable"]);
    caught(Plant::BarrierIgnored, &["behind a barrier"]);
    caught(Plant::TailSkipped, &["holds", "is not there"]);
    caught(Plant::NoRest, &["holds"]);
    caught(Plant::WindowIgnored, &["after its first attempt"]);
}

/// A fixed day with everything in it, and the machine dies at each call of the disk in turn, torn in
/// several ways, with power lost or only the process.
#[test]
fn every_storage_call_may_be_the_last() {
    let day = |rig: &mut Rig| {
        for round in 0..6u64 {
            let extent_id = |extent| ExtentId { volume: round % 2, extent };
            rig.write(extent_id(0), REPEATABLE, None, 4);
            rig.write(extent_id(1), KEYED, Some(1), 2);
            rig.write(extent_id(0), REPEATABLE, Some(2), 4);
            rig.disk();
            rig.barrier(round % 2);
            rig.write(extent_id(2), REPEATABLE, None, 3);
            rig.disk();
            rig.pass(Micros(60_000));
            rig.node(0, Fate::Late);
            rig.node(0, Fate::Confirmed);
            rig.write(extent_id(1), THROUGH, None, 2);
            rig.disk();
            rig.flush(Some(round % 2));
            for _ in 0..6 {
                rig.pass(Micros(30_000));
                rig.node(0, Fate::Confirmed);
                rig.disk();
            }
        }
    };
    let mut calm = Rig::new(0, Plant::None);
    day(&mut calm);
    let calls = calm.disk.calls();
    assert!(calls > 40, "the day stores something: {calls}");
    assert!(calm.answers["flushed"] > 0 && calm.answers["barred"] > 0, "{:?}", calm.answers);
    calm.finish();
    for dies_at in 0..calls {
        for seed in 0..8 {
            let mut rig = Rig::new(seed, Plant::None);
            rig.disk.set(Faults { dies_at: Some(dies_at), ..Faults::default() });
            day(&mut rig);
            assert!(rig.crashes > 0, "call {dies_at} was reached");
            rig.finish();
        }
    }
}
