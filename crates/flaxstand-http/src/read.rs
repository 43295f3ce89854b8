//! Readers: what came of a connection and is not yet a whole message.

use crate::{ANSWER_MOST, Answer, BODY_MOST, FIELDS_MOST, Fault, Fields, HEAD_MOST, Request};

/// How a message's body ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length(usize),
    Chunked,
    /// With the connection.
    End,
}

/// The one plain number of `Content-Length`; none: there is no such field.
fn length(fields: &Fields, most: usize) -> Result<Option<usize>, Fault> {
    let mut all = fields.all("content-length");
    let Some(value) = all.next() else { return Ok(None) };
    if all.next().is_some() || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(Fault::Length);
    }
    let digits = value.iter().skip_while(|b| **b == b'0');
    let most = most as u64 + 1;
    let number = digits.fold(0u64, |n, b| n.saturating_mul(10).saturating_add(u64::from(b - b'0')).min(most));
    if number == most { Err(Fault::BodyTooLong) } else { Ok(Some(number as usize)) }
}

/// Whether a connection lasts beyond a message of this version.
fn lasts(version: Option<u8>, fields: &Fields) -> bool {
    version == Some(1) && !fields.names("connection", "close")
}

/// Reads the requests of one connection, one after another.
#[derive(Debug, Default)]
pub struct Requests {
    bytes: Vec<u8>,
}

impl Requests {
    /// Bytes came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes held that are not yet read as a request.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing of a next request is here.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether more is held than any one request has: what is behind it can wait with the peer.
    pub fn is_full(&self) -> bool {
        self.bytes.len() > HEAD_MOST + BODY_MOST
    }

    /// The next request, once it is whole.
    ///
    /// # Errors
    /// What comes next is none; nothing behind it can be read either.
    pub fn take(&mut self) -> Result<Option<Request>, Fault> {
        // What follows a request is looked at first: a length that is too short shows there.
        let Some((request, end)) = request_at(&self.bytes)? else { return Ok(None) };
        if end < self.bytes.len() && !may_begin(&self.bytes[end..]) {
            return Err(Fault::Behind);
        }
        self.bytes.drain(..end);
        if self.bytes.is_empty() && self.bytes.capacity() > HEAD_MOST {
            self.bytes = Vec::new();
        }
        Ok(Some(request))
    }
}

/// Whether a request may begin so.
fn may_begin(bytes: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let method = bytes.split(|b| *b == b' ').next().unwrap_or(bytes);
    // No method that is registered has more letters.
    let named = method.len() <= 17 && method.iter().all(|b| b.is_ascii_uppercase() || *b == b'-');
    (named || bytes.starts_with(b"\r\n")) && httparse::Request::new(&mut fields).parse(bytes).is_ok()
}

fn request_at(bytes: &[u8]) -> Result<Option<(Request, usize)>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut head = httparse::Request::new(&mut fields);
    let body_at = match head.parse(bytes)? {
        httparse::Status::Complete(len) if len <= HEAD_MOST => len,
        httparse::Status::Partial if bytes.len() <= HEAD_MOST => return Ok(None),
        _ => return Err(Fault::HeadTooLong),
    };
    let fields = Fields::new(head.headers);
    if fields.has("transfer-encoding") {
        return Err(Fault::Encoding);
    }
    let method = head.method.unwrap_or_default();
    let length = match length(&fields, BODY_MOST)? {
        Some(length) => length,
        // Only a method that has no body by its meaning may leave the length out.
        None if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => 0,
        None => return Err(Fault::NoLength),
    };
    let end = body_at + length;
    let Some(body) = bytes.get(body_at..end) else { return Ok(None) };
    let request = Request {
        method: method.to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        keeps: lasts(head.version, &fields),
        fields,
        body: body.to_vec(),
    };
    Ok(Some((request, end)))
}

/// Reads the answers to the requests of one connection, of which one is open at a time.
#[derive(Debug)]
pub struct Answers {
    bytes: Vec<u8>,
    /// Most bytes of a body.
    body_most: usize,
    in_body: bool,
    /// The head of an answer whose body ends with the connection, and where the body begins.
    ends: Option<(u16, Fields, usize)>,
}

impl Default for Answers {
    /// Takes bodies up to [`ANSWER_MOST`] bytes.
    fn default() -> Self {
        Answers::with_body_limit(ANSWER_MOST)
    }
}

impl Answers {
    /// A reader that takes bodies up to `body_most` bytes.
    pub fn with_body_limit(body_most: usize) -> Self {
        Answers { bytes: Vec::new(), body_most, in_body: false, ends: None }
    }

    /// Forgets what came of the answer that was read last.
    fn reset(&mut self) {
        *self = Answers::with_body_limit(self.body_most);
    }

    /// Bytes came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// How what came since the last answer begins, for a log.
    pub fn beginning(&self) -> String {
        self.bytes.iter().take(160).flat_map(|b| b.escape_ascii()).map(char::from).collect()
    }

    /// Bytes held that are not yet read as an answer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the answer's head is here, and what comes is its body.
    pub fn in_body(&self) -> bool {
        self.in_body
    }

    /// Whether nothing has come since the last answer.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The answer, once it is whole. Any 1xx ahead of it are skipped. What came behind it is left out: the
    /// answer says that its connection is of no further use.
    ///
    /// # Errors
    /// It is none.
    pub fn take(&mut self) -> Result<Option<Answer>, Fault> {
        if let Some((.., at)) = self.ends {
            let too_long = self.bytes.len() - at > self.body_most;
            return if too_long { Err(Fault::BodyTooLong) } else { Ok(None) };
        }
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
            let mut head = httparse::Response::new(&mut fields);
            let body_at = match head.parse(&self.bytes)? {
                httparse::Status::Complete(len) if len <= HEAD_MOST => len,
                httparse::Status::Partial if self.bytes.len() <= HEAD_MOST => return Ok(None),
                _ => return Err(Fault::HeadTooLong),
            };
            let status = head.code.unwrap_or_default();
            if (102..200).contains(&status) || status == 100 {
                self.bytes.drain(..body_at);
                continue;
            }
            if !(200..600).contains(&status) {
                return Err(Fault::Head(httparse::Error::Status));
            }
            let fields = Fields::new(head.headers);
            let keeps = lasts(head.version, &fields);
            let framing = framing(status, keeps, &fields, self.body_most)?;
            let Some((body, end)) = self.body(body_at, framing)? else {
                self.in_body = true;
                self.ends = matches!(framing, Framing::End).then_some((status, fields, body_at));
                return Ok(None);
            };
            let keeps = keeps && end == self.bytes.len();
            self.reset();
            return Ok(Some(Answer { status, fields, body, keeps }));
        }
    }

    /// The connection ended in good order, not by a reset: an answer that ends with it is whole.
    pub fn end(&mut self) -> Option<Answer> {
        let (status, fields, at) = self.ends.take()?;
        let body = self.bytes.split_off(at);
        self.reset();
        Some(Answer { status, fields, body, keeps: false })
    }

    fn body(&self, at: usize, framing: Framing) -> Result<Option<(Vec<u8>, usize)>, Fault> {
        match framing {
            Framing::Length(length) => Ok(self.bytes.get(at..at + length).map(|b| (b.to_vec(), at + length))),
            Framing::Chunked => dechunk(&self.bytes, at, self.body_most),
            Framing::End => Ok(None),
        }
    }
}

/// How an answer's body ends.
fn framing(status: u16, keeps: bool, fields: &Fields, body_most: usize) -> Result<Framing, Fault> {
    match (length(fields, body_most)?, fields.has("transfer-encoding")) {
        // Two ways to say where it ends: one of them is wrong.
        (Some(_), true) => Err(Fault::Encoding),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true)
            if fields.one("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) =>
        {
            Ok(Framing::Chunked)
        }
        (None, true) => Err(Fault::Encoding),
        (None, false) if status == 204 || status == 304 => Ok(Framing::Length(0)),
        // Only where it is said that the connection ends with it (RFC 9112, 6.3): else it is spoilt.
        (None, false) if !keeps => Ok(Framing::End),
        (None, false) => Err(Fault::NoLength),
    }
}

/// The whole of a chunked body that begins there, and where it ends.
fn dechunk(bytes: &[u8], mut at: usize, body_most: usize) -> Result<Option<(Vec<u8>, usize)>, Fault> {
    let mut body = Vec::new();
    loop {
        let (line, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if bytes.len() - at <= HEAD_MOST => return Ok(None),
            _ => return Err(Fault::Chunk),
        };
        at += line;
        if size == 0 {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
            return match httparse::parse_headers(&bytes[at..], &mut fields)? {
                httparse::Status::Complete((len, _)) => Ok(Some((body, at + len))),
                httparse::Status::Partial if bytes.len() - at <= HEAD_MOST => Ok(None),
                httparse::Status::Partial => Err(Fault::HeadTooLong),
            };
        }
        if size > (body_most - body.len()) as u64 {
            return Err(Fault::BodyTooLong);
        }
        let end = at + size as usize;
        let Some(chunk) = bytes.get(at..end) else { return Ok(None) };
        match bytes.get(end..end + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(Fault::Chunk),
            None => return Ok(None),
        }
        body.extend_from_slice(chunk);
        at = end + 2;
    }
}
