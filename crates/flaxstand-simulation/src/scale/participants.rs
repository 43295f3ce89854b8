//! The processes of one step, and their settings. All end with whoever holds them.

use super::interrupt::Interrupt;
use super::plan::{HOLLOW_MOST, KEEPERS_MOST, Plan, REAL_MOST, Size};
use crate::agreed::listeners;
use crate::process::{PROCESS_TIMEOUT, Process, RehearsalError, io_error};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Nodes that answer, the first of the list.
pub(super) const ANSWERING_NODES: u32 = 8;
/// Hollow initiators of one process, most: each has some three connections, and a process 20,000 descriptors.
const HOLLOW_A_PROCESS: u32 = 1200;
/// The list service, the nodes that answer, and the clients.
const STAND_INS: u64 = 3;
/// Processes of a step, most. What a plan may ask for stays below it.
const PROCESSES_MOST: u64 = 300;
const _: () = assert!(
    HOLLOW_MOST.div_ceil(HOLLOW_A_PROCESS as u64) + REAL_MOST + KEEPERS_MOST + STAND_INS <= PROCESSES_MOST
);
/// Where a hollow initiator is said to listen: it does not, and nobody calls it.
const NOWHERE: &str = "127.0.0.1:9";

/// An initiator that is a process of its own.
pub(super) struct Real {
    pub(super) process: Process,
    /// Its number among the site's initiators.
    pub(super) number: u32,
    /// Where clients connect.
    pub(super) address: String,
    /// Where it logs.
    pub(super) log: PathBuf,
    /// Where it saves the list.
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
    /// Keepers; none: it was killed.
    pub(super) keepers: Vec<Option<Real>>,
    pub(super) real: Vec<Real>,
    pub(super) hollow: Vec<HollowProcess>,
    /// Where the keepers listen for other initiators.
    pub(super) keeper_addresses: Vec<SocketAddr>,
}

/// Where processes come from and where their files go.
pub(super) struct Workplace<'a> {
    pub(super) program: &'a Path,
    pub(super) folder: &'a Path,
    pub(super) plan: &'a Plan,
    pub(super) interrupt: &'a Interrupt,
}

/// An `agreement` block, but for what is one initiator's own.
struct Membership {
    keepers: Vec<SocketAddr>,
    real: Vec<SocketAddr>,
    hollow: std::ops::Range<u32>,
}

impl Workplace<'_> {
    /// Starts everything that a step needs, and waits until each process says that it is ready.
    pub(super) fn start(&self, size: &Size) -> Result<Participants, RehearsalError> {
        let (answering, list) = self.start_stand_ins(size)?;
        let list_address = list.1;
        let addresses = listeners((size.keepers + size.real) as usize).map_err(io_error("addresses"))?;
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
            let count = HOLLOW_A_PROCESS.min(membership.hollow.end - first);
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

    fn start_ready(&self, name: &str, arguments: &[String]) -> Result<(Process, String), RehearsalError> {
        let mut process = Process::start(self.program, self.folder, name, arguments)?;
        let said = self.interrupt.expect(&mut process, "ready", PROCESS_TIMEOUT)?;
        Ok((process, said))
    }

    fn start_real(
        &self,
        name: &str,
        number: u32,
        list: &str,
        membership: &Membership,
    ) -> Result<Real, RehearsalError> {
        let settings = self.settings(name, number, list, membership, &membership.hollow);
        let file = self.write_settings(name, &settings)?;
        let arguments = ["run", "--config", &file, "--with-parent"].map(str::to_owned);
        let (process, addresses) = self.start_ready(name, &arguments)?;
        let address = addresses.split_whitespace().next().unwrap_or_default().to_owned();
        let file = |kind: &str| self.folder.join(format!("{name}.{kind}"));
        Ok(Real { process, number, address, log: file("log"), saved_list: file("list") })
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
        std::fs::write(&file, text).map_err(io_error("an initiator's settings"))?;
        Ok(file.display().to_string())
    }

    /// Settings of one initiator. `others` are the hollow ones that it is told of.
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
        let listen = addresses.get(number as usize).map_or(NOWHERE.to_owned(), ToString::to_string);
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
            let _ = writeln!(text, "    initiator \"hollow-{other}\" at=\"{NOWHERE}\"");
        }
        text + "}\n"
    }
}

impl Participants {
    /// Processes that are initiators on their own: keepers that live, then the others.
    pub(super) fn initiators(&self) -> impl Iterator<Item = &Real> {
        self.keepers.iter().flatten().chain(&self.real)
    }

    /// Ids of all processes.
    pub(super) fn ids(&self) -> Vec<u32> {
        let stand_ins = [self.list.id(), self.answering.id()];
        let initiators = self.initiators().map(|real| real.process.id());
        let hollow = self.hollow.iter().map(|hollow| hollow.process.id());
        stand_ins.into_iter().chain(initiators).chain(hollow).collect()
    }
}
