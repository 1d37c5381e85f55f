//! Tests of workers.

use super::*;
use serde_json::json;

#[test]
fn reports_good_and_bad() {
    let good = json!({"tiller":"m-1","address":"x","plot":"g8","field":"a","fallow":true,
        "season":1,"tally":8,"brand":4,"reclaimS":2.5,"new":1,
        "sheaves":[{"sheaf":"req-1/3","sowing":2,"stage":"running"},
                   {"sheaf":"req-1/4","sowing":2,"stage":"brewing"},
                   {"sheaf":"req-2/0","sowing":1,"stage":"ended","blight":"stopped","stored":true}]});
    let r = parse_report(&rmp_serde::to_vec(&good).unwrap()).unwrap();
    assert_eq!((r.order, r.token, r.notice), ((1, 8), 4, Some(2_500_000)));
    assert_eq!(r.tasks[1].stage, OnMachine::Running);
    assert_eq!(
        r.tasks[2].stage,
        OnMachine::Ended(End::Stopped { saved: true })
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
            parse_report(&rmp_serde::to_vec(&bad).unwrap()).is_none(),
            "{field}"
        );
    }
    assert!(parse_report(b"\xc1nonsense").is_none());
}

#[test]
fn a_full_answer_stays_small() {
    let job: JobId = Rc::from("req-12345678901234567890");
    let cmds: Vec<_> = (0..MAX_COMMANDS as u32)
        .map(|i| Command::Stop(job.clone(), 99_999 - i, u64::MAX, 10_000_000))
        .collect();
    // Limits are counted in JSON, which is longer than what is sent.
    let v: serde_json::Value = rmp_serde::from_slice(&answer(u64::MAX, &cmds)).unwrap();
    assert!(v.to_string().len() < 64 * 1024);
}

/// Reports as bytes: every stage and reason, what may be left out, and what is refused.
#[test]
fn reports_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/reports.hex"));
    let task = |job: &str, task, attempt, stage| ReportedTask {
        job: Rc::from(job),
        task,
        attempt,
        stage,
    };
    let stages = [
        OnMachine::Fetching,
        OnMachine::Gathering,
        OnMachine::Running,
        OnMachine::Saving,
        OnMachine::Running,
    ];
    let ends = [
        End::Done,
        End::Stopped { saved: true },
        End::Stopped { saved: false },
        End::Stopped { saved: false },
        End::MatesGone,
        End::Incomplete,
        End::Full,
        End::Busy,
        End::Unknown,
        End::Error,
        End::Error,
    ];
    let mut tasks: Vec<ReportedTask> = (0..)
        .zip(stages)
        .map(|(n, stage)| task("req-7", n, u64::from(n) + 1, stage))
        .collect();
    tasks.extend(
        (0..)
            .zip(ends)
            .map(|(n, end)| task("req-000412", n, 300 + u64::from(n), OnMachine::Ended(end))),
    );
    let full = Report {
        machine: "m-000001".into(),
        flavor: "g8".into(),
        zone: "a".into(),
        spot: true,
        order: (1 << 40, 70_000),
        token: 300,
        notice: Some(2_500_000),
        tasks,
    };
    let least = Report {
        machine: "m-2".into(),
        flavor: String::new(),
        zone: String::new(),
        spot: false,
        order: (1, 2),
        token: 3,
        notice: None,
        tasks: Vec::new(),
    };
    let nulls = Report {
        tasks: vec![task("req-1", 0, 4, OnMachine::Ended(End::Error))],
        ..least.clone()
    };
    for (name, report) in [("full", full), ("least", least), ("nulls", nulls)] {
        let bytes = &files[name];
        assert_eq!(parse_report(bytes), Some(report), "{name}");
        for length in 0..bytes.len() {
            assert_eq!(
                parse_report(&bytes[..length]),
                None,
                "{name} cut to {length}"
            );
        }
    }
    let refused = files.iter().filter(|(n, _)| n.starts_with("refused "));
    assert_eq!(refused.clone().count(), 11);
    for (name, bytes) in refused {
        assert_eq!(parse_report(bytes), None, "{name}");
    }
}

/// Answers to reports as bytes, with each command, and where to turn instead.
#[test]
fn answers_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/answers.hex"));
    let job: JobId = Rc::from("req-1");
    let commands = [
        Command::Start(job.clone(), 3, 2),
        Command::Stop(job.clone(), 4, 70_000, 2_500_000),
        Command::Stop(job, 5, 1, 0),
        Command::Reap(Rc::from("req-000412"), 99_999, 1 << 40),
    ];
    let cases = [
        ("no command", answer(7, &[])),
        ("every command", answer(1 << 40, &commands)),
        ("elsewhere", elsewhere(Some("t-1"))),
        ("elsewhere unknown", elsewhere(None)),
    ];
    assert_eq!(files.len(), cases.len());
    for (name, written) in cases {
        assert_eq!(written, files[name], "{name}");
    }
}
