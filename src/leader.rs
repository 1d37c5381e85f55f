//! The first level: the leader binds each job to the region with the fewest
//! unfinished jobs, deals machines to regions, rents them, and has waiting
//! tasks moved to where there is room.
//!
//! The leader is fenced by its record alone: every write names it as condition.
//! One that is overtaken can at worst rent a machine too many.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::cloud::{offers, CapacityBackoff, CloudClient, CloudEvent, ListedMachine, Offer};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::{Message, RegionReport};
use crate::region::{only_fitting_type, waiting_spans, ConstrainedTypes, SchedulingContext};
use crate::state_store::replica::Versioned;
use crate::state_store::{CommitPriority, Transaction};
use salttiller_records::key::Key;
use salttiller_records::model::{JobKind, JobSpec, MachineType};
use salttiller_records::record::{
    value, JobRecord, MachineBatchRecord, MultiRegionAttempt, TaskRange, MAX_BATCH,
};
use salttiller_records::units::{to_secs, Micros, MILLISECOND, SECOND};
use salttiller_records::Resources;

pub use provisioning::ProvisioningReports;

/// What the leader wants done.
#[derive(Debug)]
pub enum Action {
    /// Commit this; the keys name what it is about.
    Commit(Transaction, CommitPriority, Vec<Key>),
    /// Tell a region's owner.
    Tell(Message),
}

/// A region's report and when it came.
pub type Reports = BTreeMap<String, (RegionReport, Micros)>;

/// Machines rented and not yet in their region's report.
struct ProvisioningBatch {
    offer: Offer,
    region: String,
    count: usize,
    names: Vec<String>,
    since: Micros,
    /// When their record was made.
    recorded: Option<Micros>,
}

/// A term of leading.
pub struct Leader {
    /// Revision of the leader's record: this term's name.
    pub version: u64,
    began: Micros,
    counter: u64,
    writing: BTreeSet<Key>,
    coming: BTreeMap<String, ProvisioningBatch>,
    refusals: CapacityBackoff,
    /// Kinds that come up badly.
    pub boots: ProvisioningReports,
    narrow: ConstrainedTypes,
    moved: BTreeMap<String, Micros>,
    gone: BTreeMap<String, Micros>,
    odd: BTreeMap<String, Micros>,
    rooms: Vec<PlannedCapacity>,
    next_plan: Micros,
    next_list: Micros,
    last_list: Micros,
    next_flavors: Micros,
    next_close: Micros,
    /// Processors in use by work that fits many types, smoothed over time.
    usual: f64,
    /// The work that came in lately, and how much of what jobs' owners say is true.
    inflow: ArrivalRate,
    truth: f64,
    /// Processors below which more are rented for such work that waits, and above
    /// which some are closed.
    target: f64,
    keep: f64,
    /// What a job of such work takes, smoothed over jobs.
    job_size: f64,
    out: Vec<Action>,
}

/// PlannedCapacity on machines that are alike, while planning.
#[derive(Debug, Clone)]
struct PlannedCapacity {
    region: String,
    machine_type: String,
    zone: String,
    spot: bool,
    free: Resources,
    cap: Resources,
    live: bool,
    reserved: Option<Resources>,
    /// How many there are.
    all: f64,
    /// How many are not spoken for yet; parts of machines are, while planning.
    machines: f64,
}

impl PlannedCapacity {
    /// How many tasks of a job one of the machines takes now.
    fn each(&self, s: &JobSpec, narrow: bool) -> u64 {
        self.takes_in(self.free, s, narrow)
    }

    /// How many tasks of a job they all take now.
    fn takes(&self, s: &JobSpec, narrow: bool) -> u64 {
        (self.each(s, narrow) as f64 * self.machines + 1e-6) as u64
    }

    /// How many they would take with nothing else on them.
    fn at_most(&self, s: &JobSpec, narrow: bool) -> u64 {
        (self.takes_in(self.cap, s, narrow) as f64 * self.all + 1e-6) as u64
    }

    fn takes_in(&self, mut free: Resources, s: &JobSpec, narrow: bool) -> u64 {
        if !s.permits_placement(&self.machine_type, &self.zone, self.spot) {
            return 0;
        }
        if let (Some(k), false, false) = (self.reserved, narrow, self.spot) {
            free = free.min_each(self.cap.minus(k));
        }
        s.tasks_fitting_in(free)
    }

    /// Speaks for up to `n` tasks' room; returns for how many it was there.
    fn take(&mut self, s: &JobSpec, narrow: bool, n: u64) -> u64 {
        let n = n.min(self.takes(s, narrow));
        let each = self.each(s, narrow);
        if n > 0 && each > 0 {
            self.machines = (self.machines - n as f64 / each as f64).max(0.0);
        }
        n
    }

    /// Processors that work of the one or the other kind may use, in all.
    fn processors(&self, narrow: bool) -> f64 {
        let cap = match (narrow, self.reserved, self.spot) {
            (false, Some(k), false) => self.cap.cpus.saturating_sub(k.cpus),
            _ => self.cap.cpus,
        };
        cap as f64 * self.all
    }
}

struct UnplacedJob {
    id: String,
    region: String,
    spec: Rc<JobSpec>,
    count: u64,
    since: Micros,
    narrow: Option<String>,
    /// Its team's limit is used up.
    short: bool,
    /// It failed on several machines without a result: moved to where there is free
    /// capacity, but nothing is rented for it.
    suspect: bool,
}

impl UnplacedJob {
    fn whole(&self) -> bool {
        keeps_together(&self.spec)
    }
}

/// Whether a job's tasks stay in one region as long as one can hold them.
fn keeps_together(s: &JobSpec) -> bool {
    s.kind == JobKind::Gang || s.single_zone || s.spread_zones
}

/// Work that came in over the last while, in slices.
struct ArrivalRate {
    since: Micros,
    slices: std::collections::VecDeque<(Micros, f64)>,
}

impl ArrivalRate {
    /// How far it looks back.
    const WINDOW: Micros = 90 * SECOND;
    /// What comes in right at the beginning has piled up before.
    const PILE: Micros = 12 * SECOND;
    /// Too little to go by until then.
    const LEAST: Micros = 20 * SECOND;

    fn new(now: Micros) -> Self {
        ArrivalRate {
            since: now + Self::PILE,
            slices: std::collections::VecDeque::new(),
        }
    }

    /// Enters a job's work, processors times time, with when it was submitted:
    /// that it is bound may come much later when all come at once.
    fn add(&mut self, work: f64, at: Micros) {
        if at < self.since {
            return;
        }
        match self.slices.back_mut() {
            Some((t, sum)) if at < *t + SECOND => *sum += work,
            _ => self.slices.push_back((at, work)),
        }
    }

    /// Work a time: how many processors it keeps busy.
    fn rate(&mut self, now: Micros) -> Option<f64> {
        let from = now.saturating_sub(Self::WINDOW);
        while self.slices.front().is_some_and(|(at, _)| *at < from) {
            self.slices.pop_front();
        }
        let span = now.saturating_sub(self.since.max(from));
        let sum: f64 = self.slices.iter().map(|(_, w)| w).sum();
        (span >= Self::LEAST).then(|| sum / span as f64)
    }
}

mod binding;
mod demand;
mod machine_assignment;
mod multi_region_gangs;
mod provisioning;
mod rebinding;
mod scale_out;

impl Leader {
    /// A term that begins with the leader's record at this revision.
    pub fn new(version: u64, context: &SchedulingContext<'_>) -> Self {
        let mut l = Leader {
            version,
            began: context.now,
            counter: 0,
            writing: BTreeSet::new(),
            coming: BTreeMap::new(),
            refusals: CapacityBackoff::default(),
            boots: ProvisioningReports::default(),
            narrow: ConstrainedTypes::default(),
            moved: BTreeMap::new(),
            gone: BTreeMap::new(),
            odd: BTreeMap::new(),
            rooms: Vec::new(),
            next_plan: 0,
            next_list: context.now + 20 * SECOND,
            last_list: 0,
            next_flavors: 0,
            next_close: context.now + 5 * SECOND,
            usual: 0.0,
            inflow: ArrivalRate::new(context.now),
            truth: 1.0,
            target: 0.0,
            keep: 0.0,
            job_size: 0.0,
            out: Vec::new(),
        };
        for (_, _, s) in context.replica.open_jobs() {
            l.narrow.note(s, context.replica, context.now);
        }
        l
    }

    /// Queues changes of records that are not being written, as few transactions
    /// as their size allows; each names our own record and the ones it changes.
    fn commit(
        &mut self,
        changes: Vec<(Key, u64, serde_json::Value)>,
        urgency: CommitPriority,
        context: &SchedulingContext<'_>,
    ) {
        let fresh: Vec<_> = changes
            .into_iter()
            .filter(|(k, ..)| !self.writing.contains(k))
            .collect();
        for chunk in fresh.chunks(context.settings.max_txn_ops.min(8)) {
            let mut when = vec![(Key::Leader, self.version)];
            when.extend(chunk.iter().map(|(k, m, _)| (k.clone(), *m)));
            let keys: Vec<Key> = chunk.iter().map(|(k, ..)| k.clone()).collect();
            self.writing.extend(keys.iter().cloned());
            let txn = Transaction {
                conditions: when,
                changes: chunk
                    .iter()
                    .map(|(k, _, val)| (k.clone(), Some(val.clone())))
                    .collect(),
                lease: None,
            };
            self.out.push(Action::Commit(txn, urgency, keys));
        }
    }

    /// Whether the cloud has refused something lately.
    pub fn refused(&self, now: Micros) -> bool {
        self.refusals.any_backing_off(now)
    }

    /// A commit of ours ended, one way or the other.
    pub fn concluded(&mut self, keys: &[Key], done: bool, now: Micros) {
        for key in keys {
            self.writing.remove(key);
            if let Key::MachineBatch(l) = key {
                if done {
                    if let Some(c) = self.coming.get_mut(l) {
                        c.recorded = Some(now);
                    }
                } else {
                    self.coming.remove(l);
                }
            }
        }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// A machine's record went away.
    pub fn machine_gone(&mut self, name: &str, now: Micros) {
        self.gone.insert(name.to_owned(), now);
    }

    /// Regular work. Returns when to look again.
    pub fn tick(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
        cloud_client: &mut CloudClient,
    ) -> Micros {
        self.bind(context);
        if context.now >= self.next_flavors {
            cloud_client.request_machine_types();
            let known = !context.replica.machine_types.is_empty();
            self.next_flavors = context.now + if known { 60 * SECOND } else { SECOND };
        }
        if context.now >= self.next_list {
            self.next_list = context.now + 30 * SECOND;
            self.last_list = context.now;
            cloud_client.request_inventory();
        }
        if context.now >= self.next_plan {
            self.next_plan = context.now + 400 * MILLISECOND;
            self.plan(context, reports, cloud_client);
        }
        self.next_plan.min(self.next_list)
    }

    fn look_at_rooms(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
        cloud_client: &CloudClient,
    ) {
        let narrow = &self.narrow;
        let room = |region: &str, machine_type: &str, zone: &str, spot, free, live, n: f64| {
            let f = &context.replica.machine_types.get(machine_type)?.value;
            let cap = f.resources();
            Some(PlannedCapacity {
                region: region.to_owned(),
                machine_type: machine_type.to_owned(),
                zone: zone.to_owned(),
                spot,
                free: if live { free } else { cap },
                cap,
                live,
                reserved: narrow.reserved_on(machine_type, context.now),
                all: n,
                machines: n,
            })
        };
        let mut rooms = Vec::new();
        for (r, _) in reports.values() {
            for l in &r.capacity {
                let n = l.machines as f64;
                rooms.extend(room(
                    &r.region,
                    &l.machine_type,
                    &l.zone,
                    l.spot,
                    l.free.into(),
                    l.available,
                    n,
                ));
            }
        }
        // What a region's report can't show yet.
        self.coming.retain(|_, c| {
            let told = reports
                .get(&c.region)
                .is_some_and(|(_, at)| c.recorded.is_some_and(|r| *at > r + 500 * MILLISECOND));
            !told && context.now < c.since + 30 * SECOND
        });
        for c in self.coming.values() {
            let o = &c.offer;
            let n = c.count as f64;
            rooms.extend(room(
                &c.region,
                &o.machine_type,
                &o.zone,
                o.spot,
                Resources::ZERO,
                false,
                n,
            ));
        }
        for rental in cloud_client.pending_rentals() {
            let n = rental.count as f64;
            rooms.extend(room(
                &rental.region,
                &rental.offer.machine_type,
                &rental.offer.zone,
                rental.offer.spot,
                Resources::ZERO,
                false,
                n,
            ));
        }
        self.rooms = rooms;
    }

    fn plan(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
        cloud_client: &mut CloudClient,
    ) {
        self.moved.retain(|_, at| context.now < *at + 2 * SECOND);
        self.boots.expire(context.now);
        self.look_at_rooms(context, reports, cloud_client);
        self.lead_joint(context, reports);
        // What one region has found of a job holds for its tasks in all others.
        let lines = reports.values().flat_map(|(r, _)| &r.pending_jobs);
        let failing: BTreeSet<&str> = lines
            .filter(|w| w.needs_new_attempt)
            .map(|w| w.job.as_str())
            .collect();
        let mut waits: Vec<UnplacedJob> = Vec::new();
        for (r, at) in reports.values() {
            if context.now > at + 3 * SECOND {
                continue;
            }
            for w in &r.pending_jobs {
                let Some(rec) = context.replica.jobs.get(&w.job) else {
                    continue;
                };
                let Some(spec) = rec.value.open_spec() else {
                    continue;
                };
                if rec.value.multi_region.is_some() {
                    continue;
                }
                self.narrow.note(spec, context.replica, context.now);
                waits.push(UnplacedJob {
                    id: w.job.clone(),
                    region: r.region.clone(),
                    spec: spec.clone(),
                    count: w.pending_tasks as u64,
                    since: w.waiting_us,
                    narrow: only_fitting_type(spec, context.replica),
                    short: r.quota_blocked_teams.iter().any(|(t, _)| *t == spec.team),
                    suspect: failing.contains(w.job.as_str()),
                });
            }
        }
        self.look_at_demand(context, &waits, reports);
        self.close_surplus(context);
        let mut rooms = self.rooms.clone();
        self.move_waiting(context, &mut waits, &mut rooms);
        if context.now > self.began + SECOND {
            waits.retain(|w| !w.suspect);
            self.rent(context, &waits, &mut rooms, cloud_client);
        }
        self.rooms = rooms;
    }
}

/// A job for which there is room in its region starts within this time.
const DOUBTFUL: Micros = 25 * SECOND;

/// A part of a gang over several regions that waits longer is better bound anew.
const PART_PATIENCE: Micros = 60 * SECOND;

/// How soon a job's waiting tasks should be under way: half of the time that
/// its aims leave for waiting.
fn horizon(s: &JobSpec, context: &SchedulingContext<'_>) -> Micros {
    if let Some(h) = context.settings.operator.scale_out_horizon {
        return h;
    }
    let mut left = 120 * SECOND;
    // An aim that is out of reach, or past, is no reason to hurry.
    let mut aim = |span: Micros| {
        if s.submitted_at + span > context.wall {
            left = left.min(span);
        }
    };
    for span in waiting_spans(s, context.settings) {
        aim(span);
    }
    (left / 2).max(5 * SECOND)
}

fn differs(known: &Versioned<MachineType>, f: &MachineType) -> bool {
    let k = &known.value;
    let far = |a: u64, b: u64| a.abs_diff(b) * 10 > b.max(1);
    k.zones != f.zones
        || (k.cpus, k.gpus, k.memory, k.boot_time, k.fetch_rate)
            != (f.cpus, f.gpus, f.memory, f.boot_time, f.fetch_rate)
        || far(k.price, f.price)
        || far(k.spot_price, f.spot_price)
}
