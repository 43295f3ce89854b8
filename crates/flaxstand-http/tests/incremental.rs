//! Compares the incremental response reader with a reference that parses its entire buffer again at each
//! call, and bounds the parsing cost of the incremental readers.

mod reparsing_reader;

use flaxstand_http::{
    MAX_FIELDS, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, MessageError, RequestReader, Response, ResponseReader,
};
use proptest::prelude::*;
use reparsing_reader::{PlainResponse, ReparsingReader};

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn is_same(response: &Response, plain: &PlainResponse) -> bool {
    plain.fields.equals(response)
        && (response.status, &response.body, response.keeps_alive)
            == (plain.status, &plain.body, plain.keeps_alive)
}

/// Passes the pieces to both readers and compares their results and state until the first error.
fn compare(pieces: &[&[u8]], max_body_bytes: usize) -> Result<(), TestCaseError> {
    let mut reader = ResponseReader::with_body_limit(max_body_bytes);
    let mut reference = ReparsingReader::new(max_body_bytes);
    for piece in pieces {
        reader.push(piece);
        reference.push(piece);
        match (reader.take(), reference.take()) {
            (Ok(Some(response)), Ok(Some(plain))) => prop_assert!(is_same(&response, &plain)),
            (Ok(None), Ok(None)) => {}
            (Err(error), Err(expected)) => {
                prop_assert_eq!(error, expected);
                prop_assert_eq!(reader.in_body(), reference.in_body());
                prop_assert_eq!(reader.len(), reference.len());
                prop_assert_eq!(reader.received_prefix(), reference.received_prefix());
                reader.push(b"0\r\n\r\n");
                prop_assert_eq!(reader.take(), Err(error), "later calls return the same error");
                return Ok(());
            }
            (actual, expected) => prop_assert!(false, "got {actual:?}, expected {expected:?}"),
        }
        prop_assert_eq!(reader.in_body(), reference.in_body());
        prop_assert_eq!(reader.len(), reference.len());
        prop_assert_eq!(reader.is_empty(), reference.is_empty());
        prop_assert_eq!(reader.received_prefix(), reference.received_prefix());
    }
    match (reader.end(), reference.end()) {
        (Some(response), Some(plain)) => prop_assert!(is_same(&response, &plain)),
        (None, None) => {}
        (actual, expected) => prop_assert!(false, "got {actual:?}, expected {expected:?}"),
    }
    prop_assert_eq!(reader.len(), reference.len());
    Ok(())
}

/// Splits the bytes into pieces of these lengths, repeated cyclically.
fn split<'a>(bytes: &'a [u8], lengths: &[usize]) -> Vec<&'a [u8]> {
    let (mut pieces, mut rest) = (Vec::new(), bytes);
    for length in lengths.iter().cycle() {
        let (piece, remaining) = rest.split_at((*length).min(rest.len()));
        pieces.push(piece);
        rest = remaining;
        if rest.is_empty() {
            break;
        }
    }
    pieces
}

/// Short lengths, and some close to the maximum length of a head.
fn length_near_limit() -> impl Strategy<Value = usize> {
    prop_oneof![8 => 0..20usize, 1 => MAX_HEAD_BYTES - 60..MAX_HEAD_BYTES + 20]
}

fn chunk() -> impl Strategy<Value = Vec<u8>> {
    let extension = prop_oneof![
        6 => Just(Vec::new()),
        2 => prop::sample::select(vec!["  ", " ;a=b", ";x;y\t", " 1", ";\n", "\rx", "g"]).prop_map(|e| e.into()),
        1 => length_near_limit().prop_map(|length| [b";", vec![b'e'; length].as_slice()].concat()),
    ];
    let end = prop_oneof![20 => Just("\r\n"), 1 => Just("\n"), 1 => Just("x\r\n"), 1 => Just("")];
    (1..40usize, 0..3usize, extension, end).prop_map(|(size, zeros, extension, end)| {
        let size_text = format!("{}{size:x}", "0".repeat(zeros * 7));
        let data = vec![b'd'; size];
        [size_text.as_bytes(), &extension, b"\r\n", &data, end.as_bytes()].concat()
    })
}

fn trailers() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        4 => Just(b"\r\n".to_vec()),
        1 => length_near_limit().prop_map(|n| format!("T: {}\r\n\r\n", "t".repeat(n)).into_bytes()),
        1 => (0..MAX_FIELDS + 3).prop_map(|n| format!("{}\r\n", "T: t\r\n".repeat(n)).into_bytes()),
        1 => Just(b"T\x00: t\r\n\r\n".to_vec()),
    ]
}

fn chunked_response() -> impl Strategy<Value = Vec<u8>> {
    let last = prop::sample::select(vec!["0", "000", "", "0;x", "fffffffffffffffff", "10000"]);
    (prop::collection::vec(chunk(), 0..12), last, trailers()).prop_map(|(chunks, last, trailers)| {
        [CHUNKED_HEAD, &chunks.concat(), last.as_bytes(), b"\r\n", &trailers].concat()
    })
}

fn plain_response() -> impl Strategy<Value = Vec<u8>> {
    let line = prop::sample::select(vec![
        "HTTP/1.1 200 OK",
        "HTTP/1.0 503 Full",
        "HTTP/1.1 204 N",
        "\r\nHTTP/1.1 404",
    ]);
    let fields = prop::sample::select(vec![
        "Content-Length: 30\r\n",
        "Content-Length: 0\r\nX: a\r\nx: b\r\n",
        "Content-Length: 30\r\nConnection: close\r\n",
        "Connection: x, Close\r\n",
        "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: 500\r\n",
        "",
    ]);
    (line, fields, length_near_limit(), 0..60usize).prop_map(|(line, fields, padding, body)| {
        format!("{line}\r\n{fields}P: {}\r\n\r\n{}", "p".repeat(padding), "b".repeat(body)).into_bytes()
    })
}

fn interim() -> impl Strategy<Value = Vec<u8>> {
    let texts =
        vec!["", "HTTP/1.1 100 C\r\n\r\n", "HTTP/1.1 103 E\r\nLink: x\r\n\r\n\r\n", "HTTP/1.1 101 S\r\n\r\n"];
    prop::collection::vec(prop::sample::select(texts), 0..3).prop_map(|all| all.concat().into_bytes())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(800))]

    #[test]
    fn split_responses_read_as_by_the_reference(
        responses in prop::collection::vec(
            (interim(), prop_oneof![chunked_response(), plain_response()]),
            1..3,
        ),
        lengths in prop::collection::vec(prop_oneof![0..5usize, 1..30usize, 100..3000usize], 1..10),
        flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..2),
        limit in prop::sample::select(vec![0, 30, 100, 1000, 1 << 20]),
    ) {
        prop_assume!(lengths.iter().sum::<usize>() > 0);
        let joined = responses.into_iter().flat_map(|(interim, response)| [interim, response].concat());
        let mut bytes: Vec<u8> = joined.collect();
        for (at, byte) in flips {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        compare(&split(&bytes, &lengths), limit)?;
    }

    #[test]
    fn size_lines_read_as_by_the_reference(
        line in prop::collection::vec(prop::sample::select(b"0123aAfFg ;\t\r\n\0".to_vec()), 0..25),
        lengths in prop::collection::vec(1..4usize, 1..4),
    ) {
        let bytes = [CHUNKED_HEAD, &line, b"\r\n0\r\n\r\n"].concat();
        compare(&split(&bytes, &lengths), 1 << 20)?;
    }
}

#[test]
fn size_line_and_trailer_limits_are_exact() {
    for length in MAX_HEAD_BYTES - 3..MAX_HEAD_BYTES + 4 {
        for (prefix, suffix) in [("1;", "\r\nd\r\n0\r\n\r\n"), ("0\r\nT: ", "\r\n\r\n")] {
            let bytes =
                [CHUNKED_HEAD, prefix.as_bytes(), &vec![b'x'; length - 6], suffix.as_bytes()].concat();
            let near_end = CHUNKED_HEAD.len() + MAX_HEAD_BYTES - 10;
            let (begin, end) = bytes.split_at(near_end);
            let pieces: Vec<&[u8]> = std::iter::once(begin).chain(end.chunks(1)).collect();
            compare(&pieces, 1 << 20).unwrap();
        }
    }
}

/// Returns the number of bytes examined to read a response that arrives in pieces of this length.
fn bytes_examined(bytes: &[u8], piece: usize, body: usize) -> u64 {
    let mut reader = ResponseReader::with_body_limit(2 << 20);
    let mut pieces = bytes.chunks(piece).peekable();
    while let Some(piece) = pieces.next() {
        reader.push(piece);
        let response = reader.take().unwrap();
        assert_eq!(response.is_some(), pieces.peek().is_none());
        assert!(response.is_none_or(|response| response.body.len() == body && response.keeps_alive));
    }
    reader.bytes_examined()
}

#[test]
fn the_cost_of_a_chunked_body_depends_on_its_length_and_not_on_its_pieces() {
    const BODY: usize = 1 << 20;
    for chunk in [1, 10, 1000, 65_536, BODY] {
        let mut bytes = CHUNKED_HEAD.to_vec();
        for data in vec![b'd'; BODY].chunks(chunk) {
            bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            bytes.extend_from_slice(data);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nT: trailer\r\n\r\n");
        let few_pieces = bytes_examined(&bytes, bytes.len(), BODY);
        assert!(few_pieces <= bytes.len() as u64);
        let many_pieces = bytes_examined(&bytes, 10, BODY);
        assert!(
            many_pieces <= bytes.len() as u64 + 500,
            "{many_pieces} bytes examined of {} received, chunk length {chunk}",
            bytes.len()
        );
    }
}

#[test]
fn a_head_is_not_parsed_again_while_its_body_arrives() {
    let body = vec![b'b'; 1 << 20];
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    assert!(bytes_examined(&[head.as_bytes(), &body].concat(), 10, body.len()) <= 500);

    let mut reader = RequestReader::default();
    reader.push(
        format!(
            "PUT / HTTP/1.1\r\nX: {}\r\nContent-Length: {MAX_REQUEST_BODY_BYTES}\r\n\r\n",
            "x".repeat(8000)
        )
        .as_bytes(),
    );
    for piece in [b'b'; MAX_REQUEST_BODY_BYTES].chunks(10) {
        assert_eq!(reader.take(), Ok(None));
        reader.push(piece);
    }
    assert_eq!(reader.take().unwrap().unwrap().body, [b'b'; MAX_REQUEST_BODY_BYTES]);
    assert!(reader.bytes_examined() <= MAX_HEAD_BYTES as u64);
}

#[test]
fn body_started_is_set_by_the_first_body_byte_in_every_framing() {
    for (head, first) in [
        ("Content-Length: 2\r\n", "b"),
        ("Transfer-Encoding: chunked\r\n", "2"),
        ("Connection: close\r\n", "b"),
    ] {
        let head = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{head}\r\n");
        let mut reader = ResponseReader::default();
        for byte in head.as_bytes() {
            assert!(!reader.in_body() && !reader.body_started());
            reader.push(&[*byte]);
            assert_eq!(reader.take(), Ok(None));
        }
        assert!(reader.in_body() && !reader.body_started(), "{head}");
        reader.push(first.as_bytes());
        assert_eq!(reader.take(), Ok(None));
        assert!(reader.in_body() && reader.body_started(), "{head}");

        let mut reader = ResponseReader::default();
        reader.push(format!("{head}{first}").as_bytes());
        assert_eq!(reader.take(), Ok(None));
        assert!(reader.body_started(), "{head}");
    }
    let mut reader = ResponseReader::default();
    reader.push(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
    assert!(reader.take().unwrap().is_some());
    assert!(!reader.in_body() && !reader.body_started());
}

#[test]
fn the_body_limit_applies_to_a_close_delimited_body_received_with_its_head() {
    let mut reader = ResponseReader::with_body_limit(4);
    reader.push(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbodies");
    assert_eq!(reader.take(), Err(MessageError::BodyTooLong));
    assert_eq!(reader.end(), None);
}

#[test]
fn a_body_error_is_permanent_and_prevents_a_response() {
    let mut reader = ResponseReader::with_body_limit(4);
    reader.push(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    assert_eq!(reader.take(), Ok(None));
    reader.push(b"bodies");
    assert_eq!(reader.take(), Err(MessageError::BodyTooLong));
    assert_eq!(reader.take(), Err(MessageError::BodyTooLong));
    assert!(reader.in_body());
    assert_eq!(reader.end(), None);
}
