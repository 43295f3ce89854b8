//! The time that a request's own work takes at a node, without queueing.

use crate::api::Millis;

/// Weight of a new sample in running means.
pub(crate) const NEW_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample that raises a node's service time: queueing inflates samples, nothing deflates them.
const RISING_SAMPLE_WEIGHT: f64 = NEW_SAMPLE_WEIGHT / 100.0;
/// Share of its own service time by which a request may take longer without having queued.
pub(crate) const SERVICE_TIME_VARIATION: f64 = 0.5;

/// Mean work of a request that counts as `units`, in units: sizes are rounded up to whole units.
pub(crate) fn mean_work(units: f64) -> f64 {
    (units - 0.5).max(0.5)
}

/// The service time of a unit at one node without queueing, ms; none until something was served there.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServiceTime(Option<Millis>);

impl ServiceTime {
    /// What an earlier process of this host learnt, if anything.
    pub(crate) fn new(learnt: Option<Millis>) -> Self {
        ServiceTime(learnt)
    }

    /// What was learnt, ms.
    pub(crate) fn learnt(&self) -> Option<Millis> {
        self.0
    }

    /// The service time to reckon with, ms: never below that of a usual node.
    pub(crate) fn or_usual(&self, usual: Millis) -> Millis {
        self.0.map_or(usual, |learnt| learnt.max(usual))
    }

    /// Learns from an answer after `latency` ms; falls fast and rises slowly, as latency includes queueing.
    pub(crate) fn record(&mut self, latency: Millis, units: f64) {
        let sample = latency / mean_work(units);
        let is_lower = self.0.is_none_or(|learnt| sample < learnt);
        let weight = if is_lower { NEW_SAMPLE_WEIGHT } else { RISING_SAMPLE_WEIGHT };
        self.0 = Some(self.0.map_or(sample, |learnt| learnt + weight * (sample - learnt)));
    }
}
