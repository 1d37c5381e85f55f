//! The latest report of each region, by its owner.

use std::collections::BTreeMap;

use salttiller_records::units::{Micros, SECOND};

use crate::leader::{ReceivedReport, Reports};
use crate::peer_protocol::{PendingJob, RegionReport, RunningTasks};

/// Reports older than this are dropped.
const REPORT_RETENTION: Micros = 6 * SECOND;

/// Reports of all regions, those of this controller's own included.
#[derive(Debug, Default)]
pub(super) struct RegionReports {
    latest: Reports,
    /// Teams whose limit other owners' regions find used up, with the scheduling order of the
    /// first job that lacks some.
    quota_blocked_teams: BTreeMap<String, u64>,
}

impl RegionReports {
    /// Reports by region, with the time at which each was made or received.
    pub(super) fn latest(&self) -> &Reports {
        &self.latest
    }

    /// Each region with its report.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &RegionReport)> {
        let latest = self.latest.iter();
        latest.map(|(name, received)| (name, &received.report))
    }

    /// A region's report.
    pub(super) fn get(&self, region: &str) -> Option<&RegionReport> {
        self.latest.get(region).map(|received| &received.report)
    }

    /// Pending jobs of all regions.
    pub(super) fn pending_jobs(&self) -> impl Iterator<Item = &PendingJob> {
        self.iter().flat_map(|(_, report)| &report.pending_jobs)
    }

    /// Running tasks by job, of all regions.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = &RunningTasks> {
        self.iter().flat_map(|(_, report)| &report.running_tasks)
    }

    /// Whether `regions` regions report, each of them reconciled.
    pub(super) fn are_all_reconciled(&self, regions: usize) -> bool {
        self.latest.len() >= regions && self.iter().all(|(_, report)| report.reconciled)
    }

    /// Teams whose limit other owners' regions find used up.
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

    /// Records a peer's report, unless one of a later owner is known.
    pub(super) fn record_from_peer(&mut self, report: RegionReport, now: Micros) {
        let known = self.latest.get(&report.region);
        if known.is_none_or(|known| report.token >= known.report.token) {
            self.record_own(report, now);
        }
    }

    /// Drops reports that are too old.
    pub(super) fn expire(&mut self, now: Micros) {
        self.latest
            .retain(|_, received| now < received.received_at + REPORT_RETENTION);
    }

    /// Collects the quota-blocked teams anew, from the regions of other owners.
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
