//! Sources of epoll events, encoded in the 64-bit user data of epoll.

use crate::machine::ConnId;
use rustix::event::epoll;

const LISTENER: u64 = 1 << 62;
const SIGNAL: u64 = 1 << 61;
const INPUT: u64 = 1 << 60;
const WRITE_BACK_LOG: u64 = 1 << 59;
const CONSENSUS_LOG: u64 = 1 << 58;
/// Mask of the index of a listener or signal.
const INDEX: u64 = 0xffff;

/// Source of an epoll event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    /// A listener, by index.
    Listener(usize),
    /// A signal pipe, by index.
    Signal(usize),
    /// Standard input.
    Input,
    /// Completed batches of the write-back log.
    WriteBackLog,
    /// Completed batches of the consensus log.
    ConsensusLog,
    /// A connection.
    Connection(ConnId),
}

impl EventSource {
    /// Encodes the source. Connection ids count up from 0 and never reach the flag bits.
    pub(super) fn data(self) -> epoll::EventData {
        epoll::EventData::new_u64(match self {
            EventSource::Listener(index) => LISTENER | index as u64,
            EventSource::Signal(index) => SIGNAL | index as u64,
            EventSource::Input => INPUT,
            EventSource::WriteBackLog => WRITE_BACK_LOG,
            EventSource::ConsensusLog => CONSENSUS_LOG,
            EventSource::Connection(conn) => conn.0,
        })
    }

    /// Decodes a source.
    pub(super) fn of(data: epoll::EventData) -> EventSource {
        let bits = data.u64();
        let index = (bits & INDEX) as usize;
        match bits {
            _ if bits & LISTENER != 0 => EventSource::Listener(index),
            _ if bits & SIGNAL != 0 => EventSource::Signal(index),
            WRITE_BACK_LOG => EventSource::WriteBackLog,
            CONSENSUS_LOG => EventSource::ConsensusLog,
            INPUT => EventSource::Input,
            _ => EventSource::Connection(ConnId(bits)),
        }
    }
}
