//! When to try again: budgets, waits that were told, back-off.

use crate::core::Config;
use flaxstand_proto::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Volumes whose wait is remembered.
const VOLUMES: usize = 4096;

/// What a client knows of when it may send.
#[derive(Debug)]
pub(crate) struct Pace {
    rng: Pcg64Mcg,
    /// Calls and retries lately.
    calls: VecDeque<Micros>,
    retries: VecDeque<Micros>,
    /// Nothing goes before this; nothing of a volume goes before its own.
    all_until: Micros,
    volumes: BTreeMap<u64, Micros>,
    /// The last wait between calls of the initiator.
    back_off: Micros,
}

impl Pace {
    pub(crate) fn new(seed: u64) -> Self {
        Pace {
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: VecDeque::new(),
            retries: VecDeque::new(),
            all_until: Micros(0),
            volumes: BTreeMap::new(),
            back_off: Micros(0),
        }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn called(&mut self, now: Micros) {
        self.calls.push_back(now);
    }

    /// Takes a retry from the budget, if one is left.
    pub(crate) fn may_retry(&mut self, config: &Config, now: Micros) -> bool {
        for times in [&mut self.calls, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > config.budget_span) {
                times.pop_front();
            }
        }
        let allowed = config.budget_floor + config.budget_ratio * self.calls.len() as f64;
        let may = (self.retries.len() + 1) as f64 <= allowed;
        if may {
            self.retries.push_back(now);
        }
        may
    }

    /// The wait before the so manieth retry (from 1): drawn between nothing and an end that doubles, after what
    /// the initiator advised.
    pub(crate) fn wait(&mut self, config: &Config, retry: u32, advised: Micros) -> Micros {
        let end = config.retry_first.0.saturating_mul(1 << retry.min(20).saturating_sub(1));
        let end = end.min(config.retry_most.0);
        advised.after(Micros((end as f64 * self.draw()) as u64))
    }

    /// Nothing before then.
    pub(crate) fn hold_all(&mut self, until: Micros) {
        self.all_until = self.all_until.max(until);
    }

    /// Nothing of the volume before then.
    pub(crate) fn hold_volume(&mut self, volume: u64, until: Micros, now: Micros) {
        if self.volumes.len() >= VOLUMES {
            self.volumes.retain(|_, until| *until > now);
        }
        if self.volumes.len() < VOLUMES || self.volumes.contains_key(&volume) {
            let held = self.volumes.entry(volume).or_default();
            *held = (*held).max(until);
        }
    }

    /// When something of a volume may go at the earliest.
    pub(crate) fn not_before(&self, volume: u64) -> Micros {
        self.volumes.get(&volume).copied().unwrap_or_default().max(self.all_until)
    }

    /// The wait before the initiator is called again: decorrelated, between the first and three times the
    /// last, after what it told.
    pub(crate) fn call_again(&mut self, config: &Config, told: Micros) -> Micros {
        let (first, last) =
            (config.reconnect_first.0 as f64, self.back_off.0.max(config.reconnect_first.0) as f64);
        let wait = first + (last * 3.0 - first) * self.draw();
        self.back_off = Micros(wait as u64).min(config.reconnect_most);
        told.after(if told > Micros(0) { Micros((first * self.draw()) as u64) } else { self.back_off })
    }

    /// The initiator is there.
    pub(crate) fn connected(&mut self) {
        self.back_off = Micros(0);
    }
}
