//! A day: what there is, what clients do, and what goes wrong when. Read from a KDL file that holds the
//! site's part of a settings file too. `docs/rehearsal.md` describes every key.

use crate::agreed::Accord;
use crate::model::Spec;
use crate::node::Habits;
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

/// The nodes.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// How many, one shard each.
    pub nodes: u32,
    /// Zones that they are spread over.
    pub zones: u32,
    /// Speeds are drawn from this.
    pub speed: (f64, f64),
    /// What each is, but for its speed.
    pub spec: Spec,
    /// How each works beside its model.
    pub habits: Habits,
    /// Word of the list is so late.
    pub list_late: Micros,
}

/// How clients space their tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manners {
    /// As `retry-wait-ms` says.
    #[default]
    Plain,
    /// Exponential back-off with full jitter: up to a wait that doubles from the longest of `retry-wait-ms`, 2 s at most.
    Jitter,
    /// As plain, and a client's retries keep to a fifth of its first tries.
    Budget,
}

impl Manners {
    /// Names in files.
    pub(crate) const CHOICE: [(&'static str, Option<Manners>); 3] = [
        ("plain", Some(Manners::Plain)),
        ("jitter", Some(Manners::Jitter)),
        ("budget", Some(Manners::Budget)),
    ];
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// First tries a second.
    pub rate: f64,
    /// Volumes.
    pub volumes: u32,
    /// Nodes that hold a volume's data.
    pub spread: (f64, f64),
    /// Most units of a request; each request draws from 1 to this, small ones more often.
    pub units: u32,
    /// Connections to each initiator.
    pub clients: u32,
    /// Tries beyond the first, most.
    pub retries: u8,
    /// Wait before a further try, ms.
    pub retry_wait: (f64, f64),
    /// How they space their tries.
    pub manners: Manners,
    /// How long a client waits for a try before it makes another, ms; 0: as long as there is time.
    pub patience: (f64, f64),
    /// Share of clients that honour the wait of a refusal.
    pub honour: f64,
    /// Bytes of a write.
    pub payload: usize,
    /// A volume's client sends a barrier after so many writes of buffered classes; 0: never.
    pub barrier_every: u64,
    /// The same for a flush.
    pub flush_every: u64,
}

/// What clients ask for in a class.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Share of the first tries.
    pub share: f64,
    /// They write.
    pub write: bool,
    /// Share of the writes that make new objects.
    pub new: f64,
    /// Share of the reads that go to objects written lately.
    pub reread: f64,
    /// Share of the reads that go to what was lately written and acknowledged as buffered, the same way.
    pub reread_buffered: f64,
    /// Items that a volume's other requests are drawn from.
    pub items: u64,
}

/// How volumes of a plan are.
#[derive(Clone, Copy, Debug)]
pub struct PlanMix {
    /// Share of the volumes.
    pub share: f64,
    /// Initiators that a volume's requests come through.
    pub hosts: (f64, f64),
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A line that a node's standard input takes at its start, and one that ends it.
    Node(String, String),
    /// The same for the list service.
    List(String, String),
    /// The node's process is killed and comes back cold, with its data.
    Crash,
    /// The node drains, ends after `Fault::length`, and another machine takes over its shard, cold.
    Replace,
    /// The initiator's process is killed and comes back.
    KillInitiator,
    /// The initiator is told to stop and started again.
    RestartInitiator,
    /// Nothing passes between the initiator and all other initiators.
    CutInitiator,
    /// The initiator's process stands still.
    PauseInitiator,
    /// These rules are proposed, in place of what they say in the day's file.
    Change(BTreeMap<String, Value>),
    /// So many times the usual traffic, of one plan or of all.
    Burst(Option<u16>, f64),
}

/// Something that goes wrong for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Its name in the file.
    pub name: String,
    /// From when on, seconds.
    pub at: f64,
    /// How long, seconds.
    pub length: f64,
    /// Of which nodes.
    pub nodes: Vec<u32>,
    /// Of which initiators.
    pub initiators: Vec<u32>,
    /// What.
    pub trouble: Trouble,
}

/// Why a day can't be read.
#[derive(Debug, Error)]
pub enum DayError {
    /// The system says so.
    #[error("cannot read {path}: {cause}")]
    Io {
        /// The file.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// A file has problems.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The base that a day names, if it does.
fn base_of(name: &str, text: &str) -> Result<Option<String>, SettingsError> {
    let source = Source::new(name, text);
    let document = source.parse()?;
    let root = Block::document(&source, &document);
    let base = root.parsed("base", "a file's name", Some(None), |t| Some(Some(t.to_owned())));
    source.finish()?;
    Ok(base.flatten())
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// How long requests come, seconds.
    pub seconds: f64,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long a frame may be under way, for the audit.
    pub transit: Micros,
    /// The site.
    pub site: SiteFile,
    /// One way through the network, ms, drawn for each piece; on virtual time only.
    pub one_way: (f64, f64),
    /// The nodes.
    pub fleet: Fleet,
    /// The clients.
    pub traffic: Traffic,
    /// By class.
    pub mixes: Vec<Mix>,
    /// By plan.
    pub plans: Vec<PlanMix>,
    /// In the order of the file.
    pub faults: Vec<Fault>,
    /// How the initiators agree, if they do.
    pub accord: Option<Accord>,
    /// The floor of their rules.
    pub floor: BTreeMap<String, Value>,
}

const MS: std::ops::RangeInclusive<f64> = 0.0..=3_600_000.0;
const SHARE: std::ops::RangeInclusive<f64> = 0.0..=1.0;

impl Day {
    /// Reads a day's file, and the base that it names in the same folder. Returns the text that holds the
    /// site's part too.
    ///
    /// # Errors
    /// A file can't be read, or everything that is wrong with one.
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

    /// Reads a day. Names are for messages. With a base, the day's own text holds `day` and faults only.
    ///
    /// # Errors
    /// Everything that is wrong with the base or, if that is sound, with the day.
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
        // Left to the initiators.
        root.block("bounds");
        let none = Source::new("", "");
        let empty = none.parse().expect("nothing is a document");
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
            accord: None,
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
        self.accord = root.block("agreement").map(|b| read_accord(&b, &self));
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

    /// What the audit asks for.
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

    /// Times the usual traffic of a plan, at a moment of the day in seconds.
    pub fn factor(&self, plan: u16, at: f64) -> f64 {
        let on = self.faults.iter().filter(|f| f.at <= at && at < f.at + f.length);
        let times = on.map(|f| match f.trouble {
            Trouble::Burst(None, times) => times,
            Trouble::Burst(Some(p), times) if p == plan => times,
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
            remembers: b.integer("remembers", 0..=10_000, Some(0)) as usize,
            put_off: b.number("put-off", 0.0..=0.99, Some(0.0)),
            put_off_every: Micros::from_ms(b.number("put-off-every-ms", 1.0..=1e6, Some(2000.0))),
            overload_multiple: s.overload_multiple,
            slow_start_window: Micros::from_ms(s.slow_start_window),
            // The stated units, at the most work that they may hold.
            fall_work: s.slow_start_min_units * unit_work * 1000.0,
        },
        habits: Habits {
            unit_work: unit_work * 1000.0,
            spread: b.range("spread", 0.0..=1000.0, Some((0.6, 1.4))),
            report_every: Micros::from_ms(b.number("report-ms", 1.0..=1e6, Some(500.0))),
            report_late: Micros::from_ms(b.number("report-late-ms", MS, Some(0.0))),
            report_noise: b.number("report-noise", 0.0..=0.9, Some(0.0)),
            connections: b.integer("connections", 1..=1_000_000, Some(10_000)) as usize,
            handshake: b.number("handshake-us", 0.0..=1e7, Some(0.0)),
            cancels: b.flag("cancels", true),
            window: Micros::from_ms(windows.fold(10_000.0, f64::max)),
        },
        list_late: Micros::from_ms(b.number("list-late-ms", MS, Some(500.0))),
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
        manners: b.choice("manners", &Manners::CHOICE, Some(None)).flatten().unwrap_or_default(),
        patience: b.range("patience-ms", MS, Some((0.0, 0.0))),
        honour: b.number("honour", SHARE, Some(1.0)),
        payload: b.integer("payload-bytes", 8..=1 << 20, Some(64)) as usize,
        barrier_every: b.integer("barrier-every", 0..=1 << 40, Some(0)),
        flush_every: b.integer("flush-every", 0..=1 << 40, Some(0)),
    };
    b.reject_unknown_keys();
    traffic
}

fn read_accord(b: &Block<'_>, day: &Day) -> Accord {
    let ms = |key, default| Micros::from_ms(b.number(key, 50.0..=600_000.0, Some(default)));
    let accord = Accord {
        keepers: b.integer("keepers", 1..=5, Some(3)) as u32,
        lease: ms("lease-ms", 1000.0),
        election: ms("election-ms", 250.0),
        clock_error: b.number("clock-error", 0.0..=0.1, Some(0.001)),
    };
    if accord.keepers > day.site.site.settings.initiators {
        b.report(format!("keepers is {}, expected at most the site's initiators", accord.keepers));
    }
    b.reject_unknown_keys();
    accord
}

#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md, \"Readable code\"")]
fn read_fault(b: &Block<'_>, day: &Day) -> Option<Fault> {
    let name = b.name();
    let share = |b: &Block<'_>| b.number("share", SHARE, Some(1.0));
    let class = |b: &Block<'_>| {
        let names = &day.site.site.classes;
        let expected = "the name of a class";
        b.parsed("class", expected, None, |t| names.iter().position(|c| c.name == t)).unwrap_or(0)
    };
    let node = |on: String, off: &str| Trouble::Node(on, off.to_owned());
    let list = |on: &str, off: &str| Trouble::List(on.to_owned(), off.to_owned());
    let trouble = match &name[..] {
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
        "crash" => Trouble::Crash,
        "replace" => Trouble::Replace,
        "list-silent" => list("silent 1", "silent 0\ncut"),
        "list-fails" => list("fail 1", "fail 0"),
        "list-cut" => list("cut", ""),
        "list-late" => {
            let ms = b.number("ms", MS, None);
            Trouble::List(format!("late {ms}"), format!("late {}", day.fleet.list_late.ms()))
        }
        "kill-initiator" => Trouble::KillInitiator,
        "restart-initiator" => Trouble::RestartInitiator,
        "cut-initiator" => Trouble::CutInitiator,
        "pause-initiator" => Trouble::PauseInitiator,
        "change" => Trouble::Change(b.assignments("set", |key, _| match narrowing_of(key) {
            Some(_) => Ok(()),
            None => Err(format!("{key:?} is no key of the rules, see docs/agreement.md")),
        })),
        "burst" => Trouble::Burst(None, b.number("times", 0.0..=1000.0, None)),
        "plan-burst" => {
            let names = &day.site.site.plans;
            let plan = b.parsed("plan", "the name of a plan", None, |t| names.iter().position(|p| p == t));
            Trouble::Burst(Some(plan.unwrap_or(0) as u16), b.number("times", 0.0..=1000.0, None))
        }
        "" => return None,
        _ => {
            b.report(
                "no such fault; there are pauses, stall, slow, neighbour, drop, hang, errors, full, refuse, deaf, \
                 reset, cut-in, cut-out, heavy, crash, replace, list-silent, list-fails, list-cut, list-late, kill-initiator, \
                 restart-initiator, cut-initiator, pause-initiator, change, burst, plan-burst"
                    .into(),
            );
            return None;
        }
    };
    let places = |key, count: u32| -> Vec<u32> {
        b.integers(key, 0..=u64::from(count).saturating_sub(1)).into_iter().map(|n| n as u32).collect()
    };
    let nodes = places("nodes", day.fleet.nodes);
    let initiators = places("initiators", day.site.site.settings.initiators);
    let of_nodes = matches!(trouble, Trouble::Node(..) | Trouble::Crash | Trouble::Replace);
    let agreement = matches!(trouble, Trouble::CutInitiator | Trouble::PauseInitiator | Trouble::Change(_));
    if agreement && day.accord.is_none() {
        b.report("there is no agreement, expected the block".into());
    }
    let of_initiators = matches!(
        trouble,
        Trouble::KillInitiator | Trouble::RestartInitiator | Trouble::CutInitiator | Trouble::PauseInitiator
    );
    if of_nodes == nodes.is_empty() {
        b.report(format!(
            "nodes {}",
            if of_nodes { "is missing, expected one or more" } else { "has no place here" }
        ));
    }
    if of_initiators == initiators.is_empty() {
        let message = if of_initiators { "is missing, expected one or more" } else { "has no place here" };
        b.report(format!("initiators {message}"));
    }
    let at = b.number("at", 0.0..=86_400.0, None);
    let length = b.number("for", 0.0..=86_400.0, Some(0.0));
    b.reject_unknown_keys();
    Some(Fault { name, at, length, nodes, initiators, trouble })
}
