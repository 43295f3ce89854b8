//! Random event sequences from a seed: endpoint lists, arrivals, ends of attempts, probe results, settings
//! changes, and pauses. Events depend on the returned actions, as in production.
#![allow(dead_code)]

use crate::common::{class, plan, settings};
use flaxstand::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Number of volumes and keys that arrivals use.
const VOLUMES: u64 = 5;
const KEYS: u64 = 6;

/// Random values.
pub struct RandomSource(Pcg64Mcg);

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns an integer below `limit`, which must be at least 1.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.below(1 << 30) as f64 / (1u64 << 30) as f64
    }

    pub fn pick<T: Clone>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize].clone()
    }
}

/// Time after which an attempt whose response was lost ends as timed out, ms.
const LOST_RESPONSE_TIMEOUT: Millis = 400.0;

/// The simulated end of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum SimulatedEnd {
    Completed,
    /// The response is lost.
    Lost,
    Cancelled,
}

/// An attempt that is in flight.
struct Attempt {
    request: RequestId,
    number: AttemptNo,
    sent_at: Millis,
    simulated_end: SimulatedEnd,
}

/// Simulated environment of one scheduler.
pub struct Script {
    random: RandomSource,
    pub now: Millis,
    /// Highest node id plus one. Ids beyond those in the first list may join later.
    pub nodes: u32,
    /// Probability that the service time of a listed node is known from an earlier process, percent.
    known_service_time_percent: u64,
    /// Entries of the last list.
    listed: BTreeMap<NodeId, NodeEntry>,
    in_flight: Vec<Attempt>,
    attempts: BTreeMap<RequestId, u32>,
    active_requests: BTreeSet<RequestId>,
    probes: Vec<NodeId>,
    next_request: u64,
    settings: Settings,
    /// Share of arrivals among the steps, percent.
    arrival_percent: u64,
    /// Probability of a pause of seconds to minutes at a step, per mille.
    pause_per_mille: u64,
    /// Probability that an attempt ends with an outcome other than served, percent.
    failure_percent: u64,
    /// Probability that a response is lost, percent.
    loss_percent: u64,
    /// Counts of sent retries, including hedged attempts, and of sent new objects.
    pub retries: u64,
    pub new_objects: u64,
    new_object_ids: BTreeSet<RequestId>,
}

/// Draws settings with all classes of effect and random optional features.
pub fn draw_settings(random: &mut RandomSource) -> Settings {
    let window = random.pick(&[200.0, 1500.0]);
    let keyed = |group| Effect::IdempotencyKey { group, window };
    let mut classes = vec![
        class(200.0, 1500.0, 2.0, Effect::Idempotent),
        class(1000.0, 3000.0, 1.0, Effect::AtMostOnce),
        class(400.0, 2000.0, 1.5, keyed(DeduplicationScope::All)),
        class(100.0, 2000.0, 0.5, keyed(DeduplicationScope::Zone)),
        class(300.0, 1500.0, 1.0, keyed(DeduplicationScope::Shard)),
    ];
    let scale = random.pick(&[1.0, 1.0, 0.4]);
    for class in &mut classes {
        class.latency_objective *= scale;
        class.in_order = random.chance(30);
        class.objective_stretch = random.pick(&[0.0, 0.0, 1.5]);
    }
    let limited = Plan { limit_rate: 40.0, limit_burst: 30.0, priority_factor: 2.0, ..plan(5.0) };
    let budget = RetryBudget { floor: 3.0, ratio: 0.2, span: random.pick(&[500.0, 5000.0]) };
    Settings {
        initiators: random.pick(&[1, 3, 40, 300]),
        classes,
        plans: vec![plan(0.0), plan(50.0), limited],
        polls_list: random.chance(30),
        max_attempts: random.pick(&[1, 3, 5]),
        max_concurrent_attempts: random.pick(&[1, 2]),
        may_cancel: random.chance(70),
        may_probe: random.chance(60),
        max_retry_after: random.pick(&[0.0, 500.0]),
        warm_up_time: random.pick(&[500.0, 10_000.0]),
        key_cooldown: random.pick(&[0.0, 300.0]),
        retry_budget: random.chance(50).then_some(budget),
        mean_units: random.pick(&[0.5, 2.0]),
        ..settings()
    }
}

impl Script {
    pub fn new(seed: u64) -> Self {
        let mut random = RandomSource::new(seed);
        let settings = draw_settings(&mut random);
        Script {
            now: random.pick(&[0.0, 0.0, 100_000.0]),
            nodes: random.pick(&[1, 2, 3, 5, 8, 20, 60, 300, 600]),
            known_service_time_percent: random.pick(&[30, 30, 100]),
            listed: BTreeMap::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            active_requests: BTreeSet::new(),
            probes: Vec::new(),
            next_request: 0,
            settings,
            arrival_percent: random.pick(&[15, 30, 45]),
            pause_per_mille: random.pick(&[0, 3, 15]),
            failure_percent: random.pick(&[2, 15, 50]),
            loss_percent: random.pick(&[0, 10, 30]),
            retries: 0,
            new_objects: 0,
            new_object_ids: BTreeSet::new(),
            random,
        }
    }

    pub fn settings(&self) -> Settings {
        self.settings.clone()
    }

    /// Advances the clock and draws the next event.
    pub fn next_event(&mut self) -> Event {
        self.now += match self.random.below(1000) {
            pause if pause < self.pause_per_mille => self.random.pick(&[1500.0, 5000.0, 30_000.0, 240_000.0]),
            pause if pause < 300 => 0.0,
            pause if pause < 970 => self.random.between(0.0, 12.0),
            _ => self.random.between(10.0, 400.0),
        };
        if self.listed.is_empty() || self.random.chance(6) {
            return self.endpoint_list();
        }
        if self.random.chance(self.arrival_percent) {
            return self.arrival();
        }
        match self.random.below(100) {
            0 => self.change_settings(),
            1 | 2 => Event::ClientDisconnected(self.pick_request()),
            3 => Event::ResponseStarted(self.pick_request()),
            4..15 => self.probe_ended(),
            _ => self.attempt_end(),
        }
    }

    /// Applies the actions of the scheduler to the environment.
    pub fn apply_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    let count = self.attempts.entry(*request).or_default();
                    let number = AttemptNo(*count);
                    *count += 1;
                    self.retries += u64::from(number.0 > 0);
                    self.new_objects += u64::from(self.new_object_ids.contains(request));
                    let simulated_end = if self.random.chance(self.loss_percent) {
                        SimulatedEnd::Lost
                    } else {
                        SimulatedEnd::Completed
                    };
                    self.in_flight.push(Attempt {
                        request: *request,
                        number,
                        sent_at: self.now,
                        simulated_end,
                    });
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.active_requests.remove(request);
                }
                Action::Probe { node } => self.probes.push(*node),
                Action::Cancel { request, attempt } => {
                    let is = |a: &&mut Attempt| a.request == *request && a.number == *attempt;
                    self.in_flight
                        .iter_mut()
                        .filter(is)
                        .for_each(|a| a.simulated_end = SimulatedEnd::Cancelled);
                }
                Action::SetTimer { .. } | Action::PollList => {}
            }
        }
    }

    fn arrival(&mut self) -> Event {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.active_requests.insert(id);
        let shard = match self.random.below(10) {
            0..3 => None,
            // As in production, a few nodes get most requests.
            3..8 => Some(ShardId(self.random.below(u64::from(self.nodes).min(4)) as i64)),
            _ => Some(ShardId(self.random.below(u64::from(self.nodes) + 2) as i64)),
        };
        if shard.is_none() {
            self.new_object_ids.insert(id);
        }
        Event::RequestArrived(Arrival {
            id,
            class: ClassId(self.random.below(self.settings.classes.len() as u64) as usize),
            plan: PlanId(self.random.below(self.settings.plans.len() as u64) as usize),
            key: self.random.chance(40).then(|| Key(self.random.below(KEYS))),
            expires_at: self.now + self.random.pick(&[40.0, 300.0, 1500.0, 4000.0]),
            volume: VolumeId(self.random.below(VOLUMES)),
            units: self.random.pick(&[1.0, 1.0, 2.0, 8.0]),
            shard,
            volume_initiators: 1 + self.random.below(3) as u32,
        })
    }

    fn pick_request(&mut self) -> RequestId {
        let active_requests: Vec<_> = self.active_requests.iter().copied().collect();
        if active_requests.is_empty() {
            RequestId(self.random.below(self.next_request + 1))
        } else {
            self.random.pick(&active_requests)
        }
    }

    fn attempt_end(&mut self) -> Event {
        let now = self.now;
        let can_end =
            |a: &Attempt| a.simulated_end != SimulatedEnd::Lost || now - a.sent_at > LOST_RESPONSE_TIMEOUT;
        let ending: Vec<usize> =
            (0..self.in_flight.len()).filter(|index| can_end(&self.in_flight[*index])).collect();
        let Some(oldest) = ending.first().copied() else { return Event::Evaluate };
        // Usually the oldest attempt ends; some stay in flight for long, or end long after their node was
        // removed.
        let index = if self.random.chance(70) { oldest } else { self.random.pick(&ending) };
        let attempt = self.in_flight.remove(index);
        let outcome = match attempt.simulated_end {
            SimulatedEnd::Lost => Outcome::TimedOut,
            SimulatedEnd::Cancelled => {
                self.random.pick(&[Outcome::Cancelled, Outcome::Cancelled, Outcome::Served])
            }
            SimulatedEnd::Completed => self.draw_outcome(),
        };
        let is_final = outcome == Outcome::Served || self.random.chance(10);
        let latency = self.now - attempt.sent_at;
        Event::AttemptEnded(AttemptEnd {
            request: attempt.request,
            attempt: attempt.number,
            outcome,
            latency,
            is_final,
        })
    }

    fn draw_outcome(&mut self) -> Outcome {
        if !self.random.chance(self.failure_percent) {
            return Outcome::Served;
        }
        self.random.pick(&[
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
        ])
    }

    fn probe_ended(&mut self) -> Event {
        let outcome = self.random.pick(&[Outcome::Served, Outcome::Served, Outcome::TimedOut]);
        let node = self.probes.pop().unwrap_or(NodeId(self.random.below(u64::from(self.nodes) + 2) as u32));
        Event::ProbeEnded(node, outcome)
    }

    fn change_settings(&mut self) -> Event {
        self.settings = draw_settings(&mut self.random);
        Event::SettingsChanged(Box::new(self.settings.clone()))
    }

    fn endpoint_list(&mut self) -> Event {
        let first = self.listed.is_empty();
        match if first { 0 } else { self.random.below(20) } {
            0 | 1 => {
                let scope = self.random.pick(&[ListScope::Full, ListScope::Cached]);
                let keep_percent = self.random.pick(&[50, 90, 100]);
                let mut entries = Vec::new();
                for node in 0..self.nodes {
                    if first || self.random.chance(keep_percent) {
                        let entry = self.listed.get(&NodeId(node)).cloned();
                        entries.push(entry.unwrap_or_else(|| self.new_entry(node)));
                    }
                }
                // Nodes that are absent are removed; a list may be empty.
                let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
                self.listed.retain(|node, _| listed.contains(node));
                self.record_list(entries, scope)
            }
            2 => Event::EndpointList(ListScope::Failed, Vec::new()),
            _ => {
                let count = self.random.pick(&[1, 1, 1, 2, 4]);
                let entries = (0..count).map(|_| self.changed_entry()).collect();
                self.record_list(entries, ListScope::Changes)
            }
        }
    }

    fn record_list(&mut self, entries: Vec<NodeEntry>, scope: ListScope) -> Event {
        self.listed.extend(entries.iter().map(|entry| (entry.node, entry.clone())));
        Event::EndpointList(scope, entries)
    }

    fn new_entry(&mut self, node: u32) -> NodeEntry {
        NodeEntry {
            node: NodeId(node),
            readiness: self.random.pick(&[Readiness::Serving, Readiness::Serving, Readiness::Draining]),
            started_at: self.random.chance(20).then(|| self.now - self.random.pick(&[0.0, 300.0, 50_000.0])),
            size: self.random.pick(&[0.0, 1.0, 1.0, 2.5, 0.3]),
            service_time: self
                .random
                .chance(self.known_service_time_percent)
                .then(|| self.random.between(0.2, 30.0)),
            zone: ZoneId(node % 3),
            shard: ShardId(i64::from(node)),
        }
    }

    /// Returns an entry of one node, listed or not, with one field changed.
    fn changed_entry(&mut self) -> NodeEntry {
        let busy = self.nodes.min(4);
        let of = if self.random.chance(50) { busy } else { self.nodes + 2 };
        let node = self.random.below(u64::from(of)) as u32;
        let Some(known) = self.listed.get(&NodeId(node)).cloned() else { return self.new_entry(node) };
        match self.random.below(9) {
            0 => NodeEntry { readiness: Readiness::Draining, ..known },
            1 => NodeEntry { readiness: Readiness::Removed, ..known },
            2..5 => NodeEntry { readiness: Readiness::Serving, ..known },
            5 => {
                let service_time = self.random.chance(50).then(|| self.random.between(0.2, 30.0));
                let started_at = Some(self.now - self.random.pick(&[0.0, 0.0, 200.0]));
                NodeEntry { started_at, service_time, readiness: Readiness::Serving, ..known }
            }
            6 => NodeEntry { started_at: None, ..known },
            // Another node takes over a shard that a busy node serves as well.
            7 => NodeEntry { shard: ShardId(self.random.below(u64::from(busy)) as i64), ..known },
            _ => NodeEntry { size: self.random.pick(&[0.0, 0.5, 1.0, 4.0]), ..known },
        }
    }
}
