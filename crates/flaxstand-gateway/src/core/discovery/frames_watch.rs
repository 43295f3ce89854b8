//! The watch on the frames wire: applies changes in order of revision on a single connection, requests the
//! full list after a gap, and reconnects after the connection failed or stalled.

use super::{DiscoveryContext, EndpointDiscovery, EndpointEntry, EndpointUpdate, StalledWatch};
use crate::core::connection_table::{Protocol, Stage};
use crate::core::peer_fault::PeerFault;
use crate::machine::{ConnId, Micros};
use flaxstand::api::ListScope;
use flaxstand_proto::{CloseReason, Extent, Frame, List, Role, VERSION, VERSION_OLDEST, Welcome};
use tracing::{debug, info, warn};

/// Minimum receive rate of a frame, bytes per second: a list of 3,200 nodes may take 45 s, the longest list
/// frame 40 minutes.
const MIN_FRAME_RATE: u64 = 4096;

/// Receive progress of an incomplete frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameProgress {
    /// No frame is incomplete.
    NoFrame,
    /// The frame arrives at the minimum rate or faster.
    Arriving,
    /// The frame arrives below the minimum rate.
    Stalled,
}

/// Liveness state of the watch.
#[derive(Debug, Default)]
pub(super) struct FramesWatch {
    last_received_at: Micros,
    /// Whether a request for the full list is pending.
    is_list_requested: bool,
    /// Bytes received on the connection up to the last check, if a frame was incomplete then.
    received_within_frame: Option<u64>,
}

impl FramesWatch {
    fn record_received(&mut self, now: Micros) {
        *self = FramesWatch { last_received_at: now, is_list_requested: false, received_within_frame: None };
    }

    /// Returns the progress since the last check. A frame that began since then counts as arriving.
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
    /// Starts the watch once the welcome of the service has arrived.
    ///
    /// # Errors
    /// The peer is not a discovery service or uses an unsupported version.
    pub(in crate::core) fn start_watch(
        &mut self,
        conn: ConnId,
        welcome: &Welcome<'_>,
        context: &mut DiscoveryContext<'_>,
    ) -> Result<(), PeerFault> {
        if welcome.role != Role::List || !(VERSION_OLDEST..=VERSION).contains(&welcome.version) {
            let text = format!(
                "expected a list service of version {VERSION_OLDEST} to {VERSION}, found {:?} of version {}",
                welcome.role, welcome.version
            );
            return Err(PeerFault::new(CloseReason::WrongPeer, text));
        }
        context.connections.set_stage(conn, Stage::Open);
        self.watch.record_received(context.now);
        let idle_timeout = context.config.site.timeouts.discovery_idle_timeout;
        self.schedule_stall_check(context.now.after(idle_timeout), context.timers);
        context.connections.send_frame(conn, &Frame::Watch);
        Ok(())
    }

    /// Handles a connection that failed or was never established. The list stays in use.
    pub(in crate::core) fn watch_lost(
        &mut self,
        stage: Stage,
        cause: &str,
        context: &mut DiscoveryContext<'_>,
    ) {
        self.conn = None;
        warn!(cause, ?stage, "discovery connection lost; keeping the current endpoint list");
        self.cancel_stall_check(context.timers);
        self.schedule_retry(context);
    }

    /// Handles a list or changes received from the service. Returns the update to apply, if any.
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
                debug!(current, revision = list.revision, "ignoring list changes that are already applied");
                Self::notify_unchanged(context);
                return None;
            }
            (Extent::Changes, Some(current)) if list.since == current => ListScope::Changes,
            // Changes applied across a gap would hide the missed ones.
            (Extent::Changes, current) => {
                info!(
                    ?current,
                    since = list.since,
                    "gap between list revisions; requesting the full endpoint list"
                );
                self.request_full_list(conn, context);
                return None;
            }
        };
        self.backoff.reset();
        self.revision = Some(list.revision);
        self.has_received_list = true;
        let entries =
            list.entries.iter().map(|entry| EndpointEntry::from_frame(entry, context.now)).collect();
        Some(EndpointUpdate { scope, revision: list.revision, entries })
    }

    /// Checks whether the watch has stalled. On an idle watch the full list is requested first; without a
    /// response within another idle time-out, the watch has stalled.
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
            FrameProgress::Stalled => {
                return Some(StalledWatch { conn, cause: "list frame arrives below the minimum rate" });
            }
            // A list that is arriving is not requested again.
            FrameProgress::Arriving => {}
            FrameProgress::NoFrame if self.watch.is_list_requested => {
                return Some(StalledWatch { conn, cause: "no response from the list service" });
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
