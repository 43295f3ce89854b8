//! The settings object, which is part of both the simulator's first message and the configuration file.
//!
//! - [`wire`]: serialised form of the object
//! - [`check`]: validation of its values
//! - [`convert`]: conversion to the settings of the decision module

mod check;
mod convert;
mod wire;

pub use check::ParamsError;

use flaxstand::api::NotificationTerms;
use serde::Deserialize;
use wire::{DiscoveryMode, WireCaps, WireClass, WirePlan, WireRules, WireWorkload};

/// Time after which a change of the endpoint list is binding for every initiator on the platform, counted
/// from when the discovery service has the change and is reachable, ms.
pub const NOTIFIED_WITHIN_MS: f64 = 6000.0;
/// Time after which the list of a discovery service is binding when a new configuration changes the service's
/// address, ms.
pub const NOTIFIED_AFTER_MOVE_MS: f64 = 4000.0;

/// The settings as sent by the platform and the bench. Unknown keys are ignored.
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
    workload: WireWorkload,
    #[serde(rename = "registryMode")]
    discovery_mode: DiscoveryMode,
    #[serde(default)]
    tick_ms: f64,
}

impl Params {
    /// Class names, in the order of the decision module's class indices.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// Plan names, in the order of the decision module's plan indices.
    pub fn plans(&self) -> impl Iterator<Item = &str> {
        self.plans.iter().map(|plan| plan.name.as_str())
    }

    /// Time-out for connecting to a target, ms, if specified.
    pub fn dial_timeout_ms(&self) -> Option<f64> {
        self.caps.dial_timeout_ms.filter(|ms| *ms > 0.0)
    }

    /// Maximum time after which a target closes an idle connection, ms, if specified.
    pub fn keepalive_ms(&self) -> Option<f64> {
        self.caps.keepalive_ms.filter(|ms| *ms > 0.0)
    }

    /// Returns the time limits after which changes of the endpoint list are binding for an initiator on the
    /// platform.
    pub fn notification_terms(&self) -> NotificationTerms {
        NotificationTerms {
            notified_within: NOTIFIED_WITHIN_MS,
            notified_after_move: NOTIFIED_AFTER_MOVE_MS,
            drain_grace: self.rules.drain_grace_ms,
        }
    }
}
