//! The durable state and its journal. All changes of the state go through this module, so that each one is
//! recorded in the journal and every promise is counted.

use crate::journal::{DurableState, Journal, Record};
use crate::log::{Entry, EntryPayload, Snapshot};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;

/// Maximum number of other replicas whose latest incarnation is kept. Beyond it, those that are not voters
/// are removed.
const MAX_REPLICAS_SEEN: usize = 64;

/// A replica's durable state and its journal.
#[derive(Clone, Debug)]
pub(super) struct PersistentState {
    state: DurableState,
    journal: Journal,
}

impl PersistentState {
    /// Creates the state on a storage that holds these segments. Requests a checkpoint first, since the new
    /// incarnation must be durable.
    pub(super) fn new(state: DurableState, segments: Vec<u64>) -> PersistentState {
        let mut journal = Journal::new(segments);
        journal.request_checkpoint(state.log.last_index());
        PersistentState { state, journal }
    }

    pub(super) fn state(&self) -> &DurableState {
        &self.state
    }

    pub(super) fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Sets the term and the vote in it.
    pub(super) fn set_term_and_vote(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.state.term = term;
        self.state.voted_for.clone_from(&voted_for);
        self.record_promise(Record::HardState { term, voted_for });
    }

    /// Sets the vote without recording it: an injected fault.
    pub(super) fn vote_without_record(&mut self, candidate: ReplicaId) {
        self.state.voted_for = Some(candidate);
    }

    /// Appends an entry of the current term. Returns its index.
    pub(super) fn append_own_entry(&mut self, payload: EntryPayload) -> u64 {
        let entry = Entry { term: self.state.term, payload };
        let index = self.state.log.last_index() + 1;
        self.replace_entries(index, vec![entry]);
        index
    }

    /// Replaces the entries from `first_index` on.
    pub(super) fn replace_entries(&mut self, first_index: u64, entries: Vec<Entry>) {
        self.state.log.truncate(first_index);
        self.state.log.entries.extend(entries.iter().cloned());
        self.record_promise(Record::Entries { first_index, entries });
    }

    /// Installs a leader's snapshot. Entries after it are kept if they continue it (Raft §7).
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let log = &mut self.state.log;
        if log.term(snapshot.index) == Some(snapshot.term) {
            log.compact(snapshot.index, snapshot.state);
            log.snapshot.voters = snapshot.voters;
        } else {
            log.entries.clear();
            log.snapshot = snapshot;
        }
        self.checkpoint_promise();
    }

    /// Creates a cluster whose log starts with this snapshot.
    pub(super) fn bootstrap(&mut self, cluster_id: u64, snapshot: Snapshot) {
        self.state.cluster_id = cluster_id;
        self.state.term = snapshot.term;
        self.state.log.snapshot = snapshot;
        self.checkpoint_promise();
    }

    /// Joins an existing cluster.
    pub(super) fn join_cluster(&mut self, cluster_id: u64) {
        self.state.cluster_id = cluster_id;
        self.checkpoint_promise();
    }

    /// Replaces the state by that of a new instance without promises.
    pub(super) fn reset(&mut self, id: ReplicaId, incarnation: Incarnation) {
        self.state = DurableState::new(id, incarnation);
        self.journal.request_checkpoint(0);
    }

    /// Replaces all entries up to `index` with a snapshot of the application state.
    pub(super) fn compact(&mut self, index: u64, state: Vec<u8>) {
        self.state.log.compact(index, state);
        self.journal.request_checkpoint(self.state.log.last_index());
    }

    /// Records the latest incarnation seen of another replica. This is not a promise of the local replica.
    pub(super) fn record_last_seen(&mut self, replica: ReplicaId, seen: LastSeen) {
        let all = &mut self.state.last_seen;
        if all.len() >= MAX_REPLICAS_SEEN && !all.contains_key(&replica) {
            let voters = self.state.log.voters();
            all.retain(|other, _| voters.contains(other));
        }
        all.insert(replica.clone(), seen);
        self.journal.append(Record::LastSeen(replica, seen));
    }

    /// See [`Journal::next_batch`].
    pub(super) fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        self.journal.next_batch(&self.state, now)
    }

    /// See [`Journal::batch_stored`].
    pub(super) fn batch_stored(&mut self, succeeded: bool, now: Micros) {
        self.journal.batch_stored(succeeded, now);
    }

    /// Queues a record that must not be lost once a message depends on it.
    fn record_promise(&mut self, record: Record) {
        self.state.promises_written += 1;
        self.journal.append(record);
    }

    /// The same for a change that is recorded as a checkpoint.
    fn checkpoint_promise(&mut self) {
        self.state.promises_written += 1;
        self.journal.request_checkpoint(self.state.log.last_index());
    }
}
