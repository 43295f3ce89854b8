//! `flaxstand scale`, and the processes of a scale run.

use crate::Failure;
use crate::args::{HollowArgs, NodeListArgs, ScaleArgs};
use crate::kit::{read, system, told, told_result};
use flaxstand_gateway::machine::Micros;
use flaxstand_gateway::settings::read_daemon;
use flaxstand_simulation::rehearse::{StandIn, fresh_folder};
use flaxstand_simulation::scale::hollow::{HollowOptions, serve_hollow};
use flaxstand_simulation::scale::node_list::{NodeListOptions, serve_node_list};
use flaxstand_simulation::scale::plan::Plan;
use flaxstand_simulation::scale::run::{ScaleRun, clean};

/// Runs the steps of a plan. A size that does not fit is told in the result and is no failure.
pub fn run(arguments: &ScaleArgs) -> Result<(), Failure> {
    let name = arguments.file.display().to_string();
    let plan = told(Plan::read(&name, &read(&arguments.file)?))?;
    let program = std::env::current_exe().map_err(system)?;
    let folder = fresh_folder();
    let run = ScaleRun { program, plan, folder: folder.clone() };
    let report = run.run(|line| eprintln!("{line}"));
    clean(&folder);
    let report = report.map_err(system)?;
    told_result(serde_json::to_string_pretty(&report), &report.text(), arguments.json.as_deref())
}

/// One process of hollow initiators.
pub fn hollow(arguments: HollowArgs) -> Result<(), Failure> {
    let HollowArgs { config, first, count } = arguments;
    let mut daemon = told(read_daemon(&config.display().to_string(), &read(&config)?))?;
    daemon.config.consensus = daemon.consensus.map(|agreement| agreement.config);
    let options = HollowOptions { config: daemon.config, first, count };
    serve_hollow(options, &StandIn::default()).map_err(system)
}

/// The list service of a scale run.
pub fn node_list(arguments: NodeListArgs) -> Result<(), Failure> {
    let NodeListArgs { nodes, changes, heartbeat_ms, answering, listen } = arguments;
    let heartbeat = (heartbeat_ms > 0).then_some(Micros(u64::from(heartbeat_ms) * 1000));
    let options = NodeListOptions { nodes, changes, heartbeat, answering };
    serve_node_list(options, &StandIn { listen, ..StandIn::default() }).map_err(system)
}
