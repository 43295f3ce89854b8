//! The queue of scheduled events, in order of time. Events at the same time run in the order in which they
//! were scheduled.

use super::day::Step;
use super::list_service::{Call, TargetId};
use flaxstand_gateway::machine::{ConnId, Control, Micros};
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

/// A connection of one incarnation of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostConn {
    pub host: usize,
    pub incarnation: u32,
    pub conn: ConnId,
}

/// An input that a host receives.
#[derive(Clone, Debug)]
pub enum Input {
    Connected(ConnId),
    ConnectFailed(ConnId, &'static str),
    Bytes(ConnId, Rc<[u8]>, Range<usize>),
    Closed(ConnId, &'static str),
    /// A client's request: its number and its bytes.
    Request(usize, String),
    Control(Control),
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    Step(Step),
    /// An incarnation of a host receives an input.
    Input {
        host: usize,
        incarnation: u32,
        input: Input,
    },
    /// A call arrives at the list service.
    DiscoveryCall(HostConn, Call),
    /// The list service sends the next segment of a response.
    SendSegment(HostConn),
    /// The list service closes the connections to addresses that it had before its nth move.
    CloseOldConnections(usize),
    /// The first byte of a request to a target leaves a host.
    RequestSent {
        host: usize,
        incarnation: u32,
        target: TargetId,
    },
    TargetResponds(HostConn),
    /// The process of a removed target exits.
    TargetExits(TargetId),
    /// The next client issues a request.
    NextRequest,
}

/// The scheduled events.
#[derive(Default)]
pub struct Events {
    scheduled: BTreeMap<(Micros, u64), Event>,
    next_sequence: u64,
}

impl Events {
    pub fn schedule(&mut self, time: Micros, event: Event) {
        self.scheduled.insert((time, self.next_sequence), event);
        self.next_sequence += 1;
    }

    pub fn next_time(&self) -> Option<Micros> {
        self.scheduled.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next event that is due.
    pub fn due(&mut self, now: Micros) -> Option<Event> {
        let first = self.scheduled.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
