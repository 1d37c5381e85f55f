//! Tests of admission.

use super::limiter::MIN_LIMIT;
use super::*;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use salttiller_records::model::{JobKind, JobSpec, Priority};
use salttiller_records::record::JobStage;
use salttiller_records::units::{MILLISECOND, SECOND};
use serde_json::{json, Value};

fn good() -> Value {
    json!({"nameId":"req-000412","crop":"train","crew":"blue","furrow":"gang","rank":"urgent","sheaves":2,
        "cores":4.0,"cards":1,"memoryGb":6.5,"seed":"img-07","sizeGb":6.2,"plots":["g8"],"field":null,
        "samePlace":true,"spread":false,"fallow":true,"growthS":240.0,"stookS":30.0,"bindS":4.0,
        "harvestS":900.0,"later":[1]})
}

#[test]
fn submissions_are_validated() {
    let bytes = |v: &Value| rmp_serde::to_vec(v).unwrap();
    let (id, s) = parse_submission(&bytes(&good()), 7).unwrap();
    assert_eq!(id, "req-000412");
    assert_eq!(
        (s.task_count, s.cpus, s.gpus, s.submitted_at),
        (2, 4_000_000, 1_000_000, 7)
    );
    let mut cases: Vec<(&str, Value)> = vec![
        ("nameId", json!("x-1")),
        ("nameId", json!(7)),
        ("furrow", json!("heap")),
        ("rank", json!("normal")),
        ("sheaves", json!(0)),
        ("sheaves", json!(-1)),
        ("sheaves", json!(100_001)),
        ("sheaves", json!(2.5)),
        ("cores", json!(-1.0)),
        ("cores", json!(0.0)),
        ("cores", json!("4")),
        ("memoryGb", json!(-0.5)),
        ("samePlace", json!(1)),
        ("growthS", json!(-3)),
        ("plots", json!("g8")),
        ("harvestS", json!(-1)),
        ("seed", json!(null)),
        ("trails", json!("req-1")),
        ("trails", json!([7])),
        ("trails", json!(["x-1"])),
        ("trails", json!(["req-000001", "req-000412"])),
    ];
    for field in ["nameId", "crew", "sheaves", "cores", "fallow", "bindS"] {
        cases.push((field, Value::Null));
    }
    for (field, value) in cases {
        let mut v = good();
        v[field] = value.clone();
        let error = parse_submission(&bytes(&v), 0).unwrap_err();
        // A value of the right type is refused by the name of its field.
        if let SubmissionError::Field { field: named, .. } = error {
            assert_eq!(named.to_string(), field, "{value}");
        }
    }
    for field in ["plots", "field", "harvestS"] {
        let mut v = good();
        v.as_object_mut().unwrap().remove(field);
        assert!(
            parse_submission(&bytes(&v), 0).is_ok(),
            "{field} may be left out"
        );
    }
    for (trails, needs) in [
        (json!(null), vec![]),
        (json!([]), vec![]),
        (json!(["req-2", "req-1", "req-2"]), vec!["req-1", "req-2"]),
    ] {
        let mut v = good();
        v["trails"] = trails;
        assert_eq!(
            parse_submission(&bytes(&v), 0).unwrap().1.dependencies,
            needs
        );
    }
    let mut missing = good();
    missing.as_object_mut().unwrap().remove("stookS");
    assert!(parse_submission(&bytes(&missing), 0).is_err());
    // A list in the fields' order, plain nonsense, and NaN.
    let list = json!(["req-1", "a", "b"]);
    for body in [bytes(&list), vec![], vec![0xc1], b"{}".to_vec()] {
        assert!(parse_submission(&body, 0).is_err(), "{body:?}");
    }
    let mut nan = bytes(&good());
    let at = nan.windows(5).position(|w| w == b"cores").unwrap() + 5;
    nan[at + 1..at + 9].copy_from_slice(&f64::NAN.to_be_bytes());
    let error = parse_submission(&nan, 0).unwrap_err();
    assert_eq!(error.to_string(), "cores: out of range");
}

#[test]
fn unsatisfiable_jobs_are_refused() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut r = Replica::default();
    let base = parse_submission(&rmp_serde::to_vec(&good()).unwrap(), 0)
        .unwrap()
        .1;
    assert!(matches!(
        check_satisfiable(&base, &r, &settings),
        Err(AdmissionError::Undecided(_))
    ));
    let f = json!({"name":"g8","cpus":8_000_000u64,"gpus":1_000_000u64,"mem":64_000_000u64,"fetch":1,
        "price":1,"spot_price":1,"boot":1,"zones":["a","b"]});
    r.apply_event("st/flavor/g8", Some(f), 1);
    let with = |change: &dyn Fn(&mut JobSpec)| {
        let mut s = base.clone();
        change(&mut s);
        check_satisfiable(&s, &r, &settings)
    };
    assert_eq!(with(&|_| {}), Ok(()));
    assert_eq!(with(&|s| s.zone = Some("b".into())), Ok(()));
    assert_eq!(
        with(&|s| (s.spread_zones, s.task_count) = (true, 1)),
        Ok(())
    );
    assert_eq!(
        with(&|s| (s.spread_zones, s.single_zone) = (true, false)),
        Ok(()),
        "two zones"
    );
    // A list that no record holds: 400, with the bound.
    let many =
        |n: usize| with(&|s| s.dependencies = (0..n).map(|i| format!("req-{i:06}")).collect());
    assert_eq!(many(100), Ok(()));
    let Err(AdmissionError::TooManyDependencies { limit: bound }) = many(400) else {
        panic!("taken");
    };
    assert!(many(bound).is_ok() && bound > 100, "{bound}");
    for (what, res) in [
        ("team", with(&|s| s.team = "green".into())),
        ("type", with(&|s| s.allowed_types = Some(vec!["x".into()]))),
        ("no type", with(&|s| s.allowed_types = Some(vec![]))),
        ("cpus", with(&|s| s.cpus = 9_000_000)),
        ("mem", with(&|s| s.memory = 65_000_000)),
        ("limit", with(&|s| s.task_count = 3)),
        ("zone", with(&|s| s.zone = Some("q".into()))),
        ("length", with(&|s| s.class = "x".repeat(5000))),
        ("spread in one zone", with(&|s| s.spread_zones = true)),
        (
            "spread in a named zone",
            with(&|s| {
                (s.spread_zones, s.single_zone, s.zone) = (true, false, Some("b".into()));
            }),
        ),
    ] {
        assert!(
            matches!(res, Err(AdmissionError::Unsatisfiable(_))),
            "{what}: {res:?}"
        );
    }
}

#[test]
fn the_limit_follows_latency() {
    let mut l = ConcurrencyLimiter::new(200);
    let start = l.limit();
    let mut now = 0;
    let mut feed = |l: &mut ConcurrencyLimiter, ms: u64, secs: u64, busy: usize| {
        for _ in 0..secs * 10 {
            now += SECOND / 10;
            l.admits(busy);
            l.record_latency(ms * MILLISECOND, now);
        }
    };
    feed(&mut l, 8, 10, 40);
    let grown = l.limit();
    assert!(grown > start);
    feed(&mut l, 900, 10, 40);
    assert!(l.limit() < grown / 2);
    assert!(l.limit() >= MIN_LIMIT as usize);
    let small = l.limit();
    assert!(l.admits(small - 1) && !l.admits(small));
    feed(&mut l, 8, 60, 40);
    assert!(l.limit() > small);
}

/// Submissions as bytes: every field, what may be left out, every kind and priority, and
/// what is refused.
#[test]
fn submissions_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/submissions.hex"));
    let full = JobSpec {
        class: "train".into(),
        team: "blue".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        task_count: 300,
        cpus: 4_500_000,
        gpus: 1_000_000,
        memory: 6_500_000,
        allowed_types: Some(vec!["g8".into(), "h4".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread_zones: true,
        allows_spot: true,
        image: "img-07".into(),
        image_size: 6_250_000,
        estimated_run_time: 240_000_000,
        checkpoint_interval: 30_000_000,
        checkpoint_time: 4_500_000,
        deadline: Some(900_000_000),
        submitted_at: 7,
        dependencies: vec!["req-1".into(), "req-2".into()],
        stored_spec: None,
    };
    let least = JobSpec {
        gpus: 0,
        allowed_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        allows_spot: false,
        deadline: None,
        dependencies: Vec::new(),
        ..full.clone()
    };
    let kind = |kind| JobSpec {
        kind,
        ..least.clone()
    };
    let priority = |priority| JobSpec {
        priority,
        ..least.clone()
    };
    let cases = [
        ("full", full),
        ("least", least.clone()),
        ("furrow batch", kind(JobKind::Array)),
        ("furrow gang", kind(JobKind::Gang)),
        ("furrow standing", kind(JobKind::Service)),
        ("rank low", priority(Priority::Low)),
        ("rank standard", priority(Priority::Normal)),
        ("rank urgent", priority(Priority::High)),
        ("rank critical", priority(Priority::Production)),
    ];
    for (name, spec) in cases {
        let bytes = &files[name];
        let read = parse_submission(bytes, 7);
        assert_eq!(read.ok(), Some(("req-000412".to_owned(), spec)), "{name}");
        for length in 0..bytes.len() {
            let read = parse_submission(&bytes[..length], 7);
            assert!(read.is_err(), "{name} cut to {length}");
        }
    }
    let refused = files.iter().filter(|(n, _)| n.starts_with("refused "));
    assert_eq!(refused.clone().count(), 18);
    for (name, bytes) in refused {
        let read = parse_submission(bytes, 7);
        assert!(read.is_err(), "{name}");
    }
}

/// Job states as bytes, as submissions, polls and cancellations are answered.
#[test]
fn job_states_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/states.hex"));
    let counted = |done, running| Some(TaskCounts { done, running });
    let cases = [
        ("queued", "req-1", JobStage::Open, None),
        ("queued, counted", "req-1", JobStage::Open, counted(2, 0)),
        (
            "running",
            "req-000412",
            JobStage::Open,
            counted(300, 70_000),
        ),
        ("done", "req-1", JobStage::Done, None),
        ("done, counted", "req-1", JobStage::Done, counted(3, 0)),
        ("cancelled", "req-1", JobStage::Cancelled, None),
        (
            "cancelled, counted",
            "req-1",
            JobStage::Cancelled,
            counted(1, 0),
        ),
    ];
    assert_eq!(files.len(), cases.len());
    for (name, id, stage, counts) in cases {
        assert_eq!(encode_job_state(id, stage, counts), files[name], "{name}");
    }
}
