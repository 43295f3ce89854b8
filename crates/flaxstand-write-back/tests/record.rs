//! Binary format of the log.

use flaxstand_write_back::record::{
    DecodedBatch, Header, Record, SegmentEnd, WallClock, decode_batch, encode_batch,
};
use flaxstand_write_back::{ExtentId, Seq, Write};

fn write(at: Option<u32>) -> Record {
    let extent_id = ExtentId { volume: 7, extent: 9 };
    let payload = vec![1, 2, 3];
    let write = Write {
        extent_id,
        class: 1,
        plan: 2,
        volume_initiators: 3,
        shard: 4,
        units: 5,
        operation: 6,
        at,
        payload,
    };
    Record::Write { seq: Seq(8), accepted: WallClock(10), started: Some(WallClock(11)), parked: true, write }
}

#[test]
fn every_record_round_trips_and_corruption_is_detected() {
    let records = vec![
        write(None),
        write(Some(0)),
        Record::Barrier { seq: Seq(1), volume: 2 },
        Record::Started { seq: Seq(3), at: WallClock(4) },
        Record::Parked { seq: Seq(5) },
        Record::Done { seq: Seq(u64::MAX) },
    ];
    let mut body = Vec::new();
    records.iter().for_each(|r| r.encode(&mut body));
    let bytes = encode_batch(12, &body);
    let length = bytes.len();
    assert_eq!(decode_batch(&bytes), Some(DecodedBatch { number: 12, records, length }));
    for cut in 0..bytes.len() {
        assert_eq!(decode_batch(&bytes[..cut]), None, "cut at {cut}");
    }
    for flipped in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[flipped] ^= 0x10;
        assert_eq!(decode_batch(&bad), None, "byte {flipped} flipped");
    }
}

/// Later versions must still read the version 1 format.
#[test]
fn version_1_is_decoded() {
    let header = "464c58420100000002000000000000000100000000000000400000000000000000000000";
    let mut bytes: Vec<u8> =
        (0..header.len()).step_by(2).map(|i| u8::from_str_radix(&header[i..i + 2], 16).unwrap()).collect();
    let crc = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&crc.to_le_bytes());
    assert_eq!(
        Header::decode(&bytes),
        Some(Header { version: 1, number: 2, previous: Some(SegmentEnd { number: 1, length: 64 }) })
    );
    let done = [b"BTCH".as_slice(), &9u32.to_le_bytes(), &3u64.to_le_bytes()].concat();
    let body = [5, 42, 0, 0, 0, 0, 0, 0, 0];
    let crc = crc32c::crc32c(&[&done[4..], &body[..]].concat());
    let batch = [&done[..], &crc.to_le_bytes(), &body].concat();
    let records = vec![Record::Done { seq: Seq(42) }];
    assert_eq!(decode_batch(&batch), Some(DecodedBatch { number: 3, records, length: batch.len() }));
}
