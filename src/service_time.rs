//! Estimation of the service time of a request at a node, without queueing.

use crate::api::Millis;

/// Weight of a new sample in running means.
pub(crate) const NEW_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample that raises the service time of a node. It is low because queueing inflates samples and
/// nothing deflates them.
const RISING_SAMPLE_WEIGHT: f64 = NEW_SAMPLE_WEIGHT / 100.0;
/// Share of its expected service time by which a request may exceed it without having queued.
pub(crate) const SERVICE_TIME_VARIATION: f64 = 0.5;

/// Returns the mean actual work of a request of `units` units. Sizes are rounded up to whole units.
pub(crate) fn mean_work(units: f64) -> f64 {
    (units - 0.5).max(0.5)
}

/// Service time of a unit at one node without queueing, ms; `None` until a request was served there.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServiceTime(Option<Millis>);

impl ServiceTime {
    /// Creates an estimate from the value measured by an earlier process of this host, if any.
    pub(crate) fn new(measured: Option<Millis>) -> Self {
        ServiceTime(measured)
    }

    /// Returns the measured value, ms.
    pub(crate) fn measured(&self) -> Option<Millis> {
        self.0
    }

    /// Returns the service time to assume, ms: at least that of a typical node.
    pub(crate) fn or_typical(&self, typical: Millis) -> Millis {
        self.0.map_or(typical, |measured| measured.max(typical))
    }

    /// Updates the estimate from a response after `latency` ms. It falls fast and rises slowly, because
    /// latency includes queueing.
    pub(crate) fn record(&mut self, latency: Millis, units: f64) {
        let sample = latency / mean_work(units);
        let is_lower = self.0.is_none_or(|measured| sample < measured);
        let weight = if is_lower { NEW_SAMPLE_WEIGHT } else { RISING_SAMPLE_WEIGHT };
        self.0 = Some(self.0.map_or(sample, |measured| measured + weight * (sample - measured)));
    }
}
