//! A model of the list service, without I/O. It is serial: a call that has been answered occupies it for the work
//! that the call cost, and calls that come while more than a second of work is ahead are turned away with 503.

use flaxstand_gateway::machine::Micros;
use flaxstand_platform::{Listing, Target, TargetState};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::rc::Rc;

/// A call that finds more work than this ahead of it is turned away.
const BACKLOG_MOST: Micros = Micros(1_000_000);
/// A call is turned away this long after it came.
const TURNED_AWAY_AFTER: Micros = Micros(5_000);
/// Turning a call away costs this part of the lines of an answered call without entries.
const TURNED_AWAY_COST: f64 = 0.25;

/// A target; the same for all its lives under one uid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetId(pub usize);

/// A call of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a call asks for: the whole list, or a wait for what is newer than a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub since: Option<u64>,
    pub wait: Micros,
}

/// How fast the service works and what its answers hold.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Each call costs as much as so many lines.
    pub call_lines: f64,
    pub lines_per_second: f64,
    /// Watches are answered with the changed entries; else with whole lists.
    pub tells_changes: bool,
}

/// How answers are written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Style {
    pub indented: bool,
    /// An entry that makes no sense stands behind the others.
    pub nonsense_entry: Option<&'static str>,
    /// The address of a target that drains or is removed can't be read.
    pub drops_addresses: bool,
}

/// An answer, in its form before it is put on a connection.
#[derive(Clone, Debug)]
pub enum Answer {
    /// 503.
    Busy,
    /// A list whose body covers all changes up to this revision.
    List { revision: u64, body: Rc<[u8]> },
}

/// An answer that is due now.
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
    Busy,
    List { since: Option<u64> },
}

/// The list service.
pub struct ListService {
    speed: Speed,
    style: Style,
    targets: Vec<Target>,
    /// How many were in the first list.
    first_targets: usize,
    /// Listed targets: all that are not removed.
    listed: usize,
    revision: u64,
    /// All changes since the first list, by their revisions.
    changes: Vec<Change>,
    /// When the work that was accepted so far is done.
    free_at: Micros,
    /// Answers by the moment at which they begin.
    due: BTreeMap<(Micros, CallId), Due>,
    watches: BTreeMap<CallId, Watch>,
    bodies: BTreeMap<Option<u64>, Rc<[u8]>>,
    turns_all_away: bool,
}

/// The revision of the first list.
pub const FIRST_REVISION: u64 = 40;

impl ListService {
    pub fn new(speed: Speed, style: Style, targets: usize) -> Self {
        let targets: Vec<Target> = (0..targets).map(|index| first_target(index, address_of(index))).collect();
        ListService {
            speed,
            style,
            first_targets: targets.len(),
            listed: targets.len(),
            targets,
            revision: FIRST_REVISION,
            changes: Vec::new(),
            free_at: Micros(0),
            due: BTreeMap::new(),
            watches: BTreeMap::new(),
            bodies: BTreeMap::new(),
            turns_all_away: false,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id.0]
    }

    /// A target that was never listed, at this address and with the shard of an earlier one.
    pub fn add_target(&mut self, endpoint: String, shard: u32) -> TargetId {
        let id = TargetId(self.targets.len());
        let target = Target { shard, state: TargetState::Removed, ..first_target(id.0, endpoint) };
        self.targets.push(target);
        id
    }

    /// Changes the state of a target, at a revision of its own. Watches are told by [`ListService::tell_watches`].
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

    /// Answers the watches that wait for what is newer than they have.
    pub fn tell_watches(&mut self, now: Micros) {
        for (call, watch) in std::mem::take(&mut self.watches) {
            self.admit(call, Some(watch.since), now);
        }
    }

    /// From now on every call is turned away, or none any more.
    pub fn turn_all_away(&mut self, turns_away: bool, now: Micros) {
        self.turns_all_away = turns_away;
        if turns_away {
            self.tell_watches(now);
        }
    }

    /// A call has come.
    pub fn call(&mut self, id: CallId, call: Call, now: Micros) {
        let waits = call.since.filter(|since| *since >= self.revision && call.wait > Micros(0));
        match waits {
            Some(since) if !self.is_crowded(now) => {
                self.watches.insert(id, Watch { since, ends: now.after(call.wait) });
            }
            _ => self.admit(id, call.since, now),
        }
    }

    /// The caller has gone, or nothing is ever said on this call. The work that was accepted for it is done all the
    /// same.
    pub fn forget(&mut self, id: CallId) {
        self.watches.remove(&id);
        self.due.retain(|(_, call), _| *call != id);
    }

    /// Nothing is left of calls that came before: the service was down.
    pub fn forget_all(&mut self, now: Micros) {
        self.watches.clear();
        self.due.clear();
        self.free_at = now;
    }

    pub fn next_due(&self) -> Option<Micros> {
        let answer = self.due.first_key_value().map(|((at, _), _)| *at);
        let watch = self.watches.values().map(|watch| watch.ends).min();
        [answer, watch].into_iter().flatten().min()
    }

    /// The answers that begin now.
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
                Due::Busy => Answer::Busy,
                Due::List { since } => self.list_since(since),
            };
            replies.push(Reply { call, answer });
        }
        replies
    }

    fn is_crowded(&self, now: Micros) -> bool {
        self.turns_all_away || self.free_at.since(now) > BACKLOG_MOST
    }

    /// Gives a call its turn behind the work ahead, or turns it away.
    fn admit(&mut self, id: CallId, since: Option<u64>, now: Micros) {
        if self.is_crowded(now) {
            self.free_at = self.free_at.max(now).after(self.work(TURNED_AWAY_COST * self.speed.call_lines));
            self.due.insert((now.after(TURNED_AWAY_AFTER), id), Due::Busy);
            return;
        }
        let begins = self.free_at.max(now);
        let lines = self.speed.call_lines + self.lines_since(since) as f64;
        self.free_at = begins.after(self.work(lines));
        self.due.insert((begins, id), Due::List { since });
    }

    fn work(&self, lines: f64) -> Micros {
        Micros::from_ms(1000.0 * lines / self.speed.lines_per_second)
    }

    fn lines_since(&self, since: Option<u64>) -> usize {
        match since {
            Some(since) if since >= self.revision => 0,
            Some(since) if self.speed.tells_changes => self.changed_since(since).len(),
            _ => self.listed,
        }
    }

    fn changed_since(&self, since: u64) -> BTreeSet<TargetId> {
        let first = self.changes.partition_point(|change| change.revision <= since);
        self.changes[first..].iter().map(|change| change.target).collect()
    }

    fn list_since(&mut self, since: Option<u64>) -> Answer {
        let revision = self.revision;
        let since = since.filter(|since| self.speed.tells_changes || *since >= revision);
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
        let told: Vec<TargetId> = match since {
            None => (0..self.targets.len()).map(TargetId).filter(listed).collect(),
            Some(since) => self.changed_since(since).into_iter().collect(),
        };
        for (at, id) in told.iter().enumerate() {
            text.push_str(if at > 0 { "," } else { "" });
            text.push_str(line);
            self.render_entry(&mut text, self.target(*id));
        }
        if let Some(entry) = self.style.nonsense_entry.filter(|_| !told.is_empty()) {
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
        let unreadable = self.style.drops_addresses && target.state != TargetState::Up;
        let endpoint = if unreadable { "unknown" } else { &target.address };
        let Target { uid, zone: az, shard: pod_group, started_at_ms: boot_ms, .. } = target;
        // Writing to a string does not fail.
        let _ = write!(
            text,
            r#"{{{space}"az":"{az}",{space}"boot_ms":{boot_ms},{space}"capacity_hint":2.0,{space}"endpoint":"{endpoint}",{space}"model":"{MODEL}",{space}"pod_group":{pod_group},{space}"state":"{state}",{space}"uid":"{uid}"}}"#
        );
    }

    /// The whole list as it was at a revision.
    pub fn listing_at(&self, revision: u64) -> Listing {
        let mut targets = self.targets.clone();
        for (index, target) in targets.iter_mut().enumerate() {
            let first = index < self.first_targets;
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

/// Long enough for an entry of some 220 bytes.
const MODEL: &str = "storage-general-purpose-2c-8g-ssd-balanced-generation-4";

fn first_target(index: usize, endpoint: String) -> Target {
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

/// Where a target of the first list listens.
pub fn address_of(index: usize) -> String {
    format!("127.{}.{}.{}:8000", 16 + (index >> 16), (index >> 8) & 255, index & 255)
}
