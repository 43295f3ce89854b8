//! Sequential execution of requests with the same key, in order of arrival, for classes that require it.

use crate::api::{Key, Millis, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Queue of the requests of one key.
#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<RequestId>,
    /// Until then, an attempt that ended may still be executing, and no other request may start.
    cooldown_until: Millis,
}

/// Request queues by key.
#[derive(Default)]
pub(crate) struct KeyOrder(BTreeMap<Key, KeyQueue>);

impl KeyOrder {
    pub(crate) fn enqueue(&mut self, key: Key, id: RequestId) {
        self.0.entry(key).or_default().waiting.push_back(id);
    }

    /// Guards against reordering: returns whether a request is the first in the queue of its key. Its first
    /// attempt also waits for the end of the cooldown.
    pub(crate) fn is_next(&self, key: Key, id: RequestId, is_first_attempt: bool, now: Millis) -> bool {
        let Some(queue) = self.0.get(&key) else { return true };
        queue.waiting.front() == Some(&id) && (!is_first_attempt || now >= queue.cooldown_until)
    }

    pub(crate) fn start_cooldown(&mut self, key: Key, until: Millis) {
        self.0.entry(key).or_default().cooldown_until = until;
    }

    pub(crate) fn remove(&mut self, key: Key, id: RequestId) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// Removes keys without waiting requests or an active cooldown.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.0.retain(|_, queue| !queue.waiting.is_empty() || now < queue.cooldown_until);
    }
}
