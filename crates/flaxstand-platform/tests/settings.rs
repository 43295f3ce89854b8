//! Settings that differ from the recorded ones: invalid values are rejected with their key, and unusual but
//! valid values are accepted.

use flaxstand::api::Effect;
use flaxstand_platform::Configuration;
use serde_json::{Value, json};

fn configuration() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 128},
        "known": {"rev": 0, "all": true, "targets": []},
        "settings": {
            "balancers": 3, "registryMode": "on_request", "tickMs": 2.0,
            "classes": [
                {"name": "tile", "aimMs": 100.0, "deadlineMs": 400.0, "worth": 1.0, "semantics": "repeatable"},
                {"name": "order", "aimMs": 300.0, "deadlineMs": 900.0, "worth": 4.0, "semantics": "by_key",
                 "group": "zone", "dedupWindowMs": 700.0}
            ],
            "grades": [{"name": "ferries", "price": 1.0}, {"name": "pilots", "price": 2.0}],
            "caps": {"maxAttempts": 2, "dialTimeoutMs": 250.0, "keepaliveMs": 6000.0},
            "rules": {"askWithinMs": 10000.0, "coldFrom": 0.2, "coldMs": 5000.0, "fallMs": 1000.0, "fallMultiple": 2.0},
            "familyInfo": {"unitMean": 1.0, "mostUnits": 8}
        }
    })
}

/// Reads the configuration with the value at the pointer replaced, or removed if `value` is `None`.
fn read_with(pointer: &str, value: Option<Value>) -> Result<Configuration, String> {
    let mut configuration = configuration();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = configuration.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Object(fields), Some(value)) => drop(fields.insert(key.to_owned(), value)),
        (Value::Object(fields), None) => drop(fields.remove(key).expect("the key exists")),
        (Value::Array(list), Some(value)) => list[key.parse::<usize>().unwrap()] = value,
        _ => panic!("{pointer}"),
    }
    Configuration::read(&configuration.to_string()).map_err(|e| e.to_string())
}

#[test]
fn invalid_values_are_rejected_with_their_key() {
    let class = json!({"name": "tile", "aimMs": 1.0, "deadlineMs": 2.0, "semantics": "once"});
    for (pointer, value, expected) in [
        ("/settings/classes/0/aimMs", Some(json!(-5.0)), "classes[0].aimMs: expected more than 0, not -5"),
        ("/settings/classes/1/deadlineMs", Some(json!(0.0)), "classes[1].deadlineMs: expected more than 0"),
        (
            "/settings/classes/1/dedupWindowMs",
            Some(json!(-1.0)),
            "classes[1].dedupWindowMs: expected 0 or more",
        ),
        ("/settings/classes/0/semantics", Some(json!("sometimes")), "unknown variant `sometimes`"),
        ("/settings/classes/0/semantics", None, "missing field `semantics`"),
        ("/settings/classes/0/deadlineMs", None, "missing field `deadlineMs`"),
        ("/settings/classes/1", Some(class), "classes[1].name: duplicate name \"tile\""),
        ("/settings/classes/0/name", Some(json!("")), "classes[0].name: expected a non-empty name"),
        ("/settings/classes", Some(json!([])), "classes: expected one or more, found none"),
        (
            "/settings/grades/0/ceilingRate",
            Some(json!(-3.0)),
            "grades[0].ceilingRate: expected 0 or more, not -3",
        ),
        ("/settings/grades/1/name", Some(json!("ferries")), "grades[1].name: duplicate name \"ferries\""),
        ("/settings/caps/maxAttempts", Some(json!(0)), "caps.maxAttempts: expected 1 or more, not 0"),
        ("/settings/caps/maxAttempts", Some(json!(-1)), "invalid value: integer `-1`"),
        ("/settings/caps/keepaliveMs", Some(json!(-1.0)), "caps.keepaliveMs: expected 0 or more"),
        ("/settings/rules/askWithinMs", Some(json!(-1.0)), "rules.askWithinMs: expected 0 or more"),
        (
            "/settings/rules/furtherRatio",
            Some(json!(0.1)),
            "rules.budgetSpanMs: expected a value, as rules.extraFloor or rules.furtherRatio is set",
        ),
        ("/settings/registryMode", Some(json!("guessed")), "unknown variant `guessed`"),
        ("/limits/sockets", Some(json!(20)), "limits.sockets: expected 64 or more, not 20"),
        ("/limits/memory_mb", None, "missing field `memory_mb`"),
        ("/seed", Some(json!("xyz")), "seed: expected hex digits"),
    ] {
        let error =
            read_with(pointer, value).err().unwrap_or_else(|| panic!("{pointer}: invalid value accepted"));
        assert!(error.contains(expected), "{pointer}: {error}");
        let has_position = error.contains("line") || error.contains(": ");
        assert!(has_position, "{error}");
    }
}

#[test]
fn unusual_but_valid_values_are_accepted() {
    for (pointer, value) in [
        ("/settings/grades", json!([])),
        ("/settings/grades/0/ceilingRate", json!(0.0)),
        (
            "/settings/classes",
            json!([{"name": "all", "aimMs": 9.5, "deadlineMs": 90_000.0, "semantics": "once"}]),
        ),
        ("/settings/rules", json!({})),
        ("/settings/familyInfo", json!({})),
        ("/settings/balancers", json!(0)),
        ("/settings/caps", json!({"maxAttempts": 1})),
        ("/settings/registryMode", json!("pushed")),
    ] {
        let read = read_with(pointer, Some(value));
        assert!(read.is_ok(), "{pointer}: {}", read.err().unwrap());
    }
    let settings = Configuration::read(&configuration().to_string()).unwrap().settings.settings().unwrap();
    assert!(matches!(settings.classes[1].effect, Effect::IdempotencyKey { window, .. } if window == 700.0));
}
