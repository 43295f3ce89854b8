//! The saved copy of the list: appended changes, the state after a crash in the middle of a write, rewrites
//! of the full list, and that reading returns what was saved.

mod harness;

use flaxstand_gateway::core::{Config, Core, SavedList, SavedListError};
use flaxstand_gateway::machine::Machine;
use flaxstand_proto::*;
use harness::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// An initiator that receives lists only when the test delivers them: it sends no list requests after
/// silence.
fn config_without_list_requests() -> Config {
    let mut config = config();
    config.site.timeouts.discovery_idle_timeout = ms(3_600_000);
    config.bounds.max_endpoints = 10_000;
    config
}

fn deliver(w: &mut Harness, entries: Vec<Entry<'_>>) {
    let since = w.revision;
    w.revision += 1;
    let list = List { extent: Extent::Changes, since, revision: w.revision, entries };
    w.send_frame(w.list_conn(), &Frame::List(list));
    w.turn();
}

fn deliver_change(w: &mut Harness, node: u64, state: State) {
    deliver(w, vec![entry(node, state, node as u32, &address(node))]);
}

fn saved_bytes(w: &Harness) -> &[u8] {
    w.saved.as_ref().expect("a received list is saved")
}

fn states(bytes: &[u8]) -> Vec<(u64, State)> {
    let list = SavedList::read(bytes).expect("a valid saved list");
    list.entries.iter().map(|e| (e.node, e.state)).collect()
}

/// Lengths of the frames in a saved list.
fn frame_lengths(mut bytes: &[u8]) -> Vec<usize> {
    let mut lengths = Vec::new();
    while let Ok(Some((_, length))) = decode_within(bytes, BodyLimit::NodeList) {
        lengths.push(length);
        bytes = &bytes[length..];
    }
    assert!(bytes.is_empty());
    lengths
}

#[test]
fn an_appended_change_survives_a_restart_during_a_list_service_outage() {
    let mut w = Harness::new(config_without_list_requests(), 3);
    let full_list = saved_bytes(&w).to_vec();
    deliver_change(&mut w, 1, State::Draining);
    deliver_change(&mut w, 2, State::Removed);
    assert!(saved_bytes(&w).starts_with(&full_list), "the full list is not rewritten");
    assert_eq!(states(saved_bytes(&w)), [(0, State::Serving), (1, State::Draining)]);
    let mut restarted = Harness::without_list_service(config_without_list_requests(), 3, saved_bytes(&w));
    let client = restarted.client();
    (0..3).for_each(|node| restarted.submit(client, node, READ, Some(node as u32)));
    restarted.run(20);
    let sent: Vec<usize> = (0..3).map(|node| restarted.attempts(node).len()).collect();
    assert_eq!(sent, [1, 0, 0], "node 1 is draining, node 2 is removed");
    assert!(restarted.saved.is_none(), "a list that was read is not saved again");
}

#[test]
fn a_truncated_end_is_ignored_and_everything_before_it_is_read() {
    let mut w = Harness::new(config_without_list_requests(), 5);
    deliver_change(&mut w, 1, State::Draining);
    deliver_change(&mut w, 2, State::Draining);
    let bytes = saved_bytes(&w).to_vec();
    let lengths = frame_lengths(&bytes);
    assert_eq!(lengths.len(), 3);
    let (full_end, first_change_end) = (lengths[0], lengths[0] + lengths[1]);
    let draining_count = |bytes: &[u8]| states(bytes).iter().filter(|(_, s)| *s == State::Draining).count();
    for cut in 0..bytes.len() {
        let read = SavedList::read(&bytes[..cut]);
        if cut < full_end {
            assert!(matches!(read, Err(SavedListError::Incomplete)), "cut at {cut}: {read:?}");
            continue;
        }
        let expected_torn_bytes =
            if cut < first_change_end { cut - full_end } else { cut - first_change_end };
        assert_eq!(read.expect("the full list is complete").torn_bytes, expected_torn_bytes, "cut at {cut}");
        assert_eq!(draining_count(&bytes[..cut]), usize::from(cut >= first_change_end), "cut at {cut}");
        assert!(Core::new(config_without_list_requests(), Some(&bytes[..cut]), ms(1)).is_ok());
    }
    // Space that was allocated to the file but never written.
    let zeros = [&bytes[..first_change_end], &[0; 64]].concat();
    assert_eq!((draining_count(&zeros), SavedList::read(&zeros).unwrap().torn_bytes), (1, 64));
    let mut flipped = bytes.clone();
    flipped[first_change_end + 20] ^= 1;
    assert_eq!(draining_count(&flipped), 1);
}

#[test]
fn the_full_list_is_rewritten_once_the_appended_changes_are_as_long() {
    let mut w = Harness::new(config_without_list_requests(), 20);
    let full_list_bytes = saved_bytes(&w).len();
    let before = w.core.counts().whole_saves;
    for change in 0..400_u64 {
        let state = if change % 2 == 0 { State::Draining } else { State::Serving };
        deliver_change(&mut w, change % 20, state);
        assert!(
            saved_bytes(&w).len() <= 2 * full_list_bytes + 20,
            "after {change} changes: {} bytes",
            saved_bytes(&w).len()
        );
        assert!(states(saved_bytes(&w)).contains(&(change % 20, state)));
    }
    let rewritten = w.core.counts().whole_saves - before;
    assert!((10..100).contains(&rewritten), "rewritten {rewritten} times for 400 changes");
}

#[test]
fn a_list_longer_than_a_frame_is_saved_in_full_and_rejected_if_incomplete() {
    const NODES: u64 = 70_000;
    const { assert!(NODES as usize > 2 * MAX_LIST_ENTRIES, "the list needs three frames") };
    let config_with_node_limit = || {
        let mut config = config_without_list_requests();
        config.bounds.max_endpoints = NODES as usize;
        config
    };
    let mut w = Harness::new(config_with_node_limit(), 0);
    let far_address = |node: u64| format!("10.{}.{}.{}:7000", node >> 16, (node >> 8) & 255, node & 255);
    let addresses: Vec<String> = (0..NODES).map(far_address).collect();
    let all: Vec<Entry<'_>> =
        addresses.iter().zip(0..).map(|(a, node)| entry(node, State::Serving, node as u32, a)).collect();
    all.chunks(30_000).for_each(|part| deliver(&mut w, part.to_vec()));
    w.core.control(flaxstand_gateway::machine::Control::Stop, w.now);
    w.run(10);
    let lengths = frame_lengths(saved_bytes(&w));
    assert_eq!((lengths.len(), states(saved_bytes(&w)).len()), (3, NODES as usize));
    let mut end = 0;
    for length in &lengths[..2] {
        end += length;
        assert_eq!(SavedList::read(&saved_bytes(&w)[..end]), Err(SavedListError::Incomplete));
    }
    assert_eq!(
        Harness::without_list_service(config_with_node_limit(), 0, saved_bytes(&w)).core.footprint().nodes,
        NODES as usize
    );
}

#[test]
fn a_change_without_entries_writes_nothing() {
    let mut w = Harness::new(config_without_list_requests(), 3);
    let before = (saved_bytes(&w).to_vec(), w.core.counts());
    deliver(&mut w, Vec::new());
    assert_eq!((saved_bytes(&w), w.core.counts().saved_bytes), (&before.0[..], before.1.saved_bytes));
    // The next change is applied and saved as usual.
    deliver_change(&mut w, 1, State::Draining);
    assert_eq!(states(saved_bytes(&w))[1], (1, State::Draining));
}

#[test]
fn a_saved_list_of_the_previous_format_is_read() {
    let address = address(4);
    let change = Entry { age: Some(7), ..entry(4, State::Draining, 9, &address) };
    let list = List { extent: Extent::Full, since: 12, revision: 12, entries: vec![change] };
    let bytes = bytes_of(&Frame::List(list.clone()));
    let read = SavedList::read(&bytes).expect("a single full frame is a valid saved list");
    assert_eq!((read.entries, read.revision, read.torn_bytes), (list.entries, 12, 0));
}

/// Reading adds the time between saves to the ages of entries that were saved earlier.
#[test]
fn entry_ages_are_relative_to_the_last_save() {
    let mut w = Harness::new(config_without_list_requests(), 0);
    let (young, other) = (address(1), address(2));
    deliver(&mut w, vec![Entry { age: Some(1_000), ..entry(1, State::Serving, 1, &young) }]);
    // The full list, followed by a change.
    w.core.save_failed(w.now);
    w.run(11_000);
    let age = |w: &Harness| SavedList::read(saved_bytes(w)).unwrap().entries[0].age.unwrap();
    let at_full_save = age(&w);
    w.run(3_000);
    deliver(&mut w, vec![entry(2, State::Serving, 2, &other)]);
    assert_eq!(frame_lengths(saved_bytes(&w)).len(), 2);
    assert_eq!(age(&w), at_full_save + 3_000_000);
}

/// Service times are saved with a list change, only for nodes that were used.
#[test]
fn the_service_time_of_a_used_node_is_saved_with_the_next_change_of_another() {
    let mut w = Harness::new(config_without_list_requests(), 30);
    let client = w.client();
    for id in 0..4 {
        w.submit(client, id, READ, Some(0));
        w.run(30);
        let sent = *w.attempts(0).last().expect("an attempt was sent");
        w.done(w.node_conn(0), sent, Code::Served, b"");
        w.run(5);
    }
    w.run(10_000);
    let before = saved_bytes(&w).len();
    deliver_change(&mut w, 7, State::Draining);
    let read = SavedList::read(saved_bytes(&w)).unwrap();
    assert!(read.entries[0].service_time.is_some(), "measured since the full list was saved");
    assert!(read.entries[1..].iter().all(|e| e.service_time.is_none()));
    let appended = saved_bytes(&w).len() - before;
    assert!(appended < before / 5, "{appended} bytes appended, expected two nodes of thirty");
}

#[derive(Clone, Debug)]
enum Step {
    Change { node: u64, state: State, incarnation: u64, port: u64 },
    FullList(Vec<(u64, bool)>),
    SaveFailed,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(State::Serving), Just(State::Draining), Just(State::Removed)];
    prop_oneof![
        12 => (0..12_u64, state, 1..4_u64, 1..900_u64)
            .prop_map(|(node, state, incarnation, port)| Step::Change { node, state, incarnation, port }),
        1 => proptest::collection::vec((0..12_u64, any::<bool>()), 0..12).prop_map(Step::FullList),
        1 => Just(Step::SaveFailed),
        2 => (1..15_000_u64).prop_map(Step::Wait),
    ]
}

/// Expected state of a node: its newest incarnation, state and address.
type ExpectedNode = (u64, State, String);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn a_saved_list_reads_back_as_the_expected_list(steps in proptest::collection::vec(step(), 1..80)) {
        let mut w = Harness::new(config_without_list_requests(), 0);
        let mut expected: BTreeMap<u64, ExpectedNode> = BTreeMap::new();
        let mut newest: BTreeMap<u64, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Change { node, state, incarnation, port } => {
                    let address = address(port);
                    let change = Entry { incarnation, ..entry(node, state, node as u32, &address) };
                    deliver(&mut w, vec![change]);
                    let newest = newest.entry(node).or_default();
                    *newest = incarnation.max(*newest);
                    expected.insert(node, (*newest, state, address));
                }
                Step::FullList(nodes) => {
                    w.list = nodes.iter().map(|(node, serves)| {
                        let state = if *serves { State::Serving } else { State::Draining };
                        (*node, state, *node as u32, address(*node))
                    }).collect();
                    w.revision += 1;
                    w.send_list(w.list_conn());
                    w.turn();
                    expected.clear();
                    for (node, state, _, address) in &w.list {
                        let newest = newest.entry(*node).or_default();
                        *newest = 1.max(*newest);
                        expected.insert(*node, (*newest, *state, address.clone()));
                    }
                }
                Step::SaveFailed => {
                    w.core.save_failed(w.now);
                    // After the retry the saved list is complete again.
                    w.run(10_001);
                }
                Step::Wait(millis) => w.run(millis),
            }
            expected.retain(|_, (_, state, _)| *state != State::Removed);
            let read = SavedList::read(saved_bytes(&w)).expect("a valid saved list");
            prop_assert_eq!(read.torn_bytes, 0);
            let read: BTreeMap<u64, ExpectedNode> =
                read.entries.iter().map(|e| (e.node, (e.incarnation, e.state, e.address.to_owned()))).collect();
            prop_assert_eq!(&read, &expected);
        }
    }
}
