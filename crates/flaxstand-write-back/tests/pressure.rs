//! Admission of new writes as space runs out.

use flaxstand_write_back::Micros;
use flaxstand_write_back::pressure::{Admission, AdmissionInputs, Space, admit};

fn space(used: u64, volume_used: u64) -> Space {
    Space { used, limit: 1000, volume_used, volume_limit: 500 }
}
const MAX_ACK_DELAY: Micros = Micros(100);

fn admission(space: Space, is_blocked: bool, is_log_writable: bool) -> Admission {
    admit(AdmissionInputs { space, cost: 10, is_blocked, is_log_writable, max_ack_delay: MAX_ACK_DELAY })
}

#[test]
fn writes_are_delayed_then_passed_through_then_rejected() {
    let admit = |used, is_blocked| admission(space(used, 0), is_blocked, true);
    assert_eq!(admit(0, false), Admission::Buffer { ack_delay: Micros(0) });
    assert_eq!(admit(499, false), Admission::Buffer { ack_delay: Micros(0) });
    let Admission::Buffer { ack_delay } = admit(650, false) else { panic!("not buffered at 65 % fill") };
    assert!((45..=55).contains(&ack_delay.0), "not about half of {MAX_ACK_DELAY:?}: {ack_delay:?}");
    assert_eq!(admit(800, false), Admission::PassThrough);
    assert_eq!(admit(800, true), Admission::Buffer { ack_delay: MAX_ACK_DELAY });
    assert_eq!(admit(995, true), Admission::Reject);
    assert_eq!(admit(995, false), Admission::PassThrough);
}

#[test]
fn a_volume_has_its_own_limit() {
    assert_eq!(admission(space(450, 450), false, true), Admission::PassThrough);
    assert_eq!(admission(space(495, 495), true, true), Admission::Reject);
}

#[test]
fn a_failing_log_takes_no_writes() {
    assert_eq!(admission(space(0, 0), false, false), Admission::PassThrough);
    assert_eq!(admission(space(0, 0), true, false), Admission::Reject);
}
