//! Tests of provisioning batches.

use super::*;
use crate::leader::ReceivedReport;
use crate::peer_protocol::RegionReport;

fn report(received_at: Micros) -> Reports {
    let report = RegionReport {
        region: "t-0".into(),
        token: 1,
        reconciled: true,
        capacity: Vec::new(),
        pending_jobs: Vec::new(),
        running_tasks: Vec::new(),
        quota_blocked_teams: Vec::new(),
        gang_parts_ready: Vec::new(),
        estimated_cpu_time: 0.0,
        actual_cpu_time: 0.0,
    };
    let received = ReceivedReport {
        report,
        received_at,
    };
    Reports::from([("t-0".into(), received)])
}

/// Guards against machines that are counted twice or not at all. A batch counts until a report
/// received after the commit of its record includes it, and for 30 s at most. A batch whose commit
/// failed is removed.
#[test]
fn batches_count_until_they_are_reported() {
    let offer = Offer {
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
    };
    // Times of record commit, report and query in seconds; whether the batch still counts.
    for (recorded_at, received_at, now, counts) in [
        (None, 9, 10, true),
        (Some(2), 2, 10, true),
        (Some(2), 3, 10, false),
        (None, 3, 29, true),
        (None, 3, 30, false),
    ] {
        let mut batches = ProvisioningBatches::default();
        let machines = ["m-1".to_owned(), "m-2".to_owned()];
        let batch = ProvisioningBatch::new(&offer, "t-0", &machines, 0);
        batches.insert("t-0-1-1".into(), batch);
        assert_eq!(batches.unrecorded().count(), 1);
        if let Some(at) = recorded_at {
            batches.on_commit_finished("t-0-1-1", true, at * SECOND);
            assert_eq!(batches.unrecorded().count(), 0);
        }
        batches.expire(&report(received_at * SECOND), now * SECOND);
        let case = format!("{recorded_at:?} {received_at} {now}");
        assert_eq!(batches.iter().count(), usize::from(counts), "{case}");
        let names = batches.machine_names().len();
        assert_eq!(names, if counts { 2 } else { 0 }, "{case}");
        batches.on_commit_finished("t-0-1-1", false, now * SECOND);
        assert_eq!(batches.iter().count(), 0, "{case}");
    }
}
