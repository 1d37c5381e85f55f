//! Tests of the records of jobs.

use std::rc::Rc;

use super::{assert_all_fields_required, assert_decodes, assert_keeps_text, assert_rejected};
use crate::model::{JobKind, JobSpec, Priority};
use crate::record::{JobRecord, JobStage, MultiRegionAttempt, TaskRange};

/// Returns a spec whose fields all differ from their defaults.
fn full_spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "blue".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        task_count: 3,
        cpus: 4,
        gpus: 5,
        memory: 6,
        allowed_types: Some(vec!["g8".into(), "h4".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread_zones: true,
        allows_spot: true,
        image: "img".into(),
        image_size: 7,
        estimated_run_time: 8,
        checkpoint_interval: 9,
        checkpoint_time: 10,
        deadline: Some(11),
        submitted_at: 12,
        dependencies: vec!["req-1".into(), "req-2".into()],
        stored_spec: None,
    }
}

/// Stored form of [`full_spec`].
const FULL_SPEC: &str = r#"{"c":"train","t":"blue","k":"g","r":"2","n":3,"u":4,"g":5,"m":6,"y":["g8","h4"],"z":"a","o":true,"p":true,"f":true,"i":"img","s":7,"e":8,"x":9,"v":10,"d":11,"a":12,"w":["req-1","req-2"]}"#;

/// Stored form of [`minimal_spec`].
const MINIMAL_SPEC: &str = r#"{"c":"x","t":"red","k":"a","r":"0","n":1,"u":2,"i":"img","a":3}"#;

/// Returns a spec that has only the required fields.
fn minimal_spec() -> JobSpec {
    JobSpec {
        class: "x".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Low,
        task_count: 1,
        cpus: 2,
        gpus: 0,
        memory: 0,
        allowed_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        allows_spot: false,
        image: "img".into(),
        image_size: 0,
        estimated_run_time: 0,
        checkpoint_interval: 0,
        checkpoint_time: 0,
        deadline: None,
        submitted_at: 3,
        dependencies: Vec::new(),
        stored_spec: None,
    }
}

/// Guards against a change of the stored form of job specs, and against invalid specs that are
/// accepted.
#[test]
fn job_specs_keep_their_text() {
    assert_keeps_text(&full_spec(), FULL_SPEC);
    assert_keeps_text(&minimal_spec(), MINIMAL_SPEC);
    assert_all_fields_required::<JobSpec>(MINIMAL_SPEC);
    for (kind, text) in [
        (JobKind::Array, r#""a""#),
        (JobKind::Gang, r#""g""#),
        (JobKind::Service, r#""s""#),
    ] {
        assert_keeps_text(&kind, text);
    }
    for (priority, text) in [
        (Priority::Low, r#""0""#),
        (Priority::Normal, r#""1""#),
        (Priority::High, r#""2""#),
        (Priority::Production, r#""3""#),
    ] {
        assert_keeps_text(&priority, text);
    }
    assert_rejected::<JobKind>(&[r#""Array""#, r#""x""#, r#""""#, "0", "null"]);
    assert_rejected::<Priority>(&[r#""Low""#, r#""4""#, r#""""#, "0", "null"]);
    // Optional values may be null; other fields that may be omitted may not be null.
    let nulls = MINIMAL_SPEC.replace('}', r#","y":null,"z":null,"d":null}"#);
    assert_decodes(&nulls, &minimal_spec());
    for invalid in [
        r#","g":null}"#,
        r#","o":null}"#,
        r#","w":null}"#,
        r#","y":"g8"}"#,
        r#","w":[1]}"#,
        r#","e":1.5}"#,
        r#","d":-1}"#,
    ] {
        assert_rejected::<JobSpec>(&[&MINIMAL_SPEC.replace('}', invalid)]);
    }
}

/// Guards against a change of the stored form of job records, and against values that the replica
/// derives and that are stored instead of the spec as submitted.
#[test]
fn records_of_jobs_keep_their_text() {
    for (stage, text) in [
        (JobStage::Open, r#""o""#),
        (JobStage::Done, r#""d""#),
        (JobStage::Cancelled, r#""c""#),
    ] {
        assert_keeps_text(&stage, text);
    }
    assert_rejected::<JobStage>(&[r#""Open""#, r#""x""#, r#""""#, "0", "null"]);
    assert_keeps_text(&TaskRange::new(1, 2, "t-0"), r#"[1,2,"t-0"]"#);
    assert_rejected::<TaskRange>(&[r"[1,2]", r"[1,2,3]", r#"[-1,2,"t-0"]"#]);
    assert_keeps_text(&MultiRegionAttempt::from((9, None)), "[9,null]");
    assert_keeps_text(
        &MultiRegionAttempt::from((9, Some("a".into()))),
        r#"[9,"a"]"#,
    );
    assert_rejected::<MultiRegionAttempt>(&["[9]", r#"["a",9]"#, "9"]);

    let full = JobRecord {
        stage: JobStage::Open,
        spec: Some(Rc::new(full_spec())),
        task_ranges: vec![TaskRange::new(0, 2, "t-0"), TaskRange::new(2, 3, "t-2")],
        multi_region: Some(MultiRegionAttempt::from((9, Some("a".into())))),
        ended_at: Some(123),
    };
    let text = format!(
        r#"{{"st":"o","j":{FULL_SPEC},"b":[[0,2,"t-0"],[2,3,"t-2"]],"g":[9,"a"],"t":123}}"#
    );
    assert_keeps_text(&full, &text);
    let cancelled = format!(r#"{{"st":"c","j":{FULL_SPEC}}}"#);
    assert_keeps_text(&full.cancelled(), &cancelled);
    let done = JobRecord {
        stage: JobStage::Done,
        spec: None,
        task_ranges: Vec::new(),
        multi_region: None,
        ended_at: None,
    };
    assert_keeps_text(&done, r#"{"st":"d"}"#);
    assert_decodes(
        r#"{"st":"d","j":null,"g":null,"t":null,"b":[],"later":1}"#,
        &done,
    );
    // The spec is stored as submitted, without the values that the replica derived.
    let derived = JobSpec {
        priority: Priority::Production,
        stored_spec: Some(Rc::new(full_spec())),
        ..full_spec()
    };
    let derived = JobRecord {
        spec: Some(Rc::new(derived)),
        ..full
    };
    assert_eq!(serde_json::to_string(&derived).unwrap(), text);
    assert_rejected::<JobRecord>(&[
        "{}",
        "null",
        r#""o""#,
        r#"{"stage":"o"}"#,
        r#"{"st":"x"}"#,
        r#"{"st":"o","j":{}}"#,
        r#"{"st":"o","b":null}"#,
        r#"{"st":"o","b":[[0,2]]}"#,
        r#"{"st":"o","g":9}"#,
        r#"{"st":"d","t":-1}"#,
    ]);
}
