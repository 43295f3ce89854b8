//! Configuration of the buffer.

use crate::record::WallClock;
use crate::retry_budget::WriteOutRetryBudget;
use flaxstand_proto::Micros;

/// Buffering mode of a class of writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferingMode {
    /// Writes are passed through.
    Never,
    /// Writes may be retried as long as no later write of the same extent has been executed.
    Idempotent,
    /// Nodes drop duplicates for this time after the first attempt that may have been executed. No attempt
    /// may be sent later.
    IdempotencyKey(Micros),
}

/// Limits and delays. `docs/write-back.md` describes each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Maximum size of the buffer in bytes, as counted by [`Write::cost`](crate::Write::cost).
    pub max_bytes: u64,
    /// Maximum size per volume, counted in the same way.
    pub max_volume_bytes: u64,
    /// Target for the time from acceptance of a write to its write-out.
    pub target_age: Micros,
    /// Time for which a write-out is delayed so that a later write can replace the write.
    pub merge_delay: Micros,
    /// Maximum time for which completion records wait to share a batch with other records.
    pub record_delay: Micros,
    /// Maximum delay of an acknowledgement as space runs out.
    pub max_ack_delay: Micros,
    /// Maximum number of waiting requests and barriers, not counting buffered writes.
    pub max_waiting: usize,
    /// Whether a flush is complete once earlier writes are durable in the log, instead of on the nodes.
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
    /// Time for which nothing is sent to an extent after an attempt that may still run.
    pub key_cooldown: Micros,
    /// Buffering mode by index of the class.
    pub classes: Vec<BufferingMode>,
    /// Limit on retries of write-outs that may have been executed; `None` for no limit.
    pub retry_budget: Option<WriteOutRetryBudget>,
    /// Wall-clock time at time 0 of the monotonic clock ([`Micros`]).
    pub wall_clock_origin: WallClock,
}

impl Config {
    /// Returns the buffering mode of a class.
    pub(crate) fn mode(&self, class: u16) -> BufferingMode {
        self.classes.get(usize::from(class)).copied().unwrap_or(BufferingMode::Never)
    }

    /// Converts a time of the monotonic clock to wall-clock time.
    pub(crate) fn wall_clock(&self, now: Micros) -> WallClock {
        WallClock(self.wall_clock_origin.0.saturating_add(now.0))
    }

    /// Returns the remaining time of an idempotency window; unbounded for a class without one. Returns `None`
    /// if the window is over, or if the wall clock was set back so that the elapsed time is unknown.
    pub(crate) fn key_window_left(&self, class: u16, started: WallClock, now: Micros) -> Option<Micros> {
        let BufferingMode::IdempotencyKey(window) = self.mode(class) else { return Some(Micros(u64::MAX)) };
        let elapsed = self.wall_clock(now).since(started)?;
        (elapsed < window).then(|| window.since(elapsed))
    }
}
