//! Detects stalled polls, both before the response begins and while it arrives.

use crate::machine::Micros;

/// Response time-outs of calls without a long-poll wait, by the number of preceding consecutive calls without
/// a response: the service may be slow rather than down.
const RESPONSE_TIMEOUTS: [Micros; 4] =
    [Micros(1_000_000), Micros(1_000_000), Micros(1_000_000), Micros(2_000_000)];
/// Response time-outs of calls for the full list, which is more work for the service.
const FULL_LIST_TIMEOUTS: [Micros; 4] =
    [Micros(4_000_000), Micros(4_000_000), Micros(8_000_000), Micros(16_000_000)];
/// A response that has begun counts as stalled if no bytes arrive for this long.
const STALLED_AFTER: Micros = Micros(1_500_000);
/// Minimum receive rate of a response after [`MIN_RATE_AFTER`], bytes per second.
const MIN_RATE: u64 = 8 * 1024;
/// Time from the beginning of a response after which the minimum rate applies.
const MIN_RATE_AFTER: Micros = Micros(4_000_000);

/// Returns how long a call may go without a response, in addition to its long-poll wait.
pub(super) fn response_timeout(consecutive_unanswered: usize, is_full_list: bool) -> Micros {
    let timeouts = if is_full_list { FULL_LIST_TIMEOUTS } else { RESPONSE_TIMEOUTS };
    timeouts[consecutive_unanswered.min(timeouts.len() - 1)]
}

/// Receive progress of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseProgress {
    began_at: Micros,
    last_received_at: Micros,
    bytes: u64,
}

impl ResponseProgress {
    /// Starts tracking a response whose first bytes arrive now.
    pub(super) fn begin(bytes: u64, now: Micros) -> Self {
        ResponseProgress { began_at: now, last_received_at: now, bytes }
    }

    /// Records further bytes.
    pub(super) fn record(&mut self, bytes: u64, now: Micros) {
        self.last_received_at = now;
        self.bytes += bytes;
    }

    /// Time at which the response fails unless more bytes arrive.
    pub(super) fn deadline(&self) -> Micros {
        let at_min_rate = Micros(self.bytes * 1_000_000 / MIN_RATE);
        self.last_received_at.after(STALLED_AFTER).min(self.began_at.after(MIN_RATE_AFTER).after(at_min_rate))
    }

    /// Returns whether no bytes have arrived for too long. A response that is past its deadline and has not
    /// stalled is below the minimum rate.
    pub(super) fn has_stalled(&self, now: Micros) -> bool {
        now >= self.last_received_at.after(STALLED_AFTER)
    }
}
