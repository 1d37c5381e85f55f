//! Tests of registry.

use super::commits::write_floor;
use super::*;

/// However often all controllers are refused, together they stay below the limit, and the
/// leader keeps the greater part of it.
#[test]
fn the_least_rates_fit_under_the_limit() {
    for (limit, controllers) in [(18.0, 5.0), (25.0, 5.0), (50.0, 3.0), (10.0, 1.0)] {
        let leader = write_floor(limit, controllers, true);
        let other = write_floor(limit, controllers, false);
        let all = leader + other * (controllers - 1.0);
        assert!(all < limit && all > limit * 0.9, "{limit}, {controllers}");
        assert!(leader >= 2.0 * other, "{limit}, {controllers}");
    }
}

/// A refusal for the rate brings a controller down to its least share and no further; the
/// leader's is the greater.
#[test]
fn refusals_lower_the_rate_to_its_least() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let rate_after = |leads: bool| {
        let mut registry = StateStore::new(&settings);
        if leads {
            registry.leader.state = LeaseState::Held {
                id: 1,
                renewed: 0,
                next: 0,
            };
        }
        for _ in 0..40 {
            let commit = Commit {
                ticket: 1,
                txn: Transaction {
                    conditions: Vec::new(),
                    changes: Vec::new(),
                    lease: None,
                },
                urgency: CommitPriority::Background,
                asked: 0,
                give_up: None,
                not_before: 0,
                unsure: false,
            };
            registry.in_flight += 1;
            let refused = Ok(Response::new(429, Vec::new()));
            registry.on_commit(commit, refused, 0, &mut Vec::new());
        }
        registry.writes.rate
    };
    let (leader, other) = (rate_after(true), rate_after(false));
    assert!(
        (leader - write_floor(50.0, 3.0, true)).abs() < 1e-6,
        "{leader}"
    );
    assert!(
        (other - write_floor(50.0, 3.0, false)).abs() < 1e-6,
        "{other}"
    );
}

/// An answer that is too large to read is asked for again by pages, which are bounded.
#[test]
fn a_watch_that_is_too_large_is_read_by_pages() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut registry = StateStore::new(&settings);
    registry.load = Loading::Done;
    let mut events = Vec::new();
    let (calls, _) = registry.pump(SECOND, &mut events);
    let watch = calls
        .iter()
        .find(|c| c.target.starts_with("/follow"))
        .unwrap();
    let end = Err(CallError::TooLarge);
    registry.on_response(watch.op, end, SECOND, &mut events);
    assert!(!registry.loaded());
    let (calls, _) = registry.pump(2 * SECOND, &mut events);
    assert!(calls.iter().any(|c| c.target.starts_with("/store")));
}

/// A full read that lacks a job is a finding, but not one whose record came after its first
/// page; nor is an answer that was under way and is newer than that page.
#[test]
fn a_full_read_is_held_against_what_was_known_before_it() {
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
        let mut registry = StateStore::new(&settings);
        registry.replica.reached(known);
        let key = Key::Job("req-1".into());
        registry.replica.own(&key, Some(json!({"st": "o"})), job);
        // An answer that was under way reaches further than the first page.
        registry.replica.reached(20);
        let mut fresh = Replica::default();
        fresh.reached(page);
        let finding = registry.missing_since(known, &fresh);
        assert_eq!(
            finding.is_some(),
            found,
            "{job}, {known}, {page}: {finding:?}"
        );
        registry.recent = None;
        assert_eq!(registry.missing_since(known, &fresh), None, "not asked for");
    }
}
