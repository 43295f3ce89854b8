//! Requests that are pending, with their attempts, and what identifies them to clients.

use super::pending_request::{AttemptId, HandOver, InFlightAttempt, PendingRequest};
use crate::machine::ConnId;
use flaxstand::api::{RequestId, VolumeId};
use std::collections::{BTreeMap, BTreeSet};

/// All requests from their arrival until they are answered and have no attempt in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    pending: BTreeMap<RequestId, PendingRequest>,
    last_id: u64,
    /// Ids that clients of the platform gave the requests that are pending.
    client_ids: BTreeSet<String>,
    /// Volumes that requests have named since the start.
    volumes: BTreeSet<VolumeId>,
}

impl RequestTable {
    /// A number for one more request. Numbers are not used again.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        if let Some(origin) = &request.origin {
            self.client_ids.insert(origin.id.clone());
        }
        self.pending.insert(id, request);
    }

    /// Removes a request, whatever its state.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.pending.remove(&id)?;
        if let Some(origin) = &request.origin {
            self.client_ids.remove(&origin.id);
        }
        Some(request)
    }

    /// Removes a request that is answered and has no attempt in flight; none: it is not.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.pending.get(&id)?;
        if request.owner.is_some() || !request.in_flight.is_empty() {
            return None;
        }
        self.remove(id)
    }

    /// A pending request.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    /// A pending request, to change it.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }

    /// How many are pending.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether an answer is owed to anyone for this request.
    pub(super) fn is_owed(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.owner.is_some())
    }

    /// Requests for which an answer is owed, in the order of arrival.
    pub(super) fn owed(&self) -> impl Iterator<Item = RequestId> {
        self.pending.iter().filter(|(_, request)| request.owner.is_some()).map(|(id, _)| *id)
    }

    /// An attempt that is in flight, or waits for its node's connection.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.get(id.request)?.in_flight.iter().find(|attempt| attempt.number == id.number)
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove_attempt(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let in_flight = &mut self.get_mut(id.request)?.in_flight;
        let index = in_flight.iter().position(|attempt| attempt.number == id.number)?;
        Some(in_flight.swap_remove(index))
    }

    /// An attempt is in a connection's outbox, and ends at this byte of its stream.
    pub(super) fn record_hand_over(&mut self, id: AttemptId, conn: ConnId, end_offset: u64) {
        let in_flight = self.get_mut(id.request).map(|request| &mut request.in_flight);
        let attempt = in_flight.and_then(|all| all.iter_mut().find(|attempt| attempt.number == id.number));
        if let Some(attempt) = attempt {
            attempt.handed_over = Some(HandOver { conn, end_offset });
        }
    }

    /// Whether a client of the platform has a request pending under this id.
    pub(super) fn has_client_id(&self, id: &str) -> bool {
        self.client_ids.contains(id)
    }

    /// How many ids of clients are in use.
    pub(super) fn client_ids(&self) -> usize {
        self.client_ids.len()
    }

    /// Whether a request has named this volume before.
    pub(super) fn knows_volume(&self, volume: VolumeId) -> bool {
        self.volumes.contains(&volume)
    }

    /// How many volumes requests have named.
    pub(super) fn volumes(&self) -> usize {
        self.volumes.len()
    }

    /// A request names a volume.
    pub(super) fn add_volume(&mut self, volume: VolumeId) {
        self.volumes.insert(volume);
    }
}
