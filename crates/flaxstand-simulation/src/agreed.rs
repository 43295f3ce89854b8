//! Days on which initiators run consensus on their rules: relays on the links between them, proposals, and
//! a check from outside, by the logs, of which rules each initiator acted on at which time. Two initiators
//! contradict each other when they act at once on stages that are not adjacent.

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

/// Time-out of connecting to an initiator, and of each read of its reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for all initiators to act on the same version at the end of a day.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Consensus settings of a day's initiators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgreementSettings {
    /// Number of voting members; the first initiators are the voters.
    pub keepers: u32,
    /// Duration of a lease.
    pub lease: Micros,
    /// Election time-out: how long voters go without a heartbeat before they start an election.
    pub election: Micros,
    /// Maximum clock error, as a fraction of the lease.
    pub clock_error: f64,
}

/// Wall-clock time of the host, in seconds since the Unix epoch.
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// A change of the rules that a process acts on.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRules {
    /// Wall-clock time of the host, in seconds since the Unix epoch.
    pub at: f64,
    /// What it acts on: `Fallback`, `Version(v)`, `Transition(v, w)`, or `Gone` once the process has ended.
    pub what: String,
    /// Stage of the rollout known to the process.
    pub stage: u64,
}

/// Start and end of a pause of a process, in seconds since the Unix epoch.
pub type Pause = (f64, f64);

/// Parses a log line that reports a change of the rules acted on.
pub fn parse_rules_event(line: &str) -> Option<ActiveRules> {
    let (head, rest) = line.split_once(" INFO rules ")?;
    let at = parse_log_time(head.trim())?;
    let what = rest.split_once("to=")?.1;
    let end = what.find(" stage=")?;
    let stage = what[end + 7..].split_whitespace().next()?.parse().ok()?;
    Some(ActiveRules { at, what: what[..end].to_owned(), stage })
}

/// Parses a log's time stamp such as `2026-12-02T00:46:34.581734Z` into seconds since the Unix epoch. The
/// date is inferred: the stamp must lie within half a day of now.
pub(crate) fn parse_log_time(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = time.split(':').map(|p| p.parse::<f64>().ok());
    let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
    let in_day = h * 3600.0 + m * 60.0 + s;
    Some(((unix_time() - in_day) / 86_400.0).round() * 86_400.0 + in_day)
}

/// Returns the intervals in which a process acted on a stage under a lease, without its pauses.
pub fn active_intervals(acted: &[ActiveRules], pauses: &[Pause], end: f64) -> Vec<(f64, f64, u64)> {
    let mut active_intervals = Vec::new();
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
        active_intervals.extend(pieces.into_iter().map(|(s, e)| (s, e, a.stage)));
    }
    active_intervals
}

/// Returns the longest interval, in seconds, in which two processes acted on contradicting rules, and which
/// two.
pub fn contradiction(all: &[Vec<(f64, f64, u64)>]) -> (f64, String) {
    let mut worst = (0.0, String::new());
    for (i, some) in all.iter().enumerate() {
        for (j, others) in all.iter().enumerate().skip(i + 1) {
            for (from, to, stage) in some {
                for (other_from, other_to, other) in others {
                    let overlap = to.min(*other_to) - from.max(*other_from);
                    if stage.abs_diff(*other) > 1 && overlap > worst.0 {
                        worst = (overlap, format!("initiator {i} on stage {stage}, {j} on stage {other}"));
                    }
                }
            }
        }
    }
    worst
}

/// Sends an operator request to an initiator and returns its reply, if it sends one.
///
/// # Errors
/// The initiator can't be reached, or does not reply in time.
pub fn send_operator_request(to: SocketAddr, request: &OperatorRequest) -> io::Result<Option<OperatorReply>> {
    let mut stream = TcpStream::connect_timeout(&to, REPLY_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let (role, versions) = (Role::Client, (VERSION_OLDEST, VERSION));
    let mut bytes = Vec::new();
    encode(&Frame::Hello(Hello { role, versions, id: 0, epoch: 0, name: "laboratory" }), &mut bytes);
    let payload =
        postcard::to_stdvec(&PeerMessage::OperatorRequest(request.clone())).map_err(io::Error::other)?;
    encode(&Frame::Agreement { bytes: &payload }, &mut bytes);
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

/// Proposes a version to each initiator in turn, based on the newest replicated state that any of them
/// returns, until the leader commits it or the time-out passes. Returns the number of the committed
/// version.
pub fn propose(listen: &[SocketAddr], rules: &Rules, text: &str, time_limit: Duration) -> Option<u64> {
    let started = Instant::now();
    while started.elapsed() < time_limit {
        let state = |at: &SocketAddr| match send_operator_request(*at, &OperatorRequest::ReplicatedState) {
            Ok(Some(OperatorReply::ReplicatedState(Some(state)))) => Some(*state),
            _ => None,
        };
        let newest = listen.iter().filter_map(state).max_by_key(|state| state.index);
        let base = newest.map_or(0, |state| state.state.in_force.number);
        let at = (unix_time() * 1e6) as u64;
        let version =
            Version { number: 0, rules: rules.clone(), text: text.to_owned(), by: "the day".into(), at };
        for to in listen {
            if let Ok(Some(OperatorReply::Committed(number))) =
                send_operator_request(*to, &OperatorRequest::Propose { base, version: version.clone() })
            {
                return Some(number);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Second octets of the addresses that [`listeners`] returns: the first one, and how many there are.
const FIRST_LISTENER_OCTET: u8 = 64;
const LISTENER_OCTETS: u32 = 32;
/// Number of calls of [`listeners`] in this process.
static LISTENER_CALLS: AtomicU32 = AtomicU32::new(0);

/// Returns loopback addresses to listen at that stay usable after a restart. They are never the source
/// address of a connection, so the system doesn't use their ports as ephemeral ports.
///
/// Each call in a process returns other IP addresses than the calls before it, and repeats them after 32
/// calls. Guards against two sites on one port: a port is free again when this returns, and the system may
/// give it to the next call.
///
/// # Errors
/// No address can be bound.
pub fn listeners(count: usize) -> io::Result<Vec<SocketAddr>> {
    let third = (std::process::id() % 200) as u8;
    let call = LISTENER_CALLS.fetch_add(1, Ordering::Relaxed) % LISTENER_OCTETS;
    let second = FIRST_LISTENER_OCTET + call as u8;
    (0..count)
        .map(|i| TcpListener::bind((Ipv4Addr::new(127, second, third, 1 + (i % 250) as u8), 0))?.local_addr())
        .collect()
}

/// A relay on each directed link between initiators.
#[derive(Debug)]
pub struct LinkRelays {
    listen: Vec<SocketAddr>,
    relays: BTreeMap<(usize, usize), Relay>,
}

impl LinkRelays {
    /// Starts the relays between `count` initiators.
    ///
    /// # Errors
    /// No address can be bound.
    pub fn new(count: usize) -> io::Result<LinkRelays> {
        let listen = listeners(count)?;
        let mut relays = BTreeMap::new();
        for i in 0..count {
            for j in (0..count).filter(|j| *j != i) {
                relays.insert((i, j), Relay::start(listen[j])?);
            }
        }
        Ok(LinkRelays { listen, relays })
    }

    /// Address at which an initiator listens.
    pub fn listen(&self, i: usize) -> SocketAddr {
        self.listen[i]
    }

    /// Number of initiators.
    pub fn count(&self) -> usize {
        self.listen.len()
    }

    /// Returns the block `agreement` of an initiator's settings, which names each other initiator at the
    /// address of the relay on their link.
    pub fn settings(
        &self,
        i: usize,
        settings: &AgreementSettings,
        name: impl Fn(usize) -> String,
        folder: &Path,
    ) -> String {
        let mut text = format!(
            "agreement {{\n    listen \"{}\"\n    folder {:?}\n    lease-ms {}\n    election-ms {}\n    clock-error {}\n",
            self.listen[i],
            folder.display().to_string(),
            settings.lease.ms(),
            settings.election.ms(),
            settings.clock_error,
        );
        for j in 0..self.listen.len() {
            let kind = if j < settings.keepers as usize { "keeper" } else { "initiator" };
            let at = self.relays.get(&(i, j)).map_or(self.listen[i], Relay::address);
            let _ = writeln!(text, "    {kind} {:?} at=\"{at}\"", name(j));
        }
        text + "}\n"
    }

    /// Sets the flow from one initiator to another, whichever of them opened the connection.
    pub fn set_one_way(&self, from: usize, to: usize, flow: Flow) {
        for ((caller, called), relay) in &self.relays {
            if (*caller, *called) == (from, to) {
                relay.set_forward(flow);
            } else if (*caller, *called) == (to, from) {
                relay.set_backward(flow);
            }
        }
    }

    /// Sets the flow between two initiators in both directions.
    pub fn set_both_ways(&self, a: usize, b: usize, flow: Flow) {
        self.set_one_way(a, b, flow);
        self.set_one_way(b, a, flow);
    }

    /// Sets the flow between one initiator and all others.
    pub fn set_all_links(&self, i: usize, flow: Flow) {
        (0..self.listen.len()).filter(|j| *j != i).for_each(|j| self.set_both_ways(i, j, flow));
    }

    /// Breaks the open connections between two initiators.
    pub fn reset(&self, a: usize, b: usize) {
        for key in [(a, b), (b, a)] {
            if let Some(relay) = self.relays.get(&key) {
                relay.reset();
            }
        }
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.relays.values().for_each(|relay| relay.set(Flow::Pass, Flow::Pass));
    }

    /// Proposes a version to these initiators, see [`propose`].
    pub fn propose(&self, rules: &Rules, text: &str, time_limit: Duration) -> Option<u64> {
        propose(&self.listen, rules, text, time_limit)
    }

    /// Waits until all initiators act on a single version under a lease. Returns the version, or none after
    /// the time limit.
    pub fn wait_for_convergence(&self) -> Option<u64> {
        let started = Instant::now();
        while started.elapsed() < CONVERGENCE_TIMEOUT {
            let report = |at: &SocketAddr| match send_operator_request(*at, &OperatorRequest::Status) {
                Ok(Some(OperatorReply::Status(status))) => Some(status),
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

/// Results of consensus on a day.
#[derive(Clone, Debug, Serialize)]
pub struct AgreementReport {
    /// Version that all initiators acted on at the end; none: they did not converge.
    pub version: Option<u64>,
    /// Changes of the rules acted on that the initiators logged, in total.
    pub passages: usize,
    /// Longest interval in which two initiators acted on contradicting rules, ms.
    pub contradiction_ms: f64,
    /// The two initiators of `contradiction_ms`.
    pub who: String,
    /// Longest contradiction that the settings allow, ms.
    pub allowed_ms: f64,
}

impl AgreementReport {
    /// Reads the logs in a day's folder: `initiator-N.log`, and `agreement.log` with the events that the
    /// rehearsal itself recorded (`pause N FROM TO`, `gone N AT`, `alike V`).
    ///
    /// # Errors
    /// A log can't be read.
    pub fn read(
        folder: &Path,
        count: usize,
        settings: &AgreementSettings,
    ) -> Result<AgreementReport, RehearsalError> {
        let read = |name: &str| {
            std::fs::read_to_string(folder.join(name)).map_err(io_error(format!("cannot read {name}")))
        };
        let notes = read("agreement.log")?;
        let notes: Vec<Vec<&str>> = notes.lines().map(|l| l.split_whitespace().collect()).collect();
        let numbers = |event: &str, i: usize| -> Vec<Vec<f64>> {
            let of =
                |n: &&Vec<&str>| n.first() == Some(&event) && n.get(1).is_some_and(|x| x.parse() == Ok(i));
            notes.iter().filter(of).map(|n| n[2..].iter().filter_map(|x| x.parse().ok()).collect()).collect()
        };
        let mut all = Vec::new();
        let mut passages = 0;
        for i in 0..count {
            let log = read(&format!("initiator-{i}.log"))?;
            let mut acted: Vec<ActiveRules> = log.lines().filter_map(parse_rules_event).collect();
            passages += acted.len();
            let ended = numbers("gone", i).into_iter().filter_map(|f| f.first().copied());
            acted.extend(ended.map(|at| ActiveRules { at, what: "Gone".into(), stage: 0 }));
            acted.sort_by(|a, b| a.at.total_cmp(&b.at));
            let pauses: Vec<Pause> =
                numbers("pause", i).into_iter().filter_map(|f| Some((*f.first()?, *f.get(1)?))).collect();
            all.push(active_intervals(&acted, &pauses, unix_time()));
        }
        let (longest, who) = contradiction(&all);
        let bounds = RolloutBounds::of(settings.lease.ms(), settings.clock_error, settings.election.ms());
        let version = notes.iter().find(|n| n.first() == Some(&"alike")).and_then(|n| n.get(1)?.parse().ok());
        let (contradiction_ms, allowed_ms) = (longest * 1000.0, bounds.contradiction_ms);
        Ok(AgreementReport { version, passages, contradiction_ms, who, allowed_ms })
    }

    /// Returns whether the initiators converged and no contradiction lasted longer than allowed.
    pub fn passed(&self) -> bool {
        self.version.is_some() && self.contradiction_ms <= self.allowed_ms
    }

    /// Formats the results as text.
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

/// Returns the rules with some values replaced.
pub fn with_values(rules: &Rules, sets: &BTreeMap<String, Value>) -> Rules {
    let mut rules = rules.clone();
    rules.values.extend(sets.iter().map(|(k, v)| (k.clone(), v.clone())));
    rules
}
