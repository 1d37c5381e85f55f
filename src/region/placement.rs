//! Placement: assigns pending tasks to machines.
//!
//! Placement runs after each event. Placement considers only the jobs that the changes recorded in
//! [`PlacementTriggers`] may affect, in queue order, and finds machines through the machine index.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::{JobId, JobKind, JobSpec};
use salttiller_records::Resources;

use super::job::Job;
use super::machine::Machine;
use super::machine_index::IndexEntry;
use super::machine_pool::MachinePool;
use super::queue::QueueKey;
use super::task::{AssignmentTarget, TaskState};
use super::triggers::PlacementTriggers;
use super::{Region, SchedulingContext};

/// Number of jobs at the head of the queue that count as the next ones: quota shares are
/// acquired for them ahead of free capacity, and capacity that becomes free goes to them.
pub(super) const NEXT_JOBS: usize = 3;

/// Bits of the counter in an attempt number; the fencing token takes the bits above.
const ATTEMPT_COUNTER_BITS: u32 = 24;

/// Zones to which a placement is limited, by the job's constraints and by the zones of its other
/// tasks.
#[derive(Debug)]
pub(super) struct ZoneLimits {
    /// The only permitted zone; `None` if all are permitted.
    only: Option<Rc<str>>,
    tasks_by_zone: BTreeMap<String, u32>,
    max_per_zone: u32,
}

impl ZoneLimits {
    /// Limits the placement to a zone, if one is given.
    pub(super) fn within(only: Option<Rc<str>>) -> Self {
        ZoneLimits {
            only,
            tasks_by_zone: BTreeMap::new(),
            max_per_zone: u32::MAX,
        }
    }

    /// Permits all zones.
    pub(super) fn none() -> Self {
        ZoneLimits::within(None)
    }

    /// Limits the placement to a zone, if one is given. A job that spreads over zones may have at
    /// most half of its tasks in each zone.
    pub(super) fn for_job(spec: &JobSpec, only: Option<Rc<str>>) -> Self {
        ZoneLimits {
            max_per_zone: if spec.spread_zones {
                spec.task_count.div_ceil(2)
            } else {
                u32::MAX
            },
            ..ZoneLimits::within(only)
        }
    }

    /// Counts a task of the job in this zone.
    pub(super) fn add_task(&mut self, zone: &str) {
        *self.tasks_by_zone.entry(zone.to_owned()).or_default() += 1;
    }

    /// Limits the placement to the zone in which the job has tasks, if there is one.
    fn limit_to_occupied_zone(&mut self) {
        self.only = self
            .tasks_by_zone
            .keys()
            .next()
            .map(|zone| Rc::from(&**zone));
    }

    fn permits(&self, zone: &str) -> bool {
        self.only.as_ref().is_none_or(|only| **only == *zone)
            && self
                .tasks_by_zone
                .get(zone)
                .is_none_or(|tasks| *tasks < self.max_per_zone)
    }
}

/// Rank of a machine on which a task fits; the least rank is the best.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    /// The job is flexible, and constrained jobs need this machine type.
    is_reserved_type: bool,
    job_failed_on_machine: bool,
    tasks: u32,
    image_missing: bool,
    /// The job allows spot machines, so the on-demand machine is better left to a job that does
    /// not.
    wastes_on_demand: bool,
}

/// Whether to continue placing tasks of the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementStep {
    Continue,
    Stop,
}

impl Region {
    /// Assigns pending tasks to machines, each to the best-ranked one on which it fits. Considers
    /// only jobs for which something changed: their own tasks, the free capacity of a machine, or
    /// their team's quota share.
    pub fn place_pending(&mut self, context: &SchedulingContext<'_>) {
        self.update_guaranteed_jobs(context);
        let triggers = self.triggers.take();
        if self.queue.is_empty() || triggers.is_empty() {
            return;
        }
        let mut is_any_quota_blocked = false;
        for id in self.jobs_to_place(&triggers) {
            is_any_quota_blocked |= self.place_job(&id, context);
        }
        self.uncordon_for_next_jobs();
        // Requests larger shares at once instead of at the next regular update.
        if is_any_quota_blocked {
            self.update_quota_shares(context);
        }
    }

    fn jobs_to_place(&self, triggers: &PlacementTriggers) -> Vec<JobId> {
        let machines: Vec<(Resources, &Machine)> = triggers
            .machines()
            .filter_map(|name| self.inventory.machine(name))
            .filter(|machine| matches!(machine.index_entry, IndexEntry::Available { .. }))
            .map(|machine| (machine.free(), machine))
            .collect();
        let is_affected = |id: &JobId| {
            triggers.affects_all()
                || triggers.affects_job(id)
                || self.jobs.get(id).is_some_and(|job| {
                    (job.quota_blocked && triggers.affects_team(&job.spec.team))
                        || machines
                            .iter()
                            .any(|(free, machine)| fits_on(&job.spec, *free, machine))
                })
        };
        self.queue
            .iter()
            .filter(|id| is_affected(id))
            .cloned()
            .collect()
    }

    /// Places a job's pending tasks. Returns whether its team's quota share was too small for
    /// some of them.
    fn place_job(&mut self, id: &JobId, context: &SchedulingContext<'_>) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if job.not_before > context.now || job.tasks.pending().is_empty() {
            return false;
        }
        job.quota_blocked = false;
        match job.spec.kind {
            JobKind::Gang => self.place_gang(id, context),
            JobKind::Array | JobKind::Service => self.place_tasks(id, context),
        }
        self.update_queue_position(id, context);
        self.jobs.get(id).is_some_and(|job| job.quota_blocked)
    }

    /// Uncordons machines that were cordoned as not needed, if one of the next jobs lacks free
    /// capacity.
    fn uncordon_for_next_jobs(&mut self) {
        if !self.inventory.has_draining() {
            return;
        }
        let is_constrained: BTreeSet<bool> = self
            .queue
            .first(NEXT_JOBS)
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| !job.quota_blocked)
            .map(|job| !job.is_flexible())
            .collect();
        for for_constrained_jobs in is_constrained {
            self.uncordon(for_constrained_jobs);
        }
    }

    fn place_tasks(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        while self.place_next_task(id, context) == PlacementStep::Continue {}
    }

    fn place_next_task(&mut self, id: &JobId, context: &SchedulingContext<'_>) -> PlacementStep {
        let Some(job) = self.jobs.get(id) else {
            return PlacementStep::Stop;
        };
        if job.tasks_to_schedule(context.now) == 0 {
            return PlacementStep::Stop;
        }
        let is_aged_start = job.queue_key.as_ref().is_some_and(QueueKey::is_aged_start);
        if is_aged_start && !self.queue.allows_aged_start(context.now) {
            // Another aged job has used the current aged start. The trigger makes placement
            // consider this job again at its regular rank.
            self.triggers.job_changed(id);
            return PlacementStep::Stop;
        }
        let (Some(task), Some(limits)) = (job.tasks.pending().first(), self.zone_limits(job))
        else {
            return PlacementStep::Stop;
        };
        let spec = job.spec.clone();
        let Some(machine) = self.best_machine(id, &limits, context) else {
            return PlacementStep::Stop;
        };
        let headroom = self.quota_headroom(&spec.team, context);
        if !spec.quota_per_task().within(headroom) {
            self.mark_quota_blocked(id);
            return PlacementStep::Stop;
        }
        let target = AssignmentTarget {
            machine: &machine,
            attempt: self.next_attempt(),
        };
        self.transition(id, task, TaskState::Assigned, Some(target), context.now);
        if is_aged_start {
            // The job's other tasks are placed at its regular rank.
            self.queue.record_aged_start(context.now);
            self.triggers.job_changed(id);
            return PlacementStep::Stop;
        }
        PlacementStep::Continue
    }

    /// Returns the zones for the next task of an array or service, which depend on the zones of
    /// its other tasks; `None` until those tasks are reconciled.
    fn zone_limits(&self, job: &Job) -> Option<ZoneLimits> {
        let spec = &job.spec;
        let mut limits = ZoneLimits::for_job(spec, None);
        if !spec.single_zone && !spec.spread_zones {
            return Some(limits);
        }
        if !job.tasks.unreconciled().is_empty() {
            return None;
        }
        for machine in job.tasks.on_machines().values() {
            if let Some(machine) = self.inventory.machine(machine) {
                limits.add_task(&machine.record.zone);
            }
        }
        if spec.single_zone {
            limits.limit_to_occupied_zone();
        }
        Some(limits)
    }

    /// Returns the best machine for a task of the job; see [`MachineRank`].
    pub(super) fn best_machine(
        &self,
        id: &JobId,
        limits: &ZoneLimits,
        context: &SchedulingContext<'_>,
    ) -> Option<Rc<str>> {
        let job = self.jobs.get(id)?;
        let spec = &job.spec;
        let is_flexible = job.is_flexible();
        self.inventory.index().best_machine(
            spec,
            is_flexible,
            |pool| self.may_use_pool(id, job, pool, limits, context),
            |pool, tasks, name| {
                let machine = self.inventory.machine(name)?;
                let free = machine.index_entry.free_for(is_flexible)?;
                spec.task_fits_in(free).then(|| MachineRank {
                    is_reserved_type: is_flexible
                        && self.inventory.index().reserved(pool).is_some(),
                    job_failed_on_machine: job.failures.failed_on(name),
                    tasks,
                    image_missing: !machine.has_image(&spec.image),
                    wastes_on_demand: !pool.spot && spec.allows_spot,
                })
            },
        )
    }

    /// Whether a job's tasks may currently be placed on machines of a pool.
    pub(super) fn may_use_pool(
        &self,
        id: &JobId,
        job: &Job,
        pool: &MachinePool,
        limits: &ZoneLimits,
        context: &SchedulingContext<'_>,
    ) -> bool {
        pool.permits(&job.spec)
            && limits.permits(&pool.zone)
            && self
                .inventory
                .index()
                .pool(pool)
                .is_none_or(|index| !self.is_reserved_for_another(id, job, pool, index, context))
    }

    /// Returns how many of a job's tasks could be placed now, up to `max`.
    pub(super) fn tasks_placeable_now(
        &self,
        id: &JobId,
        limits: &ZoneLimits,
        max: u64,
        context: &SchedulingContext<'_>,
    ) -> u64 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let is_flexible = job.is_flexible();
        let free = |name: &str| {
            self.inventory
                .machine(name)
                .and_then(|machine| machine.index_entry.free_for(is_flexible))
                .unwrap_or_default()
        };
        self.inventory.index().tasks_fitting_now(
            &job.spec,
            is_flexible,
            |pool| self.may_use_pool(id, job, pool, limits, context),
            free,
            max,
        )
    }

    /// Returns the zones in which a gang could be placed; a single `None` if any zone is
    /// permitted.
    pub(super) fn candidate_zones(&self, job: &Job) -> Vec<Option<Rc<str>>> {
        if let Some(zone) = job.gang.zone() {
            return vec![Some(Rc::from(zone))];
        }
        if !job.spec.single_zone {
            return vec![None];
        }
        let zones: BTreeSet<Rc<str>> = self
            .inventory
            .index()
            .pools()
            .map(|(pool, _)| pool.zone.clone())
            .collect();
        zones.into_iter().map(Some).collect()
    }

    /// Marks a job that is not placed only because its team's quota share is too small.
    pub(super) fn mark_quota_blocked(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.quota_blocked = true;
        }
    }

    /// Returns the number of a new attempt. The fencing token in it makes the number unique among
    /// all owners of the region.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempt_sequence += 1;
        let counter_mask = (1 << ATTEMPT_COUNTER_BITS) - 1;
        (self.token << ATTEMPT_COUNTER_BITS) | (self.attempt_sequence & counter_mask)
    }

    /// Records that a task for which a machine was to fetch the image is not started there. The
    /// machine won't have the image unless another task of the job is assigned to it.
    pub(super) fn forget_image(&mut self, machine: &str, id: &JobId) {
        let Some(image) = self.jobs.get(id).map(|job| &job.spec.image) else {
            return;
        };
        self.inventory.forget_image(machine, id, image);
    }
}

/// Whether a task fits on a machine with this much free capacity.
fn fits_on(spec: &JobSpec, free: Resources, machine: &Machine) -> bool {
    let record = &machine.record;
    spec.task_fits_in(free)
        && spec.permits_placement(&record.machine_type, &record.zone, record.spot)
}
