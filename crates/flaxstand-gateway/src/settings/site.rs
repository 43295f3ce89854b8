//! Reads the part of a settings file that all initiators of a site share. A simulated day contains the same
//! part.

use super::class::{ClassBlock, PlanBlock, check_limit_burst, read_class, read_plan};
use super::reader::Block;
use super::units::{MILLISECONDS, POSITIVE_MILLISECONDS};
use crate::core::{BackoffBounds, ClassInfo, Site, Timeouts, WriteBack};
use crate::machine::Micros;
use flaxstand::api::{Class, Plan, RetryBudget, Settings};
use flaxstand_overload::RetryThrottleConfig;
use flaxstand_write_back::BufferLimits;
use std::collections::BTreeSet;

/// Tolerances with which an audit checks rules that the decision module enforces.
#[derive(Clone, Debug, Default)]
pub struct AuditTolerances {
    /// New attempts may be sent to a node for this long after its draining or removal was received.
    pub drain_grace: Micros,
    /// Number of units by which the limit may be exceeded, by plan.
    pub limit_slack: Vec<f64>,
}

/// The shared part of a settings file.
#[derive(Clone, Debug)]
pub struct SiteFile {
    /// Settings of the initiators.
    pub site: Site,
    /// Settings of the audit.
    pub audit: AuditTolerances,
}

/// Reads the blocks `site`, `class`, `plan`, `buffer` and `storm`.
pub fn read_site(root: &Block<'_>) -> SiteFile {
    let class_blocks = root.blocks("class");
    let plan_blocks = root.blocks("plan");
    if class_blocks.is_empty() {
        root.report("class is missing, expected one or more".into());
    }
    if plan_blocks.is_empty() {
        root.report("plan is missing, expected one or more".into());
    }
    let read_class = |block| {
        let ClassBlock { info, class } = read_class(block);
        (info, class)
    };
    let (classes, module_classes): (Vec<ClassInfo>, Vec<Class>) = class_blocks.iter().map(read_class).unzip();
    let plans: Vec<PlanBlock> = plan_blocks.iter().map(read_plan).collect();
    let plan_names: Vec<String> = plans.iter().map(|plan| plan.name.clone()).collect();
    let limit_slack = plans.iter().map(|plan| plan.limit_slack).collect();
    report_duplicates(root, "class", classes.iter().map(|class| &class.name));
    report_duplicates(root, "plan", plan_names.iter());

    let module_plans: Vec<Plan> = plans.into_iter().map(|plan| plan.plan).collect();
    let defaults = default_settings(module_classes, module_plans);
    let mut audit = AuditTolerances { limit_slack, ..AuditTolerances::default() };
    let (settings, timeouts) = match root.required_block("site") {
        Some(block) => {
            let settings = read_settings(&block, defaults);
            let timeouts = read_timeouts(&block);
            audit.drain_grace = Micros::from_ms(block.number("drain-grace-ms", MILLISECONDS, Some(1000.0)));
            block.reject_unknown_keys();
            (settings, timeouts)
        }
        None => (defaults, Timeouts::default()),
    };
    for (block, plan) in plan_blocks.iter().zip(&settings.plans) {
        check_limit_burst(block, plan, settings.max_units);
    }
    let write_back = read_write_back(root, &classes);
    let retry_throttle = read_retry_throttle(root.block("storm").as_ref(), settings.max_retry_after);
    let site = Site { settings, classes, plans: plan_names, timeouts, write_back, retry_throttle };
    SiteFile { site, audit }
}

/// Reports classes or plans with the same name: rules, which refer to names, would be ambiguous.
fn report_duplicates<'a>(root: &Block<'_>, key: &str, names: impl Iterator<Item = &'a String>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            root.report(format!("{key} {name:?} is given twice"));
        }
    }
}

/// Returns the settings without a `site` block. They also apply to keys that such a block omits, unless the
/// key has a default of its own.
fn default_settings(classes: Vec<Class>, plans: Vec<Plan>) -> Settings {
    Settings {
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
    }
}

fn read_settings(block: &Block<'_>, defaults: Settings) -> Settings {
    let list_modes = [("pushed", false), ("on-request", true)];
    let mut settings = Settings {
        initiators: block.integer("initiators", 1..=1 << 20, None) as u32,
        polls_list: block.choice("list", &list_modes, Some(false)).unwrap_or(false),
        poll_within: block.number("ask-within-ms", POSITIVE_MILLISECONDS, Some(10_000.0)),
        max_attempts: block.integer("max-attempts", 1..=100, Some(3)) as u32,
        max_concurrent_attempts: if block.flag("second-copies", false) { 2 } else { 1 },
        may_cancel: block.flag("cancel", false),
        may_probe: block.flag("probes", false),
        max_retry_after: block.number("retry-after-most-ms", MILLISECONDS, Some(0.0)),
        key_cooldown: block.number("key-rest-ms", MILLISECONDS, Some(0.0)),
        mean_units: block.number("unit-mean", 1.0..=1e6, Some(1.0)),
        max_units: block.number("unit-most", 1.0..=1e6, Some(1.0)),
        shared_weight: block.number("share-worth", 0.0..=1.0, Some(0.3)),
        spare_weight: block.number("spare-worth", 0.0..=1.0, Some(0.1)),
        tick: block.number("tick-ms", 0.0..=1000.0, Some(1.0)),
        ..defaults
    };
    if settings.max_concurrent_attempts > 1 && settings.max_attempts < 2 {
        block.report("second-copies is #true, expected max-attempts 2 or more, it is 1".into());
    }
    if settings.mean_units > settings.max_units {
        let (mean, max) = (settings.mean_units, settings.max_units);
        block.report(format!("unit-mean is {mean}, expected at most unit-most, {max}"));
    }
    read_slow_start(block, &mut settings);
    settings.retry_budget = read_retry_budget(block);
    settings
}

fn read_slow_start(block: &Block<'_>, settings: &mut Settings) {
    let Some(cold) = block.block("cold") else { return };
    settings.initial_capacity = cold.number("from", 0.001..=1.0, None);
    settings.warm_up_time = cold.number("warm-ms", POSITIVE_MILLISECONDS, None);
    settings.overload_multiple = cold.number("fall-multiple", 0.001..=1000.0, None);
    settings.slow_start_window = cold.number("fall-ms", POSITIVE_MILLISECONDS, None);
    settings.slow_start_min_units = cold.number("bears-units", 0.0..=1e6, Some(0.0));
    cold.reject_unknown_keys();
}

fn read_retry_budget(block: &Block<'_>) -> Option<RetryBudget> {
    let budget = block.block("budget")?;
    let retry_budget = RetryBudget {
        floor: budget.number("floor", 0.0..=1e6, Some(0.0)),
        ratio: budget.number("ratio", 0.0..=100.0, None),
        span: budget.number("span-ms", POSITIVE_MILLISECONDS, None),
    };
    budget.reject_unknown_keys();
    Some(retry_budget)
}

fn read_timeouts(block: &Block<'_>) -> Timeouts {
    let defaults = Timeouts::default();
    let Some(block) = block.block("waits") else { return defaults };
    let timeout =
        |key, default: Micros| Micros::from_ms(block.number(key, POSITIVE_MILLISECONDS, Some(default.ms())));
    let timeouts = Timeouts {
        connect_timeout: timeout("dial-ms", defaults.connect_timeout),
        greeting_timeout: timeout("greeting-ms", defaults.greeting_timeout),
        node_idle_timeout: timeout("idle-ms", defaults.node_idle_timeout),
        response_margin: timeout("answer-ms", defaults.response_margin),
        discovery_idle_timeout: timeout("list-silence-ms", defaults.discovery_idle_timeout),
        discovery_backoff: BackoffBounds {
            min: timeout("list-retry-ms", defaults.discovery_backoff.min),
            max: timeout("list-retry-most-ms", defaults.discovery_backoff.max),
        },
        shutdown_timeout: timeout("stop-ms", defaults.shutdown_timeout),
        ..defaults
    };
    block.reject_unknown_keys();
    timeouts
}

/// Reads the block `storm`. `max_retry_after_ms` is the longest Retry-After sent to a client, ms.
fn read_retry_throttle(block: Option<&Block<'_>>, max_retry_after_ms: f64) -> Option<RetryThrottleConfig> {
    let max_retry_after = Micros::from_ms(max_retry_after_ms);
    let defaults = RetryThrottleConfig { max_retry_after, ..RetryThrottleConfig::default() };
    let Some(block) = block else { return Some(defaults) };
    let is_throttling = block.flag("damping", true);
    let default_memory = defaults.retry_memory.ms();
    let config = RetryThrottleConfig {
        retry_weight: block.number("repeat-worth", 0.0..=1.0, Some(defaults.retry_weight)),
        retry_share: block.number("repeat-share", 0.0..=10.0, Some(defaults.retry_share)),
        retry_floor: block.number("repeat-floor", 0.0..=1e6, Some(defaults.retry_floor)),
        retry_memory: Micros::from_ms(block.number(
            "patience-ms",
            POSITIVE_MILLISECONDS,
            Some(default_memory),
        )),
        max_remembered: block.integer("remembered", 1..=1 << 24, Some(defaults.max_remembered as u64))
            as usize,
        ..defaults
    };
    block.reject_unknown_keys();
    is_throttling.then_some(config)
}

fn read_write_back(root: &Block<'_>, classes: &[ClassInfo]) -> Option<WriteBack> {
    let is_needed = classes.iter().any(|class| class.is_buffered);
    let write_back = root.block("buffer").map(|block| {
        if !is_needed {
            block.report("block is set, expected at least one buffered class".into());
        }
        read_buffer(&block)
    });
    is_needed.then(|| write_back.unwrap_or_default())
}

fn read_buffer(block: &Block<'_>) -> WriteBack {
    let defaults = BufferLimits::default();
    let time = |key, default: Micros| Micros::from_ms(block.number(key, MILLISECONDS, Some(default.ms())));
    let bytes = |key, default| block.integer(key, 1..=1 << 40, Some(default));
    let volumes = block.integers("volumes", 0..=u64::MAX >> 1);
    let flush_modes = [("nodes", false), ("here", true)];
    let limits = BufferLimits {
        max_bytes: bytes("bytes", defaults.max_bytes),
        max_volume_bytes: bytes("volume-bytes", defaults.max_volume_bytes),
        target_age: Micros::from_ms(block.number(
            "age-ms",
            POSITIVE_MILLISECONDS,
            Some(defaults.target_age.ms()),
        )),
        merge_delay: time("linger-ms", defaults.merge_delay),
        record_delay: time("record-linger-ms", defaults.record_delay),
        max_ack_delay: time("slow-ms", defaults.max_ack_delay),
        max_waiting: block.integer("waiting", 1..=1 << 24, Some(defaults.max_waiting as u64)) as usize,
        flush_when_durable: block.choice("flush", &flush_modes, Some(false)).unwrap_or(false),
    };
    if limits.merge_delay > limits.target_age {
        let (linger, age) = (limits.merge_delay.ms(), limits.target_age.ms());
        block.report(format!("linger-ms is {linger}, expected at most age-ms, {age}"));
    }
    block.reject_unknown_keys();
    WriteBack { limits, volumes: (!volumes.is_empty()).then(|| volumes.into_iter().collect()) }
}
