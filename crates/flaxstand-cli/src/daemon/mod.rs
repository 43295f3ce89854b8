//! `flaxstand run`: starts an initiator, serves clients or drains its buffer, and stops it. `saved_state`
//! restores the state of the previous process.

mod saved_state;

use crate::error::CommandError;
use crate::files::{print_problems, read_text};
use flaxstand_gateway::core::{Config, Core};
use flaxstand_gateway::driver::{Driver, Options, Reload, clock};
use flaxstand_gateway::machine::{Address, Control, Machine as _, Micros, Reloaded};
use flaxstand_gateway::settings::{ConsensusSettings, Daemon, read_daemon};
use saved_state::{
    open_consensus_log, open_write_back_log, read_replicated_state, read_saved_list, set_aside_damaged,
    set_aside_if_expired,
};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{error, info};

/// File name of the replicated state in the agreement's folder.
const REPLICATED_STATE_FILE: &str = "book";

/// Purpose for which an initiator runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Serve clients.
    Serve {
        /// Stop when standard input is closed.
        with_parent: bool,
    },
    /// Write out the buffered writes within this time, without listening for clients.
    Drain(Micros),
}

impl Purpose {
    fn serves(self) -> bool {
        matches!(self, Purpose::Serve { .. })
    }
}

/// Runs an initiator until it stops.
pub fn run(path: &Path, purpose: Purpose) -> Result<(), CommandError> {
    let daemon = print_problems(read_daemon(&name(path), &read_text(path)?))?;
    let initiator = daemon.config.name.clone();
    let Started { core, options, listen } = start(path, daemon, purpose)?;
    let mut driver = Driver::new(core, options).map_err(CommandError::io("cannot start the driver"))?;
    if purpose.serves() {
        let addresses = listen_at(&mut driver, &listen)?;
        announce(&initiator, &addresses);
    }
    let core = run_to_end(driver)?;
    if purpose.serves() { Ok(()) } else { report_drained(&core) }
}

/// The parts of an initiator that is ready to run.
struct Started {
    core: Core,
    options: Options,
    listen: Vec<Address>,
}

/// Creates the core and restores its saved state.
fn start(path: &Path, daemon: Daemon, purpose: Purpose) -> Result<Started, CommandError> {
    let Daemon {
        mut config,
        mut listen,
        saved_list: saved_list_path,
        max_saved_list_age,
        write_back_log,
        max_open_files,
        consensus,
    } = daemon;
    if let Some(descriptors) = max_open_files {
        lower_descriptor_limit(descriptors)?;
    }
    let started_at = wall_clock();
    // Increases from one start to the next unless the host's clock is set back.
    config.epoch = started_at.as_micros() as u64;
    if let (Some(path), Some(max_age)) = (&saved_list_path, max_saved_list_age) {
        set_aside_if_expired(path, max_age)?;
    }
    let saved_list = saved_list_path.as_deref().and_then(read_saved_list);
    if let Purpose::Drain(limit) = purpose {
        if write_back_log.is_none() {
            return Err(CommandError::NothingBuffered(path.to_owned()));
        }
        config.site.timeouts.shutdown_timeout = limit;
    }
    let now = clock();
    config.calendar = started_at.as_micros() as u64 - now.0;
    config.consensus = consensus.as_ref().map(|consensus| consensus.config.clone());
    let mut core = new_core(&config, saved_list.as_deref(), saved_list_path.as_deref(), now)?;
    let mut options = Options {
        saved_list: saved_list_path,
        read_input: purpose == Purpose::Serve { with_parent: true },
        reload: Some(reload(path.to_owned())),
        ..Options::default()
    };
    if let Some(folder) = &write_back_log {
        let opened = open_write_back_log(folder)?;
        core.attach(opened.recovered, now);
        options.write_back_log = Some(opened.storage);
    }
    if let Some(consensus) = consensus.filter(|_| purpose.serves()) {
        join_consensus(&mut core, &mut options, &consensus, &config.name, listen.len(), now)?;
        listen.push(consensus.listen);
    }
    if !purpose.serves() {
        core.control(Control::Stop, now);
    }
    Ok(Started { core, options, listen })
}

fn lower_descriptor_limit(descriptors: u64) -> Result<(), CommandError> {
    use rustix::process::{Resource, Rlimit, setrlimit};
    let limit = Rlimit { current: Some(descriptors), maximum: Some(descriptors) };
    setrlimit(Resource::Nofile, limit).map_err(|errno| {
        CommandError::io(format!("cannot set the limit of open files to {descriptors}"))(errno.into())
    })
}

/// Time since the Unix epoch by the host's clock.
fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Creates a core with the saved list; an invalid list is set aside and the core starts without it.
fn new_core(
    config: &Config,
    saved_list: Option<&[u8]>,
    saved_list_path: Option<&Path>,
    now: Micros,
) -> Result<Core, CommandError> {
    match Core::new(config.clone(), saved_list, now) {
        Ok(core) => Ok(core),
        Err(cause) => {
            if let Some(path) = saved_list_path {
                set_aside_damaged(path, &cause)?;
            }
            Ok(Core::new(config.clone(), None, now)?)
        }
    }
}

/// Joins the consensus group. `listener` is the index of the listener for connections of other initiators.
fn join_consensus(
    core: &mut Core,
    options: &mut Options,
    consensus: &ConsensusSettings,
    name: &str,
    listener: usize,
    now: Micros,
) -> Result<(), CommandError> {
    let folder = &consensus.directory;
    std::fs::create_dir_all(folder)
        .map_err(CommandError::io(format!("cannot create {}", folder.display())))?;
    let state_path = folder.join(REPLICATED_STATE_FILE);
    let saved = read_replicated_state(&state_path)?;
    let is_voter = consensus.config.voters.iter().any(|voter| voter.name == name);
    let mut stored = None;
    if is_voter {
        let opened = open_consensus_log(folder)?;
        options.consensus_log = Some(opened.storage);
        stored = Some(opened.recovered);
    }
    core.start_agreement(listener, stored, saved, now);
    options.replicated_state = Some(state_path);
    Ok(())
}

/// Listens at all addresses and returns them separated by spaces; port 0 is replaced by the port that the
/// system chose.
fn listen_at(driver: &mut Driver<Core>, addresses: &[Address]) -> Result<String, CommandError> {
    let mut bound = Vec::new();
    for address in addresses {
        let address =
            driver.listen(address).map_err(CommandError::io(format!("cannot listen at {address}")))?;
        bound.push(address.to_string());
    }
    Ok(bound.join(" "))
}

/// Logs that the initiator serves and prints the `ready` line for the parent process.
fn announce(initiator: &str, addresses: &str) {
    info!(initiator, listen = addresses, "running");
    println!("ready {addresses}");
    let _ = std::io::stdout().flush();
}

/// Runs an initiator until it stops, and logs requests that were left unanswered.
pub fn run_to_end(driver: Driver<Core>) -> Result<Core, CommandError> {
    let core = driver.run().map_err(CommandError::io("the driver failed"))?;
    if core.counts().overdue > 0 {
        error!(
            overdue = core.counts().overdue,
            "the decision module left requests unanswered: please report this defect"
        );
    }
    Ok(core)
}

fn report_drained(core: &Core) -> Result<(), CommandError> {
    match core.buffer_status(clock()) {
        Some(status) if status.writes > 0 => {
            Err(CommandError::StillBuffered { writes: status.writes, parked: status.parked })
        }
        Some(_) => {
            println!("no buffered writes remain");
            Ok(())
        }
        None => Ok(()),
    }
}

/// Returns the function that reloads the settings which may change at run time. An invalid file changes
/// nothing.
fn reload(path: PathBuf) -> Reload {
    Box::new(move || {
        let text = std::fs::read_to_string(&path)
            .inspect_err(
                |error| error!(%error, "cannot read the settings file: keeping the current settings"),
            )
            .ok()?;
        match read_daemon(&name(&path), &text) {
            Ok(Daemon { config, .. }) => {
                Some(Reloaded { bounds: config.bounds, memory_bounds: None, list: config.discovery_address })
            }
            Err(problems) => {
                error!(%problems, "cannot reload the settings file: keeping the current settings");
                None
            }
        }
    })
}

fn name(path: &Path) -> String {
    path.display().to_string()
}
