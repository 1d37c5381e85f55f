//! Tests of region.

use super::*;
use crate::worker_protocol::{CommandKind, ReportedTask};
use serde_json::json;

struct Fixture {
    replica: Replica,
    settings: Settings,
    rev: u64,
    short: BTreeMap<String, u64>,
    starts: bool,
    reported_cancelled: BTreeSet<String>,
}

impl Fixture {
    fn new() -> Self {
        let mut f = Fixture {
            replica: Replica::default(),
            settings: Settings::parse("f", &crate::settings::tests::sample()).unwrap(),
            rev: 0,
            short: BTreeMap::new(),
            starts: true,
            reported_cancelled: BTreeSet::new(),
        };
        f.put(
            "st/flavor/box",
            json!({"name":"box","cpus":4_000_000,"gpus":0,"mem":9_000_000,"fetch":1,
            "price":1,"spot_price":1,"boot":10_000_000,"zones":["a"]}),
        );
        f
    }
    fn put(&mut self, key: &str, v: serde_json::Value) {
        self.rev += 1;
        self.replica.event(key, Some(v), self.rev).unwrap();
        self.replica.reached(self.rev);
    }
    fn machine(&mut self, name: &str) {
        let v = json!({"region":"t-0","flavor":"box","zone":"a","spot":false,"opened":true});
        self.put(&format!("st/machine/{name}"), v);
    }
    fn job(&mut self, id: &str, team: &str, class: &str, priority: &str, tasks: u32, at: u64) {
        let v = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":class,"t":team,"k":"a","r":priority,"n":tasks,
            "u":2_000_000,"m":1_000_000,"i":"img","e":5_000_000,"a":at}});
        self.put(&format!("st/job/{id}"), v);
    }
    fn share(&mut self, team: &str, cpus: u64) {
        self.put(&format!("st/quota/{team}"), json!({"t-0":[cpus,0]}));
    }
    fn context(&self, now: Micros) -> SchedulingContext<'_> {
        SchedulingContext {
            replica: &self.replica,
            settings: &self.settings,
            now,
            wall: now,
            quota_blocked_teams: &self.short,
            may_start: self.starts,
            reported_cancelled: &self.reported_cancelled,
        }
    }
    fn take(&self, token: u64, now: Micros) -> Region {
        Region::new("t-0", token, 1, &self.context(now))
    }
}

fn report(machine: &str, tally: u64, token: u64, tasks: &[(&str, u32, u64)]) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        id: HeartbeatId {
            incarnation: 1,
            sequence: tally,
        },
        token,
        interruption_in: None,
        tasks: tasks
            .iter()
            .map(|(j, n, a)| ReportedTask {
                job: Rc::from(*j),
                task: *n,
                attempt: *a,
                state: ReportedState::Running,
            })
            .collect(),
    }
}

fn starts(v: &HeartbeatOutcome) -> usize {
    match v {
        HeartbeatOutcome::Accepted(c) => c.iter().filter(|c| c.kind == CommandKind::Start).count(),
        _ => 0,
    }
}

/// What a former owner may have started waits for every machine; reports that
/// are late, repeated or under another token change nothing.
#[test]
fn taking_over() {
    let mut f = Fixture::new();
    f.machine("m-1");
    f.machine("m-2");
    f.job("req-1", "red", "x", "1", 2, 0);
    f.share("red", 8_000_000);
    let mut r = f.take(7, SECOND);
    let at = |s: u64| f.context(s * SECOND);
    // First word comes under the old token: nothing is concluded from it.
    assert_eq!(
        r.on_heartbeat(&report("m-1", 1, 6, &[("req-1", 0, 5)]), &at(2)),
        HeartbeatOutcome::Accepted(vec![])
    );
    assert_eq!(
        starts(&r.on_heartbeat(&report("m-1", 2, 7, &[]), &at(3))),
        0
    );
    assert!(!r.is_reconciled());
    assert_eq!(
        r.on_heartbeat(&report("m-1", 2, 7, &[]), &at(4)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        r.on_heartbeat(&report("m-1", 3, 8, &[]), &at(4)),
        HeartbeatOutcome::Superseded
    );
    assert_eq!(
        r.on_heartbeat(&report("m-9", 1, 7, &[]), &at(4)),
        HeartbeatOutcome::UnknownMachine
    );
    // The other machine has task 1 of the old owner: it stays, task 0 starts.
    r.on_heartbeat(&report("m-2", 1, 7, &[("req-1", 1, 5)]), &at(5));
    assert!(r.is_reconciled());
    assert_eq!(r.running("req-1"), 2);
    assert_eq!(
        starts(&r.on_heartbeat(&report("m-1", 4, 7, &[]), &at(6))),
        1
    );
    // Not in the next report: the start was not carried out, and goes anew.
    assert_eq!(
        starts(&r.on_heartbeat(&report("m-1", 5, 7, &[]), &at(9))),
        1
    );
}

/// One silent machine among others goes back; when all are silent, the fault
/// is ours and only their leases tell.
/// The last task's progress and the job's cancellation come in one answer: the
/// replica shows both before we are told of the first. The end must not be written
/// on the cancelled record's revision: done would be told after cancelled.
#[test]
fn a_cancellation_in_the_same_answer_as_the_last_result() {
    for (cancelled, ends) in [(false, 1), (true, 0)] {
        let mut f = Fixture::new();
        f.machine("m-1");
        f.job("req-1", "red", "x", "1", 2, 0);
        f.share("red", 8_000_000);
        let mut r = f.take(7, SECOND);
        f.put("st/progress/req-1/t-1/0", json!("3"));
        if cancelled {
            f.put("st/job/req-1", json!({"st": "c"}));
        }
        let v = f.context(2 * SECOND);
        r.on_progress("req-1", &v);
        let finish = |e: &Action| matches!(e, Action::Commit(_, _, CommitKind::JobDone(_)));
        assert_eq!(r.take_actions().iter().filter(|e| finish(e)).count(), ends);
    }
}

#[test]
fn silent_machines() {
    for (reporting, released) in [(&["m-1", "m-2"][..], true), (&[][..], false)] {
        let mut f = Fixture::new();
        for m in ["m-1", "m-2", "m-3"] {
            f.machine(m);
        }
        let mut r = f.take(7, SECOND);
        for s in (2..17).step_by(2) {
            let v = f.context(s * SECOND);
            for m in reporting {
                r.on_heartbeat(&report(m, s, 7, &[]), &v);
            }
            r.tick(&v);
        }
        r.tick(&f.context(17 * SECOND));
        let got = r
            .take_actions()
            .into_iter()
            .any(|e| matches!(e, Action::Release(names) if names == ["m-3"]));
        assert_eq!(got, released, "{reporting:?}");
        assert!(!r.is_reconciled());
        if released {
            r.on_released(&["m-3".into()], true, &f.context(17 * SECOND));
        }
        assert_eq!(r.is_reconciled(), released);
        r.tick(&f.context(19 * SECOND));
        assert!(r.is_reconciled(), "past the lease all is clear");
    }
}

/// A machine of a type that large jobs need is not kept up by small work in the
/// corner beside them: once no large one has been on it for a while it gets no more
/// of that, until a large one waits again.
#[test]
fn small_work_keeps_no_large_machine() {
    let mut f = Fixture::new();
    let big = json!({"name":"big","cpus":16_000_000,"gpus":0,"mem":64_000_000,"fetch":1,
        "price":9,"spot_price":9,"boot":10_000_000,"zones":["a"]});
    f.put("st/flavor/big", big);
    let v = json!({"region":"t-0","flavor":"big","zone":"a","spot":false,"opened":true});
    f.put("st/machine/m-1", v);
    f.share("red", 60_000_000);
    let mut r = f.take(7, SECOND);
    let large = |f: &mut Fixture, id: &str| {
        let v = json!({"st":"o","b":[[0,1,"t-0"]],"j":{"c":"l","t":"red","k":"a","r":"1","n":1,
            "u":10_000_000,"m":20_000_000,"i":"img","e":5_000_000,"a":1}});
        f.put(&format!("st/job/{id}"), v);
    };
    r.on_heartbeat(&report("m-1", 1, 7, &[]), &f.context(2 * SECOND));
    large(&mut f, "req-1");
    r.on_job("req-1", &f.context(2 * SECOND), false);
    f.job("req-2", "red", "s", "1", 1, 0);
    r.on_job("req-2", &f.context(2 * SECOND), false);
    let mut begun = BTreeMap::new();
    let mut out = Vec::new();
    for s in 3..90 {
        let v = f.context(s * SECOND);
        let tasks: Vec<(&str, u32, u64)> = begun
            .iter()
            .filter(|((id, _), _): &(&(JobId, u32), &u64)| s < 20 || &**id != "req-1")
            .map(|((id, n), a)| (&**id, *n, *a))
            .collect();
        let mut rep = report("m-1", s, 7, &tasks);
        if s == 20 {
            let a = begun[&(JobId::from("req-1"), 0)];
            rep.tasks.push(ReportedTask {
                job: "req-1".into(),
                task: 0,
                attempt: a,
                state: ReportedState::Ended(ExitReason::Done),
            });
        }
        if let HeartbeatOutcome::Accepted(c) = r.on_heartbeat(&rep, &v) {
            for c in c {
                if c.kind == CommandKind::Start {
                    out.push(c.job.to_string());
                    begun.insert((c.job, c.task), c.attempt);
                }
            }
        }
        r.tick(&v);
        for e in r.take_actions() {
            if let Action::Commit(_, _, kind) = e {
                r.conclude_commit(kind, true, &v);
            }
        }
        if s == 70 {
            f.job("req-3", "red", "s", "1", 1, 0);
            r.on_job("req-3", &f.context(s * SECOND), false);
        }
        if s == 80 {
            assert_eq!(out, ["req-1", "req-2"], "req-3 may run elsewhere");
            large(&mut f, "req-4");
            r.on_job("req-4", &f.context(s * SECOND), false);
        }
    }
    assert!(out.contains(&"req-4".to_owned()), "{out:?}");
}

/// One result of a gang ends it, whichever region saw it: its tasks complete
/// together, and the machines of the others may be gone. Of an array each counts.
#[test]
fn one_result_ends_a_gang() {
    for (kind, elsewhere, ends) in [
        ("g", false, true),
        ("g", true, true),
        ("a", false, false),
        ("a", true, false),
    ] {
        let mut f = Fixture::new();
        f.machine("m-1");
        let v = json!({"st":"o","b":[[0,2,""],[2,3,"t-0"]],"g":[9,null],"j":{"c":"x","t":"red","k":kind,
            "r":"1","n":3,"u":2_000_000,"m":1_000_000,"i":"img","e":5_000_000,"a":1}});
        f.put("st/job/req-1", v);
        let mut r = f.take(7, SECOND);
        if elsewhere {
            f.put("st/progress/req-1/t-1/0", json!("1"));
            r.on_progress("req-1", &f.context(2 * SECOND));
        } else {
            let mut rep = report("m-1", 1, 7, &[("req-1", 2, 9)]);
            rep.tasks[0].state = ReportedState::Ended(ExitReason::Done);
            r.on_heartbeat(&rep, &f.context(2 * SECOND));
        }
        let finished = r
            .take_actions()
            .into_iter()
            .any(|e| matches!(e, Action::Commit(_, _, CommitKind::JobDone(id)) if &*id == "req-1"));
        assert_eq!(finished, ends, "{kind} {elsewhere}");
    }
}

/// A task meant for a machine that has yet to report is begun by another that
/// reports before, if that holds no more tasks or the wait was long; once.
#[test]
fn unsent_tasks_are_drawn() {
    for (busy, at, drawn) in [
        (false, 3200, true),
        // Holds more: only after an eighth of an interval.
        (true, 3200, false),
        (true, 3500, true),
        // The one it is meant for is due.
        (false, 5300, false),
    ] {
        let mut f = Fixture::new();
        f.machine("m-1");
        f.machine("m-2");
        f.share("red", 8_000_000);
        if busy {
            f.job("req-1", "red", "x", "1", 1, 0);
        }
        let mut r = f.take(7, SECOND);
        let had = [("req-1", 0, 7 << 24)];
        let had = if busy { &had[..] } else { &[] };
        r.on_heartbeat(&report("m-2", 1, 7, had), &f.context(2 * SECOND));
        r.on_heartbeat(&report("m-1", 1, 7, &[]), &f.context(2 * SECOND));
        f.job("req-2", "red", "x", "1", 1, 0);
        r.on_job("req-2", &f.context(3 * SECOND), false);
        r.place_pending(&f.context(3 * SECOND));
        let first = r.on_heartbeat(&report("m-2", 2, 7, had), &f.context(at * MILLISECOND));
        let then = r.on_heartbeat(&report("m-1", 2, 7, &[]), &f.context(at * MILLISECOND + 1));
        assert_eq!(
            (starts(&first), starts(&then)),
            (drawn.into(), (!drawn).into()),
            "{busy} {at}"
        );
        assert!(r.undispatched.is_empty());
    }
}

/// A share is asked for before there is room, so that a machine that falls
/// free doesn't wait for it.
#[test]
fn shares_are_taken_ahead() {
    let mut f = Fixture::new();
    f.machine("m-1");
    let mut r = f.take(7, SECOND);
    r.on_heartbeat(&report("m-1", 1, 7, &[]), &f.context(2 * SECOND));
    r.take_actions();
    f.job("req-1", "red", "x", "1", 2, 0);
    f.share("red", 4_000_000);
    r.on_job("req-1", &f.context(2 * SECOND), false);
    r.place_pending(&f.context(2 * SECOND));
    assert_eq!(r.running("req-1"), 2);
    f.job("req-2", "blue", "x", "1", 1, 0);
    r.on_job("req-2", &f.context(3 * SECOND), false);
    r.tick(&f.context(3 * SECOND));
    let asked = r
        .take_actions()
        .into_iter()
        .any(|e| matches!(e, Action::Commit(_, _, CommitKind::QuotaShare(t)) if t == "blue"));
    assert!(asked);
}

/// Guarantee, then priority, then the operators' precedence, then the aims.
#[test]
fn order_of_waiting_jobs() {
    let mut f = Fixture::new();
    f.settings.operator.class_precedence = vec!["first".into(), "second".into()];
    // Red is guaranteed 4 processors: its first job fits, the others don't.
    for (i, (id, class, priority, tasks)) in [
        ("req-1", "other", "1", 2),
        ("req-2", "second", "1", 2),
        ("req-3", "first", "1", 2),
        ("req-4", "other", "3", 2),
        ("req-5", "other", "1", 1),
    ]
    .into_iter()
    .enumerate()
    {
        f.job(id, "red", class, priority, tasks, i as u64);
    }
    let mut r = f.take(7, SECOND);
    let v = f.context(SECOND);
    r.place_pending(&v);
    let order: Vec<String> = r
        .report(&v)
        .pending_jobs
        .into_iter()
        .map(|w| w.job)
        .collect();
    assert_eq!(order, ["req-1", "req-4", "req-3", "req-2", "req-5"]);
}

/// Machines that do as they are told, for tests that play a while: what runs
/// where, and until when.
pub(super) struct Shop {
    f: Fixture,
    pub(super) r: Region,
    tally: u64,
    on: BTreeMap<String, BTreeMap<(String, u32, u64), Micros>>,
    pub(super) began: BTreeMap<(String, u32), Micros>,
    /// How often tasks of a job were started.
    pub(super) starts: BTreeMap<String, u32>,
    /// Jobs whose tasks fail wherever they run, and machines on which all tasks do.
    pub(super) broken: BTreeSet<String>,
    pub(super) faulty: BTreeSet<String>,
}

impl Shop {
    pub(super) fn new(machines: usize) -> Self {
        let mut f = Fixture::new();
        let names: Vec<String> = (0..machines).map(|i| format!("m-{i}")).collect();
        for m in &names {
            f.machine(m);
        }
        // Room enough in the limits: these tests are not about them.
        for t in &mut f.settings.teams {
            t.limit = t.limit.map(|l| l.times(100));
        }
        let r = f.take(7, SECOND);
        Shop {
            f,
            r,
            tally: 0,
            on: names.into_iter().map(|m| (m, BTreeMap::new())).collect(),
            began: BTreeMap::new(),
            starts: BTreeMap::new(),
            broken: BTreeSet::new(),
            faulty: BTreeSet::new(),
        }
    }

    pub(super) fn submit(
        &mut self,
        id: &str,
        kind: &str,
        team: &str,
        tasks: u32,
        cpus: u64,
        now: Micros,
    ) {
        self.submit_with(id, team, (kind, "1"), tasks, cpus, now);
    }

    fn submit_with(
        &mut self,
        id: &str,
        team: &str,
        (kind, priority): (&str, &str),
        tasks: u32,
        cpus: u64,
        now: Micros,
    ) {
        let v = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":"x","t":team,"k":kind,"r":priority,"n":tasks,
            "u":cpus,"m":1_000_000,"i":"img","e":4_000_000,"a":now}});
        self.f.put(&format!("st/job/{id}"), v);
        self.r.on_job(id, &self.f.context(now), false);
    }

    /// The region's waiting jobs as told to the other controllers.
    pub(super) fn waits(&self, now: Micros) -> Vec<PendingJob> {
        self.r.report(&self.f.context(now)).pending_jobs
    }

    /// More small work of a team than goes in, in this second.
    fn overload(&mut self, second: u64, team: &str) {
        for i in 0..3 {
            let id = format!("req-{}", second * 10 + i);
            self.submit(&id, "a", team, 1, 2_000_000, second * SECOND);
        }
    }

    /// A machine reports these tasks as failed; how many commands it gets.
    pub(super) fn report_failures(
        &mut self,
        machine: &str,
        tasks: &[(String, u32, u64)],
        now: Micros,
    ) -> usize {
        self.tally += 1;
        let mut rep = report(machine, self.tally, 7, &[]);
        rep.tasks = tasks
            .iter()
            .map(|(job, task, attempt)| ReportedTask {
                job: Rc::from(job.as_str()),
                task: *task,
                attempt: *attempt,
                state: ReportedState::Ended(ExitReason::Failed),
            })
            .collect();
        match self.r.on_heartbeat(&rep, &self.f.context(now)) {
            HeartbeatOutcome::Accepted(commands) => commands.len(),
            other => panic!("{machine}: {other:?}"),
        }
    }

    /// A second: what is through ends, each machine reports and does what it is
    /// told. `deaf` is told nothing.
    pub(super) fn second(&mut self, now: Micros, deaf: Option<&str>) {
        self.tally += 1;
        for (m, tasks) in &mut self.on {
            let mut rep = report(m, self.tally, 7, &[]);
            for ((job, n, attempt), ends) in tasks.iter() {
                rep.tasks.push(ReportedTask {
                    job: Rc::from(job.as_str()),
                    task: *n,
                    attempt: *attempt,
                    state: if *ends <= now {
                        let fails = self.broken.contains(job) || self.faulty.contains(m);
                        ReportedState::Ended(if fails {
                            ExitReason::Failed
                        } else {
                            ExitReason::Done
                        })
                    } else {
                        ReportedState::Running
                    },
                });
            }
            tasks.retain(|_, ends| *ends > now);
            let v = self.f.context(now);
            let HeartbeatOutcome::Accepted(commands) = self.r.on_heartbeat(&rep, &v) else {
                panic!("{m}: no answer");
            };
            if deaf == Some(m) {
                continue;
            }
            for c in commands {
                if c.kind == CommandKind::Start {
                    let job = c.job.to_string();
                    self.began.entry((job.clone(), c.task)).or_insert(now);
                    *self.starts.entry(job.clone()).or_default() += 1;
                    tasks.insert((job, c.task, c.attempt), now + 4 * SECOND);
                }
            }
        }
        self.r.tick(&self.f.context(now));
        for e in self.r.take_actions() {
            let Action::Commit(txn, _, kind) = e else {
                continue;
            };
            for (k, v) in txn.changes {
                match v {
                    Some(v) => self.f.put(&k.text(), v),
                    None => drop(self.f.replica.event(&k.text(), None, self.f.rev + 1)),
                }
                if let Key::Job(id) = &k {
                    self.r.on_job(id, &self.f.context(now), false);
                }
            }
            self.r.conclude_commit(kind, true, &self.f.context(now));
        }
    }
}

/// Small work that never lets a whole set of machines fall free by itself does
/// not keep a large gang from its places: they are held for it in time.
#[test]
fn a_large_gang_is_not_starved() {
    let mut shop = Shop::new(4);
    let mut began = None;
    for s in 2..240u64 {
        let now = s * SECOND;
        // More small work than goes in, of the same priority and team.
        shop.overload(s, "red");
        if s == 10 {
            shop.submit("req-1", "g", "red", 4, 4_000_000, now);
        }
        shop.second(now, None);
        if shop.began.keys().filter(|(j, _)| j == "req-1").count() == 4 {
            began = Some(s);
            break;
        }
    }
    let began = began.expect("never began");
    assert!(began < 10 + 120, "began after {} s", began - 10);
}

/// Under more small work than there is room for, whatever comes later or is shorter
/// doesn't pass a job over for ever: not a class's largest, not a class whose aims
/// are past, not a team beyond its guarantee. Each begins within four minutes.
#[test]
fn nothing_is_passed_over_for_ever() {
    let past = crate::settings::Objective {
        kind: "wait".into(),
        class: Some("late".into()),
        threshold: Some(SECOND),
        target: 0.9,
    };
    for (what, class, team, tasks) in [
        ("largest", "x", "red", 24),
        ("class", "late", "red", 1),
        ("team", "x", "blue", 24),
    ] {
        let mut shop = Shop::new(4);
        shop.f.settings.objectives = vec![past.clone()];
        let mut began = None;
        for s in 2..300u64 {
            let now = s * SECOND;
            for i in 0..3 {
                let id = format!("req-{}", s * 10 + i);
                shop.submit(&id, "a", "red", 1, 2_000_000, now);
            }
            if s == 10 {
                let v = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":class,"t":team,"k":"a",
                    "r":"1","n":tasks,"u":2_000_000,"m":1_000_000,"i":"img","e":4_000_000,"a":now}});
                shop.f.put("st/job/req-1", v);
                shop.r.on_job("req-1", &shop.f.context(now), false);
            }
            shop.second(now, None);
            let n = shop.began.keys().filter(|(j, _)| j == "req-1").count();
            if n as u64 == tasks {
                began = Some(s);
                break;
            }
        }
        let began = began.unwrap_or_else(|| panic!("{what}: never began"));
        assert!(began <= 10 + 240, "{what}: began after {} s", began - 10);
    }
}

/// A team that floods the region with work gets what is left: the others'
/// work within their guarantees starts at once.
#[test]
fn a_flood_leaves_others_their_guarantee() {
    let mut shop = Shop::new(4);
    for i in 0..200 {
        shop.submit(
            &format!("req-{}", 1000 + i),
            "a",
            "red",
            4,
            1_000_000,
            SECOND + i,
        );
    }
    let mut waits = Vec::new();
    for s in 2..60u64 {
        let now = s * SECOND;
        if s % 10 == 0 {
            shop.submit(&format!("req-{s}"), "a", "blue", 4, 1_000_000, now);
        }
        shop.second(now, None);
    }
    for s in (10..50u64).step_by(10) {
        for n in 0..4 {
            let at = shop.began.get(&(format!("req-{s}"), n)).copied();
            waits.push(at.unwrap_or(Micros::MAX).saturating_sub(s * SECOND));
        }
    }
    assert!(waits.iter().all(|w| *w <= 6 * SECOND), "{waits:?}");
    assert!(
        shop.began.keys().any(|(j, _)| j.len() == 8),
        "the flood runs, too"
    );
}

/// A machine that carries out nothing gets no more work after two tries; what it
/// was meant for runs elsewhere, and it serves again once its session stands.
#[test]
fn a_deaf_machine_draws_no_work() {
    let mut shop = Shop::new(2);
    shop.submit("req-1", "a", "red", 4, 2_000_000, SECOND);
    for s in 2..8 {
        shop.second(s * SECOND, Some("m-0"));
    }
    assert_eq!(
        shop.r.inventory.machines["m-0"].index_entry,
        IndexEntry::Unlisted
    );
    assert!(shop.r.inventory.machines["m-0"].tasks.is_empty());
    for s in 8..16 {
        shop.second(s * SECOND, Some("m-0"));
    }
    assert_eq!(shop.began.len(), 4, "all run on the other");
    for s in 16..40 {
        shop.second(s * SECOND, None);
    }
    assert!(matches!(
        shop.r.inventory.machines["m-0"].index_entry,
        IndexEntry::Available { .. }
    ));
}

/// Copies from a former owner's time, however many, neither settle a region nor
/// put off the moment from which a machine counts as empty.
#[test]
fn copies_prove_nothing() {
    let mut f = Fixture::new();
    f.machine("m-1");
    f.job("req-1", "red", "x", "1", 1, 0);
    f.share("red", 8_000_000);
    let mut r = f.take(7, SECOND);
    let mut answered = 0;
    for s in 2..30u64 {
        let v = f.context(s * SECOND);
        let got = r.on_heartbeat(&report("m-1", s, 6, &[]), &v);
        if !r.is_reconciled() {
            answered += u32::from(matches!(got, HeartbeatOutcome::Accepted(_)));
        }
        r.tick(&v);
        assert!(!r.is_reconciled() || s > 17, "settled after {s} s");
    }
    assert_eq!(answered, 4);
    assert!(r.is_reconciled(), "its lease is over since the last answer");
    // Nothing of the session that is over counts any more.
    let late = report("m-1", 99, 7, &[("req-1", 0, 5)]);
    let v = f.context(31 * SECOND);
    r.on_heartbeat(&report("m-1", 40, 7, &[]), &v);
    r.machine_is_empty("m-1", &v);
    assert_eq!(r.on_heartbeat(&late, &v), HeartbeatOutcome::Stale);
}

/// A team without a guarantee and a limit gets what others leave, and needs no share on
/// record for it.
#[test]
fn a_team_without_a_limit_is_served() {
    let mut f = Fixture::new();
    f.machine("m-1");
    f.job("req-1", "guest", "x", "0", 3, 0);
    let mut r = f.take(7, SECOND);
    let v = f.context(2 * SECOND);
    assert_eq!(starts(&r.on_heartbeat(&report("m-1", 1, 7, &[]), &v)), 2);
    r.tick(&v);
    let shares = |e: &Action| matches!(e, Action::Commit(_, _, CommitKind::QuotaShare(_)));
    assert!(!r.take_actions().iter().any(shares));
}

/// Work of low priority begins within four minutes, a task at a time, though work of higher
/// priority never leaves a machine free; that work goes on being served.
#[test]
fn low_priority_begins_under_lasting_overload() {
    let mut shop = Shop::new(3);
    shop.submit_with("req-1", "red", ("a", "0"), 4, 2_000_000, 2 * SECOND);
    let mut began = None;
    for s in 3..300u64 {
        let now = s * SECOND;
        shop.overload(s, "blue");
        shop.second(now, None);
        if began.is_none() && shop.starts.contains_key("req-1") {
            began = Some(s);
        }
    }
    let began = began.expect("never began");
    assert!((150..240).contains(&began), "began at {began} s");
    assert!(shop.starts["req-1"] <= 4, "{} starts", shop.starts["req-1"]);
}

/// A flood of old one-task jobs of low priority doesn't go ahead of other work as a whole.
#[test]
fn a_flood_of_old_jobs_goes_first_one_at_a_time() {
    let mut shop = Shop::new(3);
    for n in 0..200 {
        let id = format!("req-{}", 10_000 + n);
        shop.submit_with(&id, "guest", ("a", "0"), 1, 2_000_000, 2 * SECOND);
    }
    for s in 3..300u64 {
        let now = s * SECOND;
        shop.overload(s, "blue");
        shop.second(now, None);
        if s == 60 {
            // What was free at the beginning is taken by then.
            shop.starts.clear();
        }
    }
    let low = shop.starts.keys().filter(|id| id.len() == 9);
    let low = low.count();
    assert!((10..=30).contains(&low), "{low} of the flood began");
}
