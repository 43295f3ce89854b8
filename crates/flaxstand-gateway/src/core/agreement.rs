//! Where the agreement hangs in: words of other initiators and of operators in, words out, and the rules that hold
//! now for the module. All that is decided is `flaxstand-consensus`'s; here are connections, and calls that are made
//! again after a wait.

use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::peer_fault::PeerFault;
use super::timers::Timer;
use super::{Backoff, Core};
use crate::machine::{Address, Command, ConnId, Micros};
use crate::settings::settings_of;
use flaxstand::api::Event;
use flaxstand_consensus::participant::{Config, Destination, Participant, PeerMessage, StoredReplica};
use flaxstand_consensus::replica::InjectedFault;
use flaxstand_consensus::replicated_state::ReplicatedState;
use flaxstand_proto::{CloseReason, Frame, Hello, Inbox, Role, VERSION, VERSION_OLDEST, Welcome};
use std::collections::{BTreeMap, VecDeque};
use tracing::{debug, info, warn};

/// Words that wait for a call to stand, most. The oldest is dropped: whatever matters is said again.
const WAITING_MOST: usize = 64;
/// Bytes that wait for one that does not read, most. Further words to it are dropped.
const UNREAD_MOST: usize = 4 << 20;
/// Connections of other initiators and operators at a time.
const CALLERS_MOST: usize = 1024;
/// First and longest wait before one is called again.
const AGAIN: (Micros, Micros) = (Micros(50_000), Micros(1_000_000));

/// Whose connection at the agreement's address, or to one.
#[derive(Debug)]
pub(super) enum Fellow {
    /// It has not said who it is.
    Unknown,
    /// An initiator that called.
    Initiator(String),
    /// An operator's command.
    Operator,
    /// An initiator that was called.
    Called(String),
}

#[derive(Debug)]
struct Call {
    address: Address,
    conn: Option<ConnId>,
    /// Not called before then.
    again: Micros,
    backoff: Backoff,
    waiting: VecDeque<Vec<u8>>,
}

/// The agreement and the ways to others.
#[derive(Debug)]
pub(super) struct Agreed {
    pub(super) agreement: Participant,
    /// Which of the listeners is the agreement's.
    listener: usize,
    calls: BTreeMap<String, Call>,
    callers: usize,
}

impl Core {
    /// Agrees with other initiators from now on: as a keeper, with what its folder held, or as a member alone.
    /// `saved` is the book of an earlier life; words come in at the listener of that number.
    pub fn agree(
        &mut self,
        listener: usize,
        found: Option<StoredReplica>,
        saved: Option<(u64, ReplicatedState)>,
        now: Micros,
    ) {
        let Some(a) = &self.config.agreeing else { return };
        let names = |all: &[(String, Address)]| all.iter().map(|(n, _)| n.clone()).collect();
        let config = Config {
            name: self.config.name.clone(),
            epoch: self.config.epoch,
            voters: names(&a.keepers),
            neighbours: names(&a.others),
            lease: a.lease,
            clock_error: a.clock_error,
            election: a.election,
            seed: self.config.seed ^ self.config.epoch,
            started_with: a.started_with.clone(),
            injected_fault: InjectedFault::None,
        };
        let backoff = || Backoff::new(AGAIN.0, AGAIN.1);
        let call = |address: &Address| Call {
            address: address.clone(),
            conn: None,
            again: now,
            backoff: backoff(),
            waiting: VecDeque::new(),
        };
        let others = a.keepers.iter().chain(&a.others).filter(|(n, _)| *n != self.config.name);
        let calls = others.map(|(n, address)| (n.clone(), call(address))).collect();
        let agreement = Participant::new(config, found, saved, self.config.calendar, now);
        self.agreed = Some(Agreed { agreement, listener, calls, callers: 0 });
        self.timers.set(now, Timer::Agreement);
    }

    /// The agreement, where there is one.
    pub fn agreement(&self) -> Option<&Participant> {
        self.agreed.as_ref().map(|a| &a.agreement)
    }

    /// Whether a listener is the agreement's, and not the clients'.
    pub(super) fn is_agreements(&self, listener: usize) -> bool {
        self.agreed.as_ref().is_some_and(|a| a.listener == listener)
    }

    pub(super) fn fellow_accepted(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        let agreed = self.agreed.as_mut().filter(|a| a.callers < CALLERS_MOST);
        agreed.ok_or_else(Vec::new)?.callers += 1;
        let conn = self.connections.open(
            Peer::Fellow(Fellow::Unknown),
            Stage::Greeting,
            Protocol::Frames(Inbox::default()),
        );
        self.timers.set(now.after(self.config.site.waits.greeting), Timer::ConnectTimeout(conn));
        Ok(conn)
    }

    /// Who calls must be in the list that this initiator was told, or an operator's command.
    pub(super) fn fellow_greeted(&mut self, conn: ConnId, hello: &Hello<'_>) -> Result<(), PeerFault> {
        let (oldest, newest) = hello.versions;
        if oldest > VERSION || newest < VERSION_OLDEST {
            return Err(PeerFault::new(
                CloseReason::Version,
                format!("versions {oldest} to {newest}, {VERSION} is spoken here"),
            ));
        }
        let known = self.agreed.as_ref().is_some_and(|a| a.calls.contains_key(hello.name));
        let fellow = match hello.role {
            Role::Initiator if known => Fellow::Initiator(hello.name.to_owned()),
            Role::Client => Fellow::Operator,
            role => {
                return Err(PeerFault::new(
                    CloseReason::WrongPeer,
                    format!("{role:?} {:?} is not in the list", hello.name),
                ));
            }
        };
        debug!(conn = conn.0, ?fellow, "a fellow is here");
        if let Some(c) = self.connections.get_mut(conn) {
            (c.peer, c.stage) = (Peer::Fellow(fellow), Stage::Open);
        }
        let welcome = Welcome {
            version: VERSION.min(newest),
            role: Role::Initiator,
            id: self.config.index.into(),
            epoch: self.config.epoch,
            name: &self.config.name,
        };
        self.connections.send_frame(conn, &Frame::Welcome(welcome));
        Ok(())
    }

    /// One that was called answers.
    pub(super) fn fellow_welcomed(&mut self, conn: ConnId, w: &Welcome<'_>) -> Result<(), PeerFault> {
        let Some(Connection { peer: Peer::Fellow(Fellow::Called(name)), .. }) = self.connections.get(conn)
        else {
            return Err(PeerFault::protocol("a welcome that nobody waits for"));
        };
        if w.role != Role::Initiator || w.name != name {
            return Err(PeerFault::new(
                CloseReason::WrongPeer,
                format!("expected initiator {name:?}, met {:?} {:?}", w.role, w.name),
            ));
        }
        let name = name.clone();
        self.connections.set_stage(conn, Stage::Open);
        let call = self.agreed.as_mut().and_then(|a| a.calls.get_mut(&name));
        if let Some(call) = call {
            call.backoff.worked();
            let waiting = std::mem::take(&mut call.waiting);
            for bytes in &waiting {
                self.connections.send_frame(conn, &Frame::Agreement { bytes });
            }
        }
        Ok(())
    }

    pub(super) fn fellow_said(&mut self, conn: ConnId, bytes: &[u8], now: Micros) -> Result<(), PeerFault> {
        let word: PeerMessage =
            postcard::from_bytes(bytes).map_err(|e| PeerFault::protocol(format!("no word: {e}")))?;
        let from = match self.connections.get(conn).map(|c| &c.peer) {
            Some(Peer::Fellow(Fellow::Initiator(name) | Fellow::Called(name))) => Some(name.clone()),
            Some(Peer::Fellow(Fellow::Operator)) => None,
            _ => return Err(PeerFault::protocol("a word of a stranger")),
        };
        if let Some(agreed) = &mut self.agreed {
            agreed.agreement.heard(conn.0, from.as_deref(), word, now);
        }
        Ok(())
    }

    pub(super) fn fellow_lost(&mut self, fellow: &Fellow, cause: &str, now: Micros) {
        let Some(agreed) = &mut self.agreed else { return };
        let Fellow::Called(name) = fellow else {
            agreed.callers -= 1;
            return;
        };
        if let Some(call) = agreed.calls.get_mut(name) {
            debug!(name, cause, "no way to an initiator");
            call.conn = None;
            call.again = now.after(call.backoff.failed(&mut self.rng));
            call.waiting.clear();
        }
    }

    pub(super) fn batch_kept(&mut self, well: bool, now: Micros) {
        if let Some(agreed) = &mut self.agreed {
            agreed.agreement.stored(well, now);
        }
    }

    /// Gives the lease back.
    pub(super) fn leave_agreement(&mut self, now: Micros) {
        if let Some(agreed) = &mut self.agreed {
            agreed.agreement.leave(now);
        }
        self.settle_agreement(now);
    }

    /// The rules that hold in this turn, before anything is decided in it: a lease that ran out while the process
    /// stood still is noticed here. Then what the agreement has to say and to store.
    pub(super) fn settle_agreement(&mut self, now: Micros) -> Option<Micros> {
        let agreed = self.agreed.as_mut()?;
        if agreed.agreement.wake(now) <= now {
            agreed.agreement.tick(now);
        }
        let rules = agreed.agreement.take_rules_change(now);
        if let Some(batch) = agreed.agreement.batch(now) {
            self.connections.command(Command::StoreConsensus(batch));
        }
        if let Some(book) = agreed.agreement.take_unsaved() {
            self.connections.command(Command::SaveReplicatedState(book));
        }
        let words = agreed.agreement.take_outgoing();
        if let Some(rules) = rules {
            self.cut_what_waits(now);
            self.config.site.settings = settings_of(&rules, &self.config.site);
            let settings = super::module_settings(&self.config);
            self.module_classes = settings.classes.clone();
            let mut actions = Vec::new();
            self.policy.handle(Event::SettingsChanged(Box::new(settings)), now, &mut actions);
            self.evaluation.request();
        }
        for (to, word) in words {
            let bytes = match postcard::to_stdvec(&word) {
                Ok(bytes) if bytes.len() <= flaxstand_proto::MAX_BODY - 64 => bytes,
                _ => {
                    warn!(?to, "a word that does not fit a frame");
                    continue;
                }
            };
            match to {
                Destination::Connection(conn) => self.say_to(ConnId(conn), &bytes),
                Destination::Peer(name) => self.say_to_peer(&name, bytes, now),
            }
        }
        // At least one moment on: what a turn leads to is the next turn's.
        self.agreed.as_ref().map(|a| a.agreement.wake(now).max(Micros(now.0 + 1)))
    }

    /// What was decided on under the rules before and has not left yet, since its node does not read, never leaves:
    /// the connections that it waits on are closed, and the module hears that it never ran.
    fn cut_what_waits(&mut self, now: Micros) {
        let waiting = self.connections.upstream().filter(|(_, c)| !c.outbox.is_empty());
        let waiting: Vec<ConnId> = waiting.map(|(conn, _)| conn).collect();
        for conn in waiting {
            self.close_discarding_output(conn, "the rules changed while requests waited to leave", now);
        }
    }

    fn say_to(&mut self, conn: ConnId, bytes: &[u8]) {
        if self.connections.get(conn).is_some_and(|c| c.outbox.len() < UNREAD_MOST) {
            self.connections.send_frame(conn, &Frame::Agreement { bytes });
        }
    }

    fn say_to_peer(&mut self, name: &str, bytes: Vec<u8>, now: Micros) {
        let by = now.after(self.config.site.waits.dial);
        let Some(call) = self.agreed.as_mut().and_then(|a| a.calls.get_mut(name)) else { return };
        match call.conn {
            Some(conn) if self.connections.is_open(conn) => self.say_to(conn, &bytes),
            None if now < call.again => {}
            _ => {
                if call.waiting.len() >= WAITING_MOST {
                    call.waiting.pop_front();
                }
                call.waiting.push_back(bytes);
                if call.conn.is_none() {
                    let peer = Peer::Fellow(Fellow::Called(name.to_owned()));
                    let protocol = Protocol::Frames(Inbox::default());
                    call.conn = Some(self.connections.dial(
                        &mut self.timers,
                        peer,
                        protocol,
                        call.address.clone(),
                        by,
                    ));
                    info!(name, address = %call.address, "calling an initiator");
                }
            }
        }
    }
}
