//! A model of the state service that knows the expected records at each revision.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use salttiller_protocol::state_service::{Changes, Event, Page, Pair};
use salttiller_records::PREFIX;

use crate::model::StoredRecord;
use crate::reconstruct::RecordMap;
use crate::recorder::{Answer, Request};

/// Number of records per page of the model. The number is small so that a snapshot takes many
/// pages.
const PAGE_RECORDS: usize = 3;
/// Number of different keys of the model. The number is small so that several changes concern the
/// same key.
const MODEL_KEYS: u8 = 12;

/// A record of the model.
#[derive(Clone)]
struct ModelRecord {
    version: u64,
    value: Value,
}

type ModelRecords = BTreeMap<String, ModelRecord>;

/// One history of the state service.
#[derive(Clone, Default)]
pub(super) struct History {
    /// Number that distinguishes this history from the histories it replaced.
    pub(super) lineage: u32,
    pub(super) revision: u64,
    log: Vec<Event>,
    /// The records at each revision.
    records_by_revision: BTreeMap<u64, ModelRecords>,
}

impl History {
    fn records(&self) -> ModelRecords {
        let last = self.records_by_revision.last_key_value();
        last.map(|(_, records)| records.clone()).unwrap_or_default()
    }

    /// Returns the records at a revision in their archived form.
    pub(super) fn records_at(&self, revision: u64) -> RecordMap {
        let last = self.records_by_revision.range(..=revision).next_back();
        let records = last.map(|(_, records)| records.clone()).unwrap_or_default();
        records
            .into_iter()
            .map(|(key, record)| (key, StoredRecord::new(record.version, &record.value)))
            .collect()
    }

    /// Commits a transaction of one to three changes.
    pub(super) fn change(&mut self, random: &mut fastrand::Rng) {
        self.revision += 1;
        let mut records = self.records();
        for _ in 0..random.u8(1..4) {
            let key = format!("{PREFIX}job/req-{}", random.u8(0..MODEL_KEYS));
            let Some(event) = change_record(&mut records, key, self.revision, random) else {
                continue;
            };
            // The watch reports only the last of several changes to a record in one transaction.
            self.log
                .retain(|e| e.version != event.version || key_of(e) != key_of(&event));
            self.log.push(event);
        }
        self.records_by_revision.insert(self.revision, records);
    }

    pub(super) fn change_times(&mut self, times: u8, random: &mut fastrand::Rng) {
        for _ in 0..times {
            self.change(random);
        }
    }

    /// Returns the response to a request. Only the changes of the last `retained` revisions are
    /// available.
    pub(super) fn answer(&self, request: &Request, retained: u64) -> Answer {
        match request {
            Request::Revision => self.page_after(""),
            Request::Page { after } => self.page_after(after.as_deref().unwrap_or("")),
            Request::Watch { from, .. } if *from < self.revision.saturating_sub(retained) => {
                Answer::Compacted
            }
            Request::Watch { from, .. } => {
                let events = self.log.iter().filter(|e| e.version > *from);
                Answer::Changes(Changes {
                    revision: self.revision,
                    events: events.cloned().collect(),
                })
            }
        }
    }

    fn page_after(&self, after: &str) -> Answer {
        let records = self.records();
        let mut rest = records.iter().filter(|(key, _)| key.as_str() > after);
        let pairs: Vec<Pair> = rest
            .by_ref()
            .take(PAGE_RECORDS)
            .map(|(key, record)| Pair {
                key: key.clone(),
                value: record.value.clone(),
                version: record.version,
            })
            .collect();
        Answer::Page(Page {
            pairs,
            more: rest.next().is_some(),
            revision: self.revision,
        })
    }

    /// Returns this history as of an earlier revision, like a backup taken at that revision.
    pub(super) fn backup_at(&self, revision: u64) -> History {
        let mut copy = self.clone();
        copy.revision = revision;
        copy.log.retain(|e| e.version <= revision);
        copy.records_by_revision.retain(|r, _| *r <= revision);
        copy
    }
}

/// Puts or deletes a record at random. Returns `None` if there was no record to delete.
fn change_record(
    records: &mut ModelRecords,
    key: String,
    version: u64,
    random: &mut fastrand::Rng,
) -> Option<Event> {
    let mut event = Event {
        put: None,
        delete: None,
        value: None,
        version,
    };
    if random.u8(0..4) == 0 {
        records.remove(&key)?;
        event.delete = Some(key);
    } else {
        let value = json!({"n": random.u32(..)});
        let record = ModelRecord {
            version,
            value: value.clone(),
        };
        records.insert(key.clone(), record);
        event.put = Some(key);
        event.value = Some(value);
    }
    Some(event)
}

fn key_of(event: &Event) -> Option<&String> {
    event.put.as_ref().or(event.delete.as_ref())
}
