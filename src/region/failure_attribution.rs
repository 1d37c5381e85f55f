//! Attribution of task failures to a faulty job or to a faulty machine.
//!
//! A job that fails on several machines without any result is considered faulty (suspect). A
//! machine is considered faulty if several jobs fail on it, or if tasks of a job that has
//! results elsewhere keep failing on it. Suspect jobs are retried a few tasks at a time; faulty
//! machines are cordoned.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{Micros, SECOND};

use super::machine::CordonReason;
use super::{Region, SchedulingContext, TaskState};
use crate::fault_injection::{is_disabled, Safeguard};

/// Number of machines on which a job without any result must fail before it becomes suspect.
/// Two machines may be faulty at the same time; three out of a few hundred are unlikely to be.
const MIN_SUSPECT_MACHINES: usize = 3;
/// Maximum number of failed machines kept for a job: enough to retry the job on others.
const MAX_FAILED_MACHINES: usize = 32;
/// Maximum backoff between attempts of a job. The value must stay below 90 s, the longest time for
/// which a job may be pending while a machine has free capacity for it.
const MAX_BACKOFF: Micros = 30 * SECOND;
/// Maximum backoff of a suspect job. The value exceeds [`MAX_BACKOFF`], since attempts of a suspect
/// job fail only after some run time.
const MAX_SUSPECT_BACKOFF: Micros = 40 * SECOND;
/// Number of failures after which the backoff stops doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Time since the last assignment after which a suspect job gets another task even if one is
/// still on a machine.
pub(super) const SUSPECT_RETRY_DELAY: Micros = 45 * SECOND;
/// Number of failures attributed to a machine at which it is cordoned.
const CORDON_FAILURE_COUNT: u32 = 3;
/// Maximum number of jobs whose failures are kept for a machine.
const MAX_FAILED_JOBS: usize = 8;

/// Whether a job's failures are attributed to the job itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum JobHealth {
    /// The failures are not attributed to the job.
    #[default]
    Healthy,
    /// The job failed on several machines without a result. The job is retried at intervals: an
    /// array with one task at a time, a gang as a whole.
    Suspect,
}

/// Failures of a job since its last result.
#[derive(Debug, Default)]
pub(super) struct JobFailures {
    count: u32,
    machines: BTreeSet<Rc<str>>,
    health: JobHealth,
}

impl JobFailures {
    /// Records a failure on a machine. `has_results`: a task of the job has finished before, so
    /// the job itself is not faulty. Returns whether this failure made the job suspect.
    #[must_use]
    fn record_failure(&mut self, machine: &str, has_results: bool) -> bool {
        self.count += 1;
        if self.machines.len() < MAX_FAILED_MACHINES {
            self.machines.insert(Rc::from(machine));
        }
        let health_before = self.health;
        if !has_results
            && self.machines.len() >= MIN_SUSPECT_MACHINES
            && !is_disabled(Safeguard::SuspectJobs)
        {
            self.health = JobHealth::Suspect;
        }
        health_before != self.health
    }

    /// Clears the failures after a task of the job has finished, which shows that the job
    /// itself is not faulty.
    pub(super) fn record_success(&mut self) {
        *self = JobFailures::default();
    }

    /// Whether the failures are attributed to the job itself.
    pub(super) fn is_suspect(&self) -> bool {
        self.health == JobHealth::Suspect
    }

    /// Whether the job has failed on this machine since its last result.
    pub(super) fn failed_on(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// Returns the delay before the next attempt.
    fn backoff(&self) -> Micros {
        let backoff = SECOND << self.count.min(MAX_BACKOFF_DOUBLINGS);
        match self.health {
            JobHealth::Healthy => backoff.min(MAX_BACKOFF),
            JobHealth::Suspect => backoff.clamp(MAX_BACKOFF / 2, MAX_SUSPECT_BACKOFF),
        }
    }
}

/// Failures on a machine since the last result on it, by job.
#[derive(Debug, Default)]
pub(super) struct MachineFailures {
    jobs: BTreeMap<JobId, u32>,
}

impl MachineFailures {
    /// Records a failure. Each failure of a job that has results elsewhere counts against the
    /// machine. A job without results counts only once, since the job itself may be faulty.
    fn record_failure(&mut self, job: &JobId, has_results: bool) {
        if let Some(count) = self.jobs.get_mut(job) {
            *count += u32::from(has_results);
        } else if self.jobs.len() < MAX_FAILED_JOBS {
            self.jobs.insert(job.clone(), 1);
        }
    }

    /// Removes the failures of a job that has become suspect.
    fn remove_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Clears the failures after a task has finished on the machine.
    pub(super) fn record_success(&mut self) {
        self.jobs.clear();
    }

    /// Whether enough failures are attributed to the machine to cordon it.
    fn is_faulty(&self) -> bool {
        self.jobs.values().sum::<u32>() >= CORDON_FAILURE_COUNT
    }
}

impl Region {
    /// Handles the failure of a task on a machine. Returns the job's backoff.
    pub(super) fn on_task_failed(
        &mut self,
        machine: &str,
        id: &JobId,
        context: &SchedulingContext<'_>,
    ) -> Micros {
        let Some(job) = self.jobs.get_mut(id) else {
            return 0;
        };
        // A service counts as having results, so it never becomes suspect: a service produces no
        // results, and a suspect job becomes healthy again only with a result.
        let has_results = job.spec.kind == JobKind::Service
            || !job.tasks.done().is_empty()
            || context.replica.progress.contains_key(&**id);
        let became_suspect = job.failures.record_failure(machine, has_results);
        let is_suspect = job.failures.is_suspect();
        let backoff = job.failures.backoff();
        if became_suspect {
            self.on_job_suspected(id);
        } else if !is_suspect {
            self.record_machine_failure(machine, id, has_results, context);
        }
        backoff
    }

    /// Handles a job that has become suspect: removes its failures from the machines and
    /// releases the capacity reserved for it.
    fn on_job_suspected(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        log::info!(
            "region={} job={id}: suspect: failed on {} machines without a result, retried at \
             intervals; team {}, class {}",
            self.name,
            job.failures.machines.len(),
            job.spec.team,
            job.spec.class
        );
        for name in &job.failures.machines {
            if let Some(failures) = self.inventory.failures_mut(name) {
                failures.remove_job(id);
            }
        }
        self.release_reservation_of(id);
    }

    /// Withdraws the assigned tasks of a suspect job array that are not dispatched yet, since
    /// a suspect array is retried one task at a time.
    pub(super) fn withdraw_undispatched(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.spec.kind == JobKind::Gang {
            return;
        }
        let is_undispatched = |task: u32, name: &str| {
            let machine = self.inventory.machine(name);
            let assignment = machine.and_then(|machine| machine.tasks.get(&(id.clone(), task)));
            assignment.is_some_and(|assignment| assignment.state == TaskState::Assigned)
        };
        let undispatched: Vec<u32> = job
            .tasks
            .on_machines()
            .iter()
            .filter(|(task, name)| is_undispatched(**task, name))
            .map(|(task, _)| *task)
            .collect();
        for task in undispatched {
            self.transition(id, task, TaskState::Pending, None, context.now);
        }
    }

    fn record_machine_failure(
        &mut self,
        name: &str,
        id: &JobId,
        has_results: bool,
        context: &SchedulingContext<'_>,
    ) {
        let Some(failures) = self.inventory.failures_mut(name) else {
            return;
        };
        failures.record_failure(id, has_results);
        let is_faulty = failures.is_faulty();
        let machine = self.inventory.machine(name);
        if is_faulty && machine.is_some_and(|machine| machine.cordoned.is_none()) {
            log::info!(
                "region={} machine={name}: cordoned: its tasks keep failing",
                self.name
            );
            self.inventory.cordon(name, CordonReason::Faulty);
            self.inventory.schedule_check(name, context.now);
        }
    }
}

#[cfg(test)]
mod tests;
