//! A gateway core on virtual time with scripted peers. The core's output is decoded frame by frame and peers'
//! input is passed to it as bytes. On the platform's HTTP wire the output is kept as text, and requests for
//! the full list are answered automatically; all other responses come from the test.
#![allow(dead_code)]

mod configs;
mod sent_frame;

pub use configs::*;
use flaxstand_gateway::core::{Config, Core, Wire};
use flaxstand_gateway::machine::{Address, Command, ConnId, Machine, Micros};
use flaxstand_proto::*;
use flaxstand_storage::Batch;
pub use sent_frame::SentFrame;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;

pub const READ: u16 = 0;
pub const ONCE: u16 = 1;
pub const STREAM: u16 = 2;

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

/// What happens when the core connects to an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectOutcome {
    /// The connection is established and the peer sends `Welcome` as this node.
    Welcomes(u64),
    /// The connection is established, but the peer sends nothing.
    Silent,
    /// The connection is refused.
    Refused,
    /// The attempt neither succeeds nor fails.
    NoReply,
}

/// A core under test together with its scripted peers.
pub struct Harness {
    pub core: Core,
    pub now: Micros,
    /// Frames that the core wrote, by connection.
    pub sent_frames: BTreeMap<ConnId, Vec<SentFrame>>,
    inboxes: BTreeMap<ConnId, Inbox>,
    /// The same frames as bytes.
    pub sent_bytes: BTreeMap<ConnId, Vec<u8>>,
    wire: Wire,
    /// On the platform's wire: the text that the core wrote, by connection.
    pub sent_text: BTreeMap<ConnId, String>,
    /// Every connection that the core opened with its address, in order.
    pub connect_attempts: Vec<(ConnId, Address)>,
    /// Established outgoing connections with their addresses.
    pub connected: BTreeMap<ConnId, Address>,
    pub closed: BTreeSet<ConnId>,
    /// Connections whose write side the core has shut down; it still reads from them.
    pub write_closed: BTreeSet<ConnId>,
    /// Connections whose peer does not read.
    pub blocked: BTreeSet<ConnId>,
    /// The outcome of connecting to each node address; `list_up` decides for the list service.
    pub connect_outcomes: BTreeMap<Address, ConnectOutcome>,
    pub list: Vec<(u64, State, u32, String)>,
    pub revision: u64,
    pub list_up: bool,
    /// On the platform's wire: how many more list requests are rejected with 503 before one is answered.
    pub rejections_left: u32,
    /// On the platform's wire: requests for the full list wait for a response from the test.
    pub holds_list_calls: bool,
    /// On the platform's wire: requests for changes with a zero timeout are also answered or rejected
    /// automatically.
    pub answers_polls: bool,
    /// When the last list was sent automatically.
    pub listed_at: Micros,
    /// Epochs that nodes report in `Welcome`; 1 where absent.
    pub epochs: BTreeMap<u64, u64>,
    /// Operation, offset and payload of each attempt that the core sent.
    pub attempt_payloads: Vec<(u64, Option<u32>, Vec<u8>)>,
    /// Write-back batches that the disk has not completed yet.
    pub pending_batches: VecDeque<Batch>,
    pub saved: Option<Vec<u8>>,
    pub exited: bool,
    pub connect_count: u32,
    wake: Option<Micros>,
}

pub fn address(node: u64) -> String {
    format!("127.0.0.1:{}", 100 + node)
}

/// A read request of one unit.
pub fn request(id: u64, class: u16, (shard, extent): (Option<u32>, u64)) -> Submit<'static> {
    Submit {
        id,
        operation: 1000 + id,
        class,
        plan: 0,
        volume_initiators: 1,
        try_no: 0,
        write: false,
        volume: 5,
        extent: Some(extent),
        shard,
        units: 1,
        at: None,
        time_left: 1_000_000,
        payload: b"payload",
    }
}

/// A node's list entry with incarnation 1.
pub fn entry(node: u64, state: State, shard: u32, address: &str) -> Entry<'_> {
    Entry { node, incarnation: 1, state, age: None, shard, zone: 0, size: 0, service_time: None, address }
}

pub fn bytes_of(frame: &Frame<'_>) -> Vec<u8> {
    let mut out = Vec::new();
    encode(frame, &mut out);
    out
}

/// The line of an HTTP request with the request's id.
fn id_line(id: &str) -> String {
    format!("X-Request-ID: {id}\r\n")
}

impl Harness {
    /// A core whose list has `nodes` nodes; node `n` holds shard `n`.
    pub fn new(config: Config, nodes: u64) -> Self {
        Self::with_saved(config, nodes, None)
    }

    pub fn with_saved(config: Config, nodes: u64, saved: Option<&[u8]>) -> Self {
        Self::started(config, nodes, saved, true)
    }

    /// A core with a saved list and an unreachable list service.
    pub fn without_list_service(config: Config, nodes: u64, saved: &[u8]) -> Self {
        Self::started(config, nodes, Some(saved), false)
    }

    fn started(config: Config, nodes: u64, saved: Option<&[u8]>, list_up: bool) -> Self {
        let now = ms(1_000_000);
        let wire = config.wire;
        let core = Core::new(config, saved, now).expect("the saved list is valid");
        let (sent_frames, inboxes, connected, closed, blocked) = Default::default();
        let connect_outcomes =
            (0..nodes).map(|n| (address(n).parse().unwrap(), ConnectOutcome::Welcomes(n))).collect();
        let list = (0..nodes).map(|n| (n, State::Serving, n as u32, address(n))).collect();
        let mut harness = Harness {
            core,
            now,
            sent_frames,
            inboxes,
            sent_bytes: BTreeMap::new(),
            wire,
            sent_text: BTreeMap::new(),
            connect_attempts: Vec::new(),
            connected,
            closed,
            write_closed: BTreeSet::new(),
            blocked,
            connect_outcomes,
            list,
            revision: 1,
            list_up,
            rejections_left: 0,
            holds_list_calls: false,
            answers_polls: false,
            listed_at: now,
            epochs: BTreeMap::new(),
            attempt_payloads: Vec::new(),
            pending_batches: VecDeque::new(),
            saved: None,
            exited: false,
            connect_count: 0,
            wake: None,
        };
        harness.run(5);
        harness
    }

    /// When the core's next timer is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.wake
    }

    /// A turn of the driver after its input: settles the core and executes its commands until it has none left.
    pub fn turn(&mut self) {
        self.core.input_delivered(self.now);
        self.wake = self.core.settle(self.now);
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                break;
            }
            commands.into_iter().for_each(|c| self.execute(c));
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Connect { conn, address } => self.connect(conn, address),
            Command::Flush(conn) => self.drain(conn),
            Command::ShutdownWrite(conn) => {
                self.drain(conn);
                self.write_closed.insert(conn);
            }
            Command::Close { conn, last } => {
                self.record_sent(conn, &last);
                self.closed.insert(conn);
                self.connected.remove(&conn);
            }
            Command::SaveList(bytes) => self.saved = Some(bytes),
            Command::AppendList(bytes) => self.saved.get_or_insert_default().extend(bytes),
            Command::Exit => self.exited = true,
            Command::StoreWriteBack(batch) => self.pending_batches.push_back(batch),
            // Consensus records are stored immediately.
            Command::StoreConsensus(_) => self.core.consensus_stored(true, self.now),
            Command::SaveReplicatedState(_) => {}
            Command::StopListening | Command::Print(_) | Command::AppendOutput(..) => {}
        }
    }

    fn connect(&mut self, conn: ConnId, address: Address) {
        self.connect_count += 1;
        self.connect_attempts.push((conn, address.clone()));
        let is_list = address == "127.0.0.1:1".parse().unwrap();
        let outcome = match is_list {
            true if self.list_up => ConnectOutcome::Welcomes(0),
            true => ConnectOutcome::Refused,
            false => self.connect_outcomes.get(&address).copied().unwrap_or(ConnectOutcome::Refused),
        };
        match outcome {
            ConnectOutcome::Refused => self.core.connect_failed(conn, "refused", self.now),
            ConnectOutcome::NoReply => {}
            ConnectOutcome::Welcomes(_) | ConnectOutcome::Silent => {
                self.connected.insert(conn, address);
                self.core.connected(conn, self.now);
                if self.wire == Wire::Platform {
                    return;
                }
                if let ConnectOutcome::Welcomes(id) = outcome {
                    let role = if is_list { Role::List } else { Role::Node };
                    let epoch = self.epochs.get(&id).copied().unwrap_or(1);
                    self.send_frame(
                        conn,
                        &Frame::Welcome(Welcome { version: VERSION, role, id, epoch, name: "" }),
                    );
                }
            }
        }
    }

    /// The peer reads all pending output, unless the connection is blocked.
    pub fn drain(&mut self, conn: ConnId) {
        if self.blocked.contains(&conn) {
            return;
        }
        let bytes = self.core.outgoing(conn).to_vec();
        self.core.written(conn, bytes.len(), self.now);
        self.record_sent(conn, &bytes);
    }

    fn record_sent(&mut self, conn: ConnId, bytes: &[u8]) {
        if self.wire == Wire::Platform {
            let text = String::from_utf8_lossy(bytes);
            self.sent_text.entry(conn).or_default().push_str(&text);
            let is_full = text.starts_with("GET /v1/endpoints HTTP");
            let is_poll = text.starts_with("GET /v1/endpoints?") && text.contains("timeout_ms=0 ");
            if is_full && !self.holds_list_calls || is_poll && self.answers_polls {
                if self.rejections_left > 0 {
                    self.rejections_left -= 1;
                    return self.answer(conn, "503 Busy", "");
                }
                self.listed_at = self.now;
                let list = self.listing(is_full);
                self.answer(conn, "200 OK", &list);
            }
            return;
        }
        self.sent_bytes.entry(conn).or_default().extend_from_slice(bytes);
        let mut sent = Vec::new();
        let payloads = &mut self.attempt_payloads;
        let inbox = self.inboxes.entry(conn).or_default();
        inbox
            .feed(bytes, |frame| {
                if let Frame::Attempt(a) = &frame {
                    payloads.push((a.operation, a.at, a.payload.to_vec()));
                }
                sent.push(SentFrame::of(&frame));
                true
            })
            .expect("the core writes valid frames");
        for frame in sent {
            if matches!(frame, SentFrame::Watch | SentFrame::GetList) {
                self.send_list(conn);
            }
            self.sent_frames.entry(conn).or_default().push(frame);
        }
    }

    /// The current list as the platform's JSON; `all` marks it as a full list.
    pub fn listing(&self, all: bool) -> String {
        let mut text = format!(r#"{{"rev":{},"all":{all},"targets":["#, self.revision);
        for (at, (node, state, shard, address)) in self.list.iter().enumerate() {
            let state = match state {
                State::Serving => "up",
                State::Draining => "draining",
                State::Removed => "removed",
            };
            let comma = if at > 0 { "," } else { "" };
            let _ = write!(
                text,
                r#"{comma}{{"uid":"s-{node}","endpoint":"{address}","az":"a","pod_group":{shard},"state":"{state}"}}"#
            );
        }
        text + "]}"
    }

    /// A peer sends an HTTP response.
    pub fn answer(&mut self, conn: ConnId, status: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.send_bytes(conn, text.as_bytes());
    }

    /// A peer sends bytes to the core.
    pub fn send_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.core.received(conn, bytes, self.now);
    }

    /// The text that the core wrote on a connection.
    pub fn sent_text_on(&self, conn: ConnId) -> &str {
        self.sent_text.get(&conn).map_or("", |t| t)
    }

    /// Opens a client connection on the platform's wire.
    pub fn http_client(&mut self) -> ConnId {
        let conn = self.core.accepted(0, self.now).expect("the connection limit is not reached");
        self.turn();
        conn
    }

    /// Sends a client's request on the platform's wire. Returns the client's connection and the connection to
    /// node 0 on which the request is in flight.
    pub fn request_in_flight(&mut self, id: &str, class: &str) -> (ConnId, ConnId) {
        let client = self.http_client();
        self.send_bytes(client, request_text(id, class).as_bytes());
        self.run(5);
        (client, *self.conns_to(0).last().expect("the request was sent to node 0"))
    }

    /// The HTTP status codes that a client received.
    pub fn statuses(&self, conn: ConnId) -> Vec<u16> {
        let heads = self.sent_text_on(conn).split("HTTP/1.1 ").skip(1);
        heads.map(|h| h[..3].parse().expect("a status code")).collect()
    }

    /// Every connection opened to a node, in order.
    pub fn conns_to(&self, node: u64) -> Vec<ConnId> {
        let at: Address = address(node).parse().unwrap();
        self.connect_attempts.iter().filter(|(_, a)| *a == at).map(|(c, _)| *c).collect()
    }

    /// Number of attempts of a request sent to node 0, over all its connections.
    pub fn attempts_sent(&self, id: &str) -> usize {
        self.conns_to(0).iter().map(|l| self.sent_text_on(*l).matches(&id_line(id)).count()).sum()
    }

    /// The newest connection to node 0 that carried a request.
    pub fn carrier(&self, id: &str) -> Option<ConnId> {
        self.conns_to(0).into_iter().rfind(|conn| self.sent_text_on(*conn).contains(&id_line(id)))
    }

    /// The list service sends the current list as a full list.
    pub fn send_list(&mut self, conn: ConnId) {
        let list = self.list.clone();
        let entries = list.iter().map(|(node, state, shard, address)| entry(*node, *state, *shard, address));
        let (since, revision) = (self.revision, self.revision);
        let list = List { extent: Extent::Full, since, revision, entries: entries.collect() };
        self.send_frame(conn, &Frame::List(list));
    }

    /// The connection to the list service.
    pub fn list_conn(&self) -> ConnId {
        let list = "127.0.0.1:1".parse().unwrap();
        *self
            .connected
            .iter()
            .find(|(_, a)| **a == list)
            .expect("the core is connected to the list service")
            .0
    }

    /// The connection to a node.
    pub fn node_conn(&self, node: u64) -> ConnId {
        let at: Address = address(node).parse().unwrap();
        *self.connected.iter().find(|(_, a)| **a == at).expect("the core is connected to the node").0
    }

    /// A peer sends a frame to the core.
    pub fn send_frame(&mut self, conn: ConnId, frame: &Frame<'_>) {
        self.core.received(conn, &bytes_of(frame), self.now);
    }

    /// Advances the clock, with a turn whenever one of the core's timers is due.
    pub fn run(&mut self, millis: u64) {
        let until = self.now.after(ms(millis));
        self.turn();
        while let Some(wake) = self.wake.filter(|w| *w <= until) {
            self.now = self.now.max(wake);
            self.turn();
        }
        self.now = until;
        self.turn();
    }

    /// Opens a client connection and completes its handshake.
    pub fn client(&mut self) -> ConnId {
        let conn = self.core.accepted(0, self.now).expect("the connection limit is not reached");
        let hello = Hello { role: Role::Client, versions: (VERSION, VERSION), id: 1, epoch: 1, name: "test" };
        self.send_frame(conn, &Frame::Hello(hello));
        self.turn();
        conn
    }

    pub fn submit(&mut self, conn: ConnId, id: u64, class: u16, shard: Option<u32>) {
        self.submit_within(conn, id, class, shard, 1000);
    }

    pub fn submit_within(&mut self, conn: ConnId, id: u64, class: u16, shard: Option<u32>, millis: u32) {
        self.submit_as(conn, id, class, (shard, id), millis);
    }

    pub fn submit_extent(&mut self, conn: ConnId, id: u64, class: u16, extent: u64, millis: u32) {
        self.submit_as(conn, id, class, (Some(0), extent), millis);
    }

    fn submit_as(&mut self, conn: ConnId, id: u64, class: u16, to: (Option<u32>, u64), millis: u32) {
        self.send_frame(conn, &Frame::Submit(Submit { time_left: millis * 1000, ..request(id, class, to) }));
    }

    /// Request and attempt numbers of the attempts sent to a node.
    pub fn attempts(&self, node: u64) -> Vec<(u64, u32)> {
        let at: Address = address(node).parse().unwrap();
        let conns = self.connected.iter().filter(|(_, a)| **a == at).map(|(c, _)| c);
        conns.flat_map(|c| self.attempts_on(*c)).collect()
    }

    pub fn attempts_on(&self, conn: ConnId) -> Vec<(u64, u32)> {
        let numbers = |s: &SentFrame| match s {
            SentFrame::Attempt { request, attempt, .. } => Some((*request, *attempt)),
            _ => None,
        };
        self.sent_frames.get(&conn).into_iter().flatten().filter_map(numbers).collect()
    }

    /// A node reports an attempt as done.
    pub fn done(&mut self, conn: ConnId, (request, attempt): (u64, u32), code: Code, payload: &[u8]) {
        let report = Report::default();
        self.send_frame(conn, &Frame::Done(Done { request, attempt, code, report, payload }));
    }

    /// Final responses that a client received.
    pub fn answers(&self, conn: ConnId) -> Vec<SentFrame> {
        let is_final = |s: &&SentFrame| {
            use SentFrame::*;
            matches!(s, Served(..) | Refused(..) | Failed(_) | Buffered(_) | Barred(_) | Flushed(_))
        };
        self.sent_frames.get(&conn).into_iter().flatten().filter(is_final).cloned().collect()
    }

    pub fn sent_frames_on(&self, conn: ConnId) -> &[SentFrame] {
        self.sent_frames.get(&conn).map_or(&[], |s| &s[..])
    }
}
