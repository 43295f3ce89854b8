//! Reads the `agreement` block.

use super::daemon::{ADDRESS_FORMAT, unset_address};
use super::reader::Block;
use crate::core::{ConsensusConfig, ConsensusPeer};
use crate::machine::{Address, Micros};
use flaxstand_consensus::rules::Rules;
use std::path::PathBuf;

/// Supported numbers of voters.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];

/// Settings of the process's consensus participant.
#[derive(Clone, Debug)]
pub struct ConsensusSettings {
    /// Listen address for other initiators and operators.
    pub listen: Address,
    /// Directory of the replica's log and state.
    pub directory: PathBuf,
    /// Settings passed to the core.
    pub config: ConsensusConfig,
}

/// Reads the block in the file of the initiator `name`.
pub(super) fn read_consensus(block: &Block<'_>, name: &str, initial_rules: Rules) -> ConsensusSettings {
    let listen = read_address(block, "listen");
    let directory =
        block.parsed("folder", "a path", None, |text| Some(PathBuf::from(text))).unwrap_or_default();
    let time = |key, range, default: f64| Micros::from_ms(block.number(key, range, Some(default)));
    let lease_duration = time("lease-ms", 200.0..=600_000.0, 3000.0);
    let election_timeout = time("election-ms", 50.0..=60_000.0, 500.0);
    let max_clock_drift = block.number("clock-error", 0.0..=0.1, Some(0.001));
    let voters = read_peers(block, "keeper");
    let other_initiators = read_peers(block, "initiator");
    let config = ConsensusConfig {
        voters,
        other_initiators,
        lease_duration,
        election_timeout,
        max_clock_drift,
        initial_rules,
    };
    check_config(block, name, &config);
    block.reject_unknown_keys();
    ConsensusSettings { listen, directory, config }
}

fn check_config(block: &Block<'_>, name: &str, config: &ConsensusConfig) {
    let ConsensusConfig { voters, other_initiators, lease_duration, election_timeout, .. } = config;
    // An even number of voters needs a larger quorum without tolerating more failures.
    if !VOTER_COUNTS.contains(&voters.len()) {
        block.report(format!("{} keepers, expected 3 or 5 (or 1 for a trial on one host)", voters.len()));
    }
    if !voters.iter().chain(other_initiators).any(|peer| peer.name == name) {
        block.report(format!("{name:?} is neither a keeper nor an initiator in this block"));
    }
    if lease_duration.0 < election_timeout.0 * 2 {
        let (lease, election) = (lease_duration.ms(), election_timeout.ms());
        block.report(format!("lease-ms is {lease}, expected at least twice election-ms, {election}"));
    }
}

fn read_address(block: &Block<'_>, key: &'static str) -> Address {
    block.parsed(key, ADDRESS_FORMAT, None, |text| text.parse().ok()).unwrap_or_else(unset_address)
}

fn read_peers(block: &Block<'_>, key: &'static str) -> Vec<ConsensusPeer> {
    let mut peers: Vec<ConsensusPeer> = Vec::new();
    for peer_block in block.blocks(key) {
        let peer = ConsensusPeer { name: peer_block.name(), address: read_address(&peer_block, "at") };
        peer_block.reject_unknown_keys();
        if peers.iter().any(|other| other.name == peer.name) {
            peer_block.report("given twice".into());
        }
        peers.push(peer);
    }
    peers
}
