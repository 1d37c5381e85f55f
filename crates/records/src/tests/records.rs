//! Tests of the records of leaders, regions, machines, quotas, machine types and holds.

use std::rc::Rc;

use super::{assert_all_fields_required, assert_decodes, assert_keeps_text, assert_rejected};
use crate::history::Fingerprint;
use crate::model::MachineType;
use crate::record::{
    AcceptedLoss, ActivationRecord, BatchPosition, DataLossHoldRecord, LeaderRecord,
    MachineBatchRecord, MachineRecord, QuotaRecord, RegionRecord,
};

/// Guards against a change of the stored form of leader and region records. Unknown fields must be
/// ignored, because later versions may add some.
#[test]
fn records_of_leader_and_regions_keep_their_text() {
    let leader = LeaderRecord {
        holder: "t-0".into(),
        run: 7,
    };
    assert_keeps_text(&leader, r#"{"holder":"t-0","run":7}"#);
    assert_decodes(r#"{"run":7,"later":1,"holder":"t-0"}"#, &leader);
    assert_rejected::<LeaderRecord>(&[
        "{}",
        r#"{"holder":"t-0"}"#,
        r#"{"run":7}"#,
        r#"{"holder":1,"run":7}"#,
        r#"{"holder":"t-0","run":-7}"#,
        r#"{"holder":"t-0","run":"7"}"#,
        "null",
        r#""""#,
    ]);
    let region = |incident| RegionRecord {
        owner: "t-0".into(),
        run: 7,
        token: 9,
        data_loss_incident: incident,
    };
    assert_keeps_text(&region(None), r#"{"owner":"t-0","run":7,"token":9}"#);
    assert_keeps_text(
        &region(Some(3)),
        r#"{"owner":"t-0","run":7,"token":9,"h":3}"#,
    );
    assert_decodes(
        r#"{"owner":"t-0","run":7,"token":9,"h":null}"#,
        &region(None),
    );
    assert_decodes(
        r#"{"owner":"t-0","run":7,"token":9,"held":3}"#,
        &region(None),
    );
    assert_rejected::<RegionRecord>(&[
        r#"{"run":7,"token":9}"#,
        r#"{"owner":"t-0","token":9}"#,
        r#"{"owner":"t-0","run":7}"#,
        r#"{"owner":"t-0","run":7,"token":9.5}"#,
        r#"{"owner":"t-0","run":7,"token":9,"h":"x"}"#,
    ]);
    // The last issued token and the progress of a job are stored as plain values.
    assert_keeps_text(&9u64, "9");
    assert_keeps_text(&"fe1".to_owned(), r#""fe1""#);
}

/// Guards against a change of the stored form of machine, batch and activation records.
#[test]
fn records_of_machines_keep_their_text() {
    let machine = |activated, batch_position| MachineRecord {
        region: "t-0".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        activated,
        batch_position,
    };
    let activated = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":true}"#;
    assert_keeps_text(&machine(true, None), activated);
    let not_activated = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":false}"#;
    assert_keeps_text(&machine(false, None), not_activated);
    // `opened` is optional, and the position in a batch is not stored.
    let minimal = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true}"#;
    assert_decodes(minimal, &machine(false, None));
    let in_batch = machine(
        true,
        Some(BatchPosition {
            batch: Rc::from("t-0-4-1"),
            index: 3,
        }),
    );
    assert_eq!(serde_json::to_string(&in_batch).unwrap(), activated);
    assert_rejected::<MachineRecord>(&[
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
    assert_keeps_text(&batch, text);
    assert_rejected::<MachineBatchRecord>(&[
        r#"{"f":"g8","z":"a","s":true,"m":[]}"#,
        r#"{"r":"t-0","z":"a","s":true,"m":[]}"#,
        r#"{"r":"t-0","f":"g8","s":true,"m":[]}"#,
        r#"{"r":"t-0","f":"g8","z":"a","m":[]}"#,
        r#"{"r":"t-0","f":"g8","z":"a","s":true}"#,
        r#"{"r":"t-0","f":"g8","z":"a","s":true,"m":[null]}"#,
        r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"machines":[]}"#,
    ]);
    let bitmaps = [("t-0-4-1", "3"), ("t-0-4-2", "")];
    let bitmaps = bitmaps.map(|(batch, bitmap)| (batch.to_owned(), bitmap.to_owned()));
    let activation = ActivationRecord {
        bitmaps: bitmaps.into(),
    };
    assert_keeps_text(&activation, r#"{"t-0-4-1":"3","t-0-4-2":""}"#);
    assert_keeps_text(&ActivationRecord::default(), "{}");
    assert_rejected::<ActivationRecord>(&["[]", "null", r#"{"t-0-4-1":3}"#, r#"{"t-0-4-1":null}"#]);
}

/// Guards against a change of the stored form of quota records, machine types and fingerprints.
#[test]
fn records_of_quotas_and_machine_types_keep_their_text() {
    let quota = [("t-0", (3_000_000, 0)), ("t-1", (1, 2_000_000))];
    let quota = QuotaRecord {
        shares: quota.map(|(r, share)| (r.to_owned(), share.into())).into(),
    };
    assert_keeps_text(&quota, r#"{"t-0":[3000000,0],"t-1":[1,2000000]}"#);
    assert_keeps_text(&QuotaRecord::default(), "{}");
    assert_rejected::<QuotaRecord>(&[
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
    assert_keeps_text(&machine_type, text);
    assert_all_fields_required::<MachineType>(text);
    let change = |checksum| Fingerprint {
        version: 5,
        key: "st/hold".into(),
        checksum,
    };
    let text = r#"{"version":5,"key":"st/hold","checksum":4294967295}"#;
    assert_keeps_text(&change(Some(u32::MAX)), text);
    assert_keeps_text(
        &change(None),
        r#"{"version":5,"key":"st/hold","checksum":null}"#,
    );
    assert_rejected::<Fingerprint>(&[
        r#"{"key":"st/hold","checksum":1}"#,
        r#"{"version":5,"checksum":1}"#,
        r#"{"version":5,"key":"st/hold","checksum":4294967296}"#,
    ]);
    // The checksum of a fingerprint is that of the value's bytes.
    let fingerprint = Fingerprint::new(5, "st/hold".into(), Some(b"123456789"));
    assert_eq!(fingerprint, change(Some(0xcbf4_3926)));
}

/// Guards against a change of the stored form of the record of a data-loss hold.
#[test]
fn the_record_of_a_hold_keeps_its_text() {
    let hold = |accepted| DataLossHoldRecord {
        incident: 7,
        by: "t-0".into(),
        at: 1_000_000,
        seen: "the revision went back".into(),
        accepted,
    };
    let undecided = r#"{"incident":7,"by":"t-0","at":1000000,"seen":"the revision went back"}"#;
    assert_keeps_text(&hold(None), undecided);
    assert_all_fields_required::<DataLossHoldRecord>(undecided);
    let accepted = AcceptedLoss {
        by: "yard".into(),
        at: 2_000_000,
        why: "a test".into(),
    };
    let text = r#"{"by":"yard","at":2000000,"why":"a test"}"#;
    assert_keeps_text(&accepted, text);
    assert_all_fields_required::<AcceptedLoss>(text);
    let text = r#"{"incident":7,"by":"t-0","at":1000000,"seen":"the revision went back","accepted":{"by":"yard","at":2000000,"why":"a test"}}"#;
    assert_keeps_text(&hold(Some(accepted)), text);
    let invalid = r#"{"incident":7,"by":"t-0","at":1,"seen":"","accepted":true}"#;
    assert_rejected::<DataLossHoldRecord>(&[invalid]);
}
