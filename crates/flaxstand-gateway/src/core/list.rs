//! The node list: one connection to its service, called again after breaks; changes applied in the order
//! of their revisions; the whole list asked for after a gap.

use super::connection_table::{Peer, Protocol, Stage};
use super::list_calls::ListCalls;
use super::node_table::NodeName;
use super::peer_fault::PeerFault;
use super::saved_list::{SavePlan, SavedList, SavedListError};
use super::timers::Timer;
use super::{Backoff, Core, Timeouts, Wire};
use crate::machine::{Address, ConnId, Micros};
use flaxstand::api::{Event, ListScope, NodeEntry, NodeId, Readiness};
use flaxstand_proto::{
    CloseReason, Entry, Extent, Frame, Inbox, List, Role, State, VERSION, VERSION_OLDEST, Welcome,
};
use std::collections::BTreeSet;
use tracing::{debug, info, warn};

/// Bytes a second at which a frame of the list service has to arrive: 3,200 nodes may take 45 s, the longest list
/// frame 40 minutes. A frame that falls behind over a whole silence is taken for silence.
const FRAME_RATE_LEAST: u64 = 4096;

/// How a frame of the list service comes on that is not whole yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameProgress {
    /// There is none.
    NoFrame,
    /// Fast enough.
    Arriving,
    /// Not at all, or too slowly.
    Stalled,
}

/// The list service.
#[derive(Debug)]
pub(super) struct ListPeer {
    pub(super) conn: Option<ConnId>,
    /// Of the list held; on frames only once the service has told one in this life.
    pub(super) revision: Option<u64>,
    /// The service has told a list in this life.
    pub(super) told: bool,
    heard_at: Micros,
    /// On the platform: the calls made so far.
    pub(super) calls: ListCalls,
    /// The whole list has been asked for and has not come.
    asked: bool,
    pub(super) save: SavePlan,
    /// When its silence is looked at next.
    silence_at: Option<Micros>,
    /// Bytes received when the last look at its silence came within a frame that is not whole yet.
    received_within_frame: Option<u64>,
    pub(super) backoff: Backoff,
}

impl ListPeer {
    pub(super) fn new(waits: &Timeouts) -> Self {
        let backoff = Backoff::new(waits.list_retry.0, waits.list_retry.1);
        ListPeer {
            conn: None,
            revision: None,
            told: false,
            heard_at: Micros(0),
            calls: ListCalls::default(),
            asked: false,
            save: SavePlan::default(),
            silence_at: None,
            received_within_frame: None,
            backoff,
        }
    }
}

/// An entry of a list, whatever wire told it.
#[derive(Debug)]
pub(super) struct Told {
    pub(super) name: NodeName,
    /// Grows with each start of the node.
    pub(super) incarnation: u64,
    pub(super) readiness: Readiness,
    /// Milliseconds on our clock; none: long ago.
    pub(super) started_at: Option<f64>,
    pub(super) shard: u32,
    pub(super) zone: u32,
    /// Hundredths; 0: not told.
    pub(super) size: u32,
    /// Unloaded time of a unit, ms.
    pub(super) service_time: Option<f64>,
    pub(super) address: String,
}

impl Told {
    fn of(e: &Entry<'_>, now: Micros) -> Self {
        Told {
            name: NodeName::Number(e.node),
            incarnation: e.incarnation,
            readiness: match e.state {
                State::Serving => Readiness::Serving,
                State::Draining => Readiness::Draining,
                State::Removed => Readiness::Removed,
            },
            started_at: e.age.map(|age| now.ms() - Micros(age).ms()),
            shard: e.shard,
            zone: e.zone,
            size: e.size,
            service_time: e.service_time.map(|service_time| Micros(service_time.into()).ms()),
            address: e.address.to_owned(),
        }
    }
}

impl Core {
    /// The module wants to hear of changes.
    pub(super) fn subscribe(&mut self, now: Micros) {
        match self.list.conn {
            Some(conn) if self.connections.is_open(conn) && self.connections.speaks_frames(conn) => {
                self.connections.send_frame(conn, &Frame::Watch);
            }
            Some(_) => {}
            None => self.call_list(now),
        }
    }

    pub(super) fn call_list(&mut self, now: Micros) {
        if self.list.conn.is_some() {
            return;
        }
        let (protocol, by) = match self.config.wire {
            Wire::Frames => {
                (Protocol::Frames(Inbox::of_list_service()), now.after(self.config.site.waits.dial))
            }
            Wire::Platform => self.new_list_connection(now),
        };
        self.list.conn =
            Some(self.connections.dial(&mut self.timers, Peer::List, protocol, self.config.list.clone(), by));
    }

    pub(super) fn list_greeted(
        &mut self,
        conn: ConnId,
        w: &Welcome<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        if w.role != Role::List || !(VERSION_OLDEST..=VERSION).contains(&w.version) {
            let text = format!("expected a list service, met {:?} of version {}", w.role, w.version);
            return Err(PeerFault::new(CloseReason::WrongPeer, text));
        }
        self.connections.set_stage(conn, Stage::Open);
        (self.list.heard_at, self.list.asked, self.list.received_within_frame) = (now, false, None);
        self.look_for_silence(now.after(self.config.site.waits.list_silence));
        self.connections.send_frame(conn, &Frame::Watch);
        Ok(())
    }

    /// The connection is no more, or never came to be. The list held stays in use.
    pub(super) fn list_lost(&mut self, stage: Stage, cause: &str, now: Micros) {
        self.list.conn = None;
        warn!(cause, ?stage, "no connection to the list service; the list held stays in use");
        self.stop_looking_for_silence();
        self.list_call_again_later(now);
    }

    /// A call failed: the next one is the module's to ask for, or follows after a wait.
    pub(super) fn list_call_again_later(&mut self, now: Micros) {
        if self.config.site.settings.polls_list {
            // The module asked for it, and asks again when it sees fit.
            self.events.push_back(Event::EndpointList(ListScope::Failed, Vec::new()));
        } else {
            let wait = self.list.backoff.failed(&mut self.rng);
            self.timers.set(now.after(wait), Timer::DiscoveryCall);
        }
    }

    pub(super) fn list_call_failed(&mut self, now: Micros) {
        if let Some(conn) = self.list.conn {
            self.close(conn, "the list service could not answer", now);
        }
    }

    /// Looks at that moment whether the list service has been silent for too long, and at no other.
    pub(super) fn look_for_silence(&mut self, at: Micros) {
        self.stop_looking_for_silence();
        self.list.silence_at = Some(at);
        self.timers.set(at, Timer::ListSilence);
    }

    pub(super) fn stop_looking_for_silence(&mut self) {
        if let Some(at) = self.list.silence_at.take() {
            self.timers.cancel(at, Timer::ListSilence);
        }
    }

    pub(super) fn list_silent(&mut self, now: Micros) {
        self.list.silence_at = None;
        let Some(conn) = self.list.conn else { return };
        if self.on_platform() {
            return self.list_call_overdue(conn, now);
        }
        let silence = self.config.site.waits.list_silence;
        let due = self.list.heard_at.after(silence);
        if now < due {
            return self.look_for_silence(due);
        }
        match self.list_frame_progress(conn, silence) {
            FrameProgress::Stalled => self.disconnect(conn, CloseReason::Protocol, "the list stalls", now),
            // It is not asked for what it is about to tell.
            FrameProgress::Arriving => self.look_for_silence(now.after(silence)),
            FrameProgress::NoFrame if self.list.asked => {
                self.disconnect(conn, CloseReason::Protocol, "the list service is silent", now);
            }
            FrameProgress::NoFrame => {
                self.list.asked = true;
                self.connections.send_frame(conn, &Frame::GetList);
                self.look_for_silence(now.after(silence));
            }
        }
    }

    /// What has come of a frame since the last look, a silence ago. One that has begun since is arriving.
    fn list_frame_progress(&mut self, conn: ConnId, silence: Micros) -> FrameProgress {
        let within_frame = match self.connections.get(conn).map(|c| &c.protocol) {
            Some(Protocol::Frames(inbox)) if inbox.is_within_frame() => Some(inbox.received()),
            _ => None,
        };
        let before = std::mem::replace(&mut self.list.received_within_frame, within_frame);
        let least = silence.0 * FRAME_RATE_LEAST / 1_000_000;
        match (before, within_frame) {
            (_, None) => FrameProgress::NoFrame,
            (Some(before), Some(received)) if received - before < least => FrameProgress::Stalled,
            (_, Some(_)) => FrameProgress::Arriving,
        }
    }

    /// The list or its changes came.
    pub(super) fn listed(&mut self, conn: ConnId, list: &List<'_>, now: Micros) {
        (self.list.heard_at, self.list.asked, self.list.received_within_frame) = (now, false, None);
        let scope = match (list.extent, self.list.revision) {
            (Extent::Full, _) => ListScope::Full,
            (Extent::Changes, Some(held)) if list.revision <= held => {
                debug!(held, revision = list.revision, "changes that are known already");
                return self.list_unchanged();
            }
            (Extent::Changes, Some(held)) if list.since == held => ListScope::Changes,
            (Extent::Changes, held) => {
                info!(?held, since = list.since, "a gap in the list's changes: asking for all of it");
                self.list.asked = true;
                self.connections.send_frame(conn, &Frame::GetList);
                return;
            }
        };
        self.list.backoff.worked();
        self.list.revision = Some(list.revision);
        self.list.told = true;
        let told: Vec<Told> = list.entries.iter().map(|e| Told::of(e, now)).collect();
        self.take_told(scope, list.revision, told, now);
    }

    pub(super) fn take_saved_list(&mut self, bytes: &[u8], now: Micros) -> Result<(), SavedListError> {
        let saved = SavedList::read(bytes)?;
        if saved.torn > 0 {
            warn!(bytes = saved.torn, "the end of the saved list is torn: the changes in it are left out");
        }
        let told = saved.entries.iter().map(|entry| Told::of(entry, now)).collect();
        self.take_told(ListScope::Cached, saved.revision, told, now);
        Ok(())
    }

    /// The service answered, and nothing has changed. The module hears of it: its count of failed calls ends there.
    pub(super) fn list_unchanged(&mut self) {
        self.events.push_back(Event::EndpointList(ListScope::Changes, Vec::new()));
    }

    pub(super) fn take_told(&mut self, scope: ListScope, revision: u64, told: Vec<Told>, now: Micros) {
        let told: Vec<NodeEntry> = told.into_iter().filter_map(|e| self.take_entry(e, now)).collect();
        info!(?scope, revision, entries = told.len(), "node list");
        let mut touched: BTreeSet<NodeId> = told.iter().map(|entry| entry.node).collect();
        if scope != ListScope::Changes {
            touched.append(&mut self.take_out_all_but(&touched, now));
        }
        self.events.push_back(Event::EndpointList(scope, told));
        self.withdraw_unsent_from_drained(&touched, now);
        for id in &touched {
            self.close_if_removed(*id, now);
        }
        match scope {
            // Only lists on frames are saved.
            _ if self.on_platform() => {}
            ListScope::Full => self.list.save.all_changed(),
            ListScope::Changes => self.list.save.changed(touched),
            ListScope::Cached | ListScope::Failed => {}
        }
    }

    /// What a whole list does not tell is gone. Returns those that were listed until now.
    fn take_out_all_but(&mut self, told: &BTreeSet<NodeId>, now: Micros) -> BTreeSet<NodeId> {
        let listed = self.nodes.iter().filter(|(_, node)| node.readiness() != Readiness::Removed);
        let absent: BTreeSet<NodeId> = listed.map(|(id, _)| id).filter(|id| !told.contains(id)).collect();
        for id in &absent {
            self.nodes.set_readiness(*id, Readiness::Removed, now);
        }
        absent
    }

    fn take_entry(&mut self, mut e: Told, now: Micros) -> Option<NodeEntry> {
        let known = self.nodes.id_of(&e.name);
        let address = self.told_address(&mut e, known)?;
        let id = match known {
            Some(id) => id,
            None => self.insert_node(&e, &address)?,
        };
        let node = self.nodes.get_mut(id)?;
        let before = (node.readiness(), node.incarnation);
        if e.incarnation > node.incarnation {
            // Fixed at first word of this start, by the list or by the node: a staler age that comes later
            // must not make it look like another.
            node.incarnation = e.incarnation;
            node.started_at = e.started_at;
        }
        let moved = node.address != address;
        // A whole list tells mostly what is known.
        let take_condition_changes = moved || before != (e.readiness, node.incarnation);
        (node.shard, node.zone, node.size, node.address) = (e.shard, e.zone, e.size, address);
        self.nodes.set_readiness(id, e.readiness, now);
        if take_condition_changes {
            debug!(node = %e.name, state = ?e.readiness, shard = e.shard, address = e.address, "listed");
        }
        if moved {
            self.close_idle_connections(id, now);
        }
        // Told with the entry that tells it and not kept: it holds for that start of the node alone.
        let entry = self.nodes.get(id)?.entry(id);
        Some(NodeEntry { service_time: e.service_time, ..entry })
    }

    /// Where an entry says that its node listens. A known node whose address can't be read keeps the one it had, and
    /// takes nothing new there: what it was told besides holds all the same.
    fn told_address(&self, e: &mut Told, known: Option<NodeId>) -> Option<Address> {
        let cause = match e.address.parse() {
            Ok(address) => return Some(address),
            Err(cause) => cause,
        };
        let Some(known) = known.and_then(|id| self.nodes.get(id)) else {
            warn!(node = %e.name, %cause, "a listed node is left out");
            return None;
        };
        if e.readiness == Readiness::Serving {
            warn!(node = %e.name, %cause, "a listed node takes nothing new: its address can't be read");
            e.readiness = Readiness::Draining;
        }
        Some(known.address.clone())
    }

    fn insert_node(&mut self, e: &Told, address: &Address) -> Option<NodeId> {
        let bound = self.config.bounds.nodes;
        if self.nodes.len() >= bound {
            warn!(node = %e.name, bound, "a listed node beyond the bound is left out");
            return None;
        }
        Some(self.nodes.insert(e.name.clone(), address.clone()))
    }
}
