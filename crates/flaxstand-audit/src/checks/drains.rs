//! No attempt is sent to a node after the grace period that starts when its sender is notified that the node
//! is draining or removed.

use super::ms;
use crate::audit_rules::AuditRules;
use crate::ledger::AttemptLedger;
use crate::record::{ListState, Record};
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_drains(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    // By initiator, epoch and node: when the initiator was notified that the node takes no new attempts.
    let mut drains: BTreeMap<(u32, u64, u64), u64> = BTreeMap::new();
    for record in &ledger.records {
        match *record {
            Record::Notified { at, initiator, epoch, node, state, .. } => match state {
                ListState::Serving => {
                    drains.remove(&(initiator, epoch, node));
                }
                ListState::Draining | ListState::Removed => {
                    if drains.insert((initiator, epoch, node), at).is_none() {
                        verdict.count_checked(Rule::Drains, 1);
                    }
                }
            },
            Record::Arrived { at, node, initiator, epoch, op, .. } => {
                if let Some(notified_at) = drains.get(&(initiator, epoch, node))
                    && at > notified_at + rules.drain_grace + rules.transit
                {
                    let description = format!(
                        "sent {} after the notification that the node is draining or removed, {} allowed",
                        ms(at - notified_at),
                        ms(rules.drain_grace)
                    );
                    verdict.report_breach(Rule::Drains, at, Some(op), Some(node), description);
                }
            }
            _ => {}
        }
    }
}
