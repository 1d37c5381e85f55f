//! Preemption: stops running tasks in favour of pending jobs within their team's guarantee or of
//! higher priority.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind, JobSpec};
use salttiller_records::units::{Micros, SECOND};

use super::job::Job;
use super::machine::Machine;
use super::machine_index::PoolIndex;
use super::machine_pool::MachinePool;
use super::task::Assignment;
use super::{Region, SchedulingContext};

/// Time for which a job must be pending before other jobs are preempted for it.
const MIN_PENDING_TIME: Micros = 6 * SECOND;
/// Minimum time between two preemptions.
const PREEMPTION_INTERVAL: Micros = SECOND;
/// Number of jobs at the head of the queue that may preempt others.
const MAX_PREEMPTORS: usize = 8;
/// Maximum number of a job's tasks for which others are preempted at once. Gangs are exempt,
/// since they need all of their tasks.
const MAX_TASKS_PER_PREEMPTION: u64 = 16;

/// The job in favour of which others are preempted.
struct Preemptor<'a> {
    id: &'a JobId,
    job: &'a Job,
    is_guaranteed: bool,
    /// Number of tasks that need capacity.
    tasks: u64,
}

impl Preemptor<'_> {
    fn is_gang(&self) -> bool {
        self.job.spec.kind == JobKind::Gang
    }
}

/// Capacity for a job in a zone: the capacity that is already free, and the capacity that
/// preemption could free.
#[derive(Debug, Default)]
struct PreemptionOptions {
    /// Number of tasks that can be placed without preemption, or on machines where tasks are
    /// already being stopped.
    placeable: u64,
    candidates: Vec<PreemptionCandidate>,
}

/// A machine on which preemption would free capacity for tasks of the job.
#[derive(Debug)]
struct PreemptionCandidate {
    /// Run time lost by the stopped tasks, per task of the job that fits in their place.
    cost_per_task: Micros,
    /// Number of additional tasks of the job that would fit.
    gain: u64,
    machine: Rc<str>,
    /// The jobs of the tasks that would be stopped.
    victims: Vec<JobId>,
}

/// Jobs to be preempted, with the machines on which their tasks are stopped.
type Victims = BTreeMap<JobId, BTreeSet<Rc<str>>>;

impl PreemptionOptions {
    /// Returns the victims on the machines with the least cost, as many as the job's tasks need;
    /// `None` if no preemption is needed or none would help.
    fn cheapest_victims(mut self, preemptor: &Preemptor<'_>) -> Option<Victims> {
        let tasks = preemptor.tasks;
        let gain: u64 = self.candidates.iter().map(|c| c.gain).sum();
        let is_sufficient = self.placeable + gain >= tasks;
        if self.placeable >= tasks || gain == 0 || (preemptor.is_gang() && !is_sufficient) {
            return None;
        }
        self.candidates.sort_by_key(|c| c.cost_per_task);
        let mut victims = Victims::new();
        for candidate in self.candidates {
            if self.placeable >= tasks {
                break;
            }
            self.placeable += candidate.gain;
            for job in candidate.victims {
                let machines = victims.entry(job).or_default();
                machines.insert(candidate.machine.clone());
            }
        }
        Some(victims)
    }
}

impl Region {
    /// Stops tasks to free capacity for the first job in the queue that may preempt: tasks of
    /// lower priority or, if that job is within its team's guarantee, tasks of other teams beyond
    /// their own guarantees. The job must have been pending for [`MIN_PENDING_TIME`]. Stops only
    /// as many tasks as the job needs, those with the least lost run time first.
    pub(super) fn preempt(&mut self, context: &SchedulingContext<'_>) {
        if context.now < self.next_preemption_at
            || !self.reconciliation.is_complete()
            || !context.may_start
        {
            return;
        }
        let first: Vec<JobId> = self.queue.first(MAX_PREEMPTORS).cloned().collect();
        for id in first {
            if !self.may_preempt(&id, context) {
                continue;
            }
            self.next_preemption_at = context.now + PREEMPTION_INTERVAL;
            if self.preempt_for(&id, context) {
                return;
            }
        }
    }

    /// Whether a job has been pending for long enough, and only for lack of free capacity.
    fn may_preempt(&self, id: &JobId, context: &SchedulingContext<'_>) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let pending_for = context.now.saturating_sub(job.tasks.pending_since());
        if job.quota_blocked
            || job.not_before > context.now
            || pending_for < MIN_PENDING_TIME
            || job.commit_in_flight
            || job.failures.is_suspect()
        {
            return false;
        }
        // Guards against freeing capacity for a job that its team's quota share in this region
        // does not permit to start: the stopped tasks would start again in the freed capacity and
        // be stopped again.
        let least_tasks = match job.spec.kind {
            JobKind::Gang => u64::from(job.tasks.bound().len()),
            JobKind::Array | JobKind::Service => 1,
        };
        let needed = job.spec.quota_per_task().times(least_tasks);
        needed.within(self.quota_headroom(&job.spec.team, context))
    }

    /// Stops tasks to free capacity for a job. Returns whether there were any to stop.
    fn preempt_for(&mut self, id: &JobId, context: &SchedulingContext<'_>) -> bool {
        let Some(victims) = self.victims_for(id, context) else {
            return false;
        };
        for (victim, machines) in victims {
            log::info!("region={} job={victim}: preempted for {id}", self.name);
            self.stop_with_checkpoint(&victim, "preempted", |name, _| machines.contains(name));
        }
        true
    }

    fn victims_for(&self, id: &JobId, context: &SchedulingContext<'_>) -> Option<Victims> {
        let job = self.jobs.get(id)?;
        let preemptor = Preemptor {
            id,
            job,
            is_guaranteed: job
                .queue_key
                .as_ref()
                .is_some_and(super::queue::QueueKey::is_guaranteed),
            tasks: match job.spec.kind {
                JobKind::Gang => u64::from(job.tasks.bound().len()),
                JobKind::Array | JobKind::Service => {
                    u64::from(job.tasks.pending().len()).min(MAX_TASKS_PER_PREEMPTION)
                }
            },
        };
        self.candidate_zones(job).into_iter().find_map(|zone| {
            self.preemption_options(&preemptor, zone.as_deref(), context)
                .cheapest_victims(&preemptor)
        })
    }

    fn preemption_options(
        &self,
        preemptor: &Preemptor<'_>,
        zone: Option<&str>,
        context: &SchedulingContext<'_>,
    ) -> PreemptionOptions {
        let spec = &preemptor.job.spec;
        let mut options = PreemptionOptions::default();
        for (pool, pool_index) in self.inventory.index().pools() {
            if zone.is_some_and(|zone| *zone != *pool.zone)
                || !self.may_preempt_in_pool(preemptor, pool, pool_index, context)
            {
                continue;
            }
            for name in pool_index.available_machines() {
                let Some(machine) = self.inventory.machine(name) else {
                    continue;
                };
                let placeable = spec.tasks_fitting_in(machine.free());
                if machine.tasks.values().any(|task| task.stop_grace.is_some()) {
                    // Tasks on this machine are already being stopped.
                    options.placeable += spec.tasks_fitting_in(machine.capacity).max(placeable);
                    continue;
                }
                options.placeable += placeable;
                let candidate = self.preemption_candidate(name, machine, preemptor, context);
                options.candidates.extend(candidate);
            }
        }
        options
    }

    fn may_preempt_in_pool(
        &self,
        preemptor: &Preemptor<'_>,
        pool: &MachinePool,
        pool_index: &PoolIndex,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let Preemptor { id, job, .. } = preemptor;
        pool.permits(&job.spec)
            && !(job.is_flexible() && pool_index.reserved.is_some())
            // Guards against repeatedly stopping tasks for a job that may not use the freed
            // capacity, because that capacity is reserved for another job.
            && !self.is_reserved_for_another(id, job, pool, pool_index, context)
    }

    /// Returns the cost and gain of preemption on a machine; `None` if it would free no capacity
    /// for a task of the job.
    fn preemption_candidate(
        &self,
        name: &Rc<str>,
        machine: &Machine,
        preemptor: &Preemptor<'_>,
        context: &SchedulingContext<'_>,
    ) -> Option<PreemptionCandidate> {
        let spec = &preemptor.job.spec;
        let mut free = machine.free();
        let placeable = spec.tasks_fitting_in(free);
        let mut cost = 0;
        let mut victims = Vec::new();
        for ((other, _), task) in &machine.tasks {
            if self.is_preemptible(other, preemptor)
                && self.is_worth_preempting(other, task, context)
            {
                free = free.plus(task.resources());
                cost += run_time(task, context.now);
                victims.push(other.clone());
            }
        }
        let gain = spec.tasks_fitting_in(free).saturating_sub(placeable);
        Some(PreemptionCandidate {
            cost_per_task: cost.checked_div(gain)?,
            gain,
            machine: name.clone(),
            victims,
        })
    }

    /// Whether the preemptor may preempt tasks of this job.
    fn is_preemptible(&self, id: &JobId, preemptor: &Preemptor<'_>) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let is_beyond_guarantee = !self.queue.is_guaranteed(id, &job.spec);
        let is_guaranteed = preemptor.is_guaranteed;
        !job.has_ended
            && job.spec.kind != JobKind::Service
            // Guards against preempting a job within its team's guarantee for one of higher
            // priority beyond a guarantee: the guaranteed job has the better queue rank, so it
            // would take the freed capacity and be preempted repeatedly.
            && (is_guaranteed || is_beyond_guarantee)
            && (has_lower_priority(&job.spec, &preemptor.job.spec)
                || (is_guaranteed
                    && is_beyond_guarantee
                    && job.spec.team != preemptor.job.spec.team))
    }

    /// Whether a task has run for less than a third of its estimated run time, or its job saves
    /// checkpoints. Any other task will soon end by itself: stopping it would waste more than it
    /// gains.
    fn is_worth_preempting(
        &self,
        id: &JobId,
        task: &Assignment,
        context: &SchedulingContext<'_>,
    ) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            job.spec.checkpoint_interval > 0
                || run_time(task, context.now) < job.spec.estimated_run_time / 3
        })
    }
}

/// Returns how long a task has been running; 0 if it is not running yet.
fn run_time(task: &Assignment, now: Micros) -> Micros {
    task.running_since
        .map_or(0, |since| now.saturating_sub(since))
}

fn has_lower_priority(spec: &JobSpec, than: &JobSpec) -> bool {
    spec.priority < than.priority
}
