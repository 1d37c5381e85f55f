//! Tests of applying changes.

use super::*;
use serde_json::json;

/// An event that is older than what we wrote ourselves must not undo it:
/// neither a change nor a deletion.
#[test]
fn late_events_do_not_undo_later_changes() {
    let mut replica = Replica::default();
    let machine =
        |region: &str| json!({"region": region, "flavor": "f", "zone": "z", "spot": false});
    assert!(replica
        .apply_event("st/machine/m-1", Some(machine("a")), 5)
        .is_some());
    replica.complete_up_to(5);
    let key = Key::Machine("m-1".into());
    replica.apply_own(&key, Some(machine("b")), 9);
    assert!(replica
        .apply_event("st/machine/m-1", Some(machine("c")), 7)
        .is_none());
    assert_eq!(replica.machines["m-1"].value.region, "b");
    replica.apply_own(&key, None, 12);
    assert!(replica
        .apply_event("st/machine/m-1", Some(machine("c")), 10)
        .is_none());
    assert!(replica.machines.is_empty());
    replica.complete_up_to(12);
    // An answer to a read from before the deletion, overtaken by a later one.
    assert!(replica
        .apply_event("st/machine/m-1", Some(machine("c")), 11)
        .is_none());
    assert!(replica
        .apply_event("st/machine/m-1", Some(machine("d")), 13)
        .is_some());
    assert!(replica
        .apply_event("st/machine/m-2", Some(json!(3)), 14)
        .is_none());
    assert!(replica.apply_event("st/bad", Some(json!(3)), 14).is_none());
}
