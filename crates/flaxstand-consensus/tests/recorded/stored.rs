//! A replica's folder (snapshot, log, identity) and a member's saved state: read back, and taken further.

use crate::messages::{id, incarnation, replicated_state};
use flaxstand_consensus::journal::Record;
use flaxstand_consensus::member::Member;
use flaxstand_consensus::participant::{Config as ParticipantConfig, Participant, StoredReplica};
use flaxstand_consensus::replica_id::LastSeen;
use flaxstand_consensus::replicated_state::{Change, IndexedState, ReplicatedState};
use flaxstand_consensus::{
    Committed, Config, DurableState, Entry, EntryPayload, Incarnation, InjectedFault, Journal, Log,
    LogPosition, Message, MessageBody, Micros, RecoveredState, Replica, Snapshot, recover,
};
use flaxstand_fixture::{Fixtures, values_of};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{SegmentFolder, Storage, perform};
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

fn first_state() -> DurableState {
    let voters = vec![id("k0", 11), id("k1", 12), id("k2", 13)];
    DurableState {
        id: id("k0", 11),
        incarnation: incarnation(4),
        cluster_id: 99,
        term: 6,
        voted_for: Some(id("k1", 12)),
        log: Log {
            snapshot: Snapshot { index: 20, term: 5, voters, state: replicated_state().bytes() },
            entries: vec![Entry { term: 6, payload: EntryPayload::NoOp }],
        },
        promises_written: 30,
        last_seen: BTreeMap::from([(
            id("k1", 12),
            LastSeen { incarnation: incarnation(2), promises_written: 8 },
        )]),
    }
}

/// The records that follow the first state, a batch each.
fn later_records() -> Vec<Record> {
    let entry = |payload| Entry { term: 7, payload };
    vec![
        Record::HardState { term: 7, voted_for: None },
        Record::Entries {
            first_index: 22,
            entries: vec![
                entry(EntryPayload::NoOp),
                entry(EntryPayload::Change(Change::Join("i3".into()).bytes())),
            ],
        },
        Record::LastSeen(id("k2", 13), LastSeen { incarnation: incarnation(9), promises_written: 40 }),
        Record::HardState { term: 7, voted_for: Some(id("k0", 11)) },
        Record::Entries {
            first_index: 23,
            entries: vec![entry(EntryPayload::Change(Change::Join("i4".into()).bytes()))],
        },
    ]
}

/// The segment as a journal writes it, with a torn end.
fn write_segment() -> Vec<u8> {
    let mut disk = FaultyDisk::new(1);
    let mut journal = Journal::new(Vec::new());
    let state = first_state();
    journal.request_checkpoint(state.log.last_index());
    let mut store = |journal: &mut Journal| {
        let batch = journal.next_batch(&state, ms(1)).expect("something is to be stored");
        perform(&mut disk, &batch).expect("in memory");
        journal.batch_stored(true, ms(1));
    };
    store(&mut journal);
    for record in later_records() {
        journal.append(record);
        store(&mut journal);
    }
    disk.append(SEGMENT, TORN).expect("in memory");
    disk.read(SEGMENT).expect("in memory")
}

fn recovered() -> DurableState {
    let mut folder =
        SegmentFolder::open_read_only(fixtures().path("keeper").as_path()).expect("the folder is there");
    match recover(&mut folder).expect("it can be read") {
        RecoveredState::Intact(state) => *state,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_replicas_folder_is_written_as_recorded() {
    fixtures().assert_bytes(SEGMENT_FILE, &write_segment());
}

#[test]
fn a_recorded_folder_is_read_to_the_state_that_was_written() {
    let state = recovered();
    fixtures().assert_text("keeper-state.txt", &values_of(&format!("{state:?}")));
    assert_eq!((state.id.clone(), state.cluster_id, state.term), (id("k0", 11), 99, 7));
    assert_eq!((state.voted_for.clone(), state.promises_written), (Some(id("k0", 11)), 34));
    assert_eq!((state.log.snapshot.index, state.log.last_index()), (20, 23));
    assert_eq!(ReplicatedState::read(&state.log.snapshot.state), Ok(replicated_state()));
    assert_eq!(state.last_seen.len(), 2);
}

#[test]
fn one_byte_changed_before_an_intact_frame_is_damage() {
    let mut bytes = fixtures().read(SEGMENT_FILE);
    bytes[40] ^= 1;
    let mut disk = FaultyDisk::new(1);
    disk.create(SEGMENT).expect("in memory");
    disk.append(SEGMENT, &bytes).expect("in memory");
    assert!(matches!(recover(&mut disk), Ok(RecoveredState::Damaged(_))));
}

fn started() -> Replica {
    let config = Config {
        name: "k0".into(),
        names: vec!["k0".into(), "k1".into(), "k2".into()],
        election_timeout: ms(150),
        heartbeat_interval: ms(30),
        seed: 5,
        initial_state: ReplicatedState::default().bytes(),
        injected_fault: InjectedFault::None,
    };
    Replica::start(config, Some(recovered()), vec![SEGMENT], ms(1))
}

fn message(name: &str, instance: u64, term: u64, body: MessageBody) -> Message {
    Message {
        cluster_id: 99,
        from: id(name, instance),
        // It began with more promises than the folder saw of it.
        incarnation: Incarnation { count: 50, nonce: 78, promises_at_start: 90 },
        promises_written: 100,
        to: "k0".into(),
        to_instance: Some(11),
        term,
        body,
    }
}

/// Time passes, and batches are stored at once. Returns what the replica sends.
fn run(replica: &mut Replica, now: Micros) -> Vec<Message> {
    replica.tick(now);
    while replica.next_batch(now).is_some() {
        replica.batch_stored(true, now);
    }
    replica.take_messages()
}

/// Guards against a vote given twice in a term, or given before it is known that no later incarnation
/// promised anything.
#[test]
fn a_replica_goes_on_from_a_recorded_folder_and_votes() {
    let mut replica = started();
    assert!(matches!(&replica.take_committed()[..], [Committed::Snapshot { index: 20, .. }]));
    assert_eq!(replica.state().incarnation.count, 5, "one start more");
    let asked = run(&mut replica, ms(40));
    assert!(asked.iter().any(|m| m.body == MessageBody::IncarnationRequest), "{asked:?}");
    let newest = LogPosition { term: 8, index: 30 };
    let vote_of = |replica: &mut Replica, from: (&str, u64), at: u64| {
        replica.receive(message(from.0, from.1, 9, MessageBody::VoteRequest(newest)), ms(at));
        let sent = run(replica, ms(at));
        sent.into_iter().find_map(|m| {
            if let MessageBody::VoteResponse { granted } = m.body { Some(granted) } else { None }
        })
    };
    assert_ne!(vote_of(&mut replica, ("k1", 12), 1000), Some(true), "it is recovering");
    let own = replica.state().incarnation;
    replica.receive(message("k1", 12, 7, MessageBody::IncarnationResponse(own)), ms(1001));
    replica.receive(message("k2", 13, 7, MessageBody::IncarnationResponse(own)), ms(1002));
    run(&mut replica, ms(1003));
    assert_eq!(vote_of(&mut replica, ("k1", 12), 2000), Some(true));
    assert_ne!(vote_of(&mut replica, ("k2", 13), 2001), Some(true), "one vote a term");
}

#[test]
fn entries_of_a_recorded_folder_are_committed_once_a_leader_says_so() {
    let mut replica = started();
    replica.take_committed();
    run(&mut replica, ms(40));
    let append = MessageBody::AppendRequest {
        prev_index: 23,
        prev_term: 7,
        entries: Vec::new(),
        commit_index: 23,
        sent_at: 1,
    };
    replica.receive(message("k1", 12, 8, append), ms(50));
    run(&mut replica, ms(50));
    let committed = replica.take_committed();
    let joined = Change::Join("i4".into()).bytes();
    assert!(
        matches!(&committed[..], [Committed::Change { index: 23, change }] if *change == joined),
        "{committed:?}"
    );
}

fn member() -> Member {
    let saved = IndexedState::read(&fixtures().read("member.saved")).expect("a saved state");
    assert_eq!(saved, IndexedState { index: 17, state: replicated_state() });
    Member::new("i1".into(), 3, Some(saved), ms(600), InjectedFault::None, ms(1))
}

/// Guards against a member that forgets which stage it acted on before a restart.
#[test]
fn a_member_goes_on_from_its_recorded_state() {
    let written = IndexedState { index: 17, state: replicated_state() }.bytes();
    fixtures().assert_bytes("member.saved", &written);
    let mut member = member();
    let request = member.lease_request(ms(2)).expect("it asks at once");
    assert_eq!(
        (request.state_index, request.stage, request.digest),
        (17, replicated_state().stage, replicated_state().digest())
    );
    let values = |member: &Member| {
        values_of(&format!("{:?}", member.rules(&replicated_state().in_force.rules, ms(3))))
    };
    fixtures().assert_text("member-rules.txt", &values(&member));
}

/// Guards against another word for the role of a replica, in `settings status` and its JSON.
#[test]
fn an_initiator_reports_its_role_and_active_rules_in_the_recorded_words() {
    let config = |injected_fault| ParticipantConfig {
        name: "k0".into(),
        epoch: 3,
        voters: vec!["k0".into(), "k1".into(), "k2".into()],
        neighbours: Vec::new(),
        lease: ms(600),
        clock_error: 0.01,
        election_timeout: ms(150),
        seed: 5,
        local_rules: replicated_state().in_force.rules,
        injected_fault,
    };
    let stored = |state| Some(StoredReplica { state, segments: vec![SEGMENT] });
    let saved = IndexedState::read(&fixtures().read("member.saved")).ok();
    let mut reports = String::new();
    for (name, stored, saved) in [
        ("no keeper", None, None),
        ("new", stored(None), None),
        ("started again", stored(Some(recovered())), saved),
    ] {
        let agreement = Participant::new(config(InjectedFault::None), stored, saved, 0, ms(1));
        let json = serde_json::to_string_pretty(&agreement.report(ms(2))).expect("plain values");
        reports += &format!("{name}: {json}\n");
    }
    fixtures().assert_text("reports.txt", &reports);
}
