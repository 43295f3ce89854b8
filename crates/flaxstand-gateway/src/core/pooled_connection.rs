//! One HTTP/1.1 connection to a node: what it carries, and whether what comes on it answers that.

use super::pending_request::AttemptId;
use super::timers::ProbeId;
use crate::machine::Micros;
use flaxstand_http::{MessageError, Response, ResponseReader};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// The head of a response that is not whole this long after it began, or a body of which nothing more came
/// for this long, is invalid.
pub(super) const RESPONSE_STALL_TIMEOUT: Micros = Micros(250_000);
/// For this long after a response a second copy of it may follow. Until then a connection is used again only
/// if no other is idle, and what equals the last response, head and body, and came in less than half the time
/// that any took there, is taken for such a copy: served, it would be another request's response.
const DUPLICATE_RESPONSE_WINDOW: Micros = Micros(20_000);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PooledExchange {
    Attempt(AttemptId),
    Probe(ProbeId),
}

/// A response that came whole.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    at: Micros,
    fingerprint: u64,
}

/// What a whole response is to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseMatch {
    /// The response to this exchange, which has ended.
    ResponseReader(PooledExchange),
    /// The last response once more.
    Duplicate,
    /// Nothing was asked.
    Unrequested,
}

/// Bytes that were read, and the response if it is whole by now.
#[derive(Debug)]
pub(super) struct ReceivedPart {
    /// Bytes that were held before and are held now.
    pub(super) partial_bytes_before: usize,
    pub(super) partial_bytes_after: usize,
    /// Nothing of the response had come before.
    pub(super) is_first: bool,
    pub(super) response: Result<Option<Response>, MessageError>,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct PooledConnection {
    reader: ResponseReader,
    exchange: Option<PooledExchange>,
    /// When its response began, or in a body when it last went on; or when it fell idle.
    since: Micros,
    /// It was idle, and nothing has been written of what it carries now.
    is_reused_unwritten: bool,
    /// The first byte of what it carries was sent.
    is_sending: bool,
    asked_at: Micros,
    last_response: Option<LastResponse>,
    /// The shortest time that a response took.
    min_latency: Micros,
}

impl PooledConnection {
    /// A connection that is being opened for this.
    pub(super) fn new(exchange: PooledExchange, now: Micros) -> Self {
        PooledConnection {
            reader: ResponseReader::default(),
            exchange: Some(exchange),
            since: now,
            is_reused_unwritten: false,
            is_sending: false,
            asked_at: now,
            last_response: None,
            min_latency: Micros(u64::MAX),
        }
    }

    /// What it carries now.
    pub(super) fn exchange(&self) -> Option<PooledExchange> {
        self.exchange
    }

    /// Bytes of a response that is not whole yet.
    pub(super) fn partial_bytes(&self) -> usize {
        self.reader.len()
    }

    /// When its response last made progress; or since when it is idle.
    pub(super) fn since(&self) -> Micros {
        self.since
    }

    /// Whether it was idle, and nothing has been written of what it carries now.
    pub(super) fn is_reused_unwritten(&self) -> bool {
        self.is_reused_unwritten
    }

    /// Whether the first byte of what it carries was sent.
    pub(super) fn is_sending(&self) -> bool {
        self.is_sending
    }

    /// Whether no copy of its last response can follow any more.
    pub(super) fn is_reuse_preferred(&self, now: Micros) -> bool {
        now.since(self.since) >= DUPLICATE_RESPONSE_WINDOW
    }

    /// It carries this from now on. Returns since when it was idle.
    pub(super) fn reuse(&mut self, exchange: PooledExchange) -> Micros {
        self.exchange = Some(exchange);
        self.is_reused_unwritten = true;
        self.since
    }

    /// What it carries is put into its outbox.
    pub(super) fn start_request(&mut self, now: Micros) {
        self.asked_at = now;
        self.is_sending = false;
    }

    /// Bytes of what it carries were sent.
    pub(super) fn record_sent(&mut self) {
        self.is_reused_unwritten = false;
        self.is_sending = true;
    }

    /// It carries nothing from now on, and is idle.
    pub(super) fn release(&mut self, now: Micros) {
        self.exchange = None;
        self.since = now;
    }

    /// It carries nothing from now on, and is about to be closed.
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

    /// The peer ended its stream: a response that states no length is whole.
    pub(super) fn finish(&mut self) -> Option<Response> {
        self.reader.end()
    }

    /// The first bytes of what came, for the log.
    pub(super) fn response_beginning(&self) -> String {
        self.reader.received_prefix()
    }

    /// A response came whole. Guards against a second copy of the last one.
    pub(super) fn match_response(&mut self, response: &Response, now: Micros) -> ResponseMatch {
        let Some(exchange) = self.exchange else { return ResponseMatch::Unrequested };
        let fingerprint = fingerprint(response);
        let latency = now.since(self.asked_at);
        let is_copy = |last: LastResponse| {
            now.since(last.at) < DUPLICATE_RESPONSE_WINDOW && last.fingerprint == fingerprint
        };
        if latency.0 < self.min_latency.0 / 2 && self.last_response.is_some_and(is_copy) {
            return ResponseMatch::Duplicate;
        }
        self.last_response = Some(LastResponse { at: now, fingerprint });
        self.min_latency = self.min_latency.min(latency);
        self.exchange = None;
        ResponseMatch::ResponseReader(exchange)
    }

    /// When a response that has begun is invalid unless it makes progress; none: none has begun.
    pub(super) fn stalls_at(&self) -> Option<Micros> {
        let has_begun = self.exchange.is_some() && !self.reader.is_empty();
        has_begun.then(|| self.since.after(RESPONSE_STALL_TIMEOUT))
    }
}

/// Tells responses apart.
fn fingerprint(response: &Response) -> u64 {
    let mut hasher = DefaultHasher::new();
    response.hash(&mut hasher);
    hasher.finish()
}
