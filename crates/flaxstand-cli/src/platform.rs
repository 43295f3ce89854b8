//! `flaxstand run --platform`: an initiator on the platform's own protocol.
//!
//! Everything it is told comes from the file that `RELAY_CONFIG` names. What needs a disk, or would refuse
//! more than the module does, is off: write-back, storm damping, pacing of clients that come, the saved list.

use crate::Failure;
use crate::daemon::{run_to_end, system};
use flaxstand::api::{ListScope, Settings};
use flaxstand_gateway::core::{BackoffBounds, Bounds, ClassInfo, Config, Core, Policy, Site, Timeouts, Wire};
use flaxstand_gateway::driver::{Driver, Options, Reload, clock};
use flaxstand_gateway::machine::{Address, Micros, Reloaded};
use flaxstand_platform::{Configuration, Limits};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{error, info};

/// Names the configuration file.
const FILE: &str = "RELAY_CONFIG";
/// Descriptors that are neither a client's nor a node's: epoll, signals, listener, list, log.
const RESERVE: usize = 24;
/// Longest that the list service is asked to wait, ms; twice in the time within which it must be asked. A change
/// counts as told 6 s after the list service had it: a watch that fell silent is given up 1 s after its wait, and
/// what is left has room for some calls that fail.
const WATCH_MOST: f64 = 2500.0;
/// First and longest wait between calls that failed, where lists are pushed, ms.
const CALL_AGAIN: (f64, f64) = (50.0, 1000.0);
/// Longest deadline that the platform waits for after SIGTERM, and how much longer it waits before SIGKILL, ms.
const DEADLINE_MOST: f64 = 3000.0;
const KILL_AFTER: f64 = 700.0;
/// Before that the process ends, and the last requests are taken from clients, ms. Until then clients that are
/// connected go on asking here: they have nowhere else to go before the next start.
const END_BEFORE: f64 = 100.0;
const CLOSE_BEFORE: f64 = 300.0;

fn read(path: &Path) -> Result<Configuration, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Configuration::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// What is held follows from what the process may use: each connection holds one request of bounded size.
fn bounds(limits: Limits) -> Bounds {
    let sockets = usize::try_from(limits.sockets).unwrap_or(usize::MAX);
    let memory = usize::try_from(limits.memory_mb << 20).unwrap_or(usize::MAX);
    let clients = sockets / 2;
    Bounds {
        max_clients: clients,
        max_node_connections: sockets - clients - RESERVE,
        max_partial_request_bytes: memory / 8,
        max_response_bytes: memory / 4,
        ..Bounds::default()
    }
}

fn config(c: &Configuration) -> Result<Config, Failure> {
    let notification_terms = Some(c.settings.notification_terms());
    let settings =
        Settings { notification_terms, ..c.settings.settings().map_err(|e| Failure::System(e.to_string()))? };
    let ms =
        |told: Option<f64>, factor: f64, default| told.map_or(default, |ms| Micros::from_ms(ms * factor));
    let d = Timeouts::default();
    let longest = settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let killed = longest.min(DEADLINE_MOST) + KILL_AFTER;
    let watch = if settings.poll_within > 0.0 { settings.poll_within / 2.0 } else { WATCH_MOST };
    let waits = Timeouts {
        connect_timeout: ms(c.settings.dial_timeout_ms(), 1.0, d.connect_timeout),
        // Well before the node closes it: what crosses that on its way is lost.
        node_idle_timeout: ms(c.settings.keepalive_ms(), 0.6, d.node_idle_timeout),
        max_long_poll: Micros::from_ms(watch.min(WATCH_MOST)),
        discovery_backoff: BackoffBounds {
            min: Micros::from_ms(CALL_AGAIN.0),
            max: Micros::from_ms(CALL_AGAIN.1),
        },
        shutdown_grace: Micros::from_ms(killed - CLOSE_BEFORE),
        shutdown_timeout: Micros::from_ms(killed - END_BEFORE),
        ..d
    };
    let info = |name: &str| ClassInfo { name: name.into(), is_streamed: false, is_buffered: false };
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    Ok(Config {
        name: c.name.clone(),
        index: 0,
        epoch: since,
        calendar: since.saturating_sub(clock().0),
        seed: c.seed,
        discovery_address: Address::Tcp(c.discovery),
        site: Site {
            classes: c.settings.classes().map(info).collect(),
            plans: c.settings.plans().map(str::to_owned).collect(),
            settings,
            timeouts: waits,
            write_back: None,
            retry_throttle: None,
        },
        bounds: bounds(c.limits),
        policy: Policy::Module,
        wire: Wire::Platform,
        consensus: None,
    })
}

pub fn run() -> Result<(), Failure> {
    let path = std::env::var_os(FILE).map(PathBuf::from);
    let path = path.ok_or_else(|| Failure::System(format!("{FILE} is not set, expected a file")))?;
    let configuration = read(&path).map_err(Failure::System)?;
    let mut core =
        Core::new(config(&configuration)?, None, clock()).map_err(|e| Failure::System(e.to_string()))?;
    core.apply_platform_listing(ListScope::Cached, &configuration.cached_list, clock());
    let options = Options { reload: Some(reload(path)), ..Options::default() };
    let mut driver = Driver::new(core, options).map_err(system("cannot start"))?;
    let listen = Address::Tcp(configuration.listen);
    let at = driver.listen(&listen).map_err(system(&format!("cannot listen at {listen}")))?;
    info!(initiator = configuration.name, listen = %at, discovery = %configuration.discovery, "running");
    run_to_end(driver).map(drop)
}

/// Reads what may change anew. A file with problems changes nothing.
fn reload(path: PathBuf) -> Reload {
    Box::new(move || match read(&path) {
        Ok(c) => Some(Reloaded { bounds: bounds(c.limits), list: Address::Tcp(c.discovery) }),
        Err(cause) => {
            error!(cause, "cannot reload: all stays as it is");
            None
        }
    })
}
