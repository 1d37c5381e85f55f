//! Preemption: running work is stopped for pending work that ranks before it.

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

/// How long a job must be pending before others are preempted for it.
const PREEMPT_AFTER: Micros = 6 * SECOND;
/// The least time between two preemptions.
const PREEMPTION_INTERVAL: Micros = SECOND;
/// How many jobs at the head of the queue may preempt others.
const MAX_CANDIDATE_JOBS: usize = 8;
/// Most tasks of a job for which others are preempted at once; a gang needs all of its tasks.
const MAX_TASKS_AT_ONCE: u64 = 16;

/// The job that others are preempted for.
struct Beneficiary<'a> {
    id: &'a JobId,
    job: &'a Job,
    is_guaranteed: bool,
    /// For how many tasks there is to be capacity.
    tasks: u64,
}

impl Beneficiary<'_> {
    fn is_gang(&self) -> bool {
        self.job.spec.kind == JobKind::Gang
    }
}

/// What preemption could gain for a job in a zone.
#[derive(Debug, Default)]
struct PreemptionSurvey {
    /// Tasks that can be placed without it, or where machines are being cleared already.
    placeable: u64,
    candidates: Vec<PreemptionCandidate>,
}

/// A machine on which preemption would make places.
#[derive(Debug)]
struct PreemptionCandidate {
    /// The run time that is lost for each place.
    cost_per_task: Micros,
    /// How many places it makes.
    gain: u64,
    machine: Rc<str>,
    /// The jobs of the tasks that would be stopped.
    victims: Vec<JobId>,
}

/// Jobs to be preempted, with the machines on which their tasks are stopped.
type Victims = BTreeMap<JobId, BTreeSet<Rc<str>>>;

impl PreemptionSurvey {
    /// The cheapest preemption that makes places for the job; `None` if none is needed or none
    /// helps.
    fn cheapest_victims(mut self, beneficiary: &Beneficiary<'_>) -> Option<Victims> {
        let tasks = beneficiary.tasks;
        let gain: u64 = self.candidates.iter().map(|c| c.gain).sum();
        let is_sufficient = self.placeable + gain >= tasks;
        if self.placeable >= tasks || gain == 0 || (beneficiary.is_gang() && !is_sufficient) {
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
    /// Stops work so that a job within its team's guarantee, or of higher priority,
    /// finds free capacity: work of lower priority, or of other teams beyond their own
    /// guarantees. Only for the first such job in the queue, only after it has been pending
    /// for a while, and only as much as it needs; what has run for the shortest time goes
    /// first.
    pub(super) fn preempt(&mut self, context: &SchedulingContext<'_>) {
        if context.now < self.next_preemption_at
            || !self.reconciliation.is_complete()
            || !context.may_start
        {
            return;
        }
        let first: Vec<JobId> = self.queue.first(MAX_CANDIDATE_JOBS).cloned().collect();
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

    /// Whether only the lack of free capacity keeps a job from starting, for long enough.
    fn may_preempt(&self, id: &JobId, context: &SchedulingContext<'_>) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let pending_for = context.now.saturating_sub(job.tasks.pending_since());
        if job.quota_blocked
            || job.not_before > context.now
            || pending_for < PREEMPT_AFTER
            || job.commit_in_flight
            || job.failures.is_suspect()
        {
            return false;
        }
        // Guards against capacity that is cleared for a job that its team's share here does not
        // let start: what was stopped takes the place again, and is stopped again.
        let least_tasks = match job.spec.kind {
            JobKind::Gang => u64::from(job.tasks.bound().len()),
            JobKind::Array | JobKind::Service => 1,
        };
        let needed = job.spec.quota_per_task().times(least_tasks);
        needed.within(self.quota_headroom(&job.spec.team, context))
    }

    /// Stops work so that a job finds free capacity. Returns whether that helps.
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
        let beneficiary = Beneficiary {
            id,
            job,
            is_guaranteed: job
                .queue_key
                .as_ref()
                .is_some_and(super::queue::QueueKey::is_guaranteed),
            tasks: match job.spec.kind {
                JobKind::Gang => u64::from(job.tasks.bound().len()),
                JobKind::Array | JobKind::Service => {
                    u64::from(job.tasks.pending().len()).min(MAX_TASKS_AT_ONCE)
                }
            },
        };
        self.candidate_zones(job).into_iter().find_map(|zone| {
            self.survey_preemption(&beneficiary, zone.as_deref(), context)
                .cheapest_victims(&beneficiary)
        })
    }

    fn survey_preemption(
        &self,
        beneficiary: &Beneficiary<'_>,
        zone: Option<&str>,
        context: &SchedulingContext<'_>,
    ) -> PreemptionSurvey {
        let spec = &beneficiary.job.spec;
        let mut survey = PreemptionSurvey::default();
        for (pool, pool_index) in self.inventory.index().pools() {
            if zone.is_some_and(|zone| *zone != *pool.zone)
                || !self.may_preempt_in_pool(beneficiary, pool, pool_index, context)
            {
                continue;
            }
            for name in pool_index.available_machines() {
                let Some(machine) = self.inventory.machine(name) else {
                    continue;
                };
                let placeable = spec.tasks_fitting_in(machine.free());
                if machine.tasks.values().any(|task| task.stop_grace.is_some()) {
                    // It is being cleared already.
                    survey.placeable += spec.tasks_fitting_in(machine.capacity).max(placeable);
                    continue;
                }
                survey.placeable += placeable;
                let candidate = self.preemption_on(name, machine, beneficiary, context);
                survey.candidates.extend(candidate);
            }
        }
        survey
    }

    fn may_preempt_in_pool(
        &self,
        beneficiary: &Beneficiary<'_>,
        pool: &MachinePool,
        pool_index: &PoolIndex,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let Beneficiary { id, job, .. } = beneficiary;
        pool.permits(&job.spec)
            && !(job.is_flexible() && pool_index.reserved.is_some())
            // Guards against work that is stopped again and again for a job that
            // may not go there, since the places are reserved for another.
            && !self.is_reserved_for_another(id, job, pool, pool_index, context)
    }

    /// What preemption on a machine costs and gains; `None` if it makes no places.
    fn preemption_on(
        &self,
        name: &Rc<str>,
        machine: &Machine,
        beneficiary: &Beneficiary<'_>,
        context: &SchedulingContext<'_>,
    ) -> Option<PreemptionCandidate> {
        let spec = &beneficiary.job.spec;
        let mut free = machine.free();
        let placeable = spec.tasks_fitting_in(free);
        let mut cost = 0;
        let mut victims = Vec::new();
        for ((other, _), task) in &machine.tasks {
            if self.is_preemptible(other, beneficiary)
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

    /// Whether a job may be stopped for another.
    fn is_preemptible(&self, id: &JobId, beneficiary: &Beneficiary<'_>) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let is_beyond_guarantee = !self.queue.is_guaranteed(id, &job.spec);
        let is_guaranteed = beneficiary.is_guaranteed;
        !job.is_over
            && job.spec.kind != JobKind::Service
            // Guards against work within a guarantee that is stopped for higher
            // priority beyond one: it goes first, takes its place again, and so on.
            && (is_guaranteed || is_beyond_guarantee)
            && (has_lower_priority(&job.spec, &beneficiary.job.spec)
                || (is_guaranteed
                    && is_beyond_guarantee
                    && job.spec.team != beneficiary.job.spec.team))
    }

    /// Whether a task has most of its run before it, or can save a checkpoint: else it soon
    /// ends by itself, and to stop it would waste more than it gains.
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

/// For how long a task has run; 0 if it does not run yet.
fn run_time(task: &Assignment, now: Micros) -> Micros {
    task.running_since
        .map_or(0, |since| now.saturating_sub(since))
}

fn has_lower_priority(spec: &JobSpec, than: &JobSpec) -> bool {
    spec.priority < than.priority
}
