//! Classification of ended polls of the discovery service.

use crate::machine::Micros;
use flaxstand::api::DiscoveryCall;

/// Outcome of a malformed response: the service is up.
pub(super) const MALFORMED_RESPONSE: DiscoveryCall = DiscoveryCall::Rejected { elapsed: 0.0 };

/// Maps a status other than 200 to an outcome: either the service is up but rejects the call, or a proxy
/// could not reach it.
pub(super) fn outcome_of_status(status: u16, elapsed: Micros) -> DiscoveryCall {
    match status {
        500 | 502 | 504 => DiscoveryCall::Unanswered,
        _ => DiscoveryCall::Rejected { elapsed: elapsed.ms() },
    }
}

/// Outcomes of previous calls that affect the next one.
#[derive(Debug, Default)]
pub(super) struct CallHistory {
    /// Whether the last call succeeded, so that the next one may wait for changes.
    pub(super) was_last_answered: bool,
    /// Number of consecutive calls without a response.
    pub(super) consecutive_unanswered: usize,
}

impl CallHistory {
    /// Records a call that returned a list.
    pub(super) fn record_success(&mut self) {
        self.was_last_answered = true;
        self.consecutive_unanswered = 0;
    }

    /// Records a call that ended without a list. A rejection shows that the service is up: only calls without
    /// a response increase the time-out.
    pub(super) fn record_failure(&mut self, outcome: DiscoveryCall) {
        self.was_last_answered = false;
        if matches!(outcome, DiscoveryCall::Rejected { .. } | DiscoveryCall::Abandoned) {
            self.consecutive_unanswered = 0;
        } else {
            self.consecutive_unanswered += 1;
        }
    }
}
