//! Messages that wait until what they tell is durable. Guards against a promise that is sent and then
//! forgotten.

use crate::message::{Message, MessageBody};
use std::collections::VecDeque;

/// Messages that wait for the disk, most. The oldest is dropped then: all that matters is sent again.
const MAX_WAITING_MESSAGES: usize = 256;

#[derive(Clone, Debug)]
struct Waiting {
    /// The message may be sent once this record of the journal is durable.
    after_record: u64,
    message: Message,
}

/// Messages in the order in which they were made.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    waiting: VecDeque<Waiting>,
}

impl Outbox {
    /// Queues a message behind a record of the journal.
    pub(super) fn push(&mut self, after_record: u64, message: Message) {
        if self.waiting.len() >= MAX_WAITING_MESSAGES {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting { after_record, message });
    }

    /// Messages that tell nothing beyond the journal's record `durable_records`.
    pub(super) fn take_sendable(&mut self, durable_records: u64) -> Vec<Message> {
        let is_sendable = |waiting: &&Waiting| waiting.after_record <= durable_records;
        let count = self.waiting.iter().take_while(is_sendable).count();
        self.waiting.drain(..count).map(|waiting| waiting.message).collect()
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// What the waiting messages say.
    pub(super) fn bodies(&self) -> Vec<&MessageBody> {
        self.waiting.iter().map(|waiting| &waiting.message.body).collect()
    }
}
