//! Resource model of an emulated node: processor sharing among the requests in its slots, a FIFO queue,
//! warm-up, deferred writes, cached keys, and degradation. No I/O, no clock.

use flaxstand_gateway::machine::Micros;
use std::collections::VecDeque;

/// Resources of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Speed of a core; at 1 it does a microsecond of work in a microsecond.
    pub speed: f64,
    /// Requests executed concurrently.
    pub slots: usize,
    /// Capacity of the queue.
    pub queue: usize,
    /// Share of its full power at a cold start.
    pub initial_capacity: f64,
    /// Warm-up time after a cold start; the power grows linearly.
    pub warm_after: Micros,
    /// Whether completed work shortens the warm-up: the node is also warm once it has done a tenth of the
    /// work that it could do in `warm_after` at full power.
    pub warm_by_work: bool,
    /// Share of its power lost under overload: the loss begins at `thrash_at` requests per core and is
    /// complete at twice that number.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// Share of the work saved when the key is cached.
    pub seek: f64,
    /// Capacity of the key cache (least recently used).
    pub cached_keys: usize,
    /// Share of a write's work that is deferred.
    pub deferred_share: f64,
    /// Interval at which deferred work is executed.
    pub deferral_interval: Micros,
    /// A cold node fails when it receives more than `overload_multiple` times its current power within
    /// `slow_start_window`, and more than `overload_min_work`, in microseconds of a core of speed 1.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub slow_start_window: Micros,
    /// See `overload_multiple`.
    pub overload_min_work: f64,
}

/// Current degradation of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Degradation {
    /// Slow-down factor.
    pub slow: f64,
    /// Share of the machine that another process takes.
    pub neighbour: f64,
}

/// A request for the node to execute.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Identifier chosen by the caller.
    pub id: u64,
    /// Work, in microseconds of a core of speed 1.
    pub work: f64,
    /// Key of the item.
    pub key: Option<u64>,
    /// Whether it is a write, part of whose work is deferred.
    pub write: bool,
}

/// Identifier of the job that executes deferred work.
const DEFERRED_JOB: u64 = u64::MAX;
/// Interval at which the rate is recomputed while the power changes.
const STEP: Micros = Micros(5000);

/// Execution state of a node.
#[derive(Debug)]
pub struct Model {
    /// Resources.
    pub spec: Spec,
    /// Current degradation.
    pub degradation: Degradation,
    booted: Option<Micros>,
    worked: f64,
    stalled_until: Micros,
    active: Vec<(u64, f64)>,
    waiting: VecDeque<Job>,
    keys: VecDeque<u64>,
    deferred_work: f64,
    deferred_until: Micros,
    advanced: Micros,
    recent: VecDeque<(Micros, f64)>,
    recent_work: f64,
    overloaded: bool,
}

impl Model {
    /// Creates a node that starts now, cold or warm.
    pub fn new(spec: Spec, cold: bool, now: Micros) -> Self {
        Model {
            degradation: Degradation { slow: 1.0, neighbour: 0.0 },
            booted: cold.then_some(now),
            worked: 0.0,
            stalled_until: Micros(0),
            active: Vec::new(),
            waiting: VecDeque::new(),
            keys: VecDeque::new(),
            deferred_work: 0.0,
            deferred_until: now.after(spec.deferral_interval),
            advanced: now,
            recent: VecDeque::new(),
            recent_work: 0.0,
            overloaded: false,
            spec,
        }
    }

    /// Number of requests in slots and in the queue.
    pub fn held(&self) -> usize {
        self.active.len() + self.waiting.len()
    }

    /// Number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the share of its cores that is busy.
    pub fn busy(&self) -> f64 {
        (self.active.len() as f64 / self.spec.cores).min(1.0)
    }

    /// Returns whether the node failed under overload; it stays failed until it is restarted.
    pub fn overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns the share of its full power that is available at this stage of its warm-up.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(booted) = self.booted else { return 1.0 };
        let warm_up = self.spec.warm_after.0.max(1) as f64;
        let by_work = 10.0 * self.worked / (warm_up * self.spec.cores * self.spec.speed);
        let part = now.since(booted).0 as f64 / warm_up;
        let part = if self.spec.warm_by_work { part.max(by_work) } else { part };
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * part.min(1.0)
    }

    /// Returns the time up to which the model was advanced.
    pub fn advanced_to(&self) -> Micros {
        self.advanced
    }

    /// Returns the remaining work of the job that has been active for longest, in microseconds.
    pub fn first_work_left(&self) -> Option<f64> {
        self.active.first().map(|(_, work_left)| *work_left)
    }

    /// Returns the work done per microsecond for each active job.
    fn rate(&self, now: Micros) -> f64 {
        if self.overloaded || self.active.is_empty() {
            return 0.0;
        }
        let cores = (self.spec.cores / self.active.len() as f64).min(1.0);
        let over = self.held() as f64 / (self.spec.cores * self.spec.thrash_at.max(1e-9)) - 1.0;
        let left = (1.0 - self.degradation.neighbour) / self.degradation.slow
            * (1.0 - self.spec.thrash * over.clamp(0.0, 1.0));
        cores * self.spec.speed * self.warmth(now) * left
    }

    /// Stalls for a time: no work is done, all requests stay.
    pub fn stall(&mut self, duration: Micros, now: Micros) {
        self.stalled_until = self.stalled_until.max(now.after(duration));
    }

    /// Accepts a request; returns false if the queue is full. Call `advance` first.
    pub fn accept(&mut self, job: Job, now: Micros) -> bool {
        self.track_load(job.work, now);
        let has_slot = self.slots_taken() < self.spec.slots;
        if !has_slot && self.waiting.len() >= self.spec.queue {
            return false;
        }
        if has_slot {
            self.start(job);
        } else {
            self.waiting.push_back(job);
        }
        true
    }

    /// Counts the work sent to a cold node, including requests that it rejects, and fails the node on
    /// overload.
    fn track_load(&mut self, work: f64, now: Micros) {
        if self.warmth(now) >= 1.0 {
            return;
        }
        self.recent.push_back((now, work));
        self.recent_work += work;
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= self.spec.slow_start_window) {
            self.recent_work -= self.recent.pop_front().map_or(0.0, |(_, work)| work);
        }
        let power = self.spec.cores * self.spec.speed * self.warmth(now);
        let limit = self.spec.overload_multiple * power * self.spec.slow_start_window.0 as f64;
        self.overloaded |= self.recent_work > limit.max(self.spec.overload_min_work);
    }

    fn start(&mut self, job: Job) {
        let mut work = job.work;
        if let Some(key) = job.key {
            if self.keys.contains(&key) {
                work *= 1.0 - self.spec.seek;
            }
            self.keys.retain(|k| *k != key);
            self.keys.push_back(key);
            while self.keys.len() > self.spec.cached_keys {
                self.keys.pop_front();
            }
        }
        if job.write {
            self.deferred_work += work * self.spec.deferred_share;
            work *= 1.0 - self.spec.deferred_share;
        }
        self.active.push((job.id, work.max(1.0)));
    }

    /// Adds work that takes no slot, such as a handshake.
    pub fn add_overhead(&mut self, work: f64, now: Micros) {
        self.track_load(work, now);
        self.active.push((DEFERRED_JOB, work.max(1.0)));
    }

    /// Cancels a request; returns false if the node does not hold it.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.held();
        self.active.retain(|(a, _)| *a != id);
        self.waiting.retain(|w| w.id != id);
        self.fill();
        self.held() < before
    }

    /// Deferred work takes a share of the cores, but no slot.
    fn slots_taken(&self) -> usize {
        self.active.iter().filter(|(id, _)| *id != DEFERRED_JOB).count()
    }

    fn fill(&mut self) {
        while self.slots_taken() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { break };
            self.start(job);
        }
    }

    /// Advances the model to `now`. Returns the finished requests, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<u64> {
        let mut finished = Vec::new();
        while self.advanced < now {
            let from = self.advanced;
            if from < self.stalled_until {
                self.advanced = self.stalled_until.min(now);
                continue;
            }
            let until = self.next(from).map_or(now, |at| at.min(now)).max(Micros(from.0 + 1));
            let done = self.rate(from) * until.since(from).0 as f64;
            self.advanced = until;
            self.worked += done * self.active.len() as f64;
            self.active.iter_mut().for_each(|(_, left)| *left -= done);
            // The time step is at least a microsecond, so a job with less work left is done.
            let ended: Vec<u64> = self.active.iter().filter(|(_, l)| *l < 0.5).map(|(id, _)| *id).collect();
            self.active.retain(|(_, left)| *left >= 0.5);
            finished.extend(ended.into_iter().filter(|id| *id != DEFERRED_JOB));
            self.fill();
            if self.deferred_work > 0.0 && until >= self.deferred_until {
                self.active.push((DEFERRED_JOB, std::mem::take(&mut self.deferred_work)));
                self.deferred_until = until.after(self.spec.deferral_interval);
            }
        }
        finished
    }

    /// Returns the next time after `now` at which the state may change.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if self.overloaded {
            return None;
        }
        if now < self.stalled_until {
            return (self.held() > 0).then_some(self.stalled_until);
        }
        let rate = self.rate(now);
        let least = self.active.iter().map(|(_, left)| *left).fold(f64::INFINITY, f64::min);
        let done = (rate > 0.0).then(|| now.after(Micros((least / rate).ceil().min(1e12) as u64)));
        let step = (self.warmth(now) < 1.0 && rate > 0.0).then(|| now.after(STEP));
        let deferred_work = (self.deferred_work > 0.0).then_some(self.deferred_until.max(Micros(now.0 + 1)));
        [done, step, deferred_work].into_iter().flatten().min()
    }
}
