//! TCP relay on a link between two processes, for faults of the network: traffic that stalls in one
//! direction or both, is delayed or throttled, and connections that are reset. Loopback only.
//!
//! A stalled link behaves like a network partition: connections stay open, new ones are accepted, and no
//! data passes.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a relay thread checks the faults.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes per write on a throttled link.
const TRICKLE_BYTES: usize = 16;

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Data passes.
    #[default]
    Pass,
    /// No data passes; sent data is delivered later if the link heals before the connection breaks.
    Stall,
    /// Data is delayed by this time.
    Delay(Duration),
    /// A few bytes pass at a time.
    Trickle,
}

#[derive(Debug, Default)]
struct Faults {
    /// Flow from the caller to the target, and back.
    forward: Flow,
    backward: Flow,
    /// Number of resets; connections opened before the latest one are closed.
    resets: u64,
    stopped: bool,
}

/// A relay in front of one target address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

impl Relay {
    /// Listens on a loopback port that the system chooses and forwards each connection to `to`.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(Faults::default()));
        let shared = Arc::clone(&faults);
        thread::spawn(move || {
            while !read_faults(&shared, |f| f.stopped) {
                match listener.accept() {
                    Ok((caller, _)) => serve(caller, to, &shared),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(POLL_INTERVAL),
                    Err(_) => return,
                }
            }
        });
        Ok(Relay { address, faults })
    }

    /// Address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the flow from the caller to the target, and back.
    pub fn set(&self, forward: Flow, backward: Flow) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        (faults.forward, faults.backward) = (forward, backward);
    }

    /// Sets the flow from the caller to the target.
    pub fn set_forward(&self, flow: Flow) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).forward = flow;
    }

    /// Sets the flow back to the caller.
    pub fn set_backward(&self, flow: Flow) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).backward = flow;
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).resets += 1;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).stopped = true;
    }
}

fn read_faults<T>(faults: &Mutex<Faults>, at: impl Fn(&Faults) -> T) -> T {
    at(&faults.lock().unwrap_or_else(PoisonError::into_inner))
}

fn serve(caller: TcpStream, to: SocketAddr, faults: &Arc<Mutex<Faults>>) {
    let resets_at_accept = read_faults(faults, |f| f.resets);
    let shared = Arc::clone(faults);
    thread::spawn(move || {
        // A stalled link doesn't connect to the target either: the caller's connection is open, but silent.
        while read_faults(&shared, |f| f.forward == Flow::Stall || f.backward == Flow::Stall) {
            if read_faults(&shared, |f| f.stopped || f.resets != resets_at_accept) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        let Ok(target) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
        for stream in [&caller, &target] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
        }
        let (Ok(caller_writer), Ok(target_writer)) = (caller.try_clone(), target.try_clone()) else { return };
        let backward = Arc::clone(&shared);
        thread::spawn(move || {
            copy_direction(target_writer, caller_writer, &backward, resets_at_accept, |f| f.backward)
        });
        copy_direction(caller, target, &shared, resets_at_accept, |f| f.forward);
    });
}

/// Forwards one direction until either end closes or the connection is reset.
fn copy_direction(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: &Mutex<Faults>,
    resets_at_accept: u64,
    flow: fn(&Faults) -> Flow,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let (now, broken) = read_faults(faults, |f| (flow(f), f.stopped || f.resets != resets_at_accept));
        if broken {
            break;
        }
        if now == Flow::Stall {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let most = if now == Flow::Trickle { TRICKLE_BYTES } else { buffer.len() };
        match from.read(&mut buffer[..most]) {
            Ok(0) => break,
            Ok(count) => {
                let received_at = Instant::now();
                // Data that was read before a stall is held until the stall ends.
                loop {
                    let (now, broken) =
                        read_faults(faults, |f| (flow(f), f.stopped || f.resets != resets_at_accept));
                    let due = match now {
                        Flow::Stall => false,
                        Flow::Delay(by) => received_at.elapsed() >= by,
                        Flow::Pass | Flow::Trickle => true,
                    };
                    if due || broken {
                        break;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
                if now == Flow::Trickle {
                    thread::sleep(Duration::from_millis(1));
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
