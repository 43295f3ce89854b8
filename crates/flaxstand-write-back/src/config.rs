//! Settings of the buffer.

use crate::record::WallClock;
use crate::retry_budget::WriteOutRetryBudget;
use flaxstand_proto::Micros;

/// Whether and how writes of a class may be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferingMode {
    /// They are passed through.
    Never,
    /// A repeat is harmless as long as no later write of its extent has been executed.
    Idempotent,
    /// Nodes drop repeats for this long after the first attempt that may have been executed; none may be sent
    /// later.
    IdempotencyKey(Micros),
}

/// Limits and delays. `docs/write-back.md` describes each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Most bytes in the buffer, as [`Write::cost`](crate::Write::cost) counts them.
    pub max_bytes: u64,
    /// The same for one volume.
    pub max_volume_bytes: u64,
    /// A write should be on its node after this.
    pub target_age: Micros,
    /// How long a write waits for one that overwrites it.
    pub merge_delay: Micros,
    /// How long records of completed writes wait for others before they are written.
    pub record_delay: Micros,
    /// Longest delay of an acknowledgement as space runs out.
    pub max_ack_delay: Micros,
    /// Most requests and barriers that wait here beside buffered writes.
    pub max_waiting: usize,
    /// A flush is complete once all before it is durable here, instead of on the nodes.
    pub flush_when_durable: bool,
}

impl Default for BufferLimits {
    fn default() -> Self {
        BufferLimits {
            max_bytes: 256 << 20,
            max_volume_bytes: 64 << 20,
            target_age: Micros(5_000_000),
            merge_delay: Micros(20_000),
            record_delay: Micros(50_000),
            max_ack_delay: Micros(50_000),
            max_waiting: 4096,
            flush_when_durable: false,
        }
    }
}

/// Configuration of a [`WriteBackBuffer`](crate::WriteBackBuffer).
#[derive(Clone, Debug)]
pub struct Config {
    /// Limits and delays.
    pub limits: BufferLimits,
    /// Retry-After of a rejection.
    pub retry_after: Micros,
    /// How long nothing is sent to an extent after an attempt that may still run.
    pub key_cooldown: Micros,
    /// Buffering mode by index of the class.
    pub classes: Vec<BufferingMode>,
    /// Bound on retries of write-outs that may have been executed; `None`: unbounded.
    pub retry_budget: Option<WriteOutRetryBudget>,
    /// The host's calendar when the clock of [`Micros`] was 0.
    pub calendar: WallClock,
}

impl Config {
    /// Buffering mode of a class.
    pub(crate) fn mode(&self, class: u16) -> BufferingMode {
        self.classes.get(usize::from(class)).copied().unwrap_or(BufferingMode::Never)
    }

    /// The host's calendar at a time of the clock.
    pub(crate) fn wall_clock(&self, now: Micros) -> WallClock {
        WallClock(self.calendar.0.saturating_add(now.0))
    }

    /// Time that is left of an idempotency key's window; unbounded for a class without one. `None`: the window
    /// is over, or the calendar was set back and can't tell.
    pub(crate) fn key_window_left(&self, class: u16, started: WallClock, now: Micros) -> Option<Micros> {
        let BufferingMode::IdempotencyKey(window) = self.mode(class) else { return Some(Micros(u64::MAX)) };
        let elapsed = self.wall_clock(now).since(started)?;
        (elapsed < window).then(|| window.since(elapsed))
    }
}
