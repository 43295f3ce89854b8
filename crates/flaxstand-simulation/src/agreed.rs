//! Days on which initiators agree: relays on the links between them, proposals, and from outside what each acted on
//! when, by its own log. Two that act on stages that do not follow each other contradict each other.

use crate::process::{RehearsalError, io_error};
use crate::relay::{Flow, Relay};
use flaxstand_consensus::participant::{
    OperatorReply, OperatorRequest, PeerMessage, RolloutBounds, StatusReport,
};
use flaxstand_consensus::replicated_state::Version;
use flaxstand_consensus::rules::{Rules, Value};
use flaxstand_gateway::machine::Micros;
use flaxstand_proto::{Frame, Hello, Inbox, Role, VERSION, VERSION_OLDEST, encode};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long an initiator has for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long all have at a day's end to act on one version.
const ALIKE: Duration = Duration::from_secs(20);

/// How the initiators of a day agree.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accord {
    /// So many of them are keepers.
    pub keepers: u32,
    /// How long a lease is.
    pub lease: Micros,
    /// How long keepers hear no leader before they elect one.
    pub election: Micros,
    /// By what part of a lease clocks may differ.
    pub clock_error: f64,
}

/// Seconds of the host's calendar.
pub fn calendar() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// What one process acted on from a moment on.
#[derive(Clone, Debug, PartialEq)]
pub struct Acted {
    /// Seconds of the host's calendar.
    pub at: f64,
    /// `Fallback`, `Version(v)`, `Transition(v, w)`, or `Gone`.
    pub what: String,
    /// The stage that it knew.
    pub stage: u64,
}

/// A time for which a process stood still, seconds of the calendar.
pub type Pause = (f64, f64);

/// The passage that a line of a log tells.
pub fn acted_of(line: &str) -> Option<Acted> {
    let (head, rest) = line.split_once(" INFO rules ")?;
    let at = seconds(head.trim())?;
    let what = rest.split_once("to=")?.1;
    let end = what.find(" stage=")?;
    let stage = what[end + 7..].split_whitespace().next()?.parse().ok()?;
    Some(Acted { at, what: what[..end].to_owned(), stage })
}

/// Seconds since 1970 of a log's `2026-12-02T00:46:34.581734Z`; within half a day of now.
pub(crate) fn seconds(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = time.split(':').map(|p| p.parse::<f64>().ok());
    let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
    let in_day = h * 3600.0 + m * 60.0 + s;
    Some(((calendar() - in_day) / 86_400.0).round() * 86_400.0 + in_day)
}

/// When a process acted on which stage with a lease, less the times for which it stood still.
pub fn spans(acted: &[Acted], pauses: &[Pause], end: f64) -> Vec<(f64, f64, u64)> {
    let mut spans = Vec::new();
    for (at, a) in acted.iter().enumerate() {
        let until = acted.get(at + 1).map_or(end, |next| next.at);
        if a.what == "Fallback" || a.what == "Gone" {
            continue;
        }
        let mut pieces = vec![(a.at, until)];
        for (from, to) in pauses {
            let parts = pieces.into_iter().flat_map(|(s, e)| [(s, e.min(*from)), (s.max(*to), e)]);
            pieces = parts.filter(|(s, e)| e > s).collect();
        }
        spans.extend(pieces.into_iter().map(|(s, e)| (s, e, a.stage)));
    }
    spans
}

/// The longest time for which two of these acted on rules that contradict each other, seconds, and which two.
pub fn contradiction(all: &[Vec<(f64, f64, u64)>]) -> (f64, String) {
    let mut worst = (0.0, String::new());
    for (i, some) in all.iter().enumerate() {
        for (j, others) in all.iter().enumerate().skip(i + 1) {
            for (from, to, stage) in some {
                for (other_from, other_to, other) in others {
                    let together = to.min(*other_to) - from.max(*other_from);
                    if stage.abs_diff(*other) > 1 && together > worst.0 {
                        worst = (together, format!("initiator {i} on stage {stage}, {j} on stage {other}"));
                    }
                }
            }
        }
    }
    worst
}

/// An operator's word to an initiator, and its answer if it gives one.
///
/// # Errors
/// It can't be reached, or does not answer in time.
pub fn ask(to: SocketAddr, wish: &OperatorRequest) -> io::Result<Option<OperatorReply>> {
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let (role, versions) = (Role::Client, (VERSION_OLDEST, VERSION));
    let mut bytes = Vec::new();
    encode(&Frame::Hello(Hello { role, versions, id: 0, epoch: 0, name: "laboratory" }), &mut bytes);
    let word = postcard::to_stdvec(&PeerMessage::OperatorRequest(wish.clone())).map_err(io::Error::other)?;
    encode(&Frame::Agreement { bytes: &word }, &mut bytes);
    stream.write_all(&bytes)?;
    let (mut inbox, mut buffer, mut found) = (Inbox::default(), [0; 64 * 1024], None);
    while found.is_none() {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        let fed = inbox.feed(&buffer[..count], |frame| {
            if let Frame::Agreement { bytes } = frame
                && let Ok(PeerMessage::OperatorReply(reply)) = postcard::from_bytes(bytes)
            {
                found = Some(reply);
            }
            true
        });
        fed.map_err(io::Error::other)?;
    }
    Ok(found)
}

/// Proposes a version by whoever leads, in place of the newest that anybody asked has, until it is taken, for as long
/// as `patience`. Its number.
pub fn propose(listen: &[SocketAddr], rules: &Rules, text: &str, patience: Duration) -> Option<u64> {
    let started = Instant::now();
    while started.elapsed() < patience {
        let book = |at: &SocketAddr| match ask(*at, &OperatorRequest::ReplicatedState) {
            Ok(Some(OperatorReply::ReplicatedState(Some(book)))) => Some(*book),
            _ => None,
        };
        let newest = listen.iter().filter_map(book).max_by_key(|known| known.index);
        let base = newest.map_or(0, |known| known.state.in_force.number);
        let at = (calendar() * 1e6) as u64;
        let version =
            Version { number: 0, rules: rules.clone(), text: text.to_owned(), by: "the day".into(), at };
        for to in listen {
            if let Ok(Some(OperatorReply::Committed(number))) =
                ask(*to, &OperatorRequest::Propose { base, version: version.clone() })
            {
                return Some(number);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Second octets of the addresses that [`listeners`] gives: the first of them, and how many there are.
const FIRST_LISTENER_OCTET: u8 = 64;
const LISTENER_OCTETS: u32 = 32;
/// Calls of [`listeners`] in this process.
static LISTENER_CALLS: AtomicU32 = AtomicU32::new(0);

/// Addresses to listen at, also again after a restart: of loopback, but none from which calls are made, so that the
/// system gives their ports to no call.
///
/// Each call in a process gives other IP addresses than those before it, 32 of them. Guards against one port for two
/// sites: a port is free again when this returns, and the system may give it to the next call.
///
/// # Errors
/// There are none to be had.
pub fn listeners(count: usize) -> io::Result<Vec<SocketAddr>> {
    let near = (std::process::id() % 200) as u8;
    let call = LISTENER_CALLS.fetch_add(1, Ordering::Relaxed) % LISTENER_OCTETS;
    let second = FIRST_LISTENER_OCTET + call as u8;
    (0..count)
        .map(|i| TcpListener::bind((Ipv4Addr::new(127, second, near, 1 + (i % 250) as u8), 0))?.local_addr())
        .collect()
}

/// A relay on each link between initiators.
#[derive(Debug)]
pub struct Links {
    listen: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
}

impl Links {
    /// Between so many.
    ///
    /// # Errors
    /// There are no addresses to be had.
    pub fn new(count: usize) -> io::Result<Links> {
        let listen = listeners(count)?;
        let mut relays = BTreeMap::new();
        for i in 0..count {
            for j in (0..count).filter(|j| *j != i) {
                relays.insert((i, j), Relay::start(listen[j])?);
            }
        }
        Ok(Links { listen, relays })
    }

    /// Where one listens itself.
    pub fn listen(&self, i: usize) -> SocketAddr {
        self.listen[i]
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.listen.len()
    }

    /// The block `agreement` of one initiator's settings: it knows each other at the relay on their link.
    pub fn settings(
        &self,
        i: usize,
        accord: &Accord,
        name: impl Fn(usize) -> String,
        folder: &Path,
    ) -> String {
        let mut text = format!(
            "agreement {{\n    listen \"{}\"\n    folder {:?}\n    lease-ms {}\n    election-ms {}\n    clock-error {}\n",
            self.listen[i],
            folder.display().to_string(),
            accord.lease.ms(),
            accord.election.ms(),
            accord.clock_error,
        );
        for j in 0..self.listen.len() {
            let kind = if j < accord.keepers as usize { "keeper" } else { "initiator" };
            let at = self.relays.get(&(i, j)).map_or(self.listen[i], Relay::address);
            let _ = writeln!(text, "    {kind} {:?} at=\"{at}\"", name(j));
        }
        text + "}\n"
    }

    /// What passes from one to another, on whichever connection.
    pub fn one_way(&self, from: usize, to: usize, flow: Flow) {
        for ((caller, called), relay) in &self.relays {
            if (*caller, *called) == (from, to) {
                relay.set_there(flow);
            } else if (*caller, *called) == (to, from) {
                relay.set_back(flow);
            }
        }
    }

    /// What passes between two.
    pub fn both(&self, a: usize, b: usize, flow: Flow) {
        self.one_way(a, b, flow);
        self.one_way(b, a, flow);
    }

    /// What passes between one and all others.
    pub fn around(&self, i: usize, flow: Flow) {
        (0..self.listen.len()).filter(|j| *j != i).for_each(|j| self.both(i, j, flow));
    }

    /// Breaks the connections that stand between two.
    pub fn reset(&self, a: usize, b: usize) {
        for key in [(a, b), (b, a)] {
            if let Some(relay) = self.relays.get(&key) {
                relay.reset();
            }
        }
    }

    /// Everything passes again.
    pub fn heal(&self) {
        self.relays.values().for_each(|relay| relay.set(Flow::Pass, Flow::Pass));
    }

    /// As [`propose`], to all of them.
    pub fn propose(&self, rules: &Rules, text: &str, patience: Duration) -> Option<u64> {
        propose(&self.listen, rules, text, patience)
    }

    /// Waits until all act on one version alone. The version; none if that does not come.
    pub fn alike(&self) -> Option<u64> {
        let started = Instant::now();
        while started.elapsed() < ALIKE {
            let report = |at: &SocketAddr| match ask(*at, &OperatorRequest::Status) {
                Ok(Some(OperatorReply::Status(told))) => Some(told),
                _ => None,
            };
            let all: Option<Vec<Box<StatusReport>>> = self.listen.iter().map(report).collect();
            if let Some(all) = all
                && let Some(first) = all.first()
                && all.iter().all(|t| t.versions == first.versions && t.lease_ms > 0)
                && first.versions.next.is_none()
            {
                return Some(first.versions.in_force);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

/// What became of the agreement on a day.
#[derive(Clone, Debug, Serialize)]
pub struct Agreed {
    /// The version that all acted on at the end; none: they did not act on one.
    pub version: Option<u64>,
    /// Passages that initiators noted, over all.
    pub passages: usize,
    /// The longest time for which two acted on rules that contradict each other, ms, and which two.
    pub contradiction_ms: f64,
    /// See `contradiction_ms`.
    pub who: String,
    /// The longest that the settings allow, ms.
    pub allowed_ms: f64,
}

impl Agreed {
    /// From the logs in a day's folder: `initiator-N.log`, and `agreement.log` with what the rehearsal itself noted
    /// (`pause N FROM TO`, `gone N AT`, `alike V`).
    ///
    /// # Errors
    /// They can't be read.
    pub fn read(folder: &Path, count: usize, accord: &Accord) -> Result<Agreed, RehearsalError> {
        let read = |name: &str| std::fs::read_to_string(folder.join(name)).map_err(io_error(name));
        let notes = read("agreement.log")?;
        let notes: Vec<Vec<&str>> = notes.lines().map(|l| l.split_whitespace().collect()).collect();
        let figures = |word: &str, i: usize| -> Vec<Vec<f64>> {
            let of =
                |n: &&Vec<&str>| n.first() == Some(&word) && n.get(1).is_some_and(|x| x.parse() == Ok(i));
            notes.iter().filter(of).map(|n| n[2..].iter().filter_map(|x| x.parse().ok()).collect()).collect()
        };
        let mut all = Vec::new();
        let mut passages = 0;
        for i in 0..count {
            let log = read(&format!("initiator-{i}.log"))?;
            let mut acted: Vec<Acted> = log.lines().filter_map(acted_of).collect();
            passages += acted.len();
            let gone = figures("gone", i).into_iter().filter_map(|f| f.first().copied());
            acted.extend(gone.map(|at| Acted { at, what: "Gone".into(), stage: 0 }));
            acted.sort_by(|a, b| a.at.total_cmp(&b.at));
            let pauses: Vec<Pause> =
                figures("pause", i).into_iter().filter_map(|f| Some((*f.first()?, *f.get(1)?))).collect();
            all.push(spans(&acted, &pauses, calendar()));
        }
        let (longest, who) = contradiction(&all);
        let terms = RolloutBounds::of(accord.lease.ms(), accord.clock_error, accord.election.ms());
        let version = notes.iter().find(|n| n.first() == Some(&"alike")).and_then(|n| n.get(1)?.parse().ok());
        let (contradiction_ms, allowed_ms) = (longest * 1000.0, terms.contradiction_ms);
        Ok(Agreed { version, passages, contradiction_ms, who, allowed_ms })
    }

    /// All was as promised.
    pub fn kept(&self) -> bool {
        self.version.is_some() && self.contradiction_ms <= self.allowed_ms
    }

    /// For people.
    pub fn text(&self) -> String {
        let end =
            self.version.map_or("no version that all act on".to_owned(), |v| format!("all on version {v}"));
        let longest = match self.contradiction_ms > 0.0 {
            true => format!("a contradiction for {:.0} ms ({})", self.contradiction_ms, self.who),
            false => "no contradiction".to_owned(),
        };
        format!(
            "agreement: {} passages, {longest}, at most {:.0} ms; at the end {end}\n",
            self.passages, self.allowed_ms
        )
    }
}

/// Rules with some values replaced.
pub fn changed(rules: &Rules, sets: &BTreeMap<String, Value>) -> Rules {
    let mut rules = rules.clone();
    rules.values.extend(sets.iter().map(|(k, v)| (k.clone(), v.clone())));
    rules
}
