//! Operator requests and the status report.

use super::{
    Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StatusReport, VersionNumbers,
};
use crate::member::ActiveRules;
use crate::replica::ProposeError;
use crate::replicated_state::{Change, MAX_RULES_BYTES, MAX_TEXT_BYTES, Version};
use flaxstand_proto::Micros;
use thiserror::Error;

/// Maximum number of operator changes that are not committed yet.
const MAX_PENDING_OPERATIONS: usize = 16;
/// Maximum number of blockers that an error message lists.
const MAX_NAMED_BLOCKERS: usize = 4;

/// Why an operator's change is not proposed. The text is sent as the reply.
#[derive(Debug, Error)]
enum OperationError {
    /// Only the leader proposes changes. Holds the leader's name, if known.
    #[error("not the leader")]
    NotLeader(Option<String>),
    /// Too many operator changes are pending.
    #[error("{MAX_PENDING_OPERATIONS} operator changes are pending: try again later")]
    TooManyPending,
    #[error("the file has {0} bytes, the maximum is {MAX_TEXT_BYTES}")]
    TextTooLarge(usize),
    #[error("the encoded rules have {0} bytes, the maximum is {MAX_RULES_BYTES}")]
    RulesTooLarge(usize),
    /// Members may still act on the stage before the current one.
    #[error("the previous rollout is not complete: {0}")]
    RolloutNotOver(String),
    #[error("{0} holds a lease, so it is still running")]
    MemberHasLease(String),
    #[error(transparent)]
    Propose(ProposeError),
}

impl From<OperationError> for OperatorReply {
    fn from(error: OperationError) -> OperatorReply {
        match error {
            OperationError::NotLeader(leader) => OperatorReply::NotLeader(leader),
            other => OperatorReply::Refused(other.to_string()),
        }
    }
}

impl Participant {
    /// Handles an operator request. The reply to a change is sent once the change is committed.
    pub(super) fn handle_operator_request(&mut self, connection: u64, request: OperatorRequest, now: Micros) {
        let change = match request {
            OperatorRequest::Status => {
                let report = Box::new(self.report(now));
                return self.reply(connection, OperatorReply::Status(report));
            }
            OperatorRequest::ReplicatedState => {
                let state = self.member.indexed_state().map(Box::new);
                return self.reply(connection, OperatorReply::ReplicatedState(state));
            }
            OperatorRequest::Propose { base, version } => Change::Propose { base, version },
            OperatorRequest::Withdraw { number, by, at } => Change::Withdraw { number, by, at },
            OperatorRequest::Forget(name) => Change::Forget(name),
        };
        let proposed = self.check_change(&change, now).and_then(|()| self.propose(&change, now));
        match proposed {
            Ok(index) => {
                self.pending_operations.insert(index, connection);
            }
            Err(error) => self.reply(connection, error.into()),
        }
    }

    pub(super) fn reply(&mut self, connection: u64, reply: OperatorReply) {
        self.outgoing.push_back((Destination::Connection(connection), PeerMessage::OperatorReply(reply)));
    }

    /// Proposes a change. Returns the index of its log entry.
    fn propose(&mut self, change: &Change, now: Micros) -> Result<u64, OperationError> {
        let has_proven_leadership = self.leads_until(now).is_some();
        let Some(replica) = self.replica.as_mut().filter(|_| has_proven_leadership) else {
            return Err(OperationError::NotLeader(self.leader()));
        };
        if self.pending_operations.len() >= MAX_PENDING_OPERATIONS {
            return Err(OperationError::TooManyPending);
        }
        match replica.propose(change.bytes(), now) {
            Ok(proposed) => Ok(proposed.index),
            Err(ProposeError::NotLeader { leader }) => Err(OperationError::NotLeader(leader)),
            Err(error) => Err(OperationError::Propose(error)),
        }
    }

    /// Checks a change against state that only the leader has (leases) and against the size limits.
    fn check_change(&self, change: &Change, now: Micros) -> Result<(), OperationError> {
        match change {
            Change::Propose { version, .. } => self.check_version(version, now),
            Change::Forget(name) => self.check_has_no_lease(name, now),
            Change::Withdraw { .. } | Change::InForce { .. } | Change::Join(_) => Ok(()),
        }
    }

    fn check_version(&self, version: &Version, now: Micros) -> Result<(), OperationError> {
        let Some(leases) = &self.leases else { return Ok(()) };
        if version.text.len() > MAX_TEXT_BYTES {
            return Err(OperationError::TextTooLarge(version.text.len()));
        }
        let rules_bytes = postcard::to_stdvec(&version.rules).map_or(usize::MAX, |bytes| bytes.len());
        if rules_bytes > MAX_RULES_BYTES {
            return Err(OperationError::RulesTooLarge(rules_bytes));
        }
        // Prevents a third stage from starting before all members have left the first.
        let state = self.applied.state();
        let blockers = leases.blockers(state, now);
        let is_after_rollout = state.in_force.number > 0 && state.next.is_none();
        if is_after_rollout && !blockers.is_empty() {
            let named = blockers.iter().take(MAX_NAMED_BLOCKERS);
            let named: Vec<String> = named.map(|b| format!("{} ({})", b.who, b.why)).collect();
            return Err(OperationError::RolloutNotOver(named.join("; ")));
        }
        Ok(())
    }

    /// A member that holds a lease can't be removed: a rollout would not wait for it.
    fn check_has_no_lease(&self, name: &str, now: Micros) -> Result<(), OperationError> {
        let Some(leases) = &self.leases else { return Ok(()) };
        let has_lease = leases.members(now).iter().any(|member| member.name == name && member.has_lease);
        if has_lease {
            return Err(OperationError::MemberHasLease(name.to_owned()));
        }
        Ok(())
    }

    /// Status report of this initiator.
    pub fn report(&self, now: Micros) -> StatusReport {
        let mut report = StatusReport {
            name: self.config.name.clone(),
            active_rules: describe(self.member.active_rules(now)),
            lease_ms: self.member.lease_until().map_or(0, |until| until.since(now).0 / 1000),
            ..StatusReport::default()
        };
        if let Some(status) = self.replica.as_ref().map(|replica| replica.status(now)) {
            report.replica = Some(status.role.report_name().to_owned());
            report.leader = status.leader;
            report.term = status.term;
            report.voters = status.voters.into_iter().map(|voter| voter.name).collect();
            report.unresponsive = status.unresponsive;
        }
        if let Some(state) = self.member.replicated_state() {
            let next = state.next.as_ref().map(|next| next.number);
            report.versions = VersionNumbers { in_force: state.in_force.number, next };
            report.stage = state.stage;
        }
        if let Some(leases) = &self.leases {
            report.members = leases.members(now);
            if self.member.replicated_state().is_some() {
                report.blockers = leases.blockers(self.applied.state(), now);
            }
        }
        report
    }
}

/// Description of the active rules for operators.
fn describe(active_rules: ActiveRules) -> String {
    match active_rules {
        ActiveRules::Fallback => "the floor".to_owned(),
        ActiveRules::Transition(in_force, next) => format!("what versions {in_force} and {next} both allow"),
        ActiveRules::Version(in_force) => format!("version {in_force}"),
    }
}
