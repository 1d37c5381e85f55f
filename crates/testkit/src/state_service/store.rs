//! The store of the fake state service: records, the log of changes, and transactions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::{
    encode, Changes, ErrorBody, Event, GrantedLease, Page, Pair, Revision,
};
use serde::Serialize;
use serde_json::Value;

use super::leases::Leases;
use super::wire::{Conflict, Empty, Operation, Transaction};

/// Maximum size of a page in bytes, as defined by the protocol.
const PAGE_BYTES: usize = 512 * 1024;
/// Maximum number of records per page, as defined by the protocol.
const PAGE_RECORDS: usize = 1000;
/// Approximate size of a record in a page without its key and value, in bytes.
const PAIR_OVERHEAD_BYTES: usize = 40;
/// Default number of changes that are retained for watches.
const RETAINED_CHANGES: usize = 10_000;

/// A stored record.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Revision of the record's last change.
    pub version: u64,
    /// Value of the record.
    pub value: Value,
}

/// All records, by key.
pub type Records = BTreeMap<String, Record>;

/// Contents of the store. A copy serves as a backup to which the store can be restored.
#[derive(Debug, Clone, Default)]
pub struct Contents {
    /// Current revision, which is the number of transactions so far.
    pub revision: u64,
    /// Records of the store.
    pub records: Records,
    /// The last changes, in ascending order of their revisions.
    log: VecDeque<Event>,
}

/// Selects the records of a page.
#[derive(Debug, Clone, Copy)]
pub(super) struct PageRange<'a> {
    /// Prefix of the keys.
    pub(super) prefix: &'a str,
    /// Key after which the page begins. Empty if the page begins with the first record.
    pub(super) after: &'a str,
    /// Requested maximum number of records. The protocol's maximum applies as well.
    pub(super) limit: Option<usize>,
}

/// The records, their history and the leases.
#[derive(Debug)]
pub(super) struct Store {
    contents: Contents,
    leases: Leases,
    /// Number of changes that are retained for watches.
    retained_changes: usize,
    /// Copies of all records by revision, if the history is kept.
    history: Option<BTreeMap<u64, Records>>,
}

impl Store {
    pub(super) fn new() -> Self {
        Store {
            contents: Contents::default(),
            leases: Leases::default(),
            retained_changes: RETAINED_CHANGES,
            history: None,
        }
    }

    pub(super) fn contents(&self) -> &Contents {
        &self.contents
    }

    pub(super) fn set_retained_changes(&mut self, changes: usize) {
        self.retained_changes = changes;
    }

    pub(super) fn keep_history(&mut self) {
        self.history.get_or_insert_default();
        self.record_history();
    }

    /// Adds a copy of the records to the history, if the history is kept.
    fn record_history(&mut self) {
        if let Some(history) = &mut self.history {
            let records = self.contents.records.clone();
            history.insert(self.contents.revision, records);
        }
    }

    pub(super) fn records_at(&self, revision: u64) -> Option<Records> {
        let last = self.history.as_ref()?.range(..=revision).next_back();
        last.map(|(_, records)| records.clone())
    }

    /// Replaces all records and ends all leases.
    pub(super) fn restore(&mut self, contents: Contents) {
        self.contents = contents;
        self.leases.clear();
        if let Some(history) = &mut self.history {
            history.retain(|revision, _| *revision <= self.contents.revision);
        }
    }

    /// Puts and deletes records at one revision, which is returned.
    pub(super) fn commit(&mut self, changes: Vec<(String, Option<Value>)>) -> u64 {
        self.contents.revision += 1;
        for (key, value) in changes {
            match value {
                Some(value) => self.put(key, value),
                None => self.delete(key),
            }
        }
        while self.contents.log.len() > self.retained_changes {
            self.contents.log.pop_front();
        }
        self.record_history();
        self.contents.revision
    }

    fn put(&mut self, key: String, value: Value) {
        let version = self.contents.revision;
        let record = Record {
            version,
            value: value.clone(),
        };
        self.contents.records.insert(key.clone(), record);
        self.contents.log.push_back(Event {
            put: Some(key),
            delete: None,
            value: Some(value),
            version,
        });
    }

    fn delete(&mut self, key: String) {
        if self.contents.records.remove(&key).is_none() {
            return;
        }
        self.contents.log.push_back(Event {
            put: None,
            delete: Some(key),
            value: None,
            version: self.contents.revision,
        });
    }

    /// Ends the expired leases and deletes their records.
    pub(super) fn expire_leases(&mut self) {
        for keys in self.leases.expire() {
            if !keys.is_empty() {
                self.commit(keys.into_iter().map(|key| (key, None)).collect());
            }
        }
    }

    /// Returns the response with a page of records.
    pub(super) fn page(&self, range: PageRange<'_>) -> Response {
        let limit = range.limit.map_or(PAGE_RECORDS, |n| n.min(PAGE_RECORDS));
        let start = if range.after.is_empty() {
            range.prefix
        } else {
            range.after
        };
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, record) in self.contents.records.range(start.to_owned()..) {
            if key == range.after || !key.starts_with(range.prefix) {
                continue;
            }
            bytes += key.len() + record.value.to_string().len() + PAIR_OVERHEAD_BYTES;
            if pairs.len() == limit || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            pairs.push(pair(key, record));
        }
        ok_response(&Page {
            pairs,
            more,
            revision: self.contents.revision,
        })
    }

    /// Returns the response with one record.
    pub(super) fn get(&self, key: &str) -> Response {
        let revision = self.contents.revision;
        match self.contents.records.get(key) {
            Some(record) => ok_response(&pair(key, record)),
            None => Response::new(404, encode(&Revision { revision })),
        }
    }

    /// Returns the changes after a revision of the records whose keys have a prefix.
    pub(super) fn changes_after(&self, from: u64, prefix: &str) -> Changes {
        let is_requested = |event: &&Event| {
            let key = event.put.as_deref().or(event.delete.as_deref());
            event.version > from && key.is_some_and(|key| key.starts_with(prefix))
        };
        let events = self.contents.log.iter().filter(is_requested);
        Changes {
            revision: self.contents.revision,
            events: events.cloned().collect(),
        }
    }

    /// Whether all changes after a revision are still retained.
    pub(super) fn retains_changes_after(&self, from: u64) -> bool {
        let log = &self.contents.log;
        let oldest = log.front().map_or(0, |event| event.version);
        let complete = log.len() < self.retained_changes;
        from + 1 >= oldest || complete
    }

    /// Executes a transaction atomically and returns the response.
    pub(super) fn transact(&mut self, transaction: Transaction) -> Response {
        let mut conditions = transaction.conditions.into_iter();
        if let Some(failed) = conditions.find(|c| self.version(&c.key) != c.version) {
            let conflict = Conflict {
                failed: vec![failed.key],
                revision: self.contents.revision,
            };
            return Response::new(409, encode(&conflict));
        }
        let operations = transaction.operations;
        let mut leases = operations.iter().filter_map(|operation| operation.lease);
        if leases.any(|lease| !self.leases.exists(lease)) {
            let error = "no such lease".to_owned();
            return Response::new(400, encode(&ErrorBody { error }));
        }
        let revision = if operations.is_empty() {
            self.contents.revision
        } else {
            self.apply(operations)
        };
        ok_response(&Revision { revision })
    }

    /// Returns the version of a record, or 0 if there is no such record.
    fn version(&self, key: &str) -> u64 {
        let record = self.contents.records.get(key);
        record.map_or(0, |record| record.version)
    }

    fn apply(&mut self, operations: Vec<Operation>) -> u64 {
        let mut changes = Vec::new();
        for operation in operations {
            if let Some(key) = operation.put {
                self.leases.attach(&key, operation.lease);
                changes.push((key, Some(operation.value)));
            } else if let Some(key) = operation.delete {
                self.leases.attach(&key, None);
                changes.push((key, None));
            }
        }
        self.commit(changes)
    }

    /// Grants a lease and returns the response.
    pub(super) fn grant(&mut self, duration: Duration) -> Response {
        let lease = self.leases.grant(duration);
        ok_response(&GrantedLease { lease })
    }

    /// Renews a lease and returns the response.
    pub(super) fn renew(&mut self, lease: u64) -> Response {
        let status = if self.leases.renew(lease) { 200 } else { 404 };
        Response::new(status, encode(&Empty {}))
    }
}

fn pair(key: &str, record: &Record) -> Pair {
    Pair {
        key: key.to_owned(),
        value: record.value.clone(),
        version: record.version,
    }
}

/// Returns a response with status 200.
pub(super) fn ok_response<T: Serialize>(body: &T) -> Response {
    Response::new(200, encode(body))
}
