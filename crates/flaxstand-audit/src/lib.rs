//! Audit of the seven rules that an initiator must keep. The input is what clients, storage nodes and the
//! discovery service recorded of the traffic on their sockets, with the times of one clock. Initiators record
//! nothing.
//!
//! - [`record`]: the recorded events and their file format
//! - [`ledger`]: attempts and requests reconstructed from the records
//! - [`audit_rules`]: the limits and guarantees that are configured for a site
//! - [`checks`]: one check for each rule
//! - [`verdict`]: the breaches found
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod audit_rules;
pub mod checks;
pub mod ledger;
pub mod record;
pub mod verdict;

pub use audit_rules::{
    AuditRules, ClassRules, DeduplicationScope, Effect, PlanLimit, RetryBudgetRules, SlowStartRules,
};
pub use checks::audit;
pub use ledger::AttemptLedger;
pub use record::{Answer, End, ListState, Mark, Record, read_folder};
pub use verdict::{Breach, Rule, Verdict};
