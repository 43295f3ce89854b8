//! A write-back log that an earlier build left: with what is acknowledged, started, parked, done and torn. It is read
//! back to the same content, goes out from there, and is decided on by operators.

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

/// Segments with the files that hold them. The first is closed, the second names it and its length.
const SEGMENTS: [(u64, &str); 2] = [(1, "log/0000000000000001.log"), (2, "log/0000000000000002.log")];
const REPEATABLE: u16 = 0;
const KEYED: u16 = 1;
const TAKEN: WallClock = WallClock(1_700_000_000_000_000);
/// The start of a batch whose end never reached the disk.
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

fn taken(seq: u64, write: Write) -> Record {
    Record::Write { seq: Seq(seq), accepted: WallClock(TAKEN.0 + seq), started: None, parked: false, write }
}

fn first_batches() -> Vec<Vec<Record>> {
    vec![
        vec![taken(1, write(7, 1, REPEATABLE, None)), taken(2, write(7, 2, KEYED, Some(8)))],
        vec![
            Record::Started { seq: Seq(2), at: WallClock(TAKEN.0 + 50) },
            Record::Barrier { seq: Seq(3), volume: 7 },
        ],
    ]
}

fn second_batches() -> Vec<Vec<Record>> {
    let started = Some(WallClock(TAKEN.0 + 60));
    let carried = Record::Write {
        seq: Seq(6),
        accepted: TAKEN,
        started,
        parked: true,
        write: write(9, 5, KEYED, None),
    };
    vec![
        vec![taken(4, write(8, 3, KEYED, None)), taken(5, write(8, 4, REPEATABLE, Some(0))), carried],
        vec![
            Record::Started { seq: Seq(4), at: WallClock(TAKEN.0 + 70) },
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

fn made() -> [Vec<u8>; 2] {
    let version = flaxstand_write_back::record::VERSION;
    let first = segment(&Header { version, number: 1, before: None }, 1, &first_batches());
    let before = Some(SegmentEnd { number: 1, length: first.len() as u64 });
    let mut second = segment(&Header { version, number: 2, before }, 3, &second_batches());
    second.extend_from_slice(TORN);
    [first, second]
}

/// The recorded segments on a disk in memory.
fn disk() -> FaultyDisk {
    let mut disk = FaultyDisk::new(1);
    for (number, file) in SEGMENTS {
        disk.create(number).expect("in memory");
        disk.append(number, &fixtures().read(file)).expect("in memory");
        disk.sync(number).expect("in memory");
    }
    disk.sync_folder().expect("in memory");
    disk
}

fn live_of(recovered: &Recovered) -> String {
    values_of(&format!("{:?}", recovered.live))
}

fn config() -> Config {
    Config {
        limits: BufferLimits::default(),
        retry_after: Micros(1000),
        key_cooldown: Micros(0),
        classes: vec![BufferingMode::Idempotent, BufferingMode::IdempotencyKey(Micros(60_000_000))],
        retry_budget: None,
        calendar: WallClock(TAKEN.0 + 1_000_000),
    }
}

#[test]
fn a_log_is_written_as_recorded() {
    for ((_, file), bytes) in SEGMENTS.iter().zip(made()) {
        fixtures().assert_bytes(file, &bytes);
    }
}

#[test]
fn a_recorded_log_is_read_to_what_lives_in_it() {
    let mut folder = SegmentFolder::open_read_only(&fixtures().path("log")).expect("the folder is there");
    let recovered = recover(&mut folder).expect("it is sound");
    fixtures().assert_text("live.txt", &live_of(&recovered));
    assert_eq!((recovered.last, recovered.records, recovered.torn), (Seq(6), 10, TORN.len() as u64));
    let numbers: Vec<u64> = recovered.live.keys().map(|seq| seq.0).collect();
    assert_eq!(numbers, [2, 3, 4, 5, 6]);
    let parked = |live: &LiveRecord| matches!(live, LiveRecord::Write(LiveWrite { parked: true, .. }));
    assert_eq!(recovered.live.values().filter(|live| parked(live)).count(), 2);
}

/// Guards against an acknowledged write that a later build forgets, or sends past a barrier.
#[test]
fn what_was_acknowledged_goes_out_and_the_log_is_empty_of_it_then() {
    let mut disk = disk();
    let recovered = recover(&mut disk).expect("it is sound");
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
    assert_eq!(sent, BTreeSet::from([(7, 2), (8, 4)]), "what is parked waits for an operator");
    let left: Vec<u64> = recover(&mut disk).expect("it is sound").live.keys().map(|seq| seq.0).collect();
    assert_eq!(left, [4, 6]);
}

#[test]
fn an_operator_decides_on_what_is_parked() {
    let mut disk = disk();
    assert!(decide(&mut disk, Seq(4), ParkedDecision::Done).expect("it is sound"));
    assert!(decide(&mut disk, Seq(6), ParkedDecision::Again).expect("it is sound"));
    assert!(!decide(&mut disk, Seq(5), ParkedDecision::Done).expect("it is sound"), "it is not parked");
    fixtures().assert_text("decided.txt", &live_of(&recover(&mut disk).expect("it is sound")));
}

#[test]
fn a_damaged_log_is_refused_and_what_can_be_read_is_salvaged() {
    let mut disk = disk();
    disk.flip(1, 60);
    let refused = recover(&mut disk).expect_err("it is damaged").to_string();
    assert!(refused.starts_with("segment 0000000000000001 is damaged at byte"), "{refused}");
    assert_eq!(salvage(&mut disk).expect("the disk works"), 4);
    fixtures().assert_text("salvaged.txt", &live_of(&recover(&mut disk).expect("it is sound")));
}
