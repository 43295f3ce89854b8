//! How an emulated node works off what it is given: cores shared evenly among the requests in its slots, a
//! queue in turn of arrival, warming up, put-off writes, remembered keys, and trouble. No I/O, no clock.

use flaxstand_gateway::machine::Micros;
use std::collections::VecDeque;

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Speed of a core; 1 does a microsecond of work in a microsecond.
    pub speed: f64,
    /// Requests worked on at a time.
    pub slots: usize,
    /// Requests that may wait beside.
    pub queue: usize,
    /// Share of its power at a cold start.
    pub initial_capacity: f64,
    /// Time from a cold start until it is warm; the share grows evenly.
    pub warm_after: Micros,
    /// It warms with the work it has done too, if that is faster: warm after a tenth of what it could do in
    /// that time once warm.
    pub warm_by_work: bool,
    /// Share of its power lost when overfull: begins at `thrash_at` requests held a core, whole at twice that.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// Work saved when a key is among the last few.
    pub seek: f64,
    /// How many keys it remembers.
    pub remembers: usize,
    /// Share of a write's work that is put off, and how often that is done.
    pub put_off: f64,
    /// See `put_off`.
    pub put_off_every: Micros,
    /// A cold node falls over when sent more than `overload_multiple` times its present power for `slow_start_window`,
    /// and more than `fall_work` of work, microseconds of a core of speed 1.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub slow_start_window: Micros,
    /// See `overload_multiple`.
    pub fall_work: f64,
}

/// What is wrong with a node at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    /// Times slower.
    pub slow: f64,
    /// Share of the machine that something else takes.
    pub neighbour: f64,
}

/// A request given to the node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The caller's number for it.
    pub id: u64,
    /// Microseconds of a core of speed 1.
    pub work: f64,
    /// The item of data.
    pub key: Option<u64>,
    /// Part of its work is put off.
    pub write: bool,
}

/// The job that works off what was put off.
const PUT_OFF: u64 = u64::MAX;
/// While the power changes, it is looked at again after this.
const STEP: Micros = Micros(5000);

/// A node's work.
#[derive(Debug)]
pub struct Model {
    /// What it is.
    pub spec: Spec,
    /// What is wrong.
    pub trouble: Trouble,
    booted: Option<Micros>,
    worked: f64,
    stalled_until: Micros,
    active: Vec<(u64, f64)>,
    waiting: VecDeque<Job>,
    keys: VecDeque<u64>,
    put_off: f64,
    put_off_at: Micros,
    advanced: Micros,
    recent: VecDeque<(Micros, f64)>,
    recent_work: f64,
    fell: bool,
}

impl Model {
    /// A node that starts now, cold or warm.
    pub fn new(spec: Spec, cold: bool, now: Micros) -> Self {
        Model {
            trouble: Trouble { slow: 1.0, neighbour: 0.0 },
            booted: cold.then_some(now),
            worked: 0.0,
            stalled_until: Micros(0),
            active: Vec::new(),
            waiting: VecDeque::new(),
            keys: VecDeque::new(),
            put_off: 0.0,
            put_off_at: now.after(spec.put_off_every),
            advanced: now,
            recent: VecDeque::new(),
            recent_work: 0.0,
            fell: false,
            spec,
        }
    }

    /// Requests held.
    pub fn held(&self) -> usize {
        self.active.len() + self.waiting.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Share of its cores that is busy.
    pub fn busy(&self) -> f64 {
        (self.active.len() as f64 / self.spec.cores).min(1.0)
    }

    /// Whether it fell over: it does no more work in this life.
    pub fn fell(&self) -> bool {
        self.fell
    }

    /// Share of its power that it has by warmth.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(booted) = self.booted else { return 1.0 };
        let whole = self.spec.warm_after.0.max(1) as f64;
        let by_work = 10.0 * self.worked / (whole * self.spec.cores * self.spec.speed);
        let part = now.since(booted).0 as f64 / whole;
        let part = if self.spec.warm_by_work { part.max(by_work) } else { part };
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * part.min(1.0)
    }

    /// The time up to which the node has worked.
    pub fn advanced_to(&self) -> Micros {
        self.advanced
    }

    /// Work left of the job that has been active for longest, microseconds.
    pub fn first_work_left(&self) -> Option<f64> {
        self.active.first().map(|(_, work_left)| *work_left)
    }

    /// Work a microsecond for each active job.
    fn rate(&self, now: Micros) -> f64 {
        if self.fell || self.active.is_empty() {
            return 0.0;
        }
        let cores = (self.spec.cores / self.active.len() as f64).min(1.0);
        let over = self.held() as f64 / (self.spec.cores * self.spec.thrash_at.max(1e-9)) - 1.0;
        let left = (1.0 - self.trouble.neighbour) / self.trouble.slow
            * (1.0 - self.spec.thrash * over.clamp(0.0, 1.0));
        cores * self.spec.speed * self.warmth(now) * left
    }

    /// Stands still for a time: nothing is worked on, everything is kept.
    pub fn stall(&mut self, duration: Micros, now: Micros) {
        self.stalled_until = self.stalled_until.max(now.after(duration));
    }

    /// Takes a request; false: the queue is full. Call `advance` first.
    pub fn take(&mut self, job: Job, now: Micros) -> bool {
        self.weigh(job.work, now);
        let room = self.slots_taken() < self.spec.slots;
        if !room && self.waiting.len() >= self.spec.queue {
            return false;
        }
        if room {
            self.start(job);
        } else {
            self.waiting.push_back(job);
        }
        true
    }

    /// All that is sent to a cold node weighs on it, what it turns away included.
    fn weigh(&mut self, work: f64, now: Micros) {
        if self.warmth(now) >= 1.0 {
            return;
        }
        self.recent.push_back((now, work));
        self.recent_work += work;
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= self.spec.slow_start_window) {
            self.recent_work -= self.recent.pop_front().map_or(0.0, |(_, work)| work);
        }
        let power = self.spec.cores * self.spec.speed * self.warmth(now);
        let bears = self.spec.overload_multiple * power * self.spec.slow_start_window.0 as f64;
        self.fell |= self.recent_work > bears.max(self.spec.fall_work);
    }

    fn start(&mut self, job: Job) {
        let mut work = job.work;
        if let Some(key) = job.key {
            if self.keys.contains(&key) {
                work *= 1.0 - self.spec.seek;
            }
            self.keys.retain(|k| *k != key);
            self.keys.push_back(key);
            while self.keys.len() > self.spec.remembers {
                self.keys.pop_front();
            }
        }
        if job.write {
            self.put_off += work * self.spec.put_off;
            work *= 1.0 - self.spec.put_off;
        }
        self.active.push((job.id, work.max(1.0)));
    }

    /// Work beside the requests, that holds no slot: a handshake.
    pub fn burden(&mut self, work: f64, now: Micros) {
        self.weigh(work, now);
        self.active.push((PUT_OFF, work.max(1.0)));
    }

    /// Calls a request off; false: it is not held.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.held();
        self.active.retain(|(a, _)| *a != id);
        self.waiting.retain(|w| w.id != id);
        self.fill();
        self.held() < before
    }

    /// What was put off takes a share of the cores, and no slot.
    fn slots_taken(&self) -> usize {
        self.active.iter().filter(|(id, _)| *id != PUT_OFF).count()
    }

    fn fill(&mut self) {
        while self.slots_taken() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { break };
            self.start(job);
        }
    }

    /// Works until now. Returns what was finished, in order.
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
            // A microsecond is the least step: what is left of less is done.
            let ended: Vec<u64> = self.active.iter().filter(|(_, l)| *l < 0.5).map(|(id, _)| *id).collect();
            self.active.retain(|(_, left)| *left >= 0.5);
            finished.extend(ended.into_iter().filter(|id| *id != PUT_OFF));
            self.fill();
            if self.put_off > 0.0 && until >= self.put_off_at {
                self.active.push((PUT_OFF, std::mem::take(&mut self.put_off)));
                self.put_off_at = until.after(self.spec.put_off_every);
            }
        }
        finished
    }

    /// When something may be finished next, seen from `now`.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if self.fell {
            return None;
        }
        if now < self.stalled_until {
            return (self.held() > 0).then_some(self.stalled_until);
        }
        let rate = self.rate(now);
        let least = self.active.iter().map(|(_, left)| *left).fold(f64::INFINITY, f64::min);
        let done = (rate > 0.0).then(|| now.after(Micros((least / rate).ceil().min(1e12) as u64)));
        let step = (self.warmth(now) < 1.0 && rate > 0.0).then(|| now.after(STEP));
        let put_off = (self.put_off > 0.0).then_some(self.put_off_at.max(Micros(now.0 + 1)));
        [done, step, put_off].into_iter().flatten().min()
    }
}
