//! Simulated state service, implemented from the protocol: records with versions and leases,
//! compare-and-swap commits, paged reads and watches. [`calls`] handles the calls to the service.
//!
//! It enforces the limits on requests per second, on the records and bytes of a page, on the
//! changes that it retains for watches, and on the size of transactions and values. It does not
//! enforce the limits on changes per second, on conditions and on the total size of a transaction.
//! Leases end when the next call arrives, up to any lateness.

mod calls;
mod rate_limit;

use std::collections::BTreeMap;

use salttiller_protocol::http::{query_value, Response};
use salttiller_records::units::{Micros, MILLISECOND};
use serde_json::{json, Value};

use super::events::Caller;
use super::faults::RecordLoss;
use super::network::response;
use super::observations::Observations;
use rate_limit::RateLimit;

/// Maximum number of records per page of a read on most days. It is lower than the protocol allows,
/// so that reads have several pages although the days have few records.
const SMALL_PAGE_RECORDS: usize = 20;
/// Maximum number of records per page that the protocol allows.
const MAX_PAGE_RECORDS: usize = 1000;
/// Maximum number of bytes of the records of a page.
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Size that is counted for each record of a page in addition to its key and value, in bytes.
const PAGE_RECORD_OVERHEAD: usize = 40;
/// Number of changes that are retained for watches.
const RETAINED_CHANGES: usize = 10_000;
/// Limit on requests per second if the day doesn't set one.
const DEFAULT_REQUEST_RATE: f64 = 100.0;

/// Key prefix of the records of region owners.
const REGION_PREFIX: &str = "st/region/";

/// A stored record.
#[derive(Clone)]
pub(super) struct Record {
    pub value: Value,
    /// Revision of the last write of the record.
    pub version: u64,
    /// Lease whose expiry deletes the record.
    pub lease: Option<u64>,
}

/// A change of a record; a change without a value is a deletion.
#[derive(Clone)]
pub(super) struct Change {
    pub revision: u64,
    pub key: String,
    pub value: Option<Value>,
}

struct Lease {
    duration: Micros,
    expires_at: Micros,
}

/// A request for changes that waits for the next change.
#[derive(Clone, Copy)]
struct Watch {
    caller: Caller,
    after_revision: u64,
}

/// A backup of the records and the change log.
#[derive(Default, Clone)]
struct Backup {
    revision: u64,
    records: BTreeMap<String, Record>,
    changes: Vec<Change>,
}

/// State of the simulated state service.
pub(super) struct StateService {
    records: BTreeMap<String, Record>,
    changes: Vec<Change>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    watches: BTreeMap<u64, Watch>,
    next_watch: u64,
    outage_until: Micros,
    backup: Backup,
    /// Maximum number of changes per transaction.
    max_transaction_changes: usize,
    /// Maximum length of a value in bytes.
    max_value_bytes: usize,
    /// Maximum number of records per page.
    max_page_records: usize,
    requests: RateLimit,
    /// Time until which half of the requests are refused with 429.
    shedding_until: Micros,
}

impl Default for StateService {
    fn default() -> Self {
        StateService {
            records: BTreeMap::new(),
            changes: Vec::new(),
            revision: 1,
            leases: BTreeMap::new(),
            next_lease: 1,
            watches: BTreeMap::new(),
            next_watch: 0,
            outage_until: 0,
            backup: Backup::default(),
            max_transaction_changes: 12,
            max_value_bytes: 4096,
            max_page_records: SMALL_PAGE_RECORDS,
            requests: RateLimit::new(DEFAULT_REQUEST_RATE),
            shedding_until: 0,
        }
    }
}

impl StateService {
    /// Returns all records, by key.
    pub(super) fn records(&self) -> &BTreeMap<String, Record> {
        &self.records
    }

    /// Returns the change log, oldest change first.
    pub(super) fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Returns the value of a record, if the record exists.
    pub(super) fn value(&self, key: &str) -> Option<&Value> {
        self.records.get(key).map(|record| &record.value)
    }

    /// Returns the version of a record, or 0 if the record does not exist.
    pub(super) fn version(&self, key: &str) -> u64 {
        self.records.get(key).map_or(0, |record| record.version)
    }

    /// Begins an outage: all calls are refused until `until`, and no lease expires earlier than its
    /// full duration after the outage.
    pub(super) fn begin_outage(&mut self, until: Micros) {
        self.outage_until = until;
        for lease in self.leases.values_mut() {
            lease.expires_at = until + lease.duration;
        }
    }

    /// Sets the limit on requests per second of all controllers together.
    pub(super) fn limit_requests(&mut self, per_second: f64) {
        self.requests = RateLimit::new(per_second);
    }

    /// Allows pages of the size that the protocol allows.
    pub(super) fn use_large_pages(&mut self) {
        self.max_page_records = MAX_PAGE_RECORDS;
    }

    /// Refuses half of the requests with 429 until `until`.
    pub(super) fn shed_until(&mut self, until: Micros) {
        self.shedding_until = until;
    }

    /// Sets the maximum size of transactions and values.
    pub(super) fn set_limits(&mut self, transaction_changes: usize, value_bytes: usize) {
        self.max_transaction_changes = transaction_changes;
        self.max_value_bytes = value_bytes;
    }

    /// Backs up the records, for a restore by [`StateService::lose_records`].
    pub(super) fn back_up(&mut self) {
        self.backup = Backup {
            revision: self.revision,
            records: self.records.clone(),
            changes: self.changes.clone(),
        };
    }

    /// Stores a record that exists before the day begins.
    pub(super) fn seed_record(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let record = Record {
            value,
            version: self.revision,
            lease: None,
        };
        self.records.insert(key.into(), record);
    }

    /// Loses records. All leases and their records are lost too, except with
    /// [`RecordLoss::SomeJobs`].
    fn lose_records(&mut self, loss: RecordLoss) {
        let lost_revision = self.revision;
        match loss {
            RecordLoss::All => {
                self.records.clear();
                self.changes.clear();
                self.revision = 0;
            }
            RecordLoss::SinceBackup | RecordLoss::SinceBackupThenAdvanced => self.restore_backup(),
            RecordLoss::SomeJobs => self.lose_every_other_job(),
        }
        if loss == RecordLoss::SinceBackupThenAdvanced {
            self.advance_past(lost_revision);
        }
        if loss != RecordLoss::SomeJobs {
            self.records.retain(|_, record| record.lease.is_none());
            self.leases.clear();
        }
    }

    fn restore_backup(&mut self) {
        let backup = self.backup.clone();
        self.records = backup.records;
        self.changes = backup.changes;
        self.revision = backup.revision;
    }

    fn lose_every_other_job(&mut self) {
        let mut keep = false;
        self.records.retain(|key, _| {
            keep = !keep;
            !key.starts_with("st/job/") || keep
        });
    }

    /// Writes an unrelated record until the revision exceeds the one before the loss.
    fn advance_past(&mut self, lost_revision: u64) {
        let key = "st/progress/req-999999/t-0/0";
        while self.revision <= lost_revision + 5 {
            self.revision += 1;
            self.put(key, json!(""), None);
        }
    }

    /// Writes a record, as a change of the current revision.
    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        let record = Record {
            value: value.clone(),
            version: self.revision,
            lease,
        };
        self.records.insert(key.into(), record);
        self.log_change(key, Some(value));
    }

    fn log_change(&mut self, key: &str, value: Option<Value>) {
        self.changes.push(Change {
            revision: self.revision,
            key: key.into(),
            value,
        });
    }

    fn list(&self, query: &str) -> Response {
        let after = query_value(query, "from").unwrap_or("").to_owned();
        let requested = query_value(query, "page").and_then(|number| number.parse().ok());
        let max_records = requested.unwrap_or(MAX_PAGE_RECORDS);
        let max_records = self.max_page_records.min(max_records);
        let following = self.records.range(after.clone()..);
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, record) in following.filter(|(key, _)| **key != after) {
            bytes += key.len() + record.value.to_string().len() + PAGE_RECORD_OVERHEAD;
            if page.len() == max_records || bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            page.push(json!({"k": key, "value": record.value, "mark": record.version}));
        }
        response(
            200,
            json!({"pairs": page, "more": more, "almanac": self.revision}),
        )
    }

    fn changes_after(&self, revision: u64) -> Response {
        let newer = self
            .changes
            .iter()
            .filter(|change| change.revision > revision);
        let events: Vec<Value> = newer
            .map(|change| match &change.value {
                Some(v) => json!({"put": change.key, "value": v, "mark": change.revision}),
                None => json!({"delete": change.key, "mark": change.revision}),
            })
            .collect();
        response(200, json!({"almanac": self.revision, "events": events}))
    }

    /// Whether the changes after a revision are no longer retained.
    fn is_compacted(&self, after_revision: u64) -> bool {
        let first_retained = self.changes.len().saturating_sub(RETAINED_CHANGES);
        let dropped = first_retained.checked_sub(1);
        let last_dropped = dropped.and_then(|index| self.changes.get(index));
        last_dropped.is_some_and(|change| change.revision > after_revision)
    }

    /// Answers a request for changes, or registers it as a watch. The error holds the watch's
    /// number and maximum wait.
    fn watch(&mut self, caller: Caller, query: &str) -> Result<Response, (u64, Micros)> {
        let number = |name| query_value(query, name).unwrap().parse::<u64>().unwrap();
        let (after_revision, wait_ms) = (number("from"), number("waitMs"));
        if self.is_compacted(after_revision) {
            return Ok(Response::new(410, Vec::new()));
        }
        let is_newer = |change: &Change| change.revision > after_revision;
        if wait_ms == 0 || self.changes.last().is_some_and(is_newer) {
            return Ok(self.changes_after(after_revision));
        }
        let watch = self.next_watch;
        self.next_watch += 1;
        let entry = Watch {
            caller,
            after_revision,
        };
        self.watches.insert(watch, entry);
        Err((watch, wait_ms * MILLISECOND))
    }

    /// Ends a watch and returns its caller and response.
    fn end_watch(&mut self, watch: u64) -> Option<(Caller, Response)> {
        let watch = self.watches.remove(&watch)?;
        Some((watch.caller, self.changes_after(watch.after_revision)))
    }

    fn grant_lease(&mut self, now: Micros, body: &Value) -> Response {
        let number = self.next_lease;
        self.next_lease += 1;
        let duration = body["lifeMs"].as_u64().unwrap() * MILLISECOND;
        let lease = Lease {
            duration,
            expires_at: now + duration,
        };
        self.leases.insert(number, lease);
        response(200, json!({ "tenure": number }))
    }

    fn renew_lease(&mut self, now: Micros, path: &str) -> Response {
        let number: u64 = path.split('/').nth(2).unwrap().parse().unwrap();
        match self.leases.get_mut(&number) {
            Some(lease) => {
                lease.expires_at = now + lease.duration;
                response(200, json!({}))
            }
            None => response(404, json!({})),
        }
    }

    fn expired_leases(&self, now: Micros) -> Vec<u64> {
        if now < self.outage_until {
            return Vec::new();
        }
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at <= now);
        expired.map(|(number, _)| *number).collect()
    }

    /// Deletes a lease and its records. Returns whether there were any records.
    fn delete_lease(&mut self, number: u64) -> bool {
        self.leases.remove(&number);
        let leased_records = self.records.iter();
        let leased_records = leased_records.filter(|(_, record)| record.lease == Some(number));
        let keys: Vec<String> = leased_records.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return false;
        }
        self.revision += 1;
        for key in &keys {
            self.records.remove(key);
            self.log_change(key, None);
        }
        true
    }

    /// Executes a transaction if its conditions hold and it is within the limits.
    fn commit(&mut self, body: &Value, observations: &mut Observations) -> Response {
        if let Some(refusal) = self.refusal(body, observations) {
            return refusal;
        }
        self.revision += 1;
        for change in body["apply"].as_array().unwrap() {
            if let Some(key) = change["put"].as_str() {
                observations.region_acquisitions += u32::from(key.starts_with(REGION_PREFIX));
                observations.leader_elections += u32::from(key == "st/leader");
                self.put(key, change["value"].clone(), change["tenure"].as_u64());
            } else if let Some(key) = change["delete"].as_str() {
                if let Some(deleted) = self.records.remove(key) {
                    let region = key.strip_prefix(REGION_PREFIX);
                    let released_by_namesake =
                        region.is_some_and(|region| deleted.value["owner"] == region);
                    observations.regions_released += u32::from(released_by_namesake);
                    self.log_change(key, None);
                }
            }
        }
        response(200, json!({ "almanac": self.revision }))
    }

    /// Returns the error response if a transaction cannot be executed.
    fn refusal(&self, body: &Value, observations: &mut Observations) -> Option<Response> {
        for condition in body["when"].as_array().into_iter().flatten() {
            let key = condition["k"].as_str().unwrap();
            if self.version(key) != condition["mark"].as_u64().unwrap() {
                let failed = json!({"failed": [key], "almanac": self.revision});
                return Some(response(409, failed));
            }
        }
        let apply = body["apply"].as_array().unwrap();
        let is_too_large =
            |change: &Value| change["value"].to_string().len() > self.max_value_bytes;
        if apply.len() > self.max_transaction_changes || apply.iter().any(is_too_large) {
            observations.oversized_transactions += 1;
            return Some(response(400, json!({"error": "too large"})));
        }
        let mut leases = apply.iter().filter_map(|change| change["tenure"].as_u64());
        let is_unknown = |lease: u64| !self.leases.contains_key(&lease);
        let unknown_lease = leases.any(is_unknown);
        unknown_lease.then(|| response(400, json!({"error": "no such lease"})))
    }
}
