//! Tasks of a job are started after its user was told that it is cancelled.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cases::{begin, done, present, submit, wait_for, THAPA};
use crate::cluster::Cluster;
use crate::proxy::Link;
use crate::record::Record;
use crate::user;
use crate::world::{RunTime, THALI};
use crate::Outcome;

/// Length of the cut; the pages have cuts of 25 to 65 s.
const CUT: Duration = Duration::from_secs(25);

/// The owner of a job's machines is cut from the state service and from the other controllers while
/// workers and users still reach it, and the job is cancelled at another controller.
pub fn started(root: &Path, trouble: bool, record: Record) -> Result<Outcome, Outcome> {
    let machines = &[
        ("m-000001", THALI, "kathmandu", false),
        ("m-000002", THALI, "kathmandu", true),
    ];
    let mut cluster = begin(root, "cancelled", &THAPA, machines, record)?;
    let world = cluster.world.clone();
    let record = world.record.clone();
    let mut array = user::job(
        "req-000001",
        "reminder-send",
        "messaging",
        "batch",
        270,
        1.0,
        2.4,
    );
    array["fallow"] = json!(true);
    array["growthS"] = json!(2.0);
    let run_time: RunTime = Arc::new(|_| Duration::from_secs(2));
    submit(&cluster, &array, run_time)?;
    wait_for(
        &cluster,
        30.0,
        "tasks of the job end and others start",
        |w| done(w, "req-000001") >= 30,
    )?;
    let owner = owner_of(&cluster).ok_or(Outcome::NotRun("no owner on record".into()))?;
    let other = (owner + 1) % 3;
    record.say(format!("tiller-{owner} owns the machines of the job"));
    if trouble {
        cluster.link_state(owner, Link::Held);
        cluster.link_peers(owner, Link::Held);
        record.say(format!(
            "tiller-{owner} is cut from the state service and the other controllers"
        ));
    }
    let cut_at = Instant::now();
    std::thread::sleep(Duration::from_millis(200));
    let confirmed = loop {
        let answer = user::cancel(&record, cluster.controllers[other].front, "req-000001");
        if answer.is_some_and(|(status, body)| status == 200 && body["stage"] == "cancelled") {
            break Instant::now();
        }
        if cut_at.elapsed() > Duration::from_secs(20) {
            return Err(Outcome::NotRun("the job was not cancelled".into()));
        }
        std::thread::sleep(Duration::from_secs(1));
    };
    record.say("the user was told that the job is cancelled");
    while cut_at.elapsed() < CUT {
        std::thread::sleep(Duration::from_millis(50));
    }
    cluster.link_state(owner, Link::Open);
    cluster.link_peers(owner, Link::Open);
    record.say("the cut is over");
    let bound = Duration::from_secs_f64(world.timing.cancel);
    while confirmed.elapsed() < bound + Duration::from_secs(1) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let left = present(&world, "req-000001");
    if !cluster.all_run() {
        return Err(Outcome::NotRun("a controller ended by itself".into()));
    }
    // A command in the answer to a report that was sent before the user was told may have been in
    // flight, which the rule excuses. Only answers to later reports count.
    let state = world.lock();
    let late = state
        .start_commands
        .iter()
        .filter(|c| c.1 > confirmed && c.2 .0 == "req-000001");
    let delays: Vec<f64> = late.map(|c| (c.1 - confirmed).as_secs_f64()).collect();
    drop(state);
    let (first, last) = (delays.first().copied(), delays.last().copied());
    Ok(match (first, last) {
        (Some(first), Some(last)) => Outcome::Broken(format!(
            "{} starts of the cancelled job in answers to reports that were sent {first:.2} to \
             {last:.2} s after its user was told; {left} tasks left after cancel_s",
            delays.len()
        )),
        _ if left > 0 => Outcome::Broken(format!("{left} tasks left after cancel_s")),
        _ => Outcome::Held("no start after the user was told, no task left after cancel_s".into()),
    })
}

/// Number of the controller that owns the region to which the job is bound.
fn owner_of(cluster: &Cluster) -> Option<usize> {
    let job = cluster.stored("st/job/req-000001")?;
    let region = job["b"]
        .as_array()?
        .first()?
        .as_array()?
        .get(2)?
        .as_str()?
        .to_owned();
    let record = cluster.stored(&format!("st/region/{region}"))?;
    let owner = record["owner"].as_str()?;
    cluster.controllers.iter().position(|c| c.name == owner)
}
