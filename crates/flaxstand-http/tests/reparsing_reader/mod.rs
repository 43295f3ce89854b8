//! Reference implementation for the incremental response reader: parses its entire buffer again at each call.

use flaxstand_http::{MAX_FIELDS, MAX_HEAD_BYTES, MessageError, Response};

/// A response as plain values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainResponse {
    pub status: u16,
    pub fields: PlainFields,
    pub body: Vec<u8>,
    pub keeps_alive: bool,
}

/// Names and values of header fields, in order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlainFields(Vec<(String, Vec<u8>)>);

impl PlainFields {
    fn values(&self, name: &str) -> Vec<&[u8]> {
        let is_named = |field: &&(String, Vec<u8>)| field.0.eq_ignore_ascii_case(name);
        self.0.iter().filter(is_named).map(|(_, value)| value.as_slice()).collect()
    }

    /// Whether the response has the same header fields.
    pub fn equals(&self, response: &Response) -> bool {
        let same = |(name, _): &(String, Vec<u8>)| {
            self.values(name) == response.fields.values(name).collect::<Vec<_>>()
        };
        self.0.iter().all(same)
    }
}

/// Reads the responses of one connection.
#[derive(Debug)]
pub struct ReparsingReader {
    bytes: Vec<u8>,
    max_body_bytes: usize,
    in_body: bool,
    /// The head of a response whose body ends with the connection, and the start offset of the body.
    until_close: Option<(u16, PlainFields, usize)>,
}

enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

impl ReparsingReader {
    pub fn new(max_body_bytes: usize) -> Self {
        ReparsingReader { bytes: Vec::new(), max_body_bytes, in_body: false, until_close: None }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub fn received_prefix(&self) -> String {
        self.bytes.iter().take(160).flat_map(|b| b.escape_ascii()).map(char::from).collect()
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn in_body(&self) -> bool {
        self.in_body
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn take(&mut self) -> Result<Option<PlainResponse>, MessageError> {
        if let Some((.., at)) = self.until_close {
            let too_long = self.bytes.len() - at > self.max_body_bytes;
            return if too_long { Err(MessageError::BodyTooLong) } else { Ok(None) };
        }
        loop {
            let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut head = httparse::Response::new(&mut fields);
            let body_at = match head.parse(&self.bytes)? {
                httparse::Status::Complete(len) if len <= MAX_HEAD_BYTES => len,
                httparse::Status::Partial if self.bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
                _ => return Err(MessageError::HeadTooLong),
            };
            let status = head.code.unwrap_or_default();
            if (102..200).contains(&status) || status == 100 {
                self.bytes.drain(..body_at);
                continue;
            }
            if !(200..600).contains(&status) {
                return Err(MessageError::InvalidHead(httparse::Error::Status));
            }
            let plain = |field: &httparse::Header<'_>| (field.name.to_owned(), field.value.to_vec());
            let fields = PlainFields(head.headers.iter().map(plain).collect());
            let keeps_alive = head.version == Some(1) && !closes(&fields);
            let framing = framing(status, keeps_alive, &fields, self.max_body_bytes)?;
            let Some((body, end)) = self.body(body_at, &framing)? else {
                self.until_close =
                    matches!(framing, Framing::UntilClose).then_some((status, fields, body_at));
                // The incremental reader checks the body length in the same call.
                let too_long = self.until_close.is_some() && self.bytes.len() - body_at > self.max_body_bytes;
                self.in_body = !too_long;
                return if too_long { Err(MessageError::BodyTooLong) } else { Ok(None) };
            };
            let keeps_alive = keeps_alive && end == self.bytes.len();
            *self = ReparsingReader::new(self.max_body_bytes);
            return Ok(Some(PlainResponse { status, fields, body, keeps_alive }));
        }
    }

    pub fn end(&mut self) -> Option<PlainResponse> {
        let (status, fields, at) = self.until_close.take()?;
        let body = self.bytes.split_off(at);
        *self = ReparsingReader::new(self.max_body_bytes);
        Some(PlainResponse { status, fields, body, keeps_alive: false })
    }

    fn body(&self, at: usize, framing: &Framing) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
        match framing {
            Framing::Length(length) => Ok(self.bytes.get(at..at + length).map(|b| (b.to_vec(), at + length))),
            Framing::Chunked => dechunk(&self.bytes, at, self.max_body_bytes),
            Framing::UntilClose => Ok(None),
        }
    }
}

fn closes(fields: &PlainFields) -> bool {
    let has_close = |value: &[u8]| {
        value.split(|b| *b == b',').any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
    };
    fields.values("connection").into_iter().any(has_close)
}

fn length(fields: &PlainFields, max_length: usize) -> Result<Option<usize>, MessageError> {
    let values = fields.values("content-length");
    let Some(value) = values.first() else { return Ok(None) };
    if values.len() > 1 || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(MessageError::InvalidLength);
    }
    let digits = value.iter().skip_while(|b| **b == b'0');
    let too_long = max_length as u64 + 1;
    let number =
        digits.fold(0u64, |n, b| n.saturating_mul(10).saturating_add(u64::from(b - b'0')).min(too_long));
    if number == too_long { Err(MessageError::BodyTooLong) } else { Ok(Some(number as usize)) }
}

fn framing(
    status: u16,
    keeps_alive: bool,
    fields: &PlainFields,
    max_body_bytes: usize,
) -> Result<Framing, MessageError> {
    let encodings = fields.values("transfer-encoding");
    let chunked = encodings.len() == 1
        && std::str::from_utf8(encodings[0]).is_ok_and(|v| v.trim().eq_ignore_ascii_case("chunked"));
    match (length(fields, max_body_bytes)?, !encodings.is_empty()) {
        (Some(_), true) => Err(MessageError::UnsupportedEncoding),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) if chunked => Ok(Framing::Chunked),
        (None, true) => Err(MessageError::UnsupportedEncoding),
        (None, false) if status == 204 || status == 304 => Ok(Framing::Length(0)),
        (None, false) if !keeps_alive => Ok(Framing::UntilClose),
        (None, false) => Err(MessageError::MissingLength),
    }
}

/// Decodes the chunked body that starts at `at`. Returns the body and its end offset, or `None` if it is
/// incomplete.
fn dechunk(
    bytes: &[u8],
    mut at: usize,
    max_body_bytes: usize,
) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
    let mut body = Vec::new();
    loop {
        let (line, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if bytes.len() - at <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(MessageError::InvalidChunk),
        };
        at += line;
        if size == 0 {
            let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
            return match httparse::parse_headers(&bytes[at..], &mut fields)? {
                httparse::Status::Complete((len, _)) => Ok(Some((body, at + len))),
                httparse::Status::Partial if bytes.len() - at <= MAX_HEAD_BYTES => Ok(None),
                httparse::Status::Partial => Err(MessageError::HeadTooLong),
            };
        }
        if size > (max_body_bytes - body.len()) as u64 {
            return Err(MessageError::BodyTooLong);
        }
        let end = at + size as usize;
        let Some(chunk) = bytes.get(at..end) else { return Ok(None) };
        match bytes.get(end..end + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(MessageError::InvalidChunk),
            None => return Ok(None),
        }
        body.extend_from_slice(chunk);
        at = end + 2;
    }
}
