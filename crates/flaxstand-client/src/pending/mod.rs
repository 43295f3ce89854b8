//! Requests in progress and their attempts in flight.

mod request;

use crate::request::RequestId;
use flaxstand_proto::Micros;
pub(crate) use request::{InFlightAttempt, PendingRequest};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that is no longer in flight, and its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: InFlightAttempt,
}

/// A time at which a request needs processing. Ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    request: RequestId,
}

/// All requests in progress, indexed by id, by attempt in flight, and by due time and deadline.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests with an attempt in flight, by that attempt's id.
    by_attempt: BTreeMap<u64, RequestId>,
    /// Due times of the next attempts.
    due: BTreeSet<Timer>,
    deadlines: BTreeSet<Timer>,
}

impl PendingRequests {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Ids of all requests.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Ids of the requests with an attempt in flight, in the order of the attempts.
    pub(crate) fn ids_in_flight(&self) -> Vec<RequestId> {
        self.by_attempt.values().copied().collect()
    }

    /// Adds a request and its deadline timer.
    pub(crate) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.deadlines.insert(Timer { at: request.deadline, request: id });
        self.requests.insert(id, request);
    }

    /// Removes a request with its timers and its attempt in flight.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&Timer { at: request.deadline, request: id });
        self.due.retain(|timer| timer.request != id);
        if let Some(attempt) = request.in_flight {
            self.by_attempt.remove(&attempt.id);
        }
        Some(request)
    }

    /// Schedules the next attempt of a request.
    pub(crate) fn schedule_attempt(&mut self, id: RequestId, at: Micros) {
        self.due.insert(Timer { at, request: id });
    }

    /// Takes the next request with a due attempt.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<RequestId> {
        let timer = *self.due.first().filter(|timer| timer.at <= now)?;
        self.due.remove(&timer);
        Some(timer.request)
    }

    /// The request with the earliest deadline, if that has passed.
    pub(crate) fn first_expired(&self, now: Micros) -> Option<RequestId> {
        self.deadlines.first().filter(|timer| timer.at <= now).map(|timer| timer.request)
    }

    /// Due time of the next attempt.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|timer| timer.at)
    }

    /// The earliest deadline of all requests.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|timer| timer.at)
    }

    /// Id of the request that an attempt in flight belongs to.
    pub(crate) fn id_of_attempt(&self, attempt_id: u64) -> Option<RequestId> {
        self.by_attempt.get(&attempt_id).copied()
    }

    /// Records that an attempt of a request was sent.
    pub(crate) fn start_attempt(&mut self, id: RequestId, attempt: InFlightAttempt) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts += 1;
            request.in_flight = Some(attempt);
            self.by_attempt.insert(attempt.id, id);
        }
    }

    /// Records that an attempt is no longer in flight. Returns it with the id of its request.
    pub(crate) fn end_attempt(&mut self, attempt_id: u64) -> Option<EndedAttempt> {
        let request = self.by_attempt.remove(&attempt_id)?;
        let attempt = self.requests.get_mut(&request)?.in_flight.take()?;
        Some(EndedAttempt { request, attempt })
    }

    /// Records that no attempt is in flight any more. Returns all of them in the order of their ids.
    pub(crate) fn end_all_attempts(&mut self) -> Vec<EndedAttempt> {
        let attempt_ids: Vec<u64> = self.by_attempt.keys().copied().collect();
        attempt_ids.into_iter().filter_map(|id| self.end_attempt(id)).collect()
    }
}
