//! Each request gets one final answer before its client's deadline, and no attempt of it is sent afterwards.

use super::ms;
use crate::audit_rules::AuditRules;
use crate::ledger::AttemptLedger;
use crate::record::Answer;
use crate::verdict::{Rule, Verdict};

/// Disconnects less than this long before or after the kill of their initiator are attributed to the kill.
const KILL_WINDOW: u64 = 1_000_000;

pub(super) fn check_answers(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    verdict.count_checked(Rule::Answers, ledger.client_attempts.len());
    for attempt in &ledger.client_attempts {
        let report = |verdict: &mut Verdict, at, description: String| {
            verdict.report_breach(Rule::Answers, at, Some(attempt.op), None, description);
        };
        if let [_, (at, second), ..] = attempt.answers[..] {
            report(verdict, at, format!("received a second final answer: {second:?}"));
        }
        match attempt.answers.first() {
            Some((at, answer)) if *at > attempt.deadline => {
                let delay = ms(at - attempt.deadline);
                report(verdict, *at, format!("{answer:?} received {delay} after the client's deadline"));
            }
            Some(_) => {}
            None => match ledger.disconnects.get(&attempt.key.0) {
                Some((at, by_client)) if *at <= attempt.deadline => {
                    // A killed initiator cannot answer; a running one must not close a connection with
                    // accepted requests.
                    let is_kill = |(killed_at, initiator): &(u64, u32)| {
                        *initiator == attempt.initiator && killed_at.abs_diff(*at) < KILL_WINDOW
                    };
                    // A request in transit when the connection closed was never accepted.
                    let is_accepted = attempt.at + rules.transit < *at;
                    if is_accepted && !by_client && !ledger.kills.iter().any(is_kill) {
                        report(verdict, *at, "the initiator closed the connection without an answer".into());
                    }
                }
                _ => report(verdict, attempt.deadline, "no final answer until the client's deadline".into()),
            },
        }
    }
    for request in ledger.requests.values() {
        let client_attempt = request.client_attempt.map(|index| &ledger.client_attempts[index]);
        let Some((answered_at, answer)) = client_attempt.and_then(|attempt| attempt.answers.first()) else {
            continue;
        };
        if rules.class(request.class).is_buffered && matches!(answer, Answer::Buffered | Answer::Failed) {
            // The attempts are write-outs, which go on independently of the client's answer.
            continue;
        }
        for attempt in request.attempts.iter().filter(|attempt| attempt.at > answered_at + rules.transit) {
            let delay = ms(attempt.at - answered_at);
            let description = format!("attempt {} sent {delay} after the final answer", attempt.number);
            verdict.report_breach(
                Rule::Answers,
                attempt.at,
                Some(request.op),
                Some(attempt.node),
                description,
            );
        }
    }
}
