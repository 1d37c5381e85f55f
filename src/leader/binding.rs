//! Binding, the first level of scheduling: which region each job is bound to.
//!
//! As in the paper, where the front-end host gives each computation to the head of its list of
//! spheres, a job is bound to the region with the fewest unfinished jobs. Ours are the
//! restriction to regions that can hold the job, and gangs over several regions. Inputs are the
//! records (jobs, machines, owners), the planned capacity and the cloud's refusals. A binding
//! is written once; rebinding (`rebinding`) corrects it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::region::{only_fitting_type, SchedulingContext};
use crate::state_store::replica::Versioned;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::model::JobSpec;
use salttiller_records::record::{value, JobRecord, TaskRange};

use super::outbox::RecordChange;
use super::planned_capacity::{claim_from, tasks_in_region, PlannedCapacity};
use super::unplaced_job::{keeps_together, min_tasks, Flexibility};
use super::Leader;

/// Unfinished jobs by region: the paper's level-one list.
type UnfinishedJobs = BTreeMap<String, u32>;

/// An open job that is bound to no region.
struct UnboundJob<'a> {
    id: &'a str,
    spec: Rc<JobSpec>,
    record: &'a Versioned<JobRecord>,
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

    /// The jobs to bind, by time of submission.
    fn unbound_jobs<'a>(&self, context: &SchedulingContext<'a>) -> Vec<UnboundJob<'a>> {
        let replica = context.replica;
        let mut unbound: Vec<UnboundJob<'a>> = replica
            .unbound_jobs
            .iter()
            .filter(|id| !self.outbox.is_in_flight(&Key::Job((*id).clone())))
            .filter_map(|id| {
                let record = replica.jobs.get(id)?;
                let spec = record.value.open_spec()?.clone();
                Some(UnboundJob { id, spec, record })
            })
            .collect();
        unbound.sort_by_key(|job| (job.spec.submitted_at, job.id));
        unbound
    }

    /// The record of a job with its binding; `None` if there is no region to bind it to.
    fn bind_job(
        &mut self,
        job: &UnboundJob<'_>,
        unfinished: &mut UnfinishedJobs,
        context: &SchedulingContext<'_>,
    ) -> Option<JobRecord> {
        let spec = &job.spec;
        self.constrained_types
            .note(spec, context.replica, context.now);
        let only_type = only_fitting_type(spec, context.replica);
        let flexibility = Flexibility::of(only_type.as_deref());
        if flexibility == Flexibility::Flexible {
            self.demand.on_job_bound(spec, context);
        }
        if let Some(binding) = self.bind_over_regions(spec, flexibility, context) {
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
        let region = self.choose_region(spec, flexibility, unfinished, context)?;
        *unfinished.entry(region.clone()).or_default() += 1;
        log::debug!("region={region} job={}: bound", job.id);
        Some(JobRecord {
            task_ranges: vec![TaskRange::new(0, spec.task_count, region)],
            multi_region: None,
            ..job.record.value.clone()
        })
    }

    /// The region with the fewest unfinished jobs of those that can hold the job: for one that
    /// keeps together those with free capacity first. If none can, any with an owner, or any at
    /// all. Capacity for a job that keeps together is claimed.
    fn choose_region(
        &mut self,
        spec: &JobSpec,
        flexibility: Flexibility,
        unfinished: &UnfinishedJobs,
        context: &SchedulingContext<'_>,
    ) -> Option<String> {
        let able = self.able_regions(spec, flexibility, unfinished, context);
        let has_owner = |region: &str| context.replica.regions.contains_key(region);
        let fewest_jobs_able = || least_loaded(unfinished, |r| has_owner(r) && able.contains(r));
        let fewest_jobs_free = || {
            least_loaded(unfinished, |r| {
                has_owner(r) && self.has_free_capacity(spec, flexibility, r)
            })
        };
        let by_capacity = if keeps_together(spec) {
            fewest_jobs_free().or_else(fewest_jobs_able)
        } else {
            fewest_jobs_able()
        };
        let region = by_capacity
            .or_else(|| least_loaded(unfinished, has_owner))
            .or_else(|| least_loaded(unfinished, |_| true))?;
        if keeps_together(spec) {
            let machines = self
                .capacity
                .iter_mut()
                .filter(|c| c.region == region && c.is_available);
            let wanted = u64::from(spec.task_count);
            // What is lacking is rented by the next plan.
            let _lacking = claim_from(machines, spec, flexibility, wanted);
        }
        Some(region)
    }

    /// Whether a region has free capacity for a job: for all of its tasks if it keeps together.
    fn has_free_capacity(&self, spec: &JobSpec, flexibility: Flexibility, region: &str) -> bool {
        let fitting = |c: &PlannedCapacity| {
            if c.is_available {
                c.fitting_tasks(spec, flexibility)
            } else {
                0
            }
        };
        tasks_in_region(&self.capacity, spec, region, fitting) >= min_tasks(spec)
    }

    /// The regions with machines that could hold a job, on record or still to be rented.
    fn able_regions(
        &self,
        spec: &JobSpec,
        flexibility: Flexibility,
        unfinished: &UnfinishedJobs,
        context: &SchedulingContext<'_>,
    ) -> BTreeSet<String> {
        let needed = min_tasks(spec);
        let max_tasks = |c: &PlannedCapacity| c.max_tasks(spec, flexibility);
        let mut able: BTreeSet<String> = unfinished
            .keys()
            .filter(|region| has_permitted_machine(spec, region, context))
            .filter(|region| {
                needed == 1 || tasks_in_region(&self.capacity, spec, region, max_tasks) >= needed
            })
            .cloned()
            .collect();
        if keeps_together(spec) {
            let rentable = self.usable_offers(spec, context);
            able.extend(rentable.map(|(offer, _)| self.region_for(&offer, context)));
        }
        able
    }
}

/// Open jobs by configured region.
fn unfinished_jobs(context: &SchedulingContext<'_>) -> UnfinishedJobs {
    let level_one = &context.replica.jobs_per_region;
    context
        .settings
        .regions()
        .into_iter()
        .map(|region| {
            let jobs = level_one.get(&region).copied().unwrap_or(0);
            (region, jobs)
        })
        .collect()
}

/// The region with the fewest unfinished jobs of those that pass the filter, the first by name
/// of several.
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
