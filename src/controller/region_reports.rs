//! The latest report of each region, made by the region's owner.

use std::collections::BTreeMap;

use salttiller_records::units::{Micros, SECOND};

use crate::leader::{ReceivedReport, Reports};
use crate::peer_protocol::{PendingJob, RegionReport, RunningTasks};

/// Time after which a report is dropped.
const REPORT_RETENTION: Micros = 6 * SECOND;

/// Latest reports of all regions, including this controller's own.
#[derive(Debug, Default)]
pub(super) struct RegionReports {
    latest: Reports,
    /// Teams whose quota is used up according to other owners' regions, with the scheduling rank
    /// of the first job that lacks quota.
    quota_blocked_teams: BTreeMap<String, u64>,
}

impl RegionReports {
    /// Returns the reports by region, with the time at which each was made or received.
    pub(super) fn latest(&self) -> &Reports {
        &self.latest
    }

    /// Returns each region with its report.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &RegionReport)> {
        let latest = self.latest.iter();
        latest.map(|(name, received)| (name, &received.report))
    }

    /// Returns a region's report.
    pub(super) fn get(&self, region: &str) -> Option<&RegionReport> {
        self.latest.get(region).map(|received| &received.report)
    }

    /// Returns the pending jobs of all regions.
    pub(super) fn pending_jobs(&self) -> impl Iterator<Item = &PendingJob> {
        self.iter().flat_map(|(_, report)| &report.pending_jobs)
    }

    /// Returns the running tasks by job of all regions.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = &RunningTasks> {
        self.iter().flat_map(|(_, report)| &report.running_tasks)
    }

    /// Whether there are reports of at least `regions` regions and all of them are reconciled.
    pub(super) fn are_all_reconciled(&self, regions: usize) -> bool {
        self.latest.len() >= regions && self.iter().all(|(_, report)| report.reconciled)
    }

    /// Returns the teams whose quota is used up according to other owners' regions, with the
    /// scheduling rank of the first job that lacks quota.
    pub(super) fn quota_blocked_teams(&self) -> &BTreeMap<String, u64> {
        &self.quota_blocked_teams
    }

    /// Records a report of one of this controller's regions.
    pub(super) fn record_own(&mut self, report: RegionReport, now: Micros) {
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        self.latest.insert(received.report.region.clone(), received);
    }

    /// Records a peer's report, unless a report of a later owner is known.
    pub(super) fn record_from_peer(&mut self, report: RegionReport, now: Micros) {
        let known = self.latest.get(&report.region);
        if known.is_none_or(|known| report.token >= known.report.token) {
            self.record_own(report, now);
        }
    }

    /// Drops reports that are older than [`REPORT_RETENTION`].
    pub(super) fn expire(&mut self, now: Micros) {
        self.latest
            .retain(|_, received| now < received.received_at + REPORT_RETENTION);
    }

    /// Recomputes the quota-blocked teams from the reports of other owners' regions.
    pub(super) fn update_quota_blocked_teams(&mut self, is_own: impl Fn(&str) -> bool) {
        self.quota_blocked_teams.clear();
        for (name, received) in &self.latest {
            if is_own(name) {
                continue;
            }
            for (team, order) in &received.report.quota_blocked_teams {
                let first = self.quota_blocked_teams.entry(team.clone());
                let first = first.or_insert(*order);
                *first = (*first).min(*order);
            }
        }
    }
}

#[cfg(test)]
mod tests;
