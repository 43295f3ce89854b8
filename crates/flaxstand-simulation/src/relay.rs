//! A relay on a link between two processes, for faults that no process makes itself: bytes that stand still in one
//! direction or both, come late or a few at a time, connections that break. Traffic on loopback only.
//!
//! A link that is stalled is a partition as hosts see it: connections stay, new ones are taken, nothing passes.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long a thread of the relay waits before it looks at the faults again.
const LOOK: Duration = Duration::from_millis(5);
/// Bytes at a time on a link that trickles.
const TRICKLE: usize = 16;

/// What one direction of a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Passes.
    #[default]
    Pass,
    /// Nothing passes; what was sent comes later, if the link heals before the connection breaks.
    Stall,
    /// Everything comes so much later.
    Late(Duration),
    /// A few bytes at a time.
    Trickle,
}

#[derive(Debug, Default)]
struct Faults {
    /// From the caller on, and back to it.
    there: Flow,
    back: Flow,
    /// Grows: connections of before are broken.
    resets: u64,
    ended: bool,
}

/// A relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

impl Relay {
    /// Listens on a port of loopback that the system chooses, and calls `to` for each that comes.
    ///
    /// # Errors
    /// There is no port to be had.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the link does from now on, from the caller on and back.
    pub fn set(&self, there: Flow, back: Flow) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        (faults.there, faults.back) = (there, back);
    }

    /// The same of one direction: from the caller on.
    pub fn set_there(&self, flow: Flow) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).there = flow;
    }

    /// Back to the caller.
    pub fn set_back(&self, flow: Flow) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).back = flow;
    }

    /// Breaks all connections that stand now.
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
        // A link that passes nothing lets no call through either: the caller's stands, and is silent.
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

/// Passes one direction on until either end is closed, or the connection is to break.
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
                // What was read before a stall waits with it.
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
