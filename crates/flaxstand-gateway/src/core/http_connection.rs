//! The server's side of one client's HTTP/1.1 connection: what has come on it, and whether it goes on.

use crate::machine::Micros;
use flaxstand_http::{MessageError, Request, RequestReader};

/// After its last answer a client has this long, and may send this many bytes, until it closes the
/// connection.
pub(super) const LINGER_TIMEOUT: Micros = Micros(500_000);
const MAX_LINGER_BYTES: usize = 1 << 20;

/// How a request came, for passing it on unchanged.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) method: &'static str,
    pub(super) target: String,
    pub(super) id: String,
    pub(super) key: Option<String>,
}

/// How far a connection is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    Open,
    /// It ends with the answer to the request that it has open.
    LastAnswer,
    /// Its last answer was given: what still comes is dropped, up to this many bytes.
    Lingering(usize),
}

/// What became of bytes that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceivedBytes {
    /// They are part of a request.
    Buffered,
    /// They came after the last answer.
    Dropped,
    /// They came after the last answer, and are too many.
    TooMany,
}

/// A whole request, and how many bytes it had.
#[derive(Debug)]
pub(super) struct WholeRequest {
    pub(super) request: Request,
    pub(super) bytes: usize,
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct HttpServer {
    reader: RequestReader,
    flow: Flow,
    since: Micros,
    /// By which moment it is queued among those that may give their slot to a new client.
    pub(super) queued: Micros,
    requests: u64,
}

impl HttpServer {
    /// A connection that was just accepted.
    pub(super) fn new(now: Micros) -> Self {
        HttpServer {
            reader: RequestReader::default(),
            flow: Flow::Open,
            since: now,
            queued: now,
            requests: 0,
        }
    }

    /// How far the connection is in its life.
    pub(super) fn flow(&self) -> Flow {
        self.flow
    }

    /// Since when a request is on its way in, or the connection waits for one.
    pub(super) fn since(&self) -> Micros {
        self.since
    }

    ///  that came whole.
    pub(super) fn requests(&self) -> u64 {
        self.requests
    }

    /// Bytes of requests that are not whole, or not read yet.
    pub(super) fn partial_bytes(&self) -> usize {
        self.reader.len()
    }

    /// Whether part of a request has come.
    pub(super) fn has_partial_request(&self) -> bool {
        !self.reader.is_empty()
    }

    /// Its last answer has been given: what still comes is dropped.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.flow, Flow::Lingering(_))
    }

    /// What a full reader is sent waits with its peer.
    pub(super) fn wants_read(&self) -> bool {
        self.is_lingering() || !self.reader.is_full()
    }

    /// Bytes came.
    pub(super) fn receive(&mut self, bytes: &[u8], now: Micros) -> ReceivedBytes {
        match &mut self.flow {
            Flow::Lingering(left) if *left > bytes.len() => {
                *left -= bytes.len();
                ReceivedBytes::Dropped
            }
            Flow::Lingering(_) => ReceivedBytes::TooMany,
            Flow::Open | Flow::LastAnswer => {
                if self.reader.is_empty() && self.requests > 0 {
                    self.since = now;
                }
                self.reader.push(bytes);
                ReceivedBytes::Buffered
            }
        }
    }

    /// Takes the next request, if it is whole.
    ///
    /// # Errors
    /// What came is no request, and nothing behind it can be read.
    pub(super) fn take_request(&mut self, now: Micros) -> Result<Option<WholeRequest>, MessageError> {
        let before = self.reader.len();
        let Some(request) = self.reader.take()? else { return Ok(None) };
        self.requests += 1;
        self.since = now;
        if !request.keeps_alive {
            self.flow = Flow::LastAnswer;
        }
        Ok(Some(WholeRequest { request, bytes: before - self.reader.len() }))
    }

    /// An answer is given. Returns whether the connection stays open after it; while the process stops it
    /// does not.
    pub(super) fn start_answer(&mut self, is_stopping: bool, now: Micros) -> bool {
        if is_stopping && self.flow == Flow::Open {
            self.flow = Flow::LastAnswer;
        }
        self.since = now;
        self.flow == Flow::Open
    }

    /// Nothing more is read of the client. Returns how many bytes were dropped.
    pub(super) fn start_lingering(&mut self, now: Micros) -> usize {
        let dropped = self.reader.len();
        self.reader = RequestReader::default();
        self.flow = Flow::Lingering(MAX_LINGER_BYTES);
        self.since = now;
        dropped
    }
}
