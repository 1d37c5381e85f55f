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

/// What is sent to the state service, as bytes: transactions, asking for a lease and
/// renewing it; and the targets of reads.
#[test]
fn calls_to_the_state_service_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/state-service.hex"));
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut registry = StateStore::new(&settings);
    registry.owner.life = 4_321_000;
    let mut events = Vec::new();
    let mut check = |registry: &mut StateStore, now: Micros, target: &str, body: Option<&str>| {
        let (calls, _) = registry.pump(now, &mut events);
        let call = calls.iter().find(|c| c.target == target);
        let targets: Vec<_> = calls.iter().map(|c| &c.target).collect();
        let call = call.unwrap_or_else(|| panic!("{target}: {targets:?}"));
        let (method, body) = match body {
            Some(name) => ("POST", files[name].as_slice()),
            None => ("GET", &[][..]),
        };
        assert_eq!(
            (call.method, call.body.as_slice()),
            (method, body),
            "{target}"
        );
        call.op
    };
    check(&mut registry, SECOND, "/store?under=st/&page=500", None);
    registry.load = Loading::Done;
    registry.replica.reached(70_000);
    let now = 2 * SECOND;
    let barrier = "/follow?under=st/&from=70000&waitMs=0";
    check(&mut registry, now, barrier, None);
    registry.barrier_busy = false;
    registry.follow_busy = false;
    let follow = "/follow?under=st/&from=70000&waitMs=5000";
    check(&mut registry, 3 * SECOND, follow, None);

    registry.want_lease(LeaseRole::Owner);
    let asked = check(&mut registry, 4 * SECOND, "/grants", Some("ask"));
    let granted = Ok(Response::new(200, files["granted"].clone()));
    registry.on_response(asked, granted, 4 * SECOND, &mut Vec::new());
    assert_eq!(registry.lease_id(LeaseRole::Owner), Some(77));
    let renew = "/grants/77/renew";
    check(&mut registry, 6 * SECOND, renew, Some("renew"));

    let put = |key, value| (key, Some(value));
    let job = Key::Job("req-1".into());
    let full = Transaction {
        conditions: vec![(Key::Leader, 0), (job.clone(), 70_000)],
        changes: vec![
            put(Key::Leader, json!({"holder": "t-0", "run": 7})),
            put(job, json!({"st": "o", "b": [[0, 3, "t-1"]]})),
            (Key::Machine("m-1".into()), None),
            put(Key::Token, json!(9)),
        ],
        lease: Some((Key::Leader, 300)),
    };
    let bare = Transaction {
        conditions: Vec::new(),
        changes: vec![put(
            Key::Progress("req-1".into(), "t-0".into(), 0),
            json!("7"),
        )],
        lease: None,
    };
    for (now, name, txn) in [
        (7 * SECOND, "commit", full),
        (8 * SECOND, "commit without a lease", bare),
    ] {
        let ticket = registry.commit(txn, CommitPriority::Urgent, None);
        let op = check(&mut registry, now, "/commit", Some(name));
        let answer = Ok(Response::new(200, files["revision"].clone()));
        let mut events = Vec::new();
        registry.on_response(op, answer, now, &mut events);
        let ended = events.iter().any(
            |e| matches!(e, StateStoreEvent::Committed(t, CommitOutcome::Committed(70_001)) if *t == ticket),
        );
        assert!(ended, "{name}: {events:?}");
    }
}
