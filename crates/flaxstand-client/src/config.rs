//! Configuration of a client.

use flaxstand_proto::Micros;

/// Configuration of a client. All durations are in microseconds.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name shown in the initiator's log, at most 255 bytes.
    pub name: String,
    /// Id of the client, sent in its greeting.
    pub id: u64,
    /// Seed of the jitter. It must differ between clients: clients with the same seed draw the same waits, so
    /// the jitter would not prevent reconnect storms.
    pub seed: u64,
    /// Most requests in progress; any further request is abandoned immediately.
    pub max_requests_in_progress: usize,
    /// Upper bound of the wait before the first retry of a request; it doubles with each further retry.
    pub initial_retry_backoff: Micros,
    /// Maximum of that upper bound.
    pub max_retry_backoff: Micros,
    /// Retries allowed within `retry_budget_window` regardless of the number of requests.
    pub retry_budget_min_retries: f64,
    /// Additional retries allowed per request submitted within `retry_budget_window`.
    pub retry_budget_ratio: f64,
    /// Length of the window in which requests and retries count towards the retry budget.
    pub retry_budget_window: Micros,
    /// Minimum wait before a reconnect.
    pub min_reconnect_wait: Micros,
    /// Maximum wait before a reconnect, unless the initiator advises a longer one.
    pub max_reconnect_wait: Micros,
    /// Time within which a connection must be established, greeting included; it is closed otherwise.
    pub connect_timeout: Micros,
    /// An attempt is not sent with less time than this left before its deadline.
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
