//! Sequences of events drawn from a seed: endpoint lists, arrivals, ends, probes, new settings, time that
//! passes. What is drawn depends on the actions that came back, as it does in production.
#![allow(dead_code)]

use crate::common::{class, plan, settings};
use flaxstand::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Volumes and keys that arrivals name.
const VOLUMES: u64 = 5;
const KEYS: u64 = 6;

/// Drawn values.
pub struct Draw(Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A whole number below `limit`, which is 1 or more.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.below(1 << 30) as f64 / (1u64 << 30) as f64
    }

    pub fn pick<T: Clone>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize].clone()
    }
}

/// After this an attempt whose answer was lost ends as timed out, ms.
const LOST_TIMEOUT: Millis = 400.0;

/// What will become of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    /// Its answer never comes.
    Lost,
    Cancelled,
}

/// An attempt that is in flight.
struct Attempt {
    request: RequestId,
    number: AttemptNo,
    sent: Millis,
    fate: Fate,
}

/// The environment of one scheduler, drawn step by step.
pub struct Script {
    draw: Draw,
    pub now: Millis,
    /// Highest node id plus one; ids beyond those first listed join later.
    pub nodes: u32,
    /// Chance that a listed node's service time is known from an earlier process, percent.
    known_service_times: u64,
    /// Entries as last listed.
    listed: BTreeMap<NodeId, NodeEntry>,
    in_flight: Vec<Attempt>,
    attempts: BTreeMap<RequestId, u32>,
    live: BTreeSet<RequestId>,
    probes: Vec<NodeId>,
    next_request: u64,
    settings: Settings,
    /// Weight of arrivals among the steps, percent.
    arrivals: u64,
    /// Chance of a pause of seconds to minutes at a step, in a thousand.
    pauses: u64,
    /// Chance that an attempt ends other than served, percent.
    failures: u64,
    /// Chance that an answer is lost, percent.
    losses: u64,
    /// Retries and hedged attempts, and new objects sent.
    pub retries: u64,
    pub new_objects: u64,
    objects: BTreeSet<RequestId>,
}

/// Settings with every class of effect and with exceptions that come and go.
pub fn draw_settings(draw: &mut Draw) -> Settings {
    let window = draw.pick(&[200.0, 1500.0]);
    let keyed = |group| Effect::IdempotencyKey { group, window };
    let mut classes = vec![
        class(200.0, 1500.0, 2.0, Effect::Idempotent),
        class(1000.0, 3000.0, 1.0, Effect::AtMostOnce),
        class(400.0, 2000.0, 1.5, keyed(DeduplicationScope::All)),
        class(100.0, 2000.0, 0.5, keyed(DeduplicationScope::Zone)),
        class(300.0, 1500.0, 1.0, keyed(DeduplicationScope::Shard)),
    ];
    let scale = draw.pick(&[1.0, 1.0, 0.4]);
    for class in &mut classes {
        class.latency_objective *= scale;
        class.in_order = draw.chance(30);
        class.objective_stretch = draw.pick(&[0.0, 0.0, 1.5]);
    }
    let limited = Plan { limit_rate: 40.0, limit_burst: 30.0, priority_factor: 2.0, ..plan(5.0) };
    let budget = RetryBudget { floor: 3.0, ratio: 0.2, span: draw.pick(&[500.0, 5000.0]) };
    Settings {
        initiators: draw.pick(&[1, 3, 40, 300]),
        classes,
        plans: vec![plan(0.0), plan(50.0), limited],
        polls_list: draw.chance(30),
        max_attempts: draw.pick(&[1, 3, 5]),
        max_concurrent_attempts: draw.pick(&[1, 2]),
        may_cancel: draw.chance(70),
        may_probe: draw.chance(60),
        max_retry_after: draw.pick(&[0.0, 500.0]),
        warm_up_time: draw.pick(&[500.0, 10_000.0]),
        key_cooldown: draw.pick(&[0.0, 300.0]),
        retry_budget: draw.chance(50).then_some(budget),
        mean_units: draw.pick(&[0.5, 2.0]),
        ..settings()
    }
}

impl Script {
    pub fn new(seed: u64) -> Self {
        let mut draw = Draw::new(seed);
        let settings = draw_settings(&mut draw);
        Script {
            now: draw.pick(&[0.0, 0.0, 100_000.0]),
            nodes: draw.pick(&[1, 2, 3, 5, 8, 20, 60, 300, 600]),
            known_service_times: draw.pick(&[30, 30, 100]),
            listed: BTreeMap::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            live: BTreeSet::new(),
            probes: Vec::new(),
            next_request: 0,
            settings,
            arrivals: draw.pick(&[15, 30, 45]),
            pauses: draw.pick(&[0, 3, 15]),
            failures: draw.pick(&[2, 15, 50]),
            losses: draw.pick(&[0, 10, 30]),
            retries: 0,
            new_objects: 0,
            objects: BTreeSet::new(),
            draw,
        }
    }

    pub fn settings(&self) -> Settings {
        self.settings.clone()
    }

    /// Lets time pass and draws the next event.
    pub fn next_event(&mut self) -> Event {
        self.now += match self.draw.below(1000) {
            pause if pause < self.pauses => self.draw.pick(&[1500.0, 5000.0, 30_000.0, 240_000.0]),
            pause if pause < 300 => 0.0,
            pause if pause < 970 => self.draw.between(0.0, 12.0),
            _ => self.draw.between(10.0, 400.0),
        };
        if self.listed.is_empty() || self.draw.chance(6) {
            return self.list();
        }
        if self.draw.chance(self.arrivals) {
            return self.arrival();
        }
        match self.draw.below(100) {
            0 => self.change_settings(),
            1 | 2 => Event::ClientDisconnected(self.some_request()),
            3 => Event::ResponseStarted(self.some_request()),
            4..15 => self.probe_ended(),
            _ => self.end(),
        }
    }

    /// What a scheduler's actions change in its environment.
    pub fn take(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    let count = self.attempts.entry(*request).or_default();
                    let number = AttemptNo(*count);
                    *count += 1;
                    self.retries += u64::from(number.0 > 0);
                    self.new_objects += u64::from(self.objects.contains(request));
                    let fate = if self.draw.chance(self.losses) { Fate::Lost } else { Fate::Answered };
                    self.in_flight.push(Attempt { request: *request, number, sent: self.now, fate });
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.live.remove(request);
                }
                Action::Probe { node } => self.probes.push(*node),
                Action::Cancel { request, attempt } => {
                    let is = |a: &&mut Attempt| a.request == *request && a.number == *attempt;
                    self.in_flight.iter_mut().filter(is).for_each(|a| a.fate = Fate::Cancelled);
                }
                Action::SetTimer { .. } | Action::PollList => {}
            }
        }
    }

    fn arrival(&mut self) -> Event {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.live.insert(id);
        let shard = match self.draw.below(10) {
            0..3 => None,
            // A few nodes get most of the work, as in production.
            3..8 => Some(ShardId(self.draw.below(u64::from(self.nodes).min(4)) as i64)),
            _ => Some(ShardId(self.draw.below(u64::from(self.nodes) + 2) as i64)),
        };
        if shard.is_none() {
            self.objects.insert(id);
        }
        Event::RequestArrived(Arrival {
            id,
            class: ClassId(self.draw.below(self.settings.classes.len() as u64) as usize),
            plan: PlanId(self.draw.below(self.settings.plans.len() as u64) as usize),
            key: self.draw.chance(40).then(|| Key(self.draw.below(KEYS))),
            expires_at: self.now + self.draw.pick(&[40.0, 300.0, 1500.0, 4000.0]),
            volume: VolumeId(self.draw.below(VOLUMES)),
            units: self.draw.pick(&[1.0, 1.0, 2.0, 8.0]),
            shard,
            volume_initiators: 1 + self.draw.below(3) as u32,
        })
    }

    fn some_request(&mut self) -> RequestId {
        let live: Vec<_> = self.live.iter().copied().collect();
        if live.is_empty() {
            RequestId(self.draw.below(self.next_request + 1))
        } else {
            self.draw.pick(&live)
        }
    }

    fn end(&mut self) -> Event {
        let now = self.now;
        let may_end = |a: &Attempt| a.fate != Fate::Lost || now - a.sent > LOST_TIMEOUT;
        let ending: Vec<usize> =
            (0..self.in_flight.len()).filter(|place| may_end(&self.in_flight[*place])).collect();
        let Some(oldest) = ending.first().copied() else { return Event::Evaluate };
        // The oldest mostly; some stay in flight for long, or end long after their node has gone.
        let place = if self.draw.chance(70) { oldest } else { self.draw.pick(&ending) };
        let attempt = self.in_flight.remove(place);
        let outcome = match attempt.fate {
            Fate::Lost => Outcome::TimedOut,
            Fate::Cancelled => self.draw.pick(&[Outcome::Cancelled, Outcome::Cancelled, Outcome::Served]),
            Fate::Answered => self.draw_outcome(),
        };
        let is_final = outcome == Outcome::Served || self.draw.chance(10);
        let latency = self.now - attempt.sent;
        Event::AttemptEnded(AttemptEnd {
            request: attempt.request,
            attempt: attempt.number,
            outcome,
            latency,
            is_final,
        })
    }

    fn draw_outcome(&mut self) -> Outcome {
        if !self.draw.chance(self.failures) {
            return Outcome::Served;
        }
        self.draw.pick(&[
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
        let outcome = self.draw.pick(&[Outcome::Served, Outcome::Served, Outcome::TimedOut]);
        let node = self.probes.pop().unwrap_or(NodeId(self.draw.below(u64::from(self.nodes) + 2) as u32));
        Event::ProbeEnded(node, outcome)
    }

    fn change_settings(&mut self) -> Event {
        self.settings = draw_settings(&mut self.draw);
        Event::SettingsChanged(Box::new(self.settings.clone()))
    }

    fn list(&mut self) -> Event {
        let first = self.listed.is_empty();
        match if first { 0 } else { self.draw.below(20) } {
            0 | 1 => {
                let scope = self.draw.pick(&[ListScope::Full, ListScope::Cached]);
                let keeps = self.draw.pick(&[50, 90, 100]);
                let mut entries = Vec::new();
                for node in 0..self.nodes {
                    if first || self.draw.chance(keeps) {
                        let entry = self.listed.get(&NodeId(node)).cloned();
                        entries.push(entry.unwrap_or_else(|| self.new_entry(node)));
                    }
                }
                // Nodes that are left out are gone; a list may end up empty.
                let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
                self.listed.retain(|node, _| listed.contains(node));
                self.note(entries, scope)
            }
            2 => Event::EndpointList(ListScope::Failed, Vec::new()),
            _ => {
                let count = self.draw.pick(&[1, 1, 1, 2, 4]);
                let entries = (0..count).map(|_| self.changed_entry()).collect();
                self.note(entries, ListScope::Changes)
            }
        }
    }

    fn note(&mut self, entries: Vec<NodeEntry>, scope: ListScope) -> Event {
        self.listed.extend(entries.iter().map(|entry| (entry.node, entry.clone())));
        Event::EndpointList(scope, entries)
    }

    fn new_entry(&mut self, node: u32) -> NodeEntry {
        NodeEntry {
            node: NodeId(node),
            readiness: self.draw.pick(&[Readiness::Serving, Readiness::Serving, Readiness::Draining]),
            started_at: self.draw.chance(20).then(|| self.now - self.draw.pick(&[0.0, 300.0, 50_000.0])),
            size: self.draw.pick(&[0.0, 1.0, 1.0, 2.5, 0.3]),
            service_time: self.draw.chance(self.known_service_times).then(|| self.draw.between(0.2, 30.0)),
            zone: ZoneId(node % 3),
            shard: ShardId(i64::from(node)),
        }
    }

    /// One node, listed or not, with one thing changed.
    fn changed_entry(&mut self) -> NodeEntry {
        let busy = self.nodes.min(4);
        let of = if self.draw.chance(50) { busy } else { self.nodes + 2 };
        let node = self.draw.below(u64::from(of)) as u32;
        let Some(known) = self.listed.get(&NodeId(node)).cloned() else { return self.new_entry(node) };
        match self.draw.below(9) {
            0 => NodeEntry { readiness: Readiness::Draining, ..known },
            1 => NodeEntry { readiness: Readiness::Removed, ..known },
            2..5 => NodeEntry { readiness: Readiness::Serving, ..known },
            5 => {
                let service_time = self.draw.chance(50).then(|| self.draw.between(0.2, 30.0));
                let started_at = Some(self.now - self.draw.pick(&[0.0, 0.0, 200.0]));
                NodeEntry { started_at, service_time, readiness: Readiness::Serving, ..known }
            }
            6 => NodeEntry { started_at: None, ..known },
            // Another node comes to hold a shard that a busy one holds too.
            7 => NodeEntry { shard: ShardId(self.draw.below(u64::from(busy)) as i64), ..known },
            _ => NodeEntry { size: self.draw.pick(&[0.0, 0.5, 1.0, 4.0]), ..known },
        }
    }
}
