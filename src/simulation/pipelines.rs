//! Pipelines in the simulated world: scripted days on which one thing happens at one
//! moment, each played on several seeds.

use super::*;

const SEEDS: u64 = 8;
/// Within this time after its user was told, all that hangs on a cancelled job is so too.
const CANCEL: Micros = 41 * SECOND;

/// Jobs of the scripts. The second needs the first, the third the second, the fourth both.
const FIRST: &str = "req-000001";
const SECOND_JOB: &str = "req-000002";
const THIRD: &str = "req-000003";
const FOURTH: &str = "req-000004";
/// Submitted by scripts of their own.
const LATE: &str = "req-000009";

fn submission(id: &str, tasks: u32, run: u64, needs: &[&str]) -> Value {
    json!({"nameId": id, "crop": "x", "crew": "red", "furrow": "batch", "rank": "standard",
        "sheaves": tasks, "cores": 1.0, "cards": 0.0, "memoryGb": 1.0, "seed": "img",
        "sizeGb": 1.0, "plots": null, "field": null, "samePlace": false, "spread": false,
        "fallow": false, "growthS": run, "stookS": 0.0, "bindS": 0.0, "harvestS": null,
        "trails": needs})
}

impl World {
    /// A world on a day with no jobs and no faults of its own.
    fn empty(seed: u64) -> World {
        log_if_asked();
        fastrand::seed(seed);
        let mut world = World::new(&Plan {
            seed,
            faults: Vec::new(),
            jobs: 0,
            end: 0,
            load: Load::Pipelines,
        });
        world.run_for(5 * SECOND);
        world
    }

    /// A user submits a job now.
    fn submit(&mut self, id: &str, tasks: u32, run: u64, needs: &[&str]) {
        let spec = submission(id, tasks, run, needs);
        let names = needs.iter().map(|n| (*n).to_owned()).collect();
        self.jobs
            .insert(id.into(), Job::new(spec, run * SECOND, names));
        self.at(self.now, Event::User(id.into(), Action::Submit));
    }

    fn cancel(&mut self, id: &str) {
        self.at(self.now, Event::User(id.into(), Action::Abort));
    }

    /// Goes on for so long, checking what is checked on every day.
    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end && self.broken.is_empty() {
            let next = (self.now + 5 * SECOND).min(end);
            self.run(next);
            self.now = next;
            self.check_invariants();
        }
    }

    /// Goes on until something is so, and says whether it came in time.
    fn run_until(&mut self, limit: Micros, is_so: impl Fn(&World) -> bool) -> bool {
        let end = self.now + limit;
        while !is_so(self) {
            if self.now >= end || !self.broken.is_empty() {
                return false;
            }
            let next = self.now + MILLISECOND;
            self.run(next);
            self.now = next;
        }
        true
    }

    /// A request of the test's own to one controller; status and stage of the answer.
    fn ask(&mut self, to: usize, method: &str, path: &str, body: &Value) -> (u16, String) {
        let number = self.probes.len() as u32;
        let request = request(method, path, rmp_serde::to_vec(body).unwrap());
        let requester = Requester::Probe(number);
        self.at(self.now, Event::Ask(to, request, requester));
        assert!(self.run_until(10 * SECOND, |w| w.probes.contains_key(&number)));
        let (status, body) = &self.probes[&number];
        let stage = body["stage"].as_str().unwrap_or("").to_owned();
        (*status, stage)
    }

    fn ask_submit(&mut self, to: usize, id: &str, needs: &[&str]) -> (u16, String) {
        self.ask(to, "POST", "/work", &submission(id, 1, 5, needs))
    }

    fn told_cancelled(&self, id: &str) -> bool {
        self.jobs[id].cancel_told.is_some()
    }

    fn stage_on_record(&self, id: &str) -> String {
        let record = &self.store.data[&format!("st/job/{id}")].0;
        record["st"].as_str().unwrap().to_owned()
    }

    /// A controller that owns a part of a job.
    fn owner_of(&self, id: &str) -> usize {
        let record = &self.store.data[&format!("st/job/{id}")].0;
        let region = record["b"][0][2].as_str().unwrap();
        let owner = &self.store.data[&format!("st/region/{region}")].0["owner"];
        let names = self.settings.iter();
        let mut names = names.map(|s| s.name.as_str());
        names.position(|n| Some(n) == owner.as_str()).unwrap()
    }

    /// Whether every job of the day is over, as its user was told.
    fn all_over(&self) -> bool {
        self.left_open().is_empty()
    }
}

/// The four jobs accepted, the first running for `run` seconds.
fn four_jobs(seed: u64, run: u64) -> World {
    let mut w = World::empty(seed);
    let jobs: [(&str, u64, &[&str]); 4] = [
        (FIRST, run, &[]),
        (SECOND_JOB, 5, &[FIRST]),
        (THIRD, 5, &[SECOND_JOB]),
        (FOURTH, 5, &[FIRST, SECOND_JOB]),
    ];
    for (id, run, needs) in jobs {
        w.submit(id, 2, run, needs);
        assert!(w.run_until(20 * SECOND, |w| w.jobs[id].accepted), "{id}");
    }
    let running = |w: &World| w.jobs[FIRST].starts == 2;
    assert!(w.run_until(60 * SECOND, running), "seed {seed}: not begun");
    w
}

/// What happens right after the first job is cancelled.
type After = fn(&mut World);
/// The moment at which it does.
type Moment = fn(&World) -> bool;

const TOLD: Moment = |w| w.told_cancelled(FIRST);
const ON_RECORD: Moment = |w| w.stage_on_record(FIRST) == "c";

pub(super) const AFTER_A_CANCELLATION: [(&str, Moment, After); 4] = [
    ("nothing else", TOLD, |_| {}),
    ("the controller that confirmed it dies", TOLD, |w| {
        let by = w.cancelled_by;
        w.fault(Fault::Crash(by));
    }),
    ("the leader changes before it is tidied", ON_RECORD, |w| {
        let dependent_open = w.stage_on_record(SECOND_JOB) == "o";
        assert!(dependent_open, "tidied before the leader could change");
        for _ in 0..3 {
            w.fault(Fault::LeaderBlinks);
            w.run_for(700 * MILLISECOND);
        }
    }),
    ("the state service goes out", TOLD, |w| {
        w.fault(Fault::StoreDown(30 * SECOND));
    }),
];

/// Plays a cancellation of the first job; the rules that broke, or what was not so.
pub(super) fn cancellation(seed: u64, moment: Moment, after: After) -> Vec<String> {
    let mut w = four_jobs(seed, 100);
    w.cancel(FIRST);
    if !w.run_until(10 * SECOND, moment) {
        return vec!["never cancelled".into()];
    }
    after(&mut w);
    if !w.run_until(30 * SECOND, TOLD) {
        return vec!["never told".into()];
    }
    let told = w.jobs[FIRST].cancel_told.unwrap();
    w.run_for((told + CANCEL + 10 * SECOND).saturating_sub(w.now));
    let mut wrong = w.broken.clone();
    for id in [SECOND_JOB, THIRD, FOURTH] {
        if !w.told_cancelled(id) {
            wrong.push(format!("{id} isn't cancelled"));
        }
        if w.jobs[id].starts > 0 {
            wrong.push(format!("{id} was started"));
        }
    }
    if wrong.is_empty() {
        w.run_for(60 * SECOND);
        assert_eq!(w.stage_on_record(FOURTH), "c", "seed {seed}: never tidied");
    }
    wrong
}

/// What hangs on a cancelled job is cancelled in time, directly or through others,
/// whatever becomes of the controller that said so, the leader and the state service.
#[test]
fn a_cancellation_reaches_all_dependents() {
    for (name, moment, after) in AFTER_A_CANCELLATION {
        for seed in 1..=SEEDS {
            let wrong = cancellation(seed, moment, after);
            assert!(wrong.is_empty(), "{name}, seed {seed}: {wrong:?}");
        }
    }
}

/// The tests above notice if nothing is cancelled along, or nothing waits.
#[test]
fn pipelines_without_their_guards_go_wrong() {
    for (name, moment, after) in AFTER_A_CANCELLATION {
        disable(Some(Safeguard::UpstreamCancellation));
        let wrong = cancellation(1, moment, after);
        disable(None);
        assert!(!wrong.is_empty(), "{name}: not noticed");
    }
    disable(Some(Safeguard::DependencyCheck));
    let mut w = four_jobs(1, 30);
    w.run_for(20 * SECOND);
    disable(None);
    assert!(w.broken.iter().any(|b| b.contains("too_early")));
}

/// The last needed job ends while its region changes hands: what waited for it starts all
/// the same, and no sooner.
#[test]
pub(super) fn a_needed_job_ends_in_a_takeover() {
    let mut in_takeover = 0;
    for seed in 1..=SEEDS {
        let mut w = four_jobs(seed, 20);
        let ends = |w: &World| {
            let tasks = w.workers.values().flat_map(|m| &m.tasks);
            let of_first = tasks.filter(|(t, _)| t.starts_with(FIRST));
            of_first.map(|(_, t)| t.ends).max().unwrap()
        };
        let last_end = ends(&w);
        w.run_for(last_end.saturating_sub(w.now + 200 * MILLISECOND));
        let owner = w.owner_of(FIRST);
        let takings = w.seen.takings;
        w.fault(Fault::Crash(owner));
        assert_eq!(w.stage_on_record(FIRST), "o", "seed {seed}: over before");
        w.run_for(20 * SECOND);
        in_takeover += u32::from(w.seen.takings > takings);
        assert!(w.run_until(90 * SECOND, World::all_over), "seed {seed}");
        assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
        assert!(w.jobs.values().all(|j| j.done_told), "seed {seed}");
    }
    assert!(in_takeover > 0);
}

/// A job is cancelled and one that needs it is submitted in the same instant, at any
/// controllers: accepted, and cancelled in the end.
#[test]
pub(super) fn a_dependent_submitted_as_its_need_is_cancelled() {
    for seed in 1..=SEEDS {
        let mut w = four_jobs(seed, 100);
        w.cancel(FIRST);
        w.submit(LATE, 1, 5, &[FIRST]);
        let both = |w: &World| w.told_cancelled(FIRST) && w.told_cancelled(LATE);
        assert!(w.run_until(CANCEL, both), "seed {seed}");
        w.run_for(30 * SECOND);
        assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
        assert_eq!(w.jobs[LATE].starts, 0, "seed {seed}");
    }
}

/// A job is cancelled as its last task ends: if the answer is that it is done, what needs
/// it goes on, else that is cancelled too. Both answers must have been seen.
#[test]
pub(super) fn a_cancellation_that_loses_to_the_end() {
    let (mut lost, mut won) = (0, 0);
    for seed in 1..=6 * SEEDS {
        let mut w = four_jobs(seed, 20);
        let ended = |w: &World| w.jobs[FIRST].done.len() == 2;
        assert!(w.run_until(60 * SECOND, ended), "seed {seed}");
        w.run_for(seed % 8 * 4 * MILLISECOND);
        w.cancel(FIRST);
        assert!(w.run_until(90 * SECOND, World::all_over), "seed {seed}");
        w.run_for(10 * SECOND);
        assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
        let done = w.jobs[FIRST].done_told;
        for id in [SECOND_JOB, THIRD, FOURTH] {
            assert_eq!(w.jobs[id].done_told, done, "seed {seed}: {id}");
        }
        (lost, won) = if done {
            (lost + 1, won)
        } else {
            (lost, won + 1)
        };
    }
    assert!(lost > 0 && won > 0, "lost {lost}, won {won}");
}

/// Jobs that need others in any state, asked at every controller right away.
#[test]
pub(super) fn submissions_that_need_others() {
    let mut w = four_jobs(3, 20);
    let unknown = "req-777777";
    let mut next = 100;
    let mut submit = |w: &mut World, to: usize, needs: &[&str]| {
        next += 1;
        let id = format!("req-{next:06}");
        let (status, stage) = w.ask_submit(to, &id, needs);
        (id, status, stage)
    };
    for to in 0..3 {
        let (id, status, stage) = submit(&mut w, to, &[FIRST]);
        assert_eq!((status, &*stage), (201, "queued"), "open");
        // Accepted a moment ago by one controller, named at another.
        let (_, status, stage) = submit(&mut w, (to + 1) % 3, &[&id, FIRST]);
        assert_eq!((status, &*stage), (201, "queued"), "just accepted");
        let (id, status, _) = submit(&mut w, to, &[FIRST, unknown]);
        assert_eq!(status, 422, "never accepted");
        let path = format!("/work/{id}");
        assert_eq!(w.ask(to, "GET", &path, &json!({})).0, 404);
        let (_, status, _) = submit(&mut w, to, &["nonsense"]);
        assert_eq!(status, 400);
    }
    assert!(w.run_until(60 * SECOND, |w| w.jobs[FIRST].done_told));
    w.cancel(THIRD);
    assert!(w.run_until(60 * SECOND, |w| w.told_cancelled(THIRD)));
    for to in 0..3 {
        let (_, status, _) = submit(&mut w, to, &[FIRST]);
        assert_eq!(status, 201, "done");
        let (id, status, stage) = submit(&mut w, to, &[THIRD, FIRST]);
        assert_eq!((status, &*stage), (201, "cancelled"), "cancelled");
        let (id, status, stage) = submit(&mut w, (to + 1) % 3, &[&id]);
        assert_eq!((status, &*stage), (201, "cancelled"), "cancelled upstream");
        for at in 0..3 {
            let path = format!("/work/{id}");
            assert_eq!(w.ask(at, "GET", &path, &json!({})).1, "cancelled");
            let abort = format!("/work/{id}/abort");
            assert_eq!(w.ask(at, "POST", &abort, &json!({})).1, "cancelled");
            // A repeat, also one that names other jobs, is the known job.
            assert_eq!(w.ask_submit(at, &id, &[FIRST]).1, "cancelled");
        }
    }
    w.fault(Fault::StoreDown(20 * SECOND));
    w.run_for(4 * SECOND);
    for to in 0..3 {
        let (_, status, _) = submit(&mut w, to, &[unknown]);
        assert_eq!(status, 503, "can't be decided in an outage");
    }
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// A job becomes ready in an outage: it starts soon after that.
#[test]
pub(super) fn readiness_in_an_outage() {
    for seed in 1..=SEEDS {
        let mut w = four_jobs(seed, 20);
        w.run_for(8 * SECOND);
        w.fault(Fault::StoreDown(20 * SECOND));
        w.run_for(20 * SECOND);
        assert_eq!(w.jobs[FIRST].done.len(), 2, "seed {seed}: not ended in it");
        assert_eq!(w.jobs[SECOND_JOB].starts, 0, "seed {seed}");
        let started = |w: &World| w.jobs[SECOND_JOB].starts == 2;
        assert!(
            w.run_until(20 * SECOND, started),
            "seed {seed}: not started"
        );
        assert!(w.run_until(60 * SECOND, World::all_over), "seed {seed}");
        assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
    }
}

/// A job that waits takes nothing: no machine is rented for it, and its team may use its
/// whole limit meanwhile.
#[test]
pub(super) fn a_waiting_job_holds_nothing() {
    let machines = |with_waiting: bool| {
        let mut w = World::empty(5);
        w.submit(FIRST, 1, 60, &[]);
        assert!(w.run_until(20 * SECOND, |w| w.jobs[FIRST].accepted));
        if with_waiting {
            w.submit(SECOND_JOB, 8, 10, &[FIRST]);
        }
        w.run_for(30 * SECOND);
        let rented = w.history.len();
        // Seven tasks beside the first use up the limit of eight processors.
        w.submit(LATE, 7, 15, &[]);
        let running = |w: &World| w.jobs[LATE].starts == 7;
        assert!(w.run_until(30 * SECOND, running), "the limit isn't free");
        assert!(w.run_until(200 * SECOND, World::all_over));
        assert!(w.broken.is_empty(), "{:?}", w.broken);
        rented
    };
    assert_eq!(machines(true), machines(false));
}
