//! Serialised form of the settings object. This is the only place where fields are mapped from their names on
//! the wire. Times are in milliseconds, rates in units per second.

use serde::Deserialize;

/// How an initiator obtains the endpoint list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum DiscoveryMode {
    /// The service pushes changes.
    Pushed,
    /// The initiator polls.
    #[serde(rename = "on_request")]
    Polled,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireClass {
    pub(super) name: String,
    #[serde(rename = "aimMs")]
    pub(super) latency_objective_ms: f64,
    /// Increase of the latency objective with the units of a request.
    #[serde(default, rename = "aimStretch")]
    pub(super) objective_stretch: f64,
    pub(super) deadline_ms: f64,
    #[serde(default)]
    pub(super) late_value: f64,
    #[serde(default, rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(rename = "semantics")]
    pub(super) effect: WireEffect,
    #[serde(default, rename = "group")]
    pub(super) deduplication_scope: WireDeduplicationScope,
    #[serde(default, rename = "dedupWindowMs")]
    pub(super) deduplication_window_ms: f64,
    #[serde(default)]
    pub(super) in_order: bool,
}

/// Whether a request may be executed more than once.
#[derive(Debug, Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireEffect {
    /// Idempotent.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Idempotent by means of an idempotency key.
    #[serde(rename = "by_key")]
    IdempotencyKey,
    /// Executed at most once.
    #[serde(rename = "once")]
    AtMostOnce,
}

/// Set of targets within which idempotency keys are deduplicated.
#[derive(Debug, Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireDeduplicationScope {
    /// All targets.
    All,
    /// Targets of one zone.
    Zone,
    /// Targets of one shard.
    #[default]
    #[serde(rename = "cell")]
    Shard,
}

/// A service plan of volumes.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct WirePlan {
    pub(super) name: String,
    pub(super) base_rate: f64,
    #[serde(rename = "floorRate")]
    pub(super) reserve_rate: f64,
    #[serde(rename = "ceilingRate")]
    pub(super) limit_rate: f64,
    #[serde(rename = "mostAtOnce")]
    pub(super) limit_burst: f64,
    #[serde(rename = "price")]
    pub(super) priority_factor: f64,
}

impl Default for WirePlan {
    fn default() -> Self {
        WirePlan {
            name: String::new(),
            base_rate: 0.0,
            reserve_rate: 0.0,
            limit_rate: 0.0,
            limit_burst: 0.0,
            priority_factor: 1.0,
        }
    }
}

/// Capabilities and limits of attempts and connections.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireCaps {
    pub(super) max_attempts: u32,
    #[serde(default)]
    pub(super) max_retry_after_ms: f64,
    #[serde(default, rename = "retryAfter")]
    pub(super) may_send_retry_after: bool,
    #[serde(default, rename = "secondCopies")]
    pub(super) may_hedge: bool,
    #[serde(default, rename = "cancel")]
    pub(super) may_cancel: bool,
    #[serde(default)]
    pub(super) may_probe: bool,
    #[serde(default)]
    pub(super) dial_timeout_ms: Option<f64>,
    #[serde(default)]
    pub(super) keepalive_ms: Option<f64>,
}

/// Settings of discovery, slow start and retries.
#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct WireRules {
    #[serde(rename = "askWithinMs")]
    pub(super) poll_within_ms: f64,
    #[serde(rename = "coldFrom")]
    pub(super) initial_capacity: f64,
    #[serde(rename = "coldMs")]
    pub(super) warm_up_ms: f64,
    #[serde(rename = "fallMs")]
    pub(super) slow_start_window_ms: f64,
    #[serde(rename = "fallMultiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "extraFloor")]
    pub(super) retry_floor: Option<f64>,
    #[serde(rename = "furtherRatio")]
    pub(super) retry_ratio: Option<f64>,
    #[serde(rename = "budgetSpanMs")]
    pub(super) retry_budget_span_ms: Option<f64>,
    #[serde(rename = "keyRestMs")]
    pub(super) key_cooldown_ms: f64,
    #[serde(rename = "stopSendingWithinMs")]
    pub(super) drain_grace_ms: f64,
}

/// Request sizes, and the weights of rate above a reserve.
#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct WireWorkload {
    #[serde(rename = "coldBears")]
    pub(super) slow_start_min_units: f64,
    #[serde(rename = "unitMean")]
    pub(super) mean_units: f64,
    #[serde(rename = "mostUnits")]
    pub(super) max_units: f64,
    #[serde(rename = "fairWorth")]
    pub(super) shared_weight: f64,
    #[serde(rename = "idleWorth")]
    pub(super) spare_weight: f64,
}
