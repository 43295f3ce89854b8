//! What becomes of a new write as space runs out: taken, taken slowly, sent through, refused.

use flaxstand_proto::Micros;

/// Share of the space up to which writes are taken as fast as the disk is.
const FREELY: f64 = 0.5;
/// Share from which they go through.
const THROUGH: f64 = 0.8;

/// What is used, and of what.
#[derive(Clone, Copy, Debug)]
pub struct Space {
    /// Bytes that live in the buffer.
    pub used: u64,
    /// Bytes that may.
    pub most: u64,
    /// Bytes of the write's volume that live in the buffer.
    pub volume_used: u64,
    /// Bytes of one volume that may.
    pub volume_most: u64,
}

impl Space {
    /// The fuller of the two, 0 to 1 (and above).
    pub fn fill(&self) -> f64 {
        let share = |used: u64, most: u64| used as f64 / most.max(1) as f64;
        share(self.used, self.most).max(share(self.volume_used, self.volume_most))
    }
}

/// What becomes of a write that may be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is buffered; its acknowledgement leaves no earlier than after this.
    WriteBackBuffer {
        /// From when it came.
        slowed: Micros,
    },
    /// It goes through to its node.
    Through,
    /// It is refused.
    Refuse,
}

/// Decides. `blocked`: earlier writes to its place are still here, so that it could not go through now.
/// `healthy`: the log takes records.
pub fn admit(space: Space, cost: u64, blocked: bool, healthy: bool, slow_most: Micros) -> Admission {
    let fits = space.used + cost <= space.most && space.volume_used + cost <= space.volume_most;
    let fill = space.fill();
    if healthy && fits && fill < THROUGH {
        let part = ((fill - FREELY) / (THROUGH - FREELY)).max(0.0);
        return Admission::WriteBackBuffer { slowed: Micros((slow_most.0 as f64 * part) as u64) };
    }
    // Through, it would have to wait for what is before it: then the space that is left serves it better.
    match (blocked, healthy && fits) {
        (false, _) => Admission::Through,
        (true, true) => Admission::WriteBackBuffer { slowed: slow_most },
        (true, false) => Admission::Refuse,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn space(used: u64, volume_used: u64) -> Space {
        Space { used, most: 1000, volume_used, volume_most: 500 }
    }
    const SLOW: Micros = Micros(100);

    #[test]
    fn slower_then_through_then_refused() {
        let admit = |used, blocked| admit(space(used, 0), 10, blocked, true, SLOW);
        assert_eq!(admit(0, false), Admission::WriteBackBuffer { slowed: Micros(0) });
        assert_eq!(admit(499, false), Admission::WriteBackBuffer { slowed: Micros(0) });
        let Admission::WriteBackBuffer { slowed } = admit(650, false) else { panic!("still taken") };
        assert!((45..=55).contains(&slowed.0), "half-way: {slowed:?}");
        assert_eq!(admit(800, false), Admission::Through);
        assert_eq!(admit(800, true), Admission::WriteBackBuffer { slowed: SLOW });
        assert_eq!(admit(995, true), Admission::Refuse);
        assert_eq!(admit(995, false), Admission::Through);
    }

    #[test]
    fn a_volume_has_a_bound_of_its_own() {
        assert_eq!(admit(space(450, 450), 10, false, true, SLOW), Admission::Through);
        assert_eq!(admit(space(495, 495), 10, true, true, SLOW), Admission::Refuse);
    }

    #[test]
    fn a_log_in_trouble_takes_nothing() {
        assert_eq!(admit(space(0, 0), 10, false, false, SLOW), Admission::Through);
        assert_eq!(admit(space(0, 0), 10, true, false, SLOW), Admission::Refuse);
    }
}
