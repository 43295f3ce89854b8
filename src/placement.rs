//! Assigns a node to each held request: the node of its shard, or for a new object a node drawn at random,
//! weighted by fitness.

use crate::api::{Effect, Millis, NodeId, RequestId, Settings, ShardId};
use crate::concurrency_limit::MAX_CONCURRENCY;
use crate::estimates::FleetEstimates;
use crate::node::{Node, NodeTable};
use crate::random::Random;
use crate::request::Request;
use crate::request_table::RequestTable;
use flaxstand_index::weighted_index;
use std::collections::BTreeMap;

/// Base of the usage penalty: fitness is divided by this factor for each percent of the recent units that a
/// node of mean size received.
const USAGE_PENALTY_BASE: f64 = 1.05;
/// Minimum fitness, so that every candidate may be drawn.
const MIN_FITNESS: f64 = 0.01;

/// Inputs of placement, apart from the requests.
pub(crate) struct PlacementInputs<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a FleetEstimates,
    pub(crate) nodes: &'a NodeTable,
    pub(crate) now: Millis,
}

/// A serving node as a candidate of the draw.
struct Candidate {
    node: NodeId,
    is_outlier: bool,
    /// Whether the service time of the node is known.
    is_measured: bool,
    /// Requests of this initiator, both in flight at the node and waiting for it.
    own_requests: f64,
    /// Requests of other initiators, estimated from the queue delay of the node.
    other_requests: f64,
    /// Its share of the recently sent units, in percent, relative to its size.
    usage: f64,
    /// Nominal size relative to the mean.
    size: f64,
    /// Share of its capacity that is available during warm-up, 0 to 1.
    capacity_share: f64,
}

impl Candidate {
    /// Returns the product of queue term and usage term.
    fn fitness(&self) -> f64 {
        let queue = (self.own_requests + self.other_requests) / self.size / MAX_CONCURRENCY;
        let usage = if self.usage > 0.0 { USAGE_PENALTY_BASE.powf(self.usage) } else { 1.0 };
        (self.size * (1.0 - queue).max(0.0) / usage).max(MIN_FITNESS)
    }
}

/// A held request for a new object: it is not bound to a shard.
struct NewObject {
    id: RequestId,
    due_at: Millis,
}

/// Assigns a node to every held request. New objects are drawn for in order of due time.
pub(crate) fn place_requests(requests: &mut RequestTable, inputs: &PlacementInputs<'_>, random: &mut Random) {
    let mut waiting: BTreeMap<NodeId, f64> = BTreeMap::new();
    let mut new_objects = Vec::new();
    for request in requests.held_mut() {
        let Some(shard) = bound_shard(request, inputs.settings) else {
            new_objects.push(NewObject { id: request.arrival.id, due_at: request.deadlines.due_at });
            continue;
        };
        request.node = inputs.nodes.leader(shard);
        if let Some(node) = request.node {
            *waiting.entry(node).or_default() += 1.0;
        }
    }
    if new_objects.is_empty() {
        return;
    }
    new_objects.sort_by(|one, other| one.due_at.total_cmp(&other.due_at).then(one.id.cmp(&other.id)));
    let mut candidates = inputs.candidates(&waiting);
    for object in new_objects {
        let Some(drawn) = draw(&candidates, random) else { break };
        candidates[drawn].own_requests += 1.0;
        requests.set_node(object.id, candidates[drawn].node);
    }
}

/// Returns the shard that a request is bound to: that of its data, or, if a second execution elsewhere would
/// be harmful, that of the attempt that may have been executed.
fn bound_shard(request: &Request, settings: &Settings) -> Option<ShardId> {
    let is_idempotent = settings.classes[request.arrival.class.0].effect == Effect::Idempotent;
    let executed = request.first_possibly_executed().filter(|_| !is_idempotent);
    request.arrival.shard.or(executed.map(|attempt| attempt.shard))
}

impl PlacementInputs<'_> {
    /// Returns the candidates of the draw; outliers are included only if all nodes are outliers. This is the
    /// only iteration over all listed nodes in an evaluation.
    fn candidates(&self, waiting: &BTreeMap<NodeId, f64>) -> Vec<Candidate> {
        let mut total_units = 0.0;
        let mut candidates = Vec::with_capacity(self.nodes.members());
        for (id, node) in self.nodes.iter() {
            let recent_units = node.recent_units(self.now);
            total_units += recent_units;
            if node.is_serving() {
                let waiting = waiting.get(&id).copied().unwrap_or(0.0);
                candidates.push(self.candidate(id, node, waiting, recent_units));
            }
        }
        if candidates.iter().any(|candidate| !candidate.is_outlier) {
            candidates.retain(|candidate| !candidate.is_outlier);
        }
        for candidate in candidates.iter_mut().filter(|candidate| candidate.usage > 0.0) {
            candidate.usage = candidate.usage / total_units / candidate.size;
        }
        candidates
    }

    /// Creates a candidate with its usage not yet divided by the total.
    fn candidate(&self, id: NodeId, node: &Node, waiting: f64, recent_units: f64) -> Candidate {
        let queued_units = node.queue_delay(self.fleet, self.now) / node.unit_service_time(self.fleet);
        Candidate {
            node: id,
            is_outlier: node.is_outlier(self.fleet, self.now),
            is_measured: node.measured_service_time().is_some(),
            own_requests: node.in_flight().len() as f64 + waiting,
            other_requests: queued_units / self.settings.mean_units.max(1.0),
            usage: 100.0 * recent_units,
            size: node.relative_size(self.fleet),
            capacity_share: node.capacity_share(self.settings, self.now),
        }
    }
}

/// Draws a candidate weighted by fitness and returns its index, or `None` without candidates. A node that is
/// warming up is weighted by its available capacity. The fitness of a node without a known service time is
/// capped at the mean of the others.
fn draw(candidates: &[Candidate], random: &mut Random) -> Option<usize> {
    let fitness: Vec<f64> = candidates.iter().map(Candidate::fitness).collect();
    let max_unmeasured_fitness = mean_measured_fitness(candidates, &fitness).unwrap_or(f64::INFINITY);
    let weight_of = |(candidate, fitness): (&Candidate, &f64)| {
        let max_fitness = if candidate.is_measured { f64::INFINITY } else { max_unmeasured_fitness };
        candidate.capacity_share * fitness.min(max_fitness)
    };
    let weights: Vec<f64> = candidates.iter().zip(&fitness).map(weight_of).collect();
    weighted_index(&weights, random.unit() * weights.iter().sum::<f64>())
}

/// Returns the mean fitness of the candidates with a known service time, or `None` if there are none.
fn mean_measured_fitness(candidates: &[Candidate], fitness: &[f64]) -> Option<f64> {
    let with_fitness = candidates.iter().zip(fitness);
    let measured: Vec<f64> =
        with_fitness.filter(|(candidate, _)| candidate.is_measured).map(|(_, fitness)| *fitness).collect();
    (!measured.is_empty()).then(|| measured.iter().sum::<f64>() / measured.len() as f64)
}
