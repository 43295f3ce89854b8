//! Settings files. `docs/settings.md` describes every key.

mod reader;
mod rules;
mod site;

pub use reader::{Block, Problem, SettingsError, Source};
pub use rules::{read_floor, rules_of, settings_of};
pub use site::{Rules, SiteFile, read_site};

use crate::core::{Bounds, Config, ConsensusConfig, Policy, Wire};
use crate::machine::{Address, Micros};
use flaxstand_overload::ConnectionRateLimit;
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
    /// Where it agrees with other initiators, if it does.
    pub agreement: Option<Agreement>,
}

/// What the process needs for its part in the agreement.
#[derive(Clone, Debug)]
pub struct Agreement {
    /// Where other initiators and operators call.
    pub listen: Address,
    /// What is agreed on is kept there.
    pub folder: PathBuf,
    /// For the core.
    pub agreeing: ConsensusConfig,
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
    let floor = read_floor(&root);
    let agreement = root.block("agreement");
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
        if let (Some(a), Some(_)) = (&agreement, &site.site.write_back) {
            // The buffer keeps windows and rests of keys from its start on.
            a.problem(
                "there is an agreement, expected no class that is buffered: it does not follow it yet".into(),
            );
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
                agreeing: None,
            },
            listen,
            state,
            state_age_most: (age > 0.0).then(|| Duration::from_secs_f64(age)),
            log,
            files: (files > 0).then_some(files),
            agreement: agreement.map(|a| read_agreement(&a, &b.name(), rules_of(&site, floor))),
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

/// Rules as a file states them, for a proposal. `name` is for messages.
///
/// # Errors
/// Everything that is wrong with it.
pub fn read_rules(name: &str, text: &str) -> Result<flaxstand_consensus::rules::Rules, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let (site, floor) = (read_site(&root), read_floor(&root));
    // A whole settings file may be given: what is one initiator's own is not read.
    for own in ["initiator", "bounds", "agreement"] {
        root.blocks(own);
    }
    root.finish();
    source.verdict()?;
    Ok(rules_of(&site, floor))
}

fn read_agreement(b: &Block<'_>, name: &str, started_with: flaxstand_consensus::rules::Rules) -> Agreement {
    let expected = "\"IP:PORT\" or \"unix:PATH\"";
    let address = |b: &Block<'_>, key| b.parsed(key, expected, None, |t| t.parse::<Address>().ok());
    let listen = address(b, "listen").unwrap_or(Address::Unix(PathBuf::new()));
    let folder = b.parsed("folder", "a path", None, |t| Some(PathBuf::from(t))).unwrap_or_default();
    let wait = |key, range, default: f64| Micros::from_ms(b.number(key, range, Some(default)));
    let lease = wait("lease-ms", 200.0..=600_000.0, 3000.0);
    let election = wait("election-ms", 50.0..=60_000.0, 500.0);
    let clock_error = b.number("clock-error", 0.0..=0.1, Some(0.001));
    let read = |kind| {
        let mut all = Vec::new();
        for other in b.blocks(kind) {
            let entry = (other.name(), address(&other, "at").unwrap_or(Address::Unix(PathBuf::new())));
            other.finish();
            if all.iter().any(|(n, _)| *n == entry.0) {
                other.problem("given twice".into());
            }
            all.push(entry);
        }
        all
    };
    let (keepers, others) = (read("keeper"), read("initiator"));
    if ![1, 3, 5].contains(&keepers.len()) {
        b.problem(format!("{} keepers, expected 3 or 5 (1 on one host, to try it)", keepers.len()));
    }
    if !keepers.iter().chain(&others).any(|(n, _)| n == name) {
        b.problem(format!("{name:?} is neither a keeper nor an initiator of it"));
    }
    if lease.0 < election.0 * 2 {
        let (lease, election) = (lease.ms(), election.ms());
        b.problem(format!("lease-ms is {lease}, expected at least twice election-ms, {election}"));
    }
    b.finish();
    Agreement {
        listen,
        folder,
        agreeing: ConsensusConfig { keepers, others, lease, election, clock_error, started_with },
    }
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
        // More than a list can tell could not be saved whole for the next start.
        nodes: b.whole("nodes", 1..=flaxstand_proto::MAX_ENTRIES as u64, Some(d.nodes as u64)) as usize,
        volumes: whole("volumes", d.volumes),
        arrivals: ConnectionRateLimit {
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
    const SHARED: [&str; 7] = ["site", "class", "plan", "bounds", "buffer", "storm", "floor"];
    let mut document = text.parse::<kdl::KdlDocument>().unwrap_or_default();
    document.nodes_mut().retain(|n| SHARED.contains(&n.name().value()));
    document.to_string()
}
