//! A core on virtual time between scripted peers: what it writes is read frame by frame, what peers say is
//! handed to it as bytes. On the platform's wire what it writes is kept as bytes, and the list service's first
//! call is answered; all else is the test's to say.
#![allow(dead_code)]

use flaxstand::api::{Class, DeduplicationScope, Effect, Plan, Settings};
use flaxstand_gateway::core::{Bounds, ClassInfo, Config, Core, Policy, Site, Timeouts, Wire};
use flaxstand_gateway::machine::{Address, Command, ConnId, Machine, Micros};
use flaxstand_proto::*;
use flaxstand_storage::Batch;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;

pub const READ: u16 = 0;
pub const ONCE: u16 = 1;
pub const STREAM: u16 = 2;

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

pub fn config() -> Config {
    let class = |effect| Class {
        latency_objective: 200.0,
        objective_stretch: 0.0,
        deadline: 1000.0,
        late_value: 0.2,
        priority_weight: 1.0,
        effect,
        in_order: false,
    };
    let info = |name: &str, stream| ClassInfo { name: name.into(), is_streamed: stream, is_buffered: false };
    let settings = Settings {
        initiators: 1,
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce), class(Effect::Idempotent)],
        plans: vec![Plan {
            base_rate: 100.0,
            reserve_rate: 100.0,
            limit_rate: 0.0,
            limit_burst: 0.0,
            priority_factor: 1.0,
        }],
        polls_list: false,
        poll_within: 10_000.0,
        notification_terms: None,
        max_attempts: 3,
        max_concurrent_attempts: 1,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 300.0,
        initial_capacity: 0.2,
        warm_up_time: 5000.0,
        overload_multiple: 4.0,
        slow_start_window: 1000.0,
        slow_start_min_units: 4.0,
        key_cooldown: 0.0,
        retry_budget: None,
        mean_units: 1.0,
        max_units: 4.0,
        shared_weight: 0.3,
        spare_weight: 0.1,
        tick: 1.0,
    };
    Config {
        name: "tested".into(),
        index: 0,
        epoch: 1,
        calendar: 0,
        seed: 3,
        discovery_address: "127.0.0.1:1".parse().unwrap(),
        site: Site {
            settings,
            classes: vec![info("read", false), info("once", false), info("stream", true)],
            plans: vec!["plan".into()],
            timeouts: Timeouts::default(),
            write_back: None,
            retry_throttle: None,
        },
        bounds: Bounds::default(),
        policy: Policy::Module,
        wire: Wire::Frames,
        consensus: None,
    }
}

/// The same on the platform's wire, where a watch of the list waits for so long at most.
pub fn on_platform(watch: u64) -> Config {
    let mut c = config();
    c.wire = Wire::Platform;
    c.site.settings.polls_list = true;
    c.site.timeouts = Timeouts {
        node_idle_timeout: ms(18_000),
        max_long_poll: ms(watch),
        shutdown_grace: ms(1400),
        shutdown_timeout: ms(1600),
        ..c.site.timeouts
    };
    c.site.classes[2].is_streamed = false;
    c
}

/// The same, with the third class "keyed": nodes of a shard drop its repeats for so long.
pub fn with_keyed(watch: u64, window: f64) -> Config {
    let mut c = on_platform(watch);
    let keyed = Effect::IdempotencyKey { group: DeduplicationScope::Shard, window };
    c.site.settings.classes[2] = Class { effect: keyed, ..c.site.settings.classes[2].clone() };
    c.site.classes[2].name = "keyed".into();
    c
}

pub const PATH: &str = "/api/00000003b4d60021/7f3a9c21e0b4d655";

/// A read as a client of the platform asks for it.
pub fn ask_as(id: &str, class: &str, shard: i64, timeout: &str) -> String {
    format!(
        "GET {PATH} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Qos-Policy: plan\r\nX-Timeout: {timeout}\r\nX-Placement: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}

/// What the core wrote, in a form that outlives the bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Hello,
    Welcome,
    Bye(CloseReason),
    Served(u64, u32, Vec<u8>),
    Refused(u64, Refusal),
    Failed(u64),
    Part(u64, Vec<u8>),
    Attempt { request: u64, attempt: u32, operation: u64 },
    Cancel(u64),
    Probe(u64),
    Buffered(u64),
    Barred(u64),
    Flushed(u64),
    Status(String),
    Agreement(Vec<u8>),
    Watch,
    GetList,
    Other,
}

fn said(frame: &Frame<'_>) -> Said {
    match *frame {
        Frame::Hello(_) => Said::Hello,
        Frame::Welcome(_) => Said::Welcome,
        Frame::Bye { close_reason, .. } => Said::Bye(close_reason),
        Frame::Served { id, shard, payload } => Said::Served(id, shard, payload.to_vec()),
        Frame::Refused { id, refusal, .. } => Said::Refused(id, refusal),
        Frame::Failed { id } => Said::Failed(id),
        Frame::Part { id, payload } => Said::Part(id, payload.to_vec()),
        Frame::Attempt(a) => Said::Attempt { request: a.request, attempt: a.attempt, operation: a.operation },
        Frame::Cancel { request, .. } => Said::Cancel(request),
        Frame::Probe { token } => Said::Probe(token),
        Frame::Buffered { id } => Said::Buffered(id),
        Frame::Barred { id } => Said::Barred(id),
        Frame::Flushed { id } => Said::Flushed(id),
        Frame::Status { json, .. } => Said::Status(String::from_utf8_lossy(json).into_owned()),
        Frame::Agreement { bytes } => Said::Agreement(bytes.to_vec()),
        Frame::Watch => Said::Watch,
        Frame::GetList => Said::GetList,
        _ => Said::Other,
    }
}

/// How a scripted node takes a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dial {
    /// Stands, and greets as node number so and so.
    Greets(u64),
    /// Stands, and says nothing.
    Deaf,
    /// Refused.
    Refused,
    /// Never heard of again.
    Lost,
}

pub struct World {
    pub core: Core,
    pub now: Micros,
    /// What the core wrote on each connection.
    pub said: BTreeMap<ConnId, Vec<Said>>,
    inboxes: BTreeMap<ConnId, Inbox>,
    /// The same, as bytes.
    pub raw: BTreeMap<ConnId, Vec<u8>>,
    wire: Wire,
    /// On the platform: the bytes that the core wrote on each connection.
    pub heard: BTreeMap<ConnId, String>,
    /// Connections called, in their order, with the address.
    pub dialled: Vec<(ConnId, Address)>,
    /// Connections that the core called and that stand, with the address called.
    pub called: BTreeMap<ConnId, Address>,
    pub closed: BTreeSet<ConnId>,
    /// Connections on which the core sends nothing more; it still reads them.
    pub shut: BTreeSet<ConnId>,
    /// Connections whose peer does not read.
    pub blocked: BTreeSet<ConnId>,
    /// How each address takes a call; the list service's stands by itself.
    pub dials: BTreeMap<Address, Dial>,
    pub list: Vec<(u64, State, u32, String)>,
    pub revision: u64,
    pub list_up: bool,
    /// On the platform: calls for the whole list that are turned away before one is answered; when the last was.
    pub busy: u32,
    /// On the platform: calls for the whole list are the test's to answer.
    pub leaves_calls: bool,
    /// On the platform: calls for changes that may not wait are answered at once too, or turned away.
    pub answers_at_once: bool,
    pub listed_at: Micros,
    /// Which start a node says it is, where not the first.
    pub starts: BTreeMap<u64, u64>,
    /// What attempts brought: operation, where it begins, data.
    pub brought: Vec<(u64, Option<u32>, Vec<u8>)>,
    /// Batches that the disk has not done yet.
    pub batches: VecDeque<Batch>,
    pub saved: Option<Vec<u8>>,
    pub exited: bool,
    pub calls: u32,
    wake: Option<Micros>,
}

pub fn address(node: u64) -> String {
    format!("127.0.0.1:{}", 100 + node)
}

/// A read of one unit.
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

/// A node's entry in the list, at its first start.
pub fn entry(node: u64, state: State, shard: u32, address: &str) -> Entry<'_> {
    Entry { node, incarnation: 1, state, age: None, shard, zone: 0, size: 0, service_time: None, address }
}

pub fn bytes_of(frame: &Frame<'_>) -> Vec<u8> {
    let mut out = Vec::new();
    encode(frame, &mut out);
    out
}

impl World {
    /// A core whose list has so many nodes; node and shard have one number.
    pub fn new(config: Config, nodes: u64) -> Self {
        Self::with_saved(config, nodes, None)
    }

    pub fn with_saved(config: Config, nodes: u64, saved: Option<&[u8]>) -> Self {
        Self::started(config, nodes, saved, true)
    }

    /// A core that never reaches the list service.
    pub fn cut_off(config: Config, nodes: u64, saved: &[u8]) -> Self {
        Self::started(config, nodes, Some(saved), false)
    }

    fn started(config: Config, nodes: u64, saved: Option<&[u8]>, list_up: bool) -> Self {
        let now = ms(1_000_000);
        let wire = config.wire;
        let core = Core::new(config, saved, now).expect("the saved list is sound");
        let (said, inboxes, called, closed, blocked) = Default::default();
        let dials = (0..nodes).map(|n| (address(n).parse().unwrap(), Dial::Greets(n))).collect();
        let list = (0..nodes).map(|n| (n, State::Serving, n as u32, address(n))).collect();
        let mut world = World {
            core,
            now,
            said,
            inboxes,
            raw: BTreeMap::new(),
            wire,
            heard: BTreeMap::new(),
            dialled: Vec::new(),
            called,
            closed,
            shut: BTreeSet::new(),
            blocked,
            dials,
            list,
            revision: 1,
            list_up,
            busy: 0,
            leaves_calls: false,
            answers_at_once: false,
            listed_at: now,
            starts: BTreeMap::new(),
            brought: Vec::new(),
            batches: VecDeque::new(),
            saved: None,
            exited: false,
            calls: 0,
            wake: None,
        };
        world.run(5);
        world
    }

    /// When the core wants to be called again.
    pub fn next_wake(&self) -> Option<Micros> {
        self.wake
    }

    pub fn turn(&mut self) {
        self.wake = self.core.settle(self.now);
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                break;
            }
            commands.into_iter().for_each(|c| self.carry_out(c));
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Connect { conn, address } => self.dial(conn, address),
            Command::Flush(conn) => self.drain(conn),
            Command::ShutdownWrite(conn) => {
                self.drain(conn);
                self.shut.insert(conn);
            }
            Command::Close { conn, last } => {
                self.hear(conn, &last);
                self.closed.insert(conn);
                self.called.remove(&conn);
            }
            Command::SaveList(bytes) => self.saved = Some(bytes),
            Command::AppendList(bytes) => self.saved.get_or_insert_default().extend(bytes),
            Command::Exit => self.exited = true,
            Command::StoreWriteBack(batch) => self.batches.push_back(batch),
            // A disk that is done at once.
            Command::StoreConsensus(_) => self.core.consensus_stored(true, self.now),
            Command::SaveReplicatedState(_) => {}
            Command::StopListening | Command::Print(_) | Command::AppendOutput(..) => {}
        }
    }

    fn dial(&mut self, conn: ConnId, address: Address) {
        self.calls += 1;
        self.dialled.push((conn, address.clone()));
        let list = address == "127.0.0.1:1".parse().unwrap();
        let dial = match list {
            true if self.list_up => Dial::Greets(0),
            true => Dial::Refused,
            false => self.dials.get(&address).copied().unwrap_or(Dial::Refused),
        };
        match dial {
            Dial::Refused => self.core.connect_failed(conn, "refused", self.now),
            Dial::Lost => {}
            Dial::Greets(_) | Dial::Deaf => {
                self.called.insert(conn, address);
                self.core.connected(conn, self.now);
                if self.wire == Wire::Platform {
                    return;
                }
                if let Dial::Greets(id) = dial {
                    let role = if list { Role::List } else { Role::Node };
                    let epoch = self.starts.get(&id).copied().unwrap_or(1);
                    self.tell(conn, &Frame::Welcome(Welcome { version: VERSION, role, id, epoch, name: "" }));
                }
            }
        }
    }

    /// The peer reads all that waits.
    pub fn drain(&mut self, conn: ConnId) {
        if self.blocked.contains(&conn) {
            return;
        }
        let bytes = self.core.outgoing(conn).to_vec();
        self.core.written(conn, bytes.len(), self.now);
        self.hear(conn, &bytes);
    }

    fn hear(&mut self, conn: ConnId, bytes: &[u8]) {
        if self.wire == Wire::Platform {
            let text = String::from_utf8_lossy(bytes);
            self.heard.entry(conn).or_default().push_str(&text);
            let whole = text.starts_with("GET /v1/endpoints HTTP");
            let at_once = text.starts_with("GET /v1/endpoints?") && text.contains("timeout_ms=0 ");
            if whole && !self.leaves_calls || at_once && self.answers_at_once {
                if self.busy > 0 {
                    self.busy -= 1;
                    return self.answer(conn, "503 Busy", "");
                }
                self.listed_at = self.now;
                let list = self.listing(whole);
                self.answer(conn, "200 OK", &list);
            }
            return;
        }
        self.raw.entry(conn).or_default().extend_from_slice(bytes);
        let mut heard = Vec::new();
        let brought = &mut self.brought;
        let inbox = self.inboxes.entry(conn).or_default();
        inbox
            .feed(bytes, |frame| {
                if let Frame::Attempt(a) = &frame {
                    brought.push((a.operation, a.at, a.payload.to_vec()));
                }
                heard.push(said(&frame));
                true
            })
            .expect("the core writes frames");
        for said in heard {
            if matches!(said, Said::Watch | Said::GetList) {
                self.tell_list(conn);
            }
            self.said.entry(conn).or_default().push(said);
        }
    }

    /// The list in the platform's words.
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

    /// A peer answers what it was asked over HTTP.
    pub fn answer(&mut self, conn: ConnId, status: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.says(conn, text.as_bytes());
    }

    /// Bytes of a peer.
    pub fn says(&mut self, conn: ConnId, bytes: &[u8]) {
        self.core.received(conn, bytes, self.now);
    }

    /// What the core wrote there.
    pub fn heard_on(&self, conn: ConnId) -> &str {
        self.heard.get(&conn).map_or("", |t| t)
    }

    /// A client's connection on the platform.
    pub fn http_client(&mut self) -> ConnId {
        let conn = self.core.accepted(0, self.now).expect("there is room");
        self.turn();
        conn
    }

    /// A client of the platform whose request is out at node 0, and the connection that carries it.
    pub fn asked(&mut self, id: &str, class: &str) -> (ConnId, ConnId) {
        let client = self.http_client();
        self.says(client, ask_as(id, class, 0, "1.000").as_bytes());
        self.run(5);
        (client, *self.links(0).last().expect("it was sent"))
    }

    /// The statuses that a client of the platform was answered with.
    pub fn statuses(&self, conn: ConnId) -> Vec<u16> {
        let heads = self.heard_on(conn).split("HTTP/1.1 ").skip(1);
        heads.map(|h| h[..3].parse().expect("a status")).collect()
    }

    /// Connections to a node on which a request is or was, in the order of calling.
    pub fn links(&self, node: u64) -> Vec<ConnId> {
        let at: Address = address(node).parse().unwrap();
        self.dialled.iter().filter(|(_, a)| *a == at).map(|(c, _)| *c).collect()
    }

    pub fn tell_list(&mut self, conn: ConnId) {
        let list = self.list.clone();
        let entries = list.iter().map(|(node, state, shard, address)| entry(*node, *state, *shard, address));
        let (since, revision) = (self.revision, self.revision);
        let list = List { extent: Extent::Full, since, revision, entries: entries.collect() };
        self.tell(conn, &Frame::List(list));
    }

    /// The list's connection.
    pub fn list_conn(&self) -> ConnId {
        let list = "127.0.0.1:1".parse().unwrap();
        *self.called.iter().find(|(_, a)| **a == list).expect("the list service was called").0
    }

    /// A node's connection.
    pub fn node_conn(&self, node: u64) -> ConnId {
        let at: Address = address(node).parse().unwrap();
        *self.called.iter().find(|(_, a)| **a == at).expect("the node was called").0
    }

    /// A peer says something.
    pub fn tell(&mut self, conn: ConnId, frame: &Frame<'_>) {
        self.core.received(conn, &bytes_of(frame), self.now);
    }

    /// Time passes, with a turn at each moment that the core asks for.
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

    /// A client that has been greeted.
    pub fn client(&mut self) -> ConnId {
        let conn = self.core.accepted(0, self.now).expect("there is room");
        let hello = Hello { role: Role::Client, versions: (VERSION, VERSION), id: 1, epoch: 1, name: "test" };
        self.tell(conn, &Frame::Hello(hello));
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
        self.tell(conn, &Frame::Submit(Submit { time_left: millis * 1000, ..request(id, class, to) }));
    }

    /// Attempts that a node was sent.
    pub fn attempts(&self, node: u64) -> Vec<(u64, u32)> {
        let at: Address = address(node).parse().unwrap();
        let conns = self.called.iter().filter(|(_, a)| **a == at).map(|(c, _)| c);
        conns.flat_map(|c| self.attempts_on(*c)).collect()
    }

    pub fn attempts_on(&self, conn: ConnId) -> Vec<(u64, u32)> {
        let of = |s: &Said| match s {
            Said::Attempt { request, attempt, .. } => Some((*request, *attempt)),
            _ => None,
        };
        self.said.get(&conn).into_iter().flatten().filter_map(of).collect()
    }

    pub fn done(&mut self, conn: ConnId, (request, attempt): (u64, u32), code: Code, payload: &[u8]) {
        let report = Report::default();
        self.tell(conn, &Frame::Done(Done { request, attempt, code, report, payload }));
    }

    /// Final answers that a client read.
    pub fn answers(&self, conn: ConnId) -> Vec<Said> {
        let last = |s: &&Said| {
            use Said::*;
            matches!(s, Served(..) | Refused(..) | Failed(_) | Buffered(_) | Barred(_) | Flushed(_))
        };
        self.said.get(&conn).into_iter().flatten().filter(last).cloned().collect()
    }

    pub fn said_on(&self, conn: ConnId) -> &[Said] {
        self.said.get(&conn).map_or(&[], |s| &s[..])
    }
}
