//! An attempt that is in flight at a node.

use crate::api::{AttemptNo, Millis, RequestId};
use crate::service_time::{SERVICE_TIME_VARIATION, mean_work};

/// An attempt that was sent and has not ended.
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNo,
    pub(crate) sent_at: Millis,
    /// Units of work that it counts as.
    pub(crate) units: f64,
    /// Latency that was expected when it was sent, ms.
    pub(crate) expected_latency: Millis,
    /// When the answer of an attempt or probe sent later arrived. Nodes begin work in the order of its
    /// arrival, so this attempt had begun by then.
    pub(crate) overtaken_at: Option<Millis>,
}

impl InFlightAttempt {
    /// The longest that it may take without queueing, ms, at a node that needs `service_time` ms a unit.
    pub(crate) fn max_service_time(&self, service_time: Millis) -> Millis {
        (1.0 + SERVICE_TIME_VARIATION) * (mean_work(self.units) * service_time)
    }

    pub(crate) fn is_overtaken(&self) -> bool {
        self.overtaken_at.is_some()
    }
}
