//! Waits that the initiator advised in refusals.

use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Bounds the memory used for refused volumes.
const MAX_TRACKED_VOLUMES: usize = 4096;

/// Times before which no attempt may be sent, for all volumes or for one.
#[derive(Debug, Default)]
pub(crate) struct AdvisedWaits {
    all_until: Micros,
    volume_until: BTreeMap<u64, Micros>,
}

impl AdvisedWaits {
    /// Holds back all attempts until the given time, or until a later time set before.
    pub(crate) fn hold_all(&mut self, until: Micros) {
        self.all_until = self.all_until.max(until);
    }

    /// Holds back attempts for one volume until the given time, or until a later time set before.
    pub(crate) fn hold_volume(&mut self, volume: u64, until: Micros, now: Micros) {
        if self.volume_until.len() >= MAX_TRACKED_VOLUMES {
            self.volume_until.retain(|_, until| *until > now);
        }
        let has_capacity = self.volume_until.len() < MAX_TRACKED_VOLUMES;
        if has_capacity || self.volume_until.contains_key(&volume) {
            let held_until = self.volume_until.entry(volume).or_default();
            *held_until = until.max(*held_until);
        }
    }

    /// Earliest time at which an attempt for a volume may be sent.
    pub(crate) fn earliest_attempt(&self, volume: u64) -> Micros {
        let volume_until = self.volume_until.get(&volume).copied().unwrap_or_default();
        volume_until.max(self.all_until)
    }
}
