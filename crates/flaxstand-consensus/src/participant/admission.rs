//! Which initiators the leader admits as members, up to a bound on their number.
//!
//! One beyond the bound is refused without a log entry. It asks again at its usual pace, and is admitted once
//! a member was forgotten.

use crate::replicated_state::MAX_MEMBERS;
use std::collections::BTreeSet;
use tracing::warn;

/// Refused initiators that are remembered, most. Refusals of further ones are not logged one by one.
const MAX_LOGGED_REFUSALS: usize = 1_024;

/// What a leader does with an initiator that asks to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Its `Join` may be proposed.
    Admit,
    /// Uncommitted log entries may take the last places: its next request is decided on.
    Later,
    /// There are as many members as may be.
    Refuse,
}

/// Admission of new members by a leader.
#[derive(Debug)]
pub(super) struct Admission {
    max_members: usize,
    /// Initiators whose refusal was logged.
    refused: BTreeSet<String>,
}

impl Admission {
    /// Admission up to [`MAX_MEMBERS`].
    pub(super) fn new() -> Admission {
        Admission { max_members: MAX_MEMBERS, refused: BTreeSet::new() }
    }

    /// Lowers the bound; it can't be raised.
    pub(super) fn limit(&mut self, max_members: usize) {
        self.max_members = self.max_members.min(max_members);
    }

    /// Decides on an initiator that is no member. There are `members` already, and `uncommitted` log entries,
    /// each of which may be another's `Join`.
    pub(super) fn decide(&mut self, name: &str, members: usize, uncommitted: u64) -> Verdict {
        let capacity = self.max_members.saturating_sub(members) as u64;
        if capacity == 0 {
            self.log_refusal(name);
            return Verdict::Refuse;
        }
        if uncommitted >= capacity {
            return Verdict::Later;
        }
        self.refused.remove(name);
        Verdict::Admit
    }

    /// Logs the first refusal of each initiator.
    fn log_refusal(&mut self, name: &str) {
        if self.refused.len() >= MAX_LOGGED_REFUSALS || self.refused.contains(name) {
            return;
        }
        self.refused.insert(name.to_owned());
        let most = self.max_members;
        warn!(
            host = name,
            most, "not admitted: there are as many members as may be; forget one that is gone"
        );
        if self.refused.len() == MAX_LOGGED_REFUSALS {
            warn!(logged = MAX_LOGGED_REFUSALS, "refusals of further hosts are not logged");
        }
    }
}
