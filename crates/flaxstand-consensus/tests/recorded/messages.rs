//! Messages between initiators and with operators, byte for byte.

use flaxstand_consensus::agreement::{Reply, Report, Wish, Word};
use flaxstand_consensus::book::{Book, Change, Version};
use flaxstand_consensus::lease_manager::{Blocker, LeaseRequest, LeaseResponse};
use flaxstand_consensus::replica::Seen;
use flaxstand_consensus::rules::{Rules, Value};
use flaxstand_consensus::{Body, Entry, Life, Message, ReplicaId, Snapshot, What};
use flaxstand_fixture::{Fixtures, hex, unhex};
use std::collections::BTreeMap;
use std::fmt::Write as _;

pub fn id(name: &str, incarnation: u64) -> ReplicaId {
    ReplicaId { name: name.to_owned(), incarnation }
}

pub fn life(count: u64) -> Life {
    Life { count, nonce: 77, began: 5 }
}

pub fn version(number: u64, limit: f64) -> Version {
    let mut rules = Rules::default();
    rules.values.insert("class.read.effect".into(), Value::Word("once".into()));
    rules.values.insert("plan.gold.limit-rate".into(), Value::Number(limit));
    rules.values.insert("site.cancel".into(), Value::Flag(true));
    rules.floor.insert("plan.gold.limit-rate".into(), Value::Number(1.0));
    Version { number, rules, text: "site {}".into(), by: "an operator".into(), at: 1_700_000_000_000_000 }
}

/// A book with one version in force, one under way, and two members.
pub fn book() -> Book {
    let mut book = Book::default();
    book.apply(Change::Propose { base: 0, version: version(0, 50.0) }).expect("the first");
    book.apply(Change::Join("i1".into())).expect("a member");
    book.apply(Change::Join("i2".into())).expect("a member");
    book.apply(Change::Propose { base: 1, version: version(0, 20.0) }).expect("the second");
    book
}

fn entries() -> Vec<Entry> {
    vec![
        Entry { term: 3, what: What::Begin },
        Entry { term: 3, what: What::Electorate(vec![id("k0", 1), id("k1", 300)]) },
        Entry { term: 4, what: What::Change(Change::Join("i1".into()).bytes()) },
    ]
}

fn bodies() -> Vec<(&'static str, Body)> {
    let snapshot = Snapshot { index: 9, term: 2, electorate: vec![id("k0", 1)], state: book().bytes() };
    let append = |entries| Body::Append { prev: (9, 2), entries, commit: 8, stamp: 123_456 };
    vec![
        ("ask fresh", Body::AskFresh),
        ("fresh", Body::Fresh),
        ("formed", Body::Formed),
        ("newcomer", Body::Newcomer),
        ("ask life", Body::AskLife),
        ("life seen", Body::LifeSeen(life(2))),
        ("superseded", Body::Superseded(Seen { life: life(3), written: 8 })),
        ("replaced", Body::Replaced),
        ("pre-vote", Body::PreVote((2, 9))),
        ("pre-voted", Body::PreVoted(3, true)),
        ("vote", Body::Vote((2, 9))),
        ("voted", Body::Voted(false)),
        ("append", append(entries())),
        ("heartbeat", append(Vec::new())),
        ("install", Body::Install(snapshot, 123_456)),
        ("held", Body::Held(9, 123_456)),
        ("has", Body::Has(9)),
        ("up to date", Body::UpToDate(life(4))),
        ("missing", Body::Missing(7, 123_456)),
    ]
}

fn message(body: Body) -> Message {
    Message {
        cluster: 99,
        from: id("k0", 1),
        life: life(1),
        written: 6,
        to: "k1".into(),
        incarnation: Some(300),
        term: 4,
        body,
    }
}

fn leases() -> Vec<(&'static str, Word)> {
    let request = LeaseRequest {
        name: "i1".into(),
        incarnation: 2,
        seq: 3,
        index: 4,
        stage: 5,
        digest: 6,
        cannot: Some("it does not know site.new".into()),
        leaves: true,
    };
    let plain = LeaseRequest { cannot: None, leaves: false, ..request.clone() };
    let response = LeaseResponse {
        name: "i1".into(),
        incarnation: 2,
        seq: 3,
        lease: Some(3_000_000),
        stage: 5,
        book: Some((4, book())),
    };
    let short = LeaseResponse { lease: None, book: None, ..response.clone() };
    vec![
        ("lease request", Word::LeaseRequest(1, request)),
        ("plain lease request", Word::LeaseRequest(0, plain)),
        ("lease response", Word::LeaseResponse(Box::new(response))),
        ("short lease response", Word::LeaseResponse(Box::new(short))),
    ]
}

fn report() -> Report {
    Report {
        name: "i1".into(),
        keeper: Some("leader".into()),
        leader: Some("i1".into()),
        term: 4,
        electorate: vec!["i1".into(), "i2".into()],
        silent: vec!["i2".into()],
        acting: "version 1".into(),
        lease_ms: 900,
        versions: (1, Some(2)),
        stage: 5,
        holds: vec![Blocker { who: "i2".into(), why: "it has a lease".into(), ends_ms: Some(3) }],
        members: vec![("i1".into(), true, false, 12)],
    }
}

fn operators() -> Vec<(&'static str, Word)> {
    vec![
        ("propose", Word::Wish(Wish::Propose(1, version(0, 30.0)))),
        ("withdraw", Word::Wish(Wish::Withdraw(2, "an operator".into(), 17))),
        ("forget", Word::Wish(Wish::Forget("i2".into()))),
        ("status", Word::Wish(Wish::Status)),
        ("book", Word::Wish(Wish::Book)),
        ("agreed", Word::Reply(Reply::Agreed(2))),
        ("refused", Word::Reply(Reply::Refused("it is not under way".into()))),
        ("elsewhere", Word::Reply(Reply::Elsewhere(Some("k1".into())))),
        ("report", Word::Reply(Reply::Status(Box::new(report())))),
        ("told book", Word::Reply(Reply::Book(Some(Box::new((4, book())))))),
        ("no book", Word::Reply(Reply::Book(None))),
    ]
}

fn words() -> Vec<(&'static str, Word)> {
    let keepers = bodies().into_iter().map(|(name, body)| (name, Word::Keeper(message(body))));
    keepers.chain(leases()).chain(operators()).collect()
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

/// Guards against variants or fields in another order: postcard writes neither's name.
#[test]
fn each_message_is_written_and_read_as_recorded() {
    let mut written = String::new();
    for (name, word) in words() {
        let bytes = postcard::to_stdvec(&word).expect("plain values");
        let _ = writeln!(written, "{name}: {}", hex(&bytes));
    }
    let fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));
    fixtures.assert_text("messages.txt", &written);
    let recorded = String::from_utf8(fixtures.read("messages.txt")).expect("a text");
    for (line, (name, word)) in recorded.lines().zip(words()) {
        let bytes = unhex(line.rsplit(": ").next().expect("digits"));
        assert_eq!(postcard::from_bytes::<Word>(&bytes).as_ref(), Ok(&word), "{name}");
    }
}

/// Guards against entries of an earlier build that mean something else to this one.
#[test]
fn each_change_and_the_state_made_of_them_are_written_as_recorded() {
    let mut written = String::new();
    let mut book = book();
    for (name, change) in changes() {
        let _ = writeln!(written, "{name}: {}", hex(&change.bytes()));
        let applied = book.apply(change);
        let _ =
            writeln!(written, "  gives {applied:?}, digest {:016x}: {}", book.digest(), hex(&book.bytes()));
        assert_eq!(Book::read(&book.bytes()).as_ref(), Ok(&book));
    }
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("changes.txt", &written);
}

/// Guards against rules that another build takes for others: their digest decides who may confirm a stage.
#[test]
fn the_digest_of_rules_is_the_recorded_one() {
    let all: BTreeMap<&str, u64> =
        [("first", version(1, 50.0).rules.digest()), ("second", version(2, 20.0).rules.digest())].into();
    let text: String = all.iter().map(|(name, digest)| format!("{name}: {digest:016x}\n")).collect();
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("rules.txt", &text);
}

/// Guards against a field of `settings status --json` under another name.
#[test]
fn a_report_as_json_is_the_recorded_one() {
    let json = serde_json::to_string_pretty(&report()).expect("plain values");
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("report.json", &json);
}
