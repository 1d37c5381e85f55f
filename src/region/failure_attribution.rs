//! Tasks that fail: tells a job that was submitted with a mistake from a faulty machine.
//!
//! The evidence for a mistake is one job that fails on several machines without any
//! result; the evidence for a faulty machine is several jobs, or tasks of a job that has
//! results elsewhere, failing on it.

use super::*;

/// On how many machines a job without any result fails before it is suspect. Two may be
/// faulty at the same time; three of a few hundred hardly are.
const SUSPECT_MACHINES: usize = 3;
/// Most machines that are remembered for a job: enough to try it elsewhere.
const MAX_MACHINES: usize = 32;
/// The longest delay between tries. Below the 90 s for which no job may wait beside a
/// machine with free capacity.
const MAX_DELAY: Micros = 30 * SECOND;
/// The same for a suspect job, whose tries fail after a while only.
const MAX_SUSPECT_DELAY: Micros = 40 * SECOND;
/// When a suspect job gets a further task though one is still out.
pub(super) const TRY_AGAIN_AFTER: Micros = 45 * SECOND;
/// Failures that speak against a machine before it is closed.
const FAULTY_AFTER: u32 = 3;
/// Most jobs whose failures are remembered for a machine.
const MAX_JOBS: usize = 8;

/// Whether a job itself seems to be at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum JobHealth {
    /// Nothing speaks against it.
    #[default]
    Sound,
    /// It failed wherever it ran: tried again now and then, a task or a gang at a time.
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
    /// so the job as a whole isn't at fault. Returns whether it is suspect from now on.
    pub fn failed(&mut self, machine: &str, has_results: bool) -> bool {
        self.count += 1;
        if self.machines.len() < MAX_MACHINES {
            self.machines.insert(Rc::from(machine));
        }
        let was = self.health;
        if !has_results
            && self.machines.len() >= SUSPECT_MACHINES
            && !is_disabled(Safeguard::SuspectJobs)
        {
            self.health = JobHealth::Suspect;
        }
        was != self.health
    }

    /// A task of the job is done: whatever failed before, the job isn't at fault.
    pub fn succeeded(&mut self) {
        *self = JobFailures::default();
    }

    /// Whether the job itself seems to be at fault.
    pub fn is_suspect(&self) -> bool {
        self.health == JobHealth::Suspect
    }

    /// Whether it failed on this machine lately.
    pub fn failed_on(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// How long to wait before the next try.
    pub fn delay(&self) -> Micros {
        let delay = SECOND << self.count.min(6);
        match self.health {
            JobHealth::Sound => delay.min(MAX_DELAY),
            JobHealth::Suspect => delay.clamp(MAX_DELAY / 2, MAX_SUSPECT_DELAY),
        }
    }
}

/// Failures on a machine since the last result on it, by job.
#[derive(Debug, Default)]
pub(super) struct MachineFailures {
    jobs: BTreeMap<JobId, u32>,
}

impl MachineFailures {
    /// Notes a failure. One of a job that has results elsewhere speaks against the
    /// machine each time, others only once a job: such a job may be at fault itself.
    fn failed(&mut self, job: &JobId, has_results: bool) {
        if let Some(count) = self.jobs.get_mut(job) {
            *count += u32::from(has_results);
        } else if self.jobs.len() < MAX_JOBS {
            self.jobs.insert(job.clone(), 1);
        }
    }

    /// A job turned out to be at fault itself.
    fn forgive(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// A task was done on the machine.
    pub fn succeeded(&mut self) {
        self.jobs.clear();
    }

    /// Whether enough speaks against the machine to close it.
    fn is_faulty(&self) -> bool {
        self.jobs.values().sum::<u32>() >= FAULTY_AFTER
    }
}

impl Region {
    /// A task of a job failed on a machine. Returns for how long the job is not tried.
    pub(super) fn on_failed(
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
        let turned = job.failures.failed(machine, has_results);
        let suspect = job.failures.is_suspect();
        let delay = job.failures.delay();
        if turned {
            self.on_job_suspected(id);
        } else if !suspect {
            self.note_machine_failure(machine, id, has_results, context);
        }
        delay
    }

    /// A job has turned out to be suspect: its failures no longer speak against machines,
    /// and no places are kept for it.
    fn on_job_suspected(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        log::info!(
            "region: {id}: team {}, class {}: failed on {} machines without a result, \
             tried again now and then",
            job.spec.team,
            job.spec.class,
            job.failures.machines.len()
        );
        for name in job.failures.machines.clone() {
            if let Some(m) = self.inventory.machines.get_mut(&name) {
                m.failures.forgive(id);
            }
        }
        self.release_reservation_of(id);
    }

    /// Takes back what was assigned of a suspect array and not sent yet: it is tried a
    /// task at a time.
    pub(super) fn withdraw_undispatched(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.spec.kind == JobKind::Gang {
            return;
        }
        let unsent: Vec<u32> = job
            .tasks
            .on_machines()
            .iter()
            .filter(|(n, name)| {
                let held = self
                    .inventory
                    .machines
                    .get(*name)
                    .and_then(|m| m.tasks.get(&(id.clone(), **n)));
                held.is_some_and(|h| h.state == TaskState::Assigned)
            })
            .map(|(n, _)| *n)
            .collect();
        for n in unsent {
            self.transition(id, n, TaskState::Pending, None, context.now);
        }
    }

    fn note_machine_failure(
        &mut self,
        machine: &str,
        id: &JobId,
        has_results: bool,
        context: &SchedulingContext<'_>,
    ) {
        let Some(m) = self.inventory.machines.get_mut(machine) else {
            return;
        };
        m.failures.failed(id, has_results);
        if m.failures.is_faulty() && m.cordoned.is_none() {
            log::info!("region: {machine}: closed, its tasks keep failing");
            m.cordoned = Some("faulty");
            self.revisit_at(machine, context.now);
        }
    }
}

#[cfg(test)]
mod tests;
