//! Settings files. `docs/settings.md` describes every key.

mod reader;
mod site;

pub use reader::{Block, Problem, SettingsError, Source};
pub use site::{Rules, SiteFile, read_site};

use crate::core::{Bounds, Config, Policy, Wire};
use crate::machine::Address;
use flaxstand_storm::ArrivalRules;
use std::path::PathBuf;
use std::time::Duration;

/// What `flaxstand run` is told.
#[derive(Debug)]
pub struct Daemon {
    /// The initiator.
    pub config: Config,
    /// Where it listens; at least one.
    pub listen: Vec<Address>,
    /// Where the node list is saved, if it is.
    pub state: Option<PathBuf>,
    /// A saved list older than this is set aside; none: however old it is, it is used.
    pub state_age_most: Option<Duration>,
    /// The folder of the write-back buffer's log; there where a class is buffered.
    pub log: Option<PathBuf>,
    /// How many descriptors the process may have open, if that is to be lowered.
    pub files: Option<u64>,
}

/// Reads a settings file. `name` is for messages.
///
/// # Errors
/// Everything that is wrong with it.
pub fn read_daemon(name: &str, text: &str) -> Result<Daemon, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let site = read_site(&root);
    let bounds = root.block("bounds").map(|b| read_bounds(&b)).unwrap_or_default();
    let daemon = root.needed("initiator").map(|b| {
        let expected = "\"IP:PORT\" or \"unix:PATH\"";
        let listen = b.all_parsed("listen", expected, |t| t.parse::<Address>().ok());
        let list = b.parsed("list", expected, None, |t| t.parse::<Address>().ok());
        let path = |key| b.parsed(key, "a path", Some(None), |t| Some(Some(PathBuf::from(t)))).flatten();
        let (state, log) = (path("state"), path("log"));
        let age = b.number("state-age-most-s", 0.0..=1e9, Some(0.0));
        if age > 0.0 && state.is_none() {
            b.problem("there is a state-age-most-s, expected a state".into());
        }
        match (&log, &site.site.write_back) {
            (None, Some(_)) => b.problem("log is missing, expected a folder: a class is buffered".into()),
            (Some(_), None) => b.problem("there is a log, expected a class that is buffered".into()),
            _ => {}
        }
        let files = b.whole("files", 0..=1 << 20, Some(0));
        let daemon = Daemon {
            config: Config {
                name: b.name(),
                index: b.whole("index", 0..=1 << 20, Some(0)) as u32,
                epoch: 0,
                calendar: 0,
                seed: b.whole("seed", 0..=u64::MAX >> 1, Some(0)),
                list: list.unwrap_or(Address::Unix(PathBuf::new())),
                site: site.site.clone(),
                bounds,
                policy: b.choice("policy", &Policy::ALL, Some(Policy::Module)).unwrap_or_default(),
                wire: Wire::Frames,
            },
            listen,
            state,
            state_age_most: (age > 0.0).then(|| Duration::from_secs_f64(age)),
            log,
            files: (files > 0).then_some(files),
        };
        if daemon.config.index >= site.site.settings.initiators {
            b.problem(format!(
                "index is {}, expected one below the site's {} initiators",
                daemon.config.index, site.site.settings.initiators
            ));
        }
        b.finish();
        daemon
    });
    root.finish();
    source.verdict()?;
    // Without the block there is a problem, and so no verdict.
    Ok(daemon.expect("a file without an initiator has a problem"))
}

fn read_bounds(b: &Block<'_>) -> Bounds {
    let d = Bounds::default();
    let whole = |key, default: usize| b.whole(key, 1..=1 << 40, Some(default as u64)) as usize;
    let bounds = Bounds {
        clients: whole("clients", d.clients),
        held: whole("held", d.held),
        per_client: whole("per-client", d.per_client),
        client_bytes: whole("client-bytes", d.client_bytes),
        client_bytes_most: whole("client-bytes-most", d.client_bytes_most),
        node_bytes: whole("node-bytes", d.node_bytes),
        nodes: whole("nodes", d.nodes),
        volumes: whole("volumes", d.volumes),
        arrivals: ArrivalRules {
            rate: b.number("arrivals-a-second", 0.1..=1e6, Some(d.arrivals.rate)),
            burst: b.number("arrivals-at-once", 1.0..=1e6, Some(d.arrivals.burst)),
            ..d.arrivals
        },
        ..d
    };
    if bounds.client_bytes > bounds.client_bytes_most {
        b.problem(format!(
            "client-bytes is {}, expected at most client-bytes-most, {}",
            bounds.client_bytes, bounds.client_bytes_most
        ));
    }
    b.finish();
    bounds
}

/// The part of a file that all initiators of a site share, as text: what stays of a day for a settings file.
pub fn shared_part(text: &str) -> String {
    const SHARED: [&str; 6] = ["site", "class", "plan", "bounds", "buffer", "storm"];
    let mut document = text.parse::<kdl::KdlDocument>().unwrap_or_default();
    document.nodes_mut().retain(|n| SHARED.contains(&n.name().value()));
    document.to_string()
}
