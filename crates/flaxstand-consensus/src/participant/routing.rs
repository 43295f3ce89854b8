//! The way of lease requests to the leader, and of its responses back.

use super::admission::Verdict;
use super::{Destination, Participant, PeerMessage};
use crate::lease_manager::{LeaseRequest, LeaseResponse};
use crate::replicated_state::Change;
use flaxstand_proto::Micros;
use tracing::debug;

/// Requests of others that are on their way, most. One more is dropped: its member asks again.
const ROUTES_MOST: usize = 8192;
/// How many times a request is passed on, at most: to a neighbour, by it to a keeper, by that to the leader.
pub(super) const HOPS_MOST: u8 = 3;

/// A request of a member, by the member's name and the request's number.
pub(super) type RequestId = (String, u64);

/// Where a request of another came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Route {
    connection: u64,
    since: Micros,
}

/// Initiators that a member may send its requests to, and the one that it uses.
#[derive(Debug)]
pub(super) struct Upstreams {
    names: Vec<String>,
    current: usize,
}

impl Upstreams {
    /// Keepers, of which members take their first by their names, so that they spread over all; then neighbours,
    /// for whoever reaches no keeper.
    pub(super) fn new(own_name: &str, voters: &[String], neighbours: &[String]) -> Upstreams {
        let others = |names: &[String]| -> Vec<String> {
            names.iter().filter(|name| *name != own_name).cloned().collect()
        };
        let mut names = others(voters);
        let hash = own_name.bytes().fold(0usize, |sum, byte| sum.wrapping_mul(31) + usize::from(byte));
        let first = hash % names.len().max(1);
        names.rotate_left(first);
        names.extend(others(neighbours));
        Upstreams { names, current: 0 }
    }

    fn current(&self) -> Option<&String> {
        self.names.get(self.current)
    }

    fn next(&mut self) {
        self.current = (self.current + 1) % self.names.len().max(1);
        debug!(upstream = self.current(), "another upstream");
    }
}

impl Participant {
    /// Sends the member's own request, if one is due.
    pub(super) fn renew_lease(&mut self, now: Micros) {
        let Some(request) = self.member.lease_request(now) else { return };
        // An upstream that has not answered for half a lease is left.
        if now.since(self.answered_at) > Micros(self.config.lease.0 / 2) {
            self.upstreams.next();
            self.answered_at = now;
        }
        self.lease_requested(None, 0, request, now);
    }

    /// Forgets requests whose responses would come too late for a lease.
    pub(super) fn expire_routes(&mut self, now: Micros) {
        let lease = self.config.lease;
        self.routes.retain(|_, route| now.since(route.since) < lease);
    }

    /// A lease request, our own (of no connection) or another's: decided on by the leader, passed on by all others.
    pub(super) fn lease_requested(
        &mut self,
        connection: Option<u64>,
        hops: u8,
        request: LeaseRequest,
        now: Micros,
    ) {
        if let Some(response) = self.decide(&request, now) {
            match connection {
                Some(connection) => self.respond(connection, response),
                None => self.lease_response(response, now),
            }
            return;
        }
        let Some(upstream) = self.upstream() else { return };
        if let Some(connection) = connection {
            if self.routes.len() >= ROUTES_MOST {
                return;
            }
            let id = (request.name.clone(), request.seq);
            self.routes.insert(id, Route { connection, since: now });
        }
        self.outgoing.push_back((Destination::Peer(upstream), PeerMessage::LeaseRequest(hops + 1, request)));
    }

    /// A response, to us or to one whose request was passed on.
    pub(super) fn lease_response(&mut self, response: LeaseResponse, now: Micros) {
        if response.name == self.config.name {
            self.answered_at = now;
            return self.member.lease_response(&response, now);
        }
        let id = (response.name.clone(), response.seq);
        if let Some(route) = self.routes.remove(&id) {
            self.respond(route.connection, response);
        }
    }

    fn respond(&mut self, connection: u64, response: LeaseResponse) {
        self.outgoing
            .push_back((Destination::Connection(connection), PeerMessage::LeaseResponse(Box::new(response))));
    }

    /// A leader's decision on a request; none: we do not lead.
    fn decide(&mut self, request: &LeaseRequest, now: Micros) -> Option<LeaseResponse> {
        let leads_until = self.leads_until(now)?;
        let leases = self.leases.as_mut()?;
        let applied = &self.applied;
        let mut decision =
            leases.decide(request, applied.versions_index, &applied.replicated_state, leads_until, now);
        let no_newer = decision.response.replicated_state.is_none() && request.index < applied.index;
        if decision.differs && no_newer {
            // Of an agreement before this one, say: it takes any state of a higher index.
            decision.response.replicated_state = Some((applied.index, applied.replicated_state.clone()));
        }
        if decision.joins && self.applied.replicated_state.stage > 0 {
            self.admit(&request.name, now);
        }
        Some(decision.response)
    }

    /// Of a leader: proposes a host as a member, if there is room for it.
    fn admit(&mut self, name: &str, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        let open = replica.last() - replica.committed();
        let members = self.applied.replicated_state.members.len();
        if self.admission.decide(name, members, open) == Verdict::Join {
            // Where it is not taken the member's next request proposes it again.
            let _ = replica.propose(Change::Join(name.to_owned()).bytes(), now);
        }
    }

    /// Who is to get requests that we can't decide on. A keeper knows who leads; without a leader there is nobody.
    fn upstream(&self) -> Option<String> {
        if self.replica.is_some() {
            return self.leader().filter(|leader| *leader != self.config.name);
        }
        self.upstreams.current().cloned()
    }
}
