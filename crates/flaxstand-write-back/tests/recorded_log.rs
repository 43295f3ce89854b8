//! Compatibility with a recorded write-back log that contains accepted, started, parked and done writes and a
//! torn end: it is recovered, written out, and changed by operator decisions.

use flaxstand_fixture::{Fixtures, values_of};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{SegmentFolder, Storage, perform};
use flaxstand_write_back::config::BufferingMode;
use flaxstand_write_back::offline::decide;
use flaxstand_write_back::record::{Header, Record, SegmentEnd, WallClock, encode_batch};
use flaxstand_write_back::{
    Action, BufferLimits, Config, ExtentId, LiveRecord, LiveWrite, Micros, ParkedDecision, Recovered, Seq,
    Write, WriteBackBuffer, WriteOutResult, recover, salvage,
};
use std::collections::BTreeSet;

/// Segments and their files. The first is closed; the second one's header references it with its length.
const SEGMENTS: [(u64, &str); 2] = [(1, "log/0000000000000001.log"), (2, "log/0000000000000002.log")];
const IDEMPOTENT: u16 = 0;
const KEYED: u16 = 1;
const ACCEPTED_AT: WallClock = WallClock(1_700_000_000_000_000);
/// Start of a batch whose end never reached the disk.
const TORN: &[u8] = b"BTCH\x40\x00\x00\x00torn";

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn write(volume: u64, extent: u64, class: u16, at: Option<u32>) -> Write {
    Write {
        extent_id: ExtentId { volume, extent },
        class,
        plan: 1,
        volume_initiators: 2,
        shard: extent as u32,
        units: 3,
        operation: 1000 + extent,
        at,
        payload: format!("data of {volume}/{extent}").into_bytes(),
    }
}

fn accepted_write(seq: u64, write: Write) -> Record {
    Record::Write {
        seq: Seq(seq),
        accepted: WallClock(ACCEPTED_AT.0 + seq),
        started: None,
        parked: false,
        write,
    }
}

fn first_batches() -> Vec<Vec<Record>> {
    vec![
        vec![
            accepted_write(1, write(7, 1, IDEMPOTENT, None)),
            accepted_write(2, write(7, 2, KEYED, Some(8))),
        ],
        vec![
            Record::Started { seq: Seq(2), at: WallClock(ACCEPTED_AT.0 + 50) },
            Record::Barrier { seq: Seq(3), volume: 7 },
        ],
    ]
}

fn second_batches() -> Vec<Vec<Record>> {
    let started = Some(WallClock(ACCEPTED_AT.0 + 60));
    let relocated = Record::Write {
        seq: Seq(6),
        accepted: ACCEPTED_AT,
        started,
        parked: true,
        write: write(9, 5, KEYED, None),
    };
    vec![
        vec![
            accepted_write(4, write(8, 3, KEYED, None)),
            accepted_write(5, write(8, 4, IDEMPOTENT, Some(0))),
            relocated,
        ],
        vec![
            Record::Started { seq: Seq(4), at: WallClock(ACCEPTED_AT.0 + 70) },
            Record::Parked { seq: Seq(4) },
            Record::Done { seq: Seq(1) },
        ],
    ]
}

fn segment(header: &Header, first_batch: u64, batches: &[Vec<Record>]) -> Vec<u8> {
    let mut bytes = header.encode().to_vec();
    for (number, records) in (first_batch..).zip(batches) {
        let mut body = Vec::new();
        records.iter().for_each(|record| record.encode(&mut body));
        bytes.extend(encode_batch(number, &body));
    }
    bytes
}

fn encoded_segments() -> [Vec<u8>; 2] {
    let version = flaxstand_write_back::record::VERSION;
    let first = segment(&Header { version, number: 1, previous: None }, 1, &first_batches());
    let previous = Some(SegmentEnd { number: 1, length: first.len() as u64 });
    let mut second = segment(&Header { version, number: 2, previous }, 3, &second_batches());
    second.extend_from_slice(TORN);
    [first, second]
}

/// Returns an in-memory disk with the recorded segments.
fn disk() -> FaultyDisk {
    let mut disk = FaultyDisk::new(1);
    for (number, file) in SEGMENTS {
        disk.create(number).expect("in-memory disk");
        disk.append(number, &fixtures().read(file)).expect("in-memory disk");
        disk.sync(number).expect("in-memory disk");
    }
    disk.sync_folder().expect("in-memory disk");
    disk
}

fn live_values(recovered: &Recovered) -> String {
    values_of(&format!("{:?}", recovered.live))
}

fn config() -> Config {
    Config {
        limits: BufferLimits::default(),
        retry_after: Micros(1000),
        key_cooldown: Micros(0),
        classes: vec![BufferingMode::Idempotent, BufferingMode::IdempotencyKey(Micros(60_000_000))],
        retry_budget: None,
        wall_clock_origin: WallClock(ACCEPTED_AT.0 + 1_000_000),
    }
}

#[test]
fn the_encoding_matches_the_recorded_log() {
    for ((_, file), bytes) in SEGMENTS.iter().zip(encoded_segments()) {
        fixtures().assert_bytes(file, &bytes);
    }
}

#[test]
fn a_recorded_log_is_recovered() {
    let mut folder =
        SegmentFolder::open_read_only(&fixtures().path("log")).expect("the fixture folder exists");
    let recovered = recover(&mut folder).expect("the log is valid");
    fixtures().assert_text("live.txt", &live_values(&recovered));
    assert_eq!((recovered.last, recovered.records, recovered.torn_bytes), (Seq(6), 10, TORN.len() as u64));
    let numbers: Vec<u64> = recovered.live.keys().map(|seq| seq.0).collect();
    assert_eq!(numbers, [2, 3, 4, 5, 6]);
    let parked = |live: &LiveRecord| matches!(live, LiveRecord::Write(LiveWrite { parked: true, .. }));
    assert_eq!(recovered.live.values().filter(|live| parked(live)).count(), 2);
}

/// Guards against a later build that loses an acknowledged write or sends it past a barrier.
#[test]
fn recovered_writes_are_written_out_and_recorded_as_done() {
    let mut disk = disk();
    let recovered = recover(&mut disk).expect("the log is valid");
    let mut buffer = WriteBackBuffer::new(config(), recovered, Micros(0));
    let (mut sent, mut now) = (BTreeSet::new(), Micros(0));
    for _ in 0..200 {
        now = now.after(Micros(20_000));
        buffer.settle(now);
        for action in buffer.take_actions() {
            match action {
                Action::Store(batch) => buffer.batch_stored(perform(&mut disk, &batch).is_ok(), now),
                Action::SendWriteOut { id, write, .. } => {
                    sent.insert((write.extent_id.volume, write.extent_id.extent));
                    buffer.write_out_ended(id, WriteOutResult::Confirmed { may_still_run: false }, now);
                }
                _ => {}
            }
        }
    }
    assert_eq!(sent, BTreeSet::from([(7, 2), (8, 4)]), "parked writes are not sent");
    let left: Vec<u64> = recover(&mut disk).expect("the log is valid").live.keys().map(|seq| seq.0).collect();
    assert_eq!(left, [4, 6]);
}

#[test]
fn operator_decisions_on_parked_writes_are_recorded() {
    let mut disk = disk();
    assert!(decide(&mut disk, Seq(4), ParkedDecision::Done).expect("the log is valid"));
    assert!(decide(&mut disk, Seq(6), ParkedDecision::Resend).expect("the log is valid"));
    assert!(
        !decide(&mut disk, Seq(5), ParkedDecision::Done).expect("the log is valid"),
        "write 5 is not parked"
    );
    fixtures().assert_text("decided.txt", &live_values(&recover(&mut disk).expect("the log is valid")));
}

#[test]
fn a_damaged_log_is_rejected_and_its_readable_part_salvaged() {
    let mut disk = disk();
    disk.flip(1, 60);
    let error = recover(&mut disk).expect_err("the log is damaged").to_string();
    assert!(error.starts_with("segment 0000000000000001 is damaged at byte"), "{error}");
    assert_eq!(salvage(&mut disk).expect("the disk has no faults"), 4);
    fixtures().assert_text("salvaged.txt", &live_values(&recover(&mut disk).expect("the log is valid")));
}
