//! Arguments.

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
    after_help = "Exit codes: 0 all is well; \
1 a rule was broken; 2 wrong arguments or a file with problems; 3 the system or a process failed."
)]
pub struct Args {
    /// What to log to standard error: a level, or `target=level` parts. `debug` has each decision
    #[arg(long, global = true, default_value = "info", env = "FLAXSTAND_LOG", hide_env = true)]
    pub log: String,
    /// How to log
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    /// What to do
    #[command(subcommand)]
    pub task: Task,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// For people
    Text,
    /// An object a line
    Json,
}

#[derive(Subcommand)]
pub enum Task {
    /// Run an initiator until SIGTERM; SIGHUP reads its bounds and the list service's address anew
    Run {
        /// Its settings
        #[arg(long, value_name = "FILE", required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Speak the platform's HTTP/1.1 and take the configuration from the file that RELAY_CONFIG names
        #[arg(long, conflicts_with_all = ["config", "with_parent"])]
        platform: bool,
        /// Stop when standard input ends
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Check a settings file or a day
    Check {
        /// The file
        file: PathBuf,
    },
    /// Play a day on loopback and audit it
    Rehearse(Rehearsal),
    /// Draw days at random, play each on virtual time, and cut the first that breaks a rule down to a small one
    Swarm {
        /// Seed of the first day
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// How many days
        #[arg(long, default_value_t = 1000)]
        days: u64,
        /// How many at a time
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Where the small day goes
        #[arg(long, value_name = "FOLDER", default_value = "days/found")]
        found: PathBuf,
    },
    /// Audit what a rehearsal kept, and report on it
    Report {
        /// The day that was played
        day: PathBuf,
        /// What `rehearse --keep` left
        folder: PathBuf,
        /// Write the report there too; `-` prints it in place of the text
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write a page with plots there
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Play days with variants, paired by seed, and tell what differs
    Experiment {
        /// The experiment
        file: PathBuf,
        /// Keep each run's figures there, and go on from them
        #[arg(long, value_name = "FILE")]
        resume: Option<PathBuf>,
        /// Write the result there too; `-` prints it in place of the text
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write a page with a plot there
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// How many runs at a time
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Press on a running initiator, open or closed loop; prints what was served and how fast, as JSON
    Load(Press),
    /// Measure what an initiator costs, beside a straight pipe, against nodes that answer at once
    Measure {
        /// What of it
        #[arg(value_enum, default_value = "requests")]
        what: Measured,
        /// Seconds for each figure
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Write the figures there too
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measure what each role costs as a fleet grows: hollow initiators beside real processes
    Scale(ScaleArgs),
    /// Look at a write-back log, or empty it
    #[command(subcommand)]
    Buffer(BufferTask),
    /// Settings that initiators agree on: propose, look, withdraw
    Settings(SettingsArgs),
    /// One process of a rehearsal
    #[command(subcommand, hide = true)]
    StandIn(Role),
}

#[derive(Group)]
pub struct Rehearsal {
    /// The day
    pub day: PathBuf,
    /// How long requests come, in place of what the day says
    #[arg(long)]
    pub seconds: Option<f64>,
    /// Write the report there too; `-` prints it in place of the text
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write a page with plots there
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Keep records (and, on loopback, settings and logs) in this new folder
    #[arg(long, value_name = "FOLDER")]
    pub keep: Option<PathBuf>,
    /// What decides: module, or a baseline: pipe, least-out, two-choices
    #[arg(long, value_parser = policy, default_value = "module")]
    pub policy: Policy,
    /// In one process on virtual time, in place of loopback: the same day gives the same record
    #[arg(long = "virtual")]
    pub virtually: bool,
}

/// A name that is not a policy's.
#[derive(Debug, Error)]
#[error("expected one of {}", policy_names().join(", "))]
pub struct UnknownPolicy;

fn policy_names() -> Vec<&'static str> {
    Policy::ALL.iter().map(|(name, _)| *name).collect()
}

/// The policy of this name.
fn policy(name: &str) -> Result<Policy, UnknownPolicy> {
    let found = Policy::ALL.iter().find(|(known, _)| *known == name);
    found.map(|(_, policy)| *policy).ok_or(UnknownPolicy)
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Measured {
    /// Requests a second, latency, processor time, memory
    Requests,
    /// Agreement on against off: requests a second, processor time, in turn
    Agreement,
    /// Buffered writes beside writes through: latency, writes and syncs a second, reading a log back
    Buffer,
}

#[derive(Group)]
pub struct ScaleArgs {
    /// What there is to be, step by step
    pub file: PathBuf,
    /// Write the result there too; `-` prints it in place of the text
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Group)]
pub struct HollowArgs {
    /// Settings of the first
    #[arg(long)]
    pub config: PathBuf,
    /// Its number among the site's initiators
    #[arg(long)]
    pub first: u32,
    /// How many
    #[arg(long)]
    pub count: u32,
}

#[derive(Group)]
pub struct NodeListArgs {
    /// Nodes in the list
    #[arg(long)]
    pub nodes: u32,
    /// Changes a second, once started
    #[arg(long)]
    pub changes: f64,
    /// How often watchers are told that nothing has changed, milliseconds; 0: never
    #[arg(long, default_value_t = 0)]
    pub heartbeat_ms: u32,
    /// Addresses of the first nodes; nothing listens at those of the others
    #[arg(long)]
    pub answering: Vec<Address>,
    #[arg(long)]
    pub listen: Vec<Address>,
}

#[derive(Subcommand)]
pub enum BufferTask {
    /// What is buffered: of a running initiator its own figures, of a log's folder what it holds
    Status {
        #[command(flatten)]
        of: Which,
        /// As a JSON object
        #[arg(long)]
        json: bool,
    },
    /// Read a log through; exit code 1 if it is damaged. Nothing is changed, and it may be in use
    Verify {
        /// The log's folder
        folder: PathBuf,
    },
    /// List what is buffered, a line each: number, volume, extent, class, operation, bytes, age, state
    Dump {
        /// The log's folder
        folder: PathBuf,
        /// Only what waits for an operator
        #[arg(long)]
        parked: bool,
        /// Each line a JSON object
        #[arg(long)]
        json: bool,
    },
    /// Bring all that is buffered to its nodes: by a running initiator, or with a stopped one's settings
    Drain {
        #[command(flatten)]
        by: By,
        /// How long at most
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
    /// Say what becomes of a write that waits for an operator; the initiator must be stopped
    Decide {
        /// The log's folder
        folder: PathBuf,
        /// Its number, as `dump` shows it
        number: u64,
        /// Is it on its node, or is it to go again
        #[arg(value_enum)]
        verdict: ParkedDecisionArgument,
    },
    /// Make a damaged log usable: what can be read goes to a new segment, the old ones are set aside
    Salvage {
        /// The log's folder
        folder: PathBuf,
    },
}

#[derive(Group)]
pub struct SettingsArgs {
    /// Settings of any initiator of the site: its `agreement` says where the others are
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// What to do
    #[command(subcommand)]
    pub task: SettingsTask,
}

#[derive(Subcommand)]
pub enum SettingsTask {
    /// Propose the rules of a file as the next version, and tell what they widen and narrow
    Propose {
        /// The file: a settings file, or only what all initiators share
        file: PathBuf,
        /// Only tell
        #[arg(long)]
        dry_run: bool,
        /// Wait until it is in force, for so many seconds at most
        #[arg(long, value_name = "SECONDS")]
        wait: Option<f64>,
    },
    /// Who acts on which version, and who holds a change up and why
    Status {
        /// As a JSON object
        #[arg(long)]
        json: bool,
    },
    /// What happened to each version
    History,
    /// Print the file of the version in force, or of an earlier one that is still kept
    Show {
        /// Its number
        number: Option<u64>,
    },
    /// Take a version back that is not in force yet
    Withdraw {
        /// Its number
        number: u64,
    },
    /// Propose an earlier version again
    Revert {
        /// Its number
        number: u64,
    },
    /// Wait until no change is under way
    Wait {
        /// For so many seconds at most
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
    /// An initiator is gone for good: no longer wait for its word
    Forget {
        /// Its name
        name: String,
    },
}

#[derive(Group)]
#[group(required = true, multiple = false)]
pub struct Which {
    /// The log's folder
    pub folder: Option<PathBuf>,
    /// A running initiator
    #[arg(long, value_name = "ADDRESS")]
    pub initiator: Option<Address>,
}

#[derive(Group)]
#[group(required = true, multiple = false)]
pub struct By {
    /// A running initiator
    #[arg(long, value_name = "ADDRESS")]
    pub initiator: Option<Address>,
    /// The settings of one that is stopped
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum ParkedDecisionArgument {
    /// It is on its node
    Done,
    /// It is not, and goes out as if it never had
    Again,
}

#[derive(Subcommand)]
pub enum Role {
    /// The list service
    List {
        #[command(flatten)]
        files: Files,
    },
    /// A storage node
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
        files: Files,
    },
    /// Nodes that answer at once, one for each address, or that never do
    Echo {
        #[arg(long)]
        mute: bool,
        #[command(flatten)]
        files: Files,
    },
    /// The list service of a scale run
    NodeList(NodeListArgs),
    /// Initiators without clients, many in one process
    Hollow(HollowArgs),
    /// Clients that keep so many requests out, or send so many a second
    Press(Press),
    /// The clients
    Load {
        day: PathBuf,
        #[arg(long)]
        seconds: f64,
        #[arg(long)]
        initiator: Vec<Address>,
        #[command(flatten)]
        files: Files,
    },
}

#[derive(Group)]
pub struct Press {
    /// The initiator's address
    #[arg(long)]
    pub initiator: Address,
    /// Shards that requests are spread over evenly, from 0
    #[arg(long)]
    pub shards: u32,
    /// Connections
    #[arg(long, default_value_t = 1)]
    pub clients: u32,
    /// Requests that each connection keeps out (closed loop)
    #[arg(long, default_value_t = 0, conflicts_with = "rate", required_unless_present = "rate")]
    pub window: u32,
    /// Requests a second over all connections, whatever is answered (open loop)
    #[arg(long, default_value_t = 0.0)]
    pub rate: f64,
    /// Bytes of a write, each to an extent of its own; 0: requests read
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=1 << 20))]
    pub write: u32,
    /// How long is measured, after a warm-up of a quarter of that
    #[arg(long)]
    pub seconds: f64,
}

#[derive(Group)]
pub struct Files {
    #[arg(long)]
    pub listen: Vec<Address>,
    #[arg(long)]
    pub record: Option<PathBuf>,
    #[arg(long)]
    pub data: Option<PathBuf>,
}
