//! The list over HTTP: the whole of it once, then calls that wait for what is newer, each following the
//! answer to the last at once. A call that fails, or is silent for longer than it may wait, is told to the
//! module, which asks again when it sees fit.
//!
//! Waits are short, so that a watch that fell silent is noticed, and the list heard anew, before what it missed
//! counts as told; and they differ, so that hosts that began together do not go on calling together. The call
//! after a failed one does not wait at all: were its connection silent too, that would show only after its wait.

use super::Core;
use super::list::Told;
use super::node_table::NodeName;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{ListScope, Readiness};
use flaxstand_http::Answer;
use flaxstand_platform::{Listing, Target, TargetState, list_call};
use rand_core::RngCore as _;
use tracing::{info, warn};

/// So long after the wait that was asked for an answer is overdue: the list service gives a call up after this.
const OVERDUE: Micros = Micros(1_000_000);
/// The least part of the longest wait that is asked for.
const WAIT_LEAST: f64 = 0.6;
/// Zones that are told apart; targets of any more count to the last.
const ZONES_MOST: usize = 64;

impl Core {
    /// What to ask next. From now on its answer is waited for.
    pub(super) fn next_list_call(&mut self, now: Micros) -> String {
        let wait = match self.list.revision {
            Some(_) if self.list.answers => {
                let part =
                    WAIT_LEAST + (1.0 - WAIT_LEAST) * f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                Micros::from_ms(self.config.site.waits.watch.ms() * part)
            }
            _ => Micros(0),
        };
        self.look_for_silence(now.after(wait).after(OVERDUE));
        list_call(self.list.revision.map(|revision| (revision, wait.0 / 1000)))
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
        self.list.answers = true;
        if listing.all || !listing.targets.is_empty() {
            self.take_platform_list(scope, listing, now);
        } else {
            self.list_unchanged();
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
        self.stop_looking_for_silence();
        (self.list.revision, self.list.answers) = (None, false);
        self.call_list(now);
    }
}
