//! Tests of gang coordination state.

use super::*;
use salttiller_records::units::SECOND;

fn record(attempt: u64) -> JobRecord {
    let json =
        serde_json::json!({"st": "o", "b": [[0, 2, "t-0"], [2, 4, "t-1"]], "g": [attempt, null]});
    serde_json::from_value(json).unwrap()
}

/// The local part stays at the start barrier of an attempt until the attempt starts, the
/// barrier times out, or another attempt replaces it.
#[test]
fn start_barrier() {
    let mut gang = GangState::default();
    assert_eq!(gang.update_from_record(&record(5)), AttemptChange::Changed);
    assert_eq!(gang.update_from_record(&record(5)), AttemptChange::None);
    assert_eq!(gang.attempt_at_barrier(), None);
    gang.reach_barrier(SECOND);
    assert_eq!(gang.attempt_at_barrier(), Some(5));
    assert!(!gang.leave_expired_barrier(10 * SECOND, 10 * SECOND));
    assert!(gang.leave_expired_barrier(11 * SECOND, 10 * SECOND));
    assert_eq!(gang.attempt_at_barrier(), None);
    gang.reach_barrier(12 * SECOND);
    assert_eq!(
        gang.update_from_record(&record(6)),
        AttemptChange::LeftBarrier
    );
    assert!(!gang.is_attempt_already_started());
    gang.reach_barrier(13 * SECOND);
    gang.start_attempt(6);
    assert_eq!(gang.attempt_at_barrier(), None);
    assert!(gang.is_attempt_already_started());
}
