//! Calm, a surge of real demand, or a storm: by what came in the last two seconds, beside what usually comes.
//!
//! A storm is work that brings nothing: most tries repeat others. A surge is many first tries, and must not be
//! damped as a storm: those clients ask for the first time.

use crate::retry_detection::AttemptKind;
use flaxstand_proto::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// A window's parts, and the length of one.
const PARTS: usize = 10;
const PART: Micros = Micros(200_000);
/// Tries in a window below which nothing is said.
const LEAST: u32 = 10;
/// Share of repeats at which a storm begins, and below which it is over.
const STORM: (f64, f64) = (0.4, 0.2);
/// Times the usual number of first tries at which a surge begins, and below which it is over.
const SURGE: (f64, f64) = (1.6, 1.2);
/// Weight of a window in what is usual: about a minute's memory.
const USUAL: f64 = 0.2 / 60.0;
/// Scopes whose windows are kept; of more, the one that was quiet for longest is dropped.
const SCOPES: usize = 4096;

/// What is looked at together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Everything.
    All,
    /// A plan's volumes.
    Plan(u16),
    /// A volume.
    Volume(u64),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::All => f.write_str("all"),
            Scope::Plan(plan) => write!(f, "plan {plan}"),
            Scope::Volume(volume) => write!(f, "volume {volume:x}"),
        }
    }
}

/// What it is like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadCondition {
    /// As usual.
    #[default]
    Calm,
    /// Much more first tries than usual.
    Surge,
    /// Most tries repeat others.
    Storm,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    first: u32,
    retry_detection: u32,
    served: u32,
    turned_away: u32,
}

/// Counts of the last two seconds.
#[derive(Clone, Debug, Default)]
struct Window {
    parts: [Part; PARTS],
    /// Number of the part that is being filled.
    at: u64,
    /// First tries in a window, usually; none before the first is full.
    usual: Option<f64>,
    filled: u64,
    load_condition: LoadCondition,
}

impl Window {
    fn roll(&mut self, now: Micros) {
        let at = now.0 / PART.0;
        if at <= self.at {
            return;
        }
        let passed = (at - self.at).min(PARTS as u64 * 400);
        for _ in 0..passed {
            self.filled += 1;
            if self.filled >= PARTS as u64 {
                let first = f64::from(self.sum(|p| p.first));
                // A surge or a storm is not what is usual.
                let weight = if self.load_condition == LoadCondition::Calm { USUAL } else { 0.0 };
                self.usual = Some(self.usual.map_or(first, |u| u + weight * (first - u)));
            }
            let next = (self.filled % PARTS as u64) as usize;
            self.parts[next] = Part::default();
        }
        self.at = at;
    }

    fn part(&mut self, now: Micros) -> &mut Part {
        self.roll(now);
        &mut self.parts[(self.filled % PARTS as u64) as usize]
    }

    fn sum(&self, of: impl Fn(&Part) -> u32) -> u32 {
        self.parts.iter().map(of).sum()
    }

    fn look(&mut self, now: Micros) -> LoadCondition {
        self.roll(now);
        let (first, retry_detection) = (self.sum(|p| p.first), self.sum(|p| p.retry_detection));
        let tries = first + retry_detection;
        let share = f64::from(retry_detection) / f64::from(tries.max(1));
        let times = f64::from(first) / self.usual.unwrap_or(f64::from(first)).max(1.0);
        let was = self.load_condition;
        let storm = share >= if was == LoadCondition::Storm { STORM.1 } else { STORM.0 };
        let surge = times >= if was == LoadCondition::Surge { SURGE.1 } else { SURGE.0 };
        self.load_condition = match (tries >= LEAST, storm, surge) {
            (true, true, _) => LoadCondition::Storm,
            (true, false, true) => LoadCondition::Surge,
            _ => LoadCondition::Calm,
        };
        self.load_condition
    }
}

/// What is said of a scope, with its reasons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConditionReport {
    /// Of what.
    pub scope: Scope,
    /// What it is like.
    pub load_condition: LoadCondition,
    /// Tries in the last two seconds that were first, and that repeat others.
    pub tries: (u32, u32),
    /// Served in that time, and turned away.
    pub ended: (u32, u32),
    /// First tries in two seconds, usually.
    pub usual: f64,
}

impl fmt::Display for LoadConditionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, retry_detection) = self.tries;
        let (served, away) = self.ended;
        let share = 100.0 * f64::from(retry_detection) / f64::from((first + retry_detection).max(1));
        match self.load_condition {
            LoadCondition::Storm => write!(
                f,
                "storm: {share:.0}% of the tries of {} in the last 2 s repeat a try that was refused or given up \
                 ({served} served, {away} turned away)",
                self.scope
            ),
            LoadCondition::Surge => write!(
                f,
                "surge: {first} first tries of {} in the last 2 s, {:.0} are usual; {share:.0}% repeat others",
                self.scope, self.usual
            ),
            LoadCondition::Calm => write!(f, "calm: {first} first tries of {} in the last 2 s", self.scope),
        }
    }
}

/// Windows of all scopes.
#[derive(Debug, Default)]
pub struct LoadMonitor {
    windows: BTreeMap<Scope, Window>,
}

impl LoadMonitor {
    fn each(&mut self, plan: u16, volume: u64, now: Micros, mut with: impl FnMut(&mut Part)) {
        for scope in [Scope::All, Scope::Plan(plan), Scope::Volume(volume)] {
            if !self.windows.contains_key(&scope) && self.windows.len() >= SCOPES {
                let quiet = self.windows.iter().filter(|(s, _)| matches!(s, Scope::Volume(_)));
                if let Some(scope) = quiet.min_by_key(|(_, w)| w.at).map(|(s, _)| *s) {
                    self.windows.remove(&scope);
                }
            }
            let window = self
                .windows
                .entry(scope)
                .or_insert_with(|| Window { at: now.0 / PART.0, ..Window::default() });
            with(window.part(now));
        }
    }

    /// A try came.
    pub fn came(&mut self, plan: u16, volume: u64, kind: AttemptKind, now: Micros) {
        self.each(plan, volume, now, |part| match kind {
            AttemptKind::First => part.first += 1,
            AttemptKind::Repeat => part.retry_detection += 1,
        });
    }

    /// A try was served.
    pub fn served(&mut self, plan: u16, volume: u64, now: Micros) {
        self.each(plan, volume, now, |part| part.served += 1);
    }

    /// A try was refused or given up.
    pub fn turned_away(&mut self, plan: u16, volume: u64, now: Micros) {
        self.each(plan, volume, now, |part| part.turned_away += 1);
    }

    /// What it is like.
    pub fn load_condition(&mut self, scope: Scope, now: Micros) -> LoadCondition {
        self.windows.get_mut(&scope).map_or(LoadCondition::Calm, |w| w.look(now))
    }

    /// The same with its reasons; none of a scope that nothing is known of.
    pub fn report(&mut self, scope: Scope, now: Micros) -> Option<LoadConditionReport> {
        let w = self.windows.get_mut(&scope)?;
        let load_condition = w.look(now);
        Some(LoadConditionReport {
            scope,
            load_condition,
            tries: (w.sum(|p| p.first), w.sum(|p| p.retry_detection)),
            ended: (w.sum(|p| p.served), w.sum(|p| p.turned_away)),
            usual: w.usual.unwrap_or(0.0),
        })
    }

    /// Served in the last two seconds.
    pub fn goodput(&mut self, scope: Scope, now: Micros) -> u32 {
        self.windows.get_mut(&scope).map_or(0, |w| {
            w.roll(now);
            w.sum(|p| p.served)
        })
    }

    /// Volumes that something came for in the last two seconds.
    pub fn active(&self, now: Micros) -> usize {
        let at = now.0 / PART.0;
        let recent = |(s, w): &(&Scope, &Window)| matches!(s, Scope::Volume(_)) && w.at + PARTS as u64 > at;
        self.windows.iter().filter(recent).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// So many first tries and repeats a second, for so long, from a moment on.
    fn come(s: &mut LoadMonitor, from: u64, seconds: u64, first: u64, retry_detection: u64) -> Micros {
        for ms in from..from + seconds * 1000 {
            let now = Micros(ms * 1000);
            let due = |rate: u64| (ms + 1) * rate / 1000 - ms * rate / 1000;
            (0..due(first)).for_each(|_| s.came(1, 7, AttemptKind::First, now));
            (0..due(retry_detection)).for_each(|_| s.came(1, 7, AttemptKind::Repeat, now));
            if ms % 50 == 0 {
                s.load_condition(Scope::Plan(1), now);
            }
        }
        Micros((from + seconds * 1000) * 1000)
    }

    #[test]
    fn a_storm_is_told_with_its_reason_and_ends() {
        let mut s = LoadMonitor::default();
        let now = come(&mut s, 1000, 5, 100, 5);
        assert_eq!(s.load_condition(Scope::Plan(1), now), LoadCondition::Calm);
        let now = come(&mut s, 6000, 3, 56, 144);
        let report = s.report(Scope::Plan(1), now).unwrap();
        assert_eq!(report.load_condition, LoadCondition::Storm);
        let said = report.to_string();
        assert!(said.starts_with("storm: 72% of the tries of plan 1 in the last 2 s repeat"), "{said}");
        assert_eq!(s.load_condition(Scope::Volume(7), now), LoadCondition::Storm);
        assert_eq!(s.load_condition(Scope::Plan(2), now), LoadCondition::Calm, "another plan");
        let now = come(&mut s, 9000, 3, 100, 5);
        assert_eq!(s.load_condition(Scope::Plan(1), now), LoadCondition::Calm);
    }

    #[test]
    fn honest_new_demand_is_a_surge_and_no_storm() {
        let mut s = LoadMonitor::default();
        come(&mut s, 1000, 5, 100, 5);
        let now = come(&mut s, 6000, 3, 400, 40);
        let report = s.report(Scope::All, now).unwrap();
        assert_eq!(report.load_condition, LoadCondition::Surge);
        assert!(
            report.to_string().starts_with("surge: 720 first tries of all in the last 2 s, 221 are usual"),
            "{report}"
        );
        // It lasts: for a minute it stays a surge, and never is a storm.
        let now = come(&mut s, 9000, 5, 400, 40);
        assert_ne!(s.load_condition(Scope::All, now), LoadCondition::Storm);
    }

    #[test]
    fn few_tries_say_nothing_and_silence_is_calm() {
        let mut s = LoadMonitor::default();
        let now = come(&mut s, 1000, 1, 1, 4);
        assert_eq!(s.load_condition(Scope::All, now), LoadCondition::Calm);
        let now = come(&mut s, 2000, 3, 10, 90);
        assert_eq!(s.load_condition(Scope::All, now), LoadCondition::Storm);
        assert_eq!(s.load_condition(Scope::All, now.after(Micros(3_000_000))), LoadCondition::Calm);
        assert_eq!(s.active(now), 1);
        assert_eq!(s.active(now.after(Micros(3_000_000))), 0);
    }

    #[test]
    fn scopes_are_bounded() {
        let mut s = LoadMonitor::default();
        for volume in 0..SCOPES as u64 * 2 {
            s.came(0, volume, AttemptKind::First, Micros(volume * 1000));
        }
        assert!(s.windows.len() <= SCOPES + 1);
        assert!(
            s.windows.contains_key(&Scope::All)
                && s.windows.contains_key(&Scope::Volume(SCOPES as u64 * 2 - 1))
        );
    }
}
