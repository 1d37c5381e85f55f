//! Tables of cases for jobs that need others, on records alone.

use serde_json::{json, Value};

use super::MAX_STEPS_PER_CHANGE;
use crate::state_store::replica::Replica;
use salttiller_records::model::Priority;
use salttiller_records::record::{value, JobStage};

/// A replica to which changes of jobs' records are applied, as events of the state service.
#[derive(Default)]
struct Records {
    replica: Replica,
    revision: u64,
}

impl Records {
    fn put(&mut self, id: &str, v: Value) {
        self.revision += 1;
        self.replica
            .apply_event(&format!("st/job/{id}"), Some(v), self.revision);
        self.replica.complete_up_to(self.revision);
    }

    fn open(&mut self, id: &str, needs: &[&str], more: Value) {
        let mut j = json!({"c": "x", "t": "red", "k": "a", "r": "0", "n": 2, "u": 1, "i": "img",
            "e": 10_000_000, "a": 100_000_000, "w": needs});
        for (k, v) in more.as_object().into_iter().flatten() {
            j[k] = v.clone();
        }
        self.put(id, json!({"st": "o", "j": j}));
    }

    fn done(&mut self, id: &str, at: u64) {
        self.put(id, json!({"st": "d", "t": at}));
    }

    fn cancelled(&mut self, id: &str) {
        self.put(id, json!({"st": "c"}));
    }

    /// The states of jobs, a letter each: w waiting, r ready, c cancelled, d done, - unknown.
    fn states(&self, ids: &[&str]) -> String {
        let one = |id: &&str| match self.replica.stage(id) {
            None => '-',
            Some(JobStage::Done) => 'd',
            Some(JobStage::Cancelled) => 'c',
            Some(JobStage::Open) if self.replica.pipelines.waiting().contains(*id) => 'w',
            Some(JobStage::Open) if self.replica.unbound_jobs.contains(*id) => 'r',
            Some(JobStage::Open) => '?',
        };
        ids.iter().map(one).collect()
    }
}

/// Whatever the order in which the records are read, all controllers derive the same states.
#[test]
fn dependents_wait_are_ready_or_cancelled() {
    // What happens, by job; then the states of jobs 1 to 5. 2 and 3 need 1, 4 both, 5 four.
    let cases: [(&[(&str, &str)], &str); 7] = [
        (&[], "rwwww"),
        (&[("1", "d")], "drrww"),
        (&[("1", "d"), ("2", "d")], "ddrww"),
        (&[("1", "d"), ("2", "d"), ("3", "d")], "dddrw"),
        (&[("1", "c")], "ccccc"),
        (&[("1", "d"), ("3", "c")], "drccc"),
        (&[("4", "c")], "rwwcc"),
    ];
    let needs: [(&str, &[&str]); 5] = [
        ("1", &[]),
        ("2", &["1"]),
        ("3", &["1"]),
        ("4", &["2", "3"]),
        ("5", &["4"]),
    ];
    for (events, states) in cases {
        for backwards in [false, true] {
            for events_first in [false, true] {
                let mut records = Records::default();
                let over = |records: &mut Records| {
                    for (id, what) in events {
                        match *what {
                            "d" => records.done(id, 200_000_000),
                            _ => records.cancelled(id),
                        }
                    }
                };
                if events_first {
                    over(&mut records);
                }
                let mut order: Vec<_> = needs.iter().collect();
                if backwards {
                    order.reverse();
                }
                for (id, n) in order {
                    if !(events_first && events.iter().any(|e| e.0 == *id)) {
                        records.open(id, n, json!({}));
                    }
                }
                if !events_first {
                    over(&mut records);
                }
                let case = format!("{events:?} backwards {backwards}, first {events_first}");
                assert_eq!(records.states(&["1", "2", "3", "4", "5"]), states, "{case}");
                // Waiting jobs are in no index by team or region.
                let ready = states.matches('r').count();
                assert_eq!(records.replica.ready_jobs.len(), ready, "{case}");
                assert_eq!(
                    records
                        .replica
                        .teams
                        .get("red")
                        .map_or(0, std::collections::BTreeMap::len),
                    ready,
                    "{case}"
                );
            }
        }
    }
}

/// A needed job with no record: it waits, and nothing starts.
#[test]
fn a_job_waits_for_one_without_a_record() {
    let mut records = Records::default();
    records.open("2", &["1"], json!({}));
    assert_eq!(records.states(&["1", "2"]), "-w");
    assert_eq!(records.replica.waiting_for_unknown(), ["2"]);
    records.done("1", 5);
    assert!(records.replica.waiting_for_unknown().is_empty());
}

/// Priority and deadline are inherited from dependents, times count from readiness, and none of it is ever
/// written to the records.
#[test]
fn priority_and_deadline_are_inherited_from_dependents() {
    let mut records = Records::default();
    records.open("1", &[], json!({}));
    records.open("2", &["1"], json!({"e": 20_000_000}));
    records.open(
        "3",
        &["2"],
        json!({"r": "2", "e": 5_000_000, "d": 300_000_000}),
    );
    let spec = |records: &Records, id: &str| records.replica.jobs[id].value.spec.clone().unwrap();
    // From the submission 300 s, less 5 for the last; less 20 more for the second.
    for (id, deadline) in [("1", 275_000_000), ("2", 295_000_000), ("3", 300_000_000)] {
        let s = spec(&records, id);
        assert_eq!(
            (s.priority, s.deadline),
            (Priority::High, Some(deadline)),
            "{id}"
        );
        let written = value(&records.replica.jobs[id].value);
        let own = if id == "3" { "2" } else { "0" };
        assert_eq!(written["j"]["r"], json!(own), "{id}: {written}");
        assert_eq!(written["j"]["a"], json!(100_000_000), "{id}");
        assert_eq!(written["j"]["d"].is_null(), id != "3", "{id}");
    }
    records.done("1", 150_000_000);
    let s = spec(&records, "2");
    assert_eq!(
        (s.submitted_at, s.deadline),
        (150_000_000, Some(245_000_000))
    );
    // The last is cancelled: no job inherits from it any more.
    records.cancelled("3");
    let s = spec(&records, "2");
    assert_eq!((s.priority, s.deadline), (Priority::Low, None));
}

/// Many paths to the same job, and a cycle as only a damaged store could hold: each job is
/// visited once.
#[test]
fn diamonds_and_cycles_are_followed_once() {
    let mut records = Records::default();
    records.open("0a", &[], json!({}));
    records.open("0b", &[], json!({}));
    for i in 1..60 {
        let before = [format!("{}a", i - 1), format!("{}b", i - 1)];
        let before = [&*before[0], &*before[1]];
        records.open(&format!("{i}a"), &before, json!({}));
        records.open(&format!("{i}b"), &before, json!({"r": "2"}));
    }
    records.open("x", &["y", "0a"], json!({}));
    records.open("y", &["x"], json!({}));
    assert_eq!(records.states(&["0a", "59a", "59b", "x", "y"]), "rwwww");
    records.cancelled("0a");
    assert_eq!(records.states(&["0b", "59a", "59b", "x", "y"]), "rcccc");
    assert_eq!(records.replica.pipelines.waiting().len(), 0);
}

/// A chain of jobs, each needing the one before it: `0` first.
fn chain(length: usize) -> Records {
    let mut records = Records::default();
    records.open("0", &[], json!({}));
    for i in 1..length {
        records.open(&i.to_string(), &[&(i - 1).to_string()], json!({}));
    }
    records
}

/// How many records an event makes the index read.
fn lookups(records: &mut Records, event: impl FnOnce(&mut Records)) -> u64 {
    let before = records.replica.pipelines.lookups();
    event(records);
    records.replica.pipelines.lookups() - before
}

/// A chain longer than one change is followed: the rest follows by bounded steps, and the
/// first job has the priority and the deadline of the last in the end.
#[test]
fn a_long_chain_gets_priority_by_bounded_steps() {
    const LENGTH: usize = 3 * MAX_STEPS_PER_CHANGE;
    let mut records = chain(LENGTH);
    let last = LENGTH.to_string();
    let before = (LENGTH - 1).to_string();
    let urgent = json!({"r": "2", "e": 0, "d": 30_000_000_000u64});
    let first = lookups(&mut records, |records| {
        records.open(&last, &[&before], urgent);
    });
    let bound = 4 * MAX_STEPS_PER_CHANGE as u64;
    assert!(first <= bound, "{first} lookups");
    let priority =
        |records: &Records, id: &str| records.replica.jobs[id].value.open_spec().unwrap().priority;
    assert_eq!(priority(&records, &before), Priority::High);
    assert_eq!(priority(&records, "0"), Priority::Low, "not yet");
    let mut rounds = 0;
    while records.replica.has_unpropagated() {
        let looked = lookups(&mut records, |records| {
            records.replica.continue_propagation();
        });
        assert!(looked <= bound, "{looked} lookups");
        rounds += 1;
    }
    assert!((2..=4).contains(&rounds), "{rounds}");
    assert_eq!(priority(&records, "0"), Priority::High);
    let spec = records.replica.jobs["0"].value.open_spec().unwrap();
    // The estimates, 10 s each, of all behind it but the last.
    let left = 30_000_000_000 - (LENGTH as u64 - 1) * 10_000_000;
    assert_eq!(spec.deadline, Some(left));
}

/// Cancelling the first of a long chain cancels all of it at once, each job read a few
/// times: if some were cancelled later, two controllers could answer differently.
#[test]
fn a_long_chain_is_cancelled_at_once() {
    const LENGTH: usize = 3 * MAX_STEPS_PER_CHANGE;
    let mut records = chain(LENGTH);
    let looked = lookups(&mut records, |records| records.cancelled("0"));
    assert!(looked <= 8 * LENGTH as u64, "{looked} lookups");
    for i in 1..LENGTH {
        assert_eq!(
            records.replica.stage(&i.to_string()),
            Some(JobStage::Cancelled),
            "{i}"
        );
    }
    assert_eq!(
        records.replica.pipelines.cancelled_upstream().len(),
        LENGTH - 1
    );
}

/// Hundreds of dependents of one job, hundreds of needs of one job, hundreds of steps: an
/// end costs in proportion to the jobs that depend on it directly.
#[test]
fn the_work_of_an_end_is_bounded() {
    const MANY: usize = 400;
    let names: Vec<String> = (1..=MANY).map(|i| i.to_string()).collect();
    let mut fan_out = Records::default();
    fan_out.open("0", &[], json!({}));
    for id in &names {
        fan_out.open(id, &["0"], json!({}));
    }
    let looked = lookups(&mut fan_out, |records| records.done("0", 200_000_000));
    assert!(looked <= 8 * MANY as u64, "fan out: {looked} lookups");
    assert_eq!(fan_out.replica.unbound_jobs.len(), MANY);

    let mut fan_in = Records::default();
    for id in &names {
        fan_in.open(id, &[], json!({}));
    }
    let needs: Vec<&str> = names.iter().map(String::as_str).collect();
    fan_in.open("0", &needs, json!({}));
    for (i, id) in names.iter().enumerate() {
        assert_eq!(fan_in.states(&["0"]), "w", "{i} done");
        let looked = lookups(&mut fan_in, |records| records.done(id, 200_000_000));
        assert!(looked <= 8 * MANY as u64, "fan in: {looked} lookups");
    }
    assert_eq!(fan_in.states(&["0"]), "r");

    let mut steps = chain(MANY);
    for i in 0..MANY {
        let looked = lookups(&mut steps, |records| {
            records.done(&i.to_string(), 200_000_000);
        });
        assert!(looked <= 16, "step {i}: {looked} lookups");
    }
}

/// The job whose deadline a step is judged by: the nearest with one of its own, on the
/// most urgent path; none for a job that is no step of a pipeline.
#[test]
fn pipelines_end_with_a_deadline() {
    let mut records = Records::default();
    records.open("1", &[], json!({}));
    records.open("2", &["1"], json!({}));
    records.open("3", &["2"], json!({"d": 400_000_000}));
    records.open("4", &["1"], json!({"d": 300_000_000}));
    records.open("alone", &[], json!({"d": 300_000_000}));
    records.open("x", &["alone"], json!({}));
    for (id, end) in [
        ("1", Some("4")),
        ("2", Some("3")),
        ("3", Some("3")),
        ("4", Some("4")),
        ("alone", None),
        ("x", None),
        ("unknown", None),
    ] {
        assert_eq!(records.replica.pipeline_end(id).map(|e| e.id), end, "{id}");
    }
    records.cancelled("4");
    assert_eq!(records.replica.pipeline_end("1").map(|e| e.id), Some("3"));
}
