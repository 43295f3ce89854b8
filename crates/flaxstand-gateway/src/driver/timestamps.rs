//! Times at which bytes arrived at a TCP socket, as recorded by the kernel.

use crate::machine::ArrivalTime;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt::ReceiveTimestampns};
use nix::sys::time::TimeSpec;
use rustix::fd::{AsFd, AsRawFd};
use rustix::io::Errno;
use rustix::time::{ClockId, clock_gettime};
use std::io::IoSliceMut;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Bytes read from a socket.
pub(super) struct Received {
    pub(super) count: usize,
    /// Time at which the last of them arrived; `None` if the kernel did not record it.
    pub(super) arrived_at: Option<ArrivalTime>,
}

/// Has the kernel record when bytes arrive at a socket, and at those that it accepts. Returns whether this is
/// supported.
pub(super) fn enable(fd: impl AsFd) -> bool {
    setsockopt(&fd, ReceiveTimestampns, &true).is_ok()
}

/// Reads from a socket that records arrivals.
pub(super) fn receive(fd: impl AsFd, buffer: &mut [u8]) -> Result<Received, Errno> {
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(buffer)];
    let fd = fd.as_fd().as_raw_fd();
    let message = recvmsg::<()>(fd, &mut parts, Some(&mut control), MsgFlags::empty()).map_err(to_errno)?;
    let arrived_at = message.cmsgs().ok().and_then(|mut all| all.find_map(|control| arrival_time(&control)));
    Ok(Received { count: message.bytes, arrived_at })
}

/// Returns the current time, for bytes whose arrival was not recorded.
pub(super) fn current_time() -> ArrivalTime {
    let now = clock_gettime(ClockId::Realtime);
    ArrivalTime(now.tv_sec as u64 * NANOS_PER_SECOND + now.tv_nsec as u64)
}

fn arrival_time(control: &ControlMessageOwned) -> Option<ArrivalTime> {
    match control {
        ControlMessageOwned::ScmTimestampns(at) => {
            Some(ArrivalTime(at.tv_sec() as u64 * NANOS_PER_SECOND + at.tv_nsec() as u64))
        }
        _ => None,
    }
}

fn to_errno(error: nix::errno::Errno) -> Errno {
    Errno::from_raw_os_error(error as i32)
}
