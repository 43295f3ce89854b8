//! What becomes of a new write as space runs out: buffered, acknowledged late, passed through, rejected.

use flaxstand_proto::Micros;

/// Part of the space up to which writes are acknowledged as fast as the disk is.
const ACK_DELAY_FROM: f64 = 0.5;
/// Part of the space from which writes are passed through.
const PASS_THROUGH_FROM: f64 = 0.8;

/// Space that is used, and its limits. Bytes.
#[derive(Clone, Copy, Debug)]
pub struct Space {
    /// Used by all buffered writes.
    pub used: u64,
    /// Most that may be.
    pub limit: u64,
    /// Used by buffered writes of the new write's volume.
    pub volume_used: u64,
    /// Most that may be.
    pub volume_limit: u64,
}

impl Space {
    /// Part that is used, of the fuller of the two limits: 0 to 1, and above.
    pub fn fill(&self) -> f64 {
        let part = |used: u64, limit: u64| used as f64 / limit.max(1) as f64;
        part(self.used, self.limit).max(part(self.volume_used, self.volume_limit))
    }

    fn fits(&self, cost: u64) -> bool {
        self.used + cost <= self.limit && self.volume_used + cost <= self.volume_limit
    }
}

/// What the decision on a new write depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Space before it.
    pub space: Space,
    /// Bytes that it takes.
    pub cost: u64,
    /// Earlier writes of its extent are still here, so that it could not be passed through now.
    pub is_blocked: bool,
    /// The log takes records.
    pub is_log_writable: bool,
    /// Longest delay of an acknowledgement.
    pub max_ack_delay: Micros,
}

/// What becomes of a write that may be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is buffered.
    Buffer {
        /// It is acknowledged no earlier than this after its arrival.
        ack_delay: Micros,
    },
    /// It is passed through to its node.
    PassThrough,
    /// It is rejected.
    Reject,
}

/// Decides on a new write. From half full on acknowledgements are delayed ever more, so that writers slow down;
/// from 80 % on writes are passed through, and are buffered as long as they fit where they can't be.
pub fn admit(inputs: AdmissionInputs) -> Admission {
    let AdmissionInputs { space, cost, is_blocked, is_log_writable, max_ack_delay } = inputs;
    let can_buffer = is_log_writable && space.fits(cost);
    let fill = space.fill();
    if can_buffer && fill < PASS_THROUGH_FROM {
        let part = ((fill - ACK_DELAY_FROM) / (PASS_THROUGH_FROM - ACK_DELAY_FROM)).max(0.0);
        return Admission::Buffer { ack_delay: Micros((max_ack_delay.0 as f64 * part) as u64) };
    }
    if !is_blocked {
        return Admission::PassThrough;
    }
    // Passed through, it would have to wait for what is before it: the space that is left serves it better.
    if can_buffer { Admission::Buffer { ack_delay: max_ack_delay } } else { Admission::Reject }
}
