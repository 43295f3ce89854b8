//! Measures the cost of an initiator: throughput, latency, processor time and memory, compared with a
//! pass-through that forwards the same frames at once. One run measures both, so that their ratios stay
//! valid on a machine whose speed drifts.

use crate::agreed::{AgreementSettings, LinkRelays};
use crate::list::node_line;
use crate::press::LoadResult;
use crate::process::{PROCESS_TIMEOUT, Process, RehearsalError, io_error, stop};
use flaxstand_gateway::machine::Micros;
use flaxstand_gateway::settings::read_rules;
use serde::Serialize;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// Result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// `module` or `pipe`; `agreed`: the module, on an initiator that runs consensus with two others.
    pub policy: &'static str,
    /// Number of nodes.
    pub nodes: u32,
    /// Load: `window 256` or `rate 5000`.
    pub pressure: String,
    /// Results of the clients.
    pub seen: LoadResult,
    /// Processor time of the initiator per request, microseconds.
    pub cpu_us: f64,
}

/// All results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// In the order of the measurements.
    pub figures: Vec<Figure>,
    /// Resident memory of an idle initiator and of one with pending requests, KiB, and the number of those
    /// requests.
    pub memory_kib: (u64, u64, u64),
}

impl Figures {
    /// Formats the results as a table.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{:7} {:>5} {:>12} {:>10} {:>8} {:>8} {:>8} {:>7}",
            "policy", "nodes", "pressure", "served/s", "p50 us", "p99 us", "cpu us", "others"
        );
        for f in &self.figures {
            let rate = f.seen.served as f64 / f.seen.seconds.max(1e-9);
            let _ = writeln!(
                out,
                "{:7} {:>5} {:>12} {:>10.0} {:>8} {:>8} {:>8.1} {:>7}",
                f.policy,
                f.nodes,
                f.pressure,
                rate,
                f.seen.p50_us,
                f.seen.p99_us,
                f.cpu_us,
                f.seen.not_served
            );
        }
        let (idle, holding, held) = self.memory_kib;
        if held == 0 {
            return out;
        }
        let each = (holding.saturating_sub(idle)) as f64 * 1024.0 / held.max(1) as f64;
        let _ = writeln!(
            out,
            "\nmemory: {idle} KiB idle, {holding} KiB with {held} requests held: {each:.0} bytes each"
        );
        out
    }
}

pub(crate) fn settings(folder: &Path, policy: &str, list: &str) -> String {
    let folder = folder.display();
    format!(
        "initiator \"measured\" {{\n    listen \"unix:{folder}/measured.sock\"\n    list \"{list}\"\n    policy \"{policy}\"\n}}\n\
         site {{\n    initiators 1\n    tick-ms 1\n    max-attempts 3\n}}\n\
         class \"read\" {{\n    effect \"repeatable\"\n    aim-ms 100\n    deadline-ms 60000\n}}\n\
         plan \"plan\" base-rate=1000000 reserve-rate=1000000\n\
         bounds {{\n    held 100000\n    per-client 100000\n}}\n"
    )
}

/// Returns the processor time that a process has used, in seconds, from `/proc`.
fn cpu(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Fields 14 and 15 (utime and stime) in clock ticks; the process name in brackets is cut off first.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / rustix::param::clock_ticks_per_second() as f64)
}

fn memory_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Program that a measurement runs, and the folder of its files.
pub(crate) struct Bench<'a> {
    pub(crate) program: &'a Path,
    pub(crate) folder: &'a Path,
}

impl Bench<'_> {
    fn start(&self, name: &str, arguments: &[String]) -> Result<Process, RehearsalError> {
        Process::start(self.program, self.folder, name, arguments)
    }

    /// Starts the nodes, a list service that lists them, and an initiator.
    fn start_fleet(
        &self,
        policy: &str,
        nodes: u32,
        mute: bool,
    ) -> Result<(Process, Process, Process), RehearsalError> {
        self.start_fleet_with(nodes, mute, |list| settings(self.folder, policy, list))
    }

    /// As `start_fleet`, with settings built from the list service's address.
    pub(crate) fn start_fleet_with(
        &self,
        nodes: u32,
        mute: bool,
        settings: impl FnOnce(&str) -> String,
    ) -> Result<(Process, Process, Process), RehearsalError> {
        let mut arguments = vec!["stand-in".to_owned(), "echo".into()];
        arguments.extend((0..nodes).map(|_| "--listen=127.0.0.1:0".to_owned()));
        if mute {
            arguments.push("--mute".into());
        }
        let mut echo = self.start("echo", &arguments)?;
        let addresses = echo.expect("ready", PROCESS_TIMEOUT)?;
        let mut list =
            self.start("list", &["stand-in", "list", "--listen=127.0.0.1:0"].map(str::to_owned))?;
        let at = list.expect("ready", PROCESS_TIMEOUT)?;
        for (node, address) in addresses.split_whitespace().enumerate() {
            list.send_line(&node_line(node as u64, 1, "serving", node, 0, "-", address));
        }
        let file = self.folder.join("measured.kdl");
        std::fs::write(&file, settings(&at)).map_err(io_error("cannot write the settings file"))?;
        let file = file.display().to_string();
        let mut initiator =
            self.start("measured", &["run", "--config", &file, "--with-parent"].map(str::to_owned))?;
        initiator.expect("ready", PROCESS_TIMEOUT)?;
        std::thread::sleep(Duration::from_millis(200));
        Ok((echo, list, initiator))
    }

    pub(crate) fn start_load(
        &self,
        nodes: u32,
        extra: &[String],
        seconds: f64,
    ) -> Result<Process, RehearsalError> {
        let mut arguments = vec!["stand-in".to_owned(), "press".into()];
        arguments.push(format!("--initiator=unix:{}/measured.sock", self.folder.display()));
        arguments.extend([format!("--shards={nodes}"), format!("--seconds={seconds}")]);
        arguments.extend_from_slice(extra);
        self.start("press", &arguments)
    }

    fn figure(
        &self,
        policy: &'static str,
        nodes: u32,
        pressure: (&str, u32),
        seconds: f64,
    ) -> Result<Figure, RehearsalError> {
        let (_echo, _list, initiator) = self.start_fleet(policy, nodes, false)?;
        self.run_load(policy, nodes, pressure, seconds, initiator)
    }

    /// Measures an initiator that runs consensus with two others, with the default lease.
    fn agreement_figure(
        &self,
        nodes: u32,
        pressure: (&str, u32),
        seconds: f64,
    ) -> Result<Figure, RehearsalError> {
        let ms = |n: u64| Micros(n * 1000);
        let agreement =
            AgreementSettings { keepers: 3, lease: ms(3000), election: ms(500), clock_error: 0.001 };
        let links = LinkRelays::new(3).map_err(io_error("cannot start the relays"))?;
        let name = |i: usize| ["measured", "second", "third"][i].to_owned();
        let block = |i: usize| {
            let folder = self.folder.join(format!("agreed-{}-{i}", links.listen(i).port()));
            links.settings(i, &agreement, name, &folder)
        };
        let mut others = Vec::new();
        let mut text = String::new();
        let (_echo, _list, initiator) = self.start_fleet_with(nodes, false, |list| {
            text = settings(self.folder, "module", list);
            text.clone() + &block(0)
        })?;
        for i in 1..3 {
            let own = text.replace("measured", &name(i)) + &block(i);
            let file = self.folder.join(format!("{}.kdl", name(i)));
            std::fs::write(&file, own).map_err(io_error("cannot write the settings file"))?;
            let file = file.display().to_string();
            let arguments = ["run", "--config", &file, "--with-parent"].map(str::to_owned);
            let mut other = self.start(&name(i), &arguments)?;
            other.expect("ready", PROCESS_TIMEOUT)?;
            others.push(other);
        }
        let rules = read_rules("measured", &text).map_err(|e| RehearsalError::Process(e.to_string()))?;
        if links.propose(&rules, &text, PROCESS_TIMEOUT).and_then(|_| links.wait_for_convergence()).is_none()
        {
            return Err(RehearsalError::Process(
                "the initiators did not act on the proposed version in time".into(),
            ));
        }
        self.run_load("agreed", nodes, pressure, seconds, initiator)
    }

    fn run_load(
        &self,
        policy: &'static str,
        nodes: u32,
        pressure: (&str, u32),
        seconds: f64,
        initiator: Process,
    ) -> Result<Figure, RehearsalError> {
        let (kind, amount) = pressure;
        let argument =
            if kind == "window" { format!("--window={}", amount / 4) } else { format!("--rate={amount}") };
        let before = cpu(initiator.id()).unwrap_or(0.0);
        let mut load = self.start_load(nodes, &[argument, "--clients=4".into()], seconds)?;
        let seen = load.expect("seen", Duration::from_secs_f64(seconds * 2.0 + 10.0))?;
        let used = cpu(initiator.id()).unwrap_or(0.0) - before;
        let seen: LoadResult = serde_json::from_str(&seen)
            .map_err(|e| RehearsalError::Process(format!("invalid results of the load generator: {e}")))?;
        stop(initiator)?;
        // The processor time includes the warm-up, so its requests are counted too.
        let all = (seen.served + seen.not_served) as f64 * (1.0 + super::press::WARM_UP_SHARE);
        let cpu_us = used * 1e6 / all.max(1.0);
        Ok(Figure { policy, nodes, pressure: format!("{kind} {amount}"), seen, cpu_us })
    }

    fn memory(&self) -> Result<(u64, u64, u64), RehearsalError> {
        const HELD: u32 = 10_000;
        let (_echo, _list, initiator) = self.start_fleet("module", 10, true)?;
        let idle = memory_kib(initiator.id()).unwrap_or(0);
        let _load = self.start_load(10, &[format!("--window={}", HELD / 4), "--clients=4".into()], 10.0)?;
        std::thread::sleep(Duration::from_millis(1500));
        let holding = memory_kib(initiator.id()).unwrap_or(0);
        Ok((idle, holding, HELD.into()))
    }
}

/// Measures the cost of consensus: the module with it and without it in turn, `rounds` times.
///
/// # Errors
/// A process can't be started or exits unexpectedly.
pub fn measure_agreement(
    program: &Path,
    folder: &Path,
    seconds: f64,
    rounds: u32,
) -> Result<Figures, RehearsalError> {
    std::fs::create_dir_all(folder).map_err(io_error("cannot create the folder for logs"))?;
    let bench = Bench { program, folder };
    let mut all = Figures::default();
    for _ in 0..rounds {
        for pressure in [("window", 256), ("rate", 10_000)] {
            all.figures.push(bench.figure("module", 10, pressure, seconds)?);
            all.figures.push(bench.agreement_figure(10, pressure, seconds)?);
        }
    }
    Ok(all)
}

/// Runs every measurement.
///
/// # Errors
/// A process can't be started or exits unexpectedly.
pub fn measure(program: &Path, folder: &Path, seconds: f64) -> Result<Figures, RehearsalError> {
    std::fs::create_dir_all(folder).map_err(io_error("cannot create the folder for logs"))?;
    let bench = Bench { program, folder };
    let mut all = Figures::default();
    for nodes in [10, 100, 300] {
        for pressure in [("window", 256), ("rate", 2000), ("rate", 10_000)] {
            for policy in ["pipe", "module"] {
                all.figures.push(bench.figure(policy, nodes, pressure, seconds)?);
            }
        }
    }
    all.memory_kib = bench.memory()?;
    Ok(all)
}
