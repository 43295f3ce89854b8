//! Endpoint discovery: the connection to the discovery service, the revision of the endpoint list in use, and
//! the copy of the list that is cached on disk for the next start.
//!
//! Discovery owns its state and accesses no request, client or node connection. The core passes it the events
//! of its connection and timers and applies the [`EndpointUpdate`] that it returns
//! (`core/endpoint_events.rs`).
//!
//! - [`frames_watch`]: the watch on the frames wire; applies changes in order of revision and requests the
//!   full list after a gap
//! - [`platform_poll`]: polling on the platform's wire; [`platform_listing`]: conversion of the responses
//! - [`call_outcome`]: classification of ended calls; [`response_progress`]: detection of stalled calls
//! - [`cache_codec`]: encoding of the cached list; [`cache_schedule`]: when the cached list is written, in
//!   full or as changes
//! - [`zones`]: numbers assigned to zone names

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

/// The parts of the core that discovery uses during one call.
pub(super) struct DiscoveryContext<'a> {
    /// Connections, and commands to the driver.
    pub(super) connections: &'a mut ConnectionTable,
    /// Timers of the core.
    pub(super) timers: &'a mut TimerQueue,
    /// Events for the decision module, in order.
    pub(super) events: &'a mut VecDeque<Event>,
    /// The core's random number generator. The order of draws determines reproducible runs.
    pub(super) rng: &'a mut Pcg64Mcg,
    /// Configuration of the core.
    pub(super) config: &'a Config,
    /// Maximum length of a response of the platform's service, bytes.
    pub(super) max_list_bytes: usize,
    /// Time of the current turn.
    pub(super) now: Micros,
}

/// A stalled watch connection that the caller has to close.
#[derive(Debug)]
pub(super) struct StalledWatch {
    /// The connection to close.
    pub(super) conn: ConnId,
    /// Reason for the close, for the peer and the log.
    pub(super) cause: &'static str,
}

/// The client of the discovery service.
#[derive(Debug)]
pub(super) struct EndpointDiscovery {
    /// The connection to the service, set as soon as it is dialed.
    conn: Option<ConnId>,
    /// Revision of the list in use. On the frames wire it is set only after the service has sent a list since
    /// the process started.
    revision: Option<u64>,
    /// Whether the service has sent a list since the process started.
    has_received_list: bool,
    /// Time of the next stall check.
    stall_check_at: Option<Micros>,
    backoff: Backoff,
    watch: FramesWatch,
    poll: PlatformPoll,
    cache: CacheSchedule,
    zones: ZoneIndex,
}

impl EndpointDiscovery {
    /// Creates a client without a connection and without a list.
    pub(super) fn new(timeouts: &Timeouts) -> Self {
        EndpointDiscovery {
            conn: None,
            revision: None,
            has_received_list: false,
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

    /// Revision of the list in use; on the platform's wire also that of the cached list.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Revision of the last list received from the service since the process started.
    pub(super) fn notified_revision(&self) -> Option<u64> {
        self.revision.filter(|_| self.has_received_list)
    }

    /// Records a node restart that the list does not contain yet. The next save includes it.
    pub(super) fn record_restart(&mut self, node: NodeId) {
        self.cache.add_restarted(node);
    }

    /// Records that a node responded: its measured service time may have changed.
    pub(super) fn record_use(&mut self, node: NodeId) {
        self.cache.add_used(node);
    }

    /// Records that writing the cached list failed: the content of the file is unknown.
    pub(super) fn record_save_failure(&mut self, now: Micros) {
        self.cache.record_failure(now);
    }

    /// Requests list changes on behalf of the decision module.
    pub(super) fn request_changes(&mut self, context: &mut DiscoveryContext<'_>) {
        match self.conn {
            Some(conn) if context.connections.is_open(conn) && context.connections.speaks_frames(conn) => {
                context.connections.send_frame(conn, &Frame::Watch);
            }
            Some(_) => {}
            None => self.connect(context),
        }
    }

    /// Dials the service unless a connection exists.
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

    /// Checks whether the service has stalled. A stalled watch is returned for the caller to close; a stalled
    /// poll is ended here.
    pub(super) fn check_stalled(&mut self, context: &mut DiscoveryContext<'_>) -> Option<StalledWatch> {
        self.stall_check_at = None;
        let conn = self.conn?;
        if context.config.wire == Wire::Platform {
            self.check_poll_stalled(conn, context);
            return None;
        }
        self.check_watch_stalled(conn, context)
    }

    /// Handles a failed call. In polling mode the decision module is notified and decides when to retry;
    /// otherwise a retry is scheduled after a back-off.
    fn schedule_retry(&mut self, context: &mut DiscoveryContext<'_>) {
        if context.config.site.settings.polls_list {
            context.events.push_back(Event::EndpointList(ListScope::Failed, Vec::new()));
        } else {
            let wait = self.backoff.next_delay(context.rng);
            context.timers.set(context.now.after(wait), Timer::DiscoveryCall);
        }
    }

    /// Notifies the decision module, which counts consecutive failed calls, of a response without changes.
    fn notify_unchanged(context: &mut DiscoveryContext<'_>) {
        context.events.push_back(Event::EndpointList(ListScope::Changes, Vec::new()));
    }

    /// Schedules the stall check, replacing the one scheduled before.
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
