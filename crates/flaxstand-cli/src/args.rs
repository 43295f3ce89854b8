//! Command-line arguments.

use clap::{Args as Group, Parser, Subcommand, ValueEnum};
use flaxstand_gateway::core::Policy;
use flaxstand_gateway::machine::Address;
use std::path::PathBuf;
use thiserror::Error;

/// A storage gateway: schedules a host's reads and writes over a pool of storage nodes.
#[derive(Parser)]
#[command(
    name = "flaxstand",
    version,
    max_term_width = 100,
    after_help = "Exit codes: 0 success; 1 a rule was broken or a log is damaged; \
2 invalid arguments or an invalid file; 3 any other failure, of the system or of a process."
)]
pub struct Args {
    /// Log filter for standard error: a level or a list of `target=level`; `debug` includes each decision
    #[arg(long, global = true, default_value = "info", env = "FLAXSTAND_LOG", hide_env = true)]
    pub log: String,
    /// Log format
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    /// Command to run
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Plain text
    Text,
    /// One JSON object per line
    Json,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run an initiator until SIGTERM; SIGHUP reloads its bounds and the list service's address
    Run {
        /// Settings file
        #[arg(long, value_name = "FILE", required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Serve the platform's HTTP/1.1 protocol, with the configuration file that RELAY_CONFIG names
        #[arg(long, conflicts_with_all = ["config", "with_parent"])]
        platform: bool,
        /// Stop when standard input is closed
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Validate a settings file or a day
    Check {
        /// Settings file or day
        file: PathBuf,
    },
    /// Play a day on loopback and audit it
    Rehearse(RehearseArgs),
    /// Play random days on virtual time and minimise the first that breaks a rule
    Swarm {
        /// Seed of the first day
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of days
        #[arg(long, default_value_t = 1000)]
        days: u64,
        /// Number of days played in parallel
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Folder for the minimised day
        #[arg(long, value_name = "FOLDER", default_value = "days/found")]
        found: PathBuf,
    },
    /// Audit the records that a rehearsal kept and print a report
    Report {
        /// Day that was played
        day: PathBuf,
        /// Folder that `rehearse --keep` wrote
        folder: PathBuf,
        /// Also write the report as JSON to this file; with `-`, print only the JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write an HTML page with plots to this file
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Play days with variants, paired by seed, and compare the results
    Experiment {
        /// Experiment file
        file: PathBuf,
        /// Save the figures of each run in this file and skip the runs that it already has
        #[arg(long, value_name = "FILE")]
        resume: Option<PathBuf>,
        /// Also write the result as JSON to this file; with `-`, print only the JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write an HTML page with a plot to this file
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Number of runs in parallel
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Generate load on a running initiator, open or closed loop; prints counts and latencies as JSON
    Load(LoadArgs),
    /// Measure the cost of an initiator compared with a plain pipe, with nodes that answer immediately
    Measure {
        /// What to measure
        #[arg(value_enum, default_value = "requests")]
        what: Measurement,
        /// Duration of each measurement in seconds
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Also write the figures as JSON to this file; with `-`, print only the JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measure the cost of each role as a fleet grows, with hollow initiators beside real processes
    Scale(ScaleArgs),
    /// Inspect, drain and repair a write-back log
    #[command(subcommand)]
    Buffer(BufferCommand),
    /// Show and change the settings that initiators agree on
    Settings(SettingsArgs),
    /// Run one process of a rehearsal
    #[command(subcommand, hide = true)]
    StandIn(StandInRole),
}

#[derive(Group)]
pub struct RehearseArgs {
    /// Day to play
    pub day: PathBuf,
    /// Seconds during which clients send requests, instead of the duration in the day
    #[arg(long)]
    pub seconds: Option<f64>,
    /// Also write the report as JSON to this file; with `-`, print only the JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write an HTML page with plots to this file
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Keep records (and, on loopback, settings and logs) in this new folder
    #[arg(long, value_name = "FOLDER")]
    pub keep: Option<PathBuf>,
    /// Scheduling policy: module, or one of the baselines pipe, least-out and two-choices
    #[arg(long, value_parser = parse_policy, default_value = "module")]
    pub policy: Policy,
    /// Run in one process on virtual time instead of on loopback; the same day gives the same records
    #[arg(long = "virtual")]
    pub virtual_time: bool,
}

/// The name of a policy is unknown.
#[derive(Debug, Error)]
#[error("expected one of {}", policy_names().join(", "))]
pub struct UnknownPolicy;

fn policy_names() -> Vec<&'static str> {
    Policy::ALL.iter().map(|(name, _)| *name).collect()
}

/// Parses the name of a policy.
fn parse_policy(name: &str) -> Result<Policy, UnknownPolicy> {
    let found = Policy::ALL.iter().find(|(known, _)| *known == name);
    found.map(|(_, policy)| *policy).ok_or(UnknownPolicy)
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Requests per second, latency, processor time, memory
    Requests,
    /// Requests per second and processor time, with agreement on and off in alternation
    Agreement,
    /// Buffered writes and write-through: latency, writes and syncs per second; time to read a log
    Buffer,
}

#[derive(Group)]
pub struct ScaleArgs {
    /// Plan of the run: fleet sizes, load and faults, in steps
    pub file: PathBuf,
    /// Also write the result as JSON to this file; with `-`, print only the JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Group)]
pub struct HollowArgs {
    /// Settings file of the first initiator
    #[arg(long)]
    pub config: PathBuf,
    /// Index of the first initiator among those of the site
    #[arg(long)]
    pub first: u32,
    /// Number of initiators
    #[arg(long)]
    pub count: u32,
}

#[derive(Group)]
pub struct NodeListArgs {
    /// Number of nodes in the list
    #[arg(long)]
    pub nodes: u32,
    /// Changes of the list per second, once started
    #[arg(long)]
    pub changes: f64,
    /// Interval of heartbeats to watchers while the list does not change, in milliseconds; 0 for none
    #[arg(long, default_value_t = 0)]
    pub heartbeat_ms: u32,
    /// Addresses of the first nodes; nothing listens at the addresses of the others
    #[arg(long)]
    pub answering: Vec<Address>,
    /// Addresses to listen at
    #[arg(long)]
    pub listen: Vec<Address>,
}

#[derive(Subcommand)]
pub enum BufferCommand {
    /// Show figures of the buffered writes of a running initiator or of a log folder
    Status {
        #[command(flatten)]
        source: BufferSource,
        /// Print a JSON object
        #[arg(long)]
        json: bool,
    },
    /// Verify a log without changing it, even while it is in use; exit code 1 if it is damaged
    Verify {
        /// Log folder
        folder: PathBuf,
    },
    /// List buffered writes, one per line: number, volume, extent, class, operation, bytes, age, state
    Dump {
        /// Log folder
        folder: PathBuf,
        /// List only parked writes, which wait for a decision of an operator
        #[arg(long)]
        parked: bool,
        /// Print one JSON object per line
        #[arg(long)]
        json: bool,
    },
    /// Write all buffered writes to their nodes, by a running initiator or with the settings of a stopped one
    Drain {
        #[command(flatten)]
        by: DrainBy,
        /// Time limit in seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
    /// Decide on a parked write; the initiator must be stopped
    Decide {
        /// Log folder
        folder: PathBuf,
        /// Number of the write, as `dump` prints it
        number: u64,
        /// Whether the write has reached its node or is sent again
        #[arg(value_enum)]
        verdict: Verdict,
    },
    /// Repair a damaged log: copy the readable records to a new segment and set the old segments aside
    Salvage {
        /// Log folder
        folder: PathBuf,
    },
}

#[derive(Group)]
pub struct SettingsArgs {
    /// Settings file of any initiator of the site; its `agreement` section has the addresses of the others
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Command to run
    #[command(subcommand)]
    pub command: SettingsCommand,
}

#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Propose the rules of a file as the next version and print what they change
    Propose {
        /// Settings file, or a file with only the settings that all initiators share
        file: PathBuf,
        /// Print the changes without proposing them
        #[arg(long)]
        dry_run: bool,
        /// Wait up to this many seconds until the version is in force
        #[arg(long, value_name = "SECONDS")]
        wait: Option<f64>,
    },
    /// Show which version each initiator acts on and what blocks a change
    Status {
        /// Print a JSON object
        #[arg(long)]
        json: bool,
    },
    /// List the events of each version
    History,
    /// Print the file of the version in force or of another stored version
    Show {
        /// Number of the version
        number: Option<u64>,
    },
    /// Withdraw a version that is not in force yet
    Withdraw {
        /// Number of the version
        number: u64,
    },
    /// Propose an earlier version again
    Revert {
        /// Number of the version
        number: u64,
    },
    /// Wait until no change is being rolled out
    Wait {
        /// Time limit in seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
    /// Remove an initiator that is permanently stopped, so that changes no longer wait for it
    Forget {
        /// Name of the initiator
        name: String,
    },
}

#[derive(Group)]
#[group(required = true, multiple = false)]
pub struct BufferSource {
    /// Log folder
    pub folder: Option<PathBuf>,
    /// Address of a running initiator
    #[arg(long, value_name = "ADDRESS")]
    pub initiator: Option<Address>,
}

#[derive(Group)]
#[group(required = true, multiple = false)]
pub struct DrainBy {
    /// Address of a running initiator
    #[arg(long, value_name = "ADDRESS")]
    pub initiator: Option<Address>,
    /// Settings file of a stopped initiator
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Verdict {
    /// The write has reached its node
    Done,
    /// The write has not reached its node and is sent again
    Again,
}

#[derive(Subcommand)]
pub enum StandInRole {
    /// List service
    List {
        #[command(flatten)]
        files: StandInFiles,
    },
    /// Storage node
    Node {
        day: PathBuf,
        #[arg(long)]
        node: u64,
        #[arg(long)]
        shard: u32,
        #[arg(long)]
        incarnation: u64,
        #[arg(long)]
        cold: bool,
        #[command(flatten)]
        files: StandInFiles,
    },
    /// Nodes, one per address, that answer immediately or never
    Echo {
        #[arg(long)]
        mute: bool,
        #[command(flatten)]
        files: StandInFiles,
    },
    /// List service of a scale run
    NodeList(NodeListArgs),
    /// Initiators without clients, many in one process
    Hollow(HollowArgs),
    /// Clients that keep a number of requests in flight or send at a fixed rate
    Press(LoadArgs),
    /// Clients
    Load {
        day: PathBuf,
        #[arg(long)]
        seconds: f64,
        #[arg(long)]
        initiator: Vec<Address>,
        #[command(flatten)]
        files: StandInFiles,
    },
}

#[derive(Group)]
pub struct LoadArgs {
    /// Address of the initiator
    #[arg(long)]
    pub initiator: Address,
    /// Number of shards that requests are spread over evenly, from shard 0
    #[arg(long)]
    pub shards: u32,
    /// Number of connections
    #[arg(long, default_value_t = 1)]
    pub clients: u32,
    /// Requests that each connection keeps in flight (closed loop)
    #[arg(long, default_value_t = 0, conflicts_with = "rate", required_unless_present = "rate")]
    pub window: u32,
    /// Requests per second over all connections, regardless of the answers (open loop)
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// Bytes per write, each to its own extent; 0 sends reads
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=1 << 20))]
    pub write: u32,
    /// Duration of the measurement in seconds, after a warm-up of a quarter of it
    #[arg(long)]
    pub seconds: f64,
}

#[derive(Group)]
pub struct StandInFiles {
    /// Addresses to listen at
    #[arg(long)]
    pub listen: Vec<Address>,
    /// File for the process's records
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// File for the data that the process stores
    #[arg(long)]
    pub data: Option<PathBuf>,
}
