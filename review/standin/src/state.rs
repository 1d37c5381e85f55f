//! The state service.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::msgpack::{map, s, V};

const KEPT_CHANGES: usize = 10_000;
const PAGE_ITEMS: usize = 1000;
const PAGE_BYTES: usize = 512 * 1024;
const TXN_BYTES: usize = 64 * 1024;

struct Record {
    value: V,
    /// Size of the value as JSON.
    bytes: usize,
    mark: u64,
    lease: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

/// The new value of a record, with its lease; `None` deletes the record.
type New = Option<(V, Option<u64>)>;

struct Change {
    mark: u64,
    key: String,
    value: Option<V>,
}

/// A limit per second that allows bursts of one second's worth.
struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, cost: f64) -> bool {
        let now = Instant::now();
        let gained = (now - self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.at = now;
        let allowed = self.level >= cost;
        if allowed {
            self.level -= cost;
        }
        allowed
    }
}

pub struct Limits {
    pub latency_ms: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Store {
    almanac: u64,
    records: BTreeMap<String, Record>,
    log: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
    outage: bool,
    /// Nodes that alone get 503.
    refused: Vec<usize>,
    /// Share of each node's transactions of which the answer is lost, and whether they are
    /// carried out late as well.
    lost: BTreeMap<usize, (f64, bool)>,
    seed: u64,
    refusals: u64,
    over_limit: u64,
}

pub struct State {
    latency: Duration,
    store: Mutex<Store>,
    changed: Condvar,
}

fn ok(value: &V) -> Option<Response> {
    Some(Response::new(200, value.encode()))
}

fn error(status: u16, text: &str) -> Option<Response> {
    Some(Response::new(
        status,
        map(vec![("error", s(text))]).encode(),
    ))
}

fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

impl Store {
    /// Puts (a value and its lease) and deletes records at one revision.
    fn change(&mut self, changes: Vec<(String, New)>) {
        self.almanac += 1;
        let mark = self.almanac;
        for (key, new) in changes {
            let value = match new {
                Some((value, lease)) => {
                    let record = Record {
                        bytes: value.json().len(),
                        value: value.clone(),
                        mark,
                        lease,
                    };
                    self.records.insert(key.clone(), record);
                    Some(value)
                }
                None => {
                    if self.records.remove(&key).is_none() {
                        continue;
                    }
                    None
                }
            };
            self.log.push_back(Change { mark, key, value });
        }
        while self.log.len() > KEPT_CHANGES {
            self.log.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| r.lease == Some(id))
            .map(|(k, _)| (k.clone(), None))
            .collect();
        if !keys.is_empty() {
            self.change(keys);
        }
    }

    fn commit(&mut self, body: &V) -> Option<Response> {
        let apply = body.get("apply").list();
        let when = body.get("when").list();
        let oversized = apply
            .iter()
            .any(|op| op.get("value").json().len() > self.value_bytes);
        if apply.len() > self.txn_ops
            || when.len() > 4 * self.txn_ops
            || oversized
            || body.json().len() > TXN_BYTES
        {
            self.refusals += 1;
            return error(400, "too large");
        }
        if !self.writes.take(apply.len() as f64) {
            self.over_limit += 1;
            return Some(Response::new(429, Vec::new()));
        }
        let failed: Vec<V> = when
            .iter()
            .filter(|c| {
                let key = c.get("k").str().unwrap_or_default();
                let mark = self.records.get(key).map_or(0, |r| r.mark);
                c.get("mark").u64() != Some(mark)
            })
            .map(|c| c.get("k").clone())
            .collect();
        if !failed.is_empty() {
            let body = map(vec![
                ("failed", V::A(failed)),
                ("almanac", V::Int(self.almanac)),
            ]);
            return Some(Response::new(409, body.encode()));
        }
        let mut changes = Vec::new();
        for op in apply {
            if let Some(key) = op.get("put").str() {
                let lease = op.get("tenure").u64();
                if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                    return error(400, "no such lease");
                }
                changes.push((key.to_owned(), Some((op.get("value").clone(), lease))));
            } else if let Some(key) = op.get("delete").str() {
                changes.push((key.to_owned(), None));
            }
        }
        if !changes.is_empty() {
            self.change(changes);
        }
        ok(&map(vec![("almanac", V::Int(self.almanac))]))
    }

    fn page(&self, request: &Request) -> Option<Response> {
        let under = query(request, "under").unwrap_or("");
        let from = query(request, "from").unwrap_or("");
        let limit = query(request, "page").and_then(|n| n.parse().ok());
        let limit = limit.unwrap_or(PAGE_ITEMS).min(PAGE_ITEMS);
        let mut pairs = Vec::new();
        let mut more = false;
        let mut bytes = 0;
        // Only the part of the keys that the page may hold is visited.
        let first = if from > under { from } else { under };
        let range = (Bound::Included(first.to_owned()), Bound::Unbounded);
        for (key, record) in self.records.range(range) {
            if key == from {
                continue;
            }
            if !key.starts_with(under) {
                break;
            }
            bytes += key.len() + record.bytes + 40;
            if pairs.len() == limit || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            pairs.push(map(vec![
                ("k", s(key)),
                ("value", record.value.clone()),
                ("mark", V::Int(record.mark)),
            ]));
        }
        ok(&map(vec![
            ("pairs", V::A(pairs)),
            ("more", V::Bool(more)),
            ("almanac", V::Int(self.almanac)),
        ]))
    }

    fn random(&mut self) -> f64 {
        let seed = self.seed.wrapping_mul(6364136223846793005);
        self.seed = seed.wrapping_add(1442695040888963407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn events(&self, from: u64, under: &str) -> Vec<V> {
        self.log
            .iter()
            .filter(|c| c.mark > from && c.key.starts_with(under))
            .map(|c| match &c.value {
                Some(value) => map(vec![
                    ("put", s(&c.key)),
                    ("value", value.clone()),
                    ("mark", V::Int(c.mark)),
                ]),
                None => map(vec![("delete", s(&c.key)), ("mark", V::Int(c.mark))]),
            })
            .collect()
    }
}

impl State {
    pub fn new(limits: &Limits) -> Arc<Self> {
        let state = Arc::new(State {
            latency: Duration::from_secs_f64(limits.latency_ms / 1000.0),
            store: Mutex::new(Store {
                almanac: 0,
                records: BTreeMap::new(),
                log: VecDeque::new(),
                leases: BTreeMap::new(),
                next_lease: 1,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
                value_bytes: limits.value_bytes,
                txn_ops: limits.txn_ops,
                outage: false,
                refused: Vec::new(),
                lost: BTreeMap::new(),
                seed: 7,
                refusals: 0,
                over_limit: 0,
            }),
            changed: Condvar::new(),
        });
        let expiry = state.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiry.expire();
        });
        state
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn expire(&self) {
        let mut store = self.lock();
        if store.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = store
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            store.end_lease(*id);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Begins or ends an outage. After it every lease has its full time again.
    pub fn set_outage(&self, outage: bool) {
        let mut store = self.lock();
        store.outage = outage;
        let now = Instant::now();
        for lease in store.leases.values_mut() {
            lease.ends = now + lease.life;
        }
        self.changed.notify_all();
    }

    /// Sets the nodes that alone get 503.
    pub fn set_refused(&self, nodes: Vec<usize>) {
        self.lock().refused = nodes;
        self.changed.notify_all();
    }

    /// Loses the answers to a share of a node's transactions, which are carried out at once or,
    /// with `late`, 2 to 12 s later. A share of 0 ends this.
    pub fn set_lost(&self, node: usize, share: f64, late: bool) {
        self.lock().lost.insert(node, (share, late));
    }

    /// The value of a record.
    pub fn value(&self, key: &str) -> Option<V> {
        self.lock().records.get(key).map(|r| r.value.clone())
    }

    /// Puts records, each with a revision of its own.
    pub fn put(&self, records: impl Iterator<Item = (String, V)>) {
        let mut store = self.lock();
        for (key, value) in records {
            store.change(vec![(key, Some((value, None)))]);
        }
        self.changed.notify_all();
    }

    /// Transactions refused as too large, and requests above the limits.
    pub fn counts(&self) -> (u64, u64) {
        let store = self.lock();
        (store.refusals, store.over_limit)
    }

    pub fn handle(&self, node: usize, request: &Request) -> Option<Response> {
        thread::sleep(self.latency);
        let mut store = self.lock();
        if store.outage || store.refused.contains(&node) {
            return error(503, "trouble");
        }
        if !store.requests.take(1.0) {
            store.over_limit += 1;
            return Some(Response::new(429, Vec::new()));
        }
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        let body = V::decode(&request.body).unwrap_or(V::Nil);
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["store"]) => store.page(request),
            ("GET", ["store", ..]) => {
                let key = &request.path["/store/".len()..];
                match store.records.get(key) {
                    Some(r) => ok(&map(vec![
                        ("k", s(key)),
                        ("value", r.value.clone()),
                        ("mark", V::Int(r.mark)),
                    ])),
                    None => {
                        let body = map(vec![("almanac", V::Int(store.almanac))]);
                        Some(Response::new(404, body.encode()))
                    }
                }
            }
            ("POST", ["commit"]) => {
                let chance = store.random();
                let lost = store.lost.get(&node).copied();
                let lost = lost.filter(|(share, _)| chance < *share);
                if let Some((_, true)) = lost {
                    let late = Duration::from_secs_f64(2.0 + 10.0 * store.random());
                    drop(store);
                    thread::sleep(late);
                    self.lock().commit(&body);
                    self.changed.notify_all();
                    return None;
                }
                let response = store.commit(&body);
                drop(store);
                self.changed.notify_all();
                if lost.is_some() {
                    // Only the answer is lost: the connection stays silent.
                    thread::sleep(Duration::from_secs(5));
                    return None;
                }
                response
            }
            ("POST", ["grants"]) => {
                let Some(life) = body.get("lifeMs").u64() else {
                    return error(400, "lifeMs");
                };
                let life = Duration::from_millis(life.clamp(100, 600_000));
                let id = store.next_lease;
                store.next_lease += 1;
                let ends = Instant::now() + life;
                store.leases.insert(id, Lease { life, ends });
                ok(&map(vec![("tenure", V::Int(id))]))
            }
            ("POST", ["grants", id, "renew"]) => {
                let id: u64 = id.parse().ok()?;
                match store.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.life;
                        ok(&map(vec![("tenure", V::Int(id))]))
                    }
                    None => error(404, "no such lease"),
                }
            }
            ("DELETE", ["grants", id]) => {
                let id: u64 = id.parse().ok()?;
                store.end_lease(id);
                self.changed.notify_all();
                ok(&map(vec![]))
            }
            ("GET", ["follow"]) => {
                drop(store);
                self.follow(node, request)
            }
            _ => error(400, "malformed"),
        }
    }

    fn follow(&self, node: usize, request: &Request) -> Option<Response> {
        let under = query(request, "under").unwrap_or("").to_owned();
        let from: u64 = query(request, "from").and_then(|n| n.parse().ok())?;
        let wait = query(request, "waitMs").and_then(|n| n.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut store = self.lock();
        loop {
            // Open watches stay open during an outage.
            if !store.outage && !store.refused.contains(&node) {
                let oldest = store.log.front().map_or(0, |c| c.mark);
                if store.log.len() == KEPT_CHANGES && from + 1 < oldest {
                    return Some(Response::new(410, Vec::new()));
                }
                let events = store.events(from, &under);
                if !events.is_empty() || Instant::now() >= until {
                    return ok(&map(vec![
                        ("almanac", V::Int(store.almanac)),
                        ("events", V::A(events)),
                    ]));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            let left = left.clamp(Duration::from_millis(5), Duration::from_millis(100));
            store = self
                .changed
                .wait_timeout(store, left)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
    }
}
