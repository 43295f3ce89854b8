//! What the core is configured with. Reloading changes the bounds and the discovery address, the agreement the
//! decision module's settings.

use crate::machine::{Address, Micros};
use flaxstand::api::Settings;
use flaxstand_overload::ConnectionRateLimit;
use flaxstand_proto::{Role, VERSION, Welcome};
use std::collections::BTreeSet;

/// Which policy decides where requests are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The decision module.
    #[default]
    Module,
    /// Everything is sent at once, without retries, new objects to the nodes in turn: a baseline to measure
    /// against, not for service. So are those below.
    RoundRobin,
    /// The same, new objects to the node with the fewest requests of this host in flight.
    LeastInFlight,
    /// The same, new objects to the one of two nodes drawn at random that has fewer in flight.
    TwoChoices,
}

impl Policy {
    /// Every policy, with its name in files and on the command line.
    pub const ALL: [(&'static str, Policy); 4] = [
        ("module", Policy::Module),
        ("pipe", Policy::RoundRobin),
        ("least-out", Policy::LeastInFlight),
        ("two-choices", Policy::TwoChoices),
    ];

    /// Its name in files and on the command line.
    pub fn name(self) -> &'static str {
        Policy::ALL.iter().find(|(_, policy)| *policy == self).map_or("module", |(name, _)| name)
    }
}

/// Limits of what the core keeps. `docs/settings.md` says what happens at each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections. One more is rejected with a reason and closed.
    pub max_clients: usize,
    /// Pending requests, answered ones whose attempts still run included. One more is rejected at once.
    pub max_requests: usize,
    /// Requests of one client connection. One more is rejected at once.
    pub max_requests_per_client: usize,
    /// Bytes that wait for one client. Above it nothing is read from the client until it has read.
    pub client_pause_bytes: usize,
    /// Bytes that wait for one client. Above it the client is disconnected. At least `client_pause_bytes`.
    pub max_client_bytes: usize,
    /// Bytes that wait for one node. Above it an attempt counts as rejected unseen.
    pub max_node_bytes: usize,
    /// Connections to nodes, where each carries one request. Beyond it the longest idle is closed for a new
    /// one; where none is idle, an attempt ends as never sent.
    pub max_node_connections: usize,
    /// Bytes of incomplete requests, over all clients that speak HTTP. The client whose bytes exceed it is
    /// rejected with a reason and closed.
    pub max_partial_request_bytes: usize,
    /// Bytes of incomplete responses, over all nodes that speak HTTP: the connection whose bytes exceed it
    /// counts as failed. As many again may wait for clients to read them; a large response beyond that fails.
    pub max_response_bytes: usize,
    /// Endpoints: on frames those ever listed since the process started, on the platform those listed or
    /// lately removed. One more is ignored, with a warning.
    pub max_endpoints: usize,
    /// Volumes that were ever used since the process started. A request of one more is rejected.
    pub max_volumes: usize,
    /// Client connections that are greeted a second, and at once. One more gets a Retry-After and is closed.
    pub connection_rate: ConnectionRateLimit,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_clients: 1024,
            max_requests: 20_000,
            max_requests_per_client: 4096,
            client_pause_bytes: 1 << 20,
            max_client_bytes: 64 << 20,
            max_node_bytes: 8 << 20,
            max_node_connections: 1024,
            max_partial_request_bytes: 32 << 20,
            max_response_bytes: 64 << 20,
            max_endpoints: flaxstand_proto::MAX_LIST_ENTRIES,
            max_volumes: 1 << 20,
            connection_rate: ConnectionRateLimit::default(),
        }
    }
}

/// Bounds of the wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// Shortest wait, and the first.
    pub min: Micros,
    /// Longest wait.
    pub max: Micros,
}

/// Time-outs of the initiator's own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A connection that is not open and greeted within this has failed.
    pub connect_timeout: Micros,
    /// A client that has not greeted within this is disconnected.
    pub greeting_timeout: Micros,
    /// A connection to a node that carries no attempt is closed after this.
    pub node_idle_timeout: Micros,
    /// A response leaves this long before its client gives up: time for its transfer.
    pub response_margin: Micros,
    /// Idle time of the discovery watch after which the full list is requested; after as long again it has
    /// stalled.
    pub discovery_idle_timeout: Micros,
    /// Wait before the discovery service is called again.
    pub discovery_backoff: BackoffBounds,
    /// Longest wait for changes that a polled discovery call asks for.
    pub max_long_poll: Micros,
    /// For so long after a stop was requested everything is as before: clients are still on their way.
    pub shutdown_grace: Micros,
    /// What is still pending this long after a stop was requested is failed.
    pub shutdown_timeout: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        let ms = |ms: u64| Micros(ms * 1000);
        Timeouts {
            connect_timeout: ms(250),
            greeting_timeout: ms(2000),
            node_idle_timeout: ms(15_000),
            response_margin: ms(10),
            discovery_idle_timeout: ms(5000),
            discovery_backoff: BackoffBounds { min: ms(50), max: ms(2000) },
            max_long_poll: ms(5000),
            shutdown_grace: ms(0),
            shutdown_timeout: ms(5000),
        }
    }
}

/// What only the gateway needs to know of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Responses are streamed.
    pub is_streamed: bool,
    /// Its writes may be buffered. Its effect is idempotent then, by itself or by a key.
    pub is_buffered: bool,
}

/// How writes are buffered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBack {
    /// The buffer's limits.
    pub limits: flaxstand_write_back::BufferLimits,
    /// Only writes of these volumes are buffered; none: of all.
    pub volumes: Option<BTreeSet<u64>>,
}

/// What all initiators of a site have in common.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the decision module.
    pub settings: Settings,
    /// In the order of the module's classes.
    pub classes: Vec<ClassInfo>,
    /// Names of plans, in the order of the module's.
    pub plans: Vec<String>,
    /// Time-outs of connections.
    pub timeouts: Timeouts,
    /// The write-back buffer, where a class is buffered.
    pub write_back: Option<WriteBack>,
    /// How retry storms are throttled; none: they are not.
    pub retry_throttle: Option<flaxstand_overload::RetryThrottleConfig>,
}

/// Another participant of the consensus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusPeer {
    /// Its name.
    pub name: String,
    /// Where it listens for other participants.
    pub address: Address,
}

/// With whom an initiator agrees on rules, and with which leases.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The voters, the founder first.
    pub voters: Vec<ConsensusPeer>,
    /// All other initiators.
    pub other_initiators: Vec<ConsensusPeer>,
    /// Duration of a lease. At least twice `election_timeout`.
    pub lease_duration: Micros,
    /// Time without a leader after which voters elect one.
    pub election_timeout: Micros,
    /// Largest drift between the clocks of two hosts during a lease, as a share of its duration.
    pub max_clock_drift: f64,
    /// The rules of the initiator's own settings file.
    pub initial_rules: flaxstand_consensus::rules::Rules,
}

/// What clients, nodes and the discovery service speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wire {
    /// Frames: one connection to each peer, many requests on it.
    #[default]
    Frames,
    /// The platform's HTTP/1.1: one request at a time on a connection.
    Platform,
}

/// Configuration of one initiator.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, for logs.
    pub name: String,
    /// Its number among the site's initiators.
    pub index: u32,
    /// Its incarnation; grows at each start.
    pub epoch: u64,
    /// The host's calendar when the machine's clock was 0, microseconds since 1970.
    pub calendar: u64,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Where the discovery service listens.
    pub discovery_address: Address,
    /// The site.
    pub site: Site,
    /// Its limits.
    pub bounds: Bounds,
    /// What decides.
    pub policy: Policy,
    /// What its peers speak.
    pub wire: Wire,
    /// With whom it agrees on rules, if it does.
    pub consensus: Option<ConsensusConfig>,
}

impl Config {
    /// The answer to the greeting of a peer that speaks versions up to `newest`.
    pub(super) fn welcome(&self, newest: u8) -> Welcome<'_> {
        Welcome {
            version: VERSION.min(newest),
            role: Role::Initiator,
            id: self.index.into(),
            epoch: self.epoch,
            name: &self.name,
        }
    }
}
