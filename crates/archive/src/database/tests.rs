//! Tests of the archive's file: damage is named, never passed on.

use redb::ReadableTable;

use super::*;
use crate::form::{Change, ChangeBatch, Gap, GapCause, StoredRecord};
use crate::reconstruct::{at, Moment};
use crate::recorder::tests::Scratch;
use crate::verify::verify;
use serde_json::json;

const LAST: Moment = Moment {
    segment: None,
    revision: None,
};

/// An archive of one segment with two images and three batches.
fn small(scratch: &Scratch) -> Archive {
    let archive = Archive::open_or_create(&scratch.0, "a").unwrap();
    let gap = Gap {
        cause: GapCause::FirstRecording,
        after_revision: 0,
        last_contact: 0,
        noticed: 0,
    };
    let record = |version| StoredRecord::new(version, &json!({"n": version}));
    let batch = |after, until| {
        Action::AddChanges(ChangeBatch {
            after,
            until,
            received: 1,
            changes: (after + 1..=until)
                .map(|version| Change {
                    version,
                    key: format!("st/job/req-{}", version % 4),
                    value: Some(record(version).value),
                })
                .collect(),
        })
    };
    archive
        .apply(&[Action::BeginSegment { gap, after: 4 }], 1)
        .unwrap();
    let first = Action::AddRecords(vec![("st/job/req-1".into(), record(1))]);
    let steps = [
        Action::BeginImage { first_page: 4 },
        first,
        Action::CompleteImage { revision: 4 },
        batch(4, 6),
        batch(6, 9),
        batch(9, 10),
    ];
    archive.apply(&steps, 1).unwrap();
    let state = archive.read(|view| at(view, LAST)).unwrap().state;
    let steps = [
        Action::BeginImage { first_page: 10 },
        Action::AddRecords(state.into_iter().collect()),
        Action::CompleteImage { revision: 10 },
    ];
    archive.apply(&steps, 2).unwrap();
    archive
}

#[test]
fn what_is_missing_or_changed_is_found() {
    type Harm = fn(&mut Step<'_>);
    let cases: [(&str, Harm, &str); 7] = [
        ("nothing", |_| {}, ""),
        (
            "a batch is gone",
            |s| drop(s.batches.remove((1, 1)).unwrap()),
            "change batch 1/1 is missing",
        ),
        (
            "the last batch is gone",
            |s| drop(s.batches.remove((1, 2)).unwrap()),
            "change batch 1/2 is missing",
        ),
        (
            "a batch is another",
            |s| {
                let first = s.batches.get((1, 0)).unwrap().unwrap().value().to_vec();
                s.batches.insert((1, 1), first.as_slice()).unwrap();
            },
            "out of order",
        ),
        (
            "a record is gone",
            |s| drop(s.records.remove((2, "st/job/req-1")).unwrap()),
            "image 2 fails its digest",
        ),
        (
            "a record's bytes changed",
            |s| {
                s.records
                    .insert((2, "st/job/req-1"), &b"12345"[..])
                    .unwrap();
            },
            "record st/job/req-1 of image 2 fails its checksum",
        ),
        (
            "an image isn't what the changes make",
            |s| {
                let (id, mut image) = s.images().unwrap().pop().unwrap();
                image.revision = None;
                s.put_image(id, &image).unwrap();
                let wrong = StoredRecord::new(9, &json!("wrong"));
                s.put_record(id, "st/job/req-1", &wrong).unwrap();
                s.complete_image(10).unwrap();
            },
            "image 2 differs",
        ),
    ];
    for (name, harm, want) in cases {
        let scratch = Scratch::new(&format!("harm-{}", name.replace([' ', '\''], "-")));
        let archive = small(&scratch);
        archive
            .write(|step| {
                harm(step);
                Ok(())
            })
            .unwrap();
        match verify(&archive) {
            Ok(v) => assert!(
                want.is_empty() && v.images_from_changes == 1,
                "{name}: {v:?}"
            ),
            Err(e) => assert!(
                !want.is_empty() && e.to_string().contains(want),
                "{name}: {e}"
            ),
        }
    }
}

#[test]
fn a_step_that_contradicts_the_archive_is_refused_whole() {
    let scratch = Scratch::new("contradiction");
    let archive = small(&scratch);
    let before = archive.read(|view| view.segments()).unwrap();
    let batch = ChangeBatch {
        after: 12,
        until: 13,
        received: 1,
        changes: Vec::new(),
    };
    let steps = [Action::Reached(11), Action::AddChanges(batch)];
    let refused = archive.apply(&steps, 9);
    assert!(matches!(refused, Err(ArchiveError::Damaged { .. })));
    assert_eq!(archive.read(|view| view.segments()).unwrap(), before);
}

#[test]
fn a_newer_format_is_named() {
    let scratch = Scratch::new("newer");
    drop(small(&scratch));
    let db = Database::open(&scratch.0).unwrap();
    let txn = db.begin_write().unwrap();
    let newer = encode_entry(&(FORMAT + 1));
    txn.open_table(META)
        .unwrap()
        .insert(META_FORMAT, newer.as_slice())
        .unwrap();
    txn.commit().unwrap();
    drop(db);
    let error = Archive::open(&scratch.0, None).unwrap_err();
    assert!(
        matches!(error, ArchiveError::Newer { found: 2, .. }),
        "{error}"
    );
}

/// Cut off anywhere, or with bits turned, the file is refused or read rightly; no panic.
#[test]
fn damaged_files_are_refused_or_read_rightly() {
    let scratch = Scratch::new("whole");
    let state = small(&scratch).read(|view| at(view, LAST)).unwrap().state;
    let whole = std::fs::read(&scratch.0).unwrap();
    let damaged = Scratch::new("damaged");
    let mut refused = 0;
    let lengths = (0..16).map(|i| whole.len() * i / 16);
    let cuts = lengths.map(|n| whole[..n].to_vec());
    let mut random = fastrand::Rng::with_seed(5);
    let flips = (0..120).map(|_| {
        let mut bytes = whole.clone();
        // Most of a small file is empty space: turn bits where something is.
        let used: usize = loop {
            let at = random.usize(0..bytes.len());
            if bytes[at] != 0 {
                break at;
            }
        };
        bytes[used] ^= 1 << random.u8(0..8);
        bytes
    });
    for (case, bytes) in cuts.chain(flips).enumerate() {
        std::fs::write(&damaged.0, &bytes).unwrap();
        let checked = Archive::open(&damaged.0, None).and_then(|archive| {
            verify(&archive)?;
            archive.read(|view| at(view, LAST))
        });
        match checked {
            Ok(found) => assert_eq!(found.state, state, "case {case}"),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 16, "{refused}");
}

/// The file's tables by their names, and the keys in them.
#[test]
fn tables_keep_their_names_and_keys() {
    let scratch = Scratch::new("names");
    drop(small(&scratch));
    let db = Database::open(&scratch.0).unwrap();
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
