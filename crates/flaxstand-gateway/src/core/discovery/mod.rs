//! Endpoint discovery: the connection to the discovery service, which revision of the endpoint list this host
//! has, and the copy of it that is cached on disk for the next start.
//!
//! Discovery owns its state and touches no request, no client and no node connection. The core hands it what
//! happened on its connection or timers and applies the [`EndpointUpdate`] that comes back
//! (`core/endpoint_events.rs`).
//!
//! - [`frames_watch`]: the watch on the frames wire; changes in the order of their revisions, all of it after
//!   a gap
//! - [`platform_poll`]: polled calls on the platform's wire; [`platform_listing`]: what their responses list
//! - [`call_outcome`]: what the end of a call says of the service; [`response_progress`]: when a call has
//!   stalled
//! - [`cache_codec`]: bytes of the cached list; [`cache_schedule`]: when which part of it is written
//! - [`zones`]: numbers of named zones

mod cache_codec;
mod cache_schedule;
mod call_outcome;
mod frames_watch;
mod platform_listing;
mod platform_poll;
mod response_progress;
mod update;
mod zones;

pub use cache_codec::{SavedList, SavedListError};
pub(super) use cache_schedule::CacheWrite;
pub(super) use platform_poll::PollResponse;
pub(super) use update::{EndpointEntry, EndpointUpdate};

use super::connection_table::{ConnectionTable, Peer, Protocol};
use super::timers::{Timer, TimerQueue};
use super::{Backoff, Config, Timeouts, Wire};
use crate::machine::{ConnId, Micros};
use cache_schedule::CacheSchedule;
use flaxstand::api::{Event, ListScope, NodeId};
use flaxstand_proto::{Frame, Inbox};
use frames_watch::FramesWatch;
use platform_poll::PlatformPoll;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use zones::ZoneIndex;

/// What discovery uses of the core during one call.
pub(super) struct DiscoveryContext<'a> {
    /// Connections, and commands to the driver.
    pub(super) connections: &'a mut ConnectionTable,
    /// Timers of the core.
    pub(super) timers: &'a mut TimerQueue,
    /// Events for the decision module, in order.
    pub(super) events: &'a mut VecDeque<Event>,
    /// The core's random numbers: the order of draws is a part of its behaviour.
    pub(super) rng: &'a mut Pcg64Mcg,
    /// What the core was configured with.
    pub(super) config: &'a Config,
    /// The moment of this turn.
    pub(super) now: Micros,
}

/// A watch that is to be closed, and why.
#[derive(Debug)]
pub(super) struct StalledWatch {
    /// The connection to close.
    pub(super) conn: ConnId,
    /// The cause, for the peer and the log.
    pub(super) cause: &'static str,
}

/// The client of the discovery service.
#[derive(Debug)]
pub(super) struct EndpointDiscovery {
    /// The connection to the service, from when it is dialed.
    conn: Option<ConnId>,
    /// Revision of the list in use; on frames only once the service has sent one since the process started.
    revision: Option<u64>,
    /// The service has sent a list since the process started.
    is_notified: bool,
    /// When the connection is next checked for having stalled.
    stall_check_at: Option<Micros>,
    backoff: Backoff,
    watch: FramesWatch,
    poll: PlatformPoll,
    cache: CacheSchedule,
    zones: ZoneIndex,
}

impl EndpointDiscovery {
    /// A client that is not connected and has no list.
    pub(super) fn new(timeouts: &Timeouts) -> Self {
        EndpointDiscovery {
            conn: None,
            revision: None,
            is_notified: false,
            stall_check_at: None,
            backoff: Backoff::new(timeouts.discovery_backoff.min, timeouts.discovery_backoff.max),
            watch: FramesWatch::default(),
            poll: PlatformPoll::default(),
            cache: CacheSchedule::default(),
            zones: ZoneIndex::default(),
        }
    }

    /// The connection to the service, if there is one or one is being dialed.
    pub(super) fn connection(&self) -> Option<ConnId> {
        self.conn
    }

    /// Revision of the list in use, the cached one included where calls name it.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Revision of the list that the service sent last since the process started.
    pub(super) fn notified_revision(&self) -> Option<u64> {
        self.revision.filter(|_| self.is_notified)
    }

    /// A node reported a start that the list does not have yet: the next save includes it.
    pub(super) fn record_restart(&mut self, node: NodeId) {
        self.cache.add_learned(node);
    }

    /// A node answered: its measured service time may have changed.
    pub(super) fn record_use(&mut self, node: NodeId) {
        self.cache.add_used(node);
    }

    /// The cached list could not be written: what the file holds is unknown.
    pub(super) fn record_save_failure(&mut self, now: Micros) {
        self.cache.record_failure(now);
    }

    /// The decision module asks for changes of the list.
    pub(super) fn request_changes(&mut self, context: &mut DiscoveryContext<'_>) {
        match self.conn {
            Some(conn) if context.connections.is_open(conn) && context.connections.speaks_frames(conn) => {
                context.connections.send_frame(conn, &Frame::Watch);
            }
            Some(_) => {}
            None => self.connect(context),
        }
    }

    /// Dials the service, unless there is a connection.
    pub(super) fn connect(&mut self, context: &mut DiscoveryContext<'_>) {
        if self.conn.is_some() {
            return;
        }
        let (protocol, deadline) = match context.config.wire {
            Wire::Frames => {
                let deadline = context.now.after(context.config.site.timeouts.connect_timeout);
                (Protocol::Frames(Inbox::for_discovery_service()), deadline)
            }
            Wire::Platform => (Protocol::DiscoveryPoll, self.start_poll_connection(context)),
        };
        let address = context.config.discovery_address.clone();
        self.conn =
            Some(context.connections.dial(context.timers, Peer::Discovery, protocol, address, deadline));
    }

    /// Checks whether the service has stalled. A watch that has is the caller's to close; a polled call ends
    /// here.
    pub(super) fn check_stalled(&mut self, context: &mut DiscoveryContext<'_>) -> Option<StalledWatch> {
        self.stall_check_at = None;
        let conn = self.conn?;
        if context.config.wire == Wire::Platform {
            self.check_poll_stalled(conn, context);
            return None;
        }
        self.check_watch_stalled(conn, context)
    }

    /// A call failed. Where the decision module polls, it asks again when it sees fit; elsewhere a retry
    /// follows after a back-off.
    fn schedule_retry(&mut self, context: &mut DiscoveryContext<'_>) {
        if context.config.site.settings.polls_list {
            context.events.push_back(Event::EndpointList(ListScope::Failed, Vec::new()));
        } else {
            let wait = self.backoff.next_delay(context.rng);
            context.timers.set(context.now.after(wait), Timer::DiscoveryCall);
        }
    }

    /// The service answered, and nothing has changed. The module is notified: it counts failed calls in a
    /// row.
    fn notify_unchanged(context: &mut DiscoveryContext<'_>) {
        context.events.push_back(Event::EndpointList(ListScope::Changes, Vec::new()));
    }

    /// Checks at this moment, and at no other, whether the service has stalled.
    fn schedule_stall_check(&mut self, at: Micros, timers: &mut TimerQueue) {
        self.cancel_stall_check(timers);
        self.stall_check_at = Some(at);
        timers.set(at, Timer::DiscoveryStalled);
    }

    fn cancel_stall_check(&mut self, timers: &mut TimerQueue) {
        if let Some(at) = self.stall_check_at.take() {
            timers.cancel(at, Timer::DiscoveryStalled);
        }
    }
}
