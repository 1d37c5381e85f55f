//! Invariant that no job waits for long while there is free capacity for it.

use std::collections::BTreeMap;

use crate::simulation::users::{Job, JobKind};
use crate::simulation::workers::task_id;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, SECOND};

use super::{Invariant, ROUNDING_TOLERANCE};

/// Maximum time that a job which could start more tasks waits for a start, once all faults are
/// over.
const STARVATION_LIMIT: Micros = 90 * SECOND;

/// Unused capacity of a machine.
struct FreeCapacity {
    spot: bool,
    cpus: f64,
    memory_gb: f64,
}

/// The machines' free capacity, and what the running tasks of each team and job use.
#[derive(Default)]
struct ClusterUsage {
    free: Vec<FreeCapacity>,
    cpus_by_team: BTreeMap<&'static str, f64>,
    tasks_by_job: BTreeMap<String, u32>,
}

/// Whether a job could start more tasks now, and if not, why.
enum WaitStatus {
    /// The job is not accepted, is over, has all its tasks, or waits for its dependencies.
    NotWaiting,
    /// The machines lack free capacity for the job's next tasks.
    NoCapacity,
    /// The job's next tasks would exceed the team's quota.
    OverLimit,
    /// The job could start more tasks; the text holds the evidence.
    Startable(String),
}

impl World {
    /// Checks that, once all faults are over, no job waits for long while there is free capacity
    /// for its next tasks and its team stays within its quota.
    pub(crate) fn check_waiting(&mut self) {
        let usage = self.cluster_usage();
        let jobs = self.users.jobs.iter();
        let wait_statuses: Vec<(String, WaitStatus)> = jobs
            .map(|(id, job)| (id.clone(), self.wait_status(id, job, &usage)))
            .collect();
        for (id, wait_status) in wait_statuses {
            let no_capacity = matches!(wait_status, WaitStatus::NoCapacity);
            self.observations.capacity_shortages += u32::from(no_capacity);
            match wait_status {
                WaitStatus::Startable(details) => self.check_starvation(id, details),
                WaitStatus::NotWaiting | WaitStatus::NoCapacity | WaitStatus::OverLimit => {
                    self.startable_jobs.remove(&id);
                }
            }
        }
    }

    /// Checks that a job that could start more tasks has not waited too long since its last start.
    fn check_starvation(&mut self, id: String, details: String) {
        let starts = self.users.jobs[&id].starts;
        let current = StartableJob {
            since: self.now,
            starts,
        };
        let wait = self.startable_jobs.entry(id.clone()).or_insert(current);
        if wait.starts != starts {
            *wait = current;
        }
        let since = wait.since.max(self.faults_end);
        if self.now > since + STARVATION_LIMIT {
            self.record_violation(Invariant::Waits, format!("{id}: {details}"));
        }
    }

    fn cluster_usage(&self) -> ClusterUsage {
        let mut usage = ClusterUsage::default();
        for (_, worker) in self.live_workers().filter(|(_, w)| w.token != 0) {
            let (cpus, memory_gb) = match worker.machine_type.as_str() {
                "box" => (4.0, 16.0),
                _ => (8.0, 64.0),
            };
            let mut free = FreeCapacity {
                spot: worker.spot,
                cpus,
                memory_gb,
            };
            for (task, _) in worker.active_tasks() {
                let job = self.job_of(task);
                free.cpus -= job.cpus;
                free.memory_gb -= 1.0;
                *usage.cpus_by_team.entry(job.team).or_default() += job.cpus;
                let id = task_id(task).0.to_owned();
                *usage.tasks_by_job.entry(id).or_default() += 1;
            }
            usage.free.push(free);
        }
        usage
    }

    fn wait_status(&self, id: &str, job: &Job, usage: &ClusterUsage) -> WaitStatus {
        let active = usage.tasks_by_job.get(id).copied().unwrap_or(0);
        let started = active + job.results.len() as u32;
        let is_ending = job.is_final() || job.cancel_requested;
        let is_blocked = self.unfinished_dependency(job).is_some();
        if !job.accepted || is_ending || is_blocked || started >= job.tasks {
            return WaitStatus::NotWaiting;
        }
        // The remaining tasks of a gang or a service start together.
        let required = match job.kind {
            JobKind::Batch => 1,
            JobKind::Gang | JobKind::Service => job.tasks - started,
        };
        let capacity: u32 = usage.free.iter().map(|free| free.fitting_tasks(job)).sum();
        if capacity < required {
            return WaitStatus::NoCapacity;
        }
        let used = usage.cpus_by_team.get(job.team).copied().unwrap_or(0.0);
        let limit = self.cpu_limit(job.team);
        if used + f64::from(required) * job.cpus > limit + ROUNDING_TOLERANCE {
            return WaitStatus::OverLimit;
        }
        WaitStatus::Startable(format!(
            "{started} of {} tasks started or done, capacity for {capacity}, \
             team uses {used} of {limit}, {}",
            job.tasks, job.submission
        ))
    }
}

/// Time since which a job could start more tasks, and its number of starts at that time.
#[derive(Clone, Copy)]
pub(crate) struct StartableJob {
    since: Micros,
    starts: u32,
}

impl FreeCapacity {
    /// Returns the number of tasks of a job that fit the free capacity.
    fn fitting_tasks(&self, job: &Job) -> u32 {
        if self.spot && !job.spot_allowed {
            return 0;
        }
        let by_cpus = self.cpus / job.cpus + ROUNDING_TOLERANCE;
        by_cpus.min(self.memory_gb).max(0.0) as u32
    }
}
