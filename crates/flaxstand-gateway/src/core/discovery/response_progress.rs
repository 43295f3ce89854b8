//! When a polled call has stalled: before its response began, and while it arrives.

use crate::machine::Micros;

/// Time without a response after which a call that does not wait for changes has failed, by how many calls in
/// a row before it had no response: the service may be slow rather than gone.
const RESPONSE_TIMEOUTS: [Micros; 4] =
    [Micros(1_000_000), Micros(1_000_000), Micros(1_000_000), Micros(2_000_000)];
/// The same for a call of the full list, which is more work for the service.
const FULL_LIST_TIMEOUTS: [Micros; 4] =
    [Micros(4_000_000), Micros(4_000_000), Micros(8_000_000), Micros(16_000_000)];
/// A response that has begun has stalled when nothing more of it arrived for this long.
const STALLED_AFTER: Micros = Micros(1_500_000);
/// Slowest rate at which a response may arrive after [`MIN_RATE_AFTER`], bytes a second.
const MIN_RATE: u64 = 8 * 1024;
/// Time from the beginning of a response before its rate counts.
const MIN_RATE_AFTER: Micros = Micros(4_000_000);

/// How long a call may go without a response, beyond what it asks the service to wait.
pub(super) fn response_timeout(consecutive_unanswered: usize, is_full_list: bool) -> Micros {
    let timeouts = if is_full_list { FULL_LIST_TIMEOUTS } else { RESPONSE_TIMEOUTS };
    timeouts[consecutive_unanswered.min(timeouts.len() - 1)]
}

/// How far a response has arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseProgress {
    began_at: Micros,
    last_received_at: Micros,
    bytes: u64,
}

impl ResponseProgress {
    /// A response whose first bytes arrive now.
    pub(super) fn begin(bytes: u64, now: Micros) -> Self {
        ResponseProgress { began_at: now, last_received_at: now, bytes }
    }

    /// More of it arrived.
    pub(super) fn record(&mut self, bytes: u64, now: Micros) {
        self.last_received_at = now;
        self.bytes += bytes;
    }

    /// When it has failed if nothing more arrives.
    pub(super) fn deadline(&self) -> Micros {
        let at_min_rate = Micros(self.bytes * 1_000_000 / MIN_RATE);
        self.last_received_at.after(STALLED_AFTER).min(self.began_at.after(MIN_RATE_AFTER).after(at_min_rate))
    }

    /// Whether nothing of it has arrived for too long. One that is past its deadline and has not stalled is
    /// too slow.
    pub(super) fn has_stalled(&self, now: Micros) -> bool {
        now >= self.last_received_at.after(STALLED_AFTER)
    }
}
