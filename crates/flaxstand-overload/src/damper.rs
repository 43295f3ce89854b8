//! What becomes of a try, and what wait is advised with a refusal.
//!
//! - A repeat is worth a part of what a first try is, in calm as in a storm: so none displaces a first try of
//!   equal worth, and none waits where nothing else does.
//! - In a storm of its volume or plan (or of all) a volume's repeats keep to an even part of what is
//!   served: beyond it they are turned away before they cost anything. First tries never are.
//! - Advice is spread, from half to the whole of what clients heed, so that those who heed it do not come
//!   back as one.

use crate::repeats::{Judged, Kind, Repeats, Try};
use crate::weather::{Scope, Station, Weather, WeatherReport};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// How storms are met. `docs/storms.md` describes every figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Worth of a repeat, as a part of a first try's.
    pub repeat_worth: f64,
    /// Repeats that may pass in a storm, as a share of what is served.
    pub repeat_share: f64,
    /// Repeats a second that may pass in a storm however little is served.
    pub repeat_floor: f64,
    /// How long a client is expected to come back.
    pub patience: Micros,
    /// Longest advised wait that clients heed.
    pub advice_most: Micros,
    /// Tries that were turned away and are remembered.
    pub remembered: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            repeat_worth: 0.1,
            repeat_share: 0.1,
            repeat_floor: 0.5,
            patience: Micros(2_000_000),
            advice_most: Micros(500_000),
            remembered: 1 << 16,
        }
    }
}

/// What becomes of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// It is taken at its full worth.
    Full,
    /// It is taken at a repeat's worth.
    Lessened,
    /// It is refused at once: come back no earlier than after `wait`.
    TurnedAway {
        /// Advised wait.
        wait: Micros,
        /// Whom the wait concerns.
        scope: Scope,
    },
}

/// Repeats that a volume may still send, and when that was reckoned.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: f64,
    at: Micros,
}

/// Most volumes whose allowance is kept: those in a storm.
const ALLOWANCES: usize = 4096;

/// Meets storms for one initiator.
#[derive(Debug)]
pub struct Damper {
    rules: Rules,
    repeats: Repeats,
    station: Station,
    allowances: BTreeMap<u64, Allowance>,
    /// The last weather told of each plan and of all.
    told: BTreeMap<Scope, Weather>,
    turned_away: u64,
}

impl Damper {
    /// Nothing has come yet.
    pub fn new(rules: Rules) -> Self {
        Damper {
            repeats: Repeats::new(rules.patience, rules.remembered),
            rules,
            station: Station::default(),
            allowances: BTreeMap::new(),
            told: BTreeMap::new(),
            turned_away: 0,
        }
    }

    /// A try comes; `draw` is uniform in 0 to 1.
    pub fn came(&mut self, t: &Try, now: Micros, draw: f64) -> Treatment {
        let kind = self.repeats.kind(t, now);
        self.station.came(t.plan, t.volume, kind, now);
        if kind == Kind::First {
            return Treatment::Full;
        }
        let scopes = [Scope::Volume(t.volume), Scope::Plan(t.plan), Scope::All];
        let storm = scopes.into_iter().find(|s| self.station.weather(*s, now) == Weather::Storm);
        let Some(scope) = storm else {
            self.allowances.remove(&t.volume);
            return Treatment::Lessened;
        };
        if self.allow(t.volume, now) {
            return Treatment::Lessened;
        }
        self.turned_away += 1;
        self.turned_away(t, now);
        Treatment::TurnedAway { wait: self.advice(draw), scope }
    }

    /// Takes one of a volume's allowance: an even part, over the volumes that are active, of what may pass.
    fn allow(&mut self, volume: u64, now: Micros) -> bool {
        let goodput = f64::from(self.station.goodput(Scope::All, now)) / 2.0;
        let rate = (goodput * self.rules.repeat_share).max(self.rules.repeat_floor);
        let part = rate / self.station.active(now).max(1) as f64;
        if self.allowances.len() >= ALLOWANCES && !self.allowances.contains_key(&volume) {
            self.allowances.clear();
        }
        // At most a second's worth is saved up, and one at the least.
        let most = part.max(1.0);
        let a = self.allowances.entry(volume).or_insert(Allowance { tokens: most, at: now });
        a.tokens = (a.tokens + part * now.since(a.at).ms() / 1000.0).min(most);
        a.at = now;
        let passes = a.tokens >= 1.0;
        a.tokens -= if passes { 1.0 } else { 0.0 };
        passes
    }

    /// The wait to advise with a refusal, at most what clients heed; `draw` is uniform in 0 to 1.
    pub fn advice(&self, draw: f64) -> Micros {
        Micros((self.rules.advice_most.0 as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as u64)
    }

    /// A try was served.
    pub fn served(&mut self, t: &Try, now: Micros) {
        self.station.served(t.plan, t.volume, now);
    }

    /// A try was refused or given up.
    pub fn turned_away(&mut self, t: &Try, now: Micros) {
        self.repeats.turned_away(t, now);
        self.station.turned_away(t.plan, t.volume, now);
    }

    /// Plans (and all) whose weather has changed since this was last asked, with the reasons.
    pub fn news(&mut self, plans: u16, now: Micros) -> Vec<WeatherReport> {
        let scopes = (0..plans).map(Scope::Plan).chain([Scope::All]);
        let reports: Vec<WeatherReport> = scopes.filter_map(|s| self.station.report(s, now)).collect();
        let mut news = Vec::new();
        for report in reports {
            let told = self.told.entry(report.scope).or_default();
            if *told != report.weather {
                *told = report.weather;
                news.push(report);
            }
        }
        news
    }

    /// How telling repeats went so far.
    pub fn judged(&self) -> Judged {
        self.repeats.judged()
    }

    /// Repeats turned away unseen by the module so far.
    pub fn repeats_turned_away(&self) -> u64 {
        self.turned_away
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn of(volume: u64, extent: u64) -> Try {
        Try { volume, plan: (volume % 2) as u16, class: 0, extent: Some(extent), marked: false }
    }

    /// A second of tries of one volume: so many first ones served, and so many that are turned away and
    /// come back at once. Returns how many repeats were let in.
    fn second(d: &mut Damper, volume: u64, at: u64, first: u64, repeats: u64) -> u64 {
        let mut passed = 0;
        for n in 0..first.max(repeats) {
            let now = Micros(at * 1_000_000 + n * 1_000_000 / first.max(repeats));
            if n < first {
                let t = of(volume, at << 32 | n);
                assert_eq!(d.came(&t, now, 0.5), Treatment::Full, "a first try is never damped");
                d.served(&t, now);
            }
            if n < repeats {
                let t = of(volume, 1 << 60 | n);
                d.turned_away(&t, now);
                passed += u64::from(d.came(&t, now, 0.5) == Treatment::Lessened);
            }
        }
        passed
    }

    #[test]
    fn in_a_storm_repeats_keep_to_an_even_part_and_first_tries_pass() {
        let mut d = Damper::new(Rules::default());
        (1..4).for_each(|at| assert_eq!(second(&mut d, 1, at, 100, 0), 0));
        let (mut stormy, mut other) = (0, 0);
        for at in 4..10 {
            stormy += second(&mut d, 1, at, 100, 900);
            other += second(&mut d, 2, at, 100, 2);
        }
        // A tenth of 200 served a second, over two volumes; before that the storm had to be seen.
        assert!(stormy < 6 * 10 + 250, "{stormy} of 5400 repeats passed");
        assert!(stormy > 6 * 9, "{stormy}: some do pass");
        // The other volume's few repeats all pass: its even part is not used up.
        assert_eq!(other, 12);
        assert!(d.repeats_turned_away() > 4000);
        let news: Vec<String> = d.news(2, Micros(10_000_000)).iter().map(ToString::to_string).collect();
        assert!(news.iter().any(|n| n.contains("storm") && n.contains("plan 1")), "{news:?}");
        assert!(d.news(2, Micros(10_000_000)).is_empty(), "told once");
    }

    #[test]
    fn in_calm_a_repeat_is_taken_at_its_worth() {
        let mut d = Damper::new(Rules::default());
        second(&mut d, 1, 1, 100, 0);
        let t = of(1, 5);
        d.turned_away(&t, Micros(2_000_000));
        assert_eq!(d.came(&t, Micros(2_100_000), 0.5), Treatment::Lessened);
    }

    #[test]
    fn falsely_marked_tries_win_nothing() {
        let mut d = Damper::new(Rules::default());
        second(&mut d, 1, 1, 100, 0);
        let marked = Try { marked: true, ..of(1, 7) };
        assert_eq!(d.came(&marked, Micros(2_000_000), 0.5), Treatment::Lessened, "worth less, never more");
        // Not marked, but the same extent again: found out.
        let t = of(1, 8);
        d.turned_away(&t, Micros(2_000_000));
        assert_ne!(d.came(&t, Micros(2_000_001), 0.5), Treatment::Full);
    }

    proptest! {
        /// Advice never exceeds what clients heed, and draws spread it evenly over half of its length.
        #[test]
        fn advice_is_bounded_and_spread(a in 0.0..1.0f64, b in 0.0..1.0f64) {
            let d = Damper::new(Rules::default());
            let (x, y) = (d.advice(a), d.advice(b));
            prop_assert!(x <= Rules::default().advice_most && x.0 > 0);
            prop_assert_eq!(a < b, x < y || (x == y && a < b));
        }

        /// Whatever comes, a first try is taken in full.
        #[test]
        fn first_tries_are_never_damped(steps in proptest::collection::vec((0..4u64, 0..6u64, 0..3u8), 1..400)) {
            let mut d = Damper::new(Rules::default());
            let mut away = std::collections::BTreeSet::new();
            for (n, (volume, extent, what)) in steps.into_iter().enumerate() {
                let now = Micros(1_000_000 + n as u64 * 3000);
                let t = of(volume, extent);
                match what {
                    0 => {
                        d.turned_away(&t, now);
                        away.insert((volume, extent));
                    }
                    1 => d.served(&t, now),
                    _ => {
                        let treated = d.came(&t, now, 0.3);
                        let repeat = away.remove(&(volume, extent));
                        prop_assert_eq!(treated == Treatment::Full, !repeat);
                        if matches!(treated, Treatment::TurnedAway { .. }) {
                            away.insert((volume, extent));
                        }
                    }
                }
            }
        }
    }
}
