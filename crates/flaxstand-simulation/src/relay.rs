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
const LOOK: Duration = Duration::from_millis(5);
/// Bytes per write on a throttled link.
const TRICKLE: usize = 16;

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Data passes.
    #[default]
    Pass,
    /// No data passes; sent data is delivered later if the link heals before the connection breaks.
    Stall,
    /// Data is delayed by this time.
    Late(Duration),
    /// A few bytes pass at a time.
    Trickle,
}

#[derive(Debug, Default)]
struct Faults {
    /// Flow from the caller to the target, and back.
    there: Flow,
    back: Flow,
    /// Number of resets; connections opened before the latest one are closed.
    resets: u64,
    ended: bool,
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
            while !look(&shared, |f| f.ended) {
                match listener.accept() {
                    Ok((caller, _)) => serve(caller, to, &shared),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(LOOK),
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
    pub fn set(&self, there: Flow, back: Flow) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        (faults.there, faults.back) = (there, back);
    }

    /// Sets the flow from the caller to the target.
    pub fn set_there(&self, flow: Flow) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).there = flow;
    }

    /// Sets the flow back to the caller.
    pub fn set_back(&self, flow: Flow) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).back = flow;
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).resets += 1;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
    }
}

fn look<T>(faults: &Mutex<Faults>, at: impl Fn(&Faults) -> T) -> T {
    at(&faults.lock().unwrap_or_else(PoisonError::into_inner))
}

fn serve(caller: TcpStream, to: SocketAddr, faults: &Arc<Mutex<Faults>>) {
    let born = look(faults, |f| f.resets);
    let shared = Arc::clone(faults);
    thread::spawn(move || {
        // A stalled link doesn't connect to the target either: the caller's connection is open, but silent.
        while look(&shared, |f| f.there == Flow::Stall || f.back == Flow::Stall) {
            if look(&shared, |f| f.ended || f.resets != born) {
                return;
            }
            thread::sleep(LOOK);
        }
        let Ok(called) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
        for stream in [&caller, &called] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(LOOK));
        }
        let (Ok(caller_too), Ok(called_too)) = (caller.try_clone(), called.try_clone()) else { return };
        let back = Arc::clone(&shared);
        thread::spawn(move || pump(called_too, caller_too, &back, born, |f| f.back));
        pump(caller, called, &shared, born, |f| f.there);
    });
}

/// Forwards one direction until either end closes or the connection is reset.
fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: &Mutex<Faults>,
    born: u64,
    flow: fn(&Faults) -> Flow,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let (now, broken) = look(faults, |f| (flow(f), f.ended || f.resets != born));
        if broken {
            break;
        }
        if now == Flow::Stall {
            thread::sleep(LOOK);
            continue;
        }
        let most = if now == Flow::Trickle { TRICKLE } else { buffer.len() };
        match from.read(&mut buffer[..most]) {
            Ok(0) => break,
            Ok(count) => {
                let came = Instant::now();
                // Data that was read before a stall is held until the stall ends.
                loop {
                    let (now, broken) = look(faults, |f| (flow(f), f.ended || f.resets != born));
                    let due = match now {
                        Flow::Stall => false,
                        Flow::Late(by) => came.elapsed() >= by,
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
