//! Reads the settings file of an initiator.

use super::bounds::read_bounds;
use super::consensus::{ConsensusSettings, read_consensus};
use super::reader::{Block, SettingsError, Source};
use super::rules::{read_fallback_rules, rules_of};
use super::site::{SiteFile, read_site};
use crate::core::{Bounds, Config, Policy, Wire};
use crate::machine::Address;
use flaxstand_consensus::rules::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Description of an address in error messages.
pub(super) const ADDRESS_FORMAT: &str = "\"IP:PORT\" or \"unix:PATH\"";

/// Settings of `flaxstand run`.
#[derive(Debug)]
pub struct Daemon {
    /// Settings of the core.
    pub config: Config,
    /// Listen addresses; at least one.
    pub listen: Vec<Address>,
    /// File of the saved endpoint list, if configured.
    pub saved_list: Option<PathBuf>,
    /// Maximum age of a saved list that is used; none if it is used at any age.
    pub max_saved_list_age: Option<Duration>,
    /// Directory of the write-back log; set if a class is buffered.
    pub write_back_log: Option<PathBuf>,
    /// Lowered limit on open file descriptors, if configured.
    pub max_open_files: Option<u64>,
    /// Settings of the consensus participant, if configured.
    pub consensus: Option<ConsensusSettings>,
}

/// Blocks of the file other than `initiator`.
struct CommonBlocks<'a> {
    site: SiteFile,
    bounds: Bounds,
    fallback: BTreeMap<String, Value>,
    consensus: Option<Block<'a>>,
}

/// Reads a settings file. `name` is the file name for error messages.
///
/// # Errors
/// All problems of the file.
pub fn read_daemon(name: &str, text: &str) -> Result<Daemon, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let common = CommonBlocks {
        site: read_site(&root),
        bounds: root.block("bounds").map(|block| read_bounds(&block)).unwrap_or_default(),
        fallback: read_fallback_rules(&root),
        consensus: root.block("agreement"),
    };
    let daemon = root.required_block("initiator").map(|block| read_initiator(&block, common));
    root.reject_unknown_keys();
    source.finish()?;
    // Invariant: `required_block` reports a missing block, and `finish` fails on any report.
    Ok(daemon.expect("a missing initiator block is reported"))
}

fn read_initiator(block: &Block<'_>, common: CommonBlocks<'_>) -> Daemon {
    let CommonBlocks { site, bounds, fallback, consensus } = common;
    let parse_address = |text: &str| text.parse::<Address>().ok();
    let listen = block.parsed_list("listen", ADDRESS_FORMAT, parse_address);
    let discovery_address =
        block.parsed("list", ADDRESS_FORMAT, None, parse_address).unwrap_or_else(unset_address);
    let saved_list = read_optional_path(block, "state");
    let write_back_log = read_optional_path(block, "log");
    let max_age_seconds = block.number("state-age-most-s", 0.0..=1e9, Some(0.0));
    if max_age_seconds > 0.0 && saved_list.is_none() {
        block.report("state-age-most-s is set without state, expected both".into());
    }
    let is_buffered = site.site.write_back.is_some();
    check_write_back(block, write_back_log.is_some(), is_buffered, consensus.as_ref());
    let max_open_files = block.integer("files", 0..=1 << 20, Some(0));
    let config = Config {
        name: block.name(),
        index: block.integer("index", 0..=1 << 20, Some(0)) as u32,
        epoch: 0,
        calendar: 0,
        seed: block.integer("seed", 0..=u64::MAX >> 1, Some(0)),
        discovery_address,
        site: site.site.clone(),
        bounds,
        policy: block.choice("policy", &Policy::ALL, Some(Policy::Module)).unwrap_or_default(),
        wire: Wire::Frames,
        consensus: None,
    };
    let read_consensus = |consensus| read_consensus(&consensus, &block.name(), rules_of(&site, fallback));
    let consensus = consensus.map(read_consensus);
    let initiators = site.site.settings.initiators;
    if config.index >= initiators {
        let index = config.index;
        block.report(format!("index is {index}, expected one below the site's {initiators} initiators"));
    }
    block.reject_unknown_keys();
    Daemon {
        config,
        listen,
        saved_list,
        max_saved_list_age: (max_age_seconds > 0.0).then(|| Duration::from_secs_f64(max_age_seconds)),
        write_back_log,
        max_open_files: (max_open_files > 0).then_some(max_open_files),
        consensus,
    }
}

fn check_write_back(block: &Block<'_>, has_log: bool, is_buffered: bool, consensus: Option<&Block<'_>>) {
    match (has_log, is_buffered) {
        (false, true) => {
            block.report("log is missing, expected a directory, since a class is buffered".into())
        }
        (true, false) => block.report("log is set, expected at least one buffered class".into()),
        _ => {}
    }
    // The buffer does not apply changed rules: it keeps the windows and cooldowns that it started with.
    if let (Some(consensus), true) = (consensus, is_buffered) {
        let message = "a class is buffered, expected no class that is buffered together with this block: the \
                       buffer does not apply changed rules yet";
        consensus.report(message.into());
    }
}

fn read_optional_path(block: &Block<'_>, key: &'static str) -> Option<PathBuf> {
    block.parsed(key, "a path", Some(None), |text| Some(Some(PathBuf::from(text)))).flatten()
}

/// Placeholder for an address that was reported as missing or malformed.
pub(super) fn unset_address() -> Address {
    Address::Unix(PathBuf::new())
}
