//! Holds requests until all that arrived before them are known, and releases them in order of arrival.
//!
//! The driver reports input in the order in which it looks at the connections. Of two requests on different
//! connections, the later one may so be reported first: in the same turn, or in the turn before if it arrived
//! during that turn. A request is held until the input of the next turn is delivered, which has everything
//! that arrived before it.

use super::write_back::OrderingRequest;
use crate::machine::ArrivalTime;
use flaxstand::api::RequestId;
use std::collections::BTreeMap;

/// What a held request is submitted to.
#[derive(Clone, Copy, Debug)]
pub(super) enum HeldRequest {
    /// The buffer or the module.
    Ordinary,
    /// The buffer, as a barrier or a flush.
    Ordering(OrderingRequest),
}

/// Held requests, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct ArrivalOrder {
    held: BTreeMap<(ArrivalTime, RequestId), HeldRequest>,
    /// Latest arrival of the requests that were held when input was last complete.
    complete_until: Option<ArrivalTime>,
}

impl ArrivalOrder {
    /// Holds a request. Requests with the same time of arrival keep the order of their ids.
    pub(super) fn hold(&mut self, id: RequestId, arrived_at: ArrivalTime, request: HeldRequest) {
        self.held.insert((arrived_at, id), request);
    }

    /// Returns whether no request is held.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Releases the requests that were held when input was complete before, and all that arrived before them.
    pub(super) fn input_delivered(&mut self) -> Vec<(RequestId, HeldRequest)> {
        let mut released = Vec::new();
        if let Some(until) = self.complete_until {
            while let Some(first) = self.held.first_entry().filter(|first| first.key().0 <= until) {
                let ((_, id), request) = first.remove_entry();
                released.push((id, request));
            }
        }
        self.complete_until = self.held.last_key_value().map(|((arrived_at, _), _)| *arrived_at);
        released
    }
}
