//! Incremental reader of the requests of one connection.

use crate::framing::{content_length, is_persistent};
use crate::{Fields, MAX_FIELDS, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, MessageError, Request};

/// Maximum length of a method name, bytes: the longest registered one.
const MAX_METHOD_BYTES: usize = 17;
/// Size of the buffer that a connection keeps between its requests, bytes.
const MAX_RETAINED_BYTES: usize = 1024;

/// Reads the requests of one connection, one after another.
#[derive(Debug, Default)]
pub struct RequestReader {
    bytes: Vec<u8>,
    /// The request at the start of `bytes`, once its head is complete.
    pending: Option<PendingRequest>,
    examined: u64,
}

/// A request whose head is complete.
#[derive(Debug)]
struct PendingRequest {
    /// The request without its body.
    request: Request,
    /// Start offset of the body.
    body_at: usize,
    /// End offset of the body.
    end: usize,
}

impl RequestReader {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Memory that the buffered bytes and a head that waits for its body take, bytes.
    pub fn memory_bytes(&self) -> usize {
        let head = self.pending.as_ref().map_or(0, |pending| pending.request.head_memory_bytes());
        self.bytes.len() + head
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the buffer exceeds the maximum length of a request. The caller should then stop receiving,
    /// which applies back-pressure to the peer.
    pub fn is_full(&self) -> bool {
        self.bytes.len() > MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES
    }

    /// Total number of bytes passed to the parser, including repeated ones: a measure of the parsing cost.
    pub fn bytes_examined(&self) -> u64 {
        self.examined
    }

    /// Returns the next request once it is complete. An incomplete head is parsed again at each call, a
    /// complete one is not parsed again while its body arrives.
    ///
    /// # Errors
    /// The next bytes are not a valid request. No further requests can be read from the connection.
    pub fn take(&mut self) -> Result<Option<Request>, MessageError> {
        if self.pending.is_none() {
            self.examined += self.bytes.len() as u64;
            self.pending = parse_head(&self.bytes)?;
        }
        let Some(end) = self.pending.as_ref().map(|pending| pending.end) else { return Ok(None) };
        if self.bytes.len() < end {
            // Growing in steps could take twice the length of the request.
            self.bytes.reserve_exact(end - self.bytes.len());
            return Ok(None);
        }
        // Checks the bytes after the request first: they reveal a Content-Length that is too small.
        if end < self.bytes.len() && !can_start_request(&self.bytes[end..]) {
            return Err(MessageError::TrailingBytes);
        }
        let request = self.pending.take().map(|pending| pending.with_body(&self.bytes));
        self.bytes.drain(..end);
        if self.bytes.is_empty() {
            self.bytes.shrink_to(MAX_RETAINED_BYTES);
        }
        Ok(request)
    }
}

impl PendingRequest {
    fn with_body(self, bytes: &[u8]) -> Request {
        Request { body: bytes[self.body_at..self.end].to_vec(), ..self.request }
    }
}

/// Whether these bytes can be the start of a request.
fn can_start_request(bytes: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let method = bytes.split(|byte| *byte == b' ').next().unwrap_or(bytes);
    let is_method = method.len() <= MAX_METHOD_BYTES
        && method.iter().all(|byte| byte.is_ascii_uppercase() || *byte == b'-');
    (is_method || bytes.starts_with(b"\r\n")) && httparse::Request::new(&mut fields).parse(bytes).is_ok()
}

/// Parses the request head at the start of `bytes`. Returns `None` if it is incomplete.
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
        // Content-Length is optional only for methods that do not define a body.
        None if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => Ok(0),
        None => Err(MessageError::MissingLength),
    }
}
