//! Settings, arrivals and endpoint lists for the scheduler tests, and a simulated host that records actions.
#![allow(dead_code)]

use flaxstand::api::*;
use flaxstand::scheduler::Scheduler;

pub fn class(latency_objective: Millis, deadline: Millis, priority_weight: f64, effect: Effect) -> Class {
    Class {
        latency_objective,
        objective_stretch: 0.0,
        deadline,
        late_value: 0.2,
        priority_weight,
        effect,
        in_order: false,
    }
}

pub fn plan(reserve_rate: f64) -> Plan {
    Plan { base_rate: 10.0, reserve_rate, limit_rate: 0.0, limit_burst: 0.0, priority_factor: 1.0 }
}

pub fn settings() -> Settings {
    Settings {
        initiators: 2,
        classes: vec![
            class(200.0, 1500.0, 2.0, Effect::Idempotent),
            class(1000.0, 3000.0, 1.0, Effect::Idempotent),
        ],
        plans: vec![plan(0.0)],
        polls_list: false,
        poll_within: 10_000.0,
        notification_terms: None,
        max_attempts: 3,
        max_concurrent_attempts: 1,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 500.0,
        initial_capacity: 0.2,
        warm_up_time: 10_000.0,
        overload_multiple: 4.0,
        slow_start_window: 1000.0,
        slow_start_min_units: 4.0,
        key_cooldown: 0.0,
        retry_budget: None,
        mean_units: 2.0,
        max_units: 8.0,
        shared_weight: 0.3,
        spare_weight: 0.1,
        tick: 2.0,
    }
}

pub fn entry(node: u32, readiness: Readiness, started_at: Option<Millis>) -> NodeEntry {
    NodeEntry {
        node: NodeId(node),
        readiness,
        started_at,
        size: 0.0,
        service_time: None,
        zone: ZoneId(node % 2),
        shard: ShardId(i64::from(node)),
    }
}

pub fn arrival(id: u64, shard: Option<i64>, expires_at: Millis) -> Arrival {
    Arrival {
        id: RequestId(id),
        class: ClassId(0),
        plan: PlanId(0),
        key: None,
        expires_at,
        volume: VolumeId(1),
        units: 1.0,
        shard: shard.map(ShardId),
        volume_initiators: 1,
    }
}

/// A scheduler with a simulated clock that records its actions.
pub struct Host {
    pub scheduler: Scheduler,
    pub now: Millis,
    /// Actions since the last call of `take_actions`.
    pub actions: Vec<Action>,
}

impl Host {
    /// Creates a scheduler with `nodes` warm nodes; each node serves the shard of the same number.
    pub fn new(settings: Settings, nodes: u32) -> Self {
        Self::seeded(settings, nodes, 7)
    }

    pub fn seeded(settings: Settings, nodes: u32, seed: u64) -> Self {
        let now = 100_000.0;
        let mut host = Host { scheduler: Scheduler::new(settings, seed, now), now, actions: Vec::new() };
        let entries = (0..nodes).map(|n| entry(n, Readiness::Serving, None)).collect();
        host.handle(Event::EndpointList(ListScope::Cached, entries));
        host
    }

    /// Delivers an event without an evaluation.
    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle(event, self.now, &mut self.actions);
    }

    pub fn apply_list(&mut self, scope: ListScope, entries: Vec<NodeEntry>) {
        self.handle(Event::EndpointList(scope, entries));
        self.handle(Event::Evaluate);
    }

    pub fn arrive(&mut self, arrival: Arrival) {
        self.handle(Event::RequestArrived(arrival));
        self.handle(Event::Evaluate);
    }

    /// Advances the clock, with an evaluation every 5 ms.
    pub fn advance(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 5.0).min(end);
            self.handle(Event::Evaluate);
        }
    }

    pub fn end_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome, latency: Millis) {
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptNo(attempt),
            outcome,
            latency,
            is_final: outcome == Outcome::Served,
        }));
        self.handle(Event::Evaluate);
    }

    /// Serves one request at a node, so that the service time of the node is measured.
    pub fn serve_one(&mut self, id: u64, shard: i64, latency: Millis) {
        self.arrive(arrival(id, Some(shard), self.now + 1500.0));
        self.now += latency;
        self.end_attempt(id, 0, Outcome::Served, latency);
        self.take_actions();
    }

    /// Returns the actions since the last call, without timers.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    /// Returns the requests sent since the last call and their nodes, in order.
    pub fn take_sends(&mut self) -> Vec<(u64, u32)> {
        let send = |a| match a {
            Action::Send { request, node, .. } => Some((request.0, node.0)),
            _ => None,
        };
        self.take_actions().into_iter().filter_map(send).collect()
    }
}

pub fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if request.0 == id))
}
