//! `flaxstand run --platform`: an initiator on the platform's own protocol.
//!
//! Its configuration is the file that `RELAY_CONFIG` names. What needs a disk, or would reject more than the
//! decision module does, is off: write-back, the retry throttle, the limit on new connections, the saved list.

use crate::daemon::run_to_end;
use crate::error::CommandError;
use flaxstand::api::{ListScope, Settings};
use flaxstand_gateway::core::{BackoffBounds, Bounds, ClassInfo, Config, Core, Policy, Site, Timeouts, Wire};
use flaxstand_gateway::driver::{Driver, Options, Reload, clock};
use flaxstand_gateway::machine::{Address, Micros, Reloaded};
use flaxstand_platform::{Configuration, ConfigurationError, Limits};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tracing::{error, info};

/// Environment variable that names the configuration file.
const CONFIGURATION_VARIABLE: &str = "RELAY_CONFIG";
/// Descriptors that are neither a client's nor a node's: epoll, signals, listener, endpoint discovery, log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Longest that the discovery service is asked to hold a watch, ms; twice in the time within which it must be
/// polled. A change counts as notified 6 s after the service had it: a watch that fell silent is given up 1 s after
/// its hold, and what is left has time for some calls that fail.
const MAX_WATCH_MS: f64 = 2500.0;
/// First back-off between discovery calls that failed, where changes are pushed, ms.
const MIN_CALL_BACKOFF_MS: f64 = 50.0;
/// Longest such back-off, ms.
const MAX_CALL_BACKOFF_MS: f64 = 1000.0;
/// Longest deadline that the platform waits for after SIGTERM, ms.
const MAX_DEADLINE_AT_STOP_MS: f64 = 3000.0;
/// How much longer it waits before SIGKILL, ms.
const KILL_AFTER_MS: f64 = 700.0;
/// How long before SIGKILL the process ends, ms.
const EXIT_BEFORE_KILL_MS: f64 = 100.0;
/// How long before SIGKILL the last requests are accepted, ms. Until then connected clients go on sending here: they
/// have nowhere else to go before the next start.
const CLOSE_BEFORE_KILL_MS: f64 = 300.0;
/// Part of a node's keep-alive time after which an idle connection is closed: well before the node closes it, as a
/// request that crosses that is lost.
const IDLE_SHARE_OF_KEEPALIVE: f64 = 0.6;

/// Why the platform's configuration can't be used.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// Nothing names it.
    #[error("{CONFIGURATION_VARIABLE} is not set, expected a file")]
    NotSet,
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file is not a configuration.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ConfigurationError,
    },
    /// Its settings contradict each other.
    #[error("{0}")]
    Settings(String),
}

fn read(path: &Path) -> Result<Configuration, PlatformError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| PlatformError::Unreadable { path: path.to_owned(), source })?;
    Configuration::read(&text).map_err(|source| PlatformError::Invalid { path: path.to_owned(), source })
}

/// Limits follow from what the process may use: each connection has one request of bounded size.
fn bounds(limits: Limits) -> Bounds {
    let sockets = usize::try_from(limits.sockets).unwrap_or(usize::MAX);
    let memory = usize::try_from(limits.memory_mb << 20).unwrap_or(usize::MAX);
    let clients = sockets / 2;
    Bounds {
        max_clients: clients,
        max_node_connections: sockets - clients - RESERVED_DESCRIPTORS,
        max_partial_request_bytes: memory / 8,
        max_response_bytes: memory / 4,
        ..Bounds::default()
    }
}

fn timeouts(configuration: &Configuration, settings: &Settings) -> Timeouts {
    let defaults = Timeouts::default();
    let ms =
        |given: Option<f64>, factor: f64, default| given.map_or(default, |ms| Micros::from_ms(ms * factor));
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let killed_after = longest_deadline.min(MAX_DEADLINE_AT_STOP_MS) + KILL_AFTER_MS;
    let watch = if settings.poll_within > 0.0 { settings.poll_within / 2.0 } else { MAX_WATCH_MS };
    Timeouts {
        connect_timeout: ms(configuration.settings.dial_timeout_ms(), 1.0, defaults.connect_timeout),
        node_idle_timeout: ms(
            configuration.settings.keepalive_ms(),
            IDLE_SHARE_OF_KEEPALIVE,
            defaults.node_idle_timeout,
        ),
        max_long_poll: Micros::from_ms(watch.min(MAX_WATCH_MS)),
        discovery_backoff: BackoffBounds {
            min: Micros::from_ms(MIN_CALL_BACKOFF_MS),
            max: Micros::from_ms(MAX_CALL_BACKOFF_MS),
        },
        shutdown_grace: Micros::from_ms(killed_after - CLOSE_BEFORE_KILL_MS),
        shutdown_timeout: Micros::from_ms(killed_after - EXIT_BEFORE_KILL_MS),
        ..defaults
    }
}

fn site(configuration: &Configuration) -> Result<Site, PlatformError> {
    let settings =
        configuration.settings.settings().map_err(|error| PlatformError::Settings(error.to_string()))?;
    let notification_terms = Some(configuration.settings.notification_terms());
    let settings = Settings { notification_terms, ..settings };
    let class = |name: &str| ClassInfo { name: name.into(), is_streamed: false, is_buffered: false };
    Ok(Site {
        classes: configuration.settings.classes().map(class).collect(),
        plans: configuration.settings.plans().map(str::to_owned).collect(),
        timeouts: timeouts(configuration, &settings),
        settings,
        write_back: None,
        retry_throttle: None,
    })
}

fn config(configuration: &Configuration) -> Result<Config, PlatformError> {
    let calendar = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    Ok(Config {
        name: configuration.name.clone(),
        index: 0,
        epoch: calendar,
        calendar: calendar.saturating_sub(clock().0),
        seed: configuration.seed,
        discovery_address: Address::Tcp(configuration.discovery),
        site: site(configuration)?,
        bounds: bounds(configuration.limits),
        policy: Policy::Module,
        wire: Wire::Platform,
        consensus: None,
    })
}

/// Runs an initiator on the platform's protocol until it stops.
pub fn run() -> Result<(), CommandError> {
    let path = std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from).ok_or(PlatformError::NotSet)?;
    let configuration = read(&path)?;
    let mut core = Core::new(config(&configuration)?, None, clock())?;
    core.apply_platform_listing(ListScope::Cached, &configuration.cached_list, clock());
    let options = Options { reload: Some(reload(path)), ..Options::default() };
    let mut driver = Driver::new(core, options).map_err(CommandError::io("cannot start"))?;
    let listen = Address::Tcp(configuration.listen);
    let bound = driver.listen(&listen).map_err(CommandError::io(format!("cannot listen at {listen}")))?;
    info!(initiator = configuration.name, listen = %bound, discovery = %configuration.discovery, "running");
    run_to_end(driver).map(drop)
}

/// Reads again what may change while a process runs. A file with problems changes nothing.
fn reload(path: PathBuf) -> Reload {
    Box::new(move || match read(&path) {
        Ok(configuration) => Some(Reloaded {
            bounds: bounds(configuration.limits),
            list: Address::Tcp(configuration.discovery),
        }),
        Err(error) => {
            let cause = error.to_string();
            error!(cause, "cannot reload: all stays as it is");
            None
        }
    })
}
