//! Applies committed entries to the replicated state and advances the rollout on the leader.

use super::applied::Applied;
use super::{OperatorReply, Participant};
use crate::lease_manager::LeaseManager;
use crate::replica::{Committed, Replica};
use crate::replicated_state::ReplicatedState;
use flaxstand_proto::Micros;
use tracing::{info, warn};

/// Number of log entries that a replica keeps before it compacts them into a snapshot.
const MAX_LOG_ENTRIES: u64 = 64;

impl Participant {
    /// Applies committed entries. On the leader, also advances the rollout.
    pub(super) fn apply_committed(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        for committed in replica.take_committed() {
            match committed {
                Committed::Snapshot { index, state } => self.install_snapshot(index, &state),
                Committed::Change { index, change } => self.apply_change(index, &change),
            }
        }
        self.compact_log();
        if self.applied.state().stage > 0 {
            self.member.update_state(self.applied.state_index(), self.applied.state());
        }
        if self.replica.as_ref().is_some_and(Replica::is_leader) {
            self.advance_rollout(now);
        } else {
            self.stop_leading();
        }
    }

    fn install_snapshot(&mut self, index: u64, bytes: &[u8]) {
        match ReplicatedState::read(bytes) {
            Ok(state) => self.applied = Applied::from_snapshot(index, state),
            Err(error) => {
                warn!(%error, index, "cannot decode a snapshot; keeping the previous replicated state")
            }
        }
    }

    fn apply_change(&mut self, index: u64, bytes: &[u8]) {
        let outcome = self.applied.apply(index, bytes);
        if let Err(error) = &outcome {
            let why = error.to_string();
            info!(index, why, "committed change has no effect");
        }
        if let Some(connection) = self.pending_operations.remove(&index) {
            let reply = match outcome {
                Ok(number) => OperatorReply::Committed(number),
                Err(error) => OperatorReply::Refused(error.to_string()),
            };
            self.reply(connection, reply);
        }
    }

    fn compact_log(&mut self) {
        if let Some(replica) = &mut self.replica
            && replica.compactable_entries() > MAX_LOG_ENTRIES
        {
            replica.compact(self.applied.state().bytes());
        }
    }

    /// On a leader: puts the version that is being rolled out in force once nothing blocks it.
    fn advance_rollout(&mut self, now: Micros) {
        let Some(replica) = &mut self.replica else { return };
        let config = &self.config;
        let leases = self.leases.get_or_insert_with(|| {
            LeaseManager::new(config.lease, config.clock_error, config.injected_fault, now)
        });
        leases.set_stage(self.applied.state().stage);
        // Only while no other replica can become leader: another leader may have granted leases that this
        // one does not know of.
        let has_proven_leadership = replica.leads_until(now).is_some_and(|until| now < until);
        let has_uncommitted = replica.last_index() > replica.commit_index();
        if !has_proven_leadership || has_uncommitted {
            return;
        }
        let unix_time = self.unix_time_at_start + now.0;
        if let Some(change) = leases.change_in_force(self.applied.state(), unix_time, now) {
            // If the change is not appended, the next iteration proposes it again.
            let _ = replica.propose(change.bytes(), now);
        }
    }

    /// Discards leader state and notifies waiting operators that their changes may be lost.
    fn stop_leading(&mut self) {
        self.leases = None;
        for connection in std::mem::take(&mut self.pending_operations).into_values() {
            let why = "the leader changed before the change was committed: check the history and try again";
            self.reply(connection, OperatorReply::Refused(why.into()));
        }
    }
}
