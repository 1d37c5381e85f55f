//! Tests of keys, records and bitmaps.

use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

use crate::bitmap::{count_bits, decode_bitmap, encode_bitmap, CHUNK_SIZE};
use crate::history::Fingerprint;
use crate::key::Key;
use crate::model::{JobKind, JobSpec, MachineType, Priority, RangeSet};
use crate::record::*;

#[test]
fn keys_and_bitmaps_survive() {
    for k in [
        Key::Leader,
        Key::Token,
        Key::Region("a".into()),
        Key::Machine("m-1".into()),
        Key::MachineBatch("t-0-4-1".into()),
        Key::Activation("t-0".into(), 3),
        Key::Job("req-1".into()),
        Key::Progress("req-1".into(), "t-0".into(), 7),
        Key::Quota("x".into()),
        Key::MachineType("y".into()),
        Key::DataLossHold,
    ] {
        assert_eq!(Key::parse(&k.text()), Some(k));
    }
    for bad in ["x/leader", "st/else", "st/progress/a/b", "st/roll/a"] {
        assert_eq!(Key::parse(bad), None);
    }
    let mut set = RangeSet::from_range(5, 9);
    set.insert_range(CHUNK_SIZE - 1, CHUNK_SIZE + 3);
    let mut back = RangeSet::default();
    for c in 0..2 {
        let text = encode_bitmap(&set, c);
        assert!(text.len() <= CHUNK_SIZE as usize / 4);
        decode_bitmap(&text, c, &mut back);
    }
    assert_eq!(back, set);
}

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

/// Each kind of key as text, both ways; texts that are read but never written; and texts
/// that are refused.
#[test]
fn keys_keep_their_text() {
    let a = || "a".to_owned();
    for (key, text) in [
        (Key::Leader, "st/leader"),
        (Key::Token, "st/token"),
        (Key::Region("t-0".into()), "st/region/t-0"),
        (Key::Machine("m-1".into()), "st/machine/m-1"),
        (Key::MachineBatch("t-0-4-1".into()), "st/lot/t-0-4-1"),
        (Key::Activation("t-0".into(), 3), "st/roll/t-0/3"),
        (Key::Job("req-1".into()), "st/job/req-1"),
        (
            Key::Progress("req-1".into(), "t-0".into(), 7),
            "st/progress/req-1/t-0/7",
        ),
        (Key::Quota("red".into()), "st/quota/red"),
        (Key::MachineType("g8".into()), "st/flavor/g8"),
        (Key::DataLossHold, "st/hold"),
        // Names that hold a slash, or nothing.
        (Key::Region("a/b".into()), "st/region/a/b"),
        (
            Key::Activation("a/b".into(), u32::MAX),
            "st/roll/a/b/4294967295",
        ),
        (Key::Job(String::new()), "st/job/"),
    ] {
        assert_eq!(key.text(), text);
        assert_eq!(Key::parse(text), Some(key), "{text}");
    }
    for (text, key) in [
        ("st/leader/x", Key::Leader),
        ("st/token/", Key::Token),
        ("st/hold/x", Key::DataLossHold),
        ("st/job", Key::Job(String::new())),
        ("st/roll/a/007", Key::Activation(a(), 7)),
        ("st/roll/a/+7", Key::Activation(a(), 7)),
        ("st/progress/a/a/07", Key::Progress(a(), a(), 7)),
    ] {
        assert_eq!(Key::parse(text), Some(key), "{text}");
    }
    for text in [
        "",
        "st",
        "st/",
        "leader",
        "x/leader",
        "ST/leader",
        "st/Leader",
        "st//leader",
        "st/batch/t-0-4-1",
        "st/opened/t-0/3",
        "st/roll",
        "st/roll/",
        "st/roll/a",
        "st/roll/a/",
        "st/roll/a/x",
        "st/roll/a/-1",
        "st/roll/a/4294967296",
        "st/progress/a",
        "st/progress/a/b",
        "st/progress/a/b/",
        "st/progress/a/b/x",
        "st/progress/a/b/1/2",
        "st/progress/a/b/4294967296",
    ] {
        assert_eq!(Key::parse(text), None, "{text}");
    }
}

/// Finished tasks as the text of a progress record.
#[test]
fn progress_keeps_its_text() {
    let ranges = |ranges: &[(u32, u32)]| {
        let mut set = RangeSet::default();
        ranges.iter().for_each(|(s, e)| set.insert_range(*s, *e));
        set
    };
    for (done, chunk, text) in [
        (ranges(&[]), 0, ""),
        (ranges(&[(0, 1)]), 0, "1"),
        (ranges(&[(0, 4), (5, 9), (12, 13)]), 0, "fe11"),
        (ranges(&[(CHUNK_SIZE + 1, CHUNK_SIZE + 3)]), 1, "6"),
        (
            ranges(&[(2 * CHUNK_SIZE + 8, 2 * CHUNK_SIZE + 9)]),
            2,
            "001",
        ),
    ] {
        assert_eq!(encode_bitmap(&done, chunk), text);
        let mut read = RangeSet::default();
        decode_bitmap(text, chunk, &mut read);
        assert_eq!(
            (read, count_bits(text)),
            (done.clone(), done.len()),
            "{text}"
        );
    }
    // Odd characters count as empty, capitals as digits.
    for (text, done) in [
        ("x1", ranges(&[(4, 5)])),
        ("F g1", ranges(&[(0, 4), (12, 13)])),
    ] {
        let mut read = RangeSet::default();
        decode_bitmap(text, 0, &mut read);
        assert_eq!(read, done, "{text}");
    }
}

/// The record is written to this text, fields in this order, and the text is read as it.
#[track_caller]
fn keeps<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(record: &T, text: &str) {
    assert_eq!(serde_json::to_string(record).unwrap(), text);
    assert_eq!(
        value(record),
        serde_json::from_str::<Value>(text).unwrap(),
        "as a value"
    );
    reads(text, record);
}

/// The text is read as the record.
#[track_caller]
fn reads<T: DeserializeOwned + PartialEq + std::fmt::Debug>(text: &str, record: &T) {
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), record, "{text}");
    let value: Value = serde_json::from_str(text).unwrap();
    assert_eq!(&serde_json::from_value::<T>(value).unwrap(), record);
}

/// None of the texts is read.
#[track_caller]
fn refuses<T: DeserializeOwned + std::fmt::Debug>(texts: &[&str]) {
    for text in texts {
        let value: Value = serde_json::from_str(text).unwrap();
        let read = serde_json::from_value::<T>(value);
        assert!(read.is_err(), "{text}: {read:?}");
    }
}

#[test]
fn records_of_leader_and_regions_keep_their_text() {
    let leader = LeaderRecord {
        holder: "t-0".into(),
        run: 7,
    };
    keeps(&leader, r#"{"holder":"t-0","run":7}"#);
    reads(r#"{"run":7,"later":1,"holder":"t-0"}"#, &leader);
    refuses::<LeaderRecord>(&[
        "{}",
        r#"{"holder":"t-0"}"#,
        r#"{"run":7}"#,
        r#"{"holder":1,"run":7}"#,
        r#"{"holder":"t-0","run":-7}"#,
        r#"{"holder":"t-0","run":"7"}"#,
        "null",
        r#""""#,
    ]);
    let region = |held| RegionRecord {
        owner: "t-0".into(),
        run: 7,
        token: 9,
        data_loss_incident: held,
    };
    keeps(&region(None), r#"{"owner":"t-0","run":7,"token":9}"#);
    keeps(
        &region(Some(3)),
        r#"{"owner":"t-0","run":7,"token":9,"h":3}"#,
    );
    reads(
        r#"{"owner":"t-0","run":7,"token":9,"h":null}"#,
        &region(None),
    );
    reads(
        r#"{"owner":"t-0","run":7,"token":9,"held":3}"#,
        &region(None),
    );
    refuses::<RegionRecord>(&[
        r#"{"run":7,"token":9}"#,
        r#"{"owner":"t-0","token":9}"#,
        r#"{"owner":"t-0","run":7}"#,
        r#"{"owner":"t-0","run":7,"token":9.5}"#,
        r#"{"owner":"t-0","run":7,"token":9,"h":"x"}"#,
    ]);
    // The last token handed out, and progress, are plain values.
    keeps(&9u64, "9");
    keeps(&"fe1".to_owned(), r#""fe1""#);
}

#[test]
fn records_of_machines_keep_their_text() {
    let machine = |opened, lot| MachineRecord {
        region: "t-0".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        activated: opened,
        batch_position: lot,
    };
    let opened = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":true}"#;
    keeps(&machine(true, None), opened);
    let closed = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":false}"#;
    keeps(&machine(false, None), closed);
    // Without `opened`; and its place in a lot is not part of the text.
    let least = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true}"#;
    reads(least, &machine(false, None));
    let in_lot = machine(
        true,
        Some(BatchPosition {
            batch: Rc::from("t-0-4-1"),
            index: 3,
        }),
    );
    assert_eq!(serde_json::to_string(&in_lot).unwrap(), opened);
    refuses::<MachineRecord>(&[
        r#"{"flavor":"g8","zone":"a","spot":true}"#,
        r#"{"region":"t-0","zone":"a","spot":true}"#,
        r#"{"region":"t-0","flavor":"g8","spot":true}"#,
        r#"{"region":"t-0","flavor":"g8","zone":"a"}"#,
        r#"{"region":"t-0","flavor":"g8","zone":"a","spot":1}"#,
        r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":null}"#,
    ]);
    let batch = MachineBatchRecord {
        region: "t-0".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        machines: vec!["m-000001".into(), String::new()],
    };
    let text = r#"{"r":"t-0","f":"g8","z":"a","s":true,"m":["m-000001",""]}"#;
    keeps(&batch, text);
    refuses::<MachineBatchRecord>(&[
        r#"{"f":"g8","z":"a","s":true,"m":[]}"#,
        r#"{"r":"t-0","z":"a","s":true,"m":[]}"#,
        r#"{"r":"t-0","f":"g8","s":true,"m":[]}"#,
        r#"{"r":"t-0","f":"g8","z":"a","m":[]}"#,
        r#"{"r":"t-0","f":"g8","z":"a","s":true}"#,
        r#"{"r":"t-0","f":"g8","z":"a","s":true,"m":[null]}"#,
        r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"machines":[]}"#,
    ]);
    let opened = [("t-0-4-1", "3"), ("t-0-4-2", "")];
    let opened = opened.map(|(lot, bits)| (lot.to_owned(), bits.to_owned()));
    let opened = ActivationRecord {
        bitmaps: opened.into(),
    };
    keeps(&opened, r#"{"t-0-4-1":"3","t-0-4-2":""}"#);
    keeps(&ActivationRecord::default(), "{}");
    refuses::<ActivationRecord>(&["[]", "null", r#"{"t-0-4-1":3}"#, r#"{"t-0-4-1":null}"#]);
}

#[test]
fn records_of_quotas_and_types_keep_their_text() {
    let quota = [("t-0", (3_000_000, 0)), ("t-1", (1, 2_000_000))];
    let quota = QuotaRecord {
        shares: quota.map(|(r, share)| (r.to_owned(), share.into())).into(),
    };
    keeps(&quota, r#"{"t-0":[3000000,0],"t-1":[1,2000000]}"#);
    keeps(&QuotaRecord::default(), "{}");
    refuses::<QuotaRecord>(&[
        r#"{"t-0":3}"#,
        r#"{"t-0":[3]}"#,
        r#"{"t-0":[3,0,0]}"#,
        r#"{"t-0":[-3,0]}"#,
        r#"{"t-0":{"cpus":3,"gpus":0}}"#,
    ]);
    let machine_type = MachineType {
        name: "g8".into(),
        cpus: 1,
        gpus: 2,
        memory: 3,
        fetch_rate: 4,
        price: 5,
        spot_price: 6,
        boot_time: 7,
        zones: vec!["a".into(), "b".into()],
    };
    let text = r#"{"name":"g8","cpus":1,"gpus":2,"mem":3,"fetch":4,"price":5,"spot_price":6,"boot":7,"zones":["a","b"]}"#;
    keeps(&machine_type, text);
    refuses_without_any_field::<MachineType>(text);
    let change = |checksum| Fingerprint {
        version: 5,
        key: "st/hold".into(),
        checksum,
    };
    let text = r#"{"version":5,"key":"st/hold","checksum":4294967295}"#;
    keeps(&change(Some(u32::MAX)), text);
    keeps(
        &change(None),
        r#"{"version":5,"key":"st/hold","checksum":null}"#,
    );
    refuses::<Fingerprint>(&[
        r#"{"key":"st/hold","checksum":1}"#,
        r#"{"version":5,"checksum":1}"#,
        r#"{"version":5,"key":"st/hold","checksum":4294967296}"#,
    ]);
    // The checksum of a change is that of its value's bytes.
    let found = Fingerprint::new(5, "st/hold".into(), Some(b"123456789"));
    assert_eq!(found, change(Some(0xcbf4_3926)));
}

/// The text, an object, is refused without any one of its fields.
#[track_caller]
fn refuses_without_any_field<T: DeserializeOwned + std::fmt::Debug>(text: &str) {
    let whole: serde_json::Map<String, Value> = serde_json::from_str(text).unwrap();
    for field in whole.keys() {
        let mut part = whole.clone();
        part.remove(field);
        refuses::<T>(&[&Value::Object(part).to_string()]);
    }
}

#[test]
fn the_record_of_a_hold_keeps_its_text() {
    let hold = |accepted| DataLossHoldRecord {
        incident: 7,
        by: "t-0".into(),
        at: 1_000_000,
        seen: "the revision went back".into(),
        accepted,
    };
    let held = r#"{"incident":7,"by":"t-0","at":1000000,"seen":"the revision went back"}"#;
    keeps(&hold(None), held);
    refuses_without_any_field::<DataLossHoldRecord>(held);
    let accepted = AcceptedLoss {
        by: "yard".into(),
        at: 2_000_000,
        why: "a test".into(),
    };
    let text = r#"{"by":"yard","at":2000000,"why":"a test"}"#;
    keeps(&accepted, text);
    refuses_without_any_field::<AcceptedLoss>(text);
    let text = r#"{"incident":7,"by":"t-0","at":1000000,"seen":"the revision went back","accepted":{"by":"yard","at":2000000,"why":"a test"}}"#;
    keeps(&hold(Some(accepted)), text);
    let odd = r#"{"incident":7,"by":"t-0","at":1,"seen":"","accepted":true}"#;
    refuses::<DataLossHoldRecord>(&[odd]);
}

/// A submission that has every field, none with its default.
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

const FULL_SPEC: &str = r#"{"c":"train","t":"blue","k":"g","r":"2","n":3,"u":4,"g":5,"m":6,"y":["g8","h4"],"z":"a","o":true,"p":true,"f":true,"i":"img","s":7,"e":8,"x":9,"v":10,"d":11,"a":12,"w":["req-1","req-2"]}"#;

const LEAST_SPEC: &str = r#"{"c":"x","t":"red","k":"a","r":"0","n":1,"u":2,"i":"img","a":3}"#;

fn least_spec() -> JobSpec {
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

#[test]
fn submissions_on_record_keep_their_text() {
    keeps(&full_spec(), FULL_SPEC);
    keeps(&least_spec(), LEAST_SPEC);
    refuses_without_any_field::<JobSpec>(LEAST_SPEC);
    for (kind, text) in [
        (JobKind::Array, r#""a""#),
        (JobKind::Gang, r#""g""#),
        (JobKind::Service, r#""s""#),
    ] {
        keeps(&kind, text);
    }
    for (priority, text) in [
        (Priority::Low, r#""0""#),
        (Priority::Normal, r#""1""#),
        (Priority::High, r#""2""#),
        (Priority::Production, r#""3""#),
    ] {
        keeps(&priority, text);
    }
    refuses::<JobKind>(&[r#""Array""#, r#""x""#, r#""""#, "0", "null"]);
    refuses::<Priority>(&[r#""Low""#, r#""4""#, r#""""#, "0", "null"]);
    // Null for what may be left out, except where null means something else than nothing.
    let nulls = LEAST_SPEC.replace('}', r#","y":null,"z":null,"d":null}"#);
    reads(&nulls, &least_spec());
    for odd in [
        r#","g":null}"#,
        r#","o":null}"#,
        r#","w":null}"#,
        r#","y":"g8"}"#,
        r#","w":[1]}"#,
        r#","e":1.5}"#,
        r#","d":-1}"#,
    ] {
        refuses::<JobSpec>(&[&LEAST_SPEC.replace('}', odd)]);
    }
}

#[test]
fn records_of_jobs_keep_their_text() {
    for (stage, text) in [
        (JobStage::Open, r#""o""#),
        (JobStage::Done, r#""d""#),
        (JobStage::Cancelled, r#""c""#),
    ] {
        keeps(&stage, text);
    }
    refuses::<JobStage>(&[r#""Open""#, r#""x""#, r#""""#, "0", "null"]);
    keeps(&TaskRange::new(1, 2, "t-0"), r#"[1,2,"t-0"]"#);
    refuses::<TaskRange>(&[r#"[1,2]"#, r#"[1,2,3]"#, r#"[-1,2,"t-0"]"#]);
    keeps(&MultiRegionAttempt::from((9, None)), "[9,null]");
    keeps(
        &MultiRegionAttempt::from((9, Some("a".into()))),
        r#"[9,"a"]"#,
    );
    refuses::<MultiRegionAttempt>(&["[9]", r#"["a",9]"#, "9"]);

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
    keeps(&full, &text);
    let cancelled = format!(r#"{{"st":"c","j":{FULL_SPEC}}}"#);
    keeps(&full.cancelled(), &cancelled);
    let done = JobRecord {
        stage: JobStage::Done,
        spec: None,
        task_ranges: Vec::new(),
        multi_region: None,
        ended_at: None,
    };
    keeps(&done, r#"{"st":"d"}"#);
    reads(
        r#"{"st":"d","j":null,"g":null,"t":null,"b":[],"later":1}"#,
        &done,
    );
    // What the replica derived is not written: the submission is, as it came.
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
    refuses::<JobRecord>(&[
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
