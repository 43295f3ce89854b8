//! An initiator process under the limits of its configuration, and what it uses.

use crate::common::kernel_sockets::kernel_sockets;
use crate::common::loopback::LoopbackHost;
use crate::node::Node;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Port at which the initiator listens.
const CLIENT_PORT: u16 = 8000;
/// Port of the discovery service.
const DISCOVERY_PORT: u16 = 8500;
/// Time for the process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the use of resources is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Program text and read-only data of the release build, KiB. A debug build has more, which is not counted.
const RELEASE_TEXT_KIB: u64 = 5 * 1024;

/// Settings of a test's deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// `limits.memory_mb`.
    pub memory_mb: u64,
    /// `limits.sockets`; also the process's limit of descriptors.
    pub sockets: u64,
    /// Deadline of all classes.
    pub deadline: Duration,
}

impl Default for Deployment {
    /// The least memory and the most descriptors that the page of the days names.
    fn default() -> Self {
        Deployment { memory_mb: 32, sockets: 1024, deadline: Duration::from_millis(2500) }
    }
}

/// Largest values seen.
#[derive(Debug, Default)]
struct Peaks {
    memory_kib: AtomicU64,
    kernel_kib: AtomicU64,
    descriptors: AtomicU64,
    is_stopped: AtomicBool,
}

/// Held while an initiator runs: crowds and clients at full speed of one test would delay the peers of another.
static RUNNING: Mutex<()> = Mutex::new(());

/// A running initiator, the only one of this test program.
pub struct Initiator {
    _running: MutexGuard<'static, ()>,
    process: Child,
    at: SocketAddr,
    discovery: SocketAddr,
    upstream: Vec<SocketAddr>,
    folder: PathBuf,
    deployment: Deployment,
    peaks: Arc<Peaks>,
}

impl Initiator {
    /// Starts an initiator whose configuration lists these nodes, and waits until it is ready.
    pub fn start(host: &LoopbackHost, nodes: &[Node], deployment: Deployment) -> Initiator {
        // The lock guards nothing, so that a test that failed while it held it is no obstacle.
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let (at, discovery) = (host.port(CLIENT_PORT), host.port(DISCOVERY_PORT));
        let folder =
            std::env::temp_dir().join(format!("flaxstand-limits-{}-{}", at.ip(), std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, configuration(at, discovery, nodes, deployment)).unwrap();
        let binary = std::env::var_os("FLAXSTAND_BINARY").unwrap_or(env!("CARGO_BIN_EXE_flaxstand").into());
        let mut command = Command::new(binary);
        command.args(["run", "--platform"]).env("RELAY_CONFIG", file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(folder.join("log")).unwrap());
        let process = command.spawn().unwrap();
        let limit = Rlimit { current: Some(deployment.sockets), maximum: Some(deployment.sockets) };
        prlimit(Some(Pid::from_child(&process)), Resource::Nofile, limit).unwrap();
        let mut upstream: Vec<SocketAddr> = nodes.iter().map(Node::address).collect();
        upstream.push(discovery);
        let peaks = Arc::default();
        let initiator =
            Initiator { _running: running, process, at, discovery, upstream, folder, deployment, peaks };
        let started = Instant::now();
        while TcpStream::connect(at).is_err() {
            assert!(started.elapsed() < START_TIMEOUT, "the initiator does not listen");
            std::thread::sleep(Duration::from_millis(1));
        }
        initiator.start_sampling();
        initiator
    }

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Returns the address at which it looks for discovery.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }

    /// Returns the memory used now: resident, and in the kernel's buffers of its sockets.
    pub fn memory_kib(&self) -> u64 {
        self.resident_kib() + kernel_kib(self.at, &self.upstream)
    }

    /// Returns the resident memory, KiB.
    pub fn resident_kib(&self) -> u64 {
        resident_kib(self.process.id())
    }

    /// Returns what it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Asserts that the process is alive and has never used more than its limits.
    #[track_caller]
    pub fn assert_within_limits(&mut self) {
        let exited = self.process.try_wait().unwrap();
        assert!(exited.is_none(), "the process ended by itself: {exited:?}\n{}", self.log());
        let sampled_kib = self.peaks.memory_kib.load(Ordering::Relaxed);
        let memory_kib = sampled_kib.max(peak_resident_kib(self.process.id()));
        let limit_kib = self.deployment.memory_mb * 1024;
        let descriptors = self.peaks.descriptors.load(Ordering::Relaxed);
        let kernel_kib = self.peaks.kernel_kib.load(Ordering::Relaxed);
        println!(
            "peak memory {memory_kib} KiB of {limit_kib}, of it {kernel_kib} or less in the kernel, \
             peak descriptors {descriptors}"
        );
        assert!(memory_kib <= limit_kib, "{memory_kib} KiB used, the limit is {limit_kib} KiB");
        assert!(descriptors <= self.deployment.sockets, "{descriptors} descriptors");
    }

    /// Waits until the process exits; returns false if it has not at this time.
    pub fn exits_by(&mut self, time: Instant) -> bool {
        while Instant::now() < time {
            if self.process.try_wait().unwrap().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }

    /// Kills the process outright, if it has not exited.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
    }

    fn start_sampling(&self) {
        let (peaks, pid) = (self.peaks.clone(), self.process.id());
        let (at, upstream) = (self.at, self.upstream.clone());
        std::thread::spawn(move || {
            while !peaks.is_stopped.load(Ordering::Relaxed) {
                let memory = resident_kib(pid) + kernel_kib(at, &upstream);
                peaks.memory_kib.fetch_max(memory, Ordering::Relaxed);
                peaks.kernel_kib.fetch_max(kernel_kib(at, &upstream), Ordering::Relaxed);
                peaks.descriptors.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
    }
}

impl Drop for Initiator {
    fn drop(&mut self) {
        self.peaks.is_stopped.store(true, Ordering::Relaxed);
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration(at: SocketAddr, discovery: SocketAddr, nodes: &[Node], deployment: Deployment) -> String {
    let Deployment { memory_mb, sockets, deadline } = deployment;
    let deadline = deadline.as_millis();
    let entry = |(shard, node): (usize, &Node)| {
        format!(
            r#"{{"uid":"s-{shard:08x}","endpoint":"{}","az":"a","pod_group":{shard},"state":"up",
            "capacity_hint":1.0,"boot_ms":0}}"#,
            node.address()
        )
    };
    let targets: Vec<String> = nodes.iter().enumerate().map(entry).collect();
    let class = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":{deadline},"deadlineMs":{deadline},"worth":1.0,"semantics":"{semantics}"}}"#
        )
    };
    let classes = [class("read", "repeatable"), class("order", "once")].join(",");
    format!(
        r#"{{"name":"n0","listen":"{at}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
        "known":{{"rev":0,"all":true,"targets":[{}]}},
        "settings":{{"balancers":1,"registryMode":"on_request","tickMs":2.0,"classes":[{classes}],
        "grades":[{{"name":"gold","price":1.0}}],
        "caps":{{"maxAttempts":3,"dialTimeoutMs":250.0,"keepaliveMs":60000.0}},
        "rules":{{"askWithinMs":600000.0,"stopSendingWithinMs":2000.0}},"familyInfo":{{"unitMean":1.0,"mostUnits":8}}}}}}"#,
        targets.join(",")
    )
}

/// Returns resident memory as it is with a release build, KiB.
fn resident_kib(pid: u32) -> u64 {
    resident_without_debug_text(pid, "VmRSS:")
}

/// Returns the largest resident memory so far, as it is with a release build, KiB.
fn peak_resident_kib(pid: u32) -> u64 {
    resident_without_debug_text(pid, "VmHWM:")
}

/// Returns a value of `/proc/PID/status` less the program text that only a debug build has.
fn resident_without_debug_text(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0)
    };
    field(name).saturating_sub(field("RssFile:").saturating_sub(RELEASE_TEXT_KIB))
}

/// Returns what the kernel holds for the process: received and unread, or written and not acknowledged.
fn kernel_kib(at: SocketAddr, upstream: &[SocketAddr]) -> u64 {
    let is_own = |socket: &crate::common::kernel_sockets::KernelSocket| {
        socket.is_local(at) || upstream.iter().any(|peer| socket.is_remote(*peer))
    };
    let sockets = kernel_sockets();
    sockets.iter().filter(|socket| is_own(socket)).map(|socket| socket.unsent + socket.unread).sum::<u64>()
        / 1024
}

fn open_descriptors(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}
