//! Server side of a client's HTTP/1.1 connection: received data and keep-alive state.

use crate::machine::Micros;
use flaxstand_http::{MessageError, Request, RequestReader};

/// Time after the last response within which the client must close the connection.
pub(super) const LINGER_TIMEOUT: Micros = Micros(500_000);
/// Bytes that are discarded, after the last request and again after the last response. Beyond it the connection
/// is not read, or closed.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Bytes behind an unanswered request beyond which the connection is not read.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;

/// Parts of a client's request that are forwarded to the node unchanged.
#[derive(Clone, Debug)]
pub(super) struct ForwardedHead {
    pub(super) method: &'static str,
    pub(super) target: String,
    pub(super) id: String,
    pub(super) key: Option<String>,
}

impl ForwardedHead {
    /// Returns its memory, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.target.len() + self.id.len() + self.key.as_ref().map_or(0, String::len)
    }
}

/// Keep-alive phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    Open,
    /// The connection ends after the response to the current request. Further input is discarded, up to this
    /// many bytes.
    Closing(usize),
    /// The last response was sent. Further input is discarded, up to this many bytes.
    Lingering(usize),
}

/// Disposition of received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceivedBytes {
    /// Buffered as part of a request.
    Buffered,
    /// Discarded, since the last request was taken.
    Discarded,
    /// Beyond the limit for input after the last response.
    TooMany,
}

/// State of a client's HTTP connection.
#[derive(Debug)]
pub(super) struct HttpServer {
    reader: RequestReader,
    phase: ConnectionPhase,
    since: Micros,
    /// Start of the wait under which the connection is queued in the eviction order; may be out of date.
    pub(super) queued_at: Micros,
    /// Time under which the connection is queued among those with an unread response, if it is.
    pub(super) unread_since: Option<Micros>,
    /// The next request that the client has already sent is processed in the next turn.
    pub(super) has_next_request: bool,
    /// Whether the driver was last told to read the connection.
    pub(super) is_read: bool,
    /// Time of the pending check for progress, if there is one.
    pub(super) stall_check_at: Option<Micros>,
    requests: u64,
}

/// What a client's connection waits for, within a time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientWait {
    /// The client has to read a response.
    UnreadResponse,
    /// The client has to close the connection after its last response.
    Close,
    /// The rest of a request has to come.
    PartialRequest,
    /// The first request has to come.
    FirstRequest,
}

impl HttpServer {
    /// Creates the state of a newly accepted connection.
    pub(super) fn new(now: Micros) -> Self {
        HttpServer {
            reader: RequestReader::default(),
            phase: ConnectionPhase::Open,
            since: now,
            queued_at: now,
            unread_since: None,
            has_next_request: false,
            is_read: true,
            stall_check_at: None,
            requests: 0,
        }
    }

    /// Returns the keep-alive phase.
    pub(super) fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Returns the time of the last change: request begun, request complete, response started or read in part, or
    /// lingering started.
    pub(super) fn since(&self) -> Micros {
        self.since
    }

    /// Records that the client has read a part of a response.
    pub(super) fn record_output_progress(&mut self, now: Micros) {
        self.since = now;
    }

    /// Returns what the connection waits for. `has_request`: a request is unanswered; `has_output`: a response is
    /// not written completely.
    pub(super) fn waits_for(&self, has_request: bool, has_output: bool) -> Option<ClientWait> {
        match self.phase {
            ConnectionPhase::Lingering(_) => Some(ClientWait::Close),
            _ if has_output => Some(ClientWait::UnreadResponse),
            // No other response may follow the one that closes the connection.
            ConnectionPhase::Closing(_) => None,
            ConnectionPhase::Open if has_request => None,
            ConnectionPhase::Open if self.has_partial_request() => Some(ClientWait::PartialRequest),
            ConnectionPhase::Open => (self.requests == 0).then_some(ClientWait::FirstRequest),
        }
    }

    /// Returns the number of complete requests received.
    pub(super) fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the memory of incomplete or unprocessed requests, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.reader.memory_bytes()
    }

    /// Returns whether part of a request is buffered.
    pub(super) fn has_partial_request(&self) -> bool {
        !self.reader.is_empty()
    }

    /// Returns whether the last response was sent and further input is discarded.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Lingering(_))
    }

    /// Returns whether more input can be accepted. Input beyond a full buffer stays with the peer, and while a request
    /// is unanswered (`is_busy`) or waits for its turn, all beyond a little read-ahead.
    pub(super) fn wants_read(&self, is_busy: bool) -> bool {
        match self.phase {
            ConnectionPhase::Open if is_busy || self.has_next_request => {
                self.reader.len() < MAX_READ_AHEAD_BYTES
            }
            ConnectionPhase::Open => !self.reader.is_full(),
            ConnectionPhase::Closing(left) => left > 0,
            ConnectionPhase::Lingering(_) => true,
        }
    }

    /// Handles received bytes.
    pub(super) fn receive(&mut self, bytes: &[u8], now: Micros) -> ReceivedBytes {
        match &mut self.phase {
            ConnectionPhase::Lingering(left) if *left > bytes.len() => {
                *left -= bytes.len();
                ReceivedBytes::Discarded
            }
            ConnectionPhase::Lingering(_) => ReceivedBytes::TooMany,
            ConnectionPhase::Closing(left) => {
                *left = left.saturating_sub(bytes.len());
                ReceivedBytes::Discarded
            }
            ConnectionPhase::Open => {
                if self.reader.is_empty() && self.requests > 0 {
                    self.since = now;
                }
                self.reader.push(bytes);
                ReceivedBytes::Buffered
            }
        }
    }

    /// Takes the next request, if it is complete.
    ///
    /// # Errors
    /// The input is not a valid request; nothing after it can be parsed.
    pub(super) fn take_request(&mut self, now: Micros) -> Result<Option<Request>, MessageError> {
        let Some(request) = self.reader.take()? else { return Ok(None) };
        self.requests += 1;
        self.since = now;
        if !request.keeps_alive {
            self.close_after_response();
        }
        Ok(Some(request))
    }

    /// Starts a response. Returns whether the connection stays open after it; not while the process is
    /// stopping.
    pub(super) fn start_response(&mut self, is_stopping: bool, now: Micros) -> bool {
        if is_stopping && self.phase == ConnectionPhase::Open {
            self.phase = ConnectionPhase::Closing(MAX_DISCARDED_BYTES);
        }
        self.since = now;
        self.phase == ConnectionPhase::Open
    }

    /// Makes the response to the current request the last one, and discards all further input.
    pub(super) fn close_after_response(&mut self) {
        self.phase = ConnectionPhase::Closing(MAX_DISCARDED_BYTES);
        self.discard_buffered();
    }

    /// Discards all further input of the client.
    pub(super) fn start_lingering(&mut self, now: Micros) {
        self.phase = ConnectionPhase::Lingering(MAX_DISCARDED_BYTES);
        self.since = now;
        self.discard_buffered();
    }

    fn discard_buffered(&mut self) {
        self.reader = RequestReader::default();
    }
}
