//! Byte-for-byte encoding of messages between initiators, of messages to and from operators, and of log
//! entries.

use flaxstand_consensus::lease_manager::{Blocker, LeaseRequest, LeaseResponse, MemberStatus};
use flaxstand_consensus::participant::{
    OperatorReply, OperatorRequest, PeerMessage, StatusReport, VersionNumbers,
};
use flaxstand_consensus::replica_id::LastSeen;
use flaxstand_consensus::replicated_state::{Change, IndexedState, ReplicatedState, Version};
use flaxstand_consensus::rules::{Rules, Value};
use flaxstand_consensus::{
    Entry, EntryPayload, Incarnation, LogPosition, Message, MessageBody, ReplicaId, Snapshot,
};
use flaxstand_fixture::{Fixtures, hex, unhex};
use std::collections::BTreeMap;
use std::fmt::Write as _;

pub fn id(name: &str, instance: u64) -> ReplicaId {
    ReplicaId { name: name.to_owned(), instance }
}

pub fn incarnation(count: u64) -> Incarnation {
    Incarnation { count, nonce: 77, promises_at_start: 5 }
}

pub fn version(number: u64, limit: f64) -> Version {
    let mut rules = Rules::default();
    rules.values.insert("class.read.effect".into(), Value::Text("once".into()));
    rules.values.insert("plan.gold.limit-rate".into(), Value::Number(limit));
    rules.values.insert("site.cancel".into(), Value::Flag(true));
    rules.fallback.insert("plan.gold.limit-rate".into(), Value::Number(1.0));
    Version { number, rules, text: "site {}".into(), by: "an operator".into(), at: 1_700_000_000_000_000 }
}

/// A replicated state with version 1 in force, version 2 being rolled out and two members.
pub fn replicated_state() -> ReplicatedState {
    let mut replicated_state = ReplicatedState::default();
    replicated_state
        .apply(Change::Propose { base: 0, version: version(0, 50.0) })
        .expect("version 1 is accepted");
    replicated_state.apply(Change::Join("i1".into())).expect("below the bound on members");
    replicated_state.apply(Change::Join("i2".into())).expect("below the bound on members");
    replicated_state
        .apply(Change::Propose { base: 1, version: version(0, 20.0) })
        .expect("version 2 is accepted");
    replicated_state
}

fn entries() -> Vec<Entry> {
    vec![
        Entry { term: 3, payload: EntryPayload::NoOp },
        Entry { term: 3, payload: EntryPayload::Voters(vec![id("k0", 1), id("k1", 300)]) },
        Entry { term: 4, payload: EntryPayload::Change(Change::Join("i1".into()).bytes()) },
    ]
}

/// One message body per variant. The labels are those of the fixture `messages.txt`.
fn bodies() -> Vec<(&'static str, MessageBody)> {
    let snapshot =
        Snapshot { index: 9, term: 2, voters: vec![id("k0", 1)], state: replicated_state().bytes() };
    let append = |entries| MessageBody::AppendRequest {
        prev_index: 9,
        prev_term: 2,
        entries,
        commit_index: 8,
        sent_at: 123_456,
    };
    vec![
        ("ask fresh", MessageBody::BootstrapRequest),
        ("fresh", MessageBody::BootstrapReady),
        ("formed", MessageBody::ClusterExists),
        ("newcomer", MessageBody::JoinRequest),
        ("ask life", MessageBody::IncarnationRequest),
        ("life seen", MessageBody::IncarnationResponse(incarnation(2))),
        (
            "superseded",
            MessageBody::Superseded(LastSeen { incarnation: incarnation(3), promises_written: 8 }),
        ),
        ("replaced", MessageBody::NoLongerVoter),
        ("pre-vote", MessageBody::PreVoteRequest(LogPosition { term: 2, index: 9 })),
        ("pre-voted", MessageBody::PreVoteResponse { term: 3, granted: true }),
        ("vote", MessageBody::VoteRequest(LogPosition { term: 2, index: 9 })),
        ("voted", MessageBody::VoteResponse { granted: false }),
        ("append", append(entries())),
        ("heartbeat", append(Vec::new())),
        ("install", MessageBody::InstallSnapshot { snapshot, sent_at: 123_456 }),
        ("held", MessageBody::AppendAccepted { match_index: 9, request_sent_at: 123_456 }),
        ("has", MessageBody::RecoveryProgress(9)),
        ("up to date", MessageBody::RecoveryComplete(incarnation(4))),
        ("missing", MessageBody::AppendRejected { match_index: 7, request_sent_at: 123_456 }),
    ]
}

fn message(body: MessageBody) -> Message {
    Message {
        cluster_id: 99,
        from: id("k0", 1),
        incarnation: incarnation(1),
        promises_written: 6,
        to: "k1".into(),
        to_instance: Some(300),
        term: 4,
        body,
    }
}

fn indexed_state() -> IndexedState {
    IndexedState { index: 4, state: replicated_state() }
}

fn lease_messages() -> Vec<(&'static str, PeerMessage)> {
    let request = LeaseRequest {
        name: "i1".into(),
        epoch: 2,
        seq: 3,
        state_index: 4,
        stage: 5,
        digest: 6,
        unable_reason: Some("it does not know site.new".into()),
        releases_lease: true,
    };
    let without_options = LeaseRequest { unable_reason: None, releases_lease: false, ..request.clone() };
    let response = LeaseResponse {
        name: "i1".into(),
        epoch: 2,
        seq: 3,
        lease: Some(3_000_000),
        stage: 5,
        newer_state: Some(indexed_state()),
    };
    let rejection = LeaseResponse { lease: None, newer_state: None, ..response.clone() };
    vec![
        ("lease request", PeerMessage::LeaseRequest { hops: 1, request }),
        ("plain lease request", PeerMessage::LeaseRequest { hops: 0, request: without_options }),
        ("lease response", PeerMessage::LeaseResponse(Box::new(response))),
        ("short lease response", PeerMessage::LeaseResponse(Box::new(rejection))),
    ]
}

fn status_report() -> StatusReport {
    StatusReport {
        name: "i1".into(),
        replica: Some("leader".into()),
        leader: Some("i1".into()),
        term: 4,
        voters: vec!["i1".into(), "i2".into()],
        unresponsive: vec!["i2".into()],
        active_rules: "version 1".into(),
        lease_ms: 900,
        versions: VersionNumbers { in_force: 1, next: Some(2) },
        stage: 5,
        blockers: vec![Blocker { who: "i2".into(), why: "it has a lease".into(), ends_ms: Some(3) }],
        members: vec![MemberStatus {
            name: "i1".into(),
            has_lease: true,
            has_confirmed: false,
            last_contact_ms: 12,
        }],
    }
}

fn operator_messages() -> Vec<(&'static str, PeerMessage)> {
    vec![
        (
            "propose",
            PeerMessage::OperatorRequest(OperatorRequest::Propose { base: 1, version: version(0, 30.0) }),
        ),
        (
            "withdraw",
            PeerMessage::OperatorRequest(OperatorRequest::Withdraw {
                number: 2,
                by: "an operator".into(),
                at: 17,
            }),
        ),
        ("forget", PeerMessage::OperatorRequest(OperatorRequest::Forget("i2".into()))),
        ("status", PeerMessage::OperatorRequest(OperatorRequest::Status)),
        ("book", PeerMessage::OperatorRequest(OperatorRequest::ReplicatedState)),
        ("agreed", PeerMessage::OperatorReply(OperatorReply::Committed(2))),
        ("refused", PeerMessage::OperatorReply(OperatorReply::Refused("it is not under way".into()))),
        ("elsewhere", PeerMessage::OperatorReply(OperatorReply::NotLeader(Some("k1".into())))),
        ("report", PeerMessage::OperatorReply(OperatorReply::Status(Box::new(status_report())))),
        (
            "told book",
            PeerMessage::OperatorReply(OperatorReply::ReplicatedState(Some(Box::new(indexed_state())))),
        ),
        ("no book", PeerMessage::OperatorReply(OperatorReply::ReplicatedState(None))),
    ]
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let replica_messages =
        bodies().into_iter().map(|(name, body)| (name, PeerMessage::Replica(message(body))));
    replica_messages.chain(lease_messages()).chain(operator_messages()).collect()
}

fn changes() -> Vec<(&'static str, Change)> {
    vec![
        ("propose", Change::Propose { base: 1, version: version(0, 30.0) }),
        ("withdraw", Change::Withdraw { number: 2, by: "an operator".into(), at: 17 }),
        ("in force", Change::InForce { number: 2, why: "2 confirmed".into(), at: 18 }),
        ("join", Change::Join("i3".into())),
        ("forget", Change::Forget("i2".into())),
    ]
}

/// Guards against reordered variants or fields. Postcard encodes them by position, without names.
#[test]
fn each_message_is_encoded_and_decoded_as_recorded() {
    let mut encoded = String::new();
    for (name, message) in messages() {
        let bytes = postcard::to_stdvec(&message).expect("plain data serializes");
        let _ = writeln!(encoded, "{name}: {}", hex(&bytes));
    }
    let fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));
    fixtures.assert_text("messages.txt", &encoded);
    let recorded = String::from_utf8(fixtures.read("messages.txt")).expect("the fixture is UTF-8");
    for (line, (name, message)) in recorded.lines().zip(messages()) {
        let bytes = unhex(line.rsplit(": ").next().expect("rsplit yields at least one item"));
        assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).as_ref(), Ok(&message), "{name}");
    }
}

/// Guards against log entries of an earlier build that decode differently or have another effect in this
/// build.
#[test]
fn each_change_and_the_resulting_state_are_encoded_as_recorded() {
    let mut encoded = String::new();
    let mut replicated_state = replicated_state();
    for (name, change) in changes() {
        let _ = writeln!(encoded, "{name}: {}", hex(&change.bytes()));
        // Records the error message, which operators see, instead of the error type.
        let applied = replicated_state.apply(change).map_err(|error| error.to_string());
        let _ = writeln!(
            encoded,
            "  gives {applied:?}, digest {:016x}: {}",
            replicated_state.digest(),
            hex(&replicated_state.bytes())
        );
        assert_eq!(ReplicatedState::read(&replicated_state.bytes()).as_ref(), Ok(&replicated_state));
    }
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("changes.txt", &encoded);
}

/// Guards against equal rules with different digests in different builds. A member confirms a stage only with
/// the leader's digest.
#[test]
fn the_digest_of_rules_matches_the_recorded_digest() {
    let digests: BTreeMap<&str, u64> =
        [("first", version(1, 50.0).rules.digest()), ("second", version(2, 20.0).rules.digest())].into();
    let text: String = digests.iter().map(|(name, digest)| format!("{name}: {digest:016x}\n")).collect();
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("rules.txt", &text);
}

/// Guards against renamed fields in the output of `settings status --json`.
#[test]
fn the_json_status_report_matches_the_recorded_report() {
    let json = serde_json::to_string_pretty(&status_report()).expect("plain data serializes");
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("report.json", &json);
}
