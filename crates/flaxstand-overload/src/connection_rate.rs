//! Rate limit for new client connections. After a restart hundreds of clients connect at once, and they must
//! not delay clients that are already connected. A token bucket admits some of them; the others get a
//! Retry-After.

use flaxstand_proto::Micros;

/// Lower bound of the rate, connections per second. Keeps a Retry-After finite.
const MIN_RATE: f64 = 1e-3;

/// Limits of a [`ConnectionRateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionRateLimit {
    /// Connections admitted per second.
    pub rate: f64,
    /// Size of the token bucket: connections admitted at once after an idle period.
    pub burst: f64,
    /// Longest Retry-After sent to a client.
    pub max_retry_after: Micros,
}

impl Default for ConnectionRateLimit {
    fn default() -> Self {
        ConnectionRateLimit { rate: 200.0, burst: 100.0, max_retry_after: Micros(5_000_000) }
    }
}

/// Token bucket for new client connections.
#[derive(Debug)]
pub struct ConnectionRateLimiter {
    limit: ConnectionRateLimit,
    tokens: f64,
    refilled_at: Micros,
    /// Rejected clients whose retry time has not come yet.
    pending_reconnects: f64,
}

impl ConnectionRateLimiter {
    /// Creates a limiter with a full bucket.
    pub fn new(limit: ConnectionRateLimit, now: Micros) -> Self {
        ConnectionRateLimiter { tokens: limit.burst, limit, refilled_at: now, pending_reconnects: 0.0 }
    }

    fn refill(&mut self, now: Micros) {
        let gained = self.limit.rate * now.since(self.refilled_at).ms() / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(self.limit.burst);
        self.pending_reconnects = (self.pending_reconnects - gained).max(0.0);
    }

    /// Decides on a new connection. Returns `None` if it is admitted, otherwise the Retry-After for the
    /// client.
    ///
    /// Each rejected client gets its own retry slot after those rejected before it, so that the retries are
    /// spread over the time that admitting them takes. `jitter`, uniform in 0 to 1, is the position within
    /// the slot.
    pub fn admit(&mut self, now: Micros, jitter: f64) -> Option<Micros> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        self.pending_reconnects += 1.0;
        let seconds = (self.pending_reconnects + jitter) / self.limit.rate.max(MIN_RATE);
        Some(Micros::from_ms(seconds * 1000.0).min(self.limit.max_retry_after))
    }
}
