//! Listings of the platform's wire as endpoint updates, and the revision that the next call names.

use super::zones::ZoneIndex;
use super::{DiscoveryContext, EndpointDiscovery, EndpointEntry, EndpointUpdate};
use crate::core::endpoint_table::EndpointName;
use crate::machine::Micros;
use flaxstand::api::{ListScope, Readiness};
use flaxstand_platform::{Listing, ParsedListing, Target, TargetState};
use tracing::{info, warn};

impl EndpointDiscovery {
    /// Takes the entries of a response that can be read. Returns what is to be applied.
    pub(in crate::core) fn accept_listing(
        &mut self,
        read: &ParsedListing,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<EndpointUpdate> {
        for problem in &read.invalid_entries {
            warn!(
                entry = problem.index,
                uid = problem.uid,
                cause = problem.cause,
                "endpoint list entry is malformed"
            );
        }
        let listing = &read.listing;
        let is_older = self.revision.is_some_and(|current| listing.revision < current);
        if is_older && !listing.is_full {
            info!(
                current = self.revision,
                received = listing.revision,
                "endpoint list went back: requesting the full list"
            );
            self.revision = None;
            return None;
        }
        self.revision = Some(listing.revision);
        self.is_notified = true;
        self.backoff.reset();
        if !listing.is_full && listing.targets.is_empty() {
            Self::notify_unchanged(context);
            return None;
        }
        let scope = if listing.is_full { ListScope::Full } else { ListScope::Changes };
        Some(self.update_from_listing(scope, listing, context.config.calendar))
    }

    /// A nameless entry that can't be read may mean any endpoint: after changes with one, the full list is
    /// requested.
    pub(in crate::core) fn reject_nameless_entries(&mut self, read: &ParsedListing) {
        if read.unnamed_count > 0 && !read.listing.is_full {
            warn!(
                entries = read.unnamed_count,
                "endpoint list entries without a name: requesting the full list"
            );
            self.revision = None;
        }
    }

    /// The update that a listing states. `calendar` is the host's calendar when our clock was 0, microseconds
    /// since 1970. After a cached list, calls name its revision: changes since cost the service less than the
    /// full list.
    pub(in crate::core) fn update_from_listing(
        &mut self,
        scope: ListScope,
        listing: &Listing,
        calendar: u64,
    ) -> EndpointUpdate {
        let zones = &mut self.zones;
        let entries: Vec<EndpointEntry> = listing
            .targets
            .iter()
            .map(|target| EndpointEntry::from_target(target, zones, calendar))
            .collect();
        if scope == ListScope::Cached && !entries.is_empty() {
            self.revision = Some(listing.revision);
        }
        EndpointUpdate { scope, revision: listing.revision, entries }
    }
}

impl EndpointEntry {
    fn from_target(target: &Target, zones: &mut ZoneIndex, calendar: u64) -> Self {
        EndpointEntry {
            name: EndpointName::Uid(target.uid.clone()),
            incarnation: target.started_at_ms,
            readiness: match target.state {
                TargetState::Up => Readiness::Serving,
                TargetState::Draining => Readiness::Draining,
                TargetState::Removed => Readiness::Removed,
            },
            // All machines read one clock: the start on ours may be before ours began.
            started_at: (target.started_at_ms > 0)
                .then(|| target.started_at_ms as f64 - Micros(calendar).ms()),
            shard: target.shard,
            zone: zones.number_of(&target.zone),
            size: (target.size * 100.0) as u32,
            service_time: None,
            address: target.address.clone(),
        }
    }
}
