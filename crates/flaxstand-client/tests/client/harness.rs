//! A scripted initiator on virtual time, connected to the client under test.

use flaxstand_client::*;
use flaxstand_proto::*;
use std::collections::BTreeMap;

/// Most rounds in which the client's commands are executed before a step ends.
const MAX_COMMAND_ROUNDS: usize = 10;

pub fn milliseconds(count: u64) -> Micros {
    Micros(count * 1000)
}

pub fn config() -> Config {
    Config { seed: 7, ..Config::default() }
}

/// A write to volume 0 for an even operation, to volume 1 for an odd one.
pub fn write_request(operation: u64, retry_safety: RetrySafety, timeout_ms: u64) -> Request {
    Request {
        operation,
        class: 0,
        plan: 0,
        volume_initiators: 1,
        write: true,
        volume: operation % 2,
        extent: Some(operation),
        shard: Some(0),
        write_offset: None,
        units: 1,
        payload: b"seat".to_vec(),
        retry_safety,
        timeout: milliseconds(timeout_ms),
    }
}

/// An attempt as the initiator received it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAttempt {
    pub at: Micros,
    pub id: u64,
    pub operation: u64,
    pub volume: u64,
    pub try_no: u8,
    pub time_left: u32,
}

/// The result of a request, and when it was reported.
#[derive(Debug)]
pub struct Ended {
    pub at: Micros,
    pub result: Result<Answer, AbandonedRequest>,
}

/// The client, and an initiator that the test controls.
pub struct Harness {
    pub client: Client,
    pub now: Micros,
    inbox: Inbox,
    pub is_connected: bool,
    pub accepts_connections: bool,
    /// Times of successful and failed connects.
    pub connects: Vec<Micros>,
    pub received: Vec<ReceivedAttempt>,
    pub ended: BTreeMap<RequestId, Ended>,
    next_wake: Option<Micros>,
}

impl Harness {
    pub fn new(config: Config) -> Self {
        Harness {
            client: Client::new(config),
            now: milliseconds(1000),
            inbox: Inbox::default(),
            is_connected: false,
            accepts_connections: true,
            connects: Vec::new(),
            received: Vec::new(),
            ended: BTreeMap::new(),
            next_wake: None,
        }
    }

    pub fn submit(&mut self, request: Request) -> RequestId {
        let id = self.client.submit(request, self.now);
        self.advance();
        id
    }

    /// Advances the client to the current time and lets the initiator read everything it wrote.
    pub fn advance(&mut self) {
        for _ in 0..MAX_COMMAND_ROUNDS {
            self.next_wake = self.client.advance(self.now);
            let commands = self.client.take_commands();
            for command in &commands {
                self.execute(*command);
            }
            self.read_from_client(usize::MAX);
            if commands.is_empty() {
                break;
            }
        }
        for completion in self.client.take_completions() {
            let ended = Ended { at: self.now, result: completion.result };
            let previous = self.ended.insert(completion.request, ended);
            assert!(previous.is_none(), "{:?} completed twice", completion.request);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Connect => self.accept_or_reject(),
            Command::Close => self.is_connected = false,
        }
    }

    fn accept_or_reject(&mut self) {
        self.connects.push(self.now);
        self.inbox = Inbox::default();
        self.is_connected = self.accepts_connections;
        if self.accepts_connections {
            self.client.handle_connected(self.now);
            let welcome = Welcome { version: VERSION, role: Role::Initiator, id: 0, epoch: 1, name: "i" };
            self.send(&Frame::Welcome(welcome));
        } else {
            self.client.handle_disconnected(self.now);
        }
    }

    /// Lets the initiator read at most `max_bytes` of the pending bytes.
    pub fn read_from_client(&mut self, max_bytes: usize) {
        if !self.is_connected {
            return;
        }
        let bytes = self.client.pending_bytes().to_vec();
        let bytes = &bytes[..bytes.len().min(max_bytes)];
        self.client.mark_written(bytes.len());
        let (at, received) = (self.now, &mut self.received);
        let fed = self.inbox.feed(bytes, |frame| {
            if let Frame::Submit(submit) = frame {
                let Submit { id, operation, volume, try_no, time_left, .. } = submit;
                received.push(ReceivedAttempt { at, id, operation, volume, try_no, time_left });
            }
            true
        });
        fed.expect("the client writes valid frames");
    }

    /// Lets the initiator send a frame.
    pub fn send(&mut self, frame: &Frame<'_>) {
        if self.is_connected {
            let mut bytes = Vec::new();
            encode(frame, &mut bytes);
            self.client.handle_bytes(&bytes, self.now);
        }
    }

    pub fn refuse(&mut self, attempt_id: u64, wait_ms: u64, scope: Scope) {
        let wait = milliseconds(wait_ms).0 as u32;
        self.send(&Frame::Refused { id: attempt_id, wait, refusal: Refusal::Load, scope });
        self.advance();
    }

    pub fn lose_connection(&mut self) {
        if std::mem::take(&mut self.is_connected) {
            self.client.handle_disconnected(self.now);
            self.advance();
        }
    }

    /// Advances the time by a duration, with a call of the client at each wake-up time it returns.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now.after(milliseconds(duration_ms));
        self.advance();
        while let Some(wake) = self.next_wake.filter(|wake| *wake <= until) {
            self.now = self.now.max(wake);
            self.advance();
        }
        self.now = until;
        self.advance();
    }

    pub fn last_received(&self) -> ReceivedAttempt {
        *self.received.last().expect("the initiator received no attempt")
    }

    pub fn abandoned(&self, id: RequestId) -> AbandonedRequest {
        *self.ended[&id].result.as_ref().expect_err("the request was not abandoned")
    }
}
