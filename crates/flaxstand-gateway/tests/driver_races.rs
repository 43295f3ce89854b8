//! Race conditions of the driver on real sockets: a peer acts between two steps of the driver. The scripted
//! machine lets the peer act from within a callback, so that each race happens at a fixed place, independent
//! of the speed of the host.

use flaxstand_fixture::RecordedArrivals;
use flaxstand_gateway::driver::{Driver, Options, clock};
use flaxstand_gateway::machine::{Address, ArrivalTime, Command, ConnId, Control, Machine, Micros};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An action of the peer that runs within a callback of the machine.
type PeerAction = Box<dyn FnMut(&mut RaceMachine) + Send>;

/// What the driver reported of received bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Input {
    Received(ConnId, ArrivalTime),
    /// All input that had arrived when the turn began was reported.
    Complete,
}

/// A machine that accepts connections and runs the test's actions within its callbacks.
#[derive(Default)]
struct RaceMachine {
    out: BTreeMap<ConnId, Vec<u8>>,
    next: u64,
    commands: Vec<Command>,
    /// Connections reported as idle, and connections that are not read.
    idle: Vec<ConnId>,
    unread: Vec<ConnId>,
    /// Whether new connections are refused.
    refuses_connections: bool,
    /// Actions that run once: when the first bytes arrive, and when the first outgoing connection is
    /// established.
    on_bytes: Option<PeerAction>,
    on_connected: Option<PeerAction>,
    /// Times passed with received bytes.
    received_at: Vec<Micros>,
    /// Input in the order in which it was reported.
    input: Vec<Input>,
    /// Clients that stay connected until the driver ends.
    kept_open: Vec<TcpStream>,
    /// Connections accepted, connections closed with the cause, and the number of bytes written on each.
    accepted: Vec<ConnId>,
    closed: Vec<(ConnId, String)>,
    written: BTreeMap<ConnId, usize>,
}

impl RaceMachine {
    fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        self.out.entry(conn).or_default().extend_from_slice(bytes);
        self.commands.push(Command::Flush(conn));
    }
}

impl Machine for RaceMachine {
    fn accepted(&mut self, _listener: usize, _now: Micros) -> Result<ConnId, Vec<u8>> {
        if self.refuses_connections {
            return Err(b"too many connections".to_vec());
        }
        self.next += 1;
        self.accepted.push(ConnId(self.next));
        Ok(ConnId(self.next))
    }
    fn connected(&mut self, _conn: ConnId, _now: Micros) {
        if let Some(mut action) = self.on_connected.take() {
            action(self);
        }
    }
    fn connect_failed(&mut self, _conn: ConnId, cause: &str, _now: Micros) {
        panic!("connecting over loopback failed: {cause}");
    }
    fn received(&mut self, _conn: ConnId, _bytes: &[u8], now: Micros) {
        self.received_at.push(now);
        if let Some(mut action) = self.on_bytes.take() {
            action(self);
        }
    }
    fn received_with_time(&mut self, conn: ConnId, bytes: &[u8], arrived_at: ArrivalTime, now: Micros) {
        self.input.push(Input::Received(conn, arrived_at));
        self.received(conn, bytes, now);
    }
    fn wants_arrival_times(&self) -> bool {
        true
    }
    fn input_delivered(&mut self, _now: Micros) {
        self.input.push(Input::Complete);
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
        self.idle.retain(|c| *c != conn);
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
        self.idle.contains(&conn)
    }
    fn control(&mut self, _control: Control, _now: Micros) {}
    fn settle(&mut self, _now: Micros) -> Option<Micros> {
        None
    }
    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

fn listening(machine: RaceMachine) -> (SocketAddr, Driver<RaceMachine>) {
    let mut driver = Driver::new(machine, Options::default()).unwrap();
    let Address::Tcp(at) = driver.listen(&"127.0.0.1:0".parse().unwrap()).unwrap() else { panic!("no TCP") };
    (at, driver)
}

fn run(machine: RaceMachine) -> (SocketAddr, std::thread::JoinHandle<RaceMachine>) {
    let (at, driver) = listening(machine);
    (at, std::thread::spawn(move || driver.run().unwrap()))
}

/// Runs a machine with two clients whose bytes have arrived before its first turn, so that both are read in one
/// turn. `on_bytes` acts between the two reads, with the address of the machine and the second client.
fn hold_up_between_reads(
    on_bytes: impl FnOnce(&mut RaceMachine, SocketAddr, &mut TcpStream) + Send + 'static,
) -> RaceMachine {
    let (send_client, second_client) = std::sync::mpsc::channel::<(SocketAddr, TcpStream)>();
    let mut on_bytes = Some(on_bytes);
    let action: PeerAction = Box::new(move |m| {
        let (at, mut second) = second_client.recv().unwrap();
        let on_bytes = on_bytes.take().expect("called once");
        on_bytes(m, at, &mut second);
        m.kept_open.push(second);
    });
    let (at, driver) = listening(RaceMachine { on_bytes: Some(action), ..RaceMachine::default() });
    let mut clients = [connect(at), connect(at)];
    clients.iter_mut().for_each(|client| client.write_all(b"x").unwrap());
    let [_first, second] = clients;
    send_client.send((at, second)).unwrap();
    driver.run().unwrap()
}

/// Exits when bytes arrive, after as many other times.
fn exit_after(times: usize) -> PeerAction {
    Box::new(move |m| match times {
        0 => m.commands.push(Command::Exit),
        _ => m.on_bytes = Some(exit_after(times - 1)),
    })
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

/// Runs a machine with an idle connection to a peer. When the first client's bytes arrive, the peer acts on
/// its end, and then the machine writes on the idle connection. Returns the machine and the number of bytes
/// that the peer read.
fn write_on_idle_connection_after(
    action: impl Fn(&mut Option<TcpStream>) + Send + 'static,
) -> (RaceMachine, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let idle = ConnId(1000);
    let mut machine = RaceMachine { idle: vec![idle], ..RaceMachine::default() };
    machine
        .commands
        .push(Command::Connect { conn: idle, address: Address::Tcp(listener.local_addr().unwrap()) });
    let (report_connected, connected) = std::sync::mpsc::channel();
    machine.on_connected = Some(Box::new(move |_| report_connected.send(()).unwrap()));
    let peer_end = std::sync::Arc::new(std::sync::Mutex::new(None));
    let (accept, keep_peer) = (listener.try_clone().unwrap(), std::sync::Arc::clone(&peer_end));
    machine.on_bytes = Some(Box::new(move |m| {
        let mut peer = Some(accept.accept().unwrap().0);
        action(&mut peer);
        *keep_peer.lock().unwrap() = peer.take();
        m.write(idle, b"a request");
        m.commands.push(Command::Exit);
    }));
    let (at, driver) = run(machine);
    connected.recv_timeout(Duration::from_secs(20)).expect("the connection is established");
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let machine = driver.join().unwrap();
    let mut read = Vec::new();
    if let Some(mut peer) = peer_end.lock().unwrap().take() {
        let _ = peer.read_to_end(&mut read);
    }
    (machine, read.len())
}

/// Guards against a request that is lost on a stale idle connection: its peer closed it after the last poll.
#[test]
fn nothing_is_written_on_an_idle_connection_that_its_peer_has_closed() {
    let (machine, _) = write_on_idle_connection_after(|peer| *peer = None);
    assert_eq!(machine.written.get(&ConnId(1000)), None);
    assert!(
        machine.closed.iter().any(|(c, cause)| *c == ConnId(1000) && cause.contains("before it was used"))
    );
}

/// The same for an idle connection on which part of an answer, or a second one, has arrived.
#[test]
fn nothing_is_written_on_an_idle_connection_that_has_unexpected_bytes() {
    let (machine, read) =
        write_on_idle_connection_after(|peer| peer.as_mut().unwrap().write_all(b"HTTP/1.1 2").unwrap());
    assert_eq!((machine.written.get(&ConnId(1000)), read), (None, 0));
    assert!(machine.closed.iter().any(|(c, cause)| *c == ConnId(1000) && cause.contains("bytes came")));
    let (machine, read) = write_on_idle_connection_after(|_| {});
    assert_eq!(
        (machine.written.get(&ConnId(1000)), read),
        (Some(&9), 9),
        "an idle connection without events is used"
    );
}

/// Guards against a refusal that is lost to a reset: closing a connection with unread bytes from the client
/// resets it.
#[test]
fn a_client_refused_after_it_sent_a_request_can_read_the_refusal() {
    let mut machine = RaceMachine::default();
    let (send_address, address) = std::sync::mpsc::channel::<SocketAddr>();
    let (send_late, late_clients) = std::sync::mpsc::channel();
    machine.on_bytes = Some(Box::new(move |m| {
        m.refuses_connections = true;
        // Connects and sends a request before the driver polls its listener again.
        let mut late = connect(address.recv().unwrap());
        late.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        send_late.send(late).unwrap();
    }));
    let (at, driver) = run(machine);
    send_address.send(at).unwrap();
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let mut late = late_clients.recv_timeout(Duration::from_secs(20)).unwrap();
    let mut read = Vec::new();
    late.read_to_end(&mut read).expect("the connection is not reset");
    assert_eq!(read, b"too many connections");
    drop(client);
    driver.join().unwrap();
}

/// Guards against clients that are reset at a shutdown because they had connected but were not yet accepted.
#[test]
fn clients_connected_before_the_listener_closes_are_accepted() {
    let mut machine = RaceMachine::default();
    let (send_address, address) = std::sync::mpsc::channel::<SocketAddr>();
    let (send_late, late_clients) = std::sync::mpsc::channel();
    machine.on_bytes = Some(Box::new(move |m| {
        let at = address.recv().unwrap();
        send_late.send((0..100).map(|_| connect(at)).collect::<Vec<_>>()).unwrap();
        m.commands.push(Command::StopListening);
        m.commands.push(Command::Exit);
    }));
    let (at, driver) = run(machine);
    send_address.send(at).unwrap();
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let late = late_clients.recv_timeout(Duration::from_secs(20)).unwrap();
    let machine = driver.join().unwrap();
    assert_eq!(machine.accepted.len(), 101);
    drop(late);
    assert_eq!(TcpStream::connect(at).unwrap_err().kind(), ErrorKind::ConnectionRefused);
}

/// Guards against a disconnect that goes unnoticed because it is queued behind bytes that are not read.
#[test]
fn the_end_of_a_stream_is_reported_although_bytes_before_it_are_unread() {
    let on_bytes: PeerAction = Box::new(|m| {
        m.unread = m.accepted.clone();
        m.commands.push(Command::Flush(ConnId(1)));
    });
    let machine = RaceMachine { on_bytes: Some(on_bytes), ..RaceMachine::default() };
    let (at, driver) = run(machine);
    let mut client = connect(at);
    // Fits into the socket buffers: with more data the end of the stream would not leave the sender.
    client.write_all(&[b'x'; 60_000]).unwrap();
    drop(client);
    let machine = driver.join().unwrap();
    assert_eq!(machine.closed.len(), 1);
}

/// Guards against a rest of a connection that is counted from before its answer: the process is held up within
/// a turn, and bytes arrive meanwhile.
#[test]
fn bytes_are_reported_at_a_time_not_earlier_than_their_arrival() {
    const HOLD_UP: Duration = Duration::from_millis(100);
    let (send_time, sent_at) = std::sync::mpsc::channel();
    let machine = hold_up_between_reads(move |m, _, second| {
        std::thread::sleep(HOLD_UP);
        send_time.send(clock()).unwrap();
        second.write_all(b"late").unwrap();
        m.commands.push(Command::Exit);
    });
    assert_eq!(machine.received_at.len(), 2, "both clients were read in one turn");
    assert!(machine.received_at[1] >= sent_at.recv().unwrap(), "{:?}", machine.received_at);
}

/// Guards against requests that are taken in another order than they arrived: the process is held up within a turn,
/// and bytes arrive first on a new connection and then on one that is read in this turn.
#[test]
fn what_arrived_first_is_reported_in_the_next_turn_at_the_latest_with_its_time() {
    let _recording = RecordedArrivals::wait();
    let machine = hold_up_between_reads(|m, at, second| {
        let mut new = connect(at);
        new.write_all(b"first").unwrap();
        // The times of arrival differ clearly.
        std::thread::sleep(Duration::from_millis(20));
        second.write_all(b"second").unwrap();
        m.kept_open.push(new);
        // Exits when the new connection is read, after the second client.
        m.on_bytes = Some(exit_after(1));
    });
    let input = machine.input;
    let [
        Input::Received(ConnId(1), _),
        Input::Received(ConnId(2), second_at),
        Input::Complete,
        Input::Received(ConnId(3), first_at),
        Input::Complete,
    ] = input[..]
    else {
        panic!("the new connection is to be reported in the next turn: {input:?}");
    };
    assert!(first_at.0 + 15_000_000 < second_at.0, "{input:?}");
}

/// Guards against the same when more connections are pending than are accepted in a turn.
#[test]
fn input_is_complete_only_when_all_pending_connections_are_accepted_and_read() {
    const CLIENTS: usize = 150;
    let (send_address, address) = std::sync::mpsc::channel::<SocketAddr>();
    let (send_late, late_clients) = std::sync::mpsc::channel();
    let on_bytes: PeerAction = Box::new(move |_| {
        let at = address.recv().unwrap();
        let clients: Vec<TcpStream> = (0..CLIENTS)
            .map(|_| {
                let mut client = connect(at);
                client.write_all(b"y").unwrap();
                client
            })
            .collect();
        send_late.send(clients).unwrap();
    });
    let machine = RaceMachine { on_bytes: Some(on_bytes), ..RaceMachine::default() };
    let (at, driver) = run(machine);
    send_address.send(at).unwrap();
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let mut late = late_clients.recv_timeout(Duration::from_secs(20)).unwrap();
    // The connection accepted last is closed, which ends the driver.
    drop(late.pop());
    let input = driver.join().unwrap().input;
    let is_late = |input: &Input| matches!(input, Input::Received(conn, _) if *conn > ConnId(1));
    let first = input.iter().position(is_late).unwrap();
    let last = input.iter().rposition(is_late).unwrap();
    assert_eq!(input[first..=last].len(), CLIENTS, "nothing lies between: {input:?}");
    drop(client);
}

/// All pending output is sent before the write side is shut down, and the peer is still read.
#[test]
fn a_half_closed_connection_sends_all_pending_output_and_is_read_to_its_end() {
    const OUTPUT_BYTES: usize = 8 << 20;
    let on_bytes: PeerAction = Box::new(|m| {
        m.write(ConnId(1), &vec![b'y'; OUTPUT_BYTES]);
        m.commands.push(Command::ShutdownWrite(ConnId(1)));
    });
    let machine = RaceMachine { on_bytes: Some(on_bytes), ..RaceMachine::default() };
    let (at, driver) = run(machine);
    let mut client = connect(at);
    client.write_all(b"x").unwrap();
    let mut read = Vec::new();
    client.read_to_end(&mut read).unwrap();
    assert_eq!(read.len(), OUTPUT_BYTES);
    client.write_all(b"still here").unwrap();
    drop(client);
    let machine = driver.join().unwrap();
    assert_eq!(machine.closed.len(), 1, "the peer's close is reported");
}
