//! Recovery of service after faults. Service is computed per second of the operations' first try: the
//! weight of the operations served in time, divided by the weight of all operations.

use crate::day::{Day, FaultKind};
use crate::report::Operation;
use serde::Serialize;
use std::collections::BTreeMap;

/// Consecutive seconds at or above the threshold after which service counts as recovered.
const STABLE_SECONDS: usize = 3;
/// Threshold of recovery, as a share of the service before the faults.
const RECOVERED_SHARE: f64 = 0.95;

/// Service before, during and after faults.
#[derive(Clone, Debug, Serialize)]
pub struct Recovery {
    /// Mean service before the first fault.
    pub before: f64,
    /// Lowest service of any second from the first fault on.
    pub least: f64,
    /// Seconds from when the last node was warm until service reached 0.95 of its former value for three
    /// consecutive seconds; negative if that was earlier. None: it was not reached.
    pub back_after: Option<f64>,
    /// Mean service from the first fault until the end of the day.
    pub since: f64,
    /// Service of each second.
    pub seconds: Vec<f64>,
}

/// Computes service by second and the recovery time. Returns none if there are no operations.
pub(crate) fn recovery(day: &Day, operations: &BTreeMap<u64, Operation>) -> Option<Recovery> {
    let first = day.faults.iter().map(|f| f.at).fold(f64::INFINITY, f64::min);
    let cold = day.site.site.settings.warm_up_time / 1000.0;
    let warm = |f: &crate::day::Fault| match f.kind {
        FaultKind::Crash | FaultKind::Replace => f.at + f.length + cold,
        _ => f.at + f.length,
    };
    let warm = day.faults.iter().map(warm).fold(0.0, f64::max);
    let start = operations.values().map(|o| o.first).min()?;
    let mut bins: Vec<(f64, f64)> = Vec::new();
    for o in operations.values() {
        let class = &day.site.site.settings.classes[usize::from(o.class)];
        let bin = ((o.first - start) / 1_000_000) as usize;
        bins.resize(bins.len().max(bin + 1), (0.0, 0.0));
        bins[bin].1 += class.priority_weight;
        let in_time = |at: u64| at.saturating_sub(o.first) as f64 <= class.latency_objective * 1000.0;
        if o.served.is_some_and(in_time) {
            bins[bin].0 += class.priority_weight;
        }
    }
    let seconds: Vec<f64> = bins.iter().map(|(got, wanted)| got / wanted.max(1e-9)).collect();
    let mean = |s: &[f64]| s.iter().sum::<f64>() / s.len().max(1) as f64;
    let from = (first as usize).min(seconds.len());
    let before = mean(&seconds[..from]);
    let recovered = |s: &[f64]| s.iter().all(|s| *s >= RECOVERED_SHARE * before);
    // The search starts only once the nodes have been restarted.
    let from_warm = (warm - cold).max(first) as usize;
    let back = (from_warm..seconds.len().saturating_sub(STABLE_SECONDS - 1))
        .find(|at| recovered(&seconds[*at..at + STABLE_SECONDS]));
    Some(Recovery {
        before,
        least: seconds[from..].iter().copied().fold(1.0, f64::min),
        back_after: back.map(|at| at as f64 - warm),
        since: mean(&seconds[from..]),
        seconds,
    })
}
