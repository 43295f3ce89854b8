//! What a process has used, by the system's own account under `/proc`.

use serde::Serialize;
use std::fs;

/// What one process has used so far and holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Account {
    /// Processor time of all its threads, nanoseconds.
    pub processor_ns: u64,
    /// Time that its threads were ready to run and had no processor, nanoseconds.
    pub waited_ns: u64,
    /// Memory that is resident now, KiB.
    pub resident_kib: u64,
    /// The most that ever was, KiB.
    pub resident_peak_kib: u64,
    /// Bytes that it read by system calls: sockets, files and pipes.
    pub read_bytes: u64,
    /// Bytes that it wrote by system calls: sockets, files, pipes and its log.
    pub written_bytes: u64,
    /// Descriptors open now.
    pub descriptors: u64,
}

impl Account {
    /// The account of a process; none if it is gone.
    pub fn of(pid: u32) -> Option<Account> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let io = fs::read_to_string(format!("/proc/{pid}/io")).ok()?;
        let (processor_ns, waited_ns) = processor_time(pid)?;
        Some(Account {
            processor_ns,
            waited_ns,
            resident_kib: field(&status, "VmRSS:")?,
            resident_peak_kib: field(&status, "VmHWM:")?,
            read_bytes: field(&io, "rchar:")?,
            written_bytes: field(&io, "wchar:")?,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64,
        })
    }
}

/// Time of all threads on a processor, and ready without one. The first is the `utime + stime` of `stat`, in
/// nanoseconds in place of hundredths of a second.
fn processor_time(pid: u32) -> Option<(u64, u64)> {
    let (mut ran, mut waited) = (0, 0);
    for task in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        // A thread that ended meanwhile has no account any more.
        let Ok(schedstat) = fs::read_to_string(task.path().join("schedstat")) else { continue };
        let mut fields = schedstat.split_whitespace().map(str::parse::<u64>);
        ran += fields.next()?.ok()?;
        waited += fields.next()?.ok()?;
    }
    Some((ran, waited))
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Memory of the machine, KiB.
pub fn machine_memory_kib() -> u64 {
    let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    field(&meminfo, "MemTotal:").unwrap_or(0)
}

/// How busy the machine was over the last minute, as the system tells it.
pub fn load_average() -> f64 {
    let loadavg = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    loadavg.split_whitespace().next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}
