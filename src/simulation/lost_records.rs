//! The state service loses records while workers run: controllers notice, hold, and leave
//! running work alone until operators decide.

use super::faults::Loss;
use super::*;

impl World {
    /// The state service is another process from here on: its connections broke, its leases
    /// are gone.
    pub(super) fn lose_records(&mut self, loss: Loss) {
        let lost = self.store.revision;
        let backup = self.store.backup.clone();
        match loss {
            Loss::All => {
                self.store.data.clear();
                self.store.log.clear();
                self.store.revision = 0;
            }
            Loss::SinceBackup | Loss::SinceBackupAndGrown => {
                self.store.data = backup.data;
                self.store.log = backup.log;
                self.store.revision = backup.revision;
            }
            Loss::SomeJobs => {
                let mut keep = false;
                self.store.data.retain(|key, _| {
                    keep = !keep;
                    !key.starts_with("st/job/") || keep
                });
            }
        }
        if loss == Loss::SinceBackupAndGrown {
            while self.store.revision <= lost + 5 {
                self.store.revision += 1;
                let (key, m) = ("st/progress/req-999999/t-0/0", self.store.revision);
                self.store.data.insert(key.into(), (json!(""), m, None));
                self.store.log.push((m, key.into(), Some(json!(""))));
            }
        }
        if loss != Loss::SomeJobs {
            let leased: Vec<String> = self
                .store
                .data
                .iter()
                .filter(|(_, (_, _, lease))| lease.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            leased
                .iter()
                .for_each(|key| drop(self.store.data.remove(key)));
            self.store.leases.clear();
        }
        for (i, life, id, _) in std::mem::take(&mut self.store.watches).into_values() {
            self.back(i, life, id, Err(CallError::NoAnswer));
        }
    }

    /// Whether a worker speaks against the records as they are. Once no controller remembers
    /// more, nothing else can show a loss.
    fn has_evidence(&self) -> bool {
        let token = self.store.data.get("st/token");
        let token = token.and_then(|(v, ..)| v.as_u64()).unwrap_or(0);
        let unknown = |task: &String| {
            let (job, _) = salttiller_records::model::parse_task(task).unwrap();
            !self.store.data.contains_key(&format!("st/job/{job}"))
        };
        let live = self.workers.values().filter(|w| !self.lapsed(w));
        live.into_iter()
            .any(|w| w.token > token || w.tasks.keys().any(unknown))
    }

    fn all_held(&self) -> bool {
        let up = self.controllers.iter().filter_map(|c| c.node.as_ref());
        up.clone().count() == 3 && up.into_iter().all(Controller::is_held)
    }

    /// Tasks on machines whose users want them still.
    fn wanted_on_machines(&self) -> Vec<(String, String)> {
        let live = self.workers.iter().filter(|(_, w)| !self.lapsed(w));
        let tasks = live.flat_map(|(m, w)| w.tasks.keys().map(move |t| (m.clone(), t.clone())));
        let wanted = |task: &str| {
            let (job, _) = salttiller_records::model::parse_task(task).unwrap();
            !self.jobs[job].cancel_asked
        };
        tasks.filter(|(_, task)| wanted(task)).collect()
    }

    /// Those of the tasks that are on their machine no more, though they have no result.
    fn missing_of(&self, tasks: &[(String, String)]) -> Vec<String> {
        let gone = tasks.iter().filter(|(machine, task)| {
            let on_machine = self
                .workers
                .get(machine)
                .is_some_and(|w| w.tasks.contains_key(task));
            let (job, n) = salttiller_records::model::parse_task(task).unwrap();
            let job = &self.jobs[job];
            !on_machine && !job.done.contains(&n) && !job.cancel_asked
        });
        gone.map(|(machine, task)| format!("{task} on {machine}"))
            .collect()
    }
}

const BACKUP_AT: Micros = 75 * SECOND;
const LOSS_AT: Micros = 90 * SECOND;
/// By then every controller must hold.
const NOTICED_WITHIN: Micros = 15 * SECOND;
const LOOK_UNTIL: Micros = LOSS_AT + 100 * SECOND;

pub(super) struct LossDay {
    pub name: &'static str,
    loss: Loss,
    /// What else happens, by seconds before or after the loss.
    beside: fn(&mut fastrand::Rng) -> Vec<(f64, Fault)>,
}

impl LossDay {
    /// Whether no controller remembers what was lost before the loss can be noticed.
    fn forgets_everything(&self) -> bool {
        self.name.contains("all restart")
    }

    /// Whether cancellations since the backup are known to nobody any more: neither on record
    /// nor to a controller that was there. They can't be kept, see docs/recovery.md.
    fn forgets_cancellations(&self) -> bool {
        self.forgets_everything() || self.name.contains("all end later")
    }
}

fn nothing(_: &mut fastrand::Rng) -> Vec<(f64, Fault)> {
    Vec::new()
}

fn all_restart(r: &mut fastrand::Rng) -> Vec<(f64, Fault)> {
    vec![(r.f64() * 0.2 - 0.1, Fault::AllAway(SECOND))]
}

fn one_restarts(r: &mut fastrand::Rng) -> Vec<(f64, Fault)> {
    vec![(r.f64() * 4.0 - 2.0, Fault::Blink(r.usize(0..3)))]
}

pub(super) fn days() -> Vec<LossDay> {
    let day = |name, loss, beside| LossDay { name, loss, beside };
    vec![
        day("wiped", Loss::All, nothing),
        day("set back", Loss::SinceBackup, nothing),
        day("set back, grown past", Loss::SinceBackupAndGrown, nothing),
        day("wiped, one restarts", Loss::All, one_restarts),
        day("set back, one restarts", Loss::SinceBackup, one_restarts),
        day(
            "set back, grown past, one restarts",
            Loss::SinceBackupAndGrown,
            one_restarts,
        ),
        day("wiped, all restart", Loss::All, all_restart),
        day("set back, all restart", Loss::SinceBackup, all_restart),
        day("jobs missing, all restart", Loss::SomeJobs, all_restart),
        day("wiped, the leader ends later", Loss::All, |r| {
            vec![(5.0 + r.f64() * 20.0, Fault::LeaderBlinks)]
        }),
        day("wiped, all end later", Loss::All, |r| {
            vec![(5.0 + r.f64() * 20.0, Fault::AllAway(r.u64(1..5) * SECOND))]
        }),
        day("wiped in an outage", Loss::All, |r| {
            vec![(-1.0, Fault::StoreDown(r.u64(2..10) * SECOND))]
        }),
        day("wiped twice", Loss::All, |r| {
            vec![(r.f64() * 30.0, Fault::LoseRecords(Loss::All))]
        }),
        day("wiped, machines hang and die", Loss::All, |r| {
            vec![
                (r.f64() * 5.0, Fault::MachineHangs(r.u64(5..40) * SECOND)),
                (r.f64() * 20.0, Fault::MachineDies),
            ]
        }),
        day("wiped, old reports come", Loss::All, |_| {
            vec![(-20.0, Fault::Copies(60 * SECOND))]
        }),
        day("wiped right after cancellations", Loss::All, |_| {
            vec![(-1.5, Fault::CancelRunning(4, 0))]
        }),
        day(
            "wiped, workers cut off from one for a while",
            Loss::All,
            |r| vec![(r.f64() * 10.0, Fault::CutWorkers(r.usize(0..3), 9 * SECOND))],
        ),
    ]
}

fn loss_plan(day: &LossDay, seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x105e);
    let at = |seconds: f64| (LOSS_AT as f64 + seconds * SECOND as f64) as Micros;
    let mut faults = vec![
        (BACKUP_AT, Fault::Backup),
        (LOSS_AT, Fault::LoseRecords(day.loss)),
    ];
    faults.extend((day.beside)(&mut rng).into_iter().map(|(s, f)| (at(s), f)));
    Plan {
        seed,
        faults,
        jobs: 40,
        end: 200 * SECOND,
        load: Load::Mixed,
    }
}

fn detecting_world(plan: &Plan) -> World {
    log_if_asked();
    fastrand::seed(plan.seed);
    let mut world = World::new(plan);
    for settings in &mut world.settings {
        settings.operator.detect_lost_records = true;
    }
    world
}

/// What a day of a loss showed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Shown {
    /// It was noticed.
    Noticed,
    /// Nobody is left who could show it.
    NoEvidence,
}

/// Plays a loss; what went wrong, if anything did.
pub(super) fn play_loss(day: &LossDay, seed: u64) -> Result<Shown, String> {
    let plan = loss_plan(day, seed);
    let mut world = detecting_world(&plan);
    // In a hold questions go unanswered for good: only what must not happen is looked at.
    world.troubles_end = u64::MAX / 2;
    world.run(LOSS_AT - 1);
    if day.forgets_cancellations() {
        let jobs = world.jobs.values_mut();
        let lost = jobs.filter(|j| j.cancel_told.is_some_and(|t| t > BACKUP_AT));
        lost.for_each(|j| j.cancel_told = None);
    }
    let lapsed_before = world.seen.lapsed;
    let wanted = world.wanted_on_machines();
    world.run(LOSS_AT);
    if day.forgets_everything() && !world.has_evidence() {
        return Ok(Shown::NoEvidence);
    }
    let mut held_at = None;
    let mut starts = world.starts;
    let mut t = LOSS_AT;
    while t < LOOK_UNTIL && world.broken.is_empty() {
        t += SECOND / 2;
        world.run(t);
        world.check_cancelled();
        if held_at.is_none() && world.all_held() {
            held_at = Some(t);
            starts = world.starts;
        }
    }
    if !world.broken.is_empty() {
        return Err(format!("{:?}", world.broken));
    }
    let missing = world.missing_of(&wanted);
    let lapses_allowed = plan
        .faults
        .iter()
        .any(|(_, f)| matches!(f, Fault::MachineHangs(_) | Fault::MachineDies));
    let lapsed = world.seen.lapsed - lapsed_before;
    match held_at {
        None => Err("not noticed by all".to_owned()),
        Some(at) if at > LOSS_AT + NOTICED_WITHIN => Err(format!(
            "noticed by all after {} s",
            (at - LOSS_AT) / SECOND
        )),
        Some(_) if world.starts > starts => Err("tasks were started in the hold".to_owned()),
        Some(_) if !world.all_held() => Err("a controller holds no more".to_owned()),
        Some(_) if lapsed > 0 && !lapses_allowed => Err(format!("{lapsed} leases ran out")),
        Some(_) if !missing.is_empty() && !lapses_allowed => Err(format!("gone: {missing:?}")),
        Some(_) => Ok(Shown::Noticed),
    }
}

const SEEDS_EACH: u64 = 6;

#[test]
fn lost_records_are_noticed_and_running_work_is_left_alone() {
    let only = std::env::var("SALTTILLER_SCENARIO").ok();
    let mut failed = Vec::new();
    for day in days() {
        if only
            .as_ref()
            .is_some_and(|o| !day.name.contains(o.as_str()))
        {
            continue;
        }
        let each = SEEDS_EACH.max(seeds().end() / 7);
        let mut noticed = 0;
        for seed in 1..=each {
            match play_loss(&day, seed) {
                Ok(shown) => noticed += u64::from(shown == Shown::Noticed),
                Err(what) => failed.push(format!("{}, seed {seed}: {what}", day.name)),
            }
        }
        if noticed < each / 2 {
            failed.push(format!(
                "{}: noticed on {noticed} of {each} seeds",
                day.name
            ));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn without_its_guard_a_loss_does_harm() {
    let cases = [
        (Safeguard::KnownHistory, "set back, grown past"),
        (Safeguard::ReportEvidence, "set back, all restart"),
        (Safeguard::ProvenStart, "wiped, all restart"),
        (Safeguard::SufficientToken, "wiped"),
    ];
    for (guard, name) in cases {
        let day = days().into_iter().find(|d| d.name == name).unwrap();
        disable(Some(guard));
        let noticed = (1..=10).any(|seed| play_loss(&day, seed).is_err());
        disable(None);
        assert!(noticed, "{guard:?} left out went unnoticed");
    }
}

/// Where nothing is lost nothing is found: first starts, outages, cuts, takeovers, late
/// transactions. And all work ends as without the detection.
#[test]
pub(super) fn troubles_without_a_loss_are_not_taken_for_one() {
    let mut failed = Vec::new();
    for failure in compound_failures::compound_failures()
        .into_iter()
        .chain(partial_failures::days())
    {
        for seed in 1..=2 {
            let plan = compound_failures::day(&failure, seed);
            let world = play_in(&plan, detecting_world(&plan));
            let held = world.controllers.iter().filter_map(|c| c.node.as_ref());
            let held = held.filter(|n| n.is_held()).count();
            let open = world.left_open();
            if held > 0 || !world.broken.is_empty() || !open.is_empty() {
                failed.push(format!(
                    "{}, seed {seed}: {held} hold, {:?}, left open {open:?}",
                    failure.name, world.broken
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

impl World {
    /// Users give up on jobs that the records deny, or show as they stood before the last word;
    /// what they had cancelled they cancel again after the decision.
    fn give_up_lost_jobs(&mut self, again: CancelAgain) {
        let mut cancel_again = Vec::new();
        for (id, job) in &mut self.jobs {
            let record = self.store.data.get(&format!("st/job/{id}"));
            let is_open = record.is_some_and(|(v, ..)| v["st"] == "o");
            let told = job.done_told || job.cancel_told.is_some();
            if record.is_none() && job.accepted || is_open && told {
                let cancelled = is_open && job.cancel_told.is_some() && again == CancelAgain::Yes;
                (job.is_over, job.accepted) = (!cancelled, cancelled);
                (job.done_told, job.cancel_told, job.told_at) = (false, None, 0);
                cancel_again.extend(cancelled.then(|| id.clone()));
            }
        }
        for id in cancel_again {
            self.at(LOSS_AT + 45 * SECOND, Event::User(id, Action::Abort));
        }
    }
}

/// Operators go on with an older copy after a real loss: what runs twice, beyond a limit or in
/// a wrong place is looked at as on any day, and what the copy holds is served to its end.
/// Whether users cancel again what they had cancelled and the older copy shows as open.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CancelAgain {
    Yes,
    No,
}

pub(super) fn play_decision(day: &LossDay, seed: u64, again: CancelAgain) -> Result<(), String> {
    let plan = loss_plan(day, seed);
    let mut world = detecting_world(&plan);
    world.troubles_end = 200 * SECOND;
    world.run(LOSS_AT);
    world.give_up_lost_jobs(again);
    world.run(LOSS_AT + 40 * SECOND);
    if !world.all_held() {
        return Ok(());
    }
    // Some were told a last word in the moment before the loss was noticed.
    world.give_up_lost_jobs(again);
    let (mut hold, version, _) = world.store.data["st/hold"].clone();
    let wall = 1_000_000_000_000 + world.now;
    hold["accepted"] = json!({"by": "yard", "at": wall, "why": "a test"});
    let commit = json!({"when": [{"k": "st/hold", "mark": version}],
        "apply": [{"put": "st/hold", "value": hold}]});
    assert_eq!(world.commit(&commit).status, 200);
    let world = play_in(&plan, world);
    let open = world.left_open().into_iter();
    let open: Vec<&String> = open.filter(|id| !world.jobs[*id].is_over).collect();
    if world.broken.is_empty() && open.is_empty() {
        return Ok(());
    }
    let detail: Vec<String> = open
        .iter()
        .map(|id| {
            let j = &world.jobs[*id];
            let record = world.store.data.get(&format!("st/job/{id}")).map(|(v, ..)| v["st"].clone());
            format!(
                "{id}: accepted {}, told {}/{:?}, asked {}, {} of {} done, record {record:?}, {} {}",
                j.accepted, j.done_told, j.cancel_told, j.cancel_asked, j.done.len(), j.tasks,
                j.spec["furrow"], j.spec["crew"]
            )
        })
        .collect();
    Err(format!("{:?}, open {}", world.broken, detail.join("; ")))
}

pub(super) fn set_back_days() -> impl Iterator<Item = LossDay> {
    days().into_iter().filter(|d| d.loss == Loss::SinceBackup)
}

#[test]
fn after_a_real_loss_the_rules_hold_for_what_there_is() {
    let mut failed = Vec::new();
    for day in set_back_days() {
        for seed in 1..=SEEDS_EACH.max(seeds().end() / 7) {
            if let Err(what) = play_decision(&day, seed, CancelAgain::Yes) {
                failed.push(format!("{}, seed {seed}: {what}", day.name));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn without_the_wait_after_a_decision_a_task_runs_twice() {
    disable(Some(Safeguard::UnrecordedMachines));
    let mut all = set_back_days()
        .flat_map(|day| (1..=8).map(move |seed| play_decision(&day, seed, CancelAgain::No)));
    let noticed = all.any(|r| r.is_err_and(|what| what.contains("ran_twice")));
    disable(None);
    assert!(noticed);
}

/// Operators decide to go on with what there is: service resumes, all work ends, no rule
/// breaks. The hold itself is put on record by hand, so that nothing is really lost.
#[test]
pub(super) fn a_decision_ends_the_hold() {
    for seed in 1..=SEEDS_EACH {
        let plan = Plan {
            seed,
            faults: vec![(130 * SECOND, Fault::LeaderBlinks)],
            jobs: 24,
            end: 240 * SECOND,
            load: Load::Mixed,
        };
        let mut world = detecting_world(&plan);
        world.troubles_end = 160 * SECOND;
        let put = |world: &mut World, at: Micros, accepted: Value| {
            world.run(at);
            let value = json!({"incident": 7, "by": "yard", "at": 1, "seen": "a test", "accepted": accepted});
            let version = world.store.data.get("st/hold").map_or(0, |(_, m, _)| *m);
            let commit = json!({"when": [{"k": "st/hold", "mark": version}],
                "apply": [{"put": "st/hold", "value": value}]});
            assert_eq!(world.commit(&commit).status, 200);
        };
        put(&mut world, 100 * SECOND, Value::Null);
        world.run(110 * SECOND);
        assert!(world.all_held(), "seed {seed}");
        let starts = world.starts;
        let lapsed = world.seen.lapsed;
        let wall = 1_000_000_000_000 + 150 * SECOND;
        put(
            &mut world,
            150 * SECOND,
            json!({"by": "yard", "at": wall, "why": "a test"}),
        );
        assert_eq!(
            (world.starts, world.seen.lapsed),
            (starts, lapsed),
            "seed {seed}"
        );
        let world = play_in(&plan, world);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        assert!(world.starts > starts, "seed {seed}");
        assert!(
            world.left_open().is_empty(),
            "seed {seed}: {:?}",
            world.left_open()
        );
    }
}
