//! Reads settings files. `docs/settings.md` describes every key. Keys are mapped to the names of the code
//! here and nowhere else.
//!
//! - [`reader`]: values by key, and problems with their place in the file
//! - [`daemon`]: the file of one initiator; [`site`]: the part that all initiators of a site have in common
//! - [`class`], [`bounds`], [`consensus`]: further blocks
//! - [`rules`]: the common part as rules that initiators agree on, and back

mod bounds;
mod class;
mod consensus;
mod daemon;
mod effect;
mod reader;
mod rules;
mod site;
mod units;

pub use consensus::ConsensusSettings;
pub use daemon::{Daemon, read_daemon};
pub use reader::{Block, Problem, SettingsError, Source};
pub use rules::{read_fallback_rules, rules_of, settings_of};
pub use site::{AuditTolerances, SiteFile, read_site};

use flaxstand_consensus::rules::Rules;

/// Blocks that all initiators of a site have in common.
const COMMON_BLOCKS: [&str; 7] = ["site", "class", "plan", "bounds", "buffer", "storm", "floor"];
/// Blocks that are one initiator's own, and no rules.
const OWN_BLOCKS: [&str; 3] = ["initiator", "bounds", "agreement"];

/// Reads rules for a proposal, from a file that may be a whole settings file. `name` is for messages.
///
/// # Errors
/// Everything that is wrong with it.
pub fn read_rules(name: &str, text: &str) -> Result<Rules, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let site = read_site(&root);
    let fallback = read_fallback_rules(&root);
    for key in OWN_BLOCKS {
        // Known, and not read.
        root.blocks(key);
    }
    root.reject_unknown_keys();
    source.finish()?;
    Ok(rules_of(&site, fallback))
}

/// The part of a file that all initiators of a site have in common, as text: what a simulated day and a
/// settings file share.
pub fn shared_part(text: &str) -> String {
    let mut document = text.parse::<kdl::KdlDocument>().unwrap_or_default();
    document.nodes_mut().retain(|node| COMMON_BLOCKS.contains(&node.name().value()));
    document.to_string()
}
