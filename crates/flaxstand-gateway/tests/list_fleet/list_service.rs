//! A model of the list service without I/O. It processes one call at a time: each answered call keeps it busy
//! for the cost of the call. Calls that arrive while more than a second of work is queued are rejected with
//! 503.

use flaxstand_gateway::machine::Micros;
use flaxstand_platform::{Listing, Target, TargetState};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::rc::Rc;

/// Calls that arrive behind more queued work than this are rejected.
const MAX_BACKLOG: Micros = Micros(1_000_000);
/// Delay of a rejection after the call.
const REJECTION_DELAY: Micros = Micros(5_000);
/// Cost of a rejection relative to an answered call without entries.
const REJECTION_COST: f64 = 0.25;

/// A target, identified by its uid; a restarted target keeps its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetId(pub usize);

/// A call of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A request for the full list, or a long poll for changes after the revision `since`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub since: Option<u64>,
    pub wait: Micros,
}

/// The speed of the service and the kind of its responses.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Fixed cost of a call, in lines.
    pub call_lines: f64,
    pub lines_per_second: f64,
    /// Whether watches are answered with the changed entries only, not with full lists.
    pub sends_changes: bool,
}

/// The format of responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Style {
    pub indented: bool,
    /// A malformed entry to append to the other entries.
    pub malformed_entry: Option<&'static str>,
    /// Whether the addresses of draining and removed targets are unreadable.
    pub unreadable_addresses: bool,
}

/// A response before HTTP framing.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Status 503.
    Rejected,
    /// A list with all changes up to this revision.
    List { revision: u64, body: Rc<[u8]> },
}

/// A response that is due.
#[derive(Clone, Debug)]
pub struct Reply {
    pub call: CallId,
    pub answer: Answer,
}

/// A change of one target's state.
#[derive(Clone, Copy, Debug)]
struct Change {
    revision: u64,
    target: TargetId,
    state: TargetState,
    boot_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    since: u64,
    ends: Micros,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Rejection,
    List { since: Option<u64> },
}

/// The list service.
pub struct ListService {
    speed: Speed,
    style: Style,
    targets: Vec<Target>,
    /// Number of targets in the initial list.
    initial_targets: usize,
    /// Number of listed targets: all that are not removed.
    listed: usize,
    revision: u64,
    /// All changes since the initial list, in order of revision.
    changes: Vec<Change>,
    /// When the work accepted so far is done.
    free_at: Micros,
    /// Responses by the time at which they start.
    due: BTreeMap<(Micros, CallId), Due>,
    watches: BTreeMap<CallId, Watch>,
    /// Cached bodies of the current revision, by the `since` of the request.
    bodies: BTreeMap<Option<u64>, Rc<[u8]>>,
    rejects_all: bool,
}

/// The revision of the initial list.
pub const FIRST_REVISION: u64 = 40;

impl ListService {
    pub fn new(speed: Speed, style: Style, targets: usize) -> Self {
        let targets: Vec<Target> =
            (0..targets).map(|index| initial_target(index, address_of(index))).collect();
        ListService {
            speed,
            style,
            initial_targets: targets.len(),
            listed: targets.len(),
            targets,
            revision: FIRST_REVISION,
            changes: Vec::new(),
            free_at: Micros(0),
            due: BTreeMap::new(),
            watches: BTreeMap::new(),
            bodies: BTreeMap::new(),
            rejects_all: false,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id.0]
    }

    /// Adds an unlisted target with this address and shard.
    pub fn add_target(&mut self, endpoint: String, shard: u32) -> TargetId {
        let id = TargetId(self.targets.len());
        let target = Target { shard, state: TargetState::Removed, ..initial_target(id.0, endpoint) };
        self.targets.push(target);
        id
    }

    /// Changes the state of a target under a new revision. Watches are answered by
    /// [`ListService::answer_watches`].
    pub fn change_one(&mut self, id: TargetId, state: TargetState, now: Micros) {
        let target = &mut self.targets[id.0];
        match (target.state == TargetState::Removed, state == TargetState::Removed) {
            (true, false) => {
                target.started_at_ms = now.ms() as u64;
                self.listed += 1;
            }
            (false, true) => self.listed -= 1,
            _ => {}
        }
        target.state = state;
        self.revision += 1;
        let boot_ms = target.started_at_ms;
        self.changes.push(Change { revision: self.revision, target: id, state, boot_ms });
        self.bodies.clear();
    }

    /// Answers all open watches.
    pub fn answer_watches(&mut self, now: Micros) {
        for (call, watch) in std::mem::take(&mut self.watches) {
            self.admit(call, Some(watch.since), now);
        }
    }

    /// Starts or stops rejecting every call.
    pub fn reject_all(&mut self, rejects: bool, now: Micros) {
        self.rejects_all = rejects;
        if rejects {
            self.answer_watches(now);
        }
    }

    /// A call arrives.
    pub fn call(&mut self, id: CallId, call: Call, now: Micros) {
        let watched = call.since.filter(|since| *since >= self.revision && call.wait > Micros(0));
        match watched {
            Some(since) if !self.is_overloaded(now) => {
                self.watches.insert(id, Watch { since, ends: now.after(call.wait) });
            }
            _ => self.admit(id, call.since, now),
        }
    }

    /// Cancels a call that is closed or will not be answered. Its queued work still counts.
    pub fn cancel(&mut self, id: CallId) {
        self.watches.remove(&id);
        self.due.retain(|(_, call), _| *call != id);
    }

    /// Drops all calls and all queued work, as after an outage.
    pub fn reset(&mut self, now: Micros) {
        self.watches.clear();
        self.due.clear();
        self.free_at = now;
    }

    pub fn next_due(&self) -> Option<Micros> {
        let answer = self.due.first_key_value().map(|((at, _), _)| *at);
        let watch = self.watches.values().map(|watch| watch.ends).min();
        [answer, watch].into_iter().flatten().min()
    }

    /// Returns the responses that start by now.
    pub fn due(&mut self, now: Micros) -> Vec<Reply> {
        let ended: Vec<CallId> =
            self.watches.iter().filter(|(_, watch)| watch.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            if let Some(watch) = self.watches.remove(&id) {
                self.admit(id, Some(watch.since), now);
            }
        }
        let mut replies = Vec::new();
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, call), due) = entry.remove_entry();
            let answer = match due {
                Due::Rejection => Answer::Rejected,
                Due::List { since } => self.list_since(since),
            };
            replies.push(Reply { call, answer });
        }
        replies
    }

    fn is_overloaded(&self, now: Micros) -> bool {
        self.rejects_all || self.free_at.since(now) > MAX_BACKLOG
    }

    /// Queues a call behind the accepted work, or rejects it.
    fn admit(&mut self, id: CallId, since: Option<u64>, now: Micros) {
        if self.is_overloaded(now) {
            self.free_at = self.free_at.max(now).after(self.work(REJECTION_COST * self.speed.call_lines));
            self.due.insert((now.after(REJECTION_DELAY), id), Due::Rejection);
            return;
        }
        let start = self.free_at.max(now);
        let lines = self.speed.call_lines + self.lines_since(since) as f64;
        self.free_at = start.after(self.work(lines));
        self.due.insert((start, id), Due::List { since });
    }

    fn work(&self, lines: f64) -> Micros {
        Micros::from_ms(1000.0 * lines / self.speed.lines_per_second)
    }

    fn lines_since(&self, since: Option<u64>) -> usize {
        match since {
            Some(since) if since >= self.revision => 0,
            Some(since) if self.speed.sends_changes => self.changed_since(since).len(),
            _ => self.listed,
        }
    }

    fn changed_since(&self, since: u64) -> BTreeSet<TargetId> {
        let first = self.changes.partition_point(|change| change.revision <= since);
        self.changes[first..].iter().map(|change| change.target).collect()
    }

    fn list_since(&mut self, since: Option<u64>) -> Answer {
        let revision = self.revision;
        let since = since.filter(|since| self.speed.sends_changes || *since >= revision);
        if let Some(body) = self.bodies.get(&since) {
            return Answer::List { revision, body: body.clone() };
        }
        let body: Rc<[u8]> = self.render(since).into_bytes().into();
        self.bodies.insert(since, body.clone());
        Answer::List { revision, body }
    }

    fn render(&self, since: Option<u64>) -> String {
        let all = since.is_none();
        let line = if self.style.indented { "\n    " } else { "" };
        let mut text = format!(r#"{{"rev":{},"all":{all},"targets":["#, self.revision);
        let listed = |id: &TargetId| self.target(*id).state != TargetState::Removed;
        let entries: Vec<TargetId> = match since {
            None => (0..self.targets.len()).map(TargetId).filter(listed).collect(),
            Some(since) => self.changed_since(since).into_iter().collect(),
        };
        for (at, id) in entries.iter().enumerate() {
            text.push_str(if at > 0 { "," } else { "" });
            text.push_str(line);
            self.render_entry(&mut text, self.target(*id));
        }
        if let Some(entry) = self.style.malformed_entry.filter(|_| !entries.is_empty()) {
            text.push(',');
            text.push_str(entry);
        }
        text.push_str("]}");
        text
    }

    fn render_entry(&self, text: &mut String, target: &Target) {
        let space = if self.style.indented { "\n      " } else { "" };
        let state = match target.state {
            TargetState::Up => "up",
            TargetState::Draining => "draining",
            TargetState::Removed => "removed",
        };
        let unreadable = self.style.unreadable_addresses && target.state != TargetState::Up;
        let endpoint = if unreadable { "unknown" } else { &target.address };
        let Target { uid, zone: az, shard: pod_group, started_at_ms: boot_ms, .. } = target;
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            r#"{{{space}"az":"{az}",{space}"boot_ms":{boot_ms},{space}"capacity_hint":2.0,{space}"endpoint":"{endpoint}",{space}"model":"{MODEL}",{space}"pod_group":{pod_group},{space}"state":"{state}",{space}"uid":"{uid}"}}"#
        );
    }

    /// The full list as of a revision.
    pub fn listing_at(&self, revision: u64) -> Listing {
        let mut targets = self.targets.clone();
        for (index, target) in targets.iter_mut().enumerate() {
            let first = index < self.initial_targets;
            (target.state, target.started_at_ms) =
                if first { (TargetState::Up, 0) } else { (TargetState::Removed, 0) };
        }
        for change in self.changes.iter().take_while(|change| change.revision <= revision) {
            let target = &mut targets[change.target.0];
            (target.state, target.started_at_ms) = (change.state, change.boot_ms);
        }
        targets.retain(|target| target.state != TargetState::Removed);
        Listing { revision, is_full: true, targets }
    }
}

/// A model name of realistic length: it makes an entry about 220 bytes long.
const MODEL: &str = "storage-general-purpose-2c-8g-ssd-balanced-generation-4";

fn initial_target(index: usize, endpoint: String) -> Target {
    Target {
        uid: format!("s-{:08x}", index * 0x9e37 + 0x0f03_c277),
        address: endpoint,
        zone: format!("hall-{}.building-7.north", ["a", "b", "c"][index % 3]),
        shard: index as u32,
        state: TargetState::Up,
        size: 2.0,
        started_at_ms: 0,
    }
}

/// The address of a target of the initial list.
pub fn address_of(index: usize) -> String {
    format!("127.{}.{}.{}:8000", 16 + (index >> 16), (index >> 8) & 255, index & 255)
}
