//! The rule that no job waits for long beside free capacity.

use std::collections::BTreeMap;

use crate::simulation::users::{Job, JobKind};
use crate::simulation::workers::task_id;
use crate::simulation::world::World;
use salttiller_records::units::{Micros, SECOND};

use super::{Rule, ROUNDING};

/// Once all faults are over, a job that could run waits no longer than this.
const LONGEST_NEEDLESS_WAIT: Micros = 90 * SECOND;

/// Capacity of a machine that no task uses.
struct FreeCapacity {
    spot: bool,
    cpus: f64,
    memory_gb: f64,
}

/// What tasks use of the machines.
#[derive(Default)]
struct ClusterUsage {
    free: Vec<FreeCapacity>,
    cpus_by_team: BTreeMap<&'static str, f64>,
    tasks_by_job: BTreeMap<String, u32>,
}

/// Whether a job could run more tasks now.
enum Outlook {
    /// It waits for nothing but time or other jobs.
    NotWaiting,
    NoCapacity,
    OverLimit,
    /// It could; what speaks for that.
    CouldRun(String),
}

impl World {
    /// Once all faults are over, no job waits for long while machines have capacity for what
    /// it lacks and its team is under its limit.
    pub(crate) fn check_waiting(&mut self) {
        let usage = self.cluster_usage();
        let jobs = self.users.jobs.iter();
        let outlooks: Vec<(String, Outlook)> = jobs
            .map(|(id, job)| (id.clone(), self.outlook(id, job, &usage)))
            .collect();
        for (id, outlook) in outlooks {
            let no_capacity = matches!(outlook, Outlook::NoCapacity);
            self.observations.capacity_shortages += u32::from(no_capacity);
            match outlook {
                Outlook::CouldRun(seen) => self.check_needless_wait(id, seen),
                Outlook::NotWaiting | Outlook::NoCapacity | Outlook::OverLimit => {
                    self.needless_waits.remove(&id);
                }
            }
        }
    }

    /// A job could run: checks that it has not been so for long without a start.
    fn check_needless_wait(&mut self, id: String, seen: String) {
        let starts = self.users.jobs[&id].starts;
        let now_waiting = NeedlessWait {
            since: self.now,
            starts,
        };
        let wait = self.needless_waits.entry(id.clone()).or_insert(now_waiting);
        if wait.starts != starts {
            *wait = now_waiting;
        }
        let since = wait.since.max(self.faults_end);
        if self.now > since + LONGEST_NEEDLESS_WAIT {
            self.violate(Rule::Waits, format!("{id}: {seen}"));
        }
    }

    fn cluster_usage(&self) -> ClusterUsage {
        let mut usage = ClusterUsage::default();
        for (_, worker) in self.live_workers().filter(|(_, w)| w.token != 0) {
            let (cpus, memory_gb) = match worker.machine_type.as_str() {
                "box" => (4.0, 16.0),
                _ => (8.0, 64.0),
            };
            let mut free = FreeCapacity {
                spot: worker.spot,
                cpus,
                memory_gb,
            };
            for (task, _) in worker.active_tasks() {
                let job = self.job_of(task);
                free.cpus -= job.cpus;
                free.memory_gb -= 1.0;
                *usage.cpus_by_team.entry(job.team).or_default() += job.cpus;
                let id = task_id(task).0.to_owned();
                *usage.tasks_by_job.entry(id).or_default() += 1;
            }
            usage.free.push(free);
        }
        usage
    }

    fn outlook(&self, id: &str, job: &Job, usage: &ClusterUsage) -> Outlook {
        let active = usage.tasks_by_job.get(id).copied().unwrap_or(0);
        let present = active + job.results.len() as u32;
        let is_over = job.is_final() || job.cancel_requested;
        let is_blocked = self.open_dependency(job).is_some();
        if !job.accepted || is_over || is_blocked || present >= job.tasks {
            return Outlook::NotWaiting;
        }
        // All tasks of a gang or a service start together.
        let lacking = match job.kind {
            JobKind::Batch => 1,
            JobKind::Gang | JobKind::Service => job.tasks - present,
        };
        let capacity: u32 = usage.free.iter().map(|free| free.tasks_of(job)).sum();
        if capacity < lacking {
            return Outlook::NoCapacity;
        }
        let used = usage.cpus_by_team.get(job.team).copied().unwrap_or(0.0);
        let limit = self.cpu_limit(job.team);
        if used + f64::from(lacking) * job.cpus > limit + ROUNDING {
            return Outlook::OverLimit;
        }
        Outlook::CouldRun(format!(
            "{present} of {} tasks present, capacity for {capacity}, team uses {used} of {limit}, {}",
            job.tasks, job.submission
        ))
    }
}

/// Since when a job could run more tasks, and how many starts it had then.
#[derive(Clone, Copy)]
pub(crate) struct NeedlessWait {
    since: Micros,
    starts: u32,
}

impl FreeCapacity {
    /// How many tasks of a job it has space for.
    fn tasks_of(&self, job: &Job) -> u32 {
        if self.spot && !job.spot_allowed {
            return 0;
        }
        let by_cpus = self.cpus / job.cpus + ROUNDING;
        by_cpus.min(self.memory_gb).max(0.0) as u32
    }
}
