//! The file of a scale run: what all initiators of the site share, a base size, and steps that each change some of
//! it. `docs/scale.md` describes every key.

use flaxstand_gateway::settings::{Block, SettingsError, Source, read_fallback_rules, read_site, rules_of};
use serde::Serialize;
use std::time::Duration;

/// Hollow initiators of a step, most.
pub(super) const HOLLOW_MOST: u64 = 10_000;
/// Listed nodes of a step, most.
const NODES_MOST: u64 = 60_000;
/// Real initiators of a step, most.
pub(super) const REAL_MOST: u64 = 50;
/// Keepers of a step, most.
pub(super) const KEEPERS_MOST: u64 = 5;
/// Client connections of a step, most: a process may have 20,000 descriptors open.
const CONNECTIONS_MOST: u64 = 18_000;
/// Longest gap between two heartbeats of the list service, milliseconds.
const HEARTBEAT_MOST: u64 = 600_000;

/// What there is in a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    /// Hollow initiators.
    pub hollow: u32,
    /// Real initiators, each a process `flaxstand run`.
    pub real: u32,
    /// Keepers, each a process `flaxstand run`; 0: nobody agrees on rules.
    pub keepers: u32,
    /// Nodes in the list.
    pub nodes: u32,
    /// Changes of the list a second.
    pub node_changes: f64,
    /// How often the list service says that nothing has changed, milliseconds; 0: never.
    pub list_heartbeat_ms: u32,
    /// Changes of the rules a second; needs keepers.
    pub rule_changes: f64,
    /// Client connections of the first real initiator.
    pub connections: u32,
    /// Requests a second over these.
    pub requests: f64,
    /// How long is measured, seconds.
    pub seconds: f64,
}

impl Size {
    /// Participants that watch the list.
    pub fn participants(&self) -> u32 {
        self.hollow + self.real + self.keepers
    }

    /// How long is measured.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

impl Default for Size {
    fn default() -> Self {
        Size {
            hollow: 0,
            real: 1,
            keepers: 0,
            nodes: 100,
            node_changes: 0.2,
            list_heartbeat_ms: 0,
            rule_changes: 0.0,
            connections: 0,
            requests: 0.0,
            seconds: 8.0,
        }
    }
}

/// What goes wrong in a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// A share of the hollow initiators is ended outright and started again at once.
    Restart {
        /// The share, 0 to 1.
        share: f64,
    },
    /// The process of the keeper that leads is killed.
    KillLeader,
    /// The list service closes all connections and takes none for a while.
    ListAway {
        /// For how long, seconds.
        seconds: f64,
    },
}

/// A fault and when it begins, counted from the start of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Seconds.
    pub at: f64,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// What it is called in the result.
    pub name: String,
    /// What there is.
    pub size: Size,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// The terms on which initiators agree.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LeaseTerms {
    /// How long a lease is, ms.
    pub lease_ms: f64,
    /// How long keepers hear no leader before they elect one, ms.
    pub election_ms: f64,
}

/// A scale run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Seed of every participant's random numbers, together with its number.
    pub seed: u64,
    /// Terms of the agreement, where a step has one.
    pub terms: LeaseTerms,
    /// Steps, in the order in which they are run.
    pub steps: Vec<Step>,
    /// The part that settings files of initiators share.
    pub shared_settings: String,
    /// The rules of that part, for proposals.
    pub rules: flaxstand_consensus::rules::Rules,
    /// Names of plans.
    pub plan_names: Vec<String>,
}

impl Plan {
    /// Reads a plan. `name` is for messages.
    ///
    /// # Errors
    /// Everything that is wrong with it, with its place.
    pub fn read(name: &str, text: &str) -> Result<Plan, SettingsError> {
        let source = Source::new(name, text);
        let document = source.parse()?;
        let root = Block::document(&source, &document);
        let site = read_site(&root);
        let floor = read_fallback_rules(&root);
        // Read by the initiators themselves.
        root.block("bounds");
        let mut plan = Plan {
            name: String::new(),
            seed: 1,
            terms: LeaseTerms { lease_ms: 3000.0, election_ms: 500.0 },
            steps: Vec::new(),
            shared_settings: flaxstand_gateway::settings::shared_part(text),
            rules: rules_of(&site, floor),
            plan_names: site.site.plans.clone(),
        };
        if let Some(block) = root.required_block("scale") {
            plan.name = block.name();
            plan.seed = block.integer("seed", 0..=u64::MAX >> 1, Some(1));
            block.reject_unknown_keys();
        }
        if let Some(block) = root.block("agreement") {
            plan.terms = read_terms(&block);
        }
        let base = root.block("base").map(|block| {
            let size = read_size(&block, &Size::default());
            block.reject_unknown_keys();
            size
        });
        let base = base.unwrap_or_default();
        let initiators = site.site.settings.initiators;
        plan.steps = root.blocks("step").iter().map(|block| read_step(block, &base, initiators)).collect();
        if plan.steps.is_empty() {
            root.report("there is no step, expected one or more".into());
        }
        root.reject_unknown_keys();
        source.finish()?;
        Ok(plan)
    }
}

fn read_terms(block: &Block<'_>) -> LeaseTerms {
    let terms = LeaseTerms {
        lease_ms: block.number("lease-ms", 200.0..=600_000.0, Some(3000.0)),
        election_ms: block.number("election-ms", 50.0..=60_000.0, Some(500.0)),
    };
    if terms.lease_ms < 2.0 * terms.election_ms {
        let (lease, election) = (terms.lease_ms, terms.election_ms);
        block.report(format!("lease-ms is {lease}, expected at least twice election-ms, {election}"));
    }
    block.reject_unknown_keys();
    terms
}

fn read_size(block: &Block<'_>, base: &Size) -> Size {
    let whole = |key, most, default: u32| block.integer(key, 0..=most, Some(default.into())) as u32;
    Size {
        hollow: whole("hollow", HOLLOW_MOST, base.hollow),
        real: whole("real", REAL_MOST, base.real),
        keepers: whole("keepers", KEEPERS_MOST, base.keepers),
        nodes: whole("nodes", NODES_MOST, base.nodes),
        node_changes: block.number("node-changes", 0.0..=1000.0, Some(base.node_changes)),
        list_heartbeat_ms: whole("list-heartbeat-ms", HEARTBEAT_MOST, base.list_heartbeat_ms),
        rule_changes: block.number("rule-changes", 0.0..=100.0, Some(base.rule_changes)),
        connections: whole("connections", CONNECTIONS_MOST, base.connections),
        requests: block.number("requests", 0.0..=1e6, Some(base.requests)),
        seconds: block.number("seconds", 0.5..=600.0, Some(base.seconds)),
    }
}

fn read_step(block: &Block<'_>, base: &Size, initiators: u32) -> Step {
    let name = block.name();
    let size = read_size(block, base);
    if ![0, 1, 3, 5].contains(&size.keepers) {
        block.report(format!("keepers is {}, expected 0, 1, 3 or 5", size.keepers));
    }
    if size.participants() > initiators {
        let participants = size.participants();
        block.report(format!(
            "{participants} participants, expected at most the site's {initiators} initiators"
        ));
    }
    if size.rule_changes > 0.0 && size.keepers == 0 {
        block.report("there are rule-changes, expected keepers".into());
    }
    if size.connections > 0 && (size.real == 0 || size.requests == 0.0) {
        block.report("there are connections, expected a real initiator and requests".into());
    }
    if size.connections == 0 && size.requests > 0.0 {
        block.report("there are requests, expected connections".into());
    }
    let faults = block.blocks("fault").iter().filter_map(|fault| read_fault(fault, &size)).collect();
    block.reject_unknown_keys();
    Step { name, size, faults }
}

fn read_fault(block: &Block<'_>, size: &Size) -> Option<Fault> {
    let name = block.name();
    let kind = match &name[..] {
        "restart" => {
            if size.hollow == 0 {
                block.report("there is nobody to restart, expected hollow initiators".into());
            }
            FaultKind::Restart { share: block.number("share", 0.0..=1.0, Some(0.1)) }
        }
        "kill-leader" => {
            if size.keepers < 3 {
                block.report(format!("keepers is {}, expected 3 or 5", size.keepers));
            }
            FaultKind::KillLeader
        }
        "list-away" => FaultKind::ListAway { seconds: block.number("for", 0.1..=600.0, Some(8.0)) },
        "" => return None,
        _ => {
            block.report("no such fault; there are restart, kill-leader, list-away".into());
            return None;
        }
    };
    let at = block.number("at", 0.0..=600.0, None);
    if at >= size.seconds {
        block.report(format!("at is {at}, expected less than the step's seconds, {}", size.seconds));
    }
    block.reject_unknown_keys();
    Some(Fault { at, kind })
}
