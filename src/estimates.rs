//! Fleet-wide estimates: service time, queue delay, and the ratio of actual to expected latency.
//!
//! With many initiators, each receives few samples per node, so estimates per node are completed by those of
//! the whole fleet.

use crate::api::{AttemptEnd, Millis, Outcome, Settings};
use crate::in_flight::InFlightAttempt;
use crate::loss_detection::RecentLosses;
use crate::recent::{RECENT_TIME, RecentSum};
use crate::service_time::NEW_SAMPLE_WEIGHT;
use flaxstand_index::{SortedSamples, lower_median};

/// Time after the last send to a node at which its queue delay is no longer reported, ms.
pub(crate) const QUEUE_DELAY_REPORT_TIMEOUT: Millis = 2.0 * RECENT_TIME;
/// Service time samples are capped at this multiple of the median, because a slow first response says little
/// about the service time.
const MAX_SAMPLE_TO_MEDIAN_RATIO: f64 = 2.0;
/// Cap on the ratio of actual to expected latency of one response.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Lower bound of the expected latency in that ratio, ms.
const MIN_EXPECTED_LATENCY: Millis = 1.0;
/// Recently sent units above which this initiator uses a node.
pub(crate) const IN_USE_UNITS: f64 = 0.1;

/// Aggregated reports of all nodes, input of [`FleetEstimates::refresh`].
pub(crate) struct NodeReports<'a> {
    /// Queue delays of nodes with recent sends, ms.
    pub(crate) queue_delays: Vec<Millis>,
    /// Service times of a unit at all nodes where it is known, ms.
    pub(crate) service_times: &'a SortedSamples,
    /// Number of serving nodes.
    pub(crate) serving: usize,
    /// Sum of the nominal sizes of the serving nodes.
    pub(crate) serving_size: f64,
    /// Number of serving nodes that this initiator uses.
    pub(crate) in_use: usize,
}

/// Estimates for a typical node and for the initiators that share the nodes.
#[derive(Default)]
pub(crate) struct FleetEstimates {
    /// The tightest latency objective of all classes, ms.
    pub(crate) latency_objective: Millis,
    /// Queue delay at a typical node, ms.
    pub(crate) queue_delay: Millis,
    /// Service time of a unit at a typical node without queueing, ms.
    pub(crate) service_time: Millis,
    /// Mean nominal size of the serving nodes.
    pub(crate) node_size: f64,
    /// Number of initiators that send to each node, including this one.
    pub(crate) initiators_per_node: f64,
    /// Random phase of this initiator, 0 to 1, so that initiators do not act simultaneously.
    pub(crate) phase: f64,
    /// When this initiator started.
    pub(crate) started_at: Millis,
    /// Recent losses of responses.
    pub(crate) losses: RecentLosses,
    /// Running mean of (latency / expected latency - 1); decays to 0.
    excess_latency: RecentSum,
}

impl FleetEstimates {
    /// Creates the estimates of an initiator that starts now and has sent nothing.
    pub(crate) fn new(settings: &Settings, phase: f64, now: Millis) -> Self {
        let latency_objective = settings.tightest_objective();
        FleetEstimates {
            latency_objective,
            // Until a request has been served, assume that a request of mean size takes a quarter of the
            // tightest objective.
            service_time: latency_objective / settings.mean_units.max(1.0) / 4.0,
            initiators_per_node: f64::from(settings.initiators),
            phase,
            started_at: now,
            ..FleetEstimates::default()
        }
    }

    /// Updates the estimates from the reports of the nodes. Assumes that every initiator uses the same share
    /// of the nodes as this one; shortly after the start, assumes that all initiators use every node.
    pub(crate) fn refresh(&mut self, reports: NodeReports<'_>, initiators: u32, now: Millis) {
        self.queue_delay = lower_median(reports.queue_delays.into_iter()).unwrap_or(0.0);
        let service_times = reports.service_times;
        if let Some(median) = service_times.nth(service_times.len() / 2) {
            let capped_mean = service_times.capped_mean(MAX_SAMPLE_TO_MEDIAN_RATIO * median);
            self.service_time = capped_mean.unwrap_or(median);
        }
        let serving = reports.serving.max(1) as f64;
        self.node_size = reports.serving_size / serving;
        let has_recently_started = now < self.started_at + QUEUE_DELAY_REPORT_TIMEOUT;
        let share_in_use = if has_recently_started { 1.0 } else { reports.in_use.max(1) as f64 / serving };
        self.initiators_per_node = 1.0 + share_in_use * f64::from(initiators.saturating_sub(1));
    }

    /// Updates loss detection and the latency ratio from the end of an attempt.
    pub(crate) fn record_attempt_end(
        &mut self,
        attempt: &InFlightAttempt,
        is_presumed_lost: bool,
        ended: &AttemptEnd,
        now: Millis,
    ) {
        let has_timed_out = ended.outcome == Outcome::TimedOut;
        let is_first = ended.attempt.0 == 0;
        if is_presumed_lost && is_first && (has_timed_out || ended.outcome == Outcome::Cancelled) {
            self.losses.record(now);
        }
        let was_queued = has_timed_out && attempt.overtaken_at.is_none() && !self.losses.are_frequent(now);
        if was_queued || ended.outcome == Outcome::Served {
            let ratio =
                (ended.latency / attempt.expected_latency.max(MIN_EXPECTED_LATENCY)).min(MAX_LATENCY_RATIO);
            self.excess_latency.add(NEW_SAMPLE_WEIGHT * (ratio - self.latency_ratio(now)), now);
        }
    }

    /// Returns the ratio of actual to expected latency.
    pub(crate) fn latency_ratio(&self, now: Millis) -> f64 {
        1.0 + self.excess_latency.get(now)
    }
}
