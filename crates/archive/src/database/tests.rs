//! Tests of the archive's file: damage is named, never passed on.

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

/// The actions of a snapshot at one revision.
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

/// An archive of one segment with two snapshots and three batches.
fn small(folder: &TempFolder) -> Archive {
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
    let records = newest(&archive).unwrap().records;
    archive.apply(&snapshot_at(10, records), 2).unwrap();
    archive
}

fn newest(archive: &Archive) -> Result<Reconstruction, ArchiveError> {
    archive.read(|view| reconstruct(view, PointInTime::default()))
}

/// Harm done to the archive of [`small`], and what verification says of it.
struct DamageCase {
    name: &'static str,
    harm: fn(&mut ArchiveTransaction<'_>),
    /// Part of the message; empty: nothing is wrong.
    expected: &'static str,
}

const DAMAGE_CASES: [DamageCase; 7] = [
    DamageCase {
        name: "nothing",
        harm: |_| {},
        expected: "",
    },
    DamageCase {
        name: "a batch is gone",
        harm: |t| drop(t.batches.remove((1, 1)).unwrap()),
        expected: "change batch 1/1 is missing",
    },
    DamageCase {
        name: "the last batch is gone",
        harm: |t| drop(t.batches.remove((1, 2)).unwrap()),
        expected: "change batch 1/2 is missing",
    },
    DamageCase {
        name: "a batch is another",
        harm: |t| {
            let first = t.batches.get((1, 0)).unwrap().unwrap().value().to_vec();
            t.batches.insert((1, 1), first.as_slice()).unwrap();
        },
        expected: "change batch 1/1 is out of order",
    },
    DamageCase {
        name: "a record is gone",
        harm: |t| drop(t.records.remove((2, "st/job/req-1")).unwrap()),
        expected: "snapshot 2 fails its digest",
    },
    DamageCase {
        name: "a record's bytes changed",
        harm: |t| {
            let key = (2, "st/job/req-1");
            t.records.insert(key, &b"12345"[..]).unwrap();
        },
        expected: "record st/job/req-1 of snapshot 2 fails its checksum",
    },
    DamageCase {
        name: "a snapshot isn't what the changes make",
        harm: |t| {
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

#[test]
fn what_is_missing_or_changed_is_found() {
    for case in DAMAGE_CASES {
        let DamageCase {
            name,
            harm,
            expected,
        } = case;
        let folder = format!("harm-{}", name.replace([' ', '\''], "-"));
        let folder = TempFolder::new(&folder).unwrap();
        let archive = small(&folder);
        archive
            .write(|transaction| {
                harm(transaction);
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

#[test]
fn actions_that_contradict_the_archive_are_refused_as_a_whole() {
    let folder = TempFolder::new("contradiction").unwrap();
    let archive = small(&folder);
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

#[test]
fn a_newer_format_is_named() {
    let folder = TempFolder::new("newer").unwrap();
    let path = small(&folder).path().to_path_buf();
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

/// Turns one bit of a byte that isn't zero: most of a small file is empty space.
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

/// Cut off anywhere, or with bits turned, the file is refused or read rightly; no panic.
#[test]
fn damaged_files_are_refused_or_read_rightly() {
    let folder = TempFolder::new("damaged").unwrap();
    let archive = small(&folder);
    let records = newest(&archive).unwrap().records;
    let whole = std::fs::read(archive.path()).unwrap();
    let mut refused = 0;
    let cuts = (0..16).map(|i| whole[..whole.len() * i / 16].to_vec());
    let mut random = fastrand::Rng::with_seed(5);
    let flips = (0..120).map(|_| flip_bit(&whole, &mut random));
    for (case, bytes) in cuts.chain(flips).enumerate() {
        let damaged = folder.write("damaged.archive", &bytes).unwrap();
        let checked = Archive::open(&damaged, None).and_then(|archive| {
            verify(&archive)?;
            newest(&archive)
        });
        match checked {
            Ok(found) => assert_eq!(found.records, records, "case {case}"),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 16, "{refused}");
}

/// The file's tables by their names, and the keys in them.
#[test]
fn tables_keep_their_names_and_keys() {
    let folder = TempFolder::new("names").unwrap();
    drop(small(&folder));
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
        // Checksum, then 1.
        ("format", &[0x1b, 0xdf, 0x05, 0xa5, 0x01][..]),
        // Checksum, then "a".
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
