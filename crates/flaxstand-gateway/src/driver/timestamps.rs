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
    /// Time at which the last of them arrived, unless that is ignored.
    pub(super) arrived_at: Option<ArrivalTime>,
}

/// Has the kernel record when bytes arrive at a socket, and at those that it accepts. Returns whether this is
/// supported.
pub(super) fn enable(fd: impl AsFd) -> bool {
    setsockopt(&fd, ReceiveTimestampns, &true).is_ok()
}

/// Reads from a socket that records arrivals. Where the kernel has recorded none, the time of the read counts.
pub(super) fn receive(fd: impl AsFd, buffer: &mut [u8]) -> Result<Received, Errno> {
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(buffer)];
    let fd = fd.as_fd().as_raw_fd();
    let message = recvmsg::<()>(fd, &mut parts, Some(&mut control), MsgFlags::empty()).map_err(to_errno)?;
    let recorded = message.cmsgs().ok().and_then(|mut all| all.find_map(|control| arrival_time(&control)));
    Ok(Received { count: message.bytes, arrived_at: Some(recorded.unwrap_or_else(current_time)) })
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
