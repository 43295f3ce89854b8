//! A day: the size and speed of the simulated fleet and the steps of its scenario, fixed by a test or
//! generated from a seed.

use super::faults::{Fault, FaultSpan, Outage};
use super::list_service::{Speed, Style, TargetId};
use flaxstand_gateway::machine::Micros;

/// The virtual time at which every day starts; all other times of a day are relative to it.
pub const START: Micros = Micros(1_000_000_000);

/// Converts seconds to a duration.
pub fn seconds(seconds: f64) -> Micros {
    Micros::from_ms(1000.0 * seconds)
}

/// An action on the fleet.
#[derive(Clone, Debug)]
pub enum Step {
    Drain(Vec<TargetId>),
    Remove(Vec<TargetId>),
    /// Lists removed targets again under their uids.
    Relist(Vec<TargetId>),
    /// Adds new targets at the addresses and with the shards of removed ones.
    Replace(Vec<TargetId>),
    BeginOutage(Outage),
    EndOutage,
    /// Starts or stops rejecting every call to the list service.
    RejectCalls(bool),
    /// The list service sends nothing more on the calls that are open.
    SilenceWatches,
    /// Resets all connections to the list service.
    ResetWatches,
    /// Moves the list service to another address and reloads the settings of all hosts.
    Reload,
    /// Kills a host's process.
    Kill(usize),
    /// Starts a host again, with a list that is this many revisions behind.
    Start {
        host: usize,
        revisions_behind: u64,
    },
}

/// A scenario to play.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub hosts: usize,
    pub targets: usize,
    pub speed: Speed,
    pub style: Style,
    /// How long a host may still send requests to a target after it is notified that the target drains.
    pub grace: Micros,
    pub length: Micros,
    /// Requests per second of all clients together.
    pub requests_per_second: f64,
    /// Transfer rate of the list service's responses.
    pub bytes_per_second: f64,
    /// The probability that a host's turn is delayed between reading the clock and writing.
    pub delayed_turn_rate: f64,
    /// The probability that a connection to a target is slow to establish.
    pub slow_connect_rate: f64,
    pub faults: Vec<FaultSpan>,
    /// The actions on the fleet, each with its time since the start.
    pub steps: Vec<(Micros, Step)>,
}

impl Day {
    /// A day without faults, with a list service that is fast enough for the fleet.
    pub fn without_faults(seed: u64, hosts: usize, targets: usize) -> Self {
        Day {
            seed,
            hosts,
            targets,
            speed: Speed { call_lines: 40.0, lines_per_second: 3000.0, sends_changes: true },
            style: Style::default(),
            grace: seconds(1.0),
            length: seconds(20.0),
            requests_per_second: 40.0,
            bytes_per_second: 20e6,
            delayed_turn_rate: 0.002,
            slow_connect_rate: 0.0,
            faults: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Sets the list service's speed.
    pub fn lines_per_second(self, lines_per_second: f64) -> Self {
        Day { speed: Speed { lines_per_second, ..self.speed }, ..self }
    }

    /// Lets the list service answer watches with full lists only.
    pub fn full_lists_only(self) -> Self {
        Day { speed: Speed { sends_changes: false, ..self.speed }, ..self }
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

    /// Adds an action at this time since the start.
    pub fn step(mut self, at: Micros, step: Step) -> Self {
        self.steps.push((at, step));
        self
    }

    /// Adds a fault that affects calls with this probability between two times in seconds.
    pub fn fault(mut self, fault: Fault, (from, to): (f64, f64), probability: f64) -> Self {
        let (from, to) = (START.after(seconds(from)), START.after(seconds(to)));
        self.faults.push(FaultSpan { fault, from, to, probability });
        self
    }

    /// The first `percent` % of the targets.
    pub fn first_percent(&self, percent: usize) -> Vec<TargetId> {
        (0..self.targets * percent / 100).map(TargetId).collect()
    }
}
