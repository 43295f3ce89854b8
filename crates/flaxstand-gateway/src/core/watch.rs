//! The list over HTTP: the whole of it once, then calls that wait for what is newer, each following the
//! answer to the last at once. A call that fails, or is silent for longer than it may wait, is told to the
//! module, which asks again when it sees fit.

use super::Core;
use super::list::Told;
use super::nodes::NodeName;
use super::plumbing::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{ListScope, Readiness};
use flaxstand_http::Answer;
use flaxstand_platform::{Listing, Target, TargetState, list_call};
use tracing::{info, warn};

/// So long after the longest wait that was asked for an answer is overdue.
const OVERDUE: Micros = Micros(1_000_000);
/// Zones that are told apart; targets of any more count to the last.
const ZONES_MOST: usize = 64;

impl Core {
    /// What to ask next.
    pub(super) fn next_list_call(&self) -> String {
        let wait = self.config.site.waits.watch;
        list_call(self.list.revision.map(|revision| (revision, wait.0 / 1000)))
    }

    /// It was asked: from now on its answer is waited for.
    pub(super) fn list_call_written(&mut self, now: Micros) {
        let wait = self.config.site.waits.watch.after(OVERDUE);
        self.plumbing.cancel_all(Timer::ListSilence);
        self.plumbing.at(now.after(wait), Timer::ListSilence);
    }

    pub(super) fn list_answered(&mut self, conn: ConnId, answer: &Answer, now: Micros) {
        if answer.status != 200 {
            warn!(status = answer.status, "the list service could not answer");
            return self.lost(conn, "the list service could not answer", true, now);
        }
        let listing: Listing = match serde_json::from_slice(&answer.body) {
            Ok(listing) => listing,
            Err(cause) => {
                warn!(%cause, "a list that can't be read");
                self.list.revision = None;
                return self.lost(conn, "a list that can't be read", true, now);
            }
        };
        self.take_listing(&listing, now);
        if answer.keeps {
            self.call_list_again(conn, now);
        } else {
            // It works, and only this connection ends: not a failure that the module should hear of.
            self.list.conn = None;
            self.plumbing.drop_quietly(conn);
            self.call_list(now);
        }
    }

    fn take_listing(&mut self, listing: &Listing, now: Micros) {
        let behind = self.list.revision.is_some_and(|held| listing.rev < held);
        let scope = if listing.all { ListScope::Full } else { ListScope::Changes };
        if behind && !listing.all {
            info!(held = self.list.revision, told = listing.rev, "the list went back: asking for all of it");
            self.list.revision = None;
            return;
        }
        self.list.revision = Some(listing.rev);
        self.list.backoff.worked();
        if listing.all || !listing.targets.is_empty() {
            self.take_platform_list(scope, listing, now);
        }
    }

    /// A list in the platform's words: told now, or as this host held it before it started.
    pub fn take_platform_list(&mut self, scope: ListScope, listing: &Listing, now: Micros) {
        let told: Vec<Told> = listing.targets.iter().map(|t| self.told(t)).collect();
        self.take_told(scope, listing.rev, told, now);
    }

    fn told(&mut self, t: &Target) -> Told {
        let zone = self.zones.iter().position(|z| *z == t.az).unwrap_or_else(|| {
            if self.zones.len() < ZONES_MOST {
                self.zones.push(t.az.clone());
            }
            self.zones.len() - 1
        });
        Told {
            name: NodeName::Uid(t.uid.clone()),
            incarnation: t.boot_ms,
            readiness: match t.state {
                TargetState::Up => Readiness::Serving,
                TargetState::Draining => Readiness::Draining,
                TargetState::Removed => Readiness::Gone,
            },
            // One clock is read by all machines: its start on ours, which may be before ours began.
            booted_at: (t.boot_ms > 0).then(|| t.boot_ms as f64 - Micros(self.config.calendar).ms()),
            shard: t.pod_group,
            zone: zone as u32,
            size: (t.capacity_hint * 100.0) as u32,
            pace: None,
            address: t.endpoint.clone(),
        }
    }

    /// The list service is elsewhere now. Guards against a list that goes stale unseen: the old one closes.
    pub(super) fn list_moved(&mut self, now: Micros) {
        if let Some(conn) = self.list.conn.take() {
            self.plumbing.drop_quietly(conn);
        }
        self.plumbing.cancel_all(Timer::ListSilence);
        self.list.revision = None;
        self.call_list(now);
    }
}
