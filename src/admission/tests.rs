//! Tests of admission.

use super::limiter::MIN_LIMIT;
use super::*;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use salttiller_records::model::{JobKind, JobSpec, Priority};
use salttiller_records::record::JobStage;
use salttiller_records::units::{MILLISECOND, SECOND};
use serde_json::{json, Value};

/// Returns a valid submission. The field `later` is unknown and must be ignored.
fn valid_submission() -> Value {
    json!({"nameId":"req-000412","crop":"train","crew":"blue","furrow":"gang","rank":"urgent","sheaves":2,
        "cores":4.0,"cards":1,"memoryGb":6.5,"seed":"img-07","sizeGb":6.2,"plots":["g8"],"field":null,
        "samePlace":true,"spread":false,"fallow":true,"growthS":240.0,"stookS":30.0,"bindS":4.0,
        "harvestS":900.0,"later":[1]})
}

/// Guards against invalid submissions that are accepted, and against valid ones that are rejected:
/// values of a wrong type or out of range, missing fields, and bodies that are not a map.
#[test]
fn submissions_are_validated() {
    let encode = |submission: &Value| rmp_serde::to_vec(submission).unwrap();
    let (id, spec) = parse_submission(&encode(&valid_submission()), 7).unwrap();
    assert_eq!(id, "req-000412");
    assert_eq!(
        (spec.task_count, spec.cpus, spec.gpus, spec.submitted_at),
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
        let mut submission = valid_submission();
        submission[field] = value.clone();
        let error = parse_submission(&encode(&submission), 0).unwrap_err();
        // The error for a value of the right type contains the name of the field.
        if let SubmissionError::Field { field: named, .. } = error {
            assert_eq!(named.to_string(), field, "{value}");
        }
    }
    for field in ["plots", "field", "harvestS"] {
        let mut submission = valid_submission();
        submission.as_object_mut().unwrap().remove(field);
        assert!(
            parse_submission(&encode(&submission), 0).is_ok(),
            "expected {field} to be optional"
        );
    }
    for (trails, dependencies) in [
        (json!(null), vec![]),
        (json!([]), vec![]),
        (json!(["req-2", "req-1", "req-2"]), vec!["req-1", "req-2"]),
    ] {
        let mut submission = valid_submission();
        submission["trails"] = trails;
        assert_eq!(
            parse_submission(&encode(&submission), 0)
                .unwrap()
                .1
                .dependencies,
            dependencies
        );
    }
    let mut incomplete = valid_submission();
    incomplete.as_object_mut().unwrap().remove("stookS");
    assert!(parse_submission(&encode(&incomplete), 0).is_err());
    // An array in the order of the fields, an empty body, an invalid marker, JSON, and NaN.
    let array = json!(["req-1", "a", "b"]);
    for body in [encode(&array), vec![], vec![0xc1], b"{}".to_vec()] {
        assert!(parse_submission(&body, 0).is_err(), "{body:?}");
    }
    let mut nan = encode(&valid_submission());
    let at = nan.windows(5).position(|w| w == b"cores").unwrap() + 5;
    nan[at + 1..at + 9].copy_from_slice(&f64::NAN.to_be_bytes());
    let error = parse_submission(&nan, 0).unwrap_err();
    assert_eq!(error.to_string(), "cores: out of range");
}

/// Guards against jobs that are accepted although they can never run, and against jobs that are
/// rejected although they can.
#[test]
fn unsatisfiable_jobs_are_rejected() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut replica = Replica::default();
    let valid = parse_submission(&rmp_serde::to_vec(&valid_submission()).unwrap(), 0)
        .unwrap()
        .1;
    assert!(matches!(
        check_satisfiable(&valid, &replica, &settings),
        Err(AdmissionError::Undecided(_))
    ));
    let g8 = json!({"name":"g8","cpus":8_000_000u64,"gpus":1_000_000u64,"mem":64_000_000u64,"fetch":1,
        "price":1,"spot_price":1,"boot":1,"zones":["a","b"]});
    replica.apply_event("st/flavor/g8", Some(g8), 1);
    let check_with = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = valid.clone();
        change(&mut spec);
        check_satisfiable(&spec, &replica, &settings)
    };
    assert_eq!(check_with(&|_| {}), Ok(()));
    assert_eq!(check_with(&|spec| spec.zone = Some("b".into())), Ok(()));
    assert_eq!(
        check_with(&|spec| (spec.spread_zones, spec.task_count) = (true, 1)),
        Ok(())
    );
    assert_eq!(
        check_with(&|spec| (spec.spread_zones, spec.single_zone) = (true, false)),
        Ok(()),
        "expected a spread over two zones to be accepted"
    );
    // A list of dependencies that exceeds the size of a record is rejected with its maximum length.
    let check_with_dependencies = |n: usize| {
        check_with(&|spec| spec.dependencies = (0..n).map(|i| format!("req-{i:06}")).collect())
    };
    assert_eq!(check_with_dependencies(100), Ok(()));
    let Err(AdmissionError::TooManyDependencies { limit }) = check_with_dependencies(400) else {
        panic!("expected 400 dependencies to be rejected");
    };
    assert!(
        check_with_dependencies(limit).is_ok() && limit > 100,
        "expected a limit above 100 that is accepted: {limit}"
    );
    for (name, result) in [
        ("team", check_with(&|spec| spec.team = "green".into())),
        (
            "type",
            check_with(&|spec| spec.allowed_types = Some(vec!["x".into()])),
        ),
        (
            "no type",
            check_with(&|spec| spec.allowed_types = Some(vec![])),
        ),
        ("cpus", check_with(&|spec| spec.cpus = 9_000_000)),
        ("mem", check_with(&|spec| spec.memory = 65_000_000)),
        ("limit", check_with(&|spec| spec.task_count = 3)),
        ("zone", check_with(&|spec| spec.zone = Some("q".into()))),
        ("length", check_with(&|spec| spec.class = "x".repeat(5000))),
        (
            "spread in one zone",
            check_with(&|spec| spec.spread_zones = true),
        ),
        (
            "spread in a named zone",
            check_with(&|spec| {
                (spec.spread_zones, spec.single_zone, spec.zone) = (true, false, Some("b".into()));
            }),
        ),
    ] {
        assert!(
            matches!(result, Err(AdmissionError::Unsatisfiable(_))),
            "{name}: {result:?}"
        );
    }
}

/// Guards against a concurrency limit that stays high when the state service becomes slow, or that
/// stays low after it has recovered.
#[test]
fn concurrency_limit_adapts_to_latency() {
    let mut limiter = ConcurrencyLimiter::new(200);
    let initial = limiter.limit();
    let mut now = 0;
    let mut record = |limiter: &mut ConcurrencyLimiter, ms: u64, secs: u64, in_progress: usize| {
        for _ in 0..secs * 10 {
            now += SECOND / 10;
            limiter.admits(in_progress);
            limiter.record_latency(ms * MILLISECOND, now);
        }
    };
    record(&mut limiter, 8, 10, 40);
    let increased = limiter.limit();
    assert!(increased > initial);
    record(&mut limiter, 900, 10, 40);
    assert!(limiter.limit() < increased / 2);
    assert!(limiter.limit() >= MIN_LIMIT as usize);
    let decreased = limiter.limit();
    assert!(limiter.admits(decreased - 1) && !limiter.admits(decreased));
    record(&mut limiter, 8, 60, 40);
    assert!(limiter.limit() > decreased);
}

/// Guards against a change of the wire format of submissions. The fixtures contain a submission
/// with every field, one without the optional fields, one for each kind and priority, and
/// submissions that must be rejected. A truncated submission must be rejected, too.
#[test]
fn submissions_keep_their_bytes() {
    let fixtures = crate::fixtures::read(include_str!("fixtures/submissions.hex"));
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
    let minimal = JobSpec {
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
    let with_kind = |kind| JobSpec {
        kind,
        ..minimal.clone()
    };
    let with_priority = |priority| JobSpec {
        priority,
        ..minimal.clone()
    };
    let cases = [
        ("full", full),
        ("least", minimal.clone()),
        ("furrow batch", with_kind(JobKind::Array)),
        ("furrow gang", with_kind(JobKind::Gang)),
        ("furrow standing", with_kind(JobKind::Service)),
        ("rank low", with_priority(Priority::Low)),
        ("rank standard", with_priority(Priority::Normal)),
        ("rank urgent", with_priority(Priority::High)),
        ("rank critical", with_priority(Priority::Production)),
    ];
    for (name, spec) in cases {
        let bytes = &fixtures[name];
        let parsed = parse_submission(bytes, 7);
        assert_eq!(parsed.ok(), Some(("req-000412".to_owned(), spec)), "{name}");
        for length in 0..bytes.len() {
            let parsed = parse_submission(&bytes[..length], 7);
            assert!(parsed.is_err(), "{name} truncated to {length} bytes");
        }
    }
    let rejected = fixtures.iter().filter(|(n, _)| n.starts_with("refused "));
    assert_eq!(rejected.clone().count(), 18);
    for (name, bytes) in rejected {
        let parsed = parse_submission(bytes, 7);
        assert!(parsed.is_err(), "{name}");
    }
}

/// Guards against a change of the wire format of job states, which are the responses to
/// submissions, polls and cancellations.
#[test]
fn job_states_keep_their_bytes() {
    let fixtures = crate::fixtures::read(include_str!("fixtures/states.hex"));
    let with_counts = |done, running| Some(TaskCounts { done, running });
    let cases = [
        ("queued", "req-1", JobStage::Open, None),
        (
            "queued, counted",
            "req-1",
            JobStage::Open,
            with_counts(2, 0),
        ),
        (
            "running",
            "req-000412",
            JobStage::Open,
            with_counts(300, 70_000),
        ),
        ("done", "req-1", JobStage::Done, None),
        ("done, counted", "req-1", JobStage::Done, with_counts(3, 0)),
        ("cancelled", "req-1", JobStage::Cancelled, None),
        (
            "cancelled, counted",
            "req-1",
            JobStage::Cancelled,
            with_counts(1, 0),
        ),
    ];
    assert_eq!(fixtures.len(), cases.len());
    for (name, id, stage, counts) in cases {
        assert_eq!(
            encode_job_state(id, stage, counts),
            fixtures[name],
            "{name}"
        );
    }
}
