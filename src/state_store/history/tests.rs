//! Tests of the verification of the history.

use serde_json::json;

use super::*;
use crate::settings::Settings;
use crate::state_store::StateStore;

/// Guards against a full read that reports lost records wrongly. A job missing from the read
/// is a finding, except if its record was written after the first page. A higher revision in a
/// response that was in flight during the read is no finding either.
#[test]
fn a_full_read_is_compared_with_the_previous_replica() {
    let mut settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    settings.operator.detect_lost_records = true;
    // Version of the job, revision known before the read, revision of the first page, whether
    // a finding is expected.
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
        // A response that was in flight has a higher revision than the first page.
        store.replica.complete_up_to(20);
        let mut fresh = Replica::default();
        fresh.complete_up_to(page);
        let finding = store.history.check_full_read(&store.replica, known, &fresh);
        assert_eq!(
            finding.is_some(),
            found,
            "job version {job}, known revision {known}, first page {page}: {finding:?}"
        );
        store.history.recent = None;
        assert_eq!(
            store.history.check_full_read(&store.replica, known, &fresh),
            None,
            "expected no finding while detection is disabled"
        );
    }
}
