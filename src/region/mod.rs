//! The second level: the owner of a region places its tasks on its machines.
//!
//! Every task of a job bound here is in one [`Place`]; [`Region::shift`] is the
//! only function that changes it. What is known of machines comes from their
//! reports alone, and a task that may be on a machine stays there until that
//! machine says otherwise or is provably empty.

mod machines;
mod placing;
mod records;

pub use machines::LEAST_AGE;
pub use placing::{latest_start, narrow_type, waiting_spans, NarrowMemory};

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::mesh::{CountLine, RegionReport, RoomLine, WaitLine};
use crate::model::{Flavor, JobId, JobSpec, Kind, RangeSet};
use crate::quota;
use crate::registry::records::{
    bitmap, read_bitmap, value, JobRecord, Key, MachineRecord, Part, Stage, CHUNK,
};
use crate::registry::replica::Replica;
use crate::registry::{Outcome, Txn, Urgency};
use crate::settings::{Amount, Settings};
use crate::units::{stretch, to_secs, Micros, MILLI, SECOND};
use crate::workers::{Command, End, OnMachine, Report, MAX_COMMANDS};

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
    /// Must go: with this grace.
    stop: Option<Micros>,
    /// When it was sent, or found.
    since: Micros,
    /// When it was first reported as running.
    ran_at: Option<Micros>,
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
    cap: (u64, u64, u64),
    used: (u64, u64, u64),
    standing: Standing,
    order: (u64, u64),
    /// Our last 200 to it, or the last time a former owner may have sent one.
    last_ok: Micros,
    heard_at: Micros,
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
    opening: bool,
}

impl Machine {
    fn free(&self) -> (u64, u64, u64) {
        (
            self.cap.0.saturating_sub(self.used.0),
            self.cap.1.saturating_sub(self.used.1),
            self.cap.2.saturating_sub(self.used.2),
        )
    }
    fn open(&self) -> bool {
        self.standing == Standing::Live && self.closed.is_none() && self.rec.opened
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
    out: BTreeMap<u32, String>,
    over: bool,
    wait_since: Micros,
    not_before: Micros,
    failures: u32,
    failed_on: BTreeSet<String>,
    writing: bool,
    last_write: Micros,
    breaking: bool,
    narrow_to: Option<String>,
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
            not_before: 0,
            failures: 0,
            failed_on: BTreeSet::new(),
            writing: false,
            last_write: 0,
            breaking: false,
            narrow_to,
        }
    }
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
    /// A machine about to get its first task.
    Open(String),
    /// A machine that is gone.
    Forget(String),
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
    /// A smaller share that is being committed binds at once.
    pending: Option<Amount>,
    surplus_since: Option<Micros>,
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
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<JobId, Job>,
    shares: BTreeMap<Rc<str>, Share>,
    seq: u64,
    tickets: BTreeMap<u64, Purpose>,
    conflicts: Vec<(u64, Purpose)>,
    guaranteed: BTreeSet<String>,
    guarantee_stale: bool,
    narrow: NarrowMemory,
    out: Vec<Effect>,
    /// Something changed that may let a task be placed.
    pub dirty: bool,
    next_tick: Micros,
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
            jobs: BTreeMap::new(),
            shares: BTreeMap::new(),
            seq: 0,
            tickets: BTreeMap::new(),
            conflicts: Vec::new(),
            guaranteed: BTreeSet::new(),
            guarantee_stale: true,
            narrow: NarrowMemory::default(),
            out: Vec::new(),
            dirty: true,
            next_tick: 0,
        };
        for name in v.replica.machines.keys() {
            r.on_machine(name, v);
        }
        let ids: Vec<&String> = v.replica.jobs.keys().collect();
        for id in ids {
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
        r
    }

    /// Whether all machines of a former owner are accounted for.
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// Enters a machine's record.
    pub fn on_machine(&mut self, name: &str, v: &View<'_>) {
        match v.replica.machines.get(name) {
            Some(rec) if rec.value.region == self.name => {
                let rec = &rec.value;
                let f = v.replica.flavors.get(&rec.flavor).map(|f| &f.value);
                let cap = f.map_or((0, 0, 0), |f| (f.cpus, f.gpus, f.mem));
                let boot = f.map_or(60 * SECOND, |f| f.boot);
                let m = self
                    .machines
                    .entry(name.to_owned())
                    .or_insert_with(|| Machine {
                        rec: rec.clone(),
                        cap,
                        used: (0, 0, 0),
                        standing: Standing::Expected,
                        order: (0, 0),
                        last_ok: v.now,
                        heard_at: v.now,
                        dealt_at: v.now,
                        boot,
                        notice: None,
                        tasks: BTreeMap::new(),
                        idle_since: v.now,
                        errors: 0,
                        images: BTreeSet::new(),
                        closed: None,
                        releasing: false,
                        gone: false,
                        opening: false,
                    });
                if rec.opened != m.rec.opened {
                    self.dirty = true;
                }
                m.rec = rec.clone();
                m.cap = cap;
            }
            _ => {
                // Its record goes only once it is proved gone, by us.
                if self.machines.contains_key(name) {
                    self.clear_machine(name, v);
                    self.machines.remove(name);
                    self.try_settle(v);
                }
            }
        }
    }

    /// Enters a job's record. `taking`: as found when the region was taken, so
    /// its tasks may have been started by a former owner.
    pub fn on_job(&mut self, id: &str, v: &View<'_>, taking: bool) {
        self.guarantee_stale = true;
        let Some(rec) = v.replica.jobs.get(id).map(|r| &r.value) else {
            return;
        };
        let mine = rec.tasks_of(&self.name);
        let key = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
        if rec.stage != Stage::Open {
            if let Some(id) = key {
                self.end_job(&id, v);
            }
            return;
        }
        let Some(spec) = rec.spec.as_ref() else {
            return;
        };
        self.narrow.note(spec, v.replica, v.now);
        if key.is_none() && mine.is_empty() {
            return;
        }
        let id: JobId = key.unwrap_or_else(|| Rc::from(id));
        let narrow_to = narrow_type(spec, v.replica);
        let job = self
            .jobs
            .entry(id.clone())
            .or_insert_with(|| Job::new(spec, narrow_to, v.now));
        let mut fresh = mine.clone();
        fresh.remove_all(&job.mine);
        let mut lost = job.mine.clone();
        lost.remove_all(&mine);
        if fresh.is_empty() && lost.is_empty() {
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
        self.dirty = true;
        if self.jobs[&id].mine.is_empty() && self.jobs[&id].out.is_empty() {
            self.jobs.remove(&id);
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
        let out: Vec<(u32, String)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (n, m) in out {
            let held = self
                .machines
                .get_mut(&m)
                .and_then(|m| m.tasks.get_mut(&(id.clone(), n)));
            match held {
                Some(h) if h.place != Place::Assigned => h.stop = Some(0),
                _ => self.shift(id, n, Place::Done, None, v.now),
            }
        }
        if self.jobs.get(id).is_some_and(|j| j.out.is_empty()) {
            self.jobs.remove(id);
        }
        self.dirty = true;
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
        if let Some(m) = was_out.as_ref().and_then(|m| self.machines.get_mut(m)) {
            if let Some(h) = m.tasks.remove(&(id.clone(), n)) {
                m.used.0 -= h.need.cpus;
                m.used.1 -= h.need.gpus;
                m.used.2 -= h.mem;
                if m.tasks.is_empty() {
                    m.idle_since = now;
                }
                if h.place != Place::Assigned {
                    log::debug!(
                        "region: {id}/{n}: off {} ({}), {to:?} after {:.1} s, of these {:.1} s before running",
                        was_out.as_deref().unwrap_or(""),
                        m.rec.flavor,
                        to_secs(now - h.since),
                        to_secs(h.ran_at.unwrap_or(now) - h.since)
                    );
                }
                let s = self.shares.entry(h.team.clone()).or_default();
                s.used = s.used.minus(h.need);
                if h.attempt >> 24 == self.token {
                    s.fresh = s.fresh.minus(h.need);
                }
            }
        }
        match to {
            Place::Waiting => {
                if job.over || job.done.contains(n) || !job.mine.contains(n) {
                    return;
                }
                if job.waiting.is_empty() {
                    job.wait_since = now;
                }
                job.waiting.insert(n);
            }
            Place::Unsettled => job.unsettled.insert(n),
            Place::Moving => job.moving.insert(n),
            Place::Done => {
                if !job.over && job.mine.contains(n) && !job.done.contains(n) {
                    job.done.insert(n);
                    job.pending.insert(n);
                }
            }
            Place::Assigned | Place::Sent | Place::On(_) => {
                let Some((machine, attempt)) = at else { return };
                let Some(m) = self.machines.get_mut(machine) else {
                    return;
                };
                let need = job.spec.amount();
                let team: Rc<str> = Rc::from(job.spec.team.as_str());
                m.used.0 += need.cpus;
                m.used.1 += need.gpus;
                m.used.2 += job.spec.mem;
                m.images.insert(job.spec.image.clone());
                let s = self.shares.entry(team.clone()).or_default();
                s.used = s.used.plus(need);
                if attempt >> 24 == self.token {
                    s.fresh = s.fresh.plus(need);
                }
                m.tasks.insert(
                    (id.clone(), n),
                    Held {
                        attempt,
                        place: to,
                        need,
                        mem: job.spec.mem,
                        team,
                        narrow: job.narrow_to.is_some(),
                        stop: job.over.then_some(0),
                        since: now,
                        ran_at: None,
                    },
                );
                job.out.insert(n, machine.to_owned());
            }
        }
        self.dirty = true;
    }

    /// A task on a machine is there no more and isn't done.
    fn lost(&mut self, id: &JobId, n: u32, why: &str, v: &View<'_>) {
        log::debug!("region: {id}/{n}: back to waiting, {why}");
        self.shift(id, n, Place::Waiting, None, v.now);
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
                if job.over || job.mine.is_empty() {
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
        let out: Vec<(u32, String)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (n, m) in out {
            let held = self
                .machines
                .get_mut(&m)
                .and_then(|m| m.tasks.get_mut(&(id.clone(), n)));
            match held {
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
        self.after_out(id);
    }

    /// Nothing is on this machine any more.
    fn clear_machine(&mut self, name: &str, v: &View<'_>) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.standing = Standing::Empty;
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
    }

    /// Takes a report and says what to answer. The caller has checked our
    /// authority and checks it again when the answer is written.
    pub fn on_report(&mut self, r: &Report, v: &View<'_>) -> Verdict {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return Verdict::Stranger;
        };
        // Guards against reports that were held back, and copies: they are as
        // old as their number says, and what they list may long be untrue.
        if r.order <= m.order {
            return Verdict::Stale;
        }
        // A report that a machine sent before the cloud took it back.
        if m.gone {
            return Verdict::Stranger;
        }
        if r.token > self.token {
            return Verdict::Outranked;
        }
        m.order = r.order;
        m.heard_at = v.now;
        m.last_ok = v.now;
        m.notice = r.notice.map(|n| v.now + n);
        self.open_machine(&r.machine);
        if r.token < self.token {
            // Its list may be followed by what a former owner still has on the
            // way to it; only a report that carries our token is beyond that.
            return Verdict::Commands(Vec::new());
        }
        let first = self
            .machines
            .get_mut(&r.machine)
            .is_some_and(|m| std::mem::replace(&mut m.standing, Standing::Live) != Standing::Live);
        if first {
            log::info!("region: {}: live in {}", r.machine, self.name);
            self.dirty = true;
        }
        let mut commands = Vec::new();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for t in &r.tasks {
            self.on_reported(&r.machine, t, v, &mut listed, &mut commands);
        }
        let missing: Vec<(JobId, u32)> = self.machines[&r.machine]
            .tasks
            .iter()
            .filter(|(k, h)| h.place != Place::Assigned && !listed.contains(*k))
            .map(|(k, _)| k.clone())
            .collect();
        for (id, n) in missing {
            self.lost(&id, n, "not on its machine", v);
        }
        if !self.settled {
            self.try_settle(v);
        }
        if self.dirty {
            self.place(v);
        }
        self.command(&r.machine, v, &mut commands);
        Verdict::Commands(commands)
    }

    fn on_reported(
        &mut self,
        machine: &str,
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
            let open = rec.is_some_and(|r| r.stage == Stage::Open);
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
        let over = rec.is_none_or(|r| r.stage != Stage::Open);
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
        if job.out.get(&t.task).is_some_and(|m| m != machine) {
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
                    .and_then(|j| j.out.get(&n).filter(|m| *m != machine).cloned());
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
                job.failed_on.insert(machine.to_owned());
                // A job that fails on machine after machine is at fault itself.
                if job.failed_on.len() <= 2 {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.errors += 1;
                        if m.errors >= 3 && m.closed.is_none() {
                            log::info!("region: {machine}: closed, its tasks keep failing");
                            m.closed = Some("faulty");
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
        job.not_before = job.not_before.max(v.now + wait);
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
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            if h.place == Place::Assigned && h.stop.is_none() {
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
        }
    }

    /// Ends the accounting once every machine that a former owner may have used
    /// is heard from or provably empty.
    fn try_settle(&mut self, v: &View<'_>) {
        if self.settled {
            return;
        }
        let open = self
            .machines
            .iter()
            .find(|(_, m)| m.standing == Standing::Expected && m.rec.opened);
        if let Some((name, _)) = open {
            log::debug!("region: {}: still waits for {name}", self.name);
            return;
        }
        self.settle(v);
    }

    /// A fault for the tests to catch: settled with nothing accounted for.
    #[cfg(test)]
    pub fn plant_settled(&mut self, v: &View<'_>) {
        if !self.settled {
            self.settle(v);
        }
    }

    fn settle(&mut self, v: &View<'_>) {
        self.settled = true;
        self.dirty = true;
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
        }
    }

    /// Regular upkeep. Returns when to look again.
    pub fn tick(&mut self, v: &View<'_>) -> Micros {
        if v.now >= self.next_tick {
            self.next_tick = v.now + 250 * MILLI;
            self.settle_conflicts(v);
            self.watch_machines(v);
            self.save_before_notice(v);
            self.reopen(v);
            self.share_out(v);
            let due: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, j)| !j.pending.is_empty() && !j.writing)
                .map(|(id, _)| id.clone())
                .collect();
            for id in due {
                self.write_progress(&id, v);
            }
            if self
                .jobs
                .values()
                .any(|j| !j.waiting.is_empty() && j.not_before <= v.now)
            {
                self.dirty = true;
            }
        }
        if self.dirty {
            self.place(v);
        }
        self.next_tick
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
        let mut waits: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.waiting.is_empty() && !j.writing && j.not_before <= v.now)
            .map(|(id, j)| {
                (
                    self.order_key(id, &j.spec, v),
                    WaitLine {
                        job: id.to_string(),
                        waiting: j.waiting.len(),
                        since_us: v.now.saturating_sub(j.wait_since),
                    },
                )
            })
            .collect();
        waits.sort_by_key(|a| a.0);
        RegionReport {
            region: self.name.clone(),
            token: self.token,
            settled: self.settled,
            rooms: self
                .machines
                .iter()
                .filter(|(_, m)| m.closed.is_none() && m.notice.is_none())
                .filter(|(_, m)| m.standing != Standing::Empty)
                .map(|(name, m)| RoomLine {
                    machine: name.clone(),
                    free: m.free(),
                    tasks: m.tasks.len() as u32,
                    live: m.open(),
                    age_us: v.now - m.dealt_at,
                })
                .collect(),
            waits: waits.into_iter().take(200).map(|w| w.1).collect(),
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
        }
    }

    /// Tasks of a job that are on machines here.
    pub fn running(&self, job: &str) -> u32 {
        self.jobs.get(job).map_or(0, |j| j.out.len() as u32)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workers::ReportedTask;
    use serde_json::json;

    struct Fixture {
        replica: Replica,
        settings: Settings,
        rev: u64,
    }

    impl Fixture {
        fn new() -> Self {
            let mut f = Fixture {
                replica: Replica::default(),
                settings: Settings::parse("f", &crate::settings::tests::sample()).unwrap(),
                rev: 0,
            };
            f.put(
                "st/flavor/box",
                json!({"name":"box","cpus":4_000_000,"gpus":0,"mem":9_000_000,"fetch":1,
                "price":1,"spot_price":1,"boot":10_000_000,"zones":["a"]}),
            );
            f
        }
        fn put(&mut self, key: &str, v: serde_json::Value) {
            self.rev += 1;
            self.replica.event(key, Some(v), self.rev).unwrap();
            self.replica.reached(self.rev);
        }
        fn machine(&mut self, name: &str) {
            let v = json!({"region":"t-0","flavor":"box","zone":"a","spot":false,"opened":true});
            self.put(&format!("st/machine/{name}"), v);
        }
        fn job(&mut self, id: &str, team: &str, class: &str, rank: &str, tasks: u32, at: u64) {
            let v = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":class,"t":team,"k":"a","r":rank,"n":tasks,
                "u":2_000_000,"m":1_000_000,"i":"img","e":5_000_000,"a":at}});
            self.put(&format!("st/job/{id}"), v);
        }
        fn share(&mut self, team: &str, cpus: u64) {
            self.put(&format!("st/quota/{team}"), json!({"t-0":[cpus,0]}));
        }
        fn view(&self, now: Micros) -> View<'_> {
            View {
                replica: &self.replica,
                settings: &self.settings,
                now,
                wall: now,
            }
        }
        fn take(&self, token: u64, now: Micros) -> Region {
            Region::new("t-0", token, 1, &self.view(now))
        }
    }

    fn report(machine: &str, tally: u64, token: u64, tasks: &[(&str, u32, u64)]) -> Report {
        Report {
            machine: machine.into(),
            flavor: "box".into(),
            zone: "a".into(),
            spot: false,
            order: (1, tally),
            token,
            notice: None,
            tasks: tasks
                .iter()
                .map(|(j, n, a)| ReportedTask {
                    job: Rc::from(*j),
                    task: *n,
                    attempt: *a,
                    stage: OnMachine::Running,
                })
                .collect(),
        }
    }

    fn starts(v: &Verdict) -> usize {
        match v {
            Verdict::Commands(c) => c.iter().filter(|c| matches!(c, Command::Start(..))).count(),
            _ => 0,
        }
    }

    /// What a former owner may have started waits for every machine; reports that
    /// are late, repeated or under another token change nothing.
    #[test]
    fn taking_over() {
        let mut f = Fixture::new();
        f.machine("m-1");
        f.machine("m-2");
        f.job("req-1", "red", "x", "1", 2, 0);
        f.share("red", 8_000_000);
        let mut r = f.take(7, SECOND);
        let at = |s: u64| f.view(s * SECOND);
        // First word comes under the old token: nothing is concluded from it.
        assert_eq!(
            r.on_report(&report("m-1", 1, 6, &[("req-1", 0, 5)]), &at(2)),
            Verdict::Commands(vec![])
        );
        assert_eq!(starts(&r.on_report(&report("m-1", 2, 7, &[]), &at(3))), 0);
        assert!(!r.settled());
        assert_eq!(
            r.on_report(&report("m-1", 2, 7, &[]), &at(4)),
            Verdict::Stale
        );
        assert_eq!(
            r.on_report(&report("m-1", 3, 8, &[]), &at(4)),
            Verdict::Outranked
        );
        assert_eq!(
            r.on_report(&report("m-9", 1, 7, &[]), &at(4)),
            Verdict::Stranger
        );
        // The other machine has task 1 of the old owner: it stays, task 0 starts.
        r.on_report(&report("m-2", 1, 7, &[("req-1", 1, 5)]), &at(5));
        assert!(r.settled());
        assert_eq!(r.running("req-1"), 2);
        assert_eq!(starts(&r.on_report(&report("m-1", 4, 7, &[]), &at(6))), 1);
        // Not in the next report: the start was not carried out, and goes anew.
        assert_eq!(starts(&r.on_report(&report("m-1", 5, 7, &[]), &at(9))), 1);
    }

    /// One silent machine among others goes back; when all are silent, the fault
    /// is ours and only their leases tell.
    #[test]
    fn silent_machines() {
        for (reporting, released) in [(&["m-1", "m-2"][..], true), (&[][..], false)] {
            let mut f = Fixture::new();
            for m in ["m-1", "m-2", "m-3"] {
                f.machine(m);
            }
            let mut r = f.take(7, SECOND);
            for s in (2..17).step_by(2) {
                let v = f.view(s * SECOND);
                for m in reporting {
                    r.on_report(&report(m, s, 7, &[]), &v);
                }
                r.tick(&v);
            }
            r.tick(&f.view(17 * SECOND));
            let got = r
                .take_effects()
                .into_iter()
                .any(|e| matches!(e, Effect::Release(names) if names == ["m-3"]));
            assert_eq!(got, released, "{reporting:?}");
            assert!(!r.settled());
            if released {
                r.on_released(&["m-3".into()], true, &f.view(17 * SECOND));
            }
            assert_eq!(r.settled(), released);
            r.tick(&f.view(19 * SECOND));
            assert!(r.settled(), "past the lease all is clear");
        }
    }

    /// A share is asked for before there is room, so that a machine that falls
    /// free doesn't wait for it.
    #[test]
    fn shares_are_taken_ahead() {
        let mut f = Fixture::new();
        f.machine("m-1");
        let mut r = f.take(7, SECOND);
        r.on_report(&report("m-1", 1, 7, &[]), &f.view(2 * SECOND));
        r.take_effects();
        f.job("req-1", "red", "x", "1", 2, 0);
        f.share("red", 4_000_000);
        r.on_job("req-1", &f.view(2 * SECOND), false);
        r.place(&f.view(2 * SECOND));
        assert_eq!(r.running("req-1"), 2);
        f.job("req-2", "blue", "x", "1", 1, 0);
        r.on_job("req-2", &f.view(3 * SECOND), false);
        r.place(&f.view(3 * SECOND));
        let asked = r
            .take_effects()
            .into_iter()
            .any(|e| matches!(e, Effect::Commit(_, _, Purpose::Share(t)) if t == "blue"));
        assert!(asked);
    }

    /// Guarantee, then rank, then the operators' precedence, then the aims.
    #[test]
    fn order_of_waiting_jobs() {
        let mut f = Fixture::new();
        f.settings.operator.precedence = vec!["first".into(), "second".into()];
        // Red is guaranteed 4 processors: its first job fits, the others don't.
        for (i, (id, class, rank, tasks)) in [
            ("req-1", "other", "1", 2),
            ("req-2", "second", "1", 2),
            ("req-3", "first", "1", 2),
            ("req-4", "other", "3", 2),
            ("req-5", "other", "1", 1),
        ]
        .into_iter()
        .enumerate()
        {
            f.job(id, "red", class, rank, tasks, i as u64);
        }
        let mut r = f.take(7, SECOND);
        let v = f.view(SECOND);
        r.place(&v);
        let order: Vec<String> = r.report(&v).waits.into_iter().map(|w| w.job).collect();
        assert_eq!(order, ["req-1", "req-4", "req-3", "req-2", "req-5"]);
    }
}
