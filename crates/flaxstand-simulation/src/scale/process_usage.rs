//! Resource usage of a process as reported under `/proc`.

use serde::Serialize;
use std::fs;

/// Cumulative and current resource usage of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// CPU time of all threads, nanoseconds.
    pub processor_ns: u64,
    /// Time during which threads were runnable without a CPU, nanoseconds.
    pub waited_ns: u64,
    /// Resident memory, KiB.
    pub resident_kib: u64,
    /// Peak resident memory since the process started, KiB.
    pub resident_peak_kib: u64,
    /// Bytes read by system calls: sockets, files and pipes.
    pub read_bytes: u64,
    /// Bytes written by system calls: sockets, files, pipes and the log.
    pub written_bytes: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process. Returns `None` if the process has ended.
    pub fn read(pid: u32) -> Option<ProcessUsage> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let io = fs::read_to_string(format!("/proc/{pid}/io")).ok()?;
        let (processor_ns, waited_ns) = thread_times(pid)?;
        Some(ProcessUsage {
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

/// Returns the CPU time and the time spent runnable without a CPU, summed over all threads, in nanoseconds.
/// `schedstat` has nanoseconds; `utime + stime` of `stat` has the same CPU time in units of 10 ms.
fn thread_times(pid: u32) -> Option<(u64, u64)> {
    let (mut ran, mut waited) = (0, 0);
    for task in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        // The file is missing if the thread has ended since the directory was read.
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

/// Returns the total memory of the machine, KiB.
pub fn machine_memory_kib() -> u64 {
    let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    field(&meminfo, "MemTotal:").unwrap_or(0)
}

/// Returns the machine's load average over the last minute.
pub fn load_average() -> f64 {
    let loadavg = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    loadavg.split_whitespace().next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}
