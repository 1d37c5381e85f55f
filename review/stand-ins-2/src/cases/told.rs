//! Users are told that no task of a job runs while its tasks run.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cases::{begin, submit, wait_for, THAPA};
use crate::proxy::Link;
use crate::record::Record;
use crate::user;
use crate::world::{RunTime, Stage, World, THALI};
use crate::Outcome;

/// Length of the trouble; the pages have 20 to 30 s.
const REFUSED: Duration = Duration::from_secs(20);
/// The state that is told may lag by this much.
const MAX_LAG: Duration = Duration::from_secs(3);

/// Connections between controllers are refused while a job runs.
pub fn queued(root: &Path, trouble: bool, record: Record) -> Result<Outcome, Outcome> {
    let machines = &[("m-000001", THALI, "kathmandu", false)];
    let mut cluster = begin(root, "told", &THAPA, machines, record)?;
    let world = cluster.world.clone();
    let record = world.record.clone();
    let job = user::job(
        "req-000001",
        "seat-sync",
        "availability",
        "batch",
        4,
        4.0,
        8.0,
    );
    let run_time: RunTime = Arc::new(|_| Duration::from_secs(60));
    submit(&cluster, &job, run_time)?;
    wait_for(&cluster, 30.0, "all tasks run", |w| {
        running_since(w).is_some()
    })?;
    std::thread::sleep(MAX_LAG);
    if trouble {
        (0..3).for_each(|number| cluster.link_peers(number, Link::Refused));
        record.say("connections between controllers are refused");
    }
    let began = Instant::now();
    let mut wrong: Vec<String> = Vec::new();
    let mut asked = 0;
    while began.elapsed() < REFUSED {
        for (number, front) in cluster.fronts().into_iter().enumerate() {
            // All tasks have run for longer than the lag when the question is asked, and go on.
            let before = running_since(&world).map_or(Duration::ZERO, |since| since.elapsed());
            let answer = user::ask(&record, front, "req-000001");
            let still = running_since(&world).is_some();
            if let (true, true, Some((200, body))) = (before > MAX_LAG, still, answer) {
                asked += 1;
                if body["stage"] != "running" {
                    wrong.push(format!("tiller-{number} {}", body["stage"]));
                }
            }
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    (0..3).for_each(|number| cluster.link_peers(number, Link::Open));
    if !cluster.all_run() {
        return Err(Outcome::NotRun("a controller ended by itself".into()));
    }
    Ok(if wrong.is_empty() {
        Outcome::Held(format!("{asked} answers, all \"running\""))
    } else {
        Outcome::Broken(format!(
            "{} of {asked} answers were wrong while all tasks had run for longer than 3 s: {wrong:?}",
            wrong.len()
        ))
    })
}

/// Time since which all tasks of the job have run.
fn running_since(world: &World) -> Option<Instant> {
    let state = world.lock();
    let tasks = state.machines.values().flat_map(|m| m.tasks.values());
    let running = tasks
        .filter(|t| matches!(t.stage, Stage::Running { .. }))
        .count();
    let last = state.starts.last().map(|start| start.0);
    last.filter(|_| running == 4)
}
