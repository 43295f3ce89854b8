//! `flaxstand scale` and the processes that a scale run starts.

use crate::args::{HollowArgs, NodeListArgs, ScaleArgs};
use crate::error::CommandError;
use crate::files::{print_problems, print_result, read_text};
use flaxstand_gateway::machine::Micros;
use flaxstand_gateway::settings::read_daemon;
use flaxstand_simulation::rehearse::{StandInOptions, fresh_folder};
use flaxstand_simulation::scale::hollow::{HollowOptions, serve_hollow};
use flaxstand_simulation::scale::node_list::{NodeListOptions, serve_node_list};
use flaxstand_simulation::scale::plan::Plan;
use flaxstand_simulation::scale::run::{ScaleRun, clean};

/// Runs the steps of a plan. A fleet that exceeds the capacity of the machine is reported in the result, not
/// as an error.
pub fn run(arguments: &ScaleArgs) -> Result<(), CommandError> {
    let name = arguments.file.display().to_string();
    let plan = print_problems(Plan::read(&name, &read_text(&arguments.file)?))?;
    let program = std::env::current_exe()?;
    let folder = fresh_folder();
    let run = ScaleRun { program, plan, folder: folder.clone() };
    let report = run.run(|line| eprintln!("{line}"));
    clean(&folder);
    let report = report?;
    print_result(serde_json::to_string_pretty(&report), &report.text(), arguments.json.as_deref())
}

/// Runs a process with many hollow initiators.
pub fn hollow(arguments: HollowArgs) -> Result<(), CommandError> {
    let HollowArgs { config, first, count } = arguments;
    let mut daemon = print_problems(read_daemon(&config.display().to_string(), &read_text(&config)?))?;
    daemon.config.consensus = daemon.consensus.map(|consensus| consensus.config);
    let options = HollowOptions { config: daemon.config, first, count };
    Ok(serve_hollow(options, &StandInOptions::default())?)
}

/// Runs the list service of a scale run.
pub fn node_list(arguments: NodeListArgs) -> Result<(), CommandError> {
    let NodeListArgs { nodes, changes, heartbeat_ms, answering, listen } = arguments;
    let heartbeat = (heartbeat_ms > 0).then_some(Micros(u64::from(heartbeat_ms) * 1000));
    let options = NodeListOptions { nodes, changes, heartbeat, answering };
    Ok(serve_node_list(options, &StandInOptions { listen, ..StandInOptions::default() })?)
}
