//! Tests of verifying the history.

use serde_json::json;

use super::*;
use crate::settings::Settings;
use crate::state_store::StateStore;

/// A full read that lacks a job is a finding, but not one whose record came after its first
/// page; nor is an answer that was under way and is newer than that page.
#[test]
fn a_full_read_is_compared_with_what_was_known_before_it() {
    let mut settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    settings.operator.detect_lost_records = true;
    // Job's version, revision known before the read, revision of its first page: a finding?
    for (job, known, page, found) in [
        (5, 10, 10, true),
        (5, 10, 12, true),
        (11, 10, 10, false),
        (11, 10, 9, true),
        (13, 10, 12, false),
    ] {
        let mut store = StateStore::new(&settings);
        store.replica.complete_up_to(known);
        let key = Key::Job("req-1".into());
        store.replica.apply_own(&key, Some(json!({"st": "o"})), job);
        // An answer that was under way reaches further than the first page.
        store.replica.complete_up_to(20);
        let mut fresh = Replica::default();
        fresh.complete_up_to(page);
        let finding = store.history.check_full_read(&store.replica, known, &fresh);
        assert_eq!(
            finding.is_some(),
            found,
            "{job}, {known}, {page}: {finding:?}"
        );
        store.history.recent = None;
        assert_eq!(
            store.history.check_full_read(&store.replica, known, &fresh),
            None,
            "not asked for"
        );
    }
}
