//! Nothing is sent to a node later than the grace after its sender was notified that it drains or is removed.

use super::ms;
use crate::audit_rules::AuditRules;
use crate::ledger::AttemptLedger;
use crate::record::{ListState, Record};
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_drains(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    // By initiator, life and node: when it was first told that nothing new may go there.
    let mut closed: BTreeMap<(u32, u64, u64), u64> = BTreeMap::new();
    for record in &ledger.records {
        match *record {
            Record::Told { at, initiator, epoch, node, state, .. } => match state {
                ListState::Serving => {
                    closed.remove(&(initiator, epoch, node));
                }
                ListState::Draining | ListState::Gone => {
                    if closed.insert((initiator, epoch, node), at).is_none() {
                        verdict.checked(Rule::Drains, 1);
                    }
                }
            },
            Record::Arrived { at, node, initiator, epoch, op, .. } => {
                if let Some(notified) = closed.get(&(initiator, epoch, node))
                    && at > notified + rules.drain_grace + rules.transit
                {
                    let how =
                        format!("sent {} after word that the node drains or is gone", ms(at - notified));
                    verdict.breach(Rule::Drains, at, Some(op), Some(node), how);
                }
            }
            _ => {}
        }
    }
}
