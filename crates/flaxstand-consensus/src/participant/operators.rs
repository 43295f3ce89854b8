//! What operators ask for, and what they are told.

use super::{Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StatusReport};
use crate::member::ActiveRules;
use crate::replica::ProposeError;
use crate::replicated_state::{Change, MAX_RULES_BYTES, MAX_TEXT_BYTES, Version};
use flaxstand_proto::Micros;

/// Operators' wishes that are not agreed on yet, most.
const WISHES_MOST: usize = 16;

impl Participant {
    /// An operator asks for something, on a connection.
    pub(super) fn operator_asked(&mut self, connection: u64, operator_request: OperatorRequest, now: Micros) {
        let change = match operator_request {
            OperatorRequest::Status => Err(OperatorReply::Status(Box::new(self.report(now)))),
            OperatorRequest::ReplicatedState => Err(OperatorReply::ReplicatedState(
                self.member
                    .replicated_state()
                    .map(|(index, replicated_state)| Box::new((index, replicated_state.clone()))),
            )),
            OperatorRequest::Propose(base, version) => {
                self.check_version(&version, now).map(|()| Change::Propose { base, version })
            }
            OperatorRequest::Withdraw(number, by, at) => Ok(Change::Withdraw { number, by, at }),
            OperatorRequest::Forget(name) => self.check_gone(&name, now).map(|()| Change::Forget(name)),
        };
        match change.and_then(|change| self.propose(&change, now)) {
            Ok(index) => drop(self.operator_requests.insert(index, connection)),
            Err(reply) => self.reply(connection, reply),
        }
    }

    /// Proposes a change. Returns its index.
    fn propose(&mut self, change: &Change, now: Micros) -> Result<u64, OperatorReply> {
        let leads = self.leads_until(now).is_some();
        let Some(replica) = self.replica.as_mut().filter(|_| leads) else {
            return Err(OperatorReply::Elsewhere(self.leader()));
        };
        if self.operator_requests.len() >= WISHES_MOST {
            return Err(OperatorReply::Refused("too much is being agreed on: try again later".into()));
        }
        match replica.propose(change.bytes(), now) {
            Ok((_term, index)) => Ok(index),
            Err(ProposeError::NotLeader { leader }) => Err(OperatorReply::Elsewhere(leader)),
            Err(error) => Err(OperatorReply::Refused(error.to_string())),
        }
    }

    pub(super) fn reply(&mut self, connection: u64, reply: OperatorReply) {
        self.outgoing.push_back((Destination::Connection(connection), PeerMessage::OperatorReply(reply)));
    }

    /// Whether a version may be proposed now.
    fn check_version(&self, version: &Version, now: Micros) -> Result<(), OperatorReply> {
        let Some(leases) = &self.leases else { return Ok(()) };
        let refused = |why: String| Err(OperatorReply::Refused(why));
        if version.text.len() > MAX_TEXT_BYTES {
            return refused(format!(
                "a file of {} bytes, at most {MAX_TEXT_BYTES} are taken",
                version.text.len()
            ));
        }
        let size = postcard::to_stdvec(&version.rules).map_or(usize::MAX, |b| b.len());
        if size > MAX_RULES_BYTES {
            return refused(format!("rules of {size} bytes, at most {MAX_RULES_BYTES} are taken"));
        }
        // No third stage before everyone has left the first.
        let blockers = leases.blockers(&self.applied.replicated_state, now);
        if self.applied.replicated_state.in_force.number > 0
            && self.applied.replicated_state.next.is_none()
            && !blockers.is_empty()
        {
            let who: Vec<String> =
                blockers.iter().take(4).map(|b| format!("{} ({})", b.who, b.why)).collect();
            return refused(format!("the passage before is not over: {}", who.join("; ")));
        }
        Ok(())
    }

    /// Whether a member may be forgotten: not while it has a lease.
    fn check_gone(&self, name: &str, now: Micros) -> Result<(), OperatorReply> {
        let Some(leases) = &self.leases else { return Ok(()) };
        match leases.members(now).iter().find(|(n, ..)| n == name) {
            Some((_, true, ..)) => Err(OperatorReply::Refused(format!("{name} has a lease: it is there"))),
            _ => Ok(()),
        }
    }

    /// How things stand.
    pub fn report(&self, now: Micros) -> StatusReport {
        let replica = self.replica.as_ref().map(|k| k.status(now));
        let replicated_state = self.member.replicated_state().map(|(_, b)| b);
        let active_rules = match self.member.active_rules(now) {
            ActiveRules::Fallback => "the floor".to_owned(),
            ActiveRules::Transition(v, next) => format!("what versions {v} and {next} both allow"),
            ActiveRules::Version(v) => format!("version {v}"),
        };
        let lease = self.member.lease_until().map_or(0, |until| until.since(now).0 / 1000);
        StatusReport {
            name: self.config.name.clone(),
            replica: replica.as_ref().map(|k| k.role.report_name().to_owned()),
            leader: replica.as_ref().and_then(|k| k.leader.clone()),
            term: replica.as_ref().map_or(0, |k| k.term),
            electorate: replica
                .as_ref()
                .map_or(Vec::new(), |k| k.electorate.iter().map(|m| m.name.clone()).collect()),
            silent: replica.map_or(Vec::new(), |k| k.silent),
            active_rules,
            lease_ms: lease,
            versions: replicated_state
                .map_or((0, None), |b| (b.in_force.number, b.next.as_ref().map(|n| n.number))),
            stage: replicated_state.map_or(0, |b| b.stage),
            blockers: match (&self.leases, replicated_state) {
                (Some(leases), Some(_)) => leases.blockers(&self.applied.replicated_state, now),
                _ => Vec::new(),
            },
            members: self.leases.as_ref().map_or(Vec::new(), |leases| leases.members(now)),
        }
    }
}
