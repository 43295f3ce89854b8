//! Pending requests with their attempts and client request ids.

use super::executed_ids::ExecutedIds;
use super::pending_request::{AttemptId, HandOver, InFlightAttempt, PendingRequest};
use crate::machine::ConnId;
use flaxstand::api::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// All requests, from their arrival until they are answered and have no attempt in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    pending: BTreeMap<RequestId, PendingRequest>,
    last_id: u64,
    /// Request ids given by platform clients, of pending requests.
    client_ids: BTreeSet<String>,
    /// Request ids given by platform clients, of requests that may have been executed.
    executed_ids: ExecutedIds,
    max_executed_ids: usize,
    /// Memory of the client's data of all requests, bytes.
    memory_bytes: usize,
}

impl RequestTable {
    /// Returns the id for the next request. Ids are not reused.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        if let Some(forwarded_head) = &request.forwarded_head {
            self.client_ids.insert(forwarded_head.id.clone());
        }
        self.memory_bytes += request.memory_bytes();
        self.pending.insert(id, request);
    }

    /// Removes a request in any state.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.pending.remove(&id)?;
        self.memory_bytes -= request.memory_bytes();
        if let Some(forwarded_head) = &request.forwarded_head {
            self.client_ids.remove(&forwarded_head.id);
            if request.may_have_run || request.has_run {
                self.executed_ids.insert(&forwarded_head.id, self.max_executed_ids);
            }
        }
        Some(request)
    }

    /// Removes a request if it is answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.pending.get(&id)?;
        if request.owner.is_some() || !request.in_flight.is_empty() {
            return None;
        }
        self.remove(id)
    }

    /// Releases what an answered or abandoned request only needs for further attempts.
    pub(super) fn release_content(&mut self, id: RequestId) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        self.memory_bytes -= request.memory_bytes();
        request.release_content();
        self.memory_bytes += request.memory_bytes();
    }

    /// Returns the memory of the client's data of all requests, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Returns a pending request.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    /// Returns a pending request for modification.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }

    /// Returns the number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a request is pending without a final response.
    pub(super) fn is_unanswered(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.owner.is_some())
    }

    /// Iterates over the requests without a final response, in order of arrival.
    pub(super) fn unanswered(&self) -> impl Iterator<Item = RequestId> {
        self.pending.iter().filter(|(_, request)| request.owner.is_some()).map(|(id, _)| *id)
    }

    /// Returns an attempt that is in flight or queued for its node's connection.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.get(id.request)?.in_flight.iter().find(|attempt| attempt.number == id.number)
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove_attempt(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let in_flight = &mut self.get_mut(id.request)?.in_flight;
        let index = in_flight.iter().position(|attempt| attempt.number == id.number)?;
        Some(in_flight.swap_remove(index))
    }

    /// Records that an attempt was handed to a connection and ends at this offset of its stream.
    pub(super) fn record_hand_over(&mut self, id: AttemptId, conn: ConnId, end_offset: u64) {
        let in_flight = self.get_mut(id.request).map(|request| &mut request.in_flight);
        let attempt = in_flight.and_then(|all| all.iter_mut().find(|attempt| attempt.number == id.number));
        if let Some(attempt) = attempt {
            attempt.handed_over = Some(HandOver { conn, end_offset });
        }
    }

    /// Returns whether a pending request of a platform client has this id.
    pub(super) fn has_client_id(&self, id: &str) -> bool {
        self.client_ids.contains(id)
    }

    /// Returns whether a request of a platform client with this id may have been executed.
    pub(super) fn may_have_executed(&self, id: &str) -> bool {
        self.executed_ids.contains(id)
    }

    /// Sets how many ids of executed requests are remembered.
    pub(super) fn set_max_executed_ids(&mut self, max_executed_ids: usize) {
        self.max_executed_ids = max_executed_ids;
    }

    /// Returns the number of remembered ids of executed requests.
    pub(super) fn executed_ids(&self) -> usize {
        self.executed_ids.len()
    }

    /// Returns the number of client request ids in use.
    pub(super) fn client_ids(&self) -> usize {
        self.client_ids.len()
    }
}
