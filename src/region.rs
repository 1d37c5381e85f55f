//! The second level: the owner of a region places its tasks on its machines.
//!
//! Every task of a job bound here is in one [`Place`]; [`Region::shift`] is the
//! only function that changes it. What is known of machines comes from their
//! reports alone, and a task that may be on a machine stays there until that
//! machine says otherwise or is provably empty.

mod list;
mod machines;
mod placing;
mod records;

pub use machines::LEAST_AGE;
pub use placing::{latest_start, narrow_type, waiting_spans, NarrowMemory};

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::fault_injection::{is_left_out, Guard};
use crate::mesh::{CountLine, RegionReport, RoomLine, WaitLine};
use crate::model::{Flavor, JobId, JobSpec, Kind, RangeSet};
use crate::quota;
use crate::registry::records::{
    bitmap, read_bitmap, value, JobRecord, Joint, Key, MachineRecord, Part, RollRecord, Stage,
    CHUNK, ROLL,
};
use crate::registry::replica::Replica;
use crate::registry::{Outcome, Txn, Urgency};
use crate::settings::{Amount, Settings};
use crate::units::{stretch, to_secs, Micros, MILLI, SECOND};
use crate::workers::{Command, End, OnMachine, Report, MAX_COMMANDS};
use list::{fits, GroupKey, List, Listed, Room};
use machines::Ear;
use placing::{Hold, OrderKey};

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// On no machine, free to be started.
    Waiting,
    /// A former owner may have started it: on a machine not yet accounted for.
    Unsettled,
    /// On no machine; a commit that gives it to another region is under way.
    Moving,
    /// Meant for a machine, the start not yet sent.
    Assigned,
    /// The start is in an answer; the next report tells.
    Sent,
    /// Reported by its machine.
    On(OnMachine),
    /// Done.
    Done,
}

/// A task on (or meant for) a machine.
#[derive(Debug, Clone)]
struct Held {
    attempt: u64,
    place: Place,
    need: Amount,
    mem: u64,
    team: Rc<str>,
    /// Fits no other type of machine.
    narrow: bool,
    /// Started under our own token.
    fresh: bool,
    /// Of a gang over several regions: not before all parts have room.
    wait_go: bool,
    /// Its machine was not known to have the image.
    brings: bool,
    /// Must go: with this grace.
    stop: Option<Micros>,
    /// When it was meant for the machine, sent, or found.
    since: Micros,
    /// When it was first reported as running.
    ran_at: Option<Micros>,
}

impl Held {
    fn room(&self) -> Room {
        (self.need.cpus, self.need.gpus, self.mem)
    }
}

/// How a machine stands with us.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Not heard from under our token.
    Expected,
    /// Heard from under our token.
    Live,
    /// Silent for longer than its lease: nothing is on it.
    Empty,
}

#[derive(Debug)]
struct Machine {
    rec: MachineRecord,
    group: GroupKey,
    cap: Room,
    used: Room,
    /// Of these, by tasks that fit on other types too.
    wide: Room,
    listed: Listed,
    standing: Standing,
    order: (u64, u64),
    /// Our last 200 to it, or the last time a former owner may have sent one.
    last_ok: Micros,
    /// The last newer report under our token, or when we came to know of it.
    heard_at: Micros,
    /// Since when its reports come and are answered without a break.
    answered_since: Micros,
    /// Answers to reports that didn't carry our token, since one did.
    greeted: u32,
    ear: Ear,
    dealt_at: Micros,
    boot: Micros,
    notice: Option<Micros>,
    tasks: BTreeMap<(JobId, u32), Held>,
    idle_since: Micros,
    errors: u32,
    images: BTreeSet<String>,
    closed: Option<&'static str>,
    releasing: bool,
    gone: bool,
    /// Should have been up by now.
    late: bool,
    /// When it is looked at next.
    due: Micros,
}

impl Machine {
    fn free(&self) -> Room {
        list::less(self.cap, self.used)
    }

    /// Whether the level-two list may name it, now or once it is up.
    fn usable(&self) -> bool {
        self.closed.is_none() && self.notice.is_none() && !self.gone && self.cap != (0, 0, 0)
    }

    /// Whether it holds work of the kind that it is there for: on a type that is kept
    /// for some jobs, theirs.
    fn serves(&self, kept: bool) -> bool {
        self.tasks.values().any(|h| h.narrow || !kept)
    }

    fn open(&self) -> bool {
        self.standing == Standing::Live && self.rec.opened && self.usable()
    }
}

#[derive(Debug)]
struct Job {
    spec: Rc<JobSpec>,
    /// Tasks bound here.
    mine: RangeSet,
    waiting: RangeSet,
    unsettled: RangeSet,
    moving: RangeSet,
    done: RangeSet,
    /// Done, but not yet on record.
    pending: RangeSet,
    out: BTreeMap<u32, Rc<str>>,
    over: bool,
    wait_since: Micros,
    /// When a task of it was last assigned to a machine, or when it was bound here.
    last_assigned: Micros,
    not_before: Micros,
    failures: u32,
    failed_on: BTreeSet<Rc<str>>,
    writing: bool,
    last_write: Micros,
    breaking: bool,
    narrow_to: Option<String>,
    /// Its place in the order of waiting jobs.
    key: Option<OrderKey>,
    /// Its team's share was too small last time.
    short: bool,
    /// Of a gang over several regions: what its parts have in common.
    joint: Option<Joint>,
    given_up: bool,
    /// The joint attempt that was started last, and since when room is held for
    /// one that was not.
    tried: u64,
    held_since: Option<Micros>,
}

impl Job {
    fn new(spec: &Rc<JobSpec>, narrow_to: Option<String>, now: Micros) -> Self {
        Job {
            spec: spec.clone(),
            mine: RangeSet::default(),
            waiting: RangeSet::default(),
            unsettled: RangeSet::default(),
            moving: RangeSet::default(),
            done: RangeSet::default(),
            pending: RangeSet::default(),
            out: BTreeMap::new(),
            over: false,
            wait_since: now,
            last_assigned: now,
            not_before: 0,
            failures: 0,
            failed_on: BTreeSet::new(),
            writing: false,
            last_write: 0,
            breaking: false,
            narrow_to,
            key: None,
            short: false,
            joint: None,
            given_up: false,
            tried: 0,
            held_since: None,
        }
    }

    /// Whether so many results are all there will be. A gang's tasks complete
    /// together: one is enough. Guards against a gang over several regions of which
    /// one part's result is known and the other's machine is gone: that part would
    /// wait for ever for mates that are done.
    fn complete(&self, results: u32) -> bool {
        results >= self.spec.tasks || (self.spec.kind == Kind::Gang && results > 0)
    }

    /// All of a gang's tasks here wait, and under a joint attempt that was tried:
    /// only another attempt lets it start.
    fn stuck(&self) -> bool {
        self.joint.as_ref().is_some_and(|j| j.0 == self.tried)
            && self.out.is_empty()
            && self.waiting.len() == self.mine.len()
    }
}

/// What finished tasks that fit many types took, and what their owners had said;
/// what is older weighs less.
#[derive(Debug, Default)]
struct Measured {
    said: f64,
    took: f64,
    at: Micros,
}

impl Measured {
    /// How fast it forgets.
    const SPAN: f64 = 90.0 * SECOND as f64;

    fn add(&mut self, s: &JobSpec, took: Micros, now: Micros) {
        let fade = (-(now.saturating_sub(self.at) as f64) / Self::SPAN).exp();
        self.at = now;
        self.said = self.said * fade + (s.cpus * s.estimate) as f64;
        self.took = self.took * fade + (s.cpus * took) as f64;
    }
}

/// Whose turn it is among a team's jobs when its limit is short, over all regions; the
/// least goes first: by rank, then by age.
fn turn(s: &JobSpec) -> u64 {
    let behind = crate::model::Rank::Production as u64 - s.rank as u64;
    (behind << 56) | (s.submitted & ((1 << 56) - 1))
}

/// What a commit was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// Finished tasks of a job.
    Progress(JobId, RangeSet),
    /// A job's end.
    Finish(JobId),
    /// A team's share.
    Share(String),
    /// Tasks given to another region.
    Move(JobId),
    /// Machines about to get their first tasks.
    Open(Vec<Rc<str>>),
    /// Machines that are gone.
    Forget(Vec<Rc<str>>),
}

/// What the region wants done.
#[derive(Debug)]
pub enum Effect {
    /// Commit this.
    Commit(Txn, Urgency, Purpose),
    /// Return these machines to the cloud.
    Release(Vec<String>),
}

/// What to answer a report with.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// 200 with these commands.
    Commands(Vec<Command>),
    /// Late or repeated: changes nothing, gets no 200.
    Stale,
    /// The machine has seen a higher token than ours.
    Outranked,
    /// Not one of ours.
    Stranger,
}

#[derive(Debug, Default)]
struct Share {
    used: Amount,
    /// Of these, started under our own token.
    fresh: Amount,
    /// Counted as used until all machines are accounted for.
    inherited: Amount,
    want: Amount,
    /// The same for tasks that there is no room for yet.
    ahead: Amount,
    /// The [`turn`] of the first of the jobs that want it.
    turn: Option<u64>,
    /// A smaller share that is being committed binds at once.
    pending: Option<Amount>,
    /// The limit leaves less than waiting tasks need.
    starved: bool,
    /// The most that was needed lately, and when that was.
    peak: Amount,
    peak_at: Micros,
}

/// All that a step of the region may look at besides its own state.
pub struct View<'a> {
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

impl View<'_> {
    /// Whether nothing of a job is to run any more, or it is on no record.
    fn over(&self, id: &str) -> bool {
        let stage = self.replica.stage(id);
        stage != Some(Stage::Open) || self.reported_cancelled.contains(id)
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
    pub mark: u64,
    settled: bool,
    taken_at: Micros,
    machines: BTreeMap<Rc<str>, Machine>,
    list: List,
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
    measured: Measured,
    hold: Option<Hold>,
    shares: BTreeMap<Rc<str>, Share>,
    seq: u64,
    tickets: BTreeMap<u64, Purpose>,
    conflicts: Vec<(u64, Purpose)>,
    /// The last job of each team that fits into its guarantee.
    guaranteed: BTreeMap<String, (u64, String)>,
    stale_teams: BTreeSet<String>,
    narrow: NarrowMemory,
    out: Vec<Effect>,
    dirty_jobs: BTreeSet<JobId>,
    dirty_machines: BTreeSet<Rc<str>>,
    dirty_teams: BTreeSet<String>,
    dirty_all: bool,
    next_tick: Micros,
    next_share: Micros,
    next_preempt: Micros,
}

impl Region {
    /// Takes up a region whose record was just committed as ours. The replica
    /// must be complete up to that commit, so that every machine and every job
    /// a former owner may have touched is in it.
    pub fn new(name: &str, token: u64, mark: u64, v: &View<'_>) -> Self {
        let mut r = Region {
            name: name.to_owned(),
            token,
            mark,
            settled: false,
            taken_at: v.now,
            machines: BTreeMap::new(),
            list: List::default(),
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
            measured: Measured::default(),
            hold: None,
            shares: BTreeMap::new(),
            seq: 0,
            tickets: BTreeMap::new(),
            conflicts: Vec::new(),
            guaranteed: BTreeMap::new(),
            stale_teams: v.replica.teams.keys().cloned().collect(),
            narrow: NarrowMemory::default(),
            out: Vec::new(),
            dirty_jobs: BTreeSet::new(),
            dirty_machines: BTreeSet::new(),
            dirty_teams: BTreeSet::new(),
            dirty_all: true,
            next_tick: 0,
            next_share: 0,
            next_preempt: 0,
        };
        for (machine, rec) in &v.replica.machines {
            if rec.value.region == name {
                r.on_machine(machine, v);
            }
        }
        let opened = r.machines.iter().filter(|(_, m)| m.rec.opened);
        r.awaited = opened.map(|(n, _)| n.clone()).collect();
        for id in &v.replica.open {
            r.on_job(id, v, true);
        }
        for (team, q) in &v.replica.quotas {
            let s = r.shares.entry(Rc::from(team.as_str())).or_default();
            s.inherited = quota::share(Some(&q.value), name);
        }
        let ids: Vec<JobId> = r.jobs.keys().cloned().collect();
        for id in ids {
            r.on_progress(&id, v);
        }
        r.try_settle(v);
        if is_left_out(Guard::Recovery) && !r.settled {
            r.settle(v);
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

    /// Enters a job's record. `taking`: as found when the region was taken, so
    /// its tasks may have been started by a former owner.
    pub fn on_job(&mut self, id: &str, v: &View<'_>, taking: bool) {
        let Some(rec) = v.replica.jobs.get(id).map(|r| &r.value) else {
            return;
        };
        if let Some(s) = &rec.spec {
            self.stale_teams.insert(s.team.clone());
        } else if let Some(j) = self.jobs.get(id) {
            self.stale_teams.insert(j.spec.team.clone());
        }
        let mine = rec.tasks_of(&self.name);
        let key = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
        if v.over(id) {
            if let Some(id) = key {
                self.end_job(&id, v);
            }
            return;
        }
        let Some(spec) = rec.spec.as_ref() else {
            return;
        };
        // Only ready jobs are bound. Guards against records that say otherwise, of a
        // damaged store perhaps: nothing of such a job may start.
        if key.is_none() && !v.replica.is_ready(spec) {
            if !mine.is_empty() {
                log::error!("region: {id}: bound, but what it needs isn't done; left alone");
            }
            return;
        }
        if self.narrow.note(spec, v.replica, v.now) {
            self.keep_clear(v);
        }
        if key.is_none() && mine.is_empty() {
            return;
        }
        let id: JobId = key.unwrap_or_else(|| Rc::from(id));
        let narrow_to = narrow_type(spec, v.replica);
        let job = self
            .jobs
            .entry(id.clone())
            .or_insert_with(|| Job::new(spec, narrow_to, v.now));
        if job.spec != *spec {
            // Another job that needs this one came or went.
            job.spec = spec.clone();
            self.rekey(&id, v);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A part of it is with nobody: it is to be bound anew.
        let given_up = rec.parts.iter().any(|p| p.2.is_empty());
        if job.joint != rec.joint || job.given_up != given_up {
            job.joint.clone_from(&rec.joint);
            job.given_up = given_up;
            // What was held for another attempt is let go.
            let assigned = job.held_since.take().is_some();
            if assigned {
                self.break_gang(&id, v);
            }
            self.dirty_jobs.insert(id.clone());
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut fresh = mine.clone();
        fresh.remove_all(&job.mine);
        let mut lost = job.mine.clone();
        lost.remove_all(&mine);
        if fresh.is_empty() && lost.is_empty() {
            self.after_out(&id);
            return;
        }
        job.mine = mine;
        let done = v.replica.done_tasks(&id);
        job.done.add_all(&done);
        fresh.remove_all(&job.done);
        if taking {
            job.unsettled.add_all(&fresh);
        } else {
            // Bound here after we took the region: nobody else can have
            // started it under this region's name.
            if job.waiting.is_empty() {
                job.wait_since = v.now;
            }
            job.waiting.add_all(&fresh);
        }
        job.waiting.remove_all(&lost);
        job.moving.remove_all(&lost);
        job.unsettled.remove_all(&lost);
        self.dirty_jobs.insert(id.clone());
        self.rekey(&id, v);
        self.after_out(&id);
    }

    /// A job is cancelled, as another controller has it from the state service.
    pub fn on_reported_cancelled(&mut self, id: &str, v: &View<'_>) {
        if let Some(id) = self.jobs.get_key_value(id).map(|(k, _)| k.clone()) {
            log::info!("region: {id}: cancelled, as a peer says");
            self.end_job(&id, v);
        }
    }

    fn end_job(&mut self, id: &JobId, v: &View<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.over = true;
        job.waiting = RangeSet::default();
        job.unsettled = RangeSet::default();
        job.moving = RangeSet::default();
        job.pending = RangeSet::default();
        let out: Vec<(u32, Rc<str>)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (n, m) in out {
            match self.held_mut(id, n, &m) {
                Some(h) if h.place != Place::Assigned => h.stop = Some(0),
                _ => self.shift(id, n, Place::Done, None, v.now),
            }
        }
        self.unwritten.remove(id);
        self.rekey(id, v);
        self.after_out(id);
    }

    /// A task as it stands on (or is meant for) a machine.
    fn held_mut(&mut self, id: &JobId, n: u32, machine: &str) -> Option<&mut Held> {
        let m = self.machines.get_mut(machine)?;
        m.tasks.get_mut(&(id.clone(), n))
    }

    /// The only way in which a task changes its place. `at` names machine and
    /// attempt for places on a machine.
    fn shift(&mut self, id: &JobId, n: u32, to: Place, at: Option<(&str, u64)>, now: Micros) {
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
                m.used = list::less(m.used, h.room());
                if !h.narrow {
                    m.wide = list::less(m.wide, h.room());
                }
                let kept = self.list.kept(&m.group).is_some();
                if (h.narrow || !kept) && !m.serves(kept) && h.place != Place::Assigned {
                    m.idle_since = now;
                }
                Some(h)
            });
            if let Some(h) = held {
                if to == Place::Done && !h.narrow {
                    self.measured.add(&job.spec, now - h.since, now);
                }
                if h.place == Place::Assigned {
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
                    self.look_at(at, now + wait);
                }
            }
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match to {
            Place::Waiting => {
                if job.over || job.done.contains(n) || !job.mine.contains(n) {
                    return;
                }
                if job.waiting.is_empty() {
                    job.wait_since = now;
                }
                job.waiting.insert(n);
                self.dirty_jobs.insert(id.clone());
            }
            Place::Unsettled => job.unsettled.insert(n),
            Place::Moving => job.moving.insert(n),
            Place::Done => {
                if !job.over && job.mine.contains(n) && !job.done.contains(n) {
                    job.done.insert(n);
                    job.pending.insert(n);
                    self.unwritten.insert(id.clone());
                }
            }
            Place::Assigned | Place::Sent | Place::On(_) => {
                let Some((machine, attempt)) = at else { return };
                let Some(m) = self.machines.get_mut(machine) else {
                    return;
                };
                let brings = !m.images.contains(&job.spec.image);
                if to == Place::Assigned {
                    job.last_assigned = now;
                }
                let h = Held {
                    attempt,
                    place: to,
                    need: job.spec.amount(),
                    mem: job.spec.mem,
                    team: Rc::from(job.spec.team.as_str()),
                    narrow: job.narrow_to.is_some(),
                    fresh: to == Place::Assigned,
                    wait_go: to == Place::Assigned && job.joint.is_some(),
                    brings,
                    stop: job.over.then_some(0),
                    since: now,
                    ran_at: None,
                };
                m.used = list::sum(m.used, h.room());
                if !h.narrow {
                    m.wide = list::sum(m.wide, h.room());
                }
                if brings {
                    m.images.insert(job.spec.image.clone());
                }
                if to == Place::Assigned && !h.wait_go {
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

    /// A task on a machine is there no more and isn't done.
    fn lost(&mut self, id: &JobId, n: u32, why: &str, v: &View<'_>) {
        log::debug!("region: {id}/{n}: back to waiting, {why}");
        self.shift(id, n, Place::Waiting, None, v.now);
        self.rekey(id, v);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.kind == Kind::Gang && !job.over && !job.out.is_empty() {
            self.break_gang(id, v);
        }
        self.after_out(id);
    }

    /// A job that is over leaves once nothing of it is out; a broken gang may
    /// then start anew.
    fn after_out(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            if job.out.is_empty() {
                job.breaking = false;
                job.held_since = None;
                if job.over || job.mine.is_empty() {
                    if let Some(key) = job.key.take() {
                        self.ready.remove(&key);
                    }
                    self.unwritten.remove(id);
                    self.jobs.remove(id);
                }
            }
        }
    }

    /// A gang that lost a task starts again as a whole, under another attempt,
    /// once the last task of this one is gone.
    fn break_gang(&mut self, id: &JobId, v: &View<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.breaking = true;
        let out: Vec<(u32, Rc<str>)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (n, m) in out {
            match self.held_mut(id, n, &m) {
                Some(h) if h.place == Place::Assigned => {
                    self.shift(id, n, Place::Waiting, None, v.now)
                }
                // One that is told to save already may finish that.
                Some(h) => {
                    h.stop.get_or_insert(0);
                }
                None => {}
            }
        }
        self.rekey(id, v);
        self.after_out(id);
    }

    /// Nothing is on this machine any more.
    fn clear_machine(&mut self, name: &str, v: &View<'_>) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.standing = Standing::Empty;
        m.greeted = 0;
        let held: Vec<(JobId, u32)> = m.tasks.keys().cloned().collect();
        if !held.is_empty() {
            log::info!(
                "region: {name}: empty for sure, {} tasks start again",
                held.len()
            );
        }
        for (id, n) in held {
            self.lost(&id, n, "machine gone", v);
        }
        self.awaited.remove(name);
        self.relist(name);
    }

    /// Takes a report and says what to answer. The caller has checked our
    /// authority and checks it again when the answer is written.
    pub fn on_report(&mut self, r: &Report, v: &View<'_>) -> Verdict {
        let Some((name, m)) = self.machines.get_key_value(&*r.machine) else {
            return Verdict::Stranger;
        };
        let name = name.clone();
        // Guards against reports that were held back, and copies: they are as
        // old as their number says, and what they list may long be untrue.
        let believe = is_left_out(Guard::ReportOrder);
        if r.order <= m.order && !believe {
            return Verdict::Stale;
        }
        // Guards against one that comes in after we have found the machine's lease
        // over: had it been sent since, its session would be a later one.
        if m.standing == Standing::Empty && r.order.0 <= m.order.0 && !believe {
            return Verdict::Stale;
        }
        // A report that a machine sent before the cloud took it back.
        if m.gone {
            return Verdict::Stranger;
        }
        if r.token > self.token {
            return Verdict::Outranked;
        }
        if r.token < self.token {
            return self.greet(&name, v);
        }
        let first = m.standing != Standing::Live;
        let sent = m.tasks.values().any(|h| h.place == Place::Sent);
        let rose = self.listen(&name, r, v);
        if first {
            log::info!("region: {name}: live in {}", self.name);
            self.awaited.remove(&name);
            self.dirty_machines.insert(name.clone());
        }
        let mut commands = Vec::new();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for t in &r.tasks {
            self.on_reported(&name, t, v, &mut listed, &mut commands);
        }
        let missing: Vec<(JobId, u32, Place)> = self.machines[&name]
            .tasks
            .iter()
            .filter(|(k, h)| h.place != Place::Assigned && !listed.contains(*k))
            .map(|(k, h)| (k.0.clone(), k.1, h.place))
            .collect();
        let unheeded = missing.iter().any(|(_, _, p)| *p == Place::Sent);
        let heeded = sent.then_some(!unheeded);
        for (id, n, _) in missing {
            self.lost(&id, n, "not on its machine", v);
        }
        self.judge_hearing(&name, rose, heeded, v);
        self.relist(&name);
        if !self.settled {
            self.try_settle(v);
        }
        self.place(v);
        self.draw(&name, v);
        self.command(&name, v, &mut commands);
        Verdict::Commands(commands)
    }

    fn on_reported(
        &mut self,
        machine: &Rc<str>,
        t: &crate::workers::ReportedTask,
        v: &View<'_>,
        listed: &mut BTreeSet<(JobId, u32)>,
        commands: &mut Vec<Command>,
    ) {
        let rec = v.replica.jobs.get(&*t.job).map(|r| &r.value);
        let held = self.machines[machine]
            .tasks
            .get(&(t.job.clone(), t.task))
            .map(|h| (h.attempt, h.place));
        if let OnMachine::Ended(end) = t.stage {
            let ours = held.is_some_and(|(a, p)| a == t.attempt && p != Place::Assigned);
            if ours || end == End::Done {
                self.on_ended(machine, t, end, ours, v);
            }
            let open = !v.over(&t.job);
            let recorded = self
                .jobs
                .get(&t.job)
                .is_none_or(|j| j.done.contains(t.task) && !j.pending.contains(t.task));
            // A result is forgotten only once it is on record.
            if end != End::Done || !open || recorded {
                commands.push(Command::Reap(t.job.clone(), t.task, t.attempt));
            }
            return;
        }
        let key = (t.job.clone(), t.task);
        match held {
            Some((a, p)) if a == t.attempt => {
                if p != Place::On(t.stage) {
                    if let Some(m) = self.machines.get_mut(machine) {
                        if let Some(h) = m.tasks.get_mut(&key) {
                            h.place = Place::On(t.stage);
                            if t.stage == OnMachine::Running {
                                h.ran_at.get_or_insert(v.now);
                            }
                        }
                    }
                }
                listed.insert(key);
            }
            _ => {
                if self.adopt(machine, t, rec, v) {
                    listed.insert(key);
                } else {
                    commands.push(Command::Stop(t.job.clone(), t.task, t.attempt, 0));
                }
            }
        }
    }

    /// A task on a machine that we didn't start: a former owner did. Whether it
    /// may stay.
    fn adopt(
        &mut self,
        machine: &str,
        t: &crate::workers::ReportedTask,
        rec: Option<&JobRecord>,
        v: &View<'_>,
    ) -> bool {
        let over = v.over(&t.job);
        if let (true, Some(spec)) = (over, rec.and_then(|r| r.spec.as_ref())) {
            // Cancelled, but still there: counts against the limit until gone.
            let narrow_to = narrow_type(spec, v.replica);
            self.jobs.entry(t.job.clone()).or_insert_with(|| Job {
                over: true,
                ..Job::new(spec, narrow_to, v.now)
            });
        }
        let Some(job) = self.jobs.get(&t.job) else {
            log::info!("region: {}/{}: on {machine}, but not ours", t.job, t.task);
            return false;
        };
        if job.out.get(&t.task).is_some_and(|m| **m != *machine) {
            log::error!(
                "region: {}/{}: on {machine} and on {} at once",
                t.job,
                t.task,
                job.out[&t.task]
            );
            return false;
        }
        if !over && !job.unsettled.contains(t.task) && !job.out.contains_key(&t.task) {
            log::info!("region: {}/{}: on {machine}, not expected", t.job, t.task);
            if !job.waiting.contains(t.task) {
                return false;
            }
        }
        log::debug!("region: {}/{}: found on {machine}", t.job, t.task);
        self.shift(
            &t.job,
            t.task,
            Place::On(t.stage),
            Some((machine, t.attempt)),
            v.now,
        );
        true
    }

    fn on_ended(
        &mut self,
        machine: &str,
        t: &crate::workers::ReportedTask,
        end: End,
        ours: bool,
        v: &View<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let service = job.spec.kind == Kind::Service;
        if end == End::Done && !service {
            if job.over || job.done.contains(t.task) || !job.mine.contains(t.task) {
                if ours {
                    self.shift(&t.job, t.task, Place::Done, None, v.now);
                    self.after_out(&t.job);
                }
                return;
            }
            // Only what is on no other machine can be settled here; a result
            // is final wherever it was found.
            let tasks: Vec<u32> = if job.spec.kind == Kind::Gang {
                job.mine.numbers().collect()
            } else {
                vec![t.task]
            };
            job.failures = 0;
            let gang = job.spec.kind == Kind::Gang;
            for n in tasks {
                // Done, yet held on another machine: it counts there until that
                // machine is rid of it. Guards against a gang of which one
                // member hangs at the end: its place is not free yet.
                let at = self
                    .jobs
                    .get(&t.job)
                    .and_then(|j| j.out.get(&n).filter(|m| ***m != *machine).cloned());
                let held = at
                    .as_ref()
                    .and_then(|at| self.machines.get_mut(at))
                    .and_then(|m| m.tasks.get_mut(&(t.job.clone(), n)))
                    .filter(|h| h.place != Place::Assigned);
                if let Some(h) = held {
                    if !gang {
                        log::error!(
                            "region: {}/{n}: done on {machine}, but out elsewhere",
                            t.job
                        );
                        h.stop = Some(0);
                    }
                    if let Some(j) = self.jobs.get_mut(&t.job) {
                        j.done.insert(n);
                        j.pending.insert(n);
                        self.unwritten.insert(t.job.clone());
                    }
                    continue;
                }
                self.shift(&t.job, n, Place::Done, None, v.now);
            }
            if let Some(m) = self.machines.get_mut(machine) {
                m.errors = 0;
            }
            self.after_out(&t.job);
            self.write_progress(&t.job, v);
            return;
        }
        if !ours {
            return;
        }
        log::debug!("region: {}/{}: ended on {machine}: {end:?}", t.job, t.task);
        let wait = match end {
            End::Error => {
                job.failures += 1;
                job.failed_on.insert(Rc::from(machine));
                // A job that fails on machine after machine is at fault itself.
                if job.failed_on.len() <= 2 {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.errors += 1;
                        if m.errors >= 3 && m.closed.is_none() {
                            log::info!("region: {machine}: closed, its tasks keep failing");
                            m.closed = Some("faulty");
                            m.due = v.now;
                            self.due.insert((v.now, Rc::from(machine)));
                        }
                    }
                }
                (SECOND << job.failures.min(5)).min(30 * SECOND)
            }
            End::Unknown => 5 * SECOND,
            End::Full => {
                log::info!("region: {machine}: refused {}/{}: full", t.job, t.task);
                SECOND
            }
            End::Busy => SECOND,
            _ => 0,
        };
        if wait > 0 {
            job.not_before = job.not_before.max(v.now + wait);
            self.wake.insert((job.not_before, t.job.clone()));
        }
        self.lost(&t.job, t.task, "ended", v);
    }

    /// Adds stops and starts for a machine that was just heard from.
    fn command(&mut self, machine: &str, v: &View<'_>, commands: &mut Vec<Command>) {
        let mut withdrawn = Vec::new();
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        commands.truncate(MAX_COMMANDS);
        for ((id, n), h) in m.tasks.iter_mut() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            match (h.place, h.stop) {
                (Place::Assigned, Some(_)) => withdrawn.push((id.clone(), *n)),
                (Place::On(_) | Place::Sent, Some(grace)) => {
                    commands.push(Command::Stop(id.clone(), *n, h.attempt, grace));
                }
                _ => {}
            }
        }
        for ((id, n), h) in m.tasks.iter_mut() {
            // Guards against starts of jobs whose cancellation was confirmed while
            // the state service refuses us: what we know is some seconds old.
            if commands.len() >= MAX_COMMANDS || !v.starts {
                break;
            }
            if h.place == Place::Assigned && h.stop.is_none() && !h.wait_go {
                self.unsent.remove(&(h.since, id.clone(), *n));
                h.place = Place::Sent;
                h.since = v.now;
                log::debug!(
                    "region: {id}/{n}: start on {machine}, attempt {}",
                    h.attempt
                );
                commands.push(Command::Start(id.clone(), *n, h.attempt));
            }
        }
        for (id, n) in withdrawn {
            self.shift(&id, n, Place::Waiting, None, v.now);
            self.rekey(&id, v);
        }
    }

    /// Ends the accounting once every machine that a former owner may have used
    /// is heard from or provably empty.
    fn try_settle(&mut self, v: &View<'_>) {
        if self.settled {
            return;
        }
        if let Some(name) = self.awaited.first() {
            log::debug!(
                "region: {}: still waits for {name} and {} more",
                self.name,
                self.awaited.len() - 1
            );
            return;
        }
        // Guards against records of machines that we can't read: what may be on
        // those is over only when every lease that a former owner gave is.
        if !v.replica.unreadable.is_empty()
            && v.now < self.taken_at + stretch(v.settings.lease) + SECOND
        {
            return;
        }
        self.settle(v);
    }

    fn settle(&mut self, v: &View<'_>) {
        self.settled = true;
        self.dirty_all = true;
        log::info!(
            "region: {}: settled {:.1} s after taking, {} machines",
            self.name,
            to_secs(v.now - self.taken_at),
            self.machines.len()
        );
        for s in self.shares.values_mut() {
            s.inherited = Amount::default();
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let rest = std::mem::take(&mut job.unsettled);
            if job.waiting.is_empty() {
                job.wait_since = v.now;
            }
            job.waiting.add_all(&rest);
            // A gang of which only a part is left can't go on.
            if job.spec.kind == Kind::Gang && !job.out.is_empty() && !job.waiting.is_empty() {
                self.break_gang(&id, v);
            }
            self.rekey(&id, v);
        }
    }

    /// Regular upkeep. Returns when to look again.
    pub fn tick(&mut self, v: &View<'_>) -> Micros {
        if v.now >= self.next_tick {
            self.next_tick = v.now + 250 * MILLI;
            self.settle_conflicts(v);
            self.watch_machines(v);
            self.save_before_notice(v);
            self.write_machines(v);
            self.look_again(v);
            self.preempt(v);
            if v.now >= self.next_share {
                self.next_share = v.now + SECOND / 2;
                self.keep_clear(v);
                self.watch_hold(v);
                self.share_out(v);
                let due: Vec<JobId> = self.unwritten.iter().cloned().collect();
                for id in due {
                    self.write_progress(&id, v);
                }
            }
            if !self.settled {
                self.try_settle(v);
            }
        }
        self.place(v);
        self.next_tick
    }

    /// Jobs whose time has come: their place in the order changes, a delay is
    /// over, or room was held for too long.
    fn look_again(&mut self, v: &View<'_>) {
        while let Some((at, id)) = self.wake.first().cloned() {
            if at > v.now {
                break;
            }
            self.wake.remove(&(at, id.clone()));
            let late = self.jobs.get(&id).and_then(|j| j.held_since);
            if late.is_some_and(|s| v.now >= s + v.settings.gang_wait) {
                // Guards against a gang over several regions of which another
                // part never gets room: nobody holds places for it for ever.
                log::info!("region: {id}: room let go, not all parts have it");
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.held_since = None;
                    j.not_before = v.now + 2 * SECOND;
                    self.wake.insert((j.not_before, id.clone()));
                }
                self.break_gang(&id, v);
            }
            self.dirty_jobs.insert(id.clone());
            self.rekey(&id, v);
        }
    }

    /// The replica was read anew as a whole.
    pub fn on_loaded(&mut self, v: &View<'_>) {
        let mut names: BTreeSet<Rc<str>> = self.machines.keys().cloned().collect();
        let here = v.replica.machines.iter();
        names.extend(
            here.filter(|(_, m)| m.value.region == self.name)
                .map(|(n, _)| Rc::from(n.as_str())),
        );
        for n in names {
            self.on_machine(&n, v);
        }
        let mut ids: BTreeSet<String> = self.jobs.keys().map(|j| j.to_string()).collect();
        ids.extend(v.replica.open.iter().cloned());
        for id in ids {
            self.on_job(&id, v, false);
        }
        self.on_flavors(v);
    }

    /// A team's shares changed.
    pub fn on_quota(&mut self, team: &str) {
        self.dirty_teams.insert(team.to_owned());
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// Whether tasks could be placed but for their team's limit.
    pub fn short_of_quota(&self) -> bool {
        self.shares.values().any(|s| s.want != Amount::default())
    }

    /// The region as told to the other controllers.
    pub fn report(&self, v: &View<'_>) -> RegionReport {
        let waits = self
            .ready
            .values()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, j)| !j.writing && j.not_before <= v.now)
            .take(200)
            .map(|(id, j)| WaitLine {
                job: id.to_string(),
                waiting: j.waiting.len(),
                since_us: v.now.saturating_sub(j.wait_since),
                stuck: j.stuck(),
            })
            .collect();
        let mut rooms = Vec::new();
        for ((flavor, zone, spot), g) in &self.list.groups {
            let line = |live: bool, free: Room, machines: u32| RoomLine {
                flavor: flavor.to_string(),
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
                .map(|(id, j)| CountLine {
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
