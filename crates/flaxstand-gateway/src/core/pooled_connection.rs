//! State of an HTTP/1.1 connection to a node: its current exchange, and matching of responses to it.

use super::pending_request::AttemptId;
use super::timers::ProbeId;
use crate::machine::Micros;
use flaxstand_http::{MessageError, Response, ResponseReader};

/// A response is invalid if its head is incomplete this long after its first byte, or if its body makes no
/// progress for this long.
pub(super) const RESPONSE_STALL_TIMEOUT: Micros = Micros(250_000);
/// Longest delay of a duplicate of a response behind the response itself: some milliseconds at the node, and
/// as much again on the way. A connection is not reused within this time, since nothing in a duplicate tells
/// it from the response to the next request. On an idle connection, a duplicate closes the connection.
const MAX_DUPLICATE_DELAY: Micros = Micros(20_000);

/// Request that a connection currently carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PooledExchange {
    Attempt(AttemptId),
    Probe(ProbeId),
}

/// Result of reading bytes of a response.
#[derive(Debug)]
pub(super) struct ReceivedPart {
    /// These are the first bytes of the response.
    pub(super) is_first: bool,
    /// The response, if complete.
    pub(super) response: Result<Option<Response>, MessageError>,
}

/// An exchange that ended with a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompletedExchange {
    pub(super) exchange: PooledExchange,
    /// Time from the request to the response.
    pub(super) latency: Micros,
    /// Time from the previous response on this connection to the request.
    pub(super) idle_before: Option<Micros>,
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
    /// Time of the last complete response.
    responded_at: Option<Micros>,
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
            responded_at: None,
        }
    }

    /// Returns the current exchange.
    pub(super) fn exchange(&self) -> Option<PooledExchange> {
        self.exchange
    }

    /// Returns the memory of an incomplete response, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.reader.memory_bytes()
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

    /// Returns whether the connection may carry another exchange: no duplicate of the last response can arrive
    /// any more.
    pub(super) fn is_reusable(&self, now: Micros) -> bool {
        self.responded_at.is_none_or(|at| now.since(at) >= MAX_DUPLICATE_DELAY)
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
        self.reader.push(bytes);
        let response = self.reader.take();
        if is_first || self.reader.in_body() {
            self.since = now;
        }
        ReceivedPart { is_first, response }
    }

    /// Handles the end of the peer's stream, which completes a response without a stated length.
    pub(super) fn finish(&mut self) -> Option<Response> {
        self.reader.end()
    }

    /// Returns the first bytes received, for the log.
    pub(super) fn response_prefix(&self) -> String {
        self.reader.received_prefix()
    }

    /// Ends the current exchange with a complete response. Returns the exchange, if there is one.
    pub(super) fn complete_exchange(&mut self, now: Micros) -> Option<CompletedExchange> {
        let exchange = self.exchange.take()?;
        let idle_before = self.responded_at.map(|at| self.requested_at.since(at));
        self.responded_at = Some(now);
        Some(CompletedExchange { exchange, latency: now.since(self.requested_at), idle_before })
    }

    /// Returns when a response in progress is considered stalled; `None` if no response is in progress.
    pub(super) fn stalls_at(&self) -> Option<Micros> {
        let has_begun = self.exchange.is_some() && !self.reader.is_empty();
        has_begun.then(|| self.since.after(RESPONSE_STALL_TIMEOUT))
    }
}
