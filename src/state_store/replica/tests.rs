//! Tests of applying changes to the replica.

use super::*;
use serde_json::json;

/// Guards against a late event that undoes a later change or deletion by this controller.
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
    // A late response to a read that was sent before the deletion.
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
