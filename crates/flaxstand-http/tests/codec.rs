//! Reading of messages: split at every position, with invalid framing, and with random bytes.

use flaxstand_http::{
    MAX_HEAD_BYTES, MessageError, Request, RequestReader, ResponseReader, write_request, write_response,
};
use proptest::prelude::*;

fn request(bytes: &[u8]) -> Result<Option<Request>, MessageError> {
    let mut reader = RequestReader::default();
    reader.push(bytes);
    reader.take()
}

#[test]
fn a_message_split_at_any_position_reads_the_same() {
    let mut bytes = Vec::new();
    write_request(&mut bytes, "PUT", "/a?b", &[("Host", &"h"), ("X-A", &1)], Some(b"body"));
    let expected = request(&bytes).unwrap().unwrap();
    assert_eq!(
        (expected.fields.single("x-a"), &expected.body[..], expected.keeps_alive),
        (Some("1"), &b"body"[..], true)
    );
    let mut response = Vec::new();
    write_response(&mut response, 200, &[("Retry-After", &0.5)], b"body", true);
    for cut in 1..bytes.len() {
        let mut reader = RequestReader::default();
        reader.push(&bytes[..cut]);
        assert_eq!(reader.take(), Ok(None), "split at {cut}");
        reader.push(&bytes[cut..]);
        assert_eq!(reader.take().unwrap().as_ref(), Some(&expected));
        assert!(reader.is_empty());
    }
    for cut in 1..response.len() {
        let mut reader = ResponseReader::default();
        reader.push(&response[..cut]);
        assert_eq!(reader.take(), Ok(None), "split at {cut}");
        reader.push(&response[cut..]);
        let read = reader.take().unwrap().unwrap();
        assert_eq!((read.status, &read.body[..], read.keeps_alive), (200, &b"body"[..], true));
    }
}

#[test]
fn requests_with_ambiguous_framing_are_rejected() {
    let put = |fields: &str, body: &str| request(format!("PUT / HTTP/1.1\r\n{fields}\r\n{body}").as_bytes());
    assert_eq!(put("", ""), Err(MessageError::MissingLength));
    for length in ["", "-1", "+1", "1,1", "1 1", "0x1", "1.0"] {
        assert_eq!(
            put(&format!("Content-Length: {length}\r\n"), "x"),
            Err(MessageError::InvalidLength),
            "{length:?}"
        );
    }
    assert_eq!(put("Content-Length: 1\r\nContent-Length: 1\r\n", "x"), Err(MessageError::InvalidLength));
    assert_eq!(put("Content-Length: 65537\r\n", ""), Err(MessageError::BodyTooLong));
    assert_eq!(
        put("Content-Length: 340282366920938463463374607431768211456\r\n", ""),
        Err(MessageError::BodyTooLong)
    );
    assert_eq!(
        put("Transfer-Encoding: chunked\r\nContent-Length: 1\r\n", "x"),
        Err(MessageError::UnsupportedEncoding)
    );
    assert_eq!(put("Transfer-Encoding: identity\r\n", "x"), Err(MessageError::UnsupportedEncoding));
    assert_eq!(put("Content-Length: 1\r\n", "xtail"), Err(MessageError::TrailingBytes));
    assert!(matches!(put("Content-Length : 1\r\n", "x"), Err(MessageError::InvalidHead(_))));
    assert!(matches!(put("Content-Length: 000000000000000000000000000001\r\n", "x"), Ok(Some(_))));
    assert!(matches!(put("Content-Length: 1\r\n", "xGET /next HT"), Ok(Some(_))));
    assert_eq!(request(&vec![b'G'; MAX_HEAD_BYTES + 1]), Err(MessageError::HeadTooLong));
    assert!(!request(b"GET / HTTP/1.0\r\n\r\n").unwrap().unwrap().keeps_alive);
    assert!(!request(b"GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n").unwrap().unwrap().keeps_alive);
}

#[test]
fn responses_are_delimited_by_their_framing_or_rejected() {
    let read = |text: &str| {
        let mut reader = ResponseReader::default();
        reader.push(text.as_bytes());
        reader.take()
    };
    let body = |text: &str| read(text).unwrap().map(|r| (String::from_utf8(r.body).unwrap(), r.keeps_alive));
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(body(&format!("{chunks}2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n")), Some(("abcde".into(), true)));
    assert_eq!(body(&format!("{chunks}2\r\nab\r\n0\r\n")), None);
    assert_eq!(read(&format!("{chunks}2\r\nabc\r\n")), Err(MessageError::InvalidChunk));
    assert_eq!(read(&format!("{chunks}fffffffffffffffff\r\n")), Err(MessageError::InvalidChunk));
    assert_eq!(read(&format!("{chunks}100001\r\n")), Err(MessageError::BodyTooLong));
    assert_eq!(read("HTTP/1.1 200 OK\r\n\r\n"), Err(MessageError::MissingLength));
    assert_eq!(read("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"), Err(MessageError::BodyTooLong));
    assert_eq!(
        body("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\n\r\n"),
        Some((String::new(), true))
    );
    assert!(read("HTTP/1.1 101 Switching\r\n\r\n").is_err());
    assert_eq!(
        body("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc"),
        Some(("a".into(), false)),
        "with bytes after the body"
    );
    assert_eq!(body("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na"), Some(("a".into(), false)));
}

#[test]
fn a_configured_body_limit_applies_to_every_framing() {
    let read = |limit: usize, head: &str, body: &str| {
        let mut reader = ResponseReader::with_body_limit(limit);
        reader.push(format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}").as_bytes());
        let response = reader.take()?;
        Ok::<_, MessageError>(response.or_else(|| reader.end()).map(|response| response.body.len()))
    };
    let ten = "0123456789";
    for (head, body) in [
        ("Content-Length: 10\r\n", ten.to_owned()),
        ("Transfer-Encoding: chunked\r\n", format!("a\r\n{ten}\r\n0\r\n\r\n")),
        ("Connection: close\r\n", ten.to_owned()),
    ] {
        assert_eq!(read(10, head, &body), Ok(Some(10)), "{head}");
    }
    assert_eq!(read(9, "Content-Length: 10\r\n", ten), Err(MessageError::BodyTooLong));
    assert_eq!(read(9, "Transfer-Encoding: chunked\r\n", "a\r\n"), Err(MessageError::BodyTooLong));
    let mut reader = ResponseReader::with_body_limit(9);
    reader.push(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    assert_eq!(reader.take(), Ok(None));
    reader.push(ten.as_bytes());
    assert_eq!(reader.take(), Err(MessageError::BodyTooLong));
}

#[test]
fn a_configured_body_limit_applies_to_later_responses() {
    let mut reader = ResponseReader::with_body_limit(2 << 20);
    let body = "x".repeat(1_500_000);
    for _ in 0..2 {
        reader.push(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
        assert_eq!(reader.take().unwrap().map(|response| response.body.len()), Some(body.len()));
    }
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_or_buffered_within_the_limit(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..100),
        prefix in prop::sample::select(vec!["", "PUT / HTTP/1.1\r\nContent-Length: 70\r\n\r\n", "HTTP/1.1 200 OK\r\n"]),
    ) {
        let (mut requests, mut responses) = (RequestReader::default(), ResponseReader::default());
        requests.push(prefix.as_bytes());
        responses.push(prefix.as_bytes());
        let (mut requests_valid, mut responses_valid) = (true, true);
        for piece in &pieces {
            if requests_valid {
                requests.push(piece);
                while requests_valid
                    && matches!(requests.take().inspect_err(|_| requests_valid = false), Ok(Some(_)))
                {}
                prop_assert!(!requests_valid || requests.len() <= MAX_HEAD_BYTES);
            }
            if responses_valid {
                responses.push(piece);
                responses_valid = responses.take().is_ok();
            }
        }
    }
}
