//! The client without I/O: plain calls in, [`Command`]s and [`Done`]s out. Whoever drives it opens the one
//! connection, carries bytes, and tells the time.

use crate::retry::Pace;
use flaxstand_proto::{
    CloseReason, Frame, Hello, Inbox, Micros, Outbox, Refusal, Role, Scope, Submit, VERSION, VERSION_OLDEST,
};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// How a client behaves. Durations in microseconds.
#[derive(Clone, Debug)]
pub struct Config {
    /// A name for the initiator's log, at most 255 bytes.
    pub name: String,
    /// The client's own number.
    pub id: u64,
    /// Seed of its draws: each client needs its own, or crowds come back as one.
    pub seed: u64,
    /// Calls that may be under way; one more is given up at once.
    pub calls: usize,
    /// End of the first draw of a wait before a retry; it doubles with each.
    pub retry_first: Micros,
    /// Longest such end.
    pub retry_most: Micros,
    /// Retries allowed however few calls there are, within `budget_span`.
    pub budget_floor: f64,
    /// Retries allowed for each call, within `budget_span`.
    pub budget_ratio: f64,
    /// How far back the budget looks.
    pub budget_span: Micros,
    /// Shortest and longest wait before the initiator is called again.
    pub reconnect_first: Micros,
    /// See above.
    pub reconnect_most: Micros,
    /// A connection that does not stand within this is given up.
    pub dial: Micros,
    /// A try that could not be answered within this is not made any more.
    pub least_try: Micros,
}

impl Default for Config {
    fn default() -> Self {
        let ms = |ms: u64| Micros(ms * 1000);
        Config {
            name: "client".into(),
            id: 0,
            seed: 0,
            calls: 10_000,
            retry_first: ms(20),
            retry_most: ms(1000),
            budget_floor: 3.0,
            budget_ratio: 0.2,
            budget_span: ms(10_000),
            reconnect_first: ms(50),
            reconnect_most: ms(5000),
            dial: ms(1000),
            least_try: ms(20),
        }
    }
}

/// Whether a call may be tried again after a try that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safety {
    /// Any time.
    Repeatable,
    /// For so long after the first try that may have run: nodes drop its repeats by the operation.
    Keyed(Micros),
    /// Never.
    Once,
}

/// What a program wants done. See `docs/protocol.md` for the fields.
#[derive(Clone, Debug)]
pub struct Call {
    /// The same over all tries; no other call may use it.
    pub operation: u64,
    /// Index of its class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// Initiators that share the volume.
    pub volume_initiators: u16,
    /// It writes.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The extent; none: it names none.
    pub extent: Option<u64>,
    /// The shard that holds it; none: a new object.
    pub shard: Option<u32>,
    /// Where in the extent a write begins; none: it replaces it.
    pub at: Option<u32>,
    /// Units it counts.
    pub units: u32,
    /// Data to be written, at most 1 MiB.
    pub payload: Vec<u8>,
    /// May it run again.
    pub safety: Safety,
    /// How long the program waits, over all tries.
    pub patience: Micros,
}

/// A call under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a call came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served {
        /// By the node of this shard.
        shard: u32,
        /// Data read; parts of a streamed answer one after the other.
        payload: Vec<u8>,
    },
    /// The write is durable at the initiator.
    Buffered,
}

/// Why a call was given up.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Why {
    /// Its time is up.
    #[error("its time is up")]
    Time,
    /// It may have run, and must not be repeated, or no longer.
    #[error("it may have run and must not be tried again")]
    MayHaveRun,
    /// The retry budget is used up.
    #[error("the retry budget is used up")]
    Budget,
    /// As many calls as may be are under way.
    #[error("too many calls are under way")]
    Calls,
    /// The initiator does not know what was asked for, or speaks another version.
    #[error("the initiator does not take it")]
    Protocol,
}

/// A call that was given up.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("given up after {tries} tries: {why}{}", if *.may_have_run { "; it may have run" } else { "; it has not run" })]
pub struct GaveUp {
    /// Why.
    pub why: Why,
    /// Tries that were sent.
    pub tries: u32,
    /// A try of it may have run, or may run yet.
    pub may_have_run: bool,
    /// The last refusal's cause, if the last try was refused.
    pub refused: Option<Refusal>,
}

/// A call that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// Which.
    pub call: CallId,
    /// What it came to.
    pub result: Result<Answer, GaveUp>,
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open the connection; `connected` or `closed` follows.
    Connect,
    /// Close it. Nothing is told of it any more.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// None; it is called then.
    Down(Micros),
    /// The system is at it, or the greeting is awaited, until then.
    Coming(Micros),
    Up,
}

#[derive(Debug)]
struct Held {
    call: Call,
    until: Micros,
    tries: u32,
    /// The try that is out: its number, and where it ends in the connection's stream.
    out: Option<(u64, u64)>,
    /// When a try of it was first sent that may have run.
    ran_since: Option<Micros>,
    /// When the try that is out was sent.
    sent: Micros,
    parts: Vec<u8>,
    refused: Option<Refusal>,
}

impl Held {
    /// Until when a try of it may be made: its end, or that of its key's window if one may have run.
    fn lasts(&self) -> Micros {
        match (self.call.safety, self.ran_since) {
            (Safety::Keyed(window), Some(since)) => self.until.min(since.after(window)),
            _ => self.until,
        }
    }
}

/// The client.
#[derive(Debug)]
pub struct Client {
    config: Config,
    pace: Pace,
    link: Link,
    told: Micros,
    inbox: Inbox,
    outbox: Outbox,
    calls: BTreeMap<CallId, Held>,
    by_try: BTreeMap<u64, CallId>,
    /// Calls that wait for a moment to be sent, by that moment.
    due: BTreeSet<(Micros, CallId)>,
    /// Calls by when their time is up.
    ends: BTreeSet<(Micros, CallId)>,
    next: u64,
    commands: Vec<Command>,
    done: Vec<Done>,
}

impl Client {
    /// A client that has called nobody yet. It connects when there is something to send.
    pub fn new(config: Config) -> Self {
        Client {
            pace: Pace::new(config.seed),
            config,
            link: Link::Down(Micros(0)),
            told: Micros(0),
            inbox: Inbox::default(),
            outbox: Outbox::default(),
            calls: BTreeMap::new(),
            by_try: BTreeMap::new(),
            due: BTreeSet::new(),
            ends: BTreeSet::new(),
            next: 0,
            commands: Vec::new(),
            done: Vec::new(),
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Begins a call; its `Done` follows, before its patience is over.
    pub fn call(&mut self, call: Call, now: Micros) -> CallId {
        let id = CallId(self.number());
        self.pace.called(now);
        let until = now.after(call.patience);
        let held = Held {
            call,
            until,
            tries: 0,
            out: None,
            ran_since: None,
            sent: now,
            parts: Vec::new(),
            refused: None,
        };
        let full = self.calls.len() >= self.config.calls;
        let at = self.pace.not_before(held.call.volume).max(now);
        self.calls.insert(id, held);
        if full {
            self.give_up(id, Why::Calls);
        } else {
            self.ends.insert((until, id));
            self.due.insert((at, id));
        }
        id
    }

    /// Calls under way.
    pub fn under_way(&self) -> usize {
        self.calls.len()
    }

    fn over(&mut self, id: CallId, result: Result<Answer, GaveUp>) {
        if let Some(held) = self.calls.remove(&id) {
            self.ends.remove(&(held.until, id));
            self.due.retain(|(_, call)| *call != id);
            if let Some((number, _)) = held.out {
                self.by_try.remove(&number);
            }
            self.done.push(Done { call: id, result });
        }
    }

    fn give_up(&mut self, id: CallId, why: Why) {
        let Some(held) = self.calls.get(&id) else { return };
        let may_have_run = held.ran_since.is_some() || held.out.is_some();
        let gave_up = GaveUp { why, tries: held.tries, may_have_run, refused: held.refused };
        self.over(id, Err(gave_up));
    }

    /// The connection stands.
    pub fn connected(&mut self, _now: Micros) {
        let versions = (VERSION_OLDEST, VERSION);
        let (name, id) = (self.config.name.clone(), self.config.id);
        self.outbox.push(&Frame::Hello(Hello { role: Role::Client, versions, id, epoch: 0, name: &name }));
    }

    /// It does not stand, or is no more.
    pub fn closed(&mut self, now: Micros) {
        let written = self.outbox.written();
        (self.inbox, self.outbox) = Default::default();
        let wait = self.pace.call_again(&self.config, std::mem::take(&mut self.told));
        self.link = Link::Down(now.after(wait));
        for id in std::mem::take(&mut self.by_try).into_values() {
            let Some(held) = self.calls.get_mut(&id) else { continue };
            let Some((_, ends)) = held.out.take() else { continue };
            held.parts.clear();
            // A try whose last byte had not been handed to the system can't have run.
            if ends <= written {
                held.ran_since = held.ran_since.or(Some(held.sent));
            }
            self.again(id, Micros(0), now);
        }
    }

    /// Bytes came.
    pub fn received(&mut self, bytes: &[u8], now: Micros) {
        let mut inbox = std::mem::take(&mut self.inbox);
        let fed = inbox.feed(bytes, |frame| {
            self.frame(frame, now);
            true
        });
        self.inbox = inbox;
        if fed.is_err() {
            self.commands.push(Command::Close);
            self.closed(now);
        }
    }

    fn frame(&mut self, frame: Frame<'_>, now: Micros) {
        match frame {
            Frame::Welcome(_) => {
                self.link = Link::Up;
                self.pace.connected();
            }
            Frame::Bye { close_reason: CloseReason::Version | CloseReason::WrongPeer, .. } => {
                // No other connection will fare better.
                let all: Vec<CallId> = self.calls.keys().copied().collect();
                all.into_iter().for_each(|id| self.give_up(id, Why::Protocol));
            }
            Frame::Bye { close_reason: CloseReason::Protocol, .. } => {
                // One of those that are out is what it does not take; sent again it would be so again.
                let out: Vec<CallId> = self.by_try.values().copied().collect();
                out.into_iter().for_each(|id| self.give_up(id, Why::Protocol));
            }
            Frame::Bye { wait, .. } => self.told = Micros(wait.into()),
            Frame::Part { id, payload } => {
                let held = self.by_try.get(&id).and_then(|call| self.calls.get_mut(call));
                if let Some(held) = held {
                    held.parts.extend_from_slice(payload);
                }
            }
            Frame::Served { id, shard, payload } => {
                let Some(call) = self.by_try.get(&id).copied() else { return };
                let parts =
                    self.calls.get_mut(&call).map(|h| std::mem::take(&mut h.parts)).unwrap_or_default();
                self.over(call, Ok(Answer::Served { shard, payload: [&parts[..], payload].concat() }));
            }
            Frame::Buffered { id } => {
                if let Some(call) = self.by_try.get(&id).copied() {
                    self.over(call, Ok(Answer::Buffered));
                }
            }
            Frame::Refused { id, wait, refusal, scope } => {
                self.refused(id, Micros(wait.into()), refusal, scope, now)
            }
            Frame::Failed { id } => {
                let Some(call) = self.by_try.remove(&id) else { return };
                if let Some(held) = self.calls.get_mut(&call) {
                    held.out = None;
                    held.parts.clear();
                    held.refused = None;
                    held.ran_since = held.ran_since.or(Some(held.sent));
                }
                self.again(call, Micros(0), now);
            }
            _ => {}
        }
    }

    /// It has not run, or running it again is harmless.
    fn refused(&mut self, id: u64, wait: Micros, refusal: Refusal, scope: Scope, now: Micros) {
        let Some(call) = self.by_try.remove(&id) else { return };
        let Some(held) = self.calls.get_mut(&call) else { return };
        held.out = None;
        held.refused = Some(refusal);
        let volume = held.call.volume;
        match scope {
            Scope::Request => {}
            Scope::Volume => self.pace.hold_volume(volume, now.after(wait), now),
            Scope::All => self.pace.hold_all(now.after(wait)),
        }
        self.again(call, wait, now);
    }

    /// A further try, if there may be one; else the call is given up at once, not at its end.
    fn again(&mut self, id: CallId, advised: Micros, now: Micros) {
        let Some(held) = self.calls.get(&id) else { return };
        let unsent = held.tries == 0;
        let wait = if unsent { Micros(0) } else { self.pace.wait(&self.config, held.tries, advised) };
        let at = now.after(wait).max(self.pace.not_before(held.call.volume));
        if held.call.safety == Safety::Once && held.ran_since.is_some() {
            return self.give_up(id, Why::MayHaveRun);
        }
        let lasts = held.lasts();
        if at.after(self.config.least_try) > lasts {
            let why = if lasts < held.until { Why::MayHaveRun } else { Why::Time };
            return self.give_up(id, why);
        }
        if !unsent && !self.pace.may_retry(&self.config, now) {
            return self.give_up(id, Why::Budget);
        }
        self.due.insert((at, id));
    }

    fn send(&mut self, id: CallId, now: Micros) {
        let number = self.number();
        let Some(held) = self.calls.get_mut(&id) else { return };
        let c = &held.call;
        let lasts = held.lasts();
        if now.after(self.config.least_try) > lasts {
            return self.give_up(id, Why::Time);
        }
        let submit = Submit {
            id: number,
            operation: c.operation,
            class: c.class,
            plan: c.plan,
            volume_initiators: c.volume_initiators,
            // Marked as what it is: the initiator treats a repeat as one.
            try_no: u8::try_from(held.tries).unwrap_or(u8::MAX),
            write: c.write,
            volume: c.volume,
            extent: c.extent,
            shard: c.shard,
            units: c.units,
            at: c.at,
            time_left: u32::try_from(lasts.since(now).0).unwrap_or(u32::MAX),
            payload: &c.payload,
        };
        let ends = self.outbox.push(&Frame::Submit(submit));
        held.tries += 1;
        held.out = Some((number, ends));
        held.sent = now;
        self.by_try.insert(number, id);
    }

    /// What waits to be written.
    pub fn outgoing(&self) -> &[u8] {
        self.outbox.pending()
    }

    /// So many bytes of that were written.
    pub fn wrote(&mut self, count: usize) {
        self.outbox.wrote(count);
    }

    /// Everything of this moment has been told. Returns when to call again at the latest.
    pub fn settle(&mut self, now: Micros) -> Option<Micros> {
        while let Some((at, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, id));
            self.give_up(id, Why::Time);
        }
        match self.link {
            Link::Up => {
                while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
                    self.due.remove(&(at, id));
                    // A wait that was told since concerns what waits already, too.
                    let from = self.calls.get(&id).map_or(now, |h| self.pace.not_before(h.call.volume));
                    match from > now {
                        true => drop(self.due.insert((from, id))),
                        false => self.send(id, now),
                    }
                }
            }
            Link::Down(at) if at <= now && !self.calls.is_empty() => {
                self.link = Link::Coming(now.after(self.config.dial));
                self.commands.push(Command::Connect);
            }
            Link::Coming(until) if until <= now => {
                self.commands.push(Command::Close);
                self.closed(now);
            }
            Link::Down(_) | Link::Coming(_) => {}
        }
        let link = match self.link {
            Link::Up => self.due.first().map(|(at, _)| *at),
            Link::Down(at) => (!self.calls.is_empty()).then_some(at),
            Link::Coming(until) => Some(until),
        };
        let end = self.ends.first().map(|(at, _)| *at);
        [link, end].into_iter().flatten().min()
    }

    /// What is to be done, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Calls that are over.
    pub fn take_done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }
}
