//! State of an HTTP/1.1 connection to a node: its current exchange, and matching of responses to it.

use super::pending_request::AttemptId;
use super::timers::ProbeId;
use crate::machine::Micros;
use flaxstand_http::{MessageError, Response, ResponseReader};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// A response is invalid if its head is incomplete this long after its first byte, or if its body makes no
/// progress for this long.
pub(super) const RESPONSE_STALL_TIMEOUT: Micros = Micros(250_000);
/// Time after a response within which a duplicate of it may arrive. During this time a connection is reused
/// only if no other is idle, and a response is treated as a duplicate if it equals the last one, head and
/// body, and its latency is less than half the lowest on this connection. Otherwise the duplicate would be
/// served as the response to another request.
const DUPLICATE_RESPONSE_WINDOW: Micros = Micros(20_000);

/// Request that a connection currently carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PooledExchange {
    Attempt(AttemptId),
    Probe(ProbeId),
}

/// The last complete response.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    at: Micros,
    fingerprint: u64,
}

/// Classification of a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseMatch {
    /// The response to this exchange, which has ended.
    Matched(PooledExchange),
    /// A duplicate of the last response.
    Duplicate,
    /// No request was outstanding.
    Unrequested,
}

/// Result of reading bytes of a response.
#[derive(Debug)]
pub(super) struct ReceivedPart {
    /// Buffered bytes of an incomplete response, before and after.
    pub(super) partial_bytes_before: usize,
    pub(super) partial_bytes_after: usize,
    /// These are the first bytes of the response.
    pub(super) is_first: bool,
    /// The response, if complete.
    pub(super) response: Result<Option<Response>, MessageError>,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct PooledConnection {
    reader: ResponseReader,
    exchange: Option<PooledExchange>,
    /// Last progress of the response (its first byte, or the last part of its body), or the start of the idle
    /// time.
    since: Micros,
    /// The connection was idle before the current exchange, none of which has been written.
    is_reused_unwritten: bool,
    /// The first byte of the current exchange was sent.
    is_sending: bool,
    requested_at: Micros,
    last_response: Option<LastResponse>,
    /// Lowest response latency on this connection.
    min_latency: Micros,
}

impl PooledConnection {
    /// Creates the state of a connection that is being opened for this exchange.
    pub(super) fn new(exchange: PooledExchange, now: Micros) -> Self {
        PooledConnection {
            reader: ResponseReader::default(),
            exchange: Some(exchange),
            since: now,
            is_reused_unwritten: false,
            is_sending: false,
            requested_at: now,
            last_response: None,
            min_latency: Micros(u64::MAX),
        }
    }

    /// Returns the current exchange.
    pub(super) fn exchange(&self) -> Option<PooledExchange> {
        self.exchange
    }

    /// Returns the buffered bytes of an incomplete response.
    pub(super) fn partial_bytes(&self) -> usize {
        self.reader.len()
    }

    /// Returns when the response last made progress, or since when the connection has been idle.
    pub(super) fn since(&self) -> Micros {
        self.since
    }

    /// Returns whether the connection was idle before the current exchange and none of that has been written.
    pub(super) fn is_reused_unwritten(&self) -> bool {
        self.is_reused_unwritten
    }

    /// Returns whether the first byte of the current exchange was sent.
    pub(super) fn is_sending(&self) -> bool {
        self.is_sending
    }

    /// Returns whether a duplicate of the last response can no longer arrive.
    pub(super) fn is_reuse_preferred(&self, now: Micros) -> bool {
        now.since(self.since) >= DUPLICATE_RESPONSE_WINDOW
    }

    /// Assigns an exchange to the idle connection. Returns since when it was idle.
    pub(super) fn reuse(&mut self, exchange: PooledExchange) -> Micros {
        self.exchange = Some(exchange);
        self.is_reused_unwritten = true;
        self.since
    }

    /// Records that the current exchange is written to the outbox.
    pub(super) fn start_request(&mut self, now: Micros) {
        self.requested_at = now;
        self.is_sending = false;
    }

    /// Records that bytes of the current exchange were sent.
    pub(super) fn record_sent(&mut self) {
        self.is_reused_unwritten = false;
        self.is_sending = true;
    }

    /// Ends the exchange; the connection becomes idle.
    pub(super) fn release(&mut self, now: Micros) {
        self.exchange = None;
        self.since = now;
    }

    /// Takes the exchange of a connection that is about to be closed.
    pub(super) fn take_exchange(&mut self) -> Option<PooledExchange> {
        self.exchange.take()
    }

    /// Reads bytes of a response.
    pub(super) fn receive(&mut self, bytes: &[u8], now: Micros) -> ReceivedPart {
        let is_first = self.reader.is_empty();
        let partial_bytes_before = self.reader.len();
        self.reader.push(bytes);
        let response = self.reader.take();
        if is_first || self.reader.in_body() {
            self.since = now;
        }
        ReceivedPart { partial_bytes_before, partial_bytes_after: self.reader.len(), is_first, response }
    }

    /// Handles the end of the peer's stream, which completes a response without a stated length.
    pub(super) fn finish(&mut self) -> Option<Response> {
        self.reader.end()
    }

    /// Returns the first bytes received, for the log.
    pub(super) fn response_prefix(&self) -> String {
        self.reader.received_prefix()
    }

    /// Matches a complete response to the current exchange, and detects duplicates of the last response.
    pub(super) fn match_response(&mut self, response: &Response, now: Micros) -> ResponseMatch {
        let Some(exchange) = self.exchange else { return ResponseMatch::Unrequested };
        let fingerprint = fingerprint(response);
        let latency = now.since(self.requested_at);
        let is_duplicate = |last: LastResponse| {
            now.since(last.at) < DUPLICATE_RESPONSE_WINDOW && last.fingerprint == fingerprint
        };
        if latency.0 < self.min_latency.0 / 2 && self.last_response.is_some_and(is_duplicate) {
            return ResponseMatch::Duplicate;
        }
        self.last_response = Some(LastResponse { at: now, fingerprint });
        self.min_latency = self.min_latency.min(latency);
        self.exchange = None;
        ResponseMatch::Matched(exchange)
    }

    /// Returns when a response in progress is considered stalled; `None` if no response is in progress.
    pub(super) fn stalls_at(&self) -> Option<Micros> {
        let has_begun = self.exchange.is_some() && !self.reader.is_empty();
        has_begun.then(|| self.since.after(RESPONSE_STALL_TIMEOUT))
    }
}

/// Hashes a response to recognise duplicates.
fn fingerprint(response: &Response) -> u64 {
    let mut hasher = DefaultHasher::new();
    response.hash(&mut hasher);
    hasher.finish()
}
