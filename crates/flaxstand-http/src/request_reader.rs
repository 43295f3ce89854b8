//! Incremental reader of the requests of one connection.

use crate::framing::{content_length, is_persistent};
use crate::{Fields, MAX_FIELDS, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, MessageError, Request};

/// Longest method, bytes: no registered one has more.
const MAX_METHOD_BYTES: usize = 17;

/// Reads the requests of one connection, one after another.
#[derive(Debug, Default)]
pub struct RequestReader {
    bytes: Vec<u8>,
    /// The request at the front of `bytes` once its head is complete.
    pending: Option<PendingRequest>,
    examined: u64,
}

/// A request whose head is complete.
#[derive(Debug)]
struct PendingRequest {
    /// The request, still without its body.
    request: Request,
    /// Where its body begins.
    body_at: usize,
    /// Where its body ends.
    end: usize,
}

impl RequestReader {
    /// Adds bytes that were received.
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
        self.bytes.len() > MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES
    }

    /// Bytes handed to the parser since this reader began, repeats included: the work that reading cost.
    pub fn bytes_examined(&self) -> u64 {
        self.examined
    }

    /// The next request, once it is complete. A head is parsed at each call until it is complete, and not
    /// again while its body arrives.
    ///
    /// # Errors
    /// What comes next is no request; nothing behind it can be read either.
    pub fn take(&mut self) -> Result<Option<Request>, MessageError> {
        if self.pending.is_none() {
            self.examined += self.bytes.len() as u64;
            self.pending = parse_head(&self.bytes)?;
        }
        let Some(end) = self.pending.as_ref().map(|pending| pending.end) else { return Ok(None) };
        if self.bytes.len() < end {
            return Ok(None);
        }
        // What follows a request is looked at first: a length that is too short shows there.
        if end < self.bytes.len() && !may_begin(&self.bytes[end..]) {
            return Err(MessageError::TrailingBytes);
        }
        let request = self.pending.take().map(|pending| pending.with_body(&self.bytes));
        self.bytes.drain(..end);
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_HEAD_BYTES {
            self.bytes = Vec::new();
        }
        Ok(request)
    }
}

impl PendingRequest {
    fn with_body(self, bytes: &[u8]) -> Request {
        Request { body: bytes[self.body_at..self.end].to_vec(), ..self.request }
    }
}

/// Whether a request may begin with these bytes.
fn may_begin(bytes: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let method = bytes.split(|byte| *byte == b' ').next().unwrap_or(bytes);
    let named = method.len() <= MAX_METHOD_BYTES
        && method.iter().all(|byte| byte.is_ascii_uppercase() || *byte == b'-');
    (named || bytes.starts_with(b"\r\n")) && httparse::Request::new(&mut fields).parse(bytes).is_ok()
}

/// The request that begins there, once its head is complete.
fn parse_head(bytes: &[u8]) -> Result<Option<PendingRequest>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let body_at = match head.parse(bytes)? {
        httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => length,
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(MessageError::HeadTooLong),
    };
    let fields = Fields::new(head.headers);
    let method = head.method.unwrap_or_default();
    let end = body_at + body_length(method, &fields)?;
    let request = Request {
        method: method.to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        keeps_alive: is_persistent(head.version, &fields),
        fields,
        body: Vec::new(),
    };
    Ok(Some(PendingRequest { request, body_at, end }))
}

fn body_length(method: &str, fields: &Fields) -> Result<usize, MessageError> {
    if fields.contains("transfer-encoding") {
        return Err(MessageError::UnsupportedEncoding);
    }
    match content_length(fields, MAX_REQUEST_BODY_BYTES)? {
        Some(length) => Ok(length),
        // Only a method that has no body by its meaning may leave the length out.
        None if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => Ok(0),
        None => Err(MessageError::MissingLength),
    }
}
