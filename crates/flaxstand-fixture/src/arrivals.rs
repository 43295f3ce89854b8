//! Has the kernel record when bytes arrive at sockets.

use nix::sys::socket::{MsgFlags, recvmsg, setsockopt, sockopt::ReceiveTimestampns};
use nix::sys::time::TimeSpec;
use std::io::{IoSliceMut, Write as _};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd as _;

/// Keeps the kernel recording arrivals, which it does for all sockets while at least one asks for it.
pub struct RecordedArrivals {
    _listener: TcpListener,
}

impl RecordedArrivals {
    /// Waits until the kernel records arrivals: it begins some time after the first socket asks for it.
    ///
    /// # Panics
    /// Loopback connections cannot be opened, or the kernel does not support the option.
    pub fn wait() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        setsockopt(&listener, ReceiveTimestampns, &true).expect("the option is supported");
        let address = listener.local_addr().expect("the listener is bound");
        let mut client = TcpStream::connect(address).expect("the listener accepts");
        let (accepted, _) = listener.accept().expect("a connection is pending");
        loop {
            client.write_all(b"x").expect("the connection is open");
            if is_arrival_recorded(&accepted) {
                return RecordedArrivals { _listener: listener };
            }
            std::thread::yield_now();
        }
    }
}

/// Reads a byte and returns whether its arrival was recorded.
fn is_arrival_recorded(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(&mut byte)];
    let message = recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(&mut control), MsgFlags::empty());
    let message = message.expect("the connection is open");
    message.cmsgs().expect("the control buffer is large enough").next().is_some()
}
