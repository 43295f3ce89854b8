//! Tests of the driver on real sockets: partial writes, peers that stop reading or half-close, failed
//! connection attempts, and the clock. No test depends on timing.

use flaxstand_gateway::driver::{Driver, Options};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

/// A machine that answers each byte with a block of that byte and exits after `q`. It checks the time passed
/// to each callback: the clock is monotonic, and within a turn only a read advances it, to a time not earlier
/// than the arrival of the bytes.
struct BlockEcho {
    out: BTreeMap<ConnId, Vec<u8>>,
    next: u64,
    commands: Vec<Command>,
    connect_to: Vec<Address>,
    failure_causes: Vec<String>,
    last_now: Micros,
    turn_ended: bool,
    turns: u64,
    exit_requested: bool,
}

impl Default for BlockEcho {
    fn default() -> Self {
        let (out, next, commands, connect_to, failure_causes, last_now, turns, exit_requested) =
            Default::default();
        BlockEcho {
            out,
            next,
            commands,
            connect_to,
            failure_causes,
            last_now,
            turn_ended: true,
            turns,
            exit_requested,
        }
    }
}

const BLOCK: usize = 3_000_000;

impl BlockEcho {
    /// Checks the time of a callback that may be the first of a turn.
    fn check_time(&mut self, now: Micros) {
        if now != self.last_now {
            assert!(self.turn_ended, "the time changed within a turn");
            self.advance_time(now);
        }
    }

    fn advance_time(&mut self, now: Micros) {
        assert!(now >= self.last_now, "the clock went backwards from {:?} to {now:?}", self.last_now);
        (self.last_now, self.turn_ended) = (now, false);
    }
}

impl Machine for BlockEcho {
    fn accepted(&mut self, _listener: usize, now: Micros) -> Result<ConnId, Vec<u8>> {
        self.check_time(now);
        self.next += 1;
        self.out.insert(ConnId(self.next), Vec::new());
        Ok(ConnId(self.next))
    }
    fn connected(&mut self, _conn: ConnId, now: Micros) {
        self.check_time(now);
    }
    fn connect_failed(&mut self, _conn: ConnId, cause: &str, now: Micros) {
        self.check_time(now);
        self.failure_causes.push(cause.to_owned());
    }
    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        self.advance_time(now);
        for byte in bytes {
            self.exit_requested |= *byte == b'q';
            self.out.get_mut(&conn).unwrap().extend(vec![*byte; BLOCK]);
        }
        self.commands.push(Command::Flush(conn));
    }
    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool {
        self.check_time(now);
        !self.out[&conn].is_empty()
    }
    fn closed(&mut self, conn: ConnId, _cause: &str, now: Micros) {
        self.check_time(now);
        self.out.remove(&conn);
    }
    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.out.get(&conn).map_or(&[], |o| o)
    }
    fn written(&mut self, conn: ConnId, count: usize, now: Micros) {
        self.check_time(now);
        let out = self.out.get_mut(&conn).unwrap();
        out.drain(..count);
        if out.is_empty() && self.exit_requested {
            self.out.remove(&conn);
            self.commands.push(Command::Close { conn, last: Vec::new() });
            self.commands.push(Command::Exit);
        }
    }
    fn wants_read(&self, conn: ConnId) -> bool {
        self.out.get(&conn).is_some_and(|o| o.len() < 2 * BLOCK)
    }
    fn control(&mut self, _control: Control, now: Micros) {
        self.check_time(now);
    }
    fn settle(&mut self, now: Micros) -> Option<Micros> {
        self.check_time(now);
        (self.turn_ended, self.turns) = (true, self.turns + 1);
        for address in std::mem::take(&mut self.connect_to) {
            self.next += 1;
            self.commands.push(Command::Connect { conn: ConnId(self.next), address });
        }
        Some(now.after(Micros(500)))
    }
    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

fn temp_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("flaxstand-driver-{name}-{}", std::process::id()))
}

fn start(name: &str, machine: BlockEcho) -> (PathBuf, std::thread::JoinHandle<BlockEcho>) {
    let path = temp_path(name);
    let mut driver = Driver::new(machine, Options::default()).unwrap();
    driver.listen(&Address::Unix(path.clone())).unwrap();
    (path, std::thread::spawn(move || driver.run().unwrap()))
}

#[test]
fn partial_writes_are_completed_and_a_stalled_reader_does_not_delay_others() {
    let (path, driver) = start("parts", BlockEcho::default());
    let mut stalled = UnixStream::connect(&path).unwrap();
    // More than the socket buffers hold: the driver stops reading from this client, and its writes block.
    stalled.write_all(b"xxxxx").unwrap();
    let mut reader = UnixStream::connect(&path).unwrap();
    reader.write_all(b"ab").unwrap();
    let mut bytes = vec![0; 2 * BLOCK];
    reader.read_exact(&mut bytes).unwrap();
    assert!(bytes[..BLOCK].iter().all(|b| *b == b'a') && bytes[BLOCK..].iter().all(|b| *b == b'b'));
    // A half-closed peer still receives its answer.
    reader.write_all(b"q").unwrap();
    reader.shutdown(std::net::Shutdown::Write).unwrap();
    let mut last = Vec::new();
    reader.read_to_end(&mut last).unwrap();
    assert_eq!(last, vec![b'q'; BLOCK]);
    let machine = driver.join().unwrap();
    assert!(machine.turns > 3);
    drop(stalled);
}

#[test]
fn failed_connection_attempts_are_reported_with_their_cause() {
    // A port without a listener any more, and a socket file that does not exist.
    let closed_port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let connect_to = vec![Address::Tcp(closed_port), Address::Unix(temp_path("none"))];
    let (path, driver) = start("connect", BlockEcho { connect_to, ..BlockEcho::default() });
    let mut client = UnixStream::connect(&path).unwrap();
    client.write_all(b"a").unwrap();
    client.read_exact(&mut vec![0; BLOCK]).unwrap();
    client.write_all(b"q").unwrap();
    client.read_to_end(&mut Vec::new()).unwrap();
    let machine = driver.join().unwrap();
    assert_eq!(machine.failure_causes.len(), 2, "{:?}", machine.failure_causes);
    assert!(machine.failure_causes.iter().any(|c| c.contains("refused")), "{:?}", machine.failure_causes);
}

/// A machine that issues one save or append command per step and records the steps that failed. It skips
/// every second turn: after a long turn the driver settles the machine once more before it executes the
/// commands, so the next step would precede the result of this one.
struct SaveSequence {
    steps: std::vec::IntoIter<(Command, Option<PathBuf>)>,
    failed_steps: Vec<usize>,
    step: usize,
    skips_turn: bool,
    commands: Vec<Command>,
}

impl Machine for SaveSequence {
    fn accepted(&mut self, _listener: usize, _now: Micros) -> Result<ConnId, Vec<u8>> {
        Err(Vec::new())
    }
    fn connected(&mut self, _conn: ConnId, _now: Micros) {}
    fn connect_failed(&mut self, _conn: ConnId, _cause: &str, _now: Micros) {}
    fn received(&mut self, _conn: ConnId, _bytes: &[u8], _now: Micros) {}
    fn peer_finished(&mut self, _conn: ConnId, _now: Micros) -> bool {
        false
    }
    fn closed(&mut self, _conn: ConnId, _cause: &str, _now: Micros) {}
    fn outgoing(&self, _conn: ConnId) -> &[u8] {
        &[]
    }
    fn written(&mut self, _conn: ConnId, _count: usize, _now: Micros) {}
    fn wants_read(&self, _conn: ConnId) -> bool {
        false
    }
    fn save_failed(&mut self, _now: Micros) {
        self.failed_steps.push(self.step);
    }
    fn control(&mut self, _control: Control, _now: Micros) {}
    fn settle(&mut self, now: Micros) -> Option<Micros> {
        self.skips_turn = !self.skips_turn;
        if self.skips_turn {
            return Some(now);
        }
        match self.steps.next() {
            Some((command, file_to_remove)) => {
                self.step += 1;
                if let Some(path) = file_to_remove {
                    std::fs::remove_file(path).unwrap();
                }
                self.commands.push(command);
            }
            None => self.commands.push(Command::Exit),
        }
        Some(now)
    }
    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

#[test]
fn a_saved_list_is_replaced_or_appended_to_and_failed_steps_are_reported() {
    let path = temp_path("state");
    let _ = std::fs::remove_file(&path);
    let (save, append) =
        (|b: &[u8]| Command::SaveList(b.to_vec()), |b: &[u8]| Command::AppendList(b.to_vec()));
    let steps = vec![
        // There is no file yet: appended bytes without a preceding save would not be a valid list.
        (append(b"lost"), None),
        (save(b"old"), None),
        (save(b"one "), None),
        (append(b"two "), None),
        (append(b"three"), None),
        // The file has been removed.
        (append(b"lost"), Some(path.clone())),
        (save(b"four "), None),
        (append(b"five"), None),
    ];
    let machine = SaveSequence {
        steps: steps.into_iter(),
        failed_steps: Vec::new(),
        step: 0,
        skips_turn: false,
        commands: Vec::new(),
    };
    let options = Options { saved_list: Some(path.clone()), ..Options::default() };
    let machine = Driver::new(machine, options).unwrap().run().unwrap();
    assert_eq!(machine.failed_steps, [1, 6]);
    assert_eq!(std::fs::read(&path).unwrap(), b"four five");
    std::fs::remove_file(&path).unwrap();
}
