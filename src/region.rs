//! Second level of scheduling: the owner of a region places tasks on the region's machines.
//!
//! [`Region`] consists of components that own their state: the queue of pending jobs, the
//! machine inventory, the quota shares, the commits in flight and the placement triggers.
//! Operations that span several components are methods of [`Region`], with one module for each
//! responsibility. The controller passes every event to the region (heartbeats, changed
//! records, commit outcomes, messages of the leader, timer ticks) and executes the [`Action`]s
//! that the region returns.
//!
//! Invariants: every task of a job that is bound to the region is in one
//! [`TaskState`]; `task_transition` lists the transitions. The region learns the state of
//! machines from their heartbeats alone. A task that may be on a machine stays assigned to it
//! until the machine reports otherwise or is proven empty.

mod action;
mod commits;
mod constrained_types;
mod context;
mod failure_attribution;
mod gang_state;
mod gangs;
mod hand_over;
mod heartbeat_answers;
mod heartbeat_outcome;
mod heartbeats;
mod interruption;
mod job;
mod job_lifecycle;
mod job_tasks;
mod machine;
mod machine_checks;
mod machine_index;
mod machine_inventory;
mod machine_lifecycle;
mod machine_membership;
mod machine_pool;
mod machine_records;
mod objectives;
mod placement;
mod preemption;
mod progress;
mod provisioning;
mod queue;
mod quota_demand;
mod quota_share;
mod quota_updates;
mod reachability;
mod reassignment;
mod rebound_ranges;
mod recent_starts;
mod reconciliation;
mod remaining_tasks;
mod reservation;
mod runtime_estimates;
mod task;
mod task_reports;
mod task_transition;
mod triggers;
mod undispatched;

pub use action::{Action, CommitKind};
pub use constrained_types::{only_fitting_type, ConstrainedTypes};
pub use context::SchedulingContext;
pub use heartbeat_outcome::HeartbeatOutcome;
pub use machine::MachineState;
pub use machine_pool::MachinePool;
pub use objectives::start_windows;
pub use provisioning::is_provisioning_degraded;
pub use remaining_tasks::RemainingTasks;
pub use task::TaskState;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::{PendingJob, PoolCapacity, RegionReport, RunningTasks};
use crate::quota;
use crate::settings::Settings;
use commits::CommitTracker;
use job::Job;
use machine_inventory::MachineInventory;
use machine_records::MachineRecordChanges;
use queue::JobQueue;
use quota_share::QuotaShares;
use recent_starts::RecentStarts;
use reconciliation::Reconciliation;
use reservation::GangReservation;
use runtime_estimates::RuntimeEstimates;
use salttiller_records::model::JobId;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use salttiller_records::Resources;
use task::Assignment;
use triggers::PlacementTriggers;
use undispatched::UndispatchedTasks;

/// Interval between two runs of the upkeep.
const UPKEEP_INTERVAL: Micros = 250 * MILLISECOND;
/// Time after its acquisition during which a region is not handed over while the removal of
/// records of terminated machines is pending.
const MAX_REMOVAL_WAIT: Micros = 60 * SECOND;
/// Maximum number of pending jobs in a report.
const MAX_REPORTED_PENDING_JOBS: usize = 200;
/// Maximum number of jobs with running tasks in a report.
const MAX_REPORTED_RUNNING_JOBS: usize = 500;
/// A region receives few heartbeats if fewer than one in four of its activated machines
/// reported within the last heartbeat window.
const FEW_HEARTBEATS_DIVISOR: usize = 4;

/// Time in which each machine sends at least one heartbeat: the heartbeat interval, a quarter of it
/// for jitter, and 4 seconds for delays.
fn heartbeat_window(settings: &Settings) -> Micros {
    settings.heartbeat_interval * 5 / 4 + 4 * SECOND
}

/// A region that this controller owns; see the module documentation.
#[derive(Debug)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Fencing token under which this controller owns the region.
    pub token: u64,
    /// Revision of the region's record at which this controller became the owner.
    pub version: u64,
    reconciliation: Reconciliation,
    inventory: MachineInventory,
    machine_records: MachineRecordChanges,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with results that are not yet committed.
    unrecorded_jobs: BTreeSet<JobId>,
    undispatched: UndispatchedTasks,
    recent_starts: RecentStarts,
    queue: JobQueue,
    runtime_estimates: RuntimeEstimates,
    reservation: Option<GangReservation>,
    quotas: QuotaShares,
    commits: CommitTracker,
    /// Number of attempts started under this fencing token.
    attempt_sequence: u64,
    triggers: PlacementTriggers,
    next_upkeep_at: Micros,
    next_preemption_at: Micros,
}

impl Region {
    /// Creates the state of a region whose record this controller has just committed as its
    /// own. The replica must be complete up to that commit, so that it contains every machine
    /// and every job that a former owner may have used.
    #[must_use]
    pub fn new(name: &str, token: u64, version: u64, context: &SchedulingContext<'_>) -> Self {
        let mut region = Region {
            name: name.to_owned(),
            token,
            version,
            reconciliation: Reconciliation::new(context.now),
            inventory: MachineInventory::default(),
            machine_records: MachineRecordChanges::default(),
            jobs: BTreeMap::new(),
            unrecorded_jobs: BTreeSet::new(),
            undispatched: UndispatchedTasks::default(),
            recent_starts: RecentStarts::default(),
            queue: JobQueue::new(context.replica.teams.keys().cloned()),
            runtime_estimates: RuntimeEstimates::default(),
            reservation: None,
            quotas: QuotaShares::default(),
            commits: CommitTracker::default(),
            attempt_sequence: 0,
            triggers: PlacementTriggers::default(),
            next_upkeep_at: 0,
            next_preemption_at: 0,
        };
        region.triggers.everything_changed();
        region.inherit_records(context);
        region.try_complete_reconciliation(context);
        if is_disabled(Safeguard::Reconciliation) && !region.reconciliation.is_complete() {
            region.complete_reconciliation(context);
        }
        region
    }

    /// Adds the machines, jobs and quota shares that a former owner may have used.
    fn inherit_records(&mut self, context: &SchedulingContext<'_>) {
        for (machine, record) in &context.replica.machines {
            if record.value.region == self.name {
                self.on_machine(machine, context);
            }
        }
        let machines = self.inventory.machines();
        let activated = machines.filter(|(_, machine)| machine.record.activated);
        self.reconciliation
            .set_unreconciled(activated.map(|(name, _)| name.clone()));
        for id in &context.replica.ready_jobs {
            self.inherit_job(id, context);
        }
        for (team, record) in &context.replica.quotas {
            let share = quota::recorded_share(Some(&record.value), &self.name);
            self.quotas.set_inherited(team, share);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.on_progress(&id, context);
        }
    }

    /// Whether all machines that a former owner may have used are reconciled.
    pub fn is_reconciled(&self) -> bool {
        self.reconciliation.is_complete()
    }

    /// Whether another controller can take over the region without waiting for terminated
    /// machines: the next owner would have to reconcile each machine whose record is not
    /// removed yet. After `MAX_REMOVAL_WAIT`, pending removals no longer delay the handover.
    pub fn is_ready_to_hand_over(&self, now: Micros) -> bool {
        let has_waited = now > self.reconciliation.acquired_at() + MAX_REMOVAL_WAIT;
        self.reconciliation.is_complete()
            && (!self.machine_records.has_pending_removals() || has_waited)
    }

    /// Number of activated machines: those that may hold tasks.
    pub fn activated_machines(&self) -> usize {
        self.inventory.activated_count()
    }

    /// Whether only few activated machines sent a heartbeat within the last heartbeat window.
    /// Returns `false` until this controller has been reachable (`reachable_since`) and has owned
    /// the region for two windows, so that every machine had time to send a heartbeat.
    pub fn receives_few_heartbeats(
        &self,
        reachable_since: Micros,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let window = heartbeat_window(context.settings);
        let begin = self.reconciliation.acquired_at().max(reachable_since);
        if context.now < begin + 2 * window {
            return false;
        }
        let since = context.now.saturating_sub(window);
        let recent = self.inventory.count_reported_since(since);
        recent * FEW_HEARTBEATS_DIVISOR < self.inventory.activated_count()
    }

    /// Returns the assignment of a task to a machine.
    fn assignment_mut(&mut self, id: &JobId, task: u32, machine: &str) -> Option<&mut Assignment> {
        self.inventory.assignment_mut(machine, id, task)
    }

    /// Runs the upkeep if it is due, and places pending tasks. Returns the monotonic time at which
    /// the next call is due.
    pub fn tick(&mut self, context: &SchedulingContext<'_>) -> Micros {
        if context.now >= self.next_upkeep_at {
            self.next_upkeep_at = context.now + UPKEEP_INTERVAL;
            self.run_upkeep(context);
        }
        self.place_pending(context);
        self.next_upkeep_at
    }

    fn run_upkeep(&mut self, context: &SchedulingContext<'_>) {
        self.resolve_conflicts(context);
        self.check_due_machines(context);
        self.checkpoint_before_interruption(context);
        self.commit_machine_records(context);
        self.process_wakeups(context);
        self.preempt(context);
        if self.quotas.take_update_due(context.now) {
            self.update_reserved_capacity(context);
            self.update_reservation(context);
            self.update_quota_shares(context);
            let unrecorded: Vec<JobId> = self.unrecorded_jobs.iter().cloned().collect();
            for id in unrecorded {
                self.record_progress(&id, context);
            }
        }
        if !self.reconciliation.is_complete() {
            self.try_complete_reconciliation(context);
        }
    }

    /// Re-evaluates the jobs whose wake-up is due because their rank changes, their backoff has
    /// ended, or their wait at the start barrier has timed out.
    fn process_wakeups(&mut self, context: &SchedulingContext<'_>) {
        while let Some(id) = self.queue.pop_due(context.now) {
            self.leave_expired_barrier(&id, context);
            self.triggers.job_changed(&id);
            self.renew_queue_position(&id, context);
        }
    }

    /// Handles a complete reload of the replica.
    pub fn on_replica_reloaded(&mut self, context: &SchedulingContext<'_>) {
        let mut names: BTreeSet<Rc<str>> = self
            .inventory
            .machines()
            .map(|(name, _)| name)
            .cloned()
            .collect();
        let recorded = context.replica.machines.iter();
        names.extend(
            recorded
                .filter(|(_, machine)| machine.value.region == self.name)
                .map(|(name, _)| Rc::from(name.as_str())),
        );
        for name in names {
            self.on_machine(&name, context);
        }
        let mut ids: BTreeSet<String> = self
            .jobs
            .keys()
            .map(std::string::ToString::to_string)
            .collect();
        ids.extend(context.replica.ready_jobs.iter().cloned());
        for id in ids {
            self.on_job(&id, context);
        }
        self.on_machine_types_changed(context);
    }

    /// Handles a change of the recorded shares of a team's quota.
    pub fn on_quota(&mut self, team: &str) {
        self.triggers.team_changed(team);
    }

    /// Whether only a team's quota keeps some pending tasks from being placed.
    pub fn is_quota_blocked(&self) -> bool {
        self.quotas.has_unmet_demand()
    }

    /// Number of tasks of a job that are on machines of this region.
    pub fn running_tasks(&self, job: &str) -> u32 {
        self.jobs
            .get(job)
            .map_or(0, |job| job.tasks.on_machines().len() as u32)
    }

    /// Returns the region's report to the other controllers.
    pub fn report(&self, context: &SchedulingContext<'_>) -> RegionReport {
        RegionReport {
            region: self.name.clone(),
            token: self.token,
            reconciled: self.reconciliation.is_complete(),
            capacity: self.reported_capacity(),
            pending_jobs: self.reported_pending_jobs(context.now),
            running_tasks: self.reported_running_tasks(),
            quota_blocked_teams: self
                .quotas
                .limited_teams()
                .map(|(team, rank)| (team.to_string(), rank))
                .collect(),
            gang_parts_ready: self
                .gang_parts_ready()
                .map(|(id, attempt)| (id.to_string(), attempt))
                .collect(),
            estimated_cpu_time: self.runtime_estimates.estimated(),
            actual_cpu_time: self.runtime_estimates.actual(),
        }
    }

    fn reported_capacity(&self) -> Vec<PoolCapacity> {
        let mut capacity = Vec::new();
        for (pool, index) in self.inventory.index().pools() {
            let entry = |available: bool, free: Resources, machines: u32| PoolCapacity {
                machine_type: pool.machine_type.to_string(),
                zone: pool.zone.to_string(),
                spot: pool.spot,
                available,
                free: free.into(),
                machines,
            };
            capacity.extend(
                index
                    .free_capacity_buckets()
                    .map(|(free, machines)| entry(true, free, machines)),
            );
            if !index.provisioning.is_empty() {
                capacity.push(entry(
                    false,
                    index.capacity,
                    index.provisioning.len() as u32,
                ));
            }
        }
        capacity
    }

    fn reported_pending_jobs(&self, now: Micros) -> Vec<PendingJob> {
        self.queue
            .iter()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, job)| !job.commit_in_flight)
            .filter(|(_, job)| job.failures.is_suspect() || job.not_before <= now)
            .take(MAX_REPORTED_PENDING_JOBS)
            .map(|(id, job)| PendingJob {
                job: id.to_string(),
                pending_tasks: job.tasks_to_schedule(now),
                waiting_us: now.saturating_sub(job.tasks.pending_since()),
                needs_new_attempt: job.needs_new_attempt() || job.failures.is_suspect(),
            })
            .collect()
    }

    fn reported_running_tasks(&self) -> Vec<RunningTasks> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.tasks.on_machines().is_empty())
            .take(MAX_REPORTED_RUNNING_JOBS)
            .map(|(id, job)| RunningTasks {
                job: id.to_string(),
                running: job.tasks.on_machines().len() as u32,
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
