//! `flaxstand stand-in`, the processes of a rehearsal, and `flaxstand load`.

use crate::args::{LoadArgs, StandInFiles, StandInRole};
use crate::error::CommandError;
use crate::files::read_day;
use crate::scale;
use flaxstand_simulation::node::Identity;
use flaxstand_simulation::press::{self, LoadOptions};
use flaxstand_simulation::rehearse::{self, StandInOptions};

/// Generates load on a running initiator. `is_standalone` is false for a process of a rehearsal.
pub fn load(arguments: LoadArgs, is_standalone: bool) -> Result<(), CommandError> {
    let LoadArgs { initiator, shards, clients, window, rate, write, seconds } = arguments;
    let pressure = LoadOptions { initiator, shards, clients, window, rate, write, seconds };
    Ok(press::serve_load_generator(pressure, is_standalone)?)
}

/// Runs one process of a rehearsal.
pub fn run(role: StandInRole) -> Result<(), CommandError> {
    let served = match role {
        StandInRole::List { files } => rehearse::serve_list(&stand_in(files)),
        StandInRole::Node { day, node, shard, incarnation, cold, files } => {
            let (day, _) = read_day(&day)?;
            let identity = Identity { node, incarnation, shard, zone: shard % day.fleet.zones };
            rehearse::serve_node(&day, identity, cold, &stand_in(files))
        }
        StandInRole::Echo { mute, files } => press::serve_echo(mute, &stand_in(files)),
        StandInRole::NodeList(arguments) => return scale::node_list(arguments),
        StandInRole::Hollow(arguments) => return scale::hollow(arguments),
        StandInRole::Press(arguments) => return load(arguments, false),
        StandInRole::Load { day, seconds, initiator, files } => {
            let (day, _) = read_day(&day)?;
            rehearse::serve_load(day, seconds, initiator, &stand_in(files))
        }
    };
    Ok(served?)
}

fn stand_in(files: StandInFiles) -> StandInOptions {
    StandInOptions { listen: files.listen, record: files.record, data: files.data, standalone: false }
}
