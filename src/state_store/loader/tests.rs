//! Tests of full reads against a store whose records change meanwhile and that fails requests.

use std::collections::BTreeMap;

use salttiller_protocol::http::{query_value, Response};
use salttiller_protocol::state_service::encode;
use salttiller_records::key::Key;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use serde_json::{json, Value};

use super::*;
use crate::reactor::CallError;
use crate::settings::Settings;
use crate::state_store::{CommitPriority, StateStore, StateStoreEvent, StoreCall, Transaction};

/// Time within which each read of these tests must be complete.
const READ_LIMIT: Micros = 300 * SECOND;

type Answer = Result<Response, CallError>;

/// A store of job records with a log of changes.
struct FakeStore {
    /// Value and version of each record.
    records: BTreeMap<String, (Value, u64)>,
    log: Vec<(u64, String, Option<Value>)>,
    revision: u64,
    /// Number of changes that are retained for watches.
    retained: usize,
    /// Maximum number of records per page.
    page_records: usize,
}

impl FakeStore {
    fn new(records: u64) -> Self {
        let mut store = FakeStore {
            records: BTreeMap::new(),
            log: Vec::new(),
            revision: 0,
            retained: 10_000,
            page_records: 10,
        };
        (0..records).for_each(|number| store.put(number));
        store
    }

    fn change(&mut self, number: u64, value: Option<Value>) {
        let key = format!("st/job/req-{number:06}");
        self.revision += 1;
        match &value {
            Some(value) => self
                .records
                .insert(key.clone(), (value.clone(), self.revision)),
            None => self.records.remove(&key),
        };
        self.log.push((self.revision, key, value));
    }

    fn put(&mut self, number: u64) {
        let ended_at = self.revision;
        self.change(number, Some(json!({"st": "d", "t": ended_at})));
    }

    fn answer(&self, call: &StoreCall) -> Answer {
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        let number = |name| query_value(query, name).and_then(|n| n.parse::<u64>().ok());
        Ok(match path {
            "/store" => {
                let requested = number("page").unwrap_or(u64::MAX) as usize;
                self.page(query_value(query, "from").unwrap_or(""), requested)
            }
            "/follow" => self.changes_after(number("from").unwrap_or(0)),
            _ => Response::new(404, Vec::new()),
        })
    }

    fn page(&self, after: &str, requested: usize) -> Response {
        let records = self.records.iter().filter(|(key, _)| key.as_str() > after);
        let mut pairs: Vec<Value> = records
            .map(|(key, (value, version))| json!({"k": key, "value": value, "mark": version}))
            .collect();
        let limit = requested.min(self.page_records);
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        let body = json!({"pairs": pairs, "more": more, "almanac": self.revision});
        Response::new(200, encode(&body))
    }

    fn changes_after(&self, from: u64) -> Response {
        let dropped = self.log.len().saturating_sub(self.retained);
        let last_dropped = dropped.checked_sub(1).and_then(|n| self.log.get(n));
        if last_dropped.is_some_and(|(revision, ..)| *revision > from) {
            return Response::new(410, Vec::new());
        }
        let newer = self.log.iter().filter(|(revision, ..)| *revision > from);
        let events: Vec<Value> = newer
            .map(|(revision, key, value)| match value {
                Some(value) => json!({"put": key, "value": value, "mark": revision}),
                None => json!({"delete": key, "mark": revision}),
            })
            .collect();
        Response::new(
            200,
            encode(&json!({"almanac": self.revision, "events": events})),
        )
    }

    /// Versions of all records, by key.
    fn versions(&self) -> BTreeMap<String, u64> {
        let records = self.records.iter();
        records.map(|(key, (_, v))| (key.clone(), *v)).collect()
    }
}

fn state_store() -> StateStore {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    StateStore::new(&settings)
}

/// Versions of the job records in a client's replica, by key.
fn replica_versions(store: &StateStore) -> BTreeMap<String, u64> {
    let jobs = store.replica.jobs.iter();
    jobs.map(|(id, job)| (format!("st/job/{id}"), job.version))
        .collect()
}

/// Runs a client until its next calls and returns them.
fn next_calls(store: &mut StateStore, now: &mut Micros) -> Vec<StoreCall> {
    let deadline = *now + READ_LIMIT;
    loop {
        let (calls, wake) = store.pump(*now, &mut Vec::new());
        if !calls.is_empty() {
            return calls;
        }
        assert!(*now < deadline, "expected a call within {READ_LIMIT} µs");
        *now = wake.max(*now + MILLISECOND);
    }
}

/// Answers calls until the read is complete. `answer` returns the answer to a call, and the time
/// that it takes.
fn read_all(
    store: &mut StateStore,
    now: &mut Micros,
    mut answer: impl FnMut(&StoreCall, Micros) -> (Answer, Micros),
) {
    let deadline = *now + READ_LIMIT;
    while !store.is_loaded() {
        assert!(*now < deadline, "expected the read to be complete in time");
        for call in next_calls(store, now) {
            let (answer, delay) = answer(&call, *now);
            *now += delay;
            store.on_response(call.op, answer, *now, &mut Vec::new());
        }
    }
}

/// Answers the first barrier after a read.
fn catch_up(store: &mut StateStore, fake: &FakeStore, now: &mut Micros) {
    loop {
        *now += SECOND;
        for call in next_calls(store, now) {
            let mut events = Vec::new();
            store.on_response(call.op, fake.answer(&call), *now, &mut events);
            let is_barrier =
                |e: &StateStoreEvent| matches!(e, StateStoreEvent::BarrierCompleted { .. });
            if events.iter().any(is_barrier) {
                return;
            }
        }
    }
}

/// Guards against pages that are discarded: every kind of failed request is sent again from the
/// last key, after a delay that grows with consecutive failures up to a bound.
#[test]
fn a_failed_page_is_requested_again_from_the_last_key() {
    let status = |status| Ok(Response::new(status, Vec::new()));
    let empty_page = json!({"pairs": [], "more": true, "almanac": 40});
    let failures: [(&str, Answer); 8] = [
        ("429", status(429)),
        ("503", status(503)),
        ("500", status(500)),
        ("no response", Err(CallError::NoResponse)),
        ("not sent", Err(CallError::NotSent)),
        ("too large", Err(CallError::TooLarge)),
        ("undecodable", Ok(Response::new(200, vec![0xc1]))),
        ("empty", Ok(Response::new(200, encode(&empty_page)))),
    ];
    for (name, failure) in failures {
        let fake = FakeStore::new(40);
        let mut store = state_store();
        let mut now = 0;
        for _ in 0..2 {
            for call in next_calls(&mut store, &mut now) {
                store.on_response(call.op, fake.answer(&call), now, &mut Vec::new());
            }
        }
        let mut delays = Vec::new();
        for _ in 0..12 {
            let failed_at = now;
            let calls = next_calls(&mut store, &mut now);
            assert_eq!(calls.len(), 1, "{name}: expected one request at a time");
            let target = &calls[0].target;
            let continues = target.ends_with("&from=st/job/req-000019");
            let catches_up = target.starts_with("/follow");
            assert!(continues || catches_up, "{name}: {target}");
            delays.push(now - failed_at);
            store.on_response(calls[0].op, failure.clone(), now, &mut Vec::new());
            if catches_up {
                break;
            }
        }
        let longest = delays.iter().copied().max().unwrap();
        assert!(
            longest <= 4 * SECOND && longest >= 4 * delays[1],
            "{name}: expected growing delays up to a bound, got {delays:?}"
        );
    }
}

/// Guards against a read that uses more than this controller's share of the request rate, which
/// other controllers need, from its first request on.
#[test]
fn a_read_stays_within_the_share_of_the_request_rate() {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    let share = settings.store_request_rate / settings.region_count() as f64;
    let fake = FakeStore::new(1_000);
    let mut store = state_store();
    let mut now = 0;
    let mut sent = Vec::new();
    read_all(&mut store, &mut now, |call, now| {
        sent.push(now);
        (fake.answer(call), 0)
    });
    assert!(sent.len() >= 100, "expected 100 pages, got {}", sent.len());
    for (index, at) in sent.iter().enumerate() {
        let within = sent.iter().filter(|s| **s >= *at && **s < at + SECOND);
        let count = within.count();
        assert!(
            count as f64 <= share,
            "request {index}: {count} requests within a second, the share is {share}"
        );
    }
}

/// Guards against commits that wait for the pages of a read: while both are due, as many commits are
/// sent as without a read.
#[test]
fn a_read_gives_way_to_commits() {
    let commits_sent = |is_reading: bool| {
        let fake = FakeStore::new(2_000);
        let mut store = state_store();
        if !is_reading {
            store.loader.finish();
        }
        for _ in 0..400 {
            let change = (Key::Token, Some(json!(1)));
            let transaction = Transaction {
                changes: vec![change],
                ..Transaction::default()
            };
            store.commit(transaction, CommitPriority::Urgent, None);
        }
        let mut now = 0;
        let mut commits = 0;
        while now < 5 * SECOND {
            let (calls, wake) = store.pump(now, &mut Vec::new());
            // Each response leads to another pump.
            let next = if calls.is_empty() { wake } else { now };
            for call in calls {
                let is_commit = call.target == "/commit";
                commits += u32::from(is_commit);
                let revision = json!({"almanac": fake.revision + 1});
                let answer = match is_commit {
                    true => Ok(Response::new(200, encode(&revision))),
                    false => fake.answer(&call),
                };
                store.on_response(call.op, answer, now, &mut Vec::new());
            }
            now = next.max(now + MILLISECOND);
        }
        commits
    };
    let (with_read, without_read) = (commits_sent(true), commits_sent(false));
    assert!(
        with_read + 1 >= without_read,
        "{with_read} commits during a read, {without_read} without one"
    );
}

/// Guards against a replica that lacks records or holds deleted ones: while it is read, records
/// are put and deleted behind and ahead of the reader, requests fail, and responses are lost. After
/// the first barrier the replica equals the store.
#[test]
fn a_read_of_changing_records_is_consistent() {
    for seed in 0..200 {
        fastrand::seed(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fake = FakeStore::new(120);
        let mut store = state_store();
        let mut now = 0;
        let change = |fake: &mut FakeStore, rng: &mut fastrand::Rng| {
            let number = rng.u64(0..150);
            if rng.bool() {
                fake.put(number);
            } else {
                fake.change(number, None);
            }
        };
        let mut reads = fake.records.len();
        read_all(&mut store, &mut now, |call, _| {
            (0..rng.u32(0..4)).for_each(|_| change(&mut fake, &mut rng));
            let answer = match rng.u32(0..10) {
                0 => Ok(Response::new(429, Vec::new())),
                1 => Ok(Response::new(503, Vec::new())),
                2 => Err(CallError::NoResponse),
                _ => fake.answer(call),
            };
            (0..rng.u32(0..4)).for_each(|_| change(&mut fake, &mut rng));
            reads += 1;
            (answer, rng.u64(0..2_000) * MILLISECOND)
        });
        catch_up(&mut store, &fake, &mut now);
        assert_eq!(
            replica_versions(&store),
            fake.versions(),
            "seed {seed}: the replica differs from the store"
        );
    }
}

/// Guards against a read that never ends, or ends with an older state, because it takes longer
/// than the state service retains changes. Changes are retained for a fraction of the read, and
/// the controller is refused for longer than that once.
#[test]
fn a_read_outlasts_the_retained_changes() {
    let mut fake = FakeStore::new(400);
    fake.retained = 100;
    let mut store = state_store();
    let mut now = 0;
    let mut first_pages = 0;
    let mut refused = false;
    read_all(&mut store, &mut now, |call, now| {
        // 10 changes a second, of which the last 10 s are retained.
        while fake.revision < 400 + now / (100 * MILLISECOND) {
            let number = fake.revision % 400;
            fake.put(number);
        }
        first_pages +=
            u32::from(call.target.starts_with("/store") && !call.target.contains("from"));
        if now > 20 * SECOND && !refused {
            refused = true;
            return (Ok(Response::new(503, Vec::new())), 15 * SECOND);
        }
        (fake.answer(call), SECOND)
    });
    assert!(now > 40 * SECOND, "expected a long read, it took {now} µs");
    assert_eq!(first_pages, 2, "expected one restart, after the refusal");
    catch_up(&mut store, &fake, &mut now);
    assert_eq!(replica_versions(&store), fake.versions());
}

/// Guards against missing records after a read was restarted while a page was outstanding: the
/// late page must not be taken for the first page of the new read.
#[test]
fn a_page_of_an_earlier_read_is_ignored() {
    let fake = FakeStore::new(40);
    let mut store = state_store();
    let mut now = 0;
    for call in next_calls(&mut store, &mut now) {
        store.on_response(call.op, fake.answer(&call), now, &mut Vec::new());
    }
    let late = next_calls(&mut store, &mut now);
    store.loader.restart(ReadReason::TooManyChanges);
    let first = next_calls(&mut store, &mut now);
    for call in late.into_iter().chain(first) {
        store.on_response(call.op, fake.answer(&call), now, &mut Vec::new());
    }
    read_all(&mut store, &mut now, |call, _| {
        (fake.answer(call), MILLISECOND)
    });
    assert_eq!(replica_versions(&store), fake.versions());
}
