//! Tests of the JSON form of the status page.

use super::*;

/// Guards against a change of the JSON that `salttiller status --json` prints, which scripts
/// parse. The output is compared with the fixtures byte for byte.
#[test]
fn status_page_json_matches_fixtures() {
    let region = |region: &str, owner: Option<&str>, reconciled| RegionStatus {
        region: region.into(),
        owner: owner.map(Into::into),
        token: 9,
        reconciled,
        machines: 3,
        ready_machines: 2,
        pending_tasks: 1,
    };
    let objective = |objective: &str, target, breached| ObjectiveStatus {
        objective: objective.into(),
        met: 4,
        total: 5,
        target,
        breached,
    };
    let full = Status {
        name: "t-0".into(),
        incarnation: 7,
        leader: Some("t-1".into()),
        authority_remaining_us: 1_500_000,
        reads_recent: true,
        regions: vec![region("t-0", Some("t-0"), true), region("t-1", None, false)],
        pending_tasks: vec![("train".into(), 6), ("web".into(), 0)],
        objectives: vec![
            objective("train, wait within 10 s", 0.95, true),
            objective("guarantee", 1.0, false),
        ],
        alerts: vec!["aim behind".into()],
    };
    let cases = [
        (full, include_str!("fixtures/full.json")),
        (Status::default(), include_str!("fixtures/bare.json")),
    ];
    for (page, expected) in cases {
        let printed = format!("{}\n", serde_json::to_string(&page).unwrap());
        assert_eq!(printed, expected);
    }
}
