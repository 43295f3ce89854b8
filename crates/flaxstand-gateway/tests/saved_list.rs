//! The saved copy of the list: what is appended, what a crash in the middle of a write leaves, when the whole is
//! written anew, and that what is read back is what was held.

mod harness;

use flaxstand_gateway::core::{Config, Core, SavedList, SavedListError};
use flaxstand_gateway::machine::Machine;
use flaxstand_proto::*;
use harness::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A host that is told its list by the test alone.
fn quiet() -> Config {
    let mut config = config();
    config.site.timeouts.discovery_idle_timeout = ms(3_600_000);
    config.bounds.max_endpoints = 10_000;
    config
}

fn tell(w: &mut Harness, entries: Vec<Entry<'_>>) {
    let since = w.revision;
    w.revision += 1;
    let list = List { extent: Extent::Changes, since, revision: w.revision, entries };
    w.send_frame(w.list_conn(), &Frame::List(list));
    w.turn();
}

fn tell_one(w: &mut Harness, node: u64, state: State) {
    tell(w, vec![entry(node, state, node as u32, &address(node))]);
}

fn saved(w: &Harness) -> &[u8] {
    w.saved.as_ref().expect("a list that was told is saved")
}

fn states(bytes: &[u8]) -> Vec<(u64, State)> {
    let list = SavedList::read(bytes).expect("a saved list");
    list.entries.iter().map(|e| (e.node, e.state)).collect()
}

/// Lengths of the frames in a saved state.
fn frames(mut bytes: &[u8]) -> Vec<usize> {
    let mut lengths = Vec::new();
    while let Ok(Some((_, length))) = decode_within(bytes, BodyLimit::NodeList) {
        lengths.push(length);
        bytes = &bytes[length..];
    }
    assert!(bytes.is_empty());
    lengths
}

#[test]
fn a_change_is_appended_and_a_restart_while_the_list_service_is_away_knows_it() {
    let mut w = Harness::new(quiet(), 3);
    let whole = saved(&w).to_vec();
    tell_one(&mut w, 1, State::Draining);
    tell_one(&mut w, 2, State::Removed);
    assert!(saved(&w).starts_with(&whole), "the whole was not written again");
    assert_eq!(states(saved(&w)), [(0, State::Serving), (1, State::Draining)]);
    let mut next = Harness::without_list_service(quiet(), 3, saved(&w));
    let client = next.client();
    (0..3).for_each(|node| next.submit(client, node, READ, Some(node as u32)));
    next.run(20);
    let sent: Vec<usize> = (0..3).map(|node| next.attempts(node).len()).collect();
    assert_eq!(sent, [1, 0, 0], "node 1 drains, node 2 is gone");
    assert!(next.saved.is_none(), "what was read is not saved again: it is not newer than it was");
}

#[test]
fn a_torn_end_is_cut_off_and_all_before_it_is_read() {
    let mut w = Harness::new(quiet(), 5);
    tell_one(&mut w, 1, State::Draining);
    tell_one(&mut w, 2, State::Draining);
    let bytes = saved(&w).to_vec();
    let lengths = frames(&bytes);
    assert_eq!(lengths.len(), 3);
    let (whole, first) = (lengths[0], lengths[0] + lengths[1]);
    let drains = |bytes: &[u8]| states(bytes).iter().filter(|(_, s)| *s == State::Draining).count();
    for cut in 0..bytes.len() {
        let read = SavedList::read(&bytes[..cut]);
        if cut < whole {
            assert!(matches!(read, Err(SavedListError::Incomplete)), "cut at {cut}: {read:?}");
            continue;
        }
        let torn = if cut < first { cut - whole } else { cut - first };
        assert_eq!(read.expect("the whole is there").torn_bytes, torn, "cut at {cut}");
        assert_eq!(drains(&bytes[..cut]), usize::from(cut >= first), "cut at {cut}");
        assert!(Core::new(quiet(), Some(&bytes[..cut]), ms(1)).is_ok());
    }
    // Space that was given to the file, and never written.
    let zeros = [&bytes[..first], &[0; 64]].concat();
    assert_eq!((drains(&zeros), SavedList::read(&zeros).unwrap().torn_bytes), (1, 64));
    let mut flipped = bytes.clone();
    flipped[first + 20] ^= 1;
    assert_eq!(drains(&flipped), 1);
}

#[test]
fn the_whole_is_written_anew_once_the_changes_are_as_long() {
    let mut w = Harness::new(quiet(), 20);
    let whole = saved(&w).len();
    let before = w.core.counts().whole_saves;
    for change in 0..400_u64 {
        let state = if change % 2 == 0 { State::Draining } else { State::Serving };
        tell_one(&mut w, change % 20, state);
        assert!(saved(&w).len() <= 2 * whole + 20, "after {change} changes: {}", saved(&w).len());
        assert!(states(saved(&w)).contains(&(change % 20, state)));
    }
    let rewritten = w.core.counts().whole_saves - before;
    assert!((10..100).contains(&rewritten), "{rewritten} times for 400 changes");
}

#[test]
fn a_list_longer_than_a_frame_is_saved_in_full_and_a_part_of_it_is_none() {
    const NODES: u64 = 70_000;
    const { assert!(NODES as usize > 2 * MAX_LIST_ENTRIES, "three frames") };
    let roomy = || {
        let mut config = quiet();
        config.bounds.max_endpoints = NODES as usize;
        config
    };
    let mut w = Harness::new(roomy(), 0);
    let far_address = |node: u64| format!("10.{}.{}.{}:7000", node >> 16, (node >> 8) & 255, node & 255);
    let addresses: Vec<String> = (0..NODES).map(far_address).collect();
    let all: Vec<Entry<'_>> =
        addresses.iter().zip(0..).map(|(a, node)| entry(node, State::Serving, node as u32, a)).collect();
    all.chunks(30_000).for_each(|part| tell(&mut w, part.to_vec()));
    w.core.control(flaxstand_gateway::machine::Control::Stop, w.now);
    w.run(10);
    let lengths = frames(saved(&w));
    assert_eq!((lengths.len(), states(saved(&w)).len()), (3, NODES as usize));
    let mut end = 0;
    for length in &lengths[..2] {
        end += length;
        assert_eq!(SavedList::read(&saved(&w)[..end]), Err(SavedListError::Incomplete));
    }
    assert_eq!(Harness::without_list_service(roomy(), 0, saved(&w)).core.footprint().nodes, NODES as usize);
}

#[test]
fn a_change_that_tells_of_no_node_writes_nothing() {
    let mut w = Harness::new(quiet(), 3);
    let before = (saved(&w).to_vec(), w.core.counts());
    tell(&mut w, Vec::new());
    assert_eq!((saved(&w), w.core.counts().saved_bytes), (&before.0[..], before.1.saved_bytes));
    // The one after it is told and saved as ever.
    tell_one(&mut w, 1, State::Draining);
    assert_eq!(states(saved(&w))[1], (1, State::Draining));
}

#[test]
fn a_state_of_the_version_before_is_read() {
    let address = address(4);
    let told = Entry { age: Some(7), ..entry(4, State::Draining, 9, &address) };
    let list = List { extent: Extent::Full, since: 12, revision: 12, entries: vec![told] };
    let bytes = bytes_of(&Frame::List(list.clone()));
    let read = SavedList::read(&bytes).expect("one full frame");
    assert_eq!((read.entries, read.revision, read.torn_bytes), (list.entries, 12, 0));
}

/// What was saved early has grown as old as what was saved last.
#[test]
fn ages_are_as_of_the_last_save() {
    let mut w = Harness::new(quiet(), 0);
    let (young, other) = (address(1), address(2));
    tell(&mut w, vec![Entry { age: Some(1_000), ..entry(1, State::Serving, 1, &young) }]);
    // A whole, then a change behind it.
    w.core.save_failed(w.now);
    w.run(11_000);
    let age = |w: &Harness| SavedList::read(saved(w)).unwrap().entries[0].age.unwrap();
    let at_whole = age(&w);
    w.run(3_000);
    tell(&mut w, vec![entry(2, State::Serving, 2, &other)]);
    assert_eq!(frames(saved(&w)).len(), 2);
    assert_eq!(age(&w), at_whole + 3_000_000);
}

/// Paces are saved with a change of the list, of nodes that were used and of no others.
#[test]
fn the_pace_of_a_node_in_use_is_saved_with_the_next_change_of_another() {
    let mut w = Harness::new(quiet(), 30);
    let client = w.client();
    for id in 0..4 {
        w.submit(client, id, READ, Some(0));
        w.run(30);
        let sent = *w.attempts(0).last().expect("it was sent");
        w.done(w.node_conn(0), sent, Code::Served, b"");
        w.run(5);
    }
    w.run(10_000);
    let before = saved(&w).len();
    tell_one(&mut w, 7, State::Draining);
    let read = SavedList::read(saved(&w)).unwrap();
    assert!(read.entries[0].service_time.is_some(), "learnt since the whole was saved");
    assert!(read.entries[1..].iter().all(|e| e.service_time.is_none()));
    let appended = saved(&w).len() - before;
    assert!(appended < before / 5, "{appended} bytes: two nodes of thirty");
}

#[derive(Clone, Debug)]
enum Step {
    Told { node: u64, state: State, incarnation: u64, port: u64 },
    Whole(Vec<(u64, bool)>),
    Failed,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(State::Serving), Just(State::Draining), Just(State::Removed)];
    prop_oneof![
        12 => (0..12_u64, state, 1..4_u64, 1..900_u64)
            .prop_map(|(node, state, incarnation, port)| Step::Told { node, state, incarnation, port }),
        1 => proptest::collection::vec((0..12_u64, any::<bool>()), 0..12).prop_map(Step::Whole),
        1 => Just(Step::Failed),
        2 => (1..15_000_u64).prop_map(Step::Pass),
    ]
}

/// What the list holds of a node: its newest start met, state and address.
type Held = (u64, State, String);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn what_is_read_back_is_what_was_held(steps in proptest::collection::vec(step(), 1..80)) {
        let mut w = Harness::new(quiet(), 0);
        let mut held: BTreeMap<u64, Held> = BTreeMap::new();
        let mut newest: BTreeMap<u64, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Told { node, state, incarnation, port } => {
                    let address = address(port);
                    let told = Entry { incarnation, ..entry(node, state, node as u32, &address) };
                    tell(&mut w, vec![told]);
                    let newest = newest.entry(node).or_default();
                    *newest = incarnation.max(*newest);
                    held.insert(node, (*newest, state, address));
                }
                Step::Whole(nodes) => {
                    w.list = nodes.iter().map(|(node, serves)| {
                        let state = if *serves { State::Serving } else { State::Draining };
                        (*node, state, *node as u32, address(*node))
                    }).collect();
                    w.revision += 1;
                    w.send_list(w.list_conn());
                    w.turn();
                    held.clear();
                    for (node, state, _, address) in &w.list {
                        let newest = newest.entry(*node).or_default();
                        *newest = 1.max(*newest);
                        held.insert(*node, (*newest, *state, address.clone()));
                    }
                }
                Step::Failed => {
                    w.core.save_failed(w.now);
                    // Once it is tried again nothing is missing.
                    w.run(10_001);
                }
                Step::Pass(millis) => w.run(millis),
            }
            held.retain(|_, (_, state, _)| *state != State::Removed);
            let read = SavedList::read(saved(&w)).expect("a saved list");
            prop_assert_eq!(read.torn_bytes, 0);
            let read: BTreeMap<u64, Held> =
                read.entries.iter().map(|e| (e.node, (e.incarnation, e.state, e.address.to_owned()))).collect();
            prop_assert_eq!(&read, &held);
        }
    }
}
