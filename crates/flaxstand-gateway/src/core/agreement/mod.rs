//! Where the agreement is attached to the core: messages of other initiators and of operators in, messages
//! out, and the rules in effect to the decision module. All that is decided is `flaxstand-consensus`'s.
//!
//! - [`peers`]: the connections

mod peers;

pub(super) use peers::AgreementPeer;

use super::Core;
use super::config::ConsensusPeer;
use super::peer_fault::PeerFault;
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use crate::settings::settings_of;
use flaxstand::api::Event;
use flaxstand_consensus::participant::{Config, Participant, PeerMessage, StoredReplica};
use flaxstand_consensus::replica::InjectedFault;
use flaxstand_consensus::replicated_state::IndexedState;
use flaxstand_consensus::rules::Rules;
use flaxstand_proto::{Hello, Welcome};
use peers::{AgreementPeers, sender};

/// The agreement with other initiators, and the connections to them.
#[derive(Debug)]
pub(super) struct Agreement {
    participant: Participant,
    peers: AgreementPeers,
}

impl Core {
    /// Agrees with other initiators from now on: with a replica, given what its folder held, or as a member
    /// alone. `saved` is the replicated state that was saved before; messages come in at the listener of that
    /// number.
    pub fn start_agreement(
        &mut self,
        listener: usize,
        stored: Option<StoredReplica>,
        saved: Option<IndexedState>,
        now: Micros,
    ) {
        let Some(settings) = &self.config.consensus else { return };
        let names = |peers: &[ConsensusPeer]| peers.iter().map(|peer| peer.name.clone()).collect();
        let config = Config {
            name: self.config.name.clone(),
            epoch: self.config.epoch,
            voters: names(&settings.voters),
            neighbours: names(&settings.other_initiators),
            lease: settings.lease_duration,
            clock_error: settings.max_clock_drift,
            election_timeout: settings.election_timeout,
            seed: self.config.seed ^ self.config.epoch,
            local_rules: settings.initial_rules.clone(),
            injected_fault: InjectedFault::None,
        };
        let all = settings.voters.iter().chain(&settings.other_initiators);
        let others = all.filter(|peer| peer.name != self.config.name);
        let peers = AgreementPeers::new(listener, others, now);
        let participant = Participant::new(config, stored, saved, self.config.calendar, now);
        self.agreement = Some(Agreement { participant, peers });
        self.timers.set(now, Timer::Agreement);
    }

    /// The agreement, where there is one.
    pub fn agreement(&self) -> Option<&Participant> {
        self.agreement.as_ref().map(|agreement| &agreement.participant)
    }

    /// Whether a listener is the agreement's, and not the clients'.
    pub(super) fn is_agreement_listener(&self, listener: usize) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.peers.is_listener(listener))
    }

    /// Accepts a connection at the agreement's address.
    ///
    /// # Errors
    /// There are as many as may be; nothing is sent before the close.
    pub(super) fn accept_agreement_peer(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        let agreement = self.agreement.as_mut().ok_or_else(Vec::new)?;
        let greeting = self.config.site.timeouts.greeting_timeout;
        agreement.peers.accept(&mut self.connections, &mut self.timers, greeting, now).ok_or_else(Vec::new)
    }

    pub(super) fn agreement_peer_greeted(
        &mut self,
        conn: ConnId,
        hello: &Hello<'_>,
    ) -> Result<(), PeerFault> {
        match &self.agreement {
            Some(agreement) => agreement.peers.handle_hello(&mut self.connections, &self.config, conn, hello),
            None => Ok(()),
        }
    }

    pub(super) fn agreement_peer_welcomed(
        &mut self,
        conn: ConnId,
        welcome: &Welcome<'_>,
    ) -> Result<(), PeerFault> {
        match &mut self.agreement {
            Some(agreement) => agreement.peers.handle_welcome(&mut self.connections, conn, welcome),
            None => Ok(()),
        }
    }

    pub(super) fn agreement_message_received(
        &mut self,
        conn: ConnId,
        bytes: &[u8],
        now: Micros,
    ) -> Result<(), PeerFault> {
        let message: PeerMessage =
            postcard::from_bytes(bytes).map_err(|error| PeerFault::protocol(format!("no word: {error}")))?;
        let from = sender(&self.connections, conn)?;
        if let Some(agreement) = &mut self.agreement {
            agreement.participant.receive(conn.0, from.as_deref(), message, now);
        }
        Ok(())
    }

    pub(super) fn agreement_peer_lost(&mut self, peer: &AgreementPeer, cause: &str, now: Micros) {
        if let Some(agreement) = &mut self.agreement {
            agreement.peers.handle_lost(peer, cause, &mut self.rng, now);
        }
    }

    pub(super) fn agreement_batch_stored(&mut self, succeeded: bool, now: Micros) {
        if let Some(agreement) = &mut self.agreement {
            agreement.participant.batch_stored(succeeded, now);
        }
    }

    /// Gives the lease back; the process is about to end.
    pub(super) fn release_lease(&mut self, now: Micros) {
        if let Some(agreement) = &mut self.agreement {
            agreement.participant.release_lease(now);
        }
        self.step_agreement(now);
    }

    /// Applies the rules in effect in this turn, before anything is decided in it, and hands out what the
    /// agreement has to store and to send. Guards against a lease that ended while the process was stopped.
    /// Returns when it is to be called again at the latest.
    pub(super) fn step_agreement(&mut self, now: Micros) -> Option<Micros> {
        let participant = &mut self.agreement.as_mut()?.participant;
        if participant.wake_at(now) <= now {
            participant.tick(now);
        }
        let rules = participant.take_rules_change(now);
        if let Some(batch) = participant.next_batch(now) {
            self.connections.command(Command::StoreConsensus(batch));
        }
        // Saved before messages go out: guards against a stage that is confirmed and forgotten.
        if let Some(state) = participant.take_unsaved() {
            self.connections.command(Command::SaveReplicatedState(state));
        }
        let outgoing = participant.take_outgoing();
        if let Some(rules) = rules {
            self.apply_rules(&rules, now);
        }
        let dial_timeout = self.config.site.timeouts.connect_timeout;
        let agreement = self.agreement.as_mut()?;
        for (to, message) in outgoing {
            agreement.peers.send(&mut self.connections, &mut self.timers, to, &message, dial_timeout, now);
        }
        // At least one moment on: what follows from a turn is the next turn's.
        Some(agreement.participant.wake_at(now).max(Micros(now.0 + 1)))
    }

    /// The decision module gets the rules, also for requests that are held or in flight.
    fn apply_rules(&mut self, rules: &Rules, now: Micros) {
        self.cancel_unsent_attempts(now);
        self.config.site.settings = settings_of(rules, &self.config.site);
        let settings = super::module_settings(&self.config);
        self.module_classes = settings.classes.clone();
        let mut actions = Vec::new();
        self.policy.handle(Event::SettingsChanged(Box::new(settings)), now, &mut actions);
        self.evaluation.request();
    }

    /// Closes connections to nodes on which attempts wait that were decided on under the rules before, since
    /// the node does not read. The module is told that they were not executed.
    fn cancel_unsent_attempts(&mut self, now: Micros) {
        let to_nodes = self.connections.upstream();
        let waiting = to_nodes.filter(|(_, open)| !open.outbox.is_empty()).map(|(conn, _)| conn);
        let waiting: Vec<ConnId> = waiting.collect();
        for conn in waiting {
            self.close_discarding_output(conn, "the rules changed while requests waited to leave", now);
        }
    }
}
