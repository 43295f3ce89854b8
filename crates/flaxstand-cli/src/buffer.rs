//! `flaxstand buffer`: inspects and manages the buffered writes of a running initiator or of a log folder.

use crate::args::{BufferCommand, BufferSource, DrainBy, Verdict};
use crate::connection::{CallError, Connection};
use crate::daemon::{self, Purpose};
use crate::error::{CommandError, LogError};
use flaxstand_gateway::machine::{Address, Micros};
use flaxstand_proto::Frame;
use flaxstand_storage::SegmentFolder;
use flaxstand_write_back::offline::decide;
use flaxstand_write_back::record::WallClock;
use flaxstand_write_back::{LiveRecord, LiveWrite, ParkedDecision, Recovered, Seq, recover, salvage};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Client name in the hello to an initiator.
const CLIENT_NAME: &str = "flaxstand buffer";
/// Maximum time for an initiator to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Range of the time limit of a drain, seconds.
const MIN_DRAIN_SECONDS: f64 = 0.1;
const MAX_DRAIN_SECONDS: f64 = 4000.0;

/// Runs one command.
pub fn run(command: BufferCommand) -> Result<(), CommandError> {
    match command {
        BufferCommand::Status { source, json } => print_status(&source, json),
        BufferCommand::Verify { folder } => verify(&folder),
        BufferCommand::Dump { folder, parked, json } => dump(&folder, parked, json),
        BufferCommand::Drain { by, seconds } => {
            drain(&by, seconds.clamp(MIN_DRAIN_SECONDS, MAX_DRAIN_SECONDS))
        }
        BufferCommand::Decide { folder, number, verdict } => decide_parked(&folder, number, verdict),
        BufferCommand::Salvage { folder } => salvage_log(&folder),
    }
}

fn print_status(source: &BufferSource, json: bool) -> Result<(), CommandError> {
    let status = match (&source.initiator, &source.folder) {
        (Some(address), _) => running_status(address)?,
        (None, Some(folder)) => log_status(&read_log(folder)?),
        (None, None) => unreachable!("the argument parser requires one of the two"),
    };
    print!("{}", if json { status + "\n" } else { status_lines(&status) });
    Ok(())
}

fn verify(folder: &Path) -> Result<(), CommandError> {
    let mut storage = SegmentFolder::open_read_only(folder).map_err(log_error(folder))?;
    match recover(&mut storage) {
        Ok(recovered) => {
            let (segments, bytes) = (recovered.segments.len(), log_bytes(&recovered));
            println!("{segments} segments, {bytes} bytes, {} records: intact", recovered.records);
            if recovered.torn_bytes > 0 {
                println!("{} bytes at the end were never synced and are ignored", recovered.torn_bytes);
            }
            Ok(())
        }
        Err(error) => {
            println!("{error}");
            println!("`flaxstand buffer salvage` keeps the readable records");
            Err(CommandError::RuleBroken)
        }
    }
}

fn dump(folder: &Path, only_parked: bool, json: bool) -> Result<(), CommandError> {
    for (seq, record) in &read_log(folder)?.live {
        let LiveRecord::Write(live) = record else { continue };
        if only_parked && !live.parked {
            continue;
        }
        println!("{}", if json { json_line(*seq, live) } else { text_line(*seq, live) });
    }
    Ok(())
}

fn drain(by: &DrainBy, seconds: f64) -> Result<(), CommandError> {
    match (&by.initiator, &by.config) {
        (Some(address), _) => {
            flush(address, Duration::from_secs_f64(seconds))?;
            println!("all buffered writes are on their nodes");
            Ok(())
        }
        (None, Some(config)) => daemon::run(config, Purpose::Drain(Micros::from_ms(seconds * 1000.0))),
        (None, None) => unreachable!("the argument parser requires one of the two"),
    }
}

fn decide_parked(folder: &Path, number: u64, verdict: Verdict) -> Result<(), CommandError> {
    let decision = match verdict {
        Verdict::Done => ParkedDecision::Done,
        Verdict::Again => ParkedDecision::Resend,
    };
    let mut storage = SegmentFolder::open(folder).map_err(log_error(folder))?;
    let is_decided = decide(&mut storage, Seq(number), decision).map_err(log_error(folder))?;
    if is_decided { Ok(()) } else { Err(CommandError::NotParked { folder: folder.to_owned(), number }) }
}

fn salvage_log(folder: &Path) -> Result<(), CommandError> {
    let mut storage = SegmentFolder::open(folder).map_err(log_error(folder))?;
    if recover(&mut storage).is_ok() {
        println!("the log is intact: nothing is changed");
        return Ok(());
    }
    let salvaged = salvage(&mut storage).map_err(log_error(folder))?;
    println!("{salvaged} writes and barriers are kept; the old segments are renamed to *.damaged");
    Ok(())
}

fn log_error<E: Into<LogError>>(folder: &Path) -> impl FnOnce(E) -> CommandError {
    let folder = folder.to_owned();
    move |error| CommandError::Log { folder, source: error.into() }
}

/// Reads a log without changing it; another process may have it open.
fn read_log(folder: &Path) -> Result<Recovered, CommandError> {
    let mut storage = SegmentFolder::open_read_only(folder).map_err(log_error(folder))?;
    recover(&mut storage).map_err(log_error(folder))
}

fn log_bytes(recovered: &Recovered) -> u64 {
    recovered.segments.iter().map(|segment| segment.length).sum()
}

fn age(accepted: WallClock) -> Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallClock(now.as_micros() as u64).since(accepted).unwrap_or_default()
}

/// Returns the figures of a log as a JSON object.
fn log_status(recovered: &Recovered) -> String {
    let writes: Vec<&LiveWrite> = recovered
        .live
        .values()
        .filter_map(|record| match record {
            LiveRecord::Write(live) => Some(live),
            LiveRecord::Barrier { .. } => None,
        })
        .collect();
    let object = serde_json::json!({
        "writes": writes.len(),
        "bytes": writes.iter().map(|live| live.write.cost()).sum::<u64>(),
        "log_bytes": log_bytes(recovered),
        "oldest_us": writes.iter().map(|live| age(live.accepted).0).max().unwrap_or(0),
        "parked": writes.iter().filter(|live| live.parked).count(),
        "torn_bytes": recovered.torn_bytes,
    });
    object.to_string()
}

/// Formats the fields of a JSON object as lines.
fn status_lines(object: &str) -> String {
    let parsed: serde_json::Map<String, serde_json::Value> = serde_json::from_str(object).unwrap_or_default();
    if parsed.is_empty() {
        return "no class is buffered\n".into();
    }
    parsed.iter().map(|(name, value)| format!("{name:<22} {value}\n")).collect()
}

fn state(live: &LiveWrite) -> &'static str {
    match (live.parked, live.started) {
        (true, _) => "parked",
        (false, Some(_)) => "started",
        (false, None) => "waiting",
    }
}

fn json_line(seq: Seq, live: &LiveWrite) -> String {
    let write = &live.write;
    let object = serde_json::json!({
        "number": seq.0, "volume": write.extent_id.volume, "extent": write.extent_id.extent,
        "class": write.class, "shard": write.shard, "operation": write.operation, "at": write.at,
        "bytes": write.payload.len(), "age_us": Micros::from_ms(age(live.accepted).ms()).0, "state": state(live),
    });
    object.to_string()
}

fn text_line(seq: Seq, live: &LiveWrite) -> String {
    let write = &live.write;
    format!(
        "{:>8}  volume {:x}  extent {:x}  class {}  operation {}  {} bytes  {:.0} ms  {}",
        seq.0,
        write.extent_id.volume,
        write.extent_id.extent,
        write.class,
        write.operation,
        write.payload.len(),
        age(live.accepted).ms(),
        state(live)
    )
}

/// Queries the figures of a running initiator, as a JSON object.
fn running_status(address: &Address) -> Result<String, CallError> {
    let mut connection = Connection::open(address, CLIENT_NAME)?;
    connection.send(&Frame::AskStatus { id: 1 })?;
    connection.receive(REPLY_TIMEOUT, |frame| match frame {
        Frame::Status { json, .. } => Some(Ok(String::from_utf8_lossy(json).into_owned())),
        _ => None,
    })
}

/// Makes a running initiator write out all buffered writes within `limit`.
fn flush(address: &Address, limit: Duration) -> Result<(), CallError> {
    let time_left = u32::try_from(limit.as_micros()).unwrap_or(u32::MAX);
    let mut connection = Connection::open(address, CLIENT_NAME)?;
    connection.send(&Frame::Flush { id: 1, volume: None, time_left })?;
    connection.receive(limit + REPLY_TIMEOUT, |frame| match frame {
        Frame::Flushed { .. } => Some(Ok(())),
        Frame::Refused { refusal, .. } => Some(Err(CallError::Rejected(*refusal))),
        Frame::Failed { .. } => Some(Err(CallError::FlushIncomplete)),
        _ => None,
    })
}
