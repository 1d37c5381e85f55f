//! Tests of registry::replica.

use super::*;
use serde_json::json;

/// An event that is older than what we wrote ourselves must not undo it:
/// neither a change nor a deletion.
#[test]
fn late_events_do_not_undo() {
    let mut r = Replica::default();
    let m = |region: &str| json!({"region": region, "flavor": "f", "zone": "z", "spot": false});
    assert!(r.apply_event("st/machine/m-1", Some(m("a")), 5).is_some());
    r.complete_up_to(5);
    let key = Key::Machine("m-1".into());
    r.apply_own(&key, Some(m("b")), 9);
    assert!(r.apply_event("st/machine/m-1", Some(m("c")), 7).is_none());
    assert_eq!(r.machines["m-1"].value.region, "b");
    r.apply_own(&key, None, 12);
    assert!(r.apply_event("st/machine/m-1", Some(m("c")), 10).is_none());
    assert!(r.machines.is_empty());
    r.complete_up_to(12);
    // An answer to a read from before the deletion, overtaken by a later one.
    assert!(r.apply_event("st/machine/m-1", Some(m("c")), 11).is_none());
    assert!(r.apply_event("st/machine/m-1", Some(m("d")), 13).is_some());
    assert!(r
        .apply_event("st/machine/m-2", Some(json!(3)), 14)
        .is_none());
    assert!(r.apply_event("st/bad", Some(json!(3)), 14).is_none());
}
