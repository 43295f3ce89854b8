//! What a keeper does that a leader speaks to.

use super::{InjectedFault, Replica};
use crate::journal::Record;
use crate::log::{Entry, Snapshot};
use crate::message::MessageBody;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use tracing::info;

/// What a leader is answered.
pub(super) enum Heard {
    /// All up to there is held as it has it.
    Held(u64),
    /// What came does not fit, or its sender leads no more; all up to there fits.
    Missing(u64),
}

impl Replica {
    /// Whether the message comes from this term's leader, who is followed from now on.
    fn led_by(&mut self, from: &ReplicaId, term: u64, now: Micros) -> bool {
        if term < self.state.term {
            return false;
        }
        self.follow(term, now);
        if self.leader.as_ref() != Some(from) {
            info!(leader = from.name, term, "following");
            self.leader = Some(from.clone());
        }
        self.leader_heard = Some(now);
        self.put_off_election(now);
        true
    }

    pub(super) fn appended(
        &mut self,
        from: &ReplicaId,
        term: u64,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        now: Micros,
    ) -> Heard {
        if !self.led_by(from, term, now) {
            return Heard::Missing(0);
        }
        let (before, before_term) = prev;
        let log = &self.state.log;
        let in_snapshot = before < log.snapshot.index;
        let fits = in_snapshot || log.term(before) == Some(before_term);
        if !fits && self.config.injected_fault != InjectedFault::GapTaken {
            // All that is agreed on here the leader has as well.
            return Heard::Missing(self.committed);
        }
        let upto = before + entries.len() as u64;
        // What is here already stays: a late message must not take back what a newer one brought.
        let known =
            |(index, e): &(u64, Entry)| *index <= log.snapshot.index || log.term(*index) == Some(e.term);
        let new: Vec<(u64, Entry)> = (before + 1..).zip(entries).skip_while(known).collect();
        if let Some((first, _)) = new.first() {
            let first = *first;
            assert!(first > self.committed, "what is agreed on is never taken back");
            let entries: Vec<Entry> = new.into_iter().map(|(_, e)| e).collect();
            self.state.log.truncate(first);
            self.state.log.entries.extend(entries.iter().cloned());
            self.promise(Record::Entries(first, entries));
        }
        let surely = upto.max(if in_snapshot { self.committed } else { 0 });
        self.learn_commit(commit.min(surely));
        Heard::Held(surely)
    }

    pub(super) fn install(&mut self, from: &ReplicaId, term: u64, snapshot: Snapshot, now: Micros) -> Heard {
        if !self.led_by(from, term, now) {
            return Heard::Missing(0);
        }
        if snapshot.index > self.committed {
            info!(index = snapshot.index, "taking a snapshot in place of entries");
            let index = snapshot.index;
            if self.state.log.term(index) == Some(snapshot.term) {
                // What follows it here is kept.
                self.state.log.compact(index, snapshot.state);
                self.state.log.snapshot.electorate = snapshot.electorate;
            } else {
                self.state.log.entries.clear();
                self.state.log.snapshot = snapshot;
            }
            self.committed = index;
            self.state.written += 1;
            self.journal.renew(self.state.log.last());
            self.tell_state();
        }
        Heard::Held(self.committed)
    }

    pub(super) fn answer_leader(&mut self, to: &ReplicaId, heard: Heard, stamp: u64) {
        // An old copy must not confirm what its later life may have confirmed otherwise.
        let body = match heard {
            Heard::Held(upto) | Heard::Missing(upto) if self.recovering.is_some() => MessageBody::Has(upto),
            Heard::Held(upto) => MessageBody::Held(upto, stamp),
            Heard::Missing(surely) => MessageBody::Missing(surely, stamp),
        };
        self.tell(to, body);
    }

    fn learn_commit(&mut self, upto: u64) {
        self.committed = self.committed.max(upto.min(self.state.log.last()));
    }
}
