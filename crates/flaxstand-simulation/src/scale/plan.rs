//! The plan file of a scale run: the settings shared by all initiators of the site, a base size, and steps
//! that each override parts of it. `docs/scale.md` describes every key.

use flaxstand_gateway::settings::{Block, SettingsError, Source, read_fallback_rules, read_site, rules_of};
use serde::Serialize;
use std::time::Duration;

/// Maximum number of hollow initiators of a step.
pub(super) const MAX_HOLLOW: u64 = 10_000;
/// Maximum number of listed nodes of a step.
const MAX_NODES: u64 = 60_000;
/// Maximum number of real initiators of a step.
pub(super) const MAX_REAL: u64 = 50;
/// Maximum number of keepers of a step.
pub(super) const MAX_KEEPERS: u64 = 5;
/// Maximum number of client connections of a step. A process may have 20,000 open descriptors.
const MAX_CONNECTIONS: u64 = 18_000;
/// Maximum interval between two heartbeats of the list service, milliseconds.
const MAX_HEARTBEAT_MS: u64 = 600_000;

/// Participants, load and rates of change of a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    /// Hollow initiators.
    pub hollow: u32,
    /// Real initiators, each a process `flaxstand run`.
    pub real: u32,
    /// Keepers, each a process `flaxstand run`. With 0 there is no agreement on rules.
    pub keepers: u32,
    /// Nodes in the list.
    pub nodes: u32,
    /// Changes of the list per second.
    pub node_changes: f64,
    /// Interval between heartbeats of the list service, milliseconds. With 0 it sends none.
    pub list_heartbeat_ms: u32,
    /// Changes of the rules per second. Needs keepers.
    pub rule_changes: f64,
    /// Client connections of the first real initiator.
    pub connections: u32,
    /// Requests per second over all of these connections.
    pub requests: f64,
    /// Length of the measurement, seconds.
    pub seconds: f64,
}

impl Size {
    /// Returns the number of participants that watch the list.
    pub fn participants(&self) -> u32 {
        self.hollow + self.real + self.keepers
    }

    /// Returns the length of the measurement.
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

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// A share of the hollow initiators is stopped without a shutdown and started again at once.
    Restart {
        /// Share of the hollow initiators, 0 to 1.
        share: f64,
    },
    /// The process of the leader among the keepers is killed.
    KillLeader,
    /// The list service closes all connections and accepts none for some time.
    ListAway {
        /// Length of the outage, seconds.
        seconds: f64,
    },
}

/// A fault and its start time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Seconds since the start of the measurement.
    pub at: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Name of the step in the result.
    pub name: String,
    /// Participants, load and rates of change.
    pub size: Size,
    /// Faults of the step.
    pub faults: Vec<Fault>,
}

/// Timing of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LeaseTerms {
    /// Length of a lease, ms.
    pub lease_ms: f64,
    /// Time without contact from a leader after which the keepers start an election, ms.
    pub election_ms: f64,
}

/// The plan of a scale run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Base seed. Each participant combines it with its own number.
    pub seed: u64,
    /// Timing of the agreement in steps with keepers.
    pub terms: LeaseTerms,
    /// Steps in the order in which they run.
    pub steps: Vec<Step>,
    /// The part of the settings that all initiators share.
    pub shared_settings: String,
    /// The rules in the shared settings, as the base of proposals.
    pub rules: flaxstand_consensus::rules::Rules,
    /// Names of the site's limit plans.
    pub plan_names: Vec<String>,
}

impl Plan {
    /// Parses a plan. Error messages contain `name` as the file name.
    ///
    /// # Errors
    /// All problems of the plan, each with its line.
    pub fn read(name: &str, text: &str) -> Result<Plan, SettingsError> {
        let source = Source::new(name, text);
        let document = source.parse()?;
        let root = Block::document(&source, &document);
        let site = read_site(&root);
        let fallback_rules = read_fallback_rules(&root);
        // The initiators read this block themselves. Here it only counts as a known block.
        root.block("bounds");
        let mut plan = Plan {
            name: String::new(),
            seed: 1,
            terms: LeaseTerms { lease_ms: 3000.0, election_ms: 500.0 },
            steps: Vec::new(),
            shared_settings: flaxstand_gateway::settings::shared_part(text),
            rules: rules_of(&site, fallback_rules),
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
    let integer = |key, max, default: u32| block.integer(key, 0..=max, Some(default.into())) as u32;
    Size {
        hollow: integer("hollow", MAX_HOLLOW, base.hollow),
        real: integer("real", MAX_REAL, base.real),
        keepers: integer("keepers", MAX_KEEPERS, base.keepers),
        nodes: integer("nodes", MAX_NODES, base.nodes),
        node_changes: block.number("node-changes", 0.0..=1000.0, Some(base.node_changes)),
        list_heartbeat_ms: integer("list-heartbeat-ms", MAX_HEARTBEAT_MS, base.list_heartbeat_ms),
        rule_changes: block.number("rule-changes", 0.0..=100.0, Some(base.rule_changes)),
        connections: integer("connections", MAX_CONNECTIONS, base.connections),
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
        let rate = size.rule_changes;
        block.report(format!("rule-changes is {rate} and keepers is 0, expected keepers 1, 3 or 5"));
    }
    if size.connections > 0 && (size.real == 0 || size.requests == 0.0) {
        let Size { connections, real, requests, .. } = size;
        block.report(format!(
            "connections is {connections}, real is {real} and requests is {requests}, \
             expected a real initiator and requests"
        ));
    }
    if size.connections == 0 && size.requests > 0.0 {
        let requests = size.requests;
        block.report(format!("requests is {requests} and connections is 0, expected at least 1 connection"));
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
                block.report("hollow is 0, expected at least 1 hollow initiator to restart".into());
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
            block.report("no such fault, expected restart, kill-leader or list-away".into());
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
