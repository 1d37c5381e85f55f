//! Tests that records of older versions stay readable.

use serde::Serialize;
use serde_json::Value;

use crate::key::Key;
use crate::record::{
    value, ActivationRecord, JobRecord, LeaderRecord, MachineBatchRecord, QuotaRecord, RegionRecord,
};

/// Records in the stored form of older versions, by commit. They were captured by a test that was
/// added to `src/registry/records.rs` of each version and printed `value` of each record. d88939c
/// does not know dependencies or the time of a job's end; 36efc7c is the production version.
const RECORDS: [(&str, &str); 2] = [
    (
        "d88939c",
        r#"
leader {"holder":"t-0","run":7}
region {"owner":"t-0","run":7,"token":9}
lot {"f":"g8","m":["m-000001",""],"r":"t-0","s":true,"z":"a"}
roll {"t-0-4-1":"3"}
quota {"t-0":[3000000,0]}
job {"b":[[0,2,"t-0"],[2,3,"t-2"]],"g":[9,null],"j":{"a":1,"c":"l","d":5,"f":true,"i":"img","k":"g","n":3,"o":true,"r":"3","t":"blue","u":2,"x":3,"y":["g8"],"z":"a"},"st":"o"}
done {"st":"d"}
cancelled {"j":{"a":1,"c":"l","d":5,"f":true,"i":"img","k":"g","n":3,"o":true,"r":"3","t":"blue","u":2,"x":3,"y":["g8"],"z":"a"},"st":"c"}
"#,
    ),
    (
        "36efc7c",
        r#"
leader {"holder":"t-0","run":7}
region {"owner":"t-0","run":7,"token":9}
lot {"f":"g8","m":["m-000001",""],"r":"t-0","s":true,"z":"a"}
roll {"t-0-4-1":"3"}
quota {"t-0":[3000000,0]}
job {"b":[[0,2,"t-0"],[2,3,"t-2"]],"g":[9,null],"j":{"a":1,"c":"l","d":5,"f":true,"i":"img","k":"g","n":3,"o":true,"r":"3","t":"blue","u":2,"w":["req-1","req-2"],"x":3,"y":["g8"],"z":"a"},"st":"o","t":4}
done {"st":"d","t":123}
cancelled {"j":{"a":1,"c":"l","d":5,"f":true,"i":"img","k":"g","n":3,"o":true,"r":"3","t":"blue","u":2,"w":["req-1","req-2"],"x":3,"y":["g8"],"z":"a"},"st":"c","t":4}
"#,
    ),
];

/// Decodes a record and encodes it again.
fn reencode(kind: &str, text: &str) -> Value {
    fn reencode_as<T: Serialize + serde::de::DeserializeOwned>(text: &str) -> Value {
        value(&serde_json::from_str::<T>(text).unwrap())
    }
    match kind {
        "leader" => reencode_as::<LeaderRecord>(text),
        "region" => reencode_as::<RegionRecord>(text),
        "lot" => reencode_as::<MachineBatchRecord>(text),
        "roll" => reencode_as::<ActivationRecord>(text),
        "quota" => reencode_as::<QuotaRecord>(text),
        _ => reencode_as::<JobRecord>(text),
    }
}

/// Guards against a record of an older version that this version can't read, and against fields
/// that this version drops or changes when it writes the record again, so that the older version
/// can't read the record any more.
#[test]
fn records_of_older_versions_are_rewritten_unchanged() {
    for (version, records) in RECORDS {
        let mut count = 0;
        for line in records.lines().filter(|l| !l.is_empty()) {
            let (kind, text) = line.split_once(' ').unwrap();
            let written: Value = serde_json::from_str(text).unwrap();
            assert_eq!(reencode(kind, text), written, "{version}: {kind}");
            count += 1;
        }
        assert_eq!(count, 8, "number of records of {version}");
    }
}

/// Guards against a new field that d88939c drops when it rewrites the record of a job. The two
/// fields that it drops cause no loss: only jobs with dependencies have the first, and no such job
/// is submitted before d88939c is gone; the second is the end time of a done job, and d88939c
/// never rewrites a done job.
#[test]
fn version_before_production_drops_only_dependencies_and_end_time() {
    let job = |records: &str, kind: &str| -> Value {
        let line = records.lines().find(|l| l.starts_with(kind)).unwrap();
        serde_json::from_str(line.split_once(' ').unwrap().1).unwrap()
    };
    let mut production = job(RECORDS[1].1, "job");
    production.as_object_mut().unwrap().remove("t");
    production["j"].as_object_mut().unwrap().remove("w");
    assert_eq!(production, job(RECORDS[0].1, "job"));
}

/// Guards against a job record without dependencies that differs from the form of versions before
/// 0.3. Records that were captured from those versions must be decoded and encoded unchanged.
#[test]
fn jobs_without_dependencies_of_older_versions_are_rewritten_unchanged() {
    for text in [
        r#"{"b":[[0,3,"t-1"]],"j":{"a":1,"c":"x","e":10000000,"i":"img","k":"a","m":1000000,"n":3,"r":"1","s":1000000,"t":"red","u":1000000},"st":"o"}"#,
        r#"{"b":[[0,2,"t-0"],[2,3,"t-2"]],"g":[9,null],"j":{"a":1,"c":"l","d":5,"f":true,"i":"img","k":"g","n":3,"o":true,"r":"3","t":"blue","u":2,"x":3,"y":["g8"],"z":"a"},"st":"o"}"#,
        r#"{"j":{"a":1,"c":"x","i":"img","k":"s","n":3,"r":"0","t":"red","u":500000},"st":"c"}"#,
        r#"{"st":"d"}"#,
    ] {
        let written: Value = serde_json::from_str(text).unwrap();
        assert_eq!(reencode("job", text), written, "{text}");
        assert!(Key::parse("st/job/req-1").is_some());
    }
}
