//! From the keepers' log to the replicated state, and what a leader does by itself: leases and changes of stage.

use super::{OperatorReply, Participant};
use crate::lease_manager::LeaseManager;
use crate::replica::{Committed, Replica};
use crate::replicated_state::{Change, ReplicatedState};
use flaxstand_proto::Micros;
use tracing::{info, warn};

/// Entries that keepers keep one by one before they put the replicated state in their place.
const ENTRIES_MOST: u64 = 64;

/// The replicated state as a keeper made it of what was agreed on.
///
/// Its indices are those of log entries, so they compare across leaders and restarts: a copy with index `i` is the
/// state after entry `i`. Keepers may know different indices for the same state, since a snapshot does not tell
/// which entry changed it last and its own index is taken. Each is one of an entry at or after the last change, so
/// a member with an older copy has a lower index than any of them, and is sent the state.
#[derive(Debug, Default)]
pub(super) struct Applied {
    /// The newest entry that was applied.
    pub(super) index: u64,
    /// The state changed last at this entry, or before it.
    state_index: u64,
    /// Likewise for all of it but the list of members, on which only keepers act: leaders send other members the
    /// state when their copy is older than this.
    pub(super) versions_index: u64,
    pub(super) replicated_state: ReplicatedState,
}

impl Applied {
    /// The state of a snapshot.
    fn of_snapshot(index: u64, replicated_state: ReplicatedState) -> Applied {
        Applied { index, state_index: index, versions_index: index, replicated_state }
    }

    /// Applies an entry.
    ///
    /// # Errors
    /// It changes nothing; why, in words for whoever wanted it.
    fn apply(&mut self, index: u64, bytes: &[u8]) -> Result<u64, String> {
        self.index = index;
        let change = match postcard::from_bytes::<Change>(bytes) {
            Ok(change) => change,
            Err(error) => {
                // Where a newer build leads members may have been sent what it made of the entry.
                (self.state_index, self.versions_index) = (index, index);
                return Err(format!("a newer build wrote it: {error}"));
            }
        };
        let (stage, members) = (self.replicated_state.stage, self.replicated_state.members.len());
        let outcome = self.replicated_state.apply(change);
        // Each change of versions begins a stage; one of the list adds a name or takes one away.
        if self.replicated_state.stage != stage {
            (self.state_index, self.versions_index) = (index, index);
        } else if self.replicated_state.members.len() != members {
            self.state_index = index;
        }
        outcome
    }
}

impl Participant {
    /// Applies what keepers agreed on. A leader then does what is due.
    pub(super) fn settle(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        for agreed in replica.take_agreed() {
            match agreed {
                Committed::State(index, bytes) => self.install(index, &bytes),
                Committed::Change(index, bytes) => self.apply(index, &bytes),
            }
        }
        self.compact();
        if self.applied.replicated_state.stage > 0 {
            self.member.learn(self.applied.state_index, &self.applied.replicated_state);
        }
        if self.replica.as_ref().is_some_and(Replica::leads) { self.lead(now) } else { self.stop_leading() }
    }

    fn install(&mut self, index: u64, bytes: &[u8]) {
        match ReplicatedState::read(bytes) {
            Ok(replicated_state) => self.applied = Applied::of_snapshot(index, replicated_state),
            Err(error) => warn!(%error, index, "a snapshot that is no replicated state"),
        }
    }

    fn apply(&mut self, index: u64, bytes: &[u8]) {
        let outcome = self.applied.apply(index, bytes);
        if let Err(why) = &outcome {
            info!(index, why, "a change that changes nothing");
        }
        if let Some(connection) = self.operator_requests.remove(&index) {
            self.reply(connection, outcome.map_or_else(OperatorReply::Refused, OperatorReply::Committed));
        }
    }

    fn compact(&mut self) {
        if let Some(replica) = &mut self.replica
            && replica.compactable() > ENTRIES_MOST
        {
            replica.compact(self.applied.replicated_state.bytes());
        }
    }

    /// Puts the version under way in force once nothing blocks it.
    fn lead(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        let config = &self.config;
        let leases = self.leases.get_or_insert_with(|| {
            LeaseManager::new(config.lease, config.clock_error, config.injected_fault, now)
        });
        leases.at_stage(self.applied.replicated_state.stage);
        // Only while nobody else can lead: leases that another gave are not known here.
        let surely_leads = replica.leads_until(now).is_some_and(|until| now < until);
        let pending = replica.last() > replica.committed();
        if !surely_leads || pending {
            return;
        }
        if let Some(change) =
            leases.change_in_force(&self.applied.replicated_state, self.calendar + now.0, now)
        {
            // Where it is not taken the next turn proposes it again.
            let _ = replica.propose(change.bytes(), now);
        }
    }

    /// Operators that wait for a change of ours are told that it may be lost.
    fn stop_leading(&mut self) {
        self.leases = None;
        for connection in std::mem::take(&mut self.operator_requests).into_values() {
            let why = "the leader was lost before it was agreed on: look at the history, and try again";
            self.reply(connection, OperatorReply::Refused(why.into()));
        }
    }
}
