//! The processes of a rehearsal, and `flaxstand load`.

use crate::args::{Files, Press, Role};
use crate::error::CommandError;
use crate::files::read_day;
use crate::scale;
use flaxstand_simulation::node::Identity;
use flaxstand_simulation::press::{self, LoadOptions};
use flaxstand_simulation::rehearse::{self, StandInOptions};

/// Puts load on a running initiator. `standalone`: it is not a process of a rehearsal.
pub fn load(arguments: Press, standalone: bool) -> Result<(), CommandError> {
    let Press { initiator, shards, clients, window, rate, write, seconds } = arguments;
    let pressure = LoadOptions { initiator, shards, clients, window, rate, write, seconds };
    Ok(press::serve_load_generator(pressure, standalone)?)
}

/// Runs one process of a rehearsal.
pub fn run(role: Role) -> Result<(), CommandError> {
    let served = match role {
        Role::List { files } => rehearse::serve_list(&stand_in(files)),
        Role::Node { day, node, shard, incarnation, cold, files } => {
            let (day, _) = read_day(&day)?;
            let identity = Identity { node, incarnation, shard, zone: shard % day.fleet.zones };
            rehearse::serve_node(&day, identity, cold, &stand_in(files))
        }
        Role::Echo { mute, files } => press::serve_echo(mute, &stand_in(files)),
        Role::NodeList(arguments) => return scale::node_list(arguments),
        Role::Hollow(arguments) => return scale::hollow(arguments),
        Role::Press(arguments) => return load(arguments, false),
        Role::Load { day, seconds, initiator, files } => {
            let (day, _) = read_day(&day)?;
            rehearse::serve_load(day, seconds, initiator, &stand_in(files))
        }
    };
    Ok(served?)
}

fn stand_in(files: Files) -> StandInOptions {
    StandInOptions { listen: files.listen, record: files.record, data: files.data, standalone: false }
}
