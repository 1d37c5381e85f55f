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
use crate::worker_protocol::{Command, ExitReason, Heartbeat, ReportedState, MAX_COMMANDS};
use failure_attribution::{JobFailures, MachineFailures};
use job::Job;
use machine::Machine;
use machine_index::{fits, GroupKey, IndexEntry, MachineIndex, Room};
use provisioning::ProvisioningHistory;
use queue::OrderKey;
use quota_share::QuotaShare;
use reachability::Reachability;
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
use salttiller_records::QuotaAmount;
use task::Assignment;

/// Whose turn it is among a team's jobs when its limit is short, over all regions; the
/// least goes first: by priority, then by age.
fn scheduling_order(s: &JobSpec) -> u64 {
    let behind = salttiller_records::model::Priority::Production as u64 - s.priority as u64;
    (behind << 56) | (s.submitted & ((1 << 56) - 1))
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
    pub short: &'a BTreeMap<String, u64>,
    /// Whether tasks may be started, not just kept.
    pub starts: bool,
    /// Jobs that are cancelled for sure though the replica may not show it yet.
    pub reported_cancelled: &'a BTreeSet<String>,
}

impl SchedulingContext<'_> {
    /// Whether nothing of a job is to run any more, or it is on no record.
    fn over(&self, id: &str) -> bool {
        let stage = self.replica.stage(id);
        stage != Some(JobStage::Open) || self.reported_cancelled.contains(id)
    }
}

/// An owned region.
#[derive(Debug)]
pub struct Region {
    /// Name.
    pub name: String,
    /// Token of this ownership.
    pub token: u64,
    /// Revision of the region's record.
    pub version: u64,
    settled: bool,
    taken_at: Micros,
    machines: BTreeMap<Rc<str>, Machine>,
    list: MachineIndex,
    /// Opened machines of a former owner that are not accounted for.
    awaited: BTreeSet<Rc<str>>,
    /// Machines by when they were last heard, opened ones only.
    heard: BTreeSet<(Micros, Rc<str>)>,
    /// Machines by when to look at them next.
    due: BTreeSet<(Micros, Rc<str>)>,
    /// Machines whose notice has come.
    noticed: BTreeSet<Rc<str>>,
    /// Machines closed as not needed that still hold tasks.
    surplus: BTreeSet<Rc<str>>,
    /// Machines to be put on the roll, and those to be taken off the records.
    to_open: BTreeSet<Rc<str>>,
    to_forget: BTreeSet<Rc<str>>,
    rolling: bool,
    roll_next: Micros,
    forgetting: bool,
    forget_next: Micros,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with waiting tasks, in the order in which they are served.
    ready: BTreeMap<OrderKey, JobId>,
    /// Jobs to be looked at at a time: their order changes, or a delay ends.
    wake: BTreeSet<(Micros, JobId)>,
    /// Jobs with results that are not on record.
    unwritten: BTreeSet<JobId>,
    /// Tasks meant for a machine that has not reported since, oldest first.
    unsent: BTreeSet<(Micros, JobId, u32)>,
    measured: RuntimeEstimates,
    /// How machines of each kind come up.
    boots: BTreeMap<GroupKey, ProvisioningHistory>,
    hold: Option<GangReservation>,
    shares: BTreeMap<Rc<str>, QuotaShare>,
    seq: u64,
    tickets: BTreeMap<u64, CommitKind>,
    conflicts: Vec<(u64, CommitKind)>,
    /// The last job of each team that fits into its guarantee.
    guaranteed: BTreeMap<String, (u64, String)>,
    stale_teams: BTreeSet<String>,
    narrow: ConstrainedTypes,
    out: Vec<Action>,
    dirty_jobs: BTreeSet<JobId>,
    dirty_machines: BTreeSet<Rc<str>>,
    dirty_teams: BTreeSet<String>,
    dirty_all: bool,
    next_tick: Micros,
    next_share: Micros,
    next_preempt: Micros,
    /// When old work that never began may go first again.
    next_turn: Micros,
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
            settled: false,
            taken_at: context.now,
            machines: BTreeMap::new(),
            list: MachineIndex::default(),
            awaited: BTreeSet::new(),
            heard: BTreeSet::new(),
            due: BTreeSet::new(),
            noticed: BTreeSet::new(),
            surplus: BTreeSet::new(),
            to_open: BTreeSet::new(),
            to_forget: BTreeSet::new(),
            rolling: false,
            roll_next: 0,
            forgetting: false,
            forget_next: 0,
            jobs: BTreeMap::new(),
            ready: BTreeMap::new(),
            wake: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            unsent: BTreeSet::new(),
            measured: RuntimeEstimates::default(),
            boots: BTreeMap::new(),
            hold: None,
            shares: BTreeMap::new(),
            seq: 0,
            tickets: BTreeMap::new(),
            conflicts: Vec::new(),
            guaranteed: BTreeMap::new(),
            stale_teams: context.replica.teams.keys().cloned().collect(),
            narrow: ConstrainedTypes::default(),
            out: Vec::new(),
            dirty_jobs: BTreeSet::new(),
            dirty_machines: BTreeSet::new(),
            dirty_teams: BTreeSet::new(),
            dirty_all: true,
            next_tick: 0,
            next_share: 0,
            next_preempt: 0,
            next_turn: 0,
        };
        for (machine, rec) in &context.replica.machines {
            if rec.value.region == name {
                r.on_machine(machine, context);
            }
        }
        let opened = r.machines.iter().filter(|(_, m)| m.rec.opened);
        r.awaited = opened.map(|(n, _)| n.clone()).collect();
        for id in &context.replica.open {
            r.on_job(id, context, true);
        }
        for (team, q) in &context.replica.quotas {
            let s = r.shares.entry(Rc::from(team.as_str())).or_default();
            s.inherited = quota::share(Some(&q.value), name);
        }
        let ids: Vec<JobId> = r.jobs.keys().cloned().collect();
        for id in ids {
            r.on_progress(&id, context);
        }
        r.try_finish_recovery(context);
        if is_disabled(Safeguard::Recovery) && !r.settled {
            r.finish_recovery(context);
        }
        r
    }

    /// Whether all machines of a former owner are accounted for.
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// Whether another may take the region without waiting for machines that we know
    /// are gone: the next owner would look for them all over again.
    pub fn tidy(&self, now: Micros) -> bool {
        let long = now > self.taken_at + 60 * SECOND;
        self.settled && (self.to_forget.is_empty() || long)
    }

    /// Machines that may hold tasks.
    pub fn opened_machines(&self) -> usize {
        self.heard.len()
    }

    /// Whether few of these have been heard of late, though they could have been answered
    /// since `able_since` and there was time for all.
    pub fn hears_few(&self, able_since: Micros, context: &SchedulingContext<'_>) -> bool {
        let patience = context.settings.report * 5 / 4 + 4 * SECOND;
        if context.now < self.taken_at.max(able_since) + 2 * patience {
            return false;
        }
        let since = context.now.saturating_sub(patience);
        let recent = self.heard.range((since, Rc::from(""))..).count();
        recent * 4 < self.heard.len()
    }

    /// A task as it stands on (or is meant for) a machine.
    fn held_mut(&mut self, id: &JobId, n: u32, machine: &str) -> Option<&mut Assignment> {
        let m = self.machines.get_mut(machine)?;
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
        let was_out = job.out.remove(&n);
        job.waiting.take(n);
        job.unsettled.take(n);
        job.moving.take(n);
        if let Some(at) = &was_out {
            let held = self.machines.get_mut(at).and_then(|m| {
                let h = m.tasks.remove(&(id.clone(), n))?;
                m.used = machine_index::less(m.used, h.room());
                if !h.narrow {
                    m.wide = machine_index::less(m.wide, h.room());
                }
                let kept = self.list.kept(&m.group).is_some();
                if (h.narrow || !kept) && !m.serves(kept) && h.place != TaskState::Assigned {
                    m.idle_since = now;
                }
                Some(h)
            });
            if let Some(h) = held {
                if to == TaskState::Done && !h.narrow {
                    self.measured.add(&job.spec, now - h.since, now);
                }
                if h.place == TaskState::Assigned {
                    self.unsent.remove(&(h.since, id.clone(), n));
                    if h.brings {
                        self.never_fetched(at, id);
                    }
                } else {
                    log::debug!(
                        "region: {id}/{n}: off {at}, {to:?} after {:.1} s, of these {:.1} s before running",
                        to_secs(now - h.since),
                        to_secs(h.ran_at.unwrap_or(now) - h.since)
                    );
                }
                let s = self.shares.entry(h.team.clone()).or_default();
                s.used = s.used.minus(h.need);
                if h.fresh {
                    s.fresh = s.fresh.minus(h.need);
                }
                self.dirty_teams.insert(h.team.to_string());
                self.dirty_machines.insert(at.clone());
                self.relist(at);
                let idle = self
                    .machines
                    .get(at)
                    .filter(|m| m.tasks.is_empty() || (h.narrow && !m.serves(true)));
                if let Some(m) = idle {
                    let wait = if m.closed.is_some() { 0 } else { m.boot };
                    self.revisit_at(at, now + wait);
                }
            }
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match to {
            TaskState::Pending => {
                if job.over || job.done.contains(n) || !job.mine.contains(n) {
                    return;
                }
                if job.waiting.is_empty() {
                    job.wait_since = now;
                }
                job.waiting.insert(n);
                self.dirty_jobs.insert(id.clone());
            }
            TaskState::Unreconciled => job.unsettled.insert(n),
            TaskState::Rebinding => job.moving.insert(n),
            TaskState::Done => {
                if !job.over && job.mine.contains(n) && !job.done.contains(n) {
                    job.done.insert(n);
                    job.pending.insert(n);
                    self.unwritten.insert(id.clone());
                }
            }
            TaskState::Assigned | TaskState::Dispatched | TaskState::Reported(_) => {
                let Some((machine, attempt)) = at else { return };
                let Some(m) = self.machines.get_mut(machine) else {
                    return;
                };
                let brings = !m.images.contains(&job.spec.image);
                if to == TaskState::Assigned {
                    job.last_assigned = now;
                }
                let h = Assignment {
                    attempt,
                    place: to,
                    need: job.spec.amount(),
                    mem: job.spec.mem,
                    team: Rc::from(job.spec.team.as_str()),
                    narrow: job.narrow_to.is_some(),
                    fresh: to == TaskState::Assigned,
                    wait_go: to == TaskState::Assigned && job.joint.is_some(),
                    brings,
                    stop: job.over.then_some(0),
                    since: now,
                    ran_at: None,
                };
                m.used = machine_index::sum(m.used, h.room());
                if !h.narrow {
                    m.wide = machine_index::sum(m.wide, h.room());
                }
                if brings {
                    m.images.insert(job.spec.image.clone());
                }
                if to == TaskState::Assigned && !h.wait_go {
                    self.unsent.insert((now, id.clone(), n));
                }
                let s = self.shares.entry(h.team.clone()).or_default();
                s.used = s.used.plus(h.need);
                if h.fresh {
                    s.fresh = s.fresh.plus(h.need);
                }
                m.tasks.insert((id.clone(), n), h);
                job.out.insert(n, Rc::from(machine));
                self.relist(machine);
            }
        }
    }

    /// Regular upkeep. Returns when to look again.
    pub fn tick(&mut self, context: &SchedulingContext<'_>) -> Micros {
        if context.now >= self.next_tick {
            self.next_tick = context.now + 250 * MILLISECOND;
            self.settle_conflicts(context);
            self.watch_machines(context);
            self.save_before_notice(context);
            self.write_machines(context);
            self.look_again(context);
            self.preempt(context);
            if context.now >= self.next_share {
                self.next_share = context.now + SECOND / 2;
                self.keep_clear(context);
                self.watch_hold(context);
                self.share_out(context);
                let due: Vec<JobId> = self.unwritten.iter().cloned().collect();
                for id in due {
                    self.write_progress(&id, context);
                }
            }
            if !self.settled {
                self.try_finish_recovery(context);
            }
        }
        self.place(context);
        self.next_tick
    }

    /// Jobs whose time has come: their place in the order changes, a delay is
    /// over, or room was held for too long.
    fn look_again(&mut self, context: &SchedulingContext<'_>) {
        while let Some((at, id)) = self.wake.first().cloned() {
            if at > context.now {
                break;
            }
            self.wake.remove(&(at, id.clone()));
            let late = self.jobs.get(&id).and_then(|j| j.held_since);
            if late.is_some_and(|s| context.now >= s + context.settings.gang_wait) {
                // Guards against a gang over several regions of which another
                // part never gets room: nobody holds places for it for ever.
                log::info!("region: {id}: room let go, not all parts have it");
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.held_since = None;
                    j.not_before = context.now + 2 * SECOND;
                    self.wake.insert((j.not_before, id.clone()));
                }
                self.break_gang(&id, context);
            }
            self.dirty_jobs.insert(id.clone());
            self.rekey_due(&id, context);
        }
    }

    /// The replica was read anew as a whole.
    pub fn on_loaded(&mut self, context: &SchedulingContext<'_>) {
        let mut names: BTreeSet<Rc<str>> = self.machines.keys().cloned().collect();
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
        self.on_flavors(context);
    }

    /// A team's shares changed.
    pub fn on_quota(&mut self, team: &str) {
        self.dirty_teams.insert(team.to_owned());
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Whether tasks could be placed but for their team's limit.
    pub fn short_of_quota(&self) -> bool {
        self.shares
            .values()
            .any(|s| s.want != QuotaAmount::default())
    }

    /// The region as told to the other controllers.
    pub fn report(&self, context: &SchedulingContext<'_>) -> RegionReport {
        let waits = self
            .ready
            .values()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, j)| !j.writing)
            .filter(|(_, j)| j.failures.is_suspect() || j.not_before <= context.now)
            .take(200)
            .map(|(id, j)| PendingJob {
                job: id.to_string(),
                waiting: j.wanted(context.now),
                since_us: context.now.saturating_sub(j.wait_since),
                stuck: j.stuck() || j.failures.is_suspect(),
            })
            .collect();
        let mut rooms = Vec::new();
        for ((machine_type, zone, spot), g) in &self.list.groups {
            let line = |live: bool, free: Room, machines: u32| PoolCapacity {
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot: *spot,
                live,
                free,
                machines,
            };
            rooms.extend(g.rooms().map(|(free, n)| line(true, free, n)));
            if !g.booting.is_empty() {
                rooms.push(line(false, g.cap, g.booting.len() as u32));
            }
        }
        RegionReport {
            region: self.name.clone(),
            token: self.token,
            settled: self.settled,
            rooms,
            waits,
            counts: self
                .jobs
                .iter()
                .filter(|(_, j)| !j.out.is_empty())
                .take(500)
                .map(|(id, j)| RunningTasks {
                    job: id.to_string(),
                    running: j.out.len() as u32,
                })
                .collect(),
            short: self
                .shares
                .iter()
                .filter(|(_, s)| s.starved)
                .filter_map(|(t, s)| Some((t.to_string(), s.turn?)))
                .collect(),
            ready: self
                .ready_parts()
                .map(|(id, attempt)| (id.to_string(), attempt))
                .collect(),
            said: self.measured.said,
            took: self.measured.took,
        }
    }

    /// Tasks of a job that are on machines here.
    pub fn running(&self, job: &str) -> u32 {
        self.jobs.get(job).map_or(0, |j| j.out.len() as u32)
    }
}

#[cfg(test)]
mod tests;
