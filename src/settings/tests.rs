//! Tests of the settings files, and sample settings for tests of other modules.

use super::*;

/// Platform settings in JSON for tests of other modules, with three controllers in one zone.
pub fn sample() -> String {
    serde_json::json!({
        "host_name": "t-0", "area": "a", "front": "127.0.0.1:7000", "mesh_addr": "127.0.0.1:7001",
        "others": [{"host_name": "t-1", "area": "a", "addr": "127.0.0.1:7011"},
                   {"host_name": "t-2", "area": "a", "addr": "127.0.0.1:7021"}],
        "outside": {"cloud": "127.0.0.1:7100", "state": "127.0.0.1:7200"},
        "facts": {"size": 3, "zones": ["a"], "later": 1,
            "teams": [{"name": "red", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "blue", "cpus": 4.0, "cpus_max": 16.0, "gpus": 1.0, "gpus_max": 2.0},
                      {"name": "guest", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "wait", "class": "x", "within_s": 10.0, "share": 0.9}],
            "workers": {"report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 41.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 4.0, "txn_ops": 12},
            "cloud": {"rps": 3.0, "list_lag_s": 8.0},
            "quota": {"cores": 0.1, "ram_mb": 56.0, "fd_limit": 500},
            "clock_off_ms": 5.0}
    })
    .to_string()
}

/// Settings of a valid file are derived from its fields, and the upcoming limits of the state
/// service bound the present ones. The error for an invalid value names the file and the field.
#[test]
fn platform_file_is_validated() {
    let settings = Settings::parse("f", &sample()).unwrap();
    assert_eq!(settings.regions(), ["t-0", "t-1", "t-2"]);
    let leases = settings.owner_lease_duration() + settings.worker_lease;
    assert!(leases + 2 * units::SECOND < settings.cancellation_deadline);
    let limit = |team: &str| settings.team(team).unwrap().limit;
    assert_eq!(limit("guest"), None);
    assert_eq!(limit("red").map(|l| (l.cpus, l.gpus)), Some((8_000_000, 0)));
    // The upcoming limits, which may be incomplete, apply from the start if they are lower.
    for (next, bytes, ops, min_write_rate) in [
        ("", 4096, 12, 50.0),
        (r#","next":{}"#, 4096, 12, 50.0),
        (r#","next":{"value_kb":2.0}"#, 2048, 12, 50.0),
        (
            r#","next":{"value_kb":2,"txn_ops":4,"write_rps":18.0,"other":1}"#,
            2048,
            4,
            18.0,
        ),
        (
            r#","next":{"value_kb":64,"txn_ops":400,"write_rps":900}"#,
            4096,
            12,
            50.0,
        ),
    ] {
        let text = sample().replacen(r#""txn_ops":12"#, &format!(r#""txn_ops":12{next}"#), 1);
        let settings = Settings::parse("f", &text).unwrap();
        let limits = (
            settings.max_value_bytes,
            settings.max_txn_ops,
            settings.min_store_write_rate,
        );
        let expected = (bytes, ops, min_write_rate);
        assert_eq!(limits, expected, "limits with upcoming limits {next:?}");
    }
    for (from, to, field) in [
        ("\"127.0.0.1:7000\"", "\"nowhere\"", "front"),
        (
            "\"lease_s\":16.0",
            "\"lease_s\":-1",
            "facts.workers.lease_s",
        ),
        (
            "\"cancel_s\":41.0",
            "\"cancel_s\":16.5",
            "facts.workers.cancel_s",
        ),
        ("\"rps\":100.0", "\"rps\":0", "facts.state.rps"),
        (
            "\"txn_ops\":12",
            "\"txn_ops\":12,\"next\":{\"txn_ops\":2}",
            "facts.state.next.txn_ops",
        ),
        (
            "\"txn_ops\":12",
            "\"txn_ops\":12,\"next\":{\"value_kb\":-1}",
            "facts.state.next.value_kb",
        ),
        (
            "\"host_name\":\"t-1\"",
            "\"host_name\":\"t-0\"",
            "others.0.host_name",
        ),
        ("\"area\":\"a\",\"facts\"", "\"facts\"", "area"),
    ] {
        let text = sample().replacen(from, to, 1);
        let error = Settings::parse("the-file", &text).unwrap_err().to_string();
        assert!(
            error.contains("the-file") && error.contains(field),
            "the error for {to} names the file and {field}: {error}"
        );
    }
}

/// Values of a valid INI file replace the defaults, and the deployed file enables the detection of
/// lost records. The error for an unknown key or invalid value names the file and the key.
#[test]
fn operator_file_is_validated() {
    let settings = parse_operator_settings(
        "i",
        "[classes]\nprecedence = a, b\n[renting]\nidle_s = 30\n",
        OperatorSettings::default(),
    )
    .unwrap();
    assert_eq!(settings.class_precedence, ["a", "b"]);
    assert_eq!(settings.idle_timeout, Some(30 * units::SECOND));
    assert!(!settings.detect_lost_records);
    let deployed = include_str!("../../deploy/recovery.ini");
    let settings = parse_operator_settings("i", deployed, OperatorSettings::default()).unwrap();
    assert!(settings.detect_lost_records);
    for (text, key) in [
        ("[classes]\nprecedense = a\n", "classes.precedense"),
        ("[renting]\nidle_s = soon\n", "renting.idle_s"),
        ("[renting]\nidle_s = -4\n", "renting.idle_s"),
        ("[renting]\nheadroom = NaN\n", "renting.headroom"),
        ("idle_s = 4\n", "idle_s"),
        ("[recovery]\ndetect = maybe\n", "recovery.detect"),
    ] {
        let error = parse_operator_settings("the-ini", text, OperatorSettings::default())
            .unwrap_err()
            .to_string();
        assert!(
            error.contains("the-ini") && error.contains(key),
            "the error for {text:?} names the file and {key}: {error}"
        );
    }
}
