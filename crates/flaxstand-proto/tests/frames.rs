//! Frame codec: round trips, and robustness against truncated, corrupted and random input.

use flaxstand_proto::codec::HEADER_BYTES;
use flaxstand_proto::*;
use proptest::prelude::*;

fn bytes_of(frame: &Frame<'_>) -> Vec<u8> {
    let mut out = Vec::new();
    encode(frame, &mut out);
    out
}

fn submit(payload: &[u8]) -> Frame<'_> {
    Frame::Submit(Submit {
        id: 7,
        operation: 9,
        class: 1,
        plan: 0,
        volume_initiators: 2,
        try_no: 1,
        write: true,
        volume: 77,
        extent: Some(5),
        shard: None,
        units: 3,
        at: Some(4096),
        time_left: 1_500_000,
        payload,
    })
}

fn sample_frames() -> Vec<Frame<'static>> {
    let report = Report { used: Some(86), from_others: 3, inflight: None, queue: Some(4), busy: Some(500) };
    let entry = Entry {
        node: 3,
        incarnation: 2,
        state: State::Draining,
        age: Some(12),
        shard: 4,
        zone: 1,
        size: 250,
        service_time: Some(17_000),
        address: "127.0.0.1:9",
    };
    vec![
        Frame::Hello(Hello { role: Role::Client, versions: (1, 3), id: 4, epoch: 5, name: "checkout" }),
        Frame::Welcome(Welcome { version: 1, role: Role::Node, id: 4, epoch: 5, name: "" }),
        Frame::Bye { close_reason: CloseReason::Turn, wait: 250_000, text: "too many clients" },
        submit(b"seat 12"),
        Frame::Served { id: 1, shard: 2, payload: b"x" },
        Frame::Refused { id: 1, wait: 250_000, refusal: Refusal::Load, scope: Scope::Volume },
        Frame::Failed { id: 1 },
        Frame::Part { id: 1, payload: b"part" },
        Frame::Buffered { id: 1 },
        Frame::Barrier { id: 1, volume: 77, time_left: 9 },
        Frame::Barred { id: 1 },
        Frame::Flush { id: 1, volume: Some(77), time_left: 9 },
        Frame::Flushed { id: 1 },
        Frame::AskStatus { id: 1 },
        Frame::Status { id: 1, json: b"{}" },
        Frame::Attempt(Attempt {
            request: 1,
            attempt: 2,
            operation: 3,
            class: 4,
            plan: 5,
            write: false,
            stream: true,
            volume: 6,
            extent: None,
            units: 7,
            at: None,
            time_left: 8,
            payload: b"",
        }),
        Frame::Cancel { request: 1, attempt: 0 },
        Frame::Done(Done { request: 1, attempt: 0, code: Code::Rejected, report, payload: b"y" }),
        Frame::Chunk { request: 1, attempt: 0, payload: b"z" },
        Frame::Probe { token: 11 },
        Frame::Probed { token: 11, report },
        Frame::GetList,
        Frame::Watch,
        Frame::List(List { extent: Extent::Changes, since: 6, revision: 7, entries: vec![entry, entry] }),
        Frame::ListFailed,
    ]
}

#[test]
fn every_frame_kind_round_trips() {
    for frame in sample_frames() {
        let bytes = bytes_of(&frame);
        assert_eq!(decode(&bytes), Ok(Some((frame, bytes.len()))));
    }
}

#[test]
fn truncated_frames_are_incomplete_and_corrupted_frames_are_rejected() {
    for frame in sample_frames() {
        let bytes = bytes_of(&frame);
        for length in 0..bytes.len() {
            assert_eq!(decode(&bytes[..length]), Ok(None), "{frame:?} truncated to {length} bytes");
        }
        for bit in 32..bytes.len() * 8 {
            let mut corrupted = bytes.clone();
            corrupted[bit / 8] ^= 1 << (bit % 8);
            assert!(decode(&corrupted).is_err(), "{frame:?} with bit {bit} flipped");
        }
    }
}

#[test]
fn each_decoding_error_is_reported_as_its_variant() {
    let valid = bytes_of(&Frame::Failed { id: 1 });
    let with_checksum = |mut bytes: Vec<u8>| {
        let crc = crc32c::crc32c_append(crc32c::crc32c(&bytes[..4]), &bytes[8..]);
        bytes[4..8].copy_from_slice(&crc.to_le_bytes());
        bytes
    };
    let mut long = valid.clone();
    long[..4].copy_from_slice(&(MAX_BODY_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(decode(&long[..HEADER_BYTES]), Err(FrameError::TooLong(MAX_BODY_BYTES + 1)));
    let mut version = valid.clone();
    version[8] = 9;
    assert_eq!(decode(&with_checksum(version)), Err(FrameError::Version(9)));
    let mut kind = valid.clone();
    kind[9] = 200;
    assert_eq!(decode(&with_checksum(kind)), Err(FrameError::Kind(200)));
    let mut short = valid.clone();
    short[0] -= 1;
    short.pop();
    assert_eq!(decode(&with_checksum(short)), Err(FrameError::Truncated("id")));
    let mut trailing = valid.clone();
    trailing[0] += 1;
    trailing.push(0);
    assert_eq!(decode(&with_checksum(trailing)), Err(FrameError::Trailing(1)));
    let mut crc = valid;
    crc[5] ^= 1;
    assert!(matches!(decode(&crc), Err(FrameError::Checksum { .. })));
}

fn long_list(entries: usize, address: &str) -> Vec<u8> {
    let entry = |node: usize| Entry {
        node: node as u64,
        incarnation: 1,
        state: State::Serving,
        age: Some(1),
        shard: node as u32,
        zone: 1,
        size: 100,
        service_time: Some(1),
        address,
    };
    let entries = (0..entries).map(entry).collect();
    bytes_of(&Frame::List(List { extent: Extent::Full, since: 1, revision: 1, entries }))
}

#[test]
fn the_longest_list_is_accepted_only_from_the_discovery_service() {
    let bytes = long_list(MAX_LIST_ENTRIES, &"a".repeat(255));
    assert_eq!(bytes.len(), HEADER_BYTES + MAX_LIST_BODY_BYTES);
    let Ok(Some((Frame::List(list), len))) = decode_within(&bytes, BodyLimit::NodeList) else {
        panic!("list of maximum length not decoded");
    };
    assert_eq!((list.entries.len(), len), (MAX_LIST_ENTRIES, bytes.len()));
    assert_eq!(decode(&bytes), Err(FrameError::TooLong(MAX_LIST_BODY_BYTES)));
    let mut attempt = bytes[..HEADER_BYTES].to_vec();
    attempt[9] = 32;
    assert_eq!(
        decode_within(&attempt, BodyLimit::NodeList),
        Err(FrameError::TooLong(MAX_LIST_BODY_BYTES)),
        "the higher limit applies to lists only"
    );
}

#[test]
fn a_long_list_in_pieces_is_decoded_with_the_frame_after_it() {
    let mut stream = long_list(25_000, "10.1.2.3:7001");
    encode(&Frame::ListFailed, &mut stream);
    let mut inbox = Inbox::for_discovery_service();
    let (mut entries, mut failed) = (0, 0);
    for piece in stream.chunks(65_536) {
        let fed = inbox.feed(piece, |frame| {
            match frame {
                Frame::List(list) => entries += list.entries.len(),
                Frame::ListFailed => failed += 1,
                other => panic!("{other:?}"),
            }
            true
        });
        assert_eq!(fed, Ok(()));
    }
    assert_eq!((entries, failed), (25_000, 1));
    assert!(Inbox::default().feed(&stream[..65_536], |_| true).is_err(), "rejected with the default limit");
}

#[test]
fn an_inbox_counts_bytes_and_reports_an_incomplete_frame() {
    let probe = bytes_of(&Frame::Probe { token: 7 });
    let mut inbox = Inbox::default();
    assert!(!inbox.is_within_frame());
    for (at, byte) in probe.iter().enumerate() {
        inbox.feed(&[*byte], |_| true).unwrap();
        assert_eq!(inbox.received(), at as u64 + 1);
        assert_eq!(inbox.is_within_frame(), at + 1 < probe.len());
    }
}

#[test]
fn an_outbox_reports_which_frames_are_completely_written() {
    let mut outbox = Outbox::default();
    let first = outbox.push(&Frame::Failed { id: 1 });
    let second = outbox.push(&Frame::Failed { id: 2 });
    outbox.advance(first as usize + 3);
    assert!(outbox.written() >= first && outbox.written() < second);
    outbox.advance(usize::MAX);
    assert_eq!((outbox.written(), outbox.is_empty()), (second, true));
}

proptest! {
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn random_bodies_with_a_valid_checksum_never_panic(
        kind in any::<u8>(),
        body in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        let rest: Vec<u8> = [VERSION, kind, 0, 0].into_iter().chain(body).collect();
        bytes.extend(crc32c::crc32c_append(crc32c::crc32c(&bytes), &rest).to_le_bytes());
        bytes.extend(rest);
        if let Ok(Some((frame, len))) = decode(&bytes) {
            prop_assert_eq!(len, bytes.len());
            prop_assert_eq!(bytes_of(&frame), bytes);
        }
    }

    #[test]
    fn frames_are_decoded_from_any_split_of_the_stream(
        lengths in proptest::collection::vec(1usize..40, 1..60),
        size in 0usize..200,
    ) {
        let payload = vec![7; size];
        let mut stream = Vec::new();
        for id in 0..5 {
            encode(&submit(&payload), &mut stream);
            encode(&Frame::Failed { id }, &mut stream);
        }
        let mut inbox = Inbox::default();
        let (mut received, mut at) = (0, 0);
        for length in lengths.iter().cycle() {
            let end = (at + length).min(stream.len());
            let fed = inbox.feed(&stream[at..end], |frame| {
                let is_expected = if received % 2 == 0 {
                    frame == submit(&payload)
                } else {
                    frame == Frame::Failed { id: received / 2 }
                };
                assert!(is_expected, "{frame:?}");
                received += 1;
                true
            });
            prop_assert_eq!(fed, Ok(()));
            at = end;
            if at == stream.len() { break; }
        }
        prop_assert_eq!(received, 10);
    }
}
