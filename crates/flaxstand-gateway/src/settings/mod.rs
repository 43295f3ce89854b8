//! Reads settings files. `docs/settings.md` describes every key. Only this module maps keys to names in the
//! code.
//!
//! - [`reader`]: typed access to values by key, and problems with their positions in the file
//! - [`daemon`]: the file of one initiator; [`site`]: the part shared by all initiators of a site
//! - [`class`], [`bounds`], [`consensus`]: further blocks
//! - [`rules`]: conversion between the shared part and the rules that initiators agree on

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

/// Blocks shared by all initiators of a site.
const SHARED_BLOCKS: [&str; 7] = ["site", "class", "plan", "bounds", "buffer", "storm", "floor"];
/// Blocks specific to one initiator. They contain no rules.
const LOCAL_BLOCKS: [&str; 3] = ["initiator", "bounds", "agreement"];

/// Reads rules for a proposal from a file, which may be a complete settings file. `name` is the file name for
/// error messages.
///
/// # Errors
/// All problems of the file.
pub fn read_rules(name: &str, text: &str) -> Result<Rules, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let site = read_site(&root);
    let fallback = read_fallback_rules(&root);
    for key in LOCAL_BLOCKS {
        // Marks the key as known; the content is not read.
        root.blocks(key);
    }
    root.reject_unknown_keys();
    source.finish()?;
    Ok(rules_of(&site, fallback))
}

/// Returns the text of the blocks shared by all initiators of a site, which a simulated day and a settings
/// file have in common.
pub fn shared_part(text: &str) -> String {
    let mut document = text.parse::<kdl::KdlDocument>().unwrap_or_default();
    document.nodes_mut().retain(|node| SHARED_BLOCKS.contains(&node.name().value()));
    document.to_string()
}
