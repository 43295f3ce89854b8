//! Lists in the platform's words: whole ones and changes, entries that can't be read among them, taken into the
//! table of nodes and told to the module.

use super::Core;
use super::list::Told;
use super::node_table::NodeName;
use crate::machine::Micros;
use flaxstand::api::{Event, ListScope, NodeId, Readiness};
use flaxstand_platform::{Listing, ReadListing, Target, TargetState};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Zones that are told apart; targets of any more count to the last.
const ZONES_MOST: usize = 64;

impl Core {
    /// Takes a list, and of entries that can't be read what is safe: their nodes take nothing new. Where changes have an
    /// entry that names no node, any may be meant, and the whole list is asked for.
    pub(super) fn take_read_listing(&mut self, read: &ReadListing, now: Micros) {
        for problem in &read.problems {
            warn!(
                entry = problem.index,
                uid = problem.uid,
                cause = problem.cause,
                "a list entry that can't be read"
            );
        }
        self.take_listing(&read.listing, now);
        self.drain_unreadable(&read.unreadable, now);
        if read.nameless_count > 0 && !read.listing.all {
            warn!(entries = read.nameless_count, "list entries without a name: asking for all of the list");
            self.list.revision = None;
        }
    }

    /// Nodes whose entry can't be read are held as draining.
    fn drain_unreadable(&mut self, uids: &[String], now: Micros) {
        let listed = uids.iter().filter_map(|uid| self.nodes.id_of(&NodeName::Uid(uid.clone())));
        let serving: BTreeSet<NodeId> = listed.filter(|id| self.nodes.serves(*id)).collect();
        if serving.is_empty() {
            return;
        }
        serving.iter().for_each(|id| self.nodes.set_readiness(*id, Readiness::Draining, now));
        let entries = serving.iter().filter_map(|id| Some(self.nodes.get(*id)?.entry(*id))).collect();
        self.events.push_back(Event::EndpointList(ListScope::Changes, entries));
        self.withdraw_unsent_from_drained(&serving, now);
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
        self.list.told = true;
        self.list.backoff.worked();
        if listing.all || !listing.targets.is_empty() {
            self.take_platform_list(scope, listing, now);
        } else {
            self.list_unchanged();
        }
    }

    /// A list in the platform's words: told now, or as this host held it before it started. Calls name its
    /// revision from now on: the service tells what has changed since, which costs it less than the whole.
    pub fn take_platform_list(&mut self, scope: ListScope, listing: &Listing, now: Micros) {
        let told: Vec<Told> = listing.targets.iter().map(|t| self.told(t)).collect();
        if scope == ListScope::Cached && !told.is_empty() {
            self.list.revision = Some(listing.rev);
        }
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
                TargetState::Removed => Readiness::Removed,
            },
            // One clock is read by all machines: its start on ours, which may be before ours began.
            started_at: (t.boot_ms > 0).then(|| t.boot_ms as f64 - Micros(self.config.calendar).ms()),
            shard: t.pod_group,
            zone: zone as u32,
            size: (t.capacity_hint * 100.0) as u32,
            service_time: None,
            address: t.endpoint.clone(),
        }
    }
}
