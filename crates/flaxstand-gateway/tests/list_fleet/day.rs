//! A day: how large, how fast, and what happens when. Fixed by a test, or drawn from a seed.

use super::list_service::{Speed, Style, TargetId};
use super::network::{Fault, FaultSpan, Outage};
use flaxstand_gateway::machine::Micros;

/// The clock of every day begins here: other times of a day count from this.
pub const START: Micros = Micros(1_000_000_000);

/// A duration of so many seconds.
pub fn seconds(seconds: f64) -> Micros {
    Micros::from_ms(1000.0 * seconds)
}

/// Something that is done to the fleet.
#[derive(Clone, Debug)]
pub enum Step {
    Drain(Vec<TargetId>),
    Remove(Vec<TargetId>),
    /// Removed targets are listed again under their uids.
    Return(Vec<TargetId>),
    /// New targets take the addresses and shards of removed ones.
    Replace(Vec<TargetId>),
    OutageBegins(Outage),
    OutageEnds,
    /// Every call is turned away, or none any more.
    TurnAway(bool),
    /// What is open at the list service falls silent.
    WatchesFallSilent,
    /// The list service moves, and all hosts are told.
    Reload,
    /// A host's process ends at once.
    Kill(usize),
    /// It starts anew, with a list that is so many revisions old.
    Start {
        host: usize,
        revisions_behind: u64,
    },
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub hosts: usize,
    pub targets: usize,
    pub speed: Speed,
    pub style: Style,
    /// How long a change that counts as told may be ignored.
    pub grace: Micros,
    pub length: Micros,
    /// Requests a second of all clients together.
    pub asks_per_second: f64,
    /// How fast an answer of the list service comes.
    pub bytes_per_second: f64,
    /// Which part of all turns is held up between the reading of the clock and the writing.
    pub held_up: f64,
    /// Which part of all connections to targets comes up late.
    pub late_connections: f64,
    pub faults: Vec<FaultSpan>,
    /// What is done, by the time from the start on.
    pub steps: Vec<(Micros, Step)>,
}

impl Day {
    /// A quiet day: a service that is fast enough for its fleet, and no trouble.
    pub fn quiet(seed: u64, hosts: usize, targets: usize) -> Self {
        Day {
            seed,
            hosts,
            targets,
            speed: Speed { call_lines: 40.0, lines_per_second: 3000.0, tells_changes: true },
            style: Style::default(),
            grace: seconds(1.0),
            length: seconds(20.0),
            asks_per_second: 40.0,
            bytes_per_second: 20e6,
            held_up: 0.002,
            late_connections: 0.0,
            faults: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// With so much work a second done by the list service.
    pub fn lines_per_second(self, lines_per_second: f64) -> Self {
        Day { speed: Speed { lines_per_second, ..self.speed }, ..self }
    }

    /// Watches are answered with whole lists.
    pub fn whole_lists_only(self) -> Self {
        Day { speed: Speed { tells_changes: false, ..self.speed }, ..self }
    }

    pub fn style(self, style: Style) -> Self {
        Day { style, ..self }
    }

    pub fn length(self, length: Micros) -> Self {
        Day { length, ..self }
    }

    pub fn grace(self, grace: Micros) -> Self {
        Day { grace, ..self }
    }

    pub fn bytes_per_second(self, bytes_per_second: f64) -> Self {
        Day { bytes_per_second, ..self }
    }

    /// At this time from the start on, this is done.
    pub fn step(mut self, at: Micros, step: Step) -> Self {
        self.steps.push((at, step));
        self
    }

    /// From one time to another, this part of the calls meets a fault.
    pub fn fault(mut self, fault: Fault, (from, to): (f64, f64), part: f64) -> Self {
        let (from, to) = (START.after(seconds(from)), START.after(seconds(to)));
        self.faults.push(FaultSpan { fault, from, to, part });
        self
    }

    /// The first targets of the list, so many of a hundred.
    pub fn percent(&self, percent: usize) -> Vec<TargetId> {
        (0..self.targets * percent / 100).map(TargetId).collect()
    }
}
