//! `flaxstand settings`: what initiators agree on.

use crate::Failure;
use crate::args::{SettingsArgs, SettingsTask};
use crate::caller::Caller;
use crate::kit::{read, told};
use flaxstand_consensus::participant::{OperatorReply, OperatorRequest, PeerMessage, StatusReport};
use flaxstand_consensus::replicated_state::{IndexedState, ReplicatedState, Version};
use flaxstand_consensus::rules::{ChangeKind, Rules};
use flaxstand_gateway::machine::Address;
use flaxstand_gateway::settings::{read_daemon, read_rules};
use flaxstand_proto::Frame;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long one initiator has to answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long somebody is looked for who leads.
const LEADER: Duration = Duration::from_secs(15);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(100);

pub fn run(args: SettingsArgs) -> Result<(), Failure> {
    let name = args.config.display().to_string();
    let daemon = told(read_daemon(&name, &read(&args.config)?))?;
    let agreement = daemon.consensus.ok_or_else(|| {
        Failure::System(format!("{name}: no agreement: initiators of this site read their files alone"))
    })?;
    let others = agreement.config.voters.iter().chain(&agreement.config.other_initiators);
    let site = Site {
        all: others.cloned().map(|peer| (peer.name, peer.address)).collect(),
        keepers: agreement.config.voters.len(),
    };
    match args.task {
        SettingsTask::Propose { file, dry_run, wait } => {
            let text = read(&file)?;
            let rules = told(read_rules(&file.display().to_string(), &text))?;
            propose(&site, rules, text, dry_run, wait)
        }
        SettingsTask::Status { json } => status(&site, json),
        SettingsTask::History => {
            for step in &site.book()?.state.history {
                let at = step.at / 1_000_000;
                println!("{at}  stage {}  version {}  {}", step.stage, step.number, step.description);
            }
            Ok(())
        }
        SettingsTask::Show { number } => {
            let book = site.book()?.state;
            print!("{}", version(&book, number.unwrap_or(book.in_force.number))?.text);
            Ok(())
        }
        SettingsTask::Withdraw { number } => {
            site.operator_request(&OperatorRequest::Withdraw { number, by: operator(), at: calendar() })?;
            println!("version {number} is withdrawn");
            Ok(())
        }
        SettingsTask::Revert { number } => {
            let book = site.book()?.state;
            let old = version(&book, number)?;
            propose(&site, old.rules.clone(), old.text.clone(), false, None)
        }
        SettingsTask::Wait { seconds } => wait(&site, Duration::from_secs_f64(seconds.clamp(0.0, 1e6))),
        SettingsTask::Forget { name } => {
            site.operator_request(&OperatorRequest::Forget(name.clone()))?;
            println!("{name} is no member any more");
            Ok(())
        }
    }
}

fn operator() -> String {
    std::env::var("USER").unwrap_or_else(|_| "an operator".into())
}

fn calendar() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn version(book: &ReplicatedState, number: u64) -> Result<&Version, Failure> {
    let kept = book.previous.iter().chain([&book.in_force]).chain(&book.next);
    let all: Vec<&Version> = kept.filter(|v| v.number > 0).collect();
    all.iter().find(|v| v.number == number).copied().ok_or_else(|| {
        let numbers: Vec<String> = all.iter().map(|v| v.number.to_string()).collect();
        Failure::System(format!("version {number} is not kept, only {}", numbers.join(", ")))
    })
}

/// The initiators of a site.
struct Site {
    all: Vec<(String, Address)>,
    /// So many of them, from the first on, are keepers.
    keepers: usize,
}

impl Site {
    fn ask(address: &Address, operator_request: &OperatorRequest) -> Result<OperatorReply, Failure> {
        let mut caller = Caller::call(address, "flaxstand settings")?;
        let bytes = postcard::to_stdvec(&PeerMessage::OperatorRequest(operator_request.clone()))
            .map_err(|e| Failure::System(e.to_string()))?;
        caller.say(&Frame::Agreement { bytes: &bytes })?;
        caller.hear(PATIENCE, |frame| match frame {
            Frame::Agreement { bytes } => match postcard::from_bytes(bytes) {
                Ok(PeerMessage::OperatorReply(reply)) => Some(Ok(reply)),
                Ok(_) => None,
                Err(e) => Some(Err(format!("an answer that can't be read: {e}"))),
            },
            _ => None,
        })
    }

    /// Asks whoever leads. Until somebody does, all keepers are asked in turn.
    fn operator_request(&self, operator_request: &OperatorRequest) -> Result<u64, Failure> {
        let started = Instant::now();
        let mut last = String::new();
        while started.elapsed() < LEADER {
            for (name, address) in &self.all[..self.keepers] {
                match Self::ask(address, operator_request) {
                    Ok(OperatorReply::Committed(number)) => return Ok(number),
                    Ok(OperatorReply::Refused(why)) => {
                        return Err(Failure::System(format!("refused: {why}")));
                    }
                    Ok(_) => last = format!("{name} does not lead"),
                    Err(Failure::System(why)) => last = why,
                    Err(other) => return Err(other),
                }
            }
            std::thread::sleep(LOOK);
        }
        Err(Failure::System(format!("no keeper leads; the last word: {last}")))
    }

    /// The newest book that anybody has.
    fn book(&self) -> Result<IndexedState, Failure> {
        let known = self.all.iter().filter_map(|(_, address)| {
            match Self::ask(address, &OperatorRequest::ReplicatedState) {
                Ok(OperatorReply::ReplicatedState(book)) => book.map(|b| *b),
                _ => None,
            }
        });
        let newest = known.max_by_key(|known| known.index);
        newest.ok_or_else(|| Failure::System("no initiator knows what was agreed on".into()))
    }

    fn reports(&self) -> Vec<(String, Result<Box<StatusReport>, String>)> {
        let report = |address: &Address| match Self::ask(address, &OperatorRequest::Status) {
            Ok(OperatorReply::Status(report)) => Ok(report),
            Ok(_) => Err("an answer to something else".into()),
            Err(Failure::System(why)) => Err(why),
            Err(_) => Err("no answer".into()),
        };
        self.all.iter().map(|(name, address)| (name.clone(), report(address))).collect()
    }
}

/// What a proposal changes, a line each.
fn tell_steps(from: &Rules, to: &Rules) {
    let show =
        |v: &Option<flaxstand_consensus::rules::Value>| v.as_ref().map_or("none".into(), ToString::to_string);
    for step in from.changes(to) {
        let meaning = match step.kind {
            ChangeKind::Narrows => "narrows: acted on as soon as it is heard",
            ChangeKind::Widens => "widens: acted on once nobody acts on the old value any more",
            ChangeKind::Blocks => "has no value between: nothing of the kind is done until it is in force",
            ChangeKind::Unordered => "contradicts nothing",
        };
        println!("{}: {} -> {}  {meaning}", step.key, show(&step.before), show(&step.after));
    }
    for (key, value) in &to.fallback {
        if from.fallback.get(key) != Some(value) {
            println!("floor of {key}: {} -> {value}", show(&from.fallback.get(key).cloned()));
        }
    }
}

fn propose(
    site: &Site,
    rules: Rules,
    text: String,
    dry_run: bool,
    wait_for: Option<f64>,
) -> Result<(), Failure> {
    let acting = site.book().map(|book| book.state.in_force).unwrap_or_default();
    if acting.number > 0 {
        tell_steps(&acting.rules, &rules);
        let objections = rules.objections(&acting.rules);
        objections.iter().for_each(|why| println!("not possible: {why}"));
        if !objections.is_empty() {
            return Err(Failure::File);
        }
        if acting.rules == rules {
            println!("nothing changes");
            return Ok(());
        }
    }
    if dry_run {
        return Ok(());
    }
    let version = Version { number: 0, rules, text, by: operator(), at: calendar() };
    let number = site.operator_request(&OperatorRequest::Propose { base: acting.number, version })?;
    println!("version {number} is agreed on");
    match wait_for {
        Some(seconds) => wait(site, Duration::from_secs_f64(seconds.clamp(0.0, 1e6))),
        None => Ok(()),
    }
}

fn wait(site: &Site, longest: Duration) -> Result<(), Failure> {
    let started = Instant::now();
    loop {
        let reports = site.reports();
        let leader =
            reports.iter().filter_map(|(_, r)| r.as_ref().ok()).find(|r| r.leader.as_ref() == Some(&r.name));
        if let Some(leader) = leader
            && leader.versions.next.is_none()
            && leader.blockers.is_empty()
        {
            println!("version {} is in force", leader.versions.in_force);
            return Ok(());
        }
        if started.elapsed() >= longest {
            let holds = leader.map_or("nobody leads".into(), |l| {
                let who: Vec<String> = l.blockers.iter().map(|h| format!("{}: {}", h.who, h.why)).collect();
                who.join("; ")
            });
            return Err(Failure::System(format!("not in force yet: {holds}")));
        }
        std::thread::sleep(LOOK);
    }
}

fn status(site: &Site, json: bool) -> Result<(), Failure> {
    let reports = site.reports();
    if json {
        let object = |r: &(String, Result<Box<StatusReport>, String>)| match &r.1 {
            Ok(report) => serde_json::to_value(report).unwrap_or_default(),
            Err(why) => serde_json::json!({ "name": r.0, "unreachable": why }),
        };
        let all: Vec<serde_json::Value> = reports.iter().map(object).collect();
        println!("{}", serde_json::json!({ "initiators": all }));
        return Ok(());
    }
    for (name, report) in &reports {
        match report {
            Ok(r) => {
                let keeper = r.replica.as_ref().map(|k| format!(", keeper: {k}")).unwrap_or_default();
                println!("{name}: acts on {}, for {} ms yet{keeper}", r.active_rules, r.lease_ms);
            }
            Err(why) => println!("{name}: {why}"),
        }
    }
    let leader =
        reports.iter().filter_map(|(_, r)| r.as_ref().ok()).find(|r| r.leader.as_ref() == Some(&r.name));
    match leader {
        None => println!("no keeper leads: leases run out, and then the floor holds"),
        Some(l) => {
            println!("{} leads in term {}; voters: {}", l.name, l.term, l.voters.join(" "));
            if !l.unresponsive.is_empty() {
                println!("keepers that are not heard: {}", l.unresponsive.join(" "));
            }
            match (l.versions.in_force, l.versions.next) {
                (0, _) => println!("no version yet: all act on the floor of their files"),
                (v, None) => println!("version {v} is in force"),
                (v, Some(next)) => println!("version {v} is in force, version {next} under way"),
            }
            for h in &l.blockers {
                let ends = h.ends_ms.map(|ms| format!(", at most {ms} ms")).unwrap_or_default();
                println!("held up by {}: {}{ends}", h.who, h.why);
            }
        }
    }
    Ok(())
}

/// What follows from a file's agreement, for `check`.
pub fn tell_terms(path: &Path, lease_ms: f64, clock_error: f64, election_ms: f64) {
    let terms = flaxstand_consensus::participant::RolloutBounds::of(lease_ms, clock_error, election_ms);
    println!(
        "{}: two initiators act on rules that contradict each other for {} ms at most; a change is in force within \
         {} ms of its proposal where a leader lives, {} ms where it is lost",
        path.display(),
        terms.contradiction_ms,
        terms.rollout_ms,
        terms.rollout_without_leader_ms
    );
}
