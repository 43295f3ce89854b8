//! Incremental reader of the answers of one connection.

use crate::chunked::ChunkedDecoder;
use crate::framing::{Framing, answer_framing, is_persistent};
use crate::{ANSWER_MOST, Answer, FIELDS_MOST, Fault, Fields, HEAD_MOST};

/// Bytes of an answer's beginning that are kept for a log.
const BEGINNING_MOST: usize = 160;

/// Reads the answers to the requests of one connection, of which one is open at a time.
///
/// A head is parsed at each [`Answers::take`] until it is complete, at most [`HEAD_MOST`] bytes each time. The
/// bytes of a body are looked at once, in however many pieces they arrive.
#[derive(Debug)]
pub struct Answers {
    /// What was received and is not yet consumed. A body without chunks stays here until it is complete.
    unread: Vec<u8>,
    /// The first bytes of the answer that is being read.
    beginning: Vec<u8>,
    /// Bytes received of the answer that is being read.
    received: usize,
    /// Most bytes of a body.
    body_most: usize,
    /// The answer whose head is complete and whose body is not.
    open: Option<OpenAnswer>,
    /// Length of the head of the open answer; kept beyond a fault in its body.
    head_length: Option<usize>,
    /// Why nothing more can be read.
    fault: Option<Fault>,
    examined: u64,
}

/// An answer's head.
#[derive(Debug)]
struct Head {
    status: u16,
    fields: Fields,
    keeps: bool,
    /// Bytes of the head, its empty line included.
    length: usize,
}

/// An answer whose head is complete and whose body is not.
#[derive(Debug)]
struct OpenAnswer {
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

impl Default for Answers {
    /// Takes bodies up to [`ANSWER_MOST`] bytes.
    fn default() -> Self {
        Answers::with_body_limit(ANSWER_MOST)
    }
}

impl Answers {
    /// A reader that takes bodies up to `body_most` bytes.
    pub fn with_body_limit(body_most: usize) -> Self {
        Answers {
            unread: Vec::new(),
            beginning: Vec::new(),
            received: 0,
            body_most,
            open: None,
            head_length: None,
            fault: None,
            examined: 0,
        }
    }

    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received += bytes.len();
        let kept = bytes.len().min(BEGINNING_MOST - self.beginning.len());
        self.beginning.extend_from_slice(&bytes[..kept]);
        self.unread.extend_from_slice(bytes);
    }

    /// How what was received since the last answer begins, for a log.
    pub fn beginning(&self) -> String {
        self.beginning.escape_ascii().to_string()
    }

    /// Bytes received since the last answer. What the chunked coding adds to a body counts too, though it is
    /// not held.
    pub fn len(&self) -> usize {
        self.received
    }

    /// Whether nothing was received since the last answer.
    pub fn is_empty(&self) -> bool {
        self.received == 0
    }

    /// Whether [`Answers::take`] found the answer's head complete and its body not.
    pub fn in_body(&self) -> bool {
        self.head_length.is_some()
    }

    /// Whether the answer's head is complete and at least one byte was received behind it: of its body, or of
    /// the chunked coding of its body.
    pub fn body_started(&self) -> bool {
        self.head_length.is_some_and(|length| self.received > length)
    }

    /// Bytes handed to a parser since this reader began, repeats included: the work that reading cost.
    pub fn bytes_examined(&self) -> u64 {
        self.examined
    }

    /// The answer, once it is complete. Any 1xx ahead of it are skipped. What was received behind it is left
    /// out: the answer says that its connection is of no further use.
    ///
    /// # Errors
    /// What was received is no answer. Each later call returns the same fault.
    pub fn take(&mut self) -> Result<Option<Answer>, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        let taken = self.advance();
        self.fault = taken.as_ref().err().copied();
        taken
    }

    /// The answer that ends with its connection. To be called when the peer closed the connection in good
    /// order, not after a reset.
    pub fn end(&mut self) -> Option<Answer> {
        let open = self.open.take_if(|open| matches!(open.body, Body::UntilClose))?;
        let body = std::mem::take(&mut self.unread);
        Some(self.complete(open.head, body, false))
    }

    fn advance(&mut self) -> Result<Option<Answer>, Fault> {
        let mut open = match self.open.take() {
            Some(open) => open,
            None => match self.read_head()? {
                Some(open) => open,
                None => return Ok(None),
            },
        };
        let Some(body) = self.read_body(&mut open.body)? else {
            self.head_length = Some(open.head.length);
            self.open = Some(open);
            return Ok(None);
        };
        let keeps = open.head.keeps && self.unread.is_empty();
        Ok(Some(self.complete(open.head, body, keeps)))
    }

    /// Makes the answer, and this reader ready for the next one.
    fn complete(&mut self, head: Head, mut body: Vec<u8>, keeps: bool) -> Answer {
        *self = Answers { examined: self.examined, ..Answers::with_body_limit(self.body_most) };
        body.shrink_to_fit();
        Answer { status: head.status, fields: head.fields, body, keeps }
    }

    /// Consumes the head of the next final answer, once it is complete.
    fn read_head(&mut self) -> Result<Option<OpenAnswer>, Fault> {
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
            return Err(Fault::Head(httparse::Error::Status));
        }
        let body = match answer_framing(head.status, head.keeps, &head.fields, self.body_most)? {
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(ChunkedDecoder::new(self.body_most)),
            Framing::UntilClose => Body::UntilClose,
        };
        self.unread.drain(..head.length);
        Ok(Some(OpenAnswer { head, body }))
    }

    /// Drops interim answers ahead of the next one.
    fn skip(&mut self, length: usize) {
        if length > 0 {
            self.unread.drain(..length);
            self.received -= length;
            self.beginning.clear();
            self.beginning.extend(self.unread.iter().take(BEGINNING_MOST));
        }
    }

    /// Consumes what was received of the body; all of it, once it is complete.
    fn read_body(&mut self, body: &mut Body) -> Result<Option<Vec<u8>>, Fault> {
        match body {
            Body::Length(length) => Ok(self.read_length(*length)),
            Body::Chunked(decoder) => self.read_chunks(decoder),
            Body::UntilClose if self.unread.len() > self.body_most => Err(Fault::BodyTooLong),
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

    fn read_chunks(&mut self, decoder: &mut ChunkedDecoder) -> Result<Option<Vec<u8>>, Fault> {
        self.examined += self.unread.len() as u64;
        let progress = decoder.decode(&self.unread)?;
        self.unread.drain(..progress.consumed);
        Ok(progress.is_complete.then(|| decoder.take_body()))
    }
}

/// Whether an answer of this status precedes the final one. After a 101 the connection speaks another protocol.
fn is_interim(status: u16) -> bool {
    (102..200).contains(&status) || status == 100
}

/// The head that begins there, once it is complete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut head = httparse::Response::new(&mut fields);
    let length = match head.parse(bytes)? {
        httparse::Status::Complete(length) if length <= HEAD_MOST => length,
        httparse::Status::Partial if bytes.len() <= HEAD_MOST => return Ok(None),
        _ => return Err(Fault::HeadTooLong),
    };
    let fields = Fields::new(head.headers);
    let keeps = is_persistent(head.version, &fields);
    Ok(Some(Head { status: head.code.unwrap_or_default(), fields, keeps, length }))
}
