//! An attempt that is in flight at a node.

use crate::api::{AttemptNo, Millis, RequestId};
use crate::service_time::{SERVICE_TIME_VARIATION, mean_work};

/// An attempt that was sent and has not ended.
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNo,
    pub(crate) sent_at: Millis,
    /// Its cost in units of work.
    pub(crate) units: f64,
    /// Expected latency at the time of sending, ms.
    pub(crate) expected_latency: Millis,
    /// When the response to an attempt or probe that was sent later arrived. Nodes start work in order of
    /// arrival, so this attempt had been started by then.
    pub(crate) overtaken_at: Option<Millis>,
}

impl InFlightAttempt {
    /// Returns the longest plausible latency without queueing, ms, at a service time of `service_time` ms per
    /// unit.
    pub(crate) fn max_service_time(&self, service_time: Millis) -> Millis {
        (1.0 + SERVICE_TIME_VARIATION) * (mean_work(self.units) * service_time)
    }

    pub(crate) fn is_overtaken(&self) -> bool {
        self.overtaken_at.is_some()
    }
}
