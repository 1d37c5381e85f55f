//! Monitoring: missed service-level objectives, conditions that need operators' attention, and
//! jobs that wait for dependencies without a record.
//!
//! Every controller evaluates objectives and conditions. The leader logs the alerts; during a
//! data-loss hold every controller does.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use salttiller_records::record::JobStage;
use salttiller_records::units::{Micros, SECOND};

use super::Controller;
use crate::alerts::conditions::Condition;
use crate::alerts::poll_rate::PollRate;
use crate::alerts::{Alert, AlertMonitor};
use crate::peer_protocol::Status;
use crate::quota;
use crate::reactor::Net;
use crate::region::Region;
use crate::settings::Settings;
use crate::slo::ObservedJob;
use crate::state_store::replica::SubmissionKey;

/// Interval between evaluations.
const EVALUATION_INTERVAL: Micros = 2 * SECOND;

/// State of the monitoring.
pub(super) struct Monitoring {
    alert_monitor: AlertMonitor,
    poll_rate: PollRate,
    next_evaluation_at: Micros,
    /// Number of jobs that waited for jobs without a record at the last evaluation.
    jobs_with_unknown_dependencies: usize,
}

impl Monitoring {
    /// Creates the state with the objectives and thresholds of the settings, before the first
    /// evaluation.
    pub(super) fn new(settings: &Settings) -> Self {
        Monitoring {
            alert_monitor: AlertMonitor::new(&settings.objectives, &settings.operator),
            poll_rate: PollRate::default(),
            next_evaluation_at: 0,
            jobs_with_unknown_dependencies: 0,
        }
    }

    /// Counts a poll of a job's state.
    pub(super) fn record_poll(&mut self) {
        self.poll_rate.record();
    }

    /// Fills in the objectives, late pipelines and recent alerts of the status page. `wall` is the
    /// wall-clock time.
    pub(super) fn fill_status_page(&mut self, page: &mut Status, wall: Micros) {
        self.alert_monitor.fill_status(page, wall);
    }
}

/// The most likely cause of missed objectives, in order of decreasing severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LikelyCause {
    RecordsLost,
    StateServiceDown,
    Takeover,
    CloudDown,
    NoCapacity,
    SlowProvisioning,
    QuotaUsedUp,
    Backlog,
}

impl fmt::Display for LikelyCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LikelyCause::RecordsLost => "state service lost records",
            LikelyCause::StateServiceDown => "state service down",
            LikelyCause::Takeover => "takeover under way",
            LikelyCause::CloudDown => "cloud down",
            LikelyCause::NoCapacity => "no capacity",
            LikelyCause::SlowProvisioning => "machines come up late or not at all",
            LikelyCause::QuotaUsedUp => "quota",
            LikelyCause::Backlog => "backlog",
        })
    }
}

impl<N: Net> Controller<N> {
    /// Evaluates objectives and conditions if an evaluation is due.
    pub(super) fn monitor(&mut self) {
        let now = self.cluster.now;
        if now < self.monitoring.next_evaluation_at || !self.cluster.state_store.is_loaded() {
            return;
        }
        self.monitoring.next_evaluation_at = now + EVALUATION_INTERVAL;
        let mut alerts = self.evaluate_objectives();
        let conditions = self.conditions();
        let alert_monitor = &mut self.monitoring.alert_monitor;
        alerts.extend(alert_monitor.observe_conditions(conditions, now));
        if self.leadership.is_leading() || self.is_hold_active() {
            alerts.iter().for_each(log_alert);
        }
        self.check_unknown_dependencies();
    }

    fn likely_cause(&self) -> LikelyCause {
        let regions = self.cluster.settings.region_count();
        let leader = self.leadership.leader();
        if self.is_hold_active() {
            LikelyCause::RecordsLost
        } else if self.cluster.state_store.is_failing() {
            LikelyCause::StateServiceDown
        } else if !self.cluster.region_reports.are_all_reconciled(regions) {
            LikelyCause::Takeover
        } else if self.cloud_client.is_unavailable() {
            LikelyCause::CloudDown
        } else if leader.is_some_and(|leader| leader.has_capacity_refusals(self.cluster.now)) {
            LikelyCause::NoCapacity
        } else if leader.is_some_and(|leader| !leader.degraded_pools().is_empty()) {
            LikelyCause::SlowProvisioning
        } else if self.ownership.regions().any(Region::is_quota_blocked) {
            LikelyCause::QuotaUsedUp
        } else {
            LikelyCause::Backlog
        }
    }

    /// Evaluates the objectives for the open jobs. Returns the alerts to log.
    fn evaluate_objectives(&mut self) -> Vec<Alert> {
        let cause = self.likely_cause().to_string();
        let replica = &self.cluster.state_store.replica;
        let settings = &self.cluster.settings;
        let last_guaranteed: BTreeMap<&str, SubmissionKey> = replica
            .teams
            .keys()
            .filter_map(|team| {
                let last = quota::last_guaranteed_job(replica, settings, team)?;
                Some((team.as_str(), last))
            })
            .collect();
        let reports = &self.cluster.region_reports;
        let running: BTreeSet<&str> = reports.running_tasks().map(|t| t.job.as_str()).collect();
        let open_jobs = replica.open_jobs().map(|(id, _, spec)| ObservedJob {
            id,
            spec,
            guaranteed: last_guaranteed
                .get(spec.team.as_str())
                .is_some_and(|last| last.is_not_before(spec.submitted_at, id)),
            started: running.contains(id.as_str()) || replica.progress.contains_key(id),
            pipeline: replica.pipeline_end(id),
        });
        let is_done = |id: &str| replica.stage(id) == Some(JobStage::Done);
        let is_open = |id: &str| replica.stage(id) == Some(JobStage::Open);
        let wall = self.net.wall_clock_now();
        let alert_monitor = &mut self.monitoring.alert_monitor;
        alert_monitor.observe_jobs(open_jobs, is_done, is_open, wall, &cause)
    }

    /// Returns the conditions that need operators' attention and that this controller observes.
    fn conditions(&mut self) -> Vec<Condition> {
        let poll_rate = self.monitoring.poll_rate.sample(self.cluster.now);
        let mut found: Vec<Condition> = poll_rate.into_iter().collect();
        found.extend(self.data_loss.condition());
        found.extend(self.degraded_pool_conditions());
        found.extend(self.unreachable_owners());
        found.extend(self.failing_jobs());
        found
    }

    /// Returns the conditions of the degraded pools, if this controller is the leader.
    fn degraded_pool_conditions(&self) -> Vec<Condition> {
        let Some(leader) = self.leadership.leader() else {
            return Vec::new();
        };
        let pools = leader.degraded_pools().into_iter();
        let conditions = pools.map(|pool| Condition::ProvisioningFailing {
            machine_type: pool.offer.machine_type,
            zone: pool.offer.zone,
            spot: pool.offer.spot,
            overdue: pool.overdue,
            since: pool.longest_overdue,
        });
        conditions.collect()
    }

    /// Returns the conditions of jobs that failed on several machines without a result.
    fn failing_jobs(&self) -> Vec<Condition> {
        let jobs = &self.cluster.state_store.replica.jobs;
        let pending = self.cluster.region_reports.pending_jobs();
        let failing = pending.filter(|pending| pending.needs_new_attempt);
        let conditions = failing.filter_map(|pending| {
            let record = &jobs.get(&pending.job)?.value;
            // For a multi-region gang the flag means only that an attempt failed.
            if record.multi_region.is_some() {
                return None;
            }
            let spec = record.open_spec()?;
            Some(Condition::JobFailing {
                job: pending.job.clone(),
                team: spec.team.clone(),
                class: spec.class.clone(),
            })
        });
        conditions.collect()
    }

    /// Logs a warning when the number of jobs that wait for dependencies without a record
    /// increases. Such dependencies occur only if the state service damaged or lost records. The
    /// jobs keep waiting and none of their tasks starts.
    fn check_unknown_dependencies(&mut self) {
        let replica = &self.cluster.state_store.replica;
        let waiting = replica.waiting_for_missing_dependency();
        let count = waiting.len();
        if count > self.monitoring.jobs_with_unknown_dependencies {
            let first = waiting.first().map_or("", |job| job.as_str());
            log::warn!(
                "job={first}: waiting for jobs without a record, {count} such jobs in total"
            );
        }
        self.monitoring.jobs_with_unknown_dependencies = count;
    }
}

fn log_alert(alert: &Alert) {
    let level = if alert.is_warning() {
        log::Level::Warn
    } else {
        log::Level::Info
    };
    log::log!(level, "{alert}");
}
