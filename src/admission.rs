//! Admission control per volume: reserve, rate limit, and the weight of traffic beyond the reserve.
//!
//! The rates of a plan apply to a volume across all initiators; each initiator enforces an even share. A
//! request that the limit would hold for too long is rejected; see `deadlines` for when and how.

use crate::api::{Arrival, Millis, PlanId, Settings, VolumeId};
use crate::recent::{RECENT_TIME, RecentSum};
use std::collections::BTreeMap;

/// Rates are per second, times are in milliseconds.
const MILLIS_PER_SECOND: Millis = 1000.0;

/// Recent units beyond the reserve that no longer weigh on a decision.
const NEGLIGIBLE_UNITS: f64 = 0.01;
/// Number of volumes up to which all quotas are kept.
const MAX_IDLE_VOLUMES: usize = 4096;

/// The quota of one volume at this initiator.
pub(crate) struct VolumeQuota {
    pub(crate) plan: PlanId,
    /// Initiators that share the volume.
    initiators: f64,
    /// Units available at full weight.
    reserve: f64,
    /// Tokens in the bucket of the rate limit, units.
    limit_tokens: f64,
    refilled_at: Millis,
    /// Units sent beyond the reserve recently.
    recent_over_reserve: RecentSum,
}

impl VolumeQuota {
    /// Creates the quota of a new volume. The token bucket starts empty as of the start of this initiator,
    /// since traffic sent before a restart is unknown.
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

    /// Refills the reserve and the token bucket up to `now`.
    fn refill(&mut self, settings: &Settings, now: Millis) {
        let reserve_rate = settings.plans[self.plan.0].reserve_rate / self.initiators;
        let refilled = self.reserve + reserve_rate * (now - self.refilled_at) / MILLIS_PER_SECOND;
        self.reserve = refilled.min(reserve_rate + settings.max_units);
        self.limit_tokens = self.tokens_at(settings, now);
        self.refilled_at = now;
    }

    /// Returns whether it is as that of a new volume would be now: reserve and tokens are as full, and
    /// nothing was sent beyond the reserve recently.
    fn is_as_new(&self, settings: &Settings, started_at: Millis, now: Millis) -> bool {
        if self.recent_over_reserve.get(now) > NEGLIGIBLE_UNITS {
            return false;
        }
        let mut new = VolumeQuota::new(self.plan, settings, started_at);
        new.initiators = self.initiators;
        new.refill(settings, now);
        self.reserve >= new.reserve && self.limit_tokens >= new.limit_tokens
    }

    /// Returns the tokens in the bucket at `at`, units, if nothing is sent until then.
    fn tokens_at(&self, settings: &Settings, at: Millis) -> f64 {
        let plan = &settings.plans[self.plan.0];
        if plan.limit_rate <= 0.0 {
            return f64::INFINITY;
        }
        let elapsed = (at - self.refilled_at).max(0.0);
        let filled = self.limit_tokens + plan.limit_rate / self.initiators * elapsed / MILLIS_PER_SECOND;
        filled.min(plan.limit_burst / self.initiators)
    }

    /// Enforces the rate limit of the volume: returns whether the first attempt of a request may be sent at
    /// `at`.
    pub(crate) fn limit_allows(&self, units: f64, settings: &Settings, at: Millis) -> bool {
        self.tokens_at(settings, at) >= units
    }

    /// Returns the remaining reserve, units.
    pub(crate) fn reserve(&self) -> f64 {
        self.reserve
    }

    /// Consumes the units of a request when its first attempt is sent. Retries consume none.
    fn take(&mut self, units: f64, now: Millis) {
        self.limit_tokens -= units;
        if self.reserve >= units {
            self.reserve -= units;
        } else {
            self.recent_over_reserve.add(units, now);
        }
    }

    /// Returns the weight of a unit that is `units_over` units beyond the reserve. It equals `shared_weight`
    /// while the recent traffic of the volume is within its base rate, then falls towards `spare_weight`.
    pub(crate) fn over_reserve_weight(&self, units_over: f64, settings: &Settings, now: Millis) -> f64 {
        let base_units = settings.plans[self.plan.0].base_rate * RECENT_TIME / MILLIS_PER_SECOND;
        let recent = self.recent_over_reserve.get(now) + units_over;
        let base_share = (base_units / recent.max(base_units)).min(1.0);
        settings.spare_weight + (settings.shared_weight - settings.spare_weight) * base_share
    }
}

/// The quotas of volumes. A quota is created when the first request of a volume arrives. With many volumes,
/// those without a request whose quota is as that of a new volume are removed.
#[derive(Default)]
pub(crate) struct VolumeQuotas(BTreeMap<VolumeId, VolumeQuota>);

impl VolumeQuotas {
    /// Creates the quota of the arrival's volume if it does not exist, and updates the number of initiators
    /// that share it.
    pub(crate) fn register(&mut self, arrival: &Arrival, settings: &Settings, started_at: Millis) {
        let new_quota = || VolumeQuota::new(arrival.plan, settings, started_at);
        let quota = self.0.entry(arrival.volume).or_insert_with(new_quota);
        quota.initiators = quota.initiators.max(f64::from(arrival.volume_initiators));
    }

    /// Returns the quota of a volume. A request of this volume must have been registered and be unfinished.
    pub(crate) fn get(&self, volume: VolumeId) -> &VolumeQuota {
        self.0
            .get(&volume)
            .expect("volume is registered when its first request arrives and kept with its last")
    }

    /// Returns whether a volume has a quota.
    pub(crate) fn contains(&self, volume: VolumeId) -> bool {
        self.0.contains_key(&volume)
    }

    /// Returns the number of volumes with a quota.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Consumes the units of a request when its first attempt is sent.
    pub(crate) fn take(&mut self, volume: VolumeId, units: f64, now: Millis) {
        if let Some(quota) = self.0.get_mut(&volume) {
            quota.take(units, now);
        }
    }

    /// Refills all quotas. Beyond [`MAX_IDLE_VOLUMES`], removes those that are as the quotas of new volumes.
    /// `has_request` returns whether a volume has an unfinished request.
    pub(crate) fn refill(
        &mut self,
        has_request: impl Fn(VolumeId) -> bool,
        settings: &Settings,
        started_at: Millis,
        now: Millis,
    ) {
        self.0.values_mut().for_each(|quota| quota.refill(settings, now));
        if self.0.len() > MAX_IDLE_VOLUMES {
            self.0
                .retain(|volume, quota| has_request(*volume) || !quota.is_as_new(settings, started_at, now));
        }
    }
}
