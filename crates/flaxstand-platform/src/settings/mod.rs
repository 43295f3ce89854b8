//! The settings object, which the simulator's first message and the configuration have in common: its names
//! and units, and the decision module's settings in it.
//!
//! - [`wire`]: the object's parts, as they are spelled
//! - [`check`]: whether its values make sense
//! - [`convert`]: the decision module's settings

mod check;
mod convert;
mod wire;

pub use check::ParamsError;

use flaxstand::api::NotificationTerms;
use serde::Deserialize;
use wire::{RegistryMode, WireCaps, WireClass, WireFamily, WirePlan, WireRules};

/// On the platform a change of the endpoint list binds every initiator this long after the discovery service
/// had it and could be reached, ms.
pub const NOTIFIED_WITHIN_MS: f64 = 6000.0;
/// What the discovery service has binds this long after a new configuration named another address of it, ms.
pub const NOTIFIED_AFTER_MOVE_MS: f64 = 4000.0;

/// The settings as the platform and the bench state them. Keys that nothing here has a use for are ignored.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Params {
    #[serde(rename = "balancers")]
    initiators: u32,
    classes: Vec<WireClass>,
    #[serde(default, rename = "grades")]
    plans: Vec<WirePlan>,
    caps: WireCaps,
    rules: WireRules,
    #[serde(default, rename = "familyInfo")]
    family: WireFamily,
    #[serde(rename = "registryMode")]
    discovery_mode: RegistryMode,
    #[serde(default)]
    tick_ms: f64,
}

impl Params {
    /// Names of classes, in the order of the decision module's.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// Names of plans, in the order of the decision module's.
    pub fn plans(&self) -> impl Iterator<Item = &str> {
        self.plans.iter().map(|plan| plan.name.as_str())
    }

    /// Time within which a connection to a target is established, ms, where it is stated.
    pub fn dial_timeout_ms(&self) -> Option<f64> {
        self.caps.dial_timeout_ms.filter(|ms| *ms > 0.0)
    }

    /// Time after which a target closes an idle connection at the latest, ms, where it is stated.
    pub fn keepalive_ms(&self) -> Option<f64> {
        self.caps.keepalive_ms.filter(|ms| *ms > 0.0)
    }

    /// When changes of the endpoint list bind an initiator on the platform's wire.
    pub fn notification_terms(&self) -> NotificationTerms {
        NotificationTerms {
            notified_within: NOTIFIED_WITHIN_MS,
            notified_after_move: NOTIFIED_AFTER_MOVE_MS,
            drain_grace: self.rules.drain_grace_ms,
        }
    }
}
