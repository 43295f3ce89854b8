//! From the keepers' log to the replicated state, and what a leader does by itself: leases and changes of stage.

use super::{Agreement, Reply};
use crate::book::{Book, Change};
use crate::keeper::{Agreed, Keeper};
use crate::lease_manager::LeaseManager;
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
    pub(super) book: Book,
}

impl Applied {
    /// The state of a snapshot.
    fn of_snapshot(index: u64, book: Book) -> Applied {
        Applied { index, state_index: index, versions_index: index, book }
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
        let (stage, members) = (self.book.stage, self.book.members.len());
        let outcome = self.book.apply(change);
        // Each change of versions begins a stage; one of the list adds a name or takes one away.
        if self.book.stage != stage {
            (self.state_index, self.versions_index) = (index, index);
        } else if self.book.members.len() != members {
            self.state_index = index;
        }
        outcome
    }
}

impl Agreement {
    /// Applies what keepers agreed on. A leader then does what is due.
    pub(super) fn settle(&mut self, now: Micros) {
        let Some(keeper) = &mut self.keeper else { return };
        for agreed in keeper.take_agreed() {
            match agreed {
                Agreed::State(index, bytes) => self.install(index, &bytes),
                Agreed::Change(index, bytes) => self.apply(index, &bytes),
            }
        }
        self.compact();
        if self.applied.book.stage > 0 {
            self.member.learn(self.applied.state_index, &self.applied.book);
        }
        if self.keeper.as_ref().is_some_and(Keeper::leads) { self.lead(now) } else { self.stop_leading() }
    }

    fn install(&mut self, index: u64, bytes: &[u8]) {
        match Book::read(bytes) {
            Ok(book) => self.applied = Applied::of_snapshot(index, book),
            Err(error) => warn!(%error, index, "a snapshot that is no replicated state"),
        }
    }

    fn apply(&mut self, index: u64, bytes: &[u8]) {
        let outcome = self.applied.apply(index, bytes);
        if let Err(why) = &outcome {
            info!(index, why, "a change that changes nothing");
        }
        if let Some(connection) = self.wishes.remove(&index) {
            self.reply(connection, outcome.map_or_else(Reply::Refused, Reply::Agreed));
        }
    }

    fn compact(&mut self) {
        if let Some(keeper) = &mut self.keeper
            && keeper.compactable() > ENTRIES_MOST
        {
            keeper.compact(self.applied.book.bytes());
        }
    }

    /// Puts the version under way in force once nothing blocks it.
    fn lead(&mut self, now: Micros) {
        let Some(keeper) = &mut self.keeper else { return };
        let config = &self.config;
        let leases = self
            .leases
            .get_or_insert_with(|| LeaseManager::new(config.lease, config.clock_error, config.planted, now));
        leases.at_stage(self.applied.book.stage);
        // Only while nobody else can lead: leases that another gave are not known here.
        let surely_leads = keeper.leads_until(now).is_some_and(|until| now < until);
        let pending = keeper.last() > keeper.committed();
        if !surely_leads || pending {
            return;
        }
        if let Some(change) = leases.change_in_force(&self.applied.book, self.calendar + now.0, now) {
            // Where it is not taken the next turn proposes it again.
            let _ = keeper.propose(change.bytes(), now);
        }
    }

    /// Operators that wait for a change of ours are told that it may be lost.
    fn stop_leading(&mut self) {
        self.leases = None;
        for connection in std::mem::take(&mut self.wishes).into_values() {
            let why = "the leader was lost before it was agreed on: look at the history, and try again";
            self.reply(connection, Reply::Refused(why.into()));
        }
    }
}
