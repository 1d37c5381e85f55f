//! A model of the state service: its truth is known at each revision.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use salttiller_protocol::state_service::{Changes, Event, Page, Pair};
use salttiller_records::PREFIX;

use crate::model::StoredRecord;
use crate::reconstruct::RecordMap;
use crate::recorder::{Answer, Request};

/// Records of the model in a page; few, so that snapshots take many.
const MODEL_PAGE: usize = 3;
/// Different keys of the model; few, so that changes meet.
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
    /// Tells one history from another.
    pub(super) lineage: u32,
    pub(super) revision: u64,
    log: Vec<Event>,
    /// What was true at each revision.
    truth: BTreeMap<u64, ModelRecords>,
}

impl History {
    fn records(&self) -> ModelRecords {
        let last = self.truth.last_key_value();
        last.map(|(_, records)| records.clone()).unwrap_or_default()
    }

    /// The records at a revision, as an archive has them.
    pub(super) fn truth_at(&self, revision: u64) -> RecordMap {
        let last = self.truth.range(..=revision).next_back();
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
            // Of several changes of a record in one transaction the watch shows the last.
            self.log
                .retain(|e| e.version != event.version || key_of(e) != key_of(&event));
            self.log.push(event);
        }
        self.truth.insert(self.revision, records);
    }

    pub(super) fn change_times(&mut self, times: u8, random: &mut fastrand::Rng) {
        for _ in 0..times {
            self.change(random);
        }
    }

    /// Answers a request; changes of the last `kept` revisions are still known.
    pub(super) fn answer(&self, request: &Request, kept: u64) -> Answer {
        match request {
            Request::Revision => self.page_after(""),
            Request::Page { after } => self.page_after(after.as_deref().unwrap_or("")),
            Request::Watch { from, .. } if *from < self.revision.saturating_sub(kept) => {
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
            .take(MODEL_PAGE)
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

    /// What it was like at an earlier revision, as a backup would have it.
    pub(super) fn earlier(&self, revision: u64) -> History {
        let mut copy = self.clone();
        copy.revision = revision;
        copy.log.retain(|e| e.version <= revision);
        copy.truth.retain(|r, _| *r <= revision);
        copy
    }
}

/// Puts or deletes a record; `None` if there was none to delete.
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
