//! Admission of new members by the leader, up to a maximum number.
//!
//! An initiator beyond the maximum is rejected without a log entry. It keeps sending requests at the normal
//! rate and is admitted once a member has been removed.

use crate::replicated_state::MAX_MEMBERS;
use std::collections::BTreeSet;
use tracing::warn;

/// Maximum number of rejected initiators that are tracked. Rejections beyond it are not logged
/// individually.
const MAX_LOGGED_REJECTIONS: usize = 1_024;

/// Outcome of a request to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// The `Join` change may be proposed.
    Admit,
    /// Uncommitted log entries may use up the remaining capacity. The decision is deferred to the
    /// initiator's next request.
    Defer,
    /// The maximum number of members is reached.
    Reject,
}

/// Admission state of a leader.
#[derive(Debug)]
pub(super) struct Admission {
    max_members: usize,
    /// Initiators whose rejection has been logged.
    logged_rejections: BTreeSet<String>,
}

impl Admission {
    /// Admits up to [`MAX_MEMBERS`] members.
    pub(super) fn new() -> Admission {
        Admission { max_members: MAX_MEMBERS, logged_rejections: BTreeSet::new() }
    }

    /// Lowers the maximum number of members; it can't be raised.
    pub(super) fn limit(&mut self, max_members: usize) {
        self.max_members = self.max_members.min(max_members);
    }

    /// Decides on an initiator that is not a member. `members` is the current number of members; each of
    /// the `uncommitted` log entries may be the `Join` of another one.
    pub(super) fn decide(&mut self, name: &str, members: usize, uncommitted: u64) -> AdmissionDecision {
        let capacity = self.max_members.saturating_sub(members) as u64;
        if capacity == 0 {
            self.log_rejection(name);
            return AdmissionDecision::Reject;
        }
        if uncommitted >= capacity {
            return AdmissionDecision::Defer;
        }
        self.logged_rejections.remove(name);
        AdmissionDecision::Admit
    }

    /// Logs the first rejection of each initiator.
    fn log_rejection(&mut self, name: &str) {
        if self.logged_rejections.len() >= MAX_LOGGED_REJECTIONS || self.logged_rejections.contains(name) {
            return;
        }
        self.logged_rejections.insert(name.to_owned());
        let most = self.max_members;
        warn!(
            host = name,
            most, "host not admitted: the maximum number of members is reached; forget a decommissioned one"
        );
        if self.logged_rejections.len() == MAX_LOGGED_REJECTIONS {
            warn!(logged = MAX_LOGGED_REJECTIONS, "further rejected hosts are not logged");
        }
    }
}
