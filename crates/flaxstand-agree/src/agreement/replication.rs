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
#[derive(Debug, Default)]
pub(super) struct Applied {
    /// The newest entry in it.
    pub(super) index: u64,
    pub(super) book: Book,
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
            self.member.learn(self.applied.index, &self.applied.book);
        }
        if self.keeper.as_ref().is_some_and(Keeper::leads) { self.lead(now) } else { self.stop_leading() }
    }

    fn install(&mut self, index: u64, bytes: &[u8]) {
        match Book::read(bytes) {
            Ok(book) => self.applied = Applied { index, book },
            Err(error) => warn!(%error, index, "a snapshot that is no replicated state"),
        }
    }

    fn apply(&mut self, index: u64, bytes: &[u8]) {
        let outcome = match postcard::from_bytes::<Change>(bytes) {
            Ok(change) => self.applied.book.apply(change),
            Err(error) => Err(format!("a newer build wrote it: {error}")),
        };
        self.applied.index = index;
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
