//! Recovery from a recorded replica directory (snapshot, log, identity) and from a recorded saved state of a
//! member, and how the replica and the member continue from them.

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
/// A partly written frame, as left by a process crash.
const TORN_FRAME: &[u8] = b"fag1\x40\x00\x00\x00torn";

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

/// Records that follow the first state, each written in its own batch.
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

/// Writes the segment through a journal, followed by a torn frame. Returns its bytes.
fn write_segment() -> Vec<u8> {
    let mut disk = FaultyDisk::new(1);
    let mut journal = Journal::new(Vec::new());
    let state = first_state();
    journal.request_checkpoint(state.log.last_index());
    let mut store = |journal: &mut Journal| {
        let batch = journal.next_batch(&state, ms(1)).expect("records are pending");
        perform(&mut disk, &batch).expect("in memory");
        journal.batch_stored(true, ms(1));
    };
    store(&mut journal);
    for record in later_records() {
        journal.append(record);
        store(&mut journal);
    }
    disk.append(SEGMENT, TORN_FRAME).expect("in memory");
    disk.read(SEGMENT).expect("in memory")
}

fn recovered() -> DurableState {
    let mut directory = SegmentFolder::open_read_only(fixtures().path("keeper").as_path())
        .expect("the fixture directory exists");
    match recover(&mut directory).expect("the fixture directory is readable") {
        RecoveredState::Intact(state) => *state,
        other => panic!("expected an intact state, got {other:?}"),
    }
}

#[test]
fn a_replica_directory_is_written_as_recorded() {
    fixtures().assert_bytes(SEGMENT_FILE, &write_segment());
}

#[test]
fn a_recorded_directory_recovers_to_the_state_that_was_written() {
    let state = recovered();
    fixtures().assert_text("keeper-state.txt", &values_of(&format!("{state:?}")));
    assert_eq!((state.id.clone(), state.cluster_id, state.term), (id("k0", 11), 99, 7));
    assert_eq!((state.voted_for.clone(), state.promises_written), (Some(id("k0", 11)), 34));
    assert_eq!((state.log.snapshot.index, state.log.last_index()), (20, 23));
    assert_eq!(ReplicatedState::read(&state.log.snapshot.state), Ok(replicated_state()));
    assert_eq!(state.last_seen.len(), 2);
}

#[test]
fn a_changed_byte_before_an_intact_frame_is_reported_as_damage() {
    let mut bytes = fixtures().read(SEGMENT_FILE);
    bytes[40] ^= 1;
    let mut disk = FaultyDisk::new(1);
    disk.create(SEGMENT).expect("in memory");
    disk.append(SEGMENT, &bytes).expect("in memory");
    assert!(matches!(recover(&mut disk), Ok(RecoveredState::Damaged(_))));
}

fn start_replica() -> Replica {
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
        // More promises than the directory records for this replica.
        incarnation: Incarnation { count: 50, nonce: 78, promises_at_start: 90 },
        promises_written: 100,
        to: "k0".into(),
        to_instance: Some(11),
        term,
        body,
    }
}

/// Ticks the replica and completes its batches at once. Returns the messages that it sends.
fn run(replica: &mut Replica, now: Micros) -> Vec<Message> {
    replica.tick(now);
    while replica.next_batch(now).is_some() {
        replica.batch_stored(true, now);
    }
    replica.take_messages()
}

/// Guards against two votes in one term, and against a vote before the other replicas have confirmed that
/// they saw no later incarnation of this replica.
#[test]
fn a_replica_that_starts_from_a_recorded_directory_votes_once_it_has_recovered() {
    let mut replica = start_replica();
    assert!(matches!(&replica.take_committed()[..], [Committed::Snapshot { index: 20, .. }]));
    assert_eq!(replica.state().incarnation.count, 5, "a start increments the recorded incarnation");
    let sent = run(&mut replica, ms(40));
    assert!(
        sent.iter().any(|m| m.body == MessageBody::IncarnationRequest),
        "no incarnation request sent: {sent:?}"
    );
    let log_position = LogPosition { term: 8, index: 30 };
    let vote_of = |replica: &mut Replica, from: (&str, u64), at: u64| {
        replica.receive(message(from.0, from.1, 9, MessageBody::VoteRequest(log_position)), ms(at));
        let sent = run(replica, ms(at));
        sent.into_iter().find_map(|m| {
            if let MessageBody::VoteResponse { granted } = m.body { Some(granted) } else { None }
        })
    };
    assert_ne!(vote_of(&mut replica, ("k1", 12), 1000), Some(true), "voted while recovering");
    let incarnation = replica.state().incarnation;
    replica.receive(message("k1", 12, 7, MessageBody::IncarnationResponse(incarnation)), ms(1001));
    replica.receive(message("k2", 13, 7, MessageBody::IncarnationResponse(incarnation)), ms(1002));
    run(&mut replica, ms(1003));
    assert_eq!(vote_of(&mut replica, ("k1", 12), 2000), Some(true));
    assert_ne!(vote_of(&mut replica, ("k2", 13), 2001), Some(true), "voted twice in one term");
}

#[test]
fn entries_of_a_recorded_directory_are_committed_when_a_leader_advances_the_commit_index() {
    let mut replica = start_replica();
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
    let saved =
        IndexedState::read(&fixtures().read("member.saved")).expect("the fixture holds a saved state");
    assert_eq!(saved, IndexedState { index: 17, state: replicated_state() });
    Member::new("i1".into(), 3, Some(saved), ms(600), InjectedFault::None, ms(1))
}

/// Guards against a member that loses its stage over a restart.
#[test]
fn a_member_continues_from_its_recorded_state() {
    let encoded = IndexedState { index: 17, state: replicated_state() }.bytes();
    fixtures().assert_bytes("member.saved", &encoded);
    let mut member = member();
    let request = member.lease_request(ms(2)).expect("a member sends a request right after its start");
    assert_eq!(
        (request.state_index, request.stage, request.digest),
        (17, replicated_state().stage, replicated_state().digest())
    );
    let active_rules = |member: &Member| {
        values_of(&format!("{:?}", member.rules(&replicated_state().in_force.rules, ms(3))))
    };
    fixtures().assert_text("member-rules.txt", &active_rules(&member));
}

/// Guards against renamed roles of a replica in the output of `settings status`, as text and as JSON.
#[test]
fn an_initiator_reports_its_role_and_active_rules_as_recorded() {
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
    // The labels are those of the fixture `reports.txt`.
    for (name, stored, saved) in [
        ("no keeper", None, None),
        ("new", stored(None), None),
        ("started again", stored(Some(recovered())), saved),
    ] {
        let participant = Participant::new(config(InjectedFault::None), stored, saved, 0, ms(1));
        let json = serde_json::to_string_pretty(&participant.report(ms(2))).expect("plain data serializes");
        reports += &format!("{name}: {json}\n");
    }
    fixtures().assert_text("reports.txt", &reports);
}
