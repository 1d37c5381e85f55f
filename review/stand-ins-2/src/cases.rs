//! The cases, and the steps that they share.

mod cancelled;
mod left_waiting;
mod soak;
mod told;

use std::path::Path;
use std::time::Duration;

use serde_json::Value;

use crate::cluster::{Cluster, Layout};
use crate::record::Record;
use crate::user;
use crate::world::{Machine, Plot, RunTime, Timing, World};
use crate::Outcome;

/// The settings of the small deployment Thapa.
pub const THAPA: Layout = Layout {
    areas: ["kathmandu"; 3],
    zones: &["kathmandu"],
    rates: (250.0, 50.0),
};

/// The workers' settings of the small deployment Thapa.
const TIMING: Timing = Timing {
    report: 3.0,
    lease: 16.0,
    gang_wait: 30.0,
    gang_peer: 8.0,
    cancel: 41.0,
};

/// Machines that are up at the start: name, type, zone, whether it is a cheap one.
type Machines<'a> = &'a [(&'a str, Plot, &'a str, bool)];

pub fn run(case: &str, root: &Path, trouble: bool, record: Record) -> Outcome {
    let result = match case {
        "one-zone-left-waiting" => left_waiting::one_zone(root, trouble, record),
        "behind-others" => left_waiting::behind_others(root, trouble, record),
        "idle-machine-withheld" => left_waiting::withheld(root, trouble, record),
        "started-after-cancellation" => cancelled::started(root, trouble, record),
        "running-told-as-queued" => told::queued(root, trouble, record),
        "behind-sixty" => left_waiting::behind_sixty(root, trouble, record),
        "soak" => soak::run(root, trouble, record),
        _ => Err(Outcome::NotRun(format!("no case {case}"))),
    };
    result.unwrap_or_else(|outcome| outcome)
}

/// Starts the controllers, and the workers once all controllers are ready. Tries again with other
/// ports if another process took one of the reserved ports at the last moment.
fn begin(
    root: &Path,
    name: &str,
    layout: &Layout,
    machines: Machines<'_>,
    record: Record,
) -> Result<Cluster, Outcome> {
    let failed = |error: std::io::Error| Outcome::NotRun(format!("{error}"));
    for _ in 0..3 {
        let world = World::new(TIMING, record.clone());
        let mut cluster = Cluster::start(root, name, world, layout).map_err(failed)?;
        if cluster.wait_ready(Duration::from_secs(10)) {
            for (machine, plot, zone, spot) in machines {
                cluster.world.add_machine(machine, *plot, zone, *spot);
            }
            cluster.start_workers();
            // A worker that has seen a token is in a region.
            let in_regions = |w: &World| w.lock().machines.values().all(|m| m.brand > 0);
            wait_for(&cluster, 20.0, "all machines are in regions", in_regions)?;
            return Ok(cluster);
        }
        record.line("a controller did not get ready, new start");
    }
    Err(Outcome::NotRun("the controllers don't get ready".into()))
}

fn submit(cluster: &Cluster, job: &Value, run_time: RunTime) -> Result<(), Outcome> {
    user::submit(&cluster.world, &cluster.fronts(), job, run_time)
        .map_err(|status| Outcome::NotRun(format!("{} refused with {status}", job["nameId"])))
}

/// Waits until a condition on the world holds.
fn wait_for(
    cluster: &Cluster,
    until: f64,
    what: &str,
    condition: impl Fn(&World) -> bool,
) -> Result<(), Outcome> {
    let record = &cluster.world.record;
    while record.seconds() < until {
        if condition(&cluster.world) {
            record.line(format!("reached: {what}"));
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(Outcome::NotRun(format!("not reached: {what}")))
}

/// Number of a job's tasks that are done.
fn done(world: &World, job: &str) -> usize {
    world.lock().done.iter().filter(|(id, _)| id == job).count()
}

/// Number of a job's tasks on any machine, fetching ones included.
fn present(world: &World, job: &str) -> usize {
    let state = world.lock();
    let tasks = state.machines.values().flat_map(|m| &m.tasks);
    tasks
        .filter(|((id, _), task)| id == job && !task.stage.is_over())
        .count()
}

/// The machines that hold tasks of a job.
fn holders(world: &World, job: &str) -> Vec<String> {
    let holds = |m: &Machine| {
        m.tasks
            .iter()
            .any(|((id, _), t)| id == job && !t.stage.is_over())
    };
    let state = world.lock();
    let holding = state.machines.iter().filter(|(_, machine)| holds(machine));
    holding.map(|(name, _)| name.clone()).collect()
}
