//! Tests of registry::records.

use super::*;

#[test]
fn keys_and_bitmaps_survive() {
    for k in [
        Key::Leader,
        Key::Token,
        Key::Region("a".into()),
        Key::Machine("m-1".into()),
        Key::Lot("t-0-4-1".into()),
        Key::Roll("t-0".into(), 3),
        Key::Job("req-1".into()),
        Key::Progress("req-1".into(), "t-0".into(), 7),
        Key::Quota("x".into()),
        Key::Flavor("y".into()),
    ] {
        assert_eq!(Key::parse(&k.text()), Some(k));
    }
    for bad in ["x/leader", "st/else", "st/progress/a/b", "st/roll/a"] {
        assert_eq!(Key::parse(bad), None);
    }
    let mut set = RangeSet::from_range(5, 9);
    set.add(CHUNK - 1, CHUNK + 3);
    let mut back = RangeSet::default();
    for c in 0..2 {
        let text = bitmap(&set, c);
        assert!(text.len() <= CHUNK as usize / 4);
        read_bitmap(&text, c, &mut back);
    }
    assert_eq!(back, set);
}
