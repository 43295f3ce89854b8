//! Routing of lease requests to the leader and of its responses back to the member.

use super::admission::AdmissionDecision;
use super::{Destination, Participant, PeerMessage};
use crate::lease_manager::{LeaseRequest, LeaseResponse};
use crate::replicated_state::{Change, IndexedState};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Maximum number of forwarded requests in flight. Further requests are dropped; their members retry.
const MAX_ROUTES: usize = 8192;
/// Maximum number of times a request is forwarded: to a neighbour, from there to a replica, from there to
/// the leader. Prevents routing loops.
pub(super) const MAX_HOPS: u8 = 3;

/// Identifies a member's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestId {
    member: String,
    seq: u64,
}

/// Origin of a forwarded request.
#[derive(Clone, Copy, Debug)]
struct Route {
    connection: u64,
    forwarded_at: Micros,
}

/// Return paths of forwarded requests.
#[derive(Debug, Default)]
pub(super) struct Routes {
    routes: BTreeMap<RequestId, Route>,
}

impl Routes {
    /// Records the origin of a request. Returns whether there was capacity for it.
    fn add(&mut self, request: &LeaseRequest, connection: u64, now: Micros) -> bool {
        if self.routes.len() >= MAX_ROUTES {
            return false;
        }
        let id = RequestId { member: request.name.clone(), seq: request.seq };
        self.routes.insert(id, Route { connection, forwarded_at: now });
        true
    }

    /// Removes and returns the connection that a response is sent back on.
    fn take(&mut self, response: &LeaseResponse) -> Option<u64> {
        let id = RequestId { member: response.name.clone(), seq: response.seq };
        self.routes.remove(&id).map(|route| route.connection)
    }

    /// Drops requests that are older than a lease: a response would arrive too late to be of use.
    pub(super) fn expire(&mut self, lease: Micros, now: Micros) {
        self.routes.retain(|_, route| now.since(route.forwarded_at) < lease);
    }
}

impl Participant {
    /// Sends the member's own lease request if one is due. Switches to the next upstream if the current one
    /// has not responded for half a lease.
    pub(super) fn renew_lease(&mut self, now: Micros) {
        let Some(request) = self.member.lease_request(now) else { return };
        self.upstreams.switch_if_unresponsive(Micros(self.config.lease.0 / 2), now);
        match self.decide_as_leader(&request, now) {
            Some(response) => self.handle_lease_response(response, now),
            None => self.forward(0, request),
        }
    }

    /// Handles another member's lease request: the leader decides on it, all others forward it.
    pub(super) fn handle_lease_request(
        &mut self,
        connection: u64,
        hops: u8,
        request: LeaseRequest,
        now: Micros,
    ) {
        if let Some(response) = self.decide_as_leader(&request, now) {
            return self.respond(connection, response);
        }
        if self.upstream().is_some() && self.routes.add(&request, connection, now) {
            self.forward(hops, request);
        }
    }

    /// Forwards a request towards the leader.
    fn forward(&mut self, hops: u8, request: LeaseRequest) {
        let Some(upstream) = self.upstream() else { return };
        let message = PeerMessage::LeaseRequest { hops: hops + 1, request };
        self.outgoing.push_back((Destination::Peer(upstream), message));
    }

    /// Handles a lease response for the local member or for a member whose request was forwarded.
    pub(super) fn handle_lease_response(&mut self, response: LeaseResponse, now: Micros) {
        if response.name == self.config.name {
            self.upstreams.record_response(now);
            return self.member.handle_lease_response(&response, now);
        }
        if let Some(connection) = self.routes.take(&response) {
            self.respond(connection, response);
        }
    }

    fn respond(&mut self, connection: u64, response: LeaseResponse) {
        let message = PeerMessage::LeaseResponse(Box::new(response));
        self.outgoing.push_back((Destination::Connection(connection), message));
    }

    /// Decides on a request if this initiator is the leader; `None` otherwise.
    fn decide_as_leader(&mut self, request: &LeaseRequest, now: Micros) -> Option<LeaseResponse> {
        let leads_until = self.leads_until(now)?;
        let leases = self.leases.as_mut()?;
        let applied = &self.applied;
        let mut decision =
            leases.decide(request, applied.versions_index(), applied.state(), leads_until, now);
        let response = &mut decision.response;
        let has_lower_index = request.state_index < applied.index();
        if decision.is_unconfirmed && response.newer_state.is_none() && has_lower_index {
            // The member's copy may be from an earlier cluster. It accepts any state with a higher index.
            response.newer_state =
                Some(IndexedState { index: applied.index(), state: applied.state().clone() });
        }
        if decision.wants_to_join && self.applied.state().stage > 0 {
            self.admit(&request.name, now);
        }
        Some(decision.response)
    }

    /// On a leader: proposes an initiator as a member if there is capacity for it.
    fn admit(&mut self, name: &str, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        let uncommitted = replica.last_index() - replica.commit_index();
        let members = self.applied.state().members.len();
        if self.admission.decide(name, members, uncommitted) == AdmissionDecision::Admit {
            // If the change is not appended, the member's next request proposes it again.
            let _ = replica.propose(Change::Join(name.to_owned()).bytes(), now);
        }
    }

    /// Destination of requests that can't be decided locally. A replica forwards to the leader; if it knows
    /// none, there is no destination.
    fn upstream(&self) -> Option<String> {
        if self.replica.is_some() {
            return self.leader().filter(|leader| *leader != self.config.name);
        }
        self.upstreams.current().cloned()
    }
}
