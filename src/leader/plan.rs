//! The leader's plan, made every 0.4 s: gathers the capacity and the pending work, then makes the
//! leader's decisions on them in a fixed order.

use std::collections::BTreeSet;

use crate::cloud::CloudClient;
use crate::peer_protocol::PoolCapacity;
use crate::region::SchedulingContext;
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::Resources;

use super::planned_capacity::PlannedCapacity;
use super::pool::Pool;
use super::reports::{ReceivedReport, Reports};
use super::unplaced_job::UnplacedJob;
use super::Leader;

/// Maximum age of a report whose pending work is planned for. Much of the work in an older report
/// is already running.
const MAX_REPORT_AGE: Micros = 3 * SECOND;
/// Minimum age of the term before machines are rented. Earlier, some regions have not reported
/// yet, so capacity that already exists would be rented again.
const MIN_TERM_AGE_TO_RENT: Micros = SECOND;

impl Leader {
    /// Makes a plan and queues the resulting actions.
    pub(super) fn plan(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
        cloud_client: &mut CloudClient,
    ) {
        self.recent_rebindings.expire(context.now);
        self.provisioning_reports.expire(context.now);
        self.update_capacity(context, reports, cloud_client);
        self.coordinate_multi_region_gangs(context, reports);
        let mut unplaced = self.unplaced_jobs(context, reports);
        self.demand
            .update(&unplaced, &self.capacity, reports, context);
        self.scale_in(context);
        self.rebind_pending(&mut unplaced, context);
        if self.term.age(context.now) > MIN_TERM_AGE_TO_RENT {
            unplaced.retain(|job| !job.is_suspect);
            self.scale_out(&unplaced, context, cloud_client);
        }
    }

    /// Gathers the capacity that regions report and the capacity that reports can't include yet:
    /// batches being provisioned and pending rentals.
    fn update_capacity(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
        cloud_client: &CloudClient,
    ) {
        self.provisioning_batches.expire(reports, context.now);
        let reported = reports.values().flat_map(|ReceivedReport { report, .. }| {
            let pools = report.capacity.iter();
            pools.filter_map(|pool| self.reported_capacity(&report.region, pool, context))
        });
        let provisioning = self.provisioning_batches.iter().filter_map(|batch| {
            let machines = batch.machines.len() as f64;
            self.empty_machines(&batch.region, Pool::from(&batch.offer), machines, context)
        });
        let rentals = cloud_client.pending_rentals();
        let requested = rentals.iter().filter_map(|rental| {
            let machines = f64::from(rental.count);
            self.empty_machines(&rental.region, Pool::from(&rental.offer), machines, context)
        });
        self.capacity = reported.chain(provisioning).chain(requested).collect();
    }

    /// Converts one entry of a region's report; `None` if the machine type is unknown.
    fn reported_capacity(
        &self,
        region: &str,
        reported: &PoolCapacity,
        context: &SchedulingContext<'_>,
    ) -> Option<PlannedCapacity> {
        let machines = f64::from(reported.machines);
        let mut capacity = self.empty_machines(region, Pool::from(reported), machines, context)?;
        if reported.available {
            capacity.is_available = true;
            capacity.free = Resources::from(reported.free);
        }
        Some(capacity)
    }

    /// Returns capacity of empty machines that don't accept tasks yet; `None` if their type is
    /// unknown.
    fn empty_machines(
        &self,
        region: &str,
        pool: Pool<'_>,
        machines: f64,
        context: &SchedulingContext<'_>,
    ) -> Option<PlannedCapacity> {
        let machine_type = context.replica.machine_types.get(pool.machine_type)?;
        let total = machine_type.value.resources();
        Some(PlannedCapacity {
            region: region.to_owned(),
            machine_type: pool.machine_type.to_owned(),
            zone: pool.zone.to_owned(),
            spot: pool.spot,
            free: total,
            total,
            is_available: false,
            reserved: self
                .constrained_types
                .reserved_on(pool.machine_type, context.now),
            machines,
            unclaimed_machines: machines,
        })
    }

    /// Returns the pending jobs of all recent reports.
    fn unplaced_jobs(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
    ) -> Vec<UnplacedJob> {
        let suspects = suspect_jobs(reports);
        let mut unplaced = Vec::new();
        let is_recent = |r: &&ReceivedReport| r.age(context.now) <= MAX_REPORT_AGE;
        for ReceivedReport { report, .. } in reports.values().filter(is_recent) {
            for pending in &report.pending_jobs {
                let is_suspect = suspects.contains(pending.job.as_str());
                let job = UnplacedJob::from_report(pending, report, is_suspect, context);
                if let Some(job) = &job {
                    self.constrained_types
                        .record_job(&job.spec, context.replica, context.now);
                }
                unplaced.extend(job);
            }
        }
        unplaced
    }
}

/// Returns the jobs that any region reports as failed on several machines without a result, or as
/// a multi-region gang whose attempt failed. A report of one region applies to the job's tasks in
/// all regions.
fn suspect_jobs(reports: &Reports) -> BTreeSet<&str> {
    reports
        .values()
        .flat_map(|received| &received.report.pending_jobs)
        .filter(|pending| pending.needs_new_attempt)
        .map(|pending| pending.job.as_str())
        .collect()
}
