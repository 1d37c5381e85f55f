//! Tests of settings, and settings for tests of other modules.

use super::*;

/// Settings for tests of other modules: three controllers, one zone.
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

#[test]
fn the_platform_file_is_validated() {
    let s = Settings::parse("f", &sample()).unwrap();
    assert_eq!(s.regions(), ["t-0", "t-1", "t-2"]);
    assert!(s.owner_lease_life() + s.worker_lease + 2 * units::SECOND < s.cancellation_deadline);
    let limit = |team: &str| s.team(team).unwrap().limit;
    assert_eq!(limit("guest"), None);
    assert_eq!(limit("red").map(|l| (l.cpus, l.gpus)), Some((8_000_000, 0)));
    // Limits to come, or parts of them, bound what is written from the start.
    for (next, bytes, ops, least) in [
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
        let s = Settings::parse("f", &text).unwrap();
        let got = (s.max_value_bytes, s.max_txn_ops, s.min_store_write_rate);
        assert_eq!(got, (bytes, ops, least), "{next}");
    }
    for (from, to, names) in [
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
        let e = Settings::parse("the-file", &text).unwrap_err().to_string();
        assert!(e.contains("the-file") && e.contains(names), "{from}: {e}");
    }
}

#[test]
fn the_operators_file_is_validated() {
    let ok = parse_operator_settings(
        "i",
        "[classes]\nprecedence = a, b\n[renting]\nidle_s = 30\n",
        OperatorSettings::default(),
    )
    .unwrap();
    assert_eq!(ok.class_precedence, ["a", "b"]);
    assert_eq!(ok.idle_timeout, Some(30 * units::SECOND));
    assert!(!ok.detect_lost_records);
    let deployed = include_str!("../../deploy/recovery.ini");
    let on = parse_operator_settings("i", deployed, OperatorSettings::default()).unwrap();
    assert!(on.detect_lost_records);
    for (text, names) in [
        ("[classes]\nprecedense = a\n", "classes.precedense"),
        ("[renting]\nidle_s = soon\n", "renting.idle_s"),
        ("[renting]\nidle_s = -4\n", "renting.idle_s"),
        ("[renting]\nheadroom = NaN\n", "renting.headroom"),
        ("idle_s = 4\n", "idle_s"),
        ("[recovery]\ndetect = maybe\n", "recovery.detect"),
    ] {
        let e = parse_operator_settings("the-ini", text, OperatorSettings::default())
            .unwrap_err()
            .to_string();
        assert!(e.contains("the-ini") && e.contains(names), "{text}: {e}");
    }
}
