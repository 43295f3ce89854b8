//! The seven rules, checked from records that clients, storage nodes and the list service wrote: what
//! passed over their sockets, with times of one clock. The initiator has no part in it.
//!
//! [`record`] is what they write, [`ledger`] puts it in order, [`audit_rules`] says what is asked, [`checks`] holds
//! one check for each rule, [`verdict`] is what they find.
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
