//! Tests of the region reports.

use super::*;

fn report(region: &str, token: u64, reconciled: bool, blocked: &[(&str, u64)]) -> RegionReport {
    let blocked = blocked.iter();
    RegionReport {
        region: region.to_owned(),
        token,
        reconciled,
        capacity: Vec::new(),
        pending_jobs: Vec::new(),
        running_tasks: Vec::new(),
        quota_blocked_teams: blocked
            .map(|(team, at)| ((*team).to_owned(), *at))
            .collect(),
        gang_parts_ready: Vec::new(),
        estimated_cpu_time: 0.0,
        actual_cpu_time: 0.0,
    }
}

/// A delayed report of a former owner must not replace that of a later owner, and old reports are
/// dropped.
#[test]
fn reports_are_replaced_by_later_owners_and_expire() {
    let mut reports = RegionReports::default();
    let token = |reports: &RegionReports| reports.get("r-1").map(|r| r.token);
    reports.record_from_peer(report("r-1", 5, true, &[]), SECOND);
    reports.record_from_peer(report("r-1", 4, true, &[]), 2 * SECOND);
    assert_eq!(token(&reports), Some(5));
    reports.record_from_peer(report("r-1", 6, false, &[]), 2 * SECOND);
    assert_eq!(token(&reports), Some(6));
    assert!(!reports.are_all_reconciled(1));
    reports.record_own(report("r-1", 6, true, &[]), 3 * SECOND);
    assert!(reports.are_all_reconciled(1));
    assert!(!reports.are_all_reconciled(2));
    reports.expire(3 * SECOND + REPORT_RETENTION - 1);
    assert_eq!(token(&reports), Some(6));
    reports.expire(3 * SECOND + REPORT_RETENTION);
    assert_eq!(token(&reports), None);
}

/// The first blocked job in scheduling order counts for each team, over all regions of other
/// owners. Own regions are left out.
#[test]
fn quota_blocked_teams_are_those_of_other_owners() {
    let mut reports = RegionReports::default();
    reports.record_own(report("own", 1, true, &[("a", 1), ("b", 1)]), 0);
    reports.record_from_peer(report("r-1", 1, true, &[("a", 7), ("c", 4)]), 0);
    reports.record_from_peer(report("r-2", 1, true, &[("a", 5), ("c", 9)]), 0);
    reports.update_quota_blocked_teams(|region| region == "own");
    let blocked: Vec<_> = reports.quota_blocked_teams().iter().collect();
    assert_eq!(blocked, [(&"a".to_owned(), &5), (&"c".to_owned(), &4)]);
}
