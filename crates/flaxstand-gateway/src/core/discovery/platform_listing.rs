//! Converts listings of the platform's wire to endpoint updates and tracks the revision for the next call.

use super::zones::ZoneIndex;
use super::{DiscoveryContext, EndpointDiscovery, EndpointEntry, EndpointUpdate};
use crate::core::endpoint_table::EndpointName;
use crate::machine::Micros;
use flaxstand::api::{ListScope, Readiness};
use flaxstand_platform::{Listing, ParsedListing, Target, TargetState};
use tracing::{info, warn};

impl EndpointDiscovery {
    /// Accepts the well-formed entries of a response. Returns the update to apply, if any.
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
                "malformed endpoint list entry; ignoring it or draining its endpoint"
            );
        }
        let listing = &read.listing;
        let is_older = self.revision.is_some_and(|current| listing.revision < current);
        if is_older && !listing.is_full {
            info!(
                current = self.revision,
                received = listing.revision,
                "endpoint list revision decreased; requesting the full list"
            );
            self.revision = None;
            return None;
        }
        self.revision = Some(listing.revision);
        self.has_received_list = true;
        self.backoff.reset();
        if !listing.is_full && listing.targets.is_empty() {
            Self::notify_unchanged(context);
            return None;
        }
        let scope = if listing.is_full { ListScope::Full } else { ListScope::Changes };
        Some(self.update_from_listing(scope, listing, context.config.calendar))
    }

    /// Requests the full list after changes that contain malformed entries without a name: such an entry may
    /// concern any endpoint.
    pub(in crate::core) fn reject_nameless_entries(&mut self, read: &ParsedListing) {
        if read.unnamed_count > 0 && !read.listing.is_full {
            warn!(
                entries = read.unnamed_count,
                "malformed endpoint list entries without a name; requesting the full list"
            );
            self.revision = None;
        }
    }

    /// Converts a listing to an update. `calendar` is the wall-clock time at zero of the monotonic clock,
    /// microseconds since 1970. After a cached list, calls state its revision, since changes cost the service
    /// less than the full list.
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
            // Wall clocks are synchronised; a start before zero of the monotonic clock is negative.
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
