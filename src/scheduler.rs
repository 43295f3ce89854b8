//! Every decision of one initiator. The interface (settings, events, actions, ids) is in `src/api.rs`.
//!
//! Ordinary path: a new object is placed by a draw proportional to fitness, all else follows its fixed
//! node, and held requests leave earliest due first under a per-node bound. `docs/design.md` names each
//! exception and the condition under which it acts.

use crate::api::*;
use crate::list_freshness::ListFreshness;
use flaxstand_index::{FadingSum, Membership, Record, Table, lower_median, place_by_weight};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Requests out at one node, most (design page: q_ceil and the starting bound).
const DEPTH_MOST: f64 = 8.0;
/// Queue that a unit of the most worth may join, in tightest aims; what earns less joins shorter ones.
const QUEUE_JOINED: f64 = 2.5;
/// Aggression factor of the usage term (design page).
const AGGRESSION: f64 = 1.05;
/// Units sent lately that make a node one this host uses: a unit counts for about five seconds.
const USED: f64 = 0.1;
/// Least fitness of a node that may be drawn (design page).
const FITNESS_FLOOR: f64 = 0.01;
/// How far back "lately" reaches for the usage term, ms: many requests, yet shorter than a trouble.
const LATELY: Millis = 2000.0;
/// Wait in a node's queue that is let be, in tightest aims: waiting belongs here, where order is chosen.
const QUEUE_SHARE: f64 = 0.06;
/// Part of its own work by which an attempt may last longer unqueued: works differ by themselves.
const NOISE: f64 = 0.5;
/// What a node's bound keeps of itself when its queue was longer than that.
const CUT: f64 = 0.75;
/// Weight of the newest answer in running means.
const NEWEST: f64 = 0.2;
/// What was heard of a node's queue fades with this time constant, ms: one that nobody feeds is soon gone.
const REPORT_FADES: Millis = 1000.0;
/// An attempt out for so many usual lags, and the tightest aim, makes a node suspect; pauses stay below.
const SUSPECT_LAGS: f64 = 4.0;
/// Part of the expected lag within which a request may well be answered.
const HOPE: f64 = 0.7;
/// Most that one lag counts against what was expected of it.
const MOST_STRETCH: f64 = 10.0;
/// Lost answers seen lately from which a host looks for more: one is enough for about six seconds.
const LOSSES: f64 = 0.05;
/// Failures in a row after which a node gets single canaries only.
const TRIP: u32 = 2;
/// First and longest wait between canaries, ms; it doubles up to about the time in which a list notices.
const CANARY: (Millis, Millis) = (50.0, 400.0);
/// Share used of the cold rule's allowance; the rest is for handshakes and what a restarted host forgot.
const COLD_SHARE: f64 = 0.7;
/// Longest wait between two looks at what is held, ms.
const LOOK: Millis = 10.0;
/// A held request is ended this long before its client leaves, ms, beyond one look and one tick.
const END_MARGIN: Millis = 4.0;
/// Part of its client's time for which a request is held without an attempt.
const HOLD: f64 = 0.5;
/// How long a client that was given up is expected back, ms, and the part of its worth that a repeat has.
const PATIENCE: Millis = 2000.0;
const REPEAT: f64 = 0.3;
/// First and longest wait before a failed call of the list is made again, ms. A call that is turned away
/// costs the service too: calls of a whole fleet each second may keep it from answering.
const ASK_AGAIN: (Millis, Millis) = (200.0, 1300.0);

/// A sum of what happened lately.
type Lately = FadingSum<{ LATELY as u64 }>;

/// Mean work of a request, in units: what it counts is its size rounded up to whole units.
fn work(units: f64) -> f64 {
    (units - 0.5).max(0.5)
}

fn random(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// An attempt that is out.
struct Out {
    request: RequestId,
    attempt: AttemptNo,
    sent: Millis,
    units: f64,
    /// Lag that was expected, ms.
    expected: Millis,
    /// When an answer or a probe sent later came: nodes take work in turn, so it had begun by then.
    passed: Option<Millis>,
}

/// One storage node: readiness, warmth, health, requests out, pace.
#[derive(Default)]
struct Node {
    entry: NodeEntry,
    out: Vec<Out>,
    depth: f64,
    last_cut: Millis,
    last_sent: Millis,
    /// When the list first named the process that runs now, or it seemed to have started.
    told_at: Millis,
    /// When it seemed to have started, unheard by the list, and until when that is believed.
    seems: (Millis, Millis),
    /// Unloaded time of a unit, ms: falls fast, rises slowly.
    unit_time: Option<f64>,
    /// Part of the lag that was wait in the node's queue, ms, and when that was heard.
    queued: Millis,
    queued_at: Millis,
    fails: u32,
    next_canary: Millis,
    /// When the probe that is out was sent, and from when on another may be.
    probe: Option<Millis>,
    next_probe: Millis,
    /// Units sent lately, for the usage term.
    sent: Lately,
    /// Sends while cold: when, units.
    cold_sends: VecDeque<(Millis, f64)>,
}

impl Record for Node {
    type Group = ShardId;
    /// A shard is served by the ready node that holds it; of several by the one that started last.
    fn membership(&self) -> Option<Membership<ShardId>> {
        let NodeEntry { shard: group, started_at, size: weight, .. } = self.entry;
        self.serves().then_some(Membership { group, rank: started_at.unwrap_or(0.0), weight })
    }
    fn sample(&self) -> Option<Millis> {
        self.unit_time
    }
}

impl Node {
    fn new(entry: &NodeEntry, now: Millis) -> Self {
        let (depth, unit_time) = (DEPTH_MOST / 2.0, entry.service_time);
        Node { entry: entry.clone(), depth, told_at: now, unit_time, ..Node::default() }
    }

    /// The list speaks; a fresh start makes all that was learned of the old process void.
    fn told(&mut self, entry: &NodeEntry, now: Millis) {
        if entry.started_at.is_some() && entry.started_at != self.entry.started_at {
            let out = std::mem::take(&mut self.out);
            *self = Node { out, depth: 1.0, ..Node::new(entry, now) };
        }
        self.entry = entry.clone();
    }

    fn serves(&self) -> bool {
        self.entry.readiness == Readiness::Serving
    }

    /// Whether no look depends on it until it changes: nothing is out, nothing was sent lately, the host does
    /// not count it as used, and it need not be dropped.
    fn at_rest(&self, now: Millis) -> bool {
        let sent_lately = now - self.last_sent < 2.0 * LATELY || self.sent.get(now) > USED / 2.0;
        self.entry.readiness != Readiness::Removed && self.out.is_empty() && !sent_lately
    }

    /// Its nominal size against the mean of those listed.
    fn relative_size(&self, fleet: &Fleet) -> f64 {
        if self.entry.size > 0.0 && fleet.size > 0.0 { self.entry.size / fleet.size } else { 1.0 }
    }

    /// Share of its capacity that the node surely has; 1 once warm.
    fn warmth(&self, s: &Settings, now: Millis) -> f64 {
        match (now < self.seems.1).then_some(self.seems.0).or(self.entry.started_at) {
            Some(at) if now < at + s.warm_up_time => {
                s.initial_capacity + (1.0 - s.initial_capacity) * ((now - at).max(0.0) / s.warm_up_time)
            }
            _ => 1.0,
        }
    }

    /// Guards the rule on cold nodes: each window, this host's part, at one core's pace of a usual node. A
    /// larger request waits as many windows as it fills parts, the first time from a phase of the host's own.
    fn cold_allows(&self, units: f64, fleet: &Fleet, s: &Settings, now: Millis) -> bool {
        let warmth = self.warmth(s, now);
        if warmth >= 1.0 || s.slow_start_window <= 0.0 {
            return true;
        }
        let since = self.cold_sends.iter().filter(|(at, _)| now - at < s.slow_start_window);
        let recent: f64 = since.map(|(_, u)| work(*u)).sum();
        let units = work(units);
        let borne = (s.overload_multiple * warmth * s.slow_start_window / fleet.unit_time)
            .max(s.slow_start_min_units * work(1.0));
        // What a former life of this host sent here is not known: its part grows over the first window.
        let anew = self.entry.started_at.is_some_and(|at| at < fleet.started);
        let known = if anew { ((now - fleet.started) / s.slow_start_window).min(1.0) } else { 1.0 };
        let part = known * COLD_SHARE * borne * self.relative_size(fleet) / fleet.hosts;
        let wait = s.slow_start_window * units / part;
        recent + units <= part
            || now >= self.last_sent + wait && now >= self.told_at + fleet.phase * wait && recent == 0.0
    }

    /// Whether an attempt not overtaken is out far longer than usual: the node hangs or is gone unheard.
    fn silent(&self, fleet: &Fleet, now: Millis) -> bool {
        let queue = self.queued.max(fleet.queue);
        self.out.iter().any(|o| now - o.sent > self.patience(queue, o, fleet) && o.passed.is_none())
    }

    /// A silent node gets canaries, ever more rarely.
    fn canary_due(&self, now: Millis) -> bool {
        let oldest = self.out.iter().map(|o| o.sent).fold(now, Millis::min);
        now - self.last_sent >= (self.last_sent - oldest).max(CANARY.1)
    }

    /// How long an attempt may be out behind such a queue before more is wrong than the queue.
    fn patience(&self, queue: Millis, out: &Out, fleet: &Fleet) -> Millis {
        (SUSPECT_LAGS * (self.own(out, fleet) + queue)).max(fleet.latency_objective)
    }

    /// Something sent at `sent` was answered: what was sent before and is still out was overtaken.
    fn pass(&mut self, sent: Millis, now: Millis) {
        let older = self.out.iter_mut().filter(|o| o.sent < sent && o.passed.is_none());
        older.for_each(|o| o.passed = Some(now));
    }

    /// Whether an attempt was overtaken so long ago that its own work should be done: its answer is lost.
    fn lost(&self, out: &Out, fleet: &Fleet, now: Millis) -> bool {
        out.passed.is_some_and(|at| now - at > self.own(out, fleet))
    }

    /// Whether a probe would tell a lost answer from a queue: one attempt is out for longer than it should.
    fn probe_due(&self, fleet: &Fleet, now: Millis) -> bool {
        let heard = self.heard(fleet, now);
        let overdue = |o: &Out| o.passed.is_none() && now - o.sent > self.own(o, fleet) + heard;
        self.serves() && self.probe.is_none() && now >= self.next_probe && self.out.iter().any(overdue)
    }

    fn suspect(&self, fleet: &Fleet, now: Millis) -> bool {
        self.fails >= TRIP || self.silent(fleet, now)
    }

    /// Depth bound and health: room for one more attempt. What is lost keeps no place.
    fn room(&self, fleet: &Fleet, now: Millis) -> bool {
        if self.fails >= TRIP {
            return self.out.is_empty() && now >= self.next_canary;
        }
        let out = self.out.iter().filter(|o| !self.lost(o, fleet, now)).count();
        (out as f64) < self.depth.floor() && (!self.silent(fleet, now) || self.canary_due(now))
    }

    /// Wait in the node's queue, ms, as last heard: an old report fades to what all nodes report.
    fn heard(&self, fleet: &Fleet, now: Millis) -> Millis {
        fleet.queue + (self.queued - fleet.queue) * self.fresh(now)
    }

    /// Wait in the node's queue, ms, as last heard and as the attempts that are out show it. Guards against
    /// queues that others make. An attempt out far longer shows a sick node or a lost answer, no queue.
    fn queue(&self, fleet: &Fleet, now: Millis) -> Millis {
        let queued = |o: &&Out| now - o.sent < SUSPECT_LAGS * (self.own(o, fleet) + fleet.queue);
        let heard = self.heard(fleet, now);
        self.out.iter().filter(queued).map(|o| self.shown_by(o, fleet, now)).fold(heard, f64::max)
    }

    /// Wait that the last attempt sent tells of, ms, if it was sent lately and tells anything yet. One report
    /// a node, and none of an attempt that is out for far longer than the queue that was heard here.
    fn reported_wait(&self, fleet: &Fleet, now: Millis) -> Option<Millis> {
        let lately = now - self.last_sent < 2.0 * LATELY;
        let Some(last) = self.out.iter().find(|o| o.sent == self.last_sent) else {
            return lately.then_some(self.queued);
        };
        let wait = self.shown_by(last, fleet, now);
        let telling = now - last.sent < self.patience(self.queued, last, fleet);
        (lately && wait > 0.0 && telling).then_some(wait)
    }

    /// How much the last report of the queue still counts.
    fn fresh(&self, now: Millis) -> f64 {
        (-(now - self.queued_at) / REPORT_FADES).exp()
    }

    /// Unloaded time of a unit here, ms; a usual node's as long as none was served.
    fn service_time(&self, fleet: &Fleet) -> Millis {
        self.unit_time.map_or(fleet.unit_time, |t| t.max(fleet.unit_time))
    }

    /// Time that a request's own work takes here without a queue, ms.
    fn cost(&self, units: f64, fleet: &Fleet) -> Millis {
        work(units) * self.service_time(fleet)
    }

    /// The most of its own work that an attempt may take without a queue.
    fn own(&self, out: &Out, fleet: &Fleet) -> Millis {
        (1.0 + NOISE) * self.cost(out.units, fleet)
    }

    /// The wait that an attempt without an answer shows; none once overtaken: it is lost or long, not queued.
    fn shown_by(&self, out: &Out, fleet: &Fleet, now: Millis) -> Millis {
        if out.passed.is_some() { 0.0 } else { now - out.sent - self.own(out, fleet) }
    }

    /// A report of a wait in the node's queue; the older the last one, the more this one counts.
    fn heard_queue(&mut self, wait: Millis, now: Millis) {
        let weight = (1.0 - self.fresh(now)).max(NEWEST);
        self.queued += weight * (wait - self.queued);
        self.queued_at = now;
    }

    fn note_sent(
        &mut self,
        of: (RequestId, AttemptNo),
        units: f64,
        fleet: &Fleet,
        slow_start_window: Millis,
        now: Millis,
    ) {
        let (request, attempt) = of;
        let expected = self.queue(fleet, now) + self.cost(units, fleet);
        self.out.push(Out { request, attempt, sent: now, units, expected, passed: None });
        self.sent.add(units, now);
        self.last_sent = now;
        self.cold_sends.push_back((now, units));
        self.cold_sends.retain(|(at, _)| now - at < slow_start_window);
    }

    /// A probe's lag is the wait in the queue, and what was sent before it has begun by its end.
    fn note_probed(&mut self, outcome: Outcome, now: Millis) {
        let Some(sent) = self.probe.take() else { return };
        if outcome == Outcome::Served {
            self.pass(sent, now);
            self.heard_queue(now - sent, now);
        } else {
            self.next_probe = now + CANARY.1;
        }
    }

    /// Learns from an attempt's end: health from failures, pace and depth from the lag.
    fn note_ended(&mut self, index: usize, ended: &AttemptEnd, fleet: &Fleet, now: Millis) {
        let filled = self.out.len() as f64 + 1.0 > self.depth;
        let shown = self.queue(fleet, now);
        let patience = self.patience(self.queued.max(fleet.queue), &self.out[index], fleet);
        let out = self.out.swap_remove(index);
        // Guards against pushing over what went silent and comes back cold before the list tells: all hosts
        // hold requests for it, and their connections break at one moment.
        if ended.outcome == Outcome::Reset && ended.latency > patience && now >= self.seems.1 {
            (self.seems, self.told_at) = ((now, now + LATELY * (0.5 + fleet.phase)), now);
        }
        match ended.outcome {
            Outcome::Served => {
                self.fails = 0;
                self.pass(out.sent, now);
                let service_time = ended.latency / work(out.units);
                let weight =
                    if self.unit_time.is_none_or(|t| service_time < t) { NEWEST } else { NEWEST / 100.0 };
                self.unit_time =
                    Some(self.unit_time.map_or(service_time, |t| t + weight * (service_time - t)));
                let queued = ended.latency - self.cost(out.units, fleet);
                self.heard_queue((queued - NOISE * (ended.latency - queued)).max(0.0), now);
                if queued <= QUEUE_SHARE * fleet.latency_objective + NOISE * (ended.latency - queued) {
                    if filled {
                        self.depth = (self.depth + 1.0 / self.depth).min(DEPTH_MOST);
                    }
                } else if now - self.last_cut > ended.latency {
                    self.depth = (self.depth * CUT).max(1.0);
                    self.last_cut = now;
                }
            }
            // Its queue holds more than any aim allows.
            Outcome::Rejected => {
                self.depth = (self.depth * CUT).max(1.0);
                (self.queued, self.queued_at) = (shown.max(fleet.latency_objective), now);
            }
            Outcome::NotSent => {}
            // An impatient client says nothing about the node's health, nor does an answer lost.
            Outcome::TimedOut if ended.latency < patience => (self.queued, self.queued_at) = (shown, now),
            Outcome::TimedOut | Outcome::Cancelled if out.passed.is_some() => {}
            _ => {
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
    volume_initiators: f64,
    /// Reserve units that still earn full worth.
    reserve: f64,
    /// Limit units that may still be sent.
    limit: f64,
    filled_at: Millis,
    /// Units sent beyond the reserve lately.
    beyond: Lately,
}

impl Volume {
    /// An even part of the reserve and of the limit is this host's. The limit's is empty at its start, since
    /// what it sent before a restart is unknown.
    fn fill(&mut self, s: &Settings, now: Millis) {
        let rate = s.plans[self.plan.0].reserve_rate / self.volume_initiators;
        self.reserve = (self.reserve + rate * (now - self.filled_at) / 1000.0).min(rate + s.max_units);
        self.limit = self.limit_at(s, now);
        self.filled_at = now;
    }

    /// Guards the rule on limits: units that may be sent at a moment, if none is sent since the last filling.
    fn limit_at(&self, s: &Settings, at: Millis) -> f64 {
        let plan = &s.plans[self.plan.0];
        if plan.limit_rate <= 0.0 {
            return f64::INFINITY;
        }
        let filled =
            self.limit + plan.limit_rate / self.volume_initiators * (at - self.filled_at).max(0.0) / 1000.0;
        filled.min(plan.limit_burst / self.volume_initiators)
    }

    /// Worth of a unit that would be `ahead` units beyond the reserve: the share's as long as the volume
    /// takes no more than it is sized for, then falling to the least as it takes more.
    fn beyond_worth(&self, ahead: f64, s: &Settings, now: Millis) -> f64 {
        let sized = s.plans[self.plan.0].base_rate * LATELY / 1000.0;
        let part = (sized / (self.beyond.get(now) + ahead).max(sized)).min(1.0);
        s.spare_weight + (s.shared_weight - s.spare_weight) * part
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
    sent: Millis,
    ran: Ran,
}

/// One request: attempts, due time, what may have run.
struct Request {
    a: Arrival,
    due: Millis,
    /// Until when it may be held without an attempt.
    hold_until: Millis,
    attempts: Vec<Attempt>,
    /// Where it waits: its fixed node, or for a new object the one drawn.
    node: Option<NodeId>,
    over: bool,
    streaming: bool,
    /// It asks for an item that was given up here lately.
    repeats: bool,
}

impl Request {
    fn out(&self) -> impl Iterator<Item = AttemptNo> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, t)| t.ran == Ran::Out).map(|(no, _)| AttemptNo(no as u32))
    }
    fn held(&self) -> bool {
        !self.over && self.out().next().is_none()
    }
    fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|t| t.ran != Ran::Never)
    }
    /// Until when another attempt may leave: its client waits, and a group of nodes drops repeats.
    fn until(&self, effect: Effect, tick: Millis) -> Millis {
        let Effect::IdempotencyKey { window, .. } = effect else { return self.a.expires_at };
        let ends = self.may_have_run().map_or(Millis::INFINITY, |first| first.sent + window - tick);
        ends.min(self.a.expires_at)
    }
    /// Guards the rule on effects: whether another attempt at this node is harmless.
    fn effect_allows(&self, node: &Node, effect: Effect, tick: Millis, now: Millis) -> bool {
        let Some(first) = self.may_have_run() else { return true };
        match effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::IdempotencyKey { group, .. } => {
                let inside = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == node.entry.zone,
                    DeduplicationScope::Shard => first.shard == node.entry.shard,
                };
                inside && now < self.until(effect, tick)
            }
        }
    }
    /// Whether it may be told that trying again is harmless.
    fn may_refuse(&self, effect: Effect) -> bool {
        let all = matches!(
            effect,
            Effect::Idempotent | Effect::IdempotencyKey { group: DeduplicationScope::All, .. }
        );
        all || self.may_have_run().is_none()
    }
}

/// Requests of one key that take turns.
#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<RequestId>,
    rest_until: Millis,
}

/// A held request as the release sees it.
struct Waiting {
    id: RequestId,
    due: Millis,
    expires_at: Millis,
    /// Time that it takes the node, and time from its sending to its answer.
    cost: Millis,
    latency: Millis,
    /// Longest queue at the node that it may join, ms: by its part of full worth, in time or late.
    joins: Millis,
}

/// A ready node as the draw sees it.
struct Candidate {
    node: NodeId,
    suspect: bool,
    heard: bool,
    /// Requests of this host out there and held for it, and others' that its queue tells of.
    requests: f64,
    others: f64,
    /// Its percent share of the units sent lately, by its size.
    usage: f64,
    size: f64,
    warmth: f64,
}

impl Candidate {
    /// Queue term times usage term.
    fn fitness(&self) -> f64 {
        let queue = (self.requests + self.others) / self.size / DEPTH_MOST;
        let usage = if self.usage > 0.0 { AGGRESSION.powf(self.usage) } else { 1.0 };
        (self.size * (1.0 - queue).max(0.0) / usage).max(FITNESS_FLOOR)
    }
}

/// What the nodes heard from and the hosts show together: a host of many hears of each node seldom.
#[derive(Default)]
struct Fleet {
    /// The tightest aim, ms.
    latency_objective: Millis,
    /// Wait in a usual node's queue, ms.
    queue: Millis,
    /// Unloaded time of a unit at a usual node, ms.
    unit_time: Millis,
    /// Answers lost lately: of what was overtaken long ago none came, or a copy's came first.
    losses: Lately,
    /// Mean nominal size of the nodes that are ready.
    size: f64,
    /// By how much lags pass what was expected of them, as a part of it: a running mean that fades to none.
    excess: Lately,
    /// Hosts that send to a node, this host's place among them in time, 0 to 1, and when this host started.
    hosts: f64,
    phase: f64,
    started: Millis,
}

impl Fleet {
    /// What an attempt's end tells of all nodes: answers get lost, lags come out longer than expected.
    fn learn(&mut self, out: &Out, lost: bool, ended: &AttemptEnd, now: Millis) {
        let timed_out = ended.outcome == Outcome::TimedOut;
        if lost && ended.attempt.0 == 0 && (timed_out || ended.outcome == Outcome::Cancelled) {
            self.losses.add(1.0, now);
        }
        let late = timed_out && out.passed.is_none() && self.losses.get(now) < LOSSES;
        if late || ended.outcome == Outcome::Served {
            let ratio = (ended.latency / out.expected.max(1.0)).min(MOST_STRETCH);
            self.excess.add(NEWEST * (ratio - self.stretch(now)), now);
        }
    }
    /// Lags against what was expected of them.
    fn stretch(&self, now: Millis) -> f64 {
        1.0 + self.excess.get(now)
    }
}

/// The decisions of one initiator.
pub struct Scheduler {
    s: Settings,
    rng: Pcg64Mcg,
    fleet: Fleet,
    nodes: Table<NodeId, Node>,
    volumes: BTreeMap<VolumeId, Volume>,
    requests: BTreeMap<RequestId, Request>,
    key_queues: BTreeMap<Key, KeyQueue>,
    /// Items whose request was given up, by when its client left: whoever asks again repeats.
    given_up: BTreeMap<(VolumeId, Key), Millis>,
    /// For the budget: when requests were taken, and when attempts beyond a first were sent.
    taken: VecDeque<Millis>,
    further: VecDeque<(Millis, RequestId, AttemptNo)>,
    wake_at: Option<Millis>,
    ask_at: Option<Millis>,
    asks_failed: u32,
    list: ListFreshness,
}

impl Scheduler {
    /// A brain that has just started and knows nothing.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let latency_objective = settings.tightest_objective();
        let (nodes, volumes, requests, key_queues, given_up, taken, further) = Default::default();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let unit_time = latency_objective / settings.mean_units.max(1.0) / 4.0;
        let (hosts, phase) = (f64::from(settings.initiators), random(&mut rng));
        let fleet = Fleet { latency_objective, unit_time, hosts, phase, started: now, ..Fleet::default() };
        Scheduler {
            rng,
            fleet,
            nodes,
            volumes,
            requests,
            key_queues,
            given_up,
            taken,
            further,
            wake_at: None,
            ask_at: settings.polls_list.then_some(now),
            asks_failed: 0,
            list: ListFreshness::new(settings.notification_terms, now),
            s: settings,
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(scope, entries) => self.listed(scope, &entries, now),
            Event::DiscoveryCall(call) => self.list.call_changed(call, now),
            Event::RequestArrived(arrival) => self.arrived(arrival, now),
            Event::ResponseStarted(id) => {
                self.requests.entry(id).and_modify(|r| r.streaming = true);
            }
            Event::AttemptEnded(ended) => self.ended(&ended, now, actions),
            Event::ProbeEnded(id, outcome) => {
                self.nodes.update(id, |n| n.note_probed(outcome, now));
            }
            Event::ClientGone(id) => self.over(id),
            Event::SettingsChanged(s) => {
                (self.fleet.latency_objective, self.s) = (s.tightest_objective(), *s)
            }
            Event::Evaluate => self.decide(now, actions),
        }
    }

    /// What was learnt of a node's pace, for a later life: unloaded time of a unit, ms.
    pub fn service_time_of(&self, node: NodeId) -> Option<Millis> {
        self.nodes.get(node)?.unit_time
    }

    /// Until when requests may be sent on the node list held. Asked again before a first byte leaves.
    pub fn endpoints_trusted_until(&self) -> Millis {
        self.list.trusted_until()
    }

    /// How often a node was looked at since the start, by its id or in a walk: a measure of work.
    pub fn nodes_visited(&self) -> u64 {
        self.nodes.visited()
    }

    fn listed(&mut self, scope: ListScope, entries: &[NodeEntry], now: Millis) {
        if scope == ListScope::Failed {
            let wait = (ASK_AGAIN.0 * f64::from(1 << self.asks_failed.min(5))).min(ASK_AGAIN.1);
            self.asks_failed += 1;
            self.ask_at = Some(now + wait * (0.5 + 0.5 * random(&mut self.rng)));
            return;
        }
        self.asks_failed = 0;
        if scope != ListScope::Cached {
            let changed = scope == ListScope::Full || !entries.is_empty();
            self.list.list_heard(changed, now);
        }
        if scope != ListScope::Changes {
            self.nodes
                .update_others(entries.iter().map(|e| e.node), |n| n.entry.readiness = Readiness::Removed);
        }
        for entry in entries {
            self.nodes.update_or_insert_with(entry.node, || Node::new(entry, now), |n| n.told(entry, now));
        }
        self.nodes.remove_active(|n| n.entry.readiness == Readiness::Removed && n.out.is_empty());
    }

    fn arrived(&mut self, a: Arrival, now: Millis) {
        self.taken.push_back(now);
        let class = &self.s.classes[a.class.0];
        let stretch = class.objective_stretch * a.units * self.fleet.unit_time;
        // A client that leaves before the aim has passed must be answered before it leaves.
        let due = (now + (class.latency_objective + stretch).min(class.deadline)).min(a.expires_at);
        if let (true, Some(key)) = (class.in_order, a.key) {
            self.key_queues.entry(key).or_default().waiting.push_back(a.id);
        }
        let (plan, reserve, filled_at) = (a.plan, self.s.max_units, self.fleet.started);
        let new = || Volume {
            plan,
            volume_initiators: 1.0,
            reserve,
            limit: 0.0,
            filled_at,
            beyond: Lately::default(),
        };
        let volume = self.volumes.entry(a.volume).or_insert_with(new);
        volume.volume_initiators = volume.volume_initiators.max(f64::from(a.volume_initiators));
        let hold_until = now + HOLD * (a.expires_at - now);
        let given_up = a.key.and_then(|key| self.given_up.remove(&(a.volume, key)));
        let repeats = given_up.is_some_and(|at| now < at + PATIENCE);
        let (attempts, node, over, streaming) = (Vec::new(), None, false, false);
        let r = Request { a, due, hold_until, attempts, node, over, streaming, repeats };
        self.requests.insert(r.a.id, r);
    }

    fn ended(&mut self, ended: &AttemptEnd, now: Millis, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&ended.request) else { return };
        let Some(attempt) = r.attempts.get_mut(ended.attempt.0 as usize) else { return };
        attempt.ran = match ended.outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => Ran::Never,
            _ => Ran::Maybe,
        };
        let (class, id) = (&self.s.classes[r.a.class.0], ended.request);
        let this = |o: &Out| o.request == id && o.attempt == ended.attempt;
        self.nodes.update(attempt.node, |node| {
            let Some(index) = node.out.iter().position(this) else { return };
            let lost = node.lost(&node.out[index], &self.fleet, now);
            self.fleet.learn(&node.out[index], lost, ended, now);
            node.note_ended(index, ended, &self.fleet, now);
        });
        if ended.outcome == Outcome::NotSent {
            self.further.retain(|(_, request, no)| (*request, *no) != (id, ended.attempt));
        }
        let unsure = matches!(ended.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let (true, Some(key)) = (class.in_order && unsure, r.a.key) {
            self.key_queues.entry(key).or_default().rest_until = now + self.s.key_cooldown;
        }
        let spent = r.attempts.len() >= self.s.max_attempts as usize;
        let (over, streaming, expired) = (r.over, r.streaming, now >= r.a.expires_at);
        let repeat = class.effect != Effect::AtMostOnce || r.may_have_run().is_none();
        // A new object that failed is drawn again.
        r.node = None;
        if ended.is_final || over {
            // What is still out of it would keep its key's turn, and a place under the bound.
            if self.s.may_cancel && !over {
                actions.extend(r.out().map(|attempt| Action::Cancel { request: id, attempt }));
            }
            self.over(id);
        } else if !streaming && (expired || r.held() && (spent || !repeat)) {
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
        if !r.over || r.out().next().is_some() {
            return;
        }
        if let (true, Some(key)) = (self.s.classes[r.a.class.0].in_order, r.a.key)
            && let Some(queue) = self.key_queues.get_mut(&key)
        {
            queue.waiting.retain(|w| *w != id);
        }
        self.requests.remove(&id);
    }

    /// The one place that gives final answers: refused where that promise holds, else failed.
    fn finish(&mut self, id: RequestId, expired: bool, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.over || r.streaming {
            return;
        }
        if let Some(key) = r.a.key {
            self.given_up.insert((r.a.volume, key), r.a.expires_at);
        }
        if !expired && r.may_refuse(self.s.classes[r.a.class.0].effect) {
            actions.push(Action::Reject { request: id, retry_after: self.s.max_retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.over(id);
    }

    fn decide(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.ask_at.take_if(|at| now >= *at).is_some() {
            actions.push(Action::PollList);
        }
        self.look_at_all(now);
        self.volumes.values_mut().for_each(|v| v.fill(&self.s, now));
        self.key_queues.retain(|_, queue| !queue.waiting.is_empty() || now < queue.rest_until);
        self.given_up.retain(|_, at| now < *at + PATIENCE);
        self.expire(now, actions);
        self.place(now);
        self.release(now, actions);
        if !self.requests.is_empty() || self.ask_at.is_some() {
            let copies = self.s.max_concurrent_attempts > 1 && self.seeks_lost(now);
            let waits = copies || self.requests.values().any(Request::held);
            let look = now + if waits { LOOK } else { self.fleet.latency_objective / 4.0 };
            let at = look.min(self.ask_at.unwrap_or(look));
            if self.wake_at.is_none_or(|w| w <= now || w > at) {
                self.wake_at = Some(at);
                actions.push(Action::SetTimer { after: at - now });
            }
        }
    }

    /// Held requests get their final answer before the client leaves, one never sent while it can still ask
    /// again; at once where by then a cold node's part or the volume's limit would still not let them go, and
    /// where the list is too old to send anything on.
    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let margin = LOOK + self.s.tick + END_MARGIN;
        let stale = !self.list.is_trusted(now);
        let ending = |r: &Request| {
            let first = r.attempts.is_empty();
            let last = if first { r.hold_until } else { r.a.expires_at } - margin;
            let cold = |n: &Node| !n.cold_allows(r.a.units, &self.fleet, &self.s, last);
            let full = || self.volumes[&r.a.volume].limit_at(&self.s, last) < r.a.units;
            let never = || first && (full() || r.node.and_then(|id| self.nodes.get(id)).is_some_and(cold));
            r.held() && (stale || now >= last || never())
        };
        let ids: Vec<_> = self.requests.values().filter(|r| ending(r)).map(|r| r.a.id).collect();
        ids.into_iter().for_each(|id| self.finish(id, false, actions));
    }

    /// What the nodes show together. A host that sends to a part of the nodes takes it that so large a
    /// part of the others sends to each too: over all hosts these guesses add up. At its start it counts all.
    fn look_at_all(&mut self, now: Millis) {
        self.nodes.retain_active(|n| !n.at_rest(now));
        let reported = self.nodes.active().filter_map(|(_, n)| n.reported_wait(&self.fleet, now));
        self.fleet.queue = lower_median(reported).unwrap_or(0.0);
        let paces = self.nodes.samples();
        if let Some(middle) = paces.nth(paces.len() / 2) {
            // A first answer that came late says little of the pace.
            self.fleet.unit_time = paces.capped_mean(2.0 * middle).unwrap_or(middle);
        }
        let ready = self.nodes.members().max(1) as f64;
        self.fleet.size = self.nodes.weight() / ready;
        let used = self.nodes.active().filter(|(_, n)| n.serves() && n.sent.get(now) > USED).count().max(1);
        let share = if now < self.fleet.started + 2.0 * LATELY { 1.0 } else { used as f64 / ready };
        self.fleet.hosts = 1.0 + share * f64::from(self.s.initiators.saturating_sub(1));
    }

    /// Gives every held request the node it waits for: its shard's, or one drawn by fitness.
    fn place(&mut self, now: Millis) {
        let mut waiting: BTreeMap<NodeId, f64> = BTreeMap::new();
        let mut fresh = Vec::new();
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| r.held()) {
            let kept = r.may_have_run().filter(|_| self.s.classes[r.a.class.0].effect != Effect::Idempotent);
            match r.a.shard.or(kept.map(|t| t.shard)) {
                Some(shard) => {
                    r.node = self.nodes.leader(shard);
                    r.node.into_iter().for_each(|node| *waiting.entry(node).or_default() += 1.0);
                }
                None => fresh.push((r.due, *id)),
            }
        }
        fresh.sort_by(|x, y| x.0.total_cmp(&y.0).then(x.1.cmp(&y.1)));
        let mut candidates = if fresh.is_empty() { Vec::new() } else { self.candidates(&waiting, now) };
        for (_, id) in fresh {
            let Some(drawn) = self.draw(&candidates).map(|index| &mut candidates[index]) else { break };
            drawn.requests += 1.0;
            self.requests.entry(id).and_modify(|r| r.node = Some(drawn.node));
        }
    }

    /// Ready nodes for the draw; suspects only if all are. The one walk over all listed nodes.
    fn candidates(&self, waiting: &BTreeMap<NodeId, f64>, now: Millis) -> Vec<Candidate> {
        let mut total = 0.0;
        let mut candidates = Vec::with_capacity(self.nodes.members());
        for (node, n) in self.nodes.iter() {
            let sent = n.sent.get(now);
            total += sent;
            if n.serves() {
                let requests = n.out.len() as f64 + waiting.get(&node).copied().unwrap_or(0.0);
                let others =
                    n.queue(&self.fleet, now) / n.service_time(&self.fleet) / self.s.mean_units.max(1.0);
                let (size, usage, warmth) =
                    (n.relative_size(&self.fleet), 100.0 * sent, n.warmth(&self.s, now));
                let (suspect, heard) = (n.suspect(&self.fleet, now), n.unit_time.is_some());
                candidates.push(Candidate { node, suspect, heard, requests, others, usage, size, warmth });
            }
        }
        if candidates.iter().any(|c| !c.suspect) {
            candidates.retain(|c| !c.suspect);
        }
        candidates.iter_mut().filter(|c| c.usage > 0.0).for_each(|c| c.usage = c.usage / total / c.size);
        candidates
    }

    /// The design's draw, a cold node by what it surely can do; gives the candidate's index.
    fn draw(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let fitness: Vec<f64> = candidates.iter().map(Candidate::fitness).collect();
        let with_fitness = || candidates.iter().zip(&fitness);
        let heard: Vec<f64> = with_fitness().filter(|(c, _)| c.heard).map(|(_, f)| *f).collect();
        let average = heard.iter().sum::<f64>() / heard.len().max(1) as f64;
        let most = |c: &Candidate| if c.heard || heard.is_empty() { f64::INFINITY } else { average };
        let weigh = |(c, f): (&Candidate, &f64)| c.warmth * f.min(most(c));
        let weights: Vec<f64> = with_fitness().map(weigh).collect();
        place_by_weight(&weights, random(&mut self.rng) * weights.iter().sum::<f64>())
    }

    fn release(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut held: BTreeMap<NodeId, Vec<RequestId>> = BTreeMap::new();
        for (id, r) in self.requests.iter().filter(|(_, r)| r.held()) {
            if let Some(node) = r.node.filter(|id| self.nodes.contains(*id)) {
                held.entry(node).or_default().push(*id);
            }
        }
        for (node, mut ids) in held {
            // Nothing passes the gate without room: asked first, so that a full node costs no walk.
            while self.nodes[node].room(&self.fleet, now) {
                ids.retain(|id| {
                    self.requests.get(id).is_some_and(Request::held) && self.may_send(*id, node, now)
                });
                let Some(next) = self.choose(&ids, node, now, actions) else { break };
                self.send(next, node, now, actions);
            }
        }
        self.copy(now, actions);
    }

    /// Whether an answer was lost lately, and what is lost may be asked for again while it is out.
    fn seeks_lost(&self, now: Millis) -> bool {
        (self.s.max_concurrent_attempts > 1 || self.s.may_cancel) && self.fleet.losses.get(now) >= LOSSES
    }

    /// Guards against lost answers: what is out for longer than it should be is probed for, and what the
    /// probe or a later answer overtook is sent again, where it can still make its aim.
    fn copy(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.seeks_lost(now) {
            return;
        }
        let (mut probed, mut lost) = (Vec::new(), Vec::new());
        for (id, node) in self.nodes.active() {
            if self.s.may_probe && self.s.max_concurrent_attempts > 1 && node.probe_due(&self.fleet, now) {
                probed.push(id);
            }
            lost.extend(node.out.iter().filter(|o| node.lost(o, &self.fleet, now)).map(|o| (o.request, id)));
        }
        for node in probed {
            self.nodes.update(node, |n| n.probe = Some(now));
            actions.push(Action::Probe { node });
        }
        for (id, node) in lost {
            let makes = |r: &&Request| {
                let cost = self.nodes[node].cost(r.a.units, &self.fleet);
                r.out().count() == 1 && !r.over && !r.streaming && now + cost <= r.due
            };
            let Some(r) = self.requests.get(&id).filter(makes) else { continue };
            let class = &self.s.classes[r.a.class.0];
            let again = class.effect == Effect::Idempotent && r.attempts.len() < self.s.max_attempts as usize;
            if self.s.max_concurrent_attempts > 1 && self.may_send(id, node, now) {
                self.send(id, node, now, actions);
            } else if self.s.max_concurrent_attempts < 2 && again {
                actions.extend(r.out().map(|attempt| Action::Cancel { request: id, attempt }));
            }
        }
    }

    /// The gate that every send passes: drain, age of the list, depth, health, cold, attempts, order, limit,
    /// effect, budget.
    fn may_send(&self, id: RequestId, at: NodeId, now: Millis) -> bool {
        let (Some(r), Some(node)) = (self.requests.get(&id), self.nodes.get(at)) else { return false };
        let class = &self.s.classes[r.a.class.0];
        let first = r.attempts.is_empty();
        let turn = match r.a.key.filter(|_| class.in_order).and_then(|k| self.key_queues.get(&k)) {
            Some(queue) => queue.waiting.front() == Some(&id) && (!first || now >= queue.rest_until),
            None => true,
        };
        let volume = &self.volumes[&r.a.volume];
        node.serves()
            && self.list.is_trusted(now)
            && !r.over
            && r.out().count() < self.s.max_concurrent_attempts as usize
            && now < r.a.expires_at
            && node.room(&self.fleet, now)
            && node.cold_allows(r.a.units, &self.fleet, &self.s, now)
            && r.attempts.len() < self.s.max_attempts as usize
            && turn
            && (!first || volume.limit_at(&self.s, now) >= r.a.units)
            && r.effect_allows(node, class.effect, self.s.tick, now)
            && (first || self.budget_allows(now))
    }

    fn budget_allows(&self, now: Millis) -> bool {
        let Some(b) = self.s.retry_budget else { return true };
        // Counted to the safe side of the window's edge by one tick.
        let taken = self.taken.iter().filter(|at| now - **at < b.span - self.s.tick).count() as f64;
        let further = self.further.iter().filter(|(at, ..)| now - at <= b.span + self.s.tick).count() as f64;
        further + 1.0 <= b.floor + b.ratio * taken
    }

    /// Earliest due first, of what can make its aim. The exception: a request that earns less joins only
    /// shorter queues at the node, and a late one only if nothing of this host is out there. What can no
    /// more be answered in its client's time is refused at once.
    fn choose(
        &mut self,
        of: &[RequestId],
        at: NodeId,
        now: Millis,
        acts: &mut Vec<Action>,
    ) -> Option<RequestId> {
        let (timely, mut late): (Vec<_>, Vec<_>) =
            self.rank(of, at, now).into_iter().partition(|w| now + w.latency <= w.due);
        late.sort_by(|x, y| y.joins.total_cmp(&x.joins));
        let node = &self.nodes[at];
        let queue = node.queue(&self.fleet, now);
        let fills = |w: &&Waiting| now + w.latency <= w.expires_at && node.out.is_empty() && queue <= w.joins;
        let next = timely.iter().find(|w| queue <= w.joins).or(late.iter().find(fills)).map(|w| w.id);
        let mut wait = 0.0;
        for w in timely.iter().chain(&late) {
            if now + wait + w.latency > w.expires_at {
                self.finish(w.id, false, acts);
            } else {
                wait += w.cost;
            }
        }
        next
    }

    /// Earliest due first, with the queue that each may join by its volume's tier.
    fn rank(&self, ids: &[RequestId], at: NodeId, now: Millis) -> Vec<Waiting> {
        let node = &self.nodes[at];
        let queue = node.queue(&self.fleet, now);
        let (mut left, max_priority_weight) = (BTreeMap::new(), self.s.max_priority_weight());
        let mut order: Vec<&Request> = ids.iter().filter_map(|id| self.requests.get(id)).collect();
        order.sort_by(|x, y| x.due.total_cmp(&y.due).then(x.a.id.cmp(&y.a.id)));
        let waiting = |r: &Request| {
            let volume = &self.volumes[&r.a.volume];
            let reserve = left.entry(r.a.volume).or_insert(volume.reserve);
            *reserve -= r.a.units;
            let tier = if *reserve >= 0.0 { 1.0 } else { volume.beyond_worth(-*reserve, &self.s, now) };
            let cost = node.cost(r.a.units, &self.fleet);
            // One that came with less time than its aim has only this chance.
            let hope = if r.due >= r.a.expires_at { HOPE } else { 1.0 };
            let latency = hope * self.fleet.stretch(now).max(HOPE) * (queue + cost);
            let class = &self.s.classes[r.a.class.0];
            let late = if now + latency > r.due { class.late_value } else { 1.0 };
            let repeat = if r.repeats { REPEAT } else { 1.0 };
            let priority_weight =
                repeat * class.priority_weight * self.s.plans[volume.plan.0].priority_factor
                    / max_priority_weight;
            let joins =
                (QUEUE_SHARE + QUEUE_JOINED * tier * priority_weight) * late * self.fleet.latency_objective;
            Waiting { id: r.a.id, due: r.due, expires_at: r.a.expires_at, cost, latency, joins }
        };
        order.into_iter().map(waiting).collect()
    }

    fn send(&mut self, id: RequestId, at: NodeId, now: Millis, actions: &mut Vec<Action>) {
        let (Some(r), Some(node)) = (self.requests.get_mut(&id), self.nodes.get(at)) else { return };
        let attempt = AttemptNo(r.attempts.len() as u32);
        if attempt.0 > 0 {
            self.further.push_back((now, id, attempt));
        } else if let Some(volume) = self.volumes.get_mut(&r.a.volume) {
            volume.limit -= r.a.units;
            if volume.reserve >= r.a.units {
                volume.reserve -= r.a.units;
            } else {
                volume.beyond.add(r.a.units, now);
            }
        }
        let span = self.s.retry_budget.map_or(0.0, |b| b.span) + self.s.tick;
        while self.taken.pop_front_if(|at| now - *at > span).is_some() {}
        while self.further.pop_front_if(|(at, ..)| now - *at > span).is_some() {}
        let (shard, zone) = (node.entry.shard, node.entry.zone);
        let until = r.until(self.s.classes[r.a.class.0].effect, self.s.tick);
        r.attempts.push(Attempt { node: at, shard, zone, sent: now, ran: Ran::Out });
        self.nodes.update(at, |n| {
            n.note_sent((id, attempt), r.a.units, &self.fleet, self.s.slow_start_window, now)
        });
        actions.push(Action::Send { request: id, node: at, until });
    }
}
