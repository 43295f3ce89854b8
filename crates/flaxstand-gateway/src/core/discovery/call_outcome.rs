//! What the end of a polled call says of the discovery service.

use crate::machine::Micros;
use flaxstand::api::DiscoveryCall;

/// A response that can't be read comes from a service that works.
pub(super) const UNREADABLE_RESPONSE: DiscoveryCall = DiscoveryCall::Rejected { elapsed: 0.0 };

/// The outcome of a call by a status other than 200: the service works and is busy, or a proxy before it
/// found none.
pub(super) fn outcome_of_status(status: u16, elapsed: Micros) -> DiscoveryCall {
    match status {
        500 | 502 | 504 => DiscoveryCall::Unanswered,
        _ => DiscoveryCall::Rejected { elapsed: elapsed.ms() },
    }
}

/// Outcomes of the calls so far, as far as the next call depends on them.
#[derive(Debug, Default)]
pub(super) struct CallHistory {
    /// The last call was answered: the next one may wait for changes.
    pub(super) was_last_answered: bool,
    /// Calls in a row without a response.
    pub(super) consecutive_unanswered: usize,
}

impl CallHistory {
    /// A call was answered with a list.
    pub(super) fn record_success(&mut self) {
        self.was_last_answered = true;
        self.consecutive_unanswered = 0;
    }

    /// A call ended without a list. A rejection shows that the service is up: time-outs grow only without a
    /// response.
    pub(super) fn record_failure(&mut self, outcome: DiscoveryCall) {
        self.was_last_answered = false;
        if matches!(outcome, DiscoveryCall::Rejected { .. } | DiscoveryCall::Abandoned) {
            self.consecutive_unanswered = 0;
        } else {
            self.consecutive_unanswered += 1;
        }
    }
}
