//! Configuration of a client.

use flaxstand_proto::Micros;

/// How a client behaves. All durations are in microseconds.
#[derive(Clone, Debug)]
pub struct Config {
    /// A name for the initiator's log, at most 255 bytes.
    pub name: String,
    /// The client's own number, sent in its greeting.
    pub id: u64,
    /// Seed of the jitter. Guards against reconnect storms only if it differs between clients: those of one
    /// seed draw the same waits.
    pub seed: u64,
    /// Requests that may be in progress; a further one is abandoned at once.
    pub max_requests_in_progress: usize,
    /// Upper end of the jitter before the first retry of a request; it doubles with each further retry.
    pub initial_retry_backoff: Micros,
    /// Largest upper end of that jitter.
    pub max_retry_backoff: Micros,
    /// Retries allowed within `retry_budget_window`, however few requests there are.
    pub retry_budget_min_retries: f64,
    /// Further retries allowed for each request submitted within `retry_budget_window`.
    pub retry_budget_ratio: f64,
    /// How long a request or a retry counts in the retry budget.
    pub retry_budget_window: Micros,
    /// Shortest wait before a reconnect.
    pub min_reconnect_wait: Micros,
    /// Longest wait before a reconnect, unless the initiator asks for a longer one.
    pub max_reconnect_wait: Micros,
    /// A connection that is not established, greeting included, within this time is closed.
    pub connect_timeout: Micros,
    /// An attempt with less time than this left before its deadline is not sent.
    pub min_attempt_time: Micros,
}

impl Default for Config {
    fn default() -> Self {
        let milliseconds = |count: u64| Micros(count * 1000);
        Config {
            name: "client".into(),
            id: 0,
            seed: 0,
            max_requests_in_progress: 10_000,
            initial_retry_backoff: milliseconds(20),
            max_retry_backoff: milliseconds(1000),
            retry_budget_min_retries: 3.0,
            retry_budget_ratio: 0.2,
            retry_budget_window: milliseconds(10_000),
            min_reconnect_wait: milliseconds(50),
            max_reconnect_wait: milliseconds(5000),
            connect_timeout: milliseconds(1000),
            min_attempt_time: milliseconds(20),
        }
    }
}
