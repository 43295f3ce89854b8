//! Configurations of the core, and requests of clients.

use super::ms;
use flaxstand::api::{Class, DeduplicationScope, Effect, Plan, Settings};
use flaxstand_gateway::core::{Bounds, ClassInfo, Config, Policy, Site, Timeouts, Wire};

pub fn config() -> Config {
    let class = |effect| Class {
        latency_objective: 200.0,
        objective_stretch: 0.0,
        deadline: 1000.0,
        late_value: 0.2,
        priority_weight: 1.0,
        effect,
        in_order: false,
    };
    let info = |name: &str, stream| ClassInfo { name: name.into(), is_streamed: stream, is_buffered: false };
    let settings = Settings {
        initiators: 1,
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce), class(Effect::Idempotent)],
        plans: vec![Plan {
            base_rate: 100.0,
            reserve_rate: 100.0,
            limit_rate: 0.0,
            limit_burst: 0.0,
            priority_factor: 1.0,
        }],
        polls_list: false,
        poll_within: 10_000.0,
        notification_terms: None,
        max_attempts: 3,
        max_concurrent_attempts: 1,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 300.0,
        initial_capacity: 0.2,
        warm_up_time: 5000.0,
        overload_multiple: 4.0,
        slow_start_window: 1000.0,
        slow_start_min_units: 4.0,
        key_cooldown: 0.0,
        retry_budget: None,
        mean_units: 1.0,
        max_units: 4.0,
        shared_weight: 0.3,
        spare_weight: 0.1,
        tick: 1.0,
    };
    Config {
        name: "tested".into(),
        index: 0,
        epoch: 1,
        calendar: 0,
        seed: 3,
        discovery_address: "127.0.0.1:1".parse().unwrap(),
        site: Site {
            settings,
            classes: vec![info("read", false), info("once", false), info("stream", true)],
            plans: vec!["plan".into()],
            timeouts: Timeouts::default(),
            write_back: None,
            retry_throttle: None,
        },
        bounds: Bounds::default(),
        policy: Policy::Module,
        wire: Wire::Frames,
        consensus: None,
    }
}

/// A configuration for the platform's wire, with this maximum long poll of the list in milliseconds.
pub fn platform_config(long_poll_ms: u64) -> Config {
    let mut c = config();
    c.wire = Wire::Platform;
    c.site.settings.polls_list = true;
    c.site.timeouts = Timeouts {
        node_idle_timeout: ms(18_000),
        max_long_poll: ms(long_poll_ms),
        shutdown_grace: ms(1400),
        shutdown_timeout: ms(1600),
        ..c.site.timeouts
    };
    c.site.classes[2].is_streamed = false;
    c
}

/// The platform configuration with "keyed" as its third class: the nodes of a shard drop repeated requests of
/// this class within `window` milliseconds.
pub fn platform_config_with_keyed(long_poll_ms: u64, window: f64) -> Config {
    let mut c = platform_config(long_poll_ms);
    let keyed = Effect::IdempotencyKey { group: DeduplicationScope::Shard, window };
    c.site.settings.classes[2] = Class { effect: keyed, ..c.site.settings.classes[2].clone() };
    c.site.classes[2].name = "keyed".into();
    c
}

pub const PATH: &str = "/api/00000003b4d60021/7f3a9c21e0b4d655";

/// A client's HTTP read request on the platform's wire.
pub fn http_request(id: &str, class: &str, shard: i64, timeout: &str) -> String {
    format!(
        "GET {PATH} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Qos-Policy: plan\r\nX-Timeout: {timeout}\r\nX-Placement: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}

/// The platform configuration with few connections.
pub fn small_platform_config() -> Config {
    let c = platform_config(5000);
    Config { bounds: Bounds { max_clients: 8, max_node_connections: 6, ..c.bounds }, ..c }
}

/// A client's HTTP read request of this class to the shard of node 0.
pub fn request_text(id: &str, class: &str) -> String {
    http_request(id, class, 0, "1.000")
}
