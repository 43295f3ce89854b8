//! How much a node that is warming up may be sent, over all initiators.
//!
//! A node's process has a part of its capacity at its start and the whole of it after `warm_up_time`. It
//! fails when all initiators together send it more than `overload_multiple` of its present capacity within
//! `slow_start_window`. Each initiator keeps to an even share of that.

use crate::api::{Millis, Settings};
use crate::estimates::FleetEstimates;
use crate::recent::RECENT_TIME;
use crate::service_time::mean_work;
use std::collections::VecDeque;

/// Share of the allowance that is used; the rest is for handshakes and for what a restarted initiator forgot.
const SLOW_START_SHARE: f64 = 0.7;
/// A restart that was inferred is believed for this multiple of [`RECENT_TIME`], plus the initiator's phase.
const INFERRED_RESTART_FACTOR: f64 = 0.5;

/// Units sent at a moment.
struct SentUnits {
    at: Millis,
    units: f64,
}

/// A restart that the endpoint list did not tell of.
#[derive(Default)]
struct InferredRestart {
    at: Millis,
    believed_until: Millis,
}

/// The warm-up of one node.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// When the list first named the process that runs now, or it was inferred to have started.
    noticed_at: Millis,
    inferred_restart: InferredRestart,
    /// What was sent within the slow-start window.
    recent: VecDeque<SentUnits>,
}

/// The node whose warm-up is asked about.
pub(crate) struct WarmingNode {
    /// When its process started, as the endpoint list has it.
    pub(crate) started_at: Option<Millis>,
    /// When this initiator last sent to it.
    pub(crate) last_sent_at: Millis,
    /// Its nominal size as a multiple of the mean.
    pub(crate) relative_size: f64,
}

impl SlowStart {
    /// For a process that the endpoint list names from now on.
    pub(crate) fn new(now: Millis) -> Self {
        SlowStart { noticed_at: now, ..SlowStart::default() }
    }

    /// Share of its capacity that the node has at least, 0 to 1.
    pub(crate) fn capacity_share(&self, started_at: Option<Millis>, settings: &Settings, now: Millis) -> f64 {
        let inferred = (now < self.inferred_restart.believed_until).then_some(self.inferred_restart.at);
        match inferred.or(started_at) {
            Some(start) if now < start + settings.warm_up_time => {
                let progress = (now - start).max(0.0) / settings.warm_up_time;
                settings.initial_capacity + (1.0 - settings.initial_capacity) * progress
            }
            _ => 1.0,
        }
    }

    /// Guards against overloading a node that is warming up: within each window this initiator sends its
    /// share. A request larger than the share waits as many windows as it fills shares, the first time from
    /// this initiator's phase on.
    pub(crate) fn allows(
        &self,
        units: f64,
        node: &WarmingNode,
        fleet: &FleetEstimates,
        settings: &Settings,
        now: Millis,
    ) -> bool {
        let capacity_share = self.capacity_share(node.started_at, settings, now);
        if capacity_share >= 1.0 || settings.slow_start_window <= 0.0 {
            return true;
        }
        let work = mean_work(units);
        let share = window_share(capacity_share, node, fleet, settings, now);
        let sent = self.sent_within(settings.slow_start_window, now);
        if sent + work <= share {
            return true;
        }
        let wait = settings.slow_start_window * work / share;
        let is_spaced = now >= node.last_sent_at + wait;
        let has_phase_passed = now >= self.noticed_at + fleet.phase * wait;
        is_spaced && has_phase_passed && sent == 0.0
    }

    /// Work sent within a window up to now, units.
    fn sent_within(&self, window: Millis, now: Millis) -> f64 {
        let within = self.recent.iter().filter(|sent| now - sent.at < window);
        within.map(|sent| mean_work(sent.units)).sum()
    }

    pub(crate) fn record_sent(&mut self, units: f64, window: Millis, now: Millis) {
        self.recent.push_back(SentUnits { at: now, units });
        self.recent.retain(|sent| now - sent.at < window);
    }

    /// Guards against overloading a node that was unresponsive and comes back cold before the list tells: all
    /// initiators hold requests for it, and their connections break at one moment.
    pub(crate) fn infer_restart(&mut self, phase: f64, now: Millis) {
        if now < self.inferred_restart.believed_until {
            return;
        }
        let believed_until = now + RECENT_TIME * (INFERRED_RESTART_FACTOR + phase);
        self.inferred_restart = InferredRestart { at: now, believed_until };
        self.noticed_at = now;
    }
}

/// Units that this initiator may send to a node within one window, at the pace of a usual node.
fn window_share(
    capacity_share: f64,
    node: &WarmingNode,
    fleet: &FleetEstimates,
    settings: &Settings,
    now: Millis,
) -> f64 {
    let window = settings.slow_start_window;
    let tolerated = (settings.overload_multiple * capacity_share * window / fleet.service_time)
        .max(settings.slow_start_min_units * mean_work(1.0));
    // What an earlier process of this host sent to the node is not known: the share grows over the first
    // window.
    let started_before_host = node.started_at.is_some_and(|at| at < fleet.started_at);
    let known = if started_before_host { ((now - fleet.started_at) / window).min(1.0) } else { 1.0 };
    known * SLOW_START_SHARE * tolerated * node.relative_size / fleet.initiators_per_node
}
