//! Tests of the workers' protocol.

use std::rc::Rc;

use super::*;
use salttiller_records::model::JobId;
use serde_json::json;

#[test]
fn heartbeats_are_validated() {
    let good = json!({"tiller":"m-1","address":"x","plot":"g8","field":"a","fallow":true,
        "season":1,"tally":8,"brand":4,"reclaimS":2.5,"new":1,
        "sheaves":[{"sheaf":"req-1/3","sowing":2,"stage":"running"},
                   {"sheaf":"req-1/4","sowing":2,"stage":"brewing"},
                   {"sheaf":"req-2/0","sowing":1,"stage":"ended","blight":"stopped","stored":true}]});
    let r = parse_heartbeat(&rmp_serde::to_vec(&good).unwrap()).unwrap();
    assert_eq!(
        (r.id, r.token, r.interruption_in),
        (
            HeartbeatId {
                incarnation: 1,
                sequence: 8
            },
            4,
            Some(2_500_000)
        )
    );
    assert_eq!(r.tasks[1].state, ReportedState::Running);
    assert_eq!(
        r.tasks[2].state,
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
        let mut bad = good.clone();
        bad[field] = value;
        assert!(
            parse_heartbeat(&rmp_serde::to_vec(&bad).unwrap()).is_err(),
            "{field}"
        );
    }
    let mut bad = good.clone();
    bad["sheaves"][1]["sheaf"] = json!("odd");
    let error = parse_heartbeat(&rmp_serde::to_vec(&bad).unwrap()).unwrap_err();
    assert!(error.to_string().contains("sheaves.1.sheaf"), "{error}");
    assert!(parse_heartbeat(b"\xc1nonsense").is_err());
}

#[test]
fn a_response_with_the_most_commands_stays_small() {
    let job: JobId = Rc::from("req-12345678901234567890");
    let cmds: Vec<_> = (0..MAX_COMMANDS as u32)
        .map(|i| Command::stop(job.clone(), 99_999 - i, u64::MAX, 10_000_000))
        .collect();
    // Limits are counted in JSON, which is longer than what is sent.
    let v: serde_json::Value = rmp_serde::from_slice(&encode_commands(u64::MAX, &cmds)).unwrap();
    assert!(v.to_string().len() < 64 * 1024);
}

/// Heartbeats as bytes: every state and exit reason, what may be left out, and what is refused.
#[test]
fn heartbeats_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/reports.hex"));
    let task = |job: &str, task, attempt, stage| ReportedTask {
        job: Rc::from(job),
        task,
        attempt,
        state: stage,
    };
    let stages = [
        ReportedState::Fetching,
        ReportedState::WaitingForGang,
        ReportedState::Running,
        ReportedState::Checkpointing,
        ReportedState::Running,
    ];
    let ends = [
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
        .zip(stages)
        .map(|(n, stage)| task("req-7", n, u64::from(n) + 1, stage))
        .collect();
    tasks.extend((0..).zip(ends).map(|(n, end)| {
        task(
            "req-000412",
            n,
            300 + u64::from(n),
            ReportedState::Ended(end),
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
    let least = Heartbeat {
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
    let nulls = Heartbeat {
        tasks: vec![task(
            "req-1",
            0,
            4,
            ReportedState::Ended(ExitReason::Failed),
        )],
        ..least.clone()
    };
    for (name, report) in [("full", full), ("least", least), ("nulls", nulls)] {
        let bytes = &files[name];
        assert_eq!(parse_heartbeat(bytes).ok(), Some(report), "{name}");
        for length in 0..bytes.len() {
            assert_eq!(
                parse_heartbeat(&bytes[..length]).ok(),
                None,
                "{name} cut to {length}"
            );
        }
    }
    let refused = files.iter().filter(|(n, _)| n.starts_with("refused "));
    assert_eq!(refused.clone().count(), 11);
    for (name, bytes) in refused {
        assert_eq!(parse_heartbeat(bytes).ok(), None, "{name}");
    }
}

/// Responses to heartbeats as bytes: with each command, and redirects.
#[test]
fn responses_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/answers.hex"));
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
    assert_eq!(files.len(), cases.len());
    for (name, written) in cases {
        assert_eq!(written, files[name], "{name}");
    }
}
