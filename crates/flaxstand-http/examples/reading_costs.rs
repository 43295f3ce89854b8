//! Measures the time to read one large answer that arrives in small pieces, beside a reader that parses all it
//! holds at each call.

use flaxstand_http::{MAX_REQUEST_BODY_BYTES, RequestReader, ResponseReader};
use std::time::{Duration, Instant};

#[allow(dead_code)]
#[path = "../tests/whole_parse/mod.rs"]
mod whole_parse;

use whole_parse::WholeParseReader;

const BODY_LENGTH: usize = 700_000;
const CHUNK_LENGTH: usize = 4096;
const BODY_LIMIT: usize = 1 << 20;

fn chunked_answer() -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for data in vec![b'd'; BODY_LENGTH].chunks(CHUNK_LENGTH) {
        bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn framed_answer() -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_LENGTH}\r\n\r\n");
    [head.as_bytes(), &vec![b'd'; BODY_LENGTH]].concat()
}

/// An answer whose head is as long as is taken.
fn long_head() -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nX: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(8100)).into_bytes()
}

fn incremental(bytes: &[u8], piece_length: usize) -> Duration {
    let begun = Instant::now();
    let mut reader = ResponseReader::with_body_limit(BODY_LIMIT);
    let mut answers = 0;
    for piece in bytes.chunks(piece_length) {
        reader.push(piece);
        answers += usize::from(reader.take().is_ok_and(|answer| answer.is_some()));
    }
    assert_eq!(answers, 1);
    begun.elapsed()
}

fn whole_parse(bytes: &[u8], piece_length: usize) -> Duration {
    let begun = Instant::now();
    let mut reader = WholeParseReader::new(BODY_LIMIT);
    let mut answers = 0;
    for piece in bytes.chunks(piece_length) {
        reader.push(piece);
        answers += usize::from(reader.take().is_ok_and(|answer| answer.is_some()));
    }
    assert_eq!(answers, 1);
    begun.elapsed()
}

/// A request with the longest head and body that are taken, byte by byte.
fn request_byte_by_byte() -> Duration {
    let head = format!(
        "PUT / HTTP/1.1\r\nX: {}\r\nContent-Length: {MAX_REQUEST_BODY_BYTES}\r\n\r\n",
        "x".repeat(8100)
    );
    let bytes = [head.as_bytes(), &[b'd'; MAX_REQUEST_BODY_BYTES]].concat();
    let begun = Instant::now();
    let mut reader = RequestReader::default();
    let mut requests = 0;
    for byte in &bytes {
        reader.push(&[*byte]);
        requests += usize::from(reader.take().is_ok_and(|request| request.is_some()));
    }
    assert_eq!(requests, 1);
    begun.elapsed()
}

fn main() {
    for (name, bytes, pieces) in [
        ("chunked 700 kB", chunked_answer(), [65_536, 1460, 100]),
        ("framed 700 kB", framed_answer(), [65_536, 1460, 100]),
        ("long head", long_head(), [1460, 100, 1]),
    ] {
        for piece_length in pieces {
            let (new, old) = (incremental(&bytes, piece_length), whole_parse(&bytes, piece_length));
            println!("{name}, pieces of {piece_length}: {new:?}, whole parse {old:?}");
        }
    }
    println!("longest request, byte by byte: {:?}", request_byte_by_byte());
}
