//! The adapter: hosts one brain for each simulated initiator and speaks the bench's wire on standard
//! input and output. It translates and decides nothing.
#![forbid(unsafe_code)]

mod wire;

use flaxstand::api::{Action, Event, NodeId, Settings};
use flaxstand::scheduler::Scheduler;
use flaxstand_platform::Params;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::{Inbound, Outbound};

/// One simulated initiator: its brain and the names that only the wire knows.
struct Instance {
    scheduler: Scheduler,
    params: Params,
    settings: Settings,
    ids: BTreeMap<String, NodeId>,
    names: Vec<String>,
    zones: BTreeMap<String, u32>,
    touched: bool,
}

impl Instance {
    fn name_of(&self, node: NodeId) -> Result<&str, String> {
        self.names.get(node.0 as usize).map(String::as_str).ok_or_else(|| format!("unknown node {node:?}"))
    }
}

/// All instances of this process, strictly apart.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
}

impl Host {
    fn start(&mut self, name: String, seed: u64, params: Params, now: f64) -> Result<(), String> {
        let settings = params.settings().map_err(|error| error.to_string())?;
        let scheduler = Scheduler::new(settings.clone(), seed, now);
        let (ids, names, zones) = Default::default();
        let instance = Instance { scheduler, params, settings, ids, names, zones, touched: true };
        self.instances.insert(name, instance);
        Ok(())
    }

    fn take(&mut self, inbound: Inbound, now: f64, out: &mut impl Write) -> Result<(), String> {
        let (name, event) = match inbound {
            Inbound::Spawn { i, init_seed, params } => return self.start(i, init_seed, *params, now),
            Inbound::PowerOff { i } => {
                return self
                    .instances
                    .remove(&i)
                    .map(|_| ())
                    .ok_or(format!("powerOff for unknown instance {i}"));
            }
            other => other.split(),
        };
        let instance =
            self.instances.get_mut(&name).ok_or_else(|| format!("event for unknown instance {name}"))?;
        instance.touched = true;
        let Some(event) = event.read(
            &instance.params,
            &instance.settings,
            |target| {
                let next = NodeId(instance.names.len() as u32);
                *instance.ids.entry(target.to_owned()).or_insert_with(|| {
                    instance.names.push(target.to_owned());
                    next
                })
            },
            |zone| {
                let next = instance.zones.len() as u32;
                *instance.zones.entry(zone.to_owned()).or_insert(next)
            },
        )?
        else {
            return Ok(());
        };
        let mut actions = Vec::new();
        instance.scheduler.handle(event, now, &mut actions);
        write_actions(&name, instance, &actions, out)
    }

    /// Every event of the batch has been told: let each instance that got one decide.
    fn settle(&mut self, now: f64, out: &mut impl Write) -> Result<(), String> {
        for (name, instance) in &mut self.instances {
            if std::mem::take(&mut instance.touched) {
                let mut actions = Vec::new();
                instance.scheduler.handle(Event::Evaluate, now, &mut actions);
                write_actions(name, instance, &actions, out)?;
            }
        }
        Ok(())
    }
}

fn write_actions(
    name: &str,
    instance: &Instance,
    actions: &[Action],
    out: &mut impl Write,
) -> Result<(), String> {
    for action in actions {
        let line = Outbound::from_action(name, action, |node| instance.name_of(node))?;
        write_line(&line, out)?;
    }
    Ok(())
}

fn write_line(line: &Outbound<'_>, out: &mut impl Write) -> Result<(), String> {
    serde_json::to_writer(&mut *out, line).map_err(|e| format!("cannot write: {e}"))?;
    out.write_all(b"\n").map_err(|e| format!("cannot write: {e}"))
}

fn run(input: impl BufRead, out: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut clock: Option<f64> = None;
    for (number, line) in input.lines().enumerate() {
        let at = |e: String| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| at(format!("cannot read: {e}")))?;
        if line.trim().is_empty() {
            return Err(at("empty line".into()));
        }
        let message: Inbound =
            serde_json::from_str(&line).map_err(|e| at(format!("malformed message: {e}")))?;
        match (message, clock) {
            (Inbound::Mark { at_time_ms }, None) => clock = Some(at_time_ms),
            (Inbound::Mark { .. }, Some(_)) => return Err(at("mark inside a batch".into())),
            (_, None) => return Err(at("message outside a batch".into())),
            (Inbound::Eob, Some(now)) => {
                host.settle(now, out).map_err(at)?;
                write_line(&Outbound::Next, out).map_err(at)?;
                out.flush().map_err(|e| at(format!("cannot write: {e}")))?;
                clock = None;
            }
            (event, Some(now)) => host.take(event, now, out).map_err(at)?,
        }
    }
    if clock.is_some() { Err("input ended inside a batch: eob is missing".into()) } else { Ok(()) }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), &mut BufWriter::with_capacity(1 << 16, io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("flaxstand-drill: {message}");
            ExitCode::FAILURE
        }
    }
}
