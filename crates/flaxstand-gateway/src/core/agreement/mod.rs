//! Connects the consensus participant to the core: delivers messages of other initiators and operators to it,
//! sends its messages, and applies the rules in effect to the decision module. `flaxstand-consensus` makes
//! all decisions of the protocol.
//!
//! - [`peers`]: connections to other initiators and operators

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

/// The consensus participant, and its connections to other initiators and operators.
#[derive(Debug)]
pub(super) struct Agreement {
    participant: Participant,
    peers: AgreementPeers,
}

impl Core {
    /// Starts the consensus participant, if one is configured. `stored` is the stored data of the replica,
    /// for an initiator that has one; without it, the initiator is a member only. `saved` is the last saved
    /// replicated state. `listener` is the index of the listener for peers.
    pub fn start_agreement(
        &mut self,
        listener: usize,
        stored: Option<StoredReplica>,
        saved: Option<IndexedState>,
        now: Micros,
    ) {
        let Some(settings) = &self.config.consensus else { return };
        let names_of = |peers: &[ConsensusPeer]| peers.iter().map(|peer| peer.name.clone()).collect();
        let config = Config {
            name: self.config.name.clone(),
            epoch: self.config.epoch,
            voters: names_of(&settings.voters),
            neighbours: names_of(&settings.other_initiators),
            lease: settings.lease_duration,
            clock_error: settings.max_clock_drift,
            election_timeout: settings.election_timeout,
            seed: self.config.seed ^ self.config.epoch,
            local_rules: settings.initial_rules.clone(),
            injected_fault: InjectedFault::None,
        };
        let all_peers = settings.voters.iter().chain(&settings.other_initiators);
        let other_peers = all_peers.filter(|peer| peer.name != self.config.name);
        let peers = AgreementPeers::new(listener, other_peers, now);
        let participant = Participant::new(config, stored, saved, self.config.calendar, now);
        self.agreement = Some(Agreement { participant, peers });
        self.timers.set(now, Timer::Agreement);
    }

    /// The consensus participant, if it was started.
    pub fn agreement(&self) -> Option<&Participant> {
        self.agreement.as_ref().map(|agreement| &agreement.participant)
    }

    /// Returns whether the listener accepts agreement peers rather than clients.
    pub(super) fn is_agreement_listener(&self, listener: usize) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.peers.is_listener(listener))
    }

    /// Accepts a connection on the agreement listener.
    ///
    /// # Errors
    /// The agreement is not configured, or the limit on accepted connections is reached. The error is empty:
    /// the connection is closed without a final frame.
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
        let message: PeerMessage = postcard::from_bytes(bytes).map_err(|error| {
            PeerFault::protocol(format!("malformed agreement message of {} bytes: {error}", bytes.len()))
        })?;
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

    /// Releases the lease before the process exits.
    pub(super) fn release_lease(&mut self, now: Micros) {
        if let Some(agreement) = &mut self.agreement {
            agreement.participant.release_lease(now);
        }
        self.step_agreement(now);
    }

    /// Runs the consensus participant: issues its storage commands, sends its messages and applies changed
    /// rules. Runs before any decision of the turn, so that a lease that expired while the process was
    /// suspended is not used. Returns the latest time for the next call.
    pub(super) fn step_agreement(&mut self, now: Micros) -> Option<Micros> {
        let participant = &mut self.agreement.as_mut()?.participant;
        if participant.wake_at(now) <= now {
            participant.tick(now);
        }
        let rules = participant.take_rules_change(now);
        if let Some(batch) = participant.next_batch(now) {
            self.connections.command(Command::StoreConsensus(batch));
        }
        // The state is saved before messages are sent: a crash must not lose a stage that was confirmed.
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
        // At least 1 µs ahead: further work is left to the next turn.
        Some(agreement.participant.wake_at(now).max(Micros(now.0 + 1)))
    }

    /// Passes the rules to the decision module. They also apply to requests that are queued or in flight.
    fn apply_rules(&mut self, rules: &Rules, now: Micros) {
        self.cancel_unsent_attempts(now);
        self.config.site.settings = settings_of(rules, &self.config.site);
        let settings = super::module_settings(&self.config);
        self.module_classes = settings.classes.clone();
        let mut actions = Vec::new();
        self.policy.handle(Event::SettingsChanged(Box::new(settings)), now, &mut actions);
        self.evaluation.request();
    }

    /// Closes node connections with unsent output, since its attempts were decided under the previous rules
    /// and the node is not reading. The decision module is notified that they were not executed.
    fn cancel_unsent_attempts(&mut self, now: Micros) {
        let upstream = self.connections.upstream();
        let unsent = upstream.filter(|(_, open)| !open.outbox.is_empty()).map(|(conn, _)| conn);
        let unsent: Vec<ConnId> = unsent.collect();
        for conn in unsent {
            self.close_discarding_output(conn, "rules changed before queued requests were sent", now);
        }
    }
}
