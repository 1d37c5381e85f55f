//! Tests of records that older versions wrote.

use serde::Serialize;
use serde_json::Value;

use crate::key::Key;
use crate::record::{
    value, ActivationRecord, JobRecord, LeaderRecord, MachineBatchRecord, QuotaRecord, RegionRecord,
};

/// Records as older versions wrote them: captured by a test that was added to their own
/// `src/registry/records.rs` and printed `value` of each. First d88939c, which knows no
/// needs and no time of an end, then production, 36efc7c.
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

/// Reads a record and writes it again.
fn rewritten(kind: &str, text: &str) -> Value {
    fn again<T: Serialize + serde::de::DeserializeOwned>(text: &str) -> Value {
        value(&serde_json::from_str::<T>(text).unwrap())
    }
    match kind {
        "leader" => again::<LeaderRecord>(text),
        "region" => again::<RegionRecord>(text),
        "lot" => again::<MachineBatchRecord>(text),
        "roll" => again::<ActivationRecord>(text),
        "quota" => again::<QuotaRecord>(text),
        _ => again::<JobRecord>(text),
    }
}

/// Whatever kind of record an older version wrote is read, and rewritten without a change:
/// nothing is dropped, and what this version writes is what they read.
#[test]
fn records_of_older_versions() {
    for (version, records) in RECORDS {
        let mut seen = 0;
        for line in records.lines().filter(|l| !l.is_empty()) {
            let (kind, text) = line.split_once(' ').unwrap();
            let written: Value = serde_json::from_str(text).unwrap();
            assert_eq!(rewritten(kind, text), written, "{version}: {kind}");
            seen += 1;
        }
        assert_eq!(seen, 8, "{version}");
    }
}

/// What d88939c drops when it rewrites a job's record is what only jobs that need others
/// have, and the time of a done job's end: it never rewrites a done job, and no job that
/// needs others is asked for before it is gone.
#[test]
fn what_the_version_before_production_drops() {
    let job = |records: &str, kind: &str| -> Value {
        let line = records.lines().find(|l| l.starts_with(kind)).unwrap();
        serde_json::from_str(line.split_once(' ').unwrap().1).unwrap()
    };
    let mut production = job(RECORDS[1].1, "job");
    production.as_object_mut().unwrap().remove("t");
    production["j"].as_object_mut().unwrap().remove("w");
    assert_eq!(production, job(RECORDS[0].1, "job"));
}

/// A record without needs is the same as versions before 0.3 wrote it, byte for byte,
/// and theirs, captured from them, are read and written back unchanged.
#[test]
fn jobs_without_needs_of_older_versions() {
    for text in [
        r#"{"b":[[0,3,"t-1"]],"j":{"a":1,"c":"x","e":10000000,"i":"img","k":"a","m":1000000,"n":3,"r":"1","s":1000000,"t":"red","u":1000000},"st":"o"}"#,
        r#"{"b":[[0,2,"t-0"],[2,3,"t-2"]],"g":[9,null],"j":{"a":1,"c":"l","d":5,"f":true,"i":"img","k":"g","n":3,"o":true,"r":"3","t":"blue","u":2,"x":3,"y":["g8"],"z":"a"},"st":"o"}"#,
        r#"{"j":{"a":1,"c":"x","i":"img","k":"s","n":3,"r":"0","t":"red","u":500000},"st":"c"}"#,
        r#"{"st":"d"}"#,
    ] {
        let v: Value = serde_json::from_str(text).unwrap();
        assert_eq!(rewritten("job", text), v, "{text}");
        assert!(Key::parse("st/job/req-1").is_some());
    }
}
