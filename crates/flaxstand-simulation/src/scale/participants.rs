//! The processes of one step and their settings. All processes are killed when their handles are dropped.

use super::interrupt::Interrupt;
use super::plan::{MAX_HOLLOW, MAX_KEEPERS, MAX_REAL, Plan, Size};
use crate::agreed::listeners;
use crate::process::{PROCESS_TIMEOUT, Process, RehearsalError, io_error};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Number of nodes that answer requests. They are the first in the list.
pub(super) const ANSWERING_NODES: u32 = 8;
/// Maximum number of hollow initiators per process. Each has about three connections, and a process may have
/// 20,000 descriptors.
const HOLLOW_PER_PROCESS: u32 = 1200;
/// Number of emulated peers: the list service, the nodes that answer, and the clients.
const STAND_IN_PROCESSES: u64 = 3;
/// Maximum number of processes of a step. The limits of the plan file stay within it.
const MAX_PROCESSES: u64 = 300;
const _: () = assert!(
    MAX_HOLLOW.div_ceil(HOLLOW_PER_PROCESS as u64) + MAX_REAL + MAX_KEEPERS + STAND_IN_PROCESSES
        <= MAX_PROCESSES
);
/// Address in the settings of hollow initiators, which do not listen. No peer connects to it.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// An initiator that runs as its own process.
pub(super) struct RealInitiator {
    pub(super) process: Process,
    /// Number among the initiators of the site.
    pub(super) number: u32,
    /// Listen address for clients.
    pub(super) address: String,
    /// Path of the log.
    pub(super) log: PathBuf,
    /// Path of the saved list.
    pub(super) saved_list: PathBuf,
}

/// A process of hollow initiators.
pub(super) struct HollowProcess {
    pub(super) process: Process,
    pub(super) count: u32,
}

/// All processes of a step.
pub(super) struct Participants {
    pub(super) list: Process,
    pub(super) answering: Process,
    /// Keepers by number. `None` for a keeper that was killed.
    pub(super) keepers: Vec<Option<RealInitiator>>,
    pub(super) real: Vec<RealInitiator>,
    pub(super) hollow: Vec<HollowProcess>,
    /// Listen addresses of the keepers for other initiators.
    pub(super) keeper_addresses: Vec<SocketAddr>,
}

/// Everything needed to start the processes of a step.
pub(super) struct StepEnvironment<'a> {
    pub(super) program: &'a Path,
    pub(super) folder: &'a Path,
    pub(super) plan: &'a Plan,
    pub(super) interrupt: &'a Interrupt,
}

/// The participants of an agreement, as listed in the `agreement` block of every initiator.
struct Membership {
    keepers: Vec<SocketAddr>,
    real: Vec<SocketAddr>,
    hollow: std::ops::Range<u32>,
}

impl StepEnvironment<'_> {
    /// Starts all processes of a step. Waits until each reports that it is ready.
    pub(super) fn start(&self, size: &Size) -> Result<Participants, RehearsalError> {
        let (answering, list) = self.start_stand_ins(size)?;
        let list_address = list.1;
        let addresses = listeners((size.keepers + size.real) as usize)
            .map_err(io_error("cannot reserve listen addresses on the loopback interface"))?;
        let (keeper_addresses, real_addresses) = addresses.split_at(size.keepers as usize);
        let first_hollow = size.keepers + size.real;
        let membership = Membership {
            keepers: keeper_addresses.to_vec(),
            real: real_addresses.to_vec(),
            hollow: first_hollow..first_hollow + size.hollow,
        };
        let (mut keepers, mut real) = (Vec::new(), Vec::new());
        for number in 0..size.keepers {
            let name = format!("keeper-{number}");
            keepers.push(Some(self.start_real(&name, number, &list_address, &membership)?));
        }
        for nth in 0..size.real {
            let number = size.keepers + nth;
            real.push(self.start_real(&format!("real-{nth}"), number, &list_address, &membership)?);
        }
        let mut hollow = Vec::new();
        let mut first = first_hollow;
        while first < membership.hollow.end {
            let count = HOLLOW_PER_PROCESS.min(membership.hollow.end - first);
            hollow.push(self.start_hollow(first, count, &list_address, &membership)?);
            first += count;
        }
        let keeper_addresses = membership.keepers;
        Ok(Participants { list: list.0, answering, keepers, real, hollow, keeper_addresses })
    }

    fn start_stand_ins(&self, size: &Size) -> Result<(Process, (Process, String)), RehearsalError> {
        let mut arguments = vec!["stand-in".to_owned(), "echo".into()];
        arguments.extend((0..ANSWERING_NODES).map(|_| "--listen=127.0.0.1:0".to_owned()));
        let (answering, addresses) = self.start_ready("nodes", &arguments)?;
        let mut arguments = vec!["stand-in".to_owned(), "node-list".into(), "--listen=127.0.0.1:0".into()];
        arguments.push(format!("--nodes={}", size.nodes));
        arguments.push(format!("--changes={}", size.node_changes));
        arguments.push(format!("--heartbeat-ms={}", size.list_heartbeat_ms));
        arguments.extend(addresses.split_whitespace().map(|at| format!("--answering={at}")));
        Ok((answering, self.start_ready("list", &arguments)?))
    }

    /// Starts a process and waits until it is ready. Returns its listen addresses, separated by spaces.
    fn start_ready(&self, name: &str, arguments: &[String]) -> Result<(Process, String), RehearsalError> {
        let mut process = Process::start(self.program, self.folder, name, arguments)?;
        let addresses = self.interrupt.expect(&mut process, "ready", PROCESS_TIMEOUT)?;
        Ok((process, addresses))
    }

    fn start_real(
        &self,
        name: &str,
        number: u32,
        list: &str,
        membership: &Membership,
    ) -> Result<RealInitiator, RehearsalError> {
        let settings = self.settings(name, number, list, membership, &membership.hollow);
        let file = self.write_settings(name, &settings)?;
        let arguments = ["run", "--config", &file, "--with-parent"].map(str::to_owned);
        let (process, addresses) = self.start_ready(name, &arguments)?;
        let address = addresses.split_whitespace().next().unwrap_or_default().to_owned();
        let file = |kind: &str| self.folder.join(format!("{name}.{kind}"));
        Ok(RealInitiator { process, number, address, log: file("log"), saved_list: file("list") })
    }

    fn start_hollow(
        &self,
        first: u32,
        count: u32,
        list: &str,
        membership: &Membership,
    ) -> Result<HollowProcess, RehearsalError> {
        let name = format!("hollow-{first}");
        let settings = self.settings(&name, first, list, membership, &(first..first + 1));
        let file = self.write_settings(&name, &settings)?;
        let arguments = [
            "--log=warn".to_owned(),
            "stand-in".into(),
            "hollow".into(),
            format!("--config={file}"),
            format!("--first={first}"),
            format!("--count={count}"),
        ];
        let (process, _) = self.start_ready(&format!("process-{name}"), &arguments)?;
        Ok(HollowProcess { process, count })
    }

    fn write_settings(&self, name: &str, text: &str) -> Result<String, RehearsalError> {
        let file = self.folder.join(format!("{name}.kdl"));
        std::fs::write(&file, text)
            .map_err(io_error(format!("cannot write the settings file {}", file.display())))?;
        Ok(file.display().to_string())
    }

    /// Returns the settings file of one initiator. Its `agreement` block lists the hollow initiators in
    /// `others`.
    fn settings(
        &self,
        name: &str,
        number: u32,
        list: &str,
        membership: &Membership,
        others: &std::ops::Range<u32>,
    ) -> String {
        let folder = self.folder.display();
        let seed = self.plan.seed ^ (u64::from(number) << 20);
        let mut text = format!(
            "initiator {name:?} {{\n    index {number}\n    seed {seed}\n    listen \"127.0.0.1:0\"\n    \
             list \"{list}\"\n    state \"{folder}/{name}.list\"\n}}\n"
        );
        text.push_str(&self.plan.shared_settings);
        if !membership.keepers.is_empty() {
            text.push_str(&self.agreement_block(name, number, membership, others));
        }
        text
    }

    fn agreement_block(
        &self,
        name: &str,
        number: u32,
        membership: &Membership,
        others: &std::ops::Range<u32>,
    ) -> String {
        let addresses: Vec<&SocketAddr> = membership.keepers.iter().chain(&membership.real).collect();
        let listen = addresses.get(number as usize).map_or(UNUSED_ADDRESS.to_owned(), ToString::to_string);
        let folder = self.folder.join(format!("{name}.agreement"));
        let terms = &self.plan.terms;
        let mut text = format!(
            "agreement {{\n    listen \"{listen}\"\n    folder {:?}\n    lease-ms {}\n    election-ms {}\n",
            folder.display().to_string(),
            terms.lease_ms,
            terms.election_ms
        );
        for (nth, at) in membership.keepers.iter().enumerate() {
            let _ = writeln!(text, "    keeper \"keeper-{nth}\" at=\"{at}\"");
        }
        for (nth, at) in membership.real.iter().enumerate() {
            let _ = writeln!(text, "    initiator \"real-{nth}\" at=\"{at}\"");
        }
        for other in others.clone() {
            let _ = writeln!(text, "    initiator \"hollow-{other}\" at=\"{UNUSED_ADDRESS}\"");
        }
        text + "}\n"
    }
}

impl Participants {
    /// Returns the initiators that run as their own process: the running keepers, then the real initiators.
    pub(super) fn initiators(&self) -> impl Iterator<Item = &RealInitiator> {
        self.keepers.iter().flatten().chain(&self.real)
    }

    /// Returns the process ids of all initiators, the list service and the answering nodes.
    pub(super) fn pids(&self) -> Vec<u32> {
        let stand_ins = [self.list.id(), self.answering.id()];
        let initiators = self.initiators().map(|real| real.process.id());
        let hollow = self.hollow.iter().map(|hollow| hollow.process.id());
        stand_ins.into_iter().chain(initiators).chain(hollow).collect()
    }
}
