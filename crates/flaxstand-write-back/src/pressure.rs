//! Admission of new writes as space runs out: they are buffered, acknowledged late, passed through or
//! rejected.

use flaxstand_proto::Micros;

/// Fill level from which acknowledgements are delayed. Below it they follow as soon as the write is durable.
const ACK_DELAY_FROM: f64 = 0.5;
/// Fill level from which writes are passed through.
const PASS_THROUGH_FROM: f64 = 0.8;

/// Used space and its limits, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Space {
    /// Used by all buffered writes.
    pub used: u64,
    /// Limit of `used`.
    pub limit: u64,
    /// Used by the buffered writes of the new write's volume.
    pub volume_used: u64,
    /// Limit of `volume_used`.
    pub volume_limit: u64,
}

impl Space {
    /// Returns the used fraction of the limit that is closer to exhaustion; may exceed 1.
    pub fn fill(&self) -> f64 {
        let fraction = |used: u64, limit: u64| used as f64 / limit.max(1) as f64;
        fraction(self.used, self.limit).max(fraction(self.volume_used, self.volume_limit))
    }

    fn fits(&self, cost: u64) -> bool {
        self.used + cost <= self.limit && self.volume_used + cost <= self.volume_limit
    }
}

/// Inputs of the admission decision on a new write.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Space used before the write.
    pub space: Space,
    /// Bytes that the write needs.
    pub cost: u64,
    /// Whether earlier writes of the extent are pending, so that the write can't be passed through
    /// immediately.
    pub is_blocked: bool,
    /// Whether the log takes records.
    pub is_log_writable: bool,
    /// Maximum delay of an acknowledgement.
    pub max_ack_delay: Micros,
}

/// Admission decision on a write that may be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Buffer the write.
    Buffer {
        /// Minimum time from arrival to acknowledgement.
        ack_delay: Micros,
    },
    /// Pass the write through to its node.
    PassThrough,
    /// Reject the write.
    Reject,
}

/// Decides on a new write. From 50 % fill on, acknowledgements are increasingly delayed to slow writers down.
/// From 80 % on, and whenever a write does not fit or the log takes no records, writes are passed through.
/// Those that can't be passed through are buffered as long as they fit, and rejected otherwise.
pub fn admit(inputs: AdmissionInputs) -> Admission {
    let AdmissionInputs { space, cost, is_blocked, is_log_writable, max_ack_delay } = inputs;
    let can_buffer = is_log_writable && space.fits(cost);
    let fill = space.fill();
    if can_buffer && fill < PASS_THROUGH_FROM {
        let fraction = ((fill - ACK_DELAY_FROM) / (PASS_THROUGH_FROM - ACK_DELAY_FROM)).max(0.0);
        return Admission::Buffer { ack_delay: Micros((max_ack_delay.0 as f64 * fraction) as u64) };
    }
    if !is_blocked {
        return Admission::PassThrough;
    }
    // A pass-through would have to wait for the earlier writes of the extent, so the remaining space is used.
    if can_buffer { Admission::Buffer { ack_delay: max_ack_delay } } else { Admission::Reject }
}
