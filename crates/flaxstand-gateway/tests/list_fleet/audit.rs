//! Judges what was sent: a request whose first byte leaves for a target that drains or was removed, later than the
//! grace after the change counts as told, is a break. When a change counts as told is worked out here from what the
//! service, the network and the hosts did, and from nothing that the core says of itself.

use super::list_service::TargetId;
use flaxstand_gateway::machine::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Every time limit is this much longer than the settings say.
pub const SLACK: Micros = Micros(50_000);
/// A change counts as told this long after the service had it and could be reached.
const REACHABLE_FOR: Micros = Micros(6_000_000);
/// What a watch misses that fell silent counts as told this long after it fell silent,
const SILENT_FOR: Micros = Micros(6_000_000);
/// or this long after the wait that it asked for, where that is later.
const AFTER_WAIT: Micros = Micros(2_000_000);
/// Whatever the service has counts as told this long after a reload.
const RELOADED_FOR: Micros = Micros(4_000_000);
/// A call that failed holds a host to its list so many times as long as one that was answered.
const FAILED_CALL_FACTOR: u64 = 4;
/// A request has its final answer at the latest this long after its time.
const ANSWER_SLACK: Micros = Micros(500_000);

/// Why a change counts as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The process was started with a list that has it.
    Known,
    /// The service began to write an answer that holds it.
    Written {
        /// When the last byte of that answer was written, if it was by now.
        whole_at: Option<Micros>,
    },
    /// The service had it and could be reached for long enough.
    Reachable,
    /// A watch that missed it had been silent for long enough.
    SilentWatch,
    /// The last reload was long enough ago.
    Reload,
    /// The host had not called for long enough.
    NoCall,
}

impl Reason {
    pub fn name(self) -> &'static str {
        match self {
            Reason::Known => "known at the start",
            Reason::Written { .. } => "written",
            Reason::Reachable => "service reachable",
            Reason::SilentWatch => "silent watch",
            Reason::Reload => "reload",
            Reason::NoCall => "no call",
        }
    }
}

/// A moment at which a change counts as told, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Told {
    pub at: Micros,
    pub why: Reason,
}

/// A request that was sent too late to a target that takes nothing new.
#[derive(Clone, Debug)]
pub struct Break {
    pub host: usize,
    pub target: TargetId,
    pub changed: Micros,
    pub told: Told,
    pub sent: Micros,
    /// It would be none if an answer counted from its last byte on, and not from its first.
    pub only_by_first_byte: bool,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (told, sent) = (self.told, self.sent);
        write!(
            f,
            "host {} sent to target {} at {:.1} ms, {:.1} ms after its change at {:.1} ms counted as told at {:.1} ms ({:?})",
            self.host,
            self.target.0,
            sent.ms(),
            sent.since(told.at).ms(),
            self.changed.ms(),
            told.at.ms(),
            self.told.why
        )
    }
}

/// From when on an answer that the service writes counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    FirstByte,
    LastByte,
}

/// A change that made a target take nothing new.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Micros,
    pub revision: u64,
}

/// An answer that the service wrote to a host.
#[derive(Clone, Copy, Debug)]
struct Written {
    begun: Micros,
    whole_at: Option<Micros>,
    revision: u64,
}

/// A call on which nothing is said any more.
#[derive(Clone, Copy, Debug)]
struct SilentCall {
    since: Micros,
    wait_ends: Micros,
    closed: Option<Micros>,
}

/// What one life of a host has seen of the list service.
#[derive(Clone, Debug, Default)]
struct Life {
    began: Micros,
    known: u64,
    written: Vec<Written>,
    silent: Vec<SilentCall>,
    reloads: Vec<Micros>,
    last_call: Micros,
    call_out: bool,
    call_failed: bool,
}

/// A time without the service.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Micros,
    to: Option<Micros>,
}

impl Outage {
    fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from < to && self.to.is_none_or(|ended| ended > from)
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
struct Asked {
    host: usize,
    at: Micros,
    deadline: Micros,
    /// Its target took work when it was asked for.
    servable: bool,
    answered: Option<(Micros, u16)>,
    /// Its host was killed, or its client left.
    void: bool,
}

/// How many requests there were, and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    pub asked: usize,
    pub served: usize,
}

impl Share {
    pub fn part(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// The judge of one day.
pub struct Audit {
    grace: Micros,
    poll_within: Micros,
    lives: Vec<Life>,
    outages: Vec<Outage>,
    /// Targets that take nothing new, by the change that began that.
    closed_targets: BTreeMap<TargetId, Change>,
    requests: Vec<Asked>,
    breaks: Vec<Break>,
    sends: usize,
}

impl Audit {
    pub fn new(hosts: usize, grace: Micros, poll_within: Micros) -> Self {
        Audit {
            grace,
            poll_within,
            lives: vec![Life::default(); hosts],
            outages: Vec::new(),
            closed_targets: BTreeMap::new(),
            requests: Vec::new(),
            breaks: Vec::new(),
            sends: 0,
        }
    }

    /// A process starts with the list as of revision `known`.
    pub fn host_starts(&mut self, host: usize, known: u64, now: Micros) {
        self.lives[host] = Life { began: now, known, last_call: now, ..Life::default() };
    }

    /// All that was asked of a host that is killed is void.
    pub fn host_killed(&mut self, host: usize) {
        let open = |asked: &&mut Asked| asked.host == host && asked.answered.is_none();
        self.requests.iter_mut().filter(open).for_each(|asked| asked.void = true);
    }

    pub fn target_closes(&mut self, target: TargetId, revision: u64, now: Micros) {
        self.closed_targets.entry(target).or_insert(Change { at: now, revision });
    }

    pub fn target_opens(&mut self, target: TargetId) {
        self.closed_targets.remove(&target);
    }

    pub fn outage_begins(&mut self, now: Micros) {
        self.outages.push(Outage { from: now, to: None });
    }

    pub fn outage_ends(&mut self, now: Micros) {
        if let Some(outage) = self.outages.last_mut() {
            outage.to = Some(now);
        }
    }

    pub fn reloaded(&mut self, host: usize, now: Micros) {
        self.lives[host].reloads.push(now);
    }

    pub fn called(&mut self, host: usize, now: Micros) {
        let life = &mut self.lives[host];
        (life.last_call, life.call_out, life.call_failed) = (now, true, false);
    }

    pub fn call_ended(&mut self, host: usize, well: bool) {
        let life = &mut self.lives[host];
        (life.call_out, life.call_failed) = (false, !well);
    }

    /// The service began to write an answer that it will write whole.
    pub fn writing(&mut self, host: usize, revision: u64, now: Micros) {
        self.lives[host].written.push(Written { begun: now, whole_at: None, revision });
    }

    /// The last byte of that answer was written.
    pub fn written(&mut self, host: usize, now: Micros) {
        if let Some(written) = self.lives[host].written.last_mut() {
            written.whole_at = Some(now);
        }
    }

    /// The service, or the way, broke an answer off: what was to come in it is not told by it.
    pub fn broken_off(&mut self, host: usize) {
        self.lives[host].written.pop_if(|written| written.whole_at.is_none());
    }

    /// From now on nothing is said on the host's open call.
    pub fn call_fell_silent(&mut self, host: usize, wait_ends: Micros, now: Micros) {
        self.lives[host].silent.push(SilentCall { since: now, wait_ends, closed: None });
    }

    pub fn silent_call_closed(&mut self, host: usize, now: Micros) {
        if let Some(silent) = self.lives[host].silent.last_mut() {
            silent.closed.get_or_insert(now);
        }
    }

    /// The first byte of a request left for a target.
    pub fn sent(&mut self, host: usize, target: TargetId, at: Micros) {
        self.sends += 1;
        let Some(change) = self.closed_targets.get(&target).copied() else { return };
        let is_late = |told: &Told| at > told.at.after(self.grace).after(SLACK);
        let Some(told) = self.told(host, change).filter(is_late) else { return };
        let by_last_byte = self.told_as(Reading::LastByte, host, change);
        let only_by_first_byte = by_last_byte.filter(is_late).is_none();
        self.breaks.push(Break { host, target, changed: change.at, told, sent: at, only_by_first_byte });
    }

    /// When a change counts as told to a host, as far as can be said by now.
    pub fn told(&self, host: usize, change: Change) -> Option<Told> {
        self.told_as(Reading::FirstByte, host, change)
    }

    fn told_as(&self, reading: Reading, host: usize, change: Change) -> Option<Told> {
        let life = &self.lives[host];
        if change.revision <= life.known {
            return Some(Told { at: life.began.max(change.at), why: Reason::Known });
        }
        let reasons = [
            self.told_when_written(reading, life, change),
            self.told_when_reachable(life, change),
            self.told_by_silence(life, change),
            self.told_by_reload(life, change),
            self.told_without_call(life, change),
        ];
        reasons.into_iter().flatten().min()
    }

    fn told_when_written(&self, reading: Reading, life: &Life, change: Change) -> Option<Told> {
        let moments = life.written.iter().filter(|written| written.revision >= change.revision);
        let mut moments = moments.filter_map(|written| match reading {
            Reading::FirstByte => Some((written.begun, written.whole_at)),
            Reading::LastByte => Some((written.whole_at?, written.whole_at)),
        });
        let (at, whole_at) = moments.next()?;
        Some(Told { at, why: Reason::Written { whole_at } })
    }

    fn told_when_reachable(&self, life: &Life, change: Change) -> Option<Told> {
        let at = self.reachable_for(REACHABLE_FOR, life.began.max(change.at))?;
        Some(Told { at, why: Reason::Reachable })
    }

    fn told_by_silence(&self, life: &Life, change: Change) -> Option<Told> {
        let missed = |silent: &&SilentCall| silent.closed.is_none_or(|closed| change.at < closed);
        let told = life.silent.iter().filter(missed).filter_map(|silent| {
            let due = silent.since.after(SILENT_FOR).max(silent.wait_ends.after(AFTER_WAIT));
            self.is_reachable(silent.since, due).then_some(due.max(change.at))
        });
        Some(Told { at: told.min()?, why: Reason::SilentWatch })
    }

    fn told_by_reload(&self, life: &Life, change: Change) -> Option<Told> {
        let told = life.reloads.iter().filter_map(|reload| {
            let due = reload.after(RELOADED_FOR);
            (change.at <= due && self.is_reachable(*reload, due)).then_some(due)
        });
        Some(Told { at: told.min()?, why: Reason::Reload })
    }

    fn told_without_call(&self, life: &Life, change: Change) -> Option<Told> {
        if life.call_out {
            return None;
        }
        let factor = if life.call_failed { FAILED_CALL_FACTOR } else { 1 };
        let held = Micros(self.poll_within.0 * factor);
        let since = life.last_call.max(change.at);
        Some(Told { at: self.reachable_for(held, since)?, why: Reason::NoCall })
    }

    /// The end of the first time of this length from `from` on in which there is no outage.
    fn reachable_for(&self, length: Micros, from: Micros) -> Option<Micros> {
        let mut begins = from;
        for outage in &self.outages {
            if outage.overlaps(begins, begins.after(length)) {
                begins = outage.to?;
            }
        }
        Some(begins.after(length))
    }

    fn is_reachable(&self, from: Micros, to: Micros) -> bool {
        !self.outages.iter().any(|outage| outage.overlaps(from, to))
    }

    /// A client asks. Returns the request's number.
    pub fn asked(&mut self, host: usize, servable: bool, deadline: Micros, now: Micros) -> usize {
        let asked = Asked { host, at: now, deadline, servable, answered: None, void: false };
        self.requests.push(asked);
        self.requests.len() - 1
    }

    /// A request has its final answer, or its connection was closed under it (status 0).
    pub fn answered(&mut self, request: usize, status: u16, now: Micros) {
        self.requests[request].answered.get_or_insert((now, status));
    }

    /// What was served of the requests asked from one moment to another whose target took work then.
    pub fn share(&self, from: Micros, to: Micros) -> Share {
        let counts = |asked: &&Asked| asked.servable && !asked.void && asked.at >= from && asked.at < to;
        let asked: Vec<&Asked> = self.requests.iter().filter(counts).collect();
        let served = asked.iter().filter(|asked| asked.answered.is_some_and(|(_, status)| status == 200));
        Share { asked: asked.len(), served: served.count() }
    }

    /// Requests whose time is over and that had no final answer in time.
    pub fn unanswered(&self, now: Micros) -> usize {
        let lost = |asked: &&Asked| {
            let last = asked.deadline.after(ANSWER_SLACK);
            !asked.void && last < now && asked.answered.is_none_or(|(at, _)| at > last)
        };
        self.requests.iter().filter(lost).count()
    }

    pub fn breaks(&self) -> &[Break] {
        &self.breaks
    }

    pub fn sends(&self) -> usize {
        self.sends
    }
}
