//! What the nodes show together: service time, queue delay, and by how much latencies exceed what was
//! expected.
//!
//! An initiator of many hears from each node seldom, so what one node shows is completed by what all show.

use crate::api::{AttemptEnd, Millis, Outcome, Settings};
use crate::in_flight::InFlightAttempt;
use crate::loss_detection::RecentLosses;
use crate::recent::{RECENT_TIME, RecentSum};
use crate::service_time::NEW_SAMPLE_WEIGHT;
use flaxstand_index::{SortedSamples, lower_median};

/// After this without a send to a node its queue delay is no longer reported, ms.
pub(crate) const REPORTED_FOR: Millis = 2.0 * RECENT_TIME;
/// Samples of service time count as no more than this multiple of the median: a late first answer tells
/// little.
const MAX_SAMPLE_TO_MEDIAN: f64 = 2.0;
/// The most that one latency counts, as a multiple of the latency expected.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Expected latencies count as no less than this, ms, when latencies are compared with them.
const MIN_EXPECTED_LATENCY: Millis = 1.0;
/// Units sent recently from which a node counts as in use by this initiator.
pub(crate) const IN_USE_UNITS: f64 = 0.1;

/// What the nodes report at one moment, for [`FleetEstimates::refresh`].
pub(crate) struct NodeReports<'a> {
    /// Queue delays of the nodes that were sent something recently, ms.
    pub(crate) queue_delays: Vec<Millis>,
    /// Service times of a unit at all nodes where one is known, ms.
    pub(crate) service_times: &'a SortedSamples,
    /// Nodes that take work.
    pub(crate) serving: usize,
    /// Sum of their nominal sizes.
    pub(crate) serving_size: f64,
    /// Those of them that this initiator uses.
    pub(crate) in_use: usize,
}

/// What is known of a usual node, and of the initiators that share the nodes.
#[derive(Default)]
pub(crate) struct FleetEstimates {
    /// The tightest latency objective of a class, ms.
    pub(crate) latency_objective: Millis,
    /// Queue delay at a usual node, ms.
    pub(crate) queue_delay: Millis,
    /// Service time of a unit at a usual node without queueing, ms.
    pub(crate) service_time: Millis,
    /// Mean nominal size of the nodes that take work.
    pub(crate) node_size: f64,
    /// Initiators that send to one node, this one included.
    pub(crate) initiators_per_node: f64,
    /// This initiator's place in time among all, drawn from 0 to 1, so that they don't act at one moment.
    pub(crate) phase: f64,
    /// When this initiator started.
    pub(crate) started_at: Millis,
    /// Answers that were lost recently.
    pub(crate) losses: RecentLosses,
    /// Running mean of (latency / expected latency - 1); fades to none.
    excess_latency: RecentSum,
}

impl FleetEstimates {
    /// For an initiator that starts now and has sent nothing.
    pub(crate) fn new(settings: &Settings, phase: f64, now: Millis) -> Self {
        let latency_objective = settings.tightest_objective();
        FleetEstimates {
            latency_objective,
            // A request of mean size takes a quarter of the tightest objective, until something was served.
            service_time: latency_objective / settings.mean_units.max(1.0) / 4.0,
            initiators_per_node: f64::from(settings.initiators),
            phase,
            started_at: now,
            ..FleetEstimates::default()
        }
    }

    /// Takes in what the nodes report. An initiator that uses a part of the nodes takes it that as large a
    /// part of the others uses each node; shortly after its start it counts all.
    pub(crate) fn refresh(&mut self, reports: NodeReports<'_>, initiators: u32, now: Millis) {
        self.queue_delay = lower_median(reports.queue_delays.into_iter()).unwrap_or(0.0);
        let service_times = reports.service_times;
        if let Some(median) = service_times.nth(service_times.len() / 2) {
            let capped_mean = service_times.capped_mean(MAX_SAMPLE_TO_MEDIAN * median);
            self.service_time = capped_mean.unwrap_or(median);
        }
        let serving = reports.serving.max(1) as f64;
        self.node_size = reports.serving_size / serving;
        let has_just_started = now < self.started_at + REPORTED_FOR;
        let share_in_use = if has_just_started { 1.0 } else { reports.in_use.max(1) as f64 / serving };
        self.initiators_per_node = 1.0 + share_in_use * f64::from(initiators.saturating_sub(1));
    }

    /// Learns from an attempt's end: whether answers get lost, and latency against what was expected.
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

    /// Latencies as a multiple of what was expected of them.
    pub(crate) fn latency_ratio(&self, now: Millis) -> f64 {
        1.0 + self.excess_latency.get(now)
    }
}
