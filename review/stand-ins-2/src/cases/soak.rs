//! Random jobs and troubles in three zones, while the rules are checked. No case: it looks for them.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cases::{begin, TIMING};
use crate::cluster::Layout;
use crate::proxy::Link;
use crate::record::Record;
use crate::user;
use crate::world::{Machine, RunTime, State, MOMO, THALI};
use crate::Outcome;

const ZONES: &[&str] = &["kingston", "mandeville", "spanish-town"];
const LAYOUT: Layout = Layout {
    areas: ["kingston", "mandeville", "spanish-town"],
    zones: ZONES,
    rates: (250.0, 50.0),
};

/// A small generator of pseudo-random numbers.
struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % below
    }
    fn chance(&mut self, percent: u64) -> bool {
        self.next(100) < percent
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

pub fn run(root: &Path, trouble: bool, record: Record) -> Result<Outcome, Outcome> {
    let seed = number("SEED", 1);
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let names: Vec<String> = (0..12).map(|n| format!("m-{:06}", n + 1)).collect();
    let machines: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            (
                name.as_str(),
                if n % 4 == 3 { MOMO } else { THALI },
                ZONES[n / 4],
                n % 4 == 1,
            )
        })
        .collect();
    let mut cluster = begin(
        root,
        &format!("soak-{seed}"),
        &LAYOUT,
        &machines,
        record.clone(),
    )?;
    let world = cluster.world.clone();
    let fronts = cluster.fronts();
    let mut jobs: Vec<String> = Vec::new();
    let mut told_cancelled: BTreeMap<String, Instant> = BTreeMap::new();
    let mut final_stage: BTreeMap<String, String> = BTreeMap::new();
    let mut restart: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut resume: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut heal: BTreeMap<usize, Instant> = BTreeMap::new();
    let begin_at = Instant::now();
    let work_for = number("WORK", 110);
    let settle_for = number("SETTLE", 140);
    let mut next_job = Instant::now() + Duration::from_secs(5);
    let mut next_trouble = Instant::now() + Duration::from_secs(12);
    let mut next_ask = Instant::now();
    let mut broken: Vec<String> = Vec::new();
    let mut waiting: BTreeMap<String, Instant> = BTreeMap::new();
    let mut reported_waiting: Vec<String> = Vec::new();
    while begin_at.elapsed().as_secs() < work_for + settle_for {
        let now = Instant::now();
        let working = begin_at.elapsed().as_secs() < work_for;
        if working && now >= next_job {
            next_job = now + Duration::from_millis(300 + random.next(1500));
            let id = format!("req-{:06}", jobs.len() + 1);
            let furrow = ["batch", "batch", "gang", "standing"][random.next(4) as usize];
            let sheaves = match furrow {
                "batch" => 1 + random.next(40),
                "gang" => 1 + random.next(4),
                _ => 1 + random.next(3),
            };
            let cores = [0.5, 1.0, 2.0, 4.0, 12.0][random.next(5) as usize];
            let crew = ["search", "payments"][random.next(2) as usize];
            let mut job = user::job(&id, "mix", crew, furrow, sheaves as u32, cores, cores * 2.0);
            job["rank"] = json!(["low", "standard", "urgent", "critical"][random.next(4) as usize]);
            job["fallow"] = json!(random.chance(60));
            job["growthS"] = json!(if furrow == "standing" {
                0.0
            } else {
                2.0 + random.next(20) as f64
            });
            match random.next(5) {
                0 => job["samePlace"] = json!(true),
                1 if sheaves > 1 => job["spread"] = json!(true),
                2 => job["field"] = json!(ZONES[random.next(3) as usize]),
                _ => {}
            }
            if random.chance(30) {
                job["stookS"] = json!(3.0);
                job["bindS"] = json!(1.0);
            }
            let salt = random.next(1000);
            let run_time: RunTime = Arc::new(move |task| {
                let mixed = (u64::from(task) + salt).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 44;
                Duration::from_millis(1500 + mixed % 12000)
            });
            let run_time = if furrow == "standing" {
                Arc::new(|_| Duration::from_secs(3600)) as RunTime
            } else {
                run_time
            };
            let at = random.next(3) as usize;
            let order = [fronts[at], fronts[(at + 1) % 3], fronts[(at + 2) % 3]];
            match user::submit(&world, &order, &job, run_time) {
                Ok(()) => jobs.push(id),
                Err(status) => {
                    record.line(format!("{id} refused {status}: {job}"));
                    jobs.push(id.clone());
                    final_stage.insert(id, "refused".into());
                }
            }
        }
        if random.chance(2) && !jobs.is_empty() {
            let id = jobs[jobs.len() - 1 - random.next(jobs.len().min(8) as u64) as usize].clone();
            let state = world.lock();
            let standing = state
                .jobs
                .get(&id)
                .is_some_and(|j| j.submitted["furrow"] == "standing");
            drop(state);
            if (standing || random.chance(30))
                && !told_cancelled.contains_key(&id)
                && !final_stage.contains_key(&id)
            {
                if let Some((200, body)) =
                    user::cancel(&record, fronts[random.next(3) as usize], &id)
                {
                    if body["stage"] == "cancelled" {
                        told_cancelled.insert(id.clone(), Instant::now());
                    }
                    let stage = body["stage"].as_str().unwrap_or("").to_owned();
                    final_stage.insert(id, stage);
                }
            }
        }
        if !working && random.chance(3) {
            let open = jobs
                .iter()
                .find(|id| {
                    let state = world.lock();
                    state
                        .jobs
                        .get(*id)
                        .is_some_and(|j| j.submitted["furrow"] == "standing")
                        && !final_stage.contains_key(*id)
                })
                .cloned();
            if let Some(id) = open.filter(|_| begin_at.elapsed().as_secs() > work_for + 100) {
                if let Some((200, body)) = user::cancel(&record, fronts[0], &id) {
                    if body["stage"] == "cancelled" {
                        told_cancelled.insert(id.clone(), Instant::now());
                        final_stage.insert(id, "cancelled".into());
                    }
                }
            }
        }
        if trouble && working && now >= next_trouble && begin_at.elapsed().as_secs() + 12 < work_for
        {
            next_trouble = now + Duration::from_millis(2000 + random.next(9000));
            let node = random.next(3) as usize;
            let long = Duration::from_millis(500 + random.next(14000));
            let idle = !restart.contains_key(&node) && !resume.contains_key(&node);
            match random.next(6) {
                0 if idle => {
                    cluster.kill_controller(node);
                    restart.insert(node, now + Duration::from_millis(200 + random.next(6000)));
                }
                1 if idle => {
                    cluster.signal_controller(node, "-STOP");
                    resume.insert(node, now + long);
                }
                2 => {
                    cluster.link_state(node, Link::Held);
                    if random.chance(50) {
                        cluster.link_peers(node, Link::Held);
                    }
                    heal.insert(node, now + long);
                    record.line(format!("tiller-{node} cut"));
                }
                3 => {
                    for name in &names {
                        if random.chance(25) {
                            world.lock().muted.insert(
                                name.clone(),
                                now + Duration::from_secs(2 + random.next(30)),
                            );
                        }
                    }
                    record.line("machines muted");
                }
                4 if random.chance(40) => {
                    let name = &names[random.next(12) as usize];
                    world.kill_machine(name);
                }
                _ => {}
            }
        }
        for (node, _) in restart.clone().iter().filter(|(_, at)| now >= **at) {
            restart.remove(node);
            let _ = cluster.start_controller(*node);
        }
        for (node, _) in resume.clone().iter().filter(|(_, at)| now >= **at) {
            resume.remove(node);
            cluster.signal_controller(*node, "-CONT");
        }
        for (node, _) in heal.clone().iter().filter(|(_, at)| now >= **at) {
            heal.remove(node);
            cluster.link_state(*node, Link::Open);
            cluster.link_peers(*node, Link::Open);
            record.line(format!("tiller-{node} healed"));
        }
        if now >= next_ask && !jobs.is_empty() {
            next_ask = now + Duration::from_millis(150);
            let id = jobs[random.next(jobs.len() as u64) as usize].clone();
            if final_stage.get(&id).is_none_or(|s| s != "refused") {
                let at = fronts[random.next(3) as usize];
                match user::ask(&record, at, &id) {
                    Some((404, _)) => broken.push(format!("forgotten {id}")),
                    Some((200, body)) => {
                        let stage = body["stage"].as_str().unwrap_or("").to_owned();
                        if let Some(before) = final_stage.get(&id) {
                            if *before != stage {
                                broken.push(format!("went_back {id} from {before} to {stage}"));
                            }
                        }
                        if stage == "done" {
                            let state = world.lock();
                            let total = state.jobs[&id].tasks as usize;
                            let have = state.done.iter().filter(|(j, _)| *j == id).count();
                            if have < total {
                                broken.push(format!("not_done {id}: {have} of {total}"));
                            }
                        }
                        if stage == "done" || stage == "cancelled" {
                            if stage == "cancelled" && !told_cancelled.contains_key(&id) {
                                told_cancelled.insert(id.clone(), Instant::now());
                            }
                            final_stage.insert(id, stage);
                        }
                    }
                    _ => {}
                }
            }
        }
        let state = world.lock();
        for (id, at) in &told_cancelled {
            if at.elapsed().as_secs_f64() > TIMING.cancel + 0.2 {
                let on = state
                    .machines
                    .values()
                    .flat_map(|m| &m.tasks)
                    .any(|((j, _), t)| j == id && t.stage.is_on());
                if on {
                    broken.push(format!("ran_cancelled {id}"));
                }
            }
        }
        if !working {
            for id in &jobs {
                let open = !final_stage.contains_key(id);
                if open && waits(&state, id) && begin_at.elapsed().as_secs() > work_for + 5 {
                    let since = *waiting.entry(id.clone()).or_insert(now);
                    if since.elapsed().as_secs() >= 90 && !reported_waiting.contains(id) {
                        reported_waiting.push(id.clone());
                        record.say(format!("WAITING {id} {}", state.jobs[id].submitted));
                    }
                } else {
                    waiting.remove(id);
                }
            }
        }
        drop(state);
        for text in broken.drain(..) {
            record.say(format!("BROKEN {text}"));
            world.lock().broken.push(text);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.keep_logs();
    let state = world.lock();
    for (name, machine) in &state.machines {
        let tasks: Vec<String> = machine
            .tasks
            .iter()
            .map(|((j, n), t)| format!("{j}/{n} {}", t.stage.name()))
            .collect();
        record.line(format!(
            "END {name} {:?} {} {} spot {} {tasks:?}",
            machine.power, machine.plot.label, machine.zone, machine.spot
        ));
    }
    for id in jobs.iter().filter(|id| !final_stage.contains_key(*id)) {
        record.line(format!(
            "END {id} done {} {}",
            state.done.iter().filter(|(j, _)| j == id).count(),
            state.jobs[id].submitted
        ));
    }
    let late: Vec<String> = state
        .start_commands
        .iter()
        .filter(|c| told_cancelled.get(&c.2 .0).is_some_and(|at| c.1 > *at))
        .map(|c| {
            format!(
                "{}/{} {:.2}",
                c.2 .0,
                c.2 .1,
                (c.1 - told_cancelled[&c.2 .0]).as_secs_f64()
            )
        })
        .collect();
    let open: Vec<&String> = jobs
        .iter()
        .filter(|id| !final_stage.contains_key(*id))
        .collect();
    record.say(format!(
        "late starts {late:?}; open at the end {open:?}; waiting {reported_waiting:?}"
    ));
    let all = state.broken.clone();
    let count = jobs.len();
    drop(state);
    if all.is_empty() && reported_waiting.is_empty() {
        Ok(Outcome::Held(format!("{count} jobs")))
    } else {
        Ok(Outcome::Broken(format!("{all:?}")))
    }
}

/// Whether no task of the job is on a machine although one has room for a task.
fn waits(state: &State, id: &str) -> bool {
    let Some(job) = state.jobs.get(id) else {
        return false;
    };
    let present = state
        .machines
        .values()
        .flat_map(|m| &m.tasks)
        .any(|((j, _), t)| j == id && !t.stage.is_over());
    let done = state.done.iter().filter(|(j, _)| j == id).count() as u32;
    if present || done >= job.tasks || job.gang {
        return false;
    }
    let spec = &job.submitted;
    let fits = |m: &Machine| {
        m.has_room(&state.jobs, job.cores, job.memory)
            && (!m.spot || spec["fallow"] == true)
            && spec["field"].as_str().is_none_or(|zone| zone == m.zone)
    };
    state.machines.values().any(fits)
}
