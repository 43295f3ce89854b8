//! Baselines beside the module: each request is sent at once and tried once, to its shard's node; a new
//! object goes where a textbook rule says. For measurements only.

use flaxstand::api::{Action, Event, ListScope, NodeEntry, NodeId, Outcome, Readiness, RequestId, ShardId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Where new objects go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the nodes in turn.
    RoundRobin,
    /// To the node with the fewest requests of this host out; the first of equals.
    LeastInFlight,
    /// To the one of two nodes drawn at random that has fewer requests of this host out.
    TwoChoices,
}

/// Sends everything at once.
#[derive(Debug)]
pub struct BaselinePolicy {
    placement: Placement,
    rng: Pcg64Mcg,
    out: BTreeMap<NodeId, u64>,
    at: BTreeMap<RequestId, NodeId>,
    nodes: BTreeMap<NodeId, NodeEntry>,
    /// Nodes that serve, by shard.
    by_shard: BTreeMap<ShardId, BTreeSet<NodeId>>,
    /// Nodes that serve, by their numbers.
    serving: Vec<NodeId>,
    turn: usize,
}

impl BaselinePolicy {
    /// A baseline that places new objects so.
    pub fn new(placement: Placement, seed: u64) -> Self {
        let (out, at, nodes, by_shard, serving, turn) = Default::default();
        BaselinePolicy {
            placement,
            rng: Pcg64Mcg::seed_from_u64(seed),
            out,
            at,
            nodes,
            by_shard,
            serving,
            turn,
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(ListScope::Failed, _) => actions.push(Action::PollList),
            Event::EndpointList(scope, entries) => self.listed(scope, entries),
            Event::RequestArrived(a) => {
                let node = match a.shard {
                    Some(shard) => self.node_of(shard),
                    None => self.next(),
                };
                if let Some(node) = node {
                    *self.out.entry(node).or_default() += 1;
                    self.at.insert(a.id, node);
                }
                actions.push(match node {
                    Some(node) => Action::Send { request: a.id, node, until: a.expires_at },
                    None => Action::Reject { request: a.id, retry_after: 0.0 },
                });
            }
            Event::AttemptEnded(e) => {
                if let Some(node) = self.at.remove(&e.request) {
                    self.out.entry(node).and_modify(|out| *out = out.saturating_sub(1));
                }
                if !e.is_final {
                    actions.push(Self::answer(e.request, e.outcome));
                }
            }
            _ => {}
        }
    }

    fn answer(request: RequestId, outcome: Outcome) -> Action {
        match outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => {
                Action::Reject { request, retry_after: 0.0 }
            }
            _ => Action::Fail { request },
        }
    }

    fn next(&mut self) -> Option<NodeId> {
        let out = |node: &NodeId| self.out.get(node).copied().unwrap_or(0);
        match self.placement {
            Placement::RoundRobin => {
                self.turn += 1;
                self.serving.get(self.turn % self.serving.len().max(1)).copied()
            }
            Placement::LeastInFlight => self.serving.iter().copied().min_by_key(out),
            Placement::TwoChoices => {
                let mut draw = || self.serving.get(self.rng.next_u64() as usize % self.serving.len().max(1));
                let two = [draw(), draw()];
                two.into_iter().flatten().copied().min_by_key(out)
            }
        }
    }

    fn listed(&mut self, scope: ListScope, entries: Vec<NodeEntry>) {
        if scope != ListScope::Changes {
            self.nodes.clear();
            self.by_shard.clear();
            self.serving.clear();
        }
        entries.into_iter().for_each(|entry| self.listed_node(entry));
    }

    fn listed_node(&mut self, entry: NodeEntry) {
        if let Some(before) = self.nodes.remove(&entry.node) {
            self.remove_serving(&before);
        }
        if entry.readiness == Readiness::Serving {
            self.add_serving(&entry);
        }
        self.nodes.insert(entry.node, entry);
    }

    fn add_serving(&mut self, entry: &NodeEntry) {
        if let Err(place) = self.serving.binary_search(&entry.node) {
            self.serving.insert(place, entry.node);
        }
        self.by_shard.entry(entry.shard).or_default().insert(entry.node);
    }

    fn remove_serving(&mut self, entry: &NodeEntry) {
        if let Ok(place) = self.serving.binary_search(&entry.node) {
            self.serving.remove(place);
        }
        if let Some(nodes) = self.by_shard.get_mut(&entry.shard) {
            nodes.remove(&entry.node);
        }
    }

    /// The node of a shard that serves; where there are several, the one that started last.
    fn node_of(&self, shard: ShardId) -> Option<NodeId> {
        let started = |node: &NodeId| self.nodes.get(node).and_then(|entry| entry.started_at).unwrap_or(0.0);
        let nodes = self.by_shard.get(&shard)?.iter().copied();
        nodes.max_by(|x, y| started(x).total_cmp(&started(y)))
    }
}
