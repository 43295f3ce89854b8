//! Slow start: limits the load that all initiators together send to a node during its warm-up.
//!
//! A node process starts with a share of its capacity and reaches full capacity after `warm_up_time`. It
//! fails if all initiators together send it more than `overload_multiple` of its current capacity within
//! `slow_start_window`. Each initiator is limited to an even share of that load.

use crate::api::{Millis, Settings};
use crate::estimates::FleetEstimates;
use crate::recent::RECENT_TIME;
use crate::service_time::mean_work;
use std::collections::VecDeque;

/// Share of the tolerated load that is used. The remainder covers handshakes and sends that a restarted
/// initiator has no record of.
const SLOW_START_SHARE: f64 = 0.7;
/// Time for which an inferred restart is assumed, as a multiple of [`RECENT_TIME`], plus the phase of the
/// initiator.
const INFERRED_RESTART_FACTOR: f64 = 0.5;

/// Units sent at one time.
struct SentUnits {
    at: Millis,
    units: f64,
}

/// A restart that was inferred before the endpoint list reported it.
#[derive(Default)]
struct InferredRestart {
    at: Millis,
    assumed_until: Millis,
}

/// Warm-up state of one node.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// When the list first contained the current process, or its start was inferred.
    first_seen_at: Millis,
    inferred_restart: InferredRestart,
    /// Sends within the slow-start window.
    recent: VecDeque<SentUnits>,
}

/// Properties of the node that is checked.
pub(crate) struct WarmingNode {
    /// When its process started, according to the endpoint list.
    pub(crate) started_at: Option<Millis>,
    /// When this initiator last sent to the node.
    pub(crate) last_sent_at: Millis,
    /// Its nominal size relative to the mean.
    pub(crate) relative_size: f64,
}

impl SlowStart {
    /// Creates the state of a process that is listed from now on.
    pub(crate) fn new(now: Millis) -> Self {
        SlowStart { first_seen_at: now, ..SlowStart::default() }
    }

    /// Returns the minimum share of its capacity that the node has, 0 to 1.
    pub(crate) fn capacity_share(&self, started_at: Option<Millis>, settings: &Settings, now: Millis) -> f64 {
        let inferred = (now < self.inferred_restart.assumed_until).then_some(self.inferred_restart.at);
        match inferred.or(started_at) {
            Some(start) if now < start + settings.warm_up_time => {
                let progress = (now - start).max(0.0) / settings.warm_up_time;
                settings.initial_capacity + (1.0 - settings.initial_capacity) * progress
            }
            _ => 1.0,
        }
    }

    /// Returns whether a request may be sent. Guards against overloading a node that is warming up: this
    /// initiator sends at most its share per window. A request of `n` shares is sent alone, at least `n`
    /// windows after the last send. It also waits until a part of these `n` windows, given by the phase of
    /// this initiator, has passed since the process was first seen, so that initiators do not start at once.
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
        let has_phase_passed = now >= self.first_seen_at + fleet.phase * wait;
        is_spaced && has_phase_passed && sent == 0.0
    }

    /// Returns the work sent within a window up to now, in units.
    fn sent_within(&self, window: Millis, now: Millis) -> f64 {
        let within = self.recent.iter().filter(|sent| now - sent.at < window);
        within.map(|sent| mean_work(sent.units)).sum()
    }

    pub(crate) fn record_sent(&mut self, units: f64, window: Millis, now: Millis) {
        self.recent.push_back(SentUnits { at: now, units });
        self.recent.retain(|sent| now - sent.at < window);
    }

    /// Assumes a restart of a node that was unresponsive. Guards against overloading it when it comes back
    /// cold before the list reports it: all initiators hold requests for it, and their connections break at
    /// the same time.
    pub(crate) fn infer_restart(&mut self, phase: f64, now: Millis) {
        if now < self.inferred_restart.assumed_until {
            return;
        }
        let assumed_until = now + RECENT_TIME * (INFERRED_RESTART_FACTOR + phase);
        self.inferred_restart = InferredRestart { at: now, assumed_until };
        self.first_seen_at = now;
    }
}

/// Returns the units that this initiator may send to a node within one window, at the service time of a
/// typical node.
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
    // Sends by an earlier process of this host are unknown, so the share grows over the first window.
    let started_before_host = node.started_at.is_some_and(|at| at < fleet.started_at);
    let elapsed_share = if started_before_host { ((now - fleet.started_at) / window).min(1.0) } else { 1.0 };
    elapsed_share * SLOW_START_SHARE * tolerated * node.relative_size / fleet.initiators_per_node
}
