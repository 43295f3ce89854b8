//! The driver on real sockets: partial writes, peers that stop reading or close one side, calls that fail,
//! and the clock. No test depends on how fast anything is.

use flaxstand_gateway::driver::{Driver, Options};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

/// Answers each byte with a block of its own, stops at `q`, and checks every moment that it is told.
struct Blocks {
    out: BTreeMap<ConnId, Vec<u8>>,
    next: u64,
    commands: Vec<Command>,
    calls: Vec<Address>,
    failed: Vec<String>,
    latest: Micros,
    turn_ended: bool,
    turns: u64,
    quit: bool,
}

impl Default for Blocks {
    fn default() -> Self {
        let (out, next, commands, calls, failed, latest, turns, quit) = Default::default();
        Blocks { out, next, commands, calls, failed, latest, turn_ended: true, turns, quit }
    }
}

const BLOCK: usize = 3_000_000;

impl Blocks {
    fn tick(&mut self, now: Micros) {
        assert!(now >= self.latest, "the clock went back");
        if now != self.latest {
            assert!(self.turn_ended, "two moments in one turn");
            (self.latest, self.turn_ended) = (now, false);
        }
    }
}

impl Machine for Blocks {
    fn accepted(&mut self, _listener: usize, now: Micros) -> Result<ConnId, Vec<u8>> {
        self.tick(now);
        self.next += 1;
        self.out.insert(ConnId(self.next), Vec::new());
        Ok(ConnId(self.next))
    }
    fn connected(&mut self, _conn: ConnId, now: Micros) {
        self.tick(now);
    }
    fn connect_failed(&mut self, _conn: ConnId, cause: &str, now: Micros) {
        self.tick(now);
        self.failed.push(cause.to_owned());
    }
    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        self.tick(now);
        for byte in bytes {
            self.quit |= *byte == b'q';
            self.out.get_mut(&conn).unwrap().extend(vec![*byte; BLOCK]);
        }
        self.commands.push(Command::Flush(conn));
    }
    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool {
        self.tick(now);
        !self.out[&conn].is_empty()
    }
    fn closed(&mut self, conn: ConnId, _cause: &str, now: Micros) {
        self.tick(now);
        self.out.remove(&conn);
    }
    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.out.get(&conn).map_or(&[], |o| o)
    }
    fn written(&mut self, conn: ConnId, count: usize, now: Micros) {
        self.tick(now);
        let out = self.out.get_mut(&conn).unwrap();
        out.drain(..count);
        if out.is_empty() && self.quit {
            self.out.remove(&conn);
            self.commands.push(Command::Close { conn, last: Vec::new() });
            self.commands.push(Command::Exit);
        }
    }
    fn wants_read(&self, conn: ConnId) -> bool {
        self.out.get(&conn).is_some_and(|o| o.len() < 2 * BLOCK)
    }
    fn control(&mut self, _control: Control, now: Micros) {
        self.tick(now);
    }
    fn settle(&mut self, now: Micros) -> Option<Micros> {
        self.tick(now);
        (self.turn_ended, self.turns) = (true, self.turns + 1);
        for address in std::mem::take(&mut self.calls) {
            self.next += 1;
            self.commands.push(Command::Connect { conn: ConnId(self.next), address });
        }
        Some(now.after(Micros(500)))
    }
    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

fn socket(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("flaxstand-driver-{name}-{}", std::process::id()))
}

fn start(name: &str, machine: Blocks) -> (PathBuf, std::thread::JoinHandle<Blocks>) {
    let path = socket(name);
    let mut driver = Driver::new(machine, Options::default()).unwrap();
    driver.listen(&Address::Unix(path.clone())).unwrap();
    (path, std::thread::spawn(move || driver.run().unwrap()))
}

#[test]
fn what_is_written_in_part_arrives_whole_and_a_stuck_reader_holds_up_no_one() {
    let (path, driver) = start("parts", Blocks::default());
    let mut stuck = UnixStream::connect(&path).unwrap();
    // More than the system buffers: it is neither read nor written to any further.
    stuck.write_all(b"xxxxx").unwrap();
    let mut reader = UnixStream::connect(&path).unwrap();
    reader.write_all(b"ab").unwrap();
    let mut bytes = vec![0; 2 * BLOCK];
    reader.read_exact(&mut bytes).unwrap();
    assert!(bytes[..BLOCK].iter().all(|b| *b == b'a') && bytes[BLOCK..].iter().all(|b| *b == b'b'));
    // A peer that sends no more still gets what it asked for.
    reader.write_all(b"q").unwrap();
    reader.shutdown(std::net::Shutdown::Write).unwrap();
    let mut last = Vec::new();
    reader.read_to_end(&mut last).unwrap();
    assert_eq!(last, vec![b'q'; BLOCK]);
    let machine = driver.join().unwrap();
    assert!(machine.turns > 3);
    drop(stuck);
}

#[test]
fn calls_that_fail_are_told_with_their_cause() {
    // A port that was listened at and is no more; a socket file that is none.
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let calls = vec![Address::Tcp(gone), Address::Unix(socket("none"))];
    let (path, driver) = start("calls", Blocks { calls, ..Blocks::default() });
    let mut client = UnixStream::connect(&path).unwrap();
    client.write_all(b"a").unwrap();
    client.read_exact(&mut vec![0; BLOCK]).unwrap();
    client.write_all(b"q").unwrap();
    client.read_to_end(&mut Vec::new()).unwrap();
    let machine = driver.join().unwrap();
    assert_eq!(machine.failed.len(), 2, "{:?}", machine.failed);
    assert!(machine.failed.iter().any(|c| c.contains("refused")), "{:?}", machine.failed);
}

/// Saves and appends step by step, and counts what failed. It pauses after each step: after a long turn the driver
/// settles the machine once more before it carries out the commands, and the next step would come before the result
/// of this one.
struct Saver {
    steps: std::vec::IntoIter<(Command, Option<PathBuf>)>,
    failures: Vec<usize>,
    step: usize,
    pauses: bool,
    commands: Vec<Command>,
}

impl Machine for Saver {
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
        self.failures.push(self.step);
    }
    fn control(&mut self, _control: Control, _now: Micros) {}
    fn settle(&mut self, now: Micros) -> Option<Micros> {
        self.pauses = !self.pauses;
        if self.pauses {
            return Some(now);
        }
        match self.steps.next() {
            Some((command, removed)) => {
                self.step += 1;
                if let Some(path) = removed {
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
fn a_saved_state_is_replaced_or_added_to_and_the_machine_hears_of_what_failed() {
    let path = socket("state");
    let _ = std::fs::remove_file(&path);
    let (save, more) = (|b: &[u8]| Command::SaveList(b.to_vec()), |b: &[u8]| Command::AppendList(b.to_vec()));
    let steps = vec![
        // Nothing is there to add to: bytes without a beginning would be no state.
        (more(b"lost"), None),
        (save(b"old"), None),
        (save(b"one "), None),
        (more(b"two "), None),
        (more(b"three"), None),
        // Somebody took the file away.
        (more(b"lost"), Some(path.clone())),
        (save(b"four "), None),
        (more(b"five"), None),
    ];
    let machine = Saver {
        steps: steps.into_iter(),
        failures: Vec::new(),
        step: 0,
        pauses: false,
        commands: Vec::new(),
    };
    let options = Options { saved_list: Some(path.clone()), ..Options::default() };
    let machine = Driver::new(machine, options).unwrap().run().unwrap();
    assert_eq!(machine.failures, [1, 6]);
    assert_eq!(std::fs::read(&path).unwrap(), b"four five");
    std::fs::remove_file(&path).unwrap();
}
