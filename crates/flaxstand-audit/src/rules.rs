//! One check for each rule, and one for the data. Each counts what it looked at, so that a verdict over
//! nothing can be told from a verdict.

use crate::book::{Attempt, Book, Life, Request, Try};
use crate::record::{Answer, ListState, Record};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Within which nodes repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a shard.
    Shard,
}

/// Whether a class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless.
    Idempotent,
    /// A group of nodes drops repeats for so many microseconds.
    IdempotencyKey(Group, u64),
    /// Never.
    AtMostOnce,
}

/// What the rules ask at a site. Durations are microseconds.
#[derive(Clone, Debug)]
pub struct Terms {
    /// By class: may it run twice; do requests of one key take turns.
    pub classes: Vec<(Effect, bool)>,
    /// By class: its writes may be acknowledged before they are on their nodes.
    pub buffered: Vec<bool>,
    /// By plan: rate, most at once and slack of the limit, units; rate 0: none.
    pub limits: Vec<(f64, f64, f64)>,
    /// Attempts that a request may have out at once.
    pub max_concurrent_attempts: usize,
    /// Rule 3.
    pub drain_grace: u64,
    /// Rule 4: multiple, time, units always borne.
    pub fall: (f64, u64, f64),
    /// Rule 5: rest of a key.
    pub key_cooldown: u64,
    /// Rule 6: floor, ratio, span.
    pub budget: Option<(f64, f64, u64)>,
    /// How long a frame may be under way, and a process wait for its turn: what was written so long before
    /// a moment may arrive after it.
    pub transit: u64,
}

/// What is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// 1: no request is lost.
    Answers,
    /// 2: no effect happens twice.
    Effects,
    /// 3: drains are kept.
    Drains,
    /// 4: a cold target is not pushed over.
    Cold,
    /// 5: order is kept.
    Order,
    /// 6: further attempts stay within a budget.
    Budget,
    /// 7: limits are kept.
    Limits,
    /// Reads return what was written. No rule of its own, and no less binding.
    Data,
    /// What was acknowledged as buffered reaches its node, in order about each barrier.
    Promises,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Answers => "1 no request lost",
            Rule::Effects => "2 no effect twice",
            Rule::Drains => "3 drains kept",
            Rule::Cold => "4 cold nodes spared",
            Rule::Order => "5 order kept",
            Rule::Budget => "6 budget of attempts",
            Rule::Limits => "7 limits kept",
            Rule::Data => "  data as written",
            Rule::Promises => "  promises of the buffer",
        })
    }
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: u64,
    /// What the client wanted done, where one request is concerned.
    pub op: Option<u64>,
    /// Which node, where one is concerned.
    pub node: Option<u64>,
    /// How.
    pub how: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {}: at {:.3} s", self.rule, self.at as f64 / 1e6)?;
        if let Some(op) = self.op {
            write!(f, ", operation {op}")?;
        }
        if let Some(node) = self.node {
            write!(f, ", node {node}")?;
        }
        write!(f, ": {}", self.how)
    }
}

/// What an audit found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// How many things each rule was asked of.
    pub checked: BTreeMap<String, u64>,
    /// Every breach.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// No rule was broken.
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// Checks every rule.
pub fn audit(book: &Book, terms: &Terms) -> Verdict {
    let mut v = Verdict::default();
    answers(book, terms, &mut v);
    effects(book, terms, &mut v);
    drains(book, terms, &mut v);
    cold(book, terms, &mut v);
    order(book, terms, &mut v);
    budget(book, terms, &mut v);
    limits(book, terms, &mut v);
    data(book, &mut v);
    crate::promises::promises(book, terms, &mut v);
    v.breaches.sort_by_key(|b| (b.at, b.rule));
    v
}

impl Verdict {
    pub(crate) fn checked(&mut self, rule: Rule, count: usize) {
        *self.checked.entry(rule.to_string()).or_default() += count as u64;
    }
    pub(crate) fn breach(
        &mut self,
        rule: Rule,
        at: u64,
        op: Option<u64>,
        node: Option<u64>,
        how: impl Into<String>,
    ) {
        self.breaches.push(Breach { rule, at, op, node, how: how.into() });
    }
}

fn ms(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1000.0)
}

fn answers(book: &Book, terms: &Terms, v: &mut Verdict) {
    v.checked(Rule::Answers, book.tries.len());
    for t in &book.tries {
        let breach = |v: &mut Verdict, at, how: String| v.breach(Rule::Answers, at, Some(t.op), None, how);
        if let [_, (at, again), ..] = t.answers[..] {
            breach(v, at, format!("answered twice, now {again:?}"));
        }
        match t.answers.first() {
            Some((at, answer)) if *at > t.until => {
                breach(v, *at, format!("{answer:?} came {} after its client gave up", ms(at - t.until)));
            }
            Some(_) => {}
            None => match book.lost.get(&t.key.0) {
                Some((at, by_client)) if *at <= t.until => {
                    // A killed initiator owes nothing; a running one does not hang up on what it took.
                    let killed = |(k, i): &(u64, u32)| *i == t.initiator && k.abs_diff(*at) < 1_000_000;
                    // What was under way when the connection ended was never taken.
                    let taken = t.at + terms.transit < *at;
                    if taken && !by_client && !book.kills.iter().any(killed) {
                        breach(v, *at, "its initiator hung up on it".into());
                    }
                }
                _ => breach(v, t.until, "never answered".into()),
            },
        }
    }
    for request in book.requests.values() {
        let Some((answered, answer)) = request.of.and_then(|t| book.tries[t].answers.first()) else {
            continue;
        };
        if terms.buffered[usize::from(request.class)] && matches!(answer, Answer::Buffered | Answer::Failed) {
            // A write-out, which the client's answer says nothing of.
            continue;
        }
        for a in request.attempts.iter().filter(|a| a.at > answered + terms.transit) {
            let how = format!("sent {} after its final answer", ms(a.at - answered));
            v.breach(Rule::Answers, a.at, Some(request.op), Some(a.node), how);
        }
    }
}

fn place(book: &Book, a: &Attempt, group: Group) -> u64 {
    let life = book.lives.get(&(a.node, a.incarnation));
    match group {
        Group::All => 0,
        Group::Zone => life.map_or(u64::MAX, |l| l.zone.into()),
        Group::Shard => life.map_or(u64::MAX, |l| l.shard.into()),
    }
}

fn effects(book: &Book, terms: &Terms, v: &mut Verdict) {
    v.checked(Rule::Effects, book.requests.len());
    let mut by_op: BTreeMap<u64, Vec<&Request>> = BTreeMap::new();
    for request in book.requests.values() {
        by_op.entry(request.op).or_default().push(request);
        two_out(request, terms, v);
        refused_after_running(book, request, terms, v);
    }
    for (op, requests) in by_op {
        let (effect, _) = terms.classes[usize::from(requests[0].class)];
        let mut attempts: Vec<&Attempt> =
            requests.iter().flat_map(|r| &r.attempts).filter(|a| a.may_have_run()).collect();
        attempts.sort_by_key(|a| a.at);
        let Some((first, further)) = attempts.split_first() else { continue };
        for a in further {
            let how = match effect {
                Effect::Idempotent => continue,
                Effect::AtMostOnce => "sent again though it may have run".to_owned(),
                Effect::IdempotencyKey(group, _) if place(book, a, group) != place(book, first, group) => {
                    format!("sent again outside the {group:?} that drops its repeats")
                }
                Effect::IdempotencyKey(_, window) if a.at > first.at + window + terms.transit => {
                    format!(
                        "sent again {} after the first, remembered for {}",
                        ms(a.at - first.at),
                        ms(window)
                    )
                }
                Effect::IdempotencyKey(..) => continue,
            };
            v.breach(Rule::Effects, a.at, Some(op), Some(a.node), how);
        }
    }
}

fn two_out(request: &Request, terms: &Terms, v: &mut Verdict) {
    for (i, later) in request.attempts.iter().enumerate() {
        let out = |a: &&Attempt| a.over.is_none_or(|over| over > later.at + terms.transit);
        let earlier: Vec<String> =
            request.attempts[..i].iter().filter(out).map(|a| a.no.to_string()).collect();
        if earlier.len() >= terms.max_concurrent_attempts {
            let how = format!("attempt {} sent while attempt {} was out", later.no, earlier.join(" and "));
            v.breach(Rule::Effects, later.at, Some(request.op), Some(later.node), how);
        }
    }
}

fn refused_after_running(book: &Book, request: &Request, terms: &Terms, v: &mut Verdict) {
    let (effect, _) = terms.classes[usize::from(request.class)];
    if matches!(effect, Effect::Idempotent | Effect::IdempotencyKey(Group::All, _)) {
        return;
    }
    let Some(t) = request.of.map(|t| &book.tries[t]) else { return };
    if let Some((at, Answer::Refused { .. })) = t.answers.first()
        && let Some(a) = request.attempts.iter().find(|a| a.may_have_run())
    {
        v.breach(Rule::Effects, *at, Some(t.op), Some(a.node), "refused though it may have run");
    }
}

fn drains(book: &Book, terms: &Terms, v: &mut Verdict) {
    // By initiator, life and node: when it was first told that nothing new may go there.
    let mut closed: BTreeMap<(u32, u64, u64), u64> = BTreeMap::new();
    for record in &book.records {
        match *record {
            Record::Told { at, initiator, epoch, node, state, .. } => match state {
                ListState::Serving => {
                    closed.remove(&(initiator, epoch, node));
                }
                ListState::Draining | ListState::Gone => {
                    if closed.insert((initiator, epoch, node), at).is_none() {
                        v.checked(Rule::Drains, 1);
                    }
                }
            },
            Record::Arrived { at, node, initiator, epoch, op, .. } => {
                if let Some(told) = closed.get(&(initiator, epoch, node))
                    && at > told + terms.drain_grace + terms.transit
                {
                    let how = format!("sent {} after word that the node drains or is gone", ms(at - told));
                    v.breach(Rule::Drains, at, Some(op), Some(node), how);
                }
            }
            _ => {}
        }
    }
}

impl Life {
    /// Work a microsecond at a moment, in microseconds of a core.
    fn power_at(&self, at: u64) -> f64 {
        let part = (at.saturating_sub(self.at)) as f64 / self.warm_after.max(1) as f64;
        self.power * (self.initial_capacity + (1.0 - self.initial_capacity) * part.min(1.0))
    }
}

fn cold(book: &Book, terms: &Terms, v: &mut Verdict) {
    let (multiple, window, bears) = terms.fall;
    for (&(node, incarnation), life) in book.lives.iter().filter(|(_, l)| l.warm_after > 0) {
        v.checked(Rule::Cold, 1);
        let here = |r: &&Record| {
            matches!(r, Record::Arrived { at, node: n, incarnation: i, .. }
                if (*n, *i) == (node, incarnation) && *at < life.at + life.warm_after)
        };
        let sends: Vec<(u64, u64, u32, bool)> =
            book.records.iter().filter(here).map(|r| sent(book, r)).collect();
        let mut from = 0;
        for (i, (at, ..)) in sends.iter().enumerate() {
            while sends[from].0 + window <= *at {
                from += 1;
            }
            let recent = &sends[from..=i];
            let work: u64 = recent.iter().map(|(_, work, ..)| work).sum();
            let units: u32 = recent.iter().map(|(_, _, units, _)| units).sum();
            let told: u64 = recent.iter().filter(|(.., told)| *told).map(|(_, work, ..)| work).sum();
            let allowed = multiple * life.power_at(*at) * window as f64;
            if work as f64 > allowed && f64::from(units) > bears && told * 3 >= work * 2 {
                let how =
                    format!("{} of work within {}, it bears {}", ms(work), ms(window), ms(allowed as u64));
                v.breach(Rule::Cold, *at, None, Some(node), how);
                break;
            }
        }
    }
    for record in &book.records {
        if let Record::Fell { at, node } = *record {
            v.breach(Rule::Cold, at, None, Some(node), "it fell over");
        }
    }
}

/// Of an arrival: when, its work and units, and whether its sender had been told of this start.
fn sent(book: &Book, record: &Record) -> (u64, u64, u32, bool) {
    let Record::Arrived { at, work, units, node, incarnation, initiator, epoch, .. } = *record else {
        unreachable!("called with an arrival")
    };
    let told = book.told.get(&(initiator, epoch, node, incarnation)).is_some_and(|t| *t <= at);
    (at, work, units, told)
}

fn order(book: &Book, terms: &Terms, v: &mut Verdict) {
    let mut requests: BTreeMap<usize, &Request> = BTreeMap::new();
    book.requests.values().filter_map(|r| r.of.map(|t| (t, r))).for_each(|(t, r)| {
        requests.insert(t, r);
    });
    // Only on one connection is the order in which the initiator took them certain.
    let mut lines: BTreeMap<(u64, u64), Vec<usize>> = BTreeMap::new();
    for (i, t) in book.tries.iter().enumerate().filter(|(_, t)| terms.classes[usize::from(t.class)].1) {
        lines.entry((t.key.0, t.place.1)).or_default().push(i);
    }
    for line in lines.values().filter(|l| l.len() > 1) {
        v.checked(Rule::Order, line.len() - 1);
        for (i, later) in line.iter().enumerate() {
            let Some(first) = requests.get(later).and_then(|r| r.attempts.first()) else { continue };
            for earlier in &line[..i] {
                if let Some(how) =
                    crossed(&book.tries[*earlier], requests.get(earlier).copied(), first, terms)
                {
                    v.breach(Rule::Order, first.at, Some(book.tries[*later].op), Some(first.node), how);
                }
            }
        }
    }
}

fn crossed(earlier: &Try, request: Option<&Request>, later: &Attempt, terms: &Terms) -> Option<String> {
    let by = later.at + terms.transit;
    if earlier.answers.first().is_none_or(|(at, _)| *at > by) {
        return Some(format!("sent before operation {} of its key was over", earlier.op));
    }
    let unsure = |a: &&Attempt| a.end.is_none_or(|(_, end)| end == crate::record::End::Lost);
    for a in request.into_iter().flat_map(|r| &r.attempts) {
        if a.over.is_none_or(|over| over > by) {
            return Some(format!("sent while attempt {} of operation {} was out", a.no, earlier.op));
        }
        if unsure(&a) && a.over.is_some_and(|over| by < over + terms.key_cooldown) {
            return Some(format!("sent before the key had rested after operation {}", earlier.op));
        }
    }
    None
}

fn budget(book: &Book, terms: &Terms, v: &mut Verdict) {
    let Some((floor, ratio, span)) = terms.budget else { return };
    type Sends = Vec<(u64, u64, u64)>;
    let mut further: BTreeMap<(u32, u64), Sends> = BTreeMap::new();
    for (&(initiator, epoch, _), request) in &book.requests {
        for a in request.attempts.iter().filter(|a| a.no > 0) {
            further.entry((initiator, epoch)).or_default().push((a.at, request.op, a.node));
        }
    }
    for ((initiator, _), mut sends) in further {
        sends.sort_unstable();
        v.checked(Rule::Budget, sends.len());
        for (i, (at, op, node)) in sends.iter().enumerate() {
            // To the safe side by what may have been under way.
            let within = span.saturating_sub(terms.transit);
            let count = sends[..=i].iter().filter(|(t, ..)| t + within > *at).count();
            let from = at.saturating_sub(span + terms.transit);
            let took = |t: &&Try| t.initiator == initiator && t.at >= from && t.at <= at + terms.transit;
            let taken = book.tries.iter().filter(took).count();
            let allowed = floor + ratio * taken as f64;
            if count as f64 > allowed {
                let how = format!(
                    "{count} further attempts by initiator {initiator} within {}, {allowed:.1} allowed",
                    ms(span)
                );
                v.breach(Rule::Budget, *at, Some(*op), Some(*node), how);
                break;
            }
        }
    }
}

fn limits(book: &Book, terms: &Terms, v: &mut Verdict) {
    let mut by_volume: BTreeMap<u64, Vec<(u64, u32, u16, u64)>> = BTreeMap::new();
    for request in book.requests.values().filter(|r| terms.limits[usize::from(r.plan)].0 > 0.0) {
        let first = &request.attempts[0];
        if first.no > 0 {
            // Its units were taken when it was first sent, to a node that could not be called: no one but
            // the initiator knows when. Left out, it can only make the store look fuller than it was.
            continue;
        }
        by_volume.entry(request.volume).or_default().push((
            first.at,
            request.units,
            request.plan,
            request.op,
        ));
    }
    for (volume, mut sends) in by_volume {
        sends.sort_unstable();
        v.checked(Rule::Limits, sends.len());
        let (rate, most, slack) = terms.limits[usize::from(sends[0].2)];
        let chance = rate * terms.transit as f64 / 1e6;
        let (mut level, mut then) = (most, sends[0].0);
        for (at, units, _, op) in sends {
            level = (level + rate * (at - then) as f64 / 1e6).min(most) - f64::from(units);
            then = at;
            if level < -slack - chance {
                let how = format!("volume {volume:x} is {:.1} units past its limit", -level);
                v.breach(Rule::Limits, at, Some(op), None, how);
                break;
            }
        }
    }
}

/// A read finds a write that had begun before its answer, and none that a later write, ended before the
/// read began, had replaced.
fn data(book: &Book, v: &mut Verdict) {
    // By place: of each operation that writes there, when it began and when its client first had it served.
    type Spans = BTreeMap<u64, (u64, Option<u64>)>;
    let mut writes: BTreeMap<(u64, u64), Spans> = BTreeMap::new();
    for t in book.tries.iter().filter(|t| t.write) {
        let served = t
            .answers
            .iter()
            .find(|(_, a)| matches!(a, Answer::Served { .. } | Answer::Buffered))
            .map(|(at, _)| *at);
        let known = writes.entry(t.place).or_default().entry(t.op).or_insert((t.at, None));
        known.1 = known.1.or(served);
    }
    for t in book.tries.iter().filter(|t| !t.write) {
        let Some((at, Answer::Served { found, .. })) = t.answers.first() else { continue };
        v.checked(Rule::Data, 1);
        let here = writes.get(&t.place);
        let mut breach = |how: String| v.breach(Rule::Data, *at, Some(t.op), None, how);
        let ended_before = |moment: u64| {
            let ended = move |w: &(&u64, &(u64, Option<u64>))| w.1.1.is_some_and(|end| end < moment);
            here.into_iter().flatten().filter(ended)
        };
        match found {
            None => {
                if let Some((op, _)) = ended_before(t.at).next() {
                    breach(format!("read nothing though operation {op} had written there"));
                }
            }
            Some(op) => match here.and_then(|w| w.get(op)) {
                None => breach(format!("read what no one wrote there: operation {op}")),
                Some((began, _)) if began > at => breach(format!("read operation {op} before it began")),
                Some((_, Some(end))) => {
                    if let Some((newer, _)) = ended_before(t.at).find(|(_, (began, _))| began > end) {
                        breach(format!("read operation {op} though operation {newer} had replaced it"));
                    }
                }
                Some((_, None)) => {}
            },
        }
    }
}
