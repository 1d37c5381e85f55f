//! Tests of jobs with dependencies, on the records of a replica.

use serde_json::{json, Value};

use super::MAX_STEPS_PER_CHANGE;
use crate::state_store::replica::Replica;
use salttiller_records::model::Priority;
use salttiller_records::record::{value, JobStage};

/// A replica to which tests apply changes of jobs' records as events of the state service.
#[derive(Default)]
struct Records {
    replica: Replica,
    revision: u64,
}

impl Records {
    fn put(&mut self, id: &str, record: Value) {
        self.revision += 1;
        self.replica
            .apply_event(&format!("st/job/{id}"), Some(record), self.revision);
        self.replica.complete_up_to(self.revision);
    }

    fn open(&mut self, id: &str, dependencies: &[&str], fields: Value) {
        let mut spec = json!({"c": "x", "t": "red", "k": "a", "r": "0", "n": 2, "u": 1, "i": "img",
            "e": 10_000_000, "a": 100_000_000, "w": dependencies});
        for (name, value) in fields.as_object().into_iter().flatten() {
            spec[name] = value.clone();
        }
        self.put(id, json!({"st": "o", "j": spec}));
    }

    fn done(&mut self, id: &str, at: u64) {
        self.put(id, json!({"st": "d", "t": at}));
    }

    fn cancelled(&mut self, id: &str) {
        self.put(id, json!({"st": "c"}));
    }

    /// Returns the states of jobs, one character each: `w` waiting, `r` ready, `c` cancelled,
    /// `d` done, `-` no record.
    fn states(&self, ids: &[&str]) -> String {
        let state = |id: &&str| match self.replica.stage(id) {
            None => '-',
            Some(JobStage::Done) => 'd',
            Some(JobStage::Cancelled) => 'c',
            Some(JobStage::Open) if self.replica.pipelines.waiting().contains(*id) => 'w',
            Some(JobStage::Open) if self.replica.unbound_jobs.contains(*id) => 'r',
            Some(JobStage::Open) => '?',
        };
        ids.iter().map(state).collect()
    }
}

/// Guards against controllers that derive different states from the same records because they
/// read them in a different order.
#[test]
fn dependents_wait_are_ready_or_cancelled() {
    // Jobs that end (d done, c cancelled), then the states of jobs 1 to 5. Jobs 2 and 3 depend
    // on 1, job 4 on 2 and 3, job 5 on 4.
    let cases: [(&[(&str, &str)], &str); 7] = [
        (&[], "rwwww"),
        (&[("1", "d")], "drrww"),
        (&[("1", "d"), ("2", "d")], "ddrww"),
        (&[("1", "d"), ("2", "d"), ("3", "d")], "dddrw"),
        (&[("1", "c")], "ccccc"),
        (&[("1", "d"), ("3", "c")], "drccc"),
        (&[("4", "c")], "rwwcc"),
    ];
    let jobs: [(&str, &[&str]); 5] = [
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
                let apply_events = |records: &mut Records| {
                    for (id, event) in events {
                        match *event {
                            "d" => records.done(id, 200_000_000),
                            _ => records.cancelled(id),
                        }
                    }
                };
                if events_first {
                    apply_events(&mut records);
                }
                let mut order: Vec<_> = jobs.iter().collect();
                if backwards {
                    order.reverse();
                }
                for (id, dependencies) in order {
                    if !(events_first && events.iter().any(|e| e.0 == *id)) {
                        records.open(id, dependencies, json!({}));
                    }
                }
                if !events_first {
                    apply_events(&mut records);
                }
                let case = format!(
                    "events {events:?}, backwards: {backwards}, events first: {events_first}"
                );
                assert_eq!(records.states(&["1", "2", "3", "4", "5"]), states, "{case}");
                // The indexes by team and region contain no waiting jobs.
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

/// Guards against a job that starts although one of its dependencies has no record. The job
/// waits and is listed among the jobs that wait for a missing dependency.
#[test]
fn a_job_waits_for_a_dependency_without_a_record() {
    let mut records = Records::default();
    records.open("2", &["1"], json!({}));
    assert_eq!(records.states(&["1", "2"]), "-w");
    assert_eq!(records.replica.waiting_for_missing_dependency(), ["2"]);
    records.done("1", 5);
    assert!(records.replica.waiting_for_missing_dependency().is_empty());
}

/// Guards against dependencies of an urgent job that keep their own low priority, and against
/// inherited values in the records: priority and deadline are inherited from dependents and
/// times count from readiness, but only the stored spec is written.
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
    // Deadline of 300 s from the submission, less 5 s for the last job, less 20 s for the second.
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
    // Job 3 is cancelled, so no job inherits from it.
    records.cancelled("3");
    let s = spec(&records, "2");
    assert_eq!((s.priority, s.deadline), (Priority::Low, None));
}

/// Guards against exponential or endless work: each job is visited once although many paths
/// lead to it, also in a cycle, which only a damaged store can contain.
#[test]
fn each_job_in_diamonds_and_cycles_is_visited_once() {
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

/// Returns a chain of jobs from `0` on, each of which depends on the one before it.
fn chain(length: usize) -> Records {
    let mut records = Records::default();
    records.open("0", &[], json!({}));
    for i in 1..length {
        records.open(&i.to_string(), &[&(i - 1).to_string()], json!({}));
    }
    records
}

/// Returns the number of records that the index reads for an event.
fn lookups(records: &mut Records, event: impl FnOnce(&mut Records)) -> u64 {
    let before = records.replica.pipelines.lookups();
    event(records);
    records.replica.pipelines.lookups() - before
}

/// Guards against unbounded work for one change, and against a propagation that stops halfway:
/// in a chain longer than the limit of a change, later calls continue in bounded steps until
/// the first job has inherited priority and deadline of the last.
#[test]
fn priority_propagates_along_a_long_chain_in_bounded_steps() {
    const LENGTH: usize = 3 * MAX_STEPS_PER_CHANGE;
    let mut records = chain(LENGTH);
    let last = LENGTH.to_string();
    let before = (LENGTH - 1).to_string();
    let urgent = json!({"r": "2", "e": 0, "d": 30_000_000_000u64});
    let first = lookups(&mut records, |records| {
        records.open(&last, &[&before], urgent);
    });
    let bound = 4 * MAX_STEPS_PER_CHANGE as u64;
    assert!(first <= bound, "{first} lookups, expected at most {bound}");
    let priority =
        |records: &Records, id: &str| records.replica.jobs[id].value.open_spec().unwrap().priority;
    assert_eq!(priority(&records, &before), Priority::High);
    assert_eq!(
        priority(&records, "0"),
        Priority::Low,
        "expected the first job not to be reached by one change"
    );
    let mut rounds = 0;
    while records.replica.has_unpropagated() {
        let count = lookups(&mut records, |records| {
            records.replica.continue_propagation();
        });
        assert!(count <= bound, "{count} lookups, expected at most {bound}");
        rounds += 1;
    }
    assert!(
        (2..=4).contains(&rounds),
        "{rounds} rounds, expected 2 to 4"
    );
    assert_eq!(priority(&records, "0"), Priority::High);
    let spec = records.replica.jobs["0"].value.open_spec().unwrap();
    // The deadline of the last job less the estimated run times, 10 s each, of the jobs between
    // the first and the last.
    let left = 30_000_000_000 - (LENGTH as u64 - 1) * 10_000_000;
    assert_eq!(spec.deadline, Some(left));
}

/// Guards against controllers that answer differently about the same job: cancelling the first
/// job of a long chain cancels the whole chain at once, with a few lookups per job.
#[test]
fn a_long_chain_is_cancelled_at_once() {
    const LENGTH: usize = 3 * MAX_STEPS_PER_CHANGE;
    let mut records = chain(LENGTH);
    let count = lookups(&mut records, |records| records.cancelled("0"));
    assert!(
        count <= 8 * LENGTH as u64,
        "{count} lookups, expected at most 8 per job"
    );
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

/// Guards against excessive work at the end of a job, with hundreds of dependents, hundreds of
/// dependencies or hundreds of steps: the number of lookups is proportional to the number of
/// direct dependents.
#[test]
fn lookups_at_the_end_of_a_job_are_bounded() {
    const MANY: usize = 400;
    let names: Vec<String> = (1..=MANY).map(|i| i.to_string()).collect();
    let mut fan_out = Records::default();
    fan_out.open("0", &[], json!({}));
    for id in &names {
        fan_out.open(id, &["0"], json!({}));
    }
    let count = lookups(&mut fan_out, |records| records.done("0", 200_000_000));
    assert!(
        count <= 8 * MANY as u64,
        "fan out: {count} lookups, expected at most 8 per job"
    );
    assert_eq!(fan_out.replica.unbound_jobs.len(), MANY);

    let mut fan_in = Records::default();
    for id in &names {
        fan_in.open(id, &[], json!({}));
    }
    let dependencies: Vec<&str> = names.iter().map(String::as_str).collect();
    fan_in.open("0", &dependencies, json!({}));
    for (i, id) in names.iter().enumerate() {
        assert_eq!(fan_in.states(&["0"]), "w", "{i} done");
        let count = lookups(&mut fan_in, |records| records.done(id, 200_000_000));
        assert!(
            count <= 8 * MANY as u64,
            "fan in: {count} lookups, expected at most 8 per job"
        );
    }
    assert_eq!(fan_in.states(&["0"]), "r");

    let mut steps = chain(MANY);
    for i in 0..MANY {
        let count = lookups(&mut steps, |records| {
            records.done(&i.to_string(), 200_000_000);
        });
        assert!(
            count <= 16,
            "step {i}: {count} lookups, expected at most 16"
        );
    }
}

/// Guards against a step that is measured against the deadline of the wrong job: the pipeline
/// ends with the nearest job with a deadline of its own on the most urgent path. A job that is
/// not a step of a pipeline has no pipeline end.
#[test]
fn a_pipeline_ends_with_the_nearest_deadline() {
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
