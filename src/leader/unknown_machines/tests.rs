//! Tests of the confirmation of unknown machines.

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::cloud::ListedMachine;
use crate::settings::Settings;
use crate::state_store::replica::Replica;

/// Guards against a record for a machine that no longer exists: a list whose oldest page was read
/// soon after the machine was first listed may still show it, however late the list is complete.
#[test]
fn an_old_page_does_not_confirm_an_unknown_machine() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut replica = Replica::default();
    let known = serde_json::json!({"region": "a", "flavor": "f", "zone": "z", "spot": false});
    replica.apply_event("st/machine/m-1", Some(known), 1);
    let machine = ListedMachine {
        name: "m-2".into(),
        offer: Offer {
            machine_type: "f".into(),
            zone: "z".into(),
            spot: false,
        },
        failed: false,
        age: 500 * SECOND,
    };
    let confirmed_after = 2 * settings.cloud_list_lag;
    let first_listed_at = 100 * SECOND;
    for (read_since, is_confirmed) in [
        (first_listed_at + confirmed_after - SECOND, false),
        (first_listed_at + confirmed_after + SECOND, true),
    ] {
        let mut unknown = UnknownMachines::default();
        let mut listed = |read_since, now| {
            let inventory = Inventory {
                machines: vec![machine.clone()],
                read_since,
            };
            let context = SchedulingContext {
                replica: &replica,
                settings: &settings,
                now,
                wall: now,
                quota_blocked_teams: &BTreeMap::new(),
                may_start: true,
                are_records_verified: true,
                reported_cancelled: &BTreeSet::new(),
            };
            unknown.on_list(&inventory, &BTreeSet::new(), &context)
        };
        assert!(listed(90 * SECOND, first_listed_at).is_empty());
        let complete_at = first_listed_at + confirmed_after + 20 * SECOND;
        let confirmed = listed(read_since, complete_at);
        assert_eq!(
            !confirmed.is_empty(),
            is_confirmed,
            "read since {read_since}"
        );
    }
}
