//! Passes events to endpoint discovery and applies the resulting updates to the endpoint table, the node
//! connections and the decision module. Only this module lets an update of the endpoint list affect requests
//! in flight.

use super::connection_table::Stage;
use super::decision_policy::DecisionPolicy;
use super::discovery::{
    CacheWrite, DiscoveryContext, EndpointDiscovery, EndpointUpdate, PollResponse, SavedListError,
};
use super::peer_fault::PeerFault;
use super::{Core, Wire};
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::{Event, ListScope, NodeId};
use flaxstand_platform::{Listing, ParsedListing};
use flaxstand_proto::{CloseReason, List, Welcome};
use tracing::info;

impl Core {
    /// Returns discovery and the parts of the core that it uses.
    fn discovery(&mut self, now: Micros) -> (&mut EndpointDiscovery, DiscoveryContext<'_>) {
        let context = DiscoveryContext {
            connections: &mut self.connections,
            timers: &mut self.timers,
            events: &mut self.events,
            rng: &mut self.rng,
            config: &self.config,
            max_list_bytes: self.memory_bounds.max_list_bytes,
            now,
        };
        (&mut self.discovery, context)
    }

    /// Requests changes of the endpoint list on behalf of the decision module.
    pub(super) fn request_endpoint_changes(&mut self, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        discovery.request_changes(&mut context);
    }

    pub(super) fn connect_discovery(&mut self, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        discovery.connect(&mut context);
    }

    pub(super) fn discovery_connected(&mut self, conn: ConnId, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        discovery.start_poll(conn, &mut context);
    }

    pub(super) fn discovery_greeted(
        &mut self,
        conn: ConnId,
        welcome: &Welcome<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        let (discovery, mut context) = self.discovery(now);
        discovery.start_watch(conn, welcome, &mut context)
    }

    pub(super) fn discovery_watch_lost(&mut self, stage: Stage, cause: &str, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        discovery.watch_lost(stage, cause, &mut context);
    }

    pub(super) fn discovery_poll_lost(&mut self, cause: &str, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        discovery.poll_lost(cause, &mut context);
    }

    /// Closes the connection after the service reported that it has no list.
    pub(super) fn discovery_failed(&mut self, now: Micros) {
        if let Some(conn) = self.discovery.connection() {
            self.close(conn, "discovery service reported that it has no list", now);
        }
    }

    pub(super) fn check_discovery_stalled(&mut self, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        if let Some(stalled) = discovery.check_stalled(&mut context) {
            self.disconnect(stalled.conn, CloseReason::Protocol, stalled.cause, now);
        }
    }

    /// Handles a reloaded configuration with another address of the service.
    pub(super) fn discovery_moved(&mut self, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        discovery.move_service(&mut context);
    }

    /// Handles a `List` frame.
    pub(super) fn endpoint_list_received(&mut self, conn: ConnId, list: &List<'_>, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        if let Some(update) = discovery.receive_list(conn, list, &mut context) {
            self.apply_endpoint_update(update, now);
        }
    }

    pub(super) fn discovery_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        if let Some(response) = discovery.receive_bytes(conn, bytes, &mut context) {
            self.apply_poll_response(&response, now);
        }
    }

    pub(super) fn discovery_ended(&mut self, conn: ConnId, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        if let Some(response) = discovery.receive_end(conn, &mut context) {
            self.apply_poll_response(&response, now);
        }
    }

    /// Applies a response of the platform's service, then sends the next call.
    fn apply_poll_response(&mut self, response: &PollResponse, now: Micros) {
        let (discovery, mut context) = self.discovery(now);
        if let Some(update) = discovery.accept_listing(&response.listing, &mut context) {
            self.apply_endpoint_update(update, now);
        }
        self.drain_unreadable(&response.listing, now);
        self.discovery.reject_nameless_entries(&response.listing);
        let (discovery, mut context) = self.discovery(now);
        discovery.poll_again(response, &mut context);
    }

    /// Drains nodes whose entries are malformed, since such an entry may state that its node is draining.
    fn drain_unreadable(&mut self, read: &ParsedListing, now: Micros) {
        let drained = self.nodes.drain_unreadable(&read.invalid_uids, now);
        if drained.is_empty() {
            return;
        }
        let entries = drained.iter().filter_map(|id| Some(self.nodes.get(*id)?.entry(*id))).collect();
        self.events.push_back(Event::EndpointList(ListScope::Changes, entries));
        self.withdraw_unsent_from_drained(&drained, now);
    }

    /// Applies a listing in the platform's format, either received now or cached by an earlier run.
    pub fn apply_platform_listing(&mut self, scope: ListScope, listing: &Listing, now: Micros) {
        let update = self.discovery.update_from_listing(scope, listing, self.config.calendar);
        self.apply_endpoint_update(update, now);
    }

    /// Applies the endpoint list that an earlier run saved.
    pub(super) fn apply_saved_list(&mut self, bytes: &[u8], now: Micros) -> Result<(), SavedListError> {
        let update = EndpointUpdate::from_saved(bytes, now)?;
        self.apply_endpoint_update(update, now);
        Ok(())
    }

    fn apply_endpoint_update(&mut self, update: EndpointUpdate, now: Micros) {
        let (scope, revision) = (update.scope, update.revision);
        let applied = self.nodes.apply(update, self.config.bounds.max_endpoints, now);
        for id in applied.moved {
            self.close_idle_connections(id, now);
        }
        // The message is parsed by the measurement of list lags.
        info!(?scope, revision, entries = applied.entries.len(), "node list");
        self.events.push_back(Event::EndpointList(scope, applied.entries));
        self.withdraw_unsent_from_drained(&applied.touched, now);
        for id in &applied.touched {
            self.close_if_removed(*id, now);
        }
        // On the platform the configuration provides the list of the last run, so it is not cached here.
        if self.config.wire == Wire::Frames {
            self.discovery.record_applied(scope, applied.touched);
        }
    }

    /// Saves the endpoint list if an update is pending.
    pub(super) fn save_endpoint_changes(&mut self, now: Micros) {
        let service_time_of = |id| estimated_service_time(&self.policy, id);
        let saved_at = self.config.calendar.saturating_add(now.0);
        let write = self.discovery.next_save(&self.nodes, &service_time_of, saved_at, now);
        if let Some(write) = write {
            self.write_cache(write);
        }
    }

    /// Saves the full endpoint list.
    pub(super) fn save_all_endpoints(&mut self, now: Micros) {
        let service_time_of = |id| estimated_service_time(&self.policy, id);
        let saved_at = self.config.calendar.saturating_add(now.0);
        let write = self.discovery.save_full(&self.nodes, &service_time_of, saved_at, now);
        self.write_cache(write);
    }

    fn write_cache(&mut self, write: CacheWrite) {
        let command = match write {
            CacheWrite::Replace(bytes) => {
                self.counts.saved_bytes += bytes.len() as u64;
                self.counts.whole_saves += 1;
                Command::SaveList(bytes)
            }
            CacheWrite::Append(bytes) => {
                self.counts.saved_bytes += bytes.len() as u64;
                Command::AppendList(bytes)
            }
        };
        self.connections.command(command);
    }
}

/// Returns the unloaded service time of a unit at a node, ms, as estimated by the decision module.
fn estimated_service_time(policy: &DecisionPolicy, id: NodeId) -> Option<f64> {
    let DecisionPolicy::Scheduler(scheduler) = policy else { return None };
    scheduler.service_time_of(id)
}
