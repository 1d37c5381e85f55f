//! Tests of keys and bitmaps.

use crate::bitmap::{count_bits, decode_bitmap, encode_bitmap, CHUNK_SIZE};
use crate::key::Key;
use crate::model::RangeSet;

/// Guards against keys and bitmaps that change when they are encoded and decoded, and against
/// unknown keys that are accepted.
#[test]
fn keys_and_bitmaps_round_trip() {
    for key in [
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
        assert_eq!(Key::parse(&key.text()), Some(key));
    }
    for invalid in ["x/leader", "st/else", "st/progress/a/b", "st/roll/a"] {
        assert_eq!(Key::parse(invalid), None);
    }
    let mut set = RangeSet::from_range(5, 9);
    set.insert_range(CHUNK_SIZE - 1, CHUNK_SIZE + 3);
    let mut decoded = RangeSet::default();
    for chunk in 0..2 {
        let text = encode_bitmap(&set, chunk);
        assert!(text.len() <= CHUNK_SIZE as usize / 4);
        decode_bitmap(&text, chunk, &mut decoded);
    }
    assert_eq!(decoded, set);
}

/// Guards against a change of the text of a key. The cases are each kind of key, texts that are
/// parsed but never written, and texts that are rejected.
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
        // Names that contain a slash, and an empty name.
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

/// Guards against a change of the text of progress records, which contain the finished tasks of a
/// chunk.
#[test]
fn progress_keeps_its_text() {
    let ranges = |ranges: &[(u32, u32)]| {
        let mut set = RangeSet::default();
        for (first, end) in ranges {
            set.insert_range(*first, *end);
        }
        set
    };
    for (finished, chunk, text) in [
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
        assert_eq!(encode_bitmap(&finished, chunk), text);
        let mut decoded = RangeSet::default();
        decode_bitmap(text, chunk, &mut decoded);
        assert_eq!(
            (decoded, count_bits(text)),
            (finished.clone(), finished.len()),
            "{text}"
        );
    }
    // Characters that are not hexadecimal digits count as zero; upper-case digits are accepted.
    for (text, finished) in [
        ("x1", ranges(&[(4, 5)])),
        ("F g1", ranges(&[(0, 4), (12, 13)])),
    ] {
        let mut decoded = RangeSet::default();
        decode_bitmap(text, 0, &mut decoded);
        assert_eq!(decoded, finished, "{text}");
    }
}
