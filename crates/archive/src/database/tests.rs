//! Tests of the archive's file: damage to the file is reported and never returned as records.

use redb::{ReadableTable, TableDefinition};
use salttiller_testkit::TempFolder;
use serde_json::json;

use super::tables::METADATA;
use super::*;
use crate::encoding::{decode_entry, encode_entry};
use crate::model::{Change, ChangeBatch, Gap, GapCause, KeyedRecord, StoredRecord};
use crate::reconstruct::{reconstruct, PointInTime, Reconstruction, RecordMap};
use crate::verify::verify;

fn gap() -> Gap {
    Gap {
        cause: GapCause::FirstRecording,
        after_revision: 0,
        last_contact: 0,
        detected: 0,
    }
}

fn record(version: u64) -> StoredRecord {
    StoredRecord::new(version, &json!({"n": version}))
}

fn add_changes(after: u64, until: u64) -> Action {
    let changes = (after + 1..=until).map(|version| Change {
        version,
        key: format!("st/job/req-{}", version % 4),
        value: Some(record(version).value),
    });
    Action::AddChanges(ChangeBatch {
        after,
        until,
        received: 1,
        changes: changes.collect(),
    })
}

/// Returns the actions that record a snapshot at one revision.
fn snapshot_at(revision: u64, records: RecordMap) -> [Action; 3] {
    let records = records.into_iter();
    let keyed = records.map(|(key, record)| KeyedRecord { key, record });
    [
        Action::BeginSnapshot {
            first_page_revision: revision,
        },
        Action::AddRecords(keyed.collect()),
        Action::CompleteSnapshot { revision },
    ]
}

/// Creates an archive of one segment with two snapshots and three batches.
fn small_archive(folder: &TempFolder) -> Archive {
    let path = folder.file("small.archive");
    let archive = Archive::open_or_create(&path, "a").unwrap();
    let begin = Action::BeginSegment {
        gap: gap(),
        after: 4,
    };
    archive.apply(&[begin], 1).unwrap();
    let first = RecordMap::from([("st/job/req-1".to_owned(), record(1))]);
    archive.apply(&snapshot_at(4, first), 1).unwrap();
    let batches = [add_changes(4, 6), add_changes(6, 9), add_changes(9, 10)];
    archive.apply(&batches, 1).unwrap();
    let records = latest_records(&archive).unwrap().records;
    archive.apply(&snapshot_at(10, records), 2).unwrap();
    archive
}

fn latest_records(archive: &Archive) -> Result<Reconstruction, ArchiveError> {
    archive.read(|view| reconstruct(view, PointInTime::default()))
}

/// Damage to the archive of [`small_archive`], and the error that verification must report.
struct DamageCase {
    name: &'static str,
    damage: fn(&mut ArchiveTransaction<'_>),
    /// Part of the error message; empty if verification must succeed.
    expected: &'static str,
}

const DAMAGE_CASES: [DamageCase; 7] = [
    DamageCase {
        name: "no damage",
        damage: |_| {},
        expected: "",
    },
    DamageCase {
        name: "missing batch",
        damage: |t| drop(t.batches.remove((1, 1)).unwrap()),
        expected: "change batch 1/1 is missing",
    },
    DamageCase {
        name: "missing last batch",
        damage: |t| drop(t.batches.remove((1, 2)).unwrap()),
        expected: "change batch 1/2 is missing",
    },
    DamageCase {
        name: "batch replaced by another",
        damage: |t| {
            let first = t.batches.get((1, 0)).unwrap().unwrap().value().to_vec();
            t.batches.insert((1, 1), first.as_slice()).unwrap();
        },
        expected: "change batch 1/1 is out of order",
    },
    DamageCase {
        name: "missing record",
        damage: |t| drop(t.records.remove((2, "st/job/req-1")).unwrap()),
        expected: "snapshot 2 fails its digest",
    },
    DamageCase {
        name: "changed bytes of a record",
        damage: |t| {
            let key = (2, "st/job/req-1");
            t.records.insert(key, &b"12345"[..]).unwrap();
        },
        expected: "record st/job/req-1 of snapshot 2 fails its checksum",
    },
    DamageCase {
        name: "snapshot inconsistent with the changes",
        damage: |t| {
            let mut row = t.snapshots().unwrap().pop().unwrap();
            row.value.revision = None;
            t.put_snapshot(&row).unwrap();
            let wrong = StoredRecord::new(9, &json!("wrong"));
            t.put_record(row.id, "st/job/req-1", &wrong).unwrap();
            t.complete_snapshot(10).unwrap();
        },
        expected: "snapshot 2 differs",
    },
];

/// Guards against damage that verification does not report, and against damage that is reported for
/// an intact archive.
#[test]
fn verification_reports_missing_and_changed_entries() {
    for case in DAMAGE_CASES {
        let DamageCase {
            name,
            damage,
            expected,
        } = case;
        let folder = format!("damage-{}", name.replace(' ', "-"));
        let folder = TempFolder::new(&folder).unwrap();
        let archive = small_archive(&folder);
        archive
            .write(|transaction| {
                damage(transaction);
                Ok(())
            })
            .unwrap();
        match verify(&archive) {
            Ok(counts) => assert!(
                expected.is_empty() && counts.snapshots_from_changes == 1,
                "{name}: {counts:?}"
            ),
            Err(e) => assert!(
                !expected.is_empty() && e.to_string().contains(expected),
                "{name}: {e}"
            ),
        }
    }
}

/// Guards against a partly applied list of actions when a later action contradicts the archive.
#[test]
fn inconsistent_actions_are_rejected_atomically() {
    let folder = TempFolder::new("contradiction").unwrap();
    let archive = small_archive(&folder);
    let before = archive.read(ArchiveView::segments).unwrap();
    let actions = [Action::AdvanceTo(11), add_changes(12, 13)];
    let refused = archive.apply(&actions, 9);
    assert!(matches!(
        refused,
        Err(ArchiveError::Damaged {
            cause: Damage::NotContiguous {
                after: 12,
                expected: 11
            },
            ..
        })
    ));
    assert_eq!(archive.read(ArchiveView::segments).unwrap(), before);
}

/// Guards against a file of a later format that is opened, or reported as damaged.
#[test]
fn newer_format_is_reported() {
    let folder = TempFolder::new("newer").unwrap();
    let path = small_archive(&folder).path().to_path_buf();
    let database = Database::open(&path).unwrap();
    let transaction = database.begin_write().unwrap();
    let newer = encode_entry(&(FORMAT + 1));
    transaction
        .open_table(METADATA)
        .unwrap()
        .insert(file::FORMAT_KEY, newer.as_slice())
        .unwrap();
    transaction.commit().unwrap();
    drop(database);
    let error = Archive::open(&path, None).unwrap_err();
    assert!(
        matches!(error, ArchiveError::UnsupportedFormat { found: 2, .. }),
        "{error}"
    );
}

/// Inverts one bit of a nonzero byte. Most of a small file is empty space, where a changed bit
/// has no effect.
fn flip_bit(whole: &[u8], random: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = whole.to_vec();
    let used = loop {
        let place = random.usize(0..bytes.len());
        if bytes[place] != 0 {
            break place;
        }
    };
    bytes[used] ^= 1 << random.u8(0..8);
    bytes
}

/// Guards against wrong records or a panic when the file is truncated or has inverted bits.
#[test]
fn damaged_files_are_refused_or_read_correctly() {
    let folder = TempFolder::new("damaged").unwrap();
    let archive = small_archive(&folder);
    let records = latest_records(&archive).unwrap().records;
    let whole = std::fs::read(archive.path()).unwrap();
    let mut refused = 0;
    let cuts = (0..16).map(|i| whole[..whole.len() * i / 16].to_vec());
    let mut random = fastrand::Rng::with_seed(5);
    let flips = (0..120).map(|_| flip_bit(&whole, &mut random));
    for (case, bytes) in cuts.chain(flips).enumerate() {
        let damaged = folder.write("damaged.archive", &bytes).unwrap();
        let checked = Archive::open(&damaged, None).and_then(|archive| {
            verify(&archive)?;
            latest_records(&archive)
        });
        match checked {
            Ok(found) => assert_eq!(found.records, records, "case {case}"),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 16, "{refused}");
}

/// Guards against changes to the names and keys of the file's tables, which are part of the file
/// format.
#[test]
fn table_names_and_keys_are_unchanged() {
    let folder = TempFolder::new("names").unwrap();
    drop(small_archive(&folder));
    let db = redb::Database::open(folder.file("small.archive")).unwrap();
    let txn = db.begin_read().unwrap();
    let mut names: Vec<String> = txn
        .list_tables()
        .unwrap()
        .map(|t| redb::TableHandle::name(&t).to_owned())
        .collect();
    names.sort_unstable();
    let expected = [
        "change-batches",
        "image-records",
        "images",
        "salttiller-archive",
        "segments",
    ];
    assert_eq!(names, expected);
    let meta = TableDefinition::<&str, &[u8]>::new("salttiller-archive");
    let meta = txn.open_table(meta).unwrap();
    for (key, bytes) in [
        // Checksum, then the number 1.
        ("format", &[0x1b, 0xdf, 0x05, 0xa5, 0x01][..]),
        // Checksum, then the text "a".
        ("deployment", &[0x99, 0xce, 0x70, 0xcc, 0xa1, 0x61][..]),
    ] {
        assert_eq!(meta.get(key).unwrap().unwrap().value(), bytes, "{key}");
    }
    let numbers = |name| {
        let table = TableDefinition::<u64, &[u8]>::new(name);
        let table = txn.open_table(table).unwrap();
        let keys = table.iter().unwrap().map(|e| e.unwrap().0.value());
        keys.collect::<Vec<_>>()
    };
    assert_eq!(numbers("segments"), [1]);
    assert_eq!(numbers("images"), [1, 2]);
    let batches = TableDefinition::<(u64, u64), &[u8]>::new("change-batches");
    let batches = txn.open_table(batches).unwrap();
    let batches = batches.iter().unwrap().map(|e| e.unwrap().0.value());
    assert_eq!(batches.collect::<Vec<_>>(), [(1, 0), (1, 1), (1, 2)]);
    let records = TableDefinition::<(u64, &str), &[u8]>::new("image-records");
    let records = txn.open_table(records).unwrap();
    let first = records.get((1, "st/job/req-1")).unwrap().unwrap();
    let first = decode_entry::<StoredRecord>(first.value()).unwrap();
    assert_eq!(first, StoredRecord::new(1, &json!({"n": 1})));
}
