//! Incremental reader of the responses of one connection.

use crate::chunked::ChunkedDecoder;
use crate::framing::{Framing, is_persistent, response_framing};
use crate::{Fields, MAX_FIELDS, MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES, MessageError, Response};

/// Number of leading bytes of a response that are kept for logs.
const MAX_PREFIX_BYTES: usize = 160;

/// Reads the responses of one connection. At most one request is in flight at a time.
///
/// An incomplete head, at most [`MAX_HEAD_BYTES`] long, is parsed again at each [`ResponseReader::take`]. The
/// bytes of a body are examined once, regardless of the number of pieces in which they arrive.
#[derive(Debug)]
pub struct ResponseReader {
    /// Bytes received and not yet consumed. A body without chunked coding stays here until it is complete.
    unread: Vec<u8>,
    /// First bytes of the current response, for logs.
    prefix: Vec<u8>,
    /// Number of bytes received of the current response.
    received: usize,
    /// Maximum body length, bytes.
    max_body_bytes: usize,
    /// The current response, once its head is complete.
    pending: Option<PendingResponse>,
    /// Length of the pending response's head. Kept after an error in its body.
    head_length: Option<usize>,
    /// The first error. No further responses are read after it.
    error: Option<MessageError>,
    examined: u64,
}

/// A response's head.
#[derive(Debug)]
struct Head {
    status: u16,
    fields: Fields,
    keeps_alive: bool,
    /// Length of the head including the empty line, bytes.
    length: usize,
}

/// A response whose head is complete and whose body is not.
#[derive(Debug)]
struct PendingResponse {
    head: Head,
    body: Body,
}

/// Framing and decoder state of an incomplete body.
#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(ChunkedDecoder),
    UntilClose,
}

impl Default for ResponseReader {
    /// Creates a reader that accepts bodies of up to [`MAX_RESPONSE_BODY_BYTES`] bytes.
    fn default() -> Self {
        ResponseReader::with_body_limit(MAX_RESPONSE_BODY_BYTES)
    }
}

impl ResponseReader {
    /// Creates a reader that accepts bodies of up to `max_body_bytes` bytes.
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

    /// Returns the first bytes received since the last response, escaped for logs.
    pub fn received_prefix(&self) -> String {
        self.prefix.escape_ascii().to_string()
    }

    /// Number of bytes received since the last response, including the overhead of the chunked coding, which
    /// is not buffered.
    pub fn len(&self) -> usize {
        self.received
    }

    /// Memory that an incomplete response takes, bytes.
    pub fn memory_bytes(&self) -> usize {
        let head = self.pending.as_ref().map_or(0, |pending| pending.head.fields.memory_bytes());
        self.received + head
    }

    /// Whether no bytes were received since the last response.
    pub fn is_empty(&self) -> bool {
        self.received == 0
    }

    /// Whether [`ResponseReader::take`] found a complete head and an incomplete body.
    pub fn in_body(&self) -> bool {
        self.head_length.is_some()
    }

    /// Whether the head is complete and at least one byte of the body or of its chunked coding was received.
    pub fn body_started(&self) -> bool {
        self.head_length.is_some_and(|length| self.received > length)
    }

    /// Total number of bytes passed to a parser, including repeated ones: a measure of the parsing cost.
    pub fn bytes_examined(&self) -> u64 {
        self.examined
    }

    /// Returns the response once it is complete. Interim (1xx) responses before it are skipped. Bytes after
    /// it are discarded, and [`Response::keeps_alive`] is then false.
    ///
    /// # Errors
    /// The bytes received are not a valid response. Each later call returns the same error.
    pub fn take(&mut self) -> Result<Option<Response>, MessageError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let result = self.advance();
        self.error = result.as_ref().err().copied();
        result
    }

    /// Returns the response whose body ends with the connection. To be called when the peer closes the
    /// connection in an orderly way, not after a reset.
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

    /// Returns the complete response and resets the reader for the next one.
    fn complete(&mut self, head: Head, mut body: Vec<u8>, keeps_alive: bool) -> Response {
        *self = ResponseReader {
            examined: self.examined,
            ..ResponseReader::with_body_limit(self.max_body_bytes)
        };
        body.shrink_to_fit();
        Response { status: head.status, fields: head.fields, body, keeps_alive }
    }

    /// Parses and consumes the head of the next final response. Returns `None` if it is incomplete.
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
        self.discard_interim(skipped);
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
        if let Body::Length(length) = body {
            // Growing in steps could take twice the length of the body.
            self.unread.reserve_exact(length.saturating_sub(self.unread.len()));
        }
        Ok(Some(PendingResponse { head, body }))
    }

    /// Removes `length` bytes of interim responses.
    fn discard_interim(&mut self, length: usize) {
        if length > 0 {
            self.unread.drain(..length);
            self.received -= length;
            self.prefix.clear();
            self.prefix.extend(self.unread.iter().take(MAX_PREFIX_BYTES));
        }
    }

    /// Consumes received bytes of the body. Returns the body once it is complete.
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
        let remaining = self.unread.split_off(length);
        Some(std::mem::replace(&mut self.unread, remaining))
    }

    fn read_chunks(&mut self, decoder: &mut ChunkedDecoder) -> Result<Option<Vec<u8>>, MessageError> {
        self.examined += self.unread.len() as u64;
        let progress = decoder.decode(&self.unread)?;
        self.unread.drain(..progress.consumed);
        Ok(progress.is_complete.then(|| decoder.take_body()))
    }
}

/// Whether this is the status of an interim response. 101 is not: the connection then switches to another
/// protocol.
fn is_interim(status: u16) -> bool {
    (102..200).contains(&status) || status == 100
}

/// Parses the response head at the start of `bytes`. Returns `None` if it is incomplete.
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
