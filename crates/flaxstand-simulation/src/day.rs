//! A day: the fleet, the traffic and the faults. Read from a KDL file that also holds the site's part of a
//! settings file. `docs/rehearsal.md` describes every key.

use crate::agreed::AgreementSettings;
use crate::model::Spec;
use crate::node::NodeBehaviour;
use flaxstand::api::{DeduplicationScope, Effect};
use flaxstand_audit::{
    AuditRules, ClassRules, DeduplicationScope as AuditScope, PlanLimit, RetryBudgetRules, SlowStartRules,
};
use flaxstand_consensus::rules::{Value, narrowing_of};
use flaxstand_gateway::machine::Micros;
use flaxstand_gateway::settings::{Block, SettingsError, SiteFile, Source, read_fallback_rules, read_site};
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;

/// The fleet of emulated nodes.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of nodes, one shard each.
    pub nodes: u32,
    /// Number of zones over which they are spread.
    pub zones: u32,
    /// Range of the speed of a node.
    pub speed: (f64, f64),
    /// Resources of each node, except for its speed.
    pub spec: Spec,
    /// Behaviour of each node outside its resource model.
    pub behaviour: NodeBehaviour,
    /// Delay of the list service's notifications.
    pub list_delay: Micros,
}

/// How clients space their retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A wait drawn from `retry-wait-ms`.
    #[default]
    Plain,
    /// Exponential back-off with full jitter: the maximum wait doubles from the upper bound of
    /// `retry-wait-ms`, up to 2 s.
    Jitter,
    /// As plain, with a retry budget: a client's retries are limited to a fifth of its first tries.
    Budget,
}

impl RetryPolicy {
    /// Names in files; the option is none for the day's own value.
    pub(crate) const CHOICE: [(&'static str, Option<RetryPolicy>); 3] = [
        ("plain", Some(RetryPolicy::Plain)),
        ("jitter", Some(RetryPolicy::Jitter)),
        ("budget", Some(RetryPolicy::Budget)),
    ];
}

/// Load of the clients.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Operations per second.
    pub rate: f64,
    /// Number of volumes.
    pub volumes: u32,
    /// Range of the number of nodes that hold a volume's data.
    pub spread: (f64, f64),
    /// Maximum number of units of a request; each request draws from 1 to this, small ones more often.
    pub units: u32,
    /// Number of connections to each initiator.
    pub clients: u32,
    /// Maximum number of retries.
    pub retries: u8,
    /// Wait before a retry, ms.
    pub retry_wait: (f64, f64),
    /// How they space their retries.
    pub retry_policy: RetryPolicy,
    /// Time-out of a try, after which the client makes another, ms; 0: as long as the deadline allows.
    pub try_timeout: (f64, f64),
    /// Share of clients that honour the wait of a refusal.
    pub honour: f64,
    /// Payload of a write, bytes.
    pub payload: usize,
    /// Number of buffered writes of a volume after which its client sends a barrier; 0: never.
    pub barrier_every: u64,
    /// Number of buffered writes of a volume after which its client sends a flush; 0: never.
    pub flush_every: u64,
}

/// Mix of the requests of a class.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Share of the operations.
    pub share: f64,
    /// Whether the requests are writes.
    pub write: bool,
    /// Share of the writes that create objects.
    pub new: f64,
    /// Share of the reads that read recently written objects.
    pub reread: f64,
    /// Share of the reads that read recently buffered items, through the same initiator.
    pub reread_buffered: f64,
    /// Number of items from which a volume's other requests are drawn.
    pub items: u64,
}

/// Volumes of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanMix {
    /// Share of the volumes.
    pub share: f64,
    /// Range of the number of initiators that a volume's requests go through.
    pub hosts: (f64, f64),
}

/// Kind of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Lines for a node's standard input, at the start and at the end of the fault.
    Node(String, String),
    /// Lines for the list service's standard input, at the start and at the end of the fault.
    List(String, String),
    /// The node's process is killed and restarted cold, with its data.
    Crash,
    /// The node drains and ends after `Fault::length`; another machine takes over its shard, cold.
    Replace,
    /// The initiator's process is killed and restarted.
    KillInitiator,
    /// The initiator is asked to stop and restarted.
    RestartInitiator,
    /// The initiator is partitioned from all other initiators.
    CutInitiator,
    /// The initiator's process is suspended.
    PauseInitiator,
    /// A change of the rules is proposed: these values replace those of the day's file.
    Change(BTreeMap<String, Value>),
    /// The traffic of one plan, or of all, is multiplied by a factor.
    Burst(Option<u16>, f64),
}

/// A fault that lasts for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Name of its kind in the file.
    pub name: String,
    /// Start, seconds.
    pub at: f64,
    /// Duration, seconds.
    pub length: f64,
    /// Affected nodes.
    pub nodes: Vec<u32>,
    /// Affected initiators.
    pub initiators: Vec<u32>,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Errors of reading a day.
#[derive(Debug, Error)]
pub enum DayError {
    /// A file can't be read.
    #[error("cannot read {path}: {cause}")]
    Io {
        /// Path of the file.
        path: String,
        /// Cause reported by the system.
        cause: std::io::Error,
    },
    /// A file holds errors.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Returns the name of the base file that a day names, if it names one.
fn base_of(name: &str, text: &str) -> Result<Option<String>, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let base = root.parsed("base", "a file's name", Some(None), |t| Some(Some(t.to_owned())));
    source.finish()?;
    Ok(base.flatten())
}

/// A scenario: fleet, traffic and faults.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Duration of the traffic, seconds.
    pub seconds: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Maximum transit time of a frame that the audit allows.
    pub transit: Micros,
    /// The site.
    pub site: SiteFile,
    /// One-way network delay, ms, drawn for each piece of data; on virtual time only.
    pub one_way: (f64, f64),
    /// The emulated nodes.
    pub fleet: Fleet,
    /// The clients.
    pub traffic: Traffic,
    /// Request mix by class.
    pub mixes: Vec<Mix>,
    /// Volumes by plan.
    pub plans: Vec<PlanMix>,
    /// Faults, in the order of the file.
    pub faults: Vec<Fault>,
    /// Settings of consensus, if the initiators run it.
    pub agreement: Option<AgreementSettings>,
    /// Fallback rules, on which initiators act without a lease.
    pub floor: BTreeMap<String, Value>,
}

const MS: std::ops::RangeInclusive<f64> = 0.0..=3_600_000.0;
const SHARE: std::ops::RangeInclusive<f64> = 0.0..=1.0;

impl Day {
    /// Reads a day's file, and the base that it names in the same folder. Also returns the text that holds
    /// the site's part.
    ///
    /// # Errors
    /// A file can't be read, or holds errors; all of them are listed.
    pub fn load(path: &Path) -> Result<(Day, String), DayError> {
        let read = |path: &Path| {
            let io = |cause| DayError::Io { path: path.display().to_string(), cause };
            std::fs::read_to_string(path).map_err(io)
        };
        let text = read(path)?;
        let name = path.display().to_string();
        let Some(base) = base_of(&name, &text)? else { return Ok((Day::read(&name, &text, None)?, text)) };
        let base = path.with_file_name(base);
        let base_text = read(&base)?;
        let day = Day::read(&name, &text, Some((&base.display().to_string(), &base_text)))?;
        Ok((day, base_text))
    }

    /// Reads a day. The names appear in error messages. With a base, the day's own text holds only `day`
    /// and faults.
    ///
    /// # Errors
    /// All errors of the base or, if it has none, of the day.
    pub fn read(name: &str, text: &str, base: Option<(&str, &str)>) -> Result<Day, SettingsError> {
        let source = Source::new(name, text);
        let document = source.parse()?;
        let root = Block::document(&source, &document);
        let day = match base {
            Some((name, text)) => {
                root.text("base", None);
                let source = Source::new(name, text);
                let document = source.parse()?;
                let common = Block::document(&source, &document);
                let day = Day::read_common(&common);
                common.reject_unknown_keys();
                source.finish()?;
                day
            }
            None => Day::read_common(&root),
        };
        let day = day.read_own(&root);
        root.reject_unknown_keys();
        source.finish()?;
        Ok(day)
    }

    fn read_common(root: &Block<'_>) -> Day {
        let site = read_site(root);
        // Read by the initiators, not here.
        root.block("bounds");
        let none = Source::new("", "");
        let empty = none.parse().expect("an empty text is a document");
        let missing = Block::document(&none, &empty);
        let mut day = Day {
            name: String::new(),
            seconds: 0.0,
            seed: 0,
            transit: Micros(0),
            one_way: read_net(root),
            fleet: read_fleet(root.required_block("fleet").as_ref().unwrap_or(&missing), &site),
            traffic: read_traffic(root.required_block("traffic").as_ref().unwrap_or(&missing), &site),
            mixes: Vec::new(),
            plans: Vec::new(),
            faults: Vec::new(),
            agreement: None,
            floor: BTreeMap::new(),
            site,
        };
        day.read_mixes(root);
        day
    }

    fn read_own(mut self, root: &Block<'_>) -> Day {
        if let Some(b) = root.required_block("day") {
            self.name = b.name();
            self.seconds = b.number("seconds", 0.1..=86_400.0, None);
            self.seed = b.integer("seed", 0..=u64::MAX >> 1, Some(1));
            self.transit = Micros::from_ms(b.number("transit-ms", MS, Some(100.0)));
            b.reject_unknown_keys();
        }
        self.floor = read_fallback_rules(root);
        self.agreement = root.block("agreement").map(|b| read_agreement(&b, &self));
        self.faults = root.blocks("fault").iter().filter_map(|b| read_fault(b, &self)).collect();
        self
    }

    fn read_mixes(&mut self, root: &Block<'_>) {
        let mixes = root.blocks("mix");
        let named = |b: &Block<'_>, names: &[String], what: &str| -> Option<usize> {
            let name = b.name();
            let at = names.iter().position(|n| *n == name);
            if at.is_none() && !name.is_empty() {
                b.report(format!("no {what} has this name; there are {}", names.join(", ")));
            }
            at
        };
        let classes: Vec<String> = self.site.site.classes.iter().map(|c| c.name.clone()).collect();
        self.mixes =
            vec![
                Mix { share: 0.0, write: false, new: 0.0, reread: 0.0, reread_buffered: 0.0, items: 1 };
                classes.len()
            ];
        for b in &mixes {
            let mix = Mix {
                share: b.number("share", 0.0..=1e6, None),
                write: b.flag("write", false),
                new: b.number("new", SHARE, Some(0.0)),
                reread: b.number("reread", SHARE, Some(0.0)),
                reread_buffered: b.number("reread-buffered", SHARE, Some(0.0)),
                items: b.integer("items", 1..=1 << 40, Some(1 << 20)),
            };
            if let Some(at) = named(b, &classes, "class") {
                self.mixes[at] = mix;
            }
            b.reject_unknown_keys();
        }
        if self.mixes.iter().all(|m| m.share == 0.0) {
            root.report("mix is missing, expected one with a share above 0".into());
        }
        let plans = self.site.site.plans.clone();
        self.plans = vec![PlanMix { share: 1.0, hosts: (1.0, 1.0) }; plans.len()];
        for b in root.blocks("volumes") {
            let mix = PlanMix {
                share: b.number("share", 0.0..=1e6, Some(1.0)),
                hosts: b.range("hosts", 1.0..=1e6, Some((1.0, 1.0))),
            };
            if let Some(at) = named(&b, &plans, "plan") {
                self.plans[at] = mix;
            }
            b.reject_unknown_keys();
        }
        if self.plans.iter().all(|p| p.share == 0.0) {
            root.report("no plan has volumes, expected a share above 0".into());
        }
    }

    /// Returns the rules that the audit checks.
    pub fn audit_rules(&self) -> AuditRules {
        let settings = &self.site.site.settings;
        let micros = |ms: f64| Micros::from_ms(ms).0;
        let classes = settings.classes.iter().zip(&self.site.site.classes).map(|(class, info)| ClassRules {
            effect: audited_effect(class.effect),
            in_order: class.in_order,
            is_buffered: info.is_buffered,
        });
        let limits = settings.plans.iter().enumerate().map(|(index, plan)| PlanLimit {
            rate: plan.limit_rate,
            burst: plan.limit_burst,
            slack: self.site.audit.limit_slack.get(index).copied().unwrap_or(0.0),
        });
        AuditRules {
            classes: classes.collect(),
            limits: limits.collect(),
            max_concurrent_attempts: settings.max_concurrent_attempts as usize,
            drain_grace: self.site.audit.drain_grace.0,
            slow_start: SlowStartRules {
                overload_multiple: settings.overload_multiple,
                window: micros(settings.slow_start_window),
                min_units: settings.slow_start_min_units,
            },
            key_cooldown: micros(settings.key_cooldown),
            retry_budget: settings.retry_budget.map(|budget| RetryBudgetRules {
                floor: budget.floor,
                ratio: budget.ratio,
                window: micros(budget.span),
            }),
            transit: self.transit.0,
        }
    }

    /// Returns the factor on a plan's traffic at a time of the day, in seconds.
    pub fn factor(&self, plan: u16, at: f64) -> f64 {
        let on = self.faults.iter().filter(|f| f.at <= at && at < f.at + f.length);
        let times = on.map(|f| match f.kind {
            FaultKind::Burst(None, times) => times,
            FaultKind::Burst(Some(p), times) if p == plan => times,
            _ => 1.0,
        });
        times.product()
    }
}

fn audited_effect(effect: Effect) -> flaxstand_audit::Effect {
    match effect {
        Effect::Idempotent => flaxstand_audit::Effect::Idempotent,
        Effect::AtMostOnce => flaxstand_audit::Effect::AtMostOnce,
        Effect::IdempotencyKey { group, window } => {
            let scope = match group {
                DeduplicationScope::All => AuditScope::All,
                DeduplicationScope::Zone => AuditScope::Zone,
                DeduplicationScope::Shard => AuditScope::Shard,
            };
            flaxstand_audit::Effect::IdempotencyKey(scope, Micros::from_ms(window).0)
        }
    }
}

fn read_net(root: &Block<'_>) -> (f64, f64) {
    const DEFAULT: (f64, f64) = (0.05, 0.2);
    let Some(b) = root.block("net") else { return DEFAULT };
    let one_way = b.range("one-way-ms", 0.001..=60_000.0, Some(DEFAULT));
    b.reject_unknown_keys();
    one_way
}

fn read_fleet(b: &Block<'_>, site: &SiteFile) -> Fleet {
    let s = &site.site.settings;
    let unit_work = b.number("unit-work-ms", 0.001..=1e6, None);
    let windows = s.classes.iter().map(|c| match c.effect {
        Effect::IdempotencyKey { window, .. } => window,
        _ => 0.0,
    });
    let fleet = Fleet {
        nodes: b.integer("nodes", 0..=1000, None) as u32,
        zones: b.integer("zones", 1..=100, Some(1)) as u32,
        speed: b.range("speed", 0.001..=1000.0, Some((1.0, 1.0))),
        spec: Spec {
            cores: b.number("cores", 1.0..=1024.0, Some(2.0)),
            speed: 1.0,
            slots: b.integer("slots", 1..=100_000, Some(4)) as usize,
            queue: b.integer("queue", 0..=10_000_000, Some(64)) as usize,
            initial_capacity: s.initial_capacity,
            warm_after: Micros::from_ms(s.warm_up_time),
            warm_by_work: b
                .choice("warm-by", &[("time", false), ("work", true)], Some(false))
                .unwrap_or(false),
            thrash: b.number("thrash", 0.0..=0.95, Some(0.0)),
            thrash_at: b.number("thrash-at", 0.1..=1e6, Some(8.0)),
            seek: b.number("seek", SHARE, Some(0.0)),
            cached_keys: b.integer("remembers", 0..=10_000, Some(0)) as usize,
            deferred_share: b.number("put-off", 0.0..=0.99, Some(0.0)),
            deferral_interval: Micros::from_ms(b.number("put-off-every-ms", 1.0..=1e6, Some(2000.0))),
            overload_multiple: s.overload_multiple,
            slow_start_window: Micros::from_ms(s.slow_start_window),
            // The minimum number of units, at their maximum work.
            overload_min_work: s.slow_start_min_units * unit_work * 1000.0,
        },
        behaviour: NodeBehaviour {
            unit_work: unit_work * 1000.0,
            spread: b.range("spread", 0.0..=1000.0, Some((0.6, 1.4))),
            report_interval: Micros::from_ms(b.number("report-ms", 1.0..=1e6, Some(500.0))),
            report_delay: Micros::from_ms(b.number("report-late-ms", MS, Some(0.0))),
            report_noise: b.number("report-noise", 0.0..=0.9, Some(0.0)),
            connections: b.integer("connections", 1..=1_000_000, Some(10_000)) as usize,
            handshake: b.number("handshake-us", 0.0..=1e7, Some(0.0)),
            cancels: b.flag("cancels", true),
            window: Micros::from_ms(windows.fold(10_000.0, f64::max)),
        },
        list_delay: Micros::from_ms(b.number("list-late-ms", MS, Some(500.0))),
    };
    b.reject_unknown_keys();
    fleet
}

fn read_traffic(b: &Block<'_>, site: &SiteFile) -> Traffic {
    let units = b.integer("units", 1..=1_000_000, Some(1));
    let most = site.site.settings.max_units;
    if units as f64 > most {
        b.report(format!("units is {units}, expected at most the site's unit-most, {most}"));
    }
    let traffic = Traffic {
        rate: b.number("rate", 0.0..=1e7, None),
        volumes: b.integer("volumes", 1..=1_000_000, None) as u32,
        spread: b.range("nodes", 1.0..=1000.0, Some((1.0, 3.0))),
        units: units as u32,
        clients: b.integer("clients", 1..=10_000, Some(1)) as u32,
        retries: b.integer("retries", 0..=100, Some(0)) as u8,
        retry_wait: b.range("retry-wait-ms", MS, Some((50.0, 200.0))),
        retry_policy: b.choice("manners", &RetryPolicy::CHOICE, Some(None)).flatten().unwrap_or_default(),
        try_timeout: b.range("patience-ms", MS, Some((0.0, 0.0))),
        honour: b.number("honour", SHARE, Some(1.0)),
        payload: b.integer("payload-bytes", 8..=1 << 20, Some(64)) as usize,
        barrier_every: b.integer("barrier-every", 0..=1 << 40, Some(0)),
        flush_every: b.integer("flush-every", 0..=1 << 40, Some(0)),
    };
    b.reject_unknown_keys();
    traffic
}

fn read_agreement(b: &Block<'_>, day: &Day) -> AgreementSettings {
    let ms = |key, default| Micros::from_ms(b.number(key, 50.0..=600_000.0, Some(default)));
    let agreement = AgreementSettings {
        keepers: b.integer("keepers", 1..=5, Some(3)) as u32,
        lease: ms("lease-ms", 1000.0),
        election: ms("election-ms", 250.0),
        clock_error: b.number("clock-error", 0.0..=0.1, Some(0.001)),
    };
    if agreement.keepers > day.site.site.settings.initiators {
        b.report(format!("keepers is {}, expected at most the site's initiators", agreement.keepers));
    }
    b.reject_unknown_keys();
    agreement
}

/// Reads a fault that the node itself injects, as lines for its standard input.
fn read_node_fault(b: &Block<'_>, name: &str, day: &Day) -> Option<FaultKind> {
    let share = |b: &Block<'_>| b.number("share", SHARE, Some(1.0));
    let class = |b: &Block<'_>| {
        let names = &day.site.site.classes;
        let expected = "the name of a class";
        b.parsed("class", expected, None, |t| names.iter().position(|c| c.name == t)).unwrap_or(0)
    };
    let node = |on: String, off: &str| FaultKind::Node(on, off.to_owned());
    Some(match name {
        "pauses" => {
            let (length, every) =
                (b.number("ms", 1.0..=60_000.0, None), b.number("every-ms", 1.0..=60_000.0, None));
            node(format!("pauses {length} {every}"), "pauses 0 0")
        }
        "stall" => node(format!("stall {}", b.number("ms", 1.0..=600_000.0, None)), ""),
        "slow" => node(format!("slow {}", b.number("times", 1.0..=1000.0, None)), "slow 1"),
        "neighbour" => node(format!("neighbour {}", share(b)), "neighbour 0"),
        "drop" => node(format!("drop {}", share(b)), "drop 0"),
        "hang" => node("hang 1".into(), "hang 0"),
        "errors" => node(format!("errors {}", share(b)), "errors 0"),
        "full" => node("full 1".into(), "full 0"),
        "refuse" => node("refuse 1\nreset".into(), "refuse 0"),
        "deaf" => node("deaf 1\nreset".into(), "deaf 0\nreset"),
        "reset" => node("reset".into(), ""),
        "cut-in" => node("cut-in 1".into(), "cut-in 0"),
        "cut-out" => node("cut-out 1".into(), "cut-out 0"),
        "heavy" => {
            let times = b.number("times", 1.0..=1000.0, None);
            node(format!("heavy {} {} {times}", class(b), share(b)), "heavy 0 0 1")
        }
        _ => return None,
    })
}

/// Reads the kind of a fault and its parameters.
fn read_fault_kind(b: &Block<'_>, name: &str, day: &Day) -> Option<FaultKind> {
    if let Some(kind) = read_node_fault(b, name, day) {
        return Some(kind);
    }
    let list = |on: &str, off: &str| FaultKind::List(on.to_owned(), off.to_owned());
    Some(match name {
        "crash" => FaultKind::Crash,
        "replace" => FaultKind::Replace,
        "list-silent" => list("silent 1", "silent 0\ncut"),
        "list-fails" => list("fail 1", "fail 0"),
        "list-cut" => list("cut", ""),
        "list-late" => {
            let ms = b.number("ms", MS, None);
            FaultKind::List(format!("late {ms}"), format!("late {}", day.fleet.list_delay.ms()))
        }
        "kill-initiator" => FaultKind::KillInitiator,
        "restart-initiator" => FaultKind::RestartInitiator,
        "cut-initiator" => FaultKind::CutInitiator,
        "pause-initiator" => FaultKind::PauseInitiator,
        "change" => FaultKind::Change(b.assignments("set", |key, _| match narrowing_of(key) {
            Some(_) => Ok(()),
            None => Err(format!("{key:?} is not a key of the rules, see docs/agreement.md")),
        })),
        "burst" => FaultKind::Burst(None, b.number("times", 0.0..=1000.0, None)),
        "plan-burst" => {
            let names = &day.site.site.plans;
            let plan = b.parsed("plan", "the name of a plan", None, |t| names.iter().position(|p| p == t));
            FaultKind::Burst(Some(plan.unwrap_or(0) as u16), b.number("times", 0.0..=1000.0, None))
        }
        "" => return None,
        _ => {
            b.report(
                "no such fault; expected one of pauses, stall, slow, neighbour, drop, hang, errors, full, refuse, deaf, \
                 reset, cut-in, cut-out, heavy, crash, replace, list-silent, list-fails, list-cut, list-late, kill-initiator, \
                 restart-initiator, cut-initiator, pause-initiator, change, burst, plan-burst"
                    .into(),
            );
            return None;
        }
    })
}

fn read_fault(b: &Block<'_>, day: &Day) -> Option<Fault> {
    let name = b.name();
    let kind = read_fault_kind(b, &name, day)?;
    let places = |key, count: u32| -> Vec<u32> {
        b.integers(key, 0..=u64::from(count).saturating_sub(1)).into_iter().map(|n| n as u32).collect()
    };
    let nodes = places("nodes", day.fleet.nodes);
    let initiators = places("initiators", day.site.site.settings.initiators);
    let of_nodes = matches!(kind, FaultKind::Node(..) | FaultKind::Crash | FaultKind::Replace);
    let needs_agreement =
        matches!(kind, FaultKind::CutInitiator | FaultKind::PauseInitiator | FaultKind::Change(_));
    if needs_agreement && day.agreement.is_none() {
        b.report("this fault needs consensus, expected a block agreement".into());
    }
    let of_initiators = matches!(
        kind,
        FaultKind::KillInitiator
            | FaultKind::RestartInitiator
            | FaultKind::CutInitiator
            | FaultKind::PauseInitiator
    );
    if of_nodes == nodes.is_empty() {
        b.report(format!(
            "nodes {}",
            if of_nodes { "is missing, expected one or more" } else { "is not allowed for this fault" }
        ));
    }
    if of_initiators == initiators.is_empty() {
        let message =
            if of_initiators { "is missing, expected one or more" } else { "is not allowed for this fault" };
        b.report(format!("initiators {message}"));
    }
    let at = b.number("at", 0.0..=86_400.0, None);
    let length = b.number("for", 0.0..=86_400.0, Some(0.0));
    b.reject_unknown_keys();
    Some(Fault { name, at, length, nodes, initiators, kind })
}
