//! The second level: the owner of a region places its tasks on its machines.
//!
//! Every task of a job bound here is in one [`TaskState`]; `Region::transition` is the
//! only function that changes it. What is known of machines comes from their
//! reports alone, and a task that may be on a machine stays there until that
//! machine says otherwise or is provably empty.

mod commits;
mod constrained_types;
mod failure_attribution;
mod gangs;
mod heartbeats;
mod job;
mod job_lifecycle;
mod machine;
mod machine_activation;
mod machine_index;
mod machine_inventory;
mod machine_lifecycle;
mod machine_pool;
mod placement;
mod preemption;
mod provisioning;
mod queue;
mod quota_share;
mod reachability;
mod reconciliation;
mod reservation;
mod runtime_estimates;
mod task;

pub use constrained_types::{only_fitting_type, ConstrainedTypes};
pub use machine::MachineState;
pub use machine_lifecycle::LEAST_AGE;
pub use provisioning::is_provisioning_trouble;
pub use queue::{latest_start, waiting_spans};
pub use task::TaskState;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::{PendingJob, PoolCapacity, RegionReport, RunningTasks};
use crate::quota;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use crate::state_store::{CommitOutcome, CommitPriority, Transaction};
use crate::worker_protocol::{
    Command, ExitReason, Heartbeat, HeartbeatId, ReportedState, MAX_COMMANDS,
};
use commits::CommitTracker;
use failure_attribution::{JobFailures, MachineFailures};
use job::Job;
use machine::Machine;
use machine_activation::MachineRecordChanges;
use machine_index::{IndexEntry, MachineIndex};
use machine_inventory::MachineInventory;
use machine_pool::MachinePool;
use placement::PlacementTriggers;
use provisioning::ProvisioningHistory;
use queue::{JobQueue, OrderKey};
use quota_share::QuotaShares;
use reachability::Reachability;
use reconciliation::Reconciliation;
use reservation::GangReservation;
use runtime_estimates::RuntimeEstimates;
use salttiller_records::bitmap::{bitmap, read_bitmap, CHUNK};
use salttiller_records::key::Key;
use salttiller_records::model::{JobId, JobKind, JobSpec, MachineType, RangeSet};
use salttiller_records::record::{
    value, ActivationRecord, JobRecord, JobStage, MachineRecord, MultiRegionAttempt, TaskRange,
    MAX_ACTIVATION_BATCHES,
};
use salttiller_records::units::{add_drift, to_secs, Micros, MILLISECOND, SECOND};
use salttiller_records::{QuotaAmount, Resources};
use task::Assignment;

/// Whose turn it is among a team's jobs when its limit is short, over all regions; the
/// least goes first: by priority, then by age.
fn scheduling_order(s: &JobSpec) -> u64 {
    let behind = salttiller_records::model::Priority::Production as u64 - s.priority as u64;
    (behind << 56) | (s.submitted_at & ((1 << 56) - 1))
}

/// What a commit was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitKind {
    /// Finished tasks of a job.
    Progress(JobId, RangeSet),
    /// A job's end.
    JobDone(JobId),
    /// A team's share.
    QuotaShare(String),
    /// Tasks given to another region.
    Rebind(JobId),
    /// Machines about to get their first tasks.
    ActivateMachines(Vec<Rc<str>>),
    /// Machines that are gone.
    RemoveMachines(Vec<Rc<str>>),
}

/// What the region wants done.
#[derive(Debug)]
pub enum Action {
    /// Commit this.
    Commit(Transaction, CommitPriority, CommitKind),
    /// Return these machines to the cloud.
    Release(Vec<String>),
}

/// What to answer a report with.
#[derive(Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// 200 with these commands.
    Accepted(Vec<Command>),
    /// Late or repeated: changes nothing, gets no 200.
    Stale,
    /// The machine has seen a higher token than ours.
    Superseded,
    /// Not one of ours.
    UnknownMachine,
}

/// All that a step of the region may look at besides its own state.
pub struct SchedulingContext<'a> {
    /// Records.
    pub replica: &'a Replica,
    /// Settings.
    pub settings: &'a Settings,
    /// Steady clock.
    pub now: Micros,
    /// Time of day.
    pub wall: Micros,
    /// Teams whose limit other regions find used up, with the turn of the first job
    /// that lacks some.
    pub quota_blocked_teams: &'a BTreeMap<String, u64>,
    /// Whether tasks may be started, not just kept.
    pub may_start: bool,
    /// Jobs that are cancelled for sure though the replica may not show it yet.
    pub reported_cancelled: &'a BTreeSet<String>,
}

impl SchedulingContext<'_> {
    /// Whether nothing of a job is to run any more, or it is on no record.
    fn is_job_over(&self, id: &str) -> bool {
        let stage = self.replica.stage(id);
        stage != Some(JobStage::Open) || self.reported_cancelled.contains(id)
    }
}

/// An owned region. Its parts own their state; what concerns several of them, above all a
/// task's change of state, is done here and in the modules of each duty.
#[derive(Debug)]
pub struct Region {
    /// Name.
    pub name: String,
    /// Fencing token of this ownership.
    pub token: u64,
    /// Revision of the region's record.
    pub version: u64,
    reconciliation: Reconciliation,
    inventory: MachineInventory,
    machine_records: MachineRecordChanges,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with results that are not on record.
    unrecorded_jobs: BTreeSet<JobId>,
    /// Assigned tasks whose start is not yet dispatched, oldest first.
    undispatched: BTreeSet<(Micros, JobId, u32)>,
    queue: JobQueue,
    runtime_estimates: RuntimeEstimates,
    reservation: Option<GangReservation>,
    quotas: QuotaShares,
    commits: CommitTracker,
    /// Counts attempts under this token.
    attempt_sequence: u64,
    triggers: PlacementTriggers,
    next_upkeep_at: Micros,
    next_preemption_at: Micros,
}

impl Region {
    /// Takes up a region whose record was just committed as ours. The replica
    /// must be complete up to that commit, so that every machine and every job
    /// a former owner may have touched is in it.
    pub fn new(name: &str, token: u64, version: u64, context: &SchedulingContext<'_>) -> Self {
        let mut r = Region {
            name: name.to_owned(),
            token,
            version,
            reconciliation: Reconciliation::new(context.now),
            inventory: MachineInventory::default(),
            machine_records: MachineRecordChanges::default(),
            jobs: BTreeMap::new(),
            unrecorded_jobs: BTreeSet::new(),
            undispatched: BTreeSet::new(),
            queue: JobQueue {
                stale_teams: context.replica.teams.keys().cloned().collect(),
                ..JobQueue::default()
            },
            runtime_estimates: RuntimeEstimates::default(),
            reservation: None,
            quotas: QuotaShares::default(),
            commits: CommitTracker::default(),
            attempt_sequence: 0,
            triggers: PlacementTriggers {
                all: true,
                ..PlacementTriggers::default()
            },
            next_upkeep_at: 0,
            next_preemption_at: 0,
        };
        for (machine, rec) in &context.replica.machines {
            if rec.value.region == name {
                r.on_machine(machine, context);
            }
        }
        let opened = r
            .inventory
            .machines
            .iter()
            .filter(|(_, m)| m.record.activated);
        r.reconciliation.unreconciled = opened.map(|(n, _)| n.clone()).collect();
        for id in &context.replica.open {
            r.on_job(id, context, true);
        }
        for (team, q) in &context.replica.quotas {
            let s = r.quotas.by_team.entry(Rc::from(team.as_str())).or_default();
            s.inherited = quota::share(Some(&q.value), name);
        }
        let ids: Vec<JobId> = r.jobs.keys().cloned().collect();
        for id in ids {
            r.on_progress(&id, context);
        }
        r.try_finish_recovery(context);
        if is_disabled(Safeguard::Recovery) && !r.reconciliation.is_complete {
            r.finish_recovery(context);
        }
        r
    }

    /// Whether all machines of a former owner are accounted for.
    pub fn is_reconciled(&self) -> bool {
        self.reconciliation.is_complete
    }

    /// Whether another may take the region without waiting for machines that we know
    /// are gone: the next owner would look for them all over again.
    pub fn is_ready_to_hand_over(&self, now: Micros) -> bool {
        let long = now > self.reconciliation.acquired_at + 60 * SECOND;
        self.reconciliation.is_complete && (self.machine_records.to_remove.is_empty() || long)
    }

    /// Machines that may hold tasks.
    pub fn activated_machines(&self) -> usize {
        self.inventory.by_last_heartbeat.len()
    }

    /// Whether few of these have been heard of late, though they could have been answered
    /// since `able_since` and there was time for all.
    pub fn hears_from_few(&self, able_since: Micros, context: &SchedulingContext<'_>) -> bool {
        let patience = context.settings.heartbeat_interval * 5 / 4 + 4 * SECOND;
        if context.now < self.reconciliation.acquired_at.max(able_since) + 2 * patience {
            return false;
        }
        let since = context.now.saturating_sub(patience);
        let recent = self
            .inventory
            .by_last_heartbeat
            .range((since, Rc::from(""))..)
            .count();
        recent * 4 < self.inventory.by_last_heartbeat.len()
    }

    /// A task as it stands on (or is meant for) a machine.
    fn assignment_mut(&mut self, id: &JobId, n: u32, machine: &str) -> Option<&mut Assignment> {
        let m = self.inventory.machines.get_mut(machine)?;
        m.tasks.get_mut(&(id.clone(), n))
    }

    /// The only way in which a task changes its place. `at` names machine and
    /// attempt for places on a machine.
    fn transition(
        &mut self,
        id: &JobId,
        n: u32,
        to: TaskState,
        at: Option<(&str, u64)>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let was_out = job.on_machines.remove(&n);
        job.pending.take(n);
        job.unreconciled.take(n);
        job.rebinding.take(n);
        if let Some(at) = &was_out {
            let held = self.inventory.machines.get_mut(at).and_then(|m| {
                let h = m.tasks.remove(&(id.clone(), n))?;
                m.used = m.used.minus(h.resources());
                if !h.constrained {
                    m.used_by_flexible = m.used_by_flexible.minus(h.resources());
                }
                let kept = self.inventory.index.reserved(&m.pool).is_some();
                if (h.constrained || !kept)
                    && !m.serves_its_purpose(kept)
                    && h.state != TaskState::Assigned
                {
                    m.idle_since = now;
                }
                Some(h)
            });
            if let Some(h) = held {
                if to == TaskState::Done && !h.constrained {
                    self.runtime_estimates.record(&job.spec, now - h.since, now);
                }
                if h.state == TaskState::Assigned {
                    self.undispatched.remove(&(h.since, id.clone(), n));
                    if h.image_missing {
                        self.forget_image(at, id);
                    }
                } else {
                    log::debug!(
                        "region: {id}/{n}: off {at}, {to:?} after {:.1} s, of these {:.1} s before running",
                        to_secs(now - h.since),
                        to_secs(h.running_since.unwrap_or(now) - h.since)
                    );
                }
                let s = self.quotas.by_team.entry(h.team.clone()).or_default();
                s.used = s.used.minus(h.quota);
                if h.started_by_us {
                    s.used_by_our_starts = s.used_by_our_starts.minus(h.quota);
                }
                self.triggers.teams.insert(h.team.to_string());
                self.triggers.machines.insert(at.clone());
                self.reindex(at);
                let idle = self.inventory.machines.get(at).filter(|m| {
                    m.tasks.is_empty() || (h.constrained && !m.serves_its_purpose(true))
                });
                if let Some(m) = idle {
                    let wait = if m.cordoned.is_some() { 0 } else { m.boot_time };
                    self.revisit_at(at, now + wait);
                }
            }
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match to {
            TaskState::Pending => {
                if job.is_over || job.done.contains(n) || !job.bound.contains(n) {
                    return;
                }
                if job.pending.is_empty() {
                    job.pending_since = now;
                }
                job.pending.insert(n);
                self.triggers.jobs.insert(id.clone());
            }
            TaskState::Unreconciled => job.unreconciled.insert(n),
            TaskState::Rebinding => job.rebinding.insert(n),
            TaskState::Done => {
                if !job.is_over && job.bound.contains(n) && !job.done.contains(n) {
                    job.done.insert(n);
                    job.unrecorded_done.insert(n);
                    self.unrecorded_jobs.insert(id.clone());
                }
            }
            TaskState::Assigned | TaskState::Dispatched | TaskState::Reported(_) => {
                let Some((machine, attempt)) = at else { return };
                let Some(m) = self.inventory.machines.get_mut(machine) else {
                    return;
                };
                let brings = !m.images.contains(&job.spec.image);
                if to == TaskState::Assigned {
                    job.last_assigned = now;
                }
                let h = Assignment {
                    attempt,
                    state: to,
                    quota: job.spec.quota_per_task(),
                    memory: job.spec.memory,
                    team: Rc::from(job.spec.team.as_str()),
                    constrained: job.only_type.is_some(),
                    started_by_us: to == TaskState::Assigned,
                    awaits_start_barrier: to == TaskState::Assigned && job.multi_region.is_some(),
                    image_missing: brings,
                    stop_grace: job.is_over.then_some(0),
                    since: now,
                    running_since: None,
                };
                m.used = m.used.plus(h.resources());
                if !h.constrained {
                    m.used_by_flexible = m.used_by_flexible.plus(h.resources());
                }
                if brings {
                    m.images.insert(job.spec.image.clone());
                }
                if to == TaskState::Assigned && !h.awaits_start_barrier {
                    self.undispatched.insert((now, id.clone(), n));
                }
                let s = self.quotas.by_team.entry(h.team.clone()).or_default();
                s.used = s.used.plus(h.quota);
                if h.started_by_us {
                    s.used_by_our_starts = s.used_by_our_starts.plus(h.quota);
                }
                m.tasks.insert((id.clone(), n), h);
                job.on_machines.insert(n, Rc::from(machine));
                self.reindex(machine);
            }
        }
    }

    /// Regular upkeep. Returns when to look again.
    pub fn tick(&mut self, context: &SchedulingContext<'_>) -> Micros {
        if context.now >= self.next_upkeep_at {
            self.next_upkeep_at = context.now + 250 * MILLISECOND;
            self.resolve_conflicts(context);
            self.check_due_machines(context);
            self.checkpoint_before_interruption(context);
            self.commit_machine_records(context);
            self.process_wakeups(context);
            self.preempt(context);
            if context.now >= self.quotas.next_update_at {
                self.quotas.next_update_at = context.now + SECOND / 2;
                self.update_reserved_capacity(context);
                self.update_reservation(context);
                self.update_quota_shares(context);
                let due: Vec<JobId> = self.unrecorded_jobs.iter().cloned().collect();
                for id in due {
                    self.record_progress(&id, context);
                }
            }
            if !self.reconciliation.is_complete {
                self.try_finish_recovery(context);
            }
        }
        self.place_pending(context);
        self.next_upkeep_at
    }

    /// Jobs whose time has come: their place in the order changes, a delay is
    /// over, or room was held for too long.
    fn process_wakeups(&mut self, context: &SchedulingContext<'_>) {
        while let Some((at, id)) = self.queue.wakeups.first().cloned() {
            if at > context.now {
                break;
            }
            self.queue.wakeups.remove(&(at, id.clone()));
            let late = self.jobs.get(&id).and_then(|j| j.barrier_since);
            if late.is_some_and(|s| context.now >= s + context.settings.gang_start_timeout) {
                // Guards against a gang over several regions of which another
                // part never gets room: nobody holds places for it for ever.
                log::info!("region: {id}: room let go, not all parts have it");
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.barrier_since = None;
                    j.not_before = context.now + 2 * SECOND;
                    self.queue.wakeups.insert((j.not_before, id.clone()));
                }
                self.break_gang(&id, context);
            }
            self.triggers.jobs.insert(id.clone());
            self.update_queue_position_when_due(&id, context);
        }
    }

    /// The replica was read anew as a whole.
    pub fn on_loaded(&mut self, context: &SchedulingContext<'_>) {
        let mut names: BTreeSet<Rc<str>> = self.inventory.machines.keys().cloned().collect();
        let here = context.replica.machines.iter();
        names.extend(
            here.filter(|(_, m)| m.value.region == self.name)
                .map(|(n, _)| Rc::from(n.as_str())),
        );
        for n in names {
            self.on_machine(&n, context);
        }
        let mut ids: BTreeSet<String> = self.jobs.keys().map(|j| j.to_string()).collect();
        ids.extend(context.replica.open.iter().cloned());
        for id in ids {
            self.on_job(&id, context, false);
        }
        self.on_machine_types_changed(context);
    }

    /// A team's shares changed.
    pub fn on_quota(&mut self, team: &str) {
        self.triggers.teams.insert(team.to_owned());
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.commits.actions)
    }

    /// Whether tasks could be placed but for their team's limit.
    pub fn is_quota_blocked(&self) -> bool {
        self.quotas
            .by_team
            .values()
            .any(|s| s.demand != QuotaAmount::default())
    }

    /// The region as told to the other controllers.
    pub fn report(&self, context: &SchedulingContext<'_>) -> RegionReport {
        let waits = self
            .queue
            .ready
            .values()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, j)| !j.commit_in_flight)
            .filter(|(_, j)| j.failures.is_suspect() || j.not_before <= context.now)
            .take(200)
            .map(|(id, j)| PendingJob {
                job: id.to_string(),
                pending_tasks: j.tasks_to_schedule(context.now),
                waiting_us: context.now.saturating_sub(j.pending_since),
                needs_new_attempt: j.needs_new_attempt() || j.failures.is_suspect(),
            })
            .collect();
        let mut rooms = Vec::new();
        for (pool, g) in &self.inventory.index.pools {
            let line = |live: bool, free: Resources, machines: u32| PoolCapacity {
                machine_type: pool.machine_type.to_string(),
                zone: pool.zone.to_string(),
                spot: pool.spot,
                available: live,
                free: free.into(),
                machines,
            };
            rooms.extend(g.free_capacity_steps().map(|(free, n)| line(true, free, n)));
            if !g.provisioning.is_empty() {
                rooms.push(line(false, g.capacity, g.provisioning.len() as u32));
            }
        }
        RegionReport {
            region: self.name.clone(),
            token: self.token,
            reconciled: self.reconciliation.is_complete,
            capacity: rooms,
            pending_jobs: waits,
            running_tasks: self
                .jobs
                .iter()
                .filter(|(_, j)| !j.on_machines.is_empty())
                .take(500)
                .map(|(id, j)| RunningTasks {
                    job: id.to_string(),
                    running: j.on_machines.len() as u32,
                })
                .collect(),
            quota_blocked_teams: self
                .quotas
                .by_team
                .iter()
                .filter(|(_, s)| s.is_limited)
                .filter_map(|(t, s)| Some((t.to_string(), s.first_rank?)))
                .collect(),
            gang_parts_ready: self
                .gang_parts_ready()
                .map(|(id, attempt)| (id.to_string(), attempt))
                .collect(),
            estimated: self.runtime_estimates.estimated,
            actual: self.runtime_estimates.actual,
        }
    }

    /// Tasks of a job that are on machines here.
    pub fn running(&self, job: &str) -> u32 {
        self.jobs.get(job).map_or(0, |j| j.on_machines.len() as u32)
    }
}

#[cfg(test)]
mod tests;
