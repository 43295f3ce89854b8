//! Baseline policies to compare the decision module with: each request is sent at once, in one attempt, to
//! its shard's node; a new object is placed by a textbook load-balancing rule. For measurements only.

use flaxstand::api::{Action, Event, ListScope, NodeEntry, NodeId, Outcome, Readiness, RequestId, ShardId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Placement rule for new objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The nodes in rotation.
    RoundRobin,
    /// The node with the fewest requests of this host in flight; the lowest id on a tie.
    LeastInFlight,
    /// Of two nodes chosen at random, the one with fewer requests of this host in flight.
    TwoChoices,
}

/// Policy that sends every request immediately, without retries.
#[derive(Debug)]
pub struct BaselinePolicy {
    placement: Placement,
    rng: Pcg64Mcg,
    /// Number of requests in flight, by node.
    in_flight: BTreeMap<NodeId, u64>,
    node_of_request: BTreeMap<RequestId, NodeId>,
    nodes: BTreeMap<NodeId, NodeEntry>,
    /// Serving nodes, by shard.
    by_shard: BTreeMap<ShardId, BTreeSet<NodeId>>,
    /// Serving nodes, sorted by id.
    serving: Vec<NodeId>,
    rotation: usize,
}

impl BaselinePolicy {
    /// Creates a baseline policy with this placement rule.
    pub fn new(placement: Placement, seed: u64) -> Self {
        BaselinePolicy {
            placement,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            node_of_request: BTreeMap::new(),
            nodes: BTreeMap::new(),
            by_shard: BTreeMap::new(),
            serving: Vec::new(),
            rotation: 0,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(ListScope::Failed, _) => actions.push(Action::PollList),
            Event::EndpointList(scope, entries) => self.apply_list(scope, entries),
            Event::RequestArrived(a) => {
                let node = match a.shard {
                    Some(shard) => self.node_of(shard),
                    None => self.place_new_object(),
                };
                if let Some(node) = node {
                    *self.in_flight.entry(node).or_default() += 1;
                    self.node_of_request.insert(a.id, node);
                }
                actions.push(match node {
                    Some(node) => Action::Send { request: a.id, node, until: a.expires_at },
                    None => Action::Reject { request: a.id, retry_after: 0.0 },
                });
            }
            Event::AttemptEnded(e) => {
                if let Some(node) = self.node_of_request.remove(&e.request) {
                    self.in_flight.entry(node).and_modify(|count| *count = count.saturating_sub(1));
                }
                if !e.is_final {
                    actions.push(Self::final_action(e.request, e.outcome));
                }
            }
            _ => {}
        }
    }

    fn final_action(request: RequestId, outcome: Outcome) -> Action {
        match outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => {
                Action::Reject { request, retry_after: 0.0 }
            }
            _ => Action::Fail { request },
        }
    }

    fn place_new_object(&mut self) -> Option<NodeId> {
        let in_flight = |node: &NodeId| self.in_flight.get(node).copied().unwrap_or(0);
        match self.placement {
            Placement::RoundRobin => {
                self.rotation += 1;
                self.serving.get(self.rotation % self.serving.len().max(1)).copied()
            }
            Placement::LeastInFlight => self.serving.iter().copied().min_by_key(in_flight),
            Placement::TwoChoices => {
                let mut draw = || self.serving.get(self.rng.next_u64() as usize % self.serving.len().max(1));
                let two = [draw(), draw()];
                two.into_iter().flatten().copied().min_by_key(in_flight)
            }
        }
    }

    fn apply_list(&mut self, scope: ListScope, entries: Vec<NodeEntry>) {
        if scope != ListScope::Changes {
            self.nodes.clear();
            self.by_shard.clear();
            self.serving.clear();
        }
        entries.into_iter().for_each(|entry| self.apply_entry(entry));
    }

    fn apply_entry(&mut self, entry: NodeEntry) {
        if let Some(before) = self.nodes.remove(&entry.node) {
            self.remove_serving(&before);
        }
        if entry.readiness == Readiness::Serving {
            self.add_serving(&entry);
        }
        self.nodes.insert(entry.node, entry);
    }

    fn add_serving(&mut self, entry: &NodeEntry) {
        if let Err(index) = self.serving.binary_search(&entry.node) {
            self.serving.insert(index, entry.node);
        }
        self.by_shard.entry(entry.shard).or_default().insert(entry.node);
    }

    fn remove_serving(&mut self, entry: &NodeEntry) {
        if let Ok(index) = self.serving.binary_search(&entry.node) {
            self.serving.remove(index);
        }
        if let Some(nodes) = self.by_shard.get_mut(&entry.shard) {
            nodes.remove(&entry.node);
        }
    }

    /// Returns the serving node of a shard; if there are several, the one that started last.
    fn node_of(&self, shard: ShardId) -> Option<NodeId> {
        let started = |node: &NodeId| self.nodes.get(node).and_then(|entry| entry.started_at).unwrap_or(0.0);
        let nodes = self.by_shard.get(&shard)?.iter().copied();
        nodes.max_by(|x, y| started(x).total_cmp(&started(y)))
    }
}
