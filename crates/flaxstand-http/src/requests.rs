//! Incremental reader of the requests of one connection.

use crate::framing::{content_length, is_persistent};
use crate::{BODY_MOST, FIELDS_MOST, Fault, Fields, HEAD_MOST, Request};

/// Most letters of a method: no registered one has more.
const METHOD_MOST: usize = 17;

/// Reads the requests of one connection, one after another.
#[derive(Debug, Default)]
pub struct Requests {
    bytes: Vec<u8>,
    /// The request at the front of `bytes` once its head is complete.
    open: Option<OpenRequest>,
    examined: u64,
}

/// A request whose head is complete.
#[derive(Debug)]
struct OpenRequest {
    /// The request, still without its body.
    request: Request,
    /// Where its body begins.
    body_at: usize,
    /// Where its body ends.
    end: usize,
}

impl Requests {
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
        self.bytes.len() > HEAD_MOST + BODY_MOST
    }

    /// Bytes handed to the parser since this reader began, repeats included: the work that reading cost.
    pub fn bytes_examined(&self) -> u64 {
        self.examined
    }

    /// The next request, once it is complete. A head is parsed at each call until it is complete, and not again
    /// while its body arrives.
    ///
    /// # Errors
    /// What comes next is no request; nothing behind it can be read either.
    pub fn take(&mut self) -> Result<Option<Request>, Fault> {
        if self.open.is_none() {
            self.examined += self.bytes.len() as u64;
            self.open = parse_head(&self.bytes)?;
        }
        let Some(end) = self.open.as_ref().map(|open| open.end) else { return Ok(None) };
        if self.bytes.len() < end {
            return Ok(None);
        }
        // What follows a request is looked at first: a length that is too short shows there.
        if end < self.bytes.len() && !may_begin(&self.bytes[end..]) {
            return Err(Fault::Behind);
        }
        let request = self.open.take().map(|open| open.with_body(&self.bytes));
        self.bytes.drain(..end);
        if self.bytes.is_empty() && self.bytes.capacity() > HEAD_MOST {
            self.bytes = Vec::new();
        }
        Ok(request)
    }
}

impl OpenRequest {
    fn with_body(self, bytes: &[u8]) -> Request {
        Request { body: bytes[self.body_at..self.end].to_vec(), ..self.request }
    }
}

/// Whether a request may begin with these bytes.
fn may_begin(bytes: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let method = bytes.split(|b| *b == b' ').next().unwrap_or(bytes);
    let named = method.len() <= METHOD_MOST && method.iter().all(|b| b.is_ascii_uppercase() || *b == b'-');
    (named || bytes.starts_with(b"\r\n")) && httparse::Request::new(&mut fields).parse(bytes).is_ok()
}

/// The request that begins there, once its head is complete.
fn parse_head(bytes: &[u8]) -> Result<Option<OpenRequest>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut head = httparse::Request::new(&mut fields);
    let body_at = match head.parse(bytes)? {
        httparse::Status::Complete(length) if length <= HEAD_MOST => length,
        httparse::Status::Partial if bytes.len() <= HEAD_MOST => return Ok(None),
        _ => return Err(Fault::HeadTooLong),
    };
    let fields = Fields::new(head.headers);
    let method = head.method.unwrap_or_default();
    let end = body_at + body_length(method, &fields)?;
    let request = Request {
        method: method.to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        keeps: is_persistent(head.version, &fields),
        fields,
        body: Vec::new(),
    };
    Ok(Some(OpenRequest { request, body_at, end }))
}

fn body_length(method: &str, fields: &Fields) -> Result<usize, Fault> {
    if fields.has("transfer-encoding") {
        return Err(Fault::Encoding);
    }
    match content_length(fields, BODY_MOST)? {
        Some(length) => Ok(length),
        // Only a method that has no body by its meaning may leave the length out.
        None if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => Ok(0),
        None => Err(Fault::NoLength),
    }
}
