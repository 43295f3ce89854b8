//! What is still to happen, in the order of its moments; what has one moment happens in the order in which it was
//! planned.

use super::day::Step;
use super::list_service::{Call, TargetId};
use flaxstand_gateway::machine::{ConnId, Control, Micros};
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

/// A connection of one life of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostConn {
    pub host: usize,
    pub life: u32,
    pub conn: ConnId,
}

/// What reaches a host.
#[derive(Clone, Debug)]
pub enum Input {
    Connected(ConnId),
    ConnectFailed(ConnId, &'static str),
    Bytes(ConnId, Rc<[u8]>, Range<usize>),
    Closed(ConnId, &'static str),
    /// A client asks: the request's number, and its bytes.
    Ask(usize, String),
    Control(Control),
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    Step(Step),
    /// This reaches that life of a host.
    Input {
        host: usize,
        life: u32,
        input: Input,
    },
    /// A call reaches the list service.
    DiscoveryCall(HostConn, Call),
    /// The next part of a list service's answer leaves.
    Piece(HostConn),
    /// The list service closes what is left of the connections to an address that it had.
    CloseOldLinks(usize),
    /// The first byte of a request leaves for a target.
    Send {
        host: usize,
        life: u32,
        target: TargetId,
    },
    TargetAnswers(HostConn),
    /// The process of a removed target ends.
    TargetEnds(TargetId),
    NextClient,
}

/// The events to come.
#[derive(Default)]
pub struct Events {
    planned: BTreeMap<(Micros, u64), Event>,
    next: u64,
}

impl Events {
    pub fn at(&mut self, moment: Micros, event: Event) {
        self.planned.insert((moment, self.next), event);
        self.next += 1;
    }

    pub fn next_moment(&self) -> Option<Micros> {
        self.planned.first_key_value().map(|((at, _), _)| *at)
    }

    /// The next event that is due by now.
    pub fn due(&mut self, now: Micros) -> Option<Event> {
        let first = self.planned.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
