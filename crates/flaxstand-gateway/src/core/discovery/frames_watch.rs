//! The watch on the frames wire: one connection, changes applied in the order of their revisions, the full
//! list requested after a gap, and a new connection after one that broke or stalled.

use super::{DiscoveryContext, EndpointDiscovery, EndpointEntry, EndpointUpdate, StalledWatch};
use crate::core::connection_table::{Protocol, Stage};
use crate::core::peer_fault::PeerFault;
use crate::machine::{ConnId, Micros};
use flaxstand::api::ListScope;
use flaxstand_proto::{CloseReason, Extent, Frame, List, Role, VERSION, VERSION_OLDEST, Welcome};
use tracing::{debug, info, warn};

/// Slowest rate at which a frame of the service may arrive, bytes a second: 3,200 nodes may take 45 s, the
/// longest list frame 40 minutes.
const MIN_FRAME_RATE: u64 = 4096;

/// How a frame that is not complete yet arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameProgress {
    /// There is none.
    NoFrame,
    /// Fast enough.
    Arriving,
    /// Not at all, or too slowly.
    Stalled,
}

/// Liveness of the watch.
#[derive(Debug, Default)]
pub(super) struct FramesWatch {
    last_received_at: Micros,
    /// The full list was requested and has not come.
    is_list_requested: bool,
    /// Bytes received on the connection at the last check, if that came within a frame.
    received_within_frame: Option<u64>,
}

impl FramesWatch {
    fn record_received(&mut self, now: Micros) {
        *self = FramesWatch { last_received_at: now, is_list_requested: false, received_within_frame: None };
    }

    /// What has arrived of a frame since the last check. One that has begun since is arriving.
    fn frame_progress(&mut self, received_within_frame: Option<u64>, elapsed: Micros) -> FrameProgress {
        let before = std::mem::replace(&mut self.received_within_frame, received_within_frame);
        let min_bytes = elapsed.0 * MIN_FRAME_RATE / 1_000_000;
        match (before, received_within_frame) {
            (_, None) => FrameProgress::NoFrame,
            (Some(before), Some(received)) if received - before < min_bytes => FrameProgress::Stalled,
            (_, Some(_)) => FrameProgress::Arriving,
        }
    }
}

impl EndpointDiscovery {
    /// The service greeted: the watch begins.
    ///
    /// # Errors
    /// The peer is no discovery service, or speaks another version.
    pub(in crate::core) fn start_watch(
        &mut self,
        conn: ConnId,
        welcome: &Welcome<'_>,
        context: &mut DiscoveryContext<'_>,
    ) -> Result<(), PeerFault> {
        if welcome.role != Role::List || !(VERSION_OLDEST..=VERSION).contains(&welcome.version) {
            let text =
                format!("expected a list service, met {:?} of version {}", welcome.role, welcome.version);
            return Err(PeerFault::new(CloseReason::WrongPeer, text));
        }
        context.connections.set_stage(conn, Stage::Open);
        self.watch.record_received(context.now);
        let idle_timeout = context.config.site.timeouts.discovery_idle_timeout;
        self.schedule_stall_check(context.now.after(idle_timeout), context.timers);
        context.connections.send_frame(conn, &Frame::Watch);
        Ok(())
    }

    /// The connection broke or was never established. The list stays in use.
    pub(in crate::core) fn watch_lost(
        &mut self,
        stage: Stage,
        cause: &str,
        context: &mut DiscoveryContext<'_>,
    ) {
        self.conn = None;
        warn!(cause, ?stage, "discovery disconnected; the endpoint list stays in use");
        self.cancel_stall_check(context.timers);
        self.schedule_retry(context);
    }

    /// The service sent the list or changes of it. Returns what is to be applied.
    pub(in crate::core) fn receive_list(
        &mut self,
        conn: ConnId,
        list: &List<'_>,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<EndpointUpdate> {
        self.watch.record_received(context.now);
        let scope = match (list.extent, self.revision) {
            (Extent::Full, _) => ListScope::Full,
            (Extent::Changes, Some(current)) if list.revision <= current => {
                debug!(current, revision = list.revision, "watch event is already applied");
                Self::notify_unchanged(context);
                return None;
            }
            (Extent::Changes, Some(current)) if list.since == current => ListScope::Changes,
            // Guards against a change that was missed: applied over a gap, it would not show.
            (Extent::Changes, current) => {
                info!(
                    ?current,
                    since = list.since,
                    "gap in the watch events: requesting the full endpoint list"
                );
                self.request_full_list(conn, context);
                return None;
            }
        };
        self.backoff.reset();
        self.revision = Some(list.revision);
        self.is_notified = true;
        let entries =
            list.entries.iter().map(|entry| EndpointEntry::from_frame(entry, context.now)).collect();
        Some(EndpointUpdate { scope, revision: list.revision, entries })
    }

    /// Checks whether the watch has stalled. An idle one is asked for the full list first; without a response
    /// after as long again it has.
    pub(super) fn check_watch_stalled(
        &mut self,
        conn: ConnId,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<StalledWatch> {
        let idle_timeout = context.config.site.timeouts.discovery_idle_timeout;
        let idle_at = self.watch.last_received_at.after(idle_timeout);
        if context.now < idle_at {
            self.schedule_stall_check(idle_at, context.timers);
            return None;
        }
        let received_within_frame = match context.connections.get(conn).map(|connection| &connection.protocol)
        {
            Some(Protocol::Frames(inbox)) if inbox.is_within_frame() => Some(inbox.received()),
            _ => None,
        };
        match self.watch.frame_progress(received_within_frame, idle_timeout) {
            FrameProgress::Stalled => return Some(StalledWatch { conn, cause: "the list stalls" }),
            // What is about to arrive is not requested again.
            FrameProgress::Arriving => {}
            FrameProgress::NoFrame if self.watch.is_list_requested => {
                return Some(StalledWatch { conn, cause: "the list service is silent" });
            }
            FrameProgress::NoFrame => self.request_full_list(conn, context),
        }
        self.schedule_stall_check(context.now.after(idle_timeout), context.timers);
        None
    }

    fn request_full_list(&mut self, conn: ConnId, context: &mut DiscoveryContext<'_>) {
        self.watch.is_list_requested = true;
        context.connections.send_frame(conn, &Frame::GetList);
    }
}
