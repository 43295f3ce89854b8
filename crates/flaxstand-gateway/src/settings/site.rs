//! The part of a settings file that all initiators of a site share. A day of the laboratory has the same.

use super::reader::Block;
use crate::core::{ClassInfo, Site, Timeouts, WriteBack};
use crate::machine::Micros;
use flaxstand::api::{Class, DeduplicationScope, Effect, Plan, RetryBudget, Settings};
use flaxstand_overload::RetryThrottleConfig;
use std::collections::BTreeSet;

/// Figures of the rules that the module keeps by itself, and that an audit asks for.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Nothing new to a node later than this after word that it drains or is gone.
    pub drain_grace: Micros,
    /// By plan: units by which a limit may be passed.
    pub limit_slack: Vec<f64>,
}

/// What the shared part holds.
#[derive(Clone, Debug)]
pub struct SiteFile {
    /// For the initiators.
    pub site: Site,
    /// For the audit.
    pub rules: Rules,
}

const MS: std::ops::RangeInclusive<f64> = 0.0..=3_600_000.0;
const POSITIVE_MS: std::ops::RangeInclusive<f64> = 0.1..=3_600_000.0;
const RATE: std::ops::RangeInclusive<f64> = 0.0..=1e9;

/// Reads `site`, `class` and `plan` of a file.
pub fn read_site(root: &Block<'_>) -> SiteFile {
    let classes = root.blocks("class");
    let plan_blocks = root.blocks("plan");
    if classes.is_empty() {
        root.problem("class is missing, expected one or more".into());
    }
    if plan_blocks.is_empty() {
        root.problem("plan is missing, expected one or more".into());
    }
    let (infos, classes): (Vec<ClassInfo>, Vec<Class>) = classes.iter().map(read_class).unzip();
    let (names, plans): (Vec<(String, f64)>, Vec<Plan>) = plan_blocks.iter().map(read_plan).unzip();
    let (plan_names, limit_slack): (Vec<String>, Vec<f64>) = names.into_iter().unzip();
    unique(root, "class", infos.iter().map(|c| &c.name));
    unique(root, "plan", plan_names.iter());
    let empty = Settings {
        initiators: 1,
        classes,
        plans,
        polls_list: false,
        poll_within: 0.0,
        notification_terms: None,
        max_attempts: 1,
        max_concurrent_attempts: 1,
        may_cancel: false,
        may_probe: false,
        max_retry_after: 0.0,
        initial_capacity: 1.0,
        warm_up_time: 0.0,
        overload_multiple: 1.0,
        slow_start_window: 0.0,
        slow_start_min_units: 0.0,
        key_cooldown: 0.0,
        retry_budget: None,
        mean_units: 1.0,
        max_units: 1.0,
        shared_weight: 1.0,
        spare_weight: 1.0,
        tick: 1.0,
    };
    let mut rules = Rules { limit_slack, ..Rules::default() };
    let (settings, waits) = match root.needed("site") {
        Some(b) => {
            let read = (read_settings(&b, empty), read_waits(&b));
            rules.drain_grace = Micros::from_ms(b.number("drain-grace-ms", MS, Some(1000.0)));
            b.finish();
            read
        }
        None => (empty, Timeouts::default()),
    };
    for (block, plan) in plan_blocks.iter().zip(&settings.plans) {
        if plan.limit_rate > 0.0 && plan.limit_burst < settings.max_units {
            let (burst, most) = (plan.limit_burst, settings.max_units);
            block.problem(format!(
                "limit-burst is {burst}, expected at least unit-most, {most}: the largest request could not go"
            ));
        }
    }
    let buffered = infos.iter().any(|c| c.buffered);
    let figures = root.block("buffer").map(|b| {
        if !buffered {
            b.problem("there is a buffer, expected a class that is buffered".into());
        }
        read_write_back(&b)
    });
    let storm = read_storm(root.block("storm").as_ref(), settings.max_retry_after);
    let write_back = buffered.then(|| figures.unwrap_or_default());
    SiteFile { site: Site { settings, classes: infos, plans: plan_names, waits, write_back, storm }, rules }
}

fn unique<'a>(root: &Block<'_>, what: &str, names: impl Iterator<Item = &'a String>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            root.problem(format!("{what} {name:?} is given twice"));
        }
    }
}

fn read_settings(b: &Block<'_>, empty: Settings) -> Settings {
    let lists = [("pushed", false), ("on-request", true)];
    let mut s = Settings {
        initiators: b.whole("initiators", 1..=1 << 20, None) as u32,
        polls_list: b.choice("list", &lists, Some(false)).unwrap_or(false),
        poll_within: b.number("ask-within-ms", POSITIVE_MS, Some(10_000.0)),
        max_attempts: b.whole("max-attempts", 1..=100, Some(3)) as u32,
        max_concurrent_attempts: if b.flag("second-copies", false) { 2 } else { 1 },
        may_cancel: b.flag("cancel", false),
        may_probe: b.flag("probes", false),
        max_retry_after: b.number("retry-after-most-ms", MS, Some(0.0)),
        key_cooldown: b.number("key-rest-ms", MS, Some(0.0)),
        mean_units: b.number("unit-mean", 1.0..=1e6, Some(1.0)),
        max_units: b.number("unit-most", 1.0..=1e6, Some(1.0)),
        shared_weight: b.number("share-worth", 0.0..=1.0, Some(0.3)),
        spare_weight: b.number("spare-worth", 0.0..=1.0, Some(0.1)),
        tick: b.number("tick-ms", 0.0..=1000.0, Some(1.0)),
        ..empty
    };
    if s.max_concurrent_attempts > 1 && s.max_attempts < 2 {
        b.problem("second-copies is #true, expected max-attempts 2 or more, it is 1".into());
    }
    if s.mean_units > s.max_units {
        b.problem(format!("unit-mean is {}, expected at most unit-most, {}", s.mean_units, s.max_units));
    }
    if let Some(cold) = b.block("cold") {
        s.initial_capacity = cold.number("from", 0.001..=1.0, None);
        s.warm_up_time = cold.number("warm-ms", POSITIVE_MS, None);
        s.overload_multiple = cold.number("fall-multiple", 0.001..=1000.0, None);
        s.slow_start_window = cold.number("fall-ms", POSITIVE_MS, None);
        s.slow_start_min_units = cold.number("bears-units", 0.0..=1e6, Some(0.0));
        cold.finish();
    }
    s.retry_budget = b.block("budget").map(|budget| {
        let read = RetryBudget {
            floor: budget.number("floor", 0.0..=1e6, Some(0.0)),
            ratio: budget.number("ratio", 0.0..=100.0, None),
            span: budget.number("span-ms", POSITIVE_MS, None),
        };
        budget.finish();
        read
    });
    s
}

fn read_waits(b: &Block<'_>) -> Timeouts {
    let d = Timeouts::default();
    let Some(b) = b.block("waits") else { return d };
    let wait = |key, default: Micros| Micros::from_ms(b.number(key, POSITIVE_MS, Some(default.ms())));
    let waits = Timeouts {
        dial: wait("dial-ms", d.dial),
        greeting: wait("greeting-ms", d.greeting),
        idle: wait("idle-ms", d.idle),
        answer: wait("answer-ms", d.answer),
        list_silence: wait("list-silence-ms", d.list_silence),
        list_retry: (wait("list-retry-ms", d.list_retry.0), wait("list-retry-most-ms", d.list_retry.1)),
        stop: wait("stop-ms", d.stop),
        ..d
    };
    b.finish();
    waits
}

fn read_storm(b: Option<&Block<'_>>, max_advice: f64) -> Option<RetryThrottleConfig> {
    let d = RetryThrottleConfig { max_advice: Micros::from_ms(max_advice), ..RetryThrottleConfig::default() };
    let Some(b) = b else { return Some(d) };
    let damping = b.flag("damping", true);
    let rules = RetryThrottleConfig {
        retry_weight: b.number("repeat-worth", 0.0..=1.0, Some(d.retry_weight)),
        retry_share: b.number("repeat-share", 0.0..=10.0, Some(d.retry_share)),
        retry_floor: b.number("repeat-floor", 0.0..=1e6, Some(d.retry_floor)),
        retry_memory: Micros::from_ms(b.number("patience-ms", POSITIVE_MS, Some(d.retry_memory.ms()))),
        remembered: b.whole("remembered", 1..=1 << 24, Some(d.remembered as u64)) as usize,
        ..d
    };
    b.finish();
    damping.then_some(rules)
}

fn read_write_back(b: &Block<'_>) -> WriteBack {
    let d = flaxstand_write_back::BufferLimits::default();
    let wait = |key, default: Micros| Micros::from_ms(b.number(key, MS, Some(default.ms())));
    let bytes = |key, default| b.whole(key, 1..=1 << 40, Some(default));
    let volumes = b.wholes("volumes", 0..=u64::MAX >> 1);
    let rules = flaxstand_write_back::BufferLimits {
        max_bytes: bytes("bytes", d.max_bytes),
        max_volume_bytes: bytes("volume-bytes", d.max_volume_bytes),
        target_age: Micros::from_ms(b.number("age-ms", POSITIVE_MS, Some(d.target_age.ms()))),
        merge_delay: wait("linger-ms", d.merge_delay),
        record_delay: wait("record-linger-ms", d.record_delay),
        max_ack_delay: wait("slow-ms", d.max_ack_delay),
        max_waiting: b.whole("waiting", 1..=1 << 24, Some(d.max_waiting as u64)) as usize,
        flush_when_durable: b
            .choice("flush", &[("nodes", false), ("here", true)], Some(false))
            .unwrap_or(false),
    };
    if rules.merge_delay > rules.target_age {
        b.problem(format!(
            "linger-ms is {}, expected at most age-ms, {}",
            rules.merge_delay.ms(),
            rules.target_age.ms()
        ));
    }
    b.finish();
    WriteBack { rules, volumes: (!volumes.is_empty()).then(|| volumes.into_iter().collect()) }
}

fn read_class(b: &Block<'_>) -> (ClassInfo, Class) {
    let groups = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("shard", DeduplicationScope::Shard),
    ];
    #[derive(Clone, Copy)]
    enum Word {
        Repeatable,
        Keyed,
        Once,
    }
    let words = [("repeatable", Word::Repeatable), ("keyed", Word::Keyed), ("once", Word::Once)];
    let effect = match b.choice("effect", &words, None) {
        Some(Word::Keyed) => Effect::IdempotencyKey {
            group: b.choice("group", &groups, None).unwrap_or(DeduplicationScope::Shard),
            window: b.number("window-ms", POSITIVE_MS, None),
        },
        Some(Word::Once) => Effect::AtMostOnce,
        _ => Effect::Idempotent,
    };
    let class = Class {
        latency_objective: b.number("aim-ms", POSITIVE_MS, None),
        objective_stretch: b.number("aim-stretch", 0.0..=1000.0, Some(0.0)),
        deadline: b.number("deadline-ms", POSITIVE_MS, None),
        late_value: b.number("late-value", 0.0..=1.0, Some(0.0)),
        priority_weight: b.number("worth", 0.0..=1e9, Some(1.0)),
        effect,
        in_order: b.flag("in-order", false),
    };
    if class.latency_objective > class.deadline {
        b.problem(format!(
            "aim-ms is {}, expected at most deadline-ms, {}",
            class.latency_objective, class.deadline
        ));
    }
    let buffered = b.flag("buffered", false);
    if buffered && class.effect == Effect::AtMostOnce {
        b.problem(
            "buffered is #true, expected #false for effect \"once\": after a crash it could not be repeated"
                .into(),
        );
    }
    let info = ClassInfo { name: b.name(), stream: b.flag("stream", false), buffered };
    b.finish();
    (info, class)
}

fn read_plan(b: &Block<'_>) -> ((String, f64), Plan) {
    let plan = Plan {
        base_rate: b.number("base-rate", RATE, Some(0.0)),
        reserve_rate: b.number("reserve-rate", RATE, Some(0.0)),
        limit_rate: b.number("limit-rate", RATE, Some(0.0)),
        limit_burst: b.number("limit-burst", RATE, Some(0.0)),
        priority_factor: b.number("price", 0.0..=1e9, Some(1.0)),
    };
    let slack = b.number("limit-slack", RATE, Some(0.0));
    let name = b.name();
    b.finish();
    ((name, slack), plan)
}
