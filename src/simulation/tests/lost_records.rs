//! The state service loses records while workers run: controllers notice, hold, and leave
//! running work alone until operators decide.

use crate::controller::Controller;
use crate::fault_injection::{with_disabled, Safeguard};
use crate::simulation::controllers::WALL_CLOCK_EPOCH;
use crate::simulation::days::record_losses::{self, LossDay, BACKUP_AT, LOSS_AT};
use crate::simulation::days::{self, at, Plan};
use crate::simulation::faults::Fault;
use crate::simulation::runner::{log_if_requested, play_on, seeds};
use crate::simulation::users::UserAction;
use crate::simulation::workers::task_id;
use crate::simulation::world::World;
use crate::simulation::CONTROLLERS;
use salttiller_records::units::{Micros, SECOND};
use serde_json::{json, Value};

/// By then every controller must hold.
const NOTICED_WITHIN: Micros = 15 * SECOND;
/// How long a loss is observed.
const OBSERVED_UNTIL: Micros = LOSS_AT + 100 * SECOND;

/// Seeds of each day, at least.
const SEEDS_EACH: u64 = 6;

/// The record of a hold.
const HOLD: &str = "st/hold";

fn seeds_each() -> u64 {
    SEEDS_EACH.max(seeds().end() / 7)
}

/// A world in which controllers look for lost records.
fn detecting_world(plan: &Plan) -> World {
    log_if_requested();
    fastrand::seed(plan.seed);
    let mut world = World::new(plan);
    for settings in &mut world.settings {
        settings.operator.detect_lost_records = true;
    }
    world
}

impl World {
    /// Whether a worker's report contradicts the records as they are. Once no controller
    /// remembers more, nothing else can show a loss.
    fn has_evidence(&self) -> bool {
        let token = self.store.value("st/token");
        let token = token.and_then(Value::as_u64).unwrap_or(0);
        let is_unknown = |task: &String| {
            let (job, _) = task_id(task);
            self.store.value(&format!("st/job/{job}")).is_none()
        };
        self.live_workers()
            .any(|(_, w)| w.token > token || w.tasks.keys().any(is_unknown))
    }

    /// How many controllers hold.
    fn holding_controllers(&self) -> usize {
        let processes = self.controllers.iter().filter_map(|c| c.process());
        processes.filter(|p| Controller::is_hold_active(p)).count()
    }

    fn all_hold(&self) -> bool {
        self.holding_controllers() == CONTROLLERS
    }

    /// Machines and the tasks on them that users have not cancelled.
    fn wanted_on_machines(&self) -> Vec<(String, String)> {
        let live = self.live_workers();
        let tasks = live.flat_map(|(m, w)| w.tasks.keys().map(move |t| (m.clone(), t.clone())));
        let is_wanted = |task: &str| !self.users.jobs[task_id(task).0].cancel_requested;
        tasks.filter(|(_, task)| is_wanted(task)).collect()
    }

    /// Those of the tasks that are no longer on their machine, though they have no result.
    fn missing_of(&self, tasks: &[(String, String)]) -> Vec<String> {
        let is_missing = |machine: &str, task: &str| {
            let worker = self.workers.get(machine);
            let on_machine = worker.is_some_and(|w| w.tasks.contains_key(task));
            let (job, number) = task_id(task);
            let job = &self.users.jobs[job];
            !on_machine && !job.results.contains(&number) && !job.cancel_requested
        };
        let missing = tasks.iter().filter(|(m, task)| is_missing(m, task));
        missing
            .map(|(machine, task)| format!("{task} on {machine}"))
            .collect()
    }

    /// Puts a value on record under the condition that nobody else has changed it.
    fn commit_hold(&mut self, hold: &Value) {
        let version = self.store.version(HOLD);
        let commit = json!({"when": [{"k": HOLD, "mark": version}],
            "apply": [{"put": HOLD, "value": hold}]});
        assert_eq!(self.commit(&commit).status, 200);
    }

    /// Operators decide to go on with the records as they are.
    fn accept_records(&mut self) {
        let mut hold = self.store.value(HOLD).unwrap().clone();
        let wall = WALL_CLOCK_EPOCH + self.now;
        hold["accepted"] = json!({"by": "yard", "at": wall, "why": "a test"});
        self.commit_hold(&hold);
    }
}

/// What a day of a loss showed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Detection {
    /// The loss was noticed.
    Noticed,
    /// Nobody is left who could show it.
    NoEvidence,
}

/// What was so before a loss, and when it was noticed.
struct LossObservation {
    wanted: Vec<(String, String)>,
    leases_expired_before: u32,
    /// When all controllers held, and how many tasks had been started by then.
    held: Option<(Micros, u32)>,
}

/// Plays a loss; what went wrong, if anything did.
pub(crate) fn play_loss(day: &LossDay, seed: u64) -> Result<Detection, String> {
    let plan = day.plan(seed);
    let mut world = detecting_world(&plan);
    // In a hold queries go unanswered for good: only what must not happen is checked.
    world.faults_end = u64::MAX / 2;
    world.run(LOSS_AT - 1);
    if day.forgets_cancellations() {
        forget_cancellations_since_backup(&mut world);
    }
    let mut observation = LossObservation {
        wanted: world.wanted_on_machines(),
        leases_expired_before: world.observations.leases_expired_with_tasks,
        held: None,
    };
    world.run(LOSS_AT);
    if day.forgets_everything() && !world.has_evidence() {
        return Ok(Detection::NoEvidence);
    }
    let mut until = LOSS_AT;
    while until < OBSERVED_UNTIL && world.violations.is_empty() {
        until += SECOND / 2;
        world.run(until);
        world.check_cancelled();
        if observation.held.is_none() && world.all_hold() {
            observation.held = Some((until, world.starts));
        }
    }
    match observation.failure(&plan, &world) {
        Some(failure) => Err(failure),
        None => Ok(Detection::Noticed),
    }
}

fn forget_cancellations_since_backup(world: &mut World) {
    let jobs = world.users.jobs.values_mut();
    let lost = jobs.filter(|job| job.cancel_confirmed_at.is_some_and(|at| at > BACKUP_AT));
    lost.for_each(|job| job.cancel_confirmed_at = None);
}

impl LossObservation {
    /// What went wrong in the time after a loss.
    fn failure(&self, plan: &Plan, world: &World) -> Option<String> {
        if !world.violations.is_empty() {
            return Some(format!("{:?}", world.violations));
        }
        let Some((held_at, starts)) = self.held else {
            return Some("not noticed by all".to_owned());
        };
        if held_at > LOSS_AT + NOTICED_WITHIN {
            let seconds = (held_at - LOSS_AT) / SECOND;
            return Some(format!("noticed by all after {seconds} s"));
        }
        if world.starts > starts {
            return Some("tasks were started in the hold".to_owned());
        }
        if !world.all_hold() {
            return Some("a controller holds no more".to_owned());
        }
        let is_machine_fault = |f: &Fault| matches!(f, Fault::PauseMachine(_) | Fault::FailMachine);
        if plan.faults.iter().any(|f| is_machine_fault(&f.fault)) {
            return None;
        }
        let expired = world.observations.leases_expired_with_tasks - self.leases_expired_before;
        if expired > 0 {
            return Some(format!("{expired} leases expired"));
        }
        let missing = world.missing_of(&self.wanted);
        (!missing.is_empty()).then(|| format!("gone: {missing:?}"))
    }
}

/// A loss is noticed by every controller, and running work is left alone.
/// `SALTTILLER_SCENARIO` plays the days whose name contains it.
#[test]
fn lost_records_are_noticed_and_running_work_is_left_alone() {
    let only = std::env::var("SALTTILLER_SCENARIO").unwrap_or_default();
    let mut failed = Vec::new();
    let each = seeds_each();
    for day in record_losses::days().filter(|day| day.name.contains(&only)) {
        let mut noticed = 0;
        for seed in 1..=each {
            match play_loss(day, seed) {
                Ok(detection) => noticed += u64::from(detection == Detection::Noticed),
                Err(what) => failed.push(format!("{}, seed {seed}: {what}", day.name)),
            }
        }
        if noticed < each / 2 {
            let name = day.name;
            failed.push(format!("{name}: noticed on {noticed} of {each} seeds"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn without_its_safeguard_a_loss_does_harm() {
    let cases = [
        (Safeguard::KnownHistory, "set back, grown past"),
        (Safeguard::ReportEvidence, "set back, all restart"),
        (Safeguard::ProvenStart, "wiped, all restart"),
        (Safeguard::SufficientToken, "wiped"),
    ];
    for (safeguard, name) in cases {
        let day = record_losses::named(name);
        let noticed = with_disabled(safeguard, || {
            (1..=10).any(|seed| play_loss(day, seed).is_err())
        });
        assert!(noticed, "{safeguard:?} disabled isn't noticed");
    }
}

/// Where nothing is lost nothing is found: first starts, outages, partitions, takeovers, late
/// transactions. And all work ends as without the detection.
#[test]
pub(crate) fn faults_without_a_loss_are_not_taken_for_one() {
    let mut failed = Vec::new();
    for day in days::all() {
        for seed in 1..=2 {
            let plan = day.plan(seed);
            let world = play_on(&plan, detecting_world(&plan));
            let holding = world.holding_controllers();
            let unfinished = world.unfinished_jobs();
            if holding > 0 || !world.violations.is_empty() || !unfinished.is_empty() {
                failed.push(format!(
                    "{}, seed {seed}: {holding} hold, {:?}, unfinished {unfinished:?}",
                    day.name, world.violations
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Whether users cancel again what they had cancelled and the backup shows as open.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CancelAgain {
    Yes,
    No,
}

impl World {
    /// Users give up on jobs that the records don't know, or that are open again though they were
    /// told otherwise; what they had cancelled they cancel again after the decision.
    fn give_up_lost_jobs(&mut self, again: CancelAgain) {
        let mut cancel_again = Vec::new();
        for (id, job) in &mut self.users.jobs {
            let record = self.store.value(&format!("st/job/{id}"));
            let is_open = record.is_some_and(|value| value["st"] == "o");
            let is_missing = record.is_none() && job.accepted;
            let is_reopened = is_open && job.is_final();
            if !(is_missing || is_reopened) {
                continue;
            }
            let was_cancelled = is_open && job.cancel_confirmed_at.is_some();
            let cancelled = was_cancelled && again == CancelAgain::Yes;
            (job.abandoned, job.accepted) = (!cancelled, cancelled);
            job.completion_confirmed = false;
            job.cancel_confirmed_at = None;
            job.final_stage_at = 0;
            cancel_again.extend(cancelled.then(|| id.clone()));
        }
        for id in cancel_again {
            self.schedule_user(LOSS_AT + 45 * SECOND, &id, UserAction::Cancel);
        }
    }

    /// What is known of a job that did not end.
    fn describe_job(&self, id: &str) -> String {
        let job = &self.users.jobs[id];
        let record = self.store.value(&format!("st/job/{id}"));
        let stage = record.map(|value| &value["st"]);
        let (done, cancelled) = (job.completion_confirmed, job.cancel_confirmed_at);
        format!(
            "{id}: accepted {}, told {done}/{cancelled:?}, cancel requested {}, {} of {} done, record {stage:?}, {:?} {}",
            job.accepted, job.cancel_requested, job.results.len(), job.tasks, job.kind, job.team
        )
    }
}

/// Operators go on with the backup after a real loss: what runs twice, beyond a limit or in a
/// wrong place is checked as on any day, and what the backup holds is served to its end.
pub(crate) fn play_decision(day: &LossDay, seed: u64, again: CancelAgain) -> Result<(), String> {
    let plan = day.plan(seed);
    let mut world = detecting_world(&plan);
    world.faults_end = 200 * SECOND;
    world.run(LOSS_AT);
    world.give_up_lost_jobs(again);
    world.run(LOSS_AT + 40 * SECOND);
    if !world.all_hold() {
        return Ok(());
    }
    // Some were told a final stage in the moment before the loss was noticed.
    world.give_up_lost_jobs(again);
    world.accept_records();
    let world = play_on(&plan, world);
    let is_wanted = |id: &&String| !world.users.jobs[*id].abandoned;
    let unfinished = world.unfinished_jobs().into_iter().filter(is_wanted);
    let unfinished: Vec<String> = unfinished.map(|id| world.describe_job(id)).collect();
    if world.violations.is_empty() && unfinished.is_empty() {
        return Ok(());
    }
    let violations = &world.violations;
    Err(format!(
        "{violations:?}, unfinished {}",
        unfinished.join("; ")
    ))
}

#[test]
fn after_a_real_loss_the_rules_hold_for_what_there_is() {
    let mut failed = Vec::new();
    for day in record_losses::set_back_days() {
        for seed in 1..=seeds_each() {
            if let Err(what) = play_decision(day, seed, CancelAgain::Yes) {
                failed.push(format!("{}, seed {seed}: {what}", day.name));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn without_the_wait_after_a_decision_a_task_runs_twice() {
    let noticed = with_disabled(Safeguard::UnrecordedMachines, || {
        let days = record_losses::set_back_days();
        let mut results =
            days.flat_map(|day| (1..=8).map(|seed| play_decision(day, seed, CancelAgain::No)));
        results.any(|result| result.is_err_and(|what| what.contains("ran_twice")))
    });
    assert!(noticed);
}

/// Operators decide to go on with what there is: service resumes, all work ends, no rule is
/// violated. The hold itself is put on record by hand, so that nothing is really lost.
#[test]
pub(crate) fn a_decision_ends_the_hold() {
    for seed in 1..=SEEDS_EACH {
        let plan = Plan {
            faults: vec![at(130.0, Fault::RestartLeader)],
            ..Plan::quiet(seed)
        };
        let mut world = detecting_world(&plan);
        world.faults_end = 160 * SECOND;
        world.run(100 * SECOND);
        let mut hold =
            json!({"incident": 7, "by": "yard", "at": 1, "seen": "a test", "accepted": null});
        world.commit_hold(&hold);
        world.run(110 * SECOND);
        assert!(world.all_hold(), "seed {seed}");
        let starts = world.starts;
        let expired = world.observations.leases_expired_with_tasks;
        world.run(150 * SECOND);
        let wall = WALL_CLOCK_EPOCH + 150 * SECOND;
        hold["accepted"] = json!({"by": "yard", "at": wall, "why": "a test"});
        world.commit_hold(&hold);
        let expired_in_hold = world.observations.leases_expired_with_tasks;
        assert_eq!(
            (world.starts, expired_in_hold),
            (starts, expired),
            "seed {seed}"
        );
        let world = play_on(&plan, world);
        let violations = &world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert!(world.starts > starts, "seed {seed}");
        let unfinished = world.unfinished_jobs();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    }
}
