//! The platform: machines with their workers, the cloud, the users' jobs, and the rules that
//! they can see being broken.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Client, Request, Response};
use crate::msgpack::{map, s, V};
use crate::record::Record;

const TICK: Duration = Duration::from_millis(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_NODE: Duration = Duration::from_secs(1);
const MIN_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct MachineType {
    pub label: &'static str,
    pub cores: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub low_price: f64,
    pub startup_s: f64,
    pub pull_gb_per_s: f64,
    pub fields: Vec<&'static str>,
}

/// A job as its user submits it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub crop: String,
    pub crew: String,
    pub furrow: &'static str,
    pub rank: &'static str,
    pub cores: f64,
    pub memory_gb: f64,
    pub plots: Option<Vec<String>>,
    pub field: Option<String>,
    pub same_place: bool,
    pub spread: bool,
    pub fallow: bool,
    pub seed: String,
    pub size_gb: f64,
    pub growth_s: f64,
    pub stook_s: f64,
    pub bind_s: f64,
    pub harvest_s: Option<f64>,
    /// True run time of each task, in seconds. Its length is the number of tasks.
    pub run_s: Vec<f64>,
    pub trails: Vec<String>,
}

impl Job {
    pub fn body(&self) -> V {
        let text = |t: &Option<String>| t.as_ref().map_or(V::Nil, |t| s(t));
        let plots = self.plots.as_ref();
        let mut entries = vec![
            ("nameId", s(&self.id)),
            ("crop", s(&self.crop)),
            ("crew", s(&self.crew)),
            ("furrow", s(self.furrow)),
            ("rank", s(self.rank)),
            ("sheaves", V::Int(self.run_s.len() as u64)),
            ("cores", V::F(self.cores)),
            ("cards", V::F(0.0)),
            ("memoryGb", V::F(self.memory_gb)),
            ("seed", s(&self.seed)),
            ("sizeGb", V::F(self.size_gb)),
            (
                "plots",
                plots.map_or(V::Nil, |p| V::A(p.iter().map(|t| s(t)).collect())),
            ),
            ("field", text(&self.field)),
            ("samePlace", V::Bool(self.same_place)),
            ("spread", V::Bool(self.spread)),
            ("fallow", V::Bool(self.fallow)),
            ("growthS", V::F(self.growth_s)),
            ("stookS", V::F(self.stook_s)),
            ("bindS", V::F(self.bind_s)),
            ("harvestS", self.harvest_s.map_or(V::Nil, V::F)),
        ];
        if !self.trails.is_empty() {
            let trails = self.trails.iter().map(|t| s(t)).collect();
            entries.push(("trails", V::A(trails)));
        }
        map(entries)
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Pulling { until: Instant },
    Gathering { since: Instant },
    Running { until: Option<Instant> },
    Flushing { until: Instant },
    Ended { blight: &'static str, stored: bool },
}

struct Task {
    sheaf: String,
    sowing: u64,
    stage: Stage,
}

impl Task {
    /// Whether the task is on its machine: it has its image and has not exited.
    fn is_on(&self) -> bool {
        !matches!(self.stage, Stage::Pulling { .. } | Stage::Ended { .. })
    }
    fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Ended { .. })
    }
}

/// How a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    Well,
    /// Stopped with all that is on it.
    Dead,
    /// Does nothing, but may continue.
    Hangs,
}

pub struct Machine {
    pub name: String,
    kind: MachineType,
    pub field: String,
    pub fallow: bool,
    rented: Instant,
    up_at: Instant,
    pub health: Health,
    died: Option<Instant>,
    season: u64,
    tally: u64,
    pub brand: u64,
    lease_from: Instant,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    changed: bool,
    reported: Option<Instant>,
    /// The reports of a mute machine reach no controller.
    pub mute: bool,
    /// The answers to a deaf machine are lost.
    pub deaf: bool,
}

pub struct Config {
    pub types: Vec<MachineType>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    /// Limit of each team's processors.
    pub limits: BTreeMap<String, f64>,
}

/// Capacity that the cloud still has, by type, zone and kind.
pub type Capacity = BTreeMap<(String, String, bool), u32>;

pub struct World {
    pub config: Config,
    pub machines: BTreeMap<String, Machine>,
    pub jobs: BTreeMap<String, Job>,
    /// Tasks that are done.
    pub done: BTreeSet<String>,
    /// Machines on which each task is.
    pub on: BTreeMap<String, BTreeSet<String>>,
    /// Number of starts of each task.
    pub starts: BTreeMap<String, u32>,
    /// When users were told that a job is cancelled.
    pub told_cancelled: BTreeMap<String, Instant>,
    /// Broken rules.
    pub broken: Vec<String>,
    pub capacity: Capacity,
    next_machine: u32,
    rentals: BTreeMap<String, Vec<String>>,
    pub cloud_outage: bool,
    /// When the release of each machine was first asked for.
    pub releases: BTreeMap<String, Instant>,
    record: Arc<Record>,
    nodes: Vec<(String, SocketAddr)>,
    pub seed: u64,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(|e| e.into_inner())
}

fn job_of(sheaf: &str) -> (&str, usize) {
    let (job, number) = sheaf.split_once('/').unwrap_or((sheaf, "0"));
    (job, number.parse().unwrap_or(0))
}

impl World {
    pub fn new(config: Config, nodes: Vec<(String, SocketAddr)>, record: Arc<Record>) -> Self {
        World {
            config,
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            done: BTreeSet::new(),
            on: BTreeMap::new(),
            starts: BTreeMap::new(),
            told_cancelled: BTreeMap::new(),
            broken: Vec::new(),
            capacity: Capacity::new(),
            next_machine: 1,
            rentals: BTreeMap::new(),
            cloud_outage: false,
            releases: BTreeMap::new(),
            record,
            nodes,
            seed: 1,
        }
    }

    /// A number from 0 to 1, the same in each run for the same calls.
    pub fn random(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn break_rule(&mut self, rule: &str, what: String) {
        self.record.line(&format!("BROKEN {rule}: {what}"));
        self.broken.push(format!("{rule}: {what}"));
    }

    pub fn add_machine(&mut self, label: &str, field: &str, fallow: bool, boot_s: f64) -> String {
        let kind = self.config.types.iter().find(|t| t.label == label);
        let kind = kind.expect("a known type").clone();
        let name = format!("m-{:06}", self.next_machine);
        self.next_machine += 1;
        let now = Instant::now();
        let up_at = now + Duration::from_secs_f64(boot_s);
        let machine = Machine {
            name: name.clone(),
            kind,
            field: field.to_owned(),
            fallow,
            rented: now,
            up_at,
            health: Health::Well,
            died: None,
            season: 1,
            tally: 0,
            brand: 0,
            lease_from: up_at,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            changed: false,
            reported: None,
            mute: false,
            deaf: false,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Free processors and memory of a machine, and whether it is up.
    pub fn free(&self, name: &str) -> Option<(f64, f64)> {
        let m = self.machines.get(name)?;
        if m.health != Health::Well || Instant::now() < m.up_at {
            return None;
        }
        let (mut cores, mut memory) = (m.kind.cores, m.kind.memory_gb);
        for task in m.tasks.iter().filter(|t| t.is_live()) {
            if let Some(job) = self.jobs.get(job_of(&task.sheaf).0) {
                cores -= job.cores;
                memory -= job.memory_gb;
            }
        }
        Some((cores, memory))
    }

    /// Whether a machine's worker has just sent a report.
    pub fn has_just_reported(&self, name: &str) -> bool {
        let reported = self.machines.get(name).and_then(|m| m.reported);
        reported.is_some_and(|at| at.elapsed() < Duration::from_millis(150))
    }

    pub fn field(&self, name: &str) -> String {
        self.machines
            .get(name)
            .map_or_else(String::new, |m| m.field.clone())
    }

    pub fn label(&self, name: &str) -> &'static str {
        self.machines.get(name).map_or("", |m| m.kind.label)
    }

    /// Processors that a team's tasks use.
    pub fn team_usage(&self, crew: &str) -> f64 {
        self.on
            .iter()
            .filter(|(_, machines)| !machines.is_empty())
            .filter_map(|(sheaf, machines)| {
                let job = self.jobs.get(job_of(sheaf).0)?;
                (job.crew == crew).then_some(job.cores * machines.len() as f64)
            })
            .sum()
    }

    /// Machines on which tasks of a job are, by task number.
    pub fn on_machines(&self, job: &str) -> BTreeMap<usize, String> {
        let prefix = format!("{job}/");
        self.on
            .range(prefix.clone()..)
            .take_while(|(sheaf, _)| sheaf.starts_with(&prefix))
            .filter_map(|(sheaf, machines)| Some((job_of(sheaf).1, machines.first()?.clone())))
            .collect()
    }

    pub fn done_count(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.done.iter().filter(|t| t.starts_with(&prefix)).count()
    }

    pub fn set_health(&mut self, name: &str, health: Health) {
        if let Some(m) = self.machines.get_mut(name) {
            if m.health != Health::Dead {
                m.health = health;
                self.record.line(&format!("machine {name}: {health:?}"));
            }
        }
    }

    /// Stops a machine with all that is on it.
    pub fn kill_machine(&mut self, name: &str) {
        let sheaves = self.tasks_on(name);
        for sheaf in sheaves {
            self.leave(&sheaf, name);
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.health = Health::Dead;
            m.died = Some(Instant::now());
            m.tasks.clear();
        }
        self.record
            .line(&format!("machine {name} stops with all that is on it"));
    }

    /// The cloud takes a spot machine back, without notice.
    pub fn take_machine(&mut self, name: &str) {
        for sheaf in self.tasks_on(name) {
            self.leave(&sheaf, name);
        }
        self.machines.remove(name);
        self.record.line(&format!("the cloud takes {name} back"));
    }

    fn tasks_on(&self, name: &str) -> Vec<String> {
        self.machines.get(name).map_or_else(Vec::new, |m| {
            let on = m.tasks.iter().filter(|t| t.is_on());
            on.map(|t| t.sheaf.clone()).collect()
        })
    }

    fn leave(&mut self, sheaf: &str, machine: &str) {
        if let Some(machines) = self.on.get_mut(sheaf) {
            machines.remove(machine);
            if machines.is_empty() {
                self.on.remove(sheaf);
            }
        }
    }

    /// A task has its image: it is on its machine from now on.
    fn enter(&mut self, sheaf: &str, machine: &str) {
        *self.starts.entry(sheaf.to_owned()).or_default() += 1;
        let (job, _) = job_of(sheaf);
        self.record.line(&format!("task {sheaf} is on {machine}"));
        let others = self.on.entry(sheaf.to_owned()).or_default();
        let elsewhere: Vec<String> = others.iter().filter(|m| *m != machine).cloned().collect();
        others.insert(machine.to_owned());
        if let Some(other) = elsewhere.first() {
            let what = format!("{sheaf} starts on {machine} while it is on {other}");
            self.break_rule("ran_twice", what);
        }
        let Some(job) = self.jobs.get(job).cloned() else {
            return;
        };
        if let Some(told) = self.told_cancelled.get(&job.id) {
            let late = told.elapsed().as_secs_f64();
            self.record.line(&format!(
                "task {sheaf} starts {late:.2} s after the user was told that it is cancelled"
            ));
            if late > self.config.cancel_s {
                self.break_rule("ran_cancelled", format!("{sheaf} starts on {machine}"));
            }
        }
        let usage = self.team_usage(&job.crew);
        if let Some(limit) = self.config.limits.get(&job.crew) {
            if usage > limit + 1e-6 {
                let what = format!("{} uses {usage} of {limit}", job.crew);
                self.break_rule("quota", what);
            }
        }
        self.check_place(&job, sheaf, machine);
    }

    fn check_place(&mut self, job: &Job, sheaf: &str, machine: &str) {
        let Some(m) = self.machines.get(machine) else {
            return;
        };
        let (label, field, fallow) = (m.kind.label, m.field.clone(), m.fallow);
        let allowed = job
            .plots
            .as_ref()
            .is_none_or(|p| p.iter().any(|t| t == label))
            && job.field.as_ref().is_none_or(|f| *f == field)
            && (job.fallow || !fallow);
        let mut in_field = 0;
        let mut elsewhere = 0;
        for other in self.on_machines(&job.id).values() {
            let same = self.machines.get(other).is_some_and(|o| o.field == field);
            in_field += usize::from(same);
            elsewhere += usize::from(!same);
        }
        let apart = job.same_place && elsewhere > 0;
        let crowded = job.spread && in_field > job.run_s.len().div_ceil(2);
        if !allowed || apart || crowded {
            self.break_rule("wrong_place", format!("{sheaf} starts on {machine}"));
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.tick_machine(&name, now);
        }
        let late: Vec<String> = self
            .told_cancelled
            .iter()
            .filter(|(_, told)| told.elapsed().as_secs_f64() > self.config.cancel_s)
            .map(|(job, _)| job.clone())
            .collect();
        for job in late {
            for (number, machine) in self.on_machines(&job) {
                self.told_cancelled.remove(&job);
                let what = format!("{job}/{number} is still on {machine}");
                self.break_rule("ran_cancelled", what);
            }
        }
    }

    fn tick_machine(&mut self, name: &str, now: Instant) {
        let lease = Duration::from_secs_f64(self.config.lease_s);
        let gang_wait = Duration::from_secs_f64(self.config.gang_wait_s);
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.health != Health::Well || now < m.up_at {
            return;
        }
        if now > m.lease_from + lease {
            m.season += 1;
            m.lease_from = now;
            m.changed = true;
            let season = m.season;
            let gone: Vec<String> = self.tasks_on(name);
            for sheaf in &gone {
                self.leave(sheaf, name);
            }
            if let Some(m) = self.machines.get_mut(name) {
                m.tasks.clear();
            }
            self.record.line(&format!(
                "worker {name}: lease expired, {} tasks killed, season {season}",
                gone.len()
            ));
            return;
        }
        let mut index = 0;
        while let Some(task) = self.machines.get(name).and_then(|m| m.tasks.get(index)) {
            let (sheaf, sowing, stage) = (task.sheaf.clone(), task.sowing, task.stage.clone());
            let next = match stage {
                Stage::Pulling { until } if now >= until => {
                    self.enter(&sheaf, name);
                    Some(Stage::Gathering { since: now })
                }
                Stage::Gathering { since } => {
                    if self.is_gang_complete(&sheaf, sowing) {
                        self.record.line(&format!("task {sheaf} runs on {name}"));
                        Some(self.running(&sheaf, now))
                    } else if now > since + gang_wait {
                        Some(Stage::Ended {
                            blight: "incomplete",
                            stored: false,
                        })
                    } else {
                        None
                    }
                }
                Stage::Running { until: Some(until) } if now >= until => {
                    self.finish(&sheaf);
                    Some(Stage::Ended {
                        blight: "done",
                        stored: false,
                    })
                }
                // The tasks of a gang complete together.
                Stage::Running { .. } if self.done.contains(&sheaf) => Some(Stage::Ended {
                    blight: "done",
                    stored: false,
                }),
                Stage::Running { .. } if !self.is_gang_complete(&sheaf, sowing) => {
                    Some(Stage::Ended {
                        blight: "mates_gone",
                        stored: false,
                    })
                }
                Stage::Flushing { until } if now >= until => Some(Stage::Ended {
                    blight: "stopped",
                    stored: true,
                }),
                _ => None,
            };
            if let Some(next) = next {
                if let Stage::Ended { blight, .. } = &next {
                    self.record
                        .line(&format!("task {sheaf} ends on {name}: {blight}"));
                    self.leave(&sheaf, name);
                }
                if let Some(m) = self.machines.get_mut(name) {
                    m.changed = true;
                    if let Some(task) = m.tasks.get_mut(index) {
                        task.stage = next;
                    }
                }
            }
            index += 1;
        }
    }

    fn running(&self, sheaf: &str, now: Instant) -> Stage {
        let (job, number) = job_of(sheaf);
        let job = self.jobs.get(job);
        let run_s = job
            .and_then(|j| j.run_s.get(number))
            .copied()
            .unwrap_or(0.0);
        let is_service = job.is_some_and(|j| j.furrow == "standing");
        let run_s = if self.done.contains(sheaf) {
            0.0
        } else {
            run_s
        };
        Stage::Running {
            until: (!is_service).then(|| now + Duration::from_secs_f64(run_s)),
        }
    }

    /// Marks a task as done, and with a task of a gang all of them.
    fn finish(&mut self, sheaf: &str) {
        let (id, _) = job_of(sheaf);
        match self.jobs.get(id) {
            Some(job) if job.furrow == "gang" => {
                let all = (0..job.run_s.len()).map(|n| format!("{id}/{n}"));
                self.done.extend(all);
            }
            _ => {
                self.done.insert(sheaf.to_owned());
            }
        }
    }

    /// Whether all tasks of a gang have their images, under the same attempt number.
    fn is_gang_complete(&self, sheaf: &str, sowing: u64) -> bool {
        let (id, _) = job_of(sheaf);
        let Some(job) = self.jobs.get(id).filter(|j| j.furrow == "gang") else {
            return true;
        };
        let prefix = format!("{id}/");
        let mut present = BTreeSet::new();
        for m in self.machines.values().filter(|m| m.health == Health::Well) {
            for task in &m.tasks {
                if task.sheaf.starts_with(&prefix) && task.sowing == sowing && task.is_on() {
                    present.insert(task.sheaf.clone());
                }
            }
        }
        present.len() == job.run_s.len()
    }

    /// The report of a worker, or `None` if it sends none.
    fn report(&mut self, name: &str) -> Option<(V, u64)> {
        let m = self.machines.get_mut(name)?;
        if m.health != Health::Well {
            return None;
        }
        m.tally += 1;
        m.changed = false;
        m.reported = Some(Instant::now());
        let sheaves = m.tasks.iter().map(|t| {
            let mut entry = vec![
                ("sheaf", s(&t.sheaf)),
                ("sowing", V::Int(t.sowing)),
                (
                    "stage",
                    s(match t.stage {
                        Stage::Pulling { .. } => "pulling",
                        Stage::Gathering { .. } => "gathering",
                        Stage::Running { .. } => "running",
                        Stage::Flushing { .. } => "flushing",
                        Stage::Ended { .. } => "ended",
                    }),
                ),
            ];
            if let Stage::Ended { blight, stored } = t.stage {
                entry.push(("blight", s(blight)));
                if stored {
                    entry.push(("stored", V::Bool(true)));
                }
            }
            map(entry)
        });
        let report = map(vec![
            ("tiller", s(&m.name)),
            ("address", s("127.0.0.1:9")),
            ("plot", s(m.kind.label)),
            ("field", s(&m.field)),
            ("fallow", V::Bool(m.fallow)),
            ("season", V::Int(m.season)),
            ("tally", V::Int(m.tally)),
            ("brand", V::Int(m.brand)),
            ("reclaimS", V::Nil),
            ("sheaves", V::A(sheaves.collect())),
        ]);
        Some((report, m.season))
    }

    /// Applies the answer to a report that was sent at `sent` in this session.
    fn apply_answer(&mut self, name: &str, season: u64, sent: Instant, answer: &V) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let Some(brand) = answer.get("brand").u64() else {
            return;
        };
        if m.season != season || m.health != Health::Well || brand < m.brand {
            return;
        }
        if brand > m.brand {
            m.brand = brand;
            m.changed = true;
        }
        m.lease_from = m.lease_from.max(sent);
        for call in answer.get("calls").list() {
            let sheaf = call.get("sheaf").str().unwrap_or_default().to_owned();
            let sowing = call.get("sowing").u64().unwrap_or(0);
            match call.get("call").str() {
                Some("start") => self.start(name, &sheaf, sowing),
                Some("stop") => {
                    let grace = call.get("gleaningS").f64().unwrap_or(0.0);
                    self.stop(name, &sheaf, sowing, grace);
                }
                Some("reap") => {
                    if let Some(m) = self.machines.get_mut(name) {
                        m.tasks
                            .retain(|t| t.sheaf != sheaf || t.sowing != sowing || t.is_live());
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, name: &str, sheaf: &str, sowing: u64) {
        self.record.line(&format!(
            "command to {name}: start {sheaf} attempt {sowing}"
        ));
        let (id, number) = job_of(sheaf);
        let job = self
            .jobs
            .get(id)
            .filter(|j| number < j.run_s.len())
            .cloned();
        let free = self.free(name);
        let now = Instant::now();
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.tasks
            .iter()
            .any(|t| t.sheaf == sheaf && t.sowing == sowing)
        {
            return;
        }
        let refusal = match (&job, free) {
            (None, _) => Some("unknown"),
            _ if m.tasks.iter().any(|t| t.sheaf == sheaf && t.is_live()) => Some("busy"),
            (Some(job), Some((cores, memory)))
                if cores + 1e-6 < job.cores || memory + 1e-6 < job.memory_gb =>
            {
                Some("full")
            }
            _ => None,
        };
        let stage = match (refusal, job) {
            (None, Some(job)) => {
                let cached = m.images.contains(&job.seed);
                let pulling = m.tasks.iter().find_map(|t| match t.stage {
                    Stage::Pulling { until } => {
                        let other = self.jobs.get(job_of(&t.sheaf).0)?;
                        (other.seed == job.seed).then_some(until)
                    }
                    _ => None,
                });
                let fetch = Duration::from_secs_f64(job.size_gb / m.kind.pull_gb_per_s);
                let until = if cached { now } else { now + fetch };
                m.images.insert(job.seed.clone());
                Stage::Pulling {
                    until: pulling.unwrap_or(until),
                }
            }
            (refusal, _) => Stage::Ended {
                blight: refusal.unwrap_or("unknown"),
                stored: false,
            },
        };
        m.changed = true;
        m.tasks.push(Task {
            sheaf: sheaf.to_owned(),
            sowing,
            stage,
        });
    }

    fn stop(&mut self, name: &str, sheaf: &str, sowing: u64, grace: f64) {
        self.record.line(&format!(
            "command to {name}: stop {sheaf} attempt {sowing} grace {grace}"
        ));
        let job = self.jobs.get(job_of(sheaf).0).cloned();
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let found = m
            .tasks
            .iter_mut()
            .find(|t| t.sheaf == sheaf && t.sowing == sowing);
        let Some(task) = found.filter(|t| t.is_live()) else {
            return;
        };
        let saves = job.filter(|j| j.stook_s > 0.0 && grace >= j.bind_s);
        let is_running = matches!(task.stage, Stage::Running { .. });
        let is_saving = matches!(task.stage, Stage::Flushing { .. });
        m.changed = true;
        if is_saving && grace > 0.0 {
            return;
        }
        match saves {
            Some(job) if is_running => {
                let until = Instant::now() + Duration::from_secs_f64(job.bind_s);
                task.stage = Stage::Flushing { until };
            }
            _ => {
                task.stage = Stage::Ended {
                    blight: "stopped",
                    stored: false,
                };
                self.leave(sheaf, name);
            }
        }
    }

    /// Handles a call to the cloud.
    pub fn cloud(&mut self, request: &Request) -> Response {
        let ok = |v: V| Response::new(200, v.encode());
        let error = |text: &str| Response::new(503, map(vec![("error", s(text))]).encode());
        if self.cloud_outage {
            return error("trouble");
        }
        let body = V::decode(&request.body).unwrap_or(V::Nil);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let plots = self.config.types.iter().map(|t| {
                    map(vec![
                        ("label", s(t.label)),
                        ("cores", V::F(t.cores)),
                        ("cards", V::Int(0)),
                        ("memoryGb", V::F(t.memory_gb)),
                        ("localGb", V::F(80.0)),
                        ("pullGbPerS", V::F(t.pull_gb_per_s)),
                        ("price", V::F(t.price)),
                        ("lowPrice", V::F(t.low_price)),
                        ("startupS", V::F(t.startup_s)),
                        ("fields", V::A(t.fields.iter().map(|f| s(f)).collect())),
                    ])
                });
                ok(map(vec![("plots", V::A(plots.collect()))]))
            }
            ("POST", "/machines") => self.rent(&body),
            ("POST", "/machines/release") => {
                for name in body.get("tillers").list() {
                    let name = name.str().unwrap_or_default();
                    self.record
                        .line(&format!("cloud: release of {name} asked for"));
                    self.releases
                        .entry(name.to_owned())
                        .or_insert_with(Instant::now);
                    if self.machines.contains_key(name) {
                        self.remove_machine(name);
                    }
                }
                ok(map(vec![]))
            }
            ("GET", "/machines") => self.list(&request.query),
            _ => Response::new(400, Vec::new()),
        }
    }

    fn remove_machine(&mut self, name: &str) {
        let running = self.tasks_on(name);
        self.record.line(&format!(
            "machine {name} released, {} tasks on it",
            running.len()
        ));
        for sheaf in running {
            self.leave(&sheaf, name);
        }
        if let Some(m) = self.machines.remove(name) {
            let key = (m.kind.label.to_owned(), m.field.clone(), m.fallow);
            if m.health != Health::Dead {
                *self.capacity.entry(key).or_default() += 1;
            }
        }
    }

    fn rent(&mut self, body: &V) -> Response {
        let text = |key: &str| body.get(key).str().unwrap_or_default().to_owned();
        let tenancy = text("tenancy");
        let names = |names: &[String]| {
            let names = names.iter().map(|n| s(n)).collect();
            Response::new(200, map(vec![("tillers", V::A(names))]).encode())
        };
        if let Some(rented) = self.rentals.get(&tenancy) {
            return names(rented);
        }
        let fallow = *body.get("fallow") == V::Bool(true);
        let key = (text("plot"), text("field"), fallow);
        let left = self.capacity.get(&key).copied().unwrap_or(0);
        let count = (body.get("count").u64().unwrap_or(0) as u32)
            .min(50)
            .min(left);
        if count == 0 {
            return Response::new(503, map(vec![("error", s("no capacity"))]).encode());
        }
        let startup = self.config.types.iter().find(|t| t.label == key.0);
        let startup = startup.map_or(30.0, |t| t.startup_s);
        self.capacity.insert(key.clone(), left - count);
        let rented: Vec<String> = (0..count)
            .map(|_| self.add_machine(&key.0, &key.1, fallow, startup))
            .collect();
        self.record
            .line(&format!("cloud: {tenancy} rents {rented:?}"));
        self.rentals.insert(tenancy, rented.clone());
        names(&rented)
    }

    fn list(&self, query: &str) -> Response {
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(k, _)| *k == name).map(|(_, v)| v).next()
        };
        let from = value("from").unwrap_or("");
        let page = value("page")
            .and_then(|n| n.parse().ok())
            .unwrap_or(500)
            .min(500);
        let lag = Duration::from_secs_f64(self.config.list_lag_s);
        let now = Instant::now();
        let listed: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.name.as_str() > from)
            // Machines that were up at the start have been listed for long.
            .filter(|m| now > m.rented + lag || m.up_at <= m.rented)
            .collect();
        let more = listed.len() > page;
        let tillers = listed.into_iter().take(page).map(|m| {
            let gone = m.died.is_some_and(|d| now > d + Duration::from_secs(30));
            let stage = if gone {
                "failed"
            } else if now < m.up_at {
                "booting"
            } else {
                "running"
            };
            let held =
                (now - m.rented).as_secs_f64() + if m.up_at <= m.rented { 600.0 } else { 0.0 };
            map(vec![
                ("nameId", s(&m.name)),
                ("address", s("127.0.0.1:9")),
                ("plot", s(m.kind.label)),
                ("field", s(&m.field)),
                ("fallow", V::Bool(m.fallow)),
                ("stage", s(stage)),
                ("heldS", V::F(held)),
            ])
        });
        let body = map(vec![
            ("tillers", V::A(tillers.collect())),
            ("more", V::Bool(more)),
        ]);
        Response::new(200, body.encode())
    }
}

/// Starts the clock of all machines and a worker for each machine that comes up.
pub fn run(world: &Shared) {
    let clock = world.clone();
    thread::spawn(move || {
        let mut started = BTreeSet::new();
        loop {
            thread::sleep(TICK);
            let mut w = lock(&clock);
            w.tick();
            let now = Instant::now();
            let new: Vec<String> = w
                .machines
                .values()
                .filter(|m| now >= m.up_at && !started.contains(&m.name))
                .map(|m| m.name.clone())
                .collect();
            drop(w);
            for name in new {
                started.insert(name.clone());
                let world = clock.clone();
                thread::spawn(move || worker(&world, &name));
            }
        }
    });
}

/// A worker: reports to one node at a time.
fn worker(world: &Shared, name: &str) {
    let mut client = Client::default();
    let (nodes, interval) = {
        let w = lock(world);
        (w.nodes.clone(), w.config.report_s)
    };
    let digits: usize = name.trim_start_matches("m-").parse().unwrap_or(0);
    let mut node = digits % nodes.len();
    let mut next = Instant::now() + Duration::from_millis(50 * (digits as u64 % 20));
    let mut last_sent: Option<Instant> = None;
    loop {
        thread::sleep(Duration::from_millis(10));
        let now = Instant::now();
        let mut w = lock(world);
        let Some(m) = w.machines.get(name) else {
            return;
        };
        if m.health == Health::Dead {
            return;
        }
        if m.health == Health::Hangs {
            continue;
        }
        // A change is reported early, but not within half a second of the last report.
        let may_send_early = last_sent.is_some_and(|at| now > at + MIN_INTERVAL);
        if now < next && !(m.changed && may_send_early) {
            continue;
        }
        let (mute, deaf) = (m.mute, m.deaf);
        let Some((report, season)) = w.report(name) else {
            continue;
        };
        let jitter = 0.75 + 0.5 * w.random();
        drop(w);
        last_sent = Some(now);
        let answer = if mute {
            thread::sleep(ANSWER_TIMEOUT);
            None
        } else {
            let body = report.encode();
            let answer = client.call(nodes[node].1, "POST", "/v1/report", &body, ANSWER_TIMEOUT);
            if deaf {
                let left = (now + ANSWER_TIMEOUT).saturating_duration_since(Instant::now());
                thread::sleep(left);
                None
            } else {
                answer
            }
        };
        next = now + Duration::from_secs_f64(interval * jitter);
        match answer {
            Some(answer) if answer.status == 200 => {
                let body = V::decode(&answer.body).unwrap_or(V::Nil);
                let mut w = lock(world);
                w.apply_answer(name, season, now, &body);
            }
            Some(answer) if answer.status == 421 => {
                client.close();
                let body = V::decode(&answer.body).unwrap_or(V::Nil);
                let steward = body.get("steward").str().unwrap_or_default();
                match nodes
                    .iter()
                    .position(|(n, _)| n == steward)
                    .filter(|n| *n != node)
                {
                    Some(other) => {
                        node = other;
                        next = Instant::now();
                    }
                    None => {
                        node = (node + 1) % nodes.len();
                        next = Instant::now() + NEXT_NODE;
                        thread::sleep(NEXT_NODE);
                    }
                }
            }
            _ => {
                client.close();
                node = (node + 1) % nodes.len();
                thread::sleep(NEXT_NODE);
                next = Instant::now();
            }
        }
    }
}
