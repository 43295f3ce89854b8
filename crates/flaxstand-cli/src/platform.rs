//! `flaxstand run --platform`: an initiator that serves the platform's HTTP/1.1 protocol.
//!
//! The environment variable `RELAY_CONFIG` names the configuration file. Features that need a disk
//! (write-back, the saved list) or that reject requests in addition to the decision module (the retry
//! throttle, the limit on new connections) are off.

use crate::daemon::run_to_end;
use crate::error::CommandError;
use flaxstand::api::{ListScope, Settings};
use flaxstand_gateway::core::{
    BackoffBounds, ClassInfo, Config, Core, Policy, ProcessLimits, Site, Timeouts, Wire,
};
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
/// Maximum time that the discovery service is asked to hold a watch open, ms; half of the configured poll
/// interval if that is shorter. A change counts as notified 6 s after the service received it: a silent watch
/// is abandoned 1 s after its hold time, and the remainder leaves time for several failed calls.
const MAX_WATCH_MS: f64 = 2500.0;
/// Initial back-off between failed discovery calls while changes are pushed, ms.
const MIN_CALL_BACKOFF_MS: f64 = 50.0;
/// Maximum back-off between failed discovery calls, ms.
const MAX_CALL_BACKOFF_MS: f64 = 1000.0;
/// Maximum request deadline that the platform waits for after SIGTERM, ms.
const MAX_DEADLINE_AT_STOP_MS: f64 = 3000.0;
/// Additional time between that deadline and SIGKILL, ms.
const KILL_AFTER_MS: f64 = 700.0;
/// Time before SIGKILL at which the process exits, ms.
const EXIT_BEFORE_KILL_MS: f64 = 100.0;
/// Time before SIGKILL at which the process stops accepting requests, ms. Connected clients are served until
/// then, as no other initiator serves them before the next start.
const CLOSE_BEFORE_KILL_MS: f64 = 300.0;
/// Fraction of a node's keep-alive time after which an idle connection is closed, well before the node closes
/// it: a request that is sent while the node closes the connection is lost.
const IDLE_SHARE_OF_KEEPALIVE: f64 = 0.6;

/// The platform's configuration can't be used.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The environment variable is not set.
    #[error("{CONFIGURATION_VARIABLE} is not set, expected the path of a configuration file")]
    NotSet,
    /// The file can't be read.
    #[error("cannot read configuration file {}: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The file is not a valid configuration.
    #[error("invalid configuration file {}: {source}", .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The problem.
        source: ConfigurationError,
    },
    /// The settings contradict each other.
    #[error("invalid settings in the configuration: {0}")]
    Settings(String),
}

fn read(path: &Path) -> Result<Configuration, PlatformError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| PlatformError::Unreadable { path: path.to_owned(), source })?;
    Configuration::read(&text).map_err(|source| PlatformError::Invalid { path: path.to_owned(), source })
}

fn process_limits(limits: Limits) -> ProcessLimits {
    let size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    let memory_bytes = size(limits.memory_mb.saturating_mul(1 << 20));
    ProcessLimits { memory_bytes, descriptors: size(limits.sockets) }
}

fn timeouts(configuration: &Configuration, settings: &Settings) -> Timeouts {
    let defaults = Timeouts::default();
    let ms =
        |value: Option<f64>, factor: f64, default| value.map_or(default, |ms| Micros::from_ms(ms * factor));
    let max_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let kill_time = max_deadline.min(MAX_DEADLINE_AT_STOP_MS) + KILL_AFTER_MS;
    let watch_ms = if settings.poll_within > 0.0 { settings.poll_within / 2.0 } else { MAX_WATCH_MS };
    Timeouts {
        connect_timeout: ms(configuration.settings.dial_timeout_ms(), 1.0, defaults.connect_timeout),
        node_idle_timeout: ms(
            configuration.settings.keepalive_ms(),
            IDLE_SHARE_OF_KEEPALIVE,
            defaults.node_idle_timeout,
        ),
        max_long_poll: Micros::from_ms(watch_ms.min(MAX_WATCH_MS)),
        discovery_backoff: BackoffBounds {
            min: Micros::from_ms(MIN_CALL_BACKOFF_MS),
            max: Micros::from_ms(MAX_CALL_BACKOFF_MS),
        },
        shutdown_grace: Micros::from_ms(kill_time - CLOSE_BEFORE_KILL_MS),
        shutdown_timeout: Micros::from_ms(kill_time - EXIT_BEFORE_KILL_MS),
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
        bounds: process_limits(configuration.limits).bounds(),
        policy: Policy::Module,
        wire: Wire::Platform,
        consensus: None,
    })
}

/// Runs an initiator with the platform's protocol until it stops.
pub fn run() -> Result<(), CommandError> {
    let path = std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from).ok_or(PlatformError::NotSet)?;
    let configuration = read(&path)?;
    let mut core = Core::new(config(&configuration)?, None, clock())?;
    core.set_memory_bounds(process_limits(configuration.limits).memory_bounds());
    core.apply_platform_listing(ListScope::Cached, &configuration.cached_list, clock());
    let socket_buffer_bytes = process_limits(configuration.limits).memory_bounds().socket_buffer_bytes;
    let options = Options { reload: Some(reload(path)), socket_buffer_bytes, ..Options::default() };
    let mut driver = Driver::new(core, options).map_err(CommandError::io("cannot start the driver"))?;
    let listen = Address::Tcp(configuration.listen);
    let bound = driver.listen(&listen).map_err(CommandError::io(format!("cannot listen at {listen}")))?;
    info!(initiator = configuration.name, listen = %bound, discovery = %configuration.discovery, "running");
    run_to_end(driver).map(drop)
}

/// Returns the function that reloads the settings which may change at run time. An invalid file changes
/// nothing.
fn reload(path: PathBuf) -> Reload {
    Box::new(move || match read(&path) {
        Ok(configuration) => Some(Reloaded {
            bounds: process_limits(configuration.limits).bounds(),
            memory_bounds: Some(process_limits(configuration.limits).memory_bounds()),
            list: Address::Tcp(configuration.discovery),
        }),
        Err(error) => {
            let cause = error.to_string();
            error!(cause, "cannot reload the configuration: keeping the previous one");
            None
        }
    })
}
