//! Tests of the calls to the state service.

use serde_json::json;

use super::*;

/// Guards against a watch whose response always exceeds the size limit: the client switches to
/// a full read, whose pages are bounded.
#[test]
fn an_oversized_watch_response_starts_a_full_read() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut store = StateStore::new(&settings);
    store.loader.finish();
    let mut events = Vec::new();
    let (calls, _) = store.pump(SECOND, &mut events);
    let watch = calls
        .iter()
        .find(|c| c.target.starts_with("/follow"))
        .unwrap();
    let too_large = Err(CallError::TooLarge);
    store.on_response(watch.op, too_large, SECOND, &mut events);
    assert!(!store.is_loaded());
    let (calls, _) = store.pump(2 * SECOND, &mut events);
    assert!(calls.iter().any(|c| c.target.starts_with("/store")));
}

/// Guards against unintended changes of the protocol: compares the bytes of commits, lease
/// acquisitions and renewals, and the targets of reads, with the fixtures.
#[test]
fn requests_to_the_state_service_match_the_fixtures() {
    let files = crate::fixtures::read(include_str!("fixtures/state-service.hex"));
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let mut store = StateStore::new(&settings);
    store.owner_lease = Lease::new(LeaseRole::Owner, 4_321_000);
    let mut events = Vec::new();
    let mut check = |store: &mut StateStore, now: Micros, target: &str, body: Option<&str>| {
        let (calls, _) = store.pump(now, &mut events);
        let call = calls.iter().find(|c| c.target == target);
        let targets: Vec<_> = calls.iter().map(|c| &c.target).collect();
        let call = call.unwrap_or_else(|| panic!("expected a call to {target}, got {targets:?}"));
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
    check(&mut store, SECOND, "/store?under=st/&page=1000", None);
    store.loader.finish();
    store.replica.complete_up_to(70_000);
    let now = 2 * SECOND;
    let barrier = "/follow?under=st/&from=70000&waitMs=0";
    check(&mut store, now, barrier, None);
    store.barrier.answered();
    store.long_poll.reset(now);
    let follow = "/follow?under=st/&from=70000&waitMs=5000";
    check(&mut store, 3 * SECOND, follow, None);

    store.request_lease(LeaseRole::Owner);
    let acquisition = check(&mut store, 4 * SECOND, "/grants", Some("ask"));
    let granted = Ok(Response::new(200, files["granted"].clone()));
    store.on_response(acquisition, granted, 4 * SECOND, &mut Vec::new());
    assert_eq!(store.lease_id(LeaseRole::Owner), Some(77));
    let renew = "/grants/77/renew";
    check(&mut store, 6 * SECOND, renew, Some("renew"));

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
        let ticket = store.commit(txn, CommitPriority::Urgent, None);
        let op = check(&mut store, now, "/commit", Some(name));
        let answer = Ok(Response::new(200, files["revision"].clone()));
        let mut events = Vec::new();
        store.on_response(op, answer, now, &mut events);
        let ended = events.iter().any(
            |e| matches!(e, StateStoreEvent::CommitEnded { ticket: ended, outcome: CommitOutcome::Committed(70_001) } if *ended == ticket),
        );
        assert!(
            ended,
            "{name}: expected a commit at revision 70001, got {events:?}"
        );
    }
}
