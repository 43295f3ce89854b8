//! Requests of one key whose class is executed in order: one after the other, in the order of arrival.

use crate::api::{Key, Millis, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key.
#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<RequestId>,
    /// Until then an attempt that ended may still be executed, and no other request may start.
    cooldown_until: Millis,
}

/// The order of requests, by key.
#[derive(Default)]
pub(crate) struct KeyOrder(BTreeMap<Key, KeyQueue>);

impl KeyOrder {
    pub(crate) fn enqueue(&mut self, key: Key, id: RequestId) {
        self.0.entry(key).or_default().waiting.push_back(id);
    }

    /// Guards against reordering: whether a request is the first of its key. Its first attempt waits for the
    /// end of a cooldown as well.
    pub(crate) fn is_turn_of(&self, key: Key, id: RequestId, is_first_attempt: bool, now: Millis) -> bool {
        let Some(queue) = self.0.get(&key) else { return true };
        queue.waiting.front() == Some(&id) && (!is_first_attempt || now >= queue.cooldown_until)
    }

    pub(crate) fn start_cooldown(&mut self, key: Key, until: Millis) {
        self.0.entry(key).or_default().cooldown_until = until;
    }

    pub(crate) fn leave(&mut self, key: Key, id: RequestId) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// Forgets keys that nothing waits for.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.0.retain(|_, queue| !queue.waiting.is_empty() || now < queue.cooldown_until);
    }
}
