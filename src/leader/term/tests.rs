//! Tests of the term's identifiers.

use super::*;

/// Guards against reused identifiers and changed formats: names and attempt numbers share one
/// sequence, and other versions and the cloud read their formats.
#[test]
fn identifiers_are_issued_once() {
    let mut term = Term::new(431, 7);
    assert_eq!(term.next_unique_name("t-0"), "t-0-431-1");
    assert_eq!(term.next_attempt(), (1 << 62) + 431 * 1_048_576 + 2);
    assert_eq!(term.next_unique_name("t-0"), "t-0-431-3");
    assert_eq!(term.version(), 431);
    assert_eq!((term.age(7), term.age(10), term.age(0)), (0, 3, 0));
    let mut next_term = Term::new(432, 7);
    assert!(next_term.next_attempt() > term.next_attempt());
}
