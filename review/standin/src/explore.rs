//! Random jobs and troubles, to look for broken rules: `explore-SITE-SEED`.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Outcome;
use crate::cluster::{submit, Cluster};
use crate::http::Client;
use crate::msgpack::V;
use crate::record::Record;
use crate::sites;
use crate::world::{lock, Health, Job};

#[derive(Default)]
struct Told {
    accepted: BTreeMap<String, Instant>,
    /// Final answers: the stage and when it was told.
    ended: BTreeMap<String, (String, Instant)>,
    last_answer: BTreeMap<String, Instant>,
}

struct Rng(u64);

impl Rng {
    fn f(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    fn n(&mut self, count: usize) -> usize {
        (self.f() * count as f64) as usize
    }
}

fn random_job(rng: &mut Rng, id: u32, lpg: bool, earlier: &[String]) -> Job {
    let teams: &[&str] = if lpg {
        &[
            "filling-crew",
            "lorry-desk",
            "shop-accounts",
            "empties-yard",
            "safety-check",
        ]
    } else {
        &["availability", "messaging", "payments"]
    };
    let crew = teams[rng.n(teams.len())];
    let count = 1 + rng.n(30);
    let run: Vec<f64> = (0..count).map(|_| 1.0 + 25.0 * rng.f()).collect();
    let mut job = sites::reminder(id, crew, run);
    job.size_gb = 0.3;
    job.fallow = rng.f() < 0.5;
    if lpg {
        job.cores = 4.0;
        job.memory_gb = 4.8;
        job.run_s.truncate(12);
    }
    match rng.n(6) {
        0 if lpg => {
            job.furrow = "standing";
            job.rank = "critical";
            job.spread = rng.f() < 0.7;
            job.run_s.truncate(3);
            if job.run_s.len() < 2 {
                job.run_s.push(1.0);
            }
        }
        0 | 1 => {
            job.furrow = "gang";
            job.same_place = rng.f() < 0.5;
            job.stook_s = 10.0;
            job.bind_s = 1.0;
            job.run_s.truncate(1 + rng.n(4));
            let first = job.run_s[0];
            job.run_s.iter_mut().for_each(|r| *r = first);
            job.cores = if lpg {
                16.0
            } else {
                [1.0, 3.0, 20.0, 60.0][rng.n(4)]
            };
            job.memory_gb = if job.cores > 50.0 { 410.0 } else { 8.0 };
            if job.cores > 50.0 {
                job.run_s.truncate(1);
            }
        }
        2 => job.same_place = true,
        3 if !earlier.is_empty() => job.trails.push(earlier[rng.n(earlier.len())].clone()),
        4 => job.rank = ["critical", "urgent", "low"][rng.n(3)],
        _ => {}
    }
    job
}

pub fn run(case: &str, record: Arc<Record>, folder: PathBuf, program: PathBuf) -> Outcome {
    let lpg = case.contains("lpg");
    let seed: u64 = case
        .rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..10 {
        rng.f();
    }
    let site = if lpg { sites::lpg() } else { sites::thapa() };
    let mut c = Cluster::new(site, record.clone(), folder, program);
    {
        let mut w = lock(&c.world);
        w.seed = seed;
        let start: Vec<(&str, &str, usize)> = if lpg {
            vec![
                ("gate-box", "old-harbour", 4),
                ("gate-box", "may-pen", 5),
                ("plant-box", "old-harbour", 2),
                ("harbour-rack", "old-harbour", 1),
                ("harbour-rack", "may-pen", 1),
                ("harbour-rack", "portmore", 1),
            ]
        } else {
            vec![
                ("momo", "kathmandu", 5),
                ("thali", "kathmandu", 2),
                ("dalbhat", "kathmandu", 1),
            ]
        };
        for (label, field, count) in start {
            for _ in 0..count {
                w.add_machine(label, field, false, 0.0);
            }
        }
        let zone = if lpg { "old-harbour" } else { "kathmandu" };
        let small = if lpg { "gate-box" } else { "momo" };
        w.capacity.insert((small.into(), zone.into(), false), 4);
        w.capacity.insert((small.into(), zone.into(), true), 4);
    }
    c.start_all();
    if !c.wait(20.0, |c| (0..3).all(|i| c.is_ready(i))) {
        return Outcome::NotRun("not ready".into());
    }
    let told: Arc<Mutex<Told>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    poll_all(&c, &told, &over);
    let troubles_end = Instant::now() + Duration::from_secs(75);
    let mut ids: Vec<String> = Vec::new();
    let mut next_job = Instant::now();
    let mut next_trouble = Instant::now() + Duration::from_secs(6);
    let mut undo: Vec<(Instant, u32, usize, String)> = Vec::new();
    let mut number = 0;
    while Instant::now() < troubles_end || !undo.is_empty() {
        thread::sleep(Duration::from_millis(30));
        let now = Instant::now();
        if now >= next_job && now < troubles_end {
            next_job = now + Duration::from_secs_f64(0.3 + 2.5 * rng.f());
            number += 1;
            let job = random_job(&mut rng, number, lpg, &ids);
            lock(&c.world).jobs.insert(job.id.clone(), job.clone());
            let (record, fronts, accepted) = (record.clone(), c.fronts.clone(), told.clone());
            let first = rng.n(3);
            ids.push(job.id.clone());
            thread::spawn(move || {
                if submit(&record, &fronts, &job, first) {
                    let mut told = accepted.lock().unwrap();
                    told.accepted.insert(job.id.clone(), Instant::now());
                }
            });
            if rng.f() < 0.3 && ids.len() > 2 {
                let id = ids[rng.n(ids.len())].clone();
                cancel(&c, &told, id, rng.n(3));
            }
        }
        if now >= next_trouble && now < troubles_end {
            next_trouble = now + Duration::from_secs_f64(1.0 + 12.0 * rng.f());
            let node = rng.n(3);
            let machine = {
                let w = lock(&c.world);
                let names: Vec<&String> = w.machines.keys().collect();
                names[rng.n(names.len())].clone()
            };
            let for_s = 1.0 + 18.0 * rng.f();
            let kind = rng.n(13) as u32;
            let until = now + Duration::from_secs_f64(for_s);
            record.line(&format!(
                "TROUBLE {kind} node {node} machine {machine} for {for_s:.1} s"
            ));
            match kind {
                0 | 1 => {
                    c.kill(node);
                    let back = if rng.f() < 0.3 { 0.2 } else { 5.0 };
                    undo.push((now + Duration::from_secs_f64(back), 0, node, machine));
                }
                2 => {
                    (0..3).for_each(|i| c.kill(i));
                    (0..3).for_each(|i| {
                        undo.push((now + Duration::from_secs(5), 0, i, machine.clone()))
                    });
                }
                3 => {
                    c.stop(node);
                    undo.push((now + Duration::from_secs_f64(for_s / 2.0), 3, node, machine));
                }
                4 => {
                    c.state.set_refused(vec![node]);
                    undo.push((until, 4, node, machine));
                }
                5 => {
                    c.state.set_outage(true);
                    undo.push((until, 5, node, machine));
                }
                6 => {
                    c.state.set_lost(node, 0.4, false);
                    undo.push((until, 6, node, machine));
                }
                7 => {
                    c.state.set_lost(node, 0.3, true);
                    undo.push((until, 6, node, machine));
                }
                8 => {
                    lock(&c.world).set_health(&machine, Health::Hangs);
                    undo.push((until, 8, node, machine));
                }
                9 => {
                    if let Some(m) = lock(&c.world).machines.get_mut(&machine) {
                        m.deaf = true;
                    }
                    undo.push((until, 9, node, machine));
                }
                10 => {
                    if let Some(m) = lock(&c.world).machines.get_mut(&machine) {
                        m.mute = true;
                    }
                    undo.push((until, 9, node, machine));
                }
                11 => lock(&c.world).kill_machine(&machine),
                _ => {
                    lock(&c.world).cloud_outage = true;
                    undo.push((until, 12, node, machine));
                }
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = undo.into_iter().partition(|u| u.0 <= now);
        undo = rest;
        for (_, kind, node, machine) in due {
            match kind {
                0 => {
                    c.kill(node);
                    c.start(node);
                }
                3 => c.cont(node),
                4 => c.state.set_refused(Vec::new()),
                5 => c.state.set_outage(false),
                6 => c.state.set_lost(node, 0.0, false),
                8 => lock(&c.world).set_health(&machine, Health::Well),
                9 => {
                    if let Some(m) = lock(&c.world).machines.get_mut(&machine) {
                        m.deaf = false;
                        m.mute = false;
                    }
                }
                _ => lock(&c.world).cloud_outage = false,
            }
        }
        if let Some(text) = c.ended().first() {
            return Outcome::Broken(text.clone());
        }
    }
    record.line("TROUBLES OVER");
    thread::sleep(Duration::from_secs(115));
    over.store(true, Ordering::Relaxed);
    let told = told.lock().unwrap();
    let mut w = lock(&c.world);
    let mut stuck = Vec::new();
    for id in &ids {
        if !told.accepted.contains_key(id) || told.ended.contains_key(id) {
            continue;
        }
        let Some(job) = w.jobs.get(id).cloned() else {
            continue;
        };
        let on = w.on_machines(id).len();
        let done = w.done_count(id);
        let waits = job.trails.iter().any(|t| !told.ended.contains_key(t));
        if waits || on + done >= job.run_s.len() {
            continue;
        }
        let room: Vec<String> = w
            .machines
            .keys()
            .filter_map(|m| Some((m, w.free(m)?)))
            .filter(|(_, (cores, memory))| *cores >= job.cores && *memory >= job.memory_gb)
            .map(|(m, f)| format!("{m} {:?}", f))
            .collect();
        stuck.push(format!(
            "{id} {} {}x{} cores same {} spread {} on {on} done {done} room {room:?} record {}",
            job.furrow,
            job.run_s.len(),
            job.cores,
            job.same_place,
            job.spread,
            c.state
                .value(&format!("st/job/{id}"))
                .map(|v| v.json())
                .unwrap_or_default()
        ));
    }
    for text in &stuck {
        record.line(&format!("WAITS {text}"));
    }
    let broken = std::mem::take(&mut w.broken);
    let unanswered: Vec<&String> = told
        .accepted
        .keys()
        .filter(|id| {
            told.last_answer
                .get(*id)
                .is_none_or(|at| at.elapsed().as_secs() > 75)
        })
        .collect();
    let text = format!(
        "{} jobs, {} ended, broken {broken:?}, unanswered {unanswered:?}, {} wait: {stuck:?}, limits {:?}",
        ids.len(),
        told.ended.len(),
        stuck.len(),
        c.state.counts()
    );
    if broken.is_empty() && stuck.is_empty() && unanswered.is_empty() {
        Outcome::Held(text)
    } else {
        Outcome::Broken(text)
    }
}

fn cancel(c: &Cluster, told: &Arc<Mutex<Told>>, id: String, node: usize) {
    let (fronts, told, world, record) = (
        c.fronts.clone(),
        told.clone(),
        c.world.clone(),
        c.record.clone(),
    );
    thread::spawn(move || {
        for attempt in 0..20 {
            let target = format!("/work/{id}/abort");
            let addr = fronts[(node + attempt) % fronts.len()];
            let answer = Client::default().call(addr, "POST", &target, &[], Duration::from_secs(5));
            if let Some(answer) = answer.filter(|a| a.status == 200) {
                let body = V::decode(&answer.body).unwrap_or(V::Nil);
                let stage = body.get("stage").str().unwrap_or_default().to_owned();
                record.line(&format!("user cancelled {id}: {stage}"));
                if stage == "cancelled" {
                    let mut w = lock(&world);
                    w.told_cancelled
                        .entry(id.clone())
                        .or_insert_with(Instant::now);
                }
                let mut told = told.lock().unwrap();
                let entry = told.ended.entry(id.clone());
                entry.or_insert((stage, Instant::now()));
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
}

/// Asks for all jobs at all nodes, and checks the answers.
fn poll_all(c: &Cluster, told: &Arc<Mutex<Told>>, over: &Arc<AtomicBool>) {
    for (node, addr) in c.fronts.iter().copied().enumerate() {
        let (told, over, world) = (told.clone(), over.clone(), c.world.clone());
        thread::spawn(move || {
            let mut client = Client::default();
            while !over.load(Ordering::Relaxed) {
                let ids: Vec<String> = told.lock().unwrap().accepted.keys().cloned().collect();
                for id in ids {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(15));
                    let sent = Instant::now();
                    let target = format!("/work/{id}");
                    let answer = client.call(addr, "GET", &target, &[], Duration::from_secs(2));
                    let Some(answer) = answer else {
                        continue;
                    };
                    let body = V::decode(&answer.body).unwrap_or(V::Nil);
                    let stage = body.get("stage").str().unwrap_or_default().to_owned();
                    let mut told = told.lock().unwrap();
                    let mut w = lock(&world);
                    if answer.status == 404 {
                        w.break_rule("forgotten", format!("{id}: 404 at node {node}"));
                    }
                    if answer.status != 200 {
                        continue;
                    }
                    told.last_answer.insert(id.clone(), Instant::now());
                    if let Some((earlier, at)) = told.ended.get(&id) {
                        if *at < sent && *earlier != stage {
                            w.break_rule(
                                "went_back",
                                format!("{id}: {earlier} then {stage} at node {node}"),
                            );
                        }
                    } else if stage == "done" || stage == "cancelled" {
                        told.ended
                            .insert(id.clone(), (stage.clone(), Instant::now()));
                    }
                    if stage == "done" {
                        let count = w.jobs.get(&id).map_or(0, |j| j.run_s.len());
                        if w.done_count(&id) < count {
                            w.break_rule("not_done", format!("{id} at node {node}"));
                        }
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
}
