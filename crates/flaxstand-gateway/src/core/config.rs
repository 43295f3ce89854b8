//! What the core is told at its start.

use crate::machine::{Address, Micros};
use flaxstand::api::Settings;
use flaxstand_overload::ConnectionRateLimit;
use std::collections::BTreeSet;

/// Which policy decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The decision module.
    #[default]
    Module,
    /// Everything is sent at once and tried once, new objects to the nodes in turn: a baseline to measure
    /// against, not for service. So are those below.
    Pipe,
    /// The same, new objects to the node with the fewest requests of this host out.
    LeastOut,
    /// The same, new objects to the one of two nodes drawn at random that has fewer out.
    TwoChoices,
}

impl Policy {
    /// Every policy, with its name in files and on the command line.
    pub const ALL: [(&'static str, Policy); 4] = [
        ("module", Policy::Module),
        ("pipe", Policy::Pipe),
        ("least-out", Policy::LeastOut),
        ("two-choices", Policy::TwoChoices),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        Policy::ALL.iter().find(|(_, p)| *p == self).map_or("module", |(name, _)| name)
    }
}

/// Bounds on what the core holds. `docs/settings.md` says what happens at each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections. One more is told so and closed.
    pub clients: usize,
    /// Requests held, answered ones whose attempts still run included. One more is refused at once.
    pub held: usize,
    /// Requests of one client connection. One more is refused at once.
    pub per_client: usize,
    /// Bytes that wait for one client. Above it the client is not read until it has read.
    pub client_bytes: usize,
    /// Bytes that wait for one client, most. Above it the client is disconnected.
    pub client_bytes_most: usize,
    /// Bytes that wait for one node. Above it an attempt counts as turned away unseen.
    pub node_bytes: usize,
    /// Connections to nodes, where each carries one request. Beyond it the longest idle is closed for a new
    /// one; where none is idle, an attempt ends as never sent.
    pub links: usize,
    /// Bytes of requests that are not yet whole, over all clients that speak HTTP. The one whose bytes pass it
    /// is told so and closed.
    pub partial_bytes: usize,
    /// Bytes of answers that are not yet whole, over all nodes that speak HTTP: the one whose bytes pass it is
    /// taken for spoilt. Again as many may wait for clients to read them; a large one beyond that fails.
    pub answer_bytes: usize,
    /// Nodes: on frames those ever listed in the process' life, on the platform those listed or lately gone. One
    /// more is left out, with a warning.
    pub nodes: usize,
    /// Volumes that were ever used in the process' life. A request of one more is refused.
    pub volumes: usize,
    /// Clients that are greeted a second, and at once. One more is told when its turn is, and closed.
    pub arrivals: ConnectionRateLimit,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            clients: 1024,
            held: 20_000,
            per_client: 4096,
            client_bytes: 1 << 20,
            client_bytes_most: 64 << 20,
            node_bytes: 8 << 20,
            links: 1024,
            partial_bytes: 32 << 20,
            answer_bytes: 64 << 20,
            nodes: flaxstand_proto::MAX_ENTRIES,
            volumes: 1 << 20,
            arrivals: ConnectionRateLimit::default(),
        }
    }
}

/// Waits of the initiator's own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A connection that is not open and greeted within this has failed.
    pub dial: Micros,
    /// A client that has not greeted within this is disconnected.
    pub greeting: Micros,
    /// A node's connection without an attempt is closed after this.
    pub idle: Micros,
    /// An answer leaves this long before its client gives up: time for its way.
    pub answer: Micros,
    /// Silence of the list service after which it is asked; as long again, and it is called anew.
    pub list_silence: Micros,
    /// First and longest wait before the list service is called again.
    pub list_retry: (Micros, Micros),
    /// Longest wait that the list service is asked to answer after, where each watch is a call of its own.
    pub watch: Micros,
    /// So long after a stop was asked for all is as before: clients are still on their way.
    pub stop_grace: Micros,
    /// What is still held this long after a stop was asked for is failed.
    pub stop: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        let ms = |ms: u64| Micros(ms * 1000);
        Timeouts {
            dial: ms(250),
            greeting: ms(2000),
            idle: ms(15_000),
            answer: ms(10),
            list_silence: ms(5000),
            list_retry: (ms(50), ms(2000)),
            watch: ms(5000),
            stop_grace: ms(0),
            stop: ms(5000),
        }
    }
}

/// What only the program needs to know of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Answers are streamed.
    pub stream: bool,
    /// Its writes may be buffered. Its effect is repeatable or keyed then.
    pub buffered: bool,
}

/// How writes are buffered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBack {
    /// The buffer's bounds and waits.
    pub rules: flaxstand_write_back::BufferLimits,
    /// Only writes of these volumes are buffered; none: of all.
    pub volumes: Option<BTreeSet<u64>>,
}

/// What a site tells all its initiators.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the decision module is told.
    pub settings: Settings,
    /// In the order of the module's classes.
    pub classes: Vec<ClassInfo>,
    /// Names of plans, in the order of the module's.
    pub plans: Vec<String>,
    /// Waits of connections.
    pub waits: Timeouts,
    /// The write-back buffer, where a class is buffered.
    pub write_back: Option<WriteBack>,
    /// How storms are met; none: they are not.
    pub storm: Option<flaxstand_overload::RetryThrottleConfig>,
}

/// With whom an initiator agrees, and on what terms.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// Names and addresses of the keepers, the founder first.
    pub keepers: Vec<(String, Address)>,
    /// Names and addresses of all other initiators.
    pub others: Vec<(String, Address)>,
    /// How long a lease is.
    pub lease: Micros,
    /// How long keepers hear no leader before they elect one.
    pub election: Micros,
    /// By what part of a lease two hosts' clocks may differ over it.
    pub clock_error: f64,
    /// The rules of the initiator's own file.
    pub started_with: flaxstand_consensus::rules::Rules,
}

/// What clients, nodes and the list service speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wire {
    /// Frames: one connection to each peer, many requests on it.
    #[default]
    Frames,
    /// The platform's HTTP/1.1: one request at a time on a connection.
    Platform,
}

/// What one initiator is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, for logs.
    pub name: String,
    /// Its number among the site's initiators.
    pub index: u32,
    /// Which life of it this is; grows at each start.
    pub epoch: u64,
    /// The host's calendar when the machine's clock was 0, microseconds since 1970.
    pub calendar: u64,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Where the list service is.
    pub list: Address,
    /// The site.
    pub site: Site,
    /// Its bounds.
    pub bounds: Bounds,
    /// What decides.
    pub policy: Policy,
    /// What its peers speak.
    pub wire: Wire,
    /// With whom it agrees, if it does.
    pub agreeing: Option<ConsensusConfig>,
}
