//! A stand-in for the state service: records, transactions, leases and watches, with the
//! troubles that tests cause.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use salttiller_protocol::http::{query_value, Request, Response};
use salttiller_protocol::state_service::{
    decode, encode, Changes, Event, Granted, Page, Pair, Refused, Revision,
};
use serde_json::{json, Value};

use crate::server::{Handler, Server};

/// Most bytes of a page, as the protocol has it.
const PAGE_BYTES: usize = 512 * 1024;
const PAGE_RECORDS: usize = 1000;

/// All records by key, each with its version.
pub type Records = BTreeMap<String, (u64, Value)>;

/// What the store holds; a copy of it is a backup to set the store back to.
#[derive(Debug, Clone, Default)]
pub struct Contents {
    /// Number of changes so far.
    pub revision: u64,
    /// The records.
    pub records: Records,
    /// Changes, oldest first; the oldest are dropped.
    pub log: VecDeque<Event>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    life: Duration,
    until: Instant,
}

#[derive(Debug)]
struct Store {
    contents: Contents,
    leases: BTreeMap<u64, Lease>,
    attached: BTreeMap<String, u64>,
    next_lease: u64,
    kept_changes: usize,
    /// Answered to all requests while set; 0: no answer at all.
    trouble: Option<u16>,
    /// How often it was replaced; a watch of a former one is cut off.
    replacements: u32,
    requests: Vec<Instant>,
    /// Everything that was ever true, for comparison: records by revision.
    truth: BTreeMap<u64, Records>,
    keep_truth: bool,
}

struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

/// The stand-in.
pub struct StateService {
    server: Server,
    shared: Arc<Shared>,
}

impl StateService {
    /// An empty one.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store {
                contents: Contents::default(),
                leases: BTreeMap::new(),
                attached: BTreeMap::new(),
                next_lease: 1,
                kept_changes: 10_000,
                trouble: None,
                replacements: 0,
                requests: Vec::new(),
                truth: BTreeMap::new(),
                keep_truth: false,
            }),
            changed: Condvar::new(),
        });
        let server = Server::start(shared.clone())?;
        Ok(StateService { server, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.shared.lock()
    }

    /// Puts and deletes in one transaction, without conditions; returns its revision.
    pub fn commit(&self, changes: &[(&str, Option<Value>)]) -> u64 {
        let mut store = self.store();
        let changes = changes.iter().map(|(k, v)| ((*k).to_owned(), v.clone()));
        let revision = store.change(changes.collect());
        drop(store);
        self.shared.changed.notify_all();
        revision
    }

    /// Remembers all records at each revision from now on.
    pub fn keep_truth(&self) {
        let mut store = self.store();
        store.keep_truth = true;
        store.remember();
    }

    /// The records as they were at a revision, if remembered.
    pub fn truth(&self, revision: u64) -> Option<Records> {
        let store = self.store();
        let found = store.truth.range(..=revision).next_back();
        found.map(|(_, records)| records.clone())
    }

    /// The last revision.
    pub fn revision(&self) -> u64 {
        self.store().contents.revision
    }

    /// What it holds now.
    pub fn contents(&self) -> Contents {
        self.store().contents.clone()
    }

    /// Loses everything, or is set back to an earlier copy. Watches are cut off.
    pub fn replace(&self, contents: Contents) {
        let mut store = self.store();
        store.contents = contents;
        store.replacements += 1;
        store.attached.clear();
        store.leases.clear();
        let revision = store.contents.revision;
        store.truth.split_off(&(revision + 1));
        drop(store);
        self.shared.changed.notify_all();
    }

    /// Keeps so many changes for watches.
    pub fn keep_changes(&self, changes: usize) {
        self.store().kept_changes = changes;
    }

    /// Answers all requests with this status, or not at all for 0; `None`: as usual.
    pub fn set_trouble(&self, trouble: Option<u16>) {
        self.store().trouble = trouble;
        self.shared.changed.notify_all();
    }

    /// When each request came.
    pub fn requests(&self) -> Vec<Instant> {
        self.store().requests.clone()
    }
}

impl Store {
    fn remember(&mut self) {
        if self.keep_truth {
            let (revision, records) = (self.contents.revision, self.contents.records.clone());
            self.truth.insert(revision, records);
        }
    }

    fn change(&mut self, changes: Vec<(String, Option<Value>)>) -> u64 {
        self.contents.revision += 1;
        let version = self.contents.revision;
        for (key, value) in changes {
            let mut event = Event {
                put: None,
                delete: None,
                value: None,
                version,
            };
            match value {
                Some(value) => {
                    let record = (version, value.clone());
                    self.contents.records.insert(key.clone(), record);
                    event.put = Some(key);
                    event.value = Some(value);
                }
                None => {
                    if self.contents.records.remove(&key).is_none() {
                        continue;
                    }
                    event.delete = Some(key);
                }
            }
            self.contents.log.push_back(event);
        }
        while self.contents.log.len() > self.kept_changes {
            self.contents.log.pop_front();
        }
        self.remember();
        version
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let attached = self.attached.iter().filter(|(_, lease)| **lease == id);
            let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
            self.attached.retain(|_, lease| *lease != id);
            if !keys.is_empty() {
                self.change(keys.into_iter().map(|key| (key, None)).collect());
            }
        }
    }

    fn page(&self, query: &str) -> Response {
        let under = query_value(query, "under").unwrap_or("");
        let from = query_value(query, "from").unwrap_or("");
        let page: usize = query_value(query, "page")
            .and_then(|n| n.parse().ok())
            .unwrap_or(PAGE_RECORDS)
            .min(PAGE_RECORDS);
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let start = if from.is_empty() { under } else { from };
        for (key, (version, value)) in self.contents.records.range(start.to_owned()..) {
            if key == from || !key.starts_with(under) {
                continue;
            }
            bytes += key.len() + value.to_string().len() + 40;
            if pairs.len() == page || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            pairs.push(Pair {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            });
        }
        let revision = self.contents.revision;
        ok(&Page {
            pairs,
            more,
            revision,
        })
    }

    fn changes_after(&self, from: u64, under: &str) -> Vec<Event> {
        let ours = |e: &&Event| {
            let key = e.put.as_deref().or(e.delete.as_deref());
            e.version > from && key.is_some_and(|k| k.starts_with(under))
        };
        self.contents.log.iter().filter(ours).cloned().collect()
    }

    fn is_kept(&self, from: u64) -> bool {
        let oldest = self.contents.log.front().map_or(0, |e| e.version);
        let complete = self.contents.log.len() < self.kept_changes;
        from + 1 >= oldest || complete
    }

    fn transaction(&mut self, body: &Value) -> Response {
        let none = Vec::new();
        for condition in body["when"].as_array().unwrap_or(&none) {
            let key = condition["k"].as_str().unwrap_or("");
            let version = self.contents.records.get(key).map_or(0, |(v, _)| *v);
            if Some(version) != condition["mark"].as_u64() {
                let revision = self.contents.revision;
                return Response::new(409, encode(&json!({"failed": [key], "almanac": revision})));
            }
        }
        let apply = body["apply"].as_array().unwrap_or(&none).clone();
        let ended = |a: &Value| {
            let lease = a["tenure"].as_u64();
            lease.is_some_and(|id| !self.leases.contains_key(&id))
        };
        if apply.iter().any(ended) {
            let error = "no such lease".to_owned();
            return Response::new(400, encode(&Refused { error }));
        }
        if apply.is_empty() {
            let revision = self.contents.revision;
            return ok(&Revision { revision });
        }
        let mut changes = Vec::new();
        for a in &apply {
            if let Some(key) = a["put"].as_str() {
                match a["tenure"].as_u64() {
                    Some(lease) => self.attached.insert(key.to_owned(), lease),
                    None => self.attached.remove(key),
                };
                changes.push((key.to_owned(), Some(a["value"].clone())));
            } else if let Some(key) = a["delete"].as_str() {
                self.attached.remove(key);
                changes.push((key.to_owned(), None));
            }
        }
        let revision = self.change(changes);
        ok(&Revision { revision })
    }

    fn grant(&mut self, body: &Value) -> Response {
        let life = Duration::from_millis(body["lifeMs"].as_u64().unwrap_or(1000));
        let lease = self.next_lease;
        self.next_lease += 1;
        let until = Instant::now() + life;
        self.leases.insert(lease, Lease { life, until });
        ok(&Granted { lease })
    }

    fn renew(&mut self, lease: u64) -> Response {
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.until = Instant::now() + lease.life;
                ok(&json!({}))
            }
            None => Response::new(404, encode(&json!({}))),
        }
    }

    fn get(&self, key: &str) -> Response {
        match self.contents.records.get(key) {
            Some((version, value)) => ok(&Pair {
                key: key.to_owned(),
                value: value.clone(),
                version: *version,
            }),
            None => {
                let revision = self.contents.revision;
                Response::new(404, encode(&Revision { revision }))
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn follow(&self, query: &str) -> Option<Response> {
        let number = |name: &str| query_value(query, name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let under = query_value(query, "under").unwrap_or("");
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut store = self.lock();
        let replacements = store.replacements;
        loop {
            store.expire_leases();
            if store.replacements != replacements {
                return None;
            }
            if let Some(status) = store.trouble {
                return trouble(status);
            }
            if !store.is_kept(from) {
                return Some(Response::new(410, Vec::new()));
            }
            let events = store.changes_after(from, under);
            let revision = store.contents.revision;
            let now = Instant::now();
            if !events.is_empty() || revision < from || now >= deadline {
                return Some(ok(&Changes { revision, events }));
            }
            // Leases that run out meanwhile are looked at, too.
            let wait = (deadline - now).min(Duration::from_millis(50));
            let woken = self.changed.wait_timeout(store, wait);
            store = woken.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

impl Handler for Shared {
    fn answer(&self, request: &Request) -> Option<Response> {
        let mut store = self.lock();
        store.requests.push(Instant::now());
        store.expire_leases();
        if let Some(status) = store.trouble {
            return trouble(status);
        }
        let body: Value = decode(&request.body).unwrap_or_default();
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        let response = match (request.method.as_str(), path.as_slice()) {
            ("GET", ["store"]) => store.page(&request.query),
            ("GET", ["store", ..]) => store.get(&request.path["/store/".len()..]),
            ("GET", ["follow"]) => {
                drop(store);
                return self.follow(&request.query);
            }
            ("POST", ["commit"]) => store.transaction(&body),
            ("POST", ["grants"]) => store.grant(&body),
            ("POST", ["grants", id, "renew"]) => store.renew(id.parse().unwrap_or(0)),
            _ => Response::new(400, Vec::new()),
        };
        drop(store);
        self.changed.notify_all();
        Some(response)
    }
}

fn ok<T: serde::Serialize>(body: &T) -> Response {
    Response::new(200, encode(body))
}

fn trouble(status: u16) -> Option<Response> {
    match status {
        0 => None,
        429 => Some(Response::refusal(429, 1)),
        status => Some(Response::new(status, Vec::new())),
    }
}
