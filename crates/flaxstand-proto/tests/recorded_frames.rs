//! Wire compatibility with the first release of this protocol version: frames are encoded to the recorded
//! bytes, and the recorded bytes decode to the same frames.

use flaxstand_fixture::{Fixtures, hex, unhex};
use flaxstand_proto::*;
use std::fmt::Write as _;

fn report() -> Report {
    Report { used: Some(86), from_others: 3, inflight: Some(2), queue: None, busy: Some(500) }
}

fn entry(state: State) -> Entry<'static> {
    Entry {
        node: 3,
        incarnation: 2,
        state,
        age: Some(12),
        shard: 4,
        zone: 1,
        size: 250,
        service_time: Some(17_000),
        address: "127.0.0.1:9",
    }
}

fn submit() -> Submit<'static> {
    Submit {
        id: 7,
        operation: 9,
        class: 1,
        plan: 3,
        volume_initiators: 2,
        try_no: 1,
        write: true,
        volume: 77,
        extent: Some(5),
        shard: Some(6),
        units: 3,
        at: Some(4096),
        time_left: 1_500_000,
        payload: b"seat 12",
    }
}

fn attempt() -> Attempt<'static> {
    Attempt {
        request: 1,
        attempt: 2,
        operation: 3,
        class: 4,
        plan: 5,
        write: true,
        stream: true,
        volume: 6,
        extent: Some(8),
        units: 7,
        at: Some(10),
        time_left: 9,
        payload: b"data",
    }
}

fn connection_frames() -> Vec<(&'static str, Frame<'static>)> {
    let hello = |role| Frame::Hello(Hello { role, versions: (1, 3), id: 4, epoch: 5, name: "checkout" });
    let bye = |close_reason| Frame::Bye { close_reason, wait: 250_000, text: "too many clients" };
    vec![
        ("hello of a client", hello(Role::Client)),
        ("hello of an initiator", hello(Role::Initiator)),
        ("hello of a node", hello(Role::Node)),
        ("hello of the list service", hello(Role::List)),
        ("welcome", Frame::Welcome(Welcome { version: 3, role: Role::Node, id: 4, epoch: 5, name: "n" })),
        ("bye: version", bye(CloseReason::Version)),
        ("bye: protocol", bye(CloseReason::Protocol)),
        ("bye: wrong peer", bye(CloseReason::WrongPeer)),
        ("bye: bound", bye(CloseReason::Bound)),
        ("bye: stopping", bye(CloseReason::Stopping)),
        ("bye: turn", bye(CloseReason::Turn)),
    ]
}

fn client_frames() -> Vec<(&'static str, Frame<'static>)> {
    let refused = |refusal, scope| Frame::Refused { id: 1, wait: 250_000, refusal, scope };
    vec![
        ("submit", Frame::Submit(submit())),
        (
            "submit without options",
            Frame::Submit(Submit { extent: None, shard: None, at: None, write: false, ..submit() }),
        ),
        ("served", Frame::Served { id: 1, shard: 2, payload: b"x" }),
        ("refused: load", refused(Refusal::Load, Scope::Request)),
        ("refused: held", refused(Refusal::Held, Scope::Volume)),
        ("refused: client", refused(Refusal::Client, Scope::All)),
        ("refused: stopping", refused(Refusal::Stopping, Scope::All)),
        ("refused: unbuffered", refused(Refusal::Unbuffered, Scope::Request)),
        ("refused: buffer", refused(Refusal::Buffer, Scope::Request)),
        ("refused: storm", refused(Refusal::Storm, Scope::Volume)),
        ("failed", Frame::Failed { id: 1 }),
        ("part", Frame::Part { id: 1, payload: b"part" }),
        ("buffered", Frame::Buffered { id: 1 }),
        ("barrier", Frame::Barrier { id: 1, volume: 77, time_left: 9 }),
        ("barred", Frame::Barred { id: 1 }),
        ("flush of a volume", Frame::Flush { id: 1, volume: Some(77), time_left: 9 }),
        ("flush of all", Frame::Flush { id: 1, volume: None, time_left: 9 }),
        ("flushed", Frame::Flushed { id: 1 }),
        ("ask status", Frame::AskStatus { id: 1 }),
        ("status", Frame::Status { id: 1, json: b"{}" }),
    ]
}

fn node_frames() -> Vec<(&'static str, Frame<'static>)> {
    let done = |code| Frame::Done(Done { request: 1, attempt: 2, code, report: report(), payload: b"y" });
    vec![
        ("attempt", Frame::Attempt(attempt())),
        (
            "attempt without options",
            Frame::Attempt(Attempt { extent: None, at: None, stream: false, ..attempt() }),
        ),
        ("cancel", Frame::Cancel { request: 1, attempt: 2 }),
        ("done: served", done(Code::Served)),
        ("done: error", done(Code::Error)),
        ("done: full", done(Code::Rejected)),
        ("chunk", Frame::Chunk { request: 1, attempt: 2, payload: b"z" }),
        ("probe", Frame::Probe { token: 11 }),
        ("probed", Frame::Probed { token: 11, report: Report::default() }),
    ]
}

fn list_frames() -> Vec<(&'static str, Frame<'static>)> {
    let without_options = Entry { age: None, service_time: None, size: 0, ..entry(State::Removed) };
    let list = |extent, entries| Frame::List(List { extent, since: 6, revision: 7, entries });
    vec![
        ("get list", Frame::GetList),
        ("watch", Frame::Watch),
        ("list of changes", list(Extent::Changes, vec![entry(State::Draining), without_options])),
        ("full list", list(Extent::Full, vec![entry(State::Serving)])),
        ("list failed", Frame::ListFailed),
        ("agreement", Frame::Agreement { bytes: b"\x01\x02" }),
    ]
}

fn frames() -> Vec<(&'static str, Frame<'static>)> {
    [connection_frames(), client_frames(), node_frames(), list_frames()].concat()
}

/// Guards against a renamed or moved field that changes the wire format.
#[test]
fn every_frame_kind_is_encoded_and_decoded_as_recorded() {
    let mut encoded = String::new();
    for (name, frame) in frames() {
        let mut bytes = Vec::new();
        encode(&frame, &mut bytes);
        let _ = writeln!(encoded, "{name}: {}", hex(&bytes));
    }
    let fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));
    fixtures.assert_text("frames.txt", &encoded);
    let recorded = String::from_utf8(fixtures.read("frames.txt")).expect("the fixture is UTF-8");
    for (line, (name, frame)) in recorded.lines().zip(frames()) {
        let (_, digits) =
            line.split_once(": ").filter(|_| line.starts_with(name)).expect("a fixture line for each frame");
        let digits = digits.rsplit(": ").next().expect("hex digits after the name");
        let bytes = unhex(digits);
        assert_eq!(decode(&bytes), Ok(Some((frame, bytes.len()))), "{name}");
    }
}
