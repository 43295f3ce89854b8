//! Measures write-back: writes acknowledged from the log compared with writes that go through to nodes that
//! answer at once, the number of syncs, and the recovery time of a log.

use crate::measure::Bench;
use crate::press::LoadResult;
use crate::process::{RehearsalError, io_error, stop};
use flaxstand_storage::{SegmentFolder, perform};
use flaxstand_write_back::record::{Record, WallClock};
use flaxstand_write_back::{ExtentId, Micros, Seq, Write, recover};
use serde::Serialize;
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

/// Payload of a write, bytes.
const WRITE_BYTES: u32 = 4096;

/// Result for a number of writers, each with one request in flight.
#[derive(Clone, Debug, Serialize)]
pub struct Writers {
    /// Whether writes are acknowledged as buffered; if not, they go through to the nodes.
    pub buffered: bool,
    /// Number of writers.
    pub writers: u32,
    /// Results of the writers.
    pub seen: LoadResult,
    /// Data syncs per write, including those that log the completion.
    pub syncs_a_write: f64,
    /// Write amplification: bytes written to the log per byte of payload.
    pub amplification: f64,
}

/// Result of the recovery of a log.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryTime {
    /// Size of the log, MiB.
    pub mib: u64,
    /// Writes in it that are not yet completed.
    pub writes: usize,
    /// Recovery time, ms.
    pub ms: f64,
}

/// All results.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Results by number of writers.
    pub writers: Vec<Writers>,
    /// Results by size of the log.
    pub read_back: Vec<RecoveryTime>,
}

impl Measured {
    /// Formats the results as text.
    pub fn text(&self) -> String {
        let mut out = format!(
            "{:8} {:>8} {:>10} {:>8} {:>8} {:>13} {:>13}\n",
            "writes", "writers", "writes/s", "p50 us", "p99 us", "syncs/write", "bytes/byte"
        );
        for w in &self.writers {
            let rate = w.seen.served as f64 / w.seen.seconds.max(1e-9);
            let how = if w.buffered { "buffered" } else { "through" };
            let _ = writeln!(
                out,
                "{how:8} {:>8} {rate:>10.0} {:>8} {:>8} {:>13.3} {:>13.2}",
                w.writers, w.seen.p50_us, w.seen.p99_us, w.syncs_a_write, w.amplification
            );
        }
        for r in &self.read_back {
            let _ = writeln!(
                out,
                "a log of {} MiB, {} writes live: read back in {:.0} ms",
                r.mib, r.writes, r.ms
            );
        }
        out
    }
}

fn settings(folder: &Path, list: &str, buffered: bool) -> String {
    let text = crate::measure::settings(folder, "module", list);
    if !buffered {
        return text;
    }
    let text = text.replacen("    policy", &format!("    log \"{}/log\"\n    policy", folder.display()), 1);
    text.replacen("    aim-ms 100\n", "    aim-ms 100\n    buffered #true\n", 1)
        + "buffer {\n    bytes 1000000000\n    volume-bytes 1000000000\n}\n"
}

fn writers(bench: &Bench<'_>, buffered: bool, writers: u32, seconds: f64) -> Result<Writers, RehearsalError> {
    let log = bench.folder.join("log");
    let _ = std::fs::remove_dir_all(&log);
    let (_echo, _list, initiator) =
        bench.start_fleet_with(10, false, |list| settings(bench.folder, list, buffered))?;
    let extra = ["--window=1".into(), format!("--clients={writers}"), format!("--write={WRITE_BYTES}")];
    let mut load = bench.start_load(10, &extra, seconds)?;
    let seen = load.expect("seen", Duration::from_secs_f64(seconds * 2.0 + 10.0))?;
    let seen: LoadResult = serde_json::from_str(&seen)
        .map_err(|e| RehearsalError::Process(format!("invalid results of the load generator: {e}")))?;
    let mut measured = Writers { buffered, writers, seen, syncs_a_write: 0.0, amplification: 0.0 };
    if buffered {
        let address = format!("--initiator=unix:{}/measured.sock", bench.folder.display());
        let out = std::process::Command::new(bench.program)
            .args(["buffer", "status", "--json", &address])
            .output()
            .map_err(io_error("cannot run flaxstand buffer status"))?;
        let status: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        let figure = |name: &str| status[name].as_f64().unwrap_or(0.0);
        let writes = figure("acknowledged_total").max(1.0);
        measured.syncs_a_write = figure("syncs_total") / writes;
        measured.amplification = figure("written_bytes_total") / (writes * f64::from(WRITE_BYTES));
    }
    stop(initiator)?;
    Ok(measured)
}

fn read_back(folder: &Path, mib: u64) -> Result<RecoveryTime, RehearsalError> {
    let failed = |what: &str| io_error(what.to_owned());
    let path = folder.join("read-back");
    let _ = std::fs::remove_dir_all(&path);
    let mut storage = SegmentFolder::open(&path).map_err(failed("cannot open the log"))?;
    let mut log = recover(&mut storage)
        .map_err(|e| RehearsalError::Process(format!("cannot recover the log: {e}")))?
        .log;
    let now = Micros(0);
    let mut seq = 0;
    while log.bytes() < mib << 20 {
        for _ in 0..256 {
            seq += 1;
            let extent_id = ExtentId { volume: seq % 64, extent: seq };
            let payload = vec![seq as u8; WRITE_BYTES as usize];
            let (class, plan, volume_initiators, shard, units) = (0, 0, 1, 0, 1);
            let write = Write {
                extent_id,
                class,
                plan,
                volume_initiators,
                shard,
                units,
                operation: seq,
                at: None,
                payload,
            };
            let (accepted, started, parked) = (WallClock(1), None, false);
            log.append(&Record::Write { seq: Seq(seq), accepted, started, parked, write }, now);
        }
        while let Some(batch) = log.next_batch(now, now) {
            perform(&mut storage, &batch).map_err(failed("cannot write the log"))?;
            log.batch_stored(true, now);
        }
    }
    drop(storage);
    let begun = Instant::now();
    let mut storage = SegmentFolder::open(&path).map_err(failed("cannot open the log"))?;
    let recovered =
        recover(&mut storage).map_err(|e| RehearsalError::Process(format!("cannot recover the log: {e}")))?;
    let ms = begun.elapsed().as_secs_f64() * 1000.0;
    let _ = std::fs::remove_dir_all(&path);
    Ok(RecoveryTime { mib, writes: recovered.live.len(), ms })
}

/// Runs every measurement, on the disk that holds `folder`.
///
/// # Errors
/// A process can't be started or exits unexpectedly, or the disk fails.
pub fn measure(program: &Path, folder: &Path, seconds: f64) -> Result<Measured, RehearsalError> {
    std::fs::create_dir_all(folder).map_err(io_error("cannot create the folder for logs"))?;
    let bench = Bench { program, folder };
    let mut all = Measured::default();
    for count in [1, 8, 64] {
        for buffered in [false, true] {
            all.writers.push(writers(&bench, buffered, count, seconds)?);
        }
    }
    for mib in [16, 64, 256] {
        all.read_back.push(read_back(folder, mib)?);
    }
    Ok(all)
}
