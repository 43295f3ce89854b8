//! Timers of the gateway's core.

use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, RequestId};
use std::collections::BTreeSet;

/// What is due at a moment. Of timers due at the same moment the one that stands first here comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A request's client is about to give up.
    Deadline(RequestId),
    /// A connection should be open by now.
    ConnectTimeout(ConnId),
    /// A connection to a node may have idled long enough.
    IdleTimeout(ConnId),
    /// A probe has been out for long enough.
    ProbeTimeout(ProbeId),
    /// A connection that speaks HTTP may have made no progress for too long.
    StallCheck(ConnId),
    /// A retry that was handed to a connection may no longer be sent.
    SendWindowEnds(ConnId),
    /// Look for pooled connections that have idled long enough, and nodes that were removed long ago.
    Sweep,
    /// The time is over in which a stop changes nothing yet.
    ShutdownGraceEnds,
    /// Call the list service.
    DiscoveryCall,
    /// Has the discovery service stalled?
    DiscoveryStalled,
    /// The endpoint list may have grown too old to act on.
    EndpointsExpire,
    /// The agreement has something to do.
    Agreement,
    /// A stop has lasted long enough.
    ShutdownTimeout,
}

/// Names a probe of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProbeId {
    pub(super) node: NodeId,
    pub(super) token: u64,
}

/// Timers that are set, by when they are due.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeSet<(Micros, Timer)>,
}

impl TimerQueue {
    /// Sets a timer. The same timer may be set for several moments.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes a timer that was set for this moment.
    pub(super) fn cancel(&mut self, at: Micros, timer: Timer) {
        self.timers.remove(&(at, timer));
    }

    /// Takes the first timer that is due.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.timers.first().copied().filter(|(at, _)| *at <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    /// When the next is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// How many are set.
    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}
