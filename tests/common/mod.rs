//! Settings, arrivals and lists for the module's tests, and a host that records what the brain does.
#![allow(dead_code)]

use flaxstand::api::*;
use flaxstand::brain::Brain;

pub fn class(aim: Ms, deadline: Ms, worth: f64, effect: Effect) -> Class {
    Class { aim, aim_stretch: 0.0, deadline, late_value: 0.2, worth, effect, in_order: false }
}

pub fn plan(reserve_rate: f64) -> Plan {
    Plan { base_rate: 10.0, reserve_rate, limit_rate: 0.0, limit_burst: 0.0, price: 1.0 }
}

pub fn settings() -> Settings {
    Settings {
        initiators: 2,
        classes: vec![
            class(200.0, 1500.0, 2.0, Effect::Repeatable),
            class(1000.0, 3000.0, 1.0, Effect::Repeatable),
        ],
        plans: vec![plan(0.0)],
        list_on_request: false,
        ask_within: 10_000.0,
        list_terms: None,
        max_attempts: 3,
        most_out: 1,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 500.0,
        cold_from: 0.2,
        cold_time: 10_000.0,
        fall_multiple: 4.0,
        fall_time: 1000.0,
        cold_bears: 4.0,
        key_rest: 0.0,
        budget: None,
        unit_mean: 2.0,
        unit_most: 8.0,
        share_worth: 0.3,
        spare_worth: 0.1,
        tick: 2.0,
    }
}

pub fn entry(node: u32, readiness: Readiness, booted_at: Option<Ms>) -> NodeEntry {
    NodeEntry {
        node: NodeId(node),
        readiness,
        booted_at,
        size: 0.0,
        pace: None,
        zone: ZoneId(node % 2),
        shard: ShardId(i64::from(node)),
    }
}

pub fn arrival(id: u64, shard: Option<i64>, valid_until: Ms) -> Arrival {
    Arrival {
        id: RequestId(id),
        class: ClassId(0),
        plan: PlanId(0),
        key: None,
        valid_until,
        volume: VolumeId(1),
        units: 1.0,
        shard: shard.map(ShardId),
        writers: 1,
    }
}

/// A brain with a clock and a record of its actions.
pub struct Host {
    pub brain: Brain,
    pub now: Ms,
    /// Actions since the last `take`.
    pub actions: Vec<Action>,
}

impl Host {
    /// A brain that knows `nodes` warm nodes; node and shard have one number.
    pub fn new(settings: Settings, nodes: u32) -> Self {
        Self::seeded(settings, nodes, 7)
    }

    pub fn seeded(settings: Settings, nodes: u32, seed: u64) -> Self {
        let now = 100_000.0;
        let mut host = Host { brain: Brain::new(settings, seed, now), now, actions: Vec::new() };
        let entries = (0..nodes).map(|n| entry(n, Readiness::Serving, None)).collect();
        host.tell(Event::List(ListScope::Saved, entries));
        host
    }

    /// Tells an event without letting the brain decide.
    pub fn tell(&mut self, event: Event) {
        self.brain.handle(event, self.now, &mut self.actions);
    }

    pub fn list(&mut self, scope: ListScope, entries: Vec<NodeEntry>) {
        self.tell(Event::List(scope, entries));
        self.tell(Event::Decide);
    }

    pub fn arrive(&mut self, a: Arrival) {
        self.tell(Event::Arrived(a));
        self.tell(Event::Decide);
    }

    /// Lets time pass in steps of the brain's own looks.
    pub fn pass(&mut self, time: Ms) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 5.0).min(end);
            self.tell(Event::Decide);
        }
    }

    pub fn end(&mut self, id: u64, attempt: u32, outcome: Outcome, lag: Ms) {
        self.tell(Event::Ended(Ended {
            request: RequestId(id),
            attempt: AttemptNo(attempt),
            outcome,
            lag,
            complete: outcome == Outcome::Served,
        }));
        self.tell(Event::Decide);
    }

    /// Serves one request at a node so that the node's pace is known.
    pub fn warm_up(&mut self, id: u64, shard: i64, lag: Ms) {
        self.arrive(arrival(id, Some(shard), self.now + 1500.0));
        self.now += lag;
        self.end(id, 0, Outcome::Served, lag);
        self.take();
    }

    /// The actions since the last call, without wake-ups.
    pub fn take(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.retain(|a| !matches!(a, Action::Wake { .. }));
        actions
    }

    /// Requests sent since the last call, in order, with their node.
    pub fn sends(&mut self) -> Vec<(u64, u32)> {
        let send = |a| match a {
            Action::Send { request, node, .. } => Some((request.0, node.0)),
            _ => None,
        };
        self.take().into_iter().filter_map(send).collect()
    }
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if request.0 == id))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if request.0 == id))
}
