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
    assert_eq!(r.tasks[1].stage, ReportedState::Running);
    assert_eq!(
        r.tasks[2].stage,
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
            parse_heartbeat(&rmp_serde::to_vec(&bad).unwrap()).is_none(),
            "{field}"
        );
    }
    assert!(parse_heartbeat(b"\xc1nonsense").is_none());
}

#[test]
fn a_full_answer_stays_small() {
    let job: JobId = Rc::from("req-12345678901234567890");
    let cmds: Vec<_> = (0..MAX_COMMANDS as u32)
        .map(|i| Command::stop(job.clone(), 99_999 - i, u64::MAX, 10_000_000))
        .collect();
    // Limits are counted in JSON, which is longer than what is sent.
    let v: serde_json::Value = rmp_serde::from_slice(&answer(u64::MAX, &cmds)).unwrap();
    assert!(v.to_string().len() < 64 * 1024);
}
