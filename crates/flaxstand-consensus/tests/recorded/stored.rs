//! A keeper's folder (snapshot, log, identity) and a member's saved state: read back, and taken further.

use crate::messages::{book, id, life};
use flaxstand_consensus::agreement::{Agreement, Config as AgreementConfig, Found};
use flaxstand_consensus::book::{Book, Change};
use flaxstand_consensus::journal::Record;
use flaxstand_consensus::member::Member;
use flaxstand_consensus::replica::Seen;
use flaxstand_consensus::{
    Agreed, Body, Config, Entry, Journal, Keeper, Life, Log, Message, Micros, Planted, Recovered, Snapshot,
    State, What, recover,
};
use flaxstand_fixture::{Fixtures, values_of};
use flaxstand_storage::faulty::Faulty;
use flaxstand_storage::{Folder, Storage, perform};
use std::collections::BTreeMap;

const SEGMENT: u64 = 1;
const SEGMENT_FILE: &str = "keeper/0000000000000001.log";
/// Bytes of a frame that was being written when the process died.
const TORN: &[u8] = b"fag1\x40\x00\x00\x00torn";

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn ms(millis: u64) -> Micros {
    Micros(millis * 1000)
}

fn first_state() -> State {
    let electorate = vec![id("k0", 11), id("k1", 12), id("k2", 13)];
    State {
        me: id("k0", 11),
        life: life(4),
        cluster: 99,
        term: 6,
        voted: Some(id("k1", 12)),
        log: Log {
            snapshot: Snapshot { index: 20, term: 5, electorate, state: book().bytes() },
            entries: vec![Entry { term: 6, what: What::Begin }],
        },
        written: 30,
        seen: BTreeMap::from([(id("k1", 12), Seen { life: life(2), written: 8 })]),
    }
}

/// The records that follow the first state, a batch each.
fn later_records() -> Vec<Record> {
    let entry = |what| Entry { term: 7, what };
    vec![
        Record::Term(7, None),
        Record::Entries(22, vec![entry(What::Begin), entry(What::Change(Change::Join("i3".into()).bytes()))]),
        Record::Seen(id("k2", 13), Seen { life: life(9), written: 40 }),
        Record::Term(7, Some(id("k0", 11))),
        Record::Entries(23, vec![entry(What::Change(Change::Join("i4".into()).bytes()))]),
    ]
}

/// The segment as a journal writes it, with a torn end.
fn write_segment() -> Vec<u8> {
    let mut disk = Faulty::new(1);
    let mut journal = Journal::new(Vec::new());
    let state = first_state();
    journal.renew(state.log.last());
    let mut store = |journal: &mut Journal| {
        let batch = journal.batch(&state, ms(1)).expect("something is to be stored");
        perform(&mut disk, &batch).expect("in memory");
        journal.stored(true, ms(1));
    };
    store(&mut journal);
    for record in later_records() {
        journal.note(record);
        store(&mut journal);
    }
    disk.append(SEGMENT, TORN).expect("in memory");
    disk.read(SEGMENT).expect("in memory")
}

fn recovered() -> State {
    let mut folder = Folder::look(fixtures().path("keeper").as_path()).expect("the folder is there");
    match recover(&mut folder).expect("it can be read") {
        Recovered::State(state) => *state,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_keepers_folder_is_written_as_recorded() {
    fixtures().assert_bytes(SEGMENT_FILE, &write_segment());
}

#[test]
fn a_recorded_folder_is_read_to_the_state_that_was_written() {
    let state = recovered();
    fixtures().assert_text("keeper-state.txt", &values_of(&format!("{state:?}")));
    assert_eq!((state.me.clone(), state.cluster, state.term), (id("k0", 11), 99, 7));
    assert_eq!((state.voted.clone(), state.written), (Some(id("k0", 11)), 34));
    assert_eq!((state.log.snapshot.index, state.log.last()), (20, 23));
    assert_eq!(Book::read(&state.log.snapshot.state), Ok(book()));
    assert_eq!(state.seen.len(), 2);
}

#[test]
fn one_byte_changed_before_an_intact_frame_is_damage() {
    let mut bytes = fixtures().read(SEGMENT_FILE);
    bytes[40] ^= 1;
    let mut disk = Faulty::new(1);
    disk.create(SEGMENT).expect("in memory");
    disk.append(SEGMENT, &bytes).expect("in memory");
    assert!(matches!(recover(&mut disk), Ok(Recovered::Damaged(_))));
}

fn started() -> Keeper {
    let config = Config {
        name: "k0".into(),
        names: vec!["k0".into(), "k1".into(), "k2".into()],
        election: ms(150),
        heartbeat: ms(30),
        seed: 5,
        begins_with: Book::default().bytes(),
        planted: Planted::None,
    };
    Keeper::start(config, Some(recovered()), vec![SEGMENT], ms(1))
}

fn said(name: &str, incarnation: u64, term: u64, body: Body) -> Message {
    Message {
        cluster: 99,
        from: id(name, incarnation),
        // It began with more than the folder heard of it.
        life: Life { count: 50, nonce: 78, began: 90 },
        written: 100,
        to: "k0".into(),
        incarnation: Some(11),
        term,
        body,
    }
}

/// Time passes, and the disk does what it is told at once. What the keeper says.
fn settle(keeper: &mut Keeper, now: Micros) -> Vec<Message> {
    keeper.tick(now);
    while keeper.batch(now).is_some() {
        keeper.stored(true, now);
    }
    keeper.take_messages()
}

/// Guards against a vote given twice in a term, or given before it is known that no later life promised anything.
#[test]
fn a_keeper_goes_on_from_a_recorded_folder_and_votes() {
    let mut keeper = started();
    assert!(matches!(&keeper.take_agreed()[..], [Agreed::State(20, _)]));
    assert_eq!(keeper.state().life.count, 5, "one start more");
    let asked = settle(&mut keeper, ms(40));
    assert!(asked.iter().any(|m| m.body == Body::AskLife), "{asked:?}");
    let newest = (8, 30);
    let vote_of = |keeper: &mut Keeper, from: (&str, u64), at: u64| {
        keeper.receive(said(from.0, from.1, 9, Body::Vote(newest)), ms(at));
        let told = settle(keeper, ms(at));
        told.into_iter().find_map(|m| if let Body::Voted(granted) = m.body { Some(granted) } else { None })
    };
    assert_ne!(vote_of(&mut keeper, ("k1", 12), 1000), Some(true), "it is not sure of itself yet");
    let own = keeper.state().life;
    keeper.receive(said("k1", 12, 7, Body::LifeSeen(own)), ms(1001));
    keeper.receive(said("k2", 13, 7, Body::LifeSeen(own)), ms(1002));
    settle(&mut keeper, ms(1003));
    assert_eq!(vote_of(&mut keeper, ("k1", 12), 2000), Some(true));
    assert_ne!(vote_of(&mut keeper, ("k2", 13), 2001), Some(true), "one vote a term");
}

#[test]
fn entries_of_a_recorded_folder_are_agreed_on_once_a_leader_says_so() {
    let mut keeper = started();
    keeper.take_agreed();
    settle(&mut keeper, ms(40));
    let append = Body::Append { prev: (23, 7), entries: Vec::new(), commit: 23, stamp: 1 };
    keeper.receive(said("k1", 12, 8, append), ms(50));
    settle(&mut keeper, ms(50));
    let agreed = keeper.take_agreed();
    let joined = Change::Join("i4".into()).bytes();
    assert!(matches!(&agreed[..], [Agreed::Change(23, change)] if *change == joined), "{agreed:?}");
}

fn member() -> Member {
    let saved = Agreement::read_saved(&fixtures().read("member.saved")).expect("a saved state");
    assert_eq!(saved, (17, book()));
    Member::new("i1".into(), 3, Some(saved), ms(600), Planted::None, ms(1))
}

/// Guards against a member that forgets which stage it acted on before a restart.
#[test]
fn a_member_goes_on_from_its_recorded_state() {
    let made = postcard::to_stdvec(&(17_u64, book())).expect("plain values");
    fixtures().assert_bytes("member.saved", &made);
    let mut member = member();
    let request = member.lease_request(ms(2)).expect("it asks at once");
    assert_eq!((request.index, request.stage, request.digest), (17, book().stage, book().digest()));
    let values = |member: &Member| values_of(&format!("{:?}", member.rules(&book().acting.rules, ms(3))));
    fixtures().assert_text("member-rules.txt", &values(&member));
}

/// Guards against another word for what a keeper is, in `settings status` and its JSON.
#[test]
fn an_initiator_tells_what_it_is_and_acts_on_in_the_recorded_words() {
    let config = |planted| AgreementConfig {
        name: "k0".into(),
        incarnation: 3,
        keepers: vec!["k0".into(), "k1".into(), "k2".into()],
        neighbours: Vec::new(),
        lease: ms(600),
        clock_error: 0.01,
        election: ms(150),
        seed: 5,
        started_with: book().acting.rules,
        planted,
    };
    let found = |state| Some(Found { state, segments: vec![SEGMENT] });
    let saved = Agreement::read_saved(&fixtures().read("member.saved")).ok();
    let mut told = String::new();
    for (name, found, saved) in [
        ("no keeper", None, None),
        ("new", found(None), None),
        ("started again", found(Some(recovered())), saved),
    ] {
        let agreement = Agreement::new(config(Planted::None), found, saved, 0, ms(1));
        let json = serde_json::to_string_pretty(&agreement.report(ms(2))).expect("plain values");
        told += &format!("{name}: {json}\n");
    }
    fixtures().assert_text("reports.txt", &told);
}
