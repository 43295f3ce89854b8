//! Configuration of the core. A reload changes the bounds and the discovery address; the agreement changes
//! the decision module's settings.

use crate::machine::{Address, Micros};
use flaxstand::api::Settings;
use flaxstand_overload::ConnectionRateLimit;
use flaxstand_proto::{Role, VERSION, Welcome};
use std::collections::BTreeSet;

/// Policy that decides when and where requests are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The decision module.
    #[default]
    Module,
    /// Baseline: sends every request immediately, without retries, and distributes new objects over the nodes
    /// in rotation. Like the following ones, for comparison in measurements, not for production.
    RoundRobin,
    /// Baseline: like `RoundRobin`, with new objects on the node with the fewest requests of this host in
    /// flight.
    LeastInFlight,
    /// Baseline: like `RoundRobin`, with new objects on the less loaded of two nodes chosen at random.
    TwoChoices,
}

impl Policy {
    /// All policies with their names in files and on the command line.
    pub const ALL: [(&'static str, Policy); 4] = [
        ("module", Policy::Module),
        ("pipe", Policy::RoundRobin),
        ("least-out", Policy::LeastInFlight),
        ("two-choices", Policy::TwoChoices),
    ];

    /// Returns the policy's name in files and on the command line.
    pub fn name(self) -> &'static str {
        Policy::ALL.iter().find(|(_, policy)| *policy == self).map_or("module", |(name, _)| name)
    }
}

/// Resource limits of the core. `docs/settings.md` describes what happens when each is reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections. Further ones are rejected with a reason and closed.
    pub max_clients: usize,
    /// Pending requests, including answered ones with attempts in flight. Further ones are rejected at once.
    pub max_requests: usize,
    /// Unanswered requests of one client connection. Further ones are rejected at once.
    pub max_requests_per_client: usize,
    /// Unread output of one client in bytes, above which reading from the client is paused until it has read.
    pub client_pause_bytes: usize,
    /// Unread output of one client in bytes, above which it is disconnected. At least `client_pause_bytes`.
    pub max_client_bytes: usize,
    /// Unsent output of one node connection in bytes, above which an attempt counts as rejected without being
    /// sent.
    pub max_node_bytes: usize,
    /// Pooled connections to nodes. At the limit the one idle for longest is closed for a new one; if none is
    /// idle, the attempt ends as not sent.
    pub max_node_connections: usize,
    /// Memory of incomplete requests of all HTTP clients. The client that exceeds it gets an error response
    /// and is disconnected.
    pub max_partial_request_bytes: usize,
    /// Memory of incomplete responses of all HTTP nodes. The attempt whose response exceeds it fails.
    pub max_response_bytes: usize,
    /// Endpoints: on the frame protocol those ever listed since the process started, on the platform those
    /// listed or recently removed. Further ones are ignored with a warning.
    pub max_endpoints: usize,
    /// Volumes that have requests, or whose quotas are not as those of new ones. Requests for further ones are
    /// rejected.
    pub max_volumes: usize,
    /// Rate and burst of client connections. Further ones get a Retry-After and are closed.
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

/// Bounds of the delay before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// Shortest delay, also the initial one.
    pub min: Micros,
    /// Longest delay.
    pub max: Micros,
}

/// Time-outs of the initiator's own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Maximum time to open a connection, including the greeting.
    pub connect_timeout: Micros,
    /// Maximum time until a client's greeting; on HTTP, until a request is received completely.
    pub greeting_timeout: Micros,
    /// Idle time after which a connection to a node is closed.
    pub node_idle_timeout: Micros,
    /// Time reserved for the transfer of a response: a request's deadline is this long before its client's
    /// time-out.
    pub response_margin: Micros,
    /// Idle time of the discovery watch after which the full list is requested. After the same time again the
    /// watch is considered stalled.
    pub discovery_idle_timeout: Micros,
    /// Delay before the discovery service is called again.
    pub discovery_backoff: BackoffBounds,
    /// Longest wait for changes that a long poll of the discovery service requests.
    pub max_long_poll: Micros,
    /// Time after a stop request for which requests are still accepted: clients may not know of the stop yet.
    pub shutdown_grace: Micros,
    /// Time after a stop request at which pending requests fail.
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

/// Properties of a class that only the gateway needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Responses are streamed.
    pub is_streamed: bool,
    /// Writes may be buffered. They are then idempotent, inherently or by an idempotency key.
    pub is_buffered: bool,
}

/// Write-back settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBack {
    /// The buffer's limits.
    pub limits: flaxstand_write_back::BufferLimits,
    /// Volumes whose writes are buffered; `None` for all.
    pub volumes: Option<BTreeSet<u64>>,
}

/// Settings shared by all initiators of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Classes, in the module's order.
    pub classes: Vec<ClassInfo>,
    /// Names of plans, in the module's order.
    pub plans: Vec<String>,
    /// Time-outs of connections.
    pub timeouts: Timeouts,
    /// Write-back settings, if a class is buffered.
    pub write_back: Option<WriteBack>,
    /// Settings of the retry throttle; `None` disables it.
    pub retry_throttle: Option<flaxstand_overload::RetryThrottleConfig>,
}

/// Another participant of the consensus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusPeer {
    /// Its name.
    pub name: String,
    /// Address at which it listens for other participants.
    pub address: Address,
}

/// Participants and leases of the agreement on rules.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The voters; the first one bootstraps the cluster.
    pub voters: Vec<ConsensusPeer>,
    /// All other initiators.
    pub other_initiators: Vec<ConsensusPeer>,
    /// Lease duration. At least twice `election_timeout`.
    pub lease_duration: Micros,
    /// Time without a leader after which voters start an election.
    pub election_timeout: Micros,
    /// Largest drift between the clocks of two hosts during a lease, as a fraction of its duration.
    pub max_clock_drift: f64,
    /// The rules of the initiator's own settings file.
    pub initial_rules: flaxstand_consensus::rules::Rules,
}

/// Protocol of clients, nodes and the discovery service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wire {
    /// Frames: one connection to each peer, with multiplexed requests.
    #[default]
    Frames,
    /// The platform's HTTP/1.1: one request at a time per connection.
    Platform,
}

/// Configuration of one initiator.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, for logs.
    pub name: String,
    /// Its index among the site's initiators.
    pub index: u32,
    /// Its incarnation number; increases at each start.
    pub epoch: u64,
    /// The host's wall-clock time when the machine's clock was 0, in microseconds since 1970.
    pub calendar: u64,
    /// Seed of its random number generators.
    pub seed: u64,
    /// Address of the discovery service.
    pub discovery_address: Address,
    /// Settings of the site.
    pub site: Site,
    /// Resource limits.
    pub bounds: Bounds,
    /// Policy that decides about requests.
    pub policy: Policy,
    /// Protocol of its peers.
    pub wire: Wire,
    /// Configuration of the agreement on rules, if it takes part.
    pub consensus: Option<ConsensusConfig>,
}

impl Config {
    /// Returns the reply to the greeting of a peer that supports versions up to `newest`.
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
