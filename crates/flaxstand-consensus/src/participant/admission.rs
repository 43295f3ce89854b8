//! Which hosts the leader lets join, up to a bound on the number of members.
//!
//! A host beyond the bound is refused without a log entry. It asks again at its usual pace, and joins once a
//! member was forgotten.

use crate::replicated_state::MAX_MEMBERS;
use std::collections::BTreeSet;
use tracing::warn;

/// Refused hosts that are remembered, most. Refusals of further hosts are not logged one by one.
const REFUSED_MOST: usize = 1_024;

/// What a leader does with a host that asks to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Its `Join` may be proposed.
    Join,
    /// Open log entries may take the last places: its next request is decided on.
    Later,
    /// There are as many members as may be.
    Refused,
}

/// Admission of new members by a leader.
#[derive(Debug)]
pub(super) struct Admission {
    members_most: usize,
    /// Hosts whose refusal was logged.
    refused: BTreeSet<String>,
}

impl Admission {
    /// Admission up to `MAX_MEMBERS`.
    pub(super) fn new() -> Admission {
        Admission { members_most: MAX_MEMBERS, refused: BTreeSet::new() }
    }

    /// Lowers the bound; it can't be raised.
    pub(super) fn limit(&mut self, members_most: usize) {
        self.members_most = self.members_most.min(members_most);
    }

    /// Decides on a host that is no member. `members` are listed already, and `open` log entries are not
    /// committed yet, each of which may be another's `Join`.
    pub(super) fn decide(&mut self, name: &str, members: usize, open: u64) -> Verdict {
        let room = self.members_most.saturating_sub(members) as u64;
        if room == 0 {
            self.log_refusal(name);
            return Verdict::Refused;
        }
        if open >= room {
            return Verdict::Later;
        }
        self.refused.remove(name);
        Verdict::Join
    }

    /// Logs the first refusal of each host.
    fn log_refusal(&mut self, name: &str) {
        if self.refused.len() >= REFUSED_MOST || self.refused.contains(name) {
            return;
        }
        self.refused.insert(name.to_owned());
        let most = self.members_most;
        warn!(
            host = name,
            most, "not admitted: there are as many members as may be; forget one that is gone"
        );
        if self.refused.len() == REFUSED_MOST {
            warn!(logged = REFUSED_MOST, "refusals of further hosts are not logged");
        }
    }
}
