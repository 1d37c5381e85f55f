//! Tests of the records of owners, machines, quotas and holds.

use std::rc::Rc;

use super::{keeps, reads, refuses, refuses_without_any_field};
use crate::history::Fingerprint;
use crate::model::MachineType;
use crate::record::{
    AcceptedLoss, ActivationRecord, BatchPosition, DataLossHoldRecord, LeaderRecord,
    MachineBatchRecord, MachineRecord, QuotaRecord, RegionRecord,
};

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
    let machine = |activated, batch_position| MachineRecord {
        region: "t-0".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        activated,
        batch_position,
    };
    let opened = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":true}"#;
    keeps(&machine(true, None), opened);
    let not_activated = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true,"opened":false}"#;
    keeps(&machine(false, None), not_activated);
    // Without `opened`; and its position in a batch is not part of the text.
    let least = r#"{"region":"t-0","flavor":"g8","zone":"a","spot":true}"#;
    reads(least, &machine(false, None));
    let in_batch = machine(
        true,
        Some(BatchPosition {
            batch: Rc::from("t-0-4-1"),
            index: 3,
        }),
    );
    assert_eq!(serde_json::to_string(&in_batch).unwrap(), opened);
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
    let opened = opened.map(|(batch, bits)| (batch.to_owned(), bits.to_owned()));
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
