//! Each request gets one final answer before its client stops waiting, and no attempt of it is sent afterwards.

use super::ms;
use crate::audit_rules::AuditRules;
use crate::ledger::AttemptLedger;
use crate::record::Answer;
use crate::verdict::{Rule, Verdict};

pub(super) fn check_answers(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    verdict.checked(Rule::Answers, ledger.client_attempts.len());
    for t in &ledger.client_attempts {
        let breach =
            |verdict: &mut Verdict, at, how: String| verdict.breach(Rule::Answers, at, Some(t.op), None, how);
        if let [_, (at, again), ..] = t.answers[..] {
            breach(verdict, at, format!("answered twice, now {again:?}"));
        }
        match t.answers.first() {
            Some((at, answer)) if *at > t.until => {
                breach(
                    verdict,
                    *at,
                    format!("{answer:?} came {} after its client gave up", ms(at - t.until)),
                );
            }
            Some(_) => {}
            None => match ledger.lost.get(&t.key.0) {
                Some((at, by_client)) if *at <= t.until => {
                    // A killed initiator owes nothing; a running one does not hang up on what it took.
                    let killed = |(k, i): &(u64, u32)| *i == t.initiator && k.abs_diff(*at) < 1_000_000;
                    // What was under way when the connection ended was never taken.
                    let accepted = t.at + rules.transit < *at;
                    if accepted && !by_client && !ledger.kills.iter().any(killed) {
                        breach(verdict, *at, "its initiator hung up on it".into());
                    }
                }
                _ => breach(verdict, t.until, "never answered".into()),
            },
        }
    }
    for request in ledger.requests.values() {
        let Some((answered, answer)) = request.of.and_then(|t| ledger.client_attempts[t].answers.first())
        else {
            continue;
        };
        if rules.class(request.class).is_buffered && matches!(answer, Answer::Buffered | Answer::Failed) {
            // A write-out, which the client's answer says nothing of.
            continue;
        }
        for a in request.attempts.iter().filter(|a| a.at > answered + rules.transit) {
            let how = format!("sent {} after its final answer", ms(a.at - answered));
            verdict.breach(Rule::Answers, a.at, Some(request.op), Some(a.node), how);
        }
    }
}
