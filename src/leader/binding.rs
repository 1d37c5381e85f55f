//! Binding, the first level of scheduling: selects the region that each job is bound to.
//!
//! A job is bound to the region with the fewest unfinished jobs, as in the paper, where the
//! front-end host gives each computation to the head of its list of spheres. Two rules extend the
//! paper: only regions that can hold the job are considered, and a gang may be bound to several
//! regions. Inputs are the records (jobs, machines, owners), the planned capacity and the cloud's
//! refusals. This module binds each job once; the module `rebinding` changes bindings afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::region::{only_fitting_type, RemainingTasks, SchedulingContext};
use crate::state_store::replica::Versioned;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::model::JobSpec;
use salttiller_records::record::{value, JobRecord, TaskRange};

use super::outbox::RecordChange;
use super::planned_capacity::{claim_from, tasks_in_region, PlannedCapacity};
use super::unplaced_job::{open_tasks, Flexibility};
use super::Leader;

/// Number of unfinished jobs by region: the paper's level-one list.
type UnfinishedJobs = BTreeMap<String, u32>;

/// An open job that is bound to no region.
struct UnboundJob<'a> {
    id: &'a str,
    spec: Rc<JobSpec>,
    record: &'a Versioned<JobRecord>,
    /// What remains of the job, which may be partly done: a job that no region can hold is unbound
    /// and bound again.
    remaining: RemainingTasks,
}

impl UnboundJob<'_> {
    /// Minimum number of tasks that must fit in a region for the job to be bound there.
    fn min_tasks(&self) -> u64 {
        u64::from(self.remaining.min_fitting(&self.spec))
    }
}

impl Leader {
    /// Binds every job that is not bound yet, in the order of submission.
    pub(super) fn bind(&mut self, context: &SchedulingContext<'_>) {
        let unbound = self.unbound_jobs(context);
        if unbound.is_empty() {
            return;
        }
        let mut unfinished = unfinished_jobs(context);
        let mut changes = Vec::new();
        for job in unbound {
            if let Some(bound) = self.bind_job(&job, &mut unfinished, context) {
                changes.push(RecordChange {
                    key: Key::Job(job.id.to_owned()),
                    expected_version: job.record.version,
                    value: value(&bound),
                });
            }
        }
        self.commit(changes, CommitPriority::Normal, context);
    }

    /// Returns the jobs to bind, ordered by submission time.
    fn unbound_jobs<'a>(&self, context: &SchedulingContext<'a>) -> Vec<UnboundJob<'a>> {
        let replica = context.replica;
        let mut unbound: Vec<UnboundJob<'a>> = replica
            .unbound_jobs
            .iter()
            .filter(|id| !self.outbox.is_in_flight(&Key::Job((*id).clone())))
            .filter_map(|id| {
                let record = replica.jobs.get(id)?;
                let spec = record.value.open_spec()?.clone();
                let open = open_tasks(id, &spec, context);
                Some(UnboundJob {
                    id,
                    spec,
                    record,
                    remaining: RemainingTasks {
                        open,
                        pending: open,
                        on_machines: 0,
                    },
                })
            })
            .collect();
        unbound.sort_by_key(|job| (job.spec.submitted_at, job.id));
        unbound
    }

    /// Returns a job's record with its binding, or `None` if there is no region to bind it to.
    fn bind_job(
        &mut self,
        job: &UnboundJob<'_>,
        unfinished: &mut UnfinishedJobs,
        context: &SchedulingContext<'_>,
    ) -> Option<JobRecord> {
        let spec = &job.spec;
        self.constrained_types
            .record_job(spec, context.replica, context.now);
        let only_type = only_fitting_type(spec, context.replica);
        let flexibility = Flexibility::of(only_type.as_deref());
        if flexibility == Flexibility::Flexible {
            self.demand.on_job_bound(spec, context);
        }
        if let Some(binding) = self.bind_across_regions(spec, flexibility, context) {
            log::info!(
                "job={}: too large for one region, bound to several: {:?}",
                job.id,
                binding.task_ranges
            );
            return Some(JobRecord {
                task_ranges: binding.task_ranges,
                multi_region: Some(binding.attempt),
                ..job.record.value.clone()
            });
        }
        let region = self.choose_region(job, flexibility, unfinished, context)?;
        *unfinished.entry(region.clone()).or_default() += 1;
        log::debug!("region={region} job={}: bound", job.id);
        Some(JobRecord {
            task_ranges: vec![TaskRange::new(0, spec.task_count, region)],
            multi_region: None,
            ..job.record.value.clone()
        })
    }

    /// Selects the region with the fewest unfinished jobs among the regions that can hold the job.
    /// For an indivisible job, regions with free capacity have precedence, and capacity is claimed
    /// in the selected region. If no region can hold the job, regions with an owner are
    /// considered, then all regions.
    fn choose_region(
        &mut self,
        job: &UnboundJob<'_>,
        flexibility: Flexibility,
        unfinished: &UnfinishedJobs,
        context: &SchedulingContext<'_>,
    ) -> Option<String> {
        let spec = &job.spec;
        let capable = self.capable_regions(job, flexibility, unfinished, context);
        let has_owner = |region: &str| context.replica.regions.contains_key(region);
        let least_loaded_capable =
            || least_loaded(unfinished, |r| has_owner(r) && capable.contains(r));
        let least_loaded_with_free_capacity = || {
            least_loaded(unfinished, |r| {
                has_owner(r) && self.has_free_capacity(job, flexibility, r)
            })
        };
        let by_capacity = if spec.is_indivisible() {
            least_loaded_with_free_capacity().or_else(least_loaded_capable)
        } else {
            least_loaded_capable()
        };
        let region = by_capacity
            .or_else(|| least_loaded(unfinished, has_owner))
            .or_else(|| least_loaded(unfinished, |_| true))?;
        if spec.is_indivisible() {
            let machines = self
                .capacity
                .iter_mut()
                .filter(|c| c.region == region && c.is_available);
            let wanted = u64::from(job.remaining.open);
            // The next plan rents machines for the tasks without capacity.
            let _unclaimed = claim_from(machines, spec, flexibility, wanted);
        }
        Some(region)
    }

    /// Whether a region has free capacity for a job: for all of its open tasks if it is indivisible,
    /// else for one.
    fn has_free_capacity(
        &self,
        job: &UnboundJob<'_>,
        flexibility: Flexibility,
        region: &str,
    ) -> bool {
        let spec = &job.spec;
        let fitting = |c: &PlannedCapacity| {
            if c.is_available {
                c.fitting_tasks(spec, flexibility)
            } else {
                0
            }
        };
        tasks_in_region(&self.capacity, spec, region, fitting) >= job.min_tasks()
    }

    /// Returns the regions whose machines, on record or still to be rented, could hold a job.
    fn capable_regions(
        &self,
        job: &UnboundJob<'_>,
        flexibility: Flexibility,
        unfinished: &UnfinishedJobs,
        context: &SchedulingContext<'_>,
    ) -> BTreeSet<String> {
        let spec = &job.spec;
        let needed = job.min_tasks();
        let max_tasks = |c: &PlannedCapacity| c.max_tasks(spec, flexibility);
        let mut capable: BTreeSet<String> = unfinished
            .keys()
            .filter(|region| has_permitted_machine(spec, region, context))
            .filter(|region| {
                needed == 1 || tasks_in_region(&self.capacity, spec, region, max_tasks) >= needed
            })
            .cloned()
            .collect();
        if spec.is_indivisible() {
            let rentable = self.usable_offers(spec, context);
            capable.extend(rentable.map(|(offer, _)| self.region_for(&offer, context)));
        }
        capable
    }
}

/// Counts the unfinished jobs of each configured region.
fn unfinished_jobs(context: &SchedulingContext<'_>) -> UnfinishedJobs {
    let jobs_per_region = &context.replica.jobs_per_region;
    context
        .settings
        .regions()
        .into_iter()
        .map(|region| {
            let jobs = jobs_per_region.get(&region).copied().unwrap_or(0);
            (region, jobs)
        })
        .collect()
}

/// Returns the region with the fewest unfinished jobs among those that pass the filter; ties go
/// to the first by name.
fn least_loaded(unfinished: &UnfinishedJobs, filter: impl Fn(&str) -> bool) -> Option<String> {
    unfinished
        .iter()
        .filter(|(region, _)| filter(region))
        .min_by_key(|(_, jobs)| **jobs)
        .map(|(region, _)| region.clone())
}

/// Whether a region has a machine on record on which a task of the job may run.
fn has_permitted_machine(spec: &JobSpec, region: &str, context: &SchedulingContext<'_>) -> bool {
    let machine_types = &context.replica.machine_types;
    context
        .replica
        .machine_counts
        .get(region)
        .is_some_and(|pools| {
            pools.keys().any(|pool| {
                machine_types
                    .get(&pool.machine_type)
                    .is_some_and(|known| spec.permits_machine(&known.value, &pool.zone, pool.spot))
            })
        })
}
