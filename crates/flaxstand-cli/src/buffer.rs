//! `flaxstand buffer`.

use crate::Failure;
use crate::args::{BufferTask, By, ParkedDecisionArgument, Which};
use crate::caller::Caller;
use crate::daemon::{self, Purpose};
use flaxstand_gateway::machine::Micros;
use flaxstand_proto::Frame;
use flaxstand_storage::SegmentFolder;
use flaxstand_write_back::offline::decide;
use flaxstand_write_back::record::WallClock;
use flaxstand_write_back::{LiveRecord, ParkedDecision, Recovered, Seq, Write, recover, salvage};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What it calls itself.
const NAME: &str = "flaxstand buffer";

pub fn run(task: BufferTask) -> Result<(), Failure> {
    match task {
        BufferTask::Status { of: Which { initiator: Some(address), .. }, json } => {
            let figures = status(&mut Caller::call(&address, NAME)?)?;
            print!("{}", if json { figures + "\n" } else { lines(&figures) });
            Ok(())
        }
        BufferTask::Status { of: Which { folder, .. }, json } => {
            let figures = figures(&look(&folder.expect("one of the two is given"))?);
            print!("{}", if json { figures + "\n" } else { lines(&figures) });
            Ok(())
        }
        BufferTask::Verify { folder } => {
            let mut storage = SegmentFolder::open_read_only(&folder).map_err(|e| told(&folder, &e))?;
            match recover(&mut storage) {
                Ok(r) => {
                    let (segments, bytes) = (r.segments.len(), r.segments.iter().map(|s| s.1).sum::<u64>());
                    println!("{segments} segments, {bytes} bytes, {} records: sound", r.records);
                    if r.torn > 0 {
                        println!("{} bytes at the end were never synced and count for nothing", r.torn);
                    }
                    Ok(())
                }
                Err(e) => {
                    println!("{e}");
                    println!("`flaxstand buffer salvage` keeps what can still be read");
                    Err(Failure::Rule)
                }
            }
        }
        BufferTask::Dump { folder, parked, json } => {
            for (seq, live) in &look(&folder)?.live {
                if let Some(line) = line(*seq, live, json).filter(|_| !parked || is_parked(live)) {
                    println!("{line}");
                }
            }
            Ok(())
        }
        BufferTask::Drain { by: By { initiator: Some(address), .. }, seconds } => {
            let mut caller = Caller::call(&address, NAME)?;
            flush(&mut caller, Duration::from_secs_f64(seconds.clamp(0.1, 4000.0)))?;
            println!("all that was buffered is on its nodes");
            Ok(())
        }
        BufferTask::Drain { by: By { config, .. }, seconds } => {
            let longest = Micros::from_ms(seconds.clamp(0.1, 4000.0) * 1000.0);
            daemon::run(&config.expect("one of the two is given"), Purpose::Drain(longest))
        }
        BufferTask::Decide { folder, number, verdict } => {
            let verdict = match verdict {
                ParkedDecisionArgument::Done => ParkedDecision::Done,
                ParkedDecisionArgument::Again => ParkedDecision::Again,
            };
            let mut storage = SegmentFolder::open(&folder).map_err(|e| told(&folder, &e))?;
            match decide(&mut storage, Seq(number), verdict).map_err(|e| told(&folder, &e))? {
                true => Ok(()),
                false => Err(told(&folder, &format!("no write {number} waits for an operator"))),
            }
        }
        BufferTask::Salvage { folder } => {
            let mut storage = SegmentFolder::open(&folder).map_err(|e| told(&folder, &e))?;
            if recover(&mut storage).is_ok() {
                println!("the log is sound: nothing is changed");
                return Ok(());
            }
            let kept = salvage(&mut storage).map_err(|e| told(&folder, &e))?;
            println!("{kept} writes and barriers are kept; the old segments are set aside as *.damaged");
            Ok(())
        }
    }
}

fn told(folder: &Path, why: &dyn std::fmt::Display) -> Failure {
    Failure::System(format!("{}: {why}", folder.display()))
}

/// What a log holds, whether or not a process has it.
fn look(folder: &Path) -> Result<Recovered, Failure> {
    let mut storage = SegmentFolder::open_read_only(folder).map_err(|e| told(folder, &e))?;
    recover(&mut storage).map_err(|e| told(folder, &e))
}

fn is_parked(live: &LiveRecord) -> bool {
    matches!(live, LiveRecord::Write { parked: true, .. })
}

fn age(taken: WallClock) -> Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallClock(now.as_micros() as u64).since(taken).unwrap_or_default()
}

fn figures(r: &Recovered) -> String {
    let writes: Vec<(WallClock, &Write)> = r
        .live
        .values()
        .filter_map(|live| match live {
            LiveRecord::Write { taken, write, .. } => Some((*taken, write)),
            LiveRecord::Barrier { .. } => None,
        })
        .collect();
    let object = serde_json::json!({
        "writes": writes.len(),
        "bytes": writes.iter().map(|(_, w)| w.cost()).sum::<u64>(),
        "log_bytes": r.segments.iter().map(|s| s.1).sum::<u64>(),
        "oldest_us": writes.iter().map(|(taken, _)| age(*taken).0).max().unwrap_or(0),
        "parked": r.live.values().filter(|live| is_parked(live)).count(),
        "torn_bytes": r.torn,
    });
    object.to_string()
}

/// A JSON object as lines.
fn lines(object: &str) -> String {
    let parsed: serde_json::Map<String, serde_json::Value> = serde_json::from_str(object).unwrap_or_default();
    if parsed.is_empty() {
        return "no class is buffered\n".into();
    }
    parsed.iter().map(|(name, value)| format!("{name:<22} {value}\n")).collect()
}

fn line(seq: Seq, live: &LiveRecord, json: bool) -> Option<String> {
    let LiveRecord::Write { taken, started, parked, write } = live else { return None };
    let state = match (parked, started) {
        (true, _) => "parked",
        (false, Some(_)) => "started",
        (false, None) => "waiting",
    };
    let (extent_id, bytes, age) = (write.extent_id, write.payload.len(), age(*taken).ms());
    Some(if json {
        let object = serde_json::json!({
            "number": seq.0, "volume": extent_id.volume, "extent": extent_id.extent, "class": write.class,
            "shard": write.shard, "operation": write.operation, "at": write.at, "bytes": bytes,
            "age_us": (age * 1000.0) as u64, "state": state,
        });
        object.to_string()
    } else {
        format!(
            "{:>8}  volume {:x}  extent {:x}  class {}  operation {}  {bytes} bytes  {age:.0} ms  {state}",
            seq.0, extent_id.volume, extent_id.extent, write.class, write.operation
        )
    })
}

fn status(caller: &mut Caller) -> Result<String, Failure> {
    caller.say(&Frame::AskStatus { id: 1 })?;
    caller.hear(Duration::from_secs(5), |f| match f {
        Frame::Status { json, .. } => Some(Ok(String::from_utf8_lossy(json).into_owned())),
        _ => None,
    })
}

fn flush(caller: &mut Caller, longest: Duration) -> Result<String, Failure> {
    let time_left = u32::try_from(longest.as_micros()).unwrap_or(u32::MAX);
    caller.say(&Frame::Flush { id: 1, volume: None, time_left })?;
    caller.hear(longest + Duration::from_secs(5), |f| match f {
        Frame::Flushed { .. } => Some(Ok(String::new())),
        Frame::Refused { refusal, .. } => Some(Err(format!("refused: {refusal:?}"))),
        Frame::Failed { .. } => Some(Err("not all that is buffered reached its node in that time".into())),
        _ => None,
    })
}
