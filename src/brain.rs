//! Every decision of one initiator. The interface (settings, events, actions, ids) is in `src/api.rs`.
//!
//! Ordinary path: a new object is placed by a draw proportional to fitness, all else follows its fixed
//! node, and held requests leave earliest due first under a per-node bound. `docs/design.md` names each
//! exception and the condition under which it acts.

use crate::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Requests out at one node, most (design page: q_ceil and the starting bound).
const DEPTH_MOST: f64 = 8.0;
/// A bound at which a node counts as having room to spare for late requests.
const SPARE_DEPTH: f64 = 2.0;
/// A node left alone for so many lags may get timely units beyond the share, or no bound would rise.
const IDLE_LAGS: f64 = 3.0;
/// Requests out at one node, over all hosts together, that every bound leaves: enough to keep a node of
/// a few cores at work. With more hosts than this each host's part is below 1, kept by waiting.
const DEPTH_LEAST_ALL: f64 = 4.0;
/// Aggression factor of the usage term (design page).
const AGGRESSION: f64 = 1.05;
/// Least fitness of a node that may be drawn (design page).
const FITNESS_FLOOR: f64 = 0.01;
/// How far back "lately" reaches for the usage term, ms: many requests, yet shorter than a trouble.
const LATELY: Ms = 2000.0;
/// Wait in a node's queue that is let be, in tightest aims: waiting belongs here, where order is chosen.
const QUEUE_SHARE: f64 = 0.06;
/// Part of its own work by which an attempt may last longer unqueued: works differ by themselves.
const NOISE: f64 = 0.5;
/// What a node's bound keeps of itself when its queue was longer than that.
const CUT: f64 = 0.75;
/// Weight of the newest answer in running means.
const NEWEST: f64 = 0.2;
/// An attempt out for so many usual lags, and the tightest aim, makes a node suspect; pauses stay below.
const SUSPECT_LAGS: f64 = 4.0;
/// Failures in a row after which a node gets single canaries only.
const TRIP: u32 = 2;
/// First and longest wait between canaries, ms; it doubles up to about the time in which a list notices.
const CANARY: (Ms, Ms) = (50.0, 400.0);
/// Share used of the cold rule's allowance; the rest is for handshakes and what a restarted host forgot.
const COLD_SHARE: f64 = 0.7;
/// Longest wait between two looks at what is held, ms.
const LOOK: Ms = 10.0;
/// A held request is ended this long before its client leaves, ms, beyond one look and one tick.
const END_MARGIN: Ms = 4.0;
/// First wait before a failed subscription is asked for again, ms.
const ASK_AGAIN: Ms = 400.0;

/// A sum that fades with time constant `LATELY`.
#[derive(Clone, Copy, Default)]
struct Fading {
    value: f64,
    at: Ms,
}

impl Fading {
    fn get(&self, now: Ms) -> f64 {
        self.value * (-(now - self.at) / LATELY).exp()
    }
    fn add(&mut self, amount: f64, now: Ms) {
        *self = Fading { value: self.get(now) + amount, at: now };
    }
}

/// A running mean; `None` until first told.
fn blend(old: Option<f64>, new: f64, weight: f64) -> Option<f64> {
    Some(old.map_or(new, |o| o + weight * (new - o)))
}

/// An attempt that is out.
struct Out {
    request: RequestId,
    attempt: AttemptNo,
    sent: Ms,
    units: f64,
    /// Own units out at the node with this one, at its sending.
    ahead: f64,
}

/// One storage node: readiness, warmth, health, requests out, pace.
#[derive(Default)]
struct Node {
    entry: NodeEntry,
    out: Vec<Out>,
    depth: f64,
    last_cut: Ms,
    last_sent: Ms,
    /// Where the bound is below 1: when the next request may leave.
    next_send: Ms,
    /// Unloaded time of a unit, ms: falls fast, rises slowly.
    unit_time: Option<f64>,
    /// Time between units of this host leaving the node while it is kept busy, ms.
    drain: Option<f64>,
    lag: Option<f64>,
    /// Part of the lag that was wait in the node's queue, ms.
    queued: Option<f64>,
    fails: u32,
    next_canary: Ms,
    /// Units sent lately, for the usage term.
    sent: Fading,
    /// Sends while cold: when, units.
    cold_sends: VecDeque<(Ms, f64)>,
    /// Units beyond the reserve sent for each volume lately.
    beyond: BTreeMap<VolumeId, Fading>,
}

impl Node {
    fn new(entry: &NodeEntry) -> Self {
        Node { entry: entry.clone(), depth: DEPTH_MOST / 2.0, ..Node::default() }
    }

    /// The list speaks; a fresh start makes all that was learned of the old process void.
    fn told(&mut self, entry: &NodeEntry) {
        if entry.booted_at.is_some() && entry.booted_at != self.entry.booted_at {
            let out = std::mem::take(&mut self.out);
            *self = Node { out, depth: 1.0, ..Node::new(entry) };
        }
        self.entry = entry.clone();
    }

    /// Share of its capacity that the node surely has; 1 once warm.
    fn warmth(&self, s: &Settings, now: Ms) -> f64 {
        match self.entry.booted_at {
            Some(at) if now < at + s.cold_time => {
                s.cold_from + (1.0 - s.cold_from) * ((now - at).max(0.0) / s.cold_time)
            }
            _ => 1.0,
        }
    }

    /// Guards the rule on cold nodes: each window, this host's part, at one core's pace of a usual node.
    fn cold_allows(&self, units: f64, unit_time: impl Fn() -> f64, s: &Settings, now: Ms) -> bool {
        let warmth = self.warmth(s, now);
        if warmth >= 1.0 || s.fall_time <= 0.0 {
            return true;
        }
        let recent: f64 =
            self.cold_sends.iter().filter(|(at, _)| now - at < s.fall_time).map(|(_, u)| u).sum();
        let borne = (s.fall_multiple * warmth * s.fall_time / unit_time()).max(s.cold_bears);
        let part = COLD_SHARE * borne / f64::from(s.initiators);
        // One request always may go into an empty window, or large ones would never leave.
        recent + units <= part || recent == 0.0
    }

    /// Whether the oldest attempt has been out far longer than usual: the node hangs, died unheard,
    /// or lost its power to something else. No more is sent until it answers.
    fn silent(&self, tightest_aim: Ms, now: Ms) -> bool {
        self.out.iter().any(|o| now - o.sent > self.patience(tightest_aim))
    }

    fn patience(&self, tightest_aim: Ms) -> Ms {
        (SUSPECT_LAGS * self.lag.unwrap_or(0.0)).max(tightest_aim)
    }

    fn suspect(&self, tightest_aim: Ms, now: Ms) -> bool {
        self.fails >= TRIP || self.silent(tightest_aim, now)
    }

    /// Depth bound and health: room for one more attempt.
    fn room(&self, tightest_aim: Ms, now: Ms) -> bool {
        if self.fails >= TRIP {
            return self.out.is_empty() && now >= self.next_canary;
        }
        (self.depth >= 1.0 || now >= self.next_send)
            && (self.out.len() as f64) < self.depth.floor().max(1.0)
            && !self.silent(tightest_aim, now)
    }

    fn units_out(&self) -> f64 {
        self.out.iter().map(|o| o.units).sum()
    }

    fn note_sent(&mut self, request: RequestId, attempt: AttemptNo, units: f64, fall_time: Ms, now: Ms) {
        let ahead = self.units_out() + units;
        self.out.push(Out { request, attempt, sent: now, units, ahead });
        self.sent.add(units, now);
        self.last_sent = now;
        self.cold_sends.push_back((now, units));
        self.cold_sends.retain(|(at, _)| now - at < fall_time);
    }

    /// Learns from an attempt's end: health from failures, pace and depth from the lag.
    fn note_ended(&mut self, ended: &Ended, tightest_aim: Ms, least: f64, now: Ms) {
        let patience = self.patience(tightest_aim);
        let at = |o: &Out| o.request == ended.request && o.attempt == ended.attempt;
        let Some(index) = self.out.iter().position(at) else {
            return;
        };
        let filled = self.out.len() as f64 + 1.0 > self.depth;
        let out = self.out.swap_remove(index);
        match ended.outcome {
            Outcome::Served => {
                self.fails = 0;
                let pace = ended.lag / out.units.max(1.0);
                let falling = self.unit_time.is_none_or(|t| pace < t);
                self.unit_time = blend(self.unit_time, pace, if falling { NEWEST } else { NEWEST / 100.0 });
                self.drain = blend(self.drain, ended.lag / out.ahead.max(1.0), NEWEST);
                self.lag = blend(self.lag, ended.lag, NEWEST);
                let queued = ended.lag - out.units * self.unit_time.unwrap_or(0.0);
                self.queued = blend(self.queued, queued.max(0.0), NEWEST);
                if queued <= QUEUE_SHARE * tightest_aim + NOISE * (ended.lag - queued) {
                    if filled {
                        self.depth = (self.depth + self.depth.min(1.0 / self.depth)).min(DEPTH_MOST);
                    }
                } else if now - self.last_cut > ended.lag {
                    self.depth = (self.depth * CUT).max(least);
                    self.last_cut = now;
                }
                self.next_send = now + ended.lag * (1.0 / self.depth - 1.0);
            }
            Outcome::Full => self.depth = (self.depth * CUT).max(least),
            Outcome::Cancelled | Outcome::Moot => {}
            // An impatient client says nothing about the node.
            Outcome::TimedOut if ended.lag < patience => {}
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.fails = (self.fails + 1).min(16);
                let wait = CANARY.0 * f64::from(1 << self.fails.saturating_sub(TRIP).min(8));
                self.next_canary = now + wait.min(CANARY.1);
            }
        }
    }
}

/// One volume: this host's part of its reserve and of its limit.
struct Volume {
    plan: PlanId,
    writers: f64,
    /// Reserve units that still earn full worth.
    reserve: f64,
    /// Limit units that may still be sent.
    limit: f64,
    filled_at: Ms,
    sent: Fading,
    /// Units a second served through other hosts, as last heard.
    others: Option<f64>,
}

impl Volume {
    /// The reserve and the limit count over all hosts. The rest of the reserve is ours where the meter
    /// says that others leave it; of the limit only an even part ever is, from empty at our start: what
    /// this host sent before a restart is unknown.
    fn fill(&mut self, s: &Settings, now: Ms) {
        let plan = &s.plans[self.plan.0];
        let seconds = (now - self.filled_at) / 1000.0;
        self.filled_at = now;
        let even = plan.reserve_rate / self.writers;
        let rate = self.others.map_or(even, |others| (plan.reserve_rate - others).max(even));
        self.reserve = (self.reserve + rate * seconds).min(rate + s.unit_most);
        let burst = plan.limit_burst / self.writers;
        self.limit = (self.limit + plan.limit_rate / self.writers * seconds).min(burst);
    }
}

/// What is known of an attempt's effect.
#[derive(Clone, Copy, PartialEq)]
enum Ran {
    Out,
    Never,
    Maybe,
}

struct Attempt {
    node: NodeId,
    shard: ShardId,
    zone: ZoneId,
    sent: Ms,
    ran: Ran,
}

/// One request: attempts, due time, what may have run.
struct Request {
    a: Arrival,
    due: Ms,
    attempts: Vec<Attempt>,
    /// Where it waits: its fixed node, or for a new object the one drawn.
    node: Option<NodeId>,
    over: bool,
    streaming: bool,
}

impl Request {
    fn is_out(&self) -> bool {
        self.attempts.iter().any(|t| t.ran == Ran::Out)
    }
    fn held(&self) -> bool {
        !self.over && !self.is_out()
    }
    fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|t| t.ran != Ran::Never)
    }
    /// Guards the rule on effects: whether another attempt at this node is harmless.
    fn effect_allows(&self, node: &Node, effect: Effect, tick: Ms, now: Ms) -> bool {
        let Some(first) = self.may_have_run() else {
            return true;
        };
        match effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::Keyed { group, window } => {
                let inside = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => first.zone == node.entry.zone,
                    RepeatGroup::Cell => first.shard == node.entry.shard,
                };
                inside && now + tick < first.sent + window
            }
        }
    }
    /// Whether it may be told that trying again is harmless.
    fn may_refuse(&self, effect: Effect) -> bool {
        match effect {
            Effect::Repeatable | Effect::Keyed { group: RepeatGroup::All, .. } => true,
            Effect::Keyed { .. } | Effect::Once => self.may_have_run().is_none(),
        }
    }
}

/// Requests of one key that take turns.
#[derive(Default)]
struct Line {
    waiting: VecDeque<RequestId>,
    rest_until: Ms,
}

/// A held request as the release sees it.
#[derive(Clone, Copy)]
struct Waiting {
    id: RequestId,
    due: Ms,
    /// Time that it takes of the node's pace, and time from its sending to its answer.
    cost: Ms,
    lag: Ms,
    /// Worth a unit if served in time, and if late.
    worth: f64,
    late: f64,
    /// Beyond its volume's reserve and share.
    spare: bool,
    valid_until: Ms,
}

/// The decisions of one initiator.
pub struct Brain {
    s: Settings,
    rng: Pcg64Mcg,
    tightest_aim: Ms,
    nodes: BTreeMap<NodeId, Node>,
    volumes: BTreeMap<VolumeId, Volume>,
    requests: BTreeMap<RequestId, Request>,
    lines: BTreeMap<Key, Line>,
    /// For the budget: when requests were taken, and when attempts beyond a first were sent.
    taken: VecDeque<Ms>,
    further: VecDeque<(Ms, RequestId, AttemptNo)>,
    started: Ms,
    wake_at: Option<Ms>,
    ask_at: Option<Ms>,
    asks_failed: u32,
}

impl Brain {
    /// A brain that has just started and knows nothing.
    pub fn new(settings: Settings, seed: u64, now: Ms) -> Self {
        let tightest_aim = settings.classes.iter().map(|c| c.aim).fold(Ms::INFINITY, Ms::min);
        let (nodes, volumes, requests, lines, taken, further) = Default::default();
        Brain {
            rng: Pcg64Mcg::seed_from_u64(seed),
            tightest_aim,
            nodes,
            volumes,
            requests,
            lines,
            taken,
            further,
            started: now,
            wake_at: None,
            ask_at: settings.list_on_request.then_some(now),
            asks_failed: 0,
            s: settings,
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub fn handle(&mut self, event: Event, now: Ms, actions: &mut Vec<Action>) {
        match event {
            Event::List(scope, entries) => self.listed(scope, &entries, now),
            Event::Arrived(arrival) => self.arrived(arrival, now),
            Event::AnswerStarted(id) => {
                self.requests.entry(id).and_modify(|r| r.streaming = true);
            }
            Event::Ended(ended) => self.ended(&ended, now, actions),
            Event::ClientGone(id) => self.over(id),
            Event::Decide => self.decide(now, actions),
        }
    }

    fn listed(&mut self, scope: ListScope, entries: &[NodeEntry], now: Ms) {
        if scope == ListScope::Failed {
            // Ask again, ever more rarely: the list service may be what is overloaded.
            self.asks_failed += 1;
            let wait = ASK_AGAIN * f64::from(1 << self.asks_failed.min(5));
            self.ask_at = Some(now + wait.min(self.s.ask_within / 2.0) * (0.5 + 0.5 * self.random()));
            return;
        }
        self.asks_failed = 0;
        if scope != ListScope::Changes {
            self.nodes.values_mut().for_each(|n| n.entry.readiness = Readiness::Gone);
        }
        for entry in entries {
            self.nodes.entry(entry.node).or_insert_with(|| Node::new(entry)).told(entry);
        }
    }

    fn arrived(&mut self, a: Arrival, now: Ms) {
        self.taken.push_back(now);
        let class = &self.s.classes[a.class.0];
        let stretch = class.aim_stretch * a.units * self.usual_unit_time();
        // A client that leaves before the aim has passed must be answered before it leaves.
        let due = (now + (class.aim + stretch).min(class.deadline)).min(a.valid_until);
        if let (true, Some(key)) = (class.in_order, a.key) {
            self.lines.entry(key).or_default().waiting.push_back(a.id);
        }
        let volume = self.volumes.entry(a.volume).or_insert_with(|| Volume {
            plan: a.plan,
            writers: 1.0,
            reserve: self.s.unit_most,
            limit: 0.0,
            filled_at: self.started,
            sent: Fading::default(),
            others: None,
        });
        volume.writers = volume.writers.max(f64::from(a.writers));
        let (attempts, node) = (Vec::new(), None);
        self.requests.insert(a.id, Request { a, due, attempts, node, over: false, streaming: false });
    }

    fn ended(&mut self, ended: &Ended, now: Ms, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let Some(attempt) = r.attempts.get_mut(ended.attempt.0 as usize) else {
            return;
        };
        attempt.ran = match ended.outcome {
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => Ran::Never,
            _ => Ran::Maybe,
        };
        let (class, id) = (&self.s.classes[r.a.class.0], ended.request);
        if let Some(node) = self.nodes.get_mut(&attempt.node) {
            let least = (DEPTH_LEAST_ALL / f64::from(self.s.initiators)).min(1.0);
            node.note_ended(ended, self.tightest_aim, least, now);
        }
        if ended.outcome == Outcome::Moot {
            self.further.retain(|(_, request, no)| (*request, *no) != (id, ended.attempt));
        }
        let unsure = matches!(ended.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let (true, Some(key)) = (class.in_order && unsure, r.a.key) {
            self.lines.entry(key).or_default().rest_until = now + self.s.key_rest;
        }
        if let (Some(used), Some(v)) = (ended.used_percent, self.volumes.get_mut(&r.a.volume)) {
            let own = v.sent.get(now) / (LATELY / 1000.0);
            let others = (used / 100.0 * self.s.plans[v.plan.0].base_rate - own).max(0.0);
            v.others = blend(v.others, others, NEWEST);
        }
        let spent = r.attempts.len() >= self.s.max_attempts as usize;
        let (over, streaming, expired) = (r.over, r.streaming, now >= r.a.valid_until);
        let repeat = class.effect != Effect::Once || r.may_have_run().is_none();
        // A new object that failed is drawn again.
        r.node = None;
        if ended.complete || over {
            self.over(id);
        } else if !streaming && (expired || spent || !repeat) {
            self.finish(id, expired, actions);
        }
    }

    fn over(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|r| r.over = true);
        self.forget(id);
    }

    /// Drops a request that is over once nothing of it is out; only then its key's turn passes on.
    fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        if !r.over || r.is_out() {
            return;
        }
        if let (true, Some(key)) = (self.s.classes[r.a.class.0].in_order, r.a.key)
            && let Some(line) = self.lines.get_mut(&key)
        {
            line.waiting.retain(|w| *w != id);
        }
        self.requests.remove(&id);
    }

    /// The one place that gives final answers: refused where that promise holds, else failed.
    fn finish(&mut self, id: RequestId, expired: bool, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.over || r.streaming {
            return;
        }
        if !expired && r.may_refuse(self.s.classes[r.a.class.0].effect) {
            actions.push(Action::Refuse { request: id, retry_after: self.s.max_retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.over(id);
    }

    fn decide(&mut self, now: Ms, actions: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask_at = None;
            actions.push(Action::Subscribe);
        }
        self.volumes.values_mut().for_each(|v| v.fill(&self.s, now));
        self.lines.retain(|_, line| !line.waiting.is_empty() || now < line.rest_until);
        self.expire(now, actions);
        self.call_off(now, actions);
        self.place(now);
        self.release(now, actions);
        if !self.requests.is_empty() || self.ask_at.is_some() {
            let waits = self.requests.values().any(Request::held);
            let at = now + if waits { LOOK } else { self.tightest_aim / 4.0 };
            if self.wake_at.is_none_or(|w| w <= now || w > at) {
                self.wake_at = Some(at);
                actions.push(Action::Wake { after: at - now });
            }
        }
    }

    /// Held requests get their final answer before the client leaves, whatever their node does.
    fn expire(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let margin = LOOK + self.s.tick + END_MARGIN;
        let ending = |r: &Request| r.held() && now + margin >= r.a.valid_until;
        let ids: Vec<_> = self.requests.values().filter(|r| ending(r)).map(|r| r.a.id).collect();
        ids.into_iter().for_each(|id| self.finish(id, false, actions));
    }

    /// New objects out at a silent node are called off, to be drawn again, where a repeat elsewhere is
    /// harmless: guards against hangs and deaths that no list knows of.
    fn call_off(&mut self, now: Ms, actions: &mut Vec<Action>) {
        if !self.s.may_cancel || self.nodes.values().all(|n| n.suspect(self.tightest_aim, now)) {
            return;
        }
        for node in self.nodes.values().filter(|n| n.silent(self.tightest_aim, now)) {
            for out in &node.out {
                let Some(r) = self.requests.get(&out.request) else {
                    continue;
                };
                let movable = self.s.classes[r.a.class.0].effect == Effect::Repeatable;
                let again = r.attempts.len() < self.s.max_attempts as usize;
                if r.a.shard.is_none() && movable && again && !r.over && !r.streaming {
                    actions.push(Action::Cancel { request: out.request, attempt: out.attempt });
                }
            }
        }
    }

    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Unloaded time of a unit at a usual node, ms, over the nodes heard from.
    fn usual_unit_time(&self) -> f64 {
        let known: Vec<f64> = self.nodes.values().filter_map(|n| n.unit_time).collect();
        if known.is_empty() {
            return self.tightest_aim / self.s.unit_mean.max(1.0) / 4.0;
        }
        known.iter().sum::<f64>() / known.len() as f64
    }

    /// Gives every held request the node it waits for: its shard's, or one drawn by fitness.
    fn place(&mut self, now: Ms) {
        let mut by_shard: BTreeMap<ShardId, NodeId> = BTreeMap::new();
        for (id, node) in self.nodes.iter().filter(|(_, n)| n.entry.readiness == Readiness::Serving) {
            let newest = by_shard.entry(node.entry.shard).or_insert(*id);
            if self.nodes[newest].entry.booted_at.unwrap_or(0.0) < node.entry.booted_at.unwrap_or(0.0) {
                *newest = *id;
            }
        }
        let mut waiting: BTreeMap<NodeId, f64> = BTreeMap::new();
        let mut fresh = Vec::new();
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| r.held()) {
            let kept = r.may_have_run().filter(|_| self.s.classes[r.a.class.0].effect != Effect::Repeatable);
            match r.a.shard.or(kept.map(|t| t.shard)) {
                Some(shard) => {
                    r.node = by_shard.get(&shard).copied();
                    if let Some(node) = r.node {
                        *waiting.entry(node).or_default() += 1.0;
                    }
                }
                None => fresh.push((r.due, *id)),
            }
        }
        fresh.sort_by(|x, y| x.0.total_cmp(&y.0).then(x.1.cmp(&y.1)));
        for (_, id) in fresh {
            let Some(node) = self.draw(&waiting, now) else { break };
            *waiting.entry(node).or_default() += 1.0;
            self.requests.entry(id).and_modify(|r| r.node = Some(node));
        }
    }

    /// The design's draw over ready nodes; suspects only if all are, a cold node by what it surely can do.
    fn draw(&mut self, waiting: &BTreeMap<NodeId, f64>, now: Ms) -> Option<NodeId> {
        let ready: Vec<_> =
            self.nodes.iter().filter(|(_, n)| n.entry.readiness == Readiness::Serving).collect();
        let well: Vec<_> =
            ready.iter().filter(|(_, n)| !n.suspect(self.tightest_aim, now)).copied().collect();
        let allowed = if well.is_empty() { ready } else { well };
        let total: f64 = self.nodes.values().map(|n| n.sent.get(now)).sum();
        let fitness = |id: &NodeId, n: &Node| {
            let q = n.out.len() as f64 + waiting.get(id).copied().unwrap_or(0.0);
            let usage = if total > 0.0 { 100.0 * n.sent.get(now) / total } else { 0.0 };
            ((1.0 - q / DEPTH_MOST).max(0.0) / AGGRESSION.powf(usage)).max(FITNESS_FLOOR)
        };
        let heard: Vec<f64> =
            allowed.iter().filter(|(_, n)| n.lag.is_some()).map(|(id, n)| fitness(id, n)).collect();
        let average = heard.iter().sum::<f64>() / heard.len().max(1) as f64;
        let weigh = |(id, n): &(&NodeId, &Node)| {
            let unheard = n.lag.is_none() && !heard.is_empty();
            let plain = if unheard { average.min(fitness(id, n)) } else { fitness(id, n) };
            (**id, plain * n.warmth(&self.s, now))
        };
        let weights: Vec<(NodeId, f64)> = allowed.iter().map(weigh).collect();
        let mut point = self.random() * weights.iter().map(|(_, w)| w).sum::<f64>();
        let passes = |(_, weight): &&(NodeId, f64)| {
            point -= weight;
            point < 0.0
        };
        weights.iter().find(passes).or(weights.last()).map(|(id, _)| *id)
    }

    fn release(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let mut held: BTreeMap<NodeId, Vec<RequestId>> = BTreeMap::new();
        for (id, r) in self.requests.iter().filter(|(_, r)| r.held()) {
            if let Some(node) = r.node {
                held.entry(node).or_default().push(*id);
            }
        }
        for (node, mut ids) in held {
            while !ids.is_empty() && self.nodes[&node].room(self.tightest_aim, now) {
                ids.retain(|id| self.may_send(*id, node, now));
                let Some(next) = self.choose(&mut ids, node, now, actions) else {
                    break;
                };
                ids.retain(|id| *id != next);
                self.send(next, node, now, actions);
            }
        }
    }

    /// The gate that every send passes: drain, depth and health, cold, attempts, order, limit, effect,
    /// budget.
    fn may_send(&self, id: RequestId, at: NodeId, now: Ms) -> bool {
        let (Some(r), Some(node)) = (self.requests.get(&id), self.nodes.get(&at)) else {
            return false;
        };
        let class = &self.s.classes[r.a.class.0];
        let first = r.attempts.is_empty();
        let turn = match r.a.key.filter(|_| class.in_order).and_then(|k| self.lines.get(&k)) {
            Some(line) => line.waiting.front() == Some(&id) && (!first || now >= line.rest_until),
            None => true,
        };
        let volume = &self.volumes[&r.a.volume];
        let limited = self.s.plans[volume.plan.0].limit_rate > 0.0 && first;
        node.entry.readiness == Readiness::Serving
            && r.held()
            && now < r.a.valid_until
            && node.room(self.tightest_aim, now)
            && node.cold_allows(r.a.units, || self.usual_unit_time(), &self.s, now)
            && r.attempts.len() < self.s.max_attempts as usize
            && turn
            && (!limited || volume.limit >= r.a.units)
            && r.effect_allows(node, class.effect, self.s.tick, now)
            && (first || self.budget_allows(now))
    }

    fn budget_allows(&self, now: Ms) -> bool {
        let Some(b) = self.s.budget else { return true };
        // Counted to the safe side of the window's edge by one tick.
        let taken = self.taken.iter().filter(|at| now - **at < b.span - self.s.tick).count() as f64;
        let further = self.further.iter().filter(|(at, ..)| now - at <= b.span + self.s.tick).count() as f64;
        further + 1.0 <= b.floor + b.ratio * taken
    }

    /// Earliest due first. When not all that wait at the node can make their aim at its pace, the
    /// exception: what earns least for a unit gives way until the rest can. What gave way leaves when
    /// nothing else waits, best first, and is refused once even its client's time will not do.
    fn choose(
        &mut self,
        ids: &mut Vec<RequestId>,
        at: NodeId,
        now: Ms,
        actions: &mut Vec<Action>,
    ) -> Option<RequestId> {
        let queue = self.rank(ids, at, now);
        let (mut wait, mut kept, mut late) = (0.0, Vec::<Waiting>::new(), Vec::<Waiting>::new());
        for w in queue {
            let timely = now + w.lag <= w.due;
            if !timely || w.spare {
                late.push(Waiting { late: if timely { w.worth } else { w.late }, spare: timely, ..w });
                continue;
            }
            let lateness = now + wait + w.lag - w.due;
            wait += w.cost;
            kept.push(w);
            if lateness > 0.0
                && let Some(least) = (0..kept.len()).min_by(|x, y| kept[*x].worth.total_cmp(&kept[*y].worth))
            {
                let gone = kept.remove(least);
                wait -= gone.cost;
                late.push(gone);
            }
        }
        late.sort_by(|x, y| y.late.total_cmp(&x.late).then(x.due.total_cmp(&y.due)).then(x.id.cmp(&y.id)));
        let node = &self.nodes[&at];
        let quiet = now - node.last_sent > IDLE_LAGS * node.lag.unwrap_or(0.0);
        let room = |w: &&Waiting| node.depth >= SPARE_DEPTH || quiet && w.spare;
        let fills = |w: &&Waiting| now + w.lag <= w.valid_until && node.out.is_empty() && room(w);
        let filler = late.iter().find(fills).map(|w| w.id);
        for w in &late {
            if now + wait + w.lag > w.valid_until {
                self.finish(w.id, false, actions);
                ids.retain(|id| *id != w.id);
            } else {
                wait += w.cost;
            }
        }
        kept.first().map(|w| w.id).or(filler)
    }

    /// Earliest due first, what each held request would earn a unit, by its volume's tier.
    fn rank(&self, ids: &[RequestId], at: NodeId, now: Ms) -> Vec<Waiting> {
        let node = &self.nodes[&at];
        let drain = node.drain.unwrap_or_else(|| self.usual_unit_time());
        let unit_time = node.unit_time.unwrap_or_else(|| self.usual_unit_time());
        let queued = node.queued.unwrap_or(0.0);
        let weight = |v: &VolumeId| self.volumes.get(v).map_or(1.0, |v| self.s.plans[v.plan.0].weight);
        let beyond: f64 = node.beyond.values().map(|f| f.get(now)).sum();
        let weights: f64 = node.beyond.iter().filter(|(_, f)| f.get(now) > 0.5).map(|(v, _)| weight(v)).sum();
        // Beyond its share is a volume that was sent more than the mean by weight here lately.
        let fair = if weights > 0.0 { beyond / weights } else { 0.0 };
        let mut left: BTreeMap<VolumeId, (f64, f64)> = BTreeMap::new();
        let mut order: Vec<&Request> = ids.iter().filter_map(|id| self.requests.get(id)).collect();
        order.sort_by(|x, y| x.due.total_cmp(&y.due).then(x.a.id.cmp(&y.a.id)));
        order
            .into_iter()
            .map(|r| {
                let class = &self.s.classes[r.a.class.0];
                let volume = &self.volumes[&r.a.volume];
                let used = node.beyond.get(&r.a.volume).map_or(0.0, |f| f.get(now));
                let (reserve, extra) = left.entry(r.a.volume).or_insert((volume.reserve, used));
                let tier = if *reserve >= r.a.units {
                    *reserve -= r.a.units;
                    1.0
                } else {
                    let inside = *extra / weight(&r.a.volume) <= fair;
                    *extra += r.a.units;
                    if inside { self.s.share_worth } else { self.s.spare_worth }
                };
                let worth = class.worth * self.s.plans[volume.plan.0].price;
                Waiting {
                    id: r.a.id,
                    due: r.due,
                    cost: r.a.units * drain,
                    lag: queued + r.a.units * unit_time,
                    worth: worth * tier,
                    late: worth * tier * class.late_value,
                    spare: tier <= self.s.spare_worth,
                    valid_until: r.a.valid_until,
                }
            })
            .collect()
    }

    fn send(&mut self, id: RequestId, at: NodeId, now: Ms, actions: &mut Vec<Action>) {
        let (Some(r), Some(node)) = (self.requests.get_mut(&id), self.nodes.get_mut(&at)) else {
            return;
        };
        let attempt = AttemptNo(r.attempts.len() as u32);
        if attempt.0 > 0 {
            self.further.push_back((now, id, attempt));
        } else if let Some(volume) = self.volumes.get_mut(&r.a.volume) {
            volume.sent.add(r.a.units, now);
            volume.limit -= r.a.units;
            if volume.reserve >= r.a.units {
                volume.reserve -= r.a.units;
            } else {
                node.beyond.entry(r.a.volume).or_default().add(r.a.units, now);
            }
        }
        let span = self.s.budget.map_or(0.0, |b| b.span) + self.s.tick;
        self.taken.retain(|at| now - at <= span);
        self.further.retain(|(at, ..)| now - at <= span);
        r.attempts.push(Attempt {
            node: at,
            shard: node.entry.shard,
            zone: node.entry.zone,
            sent: now,
            ran: Ran::Out,
        });
        node.note_sent(id, attempt, r.a.units, self.s.fall_time, now);
        actions.push(Action::Send { request: id, node: at });
    }
}
