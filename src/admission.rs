//! What a volume may send: its reserve, its limit, and the weight of what goes beyond the reserve.
//!
//! The rates of a volume's plan count over all initiators; an even part is this initiator's. A request that
//! the limit holds for too long is rejected; `deadlines` has the moment and the answer.

use crate::api::{Arrival, Millis, PlanId, Settings, VolumeId};
use crate::recent::{RECENT_TIME, RecentSum};
use std::collections::BTreeMap;

/// Rates are stated a second, times in milliseconds.
const MILLIS_PER_SECOND: Millis = 1000.0;

/// The quota of one volume at this initiator.
pub(crate) struct VolumeQuota {
    pub(crate) plan: PlanId,
    /// Initiators that share the volume.
    initiators: f64,
    /// Units that still have full weight.
    reserve: f64,
    /// Tokens of the limit's bucket, units.
    limit_tokens: f64,
    refilled_at: Millis,
    /// Units sent beyond the reserve recently.
    recent_over_reserve: RecentSum,
}

impl VolumeQuota {
    /// For a volume that was not heard of before. The limit's bucket is empty when this initiator starts,
    /// since what it sent before a restart is not known.
    fn new(plan: PlanId, settings: &Settings, started_at: Millis) -> Self {
        VolumeQuota {
            plan,
            initiators: 1.0,
            reserve: settings.max_units,
            limit_tokens: 0.0,
            refilled_at: started_at,
            recent_over_reserve: RecentSum::default(),
        }
    }

    /// Refills reserve and limit up to now.
    fn refill(&mut self, settings: &Settings, now: Millis) {
        let reserve_rate = settings.plans[self.plan.0].reserve_rate / self.initiators;
        let refilled = self.reserve + reserve_rate * (now - self.refilled_at) / MILLIS_PER_SECOND;
        self.reserve = refilled.min(reserve_rate + settings.max_units);
        self.limit_tokens = self.tokens_at(settings, now);
        self.refilled_at = now;
    }

    /// Tokens in the limit's bucket at a moment, units, if nothing is sent until then.
    fn tokens_at(&self, settings: &Settings, at: Millis) -> f64 {
        let plan = &settings.plans[self.plan.0];
        if plan.limit_rate <= 0.0 {
            return f64::INFINITY;
        }
        let elapsed = (at - self.refilled_at).max(0.0);
        let filled = self.limit_tokens + plan.limit_rate / self.initiators * elapsed / MILLIS_PER_SECOND;
        filled.min(plan.limit_burst / self.initiators)
    }

    /// Guards the volume's limit: whether a request's first attempt may be sent at a moment.
    pub(crate) fn limit_allows(&self, units: f64, settings: &Settings, at: Millis) -> bool {
        self.tokens_at(settings, at) >= units
    }

    /// Units of the reserve that are left.
    pub(crate) fn reserve(&self) -> f64 {
        self.reserve
    }

    /// Takes a request's units when its first attempt is sent. Retries take none.
    fn take(&mut self, units: f64, now: Millis) {
        self.limit_tokens -= units;
        if self.reserve >= units {
            self.reserve -= units;
        } else {
            self.recent_over_reserve.add(units, now);
        }
    }

    /// Weight of a unit that is `units_over` units beyond the reserve: that of the volume's share as long as
    /// it takes no more than it is sized for, then falling to that of spare capacity.
    pub(crate) fn over_reserve_weight(&self, units_over: f64, settings: &Settings, now: Millis) -> f64 {
        let sized_for = settings.plans[self.plan.0].base_rate * RECENT_TIME / MILLIS_PER_SECOND;
        let recent = self.recent_over_reserve.get(now) + units_over;
        let within_share = (sized_for / recent.max(sized_for)).min(1.0);
        settings.spare_weight + (settings.shared_weight - settings.spare_weight) * within_share
    }
}

/// The quotas of all volumes. One is made when a volume's first request arrives, and stays.
#[derive(Default)]
pub(crate) struct VolumeQuotas(BTreeMap<VolumeId, VolumeQuota>);

impl VolumeQuotas {
    /// Makes the quota of an arrival's volume if there is none, and notes how many initiators share it.
    pub(crate) fn register(&mut self, arrival: &Arrival, settings: &Settings, started_at: Millis) {
        let new_quota = || VolumeQuota::new(arrival.plan, settings, started_at);
        let quota = self.0.entry(arrival.volume).or_insert_with(new_quota);
        quota.initiators = quota.initiators.max(f64::from(arrival.volume_initiators));
    }

    /// The quota of a volume that a request of this scheduler names.
    pub(crate) fn of(&self, volume: VolumeId) -> &VolumeQuota {
        self.0.get(&volume).expect("a volume is registered when its request arrives, and stays")
    }

    /// Takes a request's units when its first attempt is sent.
    pub(crate) fn take(&mut self, volume: VolumeId, units: f64, now: Millis) {
        if let Some(quota) = self.0.get_mut(&volume) {
            quota.take(units, now);
        }
    }

    pub(crate) fn refill(&mut self, settings: &Settings, now: Millis) {
        self.0.values_mut().for_each(|quota| quota.refill(settings, now));
    }
}
