//! What a leader knows of each other replica: how far its log matches, when it was heard.

use crate::replica_id::{Incarnation, ReplicaId};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;
use tracing::info;

/// Newcomers that a leader speaks to, most.
const LEARNERS_MOST: usize = 8;

/// A replica that started in this life and may run on an old copy of its folder.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unsure {
    pub(super) incarnation: Incarnation,
    /// When it asked whether a later life of it was seen.
    pub(super) asked_at: Micros,
    /// All up to there is in its log since.
    pub(super) has: u64,
}

/// One replica as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// All up to there is durable there.
    pub(super) match_index: u64,
    /// That counts once so many records are durable here: until then an old copy of its folder would not be known.
    pub(super) counts_after: u64,
    /// What counted last.
    pub(super) counted_index: u64,
    /// The entry to send next.
    pub(super) next_index: u64,
    pub(super) heard_at: Micros,
    /// When the newest of the messages was written that it answered.
    pub(super) newest_stamp: Micros,
    /// It started, and was not brought up to date yet.
    pub(super) recovering: Option<Unsure>,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Micros) -> Progress {
        Progress {
            match_index: 0,
            counts_after: 0,
            counted_index: 0,
            next_index,
            heard_at: now,
            newest_stamp: Micros(0),
            recovering: None,
        }
    }
}

/// A leader's view of the others.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<ReplicaId, Progress>,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: Micros,
}

impl LeaderState {
    pub(super) fn new(peers: impl Iterator<Item = ReplicaId>, last: u64, now: Micros) -> LeaderState {
        let peers = peers.map(|peer| (peer, Progress::new(last + 1, now))).collect();
        LeaderState { peers, heartbeat_at: now }
    }

    /// See `Replica::essence`.
    pub(super) fn essence(&self) -> String {
        let of = |(peer, progress): (&ReplicaId, &Progress)| {
            let has = progress.recovering.map(|recovering| recovering.has);
            format!("{} {} {} {has:?}", peer.name, progress.counted_index, progress.next_index)
        };
        format!("leads {:?}", self.peers.iter().map(of).collect::<Vec<_>>())
    }

    /// A replica started and is not sure of itself.
    pub(super) fn recovering(&mut self, replica: &ReplicaId, incarnation: Incarnation, now: Micros) {
        if let Some(progress) = self.peers.get_mut(replica)
            && progress.recovering.is_none_or(|recovering| recovering.incarnation != incarnation)
        {
            progress.recovering = Some(Unsure { incarnation, asked_at: now, has: 0 });
        }
    }

    /// One that is in no electorate asks to be taken in.
    pub(super) fn learner(&mut self, replica: ReplicaId, now: Micros) {
        if let Some(progress) = self.peers.get_mut(&replica) {
            progress.heard_at = now;
        } else if self.peers.len() < LEARNERS_MOST {
            info!(name = replica.name, "a new keeper asks to be taken in");
            self.peers.insert(replica, Progress::new(1, now));
        }
    }
}
