//! Incremental reader of the responses of one connection.

use crate::chunked::ChunkedDecoder;
use crate::framing::{Framing, is_persistent, response_framing};
use crate::{Fields, MAX_FIELDS, MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES, MessageError, Response};

/// Bytes of a response's prefix that are logged.
const MAX_PREFIX_BYTES: usize = 160;

/// Reads the responses to the requests of one connection, of which one is pending at a time.
///
/// A head is parsed at each [`ResponseReader::take`] until it is complete, at most [`MAX_HEAD_BYTES`] bytes
/// each time. The bytes of a body are looked at once, in however many pieces they arrive.
#[derive(Debug)]
pub struct ResponseReader {
    /// What was received and is not yet consumed. A body without chunks stays here until it is complete.
    unread: Vec<u8>,
    /// The first bytes of the response that is being read, for a log.
    prefix: Vec<u8>,
    /// Bytes received of the response that is being read.
    received: usize,
    /// Longest body, bytes.
    max_body_bytes: usize,
    /// The response whose head is complete and whose body is not.
    pending: Option<PendingResponse>,
    /// Length of the head of the pending response; kept beyond an error in its body.
    head_length: Option<usize>,
    /// Why nothing more can be read.
    error: Option<MessageError>,
    examined: u64,
}

/// A response's head.
#[derive(Debug)]
struct Head {
    status: u16,
    fields: Fields,
    keeps_alive: bool,
    /// Bytes of the head, its empty line included.
    length: usize,
}

/// A response whose head is complete and whose body is not.
#[derive(Debug)]
struct PendingResponse {
    head: Head,
    body: Body,
}

/// What is known of a body that is not yet complete.
#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(ChunkedDecoder),
    UntilClose,
}

impl Default for ResponseReader {
    /// Takes bodies up to [`MAX_RESPONSE_BODY_BYTES`] bytes.
    fn default() -> Self {
        ResponseReader::with_body_limit(MAX_RESPONSE_BODY_BYTES)
    }
}

impl ResponseReader {
    /// A reader that takes bodies up to `max_body_bytes` bytes.
    pub fn with_body_limit(max_body_bytes: usize) -> Self {
        ResponseReader {
            unread: Vec::new(),
            prefix: Vec::new(),
            received: 0,
            max_body_bytes,
            pending: None,
            head_length: None,
            error: None,
            examined: 0,
        }
    }

    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received += bytes.len();
        let kept = bytes.len().min(MAX_PREFIX_BYTES - self.prefix.len());
        self.prefix.extend_from_slice(&bytes[..kept]);
        self.unread.extend_from_slice(bytes);
    }

    /// The first bytes received since the last response, escaped, for a log.
    pub fn received_prefix(&self) -> String {
        self.prefix.escape_ascii().to_string()
    }

    /// Bytes received since the last response. What the chunked coding adds to a body counts too, though it
    /// is not held.
    pub fn len(&self) -> usize {
        self.received
    }

    /// Whether nothing was received since the last response.
    pub fn is_empty(&self) -> bool {
        self.received == 0
    }

    /// Whether [`ResponseReader::take`] found the response's head complete and its body not.
    pub fn in_body(&self) -> bool {
        self.head_length.is_some()
    }

    /// Whether the response's head is complete and at least one byte was received behind it: of its body, or
    /// of the chunked coding of its body.
    pub fn body_started(&self) -> bool {
        self.head_length.is_some_and(|length| self.received > length)
    }

    /// Bytes handed to a parser since this reader began, repeats included: the work that reading cost.
    pub fn bytes_examined(&self) -> u64 {
        self.examined
    }

    /// The response, once it is complete. Any 1xx ahead of it are skipped. What was received behind it is
    /// left out: the response says that its connection is of no further use.
    ///
    /// # Errors
    /// What was received is no response. Each later call returns the same error.
    pub fn take(&mut self) -> Result<Option<Response>, MessageError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let result = self.advance();
        self.error = result.as_ref().err().copied();
        result
    }

    /// The response that ends with its connection. To be called when the peer closed the connection in good
    /// order, not after a reset.
    pub fn end(&mut self) -> Option<Response> {
        let pending = self.pending.take_if(|pending| matches!(pending.body, Body::UntilClose))?;
        let body = std::mem::take(&mut self.unread);
        Some(self.complete(pending.head, body, false))
    }

    fn advance(&mut self) -> Result<Option<Response>, MessageError> {
        let mut pending = match self.pending.take() {
            Some(pending) => pending,
            None => match self.read_head()? {
                Some(pending) => pending,
                None => return Ok(None),
            },
        };
        let Some(body) = self.read_body(&mut pending.body)? else {
            self.head_length = Some(pending.head.length);
            self.pending = Some(pending);
            return Ok(None);
        };
        let keeps_alive = pending.head.keeps_alive && self.unread.is_empty();
        Ok(Some(self.complete(pending.head, body, keeps_alive)))
    }

    /// Makes the response, and this reader ready for the next one.
    fn complete(&mut self, head: Head, mut body: Vec<u8>, keeps_alive: bool) -> Response {
        *self = ResponseReader {
            examined: self.examined,
            ..ResponseReader::with_body_limit(self.max_body_bytes)
        };
        body.shrink_to_fit();
        Response { status: head.status, fields: head.fields, body, keeps_alive }
    }

    /// Consumes the head of the next final response, once it is complete.
    fn read_head(&mut self) -> Result<Option<PendingResponse>, MessageError> {
        let mut skipped = 0;
        let parsed = loop {
            let rest = &self.unread[skipped..];
            let parsed = parse_head(rest);
            let complete = parsed.as_ref().ok().and_then(Option::as_ref);
            self.examined += complete.map_or(rest.len(), |head| head.length) as u64;
            match complete {
                Some(head) if is_interim(head.status) => skipped += head.length,
                _ => break parsed,
            }
        };
        self.skip(skipped);
        let Some(head) = parsed? else { return Ok(None) };
        if !(200..600).contains(&head.status) {
            return Err(MessageError::InvalidHead(httparse::Error::Status));
        }
        let body = match response_framing(head.status, head.keeps_alive, &head.fields, self.max_body_bytes)? {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(ChunkedDecoder::new(self.max_body_bytes)),
            Framing::UntilClose => Body::UntilClose,
        };
        self.unread.drain(..head.length);
        Ok(Some(PendingResponse { head, body }))
    }

    /// Drops interim responses ahead of the next one.
    fn skip(&mut self, length: usize) {
        if length > 0 {
            self.unread.drain(..length);
            self.received -= length;
            self.prefix.clear();
            self.prefix.extend(self.unread.iter().take(MAX_PREFIX_BYTES));
        }
    }

    /// Consumes what was received of the body; all of it, once it is complete.
    fn read_body(&mut self, body: &mut Body) -> Result<Option<Vec<u8>>, MessageError> {
        match body {
            Body::Length(length) => Ok(self.read_length(*length)),
            Body::Chunked(decoder) => self.read_chunks(decoder),
            Body::UntilClose if self.unread.len() > self.max_body_bytes => Err(MessageError::BodyTooLong),
            Body::UntilClose => Ok(None),
        }
    }

    fn read_length(&mut self, length: usize) -> Option<Vec<u8>> {
        if self.unread.len() < length {
            return None;
        }
        let behind = self.unread.split_off(length);
        Some(std::mem::replace(&mut self.unread, behind))
    }

    fn read_chunks(&mut self, decoder: &mut ChunkedDecoder) -> Result<Option<Vec<u8>>, MessageError> {
        self.examined += self.unread.len() as u64;
        let progress = decoder.decode(&self.unread)?;
        self.unread.drain(..progress.consumed);
        Ok(progress.is_complete.then(|| decoder.take_body()))
    }
}

/// Whether a response of this status precedes the final one. After a 101 the connection speaks another
/// protocol.
fn is_interim(status: u16) -> bool {
    (102..200).contains(&status) || status == 100
}

/// The head that begins there, once it is complete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let length = match head.parse(bytes)? {
        httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => length,
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(MessageError::HeadTooLong),
    };
    let fields = Fields::new(head.headers);
    let keeps_alive = is_persistent(head.version, &fields);
    Ok(Some(Head { status: head.code.unwrap_or_default(), fields, keeps_alive, length }))
}
