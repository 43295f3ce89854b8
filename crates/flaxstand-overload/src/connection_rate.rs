//! How fast clients may connect. After a restart hundreds connect at once, and clients that are already
//! connected must not wait for them: a token bucket admits some, the others are told when to come back.

use flaxstand_proto::Micros;

/// Lower bound of the rate, so that a retry-after is finite. Connections a second.
const MIN_RATE: f64 = 1e-3;

/// Limits of a [`ConnectionRateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionRateLimit {
    /// Connections admitted a second.
    pub rate: f64,
    /// Connections admitted at once after a pause: the size of the token bucket.
    pub burst: f64,
    /// Longest retry-after that a client is told.
    pub max_retry_after: Micros,
}

impl Default for ConnectionRateLimit {
    fn default() -> Self {
        ConnectionRateLimit { rate: 200.0, burst: 100.0, max_retry_after: Micros(5_000_000) }
    }
}

/// Token bucket for new connections of clients.
#[derive(Debug)]
pub struct ConnectionRateLimiter {
    limit: ConnectionRateLimit,
    tokens: f64,
    refilled_at: Micros,
    /// Clients that were told to come back and whose turn is still to come.
    expected_returns: f64,
}

impl ConnectionRateLimiter {
    /// A limiter with a full bucket.
    pub fn new(limit: ConnectionRateLimit, now: Micros) -> Self {
        ConnectionRateLimiter { tokens: limit.burst, limit, refilled_at: now, expected_returns: 0.0 }
    }

    fn refill(&mut self, now: Micros) {
        let gained = self.limit.rate * now.since(self.refilled_at).ms() / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(self.limit.burst);
        self.expected_returns = (self.expected_returns - gained).max(0.0);
    }

    /// Decides on a new connection. `None`: it is admitted; otherwise the retry-after to tell the client.
    ///
    /// Each rejected client gets a turn of its own after those rejected before it, so that a crowd returns
    /// spread over the time that admitting it takes. `draw`, uniform in 0 to 1, spreads a client within its turn.
    pub fn admit(&mut self, now: Micros, draw: f64) -> Option<Micros> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        self.expected_returns += 1.0;
        let seconds = (self.expected_returns + draw) / self.limit.rate.max(MIN_RATE);
        Some(Micros::from_ms(seconds * 1000.0).min(self.limit.max_retry_after))
    }
}
