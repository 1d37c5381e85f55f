//! Tests of the worker protocol.

use std::rc::Rc;

use super::*;
use salttiller_records::model::JobId;
use serde_json::json;

/// Guards against malformed heartbeats that are accepted, and against heartbeats that are rejected
/// because of unknown fields or unknown task states. A task in an unknown state counts as running.
#[test]
fn heartbeats_are_validated() {
    let valid = json!({"tiller":"m-1","address":"x","plot":"g8","field":"a","fallow":true,
        "season":1,"tally":8,"brand":4,"reclaimS":2.5,"new":1,
        "sheaves":[{"sheaf":"req-1/3","sowing":2,"stage":"running"},
                   {"sheaf":"req-1/4","sowing":2,"stage":"brewing"},
                   {"sheaf":"req-2/0","sowing":1,"stage":"ended","blight":"stopped","stored":true}]});
    let heartbeat = parse_heartbeat(&rmp_serde::to_vec(&valid).unwrap()).unwrap();
    assert_eq!(
        (heartbeat.id, heartbeat.token, heartbeat.interruption_in),
        (
            HeartbeatId {
                incarnation: 1,
                sequence: 8
            },
            4,
            Some(2_500_000)
        )
    );
    assert_eq!(heartbeat.tasks[1].state, ReportedState::Running);
    assert_eq!(
        heartbeat.tasks[2].state,
        ReportedState::Ended(ExitReason::Stopped { saved: true })
    );
    for (field, value) in [
        ("tiller", json!(3)),
        ("season", json!(-1)),
        ("tally", json!("x")),
        (
            "sheaves",
            json!([{"sheaf":"odd","sowing":1,"stage":"running"}]),
        ),
    ] {
        let mut invalid = valid.clone();
        invalid[field] = value;
        assert!(
            parse_heartbeat(&rmp_serde::to_vec(&invalid).unwrap()).is_err(),
            "expected an invalid value of {field} to be rejected"
        );
    }
    let mut invalid = valid.clone();
    invalid["sheaves"][1]["sheaf"] = json!("odd");
    let error = parse_heartbeat(&rmp_serde::to_vec(&invalid).unwrap()).unwrap_err();
    assert!(error.to_string().contains("sheaves.1.sheaf"), "{error}");
    assert!(parse_heartbeat(b"\xc1nonsense").is_err());
}

/// Guards against a response that exceeds the maximum size of a body although it has no more than
/// `MAX_COMMANDS` commands.
#[test]
fn response_with_max_commands_stays_below_size_limit() {
    let job: JobId = Rc::from("req-12345678901234567890");
    let commands: Vec<_> = (0..MAX_COMMANDS as u32)
        .map(|i| Command::stop(job.clone(), 99_999 - i, u64::MAX, 10_000_000))
        .collect();
    // The limit applies to the response as JSON, which is longer than the MessagePack that is sent.
    let response: serde_json::Value =
        rmp_serde::from_slice(&encode_commands(u64::MAX, &commands)).unwrap();
    assert!(response.to_string().len() < 64 * 1024);
}

/// Guards against a change of the wire format of heartbeats. The fixtures contain a heartbeat with
/// every task state and exit reason, heartbeats whose optional fields are missing or null, and
/// heartbeats that must be rejected. A truncated heartbeat must be rejected, too.
#[test]
fn heartbeats_keep_their_bytes() {
    let fixtures = crate::fixtures::read(include_str!("fixtures/reports.hex"));
    let task = |job: &str, task, attempt, state| ReportedTask {
        job: Rc::from(job),
        task,
        attempt,
        state,
    };
    let states = [
        ReportedState::Fetching,
        ReportedState::WaitingForGang,
        ReportedState::Running,
        ReportedState::Checkpointing,
        ReportedState::Running,
    ];
    let exit_reasons = [
        ExitReason::Done,
        ExitReason::Stopped { saved: true },
        ExitReason::Stopped { saved: false },
        ExitReason::Stopped { saved: false },
        ExitReason::GangMemberLost,
        ExitReason::GangIncomplete,
        ExitReason::NoCapacity,
        ExitReason::AttemptConflict,
        ExitReason::UnknownTask,
        ExitReason::Failed,
        ExitReason::Failed,
    ];
    let mut tasks: Vec<ReportedTask> = (0..)
        .zip(states)
        .map(|(n, state)| task("req-7", n, u64::from(n) + 1, state))
        .collect();
    tasks.extend((0..).zip(exit_reasons).map(|(n, reason)| {
        task(
            "req-000412",
            n,
            300 + u64::from(n),
            ReportedState::Ended(reason),
        )
    }));
    let full = Heartbeat {
        machine: "m-000001".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        id: HeartbeatId {
            incarnation: 1 << 40,
            sequence: 70_000,
        },
        token: 300,
        interruption_in: Some(2_500_000),
        tasks,
    };
    let minimal = Heartbeat {
        machine: "m-2".into(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        id: HeartbeatId {
            incarnation: 1,
            sequence: 2,
        },
        token: 3,
        interruption_in: None,
        tasks: Vec::new(),
    };
    let with_nulls = Heartbeat {
        tasks: vec![task(
            "req-1",
            0,
            4,
            ReportedState::Ended(ExitReason::Failed),
        )],
        ..minimal.clone()
    };
    for (name, heartbeat) in [("full", full), ("least", minimal), ("nulls", with_nulls)] {
        let bytes = &fixtures[name];
        assert_eq!(parse_heartbeat(bytes).ok(), Some(heartbeat), "{name}");
        for length in 0..bytes.len() {
            assert_eq!(
                parse_heartbeat(&bytes[..length]).ok(),
                None,
                "{name} truncated to {length} bytes"
            );
        }
    }
    let rejected = fixtures.iter().filter(|(n, _)| n.starts_with("refused "));
    assert_eq!(rejected.clone().count(), 11);
    for (name, bytes) in rejected {
        assert_eq!(parse_heartbeat(bytes).ok(), None, "{name}");
    }
}

/// Guards against a change of the wire format of responses to heartbeats. The fixtures contain
/// responses without commands and with every command, and redirects.
#[test]
fn responses_keep_their_bytes() {
    let fixtures = crate::fixtures::read(include_str!("fixtures/answers.hex"));
    let job: JobId = Rc::from("req-1");
    let commands = [
        Command::start(job.clone(), 3, 2),
        Command::stop(job.clone(), 4, 70_000, 2_500_000),
        Command::stop(job, 5, 1, 0),
        Command::reap(Rc::from("req-000412"), 99_999, 1 << 40),
    ];
    let cases = [
        ("no command", encode_commands(7, &[])),
        ("every command", encode_commands(1 << 40, &commands)),
        ("elsewhere", encode_redirect(Some("t-1"))),
        ("elsewhere unknown", encode_redirect(None)),
    ];
    assert_eq!(fixtures.len(), cases.len());
    for (name, encoded) in cases {
        assert_eq!(encoded, fixtures[name], "{name}");
    }
}
