//! The driver on real sockets, where a peer acts between two of its lines: the machine here lets the peer act from
//! within a call, so that each crossing happens at one place, whatever the machine that runs the test.

use flaxstand_gateway::driver::{Driver, Options};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// What the peer does within a call.
type Act = Box<dyn FnMut(&mut Crossed) + Send>;

/// Hands out connections and does what the test says when bytes come.
#[derive(Default)]
struct Crossed {
    out: BTreeMap<ConnId, Vec<u8>>,
    next: u64,
    commands: Vec<Command>,
    /// Connections that rested, and those that are not read.
    rests: Vec<ConnId>,
    unread: Vec<ConnId>,
    /// Who comes is turned away.
    full: bool,
    /// What happens when the first bytes come, and when a call stands.
    on_bytes: Option<Act>,
    on_call: Option<Act>,
    /// Connections accepted, closed by their peer with the cause, and bytes written on each.
    accepted: Vec<ConnId>,
    closed: Vec<(ConnId, String)>,
    written: BTreeMap<ConnId, usize>,
}

impl Crossed {
    fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        self.out.entry(conn).or_default().extend_from_slice(bytes);
        self.commands.push(Command::Flush(conn));
    }
}

impl Machine for Crossed {
    fn accepted(&mut self, _listener: usize, _now: Micros) -> Result<ConnId, Vec<u8>> {
        if self.full {
            return Err(b"no room".to_vec());
        }
        self.next += 1;
        self.accepted.push(ConnId(self.next));
        Ok(ConnId(self.next))
    }
    fn connected(&mut self, _conn: ConnId, _now: Micros) {
        if let Some(mut act) = self.on_call.take() {
            act(self);
        }
    }
    fn connect_failed(&mut self, _conn: ConnId, cause: &str, _now: Micros) {
        panic!("a call on loopback failed: {cause}");
    }
    fn received(&mut self, _conn: ConnId, _bytes: &[u8], _now: Micros) {
        if let Some(mut act) = self.on_bytes.take() {
            act(self);
        }
    }
    fn peer_finished(&mut self, _conn: ConnId, _now: Micros) -> bool {
        false
    }
    fn closed(&mut self, conn: ConnId, cause: &str, _now: Micros) {
        self.closed.push((conn, cause.to_owned()));
        self.commands.push(Command::Exit);
    }
    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.out.get(&conn).map_or(&[], |o| o)
    }
    fn written(&mut self, conn: ConnId, count: usize, _now: Micros) {
        self.rests.retain(|c| *c != conn);
        *self.written.entry(conn).or_default() += count;
        if let Some(out) = self.out.get_mut(&conn) {
            out.drain(..count);
        }
    }
    fn wants_read(&self, conn: ConnId) -> bool {
        !self.unread.contains(&conn)
    }
    fn wants_peer_end(&self, conn: ConnId) -> bool {
        self.unread.contains(&conn)
    }
    fn is_idle(&self, conn: ConnId) -> bool {
        self.rests.contains(&conn)
    }
    fn control(&mut self, _control: Control, _now: Micros) {}
    fn settle(&mut self, _now: Micros) -> Option<Micros> {
        None
    }
    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

fn run(machine: Crossed) -> (SocketAddr, std::thread::JoinHandle<Crossed>) {
    let mut driver = Driver::new(machine, Options::default()).unwrap();
    let Address::Tcp(at) = driver.listen(&"127.0.0.1:0".parse().unwrap()).unwrap() else { panic!("no TCP") };
    (at, std::thread::spawn(move || driver.run().unwrap()))
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

/// A machine with an idle connection to a peer; when the first client's bytes come, the peer acts on its end, and then
/// the machine writes there.
fn over_an_idle_connection(act: impl Fn(&mut Option<TcpStream>) + Send + 'static) -> (Crossed, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let idle = ConnId(1000);
    let mut machine = Crossed { rests: vec![idle], ..Crossed::default() };
    machine
        .commands
        .push(Command::Connect { conn: idle, address: Address::Tcp(listener.local_addr().unwrap()) });
    let (stands, wait) = std::sync::mpsc::channel();
    machine.on_call = Some(Box::new(move |_| stands.send(()).unwrap()));
    let heard = std::sync::Arc::new(std::sync::Mutex::new(None));
    let (accept, keeps) = (listener.try_clone().unwrap(), std::sync::Arc::clone(&heard));
    machine.on_bytes = Some(Box::new(move |m| {
        let mut peer = Some(accept.accept().unwrap().0);
        act(&mut peer);
        *keeps.lock().unwrap() = peer.take();
        m.write(idle, b"a request");
        m.commands.push(Command::Exit);
    }));
    let (at, driver) = run(machine);
    wait.recv_timeout(Duration::from_secs(20)).expect("the call stands");
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let machine = driver.join().unwrap();
    let mut read = Vec::new();
    if let Some(mut peer) = heard.lock().unwrap().take() {
        let _ = peer.read_to_end(&mut read);
    }
    (machine, read.len())
}

/// Guards against a request that is lost to a stale idle connection: its close came after the last look at it.
#[test]
fn nothing_is_written_on_a_connection_that_its_peer_closed_while_it_rested() {
    let (machine, _) = over_an_idle_connection(|peer| *peer = None);
    assert_eq!(machine.written.get(&ConnId(1000)), None);
    assert!(
        machine.closed.iter().any(|(c, cause)| *c == ConnId(1000) && cause.contains("before it was used"))
    );
}

/// The same for half a line, or a second answer, that came while it rested.
#[test]
fn nothing_is_written_on_a_connection_on_which_something_came_while_it_rested() {
    let (machine, read) =
        over_an_idle_connection(|peer| peer.as_mut().unwrap().write_all(b"HTTP/1.1 2").unwrap());
    assert_eq!((machine.written.get(&ConnId(1000)), read), (None, 0));
    assert!(machine.closed.iter().any(|(c, cause)| *c == ConnId(1000) && cause.contains("bytes came")));
    let (machine, read) = over_an_idle_connection(|_| {});
    assert_eq!((machine.written.get(&ConnId(1000)), read), (Some(&9), 9), "one that rested well is used");
}

/// Guards against refusals that nobody reads: what the client had sent was unread when its connection was closed, so it
/// was reset.
#[test]
fn a_client_that_is_turned_away_after_it_asked_reads_why() {
    let mut machine = Crossed::default();
    let (tell, told) = std::sync::mpsc::channel::<SocketAddr>();
    let (give, given) = std::sync::mpsc::channel();
    machine.on_bytes = Some(Box::new(move |m| {
        m.full = true;
        // Connects and asks before the driver can look at its listener again.
        let mut late = connect(told.recv().unwrap());
        late.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        give.send(late).unwrap();
    }));
    let (at, driver) = run(machine);
    tell.send(at).unwrap();
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let mut late = given.recv_timeout(Duration::from_secs(20)).unwrap();
    let mut read = Vec::new();
    late.read_to_end(&mut read).expect("no reset");
    assert_eq!(read, b"no room");
    drop(client);
    driver.join().unwrap();
}

/// Guards against clients that are reset unheard at a stop: they had connected, and were not yet accepted.
#[test]
fn who_connected_before_the_listener_closes_is_accepted() {
    let mut machine = Crossed::default();
    let (tell, told) = std::sync::mpsc::channel::<SocketAddr>();
    let (give, given) = std::sync::mpsc::channel();
    machine.on_bytes = Some(Box::new(move |m| {
        let at = told.recv().unwrap();
        give.send((0..100).map(|_| connect(at)).collect::<Vec<_>>()).unwrap();
        m.commands.push(Command::StopListening);
        m.commands.push(Command::Exit);
    }));
    let (at, driver) = run(machine);
    tell.send(at).unwrap();
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let late = given.recv_timeout(Duration::from_secs(20)).unwrap();
    let machine = driver.join().unwrap();
    assert_eq!(machine.accepted.len(), 101);
    drop(late);
    assert_eq!(TcpStream::connect(at).unwrap_err().kind(), ErrorKind::ConnectionRefused);
}

/// Guards against clients whose leaving is not seen, because it stands behind bytes that are not read.
#[test]
fn the_end_of_a_stream_is_told_behind_bytes_that_are_not_read() {
    let on_bytes: Act = Box::new(|m| {
        m.unread = m.accepted.clone();
        m.commands.push(Command::Flush(ConnId(1)));
    });
    let machine = Crossed { on_bytes: Some(on_bytes), ..Crossed::default() };
    let (at, driver) = run(machine);
    let mut client = connect(at);
    // Fits into the system's buffers: beyond them the end itself would wait with its sender.
    client.write_all(&[b'x'; 60_000]).unwrap();
    drop(client);
    let machine = driver.join().unwrap();
    assert_eq!(machine.closed.len(), 1);
}

/// What was written leaves whole before the stream is ended, and the peer is read on.
#[test]
fn a_connection_that_is_shut_sends_all_that_waits_and_is_read_to_its_end() {
    const MUCH: usize = 8 << 20;
    let on_bytes: Act = Box::new(|m| {
        m.write(ConnId(1), &vec![b'y'; MUCH]);
        m.commands.push(Command::ShutdownWrite(ConnId(1)));
    });
    let machine = Crossed { on_bytes: Some(on_bytes), ..Crossed::default() };
    let (at, driver) = run(machine);
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let mut read = Vec::new();
    client.read_to_end(&mut read).unwrap();
    assert_eq!(read.len(), MUCH);
    client.write_all(b"still here").unwrap();
    drop(client);
    let machine = driver.join().unwrap();
    assert_eq!(machine.closed.len(), 1, "its close is told");
}
