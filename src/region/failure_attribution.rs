//! Attribution of task failures: to a job that was submitted with a mistake, or to a faulty
//! machine.
//!
//! The evidence for a mistake is one job that fails on several machines without any
//! result; the evidence for a faulty machine is several jobs, or tasks of a job that has
//! results elsewhere, failing on it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind};
use salttiller_records::units::{Micros, SECOND};

use super::machine::CordonReason;
use super::{Region, SchedulingContext, TaskState};
use crate::fault_injection::{is_disabled, Safeguard};

/// On how many machines a job without any result fails before it is suspect. Two may be
/// faulty at the same time; three of a few hundred hardly are.
const MIN_SUSPECT_MACHINES: usize = 3;
/// Most machines that are remembered for a job: enough to try it elsewhere.
const MAX_REMEMBERED_MACHINES: usize = 32;
/// The longest back-off between attempts. Below the 90 s for which no job may wait beside a
/// machine with free capacity.
const MAX_BACKOFF: Micros = 30 * SECOND;
/// The same for a suspect job, whose attempts fail after a while only.
const MAX_SUSPECT_BACKOFF: Micros = 40 * SECOND;
/// The back-off doubles with each failure, up to this one.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// When a suspect job gets a further task though one is still on a machine.
pub(super) const TRY_AGAIN_AFTER: Micros = 45 * SECOND;
/// Failures that count against a machine before it is cordoned.
const FAULTY_AFTER: u32 = 3;
/// Most jobs whose failures are remembered for a machine.
const MAX_REMEMBERED_JOBS: usize = 8;

/// Whether a job itself seems to be at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum JobHealth {
    /// No evidence against it.
    #[default]
    Sound,
    /// It failed wherever it ran: attempted again now and then, a task or a gang at a time.
    Suspect,
}

/// The failures of a job since its last result.
#[derive(Debug, Default)]
pub(super) struct JobFailures {
    count: u32,
    machines: BTreeSet<Rc<str>>,
    health: JobHealth,
}

impl JobFailures {
    /// Notes a failure on a machine. `has_results`: some task of the job was done before,
    /// so the job as a whole isn't at fault. Returns whether it has become suspect.
    #[must_use]
    fn failed(&mut self, machine: &str, has_results: bool) -> bool {
        self.count += 1;
        if self.machines.len() < MAX_REMEMBERED_MACHINES {
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

    /// A task of the job is done: whatever failed before, the job isn't at fault.
    pub(super) fn succeeded(&mut self) {
        *self = JobFailures::default();
    }

    /// Whether the job itself seems to be at fault.
    pub(super) fn is_suspect(&self) -> bool {
        self.health == JobHealth::Suspect
    }

    /// Whether it failed on this machine since its last result.
    pub(super) fn failed_on(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// How long to wait before the next attempt.
    fn backoff(&self) -> Micros {
        let backoff = SECOND << self.count.min(MAX_BACKOFF_DOUBLINGS);
        match self.health {
            JobHealth::Sound => backoff.min(MAX_BACKOFF),
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
    /// Notes a failure. One of a job that has results elsewhere counts against the machine each
    /// time, others only once for each job: such a job may be at fault itself.
    fn failed(&mut self, job: &JobId, has_results: bool) {
        if let Some(count) = self.jobs.get_mut(job) {
            *count += u32::from(has_results);
        } else if self.jobs.len() < MAX_REMEMBERED_JOBS {
            self.jobs.insert(job.clone(), 1);
        }
    }

    /// A job turned out to be at fault itself.
    fn forgive(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// A task was done on the machine.
    pub(super) fn succeeded(&mut self) {
        self.jobs.clear();
    }

    /// Whether enough failures count against the machine to cordon it.
    fn is_faulty(&self) -> bool {
        self.jobs.values().sum::<u32>() >= FAULTY_AFTER
    }
}

impl Region {
    /// A task of a job failed on a machine. Returns the job's back-off.
    pub(super) fn on_task_failed(
        &mut self,
        machine: &str,
        id: &JobId,
        context: &SchedulingContext<'_>,
    ) -> Micros {
        let Some(job) = self.jobs.get_mut(id) else {
            return 0;
        };
        // A service has no results, so nothing could ever clear it.
        let has_results = job.spec.kind == JobKind::Service
            || !job.tasks.done().is_empty()
            || context.replica.progress.contains_key(&**id);
        let became_suspect = job.failures.failed(machine, has_results);
        let is_suspect = job.failures.is_suspect();
        let backoff = job.failures.backoff();
        if became_suspect {
            self.on_job_suspected(id);
        } else if !is_suspect {
            self.note_machine_failure(machine, id, has_results, context);
        }
        backoff
    }

    /// A job has become suspect: its failures no longer count against machines, and no
    /// capacity is reserved for it.
    fn on_job_suspected(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        log::info!(
            "region={} job={id}: suspect: failed on {} machines without a result, attempted now \
             and then; team {}, class {}",
            self.name,
            job.failures.machines.len(),
            job.spec.team,
            job.spec.class
        );
        for name in &job.failures.machines {
            if let Some(failures) = self.inventory.failures_mut(name) {
                failures.forgive(id);
            }
        }
        self.release_reservation_of(id);
    }

    /// Withdraws the assigned tasks of a suspect array that are not dispatched yet: it is
    /// attempted a task at a time.
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

    fn note_machine_failure(
        &mut self,
        name: &str,
        id: &JobId,
        has_results: bool,
        context: &SchedulingContext<'_>,
    ) {
        let Some(failures) = self.inventory.failures_mut(name) else {
            return;
        };
        failures.failed(id, has_results);
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
