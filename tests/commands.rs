//! Tests of the program's commands: their output, and the exit codes that scripts rely on.

// clippy.toml allows these lints in test functions only, not in the helpers of tests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing)]

use std::net::TcpListener;
use std::process::{Command, Output};

const SETTINGS: &str = "docs/examples/settings.json";

fn salttiller(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_salttiller"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("expected the program to start")
}

/// Returns an address on which nothing listens.
fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("expected a free port");
    listener
        .local_addr()
        .expect("expected a bound listener")
        .to_string()
}

/// Guards against changed exit codes, on which scripts rely, and against error messages that do not
/// name the cause.
#[test]
fn exit_codes() {
    let closed = closed_address();
    let cases: &[(&[&str], i32, &str)] = &[
        (&[], 2, "--config <FILE>"),
        (&["--unknown"], 2, "unexpected argument"),
        (&["check", "--config", SETTINGS], 0, ""),
        (&["check", "--config", "none.json"], 1, "none.json"),
        (&["check", "--config", "Cargo.toml"], 1, "Cargo.toml"),
        (&["--config", "none.json"], 1, "none.json"),
        (&["status", &closed], 1, &closed),
        (&["status", "nowhere"], 2, "invalid value"),
    ];
    for (arguments, code, stderr) in cases {
        let output = salttiller(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(*code),
            "{arguments:?}: expected exit code {code}, stderr: {errors}"
        );
        assert!(
            errors.contains(stderr),
            "{arguments:?}: expected stderr to contain {stderr:?}, got {errors}"
        );
    }
}

/// Guards against changes of the published output of `check`: the text, the names of the JSON
/// fields, and the note on a class that has precedence but no objective.
#[test]
fn check_reports_settings() {
    let ini = "docs/examples/heating-oil.ini";
    let files = ["check", "--ini", ini, "--config", SETTINGS];
    let text = String::from_utf8(salttiller(&files).stdout).expect("expected UTF-8 output");
    assert_eq!(
        text,
        "controller-0: usable; 3 regions, 2 teams, lease life 15.0 s, precedence: route-solve\n\
         note: classes.precedence: no objective names class route-solve\n"
    );
    let json = salttiller(&[&files[..], &["--json"]].concat()).stdout;
    let document: serde_json::Value = serde_json::from_slice(&json).expect("expected JSON output");
    assert_eq!(
        document,
        serde_json::json!({
            "ok": true, "name": "controller-0",
            "regions": ["controller-0", "controller-1", "controller-2"], "teams": 2,
            "grant_life_ms": 15_000, "precedence": ["route-solve"],
            "precedence_without_aim": ["route-solve"],
        })
    );
}
