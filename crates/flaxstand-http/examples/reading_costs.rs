//! Measures the time to read one large response that arrives in small pieces, compared with a reader that
//! parses its entire buffer again at each call.

use flaxstand_http::{MAX_REQUEST_BODY_BYTES, RequestReader, ResponseReader};
use std::time::{Duration, Instant};

#[allow(dead_code)]
#[path = "../tests/reparsing_reader/mod.rs"]
mod reparsing_reader;

use reparsing_reader::ReparsingReader;

const BODY_LENGTH: usize = 700_000;
const CHUNK_LENGTH: usize = 4096;
const BODY_LIMIT: usize = 1 << 20;

fn chunked_response() -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for data in vec![b'd'; BODY_LENGTH].chunks(CHUNK_LENGTH) {
        bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn fixed_length_response() -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_LENGTH}\r\n\r\n");
    [head.as_bytes(), &vec![b'd'; BODY_LENGTH]].concat()
}

/// A response whose head is close to the maximum length.
fn long_head() -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nX: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(8100)).into_bytes()
}

fn time_incremental(bytes: &[u8], piece_length: usize) -> Duration {
    let start = Instant::now();
    let mut reader = ResponseReader::with_body_limit(BODY_LIMIT);
    let mut responses = 0;
    for piece in bytes.chunks(piece_length) {
        reader.push(piece);
        responses += usize::from(reader.take().is_ok_and(|response| response.is_some()));
    }
    assert_eq!(responses, 1);
    start.elapsed()
}

fn time_reparsing(bytes: &[u8], piece_length: usize) -> Duration {
    let start = Instant::now();
    let mut reader = ReparsingReader::new(BODY_LIMIT);
    let mut responses = 0;
    for piece in bytes.chunks(piece_length) {
        reader.push(piece);
        responses += usize::from(reader.take().is_ok_and(|response| response.is_some()));
    }
    assert_eq!(responses, 1);
    start.elapsed()
}

/// Reads a request with a head and body close to the maximum length, one byte at a time.
fn time_request_byte_by_byte() -> Duration {
    let head = format!(
        "PUT / HTTP/1.1\r\nX: {}\r\nContent-Length: {MAX_REQUEST_BODY_BYTES}\r\n\r\n",
        "x".repeat(8100)
    );
    let bytes = [head.as_bytes(), &[b'd'; MAX_REQUEST_BODY_BYTES]].concat();
    let start = Instant::now();
    let mut reader = RequestReader::default();
    let mut requests = 0;
    for byte in &bytes {
        reader.push(&[*byte]);
        requests += usize::from(reader.take().is_ok_and(|request| request.is_some()));
    }
    assert_eq!(requests, 1);
    start.elapsed()
}

fn main() {
    for (name, bytes, pieces) in [
        ("chunked 700 kB", chunked_response(), [65_536, 1460, 100]),
        ("fixed length 700 kB", fixed_length_response(), [65_536, 1460, 100]),
        ("long head", long_head(), [1460, 100, 1]),
    ] {
        for piece_length in pieces {
            let (incremental, reparsing) =
                (time_incremental(&bytes, piece_length), time_reparsing(&bytes, piece_length));
            println!("{name}, pieces of {piece_length}: {incremental:?}, reparsing {reparsing:?}");
        }
    }
    println!("longest request, byte by byte: {:?}", time_request_byte_by_byte());
}
