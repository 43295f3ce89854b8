//! Messages held back until the state they depend on is durable. Otherwise a replica could send a promise
//! and lose it in a restart.

use crate::message::{Message, MessageBody};
use std::collections::VecDeque;

/// Maximum number of messages pending for the disk. Beyond it the oldest one is dropped; the protocol
/// retransmits.
const MAX_PENDING_MESSAGES: usize = 256;

#[derive(Clone, Debug)]
struct PendingMessage {
    /// Journal record that must be durable before the message is sent.
    after_record: u64,
    message: Message,
}

/// Pending messages in the order in which they were created.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    pending: VecDeque<PendingMessage>,
}

impl Outbox {
    /// Queues a message that depends on a journal record.
    pub(super) fn push(&mut self, after_record: u64, message: Message) {
        if self.pending.len() >= MAX_PENDING_MESSAGES {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingMessage { after_record, message });
    }

    /// Returns the messages whose records are durable, given the last durable record.
    pub(super) fn take_sendable(&mut self, durable_records: u64) -> Vec<Message> {
        let is_sendable = |pending: &&PendingMessage| pending.after_record <= durable_records;
        let count = self.pending.iter().take_while(is_sendable).count();
        self.pending.drain(..count).map(|pending| pending.message).collect()
    }

    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Bodies of the pending messages.
    pub(super) fn bodies(&self) -> Vec<&MessageBody> {
        self.pending.iter().map(|pending| &pending.message.body).collect()
    }
}
