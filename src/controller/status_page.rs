//! The page that `salttiller status` shows: this controller's view of the cluster.

use std::collections::BTreeMap;

use super::Controller;
use crate::peer_protocol::{RegionReport, RegionStatus, Status};
use crate::reactor::Net;

/// Label of the number of jobs that wait for their dependencies.
const WAITING_FOR_DEPENDENCIES: &str = "(jobs that wait for others)";
/// Label of the number of jobs with dependencies that have no record.
const WAITING_FOR_UNKNOWN: &str = "(jobs that wait for jobs without a record)";

impl<N: Net> Controller<N> {
    /// Returns the status page.
    pub(super) fn status_page(&mut self) -> Status {
        let state_store = &self.cluster.state_store;
        let authority_until = state_store.authority_until();
        let regions = self.cluster.settings.regions().into_iter();
        let mut page = Status {
            name: self.cluster.settings.name.clone(),
            incarnation: self.cluster.incarnation(),
            leader: self.cluster.recorded_leader().map(str::to_owned),
            authority_remaining_us: authority_until.saturating_sub(self.cluster.now),
            reads_recent: self.cluster.is_fresh(),
            regions: regions.map(|region| self.region_status(region)).collect(),
            pending_tasks: self.pending_work().into_iter().collect(),
            ..Default::default()
        };
        self.monitoring
            .fill_status_page(&mut page, self.net.wall_clock_now());
        page.alerts.extend(self.unready_reason());
        page
    }

    /// Returns why this controller is not ready, if it is not.
    fn unready_reason(&self) -> Option<String> {
        if self.cluster.is_ready() {
            return None;
        }
        let state_store = &self.cluster.state_store;
        let reason = match state_store.full_read_progress(self.cluster.now) {
            Some(progress) => format!("not ready: reading all records: {progress}"),
            None => "not ready: the last reads of the state service failed".to_owned(),
        };
        Some(reason)
    }

    /// Returns the number of pending tasks by class, and the numbers of jobs that wait for their
    /// dependencies by label.
    fn pending_work(&self) -> BTreeMap<String, u32> {
        let replica = &self.cluster.state_store.replica;
        let mut pending_work: BTreeMap<String, u32> = BTreeMap::new();
        for pending in self.cluster.region_reports.pending_jobs() {
            let record = replica.jobs.get(&pending.job);
            if let Some(spec) = record.and_then(|record| record.value.open_spec()) {
                *pending_work.entry(spec.class.clone()).or_default() += pending.pending_tasks;
            }
        }
        let jobs = [
            (WAITING_FOR_DEPENDENCIES, replica.pipelines.waiting().len()),
            (
                WAITING_FOR_UNKNOWN,
                replica.waiting_for_missing_dependency().len(),
            ),
        ];
        for (line, count) in jobs {
            if count > 0 {
                pending_work.insert(line.to_owned(), count as u32);
            }
        }
        pending_work
    }

    fn region_status(&self, region: String) -> RegionStatus {
        let replica = &self.cluster.state_store.replica;
        let record = replica.regions.get(&region).map(|r| &r.value);
        let report = self.cluster.region_reports.get(&region);
        RegionStatus {
            owner: record.map(|record| record.owner.clone()),
            token: record.map_or(0, |record| record.token),
            reconciled: report.is_some_and(|report| report.reconciled),
            machines: self.cluster.recorded_machines(&region),
            ready_machines: report.map_or(0, available_machines),
            pending_tasks: report.map_or(0, pending_tasks),
            region,
        }
    }
}

fn available_machines(report: &RegionReport) -> u32 {
    let available = report.capacity.iter().filter(|pool| pool.available);
    available.map(|pool| pool.machines).sum()
}

fn pending_tasks(report: &RegionReport) -> u32 {
    report
        .pending_jobs
        .iter()
        .map(|job| job.pending_tasks)
        .sum()
}
