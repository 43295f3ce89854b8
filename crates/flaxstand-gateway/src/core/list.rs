//! The node list: one connection to its service, called again after breaks; changes applied in the order
//! of their revisions; the whole list asked for after a gap; a copy saved for the next start.

use super::clients::Fault;
use super::nodes::{NodeName, NodePeer};
use super::plumbing::{Inlet, Peer, Stage, Timer};
use super::pool::Link;
use super::{Backoff, Core, Decider, Waits, Wire};
use crate::machine::{Address, ConnId, Micros};
use flaxstand::api::{Event, ListScope, NodeEntry, NodeId, Readiness};
use flaxstand_proto::{
    BodyLimit, Entry, Extent, Frame, FrameError, Inbox, List, Parting, Role, State, VERSION, VERSION_OLDEST,
    Welcome, decode_within, encode,
};
use thiserror::Error;
use tracing::{debug, info, warn};

/// On the platform a call of the list service that does not stand within this has failed.
const LIST_DIAL: Micros = Micros(250_000);

/// Why a saved list can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SavedListError {
    /// The bytes are no frame.
    #[error("it is damaged: {0}")]
    Damaged(#[from] FrameError),
    /// They end too early, or go on too long.
    #[error("it is not whole")]
    NotWhole,
    /// They are a frame, but no full list.
    #[error("it holds no full list")]
    NoList,
}

/// The list in a saved copy.
///
/// # Errors
/// It is none: see [`SavedListError`].
pub fn check_saved_list(bytes: &[u8]) -> Result<List<'_>, SavedListError> {
    match decode_within(bytes, BodyLimit::NodeList)? {
        Some((Frame::List(list), len)) if len == bytes.len() && list.extent == Extent::Full => Ok(list),
        Some((_, len)) if len == bytes.len() => Err(SavedListError::NoList),
        _ => Err(SavedListError::NotWhole),
    }
}

/// The list service.
#[derive(Debug)]
pub(super) struct ListPeer {
    pub(super) conn: Option<ConnId>,
    /// Of the list held, once the service has told one in this life.
    pub(super) revision: Option<u64>,
    heard_at: Micros,
    /// On the platform: the last call was answered.
    pub(super) answers: bool,
    /// The whole list has been asked for and has not come.
    asked: bool,
    /// It has changed; saved once the module has heard, or a pace would be saved with the wrong start.
    pub(super) unsaved: bool,
    pub(super) backoff: Backoff,
}

impl ListPeer {
    pub(super) fn new(waits: &Waits) -> Self {
        let backoff = Backoff::new(waits.list_retry.0, waits.list_retry.1);
        let (conn, revision, heard_at) = (None, None, Micros(0));
        ListPeer { conn, revision, heard_at, answers: false, asked: false, unsaved: false, backoff }
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
    pub(super) booted_at: Option<f64>,
    pub(super) shard: u32,
    pub(super) zone: u32,
    /// Hundredths; 0: not told.
    pub(super) size: u32,
    /// Unloaded time of a unit, ms.
    pub(super) pace: Option<f64>,
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
                State::Gone => Readiness::Gone,
            },
            booted_at: e.age.map(|age| now.ms() - Micros(age).ms()),
            shard: e.shard,
            zone: e.zone,
            size: e.size,
            pace: e.pace.map(|pace| Micros(pace.into()).ms()),
            address: e.address.to_owned(),
        }
    }
}

impl Core {
    /// The module wants to hear of changes.
    pub(super) fn subscribe(&mut self, now: Micros) {
        match self.list.conn {
            Some(conn) if self.plumbing.is_open(conn) && self.plumbing.speaks_frames(conn) => {
                self.plumbing.push(conn, &Frame::Watch);
            }
            Some(_) => {}
            None => self.call_list(now),
        }
    }

    pub(super) fn call_list(&mut self, now: Micros) {
        if self.list.conn.is_none() {
            let inlet = match self.config.wire {
                Wire::Frames => Inlet::Frames(Inbox::of_list_service()),
                Wire::Platform => Inlet::Link(Link::of_list(now)),
            };
            // Not the settings' time of targets, which may be longer than a change may stay unheard.
            let by = now.after(if self.on_platform() { LIST_DIAL } else { self.config.site.waits.dial });
            self.list.conn = Some(self.plumbing.dial(Peer::List, inlet, self.config.list.clone(), by));
        }
    }

    pub(super) fn list_greeted(&mut self, conn: ConnId, w: &Welcome<'_>, now: Micros) -> Result<(), Fault> {
        if w.role != Role::List || !(VERSION_OLDEST..=VERSION).contains(&w.version) {
            let text = format!("expected a list service, met {:?} of version {}", w.role, w.version);
            return Err((Parting::WrongPeer, text));
        }
        self.plumbing.is_at(conn, Stage::Open);
        (self.list.heard_at, self.list.asked) = (now, false);
        self.plumbing.at(now.after(self.config.site.waits.list_silence), Timer::ListSilence);
        self.plumbing.push(conn, &Frame::Watch);
        Ok(())
    }

    /// The connection is no more, or never came to be. The list held stays in use.
    pub(super) fn list_lost(&mut self, stage: Stage, cause: &str, now: Micros) {
        (self.list.conn, self.list.answers) = (None, false);
        warn!(cause, ?stage, "no connection to the list service; the list held stays in use");
        self.plumbing.cancel_all(Timer::ListSilence);
        if self.config.site.settings.list_on_request {
            // The module asked for it, and asks again when it sees fit.
            self.events.push_back(Event::List(ListScope::Failed, Vec::new()));
        } else {
            let wait = self.list.backoff.failed(&mut self.rng);
            self.plumbing.at(now.after(wait), Timer::ListCall);
        }
    }

    pub(super) fn list_call_failed(&mut self, now: Micros) {
        if let Some(conn) = self.list.conn {
            self.lost(conn, "the list service could not answer", true, now);
        }
    }

    pub(super) fn list_silent(&mut self, now: Micros) {
        let Some(conn) = self.list.conn else { return };
        if self.on_platform() {
            return self.lost(conn, "the list service is silent", true, now);
        }
        let silence = self.config.site.waits.list_silence;
        let due = self.list.heard_at.after(silence);
        if now < due {
            self.plumbing.at(due, Timer::ListSilence);
        } else if self.list.asked {
            self.hang_up(conn, Parting::Protocol, "the list service is silent", now);
        } else {
            self.list.asked = true;
            self.plumbing.push(conn, &Frame::GetList);
            self.plumbing.at(now.after(silence), Timer::ListSilence);
        }
    }

    /// The list or its changes came.
    pub(super) fn listed(&mut self, conn: ConnId, list: &List<'_>, now: Micros) {
        (self.list.heard_at, self.list.asked) = (now, false);
        let scope = match (list.extent, self.list.revision) {
            (Extent::Full, _) => ListScope::Full,
            (Extent::Changes, Some(held)) if list.revision <= held => {
                debug!(held, revision = list.revision, "changes that are known already");
                return;
            }
            (Extent::Changes, Some(held)) if list.since == held => ListScope::Changes,
            (Extent::Changes, held) => {
                info!(?held, since = list.since, "a gap in the list's changes: asking for all of it");
                self.list.asked = true;
                self.plumbing.push(conn, &Frame::GetList);
                return;
            }
        };
        self.list.backoff.worked();
        self.list.revision = Some(list.revision);
        self.take_list(scope, list, now);
        self.list.unsaved = true;
    }

    pub(super) fn take_saved_list(&mut self, bytes: &[u8], now: Micros) -> Result<(), SavedListError> {
        let list = check_saved_list(bytes)?;
        self.take_list(ListScope::Saved, &list, now);
        Ok(())
    }

    fn take_list(&mut self, scope: ListScope, list: &List<'_>, now: Micros) {
        let told: Vec<Told> = list.entries.iter().map(|e| Told::of(e, now)).collect();
        self.take_told(scope, list.revision, told, now);
    }

    pub(super) fn take_told(&mut self, scope: ListScope, revision: u64, told: Vec<Told>, now: Micros) {
        if scope != ListScope::Changes {
            self.nodes.values_mut().for_each(|n| n.is_now(Readiness::Gone, now));
        }
        let told: Vec<NodeEntry> = told.into_iter().filter_map(|e| self.take_entry(e, now)).collect();
        info!(?scope, revision, entries = told.len(), "node list");
        self.events.push_back(Event::List(scope, told));
        self.call_back_from_drained(now);
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        ids.into_iter().for_each(|at| self.close_if_gone(at, now));
    }

    fn take_entry(&mut self, e: Told, now: Micros) -> Option<NodeEntry> {
        let known = self.node_ids.get(&e.name).copied();
        let address: Address = match (e.address.parse(), known) {
            (Ok(address), _) => address,
            // What is gone needs no address any more.
            (Err(_), Some(id)) if e.readiness == Readiness::Gone => self.nodes.get(&id)?.address.clone(),
            (Err(cause), _) => {
                warn!(node = %e.name, %cause, "a listed node is left out");
                return None;
            }
        };
        let id = match known {
            Some(id) => id,
            None if self.nodes.len() >= self.config.bounds.nodes => {
                let bound = self.config.bounds.nodes;
                warn!(node = %e.name, bound, "a listed node beyond the bound is left out");
                return None;
            }
            None => {
                let id = NodeId(self.next_node);
                self.next_node += 1;
                self.nodes.insert(id, NodePeer::new(e.name.clone(), address.clone()));
                self.node_ids.insert(e.name.clone(), id);
                id
            }
        };
        let node = self.nodes.get_mut(&id)?;
        if e.incarnation > node.incarnation {
            // Fixed at first word of this start, by the list or by the node: a staler age that comes later
            // must not make it look like another.
            node.incarnation = e.incarnation;
            node.booted_at = e.booted_at;
        }
        node.is_now(e.readiness, now);
        let moved = node.address != address;
        (node.shard, node.zone, node.size, node.address) = (e.shard, e.zone, e.size, address);
        // Told with the entry that tells it and not kept: it holds for that start of the node alone.
        let entry = NodeEntry { pace: e.pace, ..node.entry(id) };
        info!(node = %e.name, state = ?e.readiness, shard = e.shard, address = e.address, "listed");
        if moved {
            self.drop_idle(id, now);
        }
        Some(entry)
    }

    pub(super) fn saved_list(&self, now: Micros) -> Vec<u8> {
        let listed = self.nodes.iter().filter(|(_, n)| n.readiness != Readiness::Gone);
        let addresses: Vec<String> = listed.clone().map(|(_, n)| n.address.to_string()).collect();
        let pace = |at: NodeId| match &self.decider {
            Decider::Module(brain) => brain.pace_of(at),
            Decider::Pipe(_) => None,
        };
        let entries = listed.zip(&addresses).map(|((at, n), address)| Entry {
            node: if let NodeName::Number(number) = n.name { number } else { 0 },
            incarnation: n.incarnation,
            state: if n.readiness == Readiness::Serving { State::Serving } else { State::Draining },
            age: n.booted_at.map(|at| Micros::from_ms(now.ms() - at).0),
            shard: n.shard,
            zone: n.zone,
            size: n.size,
            pace: pace(*at).and_then(|ms| u32::try_from(Micros::from_ms(ms).0).ok()),
            address,
        });
        let revision = self.list.revision.unwrap_or(0);
        let list = List { extent: Extent::Full, since: revision, revision, entries: entries.collect() };
        let mut bytes = Vec::new();
        encode(&Frame::List(list), &mut bytes);
        bytes
    }
}
