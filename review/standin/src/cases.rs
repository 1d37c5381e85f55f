//! The cases of the review.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::msgpack::{map, s, V};
use crate::record::Record;
use crate::sites;
use crate::world::{lock, Job};

pub enum Outcome {
    Held(String),
    Broken(String),
    NotRun(String),
}

pub fn run(
    case: &str,
    trouble: bool,
    record: Arc<Record>,
    folder: PathBuf,
    program: PathBuf,
) -> Outcome {
    match case {
        "1" => reload(trouble, record, folder, program),
        "2" => spread_service(trouble, record, folder, program),
        "3" => scattered(trouble, record, folder, program),
        _ if case.starts_with("explore") => crate::explore::run(case, record, folder, program),
        _ => Outcome::NotRun(format!("no case is named {case}")),
    }
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Case 1: all controllers end while the state service keeps the records of many jobs that are over.
fn reload(trouble: bool, record: Arc<Record>, folder: PathBuf, program: PathBuf) -> Outcome {
    /// Jobs that are over. Their final states must be kept.
    const JOBS_OVER: u32 = 44_000;
    /// Time without an answer about a job after which the job counts as forgotten.
    const FORGOTTEN_S: f64 = 75.0;
    /// Time after which a process that has ended is started again.
    const BACK_S: f64 = 8.0;
    let mut c = Cluster::new(sites::brathwaite(), record.clone(), folder, program);
    for field in ["kingston", "mandeville", "spanish-town"] {
        lock(&c.world).add_machine("yard-box", field, false, 0.0);
    }
    let over = (0..JOBS_OVER).map(|n| {
        let value = map(vec![
            ("st", s("d")),
            ("t", V::Int(1_796_000_000_000_000 + u64::from(n))),
        ]);
        (format!("st/job/req-{:06}", 100_000 + n), value)
    });
    c.state.put(over);
    // The controllers are started one after the other.
    for i in 0..3 {
        c.start(i);
        if !c.wait(20.0, |c| c.is_ready(i)) {
            return Outcome::NotRun(format!("tiller-{i} is not ready"));
        }
        sleep(1.5);
    }
    for node in 0..3 {
        let answer = c.poll("req-100017", node);
        if (answer.0, answer.1.as_str()) != (200, "done") {
            return Outcome::NotRun("a job that is over is not known".into());
        }
    }
    let short = sites::tank_forecast(1, vec![1.0; 2]);
    let long = sites::tank_forecast(2, vec![300.0; 2]);
    for job in [&short, &long] {
        if !c.submit(job, 0) {
            return Outcome::NotRun(format!("{} is not accepted", job.id));
        }
    }
    let settled = c.wait(25.0, |c| {
        c.poll(&short.id, 1).1 == "done" && lock(&c.world).on_machines(&long.id).len() == 2
    });
    if !settled {
        return Outcome::NotRun("the jobs do not run".into());
    }
    // The records of the other jobs have the form in which the controllers write them.
    let written = c
        .state
        .value(&format!("st/job/{}", short.id))
        .unwrap_or(V::Nil);
    record.line(&format!("record of {}: {}", short.id, written.json()));
    let V::M(entries) = &written else {
        return Outcome::NotRun("no record is written".into());
    };
    let names: Vec<&str> = entries.iter().map(|(k, _)| k.as_str()).collect();
    if names != ["st", "t"] || written.get("st").str() != Some("d") {
        return Outcome::NotRun(format!("records have another form: {}", written.json()));
    }
    let before = c.state.counts().1;
    if trouble {
        (0..3).for_each(|i| c.kill(i));
        sleep(BACK_S);
        c.start_all();
    }
    let from = Instant::now();
    let mut last_answer = from;
    loop {
        for node in 0..3 {
            let asked = Instant::now();
            if c.poll(&long.id, node).0 == 200 {
                last_answer = asked;
            }
            sleep(0.3);
        }
        let ready: Vec<usize> = (0..3).filter(|i| c.is_ready(*i)).collect();
        record.line(&format!(
            "ready: {ready:?}; the state service has answered 429 to {} requests since the trouble",
            c.state.counts().1 - before
        ));
        let silent = last_answer.elapsed().as_secs_f64();
        if silent > FORGOTTEN_S {
            return Outcome::Broken(format!(
                "no question about {} is answered for {silent:.0} s after the controllers are back; ready: {ready:?}; 429 to {} requests",
                long.id,
                c.state.counts().1 - before
            ));
        }
        let since = from.elapsed().as_secs_f64();
        if since > 20.0 && silent < 5.0 {
            return Outcome::Held(format!(
                "questions about {} are answered; ready: {ready:?}",
                long.id
            ));
        }
    }
}

/// Case 2: a service that is spread over zones loses the machine of one replica; then another
/// team submits an array.
fn spread_service(
    trouble: bool,
    record: Arc<Record>,
    folder: PathBuf,
    program: PathBuf,
) -> Outcome {
    /// Longest time for which a job may wait while a machine that fits has room.
    const WAIT_S: f64 = 90.0;
    /// Time at which the run ends in any case.
    const LAST_S: f64 = 118.5;
    /// Time from the release of the lost machine to the submission of the array.
    const LATER_S: f64 = 5.5;
    /// The same without trouble, from the time of the trouble.
    const NO_TROUBLE_LATER_S: f64 = 20.0;
    const TEAM: &str = "filling-crew";
    const LIMIT: f64 = 344.0;
    let mut site = sites::lpg();
    // The workers' times of the smallest deployment, so that the run ends in time.
    site.world.report_s = 3.0;
    site.world.lease_s = 16.0;
    site.world.cancel_s = 41.0;
    let mut c = Cluster::new(site, record.clone(), folder, program);
    // The machines that are up at the start, and no more to rent.
    for _ in 0..25 {
        lock(&c.world).add_machine("gate-box", "may-pen", true, 0.0);
    }
    let plant_box = lock(&c.world).add_machine("plant-box", "old-harbour", false, 0.0);
    lock(&c.world).add_machine("harbour-rack", "may-pen", false, 0.0);
    c.start_all();
    if !c.wait(15.0, |c| (0..3).all(|i| c.is_ready(i))) {
        return Outcome::NotRun("the controllers are not ready".into());
    }
    let is_taken_on = |c: &Cluster| lock(&c.world).machines.values().all(|m| m.brand > 0);
    if !c.wait(15.0, is_taken_on) {
        return Outcome::NotRun("the machines are not taken on".into());
    }
    let service = sites::order_desk(1, "lorry-desk", 2);
    // Another team's work, which goes on throughout on the rack and leaves most of it free.
    let mut other = sites::empties_tally(2, "safety-check", "may-pen", vec![116.0; 2]);
    other.memory_gb = 40.0;
    for job in [&service, &other] {
        if !c.submit(job, 0) {
            return Outcome::NotRun(format!("{} is not accepted", job.id));
        }
    }
    if !c.wait(15.0, |c| lock(&c.world).on_machines(&service.id).len() == 2) {
        return Outcome::NotRun("the service does not run".into());
    }
    let replicas = lock(&c.world).on_machines(&service.id);
    record.line(&format!("{} runs on {replicas:?}", service.id));
    let machine = replicas
        .values()
        .find(|m| lock(&c.world).field(m) == "may-pen")
        .cloned();
    let Some(machine) = machine else {
        return Outcome::NotRun(format!("the replicas are on {replicas:?}"));
    };
    if trouble {
        lock(&c.world).take_machine(&machine);
    }
    // The array comes when the controllers know that the machine is gone.
    let later = if trouble {
        if !c.wait(40.0, |c| lock(&c.world).releases.contains_key(&machine)) {
            return Outcome::NotRun("the release of the machine is not asked for".into());
        }
        LATER_S
    } else {
        NO_TROUBLE_LATER_S
    };
    sleep(later);
    // Starts are sent in the answers to reports: the next one is about 3 s away.
    if !c.wait(5.0, |c| lock(&c.world).has_just_reported(&plant_box)) {
        return Outcome::NotRun(format!("{plant_box} sends no reports"));
    }
    let array = sites::empties_tally(3, TEAM, "old-harbour", vec![10.0; 3]);
    if !c.submit(&array, 0) {
        return Outcome::NotRun(format!("{} is not accepted", array.id));
    }
    // The array waits from here, unless a task of it is on a machine or there is no room.
    let mut waits_from = Instant::now();
    let mut node = 0;
    loop {
        sleep(1.0);
        node = (node + 1) % 3;
        let now = Instant::now();
        c.poll(&service.id, node);
        let stage = c.poll(&array.id, node).1;
        let w = lock(&c.world);
        let replicas = w.on_machines(&service.id);
        let (on, done) = (w.on_machines(&array.id).len(), w.done_count(&array.id));
        let usage = w.team_usage(TEAM).max(0.0);
        let fields: BTreeSet<String> = replicas.values().map(|m| w.field(m)).collect();
        let has_room = |m: &String, job: &Job| {
            w.free(m)
                .is_some_and(|free| free.0 >= job.cores && free.1 >= job.memory_gb)
        };
        let names = || w.machines.keys();
        let for_array: Vec<&String> = names()
            .filter(|m| w.field(m) == "old-harbour" && has_room(m, &array))
            .collect();
        let for_service = names()
            .filter(|m| !fields.contains(&w.field(m)) && has_room(m, &service))
            .count();
        record.line(&format!(
            "{}: {done} of 3 tasks done, {on} on machines; team uses {usage:.0} of {LIMIT:.0}; room on {for_array:?}; \
             {}: {} of 2 replicas, {for_service} machines in other zones with room for one",
            array.id, service.id, replicas.len()
        ));
        if stage == "done" {
            return Outcome::Held(format!(
                "{} is done; {} has {} of 2 replicas",
                array.id,
                service.id,
                replicas.len()
            ));
        }
        if on > 0 || for_array.is_empty() || usage + array.cores > LIMIT {
            waits_from = now;
        }
        let waited = now.saturating_duration_since(waits_from).as_secs_f64();
        if waited > WAIT_S {
            return Outcome::Broken(format!(
                "{}: {done} of 3 tasks done, none on a machine for {waited:.0} s while there is room on {for_array:?}; \
                 {} has {} of 2 replicas while {for_service} machines in other zones have room for one",
                array.id, service.id, replicas.len()
            ));
        }
        if record.seconds() > LAST_S {
            return Outcome::NotRun(format!(
                "undecided: {on} on machines, waited for {waited:.0} s"
            ));
        }
    }
}

/// Room that a task needs on a machine: processors and memory.
fn roomy_machines(c: &Cluster, cores: f64, memory_gb: f64) -> Vec<String> {
    let w = lock(&c.world);
    w.machines
        .keys()
        .filter_map(|m| Some((m, w.free(m)?)))
        .filter(|(_, free)| free.0 >= cores && free.1 >= memory_gb)
        .map(|(m, free)| format!("{m} ({}): {} cores, {:.0} GB", w.label(m), free.0, free.1))
        .collect()
}

/// Case 3: an array loses its machine when about half of its tasks, here and there, are done.
fn scattered(trouble: bool, record: Arc<Record>, folder: PathBuf, program: PathBuf) -> Outcome {
    /// Longest time for which a job may wait while a machine that fits has room.
    const WAIT_S: f64 = 90.0;
    /// Time at which the run ends in any case.
    const LAST_S: f64 = 117.0;
    const CREW: &str = "messaging";
    let mut c = Cluster::new(sites::thapa(), record.clone(), folder, program);
    // The machines that are up at the start, and no more to rent.
    let mut machines = Vec::new();
    for (label, count) in [("momo", 5), ("thali", 1), ("dalbhat", 1)] {
        for _ in 0..count {
            machines.push(lock(&c.world).add_machine(label, "kathmandu", false, 0.0));
        }
    }
    c.start_all();
    if !c.wait(15.0, |c| (0..3).all(|i| c.is_ready(i))) {
        return Outcome::NotRun("the controllers are not ready".into());
    }
    if !c.wait(15.0, |c| {
        lock(&c.world).machines.values().all(|m| m.brand > 0)
    }) {
        return Outcome::NotRun("the machines are not taken on".into());
    }
    let run_s: Vec<f64> = {
        let mut w = lock(&c.world);
        (0..64).map(|_| 1.0 + 4.0 * w.random()).collect()
    };
    let tasks = run_s.len();
    let job = sites::reminder(1, CREW, run_s);
    // Other teams' work, which goes on throughout.
    let payments = sites::reminder(2, "payments", vec![115.0; 4]);
    let mut search = sites::reminder(3, "search", vec![115.0; 4]);
    // It keeps the thali in use, and leaves most of it free.
    search.plots = Some(vec!["thali".into()]);
    for job in [&job, &payments, &search] {
        if !c.submit(job, 0) {
            return Outcome::NotRun(format!("{} is not accepted", job.id));
        }
    }
    if !c.wait(20.0, |c| {
        lock(&c.world).done_count(&job.id) >= tasks * 2 / 5
    }) {
        return Outcome::NotRun("the tasks do not end".into());
    }
    let on: BTreeSet<String> = lock(&c.world).on_machines(&job.id).into_values().collect();
    let machine = on.first().filter(|_| on.len() == 1).cloned();
    let Some(machine) = machine else {
        return Outcome::NotRun(format!("the tasks are on {on:?}"));
    };
    if trouble {
        lock(&c.world).kill_machine(&machine);
    }
    let lease_ends = Instant::now() + Duration::from_secs_f64(lock(&c.world).config.lease_s);
    // The job waits from here, unless a task of it is on a machine or there is no room.
    let mut waits_from = lease_ends;
    let mut later_job_done = None;
    let later = sites::reminder(4, CREW, vec![3.0; 4]);
    let mut later_submitted = false;
    let mut node = 0;
    loop {
        sleep(2.0);
        node = (node + 1) % 3;
        let now = Instant::now();
        let (status, stage, ..) = c.poll(&job.id, node);
        let (done, on) = {
            let w = lock(&c.world);
            (w.done_count(&job.id), w.on_machines(&job.id).len())
        };
        let room = roomy_machines(&c, job.cores, job.memory_gb);
        let usage = lock(&c.world).team_usage(CREW).max(0.0);
        record.line(&format!(
            "{}: {done} of {tasks} tasks done, {on} on machines; team uses {usage:.0} of 180; room: {room:?}",
            job.id
        ));
        if status == 200 && stage == "done" {
            return Outcome::Held(format!("{} is done", job.id));
        }
        if on > 0 || room.is_empty() || usage + job.cores > 180.0 || now < lease_ends {
            waits_from = now.max(lease_ends);
        }
        // A later job of the same team and class shows that the machines take work.
        if !later_submitted && now > lease_ends + Duration::from_secs(10) {
            later_submitted = true;
            if !c.submit(&later, node) {
                return Outcome::NotRun("the later job is not accepted".into());
            }
        }
        if later_submitted && later_job_done.is_none() && c.poll(&later.id, node).1 == "done" {
            later_job_done = Some(record.seconds());
        }
        let waited = now.saturating_duration_since(waits_from).as_secs_f64();
        if waited > WAIT_S {
            return Outcome::Broken(format!(
                "{}: {done} of {tasks} tasks done, none on a machine for {waited:.0} s while there is room on {room:?}; \
                 a later job was done at {:.0} s",
                job.id,
                later_job_done.unwrap_or(f64::NAN)
            ));
        }
        if record.seconds() > LAST_S {
            return Outcome::NotRun(format!(
                "{} is not done, and waited for {waited:.0} s",
                job.id
            ));
        }
    }
}
