//! The scheduler of one initiator. It processes events; each evaluation runs a fixed sequence of steps and
//! returns actions.
//!
//! Each rule is implemented in its own module, named after the decision it makes. See `docs/design.md`.

use crate::admission::VolumeQuotas;
use crate::api::{
    Action, Arrival, AttemptEnd, Event, ListScope, Millis, NodeEntry, NodeId, Outcome, RequestId, Settings,
    VolumeId,
};
use crate::deadlines::ExpiryInputs;
use crate::dispatch::Dispatch;
use crate::endpoint_freshness::EndpointFreshness;
use crate::endpoint_polling::EndpointPolling;
use crate::estimates::FleetEstimates;
use crate::evaluation_timer::EvaluationTimer;
use crate::hedging;
use crate::node::{self, Node, NodeTable};
use crate::placement::{PlacementInputs, place_requests};
use crate::random::Random;
use crate::request_table::RequestTable;
use crate::retries::RetryWindow;

/// Makes the scheduling decisions of one initiator.
pub struct Scheduler {
    settings: Settings,
    random: Random,
    fleet: FleetEstimates,
    nodes: NodeTable,
    requests: RequestTable,
    quotas: VolumeQuotas,
    retry_window: RetryWindow,
    endpoint_freshness: EndpointFreshness,
    endpoint_polling: EndpointPolling,
    timer: EvaluationTimer,
}

impl Scheduler {
    /// Creates a scheduler without endpoints or requests. The same seed and events produce the same actions.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let mut random = Random::seeded(seed);
        let phase = random.unit();
        Scheduler {
            random,
            fleet: FleetEstimates::new(&settings, phase, now),
            nodes: NodeTable::default(),
            requests: RequestTable::default(),
            quotas: VolumeQuotas::default(),
            retry_window: RetryWindow::default(),
            endpoint_freshness: EndpointFreshness::new(settings.notification_terms, now),
            endpoint_polling: EndpointPolling::new(settings.polls_list, now),
            timer: EvaluationTimer::default(),
            settings,
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(scope, entries) => self.apply_endpoint_list(scope, &entries, now),
            Event::DiscoveryCall(call) => self.endpoint_freshness.record_call(call, now),
            Event::RequestArrived(arrival) => self.accept_request(arrival, now),
            Event::ResponseStarted(id) => self.requests.set_streaming(id),
            Event::AttemptEnded(ended) => self.record_attempt_end(&ended, now, actions),
            Event::ProbeEnded(id, outcome) => {
                self.nodes.update(id, |node| node.record_probe_end(outcome, now));
            }
            Event::ClientDisconnected(id) => self.requests.end(id, &self.settings),
            Event::SettingsChanged(settings) => self.change_settings(*settings),
            Event::Evaluate => self.evaluate(now, actions),
        }
    }

    /// Returns the measured service time of a unit at a node, ms, so that the host can persist it across a
    /// restart.
    pub fn service_time_of(&self, node: NodeId) -> Option<Millis> {
        self.nodes.get(node)?.measured_service_time()
    }

    /// Returns the time until which requests may be sent based on the current endpoint list. The host checks
    /// it again before it writes the first byte of an attempt.
    pub fn endpoints_trusted_until(&self) -> Millis {
        self.endpoint_freshness.trusted_until()
    }

    /// Returns whether the quota of a volume is kept: it has a request, or differs from a new volume.
    pub fn tracks_volume(&self, volume: VolumeId) -> bool {
        self.quotas.contains(volume)
    }

    /// Returns the number of volumes whose quotas are kept.
    pub fn tracked_volumes(&self) -> usize {
        self.quotas.len()
    }

    /// Returns the number of node visits since the start, by look-up or iteration. A measure of work for
    /// tests.
    pub fn nodes_visited(&self) -> u64 {
        self.nodes.visited()
    }

    fn apply_endpoint_list(&mut self, scope: ListScope, entries: &[NodeEntry], now: Millis) {
        if scope == ListScope::Failed {
            self.endpoint_polling.record_failure(&mut self.random, now);
            return;
        }
        self.endpoint_polling.record_success();
        if scope != ListScope::Cached {
            let has_changes = scope == ListScope::Full || !entries.is_empty();
            self.endpoint_freshness.record_list(has_changes, now);
        }
        if scope != ListScope::Changes {
            self.nodes.update_others(entries.iter().map(|entry| entry.node), Node::mark_removed);
        }
        for entry in entries {
            let new_node = || Node::new(entry, now);
            self.nodes.update_or_insert_with(entry.node, new_node, |node| node.apply_entry(entry, now));
        }
        self.nodes.remove_active(Node::is_removable);
    }

    fn accept_request(&mut self, arrival: Arrival, now: Millis) {
        self.retry_window.record_arrival(now);
        self.quotas.register(&arrival, &self.settings, self.fleet.started_at);
        self.requests.insert(arrival, &self.settings, self.fleet.service_time, now);
    }

    fn change_settings(&mut self, settings: Settings) {
        self.fleet.latency_objective = settings.tightest_objective();
        self.settings = settings;
    }

    fn record_attempt_end(&mut self, ended: &AttemptEnd, now: Millis, actions: &mut Vec<Action>) {
        let Some(node) = self.requests.record_execution(ended) else { return };
        self.record_end_at_node(node, ended, now);
        if ended.outcome == Outcome::NotSent {
            self.retry_window.refund(ended.request, ended.attempt);
        }
        self.requests.start_key_cooldown(ended, &self.settings, now);
        self.requests.continue_or_end(ended, &self.settings, now, actions);
    }

    /// Updates the estimates for the node and for the fleet from the end of an attempt.
    fn record_end_at_node(&mut self, node: NodeId, ended: &AttemptEnd, now: Millis) {
        let fleet = &mut self.fleet;
        self.nodes.update(node, |node| {
            let Some(index) = node.position_of(ended.request, ended.attempt) else { return };
            let is_lost = node.is_presumed_lost(index, fleet, now);
            fleet.record_attempt_end(&node.in_flight()[index], is_lost, ended, now);
            node.record_attempt_end(index, ended, fleet, now);
        });
    }

    /// Runs the steps of one evaluation.
    fn evaluate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.endpoint_polling.take_due(now) {
            actions.push(Action::PollList);
        }
        self.refresh_estimates(now);
        let has_request = |volume| self.requests.has_volume(volume);
        self.quotas.refill(has_request, &self.settings, self.fleet.started_at, now);
        self.requests.prune(now);
        self.end_expired_requests(now, actions);
        self.place_requests(now);
        self.send_requests(now, actions);
        self.schedule_next_evaluation(now, actions);
    }

    fn refresh_estimates(&mut self, now: Millis) {
        self.nodes.retain_active(|node| !node.is_idle(now));
        let reports = node::reports(&self.nodes, &self.fleet, now);
        self.fleet.refresh(reports, self.settings.initiators, now);
    }

    fn end_expired_requests(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let inputs = ExpiryInputs {
            settings: &self.settings,
            fleet: &self.fleet,
            nodes: &self.nodes,
            quotas: &self.quotas,
            endpoints_trusted: self.endpoint_freshness.is_trusted(now),
            now,
        };
        let due = self.requests.held().filter(|request| inputs.final_response_is_due(request));
        let ids: Vec<RequestId> = due.map(|request| request.arrival.id).collect();
        for id in ids {
            self.requests.end_unserved(id, false, &self.settings, actions);
        }
    }

    fn place_requests(&mut self, now: Millis) {
        let inputs =
            PlacementInputs { settings: &self.settings, fleet: &self.fleet, nodes: &self.nodes, now };
        place_requests(&mut self.requests, &inputs, &mut self.random);
    }

    fn send_requests(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut dispatch = Dispatch {
            settings: &self.settings,
            fleet: &self.fleet,
            nodes: &mut self.nodes,
            requests: &mut self.requests,
            quotas: &mut self.quotas,
            retry_window: &mut self.retry_window,
            endpoints_trusted: self.endpoint_freshness.is_trusted(now),
            now,
            actions,
        };
        dispatch.send_held_requests();
        hedging::recover_lost_attempts(&mut dispatch);
    }

    fn schedule_next_evaluation(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let next_poll_at = self.endpoint_polling.next_poll_at();
        if self.requests.is_empty() && next_poll_at.is_none() {
            return;
        }
        let may_hedge =
            hedging::may_hedge(&self.settings) && hedging::is_enabled(&self.settings, &self.fleet, now);
        let is_waiting = may_hedge || self.requests.held().next().is_some();
        let objective = self.fleet.latency_objective;
        actions.extend(self.timer.schedule(is_waiting, objective, next_poll_at, now));
    }
}
